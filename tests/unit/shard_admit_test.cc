#include "shard_fixture.h"

namespace
{
/* New jobs at an owner whose backlog takes hours. */
struct ShardAdmitTest : public ShardFixture {
	std::vector<enum lug_status> statuses;

	static std::string body(int accepted_ms, int count = 1, int estimate_ms = 1000)
	{
		return "{\"queue\":\"q\",\"spec\":\"s\",\"occurrences\":1,\"accepted_ms\":" +
		       std::to_string(accepted_ms) +
		       ",\"steps\":[{\"count\":" + std::to_string(count) +
		       ",\"millicores\":1000,\"memory\":1,\"estimate_ms\":" +
		       std::to_string(estimate_ms) + "}]}";
	}

	void submit(const char *job, int accepted_ms)
	{
		lug_shard_store_job(
			shard, job, body(accepted_ms).c_str(),
			[](void *data, enum lug_status status) {
				static_cast<ShardAdmitTest *>(data)->statuses.push_back(status);
			},
			this, lug_now_us());
	}

	void take_shard_with_backlog()
	{
		struct lug_admission_kind kind = {g_intern_string("pool"), FALSE, 0};
		const struct lug_queue_def *def = lug_queues_find(lug_config_queues(config), "q");

		ctx->settings->schedule_overload = TRUE;
		const_cast<struct lug_queue_def *>(def)->slo_factor = 2;
		take_shard_with_worker();
		add_stored_job("backlog", body(1, 1000, 100000).c_str());
		run_rounds();
		/* What the owner would measure in some seconds. */
		lug_admission_reset(shard->admission);
		for (int i = 0; i < 10; i++)
			lug_admission_add_ended(shard->admission, &kind, 1e6, lug_now_us());
		for (int ms : {1200, 700, 200, 0}) {
			struct lug_admission_job job = {kind, {0, LUG_ORDER_IN_TIME, 0}, 1e12, 0};

			lug_admission_sample(shard->admission, &job, 1, lug_now_us() - ms * 1000);
		}
		shard->admit_all_until_us = 0;
	}

	/* A transaction of an earlier submission, which its entry has given up, takes effect. */
	void find_in_inbox(const char *job, int accepted_ms)
	{
		store.put(std::string("0|live/") + job, body(accepted_ms));
		store.put(std::string("0|inbox/") + job, "{}");
		wait_for_inbox();
		run_rounds();
	}

	struct shard_job *find_job(const char *job) const
	{
		return (struct shard_job *)g_hash_table_lookup(shard->jobs, job);
	}

	/* A job is withheld, and its client does not return in time. */
	void expire_withheld_job(const char *job)
	{
		take_shard_with_backlog();
		submit(job, 5000);
		run_rounds();
		find_in_inbox(job, 4000);
		ASSERT_TRUE(find_job(job)->withheld_us);
		find_job(job)->withheld_us -= 61 * G_USEC_PER_SEC;
		shard->order_valid = FALSE;
	}

	/* The shard gets a new owner, which has no memory of refusals. */
	void restart()
	{
		lug_shard_free(shard);
		lug_fleet_free(fleet);
		create_shard();
		take_shard_with_worker();
		run_rounds();
	}

