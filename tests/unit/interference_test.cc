#include "lug.h"

#include <cmath>

extern "C" {
#include "workflow/interference.h"
}

namespace
{
const double IDLE_MS = 25;
const double TARGET_MS = 150;
const double AVERAGE_S = 0.35;
const gint64 STEP_US = 10 * 1000;

/* A worker that reports a moving average of the tail latency of its one serving task. */
struct Worker {
	double average_ms = 0;
	gint64 now_us = G_USEC_PER_SEC;

	/* Runs the serving task at a utilisation for a time span. */
	void run(double utilisation, gint64 span_us)
	{
		double tail_ms = IDLE_MS / (1 - std::min(utilisation, 0.985));
		double old_weight = std::exp(-(double)span_us / G_USEC_PER_SEC / AVERAGE_S);

		average_ms = average_ms > 0 ? old_weight * average_ms + (1 - old_weight) * tail_ms
					    : tail_ms;
		now_us += span_us;
	}
};

struct InterferenceTest : public testing::Test {
	struct lug_interference *model = lug_interference_new();
	const char *serving_image = g_intern_string("s");
	const char *heavy = g_intern_string("heavy");
	const char *light = g_intern_string("light");
	struct lug_interference_serving_task serving = {};

	/*
	 * Tasks of a heavy and of a light image start and end beside a serving task of varying
	 * load. The strength of the heavy image's tasks varies from task to task. A sample is taken
	 * every 250 ms, and the tasks change after every 8 samples.
	 */
	void learn(int samples)
	{
		GRand *rng = g_rand_new_with_seed(3);
		struct lug_serving_load load;
		Worker worker;
		struct lug_interference_observed_task present[2] = {};

		lug_serving_load_init(&load);
		present[0].image = heavy;
		present[1].image = light;
		for (int i = 0; i < samples; i++) {
			double strength = i / 8 % 2 ? 0.6 : 1.4;
			struct lug_interference_sample sample = {serving_image, 0, TARGET_MS, 0};
			double own_load = 0.3 + 0.15 * std::sin(i / 12.0);

			if (i % 8 == 0) {
				for (auto &item : present) {
					item.share = g_rand_int_range(rng, 0, 2);
					item.min_share = item.max_share = item.share;
					item.strength = 1;
					item.strength_var = lug_interference_strength_var(0, 0);
				}
			}
			for (int k = 0; k < 25; k++)
				worker.run(own_load + 0.15 * strength * present[0].share, STEP_US);
			sample.tail_ms = worker.average_ms * g_rand_double_range(rng, 0.97, 1.03);
			sample.at_us = worker.now_us;
			for (auto &item : present)
				item.strength_var = lug_interference_strength_var(item.strength_var,
										  25 * STEP_US);
			serving.limit = lug_interference_observe(model, &load, &sample, present, 2);
		}
		g_rand_free(rng);
	}

	void SetUp() override
	{
		serving.image = serving_image;
		learn(160);
	}

