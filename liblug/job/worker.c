#include "job/runner_priv.h"

#include <string.h>

#include "colocate/crash.h"
#include "team/charge.h"

#define CALL_TIMEOUT_MS 2000
/*
 * Without events the worker answers a poll after POLL_WAIT_MS. Without an answer the agent gives up
 * after POLL_TIMEOUT_MS.
 */
#define POLL_WAIT_MS 1000
#define POLL_TIMEOUT_MS 5000
#define POLL_RETRY_US (200 * 1000)
/* An attempt is lost if its start is at least this long ago and the worker does not list it. */
#define UNLISTED_GRACE_US (5 * 1000 * 1000)

/* The runner's calls to the worker's interface. */

struct worker_call {
	struct lug_runner *runner;
	guint generation;
	char job[LUG_JOB_ID_MAX + 1];
	guint32 index;
	guint32 number;
};

static void post_json(struct lug_runner *runner, const char *path, JsonObject *body, lug_http_fn fn,
		      void *data)
{
	char *text = lug_json_text(body);
	struct lug_http_request call = {.method = "POST",
					.path = path,
					.content_type = "application/json",
					.body = text,
					.len = strlen(text),
					.timeout_ms = CALL_TIMEOUT_MS};

	lug_http_send(runner->env.worker, &call, fn, data);
	g_free(text);
	json_object_unref(body);
}

static struct worker_call *call_new(struct lug_runner *runner, const struct lug_attempt *attempt)
{
	struct worker_call *call = g_new0(struct worker_call, 1);

	call->runner = runner;
	call->generation = runner->generation;
	if (attempt) {
		g_strlcpy(call->job, attempt->job, sizeof(call->job));
		call->index = attempt->index;
		call->number = attempt->number;
	}
	return call;
}

static struct lug_attempt *find_call_attempt(const struct worker_call *call)
{
	if (call->generation != call->runner->generation)
		return NULL;
	return attempt_find(call->runner, call->job, call->index, call->number);
}

static JsonObject *task_body(struct lug_runner *runner, const struct lug_attempt *attempt)
{
	JsonObject *body = json_object_new();

	json_object_set_int_member(body, "epoch", (gint64)lug_lease_epoch(runner->env.lease));
	json_object_set_string_member(body, "job", attempt->job);
	json_object_set_int_member(body, "index", attempt->index);
	json_object_set_int_member(body, "attempt", attempt->number);
	return body;
}

static void on_started(void *data, const struct lug_http_answer *answer)
{
	struct worker_call *call = data;
	struct lug_runner *runner = call->runner;
	struct lug_attempt *attempt = find_call_attempt(call);
	gint64 now_us = lug_now_us();

	g_free(call);
	if (!attempt)
		return;
	attempt->call_pending = FALSE;
	if (attempt->state != LUG_ATTEMPT_STARTING)
		return;
	if (answer->http_status == 200) {
		attempt->state = LUG_ATTEMPT_RUNNING;
		attempt->started_us = now_us;
		lug_count(runner->env.ctx, TASKS_STARTED, 1);
		lug_timeline_add(runner->env.ctx->timeline, LUG_EV_TASK_STARTED, attempt->job,
				 "task %u attempt %u kind %s", attempt->index, attempt->number,
				 attempt->kind);
		attempt_reply(runner, attempt, LUG_OK, NULL);
		return;
	}
	if (answer->http_status >= 400 && answer->http_status < 500) {
		lug_count(runner->env.ctx, TASKS_REFUSED, 1);
		attempt_reply(runner, attempt, LUG_NOT_RUN, "refused by the worker");
		attempt_free(runner, attempt);
		return;
	}
	/*
	 * Outcome unknown: the worker may have accepted the attempt. Its events and its list of
	 * tasks show whether it has.
	 */
	attempt->state = LUG_ATTEMPT_RUNNING;
	attempt->started_us = now_us;
	/* Makes the worker send all its events again. */
	runner->event_seq = 0;
	attempt_reply(runner, attempt, LUG_OK, NULL);
}

