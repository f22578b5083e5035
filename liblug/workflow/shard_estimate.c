#include "workflow/shard_priv.h"

/* The step comes first, so that a long name doesn't hide it. */
#define ESTIMATE_KEY_SIZE 256
/* A promise exceeds the expected run time by one part in so many, as the agent's does at least. */
#define PROMISE_MARGIN_DIVISOR 4

static void estimate_key(const struct shard_job *job, const struct lug_step *step,
			 char key[ESTIMATE_KEY_SIZE])
{
	g_snprintf(key, ESTIMATE_KEY_SIZE, "%d %s %s", (int)(step - job->workflow->steps),
		   job->workflow->queue, step->image);
}

static gint64 estimate_ms(const struct lug_shard *shard, const struct shard_job *job,
			  const struct lug_step *step, double quantile)
{
	char key[ESTIMATE_KEY_SIZE];

	if (step->long_running)
		return 0;
	estimate_key(job, step, key);
	return lug_estimates_ms(lug_fleet_estimates(shard->shared.fleet), key, step->declared_ms,
				quantile);
}

/**
 * shard_expected_ms - expected run time of a task at full speed
 * @shard: shard
 * @job: job
 * @step: one of its steps
 *
 * Return: ms, as declared while too few ends are known; 0 for a long-running task and when no run
 * time is declared.
 */
gint64 shard_expected_ms(const struct lug_shard *shard, const struct shard_job *job,
			 const struct lug_step *step)
{
	return estimate_ms(shard, job, step, LUG_ESTIMATES_EXPECTED);
}

/**
 * shard_promised_ms - time within which a task at full speed will almost surely end
 * @shard: shard
 * @job: job
 * @step: one of its steps
 *
 * Return: ms; 0 as for shard_expected_ms().
 */
gint64 shard_promised_ms(const struct lug_shard *shard, const struct shard_job *job,
			 const struct lug_step *step)
{
	gint64 expected_ms = shard_expected_ms(shard, job, step);

	return MAX(estimate_ms(shard, job, step, LUG_ESTIMATES_PROMISED),
		   expected_ms + expected_ms / PROMISE_MARGIN_DIVISOR);
}

/**
 * shard_learn_run_time - learn from a run that is done, before its claim is released
 * @shard: shard
 * @job: job
 * @task: task
 * @id: the run
 * @now_us: current time
 */
void shard_learn_run_time(struct lug_shard *shard, const struct shard_job *job,
			  const struct shard_task *task, const struct lug_run_id *id, gint64 now_us)
{
	const struct lug_step *step = &job->workflow->steps[id->step];
	char key[ESTIMATE_KEY_SIZE];

	if (task->state != SHARD_TASK_CLAIMED || task->run != id->run || !task->timed_since_us ||
	    step->long_running)
		return;
	estimate_key(job, step, key);
	lug_estimates_add(lug_fleet_estimates(shard->shared.fleet), key, step->declared_ms,
			  (now_us - task->timed_since_us) / 1000, now_us);
}
