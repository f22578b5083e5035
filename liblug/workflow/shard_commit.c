#include "workflow/shard_priv.h"

#include <string.h>

/* Length at which the list of runs in one log line is cut. */
#define RUN_LIST_MAX_BYTES 400
/*
 * Time for storing a job. The entry waits for RELAY_TIMEOUT_US (gateway_submit.c); the difference
 * covers the tick interval and two network hops.
 */
#define STORE_TIMEOUT_US (220 * 1000)

static void on_committed(void *data, enum lug_status status, gint64 version);

static void send_acks(struct lug_shard *shard, struct shard_job *job, guint64 revision)
{
	for (guint i = 0; i < job->pending_acks->len;) {
		struct shard_ack *ack = &g_array_index(job->pending_acks, struct shard_ack, i);
		struct lug_fleet_worker *worker;

		if (ack->revision > revision) {
			i++;
			continue;
		}
		worker = lug_fleet_find(shard->shared.fleet, ack->worker);
		if (worker && worker->incarnation)
			shard_send_ack(shard, &worker->route, &ack->id, ack->obsolete);
		g_array_remove_index_fast(job->pending_acks, i);
	}
}

/**
 * shard_note_run - append a run to a list that is logged in one line
 * @runs: list; "..." stands for further runs once it is full
 * @id: run
 * @worker: worker
 * @outcome: outcome, NULL for a start
 * @after_us: time since the job was accepted, ignored for a start
 *
 * A run is written as OCCURRENCE.STEP.INDEX#RUN>WORKER, followed by :OUTCOME+TIME for an outcome.
 */
void shard_note_run(GString *runs, const struct lug_run_id *id, const char *worker,
		    const char *outcome, gint64 after_us)
{
	if (runs->len > RUN_LIST_MAX_BYTES)
		return;
	g_string_append_printf(runs, "%s%u.%u.%u#%u>%s", runs->len ? "," : "", id->occurrence,
			       id->step, id->index, id->run, worker);
	if (outcome)
		g_string_append_printf(runs, ":%s+%" G_GINT64_FORMAT "ms", outcome,
				       after_us / 1000);
	if (runs->len > RUN_LIST_MAX_BYTES)
		g_string_append(runs, ",...");
}

/*
 * Appends a start. For a second or later run, <HOW@WORKER+AGE follows: how the run before has ended
 * and for how long this owner has known that, or <stored if a former owner has stored it.
 */
static void note_start(GString *runs, const struct shard_task *task, const struct lug_run_id *id,
		       gint64 now_us)
{
	const struct shard_former_run *former = &task->former;

	shard_note_run(runs, id, task->worker, NULL, 0);
	if (id->run == 1 || runs->len > RUN_LIST_MAX_BYTES)
		return;
	if (former->how)
		g_string_append_printf(runs, "<%s@%s+%" G_GINT64_FORMAT "ms", former->how,
				       former->worker, (now_us - former->ended_us) / 1000);
	else
		g_string_append(runs, "<stored");
}

/**
 * shard_log_run_list - log the runs of a list, if there are any, and empty it
 */
void shard_log_run_list(const struct lug_shard *shard, const struct shard_job *job,
			const char *event, GString *runs)
{
	if (runs->len)
		lug_info(shard->shared.ctx, event, "job", job->workflow->id, "shard", shard->name,
			 "runs", runs->str);
	g_string_truncate(runs, 0);
}

/*
 * Returns a claim that was not sent to waiting, if its worker's zone was evacuated since. The next
 * transaction stores that.
 */
static gboolean return_evacuated_claim(struct lug_shard *shard, struct shard_job *job,
				       struct shard_task *task, const struct lug_run_id *id)
{
	const struct lug_fleet_worker *worker = lug_fleet_find(shard->shared.fleet, task->worker);

	if (!worker || !lug_fleet_is_evacuated(worker, shard_evacuation(shard)))
		return FALSE;
	shard_log_run(shard, "claim_returned", id, task->worker, "reason", "the zone is evacuated");
	shard_note_former_run(task, "returned", lug_now_us());
	shard_release_claim(shard, job, task, &job->workflow->steps[id->step]);
	shard_job_mark_changed(shard, job);
	return TRUE;
}

