#include "lug.h"

#include <algorithm>
#include <functional>

extern "C" {
#include "schedule/pack.h"
#include "schedule/reservation.h"
}

namespace
{
const gint64 ms = 1000;
const gint64 horizon_us = 2000 * ms;
const guint64 large = 1;
const guint64 other_large = 2;
const guint64 small = 3;

struct lug_resources cores(gint64 millicores)
{
	return {millicores, 1, 0};
}

/* One worker and its agent, without a network. Time advances in steps of 10 ms. */
struct Worker {
	struct Run {
		guint64 holder;
		struct lug_resources size;
		gint64 started_us;
		gint64 expected_ms;
		gint64 end_us;
	};
	struct lug_resources capacity = {16000, 1 << 30, 0};
	std::vector<Run> runs;
	struct lug_reservation res = {};
	guint backfilled = 0;
	guint refused = 0;

	struct lug_resources room() const
	{
		struct lug_resources left = capacity;

		for (const Run &run : runs)
			lug_resources_sub(&left, &run.size);
		return left;
	}

	enum lug_reservation_event step(gint64 now_us)
	{
		std::vector<struct lug_forecast_end> ends;
		struct lug_forecast forecast = {};

		runs.erase(std::remove_if(runs.begin(), runs.end(),
					  [&](const Run &run) { return run.end_us <= now_us; }),
			   runs.end());
		for (const Run &run : runs) {
			struct lug_forecast_run known = {run.started_us, run.expected_ms, 0, 1};

			ends.push_back({lug_forecast_end_us(&known, now_us), run.size});
		}
		forecast = {room(), ends.data(), (guint)ends.size()};
		lug_forecast_sort(&forecast);
		return lug_reservation_step(&res, &forecast, horizon_us, now_us);
	}

	/* The agent's decision on a start; it is never given more than it holds. */
	bool start(guint64 holder, gint64 millicores, gint64 expected_ms, gint64 actual_ms,
		   gint64 now_us)
	{
		struct lug_reservation_start request = {holder, cores(millicores), expected_ms};
		struct lug_resources left = room();
		enum lug_reservation_verdict verdict;

		if (!lug_resources_fit(&request.size, &left))
			return false;
		verdict = lug_reservation_judge(&res, &left, &request, now_us);
		backfilled += verdict == LUG_RESERVATION_BACKFILLS;
		refused += verdict == LUG_RESERVATION_BLOCKS;
		if (verdict == LUG_RESERVATION_BLOCKS)
			return false;
		lug_reservation_end(&res, holder);
		runs.push_back(
			{holder, request.size, now_us, expected_ms, now_us + actual_ms * ms});
		return true;
	}

	enum lug_reservation_answer ask(guint64 holder, gint64 millicores, gint64 waited_us,
					gint64 now_us)
	{
		struct lug_reservation_request request = {holder, cores(millicores), waited_us};

		return lug_reservation_ask(&res, &request, now_us);
	}
};

struct LookaheadTest : public testing::Test {
	Worker worker;
	gint64 now_us = 1000 * ms;
	bool lookahead = true;
	bool owner_alive = true;
	gint64 expected_ms = 680;
	std::function<gint64(int)> actual_ms = [](int) { return 680; };
	int n_small = 0;

	/*
	 * Small tasks of 400 to 800 millicores take each gap at once while a large one waits from
	 * @now_us on and asks with each heartbeat. Returns how long it waits in ms, @limit_ms if it
	 * does not start.
	 */
	gint64 replay(gint64 limit_ms)
	{
		gint64 began_us = now_us;
		gint64 next_ask_us = now_us + LUG_RESERVATION_WAIT_US;

		for (; now_us - began_us < limit_ms * ms; now_us += 10 * ms) {
			worker.step(now_us);
			if (lookahead && owner_alive && now_us >= next_ask_us) {
				worker.ask(large, 12000, now_us - began_us, now_us);
				next_ask_us = now_us + 500 * ms;
			}
			if (owner_alive && worker.start(large, 12000, 0, 1 << 30, now_us))
				return (now_us - began_us) / ms;
			start_small();
			EXPECT_GE(worker.room().millicores, 0);
		}
		return limit_ms;
	}

	void start_small()
	{
		for (int i = 0; i < 3; i++) {
			gint64 millicores = 400 + 100 * (n_small % 5);

			if (!worker.start(small, millicores, expected_ms, actual_ms(n_small),
					  now_us))
				break;
			n_small++;
		}
	}

