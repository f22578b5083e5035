#include "executor_fixture.h"

namespace
{
struct ExecutorStopTest : public ExecutorFixture {
	/* Starts the first run of a job, which the worker confirms. */
	void start_confirmed(const char *job)
	{
		start(job);
		worker.answer(LUG_ORDER_OK);
		running.push_back({id(job), 0});
	}
};

TEST_F(ExecutorStopTest, StopIsAnsweredOnceTheWorkerHasConfirmedIt)
{
	start_confirmed("a");
	stop("a");
	EXPECT_TRUE(stop_answers.empty());
	worker.answer(LUG_ORDER_OK);
	EXPECT_EQ(stop_answers, std::vector<std::string>{"a#1"});
	/* The answer was lost. */
	stop("a");
	EXPECT_EQ(stop_answers, (std::vector<std::string>{"a#1", "a#1"}));
	EXPECT_TRUE(worker.orders.empty());
}

TEST_F(ExecutorStopTest, UnansweredStopIsNotConfirmed)
{
	start_confirmed("a");
	stop("a");
	worker.answer(LUG_ORDER_UNKNOWN);
	stop("a");
	EXPECT_TRUE(stop_answers.empty());
	/* Longer than STOP_RETRY_US. */
	g_usleep(520 * 1000);
	tick();
	worker.answer(LUG_ORDER_OK);
	EXPECT_EQ(stop_answers, std::vector<std::string>{"a#1"});
}

TEST_F(ExecutorStopTest, StopOfARunThatIsBeingStartedWaitsForBothCalls)
{
	start("a");
	stop("a");
	EXPECT_TRUE(stop_answers.empty());
	worker.answer(LUG_ORDER_OK);
	EXPECT_TRUE(stop_answers.empty());
	worker.answer(LUG_ORDER_OK);
	EXPECT_EQ(stop_answers, std::vector<std::string>{"a#1"});
}

/* A renewal is in flight as the agent stops, and a run appears before the release can begin. */
TEST_F(ExecutorStopTest, ReleaseOfTheLeaseIsWithdrawnWhenARunAppears)
{
	/* Longer than LEASE_RENEW_MS. */
	g_usleep(1050 * 1000);
	lug_executor_tick(exec, lug_now_us());
	ASSERT_FALSE(store.calls.empty());
	lug_executor_shut_down(exec);
	lug_executor_tick(exec, lug_now_us());
	/* Started late, or by a former process. */
	running.push_back({id("late"), 0});
	answer_poll();
	tick();
	tick();
	EXPECT_EQ(exec->runs->len, 1u);
	EXPECT_NE(store.rows["w1|worker/w1"].data.find("\"owner\":\"w1\""), std::string::npos)
		<< store.rows["w1|worker/w1"].data;
}

TEST_F(ExecutorStopTest, StopOfAnUnknownRunIsAnsweredOnceAllRunsAreKnown)
{
	stop("a");
	EXPECT_EQ(stop_answers, std::vector<std::string>{"a#1"});
	/* As after the lease was taken anew: a former process may have started the run. */
	exec->confirmed_epoch = 0;
	stop("b");
	EXPECT_EQ(stop_answers, std::vector<std::string>{"a#1"});
}
} // namespace
