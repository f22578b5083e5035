#include "workflow/executor_priv.h"

#include <string.h>

/* Unanswered starts of a run after which it is stopped instead; a start may be repeated. */
#define START_TRIES 3
#define STOP_AGAIN_US (500 * 1000)

struct order_call {
	struct lug_executor *exec;
	guint64 number;
};

static struct order_call *call_new(struct lug_executor *exec, const struct exec_run *run)
{
	struct order_call *call = g_new0(struct order_call, 1);

	call->exec = exec;
	call->number = run->number;
	return call;
}

static void fill_order(const struct lug_executor *exec, const struct exec_run *run,
		       struct lug_worker_order *order)
{
	memset(order, 0, sizeof(*order));
	order->id = run->id;
	order->token = lug_writer_epoch(exec->writer);
}

static void log_run(struct lug_executor *exec, const char *event, const struct lug_run_id *id,
		    const char *reason)
{
	char name[LUG_RUN_NAME_MAX];

	lug_run_name(id, name, sizeof(name));
	lug_info(exec->ctx, event, "job", id->job, "run", name, "reason", reason);
}

static void on_stopped(void *data, enum lug_order_result result)
{
	struct order_call *call = data;
	struct lug_executor *exec = call->exec;
	struct exec_run *run = exec_by_number(exec, call->number);

	g_free(call);
	if (!run)
		return;
	run->calling = FALSE;
	if (result != LUG_ORDER_OK) {
		run->retry_us = lug_now_us() + STOP_AGAIN_US;
		return;
	}
	run->retry_us = 0;
	run->settled_us = lug_now_us();
	run->state = EXEC_VOID;
}

/**
 * exec_stop_run - order a run to stop, or never to start
 */
void exec_stop_run(struct lug_executor *exec, struct exec_run *run)
{
	struct lug_worker_order order;

	run->stopping = TRUE;
	if (run->calling)
		return;
	run->calling = TRUE;
	fill_order(exec, run, &order);
	exec->worker->ops->stop(exec->worker, &order, on_stopped, call_new(exec, run));
}

static void call_start(struct lug_executor *exec, struct exec_run *run);

static enum lug_status refusal(enum lug_order_result result)
{
	return result == LUG_ORDER_NO_ROOM ? LUG_OVER_LIMIT
	       : result == LUG_ORDER_BUSY  ? LUG_UNAVAILABLE
					   : LUG_NOT_RUN;
}

static void start_refused(struct lug_executor *exec, struct exec_run *run,
			  enum lug_order_result result)
{
	if (run->tries) {
		/* An earlier order without an answer may still be carried out. */
		run->state = EXEC_DOUBT;
		exec_stop_run(exec, run);
		return;
	}
	log_run(exec, "start_refused", &run->id, lug_status_name(refusal(result)));
	exec_answer(exec, run->shard, &run->id, refusal(result));
	exec_remove(exec, run);
}

static void on_started(void *data, enum lug_order_result result)
{
	struct order_call *call = data;
	struct lug_executor *exec = call->exec;
	struct exec_run *run = exec_by_number(exec, call->number);

	g_free(call);
	if (!run)
		return;
	run->calling = FALSE;
	run->answered = TRUE;
	if (result == LUG_ORDER_OK) {
		exec_note_presence(exec, lug_now_us());
		run->state = EXEC_RUNNING;
		run->settled_us = lug_now_us();
		exec_pace_new(exec, run);
		exec_answer(exec, run->shard, &run->id, LUG_OK);
		if (run->stopping)
			exec_stop_run(exec, run);
		return;
	}
	if (result != LUG_ORDER_UNKNOWN) {
		start_refused(exec, run, result);
		return;
	}
	log_run(exec, "start_unanswered", &run->id, "no answer of the worker");
	if (++run->tries < START_TRIES && !run->stopping) {
		call_start(exec, run);
		return;
	}
	run->state = EXEC_DOUBT;
	exec_stop_run(exec, run);
}

static void call_start(struct lug_executor *exec, struct exec_run *run)
{
	struct lug_worker_order order;

	fill_order(exec, run, &order);
	order.expires_ms = exec_expires_ms(exec);
	order.spec = run->spec;
	order.checkpoint = run->checkpoint;
	exec->granted_us = MAX(exec->granted_us, lug_writer_valid_until(exec->writer));
	run->calling = TRUE;
	exec->worker->ops->start(exec->worker, &order, on_started, call_new(exec, run));
}

static gboolean fits(const struct lug_executor *exec, const struct lug_resources *size)
{
	struct lug_resources used;

	exec_used(exec, &used);
	lug_resources_add(&used, size);
	return lug_resources_fit(&used, &exec->capacity);
}

