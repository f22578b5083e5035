#include "workflow/shard_priv.h"

#include <string.h>

#define SCAN_MAX_ROWS 500
#define SCAN_RETRY_US (100 * 1000)

static void scan_next_rows(struct lug_shard *shard);

/**
 * shard_load_job_row - add the job of a row, unless the shard has it or the row is invalid
 */
void shard_load_job_row(struct lug_shard *shard, const struct lug_row *row, gint64 now_us)
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
	/* Nothing is withheld without the setting, and nothing would release the job. */
	if (!shard->shared.ctx->settings->schedule_overload)
		job->withheld_us = 0;
	shard_row_measure(job);
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

static void load_row(struct lug_shard *shard, const struct lug_row *row, gint64 now_us)
{
	if (shard->load_phase == SHARD_LOAD_LIVE)
		shard_load_job_row(shard, row, now_us);
	else if (shard->load_phase == SHARD_LOAD_STATES)
		load_state_row(shard, row, now_us);
	else
		shard_load_inbox_row(shard, row->key);
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
	for (guint i = 0; i < n_rows; i++)
		load_row(shard, &rows[i], now_us);
	g_clear_pointer(&shard->scan_after, g_free);
	if (more && n_rows) {
		shard->scan_after = g_strdup(rows[n_rows - 1].key);
		scan_next_rows(shard);
		return;
	}
	shard->load_phase++;
	if (shard->load_phase != SHARD_LOAD_DONE) {
		scan_next_rows(shard);
		return;
	}
	log_loaded(shard);
	shard->event_fn(shard->event_data, shard->number, LUG_SHARD_LOADED);
	lug_shard_wake(shard);
}

static void scan_next_rows(struct lug_shard *shard)
{
	static const char *const tables[] = {
		[SHARD_LOAD_LIVE] = SHARD_LIVE_TABLE,
		[SHARD_LOAD_STATES] = SHARD_STATE_TABLE,
		[SHARD_LOAD_INBOX] = SHARD_INBOX_TABLE,
	};

	shard->scanning = TRUE;
	lug_store_scan(shard->store, tables[shard->load_phase], "", shard->scan_after,
		       SCAN_MAX_ROWS, on_rows, shard_ref_new(shard, ""));
}

/**
 * shard_load_start - start reading the shard's live jobs, their states and cancellations
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
