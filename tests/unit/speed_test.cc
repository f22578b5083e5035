#include <cmath>

#include "shard_fixture.h"
#include "executor_fixture.h"

extern "C" {
#include "schedule/speed.h"
}

namespace
{
constexpr gint64 poll_us = 250 * 1000;

/* A worker whose tasks are polled; a task that ends is replaced by one of another job. */
struct SpeedReplay : public testing::Test {
	struct Task {
		gint64 expected_ms;
		double error;
		bool tail;
		guint64 id = 0;
		double actual_ms = 0;
		double done = 0;
		double share = 1;
		bool lacks_cores = false;
		struct lug_speed_task state = {};
	};

	struct lug_speed speed = {};
	std::vector<Task> tasks;
	gint64 now_us = G_USEC_PER_SEC;
	double true_speed = 1;
	guint64 last_id = 0;
	GRand *rng = g_rand_new_with_seed(3);

	~SpeedReplay() override
	{
		g_rand_free(rng);
	}

	void begin(Task &task)
	{
		task.id = ++last_id;
		task.done = 0;
		task.state = {};
		task.actual_ms = (double)task.expected_ms *
				 (1 + g_rand_double_range(rng, -task.error, task.error));
		if (task.tail && g_rand_double(rng) < 0.03)
			task.actual_ms *= 7;
	}

	/* @tail: 3 in 100 tasks take seven times as long */
	void add(gint64 expected_ms, double error = 0, bool tail = false)
	{
		tasks.push_back({expected_ms, error, tail});
		begin(tasks.back());
	}

	void poll()
	{
		now_us += poll_us;
		for (Task &task : tasks) {
			double step_ms = (double)poll_us / 1000 * true_speed * task.share;

			task.done += step_ms / task.actual_ms * (task.lacks_cores ? 0.2 : 1);
			if (task.done >= 1)
				begin(task);
			struct lug_speed_progress progress = {task.id,
							      (guint)task.id,
							      task.expected_ms,
							      task.lacks_cores ? 0 : task.share,
							      (guint32)(task.done * 100),
							      now_us};
			lug_speed_observe(&speed, &task.state, &progress, now_us);
		}
		lug_speed_update(&speed, now_us);
	}

