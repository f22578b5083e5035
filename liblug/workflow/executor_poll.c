#include "workflow/executor_priv.h"

/* Time that a poll waits for an end; metrics are thus read four times a second. */
#define POLL_WAIT_MS 250
#define POLL_RETRY_US (150 * 1000)
/* A poll that fails sooner has not timed out: its connection has broken. */
#define BROKEN_POLL_US (500 * 1000)
/*
 * The worker answers a poll at once while an end is not acknowledged. The next poll is therefore
 * sent when all ends may be acknowledged, or after this delay at the latest.
 */
#define UNACKED_POLL_US (80 * 1000)
/*
 * A lease that ends sooner is renewed although the worker is not known to be up: it may only be
 * slow. After MAX_FAILED_POLLS consecutive failed polls it is not.
 */
#define RENEW_LATE_US (3 * G_USEC_PER_SEC)
#define MAX_FAILED_POLLS 2

/*
 * The present incarnation has started a run that a former one has confirmed, or has had stopped: a
 * start was carried out late.
 */
static void restart_run(struct lug_executor *exec, struct exec_run *run)
{
	/* It starts at its full share; that of a run of a former process is not known. */
	if (run->incarnation)
		run->applied_percent = 100;
	run->incarnation = exec->worker_incarnation;
	if (run->state != EXEC_STOPPED)
		return;
	run->state = EXEC_UNKNOWN;
	exec_stop_run(exec, run);
}

/*
 * Whether a run that the worker lists counts as lost. @run is NULL for one that the agent does not
 * hold. One under a fenced lease may have been started late by the next incarnation.
 */
static gboolean counts_as_lost(const struct lug_executor *exec, const struct lug_run_id *id,
			       const struct exec_run *run)
{
	if (run)
		return run->lease_fenced && run->crashed;
	return exec->runs_known && !exec_is_done(exec, id);
}

/* @unexpected: list of the runs that the agent did not know to be on the present incarnation */
static void apply_running(struct lug_executor *exec, const struct lug_worker_running *item,
			  GString *unexpected, gint64 now_us)
{
	struct exec_run *run = exec_find_run(exec, &item->id);
	gboolean is_expected = run && !run->crashed;

	if (counts_as_lost(exec, &item->id, run))
		exec_note_lost_run(exec, now_us);
	if (!run) {
		run = exec_add_run(exec, &item->id, EXEC_RUNNING);
		run->attributes_missing = TRUE;
		run->resumed = TRUE;
		run->start_sent_us = now_us;
		run->confirmed_poll = exec->n_polls;
	}
	if (!is_expected)
		exec_list_run(unexpected, run, now_us);
	if (run->incarnation != exec->worker_incarnation)
		restart_run(exec, run);
	run->listed = TRUE;
	run->crashed = FALSE;
	run->start_confirmed = TRUE;
	run->progress_percent = item->progress_percent;
	run->metric = item->metric;
	if (g_strcmp0(run->checkpoint, item->checkpoint) != 0) {
		g_free(run->checkpoint);
		run->checkpoint = g_strdup(item->checkpoint);
	}
	if (run->state == EXEC_STARTING && !run->call_in_flight) {
		run->state = EXEC_RUNNING;
		run->confirmed_poll = exec->n_polls;
	}
}

static void apply_finished(struct lug_executor *exec, const struct lug_worker_finished *item,
			   gint64 now_us)
{
	struct exec_run *run = exec_find_run(exec, &item->id);
	struct exec_end *end;

	/* The worker lists an end until it is acknowledged; this one is known. */
	if (item->number <= exec->last_end_number)
		return;
	exec->last_end_number = item->number;
	if (run && item->outcome == LUG_RUN_DONE)
		exec_reserve_learn(exec, run, now_us);
	if (item->outcome == LUG_RUN_DONE && counts_as_lost(exec, &item->id, run))
		exec_note_lost_run(exec, now_us);
	if (run)
		exec_remove_run(exec, run);
	end = exec_add_end(exec, &item->id, item->outcome, item->checkpoint);
	end->number = item->number;
	end->listed_us = now_us;
	lug_count(exec->ctx, TASKS_FINISHED, 1);
	if (item->outcome == LUG_RUN_DONE)
		exec->failures = 0;
	else if (item->outcome == LUG_RUN_FAILED)
		exec->failures++;
	exec_report_end(exec, end, now_us);
}

/*
 * Removes runs that were confirmed before the poll was sent and are missing from its reply, which
 * lists all ends.
 */
