#include "workflow/shard_priv.h"

#include <string.h>

/* Entries notify the owner of new jobs; reading the inbox covers lost notifications. */
#define INBOX_INTERVAL_US (1000 * 1000)
#define INBOX_PAGE_ROWS 200
#define REMOVALS_PER_OP 32

static void ignore_status(void *data, enum lug_status status)
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

/**
 * shard_cancel_key - key of the inbox row that requests a job's cancellation
 *
 * Return: text owned by the caller.
 */
char *shard_cancel_key(const char *id)
{
	return g_strconcat(id, SHARD_CANCEL_SUFFIX, NULL);
}

/**
 * shard_check_not_stored - require that a job was neither stored nor cancelled before
 * @txn: transaction that stores the job
 * @id: job
 */
void shard_check_not_stored(struct lug_txn *txn, const char *id)
{
	char *cancel_key = shard_cancel_key(id);

	/* Version 0: the row does not exist. */
	lug_txn_check(txn, SHARD_LIVE_TABLE, id, 0);
	lug_txn_check(txn, SHARD_ENDED_TABLE, id, 0);
	lug_txn_check(txn, SHARD_INBOX_TABLE, cancel_key, 0);
	g_free(cancel_key);
}

static void remove_cancel(struct lug_shard *shard, const char *id)
{
	char *key = shard_cancel_key(id);

	remove_inbox_row(shard, key);
	g_free(key);
}

/*
 * Cancels a live job. The transaction that stores its final state removes the inbox row: before
 * that, the row is all that a later owner would know of the cancellation.
 */
static void cancel_live_job(struct lug_shard *shard, struct shard_job *job)
{
	const char *id = job->workflow->id;

	if (job->cancel_in_inbox)
		return;
	job->cancel_in_inbox = TRUE;
	lug_shard_cancel_job(shard, id, ignore_status, NULL, lug_now_us());
	lug_info(shard->shared.ctx, "job_cancelled", "job", id, "source", "inbox");
}

/* Adds a job whose row was read because this owner did not have it. */
static void add_read_job(struct lug_shard *shard, const struct lug_row *row,
			 const struct shard_ref *ref)
{
	struct shard_job *job;

	lug_info(shard->shared.ctx, "job_found", "job", row->key, "shard", shard->name, "source",
		 ref->cancel ? "inbox, with its cancellation" : "inbox");
	shard_load_job_row(shard, row, lug_now_us());
	job = g_hash_table_lookup(shard->jobs, row->key);
	/* Its row can't be decoded, which reading it again would not change. */
	if (!job) {
		remove_inbox_row(shard, row->key);
		if (ref->cancel)
			remove_cancel(shard, row->key);
		return;
	}
	/* Another submission may have been refused since the entry's notification. */
	if (ref->accepted)
		shard_release_job(shard, job);
	if (ref->first_us)
		job->first_us = ref->first_us;
	shard_check_found_job(shard, job, lug_now_us());
	if (ref->cancel)
		cancel_live_job(shard, job);
	else
		shard_begin_due_occurrences(shard, lug_now_us());
	lug_shard_wake(shard);
}

static void on_absence_stored(void *data, enum lug_status status, gint64 version)
{
	struct shard_ref *ref = data;
	struct lug_shard *shard = ref->shard;
	struct shard_ended *ended;

	(void)version;
	/* Otherwise the next read of the inbox brings the cancellation again. */
	if (status == LUG_OK && shard_ref_is_valid(ref)) {
		ended = g_new0(struct shard_ended, 1);
		ended->state = LUG_WORKFLOW_UNKNOWN;
		ended->ended_us = lug_now_us();
		g_hash_table_insert(shard->ended_jobs, g_strdup(ref->job_id), ended);
		lug_info(shard->shared.ctx, "job_cancelled", "job", ref->job_id, "source",
			 "inbox, before it was stored");
	}
	g_free(ref);
}

/*
 * Replaces the cancellation of a job that is not stored by a final state, which keeps a transaction
 * of an unknown outcome, or a repeated submission, from storing the job later.
 */
