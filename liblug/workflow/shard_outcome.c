#include "workflow/shard_priv.h"

#include <string.h>

/* Delay between a failed run and the next claim of its task. */
#define FAILED_RUN_RETRY_DELAY_US (50 * 1000)

/**
 * shard_task_step - step of a task
 * @job: job
 * @task: index of the task within an occurrence
 * @step: set to the number of the step, may be NULL
 */
const struct lug_step *shard_task_step(const struct shard_job *job, guint32 task, guint32 *step)
{
	guint32 s = 0;

	while (s + 1 < job->workflow->n_steps && task >= job->first_task[s + 1])
		s++;
	if (step)
		*step = s;
	return &job->workflow->steps[s];
}

/**
 * shard_find_claims - claims for a worker, NULL when nothing was ever claimed for it
 */
struct shard_claims *shard_find_claims(const struct lug_shard *shard, const char *worker)
{
	return g_hash_table_lookup(shard->claims, g_intern_string(worker));
}

/**
 * shard_get_claims - claims for a worker, which are added if there are none
 */
struct shard_claims *shard_get_claims(struct lug_shard *shard, const char *worker)
{
	struct shard_claims *claims = shard_find_claims(shard, worker);

	if (claims)
		return claims;
	claims = g_new0(struct shard_claims, 1);
	lug_list_init(&claims->tasks);
	claims->strays = g_array_new(FALSE, FALSE, sizeof(struct shard_stray));
	g_hash_table_insert(shard->claims, (gpointer)g_intern_string(worker), claims);
	return claims;
}

void shard_claims_free(gpointer data)
{
	struct shard_claims *claims = data;

	g_array_unref(claims->strays);
	g_free(claims);
}

/**
 * shard_index_claim - add a claimed task to the claims for its worker
 */
void shard_index_claim(struct lug_shard *shard, struct shard_task *task, gint64 now_us)
{
	struct shard_claims *claims = shard_get_claims(shard, task->worker);

	/* While nothing is claimed, lists are not awaited. */
	if (lug_list_empty(&claims->tasks)) {
		claims->listed_us = now_us;
		claims->overdue = FALSE;
	}
	lug_list_append(&claims->tasks, &task->claim_node);
}

/**
 * shard_release_claim - release the resources of a claimed task and return it to waiting
 */
void shard_release_claim(struct lug_shard *shard, struct shard_job *job, struct shard_task *task,
			 const struct lug_step *step)
{
	struct lug_fleet_worker *worker =
		task->worker ? lug_fleet_find(shard->shared.fleet, task->worker) : NULL;
	struct lug_resources size;

	(void)job;
	shard_step_size(step, &size);
	if (worker) {
		lug_fleet_release(worker, &size, task->confirmed);
		if (!task->confirmed)
			lug_fleet_remove_unconfirmed(worker, step);
	}
	shard_end_stop(shard, task);
	lug_list_remove(&task->claim_node);
	task->state = SHARD_TASK_WAITING;
	task->worker = NULL;
	task->confirmed = FALSE;
	task->begun = FALSE;
	task->start_seq = 0;
	task->timed_since_us = 0;
	task->progress_percent = 0;
	task->slow_since_us = 0;
	task->relocating = FALSE;
	task->move.slow_since_us = 0;
}

/**
 * shard_note_former_run - note how the run of a claimed task has ended, before its claim is
 * released
 */
void shard_note_former_run(struct shard_task *task, const char *how, gint64 now_us)
{
	task->former = (struct shard_former_run){how, task->worker, now_us};
}

/**
 * shard_mark_begun - note that the worker has started a task, and so its job
 */
void shard_mark_begun(struct shard_job *job, struct shard_task *task)
{
	if (!task->begun)
		job->last_start_us = lug_now_us();
	task->begun = TRUE;
	task->blocked_since_us = 0;
	job->was_confirmed = TRUE;
}

/**
 * shard_confirm_reservation - note that the agent reserves resources for a task, whether or not its
 * worker has confirmed the start
 */
void shard_confirm_reservation(struct lug_shard *shard, struct shard_task *task,
			       const struct lug_step *step)
{
	struct lug_fleet_worker *worker = lug_fleet_find(shard->shared.fleet, task->worker);
	struct lug_resources size;

	if (task->confirmed || !worker)
		return;
	task->confirmed = TRUE;
	lug_fleet_remove_unconfirmed(worker, step);
	shard_step_size(step, &size);
	lug_fleet_confirm(worker, &size);
}

/**
 * shard_log_run - log an event of one run, with one more key and value
 */
