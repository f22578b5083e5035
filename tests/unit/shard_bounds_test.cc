#include "shard_fixture.h"

namespace
{
/* Jobs whose state is near or beyond the largest row that the table service stores. */
struct ShardBoundsTest : public ShardFixture {
	static std::string body_of(int count, int occurrences, const char *more = "")
	{
		return "{\"queue\":\"q\",\"spec\":\"s\",\"accepted_ms\":0,\"occurrences\":" +
		       std::to_string(occurrences) +
		       ",\"scheduled\":" + (occurrences > 1 ? "1" : "0") +
		       ",\"start_at_ms\":1,\"interval_ms\":1000,\"steps\":[{\"count\":" +
		       std::to_string(count) + ",\"millicores\":1" + more + "}]}";
	}

	void run_passes(int n)
	{
		for (int i = 0; i < n; i++)
			run_rounds();
	}

	/* Tasks of the job's first occurrence that are claimed. */
	std::vector<guint32> claimed(const char *job, guint32 count)
	{
		std::vector<guint32> list;

		for (guint32 i = 0; i < count; i++) {
			struct lug_run_id id = {};

			g_strlcpy(id.job, job, sizeof(id.job));
			id.index = i;
			id.run = 1;
			if (is_claimed(id))
				list.push_back(i);
		}
		return list;
	}

	bool is_claimed(const struct lug_run_id &id)
	{
		auto *job =
			static_cast<struct shard_job *>(g_hash_table_lookup(shard->jobs, id.job));
		struct shard_task *task = job ? shard_find_task(job, &id) : nullptr;

		return task && task->state == SHARD_TASK_CLAIMED && task->run == id.run;
	}
};

/* All due occurrences began at once, their row was refused, and the shard stored nothing more. */
TEST_F(ShardBoundsTest, ManyDueOccurrencesDoNotHoldUpTheOtherJobs)
{
	take_shard_with_worker();
	add_stored_job("a", body_of(1, 5000).c_str());
	add_stored_job("b");
	run_passes(10);
	EXPECT_EQ(store.refused_for_size, 0);
	EXPECT_NE(state_row("a").find("\"k\":100,"), std::string::npos)
		<< "many occurrences are active";
	EXPECT_EQ(lug_shard_job_state(shard, "b"), LUG_WORKFLOW_RUNNING);
	end_run("b", 0, 0, 1, LUG_RUN_DONE);
	end_run("b", 0, 1, 1, LUG_RUN_DONE);
	run_passes(2);
	EXPECT_NE(state_row("b").find("d*2 r1."), std::string::npos) << state_row("b");
}

/* Further occurrences begin as earlier ones end, until the job is completed. */
TEST_F(ShardBoundsTest, AllDueOccurrencesRun)
{
	const int occurrences = 1500;
	std::vector<char> ended(occurrences);
	size_t left = occurrences;

	take_shard_with_worker();
	add_stored_job("a", body_of(1, occurrences).c_str());
	for (int pass = 0; pass < 200 && left; pass++) {
		run_rounds();
		for (int k = 0; k < occurrences; k++) {
			struct lug_run_id id = {};

			id.job[0] = 'a';
			id.occurrence = (guint32)k;
			id.run = 1;
			if (ended[k] || !is_claimed(id))
				continue;
			end_run("a", 0, 0, 1, LUG_RUN_DONE, 0, (guint32)k);
			ended[k] = 1;
			left--;
		}
	}
	run_rounds();
	EXPECT_EQ(left, 0u);
	EXPECT_EQ(store.refused_for_size, 0);
	EXPECT_EQ(lug_shard_job_state(shard, "a"), LUG_WORKFLOW_COMPLETED);
}

/* A wide job's claims and checkpoints stay within its row; the checkpoints that fit are stored. */
TEST_F(ShardBoundsTest, CheckpointsOfAWideJobDoNotMakeItsRowTooLarge)
{
	const guint32 count = 4000;
	std::string checkpoint(40, 'c');
	std::vector<HeldRun> held;

	take_shard_with_worker();
	add_stored_job("a", body_of((int)count, 1, ",\"checkpointing\":1").c_str());
	add_stored_job("b");
	run_passes(20);
	for (guint32 i : claimed("a", count)) {
		HeldRun run = {"a", 0, i, 1};

		run.checkpoint = checkpoint.c_str();
		held.push_back(run);
	}
	EXPECT_GT(held.size(), 2000u);
	held.push_back({"b", 0, 0, 1});
	held.push_back({"b", 0, 1, 1});
	send_beat(held, 100000);
	end_run("a", 0, 0, 1, LUG_RUN_DONE);
	end_run("b", 0, 0, 1, LUG_RUN_DONE);
	run_passes(2);
	EXPECT_EQ(store.refused_for_size, 0);
	EXPECT_NE(state_row("a").find(checkpoint), std::string::npos);
	EXPECT_NE(state_row("b").find("d r1."), std::string::npos) << state_row("b");
	/* A later owner reads the row. */
	store.put("0|shard/0", "{\"owner\":\"other\",\"epoch\":9,\"ttl_ms\":8000,\"txn\":\"x\"}");
	run_passes(2);
	take_shard();
	run_passes(2);
	EXPECT_EQ(lug_shard_job_state(shard, "a"), LUG_WORKFLOW_RUNNING);
	EXPECT_TRUE(is_claimed([] {
		struct lug_run_id id = {};

		id.job[0] = 'a';
		id.index = 1;
		id.run = 1;
		return id;
	}()));
}

/* Runs behind the end of a heartbeat's list were taken for lost and started again beside
 * themselves. */
TEST_F(ShardBoundsTest, RunsOutsideTheBoundsOfAListAreNotLost)
{
	struct lug_run_id id = {};
	Lug__RunId second;

	take_shard_with_worker();
	add_stored_job("a", body_of(4, 1).c_str());
	run_passes(2);
	id.job[0] = 'a';
	id.run = 1;
	/* The first two tasks: one is held, the other is lost. */
	struct lug_run_id until = id;
	until.index = 1;
	lug_run_to_wire(&until, &second);
	listed_until = &second;
	send_beat({{"a", 0, 0, 1}}, 100);
	EXPECT_EQ(ctx->metrics->counters[LUG_C_TASKS_LOST], 1u);
	EXPECT_EQ(claimed("a", 4), (std::vector<guint32>{0, 2, 3}));
	/* The others, and the second run of the lost task, which lies behind its first. */
	listed_after = &second;
	listed_until = nullptr;
	send_beat({}, 100);
	EXPECT_EQ(ctx->metrics->counters[LUG_C_TASKS_LOST], 4u);
	EXPECT_EQ(claimed("a", 4), (std::vector<guint32>{0}));
}

/* A state that is refused all the same ends its own job. */
TEST_F(ShardBoundsTest, JobOfARefusedStateIsGivenUpAndTheOthersGoOn)
{
	store.row_max_bytes = 3000;
	take_shard_with_worker();
	add_stored_job("a", body_of(1, 200).c_str());
	add_stored_job("b");
	run_passes(3);
	EXPECT_GT(store.refused_for_size, 0);
	EXPECT_EQ(lug_shard_job_state(shard, "a"), LUG_WORKFLOW_FAILED);
	EXPECT_EQ(lug_shard_job_state(shard, "b"), LUG_WORKFLOW_RUNNING);
	EXPECT_NE(state_row("b").find("r1.0.0.1."), std::string::npos) << state_row("b");
}

} // namespace
