#include "lug.h"

#include <functional>
#include <map>

#include "fake_store.h"

extern "C" {
#include "workflow/executor_priv.h"
}

namespace
{
/* Client of a worker that records calls, for the test to answer. */
struct FakeWorker {
	struct lug_worker base;
	struct Order {
		std::string kind;
		struct lug_run_id id;
		guint64 token;
		gint64 expires_ms;
		guint32 percent;
		std::string worker;
		lug_order_fn fn;
		void *data;
	};
	struct Poll {
		struct lug_worker_poll request;
		lug_poll_reply_fn fn;
		void *data;
	};
	std::deque<Order> orders;
	std::deque<Poll> polls;

	static void push(struct lug_worker *worker, const char *kind,
			 const struct lug_worker_order *order, lug_order_fn fn, void *data)
	{
		reinterpret_cast<FakeWorker *>(worker)->orders.push_back(
			{kind, order->id, order->token, order->expires_ms, order->percent,
			 order->worker ? order->worker : "", fn, data});
	}

	FakeWorker()
	{
		static const struct lug_worker_ops ops = {
			[](struct lug_worker *w, const struct lug_worker_order *o, lug_order_fn f,
			   void *d) { push(w, "start", o, f, d); },
			[](struct lug_worker *w, const struct lug_worker_order *o, lug_order_fn f,
			   void *d) { push(w, "stop", o, f, d); },
			[](struct lug_worker *w, const struct lug_worker_order *o, lug_order_fn f,
			   void *d) { push(w, "pace", o, f, d); },
			[](struct lug_worker *w, const struct lug_worker_poll *h,
			   lug_poll_reply_fn f, void *d) {
				reinterpret_cast<FakeWorker *>(w)->polls.push_back({*h, f, d});
			},
			[](struct lug_worker *w) { (void)w; }};

		base.ops = &ops;
	}

	Order pop_order()
	{
		Order order = orders.front();

		orders.pop_front();
		return order;
	}

	void answer(enum lug_order_result result)
	{
		Order order = pop_order();

		order.fn(order.data, result);
	}
};

struct ExecutorTest : public testing::Test {
	FakeStore store;
	FakeWorker worker;
	struct lug_ctx *ctx = test_context_with_address("w1");
	struct lug_executor *exec = nullptr;
	std::vector<std::pair<std::string, enum lug_status>> answers;
	std::vector<std::string> ends;
	/* Number of suspected jobs by run, of the runs reported as crashed. */
	std::map<std::string, guint32> crashed;
	guint64 seq = 0;
	guint64 incarnation = 100;
	const char *worker_id = "i";
	gint64 heartbeat_seq = 0;
	gint64 clock_ms = 5000;
	gint64 capacity_millicores = 4000;
	/* What polls return: runs with their progress in percent, and numbered ends. */
	std::vector<std::pair<struct lug_run_id, guint32>> running;
	std::vector<std::pair<guint64, struct lug_run_id>> finished;

	static std::string text(const Lug__RunId *id)
	{
		return std::string(id->job) + "#" + std::to_string(id->run);
	}

	static gboolean send(void *data, guint32 shard, Lug__Envelope *env)
	{
		auto *test = static_cast<ExecutorTest *>(data);

		(void)shard;
		if (env->body_case == LUG__ENVELOPE__BODY_RUN_ANSWER)
			test->answers.emplace_back(text(env->run_answer->id),
						   (enum lug_status)env->run_answer->status);
		if (env->body_case == LUG__ENVELOPE__BODY_RUN_END)
			test->ends.push_back(text(env->run_end->id));
		if (env->body_case == LUG__ENVELOPE__BODY_RUN_END &&
		    env->run_end->outcome == LUG_RUN_WORKER_CRASHED)
			test->crashed[text(env->run_end->id)] = env->run_end->suspected_jobs;
		return TRUE;
	}

	void SetUp() override
	{
		exec = lug_executor_new(ctx, &store.base, &worker.base, 1, send, this);
		send_heartbeat();
		tick();
		/* The first answer gives the worker's clock; the second poll renews the lease. */
		answer_poll();
		answer_poll();
	}

