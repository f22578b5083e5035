#include "workflow/placement.h"
#include "workflow/shard_priv.h"

#include <string.h>

/* Claims made in one pass; the next pass follows after their commit. */
#define CLAIMS_PER_PASS 64
/* Part of its speed below which a task that fills rather waits for another to end. */
#define LEAST_SPEED 0.5
/* Part of the declared work that is left for which a job still counts as on time. */
#define HOPE 0.6
#define SORT_US (200 * 1000)
/* A task that fills and works at less than this, percent, for this long is moved... */
#define SLOW_SHARE 35
#define SLOW_US (900 * 1000)
/* ...to where it finds this part of its speed, if little work is lost by that. */
#define MOVE_SPEED 0.75
#define UNSAVED_PERCENT 15

/**
 * shard_send_start - send the start of a claimed task
 */
void shard_send_start(struct lug_shard *shard, struct shard_job *entry, struct shard_task *task,
		      const struct lug_run_id *id, gint64 now_us)
{
	struct lug_fleet_worker *worker = lug_fleet_find(shard->env.fleet, task->worker);
	const struct lug_step *step = &entry->flow->steps[id->step];
	Lug__RunStart start = LUG__RUN_START__INIT;
	struct lug_resources size;
	Lug__Resources wire;
	Lug__RunId run;
	LUG_ENVELOPE(env, RUN_START, run_start, &start);

	if (!worker)
		return;
	shard_size(step, &size);
	lug_size_to_wire(&size, &wire);
	lug_run_to_wire(id, &run);
	task->seq = ++shard->seq;
	task->sent_us = now_us;
	start.has_shard = 1;
	start.shard = shard->number;
	start.has_epoch = 1;
	start.epoch = lug_shard_epoch(shard);
	start.has_seq = 1;
	start.seq = task->seq;
	start.has_lease_epoch = 1;
	start.lease_epoch = task->lease_epoch;
	start.id = &run;
	start.size = &wire;
	start.spec = entry->flow->spec;
	start.checkpoint = task->checkpoint ? task->checkpoint : (char *)"";
	start.image = step->image;
	start.has_fill_millicores = 1;
	start.fill_millicores = step->best_effort ? step->size.millicores : 0;
	start.has_fills = 1;
	start.fills = step->best_effort;
	start.has_lasts = 1;
	start.lasts = step->long_running;
	start.has_target_ms = 1;
	start.target_ms = (guint32)step->target_ms;
	start.has_priority = 1;
	start.priority = entry->priority;
	lug_count(shard->env.ctx, TASKS_STARTED, 1);
	lug_link_send(shard->env.link, &worker->route, &env);
}

/**
 * shard_send_stop - order a run that is not wanted to stop
 */
void shard_send_stop(struct lug_shard *shard, const struct lug_fleet_worker *worker,
		     const struct lug_run_id *id)
{
	Lug__RunStop stop = LUG__RUN_STOP__INIT;
	Lug__RunId run;
	LUG_ENVELOPE(env, RUN_STOP, run_stop, &stop);

	lug_run_to_wire(id, &run);
	stop.has_shard = 1;
	stop.shard = shard->number;
	stop.has_epoch = 1;
	stop.epoch = lug_shard_epoch(shard);
	stop.id = &run;
	lug_link_send(shard->env.link, &worker->route, &env);
}

/**
 * shard_send_ack - tell an agent that the end of a run is stored
 */
void shard_send_ack(struct lug_shard *shard, const struct lug_route *route,
		    const struct lug_run_id *id)
{
	Lug__RunEndAck ack = LUG__RUN_END_ACK__INIT;
	Lug__RunId run;
	LUG_ENVELOPE(env, RUN_END_ACK, run_end_ack, &ack);

	lug_run_to_wire(id, &run);
	ack.has_shard = 1;
	ack.shard = shard->number;
	ack.id = &run;
	lug_link_send(shard->env.link, route, &env);
}

/**
 * shard_begin_due - begin the occurrences whose time has come
 */
void shard_begin_due(struct lug_shard *shard, gint64 now_us)
{
	gint64 wall_ms = g_get_real_time() / 1000;

	(void)now_us;
	SHARD_FOREACH_JOB(shard, entry)
	{
		const struct lug_workflow *flow = entry->flow;

		while (entry->end == LUG_WORKFLOW_UNKNOWN &&
		       entry->next_occurrence < flow->occurrences) {
			if (flow->scheduled &&
			    flow->start_at_ms + (gint64)entry->next_occurrence * flow->interval_ms >
				    wall_ms)
				break;
			shard_occurrence_begin(entry, entry->next_occurrence++);
			shard_job_changed(shard, entry);
		}
	}
}

