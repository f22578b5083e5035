#include "executor_fixture.h"
#include "shard_fixture.h"

#include <cmath>

extern "C" {
#include "schedule/yield_limits.h"
}

namespace
{
const gint64 MS = 1000;
const gint64 SAMPLE_US = 250 * MS;
const gint64 STEP_US = 10 * MS;
const double IDLE_MS = 25;
const guint32 TARGET_MS = 150;

struct lug_urgency_times times_of(gint64 due_in_ms, gint64 expected_ms, gint64 following_ms)
{
	struct lug_urgency_times times = {};

	lug_urgency_set_times(&times, due_in_ms, expected_ms, following_ms, 0);
	return times;
}

/* A task without an objective, as of an owner of the previous release, must not yield. */
TEST(Urgency, WithoutObjectiveOrExpectationATaskIsNormal)
{
	struct lug_urgency_times absent = {};
	struct lug_urgency_times unknown = times_of(60000, 0, 1000);

	EXPECT_EQ(lug_urgency(&absent, 0, LUG_URGENCY_SLACK, G_USEC_PER_SEC), LUG_URGENCY_NORMAL);
	EXPECT_EQ(lug_urgency(&unknown, 0, LUG_URGENCY_SLACK, 0), LUG_URGENCY_NORMAL);
}

/* A task that yields for too long would miss the objective of its job. */
TEST(Urgency, SlackThatIsUsedUpMakesATaskNormalAndThenLate)
{
	struct lug_urgency_times times = times_of(10000, 2000, 2000);
	enum lug_urgency urgency = LUG_URGENCY_NORMAL;
	gint64 normal_from_us = 0;
	gint64 late_from_us = 0;

	for (gint64 now_us = 0; now_us < 12000 * MS; now_us += SAMPLE_US) {
		urgency = lug_urgency(&times, 0, urgency, now_us);
		if (urgency == LUG_URGENCY_NORMAL && !normal_from_us)
			normal_from_us = now_us;
		if (urgency == LUG_URGENCY_LATE && !late_from_us)
			late_from_us = now_us;
	}
	EXPECT_GT(normal_from_us, 0);
	EXPECT_LE(normal_from_us, 6000 * MS - LUG_URGENCY_SLACK_LEAVE_US) << "it could not end";
	EXPECT_GT(late_from_us, 6000 * MS) << "it could still end";
	EXPECT_EQ(urgency, LUG_URGENCY_LATE);
}

/* Progress is reported in steps; a state that follows each of them would halt a task for each. */
TEST(Urgency, ChangesOnceAroundABound)
{
	gint64 bound_ms = 2000 + (gint64)(2000 * LUG_URGENCY_SLACK_ENTER_FRACTION) +
			  LUG_URGENCY_SLACK_ENTER_US / MS;
	enum lug_urgency urgency = LUG_URGENCY_NORMAL;
	int changes = 0;

	for (int i = 0; i < 40; i++) {
		struct lug_urgency_times times = times_of(bound_ms + (i % 2 ? 100 : -100), 2000, 0);
		enum lug_urgency next = lug_urgency(&times, 0, urgency, 0);

		changes += next != urgency;
		urgency = next;
	}
	EXPECT_EQ(changes, 1);
}

/* Values of a broken owner must not overflow. */
TEST(Urgency, ExtremeTimesAreBounded)
{
	struct lug_urgency_times slack = times_of(G_MAXINT64, 1000, -5);
	struct lug_urgency_times late = times_of(G_MININT64, G_MAXINT64, G_MAXINT64);

	EXPECT_EQ(lug_urgency(&slack, 1000, LUG_URGENCY_NORMAL, 0), LUG_URGENCY_SLACK);
	EXPECT_EQ(lug_urgency(&late, 0, LUG_URGENCY_NORMAL, 0), LUG_URGENCY_LATE);
}

/*
 * Replays the samples of a worker with serving tasks at simulated times. A serving task's tail
 * latency follows its load and the shares of the best-effort tasks beside it.
 */
struct YieldTest : ExecutorFixture {
	struct Task {
		struct exec_run *run;
		double weight;
		double share_sum = 0;
		gint64 stopped_us = 0;
		gint64 longest_stop_us = 0;
	};
	struct Serving {
		struct exec_run *run;
		std::function<double(double)> load;
		double average_ms = 0;
		gint64 over_us = 0;
		gint64 longest_over_us = 0;
		gint64 over_now_us = 0;
	};
	std::vector<Task> tasks;
	std::vector<Serving> servings;
	gint64 now_us = lug_now_us() + G_USEC_PER_SEC;
	gint64 begin_us = now_us;
	int samples = 0;
	/* Shares in percent by sample and task. */
	std::vector<guint32> trace;

