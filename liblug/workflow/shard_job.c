#include "workflow/shard_priv.h"

#include <string.h>

/**
 * lug_shard_add_stored_job - add a job whose row an entry has stored
 * @shard: shard
 * @id: job
 * @body: text of the job's row
 * @version: version of the row, 0 when it existed before and has to be read
 * @now_us: current time
 */
void lug_shard_add_stored_job(struct lug_shard *shard, const char *id, const char *body,
			      gint64 version, gint64 now_us)
{
	struct shard_job *job = g_hash_table_lookup(shard->jobs, id);
	struct lug_workflow *workflow;

	if (job && !job->expired)
		shard_release_job(shard, job);
	if (job || g_hash_table_contains(shard->ended_jobs, id))
		return;
	if (!*body || version <= 0) {
		shard_read_accepted_job(shard, id, body);
		return;
	}
	workflow = lug_workflow_decode_text(id, body);
	if (!workflow) {
		lug_warn(shard->shared.ctx, "job_row_refused", "job", id, "remedy",
			 "cancel the job and submit it again");
		return;
	}
	shard_release_job(shard, shard_job_new(shard, workflow, version, now_us));
	shard_admit_all(shard, now_us);
	shard_begin_due_occurrences(shard, now_us);
	lug_shard_wake(shard);
}

/*
 * Answers a submission of a job that was submitted before: at once if the job is stored, and if it
 * was withheld, its release too; otherwise after the commit. @job is NULL when it has ended. An
 * expired job is about to be removed, so that it can't be accepted.
 */
static void answer_known(const struct lug_shard *shard, struct shard_job *job,
			 const struct shard_waiter *waiter)
{
	if (job && job->expired)
		waiter->fn(waiter->data, LUG_UNAVAILABLE);
	else if (!job ||
		 (!job->unstored_body && lug_shard_is_release_stored(shard, job->workflow->id)))
		waiter->fn(waiter->data, LUG_OK);
	else
		g_array_append_val(job->store_waiters, *waiter);
}

/**
 * shard_store_admitted - add a job that is to be stored
 * @shard: shard
 * @workflow: definition, taken over
 * @body: text of the job's row
 * @waiter: called once, as by lug_shard_store_job()
 * @now_us: current time
 */
void shard_store_admitted(struct lug_shard *shard, struct lug_workflow *workflow, const char *body,
			  const struct shard_waiter *waiter, gint64 now_us)
{
	struct shard_job *job = g_hash_table_lookup(shard->jobs, workflow->id);
	gboolean ended = g_hash_table_contains(shard->ended_jobs, workflow->id);

	/* It may have been added while the tables were read. */
	if (ended || job) {
		lug_workflow_free(workflow);
		if (!ended && job->withheld_us && !job->expired)
			shard_release_job(shard, job);
		answer_known(shard, ended ? NULL : job, waiter);
		return;
	}
	job = shard_job_new(shard, workflow, 0, now_us);
	job->first_us = lug_admission_admit(shard->admission, workflow->id);
	job->unstored_body = g_strdup(body);
	g_array_append_val(job->store_waiters, *waiter);
	shard_begin_due_occurrences(shard, now_us);
	shard_job_mark_changed(shard, job);
}

/**
 * lug_shard_store_job - store a job in one transaction with the claims of its first tasks
 * @shard: shard
 * @id: job
 * @body: text of the job's row
 * @fn: called once with LUG_OK when the job is stored, LUG_UNAVAILABLE or LUG_FENCED when it is
 *      not, LUG_UNKNOWN when it may be, LUG_OVER_LIMIT when it is refused, see
 *      lug_shard_retry_after_ms(), and LUG_BAD_INPUT when @body is invalid
 * @data: passed to @fn
 * @now_us: current time
 */
void lug_shard_store_job(struct lug_shard *shard, const char *id, const char *body,
			 lug_shard_done_fn fn, void *data, gint64 now_us)
{
	struct shard_job *job = g_hash_table_lookup(shard->jobs, id);
	struct shard_waiter waiter = {fn, data};
	struct lug_workflow *workflow;

	if (job && job->withheld_us && !job->expired &&
	    !shard_release_withheld_job(shard, job, body, now_us)) {
		fn(data, LUG_UNKNOWN);
		return;
	}
	if (g_hash_table_contains(shard->ended_jobs, id) || job) {
		answer_known(shard, job, &waiter);
		return;
	}
	if (lug_shard_is_stalled(shard, now_us)) {
		fn(data, LUG_UNAVAILABLE);
		return;
	}
	workflow = lug_workflow_decode_text(id, body);
	if (!workflow) {
		fn(data, LUG_BAD_INPUT);
		return;
	}
	if (!shard_try_refuse(shard, workflow, body, &waiter, now_us))
		shard_store_admitted(shard, workflow, body, &waiter, now_us);
}

/**
 * lug_shard_job_state - state of a job, LUG_WORKFLOW_UNKNOWN for one that this owner does not have
 *
 * A final state is returned only after its commit.
 */
enum lug_workflow_state lug_shard_job_state(const struct lug_shard *shard, const char *id)
{
	const struct shard_job *job = g_hash_table_lookup(shard->jobs, id);
	const struct shard_ended *ended = g_hash_table_lookup(shard->ended_jobs, id);

	if (ended)
		return ended->state;
	if (!job || job->unstored_body)
		return LUG_WORKFLOW_UNKNOWN;
	return job->was_claimed ? LUG_WORKFLOW_RUNNING : LUG_WORKFLOW_QUEUED;
}

/**
 * lug_shard_cancel_job - cancel a job
 * @shard: shard
 * @id: job
 * @fn: called with LUG_OK once the cancellation is stored or the job has already ended, and with
 *      LUG_UNKNOWN when the job is dropped before that
 * @data: passed to @fn
 * @now_us: current time
 *
 * Return: FALSE when the owner does not have the job; @fn is not called then.
 */
gboolean lug_shard_cancel_job(struct lug_shard *shard, const char *id, lug_shard_done_fn fn,
			      void *data, gint64 now_us)
{
	struct shard_job *job = g_hash_table_lookup(shard->jobs, id);
	struct shard_waiter waiter = {fn, data};

	(void)now_us;
	if (g_hash_table_contains(shard->ended_jobs, id)) {
		fn(data, LUG_OK);
		return TRUE;
	}
	if (!job)
		return FALSE;
	g_array_append_val(job->cancel_waiters, waiter);
	/* A cancelled job leaves an ended row. */
	if (job->expired)
		shard_job_mark_changed(shard, job);
	job->expired = FALSE;
	if (job->end_state == LUG_WORKFLOW_UNKNOWN)
		shard_set_end_state(shard, job, LUG_WORKFLOW_CANCELLED);
	lug_shard_wake(shard);
	return TRUE;
}

/**
 * lug_shard_pending_jobs - count a queue's stored jobs without a task that a worker has started
 */
guint32 lug_shard_pending_jobs(const struct lug_shard *shard, const char *queue)
{
	guint32 n = 0;

	SHARD_FOREACH_JOB(shard, job)
	{
		n += !job->was_confirmed && !job->unstored_body &&
		     !strcmp(job->workflow->queue, queue);
	}
	return n;
}
