#include "job/runner_priv.h"

#include <string.h>

#include "team/charge.h"

#define CALL_TIMEOUT_MS 2000
#define POLL_WAIT_MS 1000
#define POLL_TIMEOUT_MS 5000
#define POLL_RETRY_US (200 * 1000)
/* An attempt is lost if the worker does not list it this long after its start. */
#define UNLISTED_GRACE_US (5 * 1000 * 1000)

/* The runner's calls to the worker's interface. */

struct worker_call {
	struct lug_runner *runner;
	guint generation;
	char job[LUG_JOB_ID_MAX + 1];
	guint32 index;
	guint32 attempt;
};

static void post_json(struct lug_runner *runner, const char *path, JsonObject *body, lug_http_fn fn,
		      void *data)
{
	char *text = lug_json_text(body);
	struct lug_http_call call = {.method = "POST",
				     .path = path,
				     .content_type = "application/json",
				     .body = text,
				     .len = strlen(text),
				     .timeout_ms = CALL_TIMEOUT_MS};

	lug_http_send(runner->env.worker, &call, fn, data);
	g_free(text);
	json_object_unref(body);
}

static struct worker_call *call_new(struct lug_runner *runner, const struct lug_run *run)
{
	struct worker_call *call = g_new0(struct worker_call, 1);

	call->runner = runner;
	call->generation = runner->generation;
	if (run) {
		g_strlcpy(call->job, run->job, sizeof(call->job));
		call->index = run->index;
		call->attempt = run->attempt;
	}
	return call;
}

static struct lug_run *find_call_run(const struct worker_call *call)
{
	if (call->generation != call->runner->generation)
		return NULL;
	return run_find(call->runner, call->job, call->index, call->attempt);
}

static JsonObject *task_body(struct lug_runner *runner, const struct lug_run *run)
{
	JsonObject *body = json_object_new();

	json_object_set_int_member(body, "epoch", (gint64)lug_lease_epoch(runner->env.lease));
	json_object_set_string_member(body, "job", run->job);
	json_object_set_int_member(body, "index", run->index);
	json_object_set_int_member(body, "attempt", run->attempt);
	return body;
}

static void on_started(void *data, const struct lug_http_answer *answer)
{
	struct worker_call *call = data;
	struct lug_runner *runner = call->runner;
	struct lug_run *run = find_call_run(call);
	gint64 now_us = lug_now_us();

	g_free(call);
	if (!run)
		return;
	run->call_pending = FALSE;
	if (run->state != LUG_RUN_STARTING)
		return;
	if (answer->http == 200) {
		run->state = LUG_RUN_RUNNING;
		run->started_us = now_us;
		lug_count(runner->env.ctx, TASKS_STARTED, 1);
		lug_timeline_add(runner->env.ctx->timeline, LUG_EV_TASK_STARTED, run->job,
				 "task %u attempt %u kind %s", run->index, run->attempt, run->kind);
		run_reply(runner, run, LUG_OK, NULL);
		return;
	}
	if (answer->http >= 400 && answer->http < 500) {
		lug_count(runner->env.ctx, TASKS_REFUSED, 1);
		run_reply(runner, run, LUG_NOT_RUN, "refused by the worker");
		run_free(runner, run);
		return;
	}
	/* Outcome unknown: the worker may have accepted it. Its events and task list decide. */
	run->state = LUG_RUN_RUNNING;
	run->started_us = now_us;
	runner->event_seq = 0;
	run_reply(runner, run, LUG_OK, NULL);
}

/**
 * worker_start - start an attempt on the worker
 * @runner: runner
 * @run: attempt, with its resources reserved
 * @payload: passed to the worker unchanged, may be NULL
 * @checkpoint: reference to resume from, may be NULL
 * @now_us: current time, microseconds
 */