	void SetUp() override
	{
		ExecutorFixture::SetUp();
		ctx->settings->schedule_yield = TRUE;
		reset();
	}

	struct exec_run *add_run(const char *job, const char *image)
	{
		struct lug_run_id run_id = id(job);
		struct exec_run *run = exec_add_run(exec, &run_id, EXEC_RUNNING);

		run->image = g_intern_string(image);
		return run;
	}

	void add_serving(std::function<double(double)> load)
	{
		Serving serving = {};

		serving.run = add_run("serving", "s");
		serving.run->target_ms = TARGET_MS;
		serving.load = load;
		servings.push_back(serving);
	}

	/* A task that stays in its urgency: the times in ms are far apart. */
	struct exec_run *add_task(const char *job, const char *image, double weight,
				  enum lug_urgency urgency)
	{
		Task task = {};

		task.run = add_run(job, image);
		task.run->best_effort = TRUE;
		task.weight = weight;
		if (urgency == LUG_URGENCY_SLACK)
			lug_urgency_set_times(&task.run->yield.times, 3600000, 1000, 0, now_us);
		if (urgency == LUG_URGENCY_LATE)
			lug_urgency_set_times(&task.run->yield.times, -1000, 1000, 0, now_us);
		tasks.push_back(task);
		return task.run;
	}

	/* Applies the throttles as the worker does, at the simulated time. */
	void apply_throttles()
	{
		while (!worker.orders.empty()) {
			FakeWorker::Order order = worker.pop_order();
			struct exec_run *run = exec_find_run(exec, &order.id);

			exec_record_shares(exec, now_us);
			run->throttle_in_flight = FALSE;
			run->applied_percent = order.percent;
			g_free(order.data);
		}
	}

	void run_step(Serving &serving)
	{
		double utilisation = serving.load((double)(now_us - begin_us) / G_USEC_PER_SEC);
		double old_weight = lug_serving_load_decay(STEP_US);
		double tail_ms;

		for (const Task &task : tasks)
			utilisation += task.weight * task.run->applied_percent / 100;
		tail_ms = IDLE_MS / (1 - std::min(utilisation, 0.985));
		serving.average_ms = serving.average_ms > 0 ? old_weight * serving.average_ms +
								      (1 - old_weight) * tail_ms
							    : tail_ms;
	}

	void sample()
	{
		for (gint64 i = 0; i < SAMPLE_US / STEP_US; i++, now_us += STEP_US)
			for (Serving &serving : servings)
				run_step(serving);
		for (Serving &serving : servings) {
			bool over = serving.average_ms > TARGET_MS;

			serving.run->metric = (gint64)serving.average_ms;
			serving.over_us += over ? SAMPLE_US : 0;
			serving.over_now_us = over ? serving.over_now_us + SAMPLE_US : 0;
			serving.longest_over_us =
				std::max(serving.longest_over_us, serving.over_now_us);
		}
		exec_record_shares(exec, now_us);
		exec_throttle(exec, now_us);
		apply_throttles();
		for (Task &task : tasks) {
			bool stopped = task.run->applied_percent == 0;

			trace.push_back(task.run->applied_percent);
			task.share_sum += task.run->applied_percent / 100.0;
			task.stopped_us = stopped ? task.stopped_us + SAMPLE_US : 0;
			task.longest_stop_us = std::max(task.longest_stop_us, task.stopped_us);
		}
		samples++;
	}

