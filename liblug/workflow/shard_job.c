#include "workflow/shard_priv.h"

#include <string.h>

/**
 * lug_shard_submit - take in a job whose row an entry has stored
 * @shard: shard
 * @job: id
 * @body: text of the job's row; "" when the row was there before and must be read
 * @version: version of the row
 * @now_us: present time
 */
void lug_shard_submit(struct lug_shard *shard, const char *job, const char *body, gint64 version,
		      gint64 now_us)
{
	struct lug_workflow *flow;

	if (g_hash_table_contains(shard->jobs, job) || g_hash_table_contains(shard->ended, job))
		return;
	if (!*body || version <= 0) {
		shard_read_job(shard, job, FALSE);
		return;
	}
	flow = lug_workflow_decode_text(job, body);
	if (!flow) {
		lug_warn(shard->env.ctx, "job_row_refused", "job", job, "remedy",
			 "cancel the job and submit it again");
		return;
	}
	shard_job_new(shard, flow, version, now_us);
	shard_begin_due(shard, now_us);
	lug_shard_wake(shard);
}

/**
 * lug_shard_store - store a job, together with the claims of its first tasks
 * @shard: shard
 * @job: id
 * @body: text of the job's row
 * @fn: LUG_OK once it is stored; LUG_UNAVAILABLE or LUG_FENCED: certainly not;
 *      LUG_UNKNOWN: it may be; LUG_BAD_INPUT: it can't be read
 * @data: passed to @fn
 * @now_us: present time
 */
void lug_shard_store(struct lug_shard *shard, const char *job, const char *body,
		     lug_shard_done_fn fn, void *data, gint64 now_us)
{
	struct shard_job *entry = g_hash_table_lookup(shard->jobs, job);
	struct shard_waiter storer = {fn, data};
	struct lug_workflow *flow;

	if (g_hash_table_contains(shard->ended, job) || (entry && !entry->body)) {
		fn(data, LUG_OK);
		return;
	}
	if (entry) {
		g_array_append_val(entry->storers, storer);
		return;
	}
	if (lug_shard_stalled(shard, now_us)) {
		fn(data, LUG_UNAVAILABLE);
		return;
	}
	flow = lug_workflow_decode_text(job, body);
	if (!flow) {
		fn(data, LUG_BAD_INPUT);
		return;
	}
	entry = shard_job_new(shard, flow, 0, now_us);
	entry->body = g_strdup(body);
	g_array_append_val(entry->storers, storer);
	shard_begin_due(shard, now_us);
	shard_job_changed(shard, entry);
}

/**
 * lug_shard_state - state of a job, LUG_WORKFLOW_UNKNOWN for one that this owner does not know
 *
 * A final state is told only after its commit.
 */
enum lug_workflow_state lug_shard_state(const struct lug_shard *shard, const char *job)
{
	const struct shard_job *entry = g_hash_table_lookup(shard->jobs, job);
	const struct shard_ended *ended = g_hash_table_lookup(shard->ended, job);

	if (ended)
		return ended->state;
	if (!entry || entry->body)
		return LUG_WORKFLOW_UNKNOWN;
	return entry->started ? LUG_WORKFLOW_RUNNING : LUG_WORKFLOW_QUEUED;
}

/**
 * lug_shard_cancel - cancel a job
 * @shard: shard
 * @job: id
 * @fn: called once the cancellation is stored, or can't be settled
 * @data: passed to @fn
 * @now_us: present time
 *
 * Return: FALSE when the owner does not know the job; @fn is not called then.
 */
gboolean lug_shard_cancel(struct lug_shard *shard, const char *job, lug_shard_done_fn fn,
			  void *data, gint64 now_us)
{
	struct shard_job *entry = g_hash_table_lookup(shard->jobs, job);
	struct shard_waiter waiter = {fn, data};

	(void)now_us;
	if (g_hash_table_contains(shard->ended, job)) {
		fn(data, LUG_OK);
		return TRUE;
	}
	if (!entry)
		return FALSE;
	g_array_append_val(entry->waiters, waiter);
	if (entry->end == LUG_WORKFLOW_UNKNOWN)
		shard_finish(shard, entry, LUG_WORKFLOW_CANCELLED);
	lug_shard_wake(shard);
	return TRUE;
}

/**
 * lug_shard_pending - accepted jobs of a queue of which no task has started
 */
guint32 lug_shard_pending(const struct lug_shard *shard, const char *queue)
{
	guint32 n = 0;

	SHARD_FOREACH_JOB(shard, entry)
	{
		n += !entry->begun && !entry->body && !strcmp(entry->flow->queue, queue);
	}
	return n;
}
