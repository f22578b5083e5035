#include "shard_rig.h"

namespace
{
/* Storing of jobs by the owner of their shard. */
struct ShardStoreTest : public ShardRig {
};

TEST_F(ShardStoreTest, AJobIsStoredWithItsFirstClaimsByOneTransaction)
{
	std::vector<enum lug_status> told;

	serve();
	store_job("a", &told);
	while (g_main_context_iteration(nullptr, FALSE))
		;
	ASSERT_EQ(store.calls.size(), 1u);
	EXPECT_TRUE(told.empty()) << "accepted before it is stored";
	EXPECT_EQ(ctx->metrics->counters[LUG_C_TASKS_STARTED], 0u);
	EXPECT_EQ(lug_shard_state(shard, "a"), LUG_WORKFLOW_UNKNOWN);
	store.settle();
	EXPECT_EQ(told, std::vector<enum lug_status>{LUG_OK});
	EXPECT_TRUE(stored("live/a"));
	EXPECT_NE(runs("a").find("r1.0.0.1."), std::string::npos) << runs("a");
	EXPECT_EQ(ctx->metrics->counters[LUG_C_TASKS_STARTED], 2u);
	EXPECT_EQ(lug_shard_state(shard, "a"), LUG_WORKFLOW_RUNNING);
	end("a", 0, 0, 1, LUG_RUN_DONE);
	run();
	EXPECT_FALSE(stored("inbox/a"));
}

TEST_F(ShardStoreTest, AJobThatWasStoredBeforeIsReadAndAccepted)
{
	std::vector<enum lug_status> told;

	serve();
	store.put("0|live/a", body);
	store_job("a", &told);
	store_job("a", &told);
	run();
	EXPECT_EQ(told, (std::vector<enum lug_status>{LUG_OK, LUG_OK}));
	EXPECT_EQ(ctx->metrics->counters[LUG_C_TASKS_STARTED], 2u);
	store_job("a", &told);
	EXPECT_EQ(told.size(), 3u);
}

TEST_F(ShardStoreTest, AJobThatHasEndedIsNotBegunAgainByAStore)
{
	std::vector<enum lug_status> told;

	serve();
	store.put("0|ended/a", "{\"state\":\"completed\",\"queue\":\"q\"}");
	store_job("a", &told);
	run();
	EXPECT_EQ(told, std::vector<enum lug_status>{LUG_OK});
	EXPECT_EQ(ctx->metrics->counters[LUG_C_TASKS_STARTED], 0u);
	EXPECT_FALSE(stored("live/a"));
}

TEST_F(ShardStoreTest, AJobThatAFormerOwnerCouldNotStoreIsInDoubt)
{
	std::vector<enum lug_status> told;

	serve();
	store_job("a", &told);
	while (g_main_context_iteration(nullptr, FALSE))
		;
	/* Another owner has taken the shard meanwhile. */
	store.put("0|shard/0", "{\"owner\":\"other\",\"epoch\":9,\"ttl_ms\":8000,\"txn\":\"x\"}");
	run();
	ASSERT_EQ(told.size(), 1u);
	EXPECT_NE(told[0], LUG_OK);
	EXPECT_FALSE(stored("live/a"));
	EXPECT_EQ(ctx->metrics->counters[LUG_C_TASKS_STARTED], 0u);
}

/* The entry that asked has stored it meanwhile or will; the owner finds it by itself. */
TEST_F(ShardStoreTest, AJobWhoseStoringWasInDoubtIsFoundAndRun)
{
	std::vector<enum lug_status> told;

	serve();
	store_job("a", &told);
	while (g_main_context_iteration(nullptr, FALSE))
		;
	ASSERT_EQ(store.calls.size(), 1u);
	FakeStore::Call call = store.take();
	store.apply(call);
	g_usleep(300 * 1000);
	lug_shard_tick(shard, lug_now_us());
	EXPECT_EQ(told, std::vector<enum lug_status>{LUG_UNKNOWN});
	FakeStore::answer_lost(call);
	for (int i = 0; i < 40 && ctx->metrics->counters[LUG_C_TASKS_STARTED] < 2; i++) {
		g_usleep(100 * 1000);
		run();
	}
	EXPECT_EQ(ctx->metrics->counters[LUG_C_TASKS_STARTED], 2u);
	EXPECT_FALSE(stored("inbox/a"));
}
} // namespace
