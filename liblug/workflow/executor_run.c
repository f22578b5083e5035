#include "workflow/executor_priv.h"

#include <string.h>

#include "colocate/crash.h"

/*
 * Number of unanswered starts after which a run is stopped. Repeating a start is safe; another run
 * of the task has to wait until no start of this one can be carried out late.
 */
#define MAX_START_ATTEMPTS 7
#define STOP_RETRY_US (500 * 1000)
/* Bounds a time in a message, so that sums with it can't overflow: about 30 years. */
#define EXPECTED_MAX_MS G_GINT64_CONSTANT(1000000000000)

/*
 * Context of a start or a stop, sent to one incarnation of the worker under a fencing token. The
 * run may be removed during the call. A start brings the end of the lease.
 */
struct order_call {
	struct lug_executor *exec;
	guint64 local_id;
	gint64 expires_ms;
	guint64 incarnation;
	guint64 token;
};

static struct order_call *order_call_new(struct lug_executor *exec, const struct exec_run *run)
{
	struct order_call *call = g_new0(struct order_call, 1);

	call->exec = exec;
	call->local_id = run->local_id;
	call->incarnation = exec->worker_incarnation;
	call->token = exec_token(exec);
	return call;
}

static void init_order(const struct lug_executor *exec, const struct exec_run *run,
		       struct lug_worker_order *order)
{
	memset(order, 0, sizeof(*order));
	order->id = run->id;
	order->token = exec_token(exec);
	order->worker = exec_target_id(exec);
}

static void on_stopped(void *data, enum lug_order_result result)
{
	struct order_call *call = data;
	struct lug_executor *exec = call->exec;
	struct exec_run *run = exec_run_by_local_id(exec, call->local_id);
	guint64 incarnation = call->incarnation;

	if (run && result == LUG_ORDER_UNKNOWN)
		exec_log_unanswered(exec, "stop_unanswered", &run->id, call->token,
				    call->incarnation);
	g_free(call);
	if (!run)
		return;
	run->call_in_flight = FALSE;
	if (result != LUG_ORDER_OK || incarnation != exec->worker_incarnation) {
		run->stop_retry_us = lug_now_us() + STOP_RETRY_US;
		return;
	}
	run->stop_retry_us = 0;
	run->confirmed_poll = exec->n_polls;
	run->incarnation = incarnation;
	run->state = EXEC_STOPPED;
	exec_answer_stop(exec, run->shard, &run->id);
}

/**
 * exec_stop_run - stop a run, or keep it from ever starting
 */
void exec_stop_run(struct lug_executor *exec, struct exec_run *run)
{
	struct lug_worker_order order;

	run->stopping = TRUE;
	if (run->call_in_flight)
		return;
	run->call_in_flight = TRUE;
	init_order(exec, run, &order);
	exec->worker->ops->stop(exec->worker, &order, on_stopped, order_call_new(exec, run));
}

static void send_start(struct lug_executor *exec, struct exec_run *run);

static enum lug_status refusal_status(enum lug_order_result result)
{
	return result == LUG_ORDER_NO_ROOM ? LUG_OVER_LIMIT
	       : result == LUG_ORDER_BUSY  ? LUG_UNAVAILABLE
					   : LUG_NOT_RUN;
}

static void handle_refused_start(struct lug_executor *exec, struct exec_run *run,
				 enum lug_order_result result)
{
	if (run->unanswered_starts) {
		/* An earlier start without an answer may still take effect. */
		run->state = EXEC_UNKNOWN;
		exec_stop_run(exec, run);
		return;
	}
	exec_log_run(exec, "start_refused", &run->id, lug_status_name(refusal_status(result)));
	exec_answer_start(exec, run->shard, &run->id, refusal_status(result));
	exec_remove_run(exec, run);
}

/* The worker has answered a start, or a poll lists the run. */
static void confirm_start(struct lug_executor *exec, struct exec_run *run, guint64 incarnation)
{
	run->start_confirmed = TRUE;
	exec_record_shares(exec, lug_now_us());
	run->state = EXEC_RUNNING;
	run->confirmed_poll = exec->n_polls;
	run->incarnation = incarnation;
	exec_replan_shares(exec, run);
	exec_answer_start(exec, run->shard, &run->id, LUG_OK);
	/* The stop was requested while the start was in flight. */
	if (run->stopping)
		exec_stop_run(exec, run);
}