void shard_log_run(struct lug_shard *shard, const char *event, const struct lug_run_id *id,
		   const char *worker, const char *key, const char *value)
{
	char name[LUG_RUN_NAME_SIZE];

	lug_run_name(id, name, sizeof(name));
	lug_info(shard->shared.ctx, event, "job", id->job, "run", name, "worker",
		 worker ? worker : "", key, value);
}

/**
 * shard_save_checkpoint - keep a task's latest checkpoint; NULL and "" stand for none
 */
void shard_save_checkpoint(struct shard_task *task, const char *checkpoint)
{
	if (!checkpoint || !*checkpoint || !g_strcmp0(task->checkpoint, checkpoint))
		return;
	g_free(task->checkpoint);
	task->checkpoint = g_strdup(checkpoint);
}

/*
 * Removes the occurrence with its last task. The job is completed with its last occurrence.
 * @occ may be freed.
 */
static void record_done_task(struct lug_shard *shard, struct shard_job *job,
			     struct shard_occurrence *occ, guint32 step)
{
	occ->done_per_step[step]++;
	occ->tasks_left--;
	if (occ->tasks_left)
		return;
	for (guint32 i = 0; i < job->first_task[job->workflow->n_steps]; i++)
		g_free(occ->tasks[i].checkpoint);
	g_ptr_array_remove(job->occurrences, occ);
	if (!job->occurrences->len && job->next_occurrence >= job->workflow->occurrences)
		shard_set_end_state(shard, job, LUG_WORKFLOW_COMPLETED);
}

static struct shard_occurrence *find_occurrence(struct shard_job *job, guint32 number)
{
	for (guint i = 0; i < job->occurrences->len; i++) {
		struct shard_occurrence *occ = g_ptr_array_index(job->occurrences, i);

		if (occ->number == number)
			return occ;
	}
	return NULL;
}

/**
 * shard_check_crash_history - give the job up when the task crashes its workers, else delay the
 * next start of a suspected task
 */
void shard_check_crash_history(struct lug_shard *shard, struct shard_job *job,
			       struct shard_task *task, const struct lug_run_id *id, gint64 now_us)
{
	char name[LUG_RUN_NAME_SIZE];
	char crashes[16];
	char suspicion[16];
	char losses[16];

	/* Given up for another task. */
	if (job->end_state != LUG_WORKFLOW_UNKNOWN)
		return;
	lug_run_name(id, name, sizeof(name));
	g_snprintf(crashes, sizeof(crashes), "%u", task->crash.crashes);
	g_snprintf(suspicion, sizeof(suspicion), "%u", task->crash.suspicion);
	g_snprintf(losses, sizeof(losses), "%u", task->crash.losses);
	if (lug_crash_is_culprit(&task->crash)) {
		lug_warn(shard->shared.ctx, "task_given_up", "job", id->job, "run", name, "crashes",
			 crashes, "suspicion", suspicion, "losses", losses, "reason",
			 "it crashes the workers that start it");
		lug_count(shard->shared.ctx, TASKS_GIVEN_UP, 1);
		shard_set_end_state(shard, job, LUG_WORKFLOW_FAILED);
	} else if (lug_crash_is_suspect(&task->crash)) {
		lug_info(shard->shared.ctx, "task_suspected", "job", id->job, "run", name,
			 "crashes", crashes, "suspicion", suspicion, "losses", losses);
		task->not_before_us = now_us + LUG_CRASH_RETRY_DELAY_US;
	}
}

static void apply_run_end(struct lug_shard *shard, struct shard_job *job, struct shard_task *task,
			  const struct lug_run_id *id, const Lug__RunEnd *end, gint64 now_us)
{
	enum lug_run_outcome outcome = (enum lug_run_outcome)end->outcome;
	const struct lug_step *step = &job->workflow->steps[id->step];
	struct lug_fleet_worker *worker =
		task->worker ? lug_fleet_find(shard->shared.fleet, task->worker) : NULL;

	/* A run whose start was not confirmed may be reported as crashed. */
	if (outcome == LUG_RUN_WORKER_CRASHED) {
		lug_crash_record(&task->crash, end->suspected_jobs, !end->unconfirmed);
		shard_check_crash_history(shard, job, task, id, now_us);
	} else {
		job->was_confirmed = TRUE;
	}
	if (outcome == LUG_RUN_DONE)
		shard_learn_run_time(shard, job, task, id, now_us);
	if (task->state == SHARD_TASK_CLAIMED) {
		shard_note_former_run(task, lug_run_outcome_name(outcome), now_us);
		shard_release_claim(shard, job, task, step);
	}
	if (worker && outcome == LUG_RUN_DONE)
		worker->failures = 0;
	if (outcome == LUG_RUN_FAILED) {
		if (worker)
			lug_fleet_record_failure(worker, now_us);
		task->failed_on = worker ? g_intern_string(worker->name) : NULL;
	}
	/* A long-running task waits for its next run, whatever the outcome. */
	if (outcome == LUG_RUN_DONE && !step->long_running) {
		task->state = SHARD_TASK_DONE;
		shard_note_ended(shard, job, step, now_us);
		record_done_task(shard, job, find_occurrence(job, id->occurrence), id->step);
	} else if (outcome == LUG_RUN_FAILED && !step->long_running) {
		task->failures++;
		task->not_before_us = now_us + FAILED_RUN_RETRY_DELAY_US;
		if (task->failures >= shard_max_attempts(shard, job))
			shard_set_end_state(shard, job, LUG_WORKFLOW_FAILED);
	}
	shard_job_mark_changed(shard, job);
}

