#include "executor_fixture.h"

/*
 * Incident calls-to-a-former-incarnation: a call without an answer may be carried out by the next
 * incarnation of the worker, whose clock has nothing to do with that of the former one.
 */
namespace
{
/* The lease of the fixture's context and the longest one of a worker, with the clock drift. */
constexpr gint64 LEASE_US = 6120 * 1000;
constexpr gint64 LEASE_MAX_US = 10200 * 1000;
/* Longer than EXPIRED_ANSWER_TIMEOUT_US. */
constexpr gint64 ANSWER_TIMEOUT_US = 1600 * 1000;

struct ExecutorOutstandingTest : public ExecutorFixture {
	const gint64 *held = &ctx->metrics->gauges[LUG_G_TASKS_RUNNING];

	/*
	 * Lets the next poll renew the lease: its row has been renewed, later than in SetUp() on a
	 * clock of microseconds.
	 */
	void send_renewal()
	{
		g_usleep(1000);
		lug_writer_rewrite(exec->writer, lug_now_us());
		store.settle();
		answer_poll();
		ASSERT_GT(worker.polls.front().request.expires_ms, 0);
	}

	/*
	 * The next incarnation sends its first heartbeat, and answers polls if there are any. It
	 * lists the runs that it has started late.
	 */
	void restart_worker(gint64 next_clock_ms = 1000,
			    std::vector<std::pair<struct lug_run_id, guint32>> late_runs = {})
	{
		incarnation += 100;
		heartbeat_seq = 0;
		clock_ms = next_clock_ms;
		running = late_runs;
		send_heartbeat();
		for (int i = 0; i < 3; i++) {
			if (worker.polls.empty())
				tick_later();
			answer_poll();
		}
	}

	void start_confirmed(const char *job)
	{
		start(job);
		worker.answer(LUG_ORDER_OK);
		running.push_back({id(job), 10});
		EXPECT_EQ(answers.back(), std::make_pair(std::string(job) + "#1", LUG_OK));
	}

	/* Whether runs are held when the worker has been silent for a time and a poll was due. */
	bool are_runs_held_after(gint64 silent_us)
	{
		gint64 now_us = lug_now_us();

		lug_executor_tick(exec, now_us + silent_us);
		lug_executor_tick(exec, now_us + silent_us + ANSWER_TIMEOUT_US);
		return *held > 0;
	}

	/*
	 * The first start of run "a" is carried out by the next incarnation, which the row of the
	 * lease can't state. Returns the time until which the row keeps owners from fencing it.
	 */
	gint64 start_late_without_the_table_service()
	{
		gint64 row_until_us;

		start("a");
		worker.answer(LUG_ORDER_UNKNOWN);
		worker.answer(LUG_ORDER_OK);
		row_until_us = lug_writer_valid_until_us(exec->writer);
		store.is_silent = true;
		restart_worker(1000, {{id("a"), 10}});
		return row_until_us;
	}

	std::string row()
	{
		return store.rows["w1|worker/w1"].data;
	}

	gint64 row_ttl_ms()
	{
		return lease_row_int("ttl_ms");
	}