static void on_started(void *data, enum lug_order_result result)
{
	struct order_call *call = data;
	struct lug_executor *exec = call->exec;
	struct exec_run *run = exec_run_by_local_id(exec, call->local_id);
	guint64 incarnation = call->incarnation;
	guint64 token = call->token;

	exec_note_grant_result(exec, call->expires_ms, result, lug_now_us());
	g_free(call);
	if (!run)
		return;
	run->call_in_flight = FALSE;
	exec_poll_if_acknowledgeable(exec, lug_now_us());
	if (result == LUG_ORDER_OK) {
		confirm_start(exec, run, incarnation);
		return;
	}
	if (result != LUG_ORDER_UNKNOWN) {
		handle_refused_start(exec, run, result);
		return;
	}
	exec_log_unanswered(exec, "start_unanswered", &run->id, token, incarnation);
	exec_note_late_start(exec, run, lug_now_us());
	if (run->listed && run->incarnation == exec->worker_incarnation) {
		confirm_start(exec, run, run->incarnation);
		return;
	}
	if (++run->unanswered_starts < MAX_START_ATTEMPTS && !run->stopping &&
	    incarnation == exec->worker_incarnation && exec_may_grant(exec) &&
	    !exec_awaits_lapse(exec, lug_now_us()) &&
	    exec_check_zone(exec, lug_now_us()) == LUG_EVACUATION_OPEN) {
		send_start(exec, run);
		return;
	}
	run->state = EXEC_UNKNOWN;
	exec_stop_run(exec, run);
}

static void send_start(struct lug_executor *exec, struct exec_run *run)
{
	struct order_call *call;
	struct lug_worker_order order;

	exec_outrank_acknowledgement(exec);
	call = order_call_new(exec, run);
	init_order(exec, run, &order);
	order.expires_ms = exec_lease_expires_ms(exec);
	call->expires_ms = order.expires_ms;
	exec_note_grant(exec, order.expires_ms);
	g_free(run->started_at);
	run->started_at = g_strdup(order.worker);
	order.spec = run->spec;
	order.checkpoint = run->checkpoint;
	exec->granted_until_us =
		MAX(exec->granted_until_us, lug_writer_valid_until_us(exec->writer));
	run->call_in_flight = TRUE;
	exec->worker->ops->start(exec->worker, &order, on_started, call);
}

static gboolean has_room(const struct lug_executor *exec, const struct lug_resources *size)
{
	struct lug_resources used;

	exec_reserved(exec, &used);
	lug_resources_add(&used, size);
	return lug_resources_fit(&used, &exec->capacity);
}

static void set_attributes(struct exec_run *run, const Lug__RunStart *start)
{
	lug_resources_from_wire(start->size, &run->size);
	run->best_effort = start->fills;
	run->best_effort_millicores = start->fill_millicores;
	run->image = g_intern_string(start->image ? start->image : "");
	run->target_ms = start->target_ms;
	run->expected_ms = CLAMP(start->expected_ms, 0, EXPECTED_MAX_MS);
}

static void apply_attributes(struct lug_executor *exec, const struct lug_run_id *id,
			     const Lug__RunStart *start, gint64 now_us)
{
	struct exec_run *run = exec_find_run(exec, id);

	if (!run || !run->attributes_missing)
		return;
	run->attributes_missing = FALSE;
	/* The share set by an earlier process of the agent is not known. */
	run->applied_percent = 0;
	set_attributes(run, start);
	run->yield = exec_read_urgency(exec, start, run->progress_percent, now_us);
	exec_replan_shares(exec, run);
}

/* Records the owner's epoch and sequence number, unless the start is outdated. */
static gboolean accept_seq(struct lug_executor *exec, const Lug__RunStart *start)
{
	struct exec_owner *owner = &exec->owners[start->shard];

	lug_executor_update_owner(exec, start->shard, start->epoch);
	if (start->epoch < owner->epoch || start->seq <= owner->last_seq)
		return FALSE;
	owner->last_seq = start->seq;
	return TRUE;
}

static gboolean has_ended(const struct lug_executor *exec, const struct lug_run_id *id)
{
	for (guint i = 0; i < exec->ends->len; i++)
		if (lug_run_equal(&((struct exec_end *)g_ptr_array_index(exec->ends, i))->id, id))
			return TRUE;
	return FALSE;
}

/* Whether a suspected task of another job was started so lately that it may crash the worker. */
static gboolean isolates_another_job(const struct lug_executor *exec, const char *job,
				     gint64 now_us)
{
	for (guint i = 0; i < exec->runs->len; i++) {
		const struct exec_run *run = g_ptr_array_index(exec->runs, i);

		if (run->isolated && now_us - run->start_sent_us < LUG_CRASH_ISOLATION_US &&
		    strcmp(run->id.job, job) != 0)
			return TRUE;
	}
	return FALSE;
}

static gboolean refuses_zone(const struct lug_executor *exec, const struct lug_run_id *id,
			     gint64 now_us)
{
	enum lug_evacuation_verdict verdict = exec_check_zone(exec, now_us);

	if (verdict != LUG_EVACUATION_OPEN)
		exec_log_run(exec, "start_refused", id,
			     verdict == LUG_EVACUATION_EVACUATED
				     ? "the zone is evacuated"
				     : "the evacuated zones are not known");
	return verdict != LUG_EVACUATION_OPEN;
}