/*
 * The end of a claimed run applies. For a run that was considered lost only completion applies: a
 * resent failure would be counted twice. A task is done once any of its runs is.
 */
static gboolean is_end_applicable(const struct shard_task *task, const struct lug_run_id *id,
				  const char *worker, const Lug__RunEnd *end)
{
	if (task->state == SHARD_TASK_CLAIMED && task->run == id->run)
		return !strcmp(task->worker, worker);
	return task->state != SHARD_TASK_DONE && task->run >= id->run &&
	       end->outcome == LUG_RUN_DONE;
}

/*
 * Withdraws the claim of a later run, since an earlier one, which was counted as lost, is done. If
 * the stop is lost, the agent's next heartbeat lists the run without a claim, and it is sent again.
 */
static void withdraw_claim(struct lug_shard *shard, struct shard_job *job, struct shard_task *task,
			   const struct lug_run_id *done, const char *worker)
{
	struct lug_fleet_worker *claimed_for = lug_fleet_find(shard->shared.fleet, task->worker);
	struct lug_run_id later = *done;

	later.run = task->run;
	shard_log_run(shard, "claim_withdrawn", &later, task->worker, "done_on", worker);
	if (claimed_for)
		shard_send_stop(shard, claimed_for, &later);
	if (task->start_seq || task->shard_epoch != lug_shard_epoch(shard))
		shard_add_stray(shard, &later, task->worker, task->lease_epoch);
	shard_release_claim(shard, job, task, &job->workflow->steps[done->step]);
}

/* Why the end of a run changes nothing. */
static const char *ignored_reason(const struct lug_shard *shard, const struct shard_job *job,
				  const struct shard_task *task, const struct lug_run_id *id)
{
	if (!job)
		return g_hash_table_contains(shard->ended_jobs, id->job) ? "its job has ended"
									 : "its job is not known";
	if (!task || task->state == SHARD_TASK_DONE)
		return "its task is done";
	if (task->run < id->run)
		return "its run is not known";
	return task->state == SHARD_TASK_WAITING ? "its task waits for the next run"
						 : "another run of its task is claimed";
}

static void log_ignored_end(struct lug_shard *shard, const struct shard_job *job,
			    const struct shard_task *task, const struct lug_run_id *id,
			    const char *worker, const Lug__RunEnd *end)
{
	char name[LUG_RUN_NAME_SIZE];
	char current[16];

	lug_run_name(id, name, sizeof(name));
	g_snprintf(current, sizeof(current), "%u", task ? task->run : 0);
	lug_info(shard->shared.ctx, "end_ignored", "job", id->job, "run", name, "worker", worker,
		 "outcome", lug_run_outcome_name((enum lug_run_outcome)end->outcome), "current_run",
		 current, "reason", ignored_reason(shard, job, task, id));
}

/* Whether the acknowledgement of a run's end waits for a commit; the agent has resent the end. */
static gboolean is_ack_pending(const struct shard_job *job, const struct lug_run_id *id)
{
	for (guint i = 0; i < job->pending_acks->len; i++)
		if (lug_run_equal(&g_array_index(job->pending_acks, struct shard_ack, i).id, id))
			return TRUE;
	return FALSE;
}

/**
 * lug_shard_on_run_end - apply the end of a run
 * @shard: shard
 * @route: destination of the acknowledgement
 * @worker: worker of the run
 * @end: message
 * @now_us: current time
 *
 * The end is acknowledged after its commit, or after any later commit when it changes nothing and
 * all changes of its job are stored. It is ignored until the shard is loaded; the agent resends it.
 */