	guint64 refusals() const
	{
		return ctx->metrics->counters[LUG_C_JOBS_REFUSED_BACKLOG];
	}
};

TEST_F(ShardAdmitTest, HopelessJobIsRefusedAndNotStored)
{
	take_shard_with_backlog();
	submit("a", 5000);
	run_rounds();
	EXPECT_EQ(statuses, std::vector<enum lug_status>{LUG_OVER_LIMIT});
	EXPECT_GE(lug_shard_retry_after_ms(shard, "a"), 1000);
	EXPECT_EQ(refusals(), 1u);
	EXPECT_FALSE(has_row("live/a") || has_row("inbox/a") || has_row("ended/a"));
	EXPECT_EQ(lug_shard_job_state(shard, "a"), LUG_WORKFLOW_UNKNOWN);
}

TEST_F(ShardAdmitTest, NothingIsRefusedWithTheSettingOff)
{
	take_shard_with_backlog();
	ctx->settings->schedule_overload = FALSE;
	submit("a", 5000);
	run_rounds();
	EXPECT_EQ(statuses, std::vector<enum lug_status>{LUG_OK});
	EXPECT_TRUE(has_row("live/a"));
}

/* An entry's own transaction, or an earlier owner, may have left rows unknown to this owner. */
TEST_F(ShardAdmitTest, KnownJobIsNeverRefused)
{
	take_shard_with_backlog();
	submit("backlog", 5000);
	store.put("0|live/stored", body(4000));
	submit("stored", 5000);
	store.put("0|ended/ended", "{\"state\":\"completed\",\"queue\":\"q\"}");
	submit("ended", 5000);
	submit("pending", 5000);
	struct shard_waiter waiter = {[](void *, enum lug_status) {}, nullptr};

	/* It is added while the tables are read. */
	shard_store_admitted(shard, lug_workflow_decode_text("pending", body(5000).c_str()),
			     body(5000).c_str(), &waiter, lug_now_us());
	run_rounds();
	EXPECT_EQ(statuses, (std::vector<enum lug_status>(4, LUG_OK)));
	EXPECT_EQ(refusals(), 0u);
}

/* Guards against a refusal while an entry may be storing the job by itself. */
TEST_F(ShardAdmitTest, JobIsAdmittedWhenAnEntryMayStoreIt)
{
	take_shard_with_backlog();
	/* The tables answer later than an entry waits. */
	submit("slow", 5000);
	g_usleep(250 * 1000);
	run_rounds();
	EXPECT_EQ(statuses, std::vector<enum lug_status>{LUG_OK});
	shard->admit_all_until_us = 0;
	add_stored_job("other", body(4000).c_str());
	submit("after", 5000);
	run_rounds();
	EXPECT_EQ(statuses, (std::vector<enum lug_status>(2, LUG_OK)));
	EXPECT_EQ(refusals(), 0u);
}

TEST_F(ShardAdmitTest, RefusedJobThatIsStoredLateStartsOnlyOnceItReturns)
{
	take_shard_with_backlog();
	submit("a", 5000);
	run_rounds();
	ASSERT_EQ(statuses, std::vector<enum lug_status>{LUG_OVER_LIMIT});
	find_in_inbox("a", 4000);
	send_beat({}, 0, 1, "w2");
	EXPECT_EQ(state_row("a").find("r1."), std::string::npos) << state_row("a");
	ASSERT_TRUE(g_hash_table_contains(shard->jobs, "a"));
	submit("a", 4000);
	EXPECT_EQ(statuses.back(), LUG_UNKNOWN) << "an earlier submission than the refused one";
	submit("a", 7000);
	EXPECT_EQ(statuses.size(), 2u) << "answered before its release is stored";
	run_rounds();
	EXPECT_EQ(statuses.back(), LUG_OK);
	send_beat({}, 0, 1, "w3");
	EXPECT_FALSE(((struct shard_job *)g_hash_table_lookup(shard->jobs, "a"))->withheld_us);
}

/*
 * Guards against withholding a job that an entry has accepted: the refusal did not reach it in
 * time, or it found the withheld job's row.
 */
TEST_F(ShardAdmitTest, RefusedJobThatAnEntryAcceptsIsNotWithheld)
{
	take_shard_with_backlog();
	submit("a", 5000);
	submit("b", 5000);
	run_rounds();
	add_stored_job("a", body(5000).c_str());
	EXPECT_FALSE(((struct shard_job *)g_hash_table_lookup(shard->jobs, "a"))->withheld_us);
	find_in_inbox("b", 4000);
	EXPECT_TRUE(((struct shard_job *)g_hash_table_lookup(shard->jobs, "b"))->withheld_us);
	lug_shard_add_stored_job(shard, "b", "", 0, lug_now_us());
	EXPECT_FALSE(((struct shard_job *)g_hash_table_lookup(shard->jobs, "b"))->withheld_us);
}

/*
 * Guards against the loss of an accepted job: its entry finds the row of an earlier submission,
 * which the owner has not read when it is notified.
 */
TEST_F(ShardAdmitTest, RefusedJobThatAnEntryFindsStoredIsNotWithheld)
{
	take_shard_with_backlog();
	submit("a", 5000);
	run_rounds();
	ASSERT_EQ(statuses, std::vector<enum lug_status>{LUG_OVER_LIMIT});
	store.put("0|live/a", body(4000));
	store.put("0|inbox/a", "{}");
	lug_shard_add_stored_job(shard, "a", "", 0, lug_now_us());
	run_rounds();
	ASSERT_NE(find_job("a"), nullptr);
	EXPECT_FALSE(find_job("a")->withheld_us);
	EXPECT_TRUE(find_job("a")->first_us) << "it keeps its place";
}

/* Guards against the loss of an accepted job: another submission is refused while its row is read.
 */
TEST_F(ShardAdmitTest, AcceptedJobIsNotWithheldForALaterRefusal)
{
	struct lug_admission_request request = {};
	struct lug_admission_decision decision = {};

	take_shard_with_backlog();
	store.put("0|live/a", body(4000));
	store.put("0|inbox/a", "{}");
	lug_shard_add_stored_job(shard, "a", "", 0, lug_now_us());
	request.id = "a";
	request.accepted_ms = 8000;
	lug_admission_refuse(shard->admission, &request, &decision, lug_now_us());
	run_rounds();
	ASSERT_NE(find_job("a"), nullptr);
	EXPECT_FALSE(find_job("a")->withheld_us);
}

/* Guards against the loss of a job that returns while the row of an earlier submission is found. */
TEST_F(ShardAdmitTest, JobFoundWhileItsReturnIsJudgedIsNotWithheld)
{
	struct lug_row row = {};

	take_shard_with_backlog();
	submit("a", 5000);
	run_rounds();
	submit("a", 7000);
	store.put("0|live/a", body(4000));
	row.key = const_cast<char *>("a");
	row.version = store.version("0|live/a");
	row.data = lug_json_parse(body(4000).c_str(), -1, nullptr);
	shard_load_job_row(shard, &row, lug_now_us());
	json_object_unref(row.data);
	shard_check_found_job(shard, find_job("a"), lug_now_us());
	ASSERT_TRUE(find_job("a")->withheld_us);
	run_rounds();
	EXPECT_EQ(statuses, (std::vector<enum lug_status>{LUG_OVER_LIMIT, LUG_OK}));
	EXPECT_FALSE(find_job("a")->withheld_us);
}

/* Guards against storing a submission whose tables are read until after a later one is refused. */
TEST_F(ShardAdmitTest, SubmissionIsRefusedIfALaterOneWasRefusedMeanwhile)
{
	take_shard_with_backlog();
	submit("a", 5000);
	auto slow = store.calls;

	store.calls.clear();
	submit("a", 7000);
	run_rounds();
	ASSERT_EQ(statuses, std::vector<enum lug_status>{LUG_OVER_LIMIT});
	store.calls.insert(store.calls.end(), slow.begin(), slow.end());
	g_usleep(250 * 1000);
	run_rounds();
	EXPECT_EQ(statuses, (std::vector<enum lug_status>(2, LUG_OVER_LIMIT)));
	EXPECT_FALSE(has_row("live/a"));
}

/* A call of an entry arrives after a later submission was refused. */
TEST_F(ShardAdmitTest, EarlierSubmissionOfARefusedJobIsRefusedToo)
{
	take_shard_with_backlog();
	submit("a", 5000);
	run_rounds();
	shard_admit_all(shard, lug_now_us());
	submit("a", 4000);
	run_rounds();
	EXPECT_EQ(statuses, (std::vector<enum lug_status>(2, LUG_OVER_LIMIT)));
	submit("a", 7000);
	run_rounds();
	EXPECT_EQ(statuses.back(), LUG_OK);
}

/* Guards against the start of a refused job by the next owner, and after the setting is off. */
TEST_F(ShardAdmitTest, WithheldJobIsWithheldByTheNextOwner)
{
	take_shard_with_backlog();
	submit("a", 5000);
	run_rounds();
	find_in_inbox("a", 4000);
	restart();
	ASSERT_NE(find_job("a"), nullptr);
	EXPECT_TRUE(find_job("a")->withheld_us);
	submit("a", 7000);
	run_rounds();
	EXPECT_EQ(statuses.back(), LUG_OK);
	restart();
	EXPECT_FALSE(find_job("a")->withheld_us);
}

TEST_F(ShardAdmitTest, NothingIsWithheldByAnOwnerWithTheSettingOff)
{
	take_shard_with_backlog();
	submit("a", 5000);
	run_rounds();
	find_in_inbox("a", 4000);
	ctx->settings->schedule_overload = FALSE;
	restart();
	ASSERT_NE(find_job("a"), nullptr);
	EXPECT_FALSE(find_job("a")->withheld_us);
}

/* Guards against an accepted job that the next owner withholds, because this one dies too early. */
TEST_F(ShardAdmitTest, ReturnOfAWithheldJobIsAnsweredOnceItsReleaseIsStored)
{
	take_shard_with_backlog();
	submit("a", 5000);
	run_rounds();
	find_in_inbox("a", 4000);
	store.is_silent = true;
	submit("a", 7000);
	submit("a", 7000);
	run_rounds();
	EXPECT_EQ(statuses.size(), 1u);
	EXPECT_FALSE(lug_shard_is_release_stored(shard, "a"));
	store.is_silent = false;
	run_rounds();
	EXPECT_EQ(statuses, (std::vector<enum lug_status>{LUG_OVER_LIMIT, LUG_OK, LUG_OK}));
	EXPECT_TRUE(lug_shard_is_release_stored(shard, "a"));
	EXPECT_EQ(state_row("a").find("withheld"), std::string::npos);
}

/*
 * Guards against a withheld job that stays for ever, and against one that leaves an ended row, for
 * which its client would be told that the job is accepted.
 */
TEST_F(ShardAdmitTest, WithheldJobIsRemovedWhenItsClientDoesNotReturn)
{
	expire_withheld_job("a");
	run_rounds();
	EXPECT_FALSE(has_row("live/a") || has_row("runs/a") || has_row("inbox/a") ||
		     has_row("ended/a"));
	EXPECT_EQ(lug_shard_job_state(shard, "a"), LUG_WORKFLOW_UNKNOWN);
	shard_admit_all(shard, lug_now_us());
	submit("a", 7000);
	run_rounds();
	EXPECT_EQ(statuses.back(), LUG_OK);
	EXPECT_TRUE(has_row("live/a"));
}

/* Guards against accepting a job whose rows are about to be removed. */
TEST_F(ShardAdmitTest, ExpiredJobIsNotAcceptedWhileItsRowsAreRemoved)
{
	expire_withheld_job("a");
	store.is_silent = true;
	run_rounds();
	submit("a", 7000);
	EXPECT_EQ(statuses.back(), LUG_UNAVAILABLE);
	/* The entry has found the row, and repeats its notification. */
	lug_shard_add_stored_job(shard, "a", body(7000).c_str(), 0, lug_now_us());
	EXPECT_FALSE(lug_shard_is_release_stored(shard, "a"));
	store.is_silent = false;
	run_rounds();
	EXPECT_FALSE(has_row("live/a"));
	lug_shard_add_stored_job(shard, "a", body(7000).c_str(), 0, lug_now_us());
	run_rounds();
	ASSERT_NE(find_job("a"), nullptr);
	EXPECT_TRUE(has_row("live/a"));
	EXPECT_FALSE(find_job("a")->withheld_us);
}

/* Guards against the removal of a row that was stored anew after a removal of unknown outcome. */
TEST_F(ShardAdmitTest, RemovalOfAnExpiredJobLeavesALaterRow)
{
	expire_withheld_job("a");
	store.put("0|live/a", body(7000));
	run_rounds();
	EXPECT_TRUE(has_row("live/a"));
}

/* A cancellation has to leave an ended row, also of an expired job. */
TEST_F(ShardAdmitTest, CancelledExpiredJobEnds)
{
	std::vector<enum lug_status> cancelled;

	expire_withheld_job("a");
	store.is_silent = true;
	run_rounds();
	cancel_job("a", &cancelled);
	store.is_silent = false;
	run_rounds();
	EXPECT_EQ(cancelled, std::vector<enum lug_status>{LUG_OK});
	EXPECT_EQ(lug_shard_job_state(shard, "a"), LUG_WORKFLOW_CANCELLED);
	EXPECT_TRUE(has_row("ended/a"));
}

/* Late jobs with long-running steps, and the groups in which they are placed. */
struct ShardOrderTest : public ShardAdmitTest {
	enum lug_order_group place(gint64 lookahead_ms, const std::string &other_steps)
	{
		const struct lug_queue_def *def = lug_queues_find(lug_config_queues(config), "q");
		gint64 accepted_ms = g_get_real_time() / 1000 - 60000;
		std::string text = "{\"queue\":\"q\",\"spec\":\"s\",\"occurrences\":1,"
				   "\"accepted_ms\":" +
				   std::to_string(accepted_ms) +
				   ",\"steps\":[{\"count\":1,\"millicores\":1000,\"memory\":1,"
				   "\"estimate_ms\":1000,\"lasting\":1}" +
				   other_steps + "]}";

