#include "job/owner_priv.h"

#include <string.h>

#define SCAN_ROWS_MAX 500

/*
 * Reads the rows of one team's jobs and tasks. After the queue is taken, the rows of the jobs are
 * read, then those of the tasks. Later scans read only the jobs, to find new and cancelled ones.
 */

/*
 * struct scan - request for one page of rows
 * @owner: owner
 * @generation: generation of the owner at the request
 * @last_drop_seq: sequence number of the latest removal of a job before the request
 */
struct scan {
	struct lug_owner *owner;
	guint generation;
	guint64 last_drop_seq;
};

static void start_scan(struct lug_owner *owner);

static void apply_task_row(struct lug_owner *owner, struct lug_task *task, JsonObject *row,
			   gint64 now_us)
{
	const char *state = lug_json_str(row, "state", "pending");
	const char *checkpoint = lug_json_str(row, "checkpoint", "");

	task->attempt = (guint32)lug_json_int(row, "attempt", 0);
	task->failures = (guint32)lug_json_int(row, "failures", 0);
	task->crash.crashes = (guint32)lug_json_int(row, "crashes", 0);
	task->crash.suspicion = (guint32)lug_json_int(row, "suspicion", 0);
	task->crash.losses = (guint32)lug_json_int(row, "losses", 0);
	task->used_core_ms = lug_json_int(row, "used_ms", 0);
	task->worker_epoch = (guint64)lug_json_int(row, "worker_epoch", 0);
	g_strlcpy(task->worker, lug_json_str(row, "worker", ""), sizeof(task->worker));
	g_free(task->checkpoint);
	task->checkpoint = *checkpoint ? g_strdup(checkpoint) : NULL;
	if (!strcmp(state, "running")) {
		/*
		 * This owner has sent no start in this epoch (sequence number 0), so none is
		 * resent. Only a heartbeat shows whether the agent holds the attempt.
		 */
		task->seq = 0;
		task->sent_us = now_us;
		lug_queue_set_state(owner->queue, task, LUG_TASK_RUNNING, now_us);
	} else if (!strcmp(state, "done")) {
		lug_queue_set_state(owner->queue, task, LUG_TASK_DONE, now_us);
	} else if (!strcmp(state, "failed")) {
		lug_queue_set_state(owner->queue, task, LUG_TASK_FAILED, now_us);
	} else if (!strcmp(state, "cancelled")) {
		lug_queue_set_state(owner->queue, task, LUG_TASK_CANCELLED, now_us);
	}
}

static void load_task_row(struct lug_owner *owner, const struct lug_row *row, gint64 now_us)
{
	char **parts = g_strsplit(row->key, "/", 3);

	if (g_strv_length(parts) == 3) {
		guint32 index = (guint32)g_ascii_strtoull(parts[2], NULL, 10);
		struct lug_task *task = lug_queue_task(owner->queue, parts[1], index);

		if (task && row->data)
			apply_task_row(owner, task, row->data, now_us);
	}
	g_strfreev(parts);
}

/*
 * True if the page was requested before the job was dropped. The page may still contain the job,
 * which must not be added again as a new one.
 */
static gboolean page_predates_drop(const struct lug_owner *owner, const char *id,
				   guint64 last_drop_seq)
{
	const guint64 *drop_seq = g_hash_table_lookup(owner->dropped_jobs, id);

	return drop_seq && *drop_seq > last_drop_seq;
}

static gboolean is_drop_obsolete(gpointer key, gpointer value, gpointer data)
{
	(void)key;
	return *(guint64 *)value <= *(guint64 *)data;
}

/**
 * owner_drop_job - remove an ended job from memory
 * @owner: owner
 * @qjob: job whose row has been deleted
 *
 * The job's id is remembered until a page requested after this call arrives, so that an earlier
 * page does not add the job again.
 */
void owner_drop_job(struct lug_owner *owner, struct lug_queue_job *qjob)
{
	guint64 *drop_seq = g_new0(guint64, 1);

	*drop_seq = ++owner->last_drop_seq;
	g_hash_table_replace(owner->dropped_jobs, g_strdup(qjob->job->id), drop_seq);
	lug_queue_remove(owner->queue, qjob);
}

