#include "executor_fixture.h"

extern "C" {
#include "store/writer_priv.h"
}

/* Incident run-outlasted-the-end-of-its-lease: ends of runs that count as lost. */
namespace
{
/* The lease of the fixture's context, with the clock drift allowed for. */
constexpr gint64 LEASE_US = 6120 * 1000;
/* Longer than EXPIRED_ANSWER_TIMEOUT_US. */
constexpr gint64 ANSWER_TIMEOUT_US = 1600 * 1000;

struct ExecutorLapseTest : public ExecutorFixture {
	/* @id_first: the agent hears of the next incarnation by a heartbeat, else by a poll */
	void restart_worker(bool id_first = true)
	{
		incarnation += 100;
		heartbeat_seq = 0;
		clock_ms = 1000;
		if (id_first)
			send_heartbeat();
		answer_polls(3);
		if (!id_first)
			send_heartbeat();
	}

	/* An owner fences the row, and the agent takes the lease anew. */
	void fence_and_take()
	{
		store.put("w1|worker/w1", "{\"owner\":\"\",\"ttl_ms\":6000,\"epoch\":2}");
		lug_writer_rewrite(exec->writer, lug_now_us());
		store.settle();
		ASSERT_FALSE(lug_writer_is_held(exec->writer));
		exec->next_acquire_us = 0;
		tick();
		store.settle();
		ASSERT_TRUE(lug_writer_is_held(exec->writer));
	}

	void answer_polls(int count)
	{
		for (int i = 0; i < count; i++) {
			if (worker.polls.empty())
				tick_later();
			answer_poll();
		}
	}

	/* Starts run "a" by the second attempt; the first one has no answer. */
	void start_at_second_attempt()
	{
		start("a");
		worker.answer(LUG_ORDER_UNKNOWN);
		worker.answer(LUG_ORDER_OK);
		running = {{id("a"), 10}};
		answer_poll();
	}

	/* The lease of run "a" ends as the agent knows it; the next incarnation ends the run as
	 * done. */
	void count_run_as_lost()
	{
		gint64 now_us = lug_now_us();

		lug_executor_tick(exec, now_us + LEASE_US + 1000);
		lug_executor_tick(exec, now_us + LEASE_US + ANSWER_TIMEOUT_US);
		EXPECT_EQ(ends, (std::vector<std::string>{"a#1"})) << "reported as crashed";
		exec->granted_until_us = lug_now_us();
		running.clear();
		finished = {{1, id("a")}};
	}

	/* @id_first: the worker's id is known before its first list */
	void replace_process(bool id_first = true)
	{
		lug_executor_free(exec);
		worker.polls.clear();
		store.calls.clear();
		exec = lug_executor_new(ctx, &store.base, &worker.base, 1, send, this);
		if (id_first)
			send_heartbeat();
		tick();
		answer_polls(2);
		send_heartbeat();
		tick_later();
		answer_poll();
	}

