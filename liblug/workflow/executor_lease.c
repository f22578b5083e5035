#include "workflow/executor_priv.h"

#include <string.h>

#define ACQUIRE_RETRY_US (300 * 1000)
/*
 * Longest wait for the worker's list of ended runs once its lease has expired. Without an answer
 * all its runs count as lost.
 */
#define EXPIRED_ANSWER_TIMEOUT_US (1500 * 1000)
/* Time after the announcement of its exit by which a worker has exited. */
#define WORKER_EXIT_US (500 * 1000)
/* Longest time between a stop and the end of its run, beyond the margin with which owners fence. */
#define STOP_TIME_US (1000 * 1000)
/* Consecutive polls that an exited worker does not accept; a single one may have been reset. */
#define EXIT_BROKEN_POLLS 2

/**
 * exec_on_lease_event - callback of the writer of the lease's row
 */
void exec_on_lease_event(void *data, enum lug_writer_event event)
{
	struct lug_executor *exec = data;
	gboolean was_held = exec->lease_held;
	char epoch[24];

	exec->acquiring_lease = FALSE;
	exec->lease_held = event == LUG_WRITER_TAKEN;
	g_snprintf(epoch, sizeof(epoch), "%" G_GUINT64_FORMAT, lug_writer_epoch(exec->writer));
	lug_info(exec->ctx, event == LUG_WRITER_TAKEN ? "worker_lease_taken" : "worker_lease_lost",
		 "lease_epoch", epoch);
	/* Owners count the runs under a fenced lease as lost. */
	if (event == LUG_WRITER_NOT_HELD && was_held) {
		exec_await_lapse(exec, "its row was fenced", lug_now_us());
		for (guint i = 0; i < exec->runs->len; i++)
			((struct exec_run *)g_ptr_array_index(exec->runs, i))->lease_fenced = TRUE;
	}
	if (event != LUG_WRITER_TAKEN)
		return;
	/*
	 * Unanswered starts of the lease's former holder may still arrive. The worker rejects them
	 * once a poll has brought it the new lease epoch, the upper part of the fencing token.
	 */
	exec->confirmed_epoch = 0;
	exec->fenced_incarnation = 0;
	exec->token_raises = 0;
	exec_poll(exec, lug_now_us());
}

static void on_lease_row(void *data, enum lug_status status, const struct lug_row *rows,
			 guint n_rows, gboolean more)
{
	struct lug_executor *exec = data;
	struct lug_row none = {0};
	/* The scan is by prefix: its first row may have another key. */
	gboolean found = n_rows && !strcmp(rows[0].key, exec->ctx->settings->name);

	(void)more;
	if (status != LUG_OK) {
		exec->acquiring_lease = FALSE;
		return;
	}
	exec_adopt_lease_row(exec, found ? &rows[0] : &none, lug_now_us());
	lug_writer_take(exec->writer, found ? &rows[0] : &none, lug_now_us());
}

/**
 * exec_acquire_lease - try to take the lease unless it is held
 */
void exec_acquire_lease(struct lug_executor *exec, gint64 now_us)
{
	if (exec->acquiring_lease || exec->shutting_down || lug_writer_is_held(exec->writer) ||
	    now_us < exec->next_acquire_us)
		return;
	exec->acquiring_lease = TRUE;
	exec->next_acquire_us = now_us + ACQUIRE_RETRY_US;
	lug_store_scan(exec->store, EXEC_LEASE_TABLE, exec->ctx->settings->name, NULL, 1,
		       on_lease_row, exec);
}

/**
 * exec_lease_expires_ms - end of the lease on the worker's clock
 *
 * The lease's row is held until lug_writer_valid_until_us(). The remaining time, less the clock
 * drift allowed for, is added to the last known reading of the worker's clock, so that even a slow
 * clock reaches the returned time before the row can change hands.
 *
 * Return: 0 when the lease can't be renewed at the moment.
 */
gint64 exec_lease_expires_ms(const struct lug_executor *exec)
{
	gint64 until_us = lug_writer_valid_until_us(exec->writer);
	gint64 span_us = until_us - exec->clock_at_us;

	if (!exec_may_grant(exec) || !lug_writer_is_held(exec->writer) || !exec->clock_at_us ||
	    span_us <= 0)
		return 0;
	return exec->clock_ms + (span_us - span_us / EXEC_CLOCK_DRIFT_DIVISOR) / 1000;
}

/**
 * exec_pause_grants - grant no further lease to a worker that is silent
 *
 * The row then states for how long the worker may hold the present one. Without that, each further
 * process of the agent would have to allow for a lease granted just before it was started.
 */
void exec_pause_grants(struct lug_executor *exec, gint64 now_us)
{
	char left_ms[24];

	if (exec->grants_paused)
		return;
	g_snprintf(left_ms, sizeof(left_ms), "%" G_GINT64_FORMAT,
		   MAX(exec->granted_until_us - now_us, 0) / 1000);
	lug_info(exec->ctx, "lease_paused", "worker", exec->ctx->settings->name, "left_ms", left_ms,
		 "reason", "the worker does not answer");
	exec->grants_paused = TRUE;
	lug_writer_rewrite(exec->writer, now_us);
}

/**
 * exec_resume_grants - allow calls with an end of the lease again, once the row states that
 */
void exec_resume_grants(struct lug_executor *exec, gint64 now_us)
{
	if (!exec->grants_paused)
		return;
	lug_info(exec->ctx, "lease_resumed", "worker", exec->ctx->settings->name);
	exec->grants_paused = FALSE;
	exec->resumed_txn = lug_writer_rewrite(exec->writer, now_us);
}

/**
 * exec_may_grant - whether a call may contain an end of the lease
 */
