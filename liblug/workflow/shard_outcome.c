#include "workflow/shard_priv.h"

#include <string.h>

/* A failed run is followed by the next one no sooner. */
#define FAILED_PAUSE_US (50 * 1000)
/* A worker that refused or failed runs in a row is left out this long, doubled each time. */
#define AVOID_US (1000 * 1000)
#define AVOID_MAX_US (16 * 1000 * 1000)
#define FAILING_RUNS 3
/* A start that the agent has not seen by then is sent again. */
#define RESEND_US (700 * 1000)

/**
 * shard_step - step of a task
 * @entry: job
 * @task: index of the task within an occurrence
 * @step: where the step's number goes, may be NULL
 */
const struct lug_step *shard_step(const struct shard_job *entry, guint32 task, guint32 *step)
{
	guint32 s = 0;

	while (s + 1 < entry->flow->n_steps && task >= entry->first[s + 1])
		s++;
	if (step)
		*step = s;
	return &entry->flow->steps[s];
}

/**
 * shard_unclaim - take a task's claim off its worker
 */
void shard_unclaim(struct lug_shard *shard, struct shard_job *entry, struct shard_task *task,
		   const struct lug_step *step)
{
	struct lug_fleet_worker *worker =
		task->worker ? lug_fleet_find(shard->env.fleet, task->worker) : NULL;
	struct lug_resources size;

	(void)entry;
	shard_size(step, &size);
	if (worker) {
		lug_fleet_release(worker, &size, task->confirmed);
		if (!task->confirmed)
			lug_fleet_remove_pending(worker, step);
	}
	task->state = SHARD_TASK_WAITING;
	task->worker = NULL;
	task->confirmed = FALSE;
	task->seq = 0;
	task->percent = 0;
	task->slow_us = 0;
	task->moving = FALSE;
}

static void confirm(struct lug_shard *shard, struct shard_job *entry, struct shard_task *task,
		    const struct lug_step *step)
{
	struct lug_fleet_worker *worker = lug_fleet_find(shard->env.fleet, task->worker);
	struct lug_resources size;

	entry->begun = TRUE;
	if (task->confirmed || !worker)
		return;
	task->confirmed = TRUE;
	lug_fleet_remove_pending(worker, step);
	shard_size(step, &size);
	lug_fleet_confirm(worker, &size);
}

static void log_run(struct lug_shard *shard, const char *event, const struct lug_run_id *id,
		    const char *worker, const char *key, const char *value)
{
	char name[LUG_RUN_NAME_MAX];

	lug_run_name(id, name, sizeof(name));
	lug_info(shard->env.ctx, event, "job", id->job, "run", name, "worker", worker ? worker : "",
		 key, value);
}

static void save_checkpoint(struct shard_task *task, const char *checkpoint)
{
	if (!checkpoint || !*checkpoint || !g_strcmp0(task->checkpoint, checkpoint))
		return;
	g_free(task->checkpoint);
	task->checkpoint = g_strdup(checkpoint);
}

static void blame(struct lug_fleet_worker *worker, gint64 now_us)
{
	guint32 over;

	if (!worker)
		return;
	worker->failures++;
	if (worker->failures < FAILING_RUNS)
		return;
	over = MIN(worker->failures - FAILING_RUNS, 4);
	worker->avoid_until_us = now_us + MIN((gint64)AVOID_US << over, AVOID_MAX_US);
}

static void praise(struct lug_fleet_worker *worker)
{
	if (worker)
		worker->failures = 0;
}

static void task_done(struct lug_shard *shard, struct shard_job *entry,
		      struct shard_occurrence *occ, guint32 step)
{
	occ->done[step]++;
	occ->left--;
	if (occ->left)
		return;
	for (guint32 i = 0; i < entry->first[entry->flow->n_steps]; i++)
		g_free(occ->tasks[i].checkpoint);
	g_ptr_array_remove(entry->occurrences, occ);
	if (!entry->occurrences->len && entry->next_occurrence >= entry->flow->occurrences)
		shard_finish(shard, entry, LUG_WORKFLOW_COMPLETED);
}