/**
 * worker_start - start an attempt on the worker
 * @runner: runner
 * @attempt: attempt, with its resources reserved
 * @payload: passed to the worker unchanged, may be NULL
 * @checkpoint: reference to resume from, may be NULL
 * @now_us: current time, microseconds
 */
void worker_start(struct lug_runner *runner, struct lug_attempt *attempt, const char *payload,
		  const char *checkpoint, gint64 now_us)
{
	JsonObject *body = task_body(runner, attempt);

	json_object_set_string_member(body, "queue", attempt->queue);
	json_object_set_string_member(body, "kind", attempt->kind);
	json_object_set_int_member(body, "millicores", attempt->size.millicores);
	json_object_set_int_member(body, "memory_bytes", attempt->size.memory_bytes);
	json_object_set_int_member(body, "accelerators", attempt->size.accelerators);
	json_object_set_boolean_member(body, "urgent", attempt->urgent);
	json_object_set_string_member(body, "payload", payload ? payload : "");
	json_object_set_string_member(body, "checkpoint", checkpoint ? checkpoint : "");
	json_object_set_int_member(body, "percent", runner->throttle_percent);
	attempt->state = LUG_ATTEMPT_STARTING;
	attempt->call_pending = TRUE;
	attempt->sent_us = now_us;
	post_json(runner, "/v1/start", body, on_started, call_new(runner, attempt));
}

static void on_stopped(void *data, const struct lug_http_answer *answer)
{
	struct worker_call *call = data;
	struct lug_attempt *attempt = find_call_attempt(call);
	struct lug_runner *runner = call->runner;

	g_free(call);
	if (!attempt)
		return;
	attempt->call_pending = FALSE;
	/* 404: the worker does not have the attempt, so no event will report its end. */
	if (answer->http_status == 404 && attempt->state == LUG_ATTEMPT_STOPPING)
		attempt_end(runner, attempt, LUG_OUTCOME_LOST, "unknown to the worker",
			    lug_now_us());
}

/**
 * worker_stop - ask the worker to stop an attempt
 * @runner: runner
 * @attempt: attempt
 * @now_us: current time, microseconds
 *
 * The worker reports the end of the attempt in an event.
 */
void worker_stop(struct lug_runner *runner, struct lug_attempt *attempt, gint64 now_us)
{
	JsonObject *body = task_body(runner, attempt);

	json_object_set_boolean_member(body, "checkpoint", attempt->stop_with_checkpoint);
	attempt->state = LUG_ATTEMPT_STOPPING;
	attempt->call_pending = TRUE;
	attempt->sent_us = now_us;
	post_json(runner, "/v1/stop", body, on_stopped, call_new(runner, attempt));
}

static void ignore_answer(void *data, const struct lug_http_answer *answer)
{
	(void)answer;
	g_free(data);
}

/**
 * worker_ack - acknowledge an attempt's end, so that the worker can drop it
 * @runner: runner
 * @attempt: attempt whose end the owner has committed
 */
void worker_ack(struct lug_runner *runner, const struct lug_attempt *attempt)
{
	post_json(runner, "/v1/ack", task_body(runner, attempt), ignore_answer,
		  call_new(runner, attempt));
}

/**
 * worker_throttle - set the share of their cores that batch tasks may use
 * @runner: runner
 * @throttle_percent: percent of their cores that they may use
 */
void worker_throttle(struct lug_runner *runner, gint64 throttle_percent)
{
	JsonObject *body = json_object_new();

	json_object_set_int_member(body, "percent", throttle_percent);
	lug_count(runner->env.ctx, THROTTLE_CHANGES, 1);
	post_json(runner, "/v1/throttle", body, ignore_answer, call_new(runner, NULL));
}

