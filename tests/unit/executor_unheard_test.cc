#include "executor_fixture.h"

/* Incident long-running-task-not-started-again: a worker is gone that no poll has reached. */
namespace
{
/* The lease of the fixture's context, with the clock drift allowed for. */
constexpr gint64 LEASE_US = 6120 * 1000;
/* Longer than EXPIRED_ANSWER_TIMEOUT_US. */
constexpr gint64 ANSWER_TIMEOUT_US = 1600 * 1000;

struct ExecutorUnheardTest : public ExecutorFixture {
	struct Beat {
		size_t lists = 0;
		size_t held = 0;
		guint64 lease_epoch = 0;
		bool ready = false;
	};

	Beat beat()
	{
		Beat seen;

		send_beat_to_owner(0, [&](const Lug__WorkerBeat &message) {
			seen.lists = message.n_shards;
			seen.held = message.n_shards ? message.shards[0]->n_held : 0;
			seen.lease_epoch = message.lease_epoch;
			seen.ready = message.ready;
		});
		return seen;
	}

	/* Lets the time pass in which a lease sent to the worker expires and a poll is answered. */
	void expire_lease()
	{
		gint64 now_us = lug_now_us();

		lug_executor_tick(exec, now_us + LEASE_US + 1000);
		lug_executor_tick(exec, now_us + LEASE_US + ANSWER_TIMEOUT_US);
	}

