#include "shard_fixture.h"

namespace
{
std::string body(const char *kind, int millicores, int count = 1)
{
	return std::string("{\"queue\":\"q\",\"spec\":\"s\",\"occurrences\":1,\"accepted_ms\":0,"
			   "\"steps\":[{\"count\":") +
	       std::to_string(count) + ",\"millicores\":" + std::to_string(millicores) +
	       ",\"memory\":1," + kind + "}]}";
}

/* An owner and full workers of 8 cores, from whose agents the test delivers answers. */
struct ShardReserveTest : public ShardFixture {
	const guint64 *started = &ctx->metrics->counters[LUG_C_TASKS_STARTED];

	void set_used(const char *name, gint64 millicores)
	{
		struct lug_resources used = {millicores, 1, 0};

		lug_fleet_set_used(lug_fleet_find(fleet, name), &used);
	}

	/* A heartbeat of a full worker with a forecast of @millicores in @in_ms. */
	void beat(const char *name, gint64 millicores, gint64 in_ms = 800,
		  gint64 used_millicores = 8000)
	{
		struct lug_fleet_worker *worker = lug_fleet_get(fleet, name, lug_now_us());

		/* The fixture places tasks before the test can say what is used. */
		worker->avoid_until_us = G_MAXINT64;
		send_beat({}, *started, 1, name);
		worker->avoid_until_us = 0;
		set_used(name, used_millicores);
		worker->n_forecast = 1;
		worker->forecast[0] = {lug_now_us() + in_ms * 1000, {millicores, 1 << 20, 0}};
		run_rounds();
	}

	/* A job with one large long-running task, which has waited long enough to ask. */
	void add_waiting_job()
	{
		ctx->settings->schedule_lookahead_ms = 2000;
		take_shard();
		run_rounds();
		beat("w1", 4000);
		add_stored_job("big", body("\"lasting\":1", 3000).c_str());
		run_rounds();
		EXPECT_TRUE(lug_fleet_wants_forecast(fleet, lug_now_us()));
		EXPECT_EQ(shard->reserves->len, 0u) << "it waits for too short a time";
		wait_to_ask();
	}

	/*
	 * Longer than LUG_RESERVATION_WAIT_US and SEARCH_INTERVAL_US: the largest task is found in
	 * one interval and asks in the next.
	 */
	void wait_to_ask()
	{
		g_usleep(310 * 1000);
		run_rounds();
		g_usleep(110 * 1000);
		run_rounds();
	}

	void answer(const char *worker, enum lug_status status, guint32 ready_in_ms,
		    gint64 used_millicores, const char *job = "big")
	{
		Lug__RunReserveAnswer message = LUG__RUN_RESERVE_ANSWER__INIT;
		Lug__Resources wire_used = LUG__RESOURCES__INIT;
		struct lug_run_id id = {};
		Lug__RunId wire;

		g_strlcpy(id.job, job, sizeof(id.job));
		id.run = 1;
		lug_run_to_wire(&id, &wire);
		wire_used.millicores = used_millicores;
		message.id = &wire;
		message.status = status;
		message.ready_in_ms = ready_in_ms;
		message.used = &wire_used;
		lug_shard_on_reserve_answer(shard, worker, &message, lug_now_us());
		lug_shard_wake(shard);
		run_rounds();
	}

	/* Sets the time since which the first task of a job waits for room. */
	void set_waiting_since(const char *name, gint64 since_us)
	{
		struct shard_job *job = (struct shard_job *)g_hash_table_lookup(shard->jobs, name);
		struct shard_occurrence *occ =
			(struct shard_occurrence *)g_ptr_array_index(job->occurrences, 0);

		occ->tasks[0].blocked_since_us = since_us;
	}