static void drop_unlisted(struct lug_executor *exec, gint64 now_us)
{
	GString *missing = g_string_new(NULL);

	for (guint i = exec->runs->len; i-- > 0;) {
		struct exec_run *run = g_ptr_array_index(exec->runs, i);

		if (run->listed || run->call_in_flight || run->confirmed_poll >= exec->n_polls ||
		    (run->state != EXEC_RUNNING && run->state != EXEC_STOPPED))
			continue;
		if (run->crashed) {
			exec_end_crashed_run(exec, run, now_us);
			continue;
		}
		if (run->state == EXEC_STOPPED && now_us < run->late_start_until_us)
			continue;
		if (run->state == EXEC_RUNNING)
			exec_list_run(missing, run, now_us);
		exec_remove_run(exec, run);
	}
	exec_log_runs(exec, "runs_missing", missing, "neither running nor listed as ended");
	g_string_free(missing, TRUE);
}

static void apply_runs(struct lug_executor *exec, GArray *running, gint64 now_us)
{
	GString *unexpected = g_string_new(NULL);

	for (guint i = 0; i < exec->runs->len; i++)
		((struct exec_run *)g_ptr_array_index(exec->runs, i))->listed = FALSE;
	for (guint i = 0; i < running->len; i++)
		apply_running(exec, &g_array_index(running, struct lug_worker_running, i),
			      unexpected, now_us);
	exec_log_runs(exec, "runs_unexpected", unexpected,
		      "started by another process of the agent, or by a call that was late");
	g_string_free(unexpected, TRUE);
}

static void apply_poll_reply(struct lug_executor *exec, const struct lug_worker_poll_reply *reply,
			     gint64 now_us)
{
	gboolean fenced;
	gboolean complete;

	exec_update_incarnation(exec, reply->incarnation, now_us);
	if (exec_is_id_known(exec) && !strcmp(exec->poll_target, exec->worker_id))
		exec_confirm_worker_id(exec, now_us);
	/* Otherwise a late call to a former incarnation may still start a run. */
	fenced = exec->poll_token == exec_token(exec);
	/* Until all ends are listed, a run of an earlier lease may be in neither list. */
	complete = fenced && !reply->more_finished;
	exec->heartbeat_incarnation = reply->incarnation;
	exec->clock_ms = reply->clock_ms;
	exec->clock_at_us = now_us;
	exec->clock_requested_us = exec->poll_sent_us;
	exec->last_answer_us = now_us;
	if (fenced)
		exec->fenced_incarnation = exec->worker_incarnation;
	if (complete)
		exec->confirmed_epoch = lug_writer_epoch(exec->writer);
	exec_settle(exec, now_us);
	exec_record_shares(exec, now_us);
	apply_runs(exec, reply->running, now_us);
	for (guint i = 0; i < reply->finished->len; i++)
		apply_finished(exec, &g_array_index(reply->finished, struct lug_worker_finished, i),
			       now_us);
	if (complete) {
		exec->runs_known = TRUE;
		drop_unlisted(exec, now_us);
	}
	exec_measure_speed(exec, now_us);
	exec_throttle(exec, now_us);
	exec_reserve_step(exec, now_us);
}

/* Whether the worker's side has refused or closed the connection of the poll. */
static gboolean is_poll_broken(const struct lug_executor *exec,
			       const struct lug_worker_poll_reply *reply, gint64 now_us)
{
	return reply->result == LUG_ORDER_UNKNOWN && now_us - exec->poll_sent_us < BROKEN_POLL_US;
}

/* A connection that breaks shows the time of a crash; a poll that times out does not. */
static void note_silence(struct lug_executor *exec, gint64 now_us)
{
	exec->worker_down = now_us - exec->poll_sent_us < BROKEN_POLL_US;
	exec->silent_since_us = now_us;
	exec->alive_until_us = exec->worker_down ? now_us : exec->last_answer_us;
}

/* Notes what the poll has brought to the incarnation that it was sent to. */
static void note_poll_result(struct lug_executor *exec, const struct lug_worker_poll_reply *reply,
			     gint64 now_us)
{
	gboolean answered = reply->result == LUG_ORDER_OK;
	gboolean same = reply->incarnation == exec->poll_incarnation;

	if (exec->poll_expires_ms)
		exec_note_grant_result(exec, exec->poll_expires_ms,
				       answered && !same ? LUG_ORDER_UNKNOWN : reply->result,
				       now_us);
	if (!answered || !same || exec->poll_incarnation != exec->worker_incarnation)
		return;
	exec->renewed_until_us = MAX(exec->renewed_until_us, exec->poll_until_us);
	exec->acknowledged_number = MAX(exec->acknowledged_number, exec->poll_acked);
}

/*
 * Whether the worker has restarted since the poll, and an earlier incarnation sent the reply. A
 * reply to a poll that was sent after the restart is that of the present one, whatever its number:
 * it is the time of day of its start, which may have been set back.
 */