static struct shard_occurrence *find_occurrence(struct shard_job *entry, guint32 number)
{
	for (guint i = 0; i < entry->occurrences->len; i++) {
		struct shard_occurrence *occ = g_ptr_array_index(entry->occurrences, i);

		if (occ->number == number)
			return occ;
	}
	return NULL;
}

static void settle_end(struct lug_shard *shard, struct shard_job *entry, struct shard_task *task,
		       const struct lug_run_id *id, enum lug_run_outcome outcome, gint64 now_us)
{
	const struct lug_step *step = &entry->flow->steps[id->step];
	struct lug_fleet_worker *worker =
		task->worker ? lug_fleet_find(shard->env.fleet, task->worker) : NULL;

	entry->begun = TRUE;
	if (task->state == SHARD_TASK_CLAIMED)
		shard_unclaim(shard, entry, task, step);
	if (outcome == LUG_RUN_DONE)
		praise(worker);
	if (outcome == LUG_RUN_FAILED) {
		blame(worker, now_us);
		task->failed_on = worker ? g_intern_string(worker->name) : NULL;
	}
	if (outcome == LUG_RUN_DONE && !step->long_running) {
		task->state = SHARD_TASK_DONE;
		task_done(shard, entry, find_occurrence(entry, id->occurrence), id->step);
	} else if (outcome == LUG_RUN_FAILED && !step->long_running) {
		task->fails++;
		task->not_before_us = now_us + FAILED_PAUSE_US;
		if (task->fails >= shard_attempts(shard, entry))
			shard_finish(shard, entry, LUG_WORKFLOW_FAILED);
	}
	shard_job_changed(shard, entry);
}

/*
 * The end of a claimed run counts. So does that of a run which was taken for lost, if it is
 * done after all; a failure told twice would count as two.
 */
static gboolean counts(const struct shard_task *task, const char *worker, const Lug__RunEnd *end)
{
	if (task->state == SHARD_TASK_CLAIMED)
		return !strcmp(task->worker, worker);
	return task->state == SHARD_TASK_WAITING && end->outcome == LUG_RUN_DONE;
}

/**
 * lug_shard_end - take the end of a run in
 * @shard: shard
 * @route: where the acknowledgement goes
 * @worker: worker that ran it
 * @end: message
 * @now_us: present time
 *
 * The end is acknowledged after its commit, or at once when it changes nothing.
 */
void lug_shard_end(struct lug_shard *shard, const struct lug_route *route, const char *worker,
		   const Lug__RunEnd *end, gint64 now_us)
{
	struct lug_fleet_worker *at = lug_fleet_find(shard->env.fleet, worker);
	struct shard_job *entry;
	struct shard_task *task;
	struct shard_ack ack = {0};

	if (shard->load != LOAD_DONE || !lug_run_from_wire(end->id, &ack.id))
		return;
	entry = g_hash_table_lookup(shard->jobs, ack.id.job);
	task = entry ? shard_find_task(entry, &ack.id) : NULL;
	if (task && task->run == ack.id.run && counts(task, worker, end)) {
		shard_note(entry->ends, &ack.id, worker, lug_run_outcome_name(end->outcome),
			   now_us - entry->accepted_us);
		entry->failed = entry->failed || end->outcome != LUG_RUN_DONE;
		save_checkpoint(task, end->checkpoint);
		settle_end(shard, entry, task, &ack.id, (enum lug_run_outcome)end->outcome, now_us);
	} else if (!entry || entry->gen == entry->committed_gen) {
		shard_send_ack(shard, route, &ack.id);
		return;
	}
	if (at && end->used) {
		struct lug_resources used;

		lug_size_from_wire(end->used, &used);
		lug_fleet_used(at, &used);
	}
	for (guint i = 0; i < entry->acks->len; i++)
		if (lug_run_same(&g_array_index(entry->acks, struct shard_ack, i).id, &ack.id))
			return;
	g_strlcpy(ack.worker, worker, sizeof(ack.worker));
	ack.gen = entry->gen;
	g_array_append_val(entry->acks, ack);
}

