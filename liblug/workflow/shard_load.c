#include "workflow/shard_priv.h"

#include <string.h>

#define SCAN_ROWS 500
#define RETRY_US (100 * 1000)
/* An entry tells the owner of a new job at once; the table is read for what was not told. */
#define INBOX_US (1000 * 1000)
#define INBOX_ROWS 200

static void next_scan(struct lug_shard *shard);

static void take_live(struct lug_shard *shard, const struct lug_row *row, gint64 now_us)
{
	struct lug_workflow *flow;

	if (g_hash_table_contains(shard->jobs, row->key))
		return;
	flow = lug_workflow_decode(row->key, row->data);
	if (!flow) {
		lug_warn(shard->env.ctx, "row_skipped", "table", SHARD_LIVE_TABLE, "key", row->key,
			 "reason", "no valid job");
		return;
	}
	shard_job_new(shard, flow, row->version, now_us);
}

static void claim_loaded(struct lug_shard *shard, struct shard_job *entry, gint64 now_us)
{
	for (guint k = 0; k < entry->occurrences->len; k++) {
		struct shard_occurrence *occ = g_ptr_array_index(entry->occurrences, k);

		for (guint32 t = 0; t < entry->first[entry->flow->n_steps]; t++) {
			struct shard_task *task = &occ->tasks[t];
			struct lug_fleet_worker *worker;
			struct lug_resources size;

			if (task->state != SHARD_TASK_CLAIMED)
				continue;
			worker = lug_fleet_get(shard->env.fleet, task->worker, now_us);
			shard_size(shard_step(entry, t, NULL), &size);
			lug_fleet_claim(worker, &size);
			lug_fleet_add_pending(worker, shard_step(entry, t, NULL));
		}
	}
}

static void take_runs(struct lug_shard *shard, const struct lug_row *row, gint64 now_us)
{
	struct shard_job *entry = g_hash_table_lookup(shard->jobs, row->key);

	if (!entry || entry->occurrences->len || entry->next_occurrence)
		return;
	if (!shard_row_decode(entry, row->data))
		lug_warn(shard->env.ctx, "row_damaged", "table", SHARD_RUNS_TABLE, "key", row->key,
			 "reason", "not the state of this job");
	claim_loaded(shard, entry, now_us);
}

static void log_loaded(struct lug_shard *shard)
{
	char jobs[16];
	char epoch[24];

	g_snprintf(jobs, sizeof(jobs), "%u", g_hash_table_size(shard->jobs));
	g_snprintf(epoch, sizeof(epoch), "%" G_GUINT64_FORMAT, lug_shard_epoch(shard));
	lug_info(shard->env.ctx, "shard_loaded", "shard", shard->name, "epoch", epoch, "jobs",
		 jobs);
}

static void on_rows(void *data, enum lug_status status, const struct lug_row *rows, guint n_rows,
		    gboolean more)
{
	struct shard_ref *ref = data;
	struct lug_shard *shard = ref->shard;
	gint64 now_us = lug_now_us();
	gboolean valid = shard_ref_valid(ref);

	g_free(ref);
	if (!valid)
		return;
	shard->scanning = FALSE;
	if (status != LUG_OK) {
		shard->scan_retry_us = now_us + RETRY_US;
		return;
	}
	for (guint i = 0; i < n_rows; i++) {
		if (shard->load == LOAD_LIVE)
			take_live(shard, &rows[i], now_us);
		else
			take_runs(shard, &rows[i], now_us);
	}
	g_clear_pointer(&shard->scan_after, g_free);
	if (more && n_rows) {
		shard->scan_after = g_strdup(rows[n_rows - 1].key);
		next_scan(shard);
		return;
	}
	shard->load++;
	if (shard->load == LOAD_RUNS) {
		next_scan(shard);
		return;
	}
	log_loaded(shard);
	shard->fn(shard->data, shard->number, LUG_SHARD_LOADED);
	lug_shard_wake(shard);
}

static void next_scan(struct lug_shard *shard)
{
	const char *table = shard->load == LOAD_LIVE ? SHARD_LIVE_TABLE : SHARD_RUNS_TABLE;

	shard->scanning = TRUE;
	lug_store_scan(shard->store, table, "", shard->scan_after, SCAN_ROWS, on_rows,
		       shard_ref_new(shard, ""));
}

/**
 * shard_load_start - read the shard's live jobs and their states
 */
void shard_load_start(struct lug_shard *shard, gint64 now_us)
{
	(void)now_us;
	shard->load = LOAD_LIVE;
	next_scan(shard);
}

/**
 * shard_load_tick - go on with a read that found no answer
 */
