#include "workflow/shard_priv.h"

#include <string.h>

/* A start that the worker's agent has not received this long after it was sent is resent. */
#define START_RESEND_US (700 * 1000)
/* Below this share a run has been throttled, so that its run time is not learned. */
#define UNTHROTTLED_PERCENT 95
/* A long-running task that has run for this long is no longer suspected of earlier crashes. */
#define CRASH_FORGET_US (10 * G_USEC_PER_SEC)

static void return_lost_task(struct lug_shard *shard, struct shard_job *job,
			     struct shard_task *task, const struct lug_run_id *id,
			     const char *reason, gint64 now_us)
{
	const struct lug_fleet_worker *worker = lug_fleet_find(shard->shared.fleet, task->worker);
	char name[LUG_RUN_NAME_SIZE];
	char heard_ms[24];
	char lease_epoch[24];

	lug_run_name(id, name, sizeof(name));
	g_snprintf(heard_ms, sizeof(heard_ms), "%" G_GINT64_FORMAT,
		   worker ? (now_us - worker->last_beat_us) / 1000 : -1);
	g_snprintf(lease_epoch, sizeof(lease_epoch), "%" G_GUINT64_FORMAT, task->lease_epoch);
	lug_info(shard->shared.ctx, "run_lost", "job", id->job, "run", name, "worker", task->worker,
		 "reason", reason, "heard_ms", heard_ms, "lease_epoch", lease_epoch);
	lug_count(shard->shared.ctx, TASKS_LOST, 1);
	shard_note_former_run(task, "lost", now_us);
	shard_release_claim(shard, job, task, &job->workflow->steps[id->step]);
	shard_job_mark_changed(shard, job);
}

/* Called for each task that is claimed for a worker; may release the claim. */
typedef void (*claim_visitor_fn)(struct lug_shard *shard, struct shard_job *job,
				 struct shard_task *task, const struct lug_run_id *id, void *data);

static void for_each_claim(struct lug_shard *shard, const char *worker, claim_visitor_fn fn,
			   void *data)
{
	struct shard_claims *claims = shard_find_claims(shard, worker);

	if (!claims)
		return;
	LUG_LIST_FOREACH_SAFE (&claims->tasks, pos, tmp) {
		struct shard_task *task = LUG_CONTAINER_OF(pos, struct shard_task, claim_node);
		struct lug_run_id id = {.occurrence = task->occurrence,
					.step = task->step,
					.index = task->index,
					.run = task->run};

		g_strlcpy(id.job, task->job->workflow->id, sizeof(id.job));
		fn(shard, task->job, task, &id, data);
	}
}

/*
 * struct beat_check - context of comparing the claims for a worker with its heartbeat
 * @worker: worker
 * @held: runs of the shard that the agent holds
 * @runs: those runs by id, struct lug_run_id to Lug__RunHeld
 * @now_us: current time
 */
struct beat_check {
	struct lug_fleet_worker *worker;
	const Lug__ShardHeld *held;
	GHashTable *runs;
	gint64 now_us;
};

/* The runs of a list by id. Items that can't be read are left out. */
static GHashTable *index_held(const Lug__ShardHeld *held)
{
	GHashTable *runs = g_hash_table_new_full(lug_run_hash, lug_run_hash_equal, g_free, NULL);

	for (gsize i = 0; i < held->n_held; i++) {
		struct lug_run_id *id = g_new(struct lug_run_id, 1);

		if (lug_run_from_wire(held->held[i]->id, id))
			g_hash_table_insert(runs, id, held->held[i]);
		else
			g_free(id);
	}
	return runs;
}

/* Whether a list names the run if the agent holds it. It may have been cut at either end. */
static gboolean covers_run(const Lug__ShardHeld *held, const struct lug_run_id *id)
{
	struct lug_run_id bound;

	if (held->listed_after &&
	    (!lug_run_from_wire(held->listed_after, &bound) || lug_run_compare(id, &bound) <= 0))
		return FALSE;
	return !held->listed_until ||
	       (lug_run_from_wire(held->listed_until, &bound) && lug_run_compare(id, &bound) <= 0);
}

/* Sends a run's size, image and target to an agent that knows the run only from a poll. */
static void send_run_attributes(struct lug_shard *shard, const struct lug_route *route,
				struct shard_job *job, const struct lug_run_id *id, gint64 now_us)
{
	const struct lug_step *step = &job->workflow->steps[id->step];
	Lug__RunStart start = LUG__RUN_START__INIT;
	struct lug_resources size;
	Lug__Resources wire;
	Lug__RunId run;
	LUG_ENVELOPE(env, RUN_START, run_start, &start);