static gboolean is_reply_of_former(const struct lug_executor *exec,
				   const struct lug_worker_poll_reply *reply)
{
	return exec->poll_incarnation && exec->poll_incarnation != exec->worker_incarnation &&
	       reply->incarnation < exec->worker_incarnation;
}

/* Whether the worker goes on to list ends, and so answers the next poll at once. */
static gboolean has_ends_to_keep(const struct lug_executor *exec, gint64 now_us)
{
	return exec_has_unacked_ends(exec, now_us) ||
	       (exec->acked_end_number > exec->acknowledged_number &&
		!exec_is_lease_certain(exec, now_us));
}

static void on_poll_reply(void *data, const struct lug_worker_poll_reply *reply)
{
	struct lug_executor *exec = data;
	gint64 now_us = lug_now_us();

	exec->poll_in_flight = FALSE;
	note_poll_result(exec, reply, now_us);
	exec->broken_polls = is_poll_broken(exec, reply, now_us) ? exec->broken_polls + 1 : 0;
	/* A start sent after the poll has reached the worker first, see
	 * exec_outrank_acknowledgement(). */
	if (reply->result == LUG_ORDER_FENCED && exec->poll_token < exec_token(exec)) {
		exec_schedule_poll(exec, 0, now_us);
		return;
	}
	if (reply->result != LUG_ORDER_OK) {
		if (reply->result == LUG_ORDER_UNKNOWN &&
		    (exec->poll_expires_ms || exec->poll_acked))
			exec_log_unanswered_poll(exec);
		if (reply->result == LUG_ORDER_UNKNOWN && exec->poll_acked)
			exec_raise_token(exec);
		if (reply->result == LUG_ORDER_FENCED)
			lug_warn(exec->ctx, "worker_fences", "remedy",
				 "polling again; the lease is acquired anew once its row is lost");
		if (!exec->failed_polls++)
			note_silence(exec, now_us);
		if (exec->failed_polls >= MAX_FAILED_POLLS)
			exec_pause_grants(exec, now_us);
		exec->failed_poll_sent_us = exec->poll_sent_us;
		exec->fallback_poll_us = now_us + POLL_RETRY_US;
		if (reply->result == LUG_ORDER_MISDIRECTED && *exec->poll_target) {
			exec_forget_worker_id(exec);
			exec_schedule_poll(exec, 0, now_us);
		}
		return;
	}
	if (is_reply_of_former(exec, reply)) {
		exec_schedule_poll(exec, 0, now_us);
		return;
	}
	apply_poll_reply(exec, reply, now_us);
	exec->failed_polls = 0;
	exec->silent_since_us = 0;
	exec->worker_down = FALSE;
	exec_resume_grants(exec, now_us);
	exec_schedule_poll(exec, has_ends_to_keep(exec, now_us) ? UNACKED_POLL_US : 0, now_us);
}

static gboolean on_poll_due(gpointer data)
{
	struct lug_executor *exec = data;

	exec->poll_timer = 0;
	exec_poll(exec, lug_now_us());
	return G_SOURCE_REMOVE;
}

/**
 * exec_schedule_poll - poll the worker after a delay, or in the next iteration of the main loop
 *
 * A poll must not be sent from the callback of the previous one, whose connection is free only
 * after the callback has returned.
 */
void exec_schedule_poll(struct lug_executor *exec, gint64 after_us, gint64 now_us)
{
	if (exec->closed)
		return;
	if (exec->poll_timer)
		g_source_remove(exec->poll_timer);
	exec->poll_timer = after_us ? g_timeout_add((guint)(after_us / 1000), on_poll_due, exec)
				    : g_idle_add(on_poll_due, exec);
	exec->fallback_poll_us = now_us + after_us + POLL_RETRY_US;
}

/**
 * exec_has_unacked_ends - check for ends of the current incarnation that may not be acknowledged
 * yet
 */
gboolean exec_has_unacked_ends(const struct lug_executor *exec, gint64 now_us)
{
	for (guint i = 0; i < exec->ends->len; i++) {
		const struct exec_end *end = g_ptr_array_index(exec->ends, i);

		if (end->incarnation == exec->worker_incarnation &&
		    !exec_may_acknowledge(exec, end, now_us))
			return TRUE;
	}
	return FALSE;
}

/**
 * exec_poll_if_acknowledgeable - send the poll that waits for acknowledgements, if all ends may be
 * acknowledged now
 */
void exec_poll_if_acknowledgeable(struct lug_executor *exec, gint64 now_us)
{
	if (exec->ends->len && !exec->poll_in_flight && !exec_has_unacked_ends(exec, now_us))
		exec_schedule_poll(exec, 0, now_us);
}

