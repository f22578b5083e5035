#include "shard_fixture.h"

/* Incident cancellation-acknowledged-before-its-stops: a lease can outlast the acknowledgement. */
namespace
{
/* cancel.within and cancel.stop. */
constexpr gint64 BOUND_US = 3400 * 1000;
constexpr gint64 LEASE_MS = 6000;
/* Longer than STOP_ANSWER_US of fleet_lease.c. */
constexpr gint64 ANSWER_OVERDUE_US = 250 * 1000;

struct ShardStopTest : public ShardFixture {
	std::vector<enum lug_status> statuses;

	void SetUp() override
	{
		ShardFixture::SetUp();
		put_lease("w1", 1);
		take_shard_with_worker();
		add_stored_job("a");
		run_rounds();
		send_beat({{"a", 0, 0, 1}, {"a", 0, 1, 1}}, 2);
	}

	/* Writes the row of w1's lease. */
	void put_lease(const char *owner, int epoch, const std::string &members = "")
	{
		store.put("w1|worker/w1", std::string("{\"owner\":\"") + owner +
						  "\",\"epoch\":" + std::to_string(epoch) +
						  ",\"ttl_ms\":" + std::to_string(LEASE_MS) +
						  members + "}");
	}

	struct lug_fleet_worker *w1()
	{
		return lug_fleet_find(fleet, "w1");
	}

	void cancel()
	{
		cancel_job("a", &statuses);
		run_rounds();
	}

	/* Reads the row of the lease, if the fleet finds that due. */
	void check_lease()
	{
		w1()->next_lease_check_us = 0;
		lug_fleet_tick(fleet, lug_now_us());
		store.settle();
		run_rounds();
	}