/**
 * lug_executor_on_start - handle an owner's request to start a run
 * @exec: executor
 * @start: request
 * @now_us: current time
 *
 * Resources are reserved before the start is sent to the worker. A start from a former owner, or
 * one that arrives after a later start of the same owner, is dropped.
 */
void lug_executor_on_start(struct lug_executor *exec, const Lug__RunStart *start, gint64 now_us)
{
	struct lug_resources size;
	struct lug_yield_task yield;
	struct lug_run_id id;
	struct exec_run *run;

	if (start->shard >= exec->n_shards || !lug_run_from_wire(start->id, &id))
		return;
	lug_resources_from_wire(start->size, &size);
	/* Not a start: it brings the missing attributes of a run. */
	if (start->size_only) {
		apply_attributes(exec, &id, start, now_us);
		return;
	}
	if (!accept_seq(exec, start) || has_ended(exec, &id))
		return;
	run = exec_find_run(exec, &id);
	if (run) {
		if (run->start_confirmed)
			exec_answer_start(exec, start->shard, &id, LUG_OK);
		return;
	}
	/*
	 * A start for an earlier lease may have been executed by the process that held it. It is
	 * neither started nor refused here; owners learn from heartbeats whether it runs.
	 */
	if (!start->lease_epoch || start->lease_epoch != exec->confirmed_epoch)
		return;
	if (refuses_zone(exec, &id, now_us) || !exec_is_accepting(exec, now_us)) {
		exec_answer_start(exec, start->shard, &id, LUG_NOT_RUN);
		return;
	}
	if (!has_room(exec, &size) ||
	    (start->isolate && isolates_another_job(exec, id.job, now_us))) {
		exec_answer_start(exec, start->shard, &id, LUG_OVER_LIMIT);
		return;
	}
	yield = exec_read_urgency(exec, start, 0, now_us);
	if (start->fills &&
	    !exec_allows_best_effort(exec, g_intern_string(start->image ? start->image : ""),
				     start->fill_millicores, yield.effective, now_us)) {
		lug_count(exec->ctx, TASKS_REFUSED, 1);
		exec_answer_start(exec, start->shard, &id, LUG_OVER_LIMIT);
		return;
	}
	if (!exec_reserve_admits(exec, &id, start, now_us)) {
		exec_answer_start(exec, start->shard, &id, LUG_OVER_LIMIT);
		return;
	}
	run = exec_add_run(exec, &id, EXEC_STARTING);
	set_attributes(run, start);
	run->yield = yield;
	run->spec = g_strdup(start->spec ? start->spec : "");
	run->checkpoint = g_strdup(start->checkpoint ? start->checkpoint : "");
	run->resumed = *run->checkpoint != '\0';
	run->isolated = start->isolate;
	run->start_sent_us = now_us;
	send_start(exec, run);
	exec_replan_shares(exec, run);
}

/* Whether a run that the agent does not hold is not on the worker either. */
static gboolean knows_all_runs(const struct lug_executor *exec)
{
	return lug_writer_is_held(exec->writer) &&
	       exec->confirmed_epoch == lug_writer_epoch(exec->writer);
}

static gboolean is_stopped(const struct lug_executor *exec, const struct exec_run *run)
{
	return run->state == EXEC_STOPPED && run->incarnation == exec->worker_incarnation;
}

/**
 * lug_executor_on_stop - handle an owner's request to stop a run
 * @exec: executor
 * @stop: request
 * @now_us: current time
 *
 * It is answered once the worker has confirmed the stop, at once if there is no such run.
 */
void lug_executor_on_stop(struct lug_executor *exec, const Lug__RunStop *stop, gint64 now_us)
{
	struct lug_run_id id;
	struct exec_run *run;

	(void)now_us;
	if (stop->shard >= exec->n_shards || !lug_run_from_wire(stop->id, &id))
		return;
	lug_executor_update_owner(exec, stop->shard, stop->epoch);
	if (stop->epoch < exec->owners[stop->shard].epoch)
		return;
	run = exec_find_run(exec, &id);
	if (run ? is_stopped(exec, run) : knows_all_runs(exec)) {
		exec_answer_stop(exec, stop->shard, &id);
	} else if (run && !run->stopping) {
		exec_log_run(exec, "run_stopped", &id, "ordered by its owner");
		exec_stop_run(exec, run);
	}
}

/**
 * exec_retry_stops - repeat stops that have failed or were not answered
 */
void exec_retry_stops(struct lug_executor *exec, gint64 now_us)
{
	for (guint i = 0; i < exec->runs->len; i++) {
		struct exec_run *run = g_ptr_array_index(exec->runs, i);

		if (!run->stop_retry_us || run->call_in_flight || now_us < run->stop_retry_us)
			continue;
		run->stop_retry_us = 0;
		exec_stop_run(exec, run);
	}
}