static void describe(struct exec_run *run, const Lug__RunStart *start)
{
	lug_size_from_wire(start->size, &run->size);
	run->best_effort = start->fills;
	run->best_effort_millicores = start->fill_millicores;
	run->image = g_intern_string(start->image ? start->image : "");
	run->target_ms = start->target_ms;
}

static void set_size(struct lug_executor *exec, const struct lug_run_id *id,
		     const Lug__RunStart *start)
{
	struct exec_run *run = exec_find(exec, id);

	if (!run || !run->unsized)
		return;
	run->unsized = FALSE;
	/* How an earlier process has throttled it is not known. */
	run->percent_allowed = 0;
	describe(run, start);
	exec_pace_new(exec, run);
}

static gboolean in_order(struct lug_executor *exec, const Lug__RunStart *start)
{
	struct exec_owner *owner = &exec->owners[start->shard];

	lug_executor_owner(exec, start->shard, start->epoch);
	if (start->epoch < owner->epoch || start->seq <= owner->last_seq)
		return FALSE;
	owner->last_seq = start->seq;
	return TRUE;
}

static gboolean has_ended(const struct lug_executor *exec, const struct lug_run_id *id)
{
	for (guint i = 0; i < exec->ends->len; i++)
		if (lug_run_same(&((struct exec_end *)g_ptr_array_index(exec->ends, i))->id, id))
			return TRUE;
	return FALSE;
}

/**
 * lug_executor_start - take an owner's start in
 * @exec: executor
 * @start: message
 * @now_us: present time
 *
 * Room is reserved before the worker is told. A start of an owner that another has
 * followed, or that was overtaken by a later one, is dropped.
 */
void lug_executor_start(struct lug_executor *exec, const Lug__RunStart *start, gint64 now_us)
{
	struct lug_resources size;
	struct lug_run_id id;
	struct exec_run *run;

	if (start->shard >= exec->shards || !lug_run_from_wire(start->id, &id))
		return;
	lug_size_from_wire(start->size, &size);
	if (start->size_only) {
		set_size(exec, &id, start);
		return;
	}
	if (!in_order(exec, start) || has_ended(exec, &id))
		return;
	run = exec_find(exec, &id);
	if (run) {
		if (run->answered)
			exec_answer(exec, start->shard, &id, LUG_OK);
		return;
	}
	/*
	 * A start meant for an earlier lease may have reached the process that held it. What
	 * runs is told by beats, so it is neither started nor refused here.
	 */
	if (start->lease_epoch != exec->seen_epoch)
		return;
	if (!exec_accepting(exec, now_us)) {
		exec_answer(exec, start->shard, &id, LUG_NOT_RUN);
		return;
	}
	if (!fits(exec, &size)) {
		exec_answer(exec, start->shard, &id, LUG_OVER_LIMIT);
		return;
	}
	if (start->fills && !exec_has_speed(exec, g_intern_string(start->image ? start->image : ""),
					    start->fill_millicores, now_us)) {
		lug_count(exec->ctx, TASKS_REFUSED, 1);
		exec_answer(exec, start->shard, &id, LUG_OVER_LIMIT);
		return;
	}
	run = exec_add(exec, &id, EXEC_STARTING);
	describe(run, start);
	run->spec = g_strdup(start->spec ? start->spec : "");
	run->checkpoint = g_strdup(start->checkpoint ? start->checkpoint : "");
	call_start(exec, run);
	exec_pace_new(exec, run);
}

/**
 * lug_executor_stop - take an owner's stop in
 */
void lug_executor_stop(struct lug_executor *exec, const Lug__RunStop *stop, gint64 now_us)
{
	struct lug_run_id id;
	struct exec_run *run;

	(void)now_us;
	if (stop->shard >= exec->shards || !lug_run_from_wire(stop->id, &id))
		return;
	lug_executor_owner(exec, stop->shard, stop->epoch);
	if (stop->epoch < exec->owners[stop->shard].epoch)
		return;
	run = exec_find(exec, &id);
	if (run && !run->stopping) {
		log_run(exec, "run_stopped", &id, "ordered by its owner");
		exec_stop_run(exec, run);
	}
}

/**
 * exec_retry - repeat the stops that found no answer
 */
void exec_retry(struct lug_executor *exec, gint64 now_us)
{
	for (guint i = 0; i < exec->runs->len; i++) {
		struct exec_run *run = g_ptr_array_index(exec->runs, i);

		if (!run->retry_us || run->calling || now_us < run->retry_us)
			continue;
		run->retry_us = 0;
		exec_stop_run(exec, run);
	}
}
