#include "shard_fixture.h"

namespace
{
struct ShardInboxTest : public ShardFixture {
};

/*
 * An owner that stops between finding a cancellation and storing it must leave the cancellation for
 * its successor.
 */
TEST_F(ShardInboxTest, CancellationStaysInTheInboxUntilItIsStored)
{
	bool live_at_removal = false;

	take_shard_with_worker();
	add_stored_job("a");
	run_rounds();
	ASSERT_FALSE(has_row("inbox/a"));
	store.put("0|inbox/a.cancel", "{}");
	wait_for_inbox();
	for (int i = 0; i < 40; i++) {
		while (g_main_context_iteration(nullptr, FALSE))
			;
		lug_shard_tick(shard, lug_now_us());
		/* The stops are sent once the cancellation is read. */
		if (i == 20) {
			EXPECT_TRUE(has_row("inbox/a.cancel"));
			answer_stop("a", 0, 1);
			answer_stop("a", 1, 1);
		}
		if (store.calls.empty())
			continue;
		store.answer_next();
		live_at_removal =
			live_at_removal || (!has_row("inbox/a.cancel") && has_row("live/a"));
	}
	EXPECT_FALSE(live_at_removal) << "a successor would load the job without its cancellation";
	EXPECT_FALSE(has_row("inbox/a.cancel"));
	EXPECT_FALSE(has_row("live/a"));
	EXPECT_EQ(lug_shard_job_state(shard, "a"), LUG_WORKFLOW_CANCELLED);
}

/* Otherwise a transaction whose answer was lost may store the job later, and it would run. */
TEST_F(ShardInboxTest, JobCancelledBeforeItIsStoredIsNeverStored)
{
	std::vector<enum lug_status> statuses;

	take_shard_with_worker();
	store.put("0|inbox/a.cancel", "{}");
	store_job("a", &statuses);
	run_rounds();
	EXPECT_FALSE(has_row("live/a")) << "the owner has not read the inbox yet";
	wait_for_inbox();
	run_rounds();
	EXPECT_FALSE(has_row("inbox/a.cancel"));
	EXPECT_TRUE(has_row("ended/a"));
	EXPECT_EQ(lug_shard_job_state(shard, "a"), LUG_WORKFLOW_UNKNOWN);
	store_job("a", &statuses);
	run_rounds();
	EXPECT_FALSE(has_row("live/a"));
	EXPECT_EQ(ctx->metrics->counters[LUG_C_TASKS_STARTED], 0u);
	/* Callers are told that the job is known, not that it was refused. */
	EXPECT_EQ(statuses, (std::vector<enum lug_status>{LUG_OK, LUG_OK}));
}

TEST_F(ShardInboxTest, LateCancellationKeepsTheFinalStateOfAJob)
{
	const char *completed = "{\"state\":\"completed\",\"queue\":\"q\"}";

	take_shard_with_worker();
	store.put("0|ended/a", completed);
	store.put("0|inbox/a.cancel", "{}");
	wait_for_inbox();
	run_rounds();
	EXPECT_FALSE(has_row("inbox/a.cancel"));
	EXPECT_EQ(store.rows["0|ended/a"].data, completed);
}

/* A new owner started tasks that waited, until it first read the inbox a second later. */
TEST_F(ShardInboxTest, NewOwnerStartsNoTaskOfAJobWhoseCancellationIsInTheInbox)
{
	store.put("0|live/a", job_body);
	store.put("0|live/b", job_body);
	store.put("0|inbox/a.cancel", "{}");
	/* The worker is known before the shard is loaded. */
	send_beat({}, 0);
	take_shard_with_worker();
	EXPECT_EQ(lug_shard_job_state(shard, "a"), LUG_WORKFLOW_CANCELLED);
	EXPECT_EQ(lug_shard_job_state(shard, "b"), LUG_WORKFLOW_RUNNING);
	EXPECT_EQ(ctx->metrics->counters[LUG_C_TASKS_STARTED], 2u) << "those of b alone";
	EXPECT_FALSE(has_row("inbox/a.cancel"));
}

/* The inbox may have more rows than one scan returns. */
TEST_F(ShardInboxTest, NewOwnerReadsTheWholeInbox)
{
	store.put("0|live/z", job_body);
	for (int i = 0; i < 1200; i++)
		store.put("0|inbox/old" + std::to_string(i) + ".cancel", "{}");
	store.put("0|inbox/z.cancel", "{}");
	send_beat({}, 0);
	take_shard_with_worker();
	EXPECT_EQ(lug_shard_job_state(shard, "z"), LUG_WORKFLOW_CANCELLED);
	EXPECT_EQ(ctx->metrics->counters[LUG_C_TASKS_STARTED], 0u);
}

/* 200 rows of jobs that wait for their time hid all later rows of the inbox. */
TEST_F(ShardInboxTest, JobsThatWaitForTheirTimeDoNotHideLaterRows)
{
	const std::string waiting =
		"{\"queue\":\"q\",\"spec\":\"s\",\"accepted_ms\":0,\"occurrences\":1,"
		"\"scheduled\":1,\"start_at_ms\":9000000000000,\"steps\":[{\"count\":1}]}";

	take_shard_with_worker();
	for (int i = 0; i < 450; i++)
		add_stored_job(("a" + std::to_string(i)).c_str(), waiting.c_str());
	add_stored_job("y");
	run_rounds();
	ASSERT_EQ(lug_shard_job_state(shard, "y"), LUG_WORKFLOW_RUNNING);
	/* Stored by an entry that could not notify the owner. */
	store.put("0|live/z", job_body);
	store.put("0|inbox/z", "{}");
	store.put("0|inbox/y.cancel", "{}");
	wait_for_inbox();
	run_rounds();
	answer_stops("y");
	EXPECT_EQ(lug_shard_job_state(shard, "z"), LUG_WORKFLOW_RUNNING);
	EXPECT_EQ(lug_shard_job_state(shard, "y"), LUG_WORKFLOW_CANCELLED);
	EXPECT_EQ(lug_shard_job_state(shard, "a7"), LUG_WORKFLOW_QUEUED);
	EXPECT_FALSE(has_row("inbox/a7")) << "its live row suffices";
	EXPECT_FALSE(has_row("inbox/a449"));
}

/* The cancellation may be the first row of the page after that of its job. */
TEST_F(ShardInboxTest, CancellationOnTheNextPageCountsBeforeItsJobStarts)
{
	take_shard_with_worker();
	/* The 200th row is that of the job. */
	for (int i = 100; i < 299; i++)
		store.put("0|inbox/a" + std::to_string(i) + ".cancel", "{}");
	store.put("0|live/b", job_body);
	store.put("0|inbox/b", "{}");
	store.put("0|inbox/b.cancel", "{}");
	wait_for_inbox();
	run_rounds();
	EXPECT_EQ(lug_shard_job_state(shard, "b"), LUG_WORKFLOW_CANCELLED);
	EXPECT_EQ(ctx->metrics->counters[LUG_C_TASKS_STARTED], 0u);
}

} // namespace