gboolean exec_may_grant(const struct lug_executor *exec)
{
	return !exec->grants_paused && lug_writer_is_written(exec->writer, exec->resumed_txn);
}

/**
 * exec_release_idle_lease - release the lease of an agent that shuts down, once nothing depends on
 * it
 */
void exec_release_idle_lease(struct lug_executor *exec, gint64 now_us)
{
	/* The worker may have runs that a former process has started. */
	if (exec->confirmed_epoch != lug_writer_epoch(exec->writer))
		return;
	/*
	 * Entries of exec->ends are removed only by polls, which need the lease. It is kept until
	 * none is left, or until the worker exits, after which no poll is sent.
	 */
	if (!exec->shutting_down || exec->runs->len || (!exec->worker_exited && exec->ends->len))
		return;
	if (!exec->releasing)
		exec_log_leave(exec, "worker_lease_release", now_us);
	exec->releasing = TRUE;
	lug_writer_release(exec->writer, now_us);
}

/*
 * Time until which the row of the lease keeps owners from fencing it. The lease that the worker may
 * hold is longer after a restart, and counts only once the row states it.
 */
static gint64 row_until_us(const struct lug_executor *exec)
{
	return exec_is_settled(exec) ? MAX(exec->row_valid_until_us, exec->granted_until_us)
				     : exec->row_valid_until_us;
}

/**
 * exec_stop_outlasting_runs - stop the runs that the worker may execute for longer than the lease's
 * row allows
 *
 * A worker ends its runs with its lease. That lease can be longer than the row states when a call
 * to a former incarnation was carried out late and the table service could not be told.
 */
void exec_stop_outlasting_runs(struct lug_executor *exec, gint64 now_us)
{
	gint64 until_us;

	if (lug_writer_is_held(exec->writer))
		exec->row_valid_until_us =
			MAX(exec->row_valid_until_us, lug_writer_valid_until_us(exec->writer));
	until_us = row_until_us(exec);
	if (exec->granted_until_us > until_us)
		until_us -= STOP_TIME_US;
	if (!exec->row_valid_until_us || now_us < until_us)
		return;
	for (guint i = 0; i < exec->runs->len; i++) {
		struct exec_run *run = g_ptr_array_index(exec->runs, i);

		if (!run->listed || run->stopping)
			continue;
		exec_log_run(exec, "run_stopped", &run->id,
			     "the row of its worker's lease expires");
		exec_stop_run(exec, run);
	}
}

/*
 * Whether the worker has exited: after the announcement it accepts no connections any more. While
 * it answers, or is out of reach, the announcement may be that of a former incarnation.
 */
static gboolean has_exited(const struct lug_executor *exec, gint64 now_us)
{
	return exec->worker_exiting && now_us - exec->exit_announced_us > WORKER_EXIT_US &&
	       exec->broken_polls >= EXIT_BROKEN_POLLS &&
	       exec->failed_poll_sent_us > exec->exit_announced_us;
}

/*
 * Whether the lease sent to the worker has expired and the worker has not answered since. A run may
 * have ended as done before the expiry, which an agent that was suspended meanwhile learns from the
 * next poll only: that poll must have been answered or have failed.
 */
static gboolean is_expired(struct lug_executor *exec, gint64 now_us)
{
	if (!exec->granted_until_us || now_us <= exec->granted_until_us)
		return FALSE;
	/* A poll answered after that time has listed the runs that are left. */
	if (exec->last_answer_us > exec->granted_until_us)
		return FALSE;
	if (exec->expiry_seen_us < exec->granted_until_us)
		exec->expiry_seen_us = now_us;
	return exec->failed_poll_sent_us > exec->granted_until_us ||
	       now_us - exec->expiry_seen_us >= EXPIRED_ANSWER_TIMEOUT_US;
}

static gboolean is_confirmation_missing(const struct lug_executor *exec)
{
	return lug_writer_is_held(exec->writer) &&
	       exec->confirmed_epoch != lug_writer_epoch(exec->writer);
}

/*
 * States to owners that no run of an earlier lease is left. Starts remain refused until the worker
 * answers, see exec_is_accepting().
 */
static void confirm_without_answer(struct lug_executor *exec)
{
	char epoch[24];

	exec->runs_known = TRUE;
	exec->confirmed_epoch = lug_writer_epoch(exec->writer);
	g_snprintf(epoch, sizeof(epoch), "%" G_GUINT64_FORMAT, exec->confirmed_epoch);
	lug_warn(exec->ctx, "worker_unheard", "lease_epoch", epoch, "reason",
		 "no answer since the lease was taken; no earlier run can be left");
}

/**
 * exec_drop_expired - remove the runs of a worker that has exited or whose lease has expired
 *
 * No lease expiry sent to the worker is later than @granted_until_us, so no run is left after that
 * time, even if the worker does not answer. Owners are told so although the worker has not answered
 * under the agent's present lease: they would wait for an answer that a worker that is gone never
 * gives.
 */
void exec_drop_expired(struct lug_executor *exec, gint64 now_us)
{
	gboolean exited = exec->worker_exited || has_exited(exec, now_us);

	exec->worker_exited = exited;
	if (!exec->runs->len && !is_confirmation_missing(exec))
		return;
	if (!exited && !is_expired(exec, now_us))
		return;
	/* A worker that stays silent for the whole lease has crashed, as far as can be known. */
	if (!exited && exec->runs->len) {
		lug_warn(exec->ctx, "runs_lapsed", "reason", "the worker's lease has expired");
		exec_end_crashed_runs(exec, now_us);
	}
	g_ptr_array_set_size(exec->runs, 0);
	if (is_confirmation_missing(exec))
		confirm_without_answer(exec);
}
