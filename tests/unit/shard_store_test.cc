#include "shard_fixture.h"

namespace
{
/* Jobs that are stored by the owner of their shard. */
struct ShardStoreTest : public ShardFixture {
};

TEST_F(ShardStoreTest, JobAndItsFirstClaimsAreStoredInOneTransaction)
{
	std::vector<enum lug_status> statuses;

	take_shard_with_worker();
	store_job("a", &statuses);
	while (g_main_context_iteration(nullptr, FALSE))
		;
	ASSERT_EQ(store.calls.size(), 1u);
	EXPECT_TRUE(statuses.empty()) << "accepted before it is stored";
	EXPECT_EQ(ctx->metrics->counters[LUG_C_TASKS_STARTED], 0u);
	EXPECT_EQ(lug_shard_job_state(shard, "a"), LUG_WORKFLOW_UNKNOWN);
	store.settle();
	EXPECT_EQ(statuses, std::vector<enum lug_status>{LUG_OK});
	EXPECT_TRUE(has_row("live/a"));
	EXPECT_NE(state_row("a").find("r1.0.0.1."), std::string::npos) << state_row("a");
	EXPECT_EQ(ctx->metrics->counters[LUG_C_TASKS_STARTED], 2u);
	EXPECT_EQ(lug_shard_job_state(shard, "a"), LUG_WORKFLOW_RUNNING);
	end_run("a", 0, 0, 1, LUG_RUN_DONE);
	run_rounds();
	EXPECT_FALSE(has_row("inbox/a"));
}

TEST_F(ShardStoreTest, JobThatIsAlreadyStoredIsReadAndAccepted)
{
	std::vector<enum lug_status> statuses;

	take_shard_with_worker();
	store.put("0|live/a", job_body);
	store_job("a", &statuses);
	store_job("a", &statuses);
	run_rounds();
	EXPECT_EQ(statuses, (std::vector<enum lug_status>{LUG_OK, LUG_OK}));
	EXPECT_EQ(ctx->metrics->counters[LUG_C_TASKS_STARTED], 2u);
	store_job("a", &statuses);
	EXPECT_EQ(statuses.size(), 3u);
}

TEST_F(ShardStoreTest, EndedJobIsNotRestartedByAStore)
{
	std::vector<enum lug_status> statuses;

	take_shard_with_worker();
	store.put("0|ended/a", "{\"state\":\"completed\",\"queue\":\"q\"}");
	store_job("a", &statuses);
	run_rounds();
	EXPECT_EQ(statuses, std::vector<enum lug_status>{LUG_OK});
	EXPECT_EQ(ctx->metrics->counters[LUG_C_TASKS_STARTED], 0u);
	EXPECT_FALSE(has_row("live/a"));
}

TEST_F(ShardStoreTest, StoreByAFencedOwnerFails)
{
	std::vector<enum lug_status> statuses;

	take_shard_with_worker();
	store_job("a", &statuses);
	while (g_main_context_iteration(nullptr, FALSE))
		;
	/* Another owner takes the shard over. */
	store.put("0|shard/0", "{\"owner\":\"other\",\"epoch\":9,\"ttl_ms\":8000,\"txn\":\"x\"}");
	run_rounds();
	ASSERT_EQ(statuses.size(), 1u);
	EXPECT_NE(statuses[0], LUG_OK);
	EXPECT_FALSE(has_row("live/a"));
	EXPECT_EQ(ctx->metrics->counters[LUG_C_TASKS_STARTED], 0u);
}

/* The owner finds a job in the inbox whose commit succeeded although its answer was lost. */
TEST_F(ShardStoreTest, JobStoredWithAnUnknownOutcomeIsFoundAndRun)
{
	std::vector<enum lug_status> statuses;

	take_shard_with_worker();
	store_job("a", &statuses);
	while (g_main_context_iteration(nullptr, FALSE))
		;
	ASSERT_EQ(store.calls.size(), 1u);
	FakeStore::Call call = store.take();
	store.apply(call);
	/* Longer than STORE_TIMEOUT_US. */
	g_usleep(300 * 1000);
	lug_shard_tick(shard, lug_now_us());
	EXPECT_EQ(statuses, std::vector<enum lug_status>{LUG_UNKNOWN});
	FakeStore::answer_lost(call);
	for (int i = 0; i < 40 && ctx->metrics->counters[LUG_C_TASKS_STARTED] < 2; i++) {
		g_usleep(100 * 1000);
		run_rounds();
	}
	EXPECT_EQ(ctx->metrics->counters[LUG_C_TASKS_STARTED], 2u);
	EXPECT_FALSE(has_row("inbox/a"));
}
TEST_F(ShardStoreTest, OwnerRowChangesInTheTransactionsOfTheLease)
{
	int commits = store.commits;

	take_shard();
	EXPECT_EQ(store.commits, commits + 1);
	EXPECT_EQ(store.rows["0|owner/0"].data, "{\"epoch\":1,\"address\":\"127.0.0.1:0\"}");
	EXPECT_EQ(store.rows["0|owner/0"].version, store.rows["0|shard/0"].version);
	run_rounds();
	lug_shard_release(shard, lug_now_us());
	run_rounds();
	EXPECT_EQ(store.rows["0|owner/0"].data, "{\"epoch\":1,\"address\":\"\"}");
	EXPECT_EQ(store.rows["0|owner/0"].version, store.rows["0|shard/0"].version);
}

} // namespace
