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

/* A worker with one serving task, whose figure is a moving average of its tail latency. */
struct Worker {
	double figure_ms = 0;
	gint64 now_us = G_USEC_PER_SEC;

	/* Lets the serving task work at a utilisation for a while. */
	void work(double used, gint64 span_us)
	{
		double tail = IDLE_MS / (1 - std::min(used, 0.985));
		double keep = std::exp(-(double)span_us / G_USEC_PER_SEC / AVERAGE_S);

		figure_ms = figure_ms > 0 ? keep * figure_ms + (1 - keep) * tail : tail;
		now_us += span_us;
	}
};

struct HarmTest : public testing::Test {
	struct lug_interference *harm = lug_interference_new();
	const char *s = g_intern_string("s");
	const char *heavy = g_intern_string("heavy");
	const char *light = g_intern_string("light");
	struct lug_interference_serving serving = {};

	/*
	 * Tasks of a heavy and a light image come and go beside a serving task whose load swings.
	 * Each task of the heavy image disturbs by its own measure.
	 */
	void learn(int samples)
	{
		GRand *rng = g_rand_new_with_seed(3);
		struct lug_load load;
		Worker worker;
		struct lug_interference_presence present[2] = {};

		lug_load_init(&load);
		present[0].image = heavy;
		present[1].image = light;
		for (int i = 0; i < samples; i++) {
			double measure = i / 8 % 2 ? 0.6 : 1.4;
			struct lug_interference_sample sample = {s, 0, TARGET_MS, 0};
			double swing = 0.3 + 0.15 * std::sin(i / 12.0);

			if (i % 8 == 0) {
				for (auto &item : present) {
					item.share = g_rand_int_range(rng, 0, 2);
					item.least = item.most = item.share;
					item.strength = 1;
					item.strength_var = lug_interference_strength_var(0, 0);
				}
			}
			for (int k = 0; k < 25; k++)
				worker.work(swing + 0.15 * measure * present[0].share, STEP_US);
			sample.tail_ms = worker.figure_ms * g_rand_double_range(rng, 0.97, 1.03);
			sample.at_us = worker.now_us;
			for (auto &item : present)
				item.strength_var = lug_interference_strength_var(item.strength_var,
										  25 * STEP_US);
			serving.limit = lug_interference_observe(harm, &load, &sample, present, 2);
		}
		g_rand_free(rng);
	}

	void SetUp() override
	{
		serving.image = s;
		learn(160);
	}

	void TearDown() override
	{
		lug_interference_free(harm);
	}
};

TEST_F(HarmTest, LearnsWhichImageDisturbsWithinFortySeconds)
{
	EXPECT_GT(lug_interference_weight(harm, s, heavy), 0.08);
	EXPECT_LT(lug_interference_weight(harm, s, heavy), 0.25);
	EXPECT_LT(lug_interference_weight(harm, s, light), 0.03);
	EXPECT_NEAR(serving.limit, 1 - IDLE_MS / TARGET_MS, 0.05);
}

TEST_F(HarmTest, CutsWhatPressesAServingTaskNearItsTarget)
{
	struct lug_interference_task fillers[] = {{heavy, 1, 1}, {heavy, 1, 1}, {light, 1, 1}};

	serving.base = serving.limit - 0.1;
	lug_interference_plan(harm, &serving, 1, fillers, 3);
	EXPECT_LT(fillers[0].share + fillers[1].share, 1.5);
	EXPECT_EQ(fillers[2].share, 1);
	serving.base = 0.2;
	for (int i = 0; i < 4; i++)
		lug_interference_plan(harm, &serving, 1, fillers, 3);
	EXPECT_EQ(fillers[0].share, 1);
	EXPECT_EQ(fillers[1].share, 1);
}

TEST_F(HarmTest, TasksThatPressAlikeYieldAlike)
{
	struct lug_interference_task fillers[] = {{heavy, 1, 1}, {heavy, 1, 1}};

	serving.base = serving.limit - lug_interference_weight(harm, s, heavy) - 0.06;
	lug_interference_plan(harm, &serving, 1, fillers, 2);
	EXPECT_NEAR(fillers[0].share, fillers[1].share, 1e-9);
	EXPECT_LT(serving.base + serving.pressure, serving.limit);
}

