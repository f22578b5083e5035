#include "workflow/shard_priv.h"

#include <string.h>

/* Longest list of runs in one line, bytes. */
#define NOTES_MAX 400
/* Told before the entry that waits gives up; ticks and two hops lie between. */
#define STORE_WAIT_US (220 * 1000)

static void on_committed(void *data, enum lug_status status, gint64 version);

static void send_acks(struct lug_shard *shard, struct shard_job *entry, guint64 gen)
{
	for (guint i = 0; i < entry->acks->len;) {
		struct shard_ack *ack = &g_array_index(entry->acks, struct shard_ack, i);
		struct lug_fleet_worker *worker;

		if (ack->gen > gen) {
			i++;
			continue;
		}
		worker = lug_fleet_find(shard->env.fleet, ack->worker);
		if (worker && worker->incarnation)
			shard_send_ack(shard, &worker->route, &ack->id);
		g_array_remove_index_fast(entry->acks, i);
	}
}

/**
 * shard_note - note a run for one of the job's lines in the log
 * @runs: what the line tells so far; more than it can hold is told as "..."
 * @id: run
 * @worker: worker
 * @outcome: what came of it, NULL for a start
 * @after_us: time since the job was accepted, told with an outcome
 *
 * Each run is OCCURRENCE.STEP.INDEX#RUN>WORKER, and :OUTCOME+TIME.
 */
void shard_note(GString *runs, const struct lug_run_id *id, const char *worker, const char *outcome,
		gint64 after_us)
{
	if (runs->len > NOTES_MAX)
		return;
	g_string_append_printf(runs, "%s%u.%u.%u#%u>%s", runs->len ? "," : "", id->occurrence,
			       id->step, id->index, id->run, worker);
	if (outcome)
		g_string_append_printf(runs, ":%s+%" G_GINT64_FORMAT "ms", outcome,
				       after_us / 1000);
	if (runs->len > NOTES_MAX)
		g_string_append(runs, ",...");
}

static void log_notes(const struct lug_shard *shard, const struct shard_job *entry,
		      const char *event, GString *runs)
{
	if (runs->len)
		lug_info(shard->env.ctx, event, "job", entry->flow->id, "shard", shard->name,
			 "runs", runs->str);
	g_string_truncate(runs, 0);
}

static void send_starts(struct lug_shard *shard, struct shard_job *entry, guint64 gen,
			gint64 now_us)
{
	GString *runs = g_string_new(NULL);

	for (guint k = 0; k < entry->occurrences->len; k++) {
		struct shard_occurrence *occ = g_ptr_array_index(entry->occurrences, k);

		for (guint32 s = 0; s < entry->flow->n_steps; s++)
			for (guint32 i = entry->first[s]; i < entry->first[s + 1]; i++) {
				struct shard_task *task = &occ->tasks[i];
				struct lug_run_id id;

				if (task->state != SHARD_TASK_CLAIMED || task->seq ||
				    task->claim_gen > gen ||
				    task->shard_epoch != lug_shard_epoch(shard))
					continue;
				shard_task_id(entry, occ, s, i - entry->first[s], &id);
				shard_send_start(shard, entry, task, &id, now_us);
				shard_note(runs, &id, task->worker, NULL, 0);
			}
	}
	log_notes(shard, entry, "runs_started", runs);
	g_string_free(runs, TRUE);
}

static void stop_all(struct lug_shard *shard, struct shard_job *entry)
{
	for (guint k = 0; k < entry->occurrences->len; k++) {
		struct shard_occurrence *occ = g_ptr_array_index(entry->occurrences, k);

		for (guint32 s = 0; s < entry->flow->n_steps; s++)
			for (guint32 i = entry->first[s]; i < entry->first[s + 1]; i++) {
				struct shard_task *task = &occ->tasks[i];
				struct lug_fleet_worker *worker;
				struct lug_run_id id;

				if (task->state != SHARD_TASK_CLAIMED)
					continue;
				worker = lug_fleet_find(shard->env.fleet, task->worker);
				shard_task_id(entry, occ, s, i - entry->first[s], &id);
				if (worker)
					shard_send_stop(shard, worker, &id);
				shard_unclaim(shard, entry, task, &entry->flow->steps[s]);
			}
	}
}

static void close_job(struct lug_shard *shard, struct shard_job *entry, gint64 now_us)
{
	struct shard_ended *ended = g_new0(struct shard_ended, 1);
	GArray *waiters = entry->waiters;

	ended->state = entry->end;
	ended->at_us = now_us;
	g_hash_table_insert(shard->ended, g_strdup(entry->flow->id), ended);
	lug_info(shard->env.ctx, "job_ended", "job", entry->flow->id, "queue", entry->flow->queue,
		 "state", lug_workflow_state_name(entry->end));
	stop_all(shard, entry);
	entry->waiters = g_array_new(FALSE, FALSE, sizeof(struct shard_waiter));
	shard_job_remove(shard, entry);
	shard_notify(waiters, LUG_OK);
	g_array_unref(waiters);
}

/**
 * shard_log_runs - tell in the log what became of a job's runs since it was told last
 */
void shard_log_runs(const struct lug_shard *shard, struct shard_job *entry)
{
	log_notes(shard, entry, "runs_refused", entry->refusals);
	log_notes(shard, entry, "runs_ended", entry->ends);
	entry->failed = FALSE;
}

static void drop(struct lug_shard *shard, struct shard_job *entry)
{
	shard_log_runs(shard, entry);
	shard_unclaim_all(shard, entry);
	shard_job_remove(shard, entry);
}