	/* Replaces the executor of the fixture by that of the agent's next process. */
	void restart_agent()
	{
		lug_executor_free(exec);
		worker.polls.clear();
		store.calls.clear();
		exec = lug_executor_new(ctx, &store.base, &worker.base, 1, send, this);
		tick();
		ASSERT_EQ(worker.polls.size(), 1u);
		answer_poll(LUG_ORDER_UNKNOWN);
	}
};

TEST_F(ExecutorUnheardTest, ARestartedAgentListsNoRunsBeforeTheLeaseTimeHasPassed)
{
	gint64 now_us = lug_now_us();

	restart_agent();
	lug_executor_tick(exec, now_us + LEASE_US - 200 * 1000);
	lug_executor_tick(exec, now_us + LEASE_US - 100 * 1000);
	EXPECT_EQ(beat().lists, 0u) << "a run of the former process may be left";
}

TEST_F(ExecutorUnheardTest, ARestartedAgentWaitsForTheLeaseTimeOfTheFormerProcess)
{
	store.put("w1|worker/w1", "{\"owner\":\"w1\",\"epoch\":4,\"ttl_ms\":60000,\"txn\":\"x\"}");
	restart_agent();
	expire_lease();
	EXPECT_EQ(beat().lists, 0u);
}

/* 2^62 ms, in microseconds, is beyond 64 bits. */
TEST_F(ExecutorUnheardTest, ARestartedAgentTakesAnOddLeaseTimeForALongOne)
{
	store.put("w1|worker/w1",
		  "{\"owner\":\"w1\",\"epoch\":4,\"ttl_ms\":4611686018427387904,\"txn\":\"x\"}");
	restart_agent();
	expire_lease();
	EXPECT_EQ(beat().lists, 0u);
}

TEST_F(ExecutorUnheardTest, ARestartedAgentWhoseWorkerIsGoneStatesThatItHoldsNoRuns)
{
	restart_agent();
	expire_lease();
	EXPECT_EQ(beat().lists, 1u);
	EXPECT_EQ(beat().held, 0u);
	EXPECT_EQ(beat().lease_epoch, 2u);
	EXPECT_FALSE(beat().ready);
	start("a", 1000, /* lease_epoch */ 2);
	ASSERT_FALSE(answers.empty());
	EXPECT_EQ(answers.back(), std::make_pair(std::string("a#1"), LUG_NOT_RUN));
}

TEST_F(ExecutorUnheardTest, RunsAndEndsThatTheWorkerListsLaterAreReported)
{
	restart_agent();
	expire_lease();
	tick();
	running = {{id("a"), 10}};
	finished = {{1, id("b")}};
	ASSERT_FALSE(worker.polls.empty());
	answer_poll();
	EXPECT_EQ(beat().lists, 1u);
	EXPECT_EQ(beat().held, 2u);
	EXPECT_EQ(ends, std::vector<std::string>{"b#1"});
	ack("b");
	EXPECT_EQ(beat().held, 1u);
}

TEST_F(ExecutorUnheardTest, ARestartedAgentWhoseWorkerHasExitedStatesThatItHoldsNoRuns)
{
	gint64 now_us = lug_now_us();

	restart_agent();
	lug_executor_on_worker_exit(exec, "w", now_us);
	lug_executor_tick(exec, now_us + 400 * 1000);
	EXPECT_EQ(beat().lists, 0u) << "the worker may not have exited";
	/* Its port is closed. */
	answer_poll(LUG_ORDER_UNKNOWN);
	/* Longer than WORKER_EXIT_US. */
	lug_executor_tick(exec, now_us + 600 * 1000);
	EXPECT_EQ(beat().lists, 1u);
	EXPECT_EQ(beat().lease_epoch, 2u);
}

TEST_F(ExecutorUnheardTest, RunsOfAWorkerThatIsGoneAfterItsRestartEndAsCrashed)
{
	start("a");
	worker.answer(LUG_ORDER_OK);
	incarnation = 200;
	send_heartbeat();
	expire_lease();
	EXPECT_EQ(crashed.count("a#1"), 1u);
	EXPECT_EQ(beat().lists, 1u);
	EXPECT_EQ(beat().held, 1u) << "the end is listed until its owner has stored it";
	EXPECT_EQ(beat().lease_epoch, 1u);
	ack("a");
	EXPECT_EQ(beat().held, 0u);
}

TEST_F(ExecutorUnheardTest, RunsOfARestartedWorkerAreKeptUntilTheLeaseTimeHasPassed)
{
	start("a");
	worker.answer(LUG_ORDER_OK);
	incarnation = 200;
	send_heartbeat();
	lug_executor_tick(exec, lug_now_us() + 3 * G_USEC_PER_SEC);
	lug_executor_tick(exec, lug_now_us() + 5 * G_USEC_PER_SEC);
	EXPECT_TRUE(crashed.empty()) << "the next incarnation may have taken the start";
	running = {{id("a"), 10}};
	answer_poll();
	/* The first one under the fencing token of the next incarnation. */
	answer_poll();
	EXPECT_EQ(beat().held, 1u);
	EXPECT_TRUE(crashed.empty());
}

TEST_F(ExecutorUnheardTest, AnAgentWhoseWorkerIsGoneAfterItsFirstHeartbeatStatesThatItHoldsNoRuns)
{
	restart_agent();
	send_heartbeat();
	expire_lease();
	EXPECT_EQ(beat().lists, 1u);
	EXPECT_EQ(beat().lease_epoch, 2u);
	EXPECT_FALSE(beat().ready);
}

TEST_F(ExecutorUnheardTest, AnAgentThatDoesNotKnowTheRunsKeepsTheLeaseAtItsExit)
{
	restart_agent();
	lug_executor_shut_down(exec);
	tick();
	EXPECT_NE(store.rows["w1|worker/w1"].data.find("\"owner\":\"w1\""), std::string::npos);
	/* Longer than POLL_RETRY_US. */
	g_usleep(200 * 1000);
	tick();
	answer_poll();
	tick();
	EXPECT_NE(store.rows["w1|worker/w1"].data.find("\"owner\":\"\""), std::string::npos);
	EXPECT_TRUE(lug_executor_can_exit(exec));
}

/* The incarnation is the wall-clock time of the worker's start. */
TEST_F(ExecutorUnheardTest, RunsOfAWorkerThatRestartsWithItsClockSetBackEnd)
{
	start("a");
	worker.answer(LUG_ORDER_OK);
	EXPECT_EQ(beat().held, 1u);
	incarnation = 90;
	heartbeat_seq = 0;
	send_heartbeat();
	answer_poll(LUG_ORDER_UNKNOWN);
	/* The former incarnation is gone: each later poll is answered by the present one. */
	for (int i = 0; i < 5; i++) {
		send_heartbeat();
		lug_executor_tick(exec, lug_now_us() + (i + 1) * LEASE_US);
		store.settle();
		if (!worker.polls.empty())
			answer_poll();
	}
	EXPECT_EQ(ends, std::vector<std::string>{"a#1"});
	start("b");
	EXPECT_EQ(worker.orders.size(), 1u) << "the worker takes no starts";
}

} // namespace