/**
 * lug_shard_answer - take an agent's answer to a start in
 */
void lug_shard_answer(struct lug_shard *shard, const char *worker, const Lug__RunAnswer *answer,
		      gint64 now_us)
{
	struct lug_fleet_worker *at = lug_fleet_find(shard->env.fleet, worker);
	struct shard_job *entry;
	struct shard_task *task;
	struct lug_resources used;
	struct lug_run_id id;

	if (shard->load != LOAD_DONE || !lug_run_from_wire(answer->id, &id))
		return;
	entry = g_hash_table_lookup(shard->jobs, id.job);
	task = entry ? shard_find_task(entry, &id) : NULL;
	if (!task || task->state != SHARD_TASK_CLAIMED || task->run != id.run ||
	    strcmp(task->worker, worker))
		return;
	/* The copy that was sent later may still be carried out. */
	if (answer->status != LUG_OK && answer->has_seq && answer->seq < task->seq) {
		log_run(shard, "refusal_ignored", &id, worker, "reason",
			"the start was sent again");
		return;
	}
	if (answer->status == LUG_OK) {
		confirm(shard, entry, task, &entry->flow->steps[id.step]);
	} else {
		shard_note(entry->refusals, &id, worker,
			   lug_status_name((enum lug_status)answer->status),
			   now_us - entry->accepted_us);
		lug_count(shard->env.ctx, TASKS_REFUSED, 1);
		shard_unclaim(shard, entry, task, &entry->flow->steps[id.step]);
		if (answer->status != LUG_OVER_LIMIT)
			blame(at, now_us);
		else if (at && entry->flow->steps[id.step].best_effort)
			at->full = TRUE;
		shard_job_changed(shard, entry);
	}
	if (at && answer->used) {
		lug_size_from_wire(answer->used, &used);
		lug_fleet_used(at, &used);
	}
}

static void requeue(struct lug_shard *shard, struct shard_job *entry, struct shard_task *task,
		    const struct lug_run_id *id, const char *why)
{
	log_run(shard, "run_lost", id, task->worker, "reason", why);
	lug_count(shard->env.ctx, TASKS_LOST, 1);
	shard_unclaim(shard, entry, task, &entry->flow->steps[id->step]);
	shard_job_changed(shard, entry);
}

static const Lug__RunHeld *find_held(const Lug__ShardHeld *held, const struct lug_run_id *id)
{
	for (gsize i = 0; held && i < held->n_held; i++) {
		struct lug_run_id other;

		if (lug_run_from_wire(held->held[i]->id, &other) && lug_run_same(&other, id))
			return held->held[i];
	}
	return NULL;
}

/* Visits the tasks that are claimed for one worker. */
typedef void (*claimed_fn)(struct lug_shard *shard, struct shard_job *entry,
			   struct shard_task *task, const struct lug_run_id *id, void *data);

static void each_claimed(struct lug_shard *shard, const char *worker, claimed_fn fn, void *data)
{
	const char *name = g_intern_string(worker);

	SHARD_FOREACH_JOB(shard, entry)
	{
		for (guint k = 0; k < entry->occurrences->len; k++) {
			struct shard_occurrence *occ = g_ptr_array_index(entry->occurrences, k);

			for (guint32 s = 0; s < entry->flow->n_steps; s++)
				for (guint32 i = entry->first[s]; i < entry->first[s + 1]; i++) {
					struct lug_run_id id;

					if (occ->tasks[i].state != SHARD_TASK_CLAIMED ||
					    occ->tasks[i].worker != name)
						continue;
					shard_task_id(entry, occ, s, i - entry->first[s], &id);
					fn(shard, entry, &occ->tasks[i], &id, data);
				}
		}
	}
}

struct beat_check {
	struct lug_fleet_worker *worker;
	const Lug__ShardHeld *held;
	gint64 now_us;
};