	void TearDown() override
	{
		lug_executor_free(exec);
		lug_ctx_free(ctx);
	}

	void send_heartbeat(bool draining = false)
	{
		struct lug_worker_heartbeat heartbeat = {};
		char *labels[] = {nullptr};

		heartbeat.id = worker_id;
		heartbeat.service = "pool";
		heartbeat.zone = "z";
		heartbeat.incarnation = incarnation;
		heartbeat.seq = ++heartbeat_seq;
		heartbeat.draining = draining;
		heartbeat.clock_ms = clock_ms;
		heartbeat.capacity = {capacity_millicores, 1LL << 30, 0};
		heartbeat.labels = labels;
		lug_executor_on_worker_heartbeat(exec, &heartbeat, lug_now_us());
	}

	void tick()
	{
		lug_executor_tick(exec, lug_now_us());
		store.settle();
		while (g_main_context_iteration(nullptr, FALSE))
			;
	}

	/* Answers the oldest open poll with the runs and ends of the fixture. */
	void answer_poll(enum lug_order_result result = LUG_ORDER_OK)
	{
		FakeWorker::Poll poll;
		struct lug_worker_poll_reply answer = {};

		ASSERT_FALSE(worker.polls.empty());
		poll = worker.polls.front();
		worker.polls.pop_front();
		answer.result = result;
		answer.incarnation = incarnation;
		answer.clock_ms = clock_ms;
		answer.running = g_array_new(FALSE, TRUE, sizeof(struct lug_worker_running));
		answer.finished = g_array_new(FALSE, TRUE, sizeof(struct lug_worker_finished));
		for (const auto &item : running) {
			struct lug_worker_running row = {item.first, (char *)"", item.second, 0};

			g_array_append_val(answer.running, row);
		}
		for (const auto &item : finished) {
			struct lug_worker_finished row = {item.first, item.second, LUG_RUN_DONE,
							  (char *)""};

			if (item.first > poll.request.acked_end_number)
				g_array_append_val(answer.finished, row);
		}
		poll.fn(poll.data, &answer);
		g_array_unref(answer.running);
		g_array_unref(answer.finished);
		while (g_main_context_iteration(nullptr, FALSE))
			;
	}

	static struct lug_run_id id(const char *job, guint32 run = 1)
	{
		struct lug_run_id made = {};

		g_strlcpy(made.job, job, sizeof(made.job));
		made.run = run;
		return made;
	}

	/* Starts a best-effort task, whose cores are not reserved. */
	void start_best_effort(const char *job, gint64 millicores)
	{
		struct lug_run_id run = id(job);
		struct lug_resources size = {0, 1, 0};
		Lug__RunStart message = LUG__RUN_START__INIT;
		Lug__Resources wire_size;
		Lug__RunId wire;

		lug_run_to_wire(&run, &wire);
		lug_resources_to_wire(&size, &wire_size);
		message.epoch = 1;
		message.seq = ++seq;
		message.lease_epoch = 1;
		message.id = &wire;
		message.size = &wire_size;
		message.spec = (char *)"s";
		message.fills = 1;
		message.fill_millicores = millicores;
		message.image = (char *)"i";
		lug_executor_on_start(exec, &message, lug_now_us());
	}

	void start(const char *job, gint64 millicores = 1000, guint64 lease_epoch = 1,
		   guint64 epoch = 1, gint64 later_us = 0, bool isolate = false)
	{
		struct lug_run_id run = id(job);
		struct lug_resources size = {millicores, 1, 0};
		Lug__RunStart message = LUG__RUN_START__INIT;
		Lug__Resources wire_size;
		Lug__RunId wire;

		lug_run_to_wire(&run, &wire);
		lug_resources_to_wire(&size, &wire_size);
		message.epoch = epoch;
		message.seq = ++seq;
		message.lease_epoch = lease_epoch;
		message.id = &wire;
		message.size = &wire_size;
		message.spec = (char *)"s";
		message.isolate = isolate;
		lug_executor_on_start(exec, &message, lug_now_us() + later_us);
	}

