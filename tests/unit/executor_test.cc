#include "executor_fixture.h"

namespace
{
using ExecutorTest = ExecutorFixture;

TEST_F(ExecutorTest, ReservesResourcesBeforeSendingTheStart)
{
	start("a", 3000);
	start("b", 3000);
	ASSERT_EQ(worker.orders.size(), 1u);
	ASSERT_EQ(answers.size(), 1u);
	EXPECT_EQ(answers[0], std::make_pair(std::string("b#1"), LUG_OVER_LIMIT));
	worker.answer(LUG_ORDER_OK);
	EXPECT_EQ(answers[1], std::make_pair(std::string("a#1"), LUG_OK));
}

/* Owners that place tasks at the same time don't know each other's placements. */
TEST_F(ExecutorTest, RefusesBestEffortTasksWithoutFreeCores)
{
	start_best_effort("a", 3000);
	start_best_effort("b", 3000);
	start_best_effort("c", 1000);
	ASSERT_EQ(worker.orders.size(), 2u);
	EXPECT_STREQ(worker.orders[1].id.job, "c");
	ASSERT_EQ(answers.size(), 1u);
	EXPECT_EQ(answers[0], std::make_pair(std::string("b#1"), LUG_OVER_LIMIT));
}

TEST_F(ExecutorTest, LeaseExpiresInTimeOnASlowWorkerClock)
{
	start("a");
	ASSERT_EQ(worker.orders[0].kind, "start");
	/* A lease of 6 s, less 2 % for the drift of the agent's clock and 2 % for the worker's. */
	EXPECT_LE(worker.orders[0].expires_ms, 5000 + 6000 * 98 / 100 * 98 / 100);
	EXPECT_GT(worker.orders[0].expires_ms, 5000 + 5000);
	/* The lease epoch, and the number of the worker's restarts under it. */
	EXPECT_EQ(worker.orders[0].token, 1u << 20);
}

/* The worker leaves calls other than polls without an answer, though they take effect. */
TEST_F(ExecutorTest, AStartThatAPollHasConfirmedIsNotRepeated)
{
	start("a");
	running = {{id("a"), 10}};
	answer_poll();
	worker.answer(LUG_ORDER_UNKNOWN);
	EXPECT_TRUE(worker.orders.empty());
	EXPECT_EQ(answers.back(), std::make_pair(std::string("a#1"), LUG_OK));
}

TEST_F(ExecutorTest, StopsARunAfterUnansweredStartsAndKeepsItsReservation)
{
	start("a", 3000);
	/* MAX_START_ATTEMPTS */
	for (int i = 0; i < 7; i++) {
		ASSERT_EQ(worker.orders[0].kind, "start");
		worker.answer(LUG_ORDER_UNKNOWN);
	}
	ASSERT_EQ(worker.orders[0].kind, "stop");
	worker.answer(LUG_ORDER_OK);
	expire_late_starts("a");
	start("b", 3000);
	EXPECT_EQ(answers.back(), std::make_pair(std::string("b#1"), LUG_OVER_LIMIT));
	/* Only a poll sent after the answer to the stop shows that the run is gone. */
	answer_poll();
	start("c", 3000);
	EXPECT_EQ(answers.back(), std::make_pair(std::string("c#1"), LUG_OVER_LIMIT));
	answer_poll();
	start("d", 3000);
	ASSERT_FALSE(worker.orders.empty());
	EXPECT_EQ(worker.orders.back().kind, "start");
}

/* The answer to the stop and the next poll may fall into the same microsecond. */
TEST_F(ExecutorTest, RemovesAStoppedRunWithTheFirstPollSentAfterTheStop)
{
	for (int i = 0; i < 100; i++) {
		start(("a" + std::to_string(i)).c_str(), 3000);
		ASSERT_FALSE(worker.orders.empty()) << "the run before it is still there";
		worker.answer(LUG_ORDER_OK);
		exec_stop_run(exec, (struct exec_run *)g_ptr_array_index(exec->runs, 0));
		worker.answer(LUG_ORDER_OK);
		answer_poll();
		answer_poll();
	}
}

TEST_F(ExecutorTest, StopsARunRefusedAfterAnUnansweredStart)
{
	start("a", 3000);
	worker.answer(LUG_ORDER_UNKNOWN);
	worker.answer(LUG_ORDER_REFUSED);
	EXPECT_TRUE(answers.empty());
	EXPECT_EQ(worker.orders[0].kind, "stop");
}

TEST_F(ExecutorTest, IgnoresStartsForAnotherLease)
{
	start("a", 1000, /* lease_epoch */ 7);
	EXPECT_TRUE(answers.empty());
	EXPECT_TRUE(worker.orders.empty());
}

TEST_F(ExecutorTest, DropsStartsOfAFormerOwner)
{
	lug_executor_update_owner(exec, 0, 5);
	start("a", 1000, /* lease_epoch */ 1, /* epoch */ 4);
	EXPECT_TRUE(worker.orders.empty());
	start("b", 1000, /* lease_epoch */ 1, /* epoch */ 5);
	EXPECT_EQ(worker.orders.size(), 1u);
}

TEST_F(ExecutorTest, RefusesStartsWhileShuttingDown)
{
	lug_executor_shut_down(exec);
	start("a");
	EXPECT_TRUE(worker.orders.empty());
	EXPECT_EQ(answers[0].second, LUG_NOT_RUN);
}

TEST_F(ExecutorTest, RefusesStartsWhenTheWorkerIsSilent)
{
	/* The start arrives 2 s after the worker's last answer: longer than WORKER_SILENT_US. */
	start("a", 1000, /* lease_epoch */ 1, /* epoch */ 1, /* later_us */ 2000000);
	EXPECT_TRUE(worker.orders.empty());
	EXPECT_EQ(answers[0].second, LUG_NOT_RUN);
}

TEST_F(ExecutorTest, AcknowledgesEndsInOrderOnceStored)
{
	start_short("a");
	start_short("b");
	finished = {{1, id("a")}, {2, id("b")}};
	answer_poll();
	EXPECT_EQ(ends, (std::vector<std::string>{"a#1", "b#1"}));
	ack("b");
	/* Longer than UNACKED_POLL_US. */
	g_usleep(100 * 1000);
	tick();
	ASSERT_FALSE(worker.polls.empty());
	EXPECT_EQ(worker.polls.front().request.acked_end_number, 0u);
	ack("a");
	answer_poll();
	ASSERT_FALSE(worker.polls.empty());
	EXPECT_EQ(worker.polls.front().request.acked_end_number, 2u);
}

/* A run behind the ends that a poll lists was dropped, and its owner started the task again. */
TEST_F(ExecutorTest, KeepsARunWhoseEndIsBehindTheListedOnes)
{
	const gint64 *held = &ctx->metrics->gauges[LUG_G_TASKS_RUNNING];

	start("a");
	worker.answer(LUG_ORDER_OK);
	start("b");
	worker.answer(LUG_ORDER_OK);
	answer_poll();
	finished = {{1, id("a")}, {2, id("b")}};
	finished_max = 1;
	answer_poll();
	EXPECT_EQ(ends, (std::vector<std::string>{"a#1"}));
	tick();
	EXPECT_EQ(*held, 1) << "the end of b is not listed yet";
	ack("a");
	/* Longer than UNACKED_POLL_US. */
	g_usleep(100 * 1000);
	tick();
	answer_poll();
	EXPECT_EQ(ends, (std::vector<std::string>{"a#1", "b#1"}));
	tick();
	EXPECT_EQ(*held, 0);
}

/* Owners treat a run that a list leaves out as lost, so the list states what it covers. */
TEST_F(ExecutorTest, HeartbeatsListAllRunsInTurnAndStateTheirBounds)
{
	const int runs = 1200;
	std::vector<std::string> names;
	std::map<std::string, int> listed;
	struct lug_run_id after = {};

	for (int i = 0; i < runs; i++) {
		names.push_back("job" + std::to_string(i));
		start(names.back().c_str(), /* millicores */ 0);
		worker.answer(LUG_ORDER_OK);
	}
	for (int n = 0; n < 3; n++)
		send_beat_to_owner(0, [&](const Lug__WorkerBeat &beat) {
			const Lug__ShardHeld *held = beat.shards[0];

			EXPECT_LE(held->n_held, 500u);
			EXPECT_EQ(held->listed_after != nullptr, n > 0);
			EXPECT_EQ(held->listed_until != nullptr, n < 2);
			if (held->listed_after) {
				EXPECT_STREQ(held->listed_after->job, after.job)
					<< "a gap between two lists";
			}
			if (held->listed_until)
				lug_run_from_wire(held->listed_until, &after);
			for (size_t i = 0; i < held->n_held; i++)
				listed[held->held[i]->id->job]++;
		});
	EXPECT_EQ(listed.size(), (size_t)runs);
	for (const auto &item : listed)
		EXPECT_EQ(item.second, 1) << item.first;
}

TEST_F(ExecutorTest, ShortListsHaveNoBounds)
{
	start("a");
	send_beat_to_owner(0, [&](const Lug__WorkerBeat &beat) {
		EXPECT_EQ(beat.shards[0]->n_held, 1u);
		EXPECT_EQ(beat.shards[0]->listed_after, nullptr);
		EXPECT_EQ(beat.shards[0]->listed_until, nullptr);
	});
}

/* A restarted agent does not know of the ends that the first poll leaves out. */
TEST_F(ExecutorTest, ReportsNoListOfRunsBeforeAllEndsAreListed)
{
	guint64 epoch = 9;
	size_t n_shards = 9;
	auto note = [&](const Lug__WorkerBeat &beat) {
		epoch = beat.lease_epoch;
		n_shards = beat.n_shards;
	};

	lug_executor_free(exec);
	worker.polls.clear();
	/* The former process has released the lease. */
	store.put("w1|worker/w1", "{\"owner\":\"\",\"epoch\":1,\"ttl_ms\":6000}");
	finished = {{1, id("a")}, {2, id("b")}};
	finished_max = 1;
	exec = lug_executor_new(ctx, &store.base, &worker.base, 1, send, this);
	send_heartbeat();
	tick();
	answer_poll();
	send_beat_to_owner(0, note);
	EXPECT_EQ(epoch, 0u);
	EXPECT_EQ(n_shards, 0u) << "the owner would take the run of b for lost";
	ack("a");
	tick();
	answer_poll();
	ack("b");
	tick();
	answer_poll();
	send_beat_to_owner(0, note);
	EXPECT_EQ(n_shards, 1u);
	EXPECT_EQ(ends, (std::vector<std::string>{"a#1", "b#1"}));
}

/* The agent was suspended for longer than the lease, and the run has ended as done meanwhile. */
TEST_F(ExecutorTest, KeepsRunsOfAnExpiredLeaseUntilTheWorkerHasListedItsEnds)
{
	const gint64 *held = &ctx->metrics->gauges[LUG_G_TASKS_RUNNING];
	gint64 later_us = lug_now_us() + 20 * G_USEC_PER_SEC;

	start("a", 3000);
	worker.answer(LUG_ORDER_OK);
	lug_executor_tick(exec, later_us);
	EXPECT_EQ(*held, 1) << "the owner would start the task again";
	finished = {{1, id("a")}};
	answer_poll();
	EXPECT_EQ(ends, (std::vector<std::string>{"a#1"}));
	lug_executor_tick(exec, later_us);
	EXPECT_EQ(*held, 0);
}

TEST_F(ExecutorTest, DropsRunsOfAnExpiredLeaseWhenTheWorkerDoesNotAnswer)
{
	const gint64 *held = &ctx->metrics->gauges[LUG_G_TASKS_RUNNING];
	gint64 later_us = lug_now_us() + 20 * G_USEC_PER_SEC;

	start("a", 3000);
	worker.answer(LUG_ORDER_OK);
	lug_executor_tick(exec, later_us);
	EXPECT_EQ(*held, 1);
	/* Longer than EXPIRED_ANSWER_TIMEOUT_US. */
	lug_executor_tick(exec, later_us + 1600 * 1000);
	EXPECT_EQ(*held, 0);
}

TEST_F(ExecutorTest, RefusesStartsWhileAttributesOfARunAreMissing)
{
	running = {{id("x"), 10}};
	answer_poll();
	start("a");
	EXPECT_EQ(answers.back().second, LUG_NOT_RUN);
	EXPECT_TRUE(worker.orders.empty());
}

TEST_F(ExecutorTest, RemovesConfirmedRunsThatALaterPollDoesNotList)
{
	start("a", 3000);
	worker.answer(LUG_ORDER_OK);
	/* A poll sent in the microsecond of the confirmation does not count as later. */
	g_usleep(10);
	answer_poll();
	start("b", 3000);
	EXPECT_EQ(answers.back().second, LUG_OVER_LIMIT)
		<< "the poll was sent before the start was confirmed";
	answer_poll();
	start("c", 3000);
	EXPECT_EQ(worker.orders.back().id.job, std::string("c"));
}

/* Rule LIMIT: the room of a worker changes while it runs, and what is being stopped counts. */
TEST_F(ExecutorTest, StartsRespectARoomThatShrinksAndGrows)
{
	start("a", 2000);
	worker.answer(LUG_ORDER_OK);
	capacity_millicores = 2500;
	send_heartbeat();
	start("b", 1000);
	EXPECT_EQ(answers.back(), std::make_pair(std::string("b#1"), LUG_OVER_LIMIT));
	capacity_millicores = 1000;
	send_heartbeat();
	start("c", 1);
	EXPECT_EQ(answers.back(), std::make_pair(std::string("c#1"), LUG_OVER_LIMIT));
	capacity_millicores = 3000;
	send_heartbeat();
	start("d", 1000);
	ASSERT_EQ(worker.orders.size(), 1u);
	EXPECT_STREQ(worker.orders[0].id.job, "d");
}

/* Rule LIMIT: an agent that was suspended reads old heartbeats, and starts by the room in them. */
TEST_F(ExecutorTest, RefusesStartsWhenTheRoomIsOutdated)
{
	clock_ms += 4000;
	answer_poll();
	start("a");
	ASSERT_FALSE(answers.empty());
	EXPECT_EQ(answers.back(), std::make_pair(std::string("a#1"), LUG_NOT_RUN));
	clock_ms -= 4000;
	send_heartbeat();
	clock_ms += 4000;
	start("b");
	EXPECT_EQ(answers.back(), std::make_pair(std::string("b#1"), LUG_NOT_RUN))
		<< "the heartbeat arrived late";
	send_heartbeat();
	start("c");
	ASSERT_EQ(worker.orders.size(), 1u);
	EXPECT_STREQ(worker.orders[0].id.job, "c");
}

/* With four owners and an interval of 10, every second owner received no report. */
TEST_F(ExecutorTest, EachOwnerReceivesOneReportOfInterferenceInAnInterval)
{
	Lug__WorkerBeatAck ack = LUG__WORKER_BEAT_ACK__INIT;
	const struct lug_interference_pair pair = {"s", "f", 0.1, 10};
	g_autoptr(GArray) report = g_array_new(FALSE, FALSE, sizeof(pair));
	g_autoptr(GPtrArray) reports_of_workers = g_ptr_array_new();
	guint reports[4] = {};

	g_array_append_val(report, pair);
	g_ptr_array_add(reports_of_workers, report);
	lug_interference_average(exec->interference, reports_of_workers);
	ack.interference_interval = 10;
	lug_executor_merge_interference(exec, &ack);
	for (guint64 n = 0; n < 20; n++)
		for (guint owner = 0; owner < 4; owner++)
			send_beat_to_owner(n, [&](const Lug__WorkerBeat &beat) {
				reports[owner] += beat.n_harm > 0;
			});
	for (guint owner = 0; owner < 4; owner++)
		EXPECT_EQ(reports[owner], 2u) << owner;
}
} // namespace
