#include "lug.h"

extern "C" {
#include "colocate/crash.h"
}

namespace
{
const gint64 crash_us = 100 * G_USEC_PER_SEC;

/* Run of @job that was started @age_ms before the crash. */
struct lug_crash_run run(const char *job, gint64 age_ms, bool isolated = false,
			 bool confirmed = true)
{
	return {job, crash_us - age_ms * 1000, isolated, confirmed, FALSE};
}

TEST(CrashTest, OnlyTheRunsStartedRightBeforeTheCrashAreSuspected)
{
	struct lug_crash_run runs[] = {run("old", 4000), run("new", 10), run("older", 20000)};

	EXPECT_EQ(lug_crash_find_suspects(runs, 3, crash_us), 1u);
	EXPECT_FALSE(runs[0].suspected);
	EXPECT_TRUE(runs[1].suspected);
	EXPECT_FALSE(runs[2].suspected);
}

TEST(CrashTest, AnIsolatedRunIsSuspectedBeforeOthersStartedWithIt)
{
	struct lug_crash_run runs[] = {run("new", 5), run("suspect", 12, true), run("old", 4000)};

	EXPECT_EQ(lug_crash_find_suspects(runs, 3, crash_us), 1u);
	EXPECT_FALSE(runs[0].suspected);
	EXPECT_TRUE(runs[1].suspected);
}

TEST(CrashTest, ACrashLongAfterAllStartsSuspectsOnlyIsolatedRuns)
{
	struct lug_crash_run none[] = {run("a", 4000), run("b", 3000)};
	struct lug_crash_run late[] = {run("a", 4000), run("b", 3000, true)};

	EXPECT_EQ(lug_crash_find_suspects(none, 2, crash_us), 0u);
	EXPECT_FALSE(none[0].suspected || none[1].suspected);
	EXPECT_EQ(lug_crash_find_suspects(late, 2, crash_us), 1u);
	EXPECT_TRUE(late[1].suspected);
}

TEST(CrashTest, AStartWithoutAnAnswerIsSuspectedLast)
{
	struct lug_crash_run runs[] = {run("sent", 1, false, false), run("started", 15)};

	EXPECT_EQ(lug_crash_find_suspects(runs, 2, crash_us), 1u);
	EXPECT_FALSE(runs[0].suspected);
	EXPECT_EQ(lug_crash_find_suspects(runs, 1, crash_us), 1u);
	EXPECT_TRUE(runs[0].suspected);
}

/* A job was shown as failed though only one worker had crashed under its task. */
TEST(CrashTest, ACrashBeforeTheTaskStartedIsNoneUnderIt)
{
	struct lug_crash_history history = {};

	lug_crash_record(&history, 3, FALSE);
	EXPECT_TRUE(lug_crash_is_suspect(&history));
	lug_crash_record(&history, 1, TRUE);
	EXPECT_FALSE(lug_crash_is_culprit(&history));
	lug_crash_record(&history, 1, TRUE);
	EXPECT_TRUE(lug_crash_is_culprit(&history));
}

/* The replay of a task that crashes each worker: a mixed group first, then alone. */
TEST(CrashTest, TheSecondCrashOfAnIsolatedTaskIdentifiesIt)
{
	struct lug_crash_history culprit = {};
	struct lug_crash_history neighbour = {};

	lug_crash_record(&culprit, 3, TRUE);
	lug_crash_record(&neighbour, 3, TRUE);
	EXPECT_TRUE(lug_crash_is_suspect(&culprit));
	EXPECT_FALSE(lug_crash_is_culprit(&culprit));
	lug_crash_record(&culprit, 1, TRUE);
	lug_crash_record(&neighbour, 0, TRUE);
	EXPECT_TRUE(lug_crash_is_culprit(&culprit));
	EXPECT_FALSE(lug_crash_is_culprit(&neighbour));
}

TEST(CrashTest, OneCrashNeverIdentifiesATask)
{
	struct lug_crash_history history = {};

	lug_crash_record(&history, 1, TRUE);
	EXPECT_TRUE(lug_crash_is_suspect(&history));
	EXPECT_FALSE(lug_crash_is_culprit(&history));
}

/* Rule BUDGET: three crashes, then fewer than three more starts, whatever the evidence. */
TEST(CrashTest, NoTaskIsStartedThreeTimesAfterThreeCrashes)
{
	for (guint jobs = 0; jobs < 4; jobs++) {
		/* Suspected alone once it is isolated, when no start is ever confirmed. */
		gboolean confirmed = jobs < 3;
		struct lug_crash_history history = {};
		int starts = 0;

		while (!lug_crash_is_culprit(&history)) {
			starts++;
			lug_crash_record(&history, confirmed || starts == 1 ? jobs : 1, confirmed);
		}
		EXPECT_LT(starts, 3 + 3) << jobs;
		EXPECT_GE(starts, 2) << jobs;
	}
}

/* The agent was restarted with its worker at the first crash, and no start is ever confirmed. */
TEST(CrashTest, ACrashThatNobodyReportedLeavesTheBoundInForce)
{
	struct lug_crash_history history = {};
	int starts = 1;

	for (guint jobs = 3; !lug_crash_is_culprit(&history); jobs = 1) {
		starts++;
		lug_crash_record(&history, jobs, FALSE);
	}
	EXPECT_LT(starts, 3 + 3);
}

TEST(CrashTest, ATaskNeverSuspectedIsIsolatedAfterThreeCrashes)
{
	struct lug_crash_history history = {};

	lug_crash_record(&history, 0, TRUE);
	lug_crash_record(&history, 0, TRUE);
	EXPECT_FALSE(lug_crash_is_suspect(&history));
	lug_crash_record(&history, 0, TRUE);
	EXPECT_TRUE(lug_crash_is_suspect(&history));
}

/* Seed 2003 of the soak: the task crashes its workers unanswered, beside confirmed early runs. */
TEST(CrashTest, ATaskThatIsNeverTheLikeliestCauseHasTheSameBound)
{
	struct lug_crash_history history = {};
	int starts = 0;

	while (!lug_crash_is_culprit(&history) && starts < 20) {
		bool isolated = lug_crash_is_suspect(&history);
		struct lug_crash_run runs[] = {run("a", 2, isolated, /* confirmed */ false),
					       run("a", 2)};
		guint jobs = lug_crash_find_suspects(runs, 2, crash_us);

		starts++;
		lug_crash_record(&history, runs[0].suspected ? jobs : 0, FALSE);
	}
	EXPECT_LT(starts, 3 + 3);
}

TEST(CrashTest, LossesAloneNeverIdentifyATaskBeforeTheFifth)
{
	struct lug_crash_history history = {};

	for (int i = 0; i < 4; i++)
		lug_crash_record_loss(&history);
	EXPECT_TRUE(lug_crash_is_suspect(&history));
	EXPECT_FALSE(lug_crash_is_culprit(&history));
	lug_crash_record_loss(&history);
	EXPECT_TRUE(lug_crash_is_culprit(&history));
}
} // namespace