	shard_step_size(step, &size);
	lug_resources_to_wire(&size, &wire);
	lug_run_to_wire(id, &run);
	start.has_shard = 1;
	start.shard = shard->number;
	start.has_epoch = 1;
	start.epoch = lug_shard_epoch(shard);
	start.id = &run;
	start.size = &wire;
	start.image = step->image;
	start.has_fill_millicores = 1;
	start.fill_millicores = step->best_effort ? step->size.millicores : 0;
	start.has_fills = 1;
	start.fills = step->best_effort;
	start.has_target_ms = 1;
	start.target_ms = (guint32)step->target_ms;
	start.has_size_only = 1;
	start.size_only = 1;
	shard_fill_times(shard, job, id, &start, now_us);
	lug_link_send(shard->shared.link, route, &env);
}

/*
 * Whether the agent was restarted together with its worker, and so can't report the crash of the
 * worker under the task.
 */
static gboolean was_lost_with_agent(const struct shard_task *task,
				    const struct lug_fleet_worker *worker)
{
	return task->worker_incarnation && task->lease_epoch < worker->lease_epoch &&
	       task->worker_incarnation < worker->worker_incarnation && !worker->exit_announced;
}

/*
 * An owner that can't commit may have been replaced, and can't read the cancellations in the inbox:
 * it sends no start again, as none of a job whose end is decided.
 */
static gboolean may_resend_start(const struct lug_shard *shard, const struct shard_task *task,
				 gint64 now_us)
{
	return now_us - task->start_sent_us > START_RESEND_US &&
	       task->job->end_state == LUG_WORKFLOW_UNKNOWN && !lug_shard_is_stalled(shard, now_us);
}

static void check_claim(struct lug_shard *shard, struct shard_job *job, struct shard_task *task,
			const struct lug_run_id *id, void *data)
{
	const struct beat_check *check = data;
	const Lug__RunHeld *held = g_hash_table_lookup(check->runs, id);
	const struct lug_fleet_worker *worker = check->worker;
	const char *reason = NULL;

	if (held) {
		if (!held->unconfirmed)
			shard_mark_begun(job, task);
		shard_confirm_reservation(shard, task, &job->workflow->steps[id->step]);
		task->progress_percent = held->percent;
		task->metric = held->figure;
		if (held->has_share && held->share < UNTHROTTLED_PERCENT)
			task->timed_since_us = 0;
		/* A run that has lasted is not the cause of earlier crashes. */
		if (job->workflow->steps[id->step].long_running && task->start_seq &&
		    check->now_us - task->start_sent_us > CRASH_FORGET_US)
			task->crash = (struct lug_crash_history){0};
		shard_save_checkpoint(task, held->checkpoint);
		if (held->unsized)
			send_run_attributes(shard, &worker->route, job, id, check->now_us);
		else if (held->has_share)
			shard_relocate_if_slow(shard, job, task, id, held->share, check->now_us);
		return;
	}
	if (!covers_run(check->held, id))
		return;
	/* The claim is not yet committed, or its start not yet sent. */
	if (task->shard_epoch == lug_shard_epoch(shard) && !task->start_seq)
		return;
	if (task->lease_epoch < worker->lease_epoch)
		reason = "claimed for an earlier lease of its worker";
	else if (task->shard_epoch < lug_shard_epoch(shard))
		reason = "claimed by an earlier owner and not held by its worker";
	else if (task->start_seq <= check->held->last_seq)
		reason = "received by its worker's agent, which does not hold it";
	if (reason) {
		if (was_lost_with_agent(task, worker)) {
			lug_crash_record(&task->crash, 0, task->begun);
			shard_check_crash_history(shard, job, task, id, check->now_us);
		}
		return_lost_task(shard, job, task, id, reason, check->now_us);
		return;
	}
	if (may_resend_start(shard, task, check->now_us))
		shard_send_start(shard, job, task, id, check->now_us);
}

static gboolean is_run_claimed(struct lug_shard *shard, const struct lug_run_id *id,
			       const char *worker)
{
	struct shard_job *job = g_hash_table_lookup(shard->jobs, id->job);
	struct shard_task *task = job ? shard_find_task(job, id) : NULL;

	return task && task->state == SHARD_TASK_CLAIMED && task->run == id->run &&
	       !strcmp(task->worker, worker);
}