	void TearDown() override
	{
		lug_interference_free(model);
	}
};

TEST_F(InterferenceTest, LearnsWeightsWithinFortySeconds)
{
	EXPECT_GT(lug_interference_weight(model, serving_image, heavy), 0.08);
	EXPECT_LT(lug_interference_weight(model, serving_image, heavy), 0.25);
	EXPECT_LT(lug_interference_weight(model, serving_image, light), 0.03);
	EXPECT_NEAR(serving.limit, 1 - IDLE_MS / TARGET_MS, 0.05);
}

TEST_F(InterferenceTest, ThrottlesInterferingTasksNearTheTarget)
{
	struct lug_interference_task tasks[] = {{heavy, 1, 1}, {heavy, 1, 1}, {light, 1, 1}};

	serving.own_load = serving.limit - 0.1;
	lug_interference_plan(model, &serving, 1, tasks, 3);
	EXPECT_LT(tasks[0].share + tasks[1].share, 1.5);
	EXPECT_EQ(tasks[2].share, 1);
	serving.own_load = 0.2;
	for (int i = 0; i < 4; i++)
		lug_interference_plan(model, &serving, 1, tasks, 3);
	EXPECT_EQ(tasks[0].share, 1);
	EXPECT_EQ(tasks[1].share, 1);
}

TEST_F(InterferenceTest, TasksOfEqualPressureAreThrottledEqually)
{
	struct lug_interference_task tasks[] = {{heavy, 1, 1}, {heavy, 1, 1}};

	serving.own_load =
		serving.limit - lug_interference_weight(model, serving_image, heavy) - 0.06;
	lug_interference_plan(model, &serving, 1, tasks, 2);
	EXPECT_NEAR(tasks[0].share, tasks[1].share, 1e-9);
	EXPECT_LT(serving.own_load + serving.pressure, serving.limit);
}

TEST_F(InterferenceTest, StrongerTaskOfAnImageIsThrottledMore)
{
	struct lug_interference_task mean[] = {{heavy, 1, 1}};
	struct lug_interference_task strong[] = {{heavy, 1, 3}};

	serving.own_load = serving.limit - 0.1;
	lug_interference_plan(model, &serving, 1, mean, 1);
	lug_interference_plan(model, &serving, 1, strong, 1);
	EXPECT_LT(strong[0].share, mean[0].share);
}

TEST_F(InterferenceTest, OverloadOfTheServingTaskItselfDoesNotThrottle)
{
	struct lug_interference_task task = {heavy, 1, 1};

	serving.own_load = serving.limit + 0.1;
	lug_interference_plan(model, &serving, 1, &task, 1);
	EXPECT_EQ(task.share, 1);
}

TEST_F(InterferenceTest, MergeReplacesUncertainEstimatesOnly)
{
	/* The last members are the weight and the information. */
	struct lug_interference_pair fresh = {serving_image, g_intern_string("new"), 0.3, 50};
	struct lug_interference_pair known = {serving_image, light, 0.3, 1};

	lug_interference_merge(model, &fresh);
	EXPECT_NEAR(lug_interference_weight(model, serving_image, fresh.best_effort_image), 0.3,
		    1e-9);
	lug_interference_merge(model, &known);
	EXPECT_LT(lug_interference_weight(model, serving_image, light), 0.1);
}

TEST_F(InterferenceTest, ReportsAreAveragedInProportionToInformation)
{
	struct lug_interference *average = lug_interference_new();
	GArray *report_a = g_array_new(FALSE, FALSE, sizeof(struct lug_interference_pair));
	GArray *report_b = g_array_new(FALSE, FALSE, sizeof(struct lug_interference_pair));
	GPtrArray *reports = g_ptr_array_new();
	struct lug_interference_pair a = {serving_image, heavy, 0.1, 3};
	struct lug_interference_pair b = {serving_image, heavy, 0.3, 1};

	g_array_append_val(report_a, a);
	g_array_append_val(report_b, b);
	g_ptr_array_add(reports, report_a);
	g_ptr_array_add(reports, report_b);
	lug_interference_average(average, reports);
	EXPECT_NEAR(lug_interference_weight(average, serving_image, heavy), 0.15, 1e-9);
	g_ptr_array_unref(reports);
	g_array_unref(report_a);
	g_array_unref(report_b);
	lug_interference_free(average);
}

TEST(ServingLoad, TailLatencyExcludesEarlierPartOfTheAverage)
{
	struct lug_serving_load load;
	Worker worker;

	lug_serving_load_init(&load);
	worker.run(0.9, STEP_US);
	load.tail_ms = worker.average_ms;
	load.at_us = worker.now_us;
	for (int k = 0; k < 25; k++)
		worker.run(0.5, STEP_US);
	/* The moving average is about 150 ms, as it includes the earlier load. */
	EXPECT_GT(worker.average_ms, 120);
	EXPECT_NEAR(lug_serving_load_tail_ms(&load, worker.average_ms, worker.now_us),
		    IDLE_MS / 0.5, 2);
}

TEST(ServingLoad, PredictsAVaryingLoad)
{
	struct lug_interference *model = lug_interference_new();
	struct lug_serving_load load;
	Worker worker;
	double max_error = 0;

	lug_serving_load_init(&load);
	for (int i = 0; i < 160; i++) {
		struct lug_interference_sample sample = {g_intern_string("t"), 0, TARGET_MS, 0};
		auto own_load = [](double at_s) {
			return 0.48 + 0.24 * std::sin(at_s * 2 * M_PI / 20);
		};

		for (int k = 0; k < 25; k++)
			worker.run(own_load((double)worker.now_us / G_USEC_PER_SEC), STEP_US);
		sample.tail_ms = worker.average_ms;
		sample.at_us = worker.now_us;
		lug_interference_observe(model, &load, &sample, nullptr, 0);
		if (i > 80)
			max_error = std::max(
				max_error,
				std::fabs(
					lug_serving_load_extrapolate(&load, worker.now_us, 500000) -
					own_load((double)worker.now_us / G_USEC_PER_SEC + 0.5)));
	}
	EXPECT_LT(max_error, 0.08);
	lug_interference_free(model);
}
} // namespace