void worker_start(struct lug_runner *runner, struct lug_run *run, const char *payload,
		  const char *checkpoint, gint64 now_us)
{
	JsonObject *body = task_body(runner, run);

	json_object_set_string_member(body, "queue", run->queue);
	json_object_set_string_member(body, "kind", run->kind);
	json_object_set_int_member(body, "millicores", run->size.millicores);
	json_object_set_int_member(body, "memory_bytes", run->size.memory);
	json_object_set_int_member(body, "accelerators", run->size.accelerators);
	json_object_set_boolean_member(body, "urgent", run->urgent);
	json_object_set_string_member(body, "payload", payload ? payload : "");
	json_object_set_string_member(body, "checkpoint", checkpoint ? checkpoint : "");
	json_object_set_int_member(body, "percent", runner->throttle_percent);
	run->state = LUG_RUN_STARTING;
	run->call_pending = TRUE;
	run->sent_us = now_us;
	post_json(runner, "/v1/start", body, on_started, call_new(runner, run));
}

static void on_stopped(void *data, const struct lug_http_answer *answer)
{
	struct worker_call *call = data;
	struct lug_run *run = find_call_run(call);
	struct lug_runner *runner = call->runner;

	g_free(call);
	if (!run)
		return;
	run->call_pending = FALSE;
	/* The worker has lost an attempt that it does not know. */
	if (answer->http == 404 && run->state == LUG_RUN_STOPPING)
		run_end(runner, run, LUG_OUTCOME_LOST, "unknown to the worker", lug_now_us());
}

/**
 * worker_stop - ask the worker to stop an attempt
 * @runner: runner
 * @run: attempt
 * @now_us: current time, microseconds
 *
 * The worker reports the end of the attempt in an event.
 */
void worker_stop(struct lug_runner *runner, struct lug_run *run, gint64 now_us)
{
	JsonObject *body = task_body(runner, run);

	json_object_set_boolean_member(body, "checkpoint", run->stop_with_checkpoint);
	run->state = LUG_RUN_STOPPING;
	run->call_pending = TRUE;
	run->sent_us = now_us;
	post_json(runner, "/v1/stop", body, on_stopped, call_new(runner, run));
}

static void ignore_answer(void *data, const struct lug_http_answer *answer)
{
	(void)answer;
	g_free(data);
}

/**
 * worker_ack - acknowledge an attempt's end, so that the worker can drop it
 * @runner: runner
 * @run: attempt whose end the owner has committed
 */
void worker_ack(struct lug_runner *runner, const struct lug_run *run)
{
	post_json(runner, "/v1/ack", task_body(runner, run), ignore_answer, call_new(runner, run));
}

/**
 * worker_throttle - limit the cores of all batch tasks
 * @runner: runner
 * @percent: percent of their cores that they may use
 */
void worker_throttle(struct lug_runner *runner, gint64 percent)
{
	JsonObject *body = json_object_new();

	json_object_set_int_member(body, "percent", percent);
	lug_count(runner->env.ctx, TASKS_THROTTLED, 1);
	post_json(runner, "/v1/throttle", body, ignore_answer, call_new(runner, NULL));
}

static guint32 parse_outcome(const char *state)
{
	if (!strcmp(state, "done"))
		return LUG_OUTCOME_DONE;
	if (!strcmp(state, "failed"))
		return LUG_OUTCOME_FAILED;
	return LUG_OUTCOME_EVICTED;
}

static void apply_event(struct lug_runner *runner, JsonObject *event, gint64 now_us)
{
	struct lug_run *run = run_find(runner, lug_json_str(event, "job", ""),
				       (guint32)lug_json_int(event, "index", 0),
				       (guint32)lug_json_int(event, "attempt", 0));
	const char *checkpoint = lug_json_str(event, "checkpoint", "");

	if (!run || run->state == LUG_RUN_ENDED)
		return;
	run->used_ms = lug_json_int(event, "used_ms", 0);
	g_free(run->checkpoint);
	run->checkpoint = *checkpoint ? g_strdup(checkpoint) : NULL;
	run_end(runner, run, parse_outcome(lug_json_str(event, "state", "")),
		lug_json_str(event, "detail", ""), now_us);
}

static void end_all_as_lost(struct lug_runner *runner, gint64 now_us)
{
	LUG_LIST_FOREACH_SAFE (&runner->runs, pos, tmp) {
		struct lug_run *run = LUG_CONTAINER_OF(pos, struct lug_run, node);

		if (run->state != LUG_RUN_ENDED && run->state != LUG_RUN_STARTING)
			run_end(runner, run, LUG_OUTCOME_LOST, "the worker restarted", now_us);
	}
}