void lug_shard_on_run_end(struct lug_shard *shard, const struct lug_route *route,
			  const char *worker, const Lug__RunEnd *end, gint64 now_us)
{
	struct lug_fleet_worker *fleet_worker = lug_fleet_find(shard->shared.fleet, worker);
	struct shard_job *job;
	struct shard_task *task;
	struct shard_ack ack = {0};

	if (shard->load_phase != SHARD_LOAD_DONE || !lug_run_from_wire(end->id, &ack.id))
		return;
	shard_settle_stray(shard, &ack.id, worker);
	job = g_hash_table_lookup(shard->jobs, ack.id.job);
	task = job ? shard_find_task(job, &ack.id) : NULL;
	if (task && is_end_applicable(task, &ack.id, worker, end) &&
	    (task->run == ack.id.run || !job->workflow->steps[ack.id.step].long_running)) {
		if (task->run != ack.id.run && task->state == SHARD_TASK_CLAIMED)
			withdraw_claim(shard, job, task, &ack.id, worker);
		shard_note_run(job->ended_runs, &ack.id, worker, lug_run_outcome_name(end->outcome),
			       now_us - job->accepted_us);
		job->has_incomplete_run = job->has_incomplete_run || end->outcome != LUG_RUN_DONE;
		shard_save_checkpoint(task, end->checkpoint);
		apply_run_end(shard, job, task, &ack.id, end, now_us);
	} else if (!job || job->revision == job->committed_revision) {
		/* The report is repeated or obsolete, and all changes of the job are stored. */
		if (shard_add_obsolete_end(shard, route, &ack.id, now_us))
			log_ignored_end(shard, job, task, &ack.id, worker, end);
		return;
	} else {
		ack.obsolete = TRUE;
	}
	if (fleet_worker && end->used) {
		struct lug_resources used;

		lug_resources_from_wire(end->used, &used);
		lug_fleet_set_used(fleet_worker, &used);
	}
	if (is_ack_pending(job, &ack.id))
		return;
	if (ack.obsolete)
		log_ignored_end(shard, job, task, &ack.id, worker, end);
	g_strlcpy(ack.worker, worker, sizeof(ack.worker));
	ack.revision = job->revision;
	g_array_append_val(job->pending_acks, ack);
}

/**
 * lug_shard_on_start_answer - apply an agent's answer to a start
 * @shard: shard
 * @worker: worker of the agent
 * @answer: message
 * @now_us: current time
 */
void lug_shard_on_start_answer(struct lug_shard *shard, const char *worker,
			       const Lug__RunAnswer *answer, gint64 now_us)
{
	struct lug_fleet_worker *fleet_worker = lug_fleet_find(shard->shared.fleet, worker);
	struct shard_job *job;
	struct shard_task *task;
	struct lug_resources used;
	struct lug_run_id id;

	if (shard->load_phase != SHARD_LOAD_DONE || !lug_run_from_wire(answer->id, &id))
		return;
	job = g_hash_table_lookup(shard->jobs, id.job);
	task = job ? shard_find_task(job, &id) : NULL;
	if (!task || task->state != SHARD_TASK_CLAIMED || task->run != id.run ||
	    strcmp(task->worker, worker))
		return;
	/* The agent may still accept the start that was resent after the refused one. */
	if (answer->status != LUG_OK && answer->has_seq && answer->seq < task->start_seq) {
		shard_log_run(shard, "refusal_ignored", &id, worker, "reason",
			      "the start was sent again");
		return;
	}
	if (answer->status == LUG_OK) {
		shard_mark_begun(job, task);
		shard_confirm_reservation(shard, task, &job->workflow->steps[id.step]);
	} else {
		shard_note_run(job->refused_runs, &id, worker,
			       lug_status_name((enum lug_status)answer->status),
			       now_us - job->accepted_us);
		lug_count(shard->shared.ctx, TASKS_REFUSED, 1);
		shard_note_former_run(task, "refused", now_us);
		shard_release_claim(shard, job, task, &job->workflow->steps[id.step]);
		/* A lack of room or an evacuation is no failure of the worker. */
		if (fleet_worker && answer->status != LUG_OVER_LIMIT) {
			if (!lug_fleet_is_evacuated(fleet_worker, shard_evacuation(shard)))
				lug_fleet_record_failure(fleet_worker, now_us);
		} else if (fleet_worker && lug_crash_is_suspect(&task->crash))
			lug_fleet_isolate(fleet_worker, "", now_us);
		else if (fleet_worker && lug_yield_is_yielding(shard_task_urgency(
						 shard, job, id.occurrence, id.step, 0, now_us)))
			fleet_worker->refused_yielding = TRUE;
		else if (fleet_worker && job->workflow->steps[id.step].best_effort)
			fleet_worker->refused_best_effort = TRUE;
		shard_job_mark_changed(shard, job);
	}
	if (fleet_worker && answer->used) {
		lug_resources_from_wire(answer->used, &used);
		lug_fleet_set_used(fleet_worker, &used);
	}
	if (fleet_worker && answer->status == LUG_OVER_LIMIT)
		shard_reserve_refused(shard, job, &id, fleet_worker, now_us);
}