static guint32 parse_outcome(const char *state)
{
	if (!strcmp(state, "done"))
		return LUG_OUTCOME_DONE;
	if (!strcmp(state, "failed"))
		return LUG_OUTCOME_FAILED;
	/* The worker's only other final state is "evicted". */
	return LUG_OUTCOME_EVICTED;
}

static void apply_event(struct lug_runner *runner, JsonObject *event, gint64 now_us)
{
	struct lug_attempt *attempt = attempt_find(runner, lug_json_str(event, "job", ""),
						   (guint32)lug_json_int(event, "index", 0),
						   (guint32)lug_json_int(event, "attempt", 0));
	const char *checkpoint = lug_json_str(event, "checkpoint", "");

	if (!attempt || attempt->state == LUG_ATTEMPT_ENDED)
		return;
	attempt->used_core_ms = lug_json_int(event, "used_ms", 0);
	g_free(attempt->checkpoint);
	attempt->checkpoint = *checkpoint ? g_strdup(checkpoint) : NULL;
	attempt_end(runner, attempt, parse_outcome(lug_json_str(event, "state", "")),
		    lug_json_str(event, "detail", ""), now_us);
}

static gboolean is_listed(JsonArray *tasks, const struct lug_attempt *attempt)
{
	char name[LUG_JOB_ID_MAX + 32];

	g_snprintf(name, sizeof(name), "%s/%u/%u", attempt->job, attempt->index, attempt->number);
	for (guint i = 0; i < json_array_get_length(tasks); i++)
		if (!g_strcmp0(lug_json_item_str(tasks, i, NULL), name))
			return TRUE;
	return FALSE;
}

/*
 * Whether a restart has ended the attempt. The new incarnation may have started it already, before
 * the restart was known: it lists such an attempt, unless the worker took the start after it had
 * sent the reply. Attempts that are starting are left out: the pending call decides on them.
 */
static gboolean is_lost_by_restart(const struct lug_runner *runner, JsonArray *tasks,
				   const struct lug_attempt *attempt)
{
	return attempt->state != LUG_ATTEMPT_ENDED && attempt->state != LUG_ATTEMPT_STARTING &&
	       attempt->started_us < runner->poll_sent_us && !(tasks && is_listed(tasks, attempt));
}

/* Marks the attempts that were on the worker when it crashed, and those that may be the cause. */
static void mark_crashed_attempts(struct lug_runner *runner, JsonArray *tasks)
{
	GArray *crashed = g_array_new(FALSE, FALSE, sizeof(struct lug_crash_run));
	struct lug_crash_run *run;
	guint suspected_jobs;

	LUG_LIST_FOREACH (&runner->attempts, pos) {
		struct lug_attempt *attempt = LUG_CONTAINER_OF(pos, struct lug_attempt, node);
		struct lug_crash_run item = {
			.job = attempt->job, .started_us = attempt->started_us, .confirmed = TRUE};

		if (is_lost_by_restart(runner, tasks, attempt))
			g_array_append_val(crashed, item);
	}
	run = (struct lug_crash_run *)(void *)crashed->data;
	suspected_jobs = lug_crash_find_suspects(run, crashed->len, runner->last_answer_us);
	LUG_LIST_FOREACH (&runner->attempts, pos) {
		struct lug_attempt *attempt = LUG_CONTAINER_OF(pos, struct lug_attempt, node);

		if (!is_lost_by_restart(runner, tasks, attempt))
			continue;
		attempt->crashed = TRUE;
		attempt->suspected_jobs = run->suspected ? suspected_jobs : 0;
		run++;
	}
	g_array_unref(crashed);
}

static void end_running_as_lost(struct lug_runner *runner, JsonArray *tasks, gint64 now_us)
{
	mark_crashed_attempts(runner, tasks);
	LUG_LIST_FOREACH_SAFE (&runner->attempts, pos, tmp) {
		struct lug_attempt *attempt = LUG_CONTAINER_OF(pos, struct lug_attempt, node);

		if (is_lost_by_restart(runner, tasks, attempt))
			attempt_end(runner, attempt, LUG_OUTCOME_LOST, "the worker restarted",
				    now_us);
	}
}