	void run(gint64 span_us)
	{
		for (gint64 end_us = now_us + span_us; now_us < end_us;)
			poll();
	}
};

/*
 * A worker that is slow for seconds would keep getting tasks, or get none when it is sound again.
 * Long tasks are over-represented among the running ones, so that a return may be noticed later.
 */
TEST_F(SpeedReplay, FiveTimesSlowerAndTheReturnAreNoticedIn1500Ms)
{
	guint false_alarms = 0;
	guint late_returns = 0;

	for (guint32 seed = 0; seed < 100; seed++) {
		SCOPED_TRACE(seed);
		g_rand_set_seed(rng, seed);
		tasks.clear();
		lug_speed_reset(&speed);
		for (int i = 0; i < 4; i++) {
			add(800, 0.5, true);
			add(2700, 0.5, true);
		}
		true_speed = 1;
		run(5 * G_USEC_PER_SEC);
		false_alarms += lug_speed_is_slow(speed.value);
		true_speed = 0.2;
		run(1500 * 1000);
		EXPECT_LT(speed.value, 0.5);
		EXPECT_GT(speed.value, 0);
		run(2 * G_USEC_PER_SEC);
		true_speed = 1;
		run(1500 * 1000);
		late_returns += lug_speed_is_slow(speed.value);
	}
	EXPECT_LE(false_alarms, 1u);
	EXPECT_LE(late_returns, 3u);
}

/* Throttles and a lack of spare cores are no property of the worker; nor is a single long task. */
TEST_F(SpeedReplay, ThrottledShortOfCoresOrLongTasksDoNotLookSlow)
{
	for (int i = 0; i < 3; i++) {
		add(2000);
		tasks.back().share = 0.25;
		add(2000);
		tasks.back().lacks_cores = true;
	}
	run(3 * G_USEC_PER_SEC);
	EXPECT_NEAR(speed.value, 1, 0.2);
	tasks.clear();
	lug_speed_reset(&speed);
	add(800);
	tasks.back().actual_ms = 7 * 800;
	add(800);
	add(800);
	for (int i = 0; i < 16; i++) {
		poll();
		EXPECT_FALSE(lug_speed_is_slow(speed.value));
	}
	EXPECT_NEAR(speed.value, 1, 0.2);
}

TEST_F(SpeedReplay, ADipOfHalfASecondIsNotAChange)
{
	for (int i = 0; i < 4; i++)
		add(2700);
	run(2 * G_USEC_PER_SEC);
	true_speed = 0.2;
	run(500 * 1000);
	true_speed = 1;
	for (int i = 0; i < 8; i++) {
		EXPECT_FALSE(lug_speed_is_slow(speed.value));
		poll();
	}
}

TEST_F(SpeedReplay, TooFewTasksOrNoneOrNoAnswersLeaveItUnknown)
{
	add(0);
	add(2700);
	add(2700);
	run(2 * G_USEC_PER_SEC);
	EXPECT_EQ(speed.value, 0) << "two tasks";
	tasks.resize(1);
	add(800);
	add(800);
	run(3 * G_USEC_PER_SEC);
	/* Both have been replaced, so that three tasks were seen. */
	EXPECT_GT(speed.value, 0);
	EXPECT_EQ(lug_speed_permille(&speed, now_us + 3 * G_USEC_PER_SEC), 0u) << "no answers";
	tasks.resize(1);
	run(3 * G_USEC_PER_SEC);
	EXPECT_EQ(speed.value, 0) << "no finite task";
	add(60000);
	add(60000);
	run(10 * G_USEC_PER_SEC);
	EXPECT_EQ(speed.value, 0) << "a percent takes too long";
}

/* Most running tasks may be slower than declared; the others show that the worker is not slow. */
TEST_F(SpeedReplay, WrongRunTimesOfNewTasksAreNoChange)
{
	for (int i = 0; i < 4; i++)
		add(2700);
	run(3 * G_USEC_PER_SEC);
	for (int i = 0; i < 6; i++) {
		add(800);
		tasks.back().actual_ms = 3000;
	}
	for (int i = 0; i < 10; i++) {
		poll();
		EXPECT_FALSE(lug_speed_is_slow(speed.value));
	}
}

/* The declared run time of a job's tasks may be wrong for all of them alike. */
TEST_F(SpeedReplay, TasksOfOneJobProveNothing)
{
	struct lug_speed_task states[4] = {};

	for (int t = 0; t < 8; t++) {
		now_us += poll_us;
		for (guint64 i = 0; i < 4; i++) {
			struct lug_speed_progress progress = {i, 1, 1000, 1, 3u * t, now_us};

			lug_speed_observe(&speed, &states[i], &progress, now_us);
		}
		lug_speed_update(&speed, now_us);
	}
	EXPECT_EQ(speed.n_samples, 4u);
	EXPECT_EQ(speed.value, 0);
}

/* A worker's health data may be misleading. */
TEST(Speed, ReportsOutOfRangeOrOutdatedAreIgnored)
{
	EXPECT_EQ(lug_speed_reported(0, 0, 0), 0);
	EXPECT_EQ(lug_speed_reported(49, 0, 0), 0);
	EXPECT_EQ(lug_speed_reported(1501, 0, 0), 0);
	EXPECT_EQ(lug_speed_reported(G_MAXUINT32, 0, 0), 0);
	EXPECT_EQ(lug_speed_reported(200, 0, 3000001), 0);
	EXPECT_DOUBLE_EQ(lug_speed_reported(200, 0, 3000000), 0.2);
	EXPECT_EQ(lug_speed_factor(0), 1);
	EXPECT_EQ(lug_speed_factor(1.5), 1);
	EXPECT_FALSE(lug_speed_is_slow(0));
	EXPECT_FALSE(lug_speed_is_target(0));
}

struct SpeedShardTest : public ShardFixture {
	/* Runs a best-effort task on a slow worker beside a fast one. Returns the number of moves.
	 */
	guint64 run_on_slow_worker(bool enabled, const char *checkpointing, guint32 other = 1000)
	{
		std::string body = "{\"queue\":\"q\",\"spec\":\"s\",\"occurrences\":1,"
				   "\"accepted_ms\":0,\"steps\":[{\"count\":1,\"millicores\":4000,"
				   "\"memory\":1,\"image\":\"i\",\"fills\":1" +
				   std::string(checkpointing) + "}]}";
		HeldRun run = {"a", 0, 0, 1, 100};

		ctx->settings->schedule_speed = enabled;
		take_shard();
		run_rounds();
		send_beat({}, 0, 1, "w1", 8000);
		add_stored_job("a", body.c_str());
		run_rounds();
		speed_permille = 200;
		send_beat({run}, 1, 1, "w1", 4000);
		speed_permille = other;
		send_beat({}, 0, 1, "w2", 8000);
		EXPECT_EQ(ctx->metrics->counters[LUG_C_TASKS_EVICTED], 0u) << "for a moment";
		g_usleep(550 * 1000);
		speed_permille = 200;
		send_beat({run}, 1, 1, "w1", 4000);
		return ctx->metrics->counters[LUG_C_TASKS_EVICTED];
	}
};

TEST_F(SpeedShardTest, TaskWithCheckpointsMovesToAFasterWorkerAndResumes)
{
	ASSERT_EQ(run_on_slow_worker(true, ",\"checkpointing\":1"), 1u);
	end_run("a", 0, 0, 1, LUG_RUN_STOPPED);
	run_rounds();
	EXPECT_NE(state_row("a").find("w2"), std::string::npos) << state_row("a");
}

TEST_F(SpeedShardTest, TaskWithoutCheckpointsStays)
{
	EXPECT_EQ(run_on_slow_worker(true, ""), 0u);
}

TEST_F(SpeedShardTest, NoTaskMovesToAWorkerThatIsNotKnownToBeFast)
{
	EXPECT_EQ(run_on_slow_worker(true, ",\"checkpointing\":1", 0), 0u);
}

TEST_F(SpeedShardTest, NoTaskMovesWhenAllWorkersAreSlow)
{
	EXPECT_EQ(run_on_slow_worker(true, ",\"checkpointing\":1", 200), 0u);
}

TEST_F(SpeedShardTest, NoTaskMovesWithTheSettingOff)
{
	EXPECT_EQ(run_on_slow_worker(false, ",\"checkpointing\":1"), 0u);
}

/* False reports that follow a task from worker to worker must not keep it moving. */
TEST(Speed, MovesOfATaskAreLimited)
{
	struct lug_speed_move move = {};

	EXPECT_FALSE(lug_speed_may_move(&move, 0.2, 1));
	EXPECT_TRUE(lug_speed_may_move(&move, 0.2, 500001));
	EXPECT_FALSE(lug_speed_may_move(&move, 0, 600000));
	EXPECT_FALSE(lug_speed_may_move(&move, 0.2, 700000)) << "it has not been slow throughout";
	move.n_moves = 3;
	EXPECT_FALSE(lug_speed_may_move(&move, 0.2, 1700000));
}

struct SpeedExecutorTest : public ExecutorFixture {
	/* Polls while four tasks of different jobs progress; returns the speed that is reported. */
	guint32 report(bool enabled, guint32 percent_per_poll, bool best_effort = false)
	{
		guint32 reported = 0;

		ctx->settings->schedule_speed = enabled;
		expected_ms = 1000;
		for (const char *job : {"a", "b", "c", "d"}) {
			if (best_effort)
				start_best_effort(job, 1000);
			else
				start(job);
			worker.answer(LUG_ORDER_OK);
			running.push_back({id(job), 0});
		}
		for (int i = 0; i < 6; i++) {
			tick_later();
			clock_ms += 250;
			for (auto &item : running)
				item.second += percent_per_poll;
			answer_poll();
		}
		send_beat_to_owner(1, [&](const Lug__WorkerBeat &beat) {
			EXPECT_EQ(beat.has_speed_permille, beat.speed_permille > 0);
			reported = beat.speed_permille;
		});
		return reported;
	}
};

TEST_F(SpeedExecutorTest, HeartbeatReportsASlowWorker)
{
	EXPECT_NEAR(report(true, 5), 200u, 60);
	EXPECT_EQ(ctx->metrics->gauges[LUG_G_WORKER_SPEED], 200);
}

/* Best-effort tasks that share too few spare cores are slow on a sound worker. */
TEST_F(SpeedExecutorTest, BestEffortTasksCountOnlyWithEnoughSpareCores)
{
	EXPECT_EQ(report(true, 5, true), 0u);
	running.clear();
	tick_later();
	answer_poll();
	capacity_millicores = 8000;
	send_heartbeat();
	EXPECT_NEAR(report(true, 5, true), 200u, 60);
}

TEST_F(SpeedExecutorTest, NothingIsReportedWithTheSettingOff)
{
	EXPECT_EQ(report(false, 5), 0u);
}
} // namespace