static void check_incarnation(struct lug_runner *runner, const char *incarnation, gint64 now_us)
{
	if (!g_strcmp0(runner->worker_incarnation, incarnation))
		return;
	if (runner->worker_incarnation) {
		lug_warn(runner->env.ctx, "worker_restarted", "boot", incarnation);
		end_all_as_lost(runner, now_us);
		lug_lease_resend(runner->env.lease);
	}
	g_free(runner->worker_incarnation);
	runner->worker_incarnation = g_strdup(incarnation);
	runner->event_seq = 0;
}

static gboolean is_listed(JsonArray *tasks, const struct lug_run *run)
{
	char name[LUG_JOB_ID_MAX + 32];

	g_snprintf(name, sizeof(name), "%s/%u/%u", run->job, run->index, run->attempt);
	for (guint i = 0; i < json_array_get_length(tasks); i++)
		if (!g_strcmp0(json_array_get_string_element(tasks, i), name))
			return TRUE;
	return FALSE;
}

/*
 * Ends attempts that the worker does not list: the outcome of the call to start them was
 * unknown, and the call had not taken effect.
 */
static void end_unlisted_runs(struct lug_runner *runner, JsonArray *tasks, gint64 now_us)
{
	if (!tasks)
		return;
	LUG_LIST_FOREACH_SAFE (&runner->runs, pos, tmp) {
		struct lug_run *run = LUG_CONTAINER_OF(pos, struct lug_run, node);

		if (run->state != LUG_RUN_RUNNING || now_us - run->started_us < UNLISTED_GRACE_US ||
		    is_listed(tasks, run))
			continue;
		run_end(runner, run, LUG_OUTCOME_LOST, "unknown to the worker", now_us);
	}
}

static void update_charges(struct lug_runner *runner, JsonObject *body)
{
	JsonObject *meters = lug_json_obj(body, "meters");
	JsonObject *charges;

	if (!meters || !lug_lease_epoch(runner->env.lease))
		return;
	charges = lug_charge_update(lug_lease_charges(runner->env.lease),
				    runner->worker_incarnation, meters);
	lug_lease_set_charges(runner->env.lease, charges);
	json_object_unref(charges);
}

static void on_events(void *data, const struct lug_http_answer *answer)
{
	struct worker_call *call = data;
	struct lug_runner *runner = call->runner;
	JsonObject *body = NULL;
	gint64 now_us = lug_now_us();
	JsonArray *events;

	g_free(call);
	runner->polling = FALSE;
	if (answer->http == 200)
		body = lug_json_parse(answer->body, (gssize)answer->len, NULL);
	if (!body) {
		runner->next_poll_us = now_us + POLL_RETRY_US;
		return;
	}
	check_incarnation(runner, lug_json_str(body, "boot", ""), now_us);
	events = lug_json_arr(body, "events");
	for (guint i = 0; events && i < json_array_get_length(events); i++)
		apply_event(runner, json_array_get_object_element(events, i), now_us);
	runner->event_seq = (guint64)lug_json_int(body, "seq", 0);
	end_unlisted_runs(runner, lug_json_arr(body, "tasks"), now_us);
	update_charges(runner, body);
	json_object_unref(body);
	worker_poll(runner, now_us);
}

/**
 * worker_poll - request the worker's next events, unless a poll is pending
 * @runner: runner
 * @now_us: current time, microseconds
 */
void worker_poll(struct lug_runner *runner, gint64 now_us)
{
	char path[96];
	struct lug_http_call call = {.method = "GET", .path = path, .timeout_ms = POLL_TIMEOUT_MS};

	if (runner->polling || now_us < runner->next_poll_us)
		return;
	runner->polling = TRUE;
	g_snprintf(path, sizeof(path), "/v1/events?after=%" G_GUINT64_FORMAT "&wait_ms=%d",
		   runner->event_seq, POLL_WAIT_MS);
	lug_http_send(runner->env.worker, &call, on_events, call_new(runner, NULL));
}