	bool is_claimed(const char *job)
	{
		return lug_shard_job_state(shard, job) == LUG_WORKFLOW_RUNNING;
	}
};

/* Guards against a change of behaviour while the setting is off. */
TEST_F(ShardReserveTest, AsksForNothingWithoutTheSetting)
{
	take_shard();
	run_rounds();
	beat("w1", 4000);
	add_stored_job("big", body("\"lasting\":1", 3000).c_str());
	run_rounds();
	wait_to_ask();
	EXPECT_EQ(shard->reserves->len, 0u);
	EXPECT_FALSE(lug_fleet_wants_forecast(fleet, lug_now_us()));
	EXPECT_EQ(ctx->metrics->histograms[LUG_H_WAIT_LARGE_US].count, 0u);
}

/* Guards against owners that give the reserved room to other tasks, or do not use it. */
TEST_F(ShardReserveTest, ReservedRoomIsForItsTask)
{
	add_waiting_job();
	ASSERT_EQ(shard->reserves->len, 1u);
	answer("w1", LUG_OK, 500, 7000);
	add_stored_job("small", body("\"estimate_ms\":2000", 500).c_str());
	add_stored_job("short", body("\"estimate_ms\":100", 500).c_str());
	run_rounds();
	EXPECT_FALSE(is_claimed("small")) << "one core is free, but it would end too late";
	EXPECT_TRUE(is_claimed("short")) << "it ends before the room is ready";
	answer("w1", LUG_OK, 0, 4000);
	EXPECT_TRUE(is_claimed("big"));
	EXPECT_EQ(shard->reserves->len, 0u);
	EXPECT_EQ(lug_fleet_count_reservation(fleet, 0), 0u);
	EXPECT_TRUE(is_claimed("small")) << "the rest of the room is free";
	EXPECT_GE(ctx->metrics->histograms[LUG_H_WAIT_LARGE_US].sum, 300u * 1000);
}

/* Guards against a task that insists on an agent that refuses, and against too many requests. */
TEST_F(ShardReserveTest, RefusedTaskAsksElsewhere)
{
	add_waiting_job();
	ASSERT_EQ(shard->reserves->len, 1u);
	EXPECT_GT(lug_fleet_find(fleet, "w1")->reserve_after_us, lug_now_us());
	add_stored_job("two", body("\"lasting\":1", 3000, 3).c_str());
	run_rounds();
	g_usleep(310 * 1000);
	beat("w2", 5000);
	EXPECT_EQ(shard->reserves->len, 1u) << "one for each 34 workers";
	answer("w1", LUG_OVER_LIMIT, 0, 8000);
	wait_to_ask();
	ASSERT_EQ(shard->reserves->len, 1u);
	EXPECT_GT(lug_fleet_find(fleet, "w2")->reserve_after_us, lug_now_us());
}

/*
 * Guards against small tasks, which wait as long in an overload, that use up the reservations. On
 * real daemons they kept a large task waiting for 15 s.
 */
TEST_F(ShardReserveTest, SmallTasksLeaveTheReservationsToLargeOnes)
{
	ctx->settings->schedule_lookahead_ms = 2000;
	take_shard();
	run_rounds();
	beat("w1", 4000, 800, /* used */ 7000);
	add_stored_job("small", body("\"estimate_ms\":500", 500, 20).c_str());
	add_stored_job("middle", body("\"lasting\":1", 1200).c_str());
	add_stored_job("big", body("\"lasting\":1", 3000).c_str());
	run_rounds();
	ASSERT_EQ(*started, 2u) << "two of the small ones";
	wait_to_ask();
	EXPECT_EQ(shard->reserves->len, 0u) << "long-running ones yield for a bounded time";
	set_waiting_since("middle", lug_now_us() - LUG_RESERVATION_YIELD_MAX_US);
	set_waiting_since("big", lug_now_us() - LUG_RESERVATION_YIELD_MAX_US);
	wait_to_ask();
	ASSERT_EQ(shard->reserves->len, 1u);
	answer("w1", LUG_OK, 500, 8000);
	EXPECT_EQ(lug_fleet_find(fleet, "w1")->reservation.size.millicores, 3000);
}

/* Guards against reservations that outlive their job. */
TEST_F(ShardReserveTest, CancelledJobGivesTheRoomBack)
{
	std::vector<enum lug_status> statuses;

	add_waiting_job();
	answer("w1", LUG_OK, 500, 8000);
	ASSERT_TRUE(lug_fleet_find(fleet, "w1")->reservation.held);
	cancel_job("big", &statuses);
	run_rounds();
	EXPECT_EQ(shard->reserves->len, 0u);
	EXPECT_EQ(lug_fleet_count_reservation(fleet, 0), 0u);
	EXPECT_FALSE(lug_fleet_find(fleet, "w1")->reservation.held);
}

/* Guards against waiting for room that a restarted agent does not keep any more. */
TEST_F(ShardReserveTest, RestartedAgentHoldsNone)
{
	add_waiting_job();
	answer("w1", LUG_OK, 500, 8000);
	ASSERT_EQ(shard->reserves->len, 1u);
	beat("w1", 4000);
	EXPECT_EQ(shard->reserves->len, 0u);
	EXPECT_GT(lug_fleet_find(fleet, "w1")->reserve_after_us, lug_now_us());
}

/* Guards against a request or answer that is lost, and agents of the former release. */
TEST_F(ShardReserveTest, UnansweredRequestIsDropped)
{
	add_waiting_job();
	ASSERT_EQ(shard->reserves->len, 1u);
	beat("w1", 4000);
	EXPECT_EQ(shard->reserves->len, 1u) << "the heartbeat repeats the request";
	shard_reserve_check(shard, lug_now_us() + 1000 * 1000);
	EXPECT_EQ(shard->reserves->len, 0u);
	/* An answer that comes after that is answered by a cancellation. */
	answer("w1", LUG_OK, 500, 8000);
	EXPECT_EQ(shard->reserves->len, 0u);
	EXPECT_FALSE(lug_fleet_find(fleet, "w1")->reservation.held);
}

/* Guards against a task that is tied to a worker although another one has room. */
TEST_F(ShardReserveTest, RoomElsewhereIsUsed)
{
	add_waiting_job();
	answer("w1", LUG_OK, 500, 8000);
	beat("w2", 8000, 0, 0);
	EXPECT_TRUE(is_claimed("big"));
	g_usleep(10 * 1000);
	run_rounds();
	EXPECT_EQ(shard->reserves->len, 0u) << "the other reservation is cancelled";
}

/* Guards against counting a reservation of another process as room, or twice. */
TEST_F(ShardReserveTest, ReservationOfAnotherOwnerCountsAsUsed)
{
	struct lug_fleet_worker worker = {};
	struct lug_resources room;
	gint64 now_us = lug_now_us();

	worker.capacity = {8000, 100, 0};
	worker.used_elsewhere = {3000, 10, 0};
	worker.reservation = {TRUE, 1, 0, {4000, 10, 0}, now_us + 500 * 1000, TRUE};
	lug_fleet_room_for(&worker, 7, 0, now_us, &room);
	EXPECT_EQ(room.millicores, 1000);
	lug_fleet_room_for(&worker, 7, 400, now_us, &room);
	EXPECT_EQ(room.millicores, 5000) << "it may be backfilled";
	lug_fleet_room_for(&worker, 7, 600, now_us, &room);
	EXPECT_EQ(room.millicores, 1000);
	worker.reservation.holder = 7;
	lug_fleet_room_for(&worker, 7, 0, now_us, &room);
	EXPECT_EQ(room.millicores, 5000) << "it is the holder";
}

/* Guards against a start that is refused again and again for a reservation not yet reported. */
TEST_F(ShardReserveTest, RefusalForAnUnknownReservationIsRemembered)
{
	ctx->settings->schedule_lookahead_ms = 2000;
	take_shard_with_worker();
	add_stored_job("a", body("\"estimate_ms\":500", 1000).c_str());
	run_rounds();
	ASSERT_EQ(*started, 1u);
	answer_start("a", 0, 1, LUG_OVER_LIMIT);
	run_rounds();
	EXPECT_EQ(*started, 1u);
	send_beat({}, 1);
	EXPECT_EQ(*started, 2u) << "the next heartbeat tells what is reserved";
}
} // namespace