static void store_absence(struct lug_shard *shard, const char *id)
{
	struct lug_writer_op *op = lug_writer_op_new(on_absence_stored, shard_ref_new(shard, id));
	JsonObject *row = json_object_new();
	char *cancel_key = shard_cancel_key(id);

	json_object_set_string_member(row, "state", lug_workflow_state_name(LUG_WORKFLOW_UNKNOWN));
	lug_txn_check(&op->txn, SHARD_LIVE_TABLE, id, 0);
	lug_txn_check(&op->txn, SHARD_ENDED_TABLE, id, 0);
	lug_txn_put(&op->txn, SHARD_ENDED_TABLE, id, row);
	lug_txn_delete(&op->txn, SHARD_INBOX_TABLE, cancel_key);
	lug_writer_submit(shard->writer, op, lug_now_us());
	json_object_unref(row);
	g_free(cancel_key);
}

static void on_ended_row(void *data, enum lug_status status, const struct lug_row *rows,
			 guint n_rows, gboolean more)
{
	struct shard_ref *ref = data;

	(void)more;
	if (shard_ref_is_valid(ref) && status == LUG_OK) {
		/* The scan is by prefix: its first row may be another job's. */
		if (n_rows && !strcmp(rows[0].key, ref->job_id))
			remove_cancel(ref->shard, ref->job_id);
		else
			store_absence(ref->shard, ref->job_id);
	}
	g_free(ref);
}

/* Stores a job whose row an entry has found, and which was removed since, as it had expired. */
static void store_missing_job(const struct shard_ref *ref)
{
	struct shard_waiter waiter = {ignore_status, NULL};
	struct lug_workflow *workflow = lug_workflow_decode_text(ref->job_id, ref->body);
	struct shard_job *job;

	if (!workflow)
		return;
	shard_store_admitted(ref->shard, workflow, ref->body, &waiter, lug_now_us());
	job = g_hash_table_lookup(ref->shard->jobs, ref->job_id);
	if (job && ref->first_us)
		job->first_us = ref->first_us;
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
			add_read_job(shard, &rows[0], ref);
		} else if (ref->body) {
			store_missing_job(ref);
		} else {
			/* There is no such live job: its inbox rows are obsolete. */
			remove_inbox_row(shard, ref->job_id);
			if (ref->cancel)
				lug_store_scan(shard->store, SHARD_ENDED_TABLE, ref->job_id, NULL,
					       1, on_ended_row, shard_ref_new(shard, ref->job_id));
		}
	}
	g_free(ref->body);
	g_free(ref);
}

/**
 * shard_read_job_row - read the row of a job that this owner does not have, and add the job
 * @shard: shard
 * @id: job
 * @cancel: cancel the job before any of its tasks starts
 * @first_us: when it was first submitted, if that submission was refused; 0 otherwise
 */
void shard_read_job_row(struct lug_shard *shard, const char *id, gboolean cancel, gint64 first_us)
{
	struct shard_ref *ref = shard_ref_new(shard, id);

	ref->cancel = cancel;
	ref->first_us = first_us;
	lug_store_scan(shard->store, SHARD_LIVE_TABLE, id, NULL, 1, on_job_row, ref);
}

/**
 * shard_read_accepted_job - read the row of a job that an entry has accepted, and add the job
 * @shard: shard
 * @id: job, which this owner does not have
 * @body: text of the row to store if there is none, "" for none
 *
 * It is not withheld, whatever was refused. Its row may have been removed after the entry had found
 * it, if the job was withheld and expired.
 */
void shard_read_accepted_job(struct lug_shard *shard, const char *id, const char *body)
{
	struct shard_ref *ref = shard_ref_new(shard, id);

	ref->accepted = TRUE;
	ref->first_us = lug_admission_admit(shard->admission, id);
	if (*body && shard->shared.ctx->settings->schedule_overload)
		ref->body = g_strdup(body);
	lug_store_scan(shard->store, SHARD_LIVE_TABLE, id, NULL, 1, on_job_row, ref);
}

static char *job_of_cancel_key(const char *key)
{
	return g_strndup(key, strlen(key) - strlen(SHARD_CANCEL_SUFFIX));
}

/**
 * shard_load_inbox_row - apply an inbox row that cancels one of the jobs just loaded
 * @shard: shard that is being loaded
 * @key: key of the row; rows of any other kind are left to shard_inbox_tick()
 */
void shard_load_inbox_row(struct lug_shard *shard, const char *key)
{
	struct shard_job *job;
	char *id;

	if (!g_str_has_suffix(key, SHARD_CANCEL_SUFFIX))
		return;
	id = job_of_cancel_key(key);
	job = g_hash_table_lookup(shard->jobs, id);
	if (job)
		cancel_live_job(shard, job);
	g_free(id);
}

