#include "workflow/executor_priv.h"

#include <string.h>

/*
 * A call without an answer may be carried out seconds later, also by the next incarnation of the
 * worker if that has the same id. There it starts or stops a run, or extends the lease up to the
 * longest one that a worker accepts, as the clocks of incarnations are not comparable. Fencing
 * tokens therefore rise with each incarnation. Once the new one has answered a poll, no call to a
 * former one is carried out any more; this file allows for what was carried out before.
 */

/* Bits of a fencing token that tell apart those under one lease epoch. */
#define RAISE_BITS 20
/* Under one lease epoch; the others are left to restarts of the worker. */
#define ACK_RAISES_MAX (1u << (RAISE_BITS - 1))
/* Only an odd row of the lease has a higher epoch, whose token is not raised. */
#define EPOCH_MAX (1ULL << 33)
/* A call without an answer is carried out within this time or never. */
#define LATE_CALL_US (30 * G_USEC_PER_SEC)
/*
 * Time for which acknowledgements, and the tasks of stopped runs, wait for a start without an
 * answer. It is shorter than LATE_CALL_US: calls are carried out 2 to 12 s late as a rule.
 */
#define LATE_START_US (12 * G_USEC_PER_SEC)
/* Ends have to be acknowledged within 4 s of being listed. */
#define ACK_DELAY_MAX_US (3 * G_USEC_PER_SEC)

/**
 * exec_token - fencing token of calls to the present incarnation of the worker
 *
 * It rises with each lease epoch, and by exec_raise_token() under one epoch.
 */
guint64 exec_token(const struct lug_executor *exec)
{
	guint64 epoch = lug_writer_epoch(exec->writer);

	if (epoch >= EPOCH_MAX)
		return (EPOCH_MAX << RAISE_BITS) + (epoch - EPOCH_MAX);
	return epoch << RAISE_BITS | MIN(exec->token_raises, (1u << RAISE_BITS) - 1);
}

/**
 * exec_raise_token - have the worker refuse earlier calls once it has carried out a later one
 *
 * Due with each restart of the worker. Also when an acknowledgement has no answer: the next
 * incarnation may carry it out after a start that is sent from now on, and it would forget the end
 * of that run.
 */
void exec_raise_token(struct lug_executor *exec)
{
	exec->token_raises++;
}

/**
 * exec_outrank_acknowledgement - have a start that is about to be sent carry a higher fencing token
 * than an acknowledgement in flight, as the next incarnation may carry out both, see
 * exec_raise_token()
 */
void exec_outrank_acknowledgement(struct lug_executor *exec)
{
	if (exec->poll_in_flight && exec->poll_acked && exec->poll_token == exec_token(exec) &&
	    exec->token_raises < ACK_RAISES_MAX)
		exec_raise_token(exec);
}

/**
 * exec_is_id_known - whether a heartbeat has told the id of the present incarnation
 */
gboolean exec_is_id_known(const struct lug_executor *exec)
{
	return exec->worker_incarnation && exec->id_incarnation == exec->worker_incarnation;
}

/**
 * exec_target_id - id of the worker that calls are meant for, "" while it is not known
 */
const char *exec_target_id(const struct lug_executor *exec)
{
	if (exec_is_id_known(exec))
		return exec->worker_id;
	/* A former process of the agent knew it. */
	if (exec->worker_incarnation && exec->settled_incarnation == exec->worker_incarnation)
		return exec->settled_id;
	return "";
}

/**
 * exec_note_grant - note that a call with an end of the lease is sent
 */
void exec_note_grant(struct lug_executor *exec, gint64 expires_ms)
{
	exec->grants_in_flight++;
	exec->grant_expires_ms = MAX(exec->grant_expires_ms, expires_ms);
}

/**
 * exec_note_grant_result - note the outcome of a call with an end of the lease
 */
void exec_note_grant_result(struct lug_executor *exec, gint64 expires_ms,
			    enum lug_order_result result, gint64 now_us)
{
	exec->grants_in_flight--;
	if (result == LUG_ORDER_UNKNOWN)
		exec_note_outstanding(exec, expires_ms, now_us);
	else
		exec->grant_answered_us = now_us;
}

