#include "executor_fixture.h"

namespace
{
/* An agent with a worker of 4 cores, on which "a" runs and leaves less than "big" needs. */
struct ExecutorReserveTest : public ExecutorFixture {
	const guint64 *granted = &ctx->metrics->counters[LUG_C_RESERVATIONS_GRANTED];
	const guint64 *used = &ctx->metrics->counters[LUG_C_RESERVATIONS_USED];
	const guint64 *expired = &ctx->metrics->counters[LUG_C_RESERVATIONS_EXPIRED];
	const guint64 *backfilled = &ctx->metrics->counters[LUG_C_TASKS_BACKFILLED];

	void run_first()
	{
		ctx->settings->schedule_lookahead_ms = 2000;
		start("a", 2500);
		worker.answer(LUG_ORDER_OK);
		expect_run_time("a", 1000);
	}

	void expect_run_time(const char *job, gint64 run_ms)
	{
		struct lug_run_id run = id(job);

		ASSERT_NE(exec_find_run(exec, &run), nullptr);
		exec_find_run(exec, &run)->expected_ms = run_ms;
	}

	void reserve(const char *job, guint32 waited_ms = 300, bool cancel = false,
		     guint64 epoch = 1)
	{
		struct lug_run_id run = id(job);
		struct lug_resources size = {3000, 1, 0};
		Lug__RunReserve message = LUG__RUN_RESERVE__INIT;
		Lug__Resources wire_size;
		Lug__RunId wire;

		lug_run_to_wire(&run, &wire);
		lug_resources_to_wire(&size, &wire_size);
		message.epoch = epoch;
		message.id = &wire;
		message.size = &wire_size;
		message.waited_ms = waited_ms;
		message.cancel = cancel;
		lug_executor_on_reserve(exec, &message, lug_now_us());
	}

	/* Starts a run of half a core, or less, that is expected to end after @run_ms. */
	enum lug_status start_small(const char *job, gint64 run_ms, gint64 millicores = 500)
	{
		struct lug_run_id run = id(job);
		struct lug_resources size = {millicores, 1, 0};
		Lug__RunStart message = LUG__RUN_START__INIT;
		Lug__Resources wire_size;
		Lug__RunId wire;

		lug_run_to_wire(&run, &wire);
		lug_resources_to_wire(&size, &wire_size);
		message.epoch = 1;
		message.seq = ++seq;
		message.lease_epoch = 1;
		message.id = &wire;
		message.size = &wire_size;
		message.spec = (char *)"s";
		message.expected_ms = run_ms;
		answers.clear();
		lug_executor_on_start(exec, &message, lug_now_us());
		if (!worker.orders.empty())
			worker.answer(LUG_ORDER_OK);
		return answers.empty() ? LUG_UNKNOWN : answers.back().second;
	}

	void expect_answer(const char *run, enum lug_status status)
	{
		ASSERT_FALSE(reserve_answers.empty());
		EXPECT_EQ(std::get<0>(reserve_answers.back()), run);
		EXPECT_EQ(std::get<1>(reserve_answers.back()), status);
	}

	/* Ends the run "a" and delivers that by a poll. */
	void end_first()
	{
		finished.emplace_back(1, id("a"));
		while (worker.polls.empty())
			tick_later();
		answer_poll();
	}

