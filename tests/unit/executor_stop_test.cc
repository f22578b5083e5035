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
