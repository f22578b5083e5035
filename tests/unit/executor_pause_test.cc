#include "executor_fixture.h"

/*
 * Incident lease-time-counted-anew: each process of the agent beside a worker that was lost waited
 * for the whole duration of a lease.
 */
namespace
{
/* Longer than EXPIRED_ANSWER_TIMEOUT_US. */
constexpr gint64 ANSWER_TIMEOUT_US = 1600 * 1000;

struct ExecutorPauseTest : public ExecutorFixture {
	gint64 lease_left_ms()
	{
		return lease_row_int("lease_left_ms");
	}

	/* MAX_FAILED_POLLS */
	void fall_silent()
	{
		for (int i = 0; i < 2; i++) {
			if (worker.polls.empty())
				tick_later();
			answer_poll(LUG_ORDER_UNKNOWN);
		}
	}

	void replace_process(const std::string &former_row)
	{
		lug_executor_free(exec);
		worker.polls.clear();
		store.calls.clear();
		store.put("w1|worker/w1", former_row);
		exec = lug_executor_new(ctx, &store.base, &worker.base, 1, send, this);
		tick();
	}

	static std::string row_with(const std::string &lease_left)
	{
		return "{\"owner\":\"w1\",\"epoch\":4,\"ttl_ms\":6000,\"txn\":\"x\"," + lease_left +
		       "\"worker_id\":\"i\",\"worker_incarnation\":100}";
	}

	/* Whether owners are told that no earlier run is left, when a poll was due after a time. */
	bool is_confirmed_after(gint64 silent_us)
	{
		gint64 now_us = lug_now_us();
		guint64 epoch = 0;

		lug_executor_tick(exec, now_us + silent_us);
		lug_executor_tick(exec, now_us + silent_us + ANSWER_TIMEOUT_US);
		send_beat_to_owner(0,
				   [&](const Lug__WorkerBeat &beat) { epoch = beat.lease_epoch; });
		return epoch != 0;
	}
};

TEST_F(ExecutorPauseTest, TheRowStatesTheLeaseThatASilentWorkerMayHold)
{
	EXPECT_EQ(lease_left_ms(), -1);
	fall_silent();
	EXPECT_GT(lease_left_ms(), 4000);
	EXPECT_LE(lease_left_ms(), 6000);
}

TEST_F(ExecutorPauseTest, TheNextProcessWaitsForNoMoreThanTheRowStates)
{
	replace_process(row_with("\"lease_left_ms\":1000,"));
	EXPECT_FALSE(is_confirmed_after(900 * 1000 - ANSWER_TIMEOUT_US));
	EXPECT_TRUE(is_confirmed_after(1021 * 1000));
}

TEST_F(ExecutorPauseTest, EachFurtherProcessWaitsForTheRest)
{
	replace_process(row_with("\"lease_left_ms\":1000,"));
	g_usleep(300 * 1000);
	lug_writer_rewrite(exec->writer, lug_now_us());
	store.settle();
	EXPECT_LE(lease_left_ms(), 1021 - 300);
	EXPECT_GT(lease_left_ms(), 0);
}

TEST_F(ExecutorPauseTest, TheNextProcessWaitsForAWholeLeaseIfTheRowStatesNone)
{
	replace_process(row_with(""));
	EXPECT_FALSE(is_confirmed_after(5900 * 1000 - ANSWER_TIMEOUT_US));
	EXPECT_TRUE(is_confirmed_after(6121 * 1000));
}

/* A row is odd, or states a longer time than its lease. */
TEST_F(ExecutorPauseTest, TheNextProcessWaitsForTheLeaseAtMost)
{
	replace_process(row_with("\"lease_left_ms\":9000000000000000,"));
	EXPECT_TRUE(is_confirmed_after(6121 * 1000));
	replace_process(row_with("\"lease_left_ms\":\"x\","));
	EXPECT_FALSE(is_confirmed_after(5900 * 1000 - ANSWER_TIMEOUT_US));
}

/* Otherwise the next process, which reads the row, would allow for too little. */
TEST_F(ExecutorPauseTest, NoLeaseIsGrantedBeforeTheRowSaysThatTheWorkerIsBack)
{
	fall_silent();
	tick_later();
	store.is_silent = true;
	for (int i = 0; i < 3; i++) {
		answer_poll();
		EXPECT_EQ(worker.polls.front().request.expires_ms, 0);
	}
	start("a");
	EXPECT_TRUE(worker.orders.empty());
	ASSERT_FALSE(answers.empty());
	EXPECT_EQ(answers.back(), std::make_pair(std::string("a#1"), LUG_NOT_RUN));
	store.is_silent = false;
	store.settle();
	EXPECT_EQ(lease_left_ms(), -1);
	answer_poll();
	EXPECT_GT(worker.polls.front().request.expires_ms, 0);
	start("b");
	EXPECT_EQ(worker.orders.size(), 1u);
}

TEST_F(ExecutorPauseTest, AStartIsNotRepeatedToASilentWorker)
{
	start("a");
	fall_silent();
	worker.answer(LUG_ORDER_UNKNOWN);
	ASSERT_EQ(worker.orders.size(), 1u);
	EXPECT_EQ(worker.orders.back().kind, "stop");
}

TEST_F(ExecutorPauseTest, ARestartedWorkerIsGrantedALeaseAgain)
{
	fall_silent();
	incarnation = 200;
	heartbeat_seq = 0;
	send_heartbeat();
	tick();
	EXPECT_EQ(lease_left_ms(), -1);
}
} // namespace