static void send_size(struct lug_shard *shard, const struct lug_route *route,
		      const struct shard_job *entry, const struct lug_run_id *id)
{
	const struct lug_step *step = &entry->flow->steps[id->step];
	Lug__RunStart start = LUG__RUN_START__INIT;
	struct lug_resources size;
	Lug__Resources wire;
	Lug__RunId run;
	LUG_ENVELOPE(env, RUN_START, run_start, &start);

	shard_size(step, &size);
	lug_size_to_wire(&size, &wire);
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
	lug_link_send(shard->env.link, route, &env);
}

static void check_task(struct lug_shard *shard, struct shard_job *entry, struct shard_task *task,
		       const struct lug_run_id *id, void *data)
{
	const struct beat_check *check = data;
	const Lug__RunHeld *held = find_held(check->held, id);
	const struct lug_fleet_worker *worker = check->worker;

	if (held) {
		confirm(shard, entry, task, &entry->flow->steps[id->step]);
		task->percent = held->percent;
		task->metric = held->figure;
		save_checkpoint(task, held->checkpoint);
		if (held->unsized)
			send_size(shard, &worker->route, entry, id);
		else if (held->has_share)
			shard_move_slow(shard, entry, task, id, held->share, check->now_us);
		return;
	}
	/* The claim may not have been stored or sent yet. */
	if (task->shard_epoch == lug_shard_epoch(shard) && !task->seq)
		return;
	if (task->lease_epoch < worker->lease_epoch || task->shard_epoch < lug_shard_epoch(shard) ||
	    task->seq <= check->held->last_seq) {
		requeue(shard, entry, task, id, "not held by its worker");
		return;
	}
	if (check->now_us - task->sent_us > RESEND_US)
		shard_send_start(shard, entry, task, id, check->now_us);
}

static gboolean wanted(struct lug_shard *shard, const struct lug_run_id *id, const char *worker)
{
	struct shard_job *entry = g_hash_table_lookup(shard->jobs, id->job);
	struct shard_task *task = entry ? shard_find_task(entry, id) : NULL;

	return task && task->state == SHARD_TASK_CLAIMED && task->run == id->run &&
	       !strcmp(task->worker, worker);
}

/**
 * lug_shard_on_beat - compare what an agent holds with what it should hold
 * @shard: shard
 * @worker: worker
 * @held: runs of this shard that the agent holds, with the epoch that it follows
 * @now_us: present time
 */
void lug_shard_on_beat(struct lug_shard *shard, struct lug_fleet_worker *worker,
		       const Lug__ShardHeld *held, gint64 now_us)
{
	struct beat_check check = {worker, held, now_us};

	if (shard->load != LOAD_DONE || held->epoch != lug_shard_epoch(shard))
		return;
	each_claimed(shard, worker->name, check_task, &check);
	for (gsize i = 0; i < held->n_held; i++) {
		struct lug_run_id id;

		if (lug_run_from_wire(held->held[i]->id, &id) && !wanted(shard, &id, worker->name))
			shard_send_stop(shard, worker, &id);
	}
}

static void lose_fenced(struct lug_shard *shard, struct shard_job *entry, struct shard_task *task,
			const struct lug_run_id *id, void *data)
{
	if (task->lease_epoch <= *(const guint64 *)data)
		requeue(shard, entry, task, id, "lease of its worker fenced");
}

/**
 * lug_shard_worker_lost - nothing runs on a worker that was started under an epoch up to this one
 */
void lug_shard_worker_lost(struct lug_shard *shard, const char *worker, guint64 lease_epoch,
			   gint64 now_us)
{
	(void)now_us;
	if (shard->load == LOAD_DONE)
		each_claimed(shard, worker, lose_fenced, &lease_epoch);
}

static void count_claim(struct lug_shard *shard, struct shard_job *entry, struct shard_task *task,
			const struct lug_run_id *id, void *data)
{
	(void)shard;
	(void)entry;
	(void)task;
	(void)id;
	(*(guint *)data)++;
}

/**
 * lug_shard_claims - tell whether a task counts as running on a worker
 */
gboolean lug_shard_claims(const struct lug_shard *shard, const char *worker)
{
	guint n = 0;

	if (shard->load == LOAD_DONE)
		each_claimed((struct lug_shard *)shard, worker, count_claim, &n);
	return n > 0;
}
