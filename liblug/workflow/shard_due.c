#include "workflow/shard_priv.h"

/* Expected run time of the longest chain of steps after a step. */
static gint64 following_ms(const struct lug_shard *shard, const struct shard_job *job, guint32 step)
{
	const struct lug_workflow *workflow = job->workflow;
	/* The longest chain from @step to the end of each step, -1 for steps that don't follow. */
	gint64 *ends = g_new(gint64, workflow->n_steps);
	gint64 longest = 0;

	for (guint32 s = 0; s < workflow->n_steps; s++) {
		ends[s] = s == step ? 0 : -1;
		for (guint32 i = 0; s > step && i < workflow->steps[s].n_after; i++)
			ends[s] = MAX(ends[s], ends[workflow->steps[s].after[i]]);
		if (s > step && ends[s] >= 0)
			ends[s] += shard_expected_ms(shard, job, &workflow->steps[s]);
		longest = MAX(longest, ends[s]);
	}
	g_free(ends);
	return longest;
}

/* A scheduled job that is submitted ahead of its first occurrence has no objective known here. */
static gboolean is_submitted_ahead(const struct lug_workflow *workflow)
{
	return workflow->scheduled && workflow->start_at_ms > workflow->accepted_ms;
}

static gboolean has_objective(const struct lug_shard *shard, const struct shard_job *job,
			      guint32 occurrence, guint32 step)
{
	const struct lug_queue_def *def =
		lug_queues_find(lug_config_queues(shard->shared.config), job->workflow->queue);

	return def && (def->slo_factor > 0 || def->slo_ms > 0) && occurrence == 0 &&
	       !job->workflow->steps[step].long_running && !is_submitted_ahead(job->workflow);
}

/**
 * shard_fill_times - set the expected run time of a start, and the times by which its agent
 * computes the task's urgency
 * @shard: shard
 * @job: job
 * @id: run
 * @start: message; the times to the objective are left out without one, and while schedule.yield
 *         is off
 * @now_us: time at which it is sent
 */
void shard_fill_times(struct lug_shard *shard, struct shard_job *job, const struct lug_run_id *id,
		      Lug__RunStart *start, gint64 now_us)
{
	start->has_expected_ms = 1;
	start->expected_ms = shard_expected_ms(shard, job, &job->workflow->steps[id->step]);
	if (!shard->shared.ctx->settings->schedule_yield ||
	    !has_objective(shard, job, id->occurrence, id->step))
		return;
	/* After a takeover, heartbeats may arrive before the first pass of placement. */
	if (!job->deadline_us)
		shard_update_sort_keys(shard, job, now_us);
	start->has_due_in_ms = 1;
	start->due_in_ms = (job->deadline_us - now_us) / 1000;
	start->has_following_ms = 1;
	start->following_ms = following_ms(shard, job, id->step);
}

/**
 * shard_task_urgency - compute the urgency by which a task is placed
 * @shard: shard
 * @job: job
 * @occurrence: number of its occurrence
 * @step: number of its step
 * @progress_percent: its progress, 0 for a task that waits
 * @now_us: current time
 *
 * Return: NORMAL for a task that is not best-effort and while schedule.yield is off.
 */
enum lug_urgency shard_task_urgency(const struct lug_shard *shard, const struct shard_job *job,
				    guint32 occurrence, guint32 step, guint32 progress_percent,
				    gint64 now_us)
{
	struct lug_urgency_times times;
	struct lug_yield_task task;

	if (!shard->shared.ctx->settings->schedule_yield ||
	    !job->workflow->steps[step].best_effort || !job->deadline_us ||
	    !has_objective(shard, job, occurrence, step))
		return LUG_URGENCY_NORMAL;
	lug_urgency_set_times(&times, (job->deadline_us - now_us) / 1000,
			      shard_expected_ms(shard, job, &job->workflow->steps[step]),
			      following_ms(shard, job, step), now_us);
	lug_yield_init_task(&task, &times, progress_percent, now_us);
	return task.effective;
}
