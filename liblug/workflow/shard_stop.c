#include "workflow/shard_priv.h"

#include <string.h>

/* A stop without an answer is sent again after this time. */
#define STOP_RESEND_US (700 * 1000)

/*
 * The final state of a job is stored, and its cancellation acknowledged, once none of its tasks is
 * claimed any more. Until then each run is being stopped. Its claim is released when
 *
 * - its agent answers that the worker has confirmed the stop, reports its end or lists it no more;
 * - the lease of its worker has ended; or
 * - that lease has not been renewed for long, and ends within the time in which the runs of a
 *   cancelled job have to be gone.
 */

/* Longest time for which a run may go on after its job's cancellation is acknowledged. */
static gint64 cancel_bound_us(const struct lug_shard *shard)
{
	const struct lug_settings *settings = shard->shared.ctx->settings;

	return (settings->cancel_within_ms + settings->cancel_stop_ms) * 1000;
}

/**
 * shard_awaits_stops - whether runs of a job whose final state is decided may go on
 */
gboolean shard_awaits_stops(const struct shard_job *job)
{
	guint32 n_tasks = job->first_task[job->workflow->n_steps];

	if (job->end_state == LUG_WORKFLOW_UNKNOWN)
		return FALSE;
	/* A completed job has no run that counts. */
	if (job->n_strays && job->end_state != LUG_WORKFLOW_COMPLETED)
		return TRUE;
	for (guint k = 0; k < job->occurrences->len; k++) {
		const struct shard_occurrence *occ = g_ptr_array_index(job->occurrences, k);

		for (guint32 t = 0; t < n_tasks; t++)
			if (occ->tasks[t].state == SHARD_TASK_CLAIMED)
				return TRUE;
	}
	return FALSE;
}

/**
 * shard_claims_begin_stop - note that the stop of a run on a worker is awaited
 * @claims: claims for the worker
 * @worker: worker, may be NULL
 * @now_us: current time
 */
void shard_claims_begin_stop(struct shard_claims *claims, struct lug_fleet_worker *worker,
			     gint64 now_us)
{
	if (!claims->n_stops++)
		claims->stop_since_us = now_us;
	if (worker)
		lug_fleet_await_stop(worker, now_us);
}

/**
 * shard_claims_end_stop - note that the stop of a run is awaited no more
 */
void shard_claims_end_stop(struct shard_claims *claims)
{
	if (!--claims->n_stops)
		claims->stop_since_us = 0;
}

/**
 * shard_repeat_stop - send the stop of a run, unless it was sent just before
 * @shard: shard
 * @worker: worker, may be NULL
 * @id: run
 * @sent_us: when it was last sent, 0 for never; updated
 * @now_us: current time
 */
void shard_repeat_stop(struct lug_shard *shard, const struct lug_fleet_worker *worker,
		       const struct lug_run_id *id, gint64 *sent_us, gint64 now_us)
{
	/* Without a heartbeat there is no connection to the agent. */
	if (!worker || !worker->incarnation || (*sent_us && now_us - *sent_us < STOP_RESEND_US))
		return;
	*sent_us = now_us;
	shard_send_stop(shard, worker, id);
}

static void begin_stop(struct lug_shard *shard, struct shard_task *task,
		       struct lug_fleet_worker *worker, gint64 now_us)
{
	task->stop_since_us = now_us;
	shard_claims_begin_stop(shard_find_claims(shard, task->worker), worker, now_us);
}

/**
 * shard_end_stop - note that the stop of a task's run is awaited no more
 */
void shard_end_stop(struct lug_shard *shard, struct shard_task *task)
{
	if (!task->stop_since_us)
		return;
	task->stop_since_us = 0;
	task->stop_sent_us = 0;
	shard_claims_end_stop(shard_find_claims(shard, task->worker));
}

static void stop_task(struct lug_shard *shard, struct shard_job *job, struct shard_task *task,
		      const struct lug_run_id *id, GString *stops, gint64 now_us)
{
	struct lug_fleet_worker *worker = lug_fleet_find(shard->shared.fleet, task->worker);
	gboolean is_reachable = worker && worker->incarnation;

	if (task->shard_epoch == lug_shard_epoch(shard) && !task->start_seq) {
		/* Its start was not sent. */
		shard_release_claim(shard, job, task, &job->workflow->steps[id->step]);
		return;
	}
	if (!task->stop_since_us) {
		begin_stop(shard, task, worker, now_us);
		shard_note_run(stops, id, task->worker, is_reachable ? "heard" : "unheard",
			       is_reachable ? now_us - worker->last_beat_us : 0);
	}
	shard_repeat_stop(shard, worker, id, &task->stop_sent_us, now_us);
}