/*
 * The cancellation of an unknown job is applied once the job's row is read. Until then it stays in
 * the inbox, so that it is not lost.
 */
static void handle_inbox_cancel(struct lug_shard *shard, const char *key)
{
	char *id = job_of_cancel_key(key);
	struct shard_job *job = g_hash_table_lookup(shard->jobs, id);

	if (job)
		cancel_live_job(shard, job);
	else if (g_hash_table_contains(shard->ended_jobs, id))
		remove_inbox_row(shard, key);
	else
		shard_read_job_row(shard, id, TRUE, 0);
	g_free(id);
}

static gboolean has_cancel(const struct lug_row *rows, guint n_rows, const char *id)
{
	char *key = shard_cancel_key(id);
	gboolean found = FALSE;

	for (guint i = 0; i < n_rows; i++)
		found = found || !strcmp(rows[i].key, key);
	g_free(key);
	return found;
}

/*
 * Whether the live row suffices to find the job. The row of a job with changes to store is removed
 * together with them.
 */
static gboolean is_inbox_row_obsolete(const struct shard_job *job)
{
	return !job->unstored_body && !job->commit_in_flight &&
	       job->revision == job->committed_revision;
}

/* Adds the deletion of an inbox row to @op, and submits it when it is full. */
static struct lug_writer_op *add_removal(struct lug_shard *shard, struct lug_writer_op *op,
					 const char *key)
{
	if (!op)
		op = lug_writer_op_new(on_removed, shard);
	lug_txn_delete(&op->txn, SHARD_INBOX_TABLE, key);
	if (op->txn.puts->len < REMOVALS_PER_OP)
		return op;
	lug_writer_append(shard->writer, op);
	return NULL;
}

static void apply_inbox_rows(struct lug_shard *shard, const struct lug_row *rows, guint n_rows)
{
	struct lug_writer_op *op = NULL;

	for (guint i = 0; i < n_rows; i++) {
		const char *key = rows[i].key;
		const struct shard_job *job = g_hash_table_lookup(shard->jobs, key);

		if (g_str_has_suffix(key, SHARD_CANCEL_SUFFIX))
			handle_inbox_cancel(shard, key);
		else if (g_hash_table_contains(shard->ended_jobs, key) ||
			 (job && is_inbox_row_obsolete(job)))
			op = add_removal(shard, op, key);
		/* With a cancellation in the inbox, handle_inbox_cancel() reads the job. */
		else if (!job && !has_cancel(rows, n_rows, key))
			shard_read_job_row(shard, key, FALSE, 0);
	}
	if (op)
		lug_writer_append(shard->writer, op);
	lug_writer_flush(shard->writer, lug_now_us());
}

static void on_inbox(void *data, enum lug_status status, const struct lug_row *rows, guint n_rows,
		     gboolean more)
{
	struct shard_ref *ref = data;
	struct lug_shard *shard = ref->shard;
	gboolean valid = shard_ref_is_valid(ref);

	g_free(ref);
	if (!valid)
		return;
	if (status != LUG_OK || n_rows < 2 || !more) {
		shard->reading_inbox = FALSE;
		if (status == LUG_OK)
			apply_inbox_rows(shard, rows, n_rows);
		return;
	}
	/* The last row is read again with the one that follows, which may be its cancellation. */
	apply_inbox_rows(shard, rows, n_rows - 1);
	lug_store_scan(shard->store, SHARD_INBOX_TABLE, "", rows[n_rows - 2].key, INBOX_PAGE_ROWS,
		       on_inbox, shard_ref_new(shard, ""));
}

/**
 * shard_inbox_tick - read all jobs and cancellations from the inbox table
 */
void shard_inbox_tick(struct lug_shard *shard, gint64 now_us)
{
	if (shard->reading_inbox || now_us < shard->next_inbox_us)
		return;
	shard->reading_inbox = TRUE;
	shard->next_inbox_us = now_us + lug_jitter(shard->shared.ctx->rng, INBOX_INTERVAL_US);
	lug_store_scan(shard->store, SHARD_INBOX_TABLE, "", NULL, INBOX_PAGE_ROWS, on_inbox,
		       shard_ref_new(shard, ""));
}