static void send_starts(struct lug_shard *shard, struct shard_job *job, guint64 revision,
			gint64 now_us)
{
	GString *runs = g_string_new(NULL);

	for (guint k = 0; k < job->occurrences->len; k++) {
		struct shard_occurrence *occ = g_ptr_array_index(job->occurrences, k);

		for (guint32 s = 0; s < job->workflow->n_steps; s++)
			for (guint32 i = job->first_task[s]; i < job->first_task[s + 1]; i++) {
				struct shard_task *task = &occ->tasks[i];
				struct lug_run_id id;

				/* Started before, not yet committed, or by an earlier owner. */
				if (task->state != SHARD_TASK_CLAIMED || task->start_seq ||
				    task->claim_revision > revision ||
				    task->shard_epoch != lug_shard_epoch(shard))
					continue;
				shard_task_run_id(job, occ, s, i - job->first_task[s], &id);
				if (return_evacuated_claim(shard, job, task, &id))
					continue;
				shard_send_start(shard, job, task, &id, now_us);
				note_start(runs, task, &id, now_us);
			}
	}
	shard_log_run_list(shard, job, "runs_started", runs);
	g_string_free(runs, TRUE);
}

static void close_job(struct lug_shard *shard, struct shard_job *job, gint64 now_us)
{
	struct shard_ended *ended = g_new0(struct shard_ended, 1);
	GArray *waiters = job->cancel_waiters;

	ended->state = job->end_state;
	ended->ended_us = now_us;
	if (job->expired)
		g_free(ended);
	else
		g_hash_table_insert(shard->ended_jobs, g_strdup(job->workflow->id), ended);
	lug_info(shard->shared.ctx, job->expired ? "withheld_job_removed" : "job_ended", "job",
		 job->workflow->id, "queue", job->workflow->queue, "state",
		 lug_workflow_state_name(job->end_state));
	/* shard_job_free() would notify the waiters with LUG_UNKNOWN. */
	job->cancel_waiters = g_array_new(FALSE, FALSE, sizeof(struct shard_waiter));
	shard_job_remove(shard, job);
	shard_notify_waiters(waiters, LUG_OK);
	g_array_unref(waiters);
}

/**
 * shard_log_runs - log the refused and ended runs of a job since the last call
 */
void shard_log_runs(const struct lug_shard *shard, struct shard_job *job)
{
	shard_log_run_list(shard, job, "runs_refused", job->refused_runs);
	shard_log_run_list(shard, job, "runs_ended", job->ended_runs);
	job->has_incomplete_run = FALSE;
}

static void drop_job(struct lug_shard *shard, struct shard_job *job)
{
	shard_log_runs(shard, job);
	shard_release_job_claims(shard, job);
	shard_job_remove(shard, job);
}

/*
 * Drops the job and its claims. A conflict means that the same job was stored before, by an
 * earlier attempt; its row is then read.
 */
static void on_store_failed(struct lug_shard *shard, struct shard_job *job, enum lug_status status)
{
	char *id = g_strdup(job->workflow->id);
	gint64 first_us = job->first_us;

	if (status != LUG_CONFLICT)
		shard_admit_all(shard, lug_now_us());
	shard_notify_waiters(job->store_waiters, status == LUG_CONFLICT ? LUG_OK : status);
	drop_job(shard, job);
	if (status == LUG_CONFLICT)
		shard_read_job_row(shard, id, FALSE, first_us);
	else
		lug_warn(shard->shared.ctx, "job_not_stored", "job", id, "status",
			 lug_status_name(status));
	g_free(id);
}

/*
 * The table service does not accept the job's state. The job is given up, as it would never be
 * stored, and the shard serves the others. Its final state is short; if that is not accepted
 * either, the job is left to the next owner.
 */