static void stop_job(struct lug_shard *shard, struct shard_job *job, gint64 now_us)
{
	GString *stops = g_string_new(NULL);

	for (guint k = 0; k < job->occurrences->len; k++) {
		struct shard_occurrence *occ = g_ptr_array_index(job->occurrences, k);

		for (guint32 s = 0; s < job->workflow->n_steps; s++)
			for (guint32 i = job->first_task[s]; i < job->first_task[s + 1]; i++) {
				struct lug_run_id id;

				if (occ->tasks[i].state != SHARD_TASK_CLAIMED)
					continue;
				shard_task_run_id(job, occ, s, i - job->first_task[s], &id);
				stop_task(shard, job, &occ->tasks[i], &id, stops, now_us);
			}
	}
	shard_stop_strays(shard, job, now_us);
	shard_log_run_list(shard, job, "stops_sent", stops);
	g_string_free(stops, TRUE);
}

/**
 * shard_stop_ended_jobs - stop the runs of all jobs whose final state is decided; stops without an
 * answer are sent again
 *
 * An owner that can't commit may have been replaced: it stops only what a client has cancelled.
 */
void shard_stop_ended_jobs(struct lug_shard *shard, gint64 now_us)
{
	gboolean stalled = lug_shard_is_stalled(shard, now_us);

	SHARD_FOREACH_JOB(shard, job)
	{
		if (stalled && job->end_state != LUG_WORKFLOW_CANCELLED)
			continue;
		if (shard_awaits_stops(job))
			stop_job(shard, job, now_us);
	}
}

/* Releases the claim of a run that is stopped or soon will be. */
static void settle_stop(struct lug_shard *shard, struct shard_task *task)
{
	struct shard_job *job = task->job;

	shard_release_claim(shard, job, task, &job->workflow->steps[task->step]);
	shard_job_mark_changed(shard, job);
	lug_shard_wake(shard);
}

/**
 * lug_shard_on_stop_answer - apply an agent's answer that a stop is in effect
 * @shard: shard
 * @worker: worker of the agent
 * @answer: message
 */
void lug_shard_on_stop_answer(struct lug_shard *shard, const char *worker,
			      const Lug__RunStopAnswer *answer)
{
	struct shard_job *job;
	struct shard_task *task;
	struct lug_run_id id;

	if (shard->load_phase != SHARD_LOAD_DONE || !lug_run_from_wire(answer->id, &id))
		return;
	shard_settle_stray(shard, &id, worker);
	job = g_hash_table_lookup(shard->jobs, id.job);
	task = job ? shard_find_task(job, &id) : NULL;
	/* The stop of a task that is moved to another worker is followed by its end. */
	if (task && task->state == SHARD_TASK_CLAIMED && task->stop_since_us &&
	    task->run == id.run && !strcmp(task->worker, worker))
		settle_stop(shard, task);
}

static void log_lapse(const struct lug_shard *shard, const struct shard_task *task, gint64 left_us,
		      gint64 now_us)
{
	struct lug_run_id id = {.occurrence = task->occurrence,
				.step = task->step,
				.index = task->index,
				.run = task->run};
	char name[LUG_RUN_NAME_SIZE];
	char left_ms[24];
	char awaited_ms[24];

	g_strlcpy(id.job, task->job->workflow->id, sizeof(id.job));
	lug_run_name(&id, name, sizeof(name));
	g_snprintf(left_ms, sizeof(left_ms), "%" G_GINT64_FORMAT, left_us / 1000);
	g_snprintf(awaited_ms, sizeof(awaited_ms), "%" G_GINT64_FORMAT,
		   (now_us - task->stop_since_us) / 1000);
	lug_info(shard->shared.ctx, "run_lapses", "job", id.job, "run", name, "worker",
		 task->worker, "left_ms", left_ms, "awaited_ms", awaited_ms, "reason",
		 "its stop has no answer, and its worker's lease ends in time");
}

/**
 * lug_shard_lease_left - apply what is left of a worker's lease, which its agent does not renew
 * @shard: shard
 * @worker: worker
 * @lease_epoch: epoch of the lease
 * @left_us: time after which no run under this lease epoch or a lower one goes on
 * @now_us: current time
 */
void lug_shard_lease_left(struct lug_shard *shard, const char *worker, guint64 lease_epoch,
			  gint64 left_us, gint64 now_us)
{
	struct shard_claims *claims = shard_find_claims(shard, worker);

	if (!claims || !claims->n_stops || left_us > cancel_bound_us(shard))
		return;
	LUG_LIST_FOREACH_SAFE (&claims->tasks, pos, tmp) {
		struct shard_task *task = LUG_CONTAINER_OF(pos, struct shard_task, claim_node);

		if (!task->stop_since_us || task->lease_epoch > lease_epoch)
			continue;
		log_lapse(shard, task, left_us, now_us);
		settle_stop(shard, task);
	}
	shard_settle_strays_of_lease(shard, worker, lease_epoch, TRUE);
}

/**
 * lug_shard_unstopped_us - time for which the stop of a run on a worker has had no answer
 *
 * Return: microseconds, -1 when none is awaited.
 */
gint64 lug_shard_unstopped_us(const struct lug_shard *shard, const char *worker, gint64 now_us)
{
	const struct shard_claims *claims = shard_find_claims(shard, worker);

	return claims && claims->n_stops ? MAX(now_us - claims->stop_since_us, 0) : -1;
}