/* Returns TRUE when the worker has restarted since the last poll. */
static gboolean apply_incarnation(struct lug_runner *runner, const char *incarnation,
				  JsonArray *tasks, gint64 now_us)
{
	if (!g_strcmp0(runner->worker_incarnation, incarnation))
		return FALSE;
	if (runner->worker_incarnation) {
		lug_warn(runner->env.ctx, "worker_restarted", "boot", incarnation);
		end_running_as_lost(runner, tasks, now_us);
		lug_lease_resend(runner->env.lease);
	}
	g_free(runner->worker_incarnation);
	runner->worker_incarnation = g_strdup(incarnation);
	runner->event_seq = 0;
	return TRUE;
}

/*
 * Ends attempts that the worker does not list. In most cases the outcome of the call to start the
 * attempt was unknown, and the call had not taken effect.
 */
static void end_unlisted_attempts(struct lug_runner *runner, JsonArray *tasks, gint64 now_us)
{
	if (!tasks)
		return;
	LUG_LIST_FOREACH_SAFE (&runner->attempts, pos, tmp) {
		struct lug_attempt *attempt = LUG_CONTAINER_OF(pos, struct lug_attempt, node);

		if (attempt->state != LUG_ATTEMPT_RUNNING ||
		    now_us - attempt->started_us < UNLISTED_GRACE_US || is_listed(tasks, attempt))
			continue;
		attempt_end(runner, attempt, LUG_OUTCOME_LOST, "unknown to the worker", now_us);
	}
}

static void update_usage(struct lug_runner *runner, JsonObject *body)
{
	JsonObject *meters = lug_json_obj(body, "meters");
	JsonObject *usage;

	if (!meters || !lug_lease_epoch(runner->env.lease))
		return;
	usage = lug_usage_update(lug_lease_usage(runner->env.lease), runner->worker_incarnation,
				 meters);
	lug_lease_set_usage(runner->env.lease, usage);
	json_object_unref(usage);
}

static void on_events(void *data, const struct lug_http_answer *answer)
{
	struct worker_call *call = data;
	struct lug_runner *runner = call->runner;
	JsonObject *body = NULL;
	gint64 now_us = lug_now_us();
	JsonArray *events;
	JsonArray *tasks;
	gboolean restarted;

	g_free(call);
	runner->polling = FALSE;
	if (answer->http_status == 200)
		body = lug_json_parse(answer->body, (gssize)answer->len, NULL);
	if (!body) {
		runner->next_poll_us = now_us + POLL_RETRY_US;
		return;
	}
	tasks = lug_json_arr(body, "tasks");
	restarted = apply_incarnation(runner, lug_json_str(body, "boot", ""), tasks, now_us);
	runner->last_answer_us = now_us;
	events = lug_json_arr(body, "events");
	for (guint i = 0; events && i < json_array_get_length(events); i++)
		apply_event(runner, lug_json_item_obj(events, i), now_us);
	/* Ends of a new incarnation are numbered anew; the next poll requests them all. */
	if (!restarted)
		runner->event_seq = (guint64)lug_json_int(body, "seq", 0);
	end_unlisted_attempts(runner, tasks, now_us);
	update_usage(runner, body);
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
	struct lug_http_request call = {
		.method = "GET", .path = path, .timeout_ms = POLL_TIMEOUT_MS};

	if (runner->polling || now_us < runner->next_poll_us)
		return;
	runner->polling = TRUE;
	runner->poll_sent_us = now_us;
	g_snprintf(path, sizeof(path), "/v1/events?after=%" G_GUINT64_FORMAT "&wait_ms=%d",
		   runner->event_seq, POLL_WAIT_MS);
	lug_http_send(runner->env.worker, &call, on_events, call_new(runner, NULL));
}