	void step(gint64 later_ms)
	{
		exec_reserve_step(exec, lug_now_us() + later_ms * 1000);
	}
};

/* Guards against a change of behaviour while the setting is off. */
TEST_F(ExecutorReserveTest, RefusedWithoutTheSetting)
{
	run_first();
	ctx->settings->schedule_lookahead_ms = 0;
	reserve("big");
	expect_answer("big#1", LUG_OVER_LIMIT);
	step(40);
	EXPECT_EQ(*granted, 0u);
	EXPECT_EQ(start_small("b", 0), LUG_OK);
	send_beat_to_owner(0, [](const Lug__WorkerBeat &beat) {
		EXPECT_EQ(beat.reservation, nullptr);
		EXPECT_EQ(beat.n_forecast, 0u);
	});
}

/* Guards against room that others take before its holder, and against a late notice. */
TEST_F(ExecutorReserveTest, RoomIsKeptAndUsed)
{
	run_first();
	reserve("big");
	EXPECT_TRUE(reserve_answers.empty()) << "requests that come together are compared first";
	step(0);
	expect_answer("big#1", LUG_OK);
	EXPECT_GT(std::get<2>(reserve_answers.back()), 500u);
	EXPECT_EQ(start_small("b", 0), LUG_OVER_LIMIT) << "its end is not known";
	EXPECT_EQ(start_small("c", 3000), LUG_OVER_LIMIT) << "it ends later";
	EXPECT_EQ(start_small("d", 100), LUG_OK) << "it ends before";
	EXPECT_EQ(*backfilled, 1u);
	send_beat_to_owner(0, [](const Lug__WorkerBeat &beat) {
		ASSERT_NE(beat.reservation, nullptr);
		EXPECT_EQ(beat.reservation->size->millicores, 3000);
		EXPECT_TRUE(beat.reservation->backfill);
	});
	end_first();
	expect_answer("big#1", LUG_OK);
	EXPECT_EQ(std::get<2>(reserve_answers.back()), 0u) << "told by the poll that lists the end";
	EXPECT_EQ(start_small("e", 10, 600), LUG_OVER_LIMIT) << "it would take reserved room";
	EXPECT_EQ(start_small("f", 0, 500), LUG_OK) << "it leaves the room free";
	EXPECT_EQ(start_small("big", 0, 3000), LUG_OK);
	EXPECT_EQ(*used, 1u);
	send_beat_to_owner(
		0, [](const Lug__WorkerBeat &beat) { EXPECT_EQ(beat.reservation, nullptr); });
}

/* Guards against a worker that is given more than it holds, when the holder comes too early. */
TEST_F(ExecutorReserveTest, HolderIsRefusedWithoutRoom)
{
	run_first();
	reserve("big");
	step(0);
	EXPECT_EQ(start_small("big", 0, 3000), LUG_OVER_LIMIT);
	EXPECT_EQ(*used, 0u);
	EXPECT_EQ(start_small("b", 0), LUG_OVER_LIMIT) << "the reservation is still in force";
}

/* Guards against room kept for a dead owner, a cancelled job or a task that does not come. */
TEST_F(ExecutorReserveTest, UnusedReservationEnds)
{
	run_first();
	reserve("big");
	step(0);
	step(1400);
	EXPECT_EQ(*expired, 0u);
	step(1600);
	EXPECT_EQ(*expired, 1u) << "its owner is silent";
	expect_answer("big#1", LUG_OVER_LIMIT);
	EXPECT_EQ(start_small("b", 0), LUG_OK);
	reserve("big");
	step(0);
	EXPECT_EQ(*granted, 2u);
	reserve("other", 9000);
	expect_answer("other#1", LUG_OVER_LIMIT);
	EXPECT_EQ(start_small("c", 0), LUG_OVER_LIMIT);
	reserve("big", 300, /* cancel */ true);
	EXPECT_EQ(start_small("c", 0), LUG_OK);
	EXPECT_EQ(*expired, 1u);
}

/* Guards against requests of a former owner of the shard. */
TEST_F(ExecutorReserveTest, FormerOwnerIsIgnored)
{
	run_first();
	lug_executor_update_owner(exec, 0, 5);
	reserve("big", 300, false, /* epoch */ 4);
	step(0);
	EXPECT_TRUE(reserve_answers.empty());
	EXPECT_EQ(*granted, 0u);
}

/* Guards against forecasts without a reader, and against ends forecast too early. */
TEST_F(ExecutorReserveTest, ForecastIsSentWhenItIsWanted)
{
	std::vector<std::pair<guint32, gint64>> points;
	struct lug_heartbeat_target target = {};

	run_first();
	start("adopted", 500);
	worker.answer(LUG_ORDER_OK);
	expect_run_time("adopted", 0);
	target.forecast_wanted = TRUE;
	target.is_owner = [](void *, guint32) -> gboolean { return TRUE; };
	target.send = [](void *data, Lug__Envelope *env) -> gboolean {
		for (size_t i = 0; i < env->worker_beat->n_forecast; i++)
			static_cast<decltype(points) *>(data)->emplace_back(
				env->worker_beat->forecast[i]->in_ms,
				env->worker_beat->forecast[i]->room->millicores);
		return TRUE;
	};
	target.data = &points;
	lug_executor_send_heartbeat(exec, &target, lug_now_us());
	ASSERT_EQ(points.size(), 1u);
	EXPECT_NEAR(points[0].first, 1000, 200);
	EXPECT_EQ(points[0].second, 3500) << "the end of the other run is not known";
}

/* Guards against backfill by runs whose image takes longer than their owners expect. */
TEST_F(ExecutorReserveTest, PromiseFollowsTheEndsOfTheImage)
{
	struct exec_run run = {};

	run_first();
	run.image = "";
	run.expected_ms = 100;
	run.applied_percent = 100;
	for (int i = 0; i < 10; i++) {
		run.start_sent_us = lug_now_us() - 2000 * 1000;
		exec_reserve_learn(exec, &run, lug_now_us());
	}
	reserve("big");
	step(0);
	EXPECT_EQ(start_small("b", 100), LUG_OVER_LIMIT) << "such runs take 2 s";
	EXPECT_EQ(start_small("c", 10), LUG_OK);
}
} // namespace