	bool is_acknowledged()
	{
		return statuses == std::vector<enum lug_status>{LUG_OK};
	}
};

TEST_F(ShardStopTest, CancellationIsAcknowledgedOnceTheLastStopIsAnswered)
{
	cancel();
	answer_stop("a", 0, 1);
	run_rounds();
	EXPECT_TRUE(statuses.empty());
	EXPECT_EQ(lug_shard_job_state(shard, "a"), LUG_WORKFLOW_RUNNING);
	answer_stop("a", 1, 1);
	run_rounds();
	EXPECT_TRUE(is_acknowledged());
	EXPECT_EQ(lug_shard_job_state(shard, "a"), LUG_WORKFLOW_CANCELLED);
}

TEST_F(ShardStopTest, AnswersOfOtherWorkersAndRunsDoNotCount)
{
	cancel();
	answer_stop("a", 0, 1, "w2");
	answer_stop("a", 0, 2);
	answer_stop("b", 0, 1);
	answer_stop("a", 1, 1);
	run_rounds();
	EXPECT_TRUE(statuses.empty());
}

TEST_F(ShardStopTest, ReportedEndsAndListsTakeThePlaceOfAnswers)
{
	cancel();
	end_run("a", 0, 0, 1, LUG_RUN_STOPPED);
	run_rounds();
	EXPECT_TRUE(statuses.empty());
	send_beat({{"a", 0, 1, 1}}, 2);
	EXPECT_TRUE(statuses.empty()) << "the agent still holds the run";
	send_beat({}, 2);
	EXPECT_TRUE(is_acknowledged());
}

/* The task of a run that has ended must not start again before the cancellation is stored. */
TEST_F(ShardStopTest, NothingStartsAndNothingIsStoredWhileAStopIsAwaited)
{
	guint64 started = ctx->metrics->counters[LUG_C_TASKS_STARTED];
	int commits;

	cancel();
	commits = store.commits;
	end_run("a", 0, 0, 1, LUG_RUN_FAILED);
	run_rounds();
	EXPECT_EQ(ctx->metrics->counters[LUG_C_TASKS_STARTED], started);
	EXPECT_EQ(store.commits, commits);
	EXPECT_TRUE(has_row("live/a"));
}

TEST_F(ShardStopTest, LeaseThatEndsInTimeTakesThePlaceOfAnAnswer)
{
	cancel();
	g_usleep(ANSWER_OVERDUE_US);
	check_lease();
	EXPECT_TRUE(statuses.empty()) << "most of the lease may be left";
	/* The row has not changed for the rest of the lease but the bound, and then a little more.
	 */
	w1()->lease_row_since_us = lug_now_us() - (LEASE_MS * 1020 - BOUND_US) + 20 * 1000;
	check_lease();
	EXPECT_TRUE(statuses.empty());
	g_usleep(25 * 1000);
	check_lease();
	EXPECT_TRUE(is_acknowledged());
}

TEST_F(ShardStopTest, RenewedLeaseIsCountedAnew)
{
	cancel();
	g_usleep(ANSWER_OVERDUE_US);
	check_lease();
	w1()->lease_row_since_us = lug_now_us() - LEASE_MS * 1000;
	put_lease("w1", 1);
	check_lease();
	EXPECT_TRUE(statuses.empty());
}

/* The row was renewed after it had been read. */
TEST_F(ShardStopTest, LateAnswerDoesNotMakeARowOlder)
{
	FakeStore::Call read;

	cancel();
	g_usleep(ANSWER_OVERDUE_US);
	check_lease();
	w1()->lease_row_since_us =
		lug_now_us() - (LEASE_MS * 1020 - BOUND_US) + ANSWER_OVERDUE_US / 2;
	w1()->next_lease_check_us = 0;
	lug_fleet_tick(fleet, lug_now_us());
	ASSERT_EQ(store.calls.size(), 1u);
	read = store.take();
	g_usleep(ANSWER_OVERDUE_US);
	store.answer_scan(read);
	run_rounds();
	EXPECT_TRUE(statuses.empty());
}

/* The agent is in touch and its worker is not: the row is renewed, and states what is left. */
TEST_F(ShardStopTest, RestOfAPausedLeaseCounts)
{
	cancel();
	g_usleep(ANSWER_OVERDUE_US);
	put_lease("w1", 1, ",\"lease_left_ms\":3400");
	check_lease();
	EXPECT_TRUE(statuses.empty()) << "with the drift of the clocks it is above the bound";
	put_lease("w1", 1, ",\"lease_left_ms\":3300");
	check_lease();
	EXPECT_TRUE(is_acknowledged());
}

/* An owner that has just taken the shard reads the row for the first time. */
TEST_F(ShardStopTest, EndOfTheLeaseOnTheClockOfTheTableServiceCounts)
{
	store.clock_ms = 100000;
	cancel();
	g_usleep(ANSWER_OVERDUE_US);
	put_lease("w1", 1, ",\"ends_ms\":103400");
	check_lease();
	EXPECT_TRUE(statuses.empty()) << "with the drift of the clocks it is above the bound";
	put_lease("w1", 1, ",\"ends_ms\":103300");
	check_lease();
	EXPECT_TRUE(is_acknowledged());
}

TEST_F(ShardStopTest, EndOfTheLeaseWithoutAClockOrFarAwayDoesNotCount)
{
	cancel();
	g_usleep(ANSWER_OVERDUE_US);
	put_lease("w1", 1, ",\"ends_ms\":1");
	check_lease();
	EXPECT_TRUE(statuses.empty());
	store.clock_ms = 1;
	put_lease("w1", 1, ",\"ends_ms\":-5");
	check_lease();
	EXPECT_TRUE(statuses.empty());
}

/* Such an owner may have been replaced, and its successor may see the job otherwise. */
TEST_F(ShardStopTest, OwnerThatCannotCommitStopsCancelledJobsOnly)
{
	store.is_silent = true;
	/* Longer than COMMIT_STALL_US. */
	g_usleep(1300 * 1000);
	shard_set_end_state(shard,
			    static_cast<struct shard_job *>(g_hash_table_lookup(shard->jobs, "a")),
			    LUG_WORKFLOW_FAILED);
	run_rounds();
	EXPECT_EQ(lug_shard_unstopped_us(shard, "w1", lug_now_us()), -1);
	store.is_silent = false;
	run_rounds();
	EXPECT_GE(lug_shard_unstopped_us(shard, "w1", lug_now_us()), 0);
}

/* A run whose claim was withdrawn, as an earlier run of its task is done. */
TEST_F(ShardStopTest, WithdrawnRunIsAwaited)
{
	lug_shard_worker_lost(shard, "w1", 1, lug_now_us());
	run_rounds();
	send_beat({{"a", 0, 0, 2}, {"a", 0, 1, 2}}, 4);
	end_run("a", 0, 0, 1, LUG_RUN_DONE);
	run_rounds();
	send_beat({{"a", 0, 0, 2}, {"a", 0, 1, 2}}, 4);
	cancel();
	answer_stop("a", 1, 2);
	run_rounds();
	EXPECT_TRUE(statuses.empty()) << "nobody has confirmed that the second run is stopped";
}

/* A run that counts as lost, and that its agent lists again. */
TEST_F(ShardStopTest, HeldRunWithoutAClaimIsAwaited)
{
	lug_shard_worker_lost(shard, "w1", 1, lug_now_us());
	run_rounds();
	send_beat({{"a", 0, 0, 1}, {"a", 0, 1, 1}, {"a", 0, 0, 2}, {"a", 0, 1, 2}}, 4);
	cancel();
	answer_stop("a", 0, 2);
	answer_stop("a", 1, 2);
	run_rounds();
	EXPECT_TRUE(statuses.empty()) << "the first runs are held, and their stops not confirmed";
}

TEST_F(ShardStopTest, ReleasedLeaseTakesThePlaceOfAnAnswer)
{
	cancel();
	g_usleep(ANSWER_OVERDUE_US);
	put_lease("", 1);
	check_lease();
	EXPECT_TRUE(is_acknowledged());
}

/* The next owner knows neither the stops nor the agents, but finds the cancellation. */
TEST_F(ShardStopTest, NextOwnerAwaitsTheStopsAgain)
{
	store.put("0|inbox/a.cancel", "{}");
	lug_shard_release(shard, lug_now_us());
	run_rounds();
	take_shard();
	run_rounds();
	EXPECT_EQ(lug_shard_job_state(shard, "a"), LUG_WORKFLOW_RUNNING);
	EXPECT_GE(lug_shard_unstopped_us(shard, "w1", lug_now_us()), 0);
	send_beat({{"a", 0, 0, 1}, {"a", 0, 1, 1}}, 0);
	EXPECT_EQ(lug_shard_job_state(shard, "a"), LUG_WORKFLOW_RUNNING);
	answer_stops("a");
	EXPECT_EQ(lug_shard_job_state(shard, "a"), LUG_WORKFLOW_CANCELLED);
	EXPECT_EQ(lug_shard_unstopped_us(shard, "w1", lug_now_us()), -1);
	EXPECT_FALSE(has_row("inbox/a.cancel"));
}
} // namespace
