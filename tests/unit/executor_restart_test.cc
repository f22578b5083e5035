#include "executor_fixture.h"

/* Crashes and restarts of the worker, see incident task-crashes-worker-after-worker. */
namespace
{
struct ExecutorRestartTest : public ExecutorFixture {
	/* Starts a run and sends a throttle. The next sample, which plans shares anew, is not due.
	 */
	void throttle_best_effort_run(const char *job)
	{
		struct lug_run_id run_id = id(job);

		start_best_effort(job, 1000);
		worker.answer(LUG_ORDER_OK);
		exec_find_run(exec, &run_id)->share = 0.5;
		exec->last_sample_us = lug_now_us();
		exec_throttle(exec, lug_now_us());
		ASSERT_EQ(worker.orders.back().percent, 50u);
	}
};

TEST_F(ExecutorRestartTest, RemovesRunsWhenTheWorkerRestarts)
{
	start("a", 3000);
	worker.answer(LUG_ORDER_OK);
	incarnation = 200;
	send_heartbeat();
	answer_poll();
	if (!worker.polls.empty())
		answer_poll();
	start("b", 3000);
	EXPECT_EQ(worker.orders.back().kind, "start");
	EXPECT_EQ(worker.orders.back().id.job, std::string("b"));
}

/* Incident task-crashes-worker-after-worker: owners must learn which runs a crash ended. */
TEST_F(ExecutorRestartTest, ReportsTheRunsOfACrashedWorkerAndSuspectsTheLastStarted)
{
	start("old");
	worker.answer(LUG_ORDER_OK);
	/* Longer than EARLY_US in crash.c. */
	g_usleep(250 * 1000);
	start("new");
	worker.answer(LUG_ORDER_OK);
	answer_poll(LUG_ORDER_UNKNOWN);
	incarnation = 200;
	send_heartbeat();
	answer_poll();
	ASSERT_EQ(crashed.size(), 2u);
	EXPECT_EQ(crashed["old#1"], 0u);
	EXPECT_EQ(crashed["new#1"], 1u);
}

/*
 * Seed 2015 of the soak: the poll after a broken one acknowledged ends to the next incarnation,
 * which forgot the end of its own run; the task was started again after it was done.
 */
TEST_F(ExecutorRestartTest, APollAfterAFailedOneAcknowledgesNothing)
{
	start_short("a");
	finished = {{1, id("a")}};
	answer_poll();
	ack("a");
	tick();
	expect_next_poll_to_acknowledge(1);
	answer_poll(LUG_ORDER_UNKNOWN);
	/* Longer than POLL_RETRY_US. */
	g_usleep(200 * 1000);
	tick();
	expect_next_poll_to_acknowledge(0);
	answer_poll();
	expect_next_poll_to_acknowledge(1);
}

/* Seed 5002 of the soak: the agent was suspended between two polls while its worker restarted. */
TEST_F(ExecutorRestartTest, APollLongAfterTheLatestAnswerAcknowledgesNothing)
{
	start_short("a");
	finished = {{1, id("a")}};
	answer_poll();
	/* Longer than RESTART_MIN_US. */
	g_usleep(300 * 1000);
	ack("a");
	tick();
	expect_next_poll_to_acknowledge(0);
	answer_poll();
	expect_next_poll_to_acknowledge(1);
}

/*
 * Seed 1006 of the soak: a worker that keeps its id had restarted unnoticed and taken the start.
 * The run was reported as crashed and started again elsewhere while it went on.
 */
TEST_F(ExecutorRestartTest, ARunThatTheNextIncarnationListsHasNotCrashed)
{
	start("a", 3000);
	worker.answer(LUG_ORDER_OK);
	incarnation = 200;
	send_heartbeat();
	running = {{id("a"), 10}};
	answer_poll();
	if (!worker.polls.empty())
		answer_poll();
	EXPECT_TRUE(crashed.empty());
	start("b", 3000);
	EXPECT_EQ(answers.back(), std::make_pair(std::string("b#1"), LUG_OVER_LIMIT));
}

TEST_F(ExecutorRestartTest, AWorkerThatHasAnnouncedItsExitDoesNotCrash)
{
	start("a");
	worker.answer(LUG_ORDER_OK);
	send_heartbeat(/* draining */ true);
	incarnation = 200;
	send_heartbeat();
	answer_poll();
	answer_poll();
	EXPECT_TRUE(crashed.empty());
}

/* The worker is down for longer than the lease: its runs are gone before it is back. */
TEST_F(ExecutorRestartTest, ReportsTheRunsOfAWorkerThatStaysSilentAsCrashed)
{
	gint64 later_us = lug_now_us() + 20 * G_USEC_PER_SEC;

	start("a");
	worker.answer(LUG_ORDER_OK);
	answer_poll(LUG_ORDER_UNKNOWN);
	lug_executor_tick(exec, later_us);
	/* Longer than EXPIRED_ANSWER_TIMEOUT_US. */
	lug_executor_tick(exec, later_us + 1600 * 1000);
	EXPECT_EQ(crashed.count("a#1"), 1u);
}

TEST_F(ExecutorRestartTest, StartsOneSuspectedJobAtATime)
{
	start("a", 1000, 1, 1, 0, /* isolate */ true);
	start("b", 1000, 1, 1, 0, /* isolate */ true);
	EXPECT_EQ(answers.back(), std::make_pair(std::string("b#1"), LUG_OVER_LIMIT));
	start("c", 1000);
	ASSERT_EQ(worker.orders.size(), 2u);
	EXPECT_STREQ(worker.orders[1].id.job, "c");
	/* Longer than LUG_CRASH_ISOLATION_US. */
	start("b", 1000, 1, 1, 700 * 1000, /* isolate */ true);
	EXPECT_STREQ(worker.orders.back().id.job, "b");
}

/*
 * Incident task-crashes-worker-after-worker: an unanswered start was kept through several restarts
 * of the worker, while its task waited.
 */
TEST_F(ExecutorRestartTest, UnansweredStartsEndWithTheWorkerThatTheyName)
{
	start("a", 3000);
	EXPECT_EQ(worker.orders[0].worker, "i");
	worker.answer(LUG_ORDER_UNKNOWN);
	incarnation = 200;
	worker_id = "i-next";
	send_heartbeat();
	EXPECT_EQ(crashed.count("a#1"), 0u) << "the worker has not confirmed its id";
	answer_poll();
	if (!worker.polls.empty())
		answer_poll();
	EXPECT_EQ(crashed.count("a#1"), 1u);
	start("b", 3000);
	EXPECT_EQ(worker.orders.back().id.job, std::string("b"));
	EXPECT_EQ(worker.orders.back().worker, "i-next");
}

TEST_F(ExecutorRestartTest, UnansweredStartsAreStoppedFirstWhenTheWorkerKeepsItsId)
{
	start("a", 3000);
	worker.answer(LUG_ORDER_UNKNOWN);
	incarnation = 200;
	send_heartbeat();
	EXPECT_EQ(crashed.count("a#1"), 0u) << "the start may still take effect";
}

TEST_F(ExecutorRestartTest, RefusesStartsWhenTheConnectionToTheWorkerHasBroken)
{
	answer_poll(LUG_ORDER_UNKNOWN);
	start("a");
	EXPECT_EQ(answers.back(), std::make_pair(std::string("a#1"), LUG_NOT_RUN));
	EXPECT_TRUE(worker.orders.empty());
}

/* The worker's heartbeats count anew in each incarnation, which a poll may be the first to show. */
TEST_F(ExecutorRestartTest, HeartbeatsAfterARestartThatAPollHasShownAreApplied)
{
	heartbeat_seq = 50;
	send_heartbeat();
	incarnation = 200;
	answer_poll();
	/* The first one under its fencing token. */
	answer_poll();
	heartbeat_seq = 0;
	capacity_millicores = 1500;
	worker_id = "i-next";
	start("early", 1000);
	ASSERT_FALSE(answers.empty());
	EXPECT_EQ(answers.back(), std::make_pair(std::string("early#1"), LUG_NOT_RUN))
		<< "the id of the new incarnation is not known";
	send_heartbeat();
	if (!worker.polls.empty())
		answer_poll();
	start("a", 1000);
	ASSERT_EQ(worker.orders.size(), 1u);
	EXPECT_EQ(worker.orders[0].worker, "i-next");
	start("b", 1000);
	EXPECT_EQ(answers.back(), std::make_pair(std::string("b#1"), LUG_OVER_LIMIT));
}

/* Owners took the job of a task that never ran as begun. */
TEST_F(ExecutorRestartTest, HeartbeatsListAnEndWhoseStartWasNotConfirmedAsUnconfirmed)
{
	bool unconfirmed = false;

	start("a", 3000);
	worker.answer(LUG_ORDER_UNKNOWN);
	incarnation = 200;
	worker_id = "i-next";
	send_heartbeat();
	answer_poll();
	answer_poll();
	ASSERT_EQ(crashed.count("a#1"), 1u);
	send_beat_to_owner(0, [&](const Lug__WorkerBeat &beat) {
		ASSERT_EQ(beat.n_shards, 1u);
		ASSERT_EQ(beat.shards[0]->n_held, 1u);
		unconfirmed = beat.shards[0]->held[0]->unconfirmed;
	});
	EXPECT_TRUE(unconfirmed);
}

/*
 * Incident stop-of-a-former-incarnation: a run whose stop the former incarnation had confirmed was
 * started late by the next one, and went on although its job was cancelled.
 */
TEST_F(ExecutorRestartTest, AStopThatTheFormerIncarnationHasConfirmedIsSentToTheNextOne)
{
	start("a", 3000);
	worker.answer(LUG_ORDER_UNKNOWN);
	worker.answer(LUG_ORDER_OK);
	stop("a");
	ASSERT_EQ(worker.orders.back().kind, "stop");
	worker.answer(LUG_ORDER_OK);
	incarnation = 200;
	heartbeat_seq = 0;
	send_heartbeat();
	running = {{id("a"), 10}};
	answer_poll();
	if (worker.polls.empty())
		tick_later();
	answer_poll();
	ASSERT_EQ(worker.orders.size(), 1u);
	EXPECT_EQ(worker.orders.back().kind, "stop");
	EXPECT_STREQ(worker.orders.back().id.job, "a");
}

/* A worker starts each run at its full share. */
TEST_F(ExecutorRestartTest, AShareThatTheFormerIncarnationHasConfirmedDoesNotHoldForTheNextOne)
{
	struct lug_run_id run_id = id("b");

	throttle_best_effort_run("b");
	worker.answer(LUG_ORDER_OK);
	incarnation = 200;
	heartbeat_seq = 0;
	send_heartbeat();
	running = {{run_id, 10}};
	exec->last_sample_us = lug_now_us();
	answer_poll();
	ASSERT_EQ(worker.orders.size(), 1u);
	EXPECT_EQ(worker.orders.back().kind, "pace");
	EXPECT_EQ(worker.orders.back().percent, 50u);
}

/* The answer to a throttle of the former incarnation arrives after the restart. */
TEST_F(ExecutorRestartTest, AShareThatTheFormerIncarnationConfirmsLateDoesNotHoldForTheNextOne)
{
	struct lug_run_id run_id = id("b");

	throttle_best_effort_run("b");
	incarnation = 200;
	heartbeat_seq = 0;
	send_heartbeat();
	running = {{run_id, 10}};
	exec->last_sample_us = lug_now_us();
	answer_poll();
	worker.answer(LUG_ORDER_OK);
	exec->last_sample_us = lug_now_us();
	exec_throttle(exec, lug_now_us());
	ASSERT_EQ(worker.orders.size(), 1u);
	EXPECT_EQ(worker.orders.back().percent, 50u);
}
} // namespace