/* Whether a row has the key of the job that it holds; without data it holds none. */
static gboolean is_own_key(const struct lug_owner *owner, const struct lug_job *job,
			   const char *key)
{
	char *expected = lug_job_row_key(owner->team, job->id);
	gboolean equal = *job->id && !strcmp(key, expected);

	g_free(expected);
	return equal;
}

static void load_job_row(struct lug_owner *owner, const struct lug_row *row, guint64 last_drop_seq,
			 gint64 now_us)
{
	struct lug_job *job = lug_job_from_row(row->data);
	struct lug_queue_job *qjob;
	gboolean cancelled = job->cancelled;

	if (!is_own_key(owner, job, row->key)) {
		lug_job_free(job);
		return;
	}
	qjob = lug_queue_find(owner->queue, job->id);
	if (page_predates_drop(owner, job->id, last_drop_seq)) {
		lug_job_free(job);
		return;
	}
	if (!qjob) {
		/* The time since the submission counts as waiting time, up to one hour. */
		gint64 waited_ms = g_get_real_time() / 1000 - job->submitted_ms;

		qjob = lug_queue_add(owner->queue, job,
				     now_us - CLAMP(waited_ms, 0, 3600000) * 1000);
	} else {
		lug_job_free(job);
	}
	qjob->row_version = row->version;
	qjob->job->cancelled = cancelled;
	if (cancelled && owner->load == LOAD_DONE)
		owner_cancel_job(owner, qjob, now_us);
}

static void finish_load(struct lug_owner *owner, gint64 now_us)
{
	GHashTableIter it;
	gpointer value;

	owner->load = LOAD_DONE;
	g_hash_table_iter_init(&it, lug_queue_jobs(owner->queue));
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		struct lug_queue_job *qjob = value;

		if (qjob->job->cancelled)
			owner_cancel_job(owner, qjob, now_us);
	}
}

static void finish_scan(struct lug_owner *owner, gint64 now_us)
{
	g_clear_pointer(&owner->scan_after, g_free);
	if (owner->load == LOAD_JOBS) {
		owner->load = LOAD_TASKS;
		start_scan(owner);
		return;
	}
	if (owner->load == LOAD_TASKS)
		finish_load(owner, now_us);
	owner->next_want_us = 0;
	if (owner->scan_again) {
		owner->scan_again = FALSE;
		start_scan(owner);
	}
}

static void on_rows(void *data, enum lug_status status, const struct lug_row *rows, guint n_rows,
		    gboolean more)
{
	struct scan *scan = data;
	struct lug_owner *owner = scan->owner;
	gboolean stale = scan->generation != owner->generation;
	guint64 last_drop_seq = scan->last_drop_seq;
	gint64 now_us = lug_now_us();

	g_free(scan);
	if (stale)
		return;
	owner->scanning = FALSE;
	if (status != LUG_OK)
		return;
	for (guint i = 0; i < n_rows; i++) {
		if (owner->load == LOAD_TASKS)
			load_task_row(owner, &rows[i], now_us);
		else
			load_job_row(owner, &rows[i], last_drop_seq, now_us);
	}
	g_hash_table_foreach_remove(owner->dropped_jobs, is_drop_obsolete, &last_drop_seq);
	if (!more || !n_rows) {
		finish_scan(owner, now_us);
		return;
	}
	g_free(owner->scan_after);
	owner->scan_after = g_strdup(rows[n_rows - 1].key);
	start_scan(owner);
}

static void start_scan(struct lug_owner *owner)
{
	const char *table = owner->load == LOAD_TASKS ? "task" : "job";
	char *prefix = g_strconcat(owner->team, "/", NULL);
	struct scan *scan = g_new0(struct scan, 1);

	scan->owner = owner;
	scan->generation = owner->generation;
	scan->last_drop_seq = owner->last_drop_seq;
	owner->scanning = TRUE;
	lug_store_scan(owner->env.store, table, prefix, owner->scan_after, SCAN_ROWS_MAX, on_rows,
		       scan);
	g_free(prefix);
}

/**
 * owner_scan - scan the team's rows, or resume a failed scan
 * @owner: owner
 * @now_us: current time
 */
void owner_scan(struct lug_owner *owner, gint64 now_us)
{
	(void)now_us;
	start_scan(owner);
}
