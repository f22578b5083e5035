#include "workflow/shard_priv.h"

#include <string.h>

#define SCAN_MAX_ROWS 500
#define SCAN_RETRY_US (100 * 1000)
/* Entries notify the owner of new jobs; reading the inbox covers lost notifications. */
#define INBOX_INTERVAL_US (1000 * 1000)
#define INBOX_MAX_ROWS 200

static void scan_next_rows(struct lug_shard *shard);

static void load_job_row(struct lug_shard *shard, const struct lug_row *row, gint64 now_us)
{
	struct lug_workflow *workflow;

	if (g_hash_table_contains(shard->jobs, row->key))
		return;
	workflow = lug_workflow_decode(row->key, row->data);
	if (!workflow) {
		lug_warn(shard->shared.ctx, "row_skipped", "table", SHARD_LIVE_TABLE, "key",
			 row->key, "reason", "not a valid job");
		return;
	}
	shard_job_new(shard, workflow, row->version, now_us);
}

/* Reserves resources on the workers for which loaded tasks are claimed. */
static void reserve_loaded_claims(struct lug_shard *shard, struct shard_job *job, gint64 now_us)
{
	for (guint k = 0; k < job->occurrences->len; k++) {
		struct shard_occurrence *occ = g_ptr_array_index(job->occurrences, k);

		for (guint32 t = 0; t < job->first_task[job->workflow->n_steps]; t++) {
			struct shard_task *task = &occ->tasks[t];
			struct lug_fleet_worker *worker;
			struct lug_resources size;

			if (task->state != SHARD_TASK_CLAIMED)
				continue;
			worker = lug_fleet_get(shard->shared.fleet, task->worker, now_us);
			shard_step_size(shard_task_step(job, t, NULL), &size);
			shard_index_claim(shard, task, now_us);
			lug_fleet_claim(worker, &size);
			lug_fleet_add_unconfirmed(worker, shard_task_step(job, t, NULL));
		}
	}
}

static void load_state_row(struct lug_shard *shard, const struct lug_row *row, gint64 now_us)
{
	struct shard_job *job = g_hash_table_lookup(shard->jobs, row->key);

	/* The job is not live, or its state is already loaded. */
	if (!job || job->occurrences->len || job->next_occurrence)
		return;
	if (!shard_row_decode(job, row->data))
		lug_warn(shard->shared.ctx, "row_damaged", "table", SHARD_STATE_TABLE, "key",
			 row->key, "reason", "not a valid state of this job");
	reserve_loaded_claims(shard, job, now_us);
}

static void log_loaded(struct lug_shard *shard)
{
	char jobs[16];
	char epoch[24];

	g_snprintf(jobs, sizeof(jobs), "%u", g_hash_table_size(shard->jobs));
	g_snprintf(epoch, sizeof(epoch), "%" G_GUINT64_FORMAT, lug_shard_epoch(shard));
	lug_info(shard->shared.ctx, "shard_loaded", "shard", shard->name, "epoch", epoch, "jobs",
		 jobs);
}

static void on_rows(void *data, enum lug_status status, const struct lug_row *rows, guint n_rows,
		    gboolean more)
{
	struct shard_ref *ref = data;
	struct lug_shard *shard = ref->shard;
	gint64 now_us = lug_now_us();
	gboolean valid = shard_ref_is_valid(ref);

	g_free(ref);
	if (!valid)
		return;
	shard->scanning = FALSE;
	if (status != LUG_OK) {
		shard->scan_retry_us = now_us + SCAN_RETRY_US;
		return;
	}
	for (guint i = 0; i < n_rows; i++) {
		if (shard->load_phase == SHARD_LOAD_LIVE)
			load_job_row(shard, &rows[i], now_us);
		else
			load_state_row(shard, &rows[i], now_us);
	}
	g_clear_pointer(&shard->scan_after, g_free);
	if (more && n_rows) {
		shard->scan_after = g_strdup(rows[n_rows - 1].key);
		scan_next_rows(shard);
		return;
	}
	shard->load_phase++;
	if (shard->load_phase == SHARD_LOAD_STATES) {
		scan_next_rows(shard);
		return;
	}
	log_loaded(shard);
	shard->event_fn(shard->event_data, shard->number, LUG_SHARD_LOADED);
	lug_shard_wake(shard);
}

static void scan_next_rows(struct lug_shard *shard)
{
	const char *table =
		shard->load_phase == SHARD_LOAD_LIVE ? SHARD_LIVE_TABLE : SHARD_STATE_TABLE;

	shard->scanning = TRUE;
	lug_store_scan(shard->store, table, "", shard->scan_after, SCAN_MAX_ROWS, on_rows,
		       shard_ref_new(shard, ""));
}

/**
 * shard_load_start - start reading the shard's live jobs and their states
 */
void shard_load_start(struct lug_shard *shard, gint64 now_us)
{
	(void)now_us;
	shard->load_phase = SHARD_LOAD_LIVE;
	scan_next_rows(shard);
}

/**
 * shard_load_tick - retry a failed read
 */
void shard_load_tick(struct lug_shard *shard, gint64 now_us)
{
	if (shard->load_phase == SHARD_LOAD_NONE || shard->load_phase == SHARD_LOAD_DONE ||
	    shard->scanning || now_us < shard->scan_retry_us)
		return;
	scan_next_rows(shard);
}

static void ignore_cancel(void *data, enum lug_status status)
{
	(void)data;
	(void)status;
}