static gint by_turn(gconstpointer a, gconstpointer b)
{
	const struct shard_job *left = *(const struct shard_job *const *)a;
	const struct shard_job *right = *(const struct shard_job *const *)b;

	if (left->priority != right->priority)
		return left->priority < right->priority ? -1 : 1;
	if (left->late != right->late)
		return left->late ? 1 : -1;
	return left->due_us < right->due_us ? -1 : left->due_us > right->due_us;
}

/* Longest chain of declared work, over all steps or over those that are not done. */
static gint64 chain_ms(const struct shard_job *entry, const struct shard_occurrence *occ)
{
	const struct lug_workflow *flow = entry->flow;
	gint64 *ends = g_new0(gint64, flow->n_steps + 1);
	gint64 longest = 0;

	for (guint32 s = 0; s < flow->n_steps; s++) {
		const struct lug_step *step = &flow->steps[s];

		for (guint32 i = 0; i < step->n_after; i++)
			ends[s] = MAX(ends[s], ends[step->after[i]]);
		if (!occ || occ->done[s] < step->count)
			ends[s] += step->estimate_ms;
		longest = MAX(longest, ends[s]);
	}
	g_free(ends);
	return longest;
}

/*
 * When a job is due, and whether it can still be on time. One that can't goes behind those
 * that can: it earns little, and would make the next one late as well.
 */
static void judge(struct lug_shard *shard, struct shard_job *entry, gint64 now_us)
{
	const struct lug_queue_def *def =
		lug_queues_find(lug_config_queues(shard->env.config), entry->flow->queue);

	if (!def)
		return;
	entry->priority = def->priority;
	entry->due_us = entry->accepted_us +
			(gint64)(def->slo_factor * (double)chain_ms(entry, NULL) * 1000) +
			def->slo_ms * 1000;
	entry->late = FALSE;
	if (entry->occurrences->len == 1 && !entry->flow->scheduled)
		entry->late =
			now_us + (gint64)(HOPE * 1000 *
					  (double)chain_ms(entry, g_ptr_array_index(
									  entry->occurrences, 0))) >
			entry->due_us;
}

static void sort_jobs(struct lug_shard *shard, gint64 now_us)
{
	if (shard->sorted && now_us < shard->next_sort_us)
		return;
	shard->sorted = TRUE;
	shard->next_sort_us = now_us + SORT_US;
	SHARD_FOREACH_JOB(shard, entry)
	{
		judge(shard, entry, now_us);
	}
	g_ptr_array_sort(shard->order, by_turn);
}

static gboolean step_open(const struct shard_job *entry, const struct shard_occurrence *occ,
			  guint32 s)
{
	const struct lug_step *step = &entry->flow->steps[s];

	for (guint32 i = 0; i < step->n_after; i++)
		if (occ->done[step->after[i]] < entry->flow->steps[step->after[i]].count)
			return FALSE;
	return occ->done[s] < step->count;
}

struct spread_count {
	const struct shard_job *entry;
	const struct shard_occurrence *occ;
	guint32 step;
};

static guint32 count_on_worker(void *data, const char *worker)
{
	const struct spread_count *count = data;
	const char *name = g_intern_string(worker);
	guint32 n = 0;

	for (guint32 i = count->entry->first[count->step]; i < count->entry->first[count->step + 1];
	     i++)
		n += count->occ->tasks[i].state == SHARD_TASK_CLAIMED &&
		     count->occ->tasks[i].worker == name;
	return n;
}

static void claim(struct lug_shard *shard, struct shard_job *entry, struct shard_task *task,
		  struct lug_fleet_worker *worker, const struct lug_placement_request *want)
{
	task->state = SHARD_TASK_CLAIMED;
	task->run++;
	task->worker = g_intern_string(worker->name);
	task->lease_epoch = worker->lease_epoch;
	task->shard_epoch = lug_shard_epoch(shard);
	task->seq = 0;
	task->confirmed = FALSE;
	lug_fleet_claim(worker, &want->size);
	lug_fleet_add_pending(worker, want->step);
	entry->started = TRUE;
	shard_job_changed(shard, entry);
	task->claim_gen = entry->gen;
}

