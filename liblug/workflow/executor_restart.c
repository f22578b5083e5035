#include "workflow/executor_priv.h"

#include <string.h>

#include "colocate/crash.h"

/* A start that was sent after the worker fell silent did not reach it. */
static gboolean may_have_run(const struct lug_executor *exec, const struct exec_run *run)
{
	return !exec->silent_since_us || run->start_sent_us <= exec->silent_since_us;
}

/* Marks the runs that were on the worker when it crashed. */
static void mark_crashed_runs(struct lug_executor *exec)
{
	GArray *crashed = g_array_new(FALSE, FALSE, sizeof(struct lug_crash_run));
	guint suspected_jobs;

	for (guint i = 0; i < exec->runs->len; i++) {
		struct exec_run *run = g_ptr_array_index(exec->runs, i);
		struct lug_crash_run item = {run->id.job, run->start_sent_us, run->isolated,
					     run->start_confirmed, FALSE};

		if (run->crashed || !may_have_run(exec, run))
			continue;
		g_array_append_val(crashed, item);
	}
	suspected_jobs = lug_crash_find_suspects(
		(struct lug_crash_run *)(void *)crashed->data, crashed->len,
		exec->silent_since_us ? exec->alive_until_us : exec->last_answer_us);
	for (guint i = 0, k = 0; i < exec->runs->len; i++) {
		struct exec_run *run = g_ptr_array_index(exec->runs, i);

		if (run->crashed || !may_have_run(exec, run))
			continue;
		run->crashed = TRUE;
		run->suspected_jobs = g_array_index(crashed, struct lug_crash_run, k).suspected
					      ? suspected_jobs
					      : 0;
		k++;
	}
	g_array_unref(crashed);
}

/**
 * exec_end_crashed_run - report the end of a run whose worker crashed, and remove the run
 */
void exec_end_crashed_run(struct lug_executor *exec, struct exec_run *run, gint64 now_us)
{
	struct exec_end *end =
		exec_add_end(exec, &run->id, LUG_RUN_WORKER_CRASHED, run->checkpoint);

	end->incarnation = 0;
	end->suspected_jobs = run->suspected_jobs;
	end->unconfirmed = !run->start_confirmed;
	exec_remove_run(exec, run);
	exec_report_end(exec, end, now_us);
}

/**
 * exec_end_crashed_runs - report the ends of all runs that were on a crashed worker
 */
void exec_end_crashed_runs(struct lug_executor *exec, gint64 now_us)
{
	mark_crashed_runs(exec);
	for (guint i = exec->runs->len; i-- > 0;) {
		struct exec_run *run = g_ptr_array_index(exec->runs, i);

		if (run->crashed)
			exec_end_crashed_run(exec, run, now_us);
	}
}

/**
 * exec_is_foreign - whether a heartbeat comes from another writer than the worker, which keeps its
 * id for the whole of an incarnation
 */
gboolean exec_is_foreign(const struct lug_executor *exec, const char *id, guint64 incarnation)
{
	return exec->id_confirmed && incarnation == exec->worker_incarnation &&
	       strcmp(id, exec->worker_id) != 0;
}

/**
 * exec_update_worker_id - record the id that a heartbeat states for the present incarnation
 */
void exec_update_worker_id(struct lug_executor *exec, const char *id)
{
	exec->id_incarnation = exec->worker_incarnation;
	if (!strcmp(id, exec->worker_id))
		return;
	g_free(exec->worker_id);
	exec->worker_id = g_strdup(id);
	exec->id_confirmed = FALSE;
}

/* Starts sent under another id can't take effect any more: they name the worker they are meant for.
 */
static void drop_starts_at_former_id(struct lug_executor *exec, gint64 now_us)
{
	for (guint i = exec->runs->len; i-- > 0;) {
		struct exec_run *run = g_ptr_array_index(exec->runs, i);

		if (!run->started_at || !strcmp(run->started_at, exec->worker_id))
			continue;
		run->late_start_until_us = 0;
		if (run->state != EXEC_STARTING && run->state != EXEC_UNKNOWN)
			continue;
		if (run->crashed)
			exec_end_crashed_run(exec, run, now_us);
		else
			exec_remove_run(exec, run);
	}
}

/**
 * exec_confirm_worker_id - note that the present incarnation has answered a poll that names its id
 *
 * A heartbeat alone does not show that the worker has another id than before: another writer may
 * have sent it.
 */
void exec_confirm_worker_id(struct lug_executor *exec, gint64 now_us)
{
	exec->id_confirmed = TRUE;
	if (!strcmp(exec->confirmed_id, exec->worker_id))
		return;
	if (*exec->confirmed_id)
		exec->late_start_until_us = 0;
	g_free(exec->confirmed_id);
	exec->confirmed_id = g_strdup(exec->worker_id);
	drop_starts_at_former_id(exec, now_us);
}

/**
 * exec_forget_worker_id - the worker has refused the latest poll, as it has another id
 *
 * Polls name no worker until a heartbeat tells the id again, whatever its number: the former one
 * may have come from another writer.
 */
void exec_forget_worker_id(struct lug_executor *exec)
{
	if (exec->settled_incarnation == exec->worker_incarnation &&
	    !strcmp(exec->poll_target, exec->settled_id))
		exec->settled_incarnation = 0;
	if (strcmp(exec->poll_target, exec->worker_id) != 0)
		return;
	lug_warn(exec->ctx, "worker_id_refused", "worker", exec->worker_id, "reason",
		 "the worker has another id; awaiting its heartbeat");
	exec->id_confirmed = FALSE;
	exec->id_incarnation = 0;
	exec->heartbeat_incarnation = 0;
	exec->worker_heartbeat_seq = 0;
}

/**
 * exec_update_incarnation - record the worker's incarnation
 *
 * Runs of an earlier one end with the next poll, and are reported as crashed unless it had
 * announced its exit: if the worker has kept its id, the new one may have started some of them.
 */
void exec_update_incarnation(struct lug_executor *exec, guint64 incarnation, gint64 now_us)
{
	if (!incarnation || incarnation == exec->worker_incarnation)
		return;
	if (exec->worker_incarnation) {
		exec_log_restart(exec, incarnation, now_us);
		exec_note_outstanding_of_former(exec, now_us);
		exec_raise_token(exec);
		lug_count(exec->ctx, WORKER_RESTARTS, 1);
		if (!exec->worker_exiting && !exec->draining)
			mark_crashed_runs(exec);
		/* Only calls of the new one tell whether it drains or exits. */
		exec->draining = FALSE;
		exec->worker_exiting = FALSE;
		exec->worker_exited = FALSE;
	}
	exec->worker_incarnation = incarnation;
	exec->id_confirmed = FALSE;
	/* Its heartbeats are numbered anew, also when a poll shows it first. */
	exec->worker_heartbeat_seq = 0;
	exec->acked_end_number = 0;
	g_string_truncate(exec->acked_ends, 0);
	exec->acknowledged_number = 0;
	exec->renewed_until_us = 0;
	exec->last_end_number = 0;
	exec->clock_at_us = 0;
	exec->confirmed_epoch = 0;
	exec_resume_grants(exec, now_us);
	exec->failures = 0;
}
