#include "workflow/executor_priv.h"

#include <string.h>

/* A look waits this long for an end, so that figures are read four times a second. */
#define HOLD_WAIT_MS 250
#define HOLD_AGAIN_US (150 * 1000)
/*
 * A look returns at once while an end is not acknowledged. So the next one follows the
 * owners' acknowledgements, or this long after the last one where they are late.
 */
#define UNACKED_AGAIN_US (80 * 1000)
/* The worker's clock may be this much slower than ours: 2 %. */
#define CLOCK_SLOW_DIVISOR 50
/* Looks without an answer after which the lease is no longer prolonged. */
#define SILENT_HOLDS 2
/* A worker that says it leaves has ended by then. */
#define LEFT_US (500 * 1000)

/**
 * exec_expires_ms - end of the lease on the worker's clock
 *
 * The lease's row is ours until lug_writer_valid_until(); seen from the worker's last told
 * time, a slow clock must have passed the returned time by then.
 *
 * Return: 0 when the lease can't be prolonged now.
 */
gint64 exec_expires_ms(const struct lug_executor *exec)
{
	gint64 until_us = lug_writer_valid_until(exec->writer);
	gint64 span_us = until_us - exec->clock_at_us;

	if (!lug_writer_held(exec->writer) || !exec->clock_at_us || span_us <= 0)
		return 0;
	return exec->clock_ms + (span_us - span_us / CLOCK_SLOW_DIVISOR) / 1000;
}

/**
 * exec_life - learn of the worker's present life; what ran in an earlier one is gone
 */
void exec_life(struct lug_executor *exec, guint64 life, gint64 now_us)
{
	(void)now_us;
	if (!life || life == exec->worker_incarnation)
		return;
	if (exec->worker_incarnation) {
		lug_warn(exec->ctx, "worker_restarted", "worker", exec->ctx->settings->name);
		for (guint i = exec->runs->len; i-- > 0;) {
			struct exec_run *run = g_ptr_array_index(exec->runs, i);

			/* An unanswered start may still be carried out in the new life. */
			if (run->state == EXEC_RUNNING || run->state == EXEC_VOID)
				exec_remove(exec, run);
		}
	}
	exec->worker_incarnation = life;
	exec->acked = 0;
	exec->last_number = 0;
	exec->clock_at_us = 0;
	exec->seen_epoch = 0;
	exec->granted_us = 0;
	exec->failing = 0;
}

static void take_running(struct lug_executor *exec, const struct lug_worker_running *item,
			 gint64 now_us)
{
	struct exec_run *run = exec_find(exec, &item->id);

	if (!run) {
		run = exec_add(exec, &item->id, EXEC_RUNNING);
		run->unsized = TRUE;
		run->answered = TRUE;
		run->settled_us = now_us;
	}
	run->listed = TRUE;
	run->percent = item->percent;
	run->metric = item->metric;
	if (g_strcmp0(run->checkpoint, item->checkpoint) != 0) {
		g_free(run->checkpoint);
		run->checkpoint = g_strdup(item->checkpoint);
	}
	if (run->state == EXEC_STARTING && !run->calling) {
		run->state = EXEC_RUNNING;
		run->settled_us = now_us;
	}
}

static void take_finished(struct lug_executor *exec, const struct lug_worker_finished *item,
			  gint64 now_us)
{
	struct exec_run *run = exec_find(exec, &item->id);
	struct exec_end *end;

	if (item->number <= exec->last_number)
		return;
	exec->last_number = item->number;
	if (run)
		exec_remove(exec, run);
	end = g_new0(struct exec_end, 1);
	end->number = item->number;
	end->incarnation = exec->worker_incarnation;
	end->id = item->id;
	end->shard = lug_workflow_shard(item->id.job, exec->shards);
	end->outcome = item->outcome;
	end->checkpoint = g_strdup(item->checkpoint);
	g_ptr_array_add(exec->ends, end);
	lug_count(exec->ctx, TASKS_FINISHED, 1);
	if (item->outcome == LUG_RUN_DONE)
		exec->failing = 0;
	else if (item->outcome == LUG_RUN_FAILED)
		exec->failing++;
	exec_report(exec, end, now_us);
}

/*
 * A run that the worker has confirmed, and that a look sent later does not list, is gone.
 */
static void drop_unlisted(struct lug_executor *exec)
{
	for (guint i = exec->runs->len; i-- > 0;) {
		struct exec_run *run = g_ptr_array_index(exec->runs, i);

		if (run->listed || run->calling || run->settled_us >= exec->hold_sent_us ||
		    (run->state != EXEC_RUNNING && run->state != EXEC_VOID))
			continue;
		exec_remove(exec, run);
	}
}