static void on_state_refused(struct lug_shard *shard, struct shard_job *job)
{
	gboolean ended = job->end_state != LUG_WORKFLOW_UNKNOWN;

	lug_warn(shard->shared.ctx, "job_state_refused", "job", job->workflow->id, "shard",
		 shard->name, "remedy",
		 ended ? "check platform.row in the settings"
		       : "submit it again as several smaller jobs");
	if (ended)
		drop_job(shard, job);
	else
		shard_set_end_state(shard, job, LUG_WORKFLOW_FAILED);
}

static void on_job_stored(struct lug_shard *shard, struct shard_job *job, gint64 version)
{
	lug_info(shard->shared.ctx, "job_stored", "job", job->workflow->id, "shard", shard->name);
	job->row_version = version;
	g_clear_pointer(&job->unstored_body, g_free);
	shard_notify_waiters(job->store_waiters, LUG_OK);
}

static void on_committed(void *data, enum lug_status status, gint64 version)
{
	struct shard_ref *ref = data;
	struct lug_shard *shard = ref->shard;
	struct shard_job *job;
	gint64 now_us = lug_now_us();

	if (!shard_ref_is_valid(ref)) {
		g_free(ref);
		return;
	}
	shard->jobs_in_flight--;
	job = g_hash_table_lookup(shard->jobs, ref->job_id);
	g_free(ref);
	lug_shard_wake(shard);
	if (!job)
		return;
	job->commit_in_flight = FALSE;
	if (job->unstored_body && status != LUG_OK) {
		on_store_failed(shard, job, status);
		return;
	}
	if (status == LUG_CONFLICT) {
		lug_warn(shard->shared.ctx, "job_dropped", "job", job->workflow->id, "reason",
			 "its row is gone: the job has already ended");
		drop_job(shard, job);
		return;
	}
	if (status == LUG_BAD_INPUT)
		on_state_refused(shard, job);
	if (status != LUG_OK)
		return;
	/* A commit of a job that was stored before deletes the inbox row. */
	if (job->unstored_body)
		on_job_stored(shard, job, version);
	else
		job->in_inbox = FALSE;
	job->committed_revision = job->sent_revision;
	/* Submissions of a withheld job wait until its release is stored. */
	if (job->committed_revision >= job->release_revision)
		shard_notify_waiters(job->store_waiters, LUG_OK);
	send_acks(shard, job, job->committed_revision);
	/* LUG_WORKFLOW_UNKNOWN: not ended. */
	if (job->end_state != LUG_WORKFLOW_UNKNOWN && job->committed_revision == job->revision) {
		close_job(shard, job, now_us);
		return;
	}
	/* The next transaction ends the job, which was cancelled or given up meanwhile. */
	if (job->end_state == LUG_WORKFLOW_UNKNOWN)
		send_starts(shard, job, job->committed_revision, now_us);
}

static void delete_live_rows(struct lug_writer_op *op, const struct shard_job *job)
{
	lug_txn_delete(&op->txn, SHARD_LIVE_TABLE, job->workflow->id);
	lug_txn_delete(&op->txn, SHARD_STATE_TABLE, job->workflow->id);
}

/*
 * Removes a withheld job. After a removal of unknown outcome the client may have returned and its
 * entry may have stored the job anew, so the row has to be the one that was read.
 */
static void delete_expired_rows(struct lug_writer_op *op, const struct shard_job *job)
{
	if (job->committed_revision)
		lug_txn_check(&op->txn, SHARD_LIVE_TABLE, job->workflow->id, job->row_version);
	delete_live_rows(op, job);
}

static void put_ended_rows(struct lug_writer_op *op, const struct shard_job *job)
{
	JsonObject *row = json_object_new();
	char *cancel_key;

	json_object_set_string_member(row, "state", lug_workflow_state_name(job->end_state));
	json_object_set_string_member(row, "queue", job->workflow->queue);
	lug_txn_put(&op->txn, SHARD_ENDED_TABLE, job->workflow->id, row);
	delete_live_rows(op, job);
	if (job->cancel_in_inbox) {
		cancel_key = shard_cancel_key(job->workflow->id);
		lug_txn_delete(&op->txn, SHARD_INBOX_TABLE, cancel_key);
		g_free(cancel_key);
	}
	json_object_unref(row);
}

