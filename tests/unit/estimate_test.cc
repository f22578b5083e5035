#include "lug.h"

extern "C" {
#include "schedule/estimate.h"
}

/* Run times learned from the ends of runs. */
struct EstimateTest : public testing::Test {
	struct lug_estimates *est = lug_estimates_new();
	gint64 now_us = 1000;

	~EstimateTest() override
	{
		lug_estimates_free(est);
	}

	void add(const char *key, gint64 declared_ms, gint64 actual_ms, int n = 1)
	{
		for (int i = 0; i < n; i++)
			lug_estimates_add(est, key, declared_ms, actual_ms, now_us);
	}
};

/* Guards against trust in a handful of ends, which may all be from the long tail. */
TEST_F(EstimateTest, DeclaredTimeUntilEnoughEnds)
{
	EXPECT_EQ(lug_estimates_ms(est, "a", 1000, 0.5), 1000);
	add("a", 1000, 100, LUG_ESTIMATES_ENDS_MIN - 1);
	EXPECT_EQ(lug_estimates_ms(est, "a", 1000, 0.5), 1000);
	add("a", 1000, 100);
	EXPECT_NEAR((double)lug_estimates_ms(est, "a", 1000, 0.5), 100, 20);
	/* The ratio applies to another declared time, but not to another key. */
	EXPECT_NEAR((double)lug_estimates_ms(est, "a", 5000, 0.5), 500, 100);
	EXPECT_EQ(lug_estimates_ms(est, "b", 1000, 0.5), 1000);
}

/* Guards against a tail of 3 in 100 that takes seven times as long moving the estimates. */
TEST_F(EstimateTest, QuantilesWithLongTail)
{
	for (int i = 0; i < 100; i++)
		add("a", 1000, i % 33 == 5 ? 7 * (800 + i) : 800 + i);
	EXPECT_NEAR((double)lug_estimates_ms(est, "a", 1000, 0.5), 850, 100);
	EXPECT_NEAR((double)lug_estimates_ms(est, "a", 1000, 0.9), 950, 200);
	EXPECT_GT(lug_estimates_ms(est, "a", 1000, 1), 5000);
}

/* Guards against an estimate that never follows a changed program, also over a day. */
TEST_F(EstimateTest, OldSamplesLoseWeight)
{
	add("a", 1000, 1000, 1000);
	now_us += 600LL * G_USEC_PER_SEC;
	add("a", 1000, 4000, 20);
	EXPECT_NEAR((double)lug_estimates_ms(est, "a", 1000, 0.5), 4000, 800);
	now_us += 86400LL * G_USEC_PER_SEC;
	EXPECT_NEAR((double)lug_estimates_ms(est, "a", 1000, 0.5), 4000, 800);
	add("a", 1000, 500);
	EXPECT_NEAR((double)lug_estimates_ms(est, "a", 1000, 0.5), 500, 100);
}

/* Guards against growth by submitters that choose many images, which evict those in use. */
TEST_F(EstimateTest, LeastUsedKeyIsEvicted)
{
	add("used", 1000, 200, 10);
	for (int i = 0; i < 4 * LUG_ESTIMATES_KEYS_MAX; i++)
		add(("k" + std::to_string(i)).c_str(), 1000, 1000);
	EXPECT_EQ(lug_estimates_count(est), (guint)LUG_ESTIMATES_KEYS_MAX);
	EXPECT_NEAR((double)lug_estimates_ms(est, "used", 1000, 0.5), 200, 40);
}

/* Guards against division by zero and overflow by what a submitter or a clock may give. */
TEST_F(EstimateTest, ExtremeValues)
{
	add("a", 0, 1000, 10);
	add("a", -5, 1000, 10);
	EXPECT_EQ(lug_estimates_count(est), 0u);
	EXPECT_EQ(lug_estimates_ms(est, "a", 0, 0.5), 0);
	EXPECT_EQ(lug_estimates_ms(est, "a", -1, 0.5), 0);
	add("a", 1, G_MAXINT64, 10);
	EXPECT_GE(lug_estimates_ms(est, "a", 1, 0.5), 100);
	add("b", G_MAXINT64 / 1000, -1, 10);
	EXPECT_GE(lug_estimates_ms(est, "b", 10, 0.5), 1);
	now_us = 0;
	add("a", 1, 1);
}
