#ifndef TESTS_UNIT_EXECUTOR_FIXTURE_H
#define TESTS_UNIT_EXECUTOR_FIXTURE_H

#include "lug.h"

#include <algorithm>
#include <functional>
#include <map>
#include <tuple>

#include "fake_store.h"

extern "C" {
#include "workflow/executor_priv.h"
}

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
		std::string target;
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
				reinterpret_cast<FakeWorker *>(w)->polls.push_back(
					{*h, h->worker, f, d});
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

struct ExecutorFixture : public testing::Test {
	FakeStore store;
	FakeWorker worker;
	struct lug_ctx *ctx = test_context_with_address("w1");
	struct lug_executor *exec = nullptr;
	std::vector<std::pair<std::string, enum lug_status>> answers;
	std::vector<std::string> ends;
	/* Runs whose stops were answered. */
	std::vector<std::string> stop_answers;
	/* Answers to requests for reservations: run, status and time until the room is free. */
	std::vector<std::tuple<std::string, enum lug_status, guint32>> reserve_answers;
	/* Number of suspected jobs by run, of the runs reported as crashed. */
	std::map<std::string, guint32> crashed;
	guint64 seq = 0;
	guint64 incarnation = 100;
	const char *worker_id = "i";
	const char *zone = "z";
	gint64 cold_ms = 0;
	gint64 heartbeat_seq = 0;
	gint64 clock_ms = 5000;
	gint64 capacity_millicores = 4000;
	/* Expected run time of the tasks that are started, 0 for not known. */
	gint64 expected_ms = 0;
	/* What polls return: runs with their progress in percent, and numbered ends. */
	std::vector<std::pair<struct lug_run_id, guint32>> running;
	std::vector<std::pair<guint64, struct lug_run_id>> finished;
	/* Ends that the worker has forgotten, as they were acknowledged. */
	std::map<guint64, guint64> forgotten;
	/* Number of ends that one poll returns. */
	size_t finished_max = 500;

	static std::string text(const Lug__RunId *id)
	{
		return std::string(id->job) + "#" + std::to_string(id->run);
	}

	static gboolean send(void *data, guint32 shard, Lug__Envelope *env)
	{
		auto *test = static_cast<ExecutorFixture *>(data);

		(void)shard;
		if (env->body_case == LUG__ENVELOPE__BODY_RUN_ANSWER)
			test->answers.emplace_back(text(env->run_answer->id),
						   (enum lug_status)env->run_answer->status);
		if (env->body_case == LUG__ENVELOPE__BODY_RUN_RESERVE_ANSWER)
			test->reserve_answers.emplace_back(
				text(env->run_reserve_answer->id),
				(enum lug_status)env->run_reserve_answer->status,
				env->run_reserve_answer->ready_in_ms);
		if (env->body_case == LUG__ENVELOPE__BODY_RUN_STOP_ANSWER)
			test->stop_answers.push_back(text(env->run_stop_answer->id));
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
		heartbeat.zone = zone;
		heartbeat.cold_ms = cold_ms;
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

	/* Longer than POLL_RETRY_US. */
	void tick_later()
	{
		g_usleep(160 * 1000);
		tick();
	}

	/* An integer in the row of the worker's lease, -1 if the row has none of that name. */
	gint64 lease_row_int(const char *name)
	{
		JsonObject *row =
			lug_json_parse(store.rows["w1|worker/w1"].data.c_str(), -1, nullptr);
		gint64 value = lug_json_int(row, name, -1);

		json_object_unref(row);
		return value;
	}

	/* Answers the oldest open poll with the runs and ends of the fixture. */
	void answer_poll(enum lug_order_result result = LUG_ORDER_OK)
	{
		FakeWorker::Poll poll;
		struct lug_worker_poll_reply answer = {};

		ASSERT_FALSE(worker.polls.empty());
		poll = worker.polls.front();
		worker.polls.pop_front();
		if (result == LUG_ORDER_OK)
			forgotten[incarnation] =
				std::max(forgotten[incarnation], poll.request.acked_end_number);
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

			if (item.first <= forgotten[incarnation])
				continue;
			answer.more_finished = answer.finished->len + 1 >= finished_max;
			g_array_append_val(answer.finished, row);
			if (answer.more_finished)
				break;
		}
		poll.fn(poll.data, &answer);
		g_array_unref(answer.running);
		g_array_unref(answer.finished);
		store.settle();
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

	/*
	 * Starts a best-effort task, whose cores are not reserved, or sends its attributes again.
	 * @due_in_ms: time to the objective of its job, whose task takes 1 s; NULL for none
	 */
	void start_best_effort(const char *job, gint64 millicores,
			       const gint64 *due_in_ms = nullptr, bool size_only = false)
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
		message.size_only = size_only;
		message.has_due_in_ms = due_in_ms != nullptr;
		message.due_in_ms = due_in_ms ? *due_in_ms : 0;
		message.expected_ms = due_in_ms ? 1000 : expected_ms;
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
		message.expected_ms = expected_ms;
		lug_executor_on_start(exec, &message, lug_now_us() + later_us);
	}

	/* Starts a run that ends before a poll lists it. */
	void start_short(const char *job)
	{
		start(job);
		worker.answer(LUG_ORDER_OK);
	}

	/* Requests the stop of a job's first run as its owner. */
	void stop(const char *job)
	{
		struct lug_run_id run = id(job);
		Lug__RunStop message = LUG__RUN_STOP__INIT;
		Lug__RunId wire;

		lug_run_to_wire(&run, &wire);
		message.epoch = 1;
		message.id = &wire;
		lug_executor_on_stop(exec, &message, lug_now_us());
	}

	void expect_next_poll_to_acknowledge(guint64 number)
	{
		ASSERT_FALSE(worker.polls.empty());
		EXPECT_EQ(worker.polls.front().request.acked_end_number, number);
	}

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

	/* Lets the time pass within which starts of a job's first run may be carried out late. */
	void expire_late_starts(const char *job)
	{
		struct lug_run_id run = id(job);

		ASSERT_GT(exec_find_run(exec, &run)->late_start_until_us,
			  lug_now_us() + 11 * G_USEC_PER_SEC);
		exec_find_run(exec, &run)->late_start_until_us = lug_now_us();
	}

	/* Acknowledges the end of a job's first run as its owner. */
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

#endif