/*
 * A job that could not be stored is forgotten with its claims. A row that was there before is
 * this job, stored earlier.
 */
static void not_stored(struct lug_shard *shard, struct shard_job *entry, enum lug_status status)
{
	char *job = g_strdup(entry->flow->id);

	shard_notify(entry->storers, status == LUG_CONFLICT ? LUG_OK : status);
	drop(shard, entry);
	if (status == LUG_CONFLICT)
		shard_read_job(shard, job, FALSE);
	else
		lug_warn(shard->env.ctx, "job_not_stored", "job", job, "status",
			 lug_status_name(status));
	g_free(job);
}

static void stored(struct lug_shard *shard, struct shard_job *entry, gint64 version)
{
	lug_info(shard->env.ctx, "job_stored", "job", entry->flow->id, "shard", shard->name);
	entry->version = version;
	g_clear_pointer(&entry->body, g_free);
	shard_notify(entry->storers, LUG_OK);
}

static void on_committed(void *data, enum lug_status status, gint64 version)
{
	struct shard_ref *ref = data;
	struct lug_shard *shard = ref->shard;
	struct shard_job *entry;
	gint64 now_us = lug_now_us();

	if (!shard_ref_valid(ref)) {
		g_free(ref);
		return;
	}
	shard->in_flight--;
	entry = g_hash_table_lookup(shard->jobs, ref->job);
	g_free(ref);
	lug_shard_wake(shard);
	if (!entry)
		return;
	entry->in_flight = FALSE;
	if (entry->body && status != LUG_OK) {
		not_stored(shard, entry, status);
		return;
	}
	if (status == LUG_CONFLICT) {
		lug_warn(shard->env.ctx, "job_dropped", "job", entry->flow->id, "reason",
			 "its row is gone: it has ended before");
		drop(shard, entry);
		return;
	}
	if (status != LUG_OK)
		return;
	if (entry->body)
		stored(shard, entry, version);
	else
		entry->in_inbox = FALSE;
	entry->committed_gen = entry->sent_gen;
	send_acks(shard, entry, entry->committed_gen);
	if (entry->end != LUG_WORKFLOW_UNKNOWN && entry->committed_gen == entry->gen) {
		close_job(shard, entry, now_us);
		return;
	}
	send_starts(shard, entry, entry->committed_gen, now_us);
}

static void put_ended(struct lug_op *op, const struct shard_job *entry)
{
	JsonObject *row = json_object_new();

	json_object_set_string_member(row, "state", lug_workflow_state_name(entry->end));
	json_object_set_string_member(row, "queue", entry->flow->queue);
	lug_txn_put(&op->txn, SHARD_ENDED_TABLE, entry->flow->id, row);
	lug_txn_delete(&op->txn, SHARD_LIVE_TABLE, entry->flow->id);
	lug_txn_delete(&op->txn, SHARD_RUNS_TABLE, entry->flow->id);
	json_object_unref(row);
}

static void submit(struct lug_shard *shard, struct shard_job *entry, gint64 now_us)
{
	struct lug_op *op = lug_op_new(on_committed, shard_ref_new(shard, entry->flow->id));
	char *text;

	if (entry->end != LUG_WORKFLOW_UNKNOWN) {
		put_ended(op, entry);
	} else {
		text = shard_row_encode(entry);
		lug_txn_put_text(&op->txn, SHARD_RUNS_TABLE, entry->flow->id, text);
		g_free(text);
	}
	if (entry->body) {
		op->deadline_us = now_us + STORE_WAIT_US;
		lug_txn_check(&op->txn, SHARD_LIVE_TABLE, entry->flow->id, 0);
		lug_txn_check(&op->txn, SHARD_ENDED_TABLE, entry->flow->id, 0);
		if (entry->end == LUG_WORKFLOW_UNKNOWN) {
			lug_txn_put_text(&op->txn, SHARD_LIVE_TABLE, entry->flow->id, entry->body);
			/* Where the outcome is in doubt, the job is found here. */
			lug_txn_put_text(&op->txn, SHARD_INBOX_TABLE, entry->flow->id, "{}");
		}
	} else {
		if (!entry->committed_gen)
			lug_txn_check(&op->txn, SHARD_LIVE_TABLE, entry->flow->id, entry->version);
		if (entry->in_inbox)
			lug_txn_delete(&op->txn, SHARD_INBOX_TABLE, entry->flow->id);
	}
	/* Runs that are done are told together, up to some ten a line. */
	if (entry->failed || entry->refusals->len || entry->end != LUG_WORKFLOW_UNKNOWN ||
	    entry->ends->len > NOTES_MAX / 2)
		shard_log_runs(shard, entry);
	entry->sent_gen = entry->gen;
	entry->in_flight = TRUE;
	shard->in_flight++;
	lug_writer_append(shard->writer, op);
}

/**
 * shard_commit - store what has changed since the last transaction
 * @shard: shard
 * @now_us: present time
 *
 * All changed jobs go out together, once the former transaction is answered.
 */
void shard_commit(struct lug_shard *shard, gint64 now_us)
{
	if (shard->in_flight)
		return;
	SHARD_FOREACH_JOB(shard, entry)
	{
		if (entry->gen != entry->committed_gen && !entry->in_flight)
			submit(shard, entry, now_us);
	}
	lug_writer_flush(shard->writer, now_us);
}

/**
 * shard_finish - decide a job's final state; it is shown after the commit
 */
void shard_finish(struct lug_shard *shard, struct shard_job *entry, enum lug_workflow_state state)
{
	if (entry->end != LUG_WORKFLOW_UNKNOWN)
		return;
	entry->end = state;
	shard_job_changed(shard, entry);
}