static char *encode_state(struct lug_shard *shard, struct shard_job *job)
{
	guint before = job->checkpoints_left_out;
	char *text = shard_row_encode(job, shard_row_max_bytes(shard));
	char count[16];

	if (job->checkpoints_left_out && !before) {
		g_snprintf(count, sizeof(count), "%u", job->checkpoints_left_out);
		lug_warn(shard->shared.ctx, "checkpoints_not_stored", "job", job->workflow->id,
			 "count", count, "reason", "the job's row has no room for them");
	}
	return text;
}

static void append_job_commit(struct lug_shard *shard, struct shard_job *job, gint64 now_us)
{
	struct lug_writer_op *op =
		lug_writer_op_new(on_committed, shard_ref_new(shard, job->workflow->id));
	char *text;

	/* LUG_WORKFLOW_UNKNOWN: not ended. */
	if (job->expired) {
		delete_expired_rows(op, job);
	} else if (job->end_state != LUG_WORKFLOW_UNKNOWN) {
		put_ended_rows(op, job);
	} else {
		text = encode_state(shard, job);
		lug_txn_put_text(&op->txn, SHARD_STATE_TABLE, job->workflow->id, text);
		g_free(text);
	}
	if (job->unstored_body) {
		op->deadline_us = now_us + STORE_TIMEOUT_US;
		shard_check_not_stored(&op->txn, job->workflow->id);
		if (job->end_state == LUG_WORKFLOW_UNKNOWN) {
			lug_txn_put_text(&op->txn, SHARD_LIVE_TABLE, job->workflow->id,
					 job->unstored_body);
			/* The inbox row lets the owner find the job if the outcome is unknown. */
			lug_txn_put_text(&op->txn, SHARD_INBOX_TABLE, job->workflow->id, "{}");
		}
	} else {
		/* The first commit requires that the job's row is unchanged. */
		if (!job->committed_revision)
			lug_txn_check(&op->txn, SHARD_LIVE_TABLE, job->workflow->id,
				      job->row_version);
		if (job->in_inbox)
			lug_txn_delete(&op->txn, SHARD_INBOX_TABLE, job->workflow->id);
	}
	/*
	 * Runs that end as LUG_RUN_DONE are collected, about ten a log line. Another outcome, a
	 * refused start or the end of the job is logged at once.
	 */
	if (job->has_incomplete_run || job->refused_runs->len ||
	    job->end_state != LUG_WORKFLOW_UNKNOWN || job->ended_runs->len > RUN_LIST_MAX_BYTES / 2)
		shard_log_runs(shard, job);
	job->sent_revision = job->revision;
	job->commit_in_flight = TRUE;
	shard->jobs_in_flight++;
	lug_writer_append(shard->writer, op);
}

/**
 * shard_commit_changes - store all changes since the last transaction
 * @shard: shard
 * @now_us: current time
 *
 * Does nothing while a transaction is in flight. All changed jobs are submitted together, but for
 * those that wait for the stops of their runs: what has ended them is stored with their end.
 */
void shard_commit_changes(struct lug_shard *shard, gint64 now_us)
{
	if (shard->jobs_in_flight)
		return;
	SHARD_FOREACH_JOB(shard, job)
	{
		if (job->revision != job->committed_revision && !job->commit_in_flight &&
		    !shard_awaits_stops(job))
			append_job_commit(shard, job, now_us);
	}
	lug_writer_flush(shard->writer, now_us);
}

/**
 * shard_set_end_state - set a job's final state, unless it has one; submitters see it after the
 * commit that stores it
 */
void shard_set_end_state(struct lug_shard *shard, struct shard_job *job,
			 enum lug_workflow_state state)
{
	if (job->end_state != LUG_WORKFLOW_UNKNOWN)
		return;
	job->end_state = state;
	shard_job_mark_changed(shard, job);
}