static gboolean is_unlisted(const struct lug_run_id *id, void *data)
{
	const struct beat_check *check = data;

	return !g_hash_table_contains(check->runs, id) && covers_run(check->held, id);
}

/* The worker's agent lists a run without a claim. */
static void stop_stray(struct lug_shard *shard, const struct lug_fleet_worker *worker,
		       const struct lug_run_id *id)
{
	shard_add_stray(shard, id, worker->name, worker->lease_epoch);
	shard_send_stop(shard, worker, id);
}

/**
 * lug_shard_on_beat - reconcile the runs that an agent holds with the claims for its worker
 * @shard: shard
 * @worker: worker
 * @held: runs of this shard that the agent holds, and the shard epoch known to it
 * @now_us: current time
 *
 * Claimed runs that the agent does not hold are treated as lost, or their starts are resent. Held
 * runs without a claim are stopped. A heartbeat with another shard epoch is ignored. A list that
 * was cut concerns the runs between its bounds; the next heartbeats bring the others.
 */
void lug_shard_on_beat(struct lug_shard *shard, struct lug_fleet_worker *worker,
		       const Lug__ShardHeld *held, gint64 now_us)
{
	struct beat_check check = {worker, held, NULL, now_us};
	struct shard_claims *claims = shard_find_claims(shard, worker->name);

	if (shard->load_phase != SHARD_LOAD_DONE || held->epoch != lug_shard_epoch(shard))
		return;
	if (claims)
		shard_note_list(shard, worker->name, claims, now_us);
	shard_reserve_on_beat(shard, worker, now_us);
	check.runs = index_held(held);
	for_each_claim(shard, worker->name, check_claim, &check);
	shard_settle_unlisted_strays(shard, worker->name, is_unlisted, &check);
	g_hash_table_unref(check.runs);
	for (gsize i = 0; i < held->n_held; i++) {
		struct lug_run_id id;

		if (lug_run_from_wire(held->held[i]->id, &id) &&
		    !is_run_claimed(shard, &id, worker->name))
			stop_stray(shard, worker, &id);
	}
}

/*
 * struct lease_end - context of returning the tasks of a worker whose lease has ended
 * @epoch: epoch of the lease
 * @announced: the worker or its agent had announced that it leaves
 * @now_us: current time
 */
struct lease_end {
	guint64 epoch;
	gboolean announced;
	gint64 now_us;
};

static void return_task_if_fenced(struct lug_shard *shard, struct shard_job *job,
				  struct shard_task *task, const struct lug_run_id *id, void *data)
{
	const struct lease_end *end = data;

	if (task->lease_epoch > end->epoch)
		return;
	if (task->begun && !end->announced) {
		lug_crash_record_loss(&task->crash);
		shard_check_crash_history(shard, job, task, id, end->now_us);
	}
	return_lost_task(shard, job, task, id, "lease of its worker fenced", end->now_us);
}

/**
 * lug_shard_worker_lost - return the tasks of runs under a fenced lease to waiting
 * @shard: shard
 * @worker: worker
 * @lease_epoch: runs started under this or an earlier lease epoch have ended
 * @now_us: current time
 */
void lug_shard_worker_lost(struct lug_shard *shard, const char *worker, guint64 lease_epoch,
			   gint64 now_us)
{
	const struct lug_fleet_worker *fleet_worker = lug_fleet_find(shard->shared.fleet, worker);
	struct lease_end end = {
		.epoch = lease_epoch,
		.announced = fleet_worker && fleet_worker->draining,
		.now_us = now_us,
	};

	if (shard->load_phase != SHARD_LOAD_DONE)
		return;
	for_each_claim(shard, worker, return_task_if_fenced, &end);
	shard_settle_strays_of_lease(shard, worker, lease_epoch, FALSE);
}

/**
 * lug_shard_unlisted_us - time for which a worker's agent has not listed its runs of the shard
 * @shard: shard
 * @worker: worker
 * @now_us: current time
 *
 * Return: microseconds since the latest list, or since its claims were loaded; -1 when no task is
 * claimed for the worker.
 */
gint64 lug_shard_unlisted_us(const struct lug_shard *shard, const char *worker, gint64 now_us)
{
	const struct shard_claims *claims = shard_find_claims(shard, worker);

	if (!claims || lug_list_empty(&claims->tasks))
		return -1;
	return MAX(now_us - claims->listed_us, 0);
}
