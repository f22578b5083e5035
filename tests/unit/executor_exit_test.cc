#include "executor_fixture.h"

/*
 * Incident exit-of-a-former-incarnation: the call that announces an exit names the worker's id,
 * which the next incarnation may have, too.
 */
namespace
{
/* Longer than WORKER_EXIT_US. */
constexpr gint64 EXIT_US = 600 * 1000;

struct ExecutorExitTest : public ExecutorFixture {
	const gint64 *held = &ctx->metrics->gauges[LUG_G_TASKS_RUNNING];

	void start_confirmed(const char *job)
	{
		start(job);
		worker.answer(LUG_ORDER_OK);
		running.push_back({id(job), 10});
	}

	/* The worker drains and ends; its next incarnation has the same id. */
	void replace_incarnation()
	{
		send_heartbeat(/* draining */ true);
		incarnation = 200;
		heartbeat_seq = 0;
		send_heartbeat();
		answer_poll();
		if (!worker.polls.empty())
			answer_poll();
	}

	void announce_exit()
	{
		lug_executor_on_worker_exit(exec, worker_id, lug_now_us());
	}

	/* Lets the polls fail that are sent in EXIT_US. */
	void refuse_polls()
	{
		gint64 until_us = lug_now_us() + EXIT_US;

		while (lug_now_us() < until_us) {
			if (!worker.polls.empty())
				answer_poll(LUG_ORDER_UNKNOWN);
			g_usleep(20 * 1000);
			tick();
		}
	}

	void answer_polls()
	{
		gint64 until_us = lug_now_us() + EXIT_US;

		while (lug_now_us() < until_us) {
			if (!worker.polls.empty())
				answer_poll();
			g_usleep(20 * 1000);
			tick();
		}
	}
};

TEST_F(ExecutorExitTest, ALateExitOfAFormerIncarnationDoesNotEndTheRunsOfThePresentOne)
{
	replace_incarnation();
	start_confirmed("a");
	announce_exit();
	answer_polls();
	EXPECT_EQ(*held, 1) << "its owner would start the task again";
	start("b");
	EXPECT_EQ(worker.orders.size(), 1u) << "the worker takes no starts";
}

TEST_F(ExecutorExitTest, AnExitDoesNotEndTheRunsOfADrainingWorkerThatAnswers)
{
	replace_incarnation();
	start_confirmed("a");
	send_heartbeat(/* draining */ true);
	announce_exit();
	answer_polls();
	EXPECT_EQ(*held, 1);
	running.clear();
	finished = {{1, id("a")}};
	answer_poll();
	EXPECT_EQ(ends, std::vector<std::string>{"a#1"}) << "it is polled until it is gone";
}

TEST_F(ExecutorExitTest, AnExitDoesNotEndTheRunsOfADrainingWorkerThatIsOutOfReach)
{
	replace_incarnation();
	start_confirmed("a");
	send_heartbeat(/* draining */ true);
	announce_exit();
	/* Longer than BROKEN_POLL_US: the poll times out. */
	g_usleep(EXIT_US);
	answer_poll(LUG_ORDER_UNKNOWN);
	tick();
	lug_executor_tick(exec, lug_now_us() + EXIT_US);
	EXPECT_EQ(*held, 1);
}

TEST_F(ExecutorExitTest, TheRunsOfAWorkerThatHasExitedEndAtOnce)
{
	start_confirmed("a");
	send_heartbeat(/* draining */ true);
	announce_exit();
	refuse_polls();
	EXPECT_EQ(*held, 0);
	EXPECT_TRUE(crashed.empty());
	worker.polls.clear();
	g_usleep(200 * 1000);
	tick();
	EXPECT_TRUE(worker.polls.empty()) << "a worker that has exited is not polled";
}

TEST_F(ExecutorExitTest, AnExitOfWhichABrokenPollIsTheOnlySignDoesNotEndRuns)
{
	start_confirmed("a");
	send_heartbeat(/* draining */ true);
	announce_exit();
	answer_poll(LUG_ORDER_UNKNOWN);
	lug_executor_tick(exec, lug_now_us() + EXIT_US);
	EXPECT_EQ(*held, 1) << "the connection may have been reset";
}

TEST_F(ExecutorExitTest, AWorkerThatReportsThatItIsReadyHasNotExited)
{
	send_heartbeat(/* draining */ true);
	announce_exit();
	refuse_polls();
	send_heartbeat();
	tick();
	ASSERT_FALSE(worker.polls.empty());
	answer_poll();
	start("a");
	EXPECT_EQ(worker.orders.size(), 1u);
}
} // namespace