	void replace_process(const char *former_row)
	{
		lug_executor_free(exec);
		worker.polls.clear();
		store.calls.clear();
		store.put("w1|worker/w1", former_row);
		exec = lug_executor_new(ctx, &store.base, &worker.base, 1, send, this);
		send_heartbeat();
		tick();
		answer_poll();
		/* The next poll waits for the acknowledgement of ends, if there are any. */
		if (worker.polls.empty())
			tick_later();
		answer_poll();
	}
};

TEST_F(ExecutorOutstandingTest, TheFencingTokenRisesWithEachIncarnation)
{
	start("a");
	guint64 token = worker.orders.back().token;

	EXPECT_EQ(worker.polls.front().request.token, token);
	worker.answer(LUG_ORDER_OK);
	restart_worker();
	EXPECT_GT(worker.polls.front().request.token, token);
	start("b");
	EXPECT_EQ(worker.orders.back().token, worker.polls.front().request.token);
}

/* An odd row may state any epoch up to LUG_EPOCH_MAX. */
TEST_F(ExecutorOutstandingTest, TheFencingTokenRisesWithEpochsThatLeaveNoRoomForRestarts)
{
	guint64 last = exec_token(exec);

	for (const char *epoch :
	     {"8589934590", "8589934591", "17592186044416", "9007199254740000"}) {
		replace_process(
			(std::string("{\"owner\":\"w1\",\"ttl_ms\":6000,\"epoch\":") + epoch + "}")
				.c_str());
		EXPECT_GT(exec_token(exec), last) << epoch;
		last = exec_token(exec);
	}
}

/* Until then, a late start may add a run. */
TEST_F(ExecutorOutstandingTest, RunsAreNotListedBeforeAPollUnderTheTokenOfTheIncarnation)
{
	guint64 epoch = 9;
	auto note = [&](const Lug__WorkerBeat &beat) { epoch = beat.lease_epoch; };

	incarnation = 200;
	answer_poll();
	send_beat_to_owner(0, note);
	EXPECT_EQ(epoch, 0u) << "the poll was sent with the token of the former incarnation";
	answer_poll();
	send_beat_to_owner(0, note);
	EXPECT_EQ(epoch, 1u);
}

TEST_F(ExecutorOutstandingTest, CallsThatBringALeaseNameTheWorker)
{
	send_renewal();
	EXPECT_EQ(worker.polls.front().target, "i");
	start("a");
	EXPECT_EQ(worker.orders.back().worker, "i");
}

TEST_F(ExecutorOutstandingTest, APollThatWaitsBringsNoLease)
{
	EXPECT_GT(worker.polls.front().request.wait_ms, 0);
	EXPECT_EQ(worker.polls.front().request.expires_ms, 0);
	send_renewal();
	EXPECT_EQ(worker.polls.front().request.wait_ms, 0);
}

TEST_F(ExecutorOutstandingTest, APollToAWorkerThatMayHaveRestartedBringsNoLease)
{
	send_renewal();
	answer_poll(LUG_ORDER_UNKNOWN);
	tick_later();
	EXPECT_EQ(worker.polls.front().request.expires_ms, 0);
	answer_poll();
	EXPECT_GT(worker.polls.front().request.expires_ms, 0) << "it has answered";
}

TEST_F(ExecutorOutstandingTest, ARestartExtendsTheLeaseIfARenewalHasNoAnswer)
{
	send_renewal();
	answer_poll(LUG_ORDER_UNKNOWN);
	restart_worker();
	start_confirmed("a");
	EXPECT_GE(row_ttl_ms(), 9000) << "owners would fence the lease too early";
	EXPECT_TRUE(are_runs_held_after(LEASE_MAX_US - 500 * 1000 - ANSWER_TIMEOUT_US));
	EXPECT_FALSE(are_runs_held_after(LEASE_MAX_US + 1000));
}

TEST_F(ExecutorOutstandingTest, ARestartExtendsTheLeaseIfAStartHasNoAnswer)
{
	start("s");
	worker.orders.clear();
	restart_worker();
	start_confirmed("a");
	EXPECT_TRUE(are_runs_held_after(LEASE_MAX_US - 500 * 1000 - ANSWER_TIMEOUT_US));
}

TEST_F(ExecutorOutstandingTest, ARestartExtendsTheLeaseIfTheNextIncarnationHasAnsweredARenewal)
{
	send_renewal();
	restart_worker();
	start_confirmed("a");
	EXPECT_TRUE(are_runs_held_after(LEASE_MAX_US - 500 * 1000 - ANSWER_TIMEOUT_US));
}

/* Rule LOST: tasks of a worker that is lost after a restart wait no longer than others. */
TEST_F(ExecutorOutstandingTest, ARestartDoesNotExtendTheLeaseIfAllCallsAreAnswered)
{
	start("s");
	worker.answer(LUG_ORDER_OK);
	answer_poll();
	answer_poll(LUG_ORDER_UNKNOWN);
	restart_worker();
	start_confirmed("a");
	EXPECT_EQ(row_ttl_ms(), 6000);
	EXPECT_FALSE(are_runs_held_after(LEASE_US + 1000));
}

TEST_F(ExecutorOutstandingTest, ARestartUnderAnotherIdDoesNotExtendTheLease)
{
	send_renewal();
	answer_poll(LUG_ORDER_UNKNOWN);
	worker_id = "i-next";
	restart_worker();
	start_confirmed("a");
	EXPECT_EQ(row_ttl_ms(), 6000);
	EXPECT_FALSE(are_runs_held_after(LEASE_US + 1000));
}

TEST_F(ExecutorOutstandingTest, ARestartDoesNotExtendTheLeaseIfTheClockIsPastItsEnd)
{
	send_renewal();
	answer_poll(LUG_ORDER_UNKNOWN);
	restart_worker(/* next_clock_ms */ 5000 + 6000 + 2000);
	start_confirmed("a");
	EXPECT_FALSE(are_runs_held_after(LEASE_US + 1000));
}

TEST_F(ExecutorOutstandingTest, StartsWaitUntilTheRowStatesTheExtendedLease)
{
	send_renewal();
	answer_poll(LUG_ORDER_UNKNOWN);
	incarnation = 200;
	heartbeat_seq = 0;
	clock_ms = 1000;
	store.settle();
	store.is_silent = true;
	send_heartbeat();
	for (int i = 0; i < 2; i++) {
		if (worker.polls.empty())
			tick_later();
		answer_poll();
	}
	start("a");
	EXPECT_TRUE(worker.orders.empty());
	EXPECT_EQ(answers.back(), std::make_pair(std::string("a#1"), LUG_NOT_RUN));
}

TEST_F(ExecutorOutstandingTest, TheRowNamesTheWorkerForTheNextProcess)
{
	EXPECT_NE(row().find("\"worker_id\":\"i\""), std::string::npos) << row();
	EXPECT_NE(row().find("\"worker_incarnation\":100"), std::string::npos) << row();
}

TEST_F(ExecutorOutstandingTest, TheNextProcessExtendsTheLeaseIfTheWorkerHasRestartedMeanwhile)
{
	incarnation = 200;
	replace_process("{\"owner\":\"w1\",\"epoch\":4,\"ttl_ms\":6000,\"txn\":\"x\","
			"\"worker_id\":\"i\",\"worker_incarnation\":100}");
	start("a", 1000, /* lease_epoch */ 5);
	worker.answer(LUG_ORDER_OK);
	EXPECT_GE(row_ttl_ms(), 9000);
	EXPECT_TRUE(are_runs_held_after(LEASE_MAX_US - 500 * 1000 - ANSWER_TIMEOUT_US));
	EXPECT_FALSE(are_runs_held_after(LEASE_MAX_US + 1000));
}

TEST_F(ExecutorOutstandingTest, TheNextProcessDoesNotExtendTheLeaseOfTheSameIncarnation)
{
	replace_process("{\"owner\":\"w1\",\"epoch\":4,\"ttl_ms\":6000,\"txn\":\"x\","
			"\"worker_id\":\"i\",\"worker_incarnation\":100}");
	start("a", 1000, /* lease_epoch */ 5);
	worker.answer(LUG_ORDER_OK);
	EXPECT_FALSE(are_runs_held_after(LEASE_US + 1000));
}

TEST_F(ExecutorOutstandingTest, TheNextProcessKeepsAnExtendedLeaseInItsRow)
{
	replace_process("{\"owner\":\"w1\",\"epoch\":4,\"ttl_ms\":10200,\"txn\":\"x\","
			"\"worker_id\":\"i\",\"worker_incarnation\":100}");
	EXPECT_GE(row_ttl_ms(), 9000);
}

/* The reply was overtaken by a heartbeat of the next incarnation. */
TEST_F(ExecutorOutstandingTest, AReplyOfAFormerIncarnationDoesNotReplaceThePresentOne)
{
	incarnation = 200;
	heartbeat_seq = 0;
	send_heartbeat();
	incarnation = 100;
	answer_poll();
	incarnation = 200;
	EXPECT_EQ(exec->worker_incarnation, 200u);
	EXPECT_EQ(worker.polls.front().request.expires_ms, 0);
}

/* It may reach the next incarnation, for which the run is a new one. */
TEST_F(ExecutorOutstandingTest, AStartIsNotRepeatedToTheNextIncarnation)
{
	start("a");
	incarnation = 200;
	heartbeat_seq = 0;
	send_heartbeat();
	worker.answer(LUG_ORDER_UNKNOWN);
	ASSERT_EQ(worker.orders.size(), 1u);
	EXPECT_EQ(worker.orders.back().kind, "stop");
}

/* Rule TWICE: the next incarnation may carry out the first start after the end is noted. */
TEST_F(ExecutorOutstandingTest, AnEndIsNotAcknowledgedWhileAStartMayBeCarriedOutLate)
{
	start("a");
	worker.answer(LUG_ORDER_UNKNOWN);
	worker.answer(LUG_ORDER_OK);
	finished = {{1, id("a")}};
	answer_poll();
	ack("a");
	tick_later();
	expect_next_poll_to_acknowledge(0);
	answer_poll();
	/* Gate Acks: it does not wait for longer than ACK_DELAY_MAX_US. */
	static_cast<struct exec_end *>(g_ptr_array_index(exec->ends, 0))->listed_us -=
		3 * G_USEC_PER_SEC;
	tick_later();
	expect_next_poll_to_acknowledge(1);
}

TEST_F(ExecutorOutstandingTest, AnAgentThatShutsDownDoesNotAcknowledgeSuchAnEndSooner)
{
	start("a");
	worker.answer(LUG_ORDER_UNKNOWN);
	worker.answer(LUG_ORDER_OK);
	finished = {{1, id("a")}};
	answer_poll();
	ack("a");
	lug_executor_shut_down(exec);
	tick_later();
	expect_next_poll_to_acknowledge(0);
	answer_poll();
	tick_later();
	EXPECT_NE(row().find("\"owner\":\"w1\""), std::string::npos)
		<< "its next process has the end";
	EXPECT_FALSE(lug_executor_can_exit(exec)) << "before the time for its shutdown is over";
}

TEST_F(ExecutorOutstandingTest, AnAcknowledgementThatAStartOvertakesIsSentAgain)
{
	start_short("a");
	finished = {{1, id("a")}};
	answer_poll();
	ack("a");
	expect_next_poll_to_acknowledge(1);
	start("b");
	answer_poll(LUG_ORDER_FENCED);
	EXPECT_TRUE(exec_is_accepting(exec, lug_now_us()));
	worker.answer(LUG_ORDER_OK);
	tick_later();
	expect_next_poll_to_acknowledge(1);
}

TEST_F(ExecutorOutstandingTest, AcknowledgementsDoNotUseUpTheFencingTokensOfALease)
{
	guint64 token;

	exec->token_raises = (1u << 20) - 2;
	start_short("a");
	finished = {{1, id("a")}};
	answer_poll();
	ack("a");
	expect_next_poll_to_acknowledge(1);
	start("b");
	start("c");
	token = exec_token(exec);
	restart_worker();
	EXPECT_GT(exec_token(exec), token);
}

TEST_F(ExecutorOutstandingTest, TheNextProcessAllowsForAStartWithoutAnAnswer)
{
	finished = {{1, id("a")}};
	replace_process("{\"owner\":\"w1\",\"ttl_ms\":6000,\"epoch\":1}");
	ack("a");
	tick_later();
	expect_next_poll_to_acknowledge(0);
	exec->late_start_until_us = 0;
	answer_poll();
	tick_later();
	expect_next_poll_to_acknowledge(1);
}

/* The next incarnation may carry out both, the acknowledgement after the end of that run. */
TEST_F(ExecutorOutstandingTest, AStartDuringAnAcknowledgementHasAHigherFencingToken)
{
	guint64 token = exec_token(exec);

	start_short("a");
	finished = {{1, id("a")}};
	answer_poll();
	ack("a");
	expect_next_poll_to_acknowledge(1);
	EXPECT_EQ(worker.polls.front().request.token, token);
	start("b");
	EXPECT_GT(worker.orders.back().token, token);
	token = worker.orders.back().token;
	start("c");
	EXPECT_EQ(worker.orders.back().token, token) << "raised once";
}

/* The end of a run that the next incarnation starts late has the same number. */
TEST_F(ExecutorOutstandingTest, AnEndIsNotAcknowledgedDuringTheStartOfAnotherRun)
{
	start_confirmed("a");
	start("b");
	running.clear();
	finished = {{1, id("a")}};
	answer_poll();
	ack("a");
	tick_later();
	expect_next_poll_to_acknowledge(0);
	answer_poll();
	worker.answer(LUG_ORDER_OK);
	tick_later();
	expect_next_poll_to_acknowledge(1);
}

/* The next incarnation may start a run and then carry out an earlier acknowledgement. */
TEST_F(ExecutorOutstandingTest, TheFencingTokenRisesIfAnAcknowledgementHasNoAnswer)
{
	guint64 token = exec_token(exec);

	start_short("a");
	finished = {{1, id("a")}};
	answer_poll();
	ack("a");
	expect_next_poll_to_acknowledge(1);
	EXPECT_EQ(worker.polls.front().request.token, token);
	answer_poll(LUG_ORDER_UNKNOWN);
	tick_later();
	EXPECT_GT(worker.polls.front().request.token, token);
	answer_poll();
	expect_next_poll_to_acknowledge(1);
	answer_poll();
	start("b");
	EXPECT_GT(worker.orders.back().token, token);
}

TEST_F(ExecutorOutstandingTest, TheFencingTokenDoesNotRiseIfAnAcknowledgementIsAnswered)
{
	guint64 token = exec_token(exec);

	start_short("a");
	finished = {{1, id("a")}};
	answer_poll();
	ack("a");
	expect_next_poll_to_acknowledge(1);
	answer_poll();
	EXPECT_EQ(worker.polls.front().request.token, token);
}

TEST_F(ExecutorOutstandingTest, AnEndOfAWorkerWithAnotherIdIsAcknowledgedAtOnce)
{
	start("a");
	worker.answer(LUG_ORDER_UNKNOWN);
	worker.answer(LUG_ORDER_OK);
	worker_id = "i-next";
	restart_worker();
	start_confirmed("b");
	running.clear();
	finished = {{1, id("b")}};
	answer_poll();
	ack("b");
	expect_next_poll_to_acknowledge(1);
}

/*
 * Incident stop-of-a-former-incarnation: the table service was away when the worker restarted, so
 * owners did not know of the extended lease and started the task elsewhere.
 */
TEST_F(ExecutorOutstandingTest, ARunThatOutlastsTheRowOfTheLeaseIsStopped)
{
	gint64 row_until_us = start_late_without_the_table_service();

	lug_executor_tick(exec, row_until_us - 2 * G_USEC_PER_SEC);
	EXPECT_TRUE(worker.orders.empty()) << "it may go on until then";
	lug_executor_tick(exec, row_until_us);
	ASSERT_EQ(worker.orders.size(), 1u);
	EXPECT_EQ(worker.orders.back().kind, "stop");
}

/* Incident stop-of-a-former-incarnation: the next run started elsewhere, and this one on the next
 * incarnation. */
TEST_F(ExecutorOutstandingTest, AStoppedRunIsHeldWhileAStartOfItMayBeCarriedOutLate)
{
	start("a");
	for (int i = 0; i < 7; i++)
		worker.answer(LUG_ORDER_UNKNOWN);
	worker.answer(LUG_ORDER_OK);
	answer_poll();
	answer_poll();
	EXPECT_EQ(exec->runs->len, 1u);
	expire_late_starts("a");
	answer_poll();
	EXPECT_EQ(exec->runs->len, 0u);
}

/* The answers of the worker are lost, and its calls are carried out all the same. */
TEST_F(ExecutorOutstandingTest, ARunThatOutlastsTheRowIsStoppedAlthoughThePollHasNoAnswer)
{
	gint64 row_until_us = start_late_without_the_table_service();

	if (worker.polls.empty())
		tick_later();
	answer_poll(LUG_ORDER_UNKNOWN);
	lug_executor_tick(exec, row_until_us);
	ASSERT_EQ(worker.orders.size(), 1u);
	EXPECT_EQ(worker.orders.back().kind, "stop");
}

/* A stop may take almost STOP_TIME_US, after which an owner may start the task elsewhere. */
TEST_F(ExecutorOutstandingTest, ARunThatOutlastsTheRowIsStoppedInTimeToEndBeforeThat)
{
	gint64 row_until_us = start_late_without_the_table_service();

	lug_executor_tick(exec, row_until_us - 900 * 1000);
	ASSERT_EQ(worker.orders.size(), 1u);
	EXPECT_EQ(worker.orders.back().kind, "stop");
}

/* Whether the former incarnation has answered the stop or the next one can't be told. */
TEST_F(ExecutorOutstandingTest, AStopThatTheFormerIncarnationConfirmsLateIsSentToTheNextOne)
{
	start("a");
	worker.answer(LUG_ORDER_UNKNOWN);
	worker.answer(LUG_ORDER_OK);
	stop("a");
	ASSERT_EQ(worker.orders.back().kind, "stop");
	restart_worker(1000, {{id("a"), 10}});
	worker.answer(LUG_ORDER_OK);
	EXPECT_TRUE(worker.orders.empty());
	lug_executor_tick(exec, lug_now_us() + 600 * 1000);
	ASSERT_EQ(worker.orders.size(), 1u);
	EXPECT_EQ(worker.orders.back().kind, "stop");
}

/* The row states the extended lease, so that owners wait for its end. */
TEST_F(ExecutorOutstandingTest, ARunWhoseExtendedLeaseTheRowStatesIsNotStoppedBeforeItsEnd)
{
	gint64 row_until_us;

	start("a");
	worker.answer(LUG_ORDER_UNKNOWN);
	worker.answer(LUG_ORDER_OK);
	restart_worker();
	ASSERT_TRUE(exec_is_settled(exec));
	running = {{id("a"), 10}};
	if (worker.polls.empty())
		tick_later();
	answer_poll();
	row_until_us = lug_writer_valid_until_us(exec->writer);
	ASSERT_GT(exec->granted_until_us, row_until_us);
	store.is_silent = true;
	lug_executor_tick(exec, row_until_us + 1);
	EXPECT_TRUE(worker.orders.empty());
	lug_executor_tick(exec, exec->granted_until_us);
	ASSERT_EQ(worker.orders.size(), 1u);
	EXPECT_EQ(worker.orders.back().kind, "stop");
}
} // namespace