/**
 * exec_note_outstanding - note a call that may yet be carried out
 */
void exec_note_outstanding(struct lug_executor *exec, gint64 expires_ms, gint64 now_us)
{
	if (now_us >= exec->outstanding_until_us)
		exec->outstanding_expires_ms = 0;
	exec->outstanding_expires_ms = MAX(exec->outstanding_expires_ms, expires_ms);
	exec->outstanding_until_us = now_us + LATE_CALL_US;
}

/**
 * exec_note_outstanding_of_former - note the calls to the incarnation that a new one replaces
 *
 * The former one has carried out a call that was answered less than EXEC_RESTART_MIN_US after it
 * was last known to be up. Any later answer may be that of the new one.
 */
void exec_note_outstanding_of_former(struct lug_executor *exec, gint64 now_us)
{
	if (exec->grants_in_flight ||
	    exec->grant_answered_us > exec->clock_requested_us + EXEC_RESTART_MIN_US)
		exec_note_outstanding(exec, exec->grant_expires_ms, now_us);
	exec->grant_expires_ms = 0;
	exec->grant_answered_us = 0;
}

/**
 * exec_note_late_start - note a start without an answer, which may be carried out late
 */
void exec_note_late_start(struct lug_executor *exec, struct exec_run *run, gint64 now_us)
{
	run->late_start_until_us = now_us + LATE_START_US;
	exec->late_start_until_us = run->late_start_until_us;
}

static gboolean may_start_late(const struct lug_executor *exec, gint64 now_us)
{
	if (now_us < exec->late_start_until_us)
		return TRUE;
	for (guint i = 0; i < exec->runs->len; i++) {
		const struct exec_run *run = g_ptr_array_index(exec->runs, i);

		if (run->state == EXEC_STARTING && run->call_in_flight)
			return TRUE;
	}
	return FALSE;
}

static gboolean is_stored_as_done(const struct exec_end *end)
{
	return end->is_stored && !end->is_obsolete && end->outcome == LUG_RUN_DONE;
}

/**
 * exec_note_done - note that the owner of a run has stored it as done, before its end is removed
 *
 * The run does not count as lost if the next incarnation starts it late once more.
 */
void exec_note_done(struct lug_executor *exec, const struct exec_end *end, gint64 now_us)
{
	struct exec_done_run done = {end->id, now_us + LATE_CALL_US};

	if (!is_stored_as_done(end))
		return;
	while (exec->done_runs->len &&
	       g_array_index(exec->done_runs, struct exec_done_run, 0).until_us < now_us)
		g_array_remove_index(exec->done_runs, 0);
	g_array_append_val(exec->done_runs, done);
}

/**
 * exec_is_done - whether a run was done before, as far as this process remembers
 */
gboolean exec_is_done(const struct lug_executor *exec, const struct lug_run_id *id)
{
	for (guint i = 0; i < exec->ends->len; i++) {
		const struct exec_end *end = g_ptr_array_index(exec->ends, i);

		if (is_stored_as_done(end) && lug_run_equal(&end->id, id))
			return TRUE;
	}
	for (guint i = 0; i < exec->done_runs->len; i++)
		if (lug_run_equal(&g_array_index(exec->done_runs, struct exec_done_run, i).id, id))
			return TRUE;
	return FALSE;
}

/**
 * exec_await_lapse - let the worker's lease lapse, as tasks of its runs may have been started again
 * @exec: executor
 * @reason: why its runs count as lost
 * @now_us: current time
 *
 * Owners and agents count a run as lost when its lease has ended as far as they know. If the worker
 * holds that lease for longer, the run may end as done after its task was started elsewhere. An end
 * is final once it is acknowledged under the lease under which the run ended, so that lease has to
 * end first.
 */
