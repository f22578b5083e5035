#include "shard_rig.h"

namespace
{
struct ShardTest : public ShardRig {
};

TEST_F(ShardTest, ClaimsAreStoredBeforeAnythingStarts)
{
	serve();
	submit("a");
	run();
	EXPECT_NE(runs("a").find("r1.0.0.1."), std::string::npos) << runs("a");
	EXPECT_FALSE(stored("inbox/a"));
	EXPECT_EQ(lug_shard_state(shard, "a"), LUG_WORKFLOW_RUNNING);
	EXPECT_EQ(ctx->metrics->counters[LUG_C_TASKS_STARTED], 2u);
}

TEST_F(ShardTest, AJobWhoseStartsWereRefusedIsStillPending)
{
	serve();
	submit("a");
	run();
	answer("a", 0, 1, LUG_OVER_LIMIT);
	answer("a", 1, 1, LUG_OVER_LIMIT);
	EXPECT_EQ(lug_shard_pending(shard, "q"), 1u);
	run();
	EXPECT_EQ(lug_shard_pending(shard, "q"), 1u);
	answer("a", 0, 2, LUG_OK);
	EXPECT_EQ(lug_shard_pending(shard, "q"), 0u);
}

/* A worker's agent that was away refuses the first copy of a start and carries out the second. */
TEST_F(ShardTest, ARefusalOfAStartThatWasSentAgainSettlesNothing)
{
	serve();
	submit("a");
	run();
	g_usleep(750 * 1000);
	beat({}, 0);
	ASSERT_EQ(ctx->metrics->counters[LUG_C_TASKS_STARTED], 4u) << "both starts are sent again";
	answer("a", 0, 1, LUG_NOT_RUN, 1);
	run();
	EXPECT_NE(runs("a").find("r1.0.0.1."), std::string::npos) << runs("a");
	EXPECT_EQ(runs("a").find("r2."), std::string::npos) << runs("a");
	answer("a", 0, 1, LUG_NOT_RUN, 3);
	run();
	EXPECT_NE(runs("a").find("r2."), std::string::npos) << runs("a");
}

TEST_F(ShardTest, NothingStartsWhileTheTableIsSilent)
{
	serve();
	submit("a");
	while (g_main_context_iteration(nullptr, FALSE))
		;
	EXPECT_FALSE(store.calls.empty());
	EXPECT_EQ(ctx->metrics->counters[LUG_C_TASKS_STARTED], 0u);
	run();
	EXPECT_EQ(ctx->metrics->counters[LUG_C_TASKS_STARTED], 2u);
}

TEST_F(ShardTest, AStepWaitsForTheOnesBeforeIt)
{
	serve();
	submit("a");
	run();
	end("a", 0, 0, 1, LUG_RUN_DONE);
	run();
	EXPECT_EQ(ctx->metrics->counters[LUG_C_TASKS_STARTED], 2u);
	end("a", 0, 1, 1, LUG_RUN_DONE);
	run();
	EXPECT_EQ(ctx->metrics->counters[LUG_C_TASKS_STARTED], 3u);
	end("a", 1, 0, 1, LUG_RUN_DONE);
	EXPECT_EQ(lug_shard_state(shard, "a"), LUG_WORKFLOW_RUNNING) << "shown before it is stored";
	run();
	EXPECT_EQ(lug_shard_state(shard, "a"), LUG_WORKFLOW_COMPLETED);
	EXPECT_TRUE(stored("ended/a"));
	EXPECT_FALSE(stored("live/a"));
	EXPECT_FALSE(stored("runs/a"));
}

TEST_F(ShardTest, AnEndToldTwiceCountsOnce)
{
	serve();
	submit("a");
	run();
	end("a", 0, 0, 1, LUG_RUN_FAILED);
	end("a", 0, 0, 1, LUG_RUN_FAILED);
	run();
	EXPECT_EQ(lug_shard_state(shard, "a"), LUG_WORKFLOW_RUNNING);
	g_usleep(60 * 1000);
	run();
	EXPECT_NE(runs("a").find("r2.1."), std::string::npos) << runs("a");
	end("a", 0, 0, 2, LUG_RUN_FAILED);
	run();
	EXPECT_EQ(lug_shard_state(shard, "a"), LUG_WORKFLOW_FAILED);
}

TEST_F(ShardTest, AnEndedJobIsNotBegunAgainByARepeatedSubmission)
{
	gint64 version;

	serve();
	submit("a");
	version = store.version("0|live/a");
	run();
	end("a", 0, 0, 1, LUG_RUN_DONE);
	end("a", 0, 1, 1, LUG_RUN_DONE);
	run();
	end("a", 1, 0, 1, LUG_RUN_DONE);
	run();
	ASSERT_TRUE(stored("ended/a"));
	/* The next owner does not load ended jobs; an entry tells of the job once more. */
	lug_shard_release(shard, lug_now_us());
	run();
	serve();
	lug_shard_submit(shard, "a", body, version, lug_now_us());
	run();
	lug_shard_submit(shard, "a", "", 0, lug_now_us());
	run();
	EXPECT_EQ(ctx->metrics->counters[LUG_C_TASKS_STARTED], 3u);
	EXPECT_EQ(lug_shard_state(shard, "a"), LUG_WORKFLOW_UNKNOWN);
}

TEST_F(ShardTest, ANewOwnerGoesOnWithWhatRuns)
{
	serve();
	submit("a");
	run();
	lug_shard_release(shard, lug_now_us());
	run();
	EXPECT_EQ(events.back(), LUG_SHARD_RELEASED);
	take();
	run();
	EXPECT_EQ(lug_shard_state(shard, "a"), LUG_WORKFLOW_RUNNING);
	/* The agent holds one of the two runs; the other never reached it. */
	beat({{"a", 0, 0, 1}}, 0);
	EXPECT_NE(runs("a").find("r1.0."), std::string::npos) << runs("a");
	EXPECT_NE(runs("a").find("r2.0."), std::string::npos) << runs("a");
}

TEST_F(ShardTest, ARunThatItsAgentMayNotHaveSeenIsLeftAlone)
{
	serve();
	submit("a");
	run();
	beat({}, 0);
	EXPECT_EQ(runs("a").find("r2."), std::string::npos) << runs("a");
	beat({}, 2);
	EXPECT_NE(runs("a").find("r2."), std::string::npos) << runs("a");
}

TEST_F(ShardTest, AnotherLeaseWithoutTheRunFreesIt)
{
	serve();
	submit("a");
	run();
	beat({}, 0, 2);
	EXPECT_NE(runs("a").find("r2.0.0.2."), std::string::npos) << runs("a");
}

TEST_F(ShardTest, ASilentWorkerFreesItsTasksOnlyWhenItsLeaseIsFenced)
{
	gint64 now_us = lug_now_us();

	store.put("w1|worker/w1", "{\"owner\":\"w1\",\"epoch\":1,\"ttl_ms\":6000,\"txn\":\"x\"}");
	serve();
	submit("a");
	run();
	lug_fleet_find(fleet, "w1")->heard_us = now_us - 2000000;
	lug_fleet_tick(fleet, now_us);
	store.settle();
	EXPECT_NE(runs("a").find("r1."), std::string::npos);
	lug_fleet_find(fleet, "w1")->fence_since_us = now_us - 5900000;
	lug_fleet_find(fleet, "w1")->fence_next_us = 0;
	lug_fleet_tick(fleet, now_us);
	store.settle();
	EXPECT_EQ(store.rows["w1|worker/w1"].data.find("\"owner\":\"\""), std::string::npos);
	lug_fleet_find(fleet, "w1")->fence_since_us = now_us - 6500000;
	lug_fleet_find(fleet, "w1")->fence_next_us = 0;
	lug_fleet_tick(fleet, now_us);
	store.settle();
	EXPECT_NE(store.rows["w1|worker/w1"].data.find("\"epoch\":2"), std::string::npos);
	run();
	EXPECT_EQ(runs("a").find("r1."), std::string::npos) << runs("a");
}

TEST_F(ShardTest, ACancellationIsStoredBeforeItIsTold)
{
	std::vector<enum lug_status> told;

	serve();
	submit("a");
	run();
	EXPECT_TRUE(lug_shard_cancel(
		shard, "a",
		[](void *data, enum lug_status status) {
			static_cast<std::vector<enum lug_status> *>(data)->push_back(status);
		},
		&told, lug_now_us()));
	EXPECT_TRUE(told.empty());
	run();
	EXPECT_EQ(told, std::vector<enum lug_status>{LUG_OK});
	EXPECT_EQ(lug_shard_state(shard, "a"), LUG_WORKFLOW_CANCELLED);
	EXPECT_FALSE(lug_shard_cancel(shard, "b", nullptr, nullptr, lug_now_us()));
}

TEST_F(ShardTest, AJobThatNobodyToldIsFoundInTheTable)
{
	serve();
	store.put("0|live/a", body);
	store.put("0|inbox/a", "{}");
	g_usleep(1300 * 1000);
	run();
	EXPECT_EQ(lug_shard_state(shard, "a"), LUG_WORKFLOW_RUNNING);
}

TEST_F(ShardTest, ACancellationFoundBesideItsJobIsNotLost)
{
	serve();
	store.put("0|live/a", body);
	store.put("0|inbox/a", "{}");
	store.put("0|inbox/a.cancel", "{}");
	g_usleep(1300 * 1000);
	run();
	EXPECT_EQ(lug_shard_state(shard, "a"), LUG_WORKFLOW_CANCELLED);
	EXPECT_EQ(ctx->metrics->counters[LUG_C_TASKS_STARTED], 0u);
	EXPECT_FALSE(stored("inbox/a"));
	EXPECT_FALSE(stored("inbox/a.cancel"));
}

TEST_F(ShardTest, PendingCountsJobsWithoutAStart)
{
	take();
	run();
	submit("a");
	submit("b");
	run();
	EXPECT_EQ(lug_shard_pending(shard, "q"), 2u);
	EXPECT_EQ(lug_shard_pending(shard, "another"), 0u);
	EXPECT_EQ(lug_shard_state(shard, "a"), LUG_WORKFLOW_QUEUED);
	beat({}, 0);
	EXPECT_EQ(lug_shard_pending(shard, "q"), 2u) << "a claim is no start";
	answer("a", 0, 1, LUG_OK);
	EXPECT_EQ(lug_shard_pending(shard, "q"), 1u);
	answer("b", 1, 1, LUG_OK);
	EXPECT_EQ(lug_shard_pending(shard, "q"), 0u);
}

TEST_F(ShardTest, AnOwnerThatWasFollowedForgetsAll)
{
	serve();
	submit("a");
	run();
	store.put("0|shard/0", "{\"owner\":\"other\",\"epoch\":9,\"ttl_ms\":8000,\"txn\":\"y\"}");
	submit("b");
	run();
	EXPECT_EQ(events.back(), LUG_SHARD_LOST);
	EXPECT_FALSE(lug_shard_held(shard));
	EXPECT_EQ(lug_shard_state(shard, "a"), LUG_WORKFLOW_UNKNOWN);
	EXPECT_EQ(lug_fleet_find(fleet, "w1")->claimed.millicores, 0);
}
} // namespace