	/* Updates the learned weights from other workers, as the owners do. */
	void merge_weights()
	{
		for (const Task &task : tasks) {
			struct lug_interference_pair pair = {g_intern_string("s"), task.run->image,
							     task.weight, 100};

			lug_interference_merge(exec->interference, &pair);
		}
	}

	void run_for(gint64 seconds)
	{
		for (gint64 i = 0; i < seconds * G_USEC_PER_SEC / SAMPLE_US; i++) {
			if (i % 8 == 0)
				merge_weights();
			sample();
		}
	}

	/* Removes the tasks and what was learned from them. */
	void reset()
	{
		while (exec->runs->len)
			exec_remove_run(exec, (struct exec_run *)g_ptr_array_index(exec->runs, 0));
		lug_interference_free(exec->interference);
		exec->interference = lug_interference_new();
		g_array_set_size(exec->task_shares, 0);
		exec->shares_recorded = FALSE;
		servings.clear();
		tasks.clear();
		trace.clear();
		exec->shares_updated_us = 0;
		exec->last_sample_us = now_us;
		begin_us = now_us;
		samples = 0;
	}

	guint64 counter(enum lug_counter number) const
	{
		return ctx->metrics->counters[number];
	}

	double mean_share(const Task &task) const
	{
		return task.share_sum / samples;
	}
};

/* The load of a serving task, with bursts: the NORMAL tasks of replay() have room, all have not. */
double swinging_load(double at_s)
{
	return 0.52 + 0.10 * std::sin(at_s * 2 * M_PI / 17) +
	       (std::fmod(at_s, 7.3) < 0.6 ? 0.06 : 0);
}

struct YieldMixTest : YieldTest {
	void replay(gboolean yield, bool with_times = true)
	{
		ctx->settings->schedule_yield = yield;
		add_serving(swinging_load);
		add_task("n1", "normal", 0.06, LUG_URGENCY_NORMAL);
		add_task("n2", "normal", 0.06, LUG_URGENCY_NORMAL);
		add_task("s1", "slack", 0.04, LUG_URGENCY_SLACK);
		add_task("s2", "slack", 0.04, LUG_URGENCY_SLACK);
		add_task("l1", "late", 0.04, LUG_URGENCY_LATE);
		add_task("l2", "late", 0.04, LUG_URGENCY_LATE);
		for (const Task &task : tasks)
			task.run->yield.times.has_due &= with_times;
		run_for(120);
	}
};

/* Tasks with time to spare must neither slow down the others nor the serving task. */
TEST_F(YieldMixTest, OnlyTasksWithSlackAndLateOnesYield)
{
	replay(TRUE);
	EXPECT_LE(servings[0].over_us, 500 * MS);
	EXPECT_GT(mean_share(tasks[0]), 0.95);
	EXPECT_GT(mean_share(tasks[1]), 0.95);
	for (size_t i = 2; i < tasks.size(); i++) {
		EXPECT_GT(mean_share(tasks[i]), 0.3) << "it runs while the load is low";
		EXPECT_LT(mean_share(tasks[i]), 0.9);
	}
	EXPECT_EQ(counter(LUG_C_HALTS_NORMAL), 0u);
	EXPECT_GT(counter(LUG_C_HALTS_SLACK), 0u);
	EXPECT_GT(counter(LUG_C_HALTS_LATE), 0u);
}

/*
 * Guards the behaviour with the setting off: the times change no share. It also shows that the test
 * above has something to protect from.
 */
TEST_F(YieldMixTest, WithoutTheSettingTheTimesChangeNothing)
{
	std::vector<guint32> trace_with_times;

	replay(FALSE);
	EXPECT_GT(servings[0].over_us, 1500 * MS);
	EXPECT_LT(mean_share(tasks[0]), 0.8);
	EXPECT_EQ(counter(LUG_C_HALTS_SLACK) + counter(LUG_C_HALTS_LATE), 0u);
	EXPECT_GT(counter(LUG_C_OVER_TARGET_SHARED_MS), 1000u);
	trace_with_times = trace;
	reset();
	replay(FALSE, false);
	EXPECT_EQ(trace, trace_with_times);
}

/* A burst must not last until the thresholds of HALT_INTERFERING_AFTER_US. */
TEST_F(YieldTest, HarmlessTasksAreHaltedAtTheFirstSampleOverTheTarget)
{
	add_serving([](double at_s) { return at_s > 20 && at_s < 20.5 ? 0.9 : 0.5; });
	add_task("n", "normal", 0.01, LUG_URGENCY_NORMAL);
	add_task("s", "slack", 0.01, LUG_URGENCY_SLACK);
	run_for(20);
	EXPECT_EQ(tasks[1].run->applied_percent, 100u);
	while (servings[0].average_ms <= TARGET_MS)
		sample();
	EXPECT_EQ(tasks[1].run->applied_percent, 0u);
	EXPECT_EQ(tasks[0].run->applied_percent, 100u);
	while (servings[0].average_ms > TARGET_MS)
		sample();
	for (gint64 clear_us = 0; clear_us < LUG_YIELD_RETURN_US; clear_us += SAMPLE_US) {
		EXPECT_EQ(tasks[1].run->applied_percent, 0u);
		sample();
	}
	EXPECT_EQ(tasks[1].run->applied_percent, (guint32)(LUG_YIELD_RETURN_SHARE * 100));
}

/* Halting others for a serving task that misses its target by itself would gain nothing. */
TEST_F(YieldTest, OwnOverloadHaltsNothing)
{
	add_serving([](double at_s) { return at_s < 10 ? 0.5 : 0.92; });
	add_task("l", "late", 0.01, LUG_URGENCY_LATE);
	run_for(20);
	EXPECT_EQ(tasks[0].run->applied_percent, 100u);
	EXPECT_LT(tasks[0].longest_stop_us, 2500 * MS);
	EXPECT_GT(counter(LUG_C_OVER_TARGET_OWN_MS), 7000u);
}

/* A late job counts a little until three times its objective, and must end some time. */
TEST_F(YieldTest, ALateTaskIsNotStarvedByYieldingAlone)
{
	add_serving([](double) { return 0.75; });
	add_task("l", "late", 0.04, LUG_URGENCY_LATE);
	add_task("s", "slack", 0.04, LUG_URGENCY_SLACK);
	run_for(60);
	EXPECT_LE(tasks[0].longest_stop_us, LUG_YIELD_STOPPED_MAX_US + 2 * SAMPLE_US);
	EXPECT_GT(mean_share(tasks[0]), 0.15);
	EXPECT_GT(tasks[1].longest_stop_us, 20 * G_USEC_PER_SEC) << "its objective bounds that";
}

TEST_F(YieldTest, ATaskWhoseSlackIsUsedUpStopsYielding)
{
	struct exec_run *run;

	add_serving([](double) { return 0.75; });
	run = add_task("s", "slack", 0.04, LUG_URGENCY_NORMAL);
	run_for(20);
	lug_urgency_set_times(&run->yield.times, 10000, 3000, 1000, now_us);
	run_for(3);
	EXPECT_EQ(run->applied_percent, 0u);
	run_for(3);
	EXPECT_EQ(run->yield.effective, LUG_URGENCY_NORMAL);
	EXPECT_EQ(run->applied_percent, 100u);
}

struct YieldStartTest : YieldTest {
	const gint64 slack_ms = 60000;
	const gint64 normal_ms = 1500;
	const gint64 late_ms = -500;

