#include "shard_fixture.h"

namespace
{
constexpr const char *one_task =
	"{\"queue\":\"q\",\"spec\":\"s\",\"occurrences\":1,\"accepted_ms\":0,"
	"\"steps\":[{\"count\":1,\"millicores\":1000,\"memory\":1}]}";

/* An owner with worker "w1" in zone "a" and worker "w2" in zone "b". */
struct ShardEvacuationTest : public ShardFixture {
	void beat(const char *worker, guint64 last_seq = 0)
	{
		beat_zone = !strcmp(worker, "w1") ? "a" : "b";
		send_beat({}, last_seq, 1, worker);
	}

	/* Changes the row of an evacuation. The watch reports it; a deletion is read again. */
	void change(const char *key, gboolean deleted)
	{
		std::string row_key = std::string("op/") + key;
		struct lug_row row = {const_cast<char *>(key), ++store.revision, nullptr, deleted};
		struct lug_watch_result result = {LUG_OK, &row, 1, row.version};
		FakeStore::Watch watch;

		lug_config_tick(config, lug_now_us());
		ASSERT_FALSE(store.watches.empty());
		watch = store.watches.front();
		store.watches.pop_front();
		if (deleted)
			store.rows.erase(row_key);
		else
			store.put(row_key, "{}");
		watch.fn(watch.data, &result);
		lug_config_tick(config, lug_now_us());
		store.settle();
	}

	const struct shard_task *task(const char *job)
	{
		struct lug_run_id id = {};
		auto *found =
			static_cast<struct shard_job *>(g_hash_table_lookup(shard->jobs, job));

		g_strlcpy(id.job, job, sizeof(id.job));
		return shard_find_task(found, &id);
	}

	std::string worker_of(const char *job)
	{
		return task(job)->worker ? task(job)->worker : "";
	}

	guint64 starts()
	{
		return ctx->metrics->counters[LUG_C_TASKS_STARTED];
	}
};

TEST_F(ShardEvacuationTest, TasksArePlacedElsewhereUntilTheRowIsDeleted)
{
	take_shard();
	run_rounds();
	beat("w1");
	change("evacuate/a", FALSE);
	add_stored_job("j", one_task);
	run_rounds();
	EXPECT_EQ(worker_of("j"), "") << "only a worker of the zone has room";
	beat("w2");
	EXPECT_EQ(worker_of("j"), "w2");
	change("evacuate/b", FALSE);
	add_stored_job("k", one_task);
	run_rounds();
	EXPECT_EQ(worker_of("k"), "") << "both zones are evacuated";
	change("evacuate/a", TRUE);
	run_rounds();
	EXPECT_EQ(worker_of("k"), "w1") << "work returns";
	EXPECT_EQ(worker_of("j"), "w2") << "the running task stays";
}

/* The owner may learn of an evacuation later than the worker's agent. */
TEST_F(ShardEvacuationTest, NothingIsPlacedWhileTheAgentReportsTheEvacuation)
{
	take_shard();
	run_rounds();
	beat_evacuated = true;
	beat("w1");
	add_stored_job("j", one_task);
	run_rounds();
	EXPECT_EQ(worker_of("j"), "");
	beat_evacuated = false;
	beat("w1");
	EXPECT_EQ(worker_of("j"), "w1");
}

TEST_F(ShardEvacuationTest, AClaimThatWasNotSentReturnsToWaiting)
{
	take_shard();
	run_rounds();
	beat("w1");
	add_stored_job("j", one_task);
	store.is_silent = true;
	run_rounds();
	ASSERT_EQ(worker_of("j"), "w1") << "claimed, and the claim is being stored";
	store.is_silent = false;
	change("evacuate/a", FALSE);
	run_rounds();
	EXPECT_EQ(worker_of("j"), "");
	EXPECT_EQ(starts(), 0u);
	EXPECT_NE(state_row("j").find("\"workers\":[]"), std::string::npos) << state_row("j");
	beat("w2");
	EXPECT_EQ(worker_of("j"), "w2");
	EXPECT_EQ(starts(), 1u);
}

/* Sent again as it was, a lost start would begin in the evacuated zone; unsent, it would hang. */
TEST_F(ShardEvacuationTest, ALostStartIsWithdrawn)
{
	take_shard();
	run_rounds();
	beat("w1");
	add_stored_job("j", one_task);
	run_rounds();
	ASSERT_EQ(starts(), 1u);
	change("evacuate/a", FALSE);
	beat("w2");
	/* Longer than START_RESEND_US. */
	g_usleep(750 * 1000);
	beat("w1", 0);
	EXPECT_EQ(worker_of("j"), "w1") << "the first start may still arrive";
	EXPECT_EQ(task("j")->start_seq, 2u) << "a message that outdates it is sent";
	beat("w1", 2);
	EXPECT_EQ(worker_of("j"), "w2");
}

/* Starts that the agent refuses for the evacuation say nothing about the worker. */
TEST_F(ShardEvacuationTest, RefusalsDoNotDelayTheReturnOfWork)
{
	take_shard();
	run_rounds();
	beat("w1");
	add_stored_job("j", one_task);
	run_rounds();
	change("evacuate/a", FALSE);
	answer_start("j", 0, 1, LUG_NOT_RUN);
	EXPECT_EQ(worker_of("j"), "");
	EXPECT_EQ(lug_fleet_find(fleet, "w1")->failures, 0u);
	change("evacuate/a", TRUE);
	run_rounds();
	answer_start("j", 0, 2, LUG_NOT_RUN);
	EXPECT_EQ(lug_fleet_find(fleet, "w1")->failures, 1u) << "refused for an unknown reason";
	beat_evacuated = true;
	beat("w1");
	EXPECT_EQ(lug_fleet_find(fleet, "w1")->failures, 0u) << "refused for the evacuation";
}

/* The owner's process was started during the evacuation and takes over a shard at once. */
TEST_F(ShardEvacuationTest, ANewOwnerPlacesNothingBeforeItHasReadTheZones)
{
	struct lug_config_source source = {"op", "config", "evacuate/", make_queues};
	struct lug_config *unread = lug_config_new(ctx, &store.base, nullptr, &source);

	shard->shared.config = unread;
	take_shard();
	run_rounds();
	beat("w1");
	beat("w2");
	store.put("op/evacuate/a", "{}");
	store.is_silent = true;
	lug_config_tick(unread, lug_now_us());
	add_stored_job("j", one_task);
	shard_place_tasks(shard, lug_now_us());
	EXPECT_EQ(worker_of("j"), "");
	store.is_silent = false;
	run_rounds();
	EXPECT_EQ(worker_of("j"), "w2");
	lug_shard_free(shard);
	shard = nullptr;
	lug_config_free(unread);
}

} // namespace
