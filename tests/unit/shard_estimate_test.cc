#include "shard_fixture.h"

namespace
{
const char *const timed_body =
	"{\"queue\":\"q\",\"spec\":\"s\",\"occurrences\":1,\"accepted_ms\":0,"
	"\"steps\":[{\"count\":8,\"millicores\":1000,\"memory\":1,\"estimate_ms\":1000},"
	"{\"count\":1,\"millicores\":1000,\"memory\":1,\"estimate_ms\":1000,\"lasting\":1}]}";

struct ShardEstimateTest : public ShardFixture {
	struct shard_job *job = nullptr;

	void start_job()
	{
		take_shard_with_worker();
		add_stored_job("a", timed_body);
		run_rounds();
		job = (struct shard_job *)g_hash_table_lookup(shard->jobs, "a");
		ASSERT_NE(job, nullptr);
		ASSERT_EQ(ctx->metrics->counters[LUG_C_TASKS_STARTED], 8u);
	}

	struct shard_task *task(guint32 index)
	{
		auto *occ = (struct shard_occurrence *)g_ptr_array_index(job->occurrences, 0);

		return &occ->tasks[index];
	}

	gint64 expected_ms(guint32 step = 0)
	{
		return shard_expected_ms(shard, job, &job->workflow->steps[step]);
	}

	/* Ends the runs from @from to @to, as if they had started 250 ms ago. */
	void end_runs(guint32 from, guint32 to, enum lug_run_outcome outcome)
	{
		for (guint32 i = from; i < to; i++) {
			if (task(i)->timed_since_us)
				task(i)->timed_since_us = lug_now_us() - 250 * 1000;
			end_run("a", 0, i, 1, outcome);
		}
	}
};

/* Guards against owners that go on trusting declared run times. */
TEST_F(ShardEstimateTest, ExpectedTimeFollowsTheEnds)
{
	start_job();
	EXPECT_EQ(expected_ms(), 1000);
	EXPECT_EQ(expected_ms(1), 0) << "a long-running task has no run time";
	end_runs(0, 7, LUG_RUN_DONE);
	EXPECT_EQ(expected_ms(), 1000) << "7 ends are too few";
	end_runs(7, 8, LUG_RUN_DONE);
	EXPECT_NEAR((double)expected_ms(), 250, 50);
}

/* Guards against failed, throttled and resumed runs distorting the estimate. */
TEST_F(ShardEstimateTest, RunsThatSayNothingAreLeftOut)
{
	start_job();
	send_beat({{"a", 0, 0, 1, /* share */ 60}}, 0);
	EXPECT_EQ(task(0)->timed_since_us, 0) << "it was throttled";
	EXPECT_NE(task(1)->timed_since_us, 0);
	end_runs(1, 2, LUG_RUN_FAILED);
	end_runs(0, 1, LUG_RUN_DONE);
	end_runs(2, 8, LUG_RUN_DONE);
	EXPECT_EQ(expected_ms(), 1000);
	run_rounds();
	/* The run that replaces the failed one would be the eighth sample. */
	g_usleep(60 * 1000);
	shard_save_checkpoint(task(1), "c");
	run_rounds();
	ASSERT_EQ(task(1)->run, 2u);
	EXPECT_EQ(task(1)->timed_since_us, 0) << "it resumes from a checkpoint";
}
} // namespace