	enum lug_urgency urgency(const char *job)
	{
		struct lug_run_id run = id(job);

		return exec_find_run(exec, &run)->yield.effective;
	}
};

/* It would be throttled at once, and its owner may find a better worker. */
TEST_F(YieldStartTest, ATaskWithSlackStartsOnlyWhereItIsFast)
{
	start_best_effort("a", 1500);
	start_best_effort("late", 500, &late_ms);
	start_best_effort("slack", 4000, &slack_ms);
	ASSERT_EQ(answers.size(), 1u);
	EXPECT_EQ(answers[0], std::make_pair(std::string("slack#1"), LUG_OVER_LIMIT));
	start_best_effort("normal", 4000, &normal_ms);
	EXPECT_EQ(answers.size(), 1u);
	EXPECT_EQ(urgency("normal"), LUG_URGENCY_NORMAL);
	EXPECT_EQ(urgency("late"), LUG_URGENCY_LATE);
	EXPECT_EQ(urgency("a"), LUG_URGENCY_NORMAL) << "its owner has sent no times";
}

TEST_F(YieldStartTest, WithoutTheSettingTheTimesAreIgnored)
{
	ctx->settings->schedule_yield = FALSE;
	start_best_effort("a", 2000);
	start_best_effort("slack", 4000, &slack_ms);
	EXPECT_TRUE(answers.empty());
	EXPECT_EQ(urgency("slack"), LUG_URGENCY_NORMAL);
}

/* An agent that was restarted knows its runs from a poll, without the times of their jobs. */
TEST_F(YieldStartTest, TheTimesComeAgainWithTheAttributes)
{
	running = {{id("a"), 10}};
	answer_poll();
	EXPECT_EQ(urgency("a"), LUG_URGENCY_NORMAL);
	start_best_effort("a", 1000, &slack_ms, /* size_only */ true);
	EXPECT_EQ(urgency("a"), LUG_URGENCY_SLACK);
}

/* Between two samples, a new task would run at its full share beside the halted ones. */
TEST_F(YieldStartTest, NoYieldingTaskStartsWhileTheyAreHalted)
{
	struct lug_run_id run = id("a");

	start_best_effort("a", 1000, &slack_ms);
	exec->halts_yielding = TRUE;
	worker.answer(LUG_ORDER_OK);
	EXPECT_TRUE(exec_find_run(exec, &run)->halted);
	answers.clear();
	start_best_effort("b", 1000, &slack_ms);
	start_best_effort("normal", 1000, &normal_ms);
	ASSERT_EQ(answers.size(), 1u);
	EXPECT_EQ(answers[0], std::make_pair(std::string("b#1"), LUG_OVER_LIMIT));
}

/* What an owner sends with the starts of a job's tasks. */
struct YieldOwnerTest : ShardFixture {
	struct shard_job *job = nullptr;

