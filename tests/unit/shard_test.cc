#include "shard_fixture.h"

namespace
{
struct ShardTest : public ShardFixture {
};

TEST_F(ShardTest, TasksAreClaimedAndStarted)
{
	take_shard_with_worker();
	add_stored_job("a");
	run_rounds();
	EXPECT_NE(state_row("a").find("r1.0.0.1."), std::string::npos) << state_row("a");
	EXPECT_FALSE(has_row("inbox/a"));
	EXPECT_EQ(lug_shard_job_state(shard, "a"), LUG_WORKFLOW_RUNNING);
	EXPECT_EQ(ctx->metrics->counters[LUG_C_TASKS_STARTED], 2u);
}

TEST_F(ShardTest, JobWithRefusedStartsIsStillPending)
{
	take_shard_with_worker();
	add_stored_job("a");
	run_rounds();
	answer_start("a", 0, 1, LUG_OVER_LIMIT);
	answer_start("a", 1, 1, LUG_OVER_LIMIT);
	EXPECT_EQ(lug_shard_pending_jobs(shard, "q"), 1u);
	run_rounds();
	EXPECT_EQ(lug_shard_pending_jobs(shard, "q"), 1u);
	answer_start("a", 0, 2, LUG_OK);
	EXPECT_EQ(lug_shard_pending_jobs(shard, "q"), 0u);
}

/* An agent that was unreachable may refuse the first copy of a start and accept the second. */
TEST_F(ShardTest, RefusalOfAnEarlierCopyOfAResentStartIsIgnored)
{
	take_shard_with_worker();
	add_stored_job("a");
	run_rounds();
	/* Longer than START_RESEND_US. */
	g_usleep(750 * 1000);
	send_beat({}, 0);
	ASSERT_EQ(ctx->metrics->counters[LUG_C_TASKS_STARTED], 4u) << "both starts are sent again";
	answer_start("a", 0, 1, LUG_NOT_RUN, /* answered_seq */ 1);
	run_rounds();
	EXPECT_NE(state_row("a").find("r1.0.0.1."), std::string::npos) << state_row("a");
	EXPECT_EQ(state_row("a").find("r2."), std::string::npos) << state_row("a");
	answer_start("a", 0, 1, LUG_NOT_RUN, /* answered_seq */ 3);
	run_rounds();
	EXPECT_NE(state_row("a").find("r2."), std::string::npos) << state_row("a");
}

/* A best-effort task that is throttled beside serving tasks holds up its whole job. */
TEST_F(ShardTest, ThrottledTaskMovesToAWorkerWithSpareCores)
{
	const char *body = "{\"queue\":\"q\",\"spec\":\"s\",\"occurrences\":1,\"accepted_ms\":0,"
			   "\"steps\":[{\"count\":1,\"millicores\":4000,\"memory\":1,"
			   "\"image\":\"i\",\"fills\":1,\"checkpointing\":1}]}";
	const guint64 *evicted = &ctx->metrics->counters[LUG_C_TASKS_EVICTED];
	const HeldRun half = {"a", 0, 0, 1, 55};
	const HeldRun slow = {"a", 0, 0, 1, 40};

	take_shard();
	run_rounds();
	send_beat({}, 0, 1, "w1", 8000);
	add_stored_job("a", body);
	run_rounds();
	ASSERT_EQ(ctx->metrics->counters[LUG_C_TASKS_STARTED], 1u);
	send_beat({slow}, 1, 1, "w1", 0);
	/* Longer than SLOW_DURATION_US. */
	g_usleep(550 * 1000);
	send_beat({slow}, 1, 1, "w1", 0);
	EXPECT_EQ(*evicted, 0u) << "no worker has room for it";
	send_beat({}, 0, 1, "w2", 8000);
	send_beat({half}, 1, 1, "w1", 0);
	EXPECT_EQ(*evicted, 0u) << "half of the speed is enough";
	send_beat({slow}, 1, 1, "w1", 0);
	EXPECT_EQ(*evicted, 0u) << "it may have been slow for a moment";
	g_usleep(550 * 1000);
	send_beat({slow}, 1, 1, "w1", 0);
	EXPECT_EQ(*evicted, 1u);
}

TEST_F(ShardTest, NothingStartsWhileTheStoreDoesNotAnswer)
{
	take_shard_with_worker();
	add_stored_job("a");
	while (g_main_context_iteration(nullptr, FALSE))
		;
	EXPECT_FALSE(store.calls.empty());
	EXPECT_EQ(ctx->metrics->counters[LUG_C_TASKS_STARTED], 0u);
	run_rounds();
	EXPECT_EQ(ctx->metrics->counters[LUG_C_TASKS_STARTED], 2u);
}

TEST_F(ShardTest, StepWaitsForItsPredecessors)
{
	take_shard_with_worker();
	add_stored_job("a");
	run_rounds();
	end_run("a", 0, 0, 1, LUG_RUN_DONE);
	run_rounds();
	EXPECT_EQ(ctx->metrics->counters[LUG_C_TASKS_STARTED], 2u);
	end_run("a", 0, 1, 1, LUG_RUN_DONE);
	run_rounds();
	EXPECT_EQ(ctx->metrics->counters[LUG_C_TASKS_STARTED], 3u);
	end_run("a", 1, 0, 1, LUG_RUN_DONE);
	EXPECT_EQ(lug_shard_job_state(shard, "a"), LUG_WORKFLOW_RUNNING)
		<< "the final state is reported before it is stored";
	run_rounds();
	EXPECT_EQ(lug_shard_job_state(shard, "a"), LUG_WORKFLOW_COMPLETED);
	EXPECT_TRUE(has_row("ended/a"));
	EXPECT_FALSE(has_row("live/a"));
	EXPECT_FALSE(has_row("runs/a"));
}

TEST_F(ShardTest, ResentRunEndCountsOnce)
{
	take_shard_with_worker();
	add_stored_job("a");
	run_rounds();
	end_run("a", 0, 0, 1, LUG_RUN_FAILED);
	end_run("a", 0, 0, 1, LUG_RUN_FAILED);
	run_rounds();
	EXPECT_EQ(lug_shard_job_state(shard, "a"), LUG_WORKFLOW_RUNNING);
	/* Longer than FAILED_RUN_RETRY_DELAY_US. */
	g_usleep(60 * 1000);
	run_rounds();
	EXPECT_NE(state_row("a").find("r2.1."), std::string::npos) << state_row("a");
	end_run("a", 0, 0, 2, LUG_RUN_FAILED);
	run_rounds();
	answer_stop("a", 1, 1);
	run_rounds();
	EXPECT_EQ(lug_shard_job_state(shard, "a"), LUG_WORKFLOW_FAILED);
}

TEST_F(ShardTest, EndedJobIsNotRestartedByARepeatedSubmission)
{
	gint64 version;

	take_shard_with_worker();
	add_stored_job("a");
	version = store.version("0|live/a");
	run_rounds();
	end_run("a", 0, 0, 1, LUG_RUN_DONE);
	end_run("a", 0, 1, 1, LUG_RUN_DONE);
	run_rounds();
	end_run("a", 1, 0, 1, LUG_RUN_DONE);
	run_rounds();
	ASSERT_TRUE(has_row("ended/a"));
	/* The next owner does not load ended jobs, and an entry submits the job once more. */
	lug_shard_release(shard, lug_now_us());
	run_rounds();
	take_shard_with_worker();
	lug_shard_add_stored_job(shard, "a", job_body, version, lug_now_us());
	run_rounds();
	lug_shard_add_stored_job(shard, "a", "", 0, lug_now_us());
	run_rounds();
	EXPECT_EQ(ctx->metrics->counters[LUG_C_TASKS_STARTED], 3u);
	EXPECT_EQ(lug_shard_job_state(shard, "a"), LUG_WORKFLOW_UNKNOWN);
}

TEST_F(ShardTest, NewOwnerKeepsHeldRunsAndRestartsOthers)
{
	take_shard_with_worker();
	add_stored_job("a");
	run_rounds();
	lug_shard_release(shard, lug_now_us());
	run_rounds();
	EXPECT_EQ(events.back(), LUG_SHARD_RELEASED);
	take_shard();
	run_rounds();
	EXPECT_EQ(lug_shard_job_state(shard, "a"), LUG_WORKFLOW_RUNNING);
	/* The agent holds one of the two runs; it never received the start of the other. */
	send_beat({{"a", 0, 0, 1}}, 0);
	EXPECT_NE(state_row("a").find("r1.0."), std::string::npos) << state_row("a");
	EXPECT_NE(state_row("a").find("r2.0."), std::string::npos) << state_row("a");
}

TEST_F(ShardTest, TaskWaitsAgainOnlyAfterItsAgentHasReceivedTheStart)
{
	take_shard_with_worker();
	add_stored_job("a");
	run_rounds();
	/* The agent has received no start. */
	send_beat({}, 0);
	EXPECT_EQ(state_row("a").find("r2."), std::string::npos) << state_row("a");
	/* It has received both starts and holds neither run. */
	send_beat({}, 2);
	EXPECT_NE(state_row("a").find("r2."), std::string::npos) << state_row("a");
}

TEST_F(ShardTest, TaskOfARunMissingUnderALaterWorkerLeaseIsClaimedAgain)
{
	take_shard_with_worker();
	add_stored_job("a");
	run_rounds();
	send_beat({}, 0, /* lease_epoch */ 2);
	EXPECT_NE(state_row("a").find("r2.0.0.2."), std::string::npos) << state_row("a");
}

TEST_F(ShardTest, TasksOfASilentWorkerAreClaimedAgainOnlyAfterItsLeaseIsFenced)
{
	gint64 now_us = lug_now_us();

	store.put("w1|worker/w1", "{\"owner\":\"w1\",\"epoch\":1,\"ttl_ms\":6000,\"txn\":\"x\"}");
	take_shard_with_worker();
	add_stored_job("a");
	run_rounds();
	/* Longer than SILENT_US. */
	lug_fleet_find(fleet, "w1")->last_beat_us = now_us - 2000000;
	lug_fleet_tick(fleet, now_us);
	store.settle();
	EXPECT_NE(state_row("a").find("r1."), std::string::npos);
	/* The lease of 6 s has not expired. */
	lug_fleet_find(fleet, "w1")->lease_row_since_us = now_us - 5900000;
	lug_fleet_find(fleet, "w1")->next_lease_check_us = 0;
	lug_fleet_tick(fleet, now_us);
	store.settle();
	EXPECT_EQ(store.rows["w1|worker/w1"].data.find("\"owner\":\"\""), std::string::npos);
	/* The lease has expired, the clock drift and FENCE_MARGIN_US included. */
	lug_fleet_find(fleet, "w1")->lease_row_since_us = now_us - 6500000;
	lug_fleet_find(fleet, "w1")->next_lease_check_us = 0;
	lug_fleet_tick(fleet, now_us);
	store.settle();
	EXPECT_NE(store.rows["w1|worker/w1"].data.find("\"epoch\":2"), std::string::npos);
	run_rounds();
	EXPECT_EQ(state_row("a").find("r1."), std::string::npos) << state_row("a");
}

TEST_F(ShardTest, CancellationIsStoredBeforeItIsReported)
{
	std::vector<enum lug_status> statuses;

	take_shard_with_worker();
	add_stored_job("a");
	run_rounds();
	cancel_job("a", &statuses);
	run_rounds();
	store.is_silent = true;
	answer_stops("a");
	EXPECT_TRUE(statuses.empty());
	store.is_silent = false;
	run_rounds();
	EXPECT_EQ(statuses, std::vector<enum lug_status>{LUG_OK});
	EXPECT_EQ(lug_shard_job_state(shard, "a"), LUG_WORKFLOW_CANCELLED);
	EXPECT_FALSE(lug_shard_cancel_job(shard, "b", nullptr, nullptr, lug_now_us()));
}

/* A job is cancelled while the claims of its first tasks are being stored. */
TEST_F(ShardTest, ClaimsStoredAfterACancellationAreNotStarted)
{
	std::vector<enum lug_status> statuses;
	FakeStore::Call claims;

	take_shard_with_worker();
	add_stored_job("a");
	while (g_main_context_iteration(nullptr, FALSE))
		;
	claims = store.take();
	cancel_job("a", &statuses);
	store.answer_txn(claims);
	EXPECT_EQ(ctx->metrics->counters[LUG_C_TASKS_STARTED], 0u);
	run_rounds();
	EXPECT_EQ(statuses, std::vector<enum lug_status>{LUG_OK});
	EXPECT_EQ(ctx->metrics->counters[LUG_C_TASKS_STARTED], 0u);
}

/* The cancellation can't be stored while the table service is out of the owner's reach. */
TEST_F(ShardTest, AStartIsNotSentAgainAfterACancellation)
{
	std::vector<enum lug_status> statuses;

	take_shard_with_worker();
	add_stored_job("a");
	run_rounds();
	ASSERT_EQ(ctx->metrics->counters[LUG_C_TASKS_STARTED], 2u);
	store.is_silent = true;
	cancel_job("a", &statuses);
	/* Longer than START_RESEND_US. */
	g_usleep(750 * 1000);
	send_beat({}, 0);
	EXPECT_EQ(ctx->metrics->counters[LUG_C_TASKS_STARTED], 2u);
	answer_stops("a");
	EXPECT_TRUE(statuses.empty());
	store.is_silent = false;
	run_rounds();
	EXPECT_EQ(statuses, std::vector<enum lug_status>{LUG_OK});
}

/* An entry may have stored a cancellation that such an owner can't read. */
TEST_F(ShardTest, AnOwnerThatCannotCommitSendsNoStartAgain)
{
	take_shard_with_worker();
	add_stored_job("a");
	run_rounds();
	ASSERT_EQ(ctx->metrics->counters[LUG_C_TASKS_STARTED], 2u);
	store.is_silent = true;
	/* Longer than COMMIT_STALL_US and START_RESEND_US. */
	g_usleep(1300 * 1000);
	send_beat({}, 0);
	EXPECT_EQ(ctx->metrics->counters[LUG_C_TASKS_STARTED], 2u);
	store.is_silent = false;
	run_rounds();
	send_beat({}, 0);
	EXPECT_EQ(ctx->metrics->counters[LUG_C_TASKS_STARTED], 4u);
}

TEST_F(ShardTest, JobWithoutANotificationIsFoundInTheInbox)
{
	take_shard_with_worker();
	store.put("0|live/a", job_body);
	store.put("0|inbox/a", "{}");
	wait_for_inbox();
	run_rounds();
	EXPECT_EQ(lug_shard_job_state(shard, "a"), LUG_WORKFLOW_RUNNING);
}

TEST_F(ShardTest, CancellationFoundInTheInboxWithItsJobIsApplied)
{
	take_shard_with_worker();
	store.put("0|live/a", job_body);
	store.put("0|inbox/a", "{}");
	store.put("0|inbox/a.cancel", "{}");
	wait_for_inbox();
	run_rounds();
	EXPECT_EQ(lug_shard_job_state(shard, "a"), LUG_WORKFLOW_CANCELLED);
	EXPECT_EQ(ctx->metrics->counters[LUG_C_TASKS_STARTED], 0u);
	EXPECT_FALSE(has_row("inbox/a"));
	EXPECT_FALSE(has_row("inbox/a.cancel"));
}

TEST_F(ShardTest, PendingCountsJobsWithoutAnAcceptedStart)
{
	take_shard();
	run_rounds();
	add_stored_job("a");
	add_stored_job("b");
	run_rounds();
	EXPECT_EQ(lug_shard_pending_jobs(shard, "q"), 2u);
	EXPECT_EQ(lug_shard_pending_jobs(shard, "another"), 0u);
	EXPECT_EQ(lug_shard_job_state(shard, "a"), LUG_WORKFLOW_QUEUED);
	send_beat({}, 0);
	EXPECT_EQ(lug_shard_pending_jobs(shard, "q"), 2u)
		<< "a start that no agent has accepted does not count";
	answer_start("a", 0, 1, LUG_OK);
	EXPECT_EQ(lug_shard_pending_jobs(shard, "q"), 1u);
	answer_start("b", 1, 1, LUG_OK);
	EXPECT_EQ(lug_shard_pending_jobs(shard, "q"), 0u);
}

TEST_F(ShardTest, OwnerThatLosesTheShardDropsItsState)
{
	take_shard_with_worker();
	add_stored_job("a");
	run_rounds();
	store.put("0|shard/0", "{\"owner\":\"other\",\"epoch\":9,\"ttl_ms\":8000,\"txn\":\"y\"}");
	add_stored_job("b");
	run_rounds();
	EXPECT_EQ(events.back(), LUG_SHARD_LOST);
	EXPECT_FALSE(lug_shard_is_active(shard));
	EXPECT_EQ(lug_shard_job_state(shard, "a"), LUG_WORKFLOW_UNKNOWN);
	EXPECT_EQ(lug_fleet_find(fleet, "w1")->claimed.millicores, 0);
}

/* Incident task-crashes-worker-after-worker: an agent holds a run whose start is not answered. */
TEST_F(ShardTest, JobWhoseStartIsUnconfirmedIsPending)
{
	HeldRun run = {"a", 0, 0, 1};

	take_shard_with_worker();
	add_stored_job("a");
	run_rounds();
	run.unconfirmed = true;
	send_beat({run}, 2);
	EXPECT_EQ(lug_shard_pending_jobs(shard, "q"), 1u);
	run.unconfirmed = false;
	send_beat({run}, 2);
	EXPECT_EQ(lug_shard_pending_jobs(shard, "q"), 0u);
}

/* Incident task-crashes-worker-after-worker. */
TEST_F(ShardTest, TaskThatCrashesItsWorkersIsGivenUp)
{
	take_shard_with_worker();
	add_stored_job("a");
	run_rounds();
	end_run("a", 0, 0, 1, LUG_RUN_WORKER_CRASHED, 2);
	run_rounds();
	EXPECT_NE(state_row("a").find("w1.0.1.1.0"), std::string::npos) << state_row("a");
	/* Longer than LUG_CRASH_RETRY_DELAY_US. */
	g_usleep(650 * 1000);
	run_rounds();
	EXPECT_NE(state_row("a").find("r2.0."), std::string::npos) << state_row("a");
	end_run("a", 0, 0, 2, LUG_RUN_WORKER_CRASHED, 1);
	run_rounds();
	answer_stop("a", 1, 1);
	run_rounds();
	EXPECT_EQ(lug_shard_job_state(shard, "a"), LUG_WORKFLOW_FAILED);
	EXPECT_EQ(ctx->metrics->counters[LUG_C_TASKS_GIVEN_UP], 1u);
}

TEST_F(ShardTest, TaskBesideACrashIsPlacedAgainAtOnce)
{
	take_shard_with_worker();
	add_stored_job("a");
	run_rounds();
	for (guint32 run = 1; run <= 2; run++) {
		end_run("a", 0, 0, run, LUG_RUN_WORKER_CRASHED, 0);
		run_rounds();
	}
	EXPECT_EQ(lug_shard_job_state(shard, "a"), LUG_WORKFLOW_RUNNING);
	EXPECT_NE(state_row("a").find("r3.0."), std::string::npos) << state_row("a");
}

TEST_F(ShardTest, CrashesAreRememberedByTheNextOwner)
{
	take_shard_with_worker();
	add_stored_job("a");
	run_rounds();
	end_run("a", 0, 0, 1, LUG_RUN_WORKER_CRASHED, 2);
	run_rounds();
	lug_shard_release(shard, lug_now_us());
	run_rounds();
	take_shard_with_worker();
	/* Longer than LUG_CRASH_RETRY_DELAY_US. */
	g_usleep(650 * 1000);
	send_beat({}, 0);
	run_rounds();
	end_run("a", 0, 0, 2, LUG_RUN_WORKER_CRASHED, 1);
	run_rounds();
	answer_stop("a", 1, 2);
	run_rounds();
	EXPECT_EQ(lug_shard_job_state(shard, "a"), LUG_WORKFLOW_FAILED);
}

/* A task that takes down the whole instance: no agent is left to report the crash. */
TEST_F(ShardTest, TaskLostWithFiveInstancesIsGivenUp)
{
	guint32 runs = 0;

	take_shard_with_worker();
	add_stored_job("a");
	run_rounds();
	while (lug_shard_job_state(shard, "a") == LUG_WORKFLOW_RUNNING && runs < 8) {
		runs++;
		answer_start("a", 0, runs, LUG_OK);
		lug_shard_worker_lost(shard, "w1", runs, lug_now_us());
		/* Longer than LUG_CRASH_RETRY_DELAY_US. */
		g_usleep(650 * 1000);
		send_beat({}, 0, runs + 1);
	}
	EXPECT_EQ(lug_shard_job_state(shard, "a"), LUG_WORKFLOW_FAILED);
	EXPECT_EQ(runs, 5u);
}

TEST_F(ShardTest, LossesUnderALeaseThatWasReleasedDoNotCount)
{
	take_shard_with_worker();
	add_stored_job("a");
	run_rounds();
	answer_start("a", 0, 1, LUG_OK);
	lug_fleet_find(fleet, "w1")->draining = TRUE;
	lug_shard_worker_lost(shard, "w1", 1, lug_now_us());
	run_rounds();
	EXPECT_NE(state_row("a").find("w1.0"), std::string::npos) << state_row("a");
	EXPECT_EQ(state_row("a").find("w1.0."), std::string::npos) << state_row("a");
}

/* An agent that was restarted with its worker can't report the crash; the incarnations show it. */
TEST_F(ShardTest, ACrashWithTheAgentCountsByTheIncarnationsOfTheWorker)
{
	take_shard();
	run_rounds();
	send_beat({}, 0, /* lease_epoch */ 1, "w1", 0, /* life */ 100);
	add_stored_job("a");
	run_rounds();
	answer_start("a", 0, 1, LUG_OK);
	send_beat({}, 0, /* lease_epoch */ 2, "w1", 0, /* life */ 200);
	EXPECT_NE(state_row("a").find(".1.0.0"), std::string::npos) << state_row("a");
}

TEST_F(ShardTest, EndOfAnUnknownRunIsAcknowledgedAfterACommitOnly)
{
	const guint64 *acks = &ctx->metrics->counters[LUG_C_ENDS_ACKNOWLEDGED];

	take_shard_with_worker();
	end_run("x", 0, 0, 1, LUG_RUN_DONE);
	run_rounds();
	EXPECT_EQ(*acks, 0u);
	add_stored_job("a");
	run_rounds();
	EXPECT_EQ(*acks, 1u);
}

TEST_F(ShardTest, DisplacedOwnerDoesNotAcknowledgeItsSuccessorsRuns)
{
	take_shard_with_worker();
	store.put("0|shard/0", "{\"owner\":\"other\",\"epoch\":9,\"ttl_ms\":8000,\"txn\":\"y\"}");
	end_run("x", 0, 0, 1, LUG_RUN_DONE);
	add_stored_job("a");
	run_rounds();
	EXPECT_EQ(events.back(), LUG_SHARD_LOST);
	EXPECT_EQ(ctx->metrics->counters[LUG_C_ENDS_ACKNOWLEDGED], 0u);
}

} // namespace