void exec_await_lapse(struct lug_executor *exec, const char *reason, gint64 now_us)
{
	char left_ms[24];

	if (exec->granted_until_us <= MAX(now_us, exec->lapse_until_us))
		return;
	exec->lapse_until_us = exec->granted_until_us;
	g_snprintf(left_ms, sizeof(left_ms), "%" G_GINT64_FORMAT,
		   (exec->lapse_until_us - now_us) / 1000);
	lug_warn(exec->ctx, "lapse_awaited", "worker", exec->worker_id, "left_ms", left_ms,
		 "reason", reason);
	/* For the next process of the agent. */
	lug_writer_rewrite(exec->writer, now_us);
}

/**
 * exec_note_lost_run - note that the worker lists a run that counts as lost
 *
 * How long the worker may hold its lease is not known before its incarnation is settled.
 */
void exec_note_lost_run(struct lug_executor *exec, gint64 now_us)
{
	if (exec->settled_incarnation == exec->worker_incarnation)
		exec_await_lapse(exec, "it lists a run that counts as lost", now_us);
	else
		exec->lost_run_listed = TRUE;
}

/**
 * exec_awaits_lapse - whether the worker's lease has to lapse before calls may contain its end or
 * acknowledge ends
 */
gboolean exec_awaits_lapse(const struct lug_executor *exec, gint64 now_us)
{
	return exec->lost_run_listed || now_us < exec->lapse_until_us;
}

/**
 * exec_is_lease_certain - whether no run under the present lease counts as lost
 *
 * Without a valid row, owners may have fenced it and started the tasks again.
 */
gboolean exec_is_lease_certain(const struct lug_executor *exec, gint64 now_us)
{
	return lug_writer_is_valid(exec->writer, now_us) && !exec_awaits_lapse(exec, now_us);
}

/**
 * exec_may_acknowledge - whether an end may be acknowledged to the worker
 *
 * An acknowledged end is final: its run must not start again. Acknowledgements therefore wait while
 * the next incarnation may carry out a start without an answer. They wait for any such start, as
 * one that is carried out late may reach the end of another run there. So does an agent that shuts
 * down: it leaves an end that would have to wait longer to its next process.
 */
gboolean exec_may_acknowledge(const struct lug_executor *exec, const struct exec_end *end,
			      gint64 now_us)
{
	if (!end->is_stored || !exec_is_lease_certain(exec, now_us))
		return FALSE;
	return now_us - end->listed_us >= ACK_DELAY_MAX_US || !may_start_late(exec, now_us);
}

static gboolean is_restart_under_same_id(const struct lug_executor *exec)
{
	return exec->settled_incarnation && exec->settled_incarnation != exec->worker_incarnation &&
	       !strcmp(exec->settled_id, exec->worker_id);
}

/**
 * exec_extend_lease - extend the lease that the present incarnation is assumed to hold, as far as
 * outstanding calls to a former one may have extended it
 * @exec: executor
 * @clock_ms: clock of the present incarnation, 0 for not known
 * @now_us: current time
 */
void exec_extend_lease(struct lug_executor *exec, gint64 clock_ms, gint64 now_us)
{
	gint64 max_ms = exec->ctx->settings->worker_lease_max_ms;
	gint64 span_us = CLAMP(exec->outstanding_expires_ms - clock_ms, 0, max_ms) * 1000;
	gint64 until_us = now_us + span_us + span_us / EXEC_CLOCK_DRIFT_DIVISOR;
	char extended_ms[24];

	if (!is_restart_under_same_id(exec) || now_us >= exec->outstanding_until_us ||
	    until_us <= exec->granted_until_us)
		return;
	g_snprintf(extended_ms, sizeof(extended_ms), "%" G_GINT64_FORMAT,
		   (until_us - now_us) / 1000);
	lug_info(exec->ctx, "lease_extended", "worker", exec->worker_id, "for_ms", extended_ms,
		 "reason", "a call to its former incarnation has no answer");
	exec->granted_until_us = until_us;
	lug_writer_hold(exec->writer, until_us);
}

/**
 * exec_settle - settle the present incarnation, once its id is known and it has answered a poll
 * under its own fencing token; from then on it carries out no call to a former one
 */