	/* Adds a job of 4 s in two steps, beside a long-running one, with an objective of 9 s. */
	void SetUp() override
	{
		struct lug_queue_def *def;
		std::string body =
			"{\"queue\":\"q\",\"spec\":\"s\",\"occurrences\":1,\"accepted_ms\":" +
			std::to_string(g_get_real_time() / 1000) +
			",\"steps\":[{\"count\":1,\"millicores\":1000,\"memory\":1,\"fills\":1,"
			"\"estimate_ms\":3000},{\"count\":1,\"millicores\":1000,\"memory\":1,"
			"\"lasting\":1},{\"count\":1,\"millicores\":1000,\"memory\":1,\"fills\":1,"
			"\"estimate_ms\":1000,\"after\":[0]}]}";

		ShardFixture::SetUp();
		ctx->settings->schedule_yield = TRUE;
		def = (struct lug_queue_def *)lug_queues_find(lug_config_queues(config), "q");
		def->slo_factor = 2;
		def->slo_ms = 1000;
		take_shard();
		run_rounds();
		add_stored_job("a", body.c_str());
		job = (struct shard_job *)g_hash_table_lookup(shard->jobs, "a");
		ASSERT_NE(job, nullptr);
	}

	Lug__RunStart times_of_start(guint32 step, guint32 occurrence = 0)
	{
		Lug__RunStart start = LUG__RUN_START__INIT;
		struct lug_run_id id = {};

		id.step = step;
		id.occurrence = occurrence;
		shard_fill_times(shard, job, &id, &start, lug_now_us());
		return start;
	}
};

/* A wrong time makes tasks yield that have none to spare. */
TEST_F(YieldOwnerTest, TheTimesFollowFromTheObjective)
{
	Lug__RunStart first = times_of_start(0);
	Lug__RunStart last = times_of_start(2);

	EXPECT_NEAR((double)first.due_in_ms, 9000, 200);
	EXPECT_EQ(first.expected_ms, 3000);
	EXPECT_EQ(first.following_ms, 1000);
	EXPECT_NEAR((double)last.due_in_ms, 9000, 200);
	EXPECT_EQ(last.following_ms, 0);
	EXPECT_EQ(shard_task_urgency(shard, job, 0, 0, 0, lug_now_us()), LUG_URGENCY_SLACK);
	EXPECT_EQ(shard_task_urgency(shard, job, 0, 0, 0, lug_now_us() + 7 * G_USEC_PER_SEC),
		  LUG_URGENCY_LATE);
}

/* Such tasks must not yield by an objective that is not theirs. */
TEST_F(YieldOwnerTest, WithoutAnObjectiveTheTimesAreLeftOut)
{
	struct lug_queue_def *def =
		(struct lug_queue_def *)lug_queues_find(lug_config_queues(config), "q");

	EXPECT_FALSE(times_of_start(1).has_due_in_ms) << "long-running";
	EXPECT_FALSE(times_of_start(0, 1).has_due_in_ms) << "later occurrence";
	ctx->settings->schedule_yield = FALSE;
	EXPECT_FALSE(times_of_start(0).has_due_in_ms) << "setting off";
	ctx->settings->schedule_yield = TRUE;
	EXPECT_TRUE(times_of_start(0).has_due_in_ms);
	def->slo_factor = 0;
	def->slo_ms = 0;
	EXPECT_FALSE(times_of_start(0).has_due_in_ms) << "queue without an objective";
	EXPECT_EQ(shard_task_urgency(shard, job, 0, 0, 0, lug_now_us()), LUG_URGENCY_NORMAL);
}

/* Its agent would refuse it; a refusal must not keep NORMAL tasks from the worker either. */
TEST_F(YieldOwnerTest, ATaskWithSlackWaitsForAFastWorker)
{
	const guint64 *started = &ctx->metrics->counters[LUG_C_TASKS_STARTED];
	struct lug_fleet_worker *worker;

	send_beat({}, 0, 1, "w1", 600);
	EXPECT_EQ(*started, 1u) << "the long-running task";
	send_beat({}, 0, 1, "w1", 800);
	EXPECT_EQ(*started, 2u);
	answer_start("a", 0, 1, LUG_OVER_LIMIT);
	worker = lug_fleet_find(fleet, "w1");
	EXPECT_TRUE(worker->refused_yielding);
	EXPECT_FALSE(worker->refused_best_effort);
	ctx->settings->schedule_yield = FALSE;
	send_beat({}, 2, 1, "w1", 600);
	EXPECT_GT(*started, 2u) << "as any best-effort task";
}

/* Starts have the same bound as shares: where no worker is fast, a late task waits for good. */
TEST(Yield, ALateTaskThatWaitsCountsAsNormalFromTimeToTime)
{
	struct lug_urgency_times times = times_of(-1000, 1000, 0);
	gint64 late_us = 0;
	gint64 normal_us = 0;

	for (gint64 now_us = 0; now_us < 35 * G_USEC_PER_SEC; now_us += 100 * MS) {
		struct lug_yield_task task;

		lug_yield_init_task(&task, &times, 0, now_us);
		if (task.effective == LUG_URGENCY_LATE)
			late_us += 100 * MS;
		else
			normal_us += 100 * MS;
	}
	EXPECT_EQ(late_us, 10 * LUG_YIELD_STOPPED_MAX_US);
	EXPECT_EQ(normal_us, 10 * LUG_YIELD_NORMAL_SPAN_US);
}
} // namespace