TEST_F(HarmTest, ATaskThatDisturbsMoreThanItsImageYieldsMore)
{
	struct lug_interference_task mean[] = {{heavy, 1, 1}};
	struct lug_interference_task strong[] = {{heavy, 1, 3}};

	serving.base = serving.limit - 0.1;
	lug_interference_plan(harm, &serving, 1, mean, 1);
	lug_interference_plan(harm, &serving, 1, strong, 1);
	EXPECT_LT(strong[0].share, mean[0].share);
}

TEST_F(HarmTest, ATaskOverItsTargetByItsOwnLoadTakesNothing)
{
	struct lug_interference_task filler = {heavy, 1, 1};

	serving.base = serving.limit + 0.1;
	lug_interference_plan(harm, &serving, 1, &filler, 1);
	EXPECT_EQ(filler.share, 1);
}

TEST_F(HarmTest, WhatOthersKnowBetterIsTakenOver)
{
	struct lug_interference_pair fresh = {s, g_intern_string("new"), 0.3, 50};
	struct lug_interference_pair known = {s, light, 0.3, 1};

	lug_interference_merge(harm, &fresh);
	EXPECT_NEAR(lug_interference_weight(harm, s, fresh.best_effort), 0.3, 1e-9);
	lug_interference_merge(harm, &known);
	EXPECT_LT(lug_interference_weight(harm, s, light), 0.1);
}

TEST_F(HarmTest, PoolIsAMeanOverWorkers)
{
	struct lug_interference *pool = lug_interference_new();
	GArray *one = g_array_new(FALSE, FALSE, sizeof(struct lug_interference_pair));
	GArray *two = g_array_new(FALSE, FALSE, sizeof(struct lug_interference_pair));
	GPtrArray *reports = g_ptr_array_new();
	struct lug_interference_pair a = {s, heavy, 0.1, 3};
	struct lug_interference_pair b = {s, heavy, 0.3, 1};

	g_array_append_val(one, a);
	g_array_append_val(two, b);
	g_ptr_array_add(reports, one);
	g_ptr_array_add(reports, two);
	lug_interference_pool(pool, reports);
	EXPECT_NEAR(lug_interference_weight(pool, s, heavy), 0.15, 1e-9);
	g_ptr_array_unref(reports);
	g_array_unref(one);
	g_array_unref(two);
	lug_interference_free(pool);
}

TEST(Load, FreesAFigureOfWhatLiesBeforeIt)
{
	struct lug_load load;
	Worker worker;

	lug_load_init(&load);
	worker.work(0.9, STEP_US);
	load.tail_ms = worker.figure_ms;
	load.at_us = worker.now_us;
	for (int k = 0; k < 25; k++)
		worker.work(0.5, STEP_US);
	/* The figure itself still tells 150 ms. */
	EXPECT_GT(worker.figure_ms, 120);
	EXPECT_NEAR(lug_load_tail_ms(&load, worker.figure_ms, worker.now_us), IDLE_MS / 0.5, 2);
}

TEST(Load, FollowsASwingAndLooksAhead)
{
	struct lug_interference *harm = lug_interference_new();
	struct lug_load load;
	Worker worker;
	double worst = 0;

	lug_load_init(&load);
	for (int i = 0; i < 160; i++) {
		struct lug_interference_sample sample = {g_intern_string("t"), 0, TARGET_MS, 0};
		auto swing = [](double at_s) {
			return 0.48 + 0.24 * std::sin(at_s * 2 * M_PI / 20);
		};

		for (int k = 0; k < 25; k++)
			worker.work(swing((double)worker.now_us / G_USEC_PER_SEC), STEP_US);
		sample.tail_ms = worker.figure_ms;
		sample.at_us = worker.now_us;
		lug_interference_observe(harm, &load, &sample, nullptr, 0);
		if (i > 80)
			worst = std::max(
				worst,
				std::fabs(lug_load_ahead(&load, worker.now_us, 500000) -
					  swing((double)worker.now_us / G_USEC_PER_SEC + 0.5)));
	}
	EXPECT_LT(worst, 0.08);
	lug_interference_free(harm);
}
} // namespace
