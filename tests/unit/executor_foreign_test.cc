#include "executor_fixture.h"

/* Incident cancellation-acknowledged-before-its-stops: heartbeats may come from another writer. */
namespace
{
struct ExecutorForeignTest : public ExecutorFixture {
	/* The worker on the instance: calls that name another one are misdirected. */
	const std::string real_id = worker_id;
	const guint64 real_incarnation = incarnation;

	/* Delivers a heartbeat that names a worker that is not on this instance. */
	void send_foreign_heartbeat(guint64 stated_incarnation)
	{
		gint64 own_seq = heartbeat_seq;

		worker_id = "x";
		incarnation = stated_incarnation;
		heartbeat_seq = 1000000;
		send_heartbeat();
		worker_id = real_id.c_str();
		incarnation = real_incarnation;
		heartbeat_seq = own_seq;
	}

	/* Answers the open polls and orders as the worker does; returns the orders that it takes.
	 */
	std::vector<std::string> answer_as_worker()
	{
		std::vector<std::string> taken;

		for (int i = 0; i < 8; i++) {
			tick();
			while (!worker.orders.empty()) {
				bool mine = worker.orders.front().worker == real_id ||
					    worker.orders.front().worker.empty();

				if (mine)
					taken.push_back(worker.orders.front().kind);
				worker.answer(mine ? LUG_ORDER_OK : LUG_ORDER_MISDIRECTED);
			}
			if (!worker.polls.empty())
				answer_poll(worker.polls.front().target == real_id ||
							    worker.polls.front().target.empty()
						    ? LUG_ORDER_OK
						    : LUG_ORDER_MISDIRECTED);
		}
		return taken;
	}

	void start_confirmed(const char *job)
	{
		start(job);
		worker.answer(LUG_ORDER_OK);
		running.push_back({id(job), 0});
		answer_poll();
	}
};

TEST_F(ExecutorForeignTest, AnotherIdOfTheSameIncarnationIsIgnored)
{
	start_confirmed("a");
	send_foreign_heartbeat(real_incarnation);
	EXPECT_STREQ(exec_target_id(exec), "i");
	stop("a");
	EXPECT_EQ(answer_as_worker(), std::vector<std::string>{"stop"});
	EXPECT_EQ(stop_answers, std::vector<std::string>{"a#1"});
}

TEST_F(ExecutorForeignTest, IdThatTheWorkerRefusesIsForgotten)
{
	start_confirmed("a");
	send_foreign_heartbeat(real_incarnation + 1);
	answer_as_worker();
	send_heartbeat();
	EXPECT_STREQ(exec_target_id(exec), "i");
	answer_as_worker();
	stop("a");
	EXPECT_EQ(answer_as_worker(), std::vector<std::string>{"stop"});
	EXPECT_EQ(stop_answers, std::vector<std::string>{"a#1"});
	EXPECT_TRUE(crashed.empty());
}

/* The worker has carried out a start whose answer was lost. */
TEST_F(ExecutorForeignTest, RunThatIsBeingStartedIsKept)
{
	start("a");
	send_foreign_heartbeat(real_incarnation + 1);
	running.push_back({id("a"), 0});
	EXPECT_EQ(exec->runs->len, 1u);
	stop("a");
	EXPECT_TRUE(stop_answers.empty()) << "the start has no answer yet";
	worker.answer(LUG_ORDER_UNKNOWN);
	answer_as_worker();
	EXPECT_EQ(exec->runs->len, 1u);
	EXPECT_TRUE(crashed.empty());
}
} // namespace