/*
 * Removes stored ends, those of the worker's current incarnation once they may be acknowledged.
 * Returns the highest number up to which all of these are. Numbers of earlier incarnations are not
 * comparable with these.
 */
static guint64 prune_acked_ends(struct lug_executor *exec, gint64 now_us)
{
	gboolean waiting_seen = FALSE;

	for (guint i = 0; i < exec->ends->len;) {
		struct exec_end *end = g_ptr_array_index(exec->ends, i);
		gboolean is_current = end->incarnation == exec->worker_incarnation;

		waiting_seen =
			waiting_seen || (is_current && !exec_may_acknowledge(exec, end, now_us));
		if (!end->is_stored || (is_current && waiting_seen)) {
			i++;
			continue;
		}
		exec_note_done(exec, end, now_us);
		if (is_current) {
			exec->acked_end_number = end->number;
			exec_list_end(exec->acked_ends, end);
		}
		g_ptr_array_remove_index(exec->ends, i);
	}
	return exec->acked_end_number;
}

/*
 * Whether the incarnation that has answered the latest poll is up: a restart would have taken
 * longer.
 */
static gboolean is_known_up(const struct lug_executor *exec, gint64 now_us)
{
	return exec->clock_at_us && !exec->failed_polls &&
	       now_us - exec->last_answer_us <= EXEC_RESTART_MIN_US &&
	       now_us - exec->clock_requested_us <= POLL_WAIT_MS * 1000 + EXEC_RESTART_MIN_US;
}

static gboolean may_renew(const struct lug_executor *exec, gboolean known_up, gint64 now_us)
{
	/* The row has not been renewed since the latest poll that sent its end. */
	if (!exec_is_settled(exec) || !exec_may_grant(exec) || exec_awaits_lapse(exec, now_us) ||
	    !*exec_target_id(exec) ||
	    lug_writer_valid_until_us(exec->writer) <= exec->renewed_until_us)
		return FALSE;
	if (known_up)
		return TRUE;
	return exec->renewed_until_us && exec->renewed_until_us - now_us < RENEW_LATE_US &&
	       exec->failed_polls < MAX_FAILED_POLLS;
}

/*
 * Fills in the end of the lease. Such a poll does not wait: one that is in flight when the worker
 * crashes may extend the lease of the next incarnation.
 */
static void add_renewal(struct lug_executor *exec, struct lug_worker_poll *poll)
{
	poll->expires_ms = exec_lease_expires_ms(exec);
	if (!poll->expires_ms)
		return;
	exec->poll_until_us = lug_writer_valid_until_us(exec->writer);
	exec->granted_until_us = MAX(exec->granted_until_us, exec->poll_until_us);
	exec_note_grant(exec, poll->expires_ms);
}

/**
 * exec_poll - send a poll, unless one is in flight; it renews the worker's lease when that is due
 *
 * Ends are acknowledged and the lease is renewed only while the worker is known to be up: the poll
 * may reach another incarnation, which would forget ends of its own.
 */
void exec_poll(struct lug_executor *exec, gint64 now_us)
{
	struct lug_worker_poll poll = {.token = exec_token(exec), .worker = exec_target_id(exec)};
	gboolean known_up = is_known_up(exec, now_us);
	guint64 acked;

	if (exec->closed || exec->poll_in_flight || !lug_writer_is_held(exec->writer) ||
	    exec->worker_exited)
		return;
	acked = prune_acked_ends(exec, now_us);
	if (known_up && *poll.worker && acked > exec->acknowledged_number &&
	    exec_is_lease_certain(exec, now_us))
		poll.acked_end_number = acked;
	if (poll.acked_end_number)
		exec_log_acknowledgement(exec, now_us);
	exec->poll_until_us = 0;
	if (may_renew(exec, known_up, now_us))
		add_renewal(exec, &poll);
	/* The worker answers the first poll under a fencing token without waiting. */
	if (!poll.expires_ms && known_up && exec->fenced_incarnation == exec->worker_incarnation &&
	    exec->confirmed_epoch == lug_writer_epoch(exec->writer))
		poll.wait_ms = POLL_WAIT_MS;
	exec->poll_in_flight = TRUE;
	exec->n_polls++;
	exec->poll_sent_us = now_us;
	exec->poll_token = poll.token;
	exec->poll_expires_ms = poll.expires_ms;
	exec->poll_acked = poll.acked_end_number;
	exec->poll_incarnation = exec->worker_incarnation;
	g_free(exec->poll_target);
	exec->poll_target = g_strdup(poll.worker);
	exec->worker->ops->poll(exec->worker, &poll, on_poll_reply, exec);
}