void exec_settle(struct lug_executor *exec, gint64 now_us)
{
	if (!exec_is_id_known(exec) || exec->fenced_incarnation != exec->worker_incarnation ||
	    exec->settled_incarnation == exec->worker_incarnation)
		return;
	exec_extend_lease(exec, exec->clock_ms, now_us);
	/* No process has started runs on it: what it runs or has run was started late. */
	if (is_restart_under_same_id(exec) && !exec->settled_txn) {
		exec->lost_run_listed = exec->runs->len || exec->ends->len;
		exec->runs_known = TRUE;
	}
	if (exec->lost_run_listed)
		exec_await_lapse(exec, "it lists a run that counts as lost", now_us);
	exec->lost_run_listed = FALSE;
	g_free(exec->settled_id);
	exec->settled_id = g_strdup(exec->worker_id);
	exec->settled_incarnation = exec->worker_incarnation;
	exec->settled_txn = lug_writer_rewrite(exec->writer, now_us);
}

/**
 * exec_is_settled - whether the present incarnation is settled, and the lease's row says so to the
 * next process of the agent, and to owners how long the worker may hold its lease
 */
gboolean exec_is_settled(const struct lug_executor *exec)
{
	return exec->settled_incarnation == exec->worker_incarnation &&
	       lug_writer_is_written(exec->writer, exec->settled_txn);
}

/**
 * exec_fill_lease_row - add the worker that was settled last to the lease's row
 */
void exec_fill_lease_row(void *data, JsonObject *row)
{
	const struct lug_executor *exec = data;
	gint64 now_us = lug_now_us();
	gint64 left_us = exec->granted_until_us - now_us;

	json_object_set_string_member(row, "worker_id", exec->settled_id);
	json_object_set_int_member(row, "worker_incarnation", (gint64)exec->settled_incarnation);
	if (exec->grants_paused)
		json_object_set_int_member(row, "lease_left_ms", MAX(left_us, 0) / 1000 + 1);
	if (now_us < exec->lapse_until_us)
		json_object_set_int_member(row, "lapse_left_ms",
					   (exec->lapse_until_us - now_us) / 1000 + 1);
}

/**
 * exec_adopt_lease_row - take over what a former process of the agent has left
 *
 * That process may have left calls without an answer, and its leases may end later than usual.
 */
void exec_adopt_lease_row(struct lug_executor *exec, const struct lug_row *row, gint64 now_us)
{
	gint64 ttl_ms = lug_writer_row_ttl_ms(row);
	gint64 left_ms = lug_json_int(row->data, "lease_left_ms", -1);
	gint64 lapse_ms = lug_json_int(row->data, "lapse_left_ms", 0);
	gint64 max_ms = exec->ctx->settings->worker_lease_max_ms;

	exec->grants_paused = left_ms >= 0;
	if (exec->grants_paused)
		ttl_ms = MIN(left_ms, ttl_ms);
	else
		ttl_ms = MAX(ttl_ms, exec->ctx->settings->worker_lease_ms);
	exec->granted_until_us = MAX(exec->granted_until_us,
				     now_us + (ttl_ms + ttl_ms / EXEC_CLOCK_DRIFT_DIVISOR) * 1000);
	lug_writer_hold(exec->writer, now_us + ttl_ms * 1000);
	if (exec->settled_incarnation || !row->version)
		return;
	lapse_ms = CLAMP(lapse_ms, 0, max_ms + max_ms / EXEC_CLOCK_DRIFT_DIVISOR);
	exec->lapse_until_us = MAX(exec->lapse_until_us, now_us + lapse_ms * 1000);
	g_free(exec->settled_id);
	exec->settled_id = g_strdup(lug_json_str(row->data, "worker_id", ""));
	exec->settled_incarnation =
		(guint64)MAX(lug_json_int(row->data, "worker_incarnation", 0), 0);
	exec_note_outstanding(exec, G_MAXINT64, now_us);
	/* A process that releases the lease leaves no such start. */
	if (*lug_json_str(row->data, "owner", ""))
		exec->late_start_until_us = now_us + LATE_START_US;
}