	void expect_no_grant_and_no_acknowledgement()
	{
		ack("a");
		tick_later();
		expect_next_poll_to_acknowledge(0);
		EXPECT_EQ(worker.polls.front().request.expires_ms, 0);
		start("b", 1000, lug_writer_epoch(exec->writer));
		EXPECT_EQ(answers.back(), std::make_pair(std::string("b#1"), LUG_NOT_RUN));
	}
};

TEST_F(ExecutorLapseTest, AnEndOfARunThatCountsAsLostIsAcknowledgedAfterTheLeaseHasLapsed)
{
	start_at_second_attempt();
	count_run_as_lost();
	restart_worker();
	EXPECT_EQ(ends, (std::vector<std::string>{"a#1", "a#1"})) << "reported as done";
	expect_no_grant_and_no_acknowledgement();
	/* The lease has lapsed, and no start is carried out late any more. */
	exec->lapse_until_us = lug_now_us();
	exec->late_start_until_us = 0;
	answer_poll();
	tick_later();
	expect_next_poll_to_acknowledge(1);
}

TEST_F(ExecutorLapseTest, AnEndThatIsListedBeforeTheIdIsKnownIsAcknowledgedAfterTheLeaseHasLapsed)
{
	start_at_second_attempt();
	count_run_as_lost();
	restart_worker(false);
	EXPECT_EQ(ends, (std::vector<std::string>{"a#1", "a#1"})) << "reported as done";
	expect_no_grant_and_no_acknowledgement();
}

TEST_F(ExecutorLapseTest, ARunThatWasDoneBeforeDoesNotCountAsLost)
{
	start_at_second_attempt();
	running.clear();
	finished = {{1, id("a")}};
	answer_poll();
	ack("a");
	finished.clear();
	running = {{id("a"), 10}};
	restart_worker();
	EXPECT_EQ(exec->runs->len, 1u) << "started late once more";
	EXPECT_FALSE(exec_awaits_lapse(exec, lug_now_us()));
}

TEST_F(ExecutorLapseTest, AnEndUnderAFencedLeaseIsAcknowledgedAfterTheLeaseHasLapsed)
{
	start_at_second_attempt();
	running.clear();
	finished = {{1, id("a")}};
	restart_worker();
	EXPECT_EQ(ends, (std::vector<std::string>{"a#1"}));
	fence_and_take();
	answer_poll();
	expect_no_grant_and_no_acknowledgement();
}

/* An owner fences the row of a former process at the moment at which the next one takes it. */
TEST_F(ExecutorLapseTest, AFailedAcquisitionOfTheLeaseAwaitsNoLapse)
{
	lug_executor_free(exec);
	worker.polls.clear();
	store.calls.clear();
	exec = lug_executor_new(ctx, &store.base, &worker.base, 1, send, this);
	send_heartbeat();
	lug_executor_tick(exec, lug_now_us());
	/* The read of the row. */
	store.answer_next();
	store.put("w1|worker/w1", "{\"owner\":\"\",\"ttl_ms\":6000,\"epoch\":2}");
	store.settle();
	ASSERT_FALSE(lug_writer_is_held(exec->writer));
	EXPECT_FALSE(exec_awaits_lapse(exec, lug_now_us()));
}

TEST_F(ExecutorLapseTest, TheNextProcessOfTheAgentAwaitsNoLapseOtherwise)
{
	finished = {{1, id("a")}};
	replace_process();
	exec->late_start_until_us = 0;
	ack("a");
	tick_later();
	expect_next_poll_to_acknowledge(1);
}

TEST_F(ExecutorLapseTest, TheNextProcessOfTheAgentAwaitsALapseThatTheRowStates)
{
	finished = {{1, id("a")}};
	store.put("w1|worker/w1", "{\"owner\":\"w1\",\"ttl_ms\":6000,\"epoch\":1,"
				  "\"lapse_left_ms\":9000}");
	replace_process();
	expect_no_grant_and_no_acknowledgement();
	EXPECT_GT(lease_row_int("lapse_left_ms"), 8000);
}

TEST_F(ExecutorLapseTest, TheNextProcessOfTheAgentAwaitsTheLapseOfALeaseAfterARestart)
{
	for (bool id_first : {true, false}) {
		finished = {{1, id("a")}};
		store.put("w1|worker/w1", "{\"owner\":\"\",\"ttl_ms\":6000,\"epoch\":1,"
					  "\"worker_id\":\"i\",\"worker_incarnation\":7}");
		replace_process(id_first);
		expect_no_grant_and_no_acknowledgement();
	}
}

TEST_F(ExecutorLapseTest, PollsDoNotLoopWhileTheRowIsNotValid)
{
	gint64 until_us = lug_now_us() + 500 * 1000;
	int count = 0;

	start_short("a");
	finished = {{1, id("a")}};
	answer_poll();
	exec->writer->valid_until_us = lug_now_us();
	ack("a");
	while (lug_now_us() < until_us) {
		if (!worker.polls.empty()) {
			expect_next_poll_to_acknowledge(0);
			/* A worker answers at once while an end is not acknowledged. */
			answer_poll();
			count++;
		}
		g_usleep(500);
		g_main_context_iteration(nullptr, FALSE);
	}
	EXPECT_LE(count, 10) << "polls in 0.5 s";
}

TEST_F(ExecutorLapseTest, NoStartIsRepeatedWhileALapseIsAwaited)
{
	start("a");
	exec_await_lapse(exec, "test", lug_now_us());
	ASSERT_TRUE(exec_awaits_lapse(exec, lug_now_us()));
	worker.answer(LUG_ORDER_UNKNOWN);
	ASSERT_FALSE(worker.orders.empty());
	EXPECT_EQ(worker.orders.back().kind, "stop");
	EXPECT_EQ(worker.orders.back().expires_ms, 0);
}

TEST_F(ExecutorLapseTest, AnEndAfterARestartThatIsHeardOfAfterTheFenceIsAcknowledgedAfterTheLapse)
{
	start_at_second_attempt();
	/* The lease as the agent knows it is over. */
	exec->granted_until_us = lug_now_us();
	fence_and_take();
	running.clear();
	finished = {{1, id("a")}};
	restart_worker();
	expect_no_grant_and_no_acknowledgement();
}
} // namespace