	/* Acknowledges the end of a job's first run as its owner. */
	/* Sends the heartbeat number @n_sent to an owner; returns its message. */
	void send_beat_to_owner(guint64 n_sent, std::function<void(const Lug__WorkerBeat &)> fn)
	{
		struct lug_heartbeat_target target = {};

		target.n_sent = n_sent;
		target.is_owner = [](void *, guint32) -> gboolean { return TRUE; };
		target.send = [](void *data, Lug__Envelope *env) -> gboolean {
			(*static_cast<std::function<void(const Lug__WorkerBeat &)> *>(data))(
				*env->worker_beat);
			return TRUE;
		};
		target.data = &fn;
		lug_executor_send_heartbeat(exec, &target, lug_now_us());
	}

	void ack(const char *job)
	{
		struct lug_run_id run = id(job);
		Lug__RunEndAck message = LUG__RUN_END_ACK__INIT;
		Lug__RunId wire;

		lug_run_to_wire(&run, &wire);
		message.id = &wire;
		lug_executor_ack_end(exec, &message);
		while (g_main_context_iteration(nullptr, FALSE))
			;
	}
};

TEST_F(ExecutorTest, ReservesResourcesBeforeSendingTheStart)
{
	start("a", 3000);
	start("b", 3000);
	ASSERT_EQ(worker.orders.size(), 1u);
	ASSERT_EQ(answers.size(), 1u);
	EXPECT_EQ(answers[0], std::make_pair(std::string("b#1"), LUG_OVER_LIMIT));
	worker.answer(LUG_ORDER_OK);
	EXPECT_EQ(answers[1], std::make_pair(std::string("a#1"), LUG_OK));
}

/* Owners that place tasks at the same time don't know each other's placements. */
TEST_F(ExecutorTest, RefusesBestEffortTasksWithoutFreeCores)
{
	start_best_effort("a", 3000);
	start_best_effort("b", 3000);
	start_best_effort("c", 1000);
	ASSERT_EQ(worker.orders.size(), 2u);
	EXPECT_STREQ(worker.orders[1].id.job, "c");
	ASSERT_EQ(answers.size(), 1u);
	EXPECT_EQ(answers[0], std::make_pair(std::string("b#1"), LUG_OVER_LIMIT));
}

TEST_F(ExecutorTest, LeaseExpiresInTimeOnASlowWorkerClock)
{
	start("a");
	ASSERT_EQ(worker.orders[0].kind, "start");
	/* A lease of 6 s, less 2 % for the drift of the agent's clock and 2 % for the worker's. */
	EXPECT_LE(worker.orders[0].expires_ms, 5000 + 6000 * 98 / 100 * 98 / 100);
	EXPECT_GT(worker.orders[0].expires_ms, 5000 + 5000);
	EXPECT_EQ(worker.orders[0].token, 1u);
}

TEST_F(ExecutorTest, StopsARunAfterUnansweredStartsAndKeepsItsReservation)
{
	start("a", 3000);
	/* MAX_START_ATTEMPTS */
	for (int i = 0; i < 3; i++) {
		ASSERT_EQ(worker.orders[0].kind, "start");
		worker.answer(LUG_ORDER_UNKNOWN);
	}
	ASSERT_EQ(worker.orders[0].kind, "stop");
	worker.answer(LUG_ORDER_OK);
	start("b", 3000);
	EXPECT_EQ(answers.back(), std::make_pair(std::string("b#1"), LUG_OVER_LIMIT));
	/* Only a poll sent after the answer to the stop shows that the run is gone. */
	answer_poll();
	start("c", 3000);
	EXPECT_EQ(answers.back(), std::make_pair(std::string("c#1"), LUG_OVER_LIMIT));
	answer_poll();
	start("d", 3000);
	EXPECT_EQ(worker.orders.back().kind, "start");
}

TEST_F(ExecutorTest, StopsARunRefusedAfterAnUnansweredStart)
{
	start("a", 3000);
	worker.answer(LUG_ORDER_UNKNOWN);
	worker.answer(LUG_ORDER_REFUSED);
	EXPECT_TRUE(answers.empty());
	EXPECT_EQ(worker.orders[0].kind, "stop");
}

TEST_F(ExecutorTest, IgnoresStartsForAnotherLease)
{
	start("a", 1000, /* lease_epoch */ 7);
	EXPECT_TRUE(answers.empty());
	EXPECT_TRUE(worker.orders.empty());
}

TEST_F(ExecutorTest, DropsStartsOfAFormerOwner)
{
	lug_executor_update_owner(exec, 0, 5);
	start("a", 1000, /* lease_epoch */ 1, /* epoch */ 4);
	EXPECT_TRUE(worker.orders.empty());
	start("b", 1000, /* lease_epoch */ 1, /* epoch */ 5);
	EXPECT_EQ(worker.orders.size(), 1u);
}

TEST_F(ExecutorTest, RefusesStartsWhileShuttingDown)
{
	lug_executor_shut_down(exec);
	start("a");
	EXPECT_TRUE(worker.orders.empty());
	EXPECT_EQ(answers[0].second, LUG_NOT_RUN);
}

TEST_F(ExecutorTest, RefusesStartsWhenTheWorkerIsSilent)
{
	/* The start arrives 2 s after the worker's last answer: longer than WORKER_SILENT_US. */
	start("a", 1000, /* lease_epoch */ 1, /* epoch */ 1, /* later_us */ 2000000);
	EXPECT_TRUE(worker.orders.empty());
	EXPECT_EQ(answers[0].second, LUG_NOT_RUN);
}

TEST_F(ExecutorTest, AcknowledgesEndsInOrderOnceStored)
{
	finished = {{1, id("a")}, {2, id("b")}};
	answer_poll();
	EXPECT_EQ(ends, (std::vector<std::string>{"a#1", "b#1"}));
	ack("b");
	/* Longer than UNACKED_POLL_US. */
	g_usleep(100 * 1000);
	tick();
	ASSERT_FALSE(worker.polls.empty());
	EXPECT_EQ(worker.polls.front().request.acked_end_number, 0u);
	ack("a");
	answer_poll();
	ASSERT_FALSE(worker.polls.empty());
	EXPECT_EQ(worker.polls.front().request.acked_end_number, 2u);
}

TEST_F(ExecutorTest, RemovesRunsWhenTheWorkerRestarts)
{
	start("a", 3000);
	worker.answer(LUG_ORDER_OK);
	incarnation = 200;
	send_heartbeat();
	answer_poll();
	if (!worker.polls.empty())
		answer_poll();
	start("b", 3000);
	EXPECT_EQ(worker.orders.back().kind, "start");
	EXPECT_EQ(worker.orders.back().id.job, std::string("b"));
}

/* The agent was suspended for longer than the lease, and the run has ended as done meanwhile. */
TEST_F(ExecutorTest, KeepsRunsOfAnExpiredLeaseUntilTheWorkerHasListedItsEnds)
{
	const gint64 *held = &ctx->metrics->gauges[LUG_G_TASKS_RUNNING];
	gint64 later_us = lug_now_us() + 20 * G_USEC_PER_SEC;

	start("a", 3000);
	worker.answer(LUG_ORDER_OK);
	lug_executor_tick(exec, later_us);
	EXPECT_EQ(*held, 1) << "the owner would start the task again";
	finished = {{1, id("a")}};
	answer_poll();
	EXPECT_EQ(ends, (std::vector<std::string>{"a#1"}));
	lug_executor_tick(exec, later_us);
	EXPECT_EQ(*held, 0);
}

TEST_F(ExecutorTest, DropsRunsOfAnExpiredLeaseWhenTheWorkerDoesNotAnswer)
{
	const gint64 *held = &ctx->metrics->gauges[LUG_G_TASKS_RUNNING];
	gint64 later_us = lug_now_us() + 20 * G_USEC_PER_SEC;

	start("a", 3000);
	worker.answer(LUG_ORDER_OK);
	lug_executor_tick(exec, later_us);
	EXPECT_EQ(*held, 1);
	/* Longer than EXPIRED_ANSWER_TIMEOUT_US. */
	lug_executor_tick(exec, later_us + 1600 * 1000);
	EXPECT_EQ(*held, 0);
}

TEST_F(ExecutorTest, RefusesStartsWhileAttributesOfARunAreMissing)
{
	running = {{id("x"), 10}};
	answer_poll();
	start("a");
	EXPECT_EQ(answers.back().second, LUG_NOT_RUN);
	EXPECT_TRUE(worker.orders.empty());
}

TEST_F(ExecutorTest, RemovesConfirmedRunsThatALaterPollDoesNotList)
{
	start("a", 3000);
	worker.answer(LUG_ORDER_OK);
	/* A poll sent in the microsecond of the confirmation does not count as later. */
	g_usleep(10);
	answer_poll();
	start("b", 3000);
	EXPECT_EQ(answers.back().second, LUG_OVER_LIMIT)
		<< "the poll was sent before the start was confirmed";
	answer_poll();
	start("c", 3000);
	EXPECT_EQ(worker.orders.back().id.job, std::string("c"));
}

/* Incident task-crashes-worker-after-worker: owners must learn which runs a crash ended. */
TEST_F(ExecutorTest, ReportsTheRunsOfACrashedWorkerAndSuspectsTheLastStarted)
{
	start("old");
	worker.answer(LUG_ORDER_OK);
	/* Longer than EARLY_US in crash.c. */
	g_usleep(250 * 1000);
	start("new");
	worker.answer(LUG_ORDER_OK);
	answer_poll(LUG_ORDER_UNKNOWN);
	incarnation = 200;
	send_heartbeat();
	answer_poll();
	ASSERT_EQ(crashed.size(), 2u);
	EXPECT_EQ(crashed["old#1"], 0u);
	EXPECT_EQ(crashed["new#1"], 1u);
}

/*
 * Seed 2015 of the soak: the poll after a broken one acknowledged ends to the next incarnation,
 * which forgot the end of its own run; the task was started again after it was done.
 */
TEST_F(ExecutorTest, APollAfterAFailedOneAcknowledgesNothing)
{
	finished = {{1, id("a")}};
	answer_poll();
	ack("a");
	/* Longer than UNACKED_POLL_US. */
	g_usleep(100 * 1000);
	tick();
	ASSERT_FALSE(worker.polls.empty());
	EXPECT_EQ(worker.polls.front().request.acked_end_number, 1u);
	answer_poll(LUG_ORDER_UNKNOWN);
	/* Longer than POLL_RETRY_US. */
	g_usleep(200 * 1000);
	tick();
	ASSERT_FALSE(worker.polls.empty());
	EXPECT_EQ(worker.polls.front().request.acked_end_number, 0u);
	answer_poll();
	ASSERT_FALSE(worker.polls.empty());
	EXPECT_EQ(worker.polls.front().request.acked_end_number, 1u);
}

/* Seed 5002 of the soak: the agent was suspended between two polls while its worker restarted. */
TEST_F(ExecutorTest, APollLongAfterTheLatestAnswerAcknowledgesNothing)
{
	finished = {{1, id("a")}};
	answer_poll();
	/* Longer than RESTART_MIN_US. */
	g_usleep(300 * 1000);
	ack("a");
	tick();
	ASSERT_FALSE(worker.polls.empty());
	EXPECT_EQ(worker.polls.front().request.acked_end_number, 0u);
	answer_poll();
	ASSERT_FALSE(worker.polls.empty());
	EXPECT_EQ(worker.polls.front().request.acked_end_number, 1u);
}

/*
 * Seed 1006 of the soak: a worker that keeps its id had restarted unnoticed and taken the start.
 * The run was reported as crashed and started again elsewhere while it went on.
 */
TEST_F(ExecutorTest, ARunThatTheNextIncarnationListsHasNotCrashed)
{
	start("a", 3000);
	worker.answer(LUG_ORDER_OK);
	incarnation = 200;
	send_heartbeat();
	running = {{id("a"), 10}};
	answer_poll();
	if (!worker.polls.empty())
		answer_poll();
	EXPECT_TRUE(crashed.empty());
	start("b", 3000);
	EXPECT_EQ(answers.back(), std::make_pair(std::string("b#1"), LUG_OVER_LIMIT));
}

TEST_F(ExecutorTest, AWorkerThatHasAnnouncedItsExitDoesNotCrash)
{
	start("a");
	worker.answer(LUG_ORDER_OK);
	send_heartbeat(/* draining */ true);
	incarnation = 200;
	send_heartbeat();
	answer_poll();
	answer_poll();
	EXPECT_TRUE(crashed.empty());
}

/* The worker is down for longer than the lease: its runs are gone before it is back. */
TEST_F(ExecutorTest, ReportsTheRunsOfAWorkerThatStaysSilentAsCrashed)
{
	gint64 later_us = lug_now_us() + 20 * G_USEC_PER_SEC;

	start("a");
	worker.answer(LUG_ORDER_OK);
	answer_poll(LUG_ORDER_UNKNOWN);
	lug_executor_tick(exec, later_us);
	/* Longer than EXPIRED_ANSWER_TIMEOUT_US. */
	lug_executor_tick(exec, later_us + 1600 * 1000);
	EXPECT_EQ(crashed.count("a#1"), 1u);
}

TEST_F(ExecutorTest, StartsOneSuspectedJobAtATime)
{
	start("a", 1000, 1, 1, 0, /* isolate */ true);
	start("b", 1000, 1, 1, 0, /* isolate */ true);
	EXPECT_EQ(answers.back(), std::make_pair(std::string("b#1"), LUG_OVER_LIMIT));
	start("c", 1000);
	ASSERT_EQ(worker.orders.size(), 2u);
	EXPECT_STREQ(worker.orders[1].id.job, "c");
	/* Longer than LUG_CRASH_ISOLATION_US. */
	start("b", 1000, 1, 1, 700 * 1000, /* isolate */ true);
	EXPECT_STREQ(worker.orders.back().id.job, "b");
}

/* Rule LIMIT: the room of a worker changes while it runs, and what is being stopped counts. */
TEST_F(ExecutorTest, StartsRespectARoomThatShrinksAndGrows)
{
	start("a", 2000);
	worker.answer(LUG_ORDER_OK);
	capacity_millicores = 2500;
	send_heartbeat();
	start("b", 1000);
	EXPECT_EQ(answers.back(), std::make_pair(std::string("b#1"), LUG_OVER_LIMIT));
	capacity_millicores = 1000;
	send_heartbeat();
	start("c", 1);
	EXPECT_EQ(answers.back(), std::make_pair(std::string("c#1"), LUG_OVER_LIMIT));
	capacity_millicores = 3000;
	send_heartbeat();
	start("d", 1000);
	ASSERT_EQ(worker.orders.size(), 1u);
	EXPECT_STREQ(worker.orders[0].id.job, "d");
}

/* Rule LIMIT: an agent that was suspended reads old heartbeats, and starts by the room in them. */
TEST_F(ExecutorTest, RefusesStartsWhenTheRoomIsOutdated)
{
	clock_ms += 4000;
	answer_poll();
	start("a");
	ASSERT_FALSE(answers.empty());
	EXPECT_EQ(answers.back(), std::make_pair(std::string("a#1"), LUG_NOT_RUN));
	clock_ms -= 4000;
	send_heartbeat();
	clock_ms += 4000;
	start("b");
	EXPECT_EQ(answers.back(), std::make_pair(std::string("b#1"), LUG_NOT_RUN))
		<< "the heartbeat arrived late";
	send_heartbeat();
	start("c");
	ASSERT_EQ(worker.orders.size(), 1u);
	EXPECT_STREQ(worker.orders[0].id.job, "c");
}

/*
 * Incident task-crashes-worker-after-worker: an unanswered start was kept through several restarts
 * of the worker, while its task waited.
 */
TEST_F(ExecutorTest, UnansweredStartsEndWithTheWorkerThatTheyName)
{
	start("a", 3000);
	EXPECT_EQ(worker.orders[0].worker, "i");
	worker.answer(LUG_ORDER_UNKNOWN);
	incarnation = 200;
	worker_id = "i-next";
	send_heartbeat();
	EXPECT_EQ(crashed.count("a#1"), 1u);
	answer_poll();
	if (!worker.polls.empty())
		answer_poll();
	start("b", 3000);
	EXPECT_EQ(worker.orders.back().id.job, std::string("b"));
	EXPECT_EQ(worker.orders.back().worker, "i-next");
}

TEST_F(ExecutorTest, UnansweredStartsAreStoppedFirstWhenTheWorkerKeepsItsId)
{
	start("a", 3000);
	worker.answer(LUG_ORDER_UNKNOWN);
	incarnation = 200;
	send_heartbeat();
	EXPECT_EQ(crashed.count("a#1"), 0u) << "the start may still take effect";
}

TEST_F(ExecutorTest, RefusesStartsWhenTheConnectionToTheWorkerHasBroken)
{
	answer_poll(LUG_ORDER_UNKNOWN);
	start("a");
	EXPECT_EQ(answers.back(), std::make_pair(std::string("a#1"), LUG_NOT_RUN));
	EXPECT_TRUE(worker.orders.empty());
}

/* The worker's heartbeats count anew in each incarnation, which a poll may be the first to show. */
TEST_F(ExecutorTest, HeartbeatsAfterARestartThatAPollHasShownAreApplied)
{
	heartbeat_seq = 50;
	send_heartbeat();
	incarnation = 200;
	answer_poll();
	heartbeat_seq = 0;
	capacity_millicores = 1500;
	worker_id = "i-next";
	start("early", 1000);
	ASSERT_FALSE(answers.empty());
	EXPECT_EQ(answers.back(), std::make_pair(std::string("early#1"), LUG_NOT_RUN))
		<< "the id of the new incarnation is not known";
	send_heartbeat();
	if (!worker.polls.empty())
		answer_poll();
	start("a", 1000);
	ASSERT_EQ(worker.orders.size(), 1u);
	EXPECT_EQ(worker.orders[0].worker, "i-next");
	start("b", 1000);
	EXPECT_EQ(answers.back(), std::make_pair(std::string("b#1"), LUG_OVER_LIMIT));
}

/* With four owners and an interval of 10, every second owner received no report. */
TEST_F(ExecutorTest, EachOwnerReceivesOneReportOfInterferenceInAnInterval)
{
	Lug__WorkerBeatAck ack = LUG__WORKER_BEAT_ACK__INIT;
	const struct lug_interference_pair pair = {"s", "f", 0.1, 10};
	g_autoptr(GArray) report = g_array_new(FALSE, FALSE, sizeof(pair));
	g_autoptr(GPtrArray) reports_of_workers = g_ptr_array_new();
	guint reports[4] = {};

	g_array_append_val(report, pair);
	g_ptr_array_add(reports_of_workers, report);
	lug_interference_average(exec->interference, reports_of_workers);
	ack.interference_interval = 10;
	lug_executor_merge_interference(exec, &ack);
	for (guint64 n = 0; n < 20; n++)
		for (guint owner = 0; owner < 4; owner++)
			send_beat_to_owner(n, [&](const Lug__WorkerBeat &beat) {
				reports[owner] += beat.n_harm > 0;
			});
	for (guint owner = 0; owner < 4; owner++)
		EXPECT_EQ(reports[owner], 2u) << owner;
}

/* Owners took the job of a task that never ran as begun. */
TEST_F(ExecutorTest, HeartbeatsListAnEndWhoseStartWasNotConfirmedAsUnconfirmed)
{
	bool unconfirmed = false;

	start("a", 3000);
	worker.answer(LUG_ORDER_UNKNOWN);
	incarnation = 200;
	worker_id = "i-next";
	send_heartbeat();
	answer_poll();
	ASSERT_EQ(crashed.count("a#1"), 1u);
	send_beat_to_owner(0, [&](const Lug__WorkerBeat &beat) {
		ASSERT_EQ(beat.n_shards, 1u);
		ASSERT_EQ(beat.shards[0]->n_held, 1u);
		unconfirmed = beat.shards[0]->held[0]->unconfirmed;
	});
	EXPECT_TRUE(unconfirmed);
}
} // namespace