static void on_removed(void *data, enum lug_status status, gint64 version)
{
	(void)data;
	(void)status;
	(void)version;
}

static void remove_inbox_row(struct lug_shard *shard, const char *key)
{
	struct lug_writer_op *op = lug_writer_op_new(on_removed, shard);

	lug_txn_delete(&op->txn, SHARD_INBOX_TABLE, key);
	lug_writer_submit(shard->writer, op, lug_now_us());
}

static char *cancel_key(const char *id)
{
	return g_strconcat(id, SHARD_CANCEL_SUFFIX, NULL);
}

static void apply_inbox_cancel(struct lug_shard *shard, const char *id)
{
	char *key = cancel_key(id);

	if (lug_shard_cancel_job(shard, id, ignore_cancel, NULL, lug_now_us()))
		lug_info(shard->shared.ctx, "job_cancelled", "job", id, "source", "inbox");
	remove_inbox_row(shard, key);
	g_free(key);
}

/* Adds a job whose row was read because this owner did not have it. */
static void add_read_job(struct lug_shard *shard, const struct lug_row *row, gboolean cancel)
{
	lug_info(shard->shared.ctx, "job_found", "job", row->key, "shard", shard->name, "source",
		 cancel ? "inbox, with its cancellation" : "inbox");
	load_job_row(shard, row, lug_now_us());
	/* Its row can't be decoded, which reading it again would not change. */
	if (!cancel && !g_hash_table_contains(shard->jobs, row->key)) {
		remove_inbox_row(shard, row->key);
		return;
	}
	if (cancel)
		apply_inbox_cancel(shard, row->key);
	else
		shard_begin_due_occurrences(shard, lug_now_us());
	lug_shard_wake(shard);
}

static void on_job_row(void *data, enum lug_status status, const struct lug_row *rows, guint n_rows,
		       gboolean more)
{
	struct shard_ref *ref = data;
	struct lug_shard *shard = ref->shard;
	/* The scan is by prefix: its first row may be another job's. */
	gboolean found = n_rows && !strcmp(rows[0].key, ref->job_id);

	(void)more;
	if (shard_ref_is_valid(ref) && status == LUG_OK) {
		if (found) {
			add_read_job(shard, &rows[0], ref->cancel);
		} else {
			/* There is no such live job: its inbox rows are obsolete. */
			remove_inbox_row(shard, ref->job_id);
			if (ref->cancel)
				apply_inbox_cancel(shard, ref->job_id);
		}
	}
	g_free(ref);
}

/**
 * shard_read_job_row - read the row of a job that this owner does not have, and add the job
 * @shard: shard
 * @id: job
 * @cancel: cancel the job before any of its tasks starts
 */
void shard_read_job_row(struct lug_shard *shard, const char *id, gboolean cancel)
{
	struct shard_ref *ref = shard_ref_new(shard, id);

	ref->cancel = cancel;
	lug_store_scan(shard->store, SHARD_LIVE_TABLE, id, NULL, 1, on_job_row, ref);
}

/*
 * The cancellation of an unknown job is applied once the job's row is read. Until then it stays in
 * the inbox, so that it is not lost.
 */
static void handle_inbox_cancel(struct lug_shard *shard, const char *key)
{
	char *id = g_strndup(key, strlen(key) - strlen(SHARD_CANCEL_SUFFIX));

	if (g_hash_table_contains(shard->jobs, id) || g_hash_table_contains(shard->ended_jobs, id))
		apply_inbox_cancel(shard, id);
	else
		shard_read_job_row(shard, id, TRUE);
	g_free(id);
}

static gboolean has_cancel(const struct lug_row *rows, guint n_rows, const char *id)
{
	char *key = cancel_key(id);
	gboolean found = FALSE;

	for (guint i = 0; i < n_rows; i++)
		found = found || !strcmp(rows[i].key, key);
	g_free(key);
	return found;
}

static void on_inbox(void *data, enum lug_status status, const struct lug_row *rows, guint n_rows,
		     gboolean more)
{
	struct shard_ref *ref = data;
	struct lug_shard *shard = ref->shard;
	gboolean valid = shard_ref_is_valid(ref);

	(void)more;
	g_free(ref);
	if (!valid)
		return;
	shard->reading_inbox = FALSE;
	if (status != LUG_OK)
		return;
	for (guint i = 0; i < n_rows; i++) {
		if (g_str_has_suffix(rows[i].key, SHARD_CANCEL_SUFFIX))
			handle_inbox_cancel(shard, rows[i].key);
		else if (g_hash_table_contains(shard->ended_jobs, rows[i].key))
			remove_inbox_row(shard, rows[i].key);
		/* With a cancellation in the inbox, handle_inbox_cancel() reads the job. */
		else if (!g_hash_table_contains(shard->jobs, rows[i].key) &&
			 !has_cancel(rows, n_rows, rows[i].key))
			shard_read_job_row(shard, rows[i].key, FALSE);
	}
}

/**
 * shard_inbox_tick - read jobs and cancellations from the inbox table
 */
void shard_inbox_tick(struct lug_shard *shard, gint64 now_us)
{
	if (shard->reading_inbox || now_us < shard->next_inbox_us)
		return;
	shard->reading_inbox = TRUE;
	shard->next_inbox_us = now_us + lug_jitter(shard->shared.ctx->rng, INBOX_INTERVAL_US);
	lug_store_scan(shard->store, SHARD_INBOX_TABLE, "", NULL, INBOX_MAX_ROWS, on_inbox,
		       shard_ref_new(shard, ""));
}
