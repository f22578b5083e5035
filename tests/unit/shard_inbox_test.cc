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

} // namespace