static void take_view(struct lug_executor *exec, const struct lug_worker_view *view, gint64 now_us)
{
	exec_life(exec, view->incarnation, now_us);
	exec->heartbeat_incarnation = MAX(exec->heartbeat_incarnation, view->incarnation);
	exec->clock_ms = view->clock_ms;
	exec->clock_at_us = now_us;
	exec->answered_us = now_us;
	exec->seen_epoch = exec->hold_epoch;
	exec_note_presence(exec, now_us);
	for (guint i = 0; i < exec->runs->len; i++)
		((struct exec_run *)g_ptr_array_index(exec->runs, i))->listed = FALSE;
	for (guint i = 0; i < view->running->len; i++)
		take_running(exec, &g_array_index(view->running, struct lug_worker_running, i),
			     now_us);
	for (guint i = 0; i < view->finished->len; i++)
		take_finished(exec, &g_array_index(view->finished, struct lug_worker_finished, i),
			      now_us);
	drop_unlisted(exec);
	exec_pace(exec, now_us);
}

static void on_view(void *data, const struct lug_worker_view *view)
{
	struct lug_executor *exec = data;
	gint64 now_us = lug_now_us();

	exec->holding = FALSE;
	if (view->result != LUG_ORDER_OK) {
		if (view->result == LUG_ORDER_FENCED)
			lug_warn(exec->ctx, "worker_fences", "remedy",
				 "the lease is taken again with a higher epoch");
		exec->silent_holds++;
		exec->next_hold_us = now_us + HOLD_AGAIN_US;
		return;
	}
	/* A life that the worker has left meanwhile tells nothing of the present one. */
	if (exec->poll_incarnation && view->incarnation != exec->poll_incarnation &&
	    view->incarnation < exec->worker_incarnation) {
		exec_hold_soon(exec, 0, now_us);
		return;
	}
	exec->silent_holds = 0;
	take_view(exec, view, now_us);
	exec_hold_soon(exec, exec_unacked(exec) ? UNACKED_AGAIN_US : 0, now_us);
}

static gboolean on_hold_due(gpointer data)
{
	struct lug_executor *exec = data;

	exec->hold_timer = 0;
	exec_hold(exec, lug_now_us());
	return G_SOURCE_REMOVE;
}

/**
 * exec_hold_soon - look at the worker after a time, or at the loop's next turn
 *
 * Not from within the answer to the former look, whose connection is free only after it.
 */
void exec_hold_soon(struct lug_executor *exec, gint64 after_us, gint64 now_us)
{
	if (exec->closed)
		return;
	if (exec->hold_timer)
		g_source_remove(exec->hold_timer);
	exec->hold_timer = after_us ? g_timeout_add((guint)(after_us / 1000), on_hold_due, exec)
				    : g_idle_add(on_hold_due, exec);
	exec->next_hold_us = now_us + after_us + HOLD_AGAIN_US;
}

/**
 * exec_unacked - tell whether an end of the worker's present life waits for its owner
 */
gboolean exec_unacked(const struct lug_executor *exec)
{
	for (guint i = 0; i < exec->ends->len; i++) {
		const struct exec_end *end = g_ptr_array_index(exec->ends, i);

		if (!end->acked && end->incarnation == exec->worker_incarnation)
			return TRUE;
	}
	return FALSE;
}

/*
 * The highest number up to which all ends of this life are stored. Ends of an earlier life
 * have no number any more.
 */
static guint64 acked_number(struct lug_executor *exec)
{
	gboolean waiting = FALSE;

	for (guint i = 0; i < exec->ends->len;) {
		struct exec_end *end = g_ptr_array_index(exec->ends, i);
		gboolean present = end->incarnation == exec->worker_incarnation;

		waiting = waiting || (present && !end->acked);
		if (!end->acked || (present && waiting)) {
			i++;
			continue;
		}
		if (present)
			exec->acked = end->number;
		g_ptr_array_remove_index(exec->ends, i);
	}
	return exec->acked;
}

/**
 * exec_hold - renew the lease and look at the worker
 */
void exec_hold(struct lug_executor *exec, gint64 now_us)
{
	struct lug_worker_poll hold = {.token = lug_writer_epoch(exec->writer)};

	if (exec->closed || exec->holding || !lug_writer_held(exec->writer) || exec->left)
		return;
	hold.acked = acked_number(exec);
	if (exec->silent_holds < SILENT_HOLDS)
		hold.expires_ms = exec_expires_ms(exec);
	if (hold.expires_ms)
		exec->granted_us = MAX(exec->granted_us, lug_writer_valid_until(exec->writer));
	if (hold.expires_ms && exec->seen_epoch == hold.token)
		hold.wait_ms = HOLD_WAIT_MS;
	exec->holding = TRUE;
	exec->hold_sent_us = now_us;
	exec->hold_epoch = hold.token;
	exec->poll_incarnation = exec->worker_incarnation;
	exec->worker->ops->poll(exec->worker, &hold, on_view, exec);
}

/**
 * exec_expire - drop what has surely lapsed
 *
 * Each lease that was sent ends by the time granted last. Past it nothing runs, also when
 * the worker does not answer.
 */
void exec_expire(struct lug_executor *exec, gint64 now_us)
{
	if (exec->left && exec->runs->len && now_us - exec->left_us > LEFT_US) {
		g_ptr_array_set_size(exec->runs, 0);
		return;
	}
	if (!exec->granted_us || now_us <= exec->granted_us || !exec->runs->len)
		return;
	if (exec->answered_us > exec->granted_us)
		return;
	lug_warn(exec->ctx, "runs_lapsed", "reason", "the worker's lease has ended");
	g_ptr_array_set_size(exec->runs, 0);
}