void shard_load_tick(struct lug_shard *shard, gint64 now_us)
{
	if (shard->load == LOAD_NONE || shard->load == LOAD_DONE || shard->scanning ||
	    now_us < shard->scan_retry_us)
		return;
	next_scan(shard);
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

static void remove_inbox(struct lug_shard *shard, const char *key)
{
	struct lug_op *op = lug_op_new(on_removed, shard);

	lug_txn_delete(&op->txn, SHARD_INBOX_TABLE, key);
	lug_writer_submit(shard->writer, op, lug_now_us());
}

static char *cancel_key(const char *job)
{
	return g_strconcat(job, SHARD_CANCEL_SUFFIX, NULL);
}

static void cancel_now(struct lug_shard *shard, const char *job)
{
	char *key = cancel_key(job);

	if (lug_shard_cancel(shard, job, ignore_cancel, NULL, lug_now_us()))
		lug_info(shard->env.ctx, "job_cancelled", "job", job, "source", "inbox");
	remove_inbox(shard, key);
	g_free(key);
}

static void take_found(struct lug_shard *shard, const struct lug_row *row, gboolean cancel)
{
	lug_info(shard->env.ctx, "job_found", "job", row->key, "shard", shard->name, "source",
		 cancel ? "inbox, with its cancellation" : "inbox");
	take_live(shard, row, lug_now_us());
	if (cancel)
		cancel_now(shard, row->key);
	else
		shard_begin_due(shard, lug_now_us());
	lug_shard_wake(shard);
}

static void on_job_row(void *data, enum lug_status status, const struct lug_row *rows, guint n_rows,
		       gboolean more)
{
	struct shard_ref *ref = data;
	struct lug_shard *shard = ref->shard;
	gboolean found = n_rows && !strcmp(rows[0].key, ref->job);

	(void)more;
	if (shard_ref_valid(ref) && status == LUG_OK) {
		if (found) {
			take_found(shard, &rows[0], ref->cancel);
		} else {
			remove_inbox(shard, ref->job);
			if (ref->cancel)
				cancel_now(shard, ref->job);
		}
	}
	g_free(ref);
}

/**
 * shard_read_job - read the row of a job that this owner does not know
 * @shard: shard
 * @job: id
 * @cancel: cancel the job before any of its tasks starts
 */
void shard_read_job(struct lug_shard *shard, const char *job, gboolean cancel)
{
	struct shard_ref *ref = shard_ref_new(shard, job);

	ref->cancel = cancel;
	lug_store_scan(shard->store, SHARD_LIVE_TABLE, job, NULL, 1, on_job_row, ref);
}

/*
 * The cancellation of a job that the owner does not know yet waits for the job's row: it is
 * taken off only with the job.
 */
static void take_cancel(struct lug_shard *shard, const char *key)
{
	char *job = g_strndup(key, strlen(key) - strlen(SHARD_CANCEL_SUFFIX));

	if (g_hash_table_contains(shard->jobs, job) || g_hash_table_contains(shard->ended, job))
		cancel_now(shard, job);
	else
		shard_read_job(shard, job, TRUE);
	g_free(job);
}

static gboolean has_cancel(const struct lug_row *rows, guint n_rows, const char *job)
{
	char *key = cancel_key(job);
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
	gboolean valid = shard_ref_valid(ref);

	(void)more;
	g_free(ref);
	if (!valid)
		return;
	shard->reading_inbox = FALSE;
	if (status != LUG_OK)
		return;
	for (guint i = 0; i < n_rows; i++) {
		if (g_str_has_suffix(rows[i].key, SHARD_CANCEL_SUFFIX))
			take_cancel(shard, rows[i].key);
		else if (g_hash_table_contains(shard->ended, rows[i].key))
			remove_inbox(shard, rows[i].key);
		else if (!g_hash_table_contains(shard->jobs, rows[i].key) &&
			 !has_cancel(rows, n_rows, rows[i].key))
			shard_read_job(shard, rows[i].key, FALSE);
	}
}

/**
 * shard_inbox_tick - look for jobs and cancellations that nobody has told the owner
 */
void shard_inbox_tick(struct lug_shard *shard, gint64 now_us)
{
	if (shard->reading_inbox || now_us < shard->next_inbox_us)
		return;
	shard->reading_inbox = TRUE;
	shard->next_inbox_us = now_us + lug_jitter(shard->env.ctx->rng, INBOX_US);
	lug_store_scan(shard->store, SHARD_INBOX_TABLE, "", NULL, INBOX_ROWS, on_inbox,
		       shard_ref_new(shard, ""));
}