		ctx->settings->schedule_overload = TRUE;
		ctx->settings->schedule_lookahead_ms = lookahead_ms;
		const_cast<struct lug_queue_def *>(def)->slo_factor = 2;
		take_shard();
		run_rounds();
		add_stored_job("a", text.c_str());
		run_rounds();
		shard_update_sort_keys(shard, find_job("a"), lug_now_us());
		return find_job("a")->order.group;
	}
};

TEST_F(ShardOrderTest, LateLongRunningJobStaysBehindWithLookAheadPlacement)
{
	EXPECT_EQ(place(2000, ""), LUG_ORDER_WORTHLESS);
}

/* Guards against an unbounded wait: without look-ahead placement only the order bounds it. */
TEST_F(ShardOrderTest, LateLongRunningJobIsPlacedByAgeWithoutLookAheadPlacement)
{
	EXPECT_EQ(place(0, ""), LUG_ORDER_IN_TIME);
}

/* Guards against an unbounded wait of the short steps of a job with a long-running one. */
TEST_F(ShardOrderTest, LateJobWithShortStepsTooIsPlacedByAge)
{
	EXPECT_EQ(place(2000, ",{\"count\":1,\"millicores\":1000,\"memory\":1,"
			      "\"estimate_ms\":1000}"),
		  LUG_ORDER_IN_TIME);
}

} // namespace