/* Another worker than the one on which the task has failed, or that one where it is alone. */
static struct lug_fleet_worker *choose(struct lug_shard *shard, struct lug_placement_request *want,
				       gint64 now_us)
{
	GPtrArray *workers = lug_fleet_workers(shard->env.fleet);
	struct lug_fleet_worker *worker =
		lug_placement_choose(workers, want, shard->env.ctx->rng, now_us);

	if (worker || !want->avoid)
		return worker;
	want->avoid = NULL;
	return lug_placement_choose(workers, want, shard->env.ctx->rng, now_us);
}

/**
 * shard_move_slow - stop a task that serving tasks leave little room, if it finds more elsewhere
 * @shard: shard
 * @entry: job
 * @task: claimed task that fills
 * @id: its run
 * @share: share at which it works, percent
 * @now_us: present time
 *
 * It is placed anew when its end has come with what it has saved.
 */
void shard_move_slow(struct lug_shard *shard, struct shard_job *entry, struct shard_task *task,
		     const struct lug_run_id *id, guint32 share, gint64 now_us)
{
	const struct lug_step *step = &entry->flow->steps[id->step];
	const struct lug_queue_def *def =
		lug_queues_find(lug_config_queues(shard->env.config), entry->flow->queue);
	struct spread_count count = {entry, NULL, id->step};
	struct lug_placement_request want = {.step = step,
					     .service = def ? def->service : "",
					     .interference =
						     lug_fleet_interference(shard->env.fleet),
					     .least_speed = MOVE_SPEED,
					     .on_worker = count_on_worker,
					     .data = &count};
	struct lug_fleet_worker *other;

	if (share >= SLOW_SHARE || step->spread || step->gang || task->moving) {
		task->slow_us = 0;
		return;
	}
	if (!task->slow_us)
		task->slow_us = now_us;
	if (now_us - task->slow_us < SLOW_US ||
	    (!step->checkpointing && task->percent > UNSAVED_PERCENT))
		return;
	shard_size(step, &want.size);
	other = lug_placement_choose(lug_fleet_workers(shard->env.fleet), &want,
				     shard->env.ctx->rng, now_us);
	if (!other || g_intern_string(other->name) == task->worker)
		return;
	task->moving = TRUE;
	shard_send_stop(shard, lug_fleet_find(shard->env.fleet, task->worker), id);
	lug_count(shard->env.ctx, TASKS_EVICTED, 1);
}

static void place_step(struct lug_shard *shard, struct shard_job *entry,
		       struct shard_occurrence *occ, guint32 s, const char *service, guint *budget,
		       gint64 now_us)
{
	struct spread_count count = {entry, occ, s};
	struct lug_placement_request want = {.step = &entry->flow->steps[s],
					     .service = service,
					     .interference =
						     lug_fleet_interference(shard->env.fleet),
					     .least_speed = LEAST_SPEED,
					     .on_worker = count_on_worker,
					     .data = &count};

	shard_size(want.step, &want.size);
	for (guint32 i = entry->first[s]; i < entry->first[s + 1] && *budget; i++) {
		struct shard_task *task = &occ->tasks[i];
		struct lug_fleet_worker *worker;

		if (task->state != SHARD_TASK_WAITING || now_us < task->not_before_us)
			continue;
		want.avoid = task->failed_on;
		worker = choose(shard, &want, now_us);
		if (!worker)
			return;
		claim(shard, entry, task, worker, &want);
		(*budget)--;
	}
}

static void place_job(struct lug_shard *shard, struct shard_job *entry, guint *budget,
		      gint64 now_us)
{
	const struct lug_queue_def *def =
		lug_queues_find(lug_config_queues(shard->env.config), entry->flow->queue);

	if (entry->end != LUG_WORKFLOW_UNKNOWN || !def)
		return;
	for (guint k = 0; k < entry->occurrences->len; k++) {
		struct shard_occurrence *occ = g_ptr_array_index(entry->occurrences, k);

		for (guint32 s = 0; s < entry->flow->n_steps && *budget; s++)
			if (step_open(entry, occ, s))
				place_step(shard, entry, occ, s, def->service, budget, now_us);
	}
}

/**
 * shard_place - claim workers for the tasks whose turn it is
 * @shard: shard whose rows are loaded
 * @now_us: present time
 *
 * Claims wait for the transaction in flight, so that one transaction stores all that has
 * gathered meanwhile.
 */
void shard_place(struct lug_shard *shard, gint64 now_us)
{
	guint budget = CLAIMS_PER_PASS;

	if (shard->in_flight)
		return;
	sort_jobs(shard, now_us);
	SHARD_FOREACH_JOB(shard, entry)
	{
		place_job(shard, entry, &budget, now_us);
	}
}