	/* Fills the worker with small tasks for two seconds. */
	void fill()
	{
		for (int i = 0; i < 200; i++, now_us += 10 * ms) {
			worker.step(now_us);
			start_small();
		}
		ASSERT_LT(worker.room().millicores, 1000);
	}
};

/* Guards against the starvation of large tasks by small ones, which the old placement has. */
TEST_F(LookaheadTest, LargeTaskStartsWithinABound)
{
	fill();
	lookahead = false;
	EXPECT_EQ(replay(20000), 20000) << "it starves without reservations";
	lookahead = true;
	EXPECT_LT(replay(20000), 1500);
	EXPECT_GT(worker.refused, 0u);
}

/* Guards against reserved room that idles although tasks would end before it is used. */
TEST_F(LookaheadTest, BackfillThatEndsInTimeDelaysNothing)
{
	/* A run of 14 cores ends in 1.8 s, so that short ones fit beside it until then. */
	ASSERT_TRUE(worker.start(small, 14000, 1800, 1800, now_us));
	expected_ms = 300;
	actual_ms = [](int) { return 280; };
	EXPECT_LT(replay(5000), 1900);
	EXPECT_GT(worker.backfilled, 10u);
}

/* Guards against backfilled runs of the long tail that hold a large task up for long. */
TEST_F(LookaheadTest, LateBackfillIsBounded)
{
	ASSERT_TRUE(worker.start(small, 14000, 1800, 1800, now_us));
	expected_ms = 300;
	actual_ms = [](int n) { return n % 10 ? 280 : 2100; };
	EXPECT_LT(replay(20000), 1800 + 2100);
	EXPECT_GT(worker.backfilled, 5u);
}

/* Guards against backfill without end: a reservation of 2 s allows no more of it. */
TEST_F(LookaheadTest, BackfillEndsAfterTwoSeconds)
{
	worker.start(small, 14000, 1800, 60000, now_us);
	ASSERT_EQ(worker.ask(large, 12000, 300 * ms, now_us), LUG_RESERVATION_NOTED);
	ASSERT_EQ(worker.step(now_us), LUG_RESERVATION_GRANTED);
	EXPECT_TRUE(lug_reservation_is_backfilled(&worker.res, now_us));
	EXPECT_TRUE(worker.start(small, 500, 100, 100, now_us));
	now_us += LUG_RESERVATION_BACKFILL_US;
	worker.ask(large, 12000, 0, now_us);
	worker.step(now_us);
	EXPECT_GT(worker.res.ready_us, now_us);
	EXPECT_FALSE(worker.start(small, 500, 100, 100, now_us));
	EXPECT_FALSE(worker.start(small, 500, 0, 100, now_us)) << "its run time is not known";
}

/* Guards against a wrong estimate that blocks a worker for good, also by asking at once again. */
TEST_F(LookaheadTest, WrongEstimateBlocksForABoundedTime)
{
	gint64 began_us = now_us;
	gint64 free_us = 0;
	guint n_expired = 0;
	enum lug_reservation_event event = LUG_RESERVATION_UNCHANGED;

	worker.start(small, 14000, 500, 600000, now_us);
	for (; now_us - began_us < 60000 * ms; now_us += 40 * ms) {
		worker.ask(large, 12000, now_us - began_us, now_us);
		event = worker.step(now_us);
		if (event == LUG_RESERVATION_EXPIRED) {
			EXPECT_LE(now_us - worker.res.granted_us,
				  (gint64)LUG_RESERVATION_AGE_MAX_US + 40 * ms);
			n_expired++;
		}
		if (worker.res.state != LUG_RESERVATION_HELD)
			free_us += 40 * ms;
	}
	EXPECT_GT(n_expired, 0u);
	EXPECT_GE(free_us, 50000 * ms) << "the end is forecast later and later, then refused";
}

/* Guards against room that stays reserved for an owner that died or is cut off. */
TEST_F(LookaheadTest, ReservationLapsesWithItsOwner)
{
	worker.start(small, 14000, 1800, 60000, now_us);
	worker.ask(large, 12000, 300 * ms, now_us);
	ASSERT_EQ(worker.step(now_us), LUG_RESERVATION_GRANTED);
	now_us += LUG_RESERVATION_LAPSE_US - 1;
	EXPECT_EQ(worker.step(now_us), LUG_RESERVATION_UNCHANGED);
	/* One lost request does no harm, as the next one is in time. */
	EXPECT_EQ(worker.ask(large, 12000, 300 * ms, now_us), LUG_RESERVATION_KEPT);
	now_us += LUG_RESERVATION_LAPSE_US - 1;
	EXPECT_EQ(worker.step(now_us), LUG_RESERVATION_UNCHANGED);
	EXPECT_EQ(worker.step(now_us + 1), LUG_RESERVATION_LAPSED);
	EXPECT_TRUE(worker.start(small, 500, 0, 100, now_us + 1));
}

/* Guards against two owners that take a worker from one another. */
TEST_F(LookaheadTest, LongestWaitWinsAndIsNotRevoked)
{
	worker.start(small, 14000, 1800, 1800, now_us);
	EXPECT_EQ(worker.ask(large, 12000, 300 * ms, now_us), LUG_RESERVATION_NOTED);
	EXPECT_EQ(worker.ask(other_large, 9000, 900 * ms, now_us), LUG_RESERVATION_REPLACED);
	EXPECT_EQ(worker.ask(large, 12000, 400 * ms, now_us), LUG_RESERVATION_REFUSED);
	EXPECT_EQ(worker.step(now_us), LUG_RESERVATION_GRANTED);
	EXPECT_EQ(worker.res.holder, other_large);
	EXPECT_EQ(worker.ask(large, 12000, 5000 * ms, now_us), LUG_RESERVATION_REFUSED);
	EXPECT_FALSE(lug_reservation_end(&worker.res, large)) << "another holder can't end it";
	EXPECT_TRUE(lug_reservation_end(&worker.res, other_large));
	EXPECT_EQ(worker.ask(large, 12000, 5000 * ms, now_us), LUG_RESERVATION_NOTED);
}

/* Guards against a request for room that can't be there in time. */
TEST_F(LookaheadTest, RequestBeyondTheHorizonIsDenied)
{
	worker.start(small, 14000, 60000, 60000, now_us);
	worker.ask(large, 12000, 300 * ms, now_us);
	EXPECT_EQ(worker.step(now_us), LUG_RESERVATION_DENIED);
	worker.ask(large, 17000, 300 * ms, now_us);
	EXPECT_EQ(worker.step(now_us), LUG_RESERVATION_DENIED) << "larger than the worker";
	EXPECT_TRUE(worker.start(small, 500, 0, 100, now_us));
}

/* Guards against a notice that is missing or early, and against starts of others after it. */
TEST_F(LookaheadTest, ReadyOnceTheRoomIsFree)
{
	worker.start(small, 14000, 500, 600, now_us);
	worker.ask(large, 12000, 300 * ms, now_us);
	ASSERT_EQ(worker.step(now_us), LUG_RESERVATION_GRANTED);
	EXPECT_FALSE(worker.res.ready);
	EXPECT_EQ(worker.step(now_us + 590 * ms), LUG_RESERVATION_UNCHANGED);
	EXPECT_EQ(worker.step(now_us + 600 * ms), LUG_RESERVATION_READY);
	EXPECT_FALSE(worker.start(small, 5000, 10, 10, now_us + 600 * ms));
	EXPECT_TRUE(worker.start(small, 4000, 0, 10, now_us + 600 * ms)) << "it leaves the room";
	EXPECT_TRUE(worker.start(large, 12000, 0, 10, now_us + 600 * ms));
	EXPECT_EQ(worker.res.state, LUG_RESERVATION_NONE);
}

/* Guards against best-effort tasks, which reserve no cores, that wait for reserved cores. */
TEST_F(LookaheadTest, TaskWithoutCoresIsNotBlockedByReservedCores)
{
	struct lug_resources room = {1000, 100, 0};
	struct lug_resources reserved = {12000, 50, 0};

	lug_reservation_subtract(&room, &reserved);
	EXPECT_EQ(room.millicores, 0);
	EXPECT_EQ(room.memory_bytes, 50);
	room.millicores = -300;
	lug_reservation_subtract(&room, &reserved);
	EXPECT_EQ(room.millicores, -300) << "missing capacity stays visible";
}

/* Guards against forecasts that hide an early end, or exceed a heartbeat's space. */
TEST_F(LookaheadTest, ForecastPoints)
{
	std::vector<struct lug_forecast_end> ends;
	struct lug_forecast_point points[LUG_FORECAST_POINTS_MAX];
	struct lug_forecast forecast = {cores(100), nullptr, 0};
	struct lug_resources claimed = {150, 0, 0};
	struct lug_resources size = {600, 1, 0};

	EXPECT_EQ(lug_forecast_points(&forecast, horizon_us, now_us, points), 0u);
	for (int i = 10; i > 0; i--)
		ends.push_back({now_us + i * 100 * ms, cores(100)});
	ends.push_back({LUG_FORECAST_NEVER, cores(9000)});
	ends.push_back({now_us + horizon_us + 1, cores(9000)});
	forecast.ends = ends.data();
	forecast.n_ends = (guint)ends.size();
	lug_forecast_sort(&forecast);
	ASSERT_EQ(lug_forecast_points(&forecast, horizon_us, now_us, points), 4u);
	EXPECT_EQ(points[3].at_us, now_us + 1000 * ms);
	EXPECT_EQ(points[3].room.millicores, 1100);
	for (int i = 1; i < 4; i++)
		EXPECT_GT(points[i].at_us, points[i - 1].at_us);
	EXPECT_EQ(lug_forecast_first_fit(&forecast, &size, horizon_us, now_us), now_us + 500 * ms);
	EXPECT_EQ(lug_forecast_points_fit(points, 4, &claimed, &size), points[2].at_us);
	size.millicores = 5000;
	EXPECT_EQ(lug_forecast_points_fit(points, 4, &claimed, &size), LUG_FORECAST_NEVER);
}

/* Guards against ends that are promised from a halted, late or unknown run. */
TEST_F(LookaheadTest, ExpectedEnds)
{
	struct lug_forecast_run run = {now_us - 400 * ms, 1000, 0, 1};

	EXPECT_EQ(lug_forecast_end_us(&run, now_us), now_us + 600 * ms);
	run.share = 0.5;
	EXPECT_EQ(lug_forecast_end_us(&run, now_us), now_us + 1200 * ms);
	run.progress_percent = 80;
	EXPECT_EQ(lug_forecast_end_us(&run, now_us), now_us + 100 * ms);
	run = {now_us - 400 * ms, 300, 0, 1};
	EXPECT_EQ(lug_forecast_end_us(&run, now_us), now_us + 200 * ms) << "it is late";
	run = {now_us, 0, 0, 1};
	EXPECT_EQ(lug_forecast_end_us(&run, now_us), LUG_FORECAST_NEVER);
	run = {now_us, G_MAXINT64 / 1000, 0, 0};
	EXPECT_EQ(lug_forecast_end_us(&run, now_us), LUG_FORECAST_NEVER);
}

/* Guards against small tasks that break the last large gaps while room is scarce. */
TEST_F(LookaheadTest, SmallTasksPackWhileRoomIsScarce)
{
	EXPECT_TRUE(lug_pack_is_scarce(3900, 16000));
	EXPECT_FALSE(lug_pack_is_scarce(4000, 16000));
	EXPECT_GT(lug_pack_score(8000, 16000, FALSE), lug_pack_score(1000, 16000, FALSE));
	EXPECT_LT(lug_pack_score(8000, 16000, TRUE), lug_pack_score(1000, 16000, TRUE));
	EXPECT_TRUE(lug_reservation_is_worthwhile(3000, 2000, TRUE));
	EXPECT_TRUE(lug_reservation_is_worthwhile(4000, 2000, FALSE));
	EXPECT_FALSE(lug_reservation_is_worthwhile(3000, 2000, FALSE));
	EXPECT_FALSE(lug_reservation_is_worthwhile(3000, 0, FALSE)) << "nothing is known yet";
	EXPECT_EQ(lug_reservation_limit(0), 1u);
	EXPECT_EQ(lug_reservation_limit(68), 2u);
}

/* Guards against long-running tasks that take room from short ones, and against an endless wait. */
TEST_F(LookaheadTest, LongRunningTasksYieldToShortOnesForABoundedTime)
{
	gint64 waited_us = LUG_RESERVATION_YIELD_MAX_US - 1;

	EXPECT_TRUE(lug_reservation_yields(TRUE, waited_us, 1, LUG_RESERVATION_YIELD_US));
	EXPECT_FALSE(lug_reservation_yields(TRUE, waited_us, 1, LUG_RESERVATION_YIELD_US + 1));
	EXPECT_FALSE(lug_reservation_yields(TRUE, waited_us + 1, 1, LUG_RESERVATION_YIELD_US));
	EXPECT_FALSE(lug_reservation_yields(TRUE, 0, 0, 1)) << "none has waited";
	EXPECT_FALSE(lug_reservation_yields(FALSE, 0, 1, 1));
}
} // namespace
