#include "workflow/placement.h"
#include "workflow/shard_priv.h"

#include <string.h>

/* Maximum number of claims in one pass; the next pass follows their commit. */
#define CLAIMS_PER_PASS 64
/* Minimum expected speed, as a part of full speed, at which a best-effort task is placed. */
#define MIN_SPEED 0.5
/*
 * A job counts as infeasible when this part of its remaining critical path, as declared, would end
 * after its deadline.
 */
#define FEASIBLE_WORK_FRACTION 0.9
#define SORT_INTERVAL_US (200 * 1000)
/*
 * A best-effort task whose share stays below SLOW_SHARE_PERCENT for SLOW_DURATION_US is relocated
 * to a worker where it reaches RELOCATION_MIN_SPEED, a part of full speed. A task without
 * checkpoints is not relocated once its progress exceeds MAX_LOST_PROGRESS_PERCENT.
 */
#define SLOW_SHARE_PERCENT 50
#define SLOW_DURATION_US (500 * 1000)
#define RELOCATION_MIN_SPEED 0.7
#define MAX_LOST_PROGRESS_PERCENT 15

/**
 * shard_send_start - send the start of a claimed task, with the next sequence number
 *
 * For a worker of an evacuated zone, the message only withdraws a start that was sent before:
 * agents ignore a start for another lease epoch, but drop any with a lower sequence number
 * afterwards. The next heartbeat shows whether the run began.
 */
void shard_send_start(struct lug_shard *shard, struct shard_job *job, struct shard_task *task,
		      const struct lug_run_id *id, gint64 now_us)
{
	struct lug_fleet_worker *worker = lug_fleet_find(shard->shared.fleet, task->worker);
	const struct lug_step *step = &job->workflow->steps[id->step];
	Lug__RunStart start = LUG__RUN_START__INIT;
	struct lug_resources size;
	Lug__Resources wire;
	Lug__RunId run;
	LUG_ENVELOPE(env, RUN_START, run_start, &start);

	if (!worker)
		return;
	shard_step_size(step, &size);
	lug_resources_to_wire(&size, &wire);
	lug_run_to_wire(id, &run);
	task->start_seq = ++shard->last_start_seq;
	task->start_sent_us = now_us;
	task->timed_since_us = task->checkpoint ? 0 : now_us;
	start.has_shard = 1;
	start.shard = shard->number;
	start.has_epoch = 1;
	start.epoch = lug_shard_epoch(shard);
	start.has_seq = 1;
	start.seq = task->start_seq;
	start.has_lease_epoch = 1;
	start.lease_epoch =
		lug_fleet_is_evacuated(worker, shard_evacuation(shard)) ? 0 : task->lease_epoch;
	start.id = &run;
	start.size = &wire;
	start.spec = job->workflow->spec;
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
	start.priority = job->priority;
	start.has_isolate = lug_crash_is_suspect(&task->crash);
	start.isolate = start.has_isolate;
	shard_fill_times(shard, job, id, &start, now_us);
	lug_count(shard->shared.ctx, TASKS_STARTED, 1);
	lug_link_send(shard->shared.link, &worker->route, &env);
}

/**
 * shard_send_stop - ask a worker's agent to stop a run
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
	lug_link_send(shard->shared.link, &worker->route, &env);
}

/*
 * Whether another occurrence may be active; otherwise it waits for one of them to end. Half of the
 * job's row is left for claims.
 */
static gboolean has_room_for_occurrence(const struct lug_shard *shard, const struct shard_job *job)
{
	guint32 n_tasks = job->first_task[job->workflow->n_steps];

	if (!job->occurrences->len)
		return TRUE;
	return job->occurrences->len < SHARD_ACTIVE_TASKS_MAX / n_tasks &&
	       job->row_bytes + SHARD_OCCURRENCE_BYTES <= shard_row_max_bytes(shard) / 2;
}

/* Whether the job's row can hold another claim; otherwise the task waits for the end of a run. */
static gboolean has_room_for_claim(const struct lug_shard *shard, const struct shard_job *job)
{
	return job->row_bytes + SHARD_CLAIM_BYTES <= shard_row_max_bytes(shard);
}

/**
 * shard_begin_due_occurrences - begin all occurrences whose start time has passed
 */
void shard_begin_due_occurrences(struct lug_shard *shard, gint64 now_us)
{
	gint64 wall_ms = g_get_real_time() / 1000;

	(void)now_us;
	SHARD_FOREACH_JOB(shard, job)
	{
		const struct lug_workflow *workflow = job->workflow;

		while (job->end_state == LUG_WORKFLOW_UNKNOWN &&
		       job->next_occurrence < workflow->occurrences &&
		       has_room_for_occurrence(shard, job)) {
			if (workflow->scheduled &&
			    workflow->start_at_ms +
					    (gint64)job->next_occurrence * workflow->interval_ms >
				    wall_ms)
				break;
			shard_occurrence_begin(job, job->next_occurrence++);
			job->row_bytes += SHARD_OCCURRENCE_BYTES;
			shard_job_mark_changed(shard, job);
		}
	}
}

/* Order of placement, see set_order_key(). */
static gint compare_jobs(gconstpointer a, gconstpointer b)
{
	const struct shard_job *left = *(const struct shard_job *const *)a;
	const struct shard_job *right = *(const struct shard_job *const *)b;

	return lug_order_compare(&left->order, &right->order);
}

/**
 * shard_critical_path_ms - longest chain of declared run times of a job's steps
 * @workflow: definition of the job
 * @occ: occurrence whose completed steps count as 0, NULL for none
 */
gint64 shard_critical_path_ms(const struct lug_workflow *workflow,
			      const struct shard_occurrence *occ)
{
	gint64 *ends = g_new0(gint64, workflow->n_steps + 1);
	gint64 longest = 0;

	for (guint32 s = 0; s < workflow->n_steps; s++) {
		const struct lug_step *step = &workflow->steps[s];

		for (guint32 i = 0; i < step->n_after; i++)
			ends[s] = MAX(ends[s], ends[step->after[i]]);
		if (!occ || occ->done_per_step[s] < step->count)
			ends[s] += step->declared_ms;
		longest = MAX(longest, ends[s]);
	}
	g_free(ends);
	return longest;
}

/* The short steps of a job that has others too must not wait without bound. */
static gboolean is_long_running(const struct lug_workflow *workflow)
{
	for (guint32 s = 0; s < workflow->n_steps; s++)
		if (!workflow->steps[s].long_running)
			return FALSE;
	return TRUE;
}

/*
 * Sets a job's place: lowest priority number first, then feasible jobs, then by deadline; with
 * schedule.overload as in schedule/order.h. @remaining_us is negative when the job can't be late.
 */
static void set_order_key(const struct lug_shard *shard, struct shard_job *job, gint64 remaining_us,
			  gint64 now_us)
{
	struct lug_order_job order = {
		.priority = job->priority,
		.accepted_us = job->accepted_us,
		.first_us = job->first_us,
		.deadline_us = job->deadline_us,
		.remaining_us = remaining_us,
		.last_start_us = job->last_start_us,
		.long_running = shard->shared.ctx->settings->schedule_lookahead_ms > 0 &&
				is_long_running(job->workflow)};

	if (shard->shared.ctx->settings->schedule_overload) {
		lug_order_make_key(&order, now_us, &job->order);
		return;
	}
	job->order.priority = job->priority;
	job->order.group = job->infeasible ? LUG_ORDER_LATE : LUG_ORDER_IN_TIME;
	job->order.due_us = job->deadline_us;
}

/**
 * shard_update_sort_keys - update a job's priority and deadline, and whether it can still meet it
 *
 * A job that can't is placed after those that can: it would miss its objective anyway and could
 * make the next job miss its own.
 */
void shard_update_sort_keys(struct lug_shard *shard, struct shard_job *job, gint64 now_us)
{
	const struct lug_queue_def *def =
		lug_queues_find(lug_config_queues(shard->shared.config), job->workflow->queue);
	gint64 remaining_us = -1;

	if (!def)
		return;
	job->priority = def->priority;
	job->deadline_us = job->accepted_us +
			   (gint64)(def->slo_factor *
				    (double)shard_critical_path_ms(job->workflow, NULL) * 1000) +
			   def->slo_ms * 1000;
	if (job->occurrences->len == 1 && !job->workflow->scheduled)
		remaining_us =
			(gint64)(FEASIBLE_WORK_FRACTION * 1000 *
				 (double)shard_critical_path_ms(
					 job->workflow, g_ptr_array_index(job->occurrences, 0)));
	job->infeasible = remaining_us >= 0 && now_us + remaining_us > job->deadline_us;
	set_order_key(shard, job, remaining_us, now_us);
}

static void sort_jobs(struct lug_shard *shard, gint64 now_us)
{
	if (shard->order_valid && now_us < shard->next_sort_us)
		return;
	shard->order_valid = TRUE;
	shard->next_sort_us = now_us + SORT_INTERVAL_US;
	SHARD_FOREACH_JOB(shard, job)
	{
		shard_update_sort_keys(shard, job, now_us);
	}
	g_ptr_array_sort(shard->placement_order, compare_jobs);
	shard_sample_backlog(shard, now_us);
}

static gboolean is_step_ready(const struct shard_job *job, const struct shard_occurrence *occ,
			      guint32 s)
{
	const struct lug_step *step = &job->workflow->steps[s];

	for (guint32 i = 0; i < step->n_after; i++)
		if (occ->done_per_step[step->after[i]] < job->workflow->steps[step->after[i]].count)
			return FALSE;
	return occ->done_per_step[s] < step->count;
}

/* One step of one occurrence, whose claimed tasks are counted for a worker. */
struct worker_count {
	const struct shard_job *job;
	const struct shard_occurrence *occ;
	guint32 step;
};

static guint32 count_on_worker(void *data, const char *worker)
{
	const struct worker_count *count = data;
	/* Compared with task->worker as a pointer, which is interned too. */
	const char *name = g_intern_string(worker);
	guint32 n = 0;

	for (guint32 i = count->job->first_task[count->step];
	     i < count->job->first_task[count->step + 1]; i++)
		n += count->occ->tasks[i].state == SHARD_TASK_CLAIMED &&
		     count->occ->tasks[i].worker == name;
	return n;
}

static void claim_task(struct lug_shard *shard, struct shard_job *job, struct shard_task *task,
		       struct lug_fleet_worker *worker, const struct lug_placement_request *request,
		       gint64 now_us)
{
	shard_reserve_claimed(shard, task, worker, request, now_us);
	task->state = SHARD_TASK_CLAIMED;
	task->run++;
	task->worker = g_intern_string(worker->name);
	task->worker_incarnation = worker->worker_incarnation;
	task->lease_epoch = worker->lease_epoch;
	task->shard_epoch = lug_shard_epoch(shard);
	task->start_seq = 0;
	task->confirmed = FALSE;
	shard_index_claim(shard, task, now_us);
	lug_fleet_claim(worker, &request->size);
	lug_fleet_add_unconfirmed(worker, request->step);
	job->row_bytes += SHARD_CLAIM_BYTES;
	job->was_claimed = TRUE;
	shard_job_mark_changed(shard, job);
	task->claim_revision = job->revision;
}

/* Avoids the worker on which the task has failed, unless no other worker is eligible. */
static struct lug_fleet_worker *choose_worker(struct lug_shard *shard,
					      struct lug_placement_request *request, gint64 now_us)
{
	GPtrArray *workers = lug_fleet_workers(shard->shared.fleet);
	struct lug_fleet_worker *worker =
		lug_placement_choose(workers, request, shard->shared.ctx->rng, now_us);

	if (worker || !request->excluded_worker)
		return worker;
	request->excluded_worker = NULL;
	return lug_placement_choose(workers, request, shard->shared.ctx->rng, now_us);
}

/* Whether the task's share has been low for so long that it may move; see SLOW_SHARE_PERCENT. */
static gboolean is_share_low(struct shard_task *task, const struct lug_step *step,
			     guint32 share_percent, gint64 now_us)
{
	if (share_percent >= SLOW_SHARE_PERCENT) {
		task->slow_since_us = 0;
		return FALSE;
	}
	if (!task->slow_since_us)
		task->slow_since_us = now_us;
	return now_us - task->slow_since_us >= SLOW_DURATION_US &&
	       (step->checkpointing || task->progress_percent <= MAX_LOST_PROGRESS_PERCENT);
}

/* A task without checkpoints stays, as it would lose its progress. */
static gboolean may_leave_slow_worker(const struct lug_shard *shard, struct shard_task *task,
				      const struct lug_step *step, gint64 now_us)
{
	const struct lug_fleet_worker *worker = lug_fleet_find(shard->shared.fleet, task->worker);

	return worker && step->checkpointing &&
	       lug_speed_may_move(&task->move, lug_fleet_speed(worker, now_us), now_us);
}

static void note_move(const struct lug_shard *shard, struct shard_task *task,
		      const struct lug_run_id *id, const struct lug_fleet_worker *other)
{
	const struct lug_fleet_worker *worker = lug_fleet_find(shard->shared.fleet, task->worker);
	char name[LUG_RUN_NAME_SIZE];
	char speed[16];

	task->move.n_moves++;
	lug_run_name(id, name, sizeof(name));
	g_snprintf(speed, sizeof(speed), "%u", worker->speed_permille);
	lug_info(shard->shared.ctx, "run_moved", "job", id->job, "run", name, "worker",
		 worker->name, "speed_permille", speed, "to", other->name);
}

/**
 * shard_relocate_if_slow - stop a throttled best-effort task that would be faster elsewhere
 * @shard: shard
 * @job: job
 * @task: claimed best-effort task
 * @id: its run
 * @share_percent: its share
 * @now_us: current time
 *
 * A task with checkpoints also moves off a slow worker, to one known to run at nominal speed.
 * The task is placed again once the end of its run arrives, with its checkpoint.
 */
void shard_relocate_if_slow(struct lug_shard *shard, struct shard_job *job, struct shard_task *task,
			    const struct lug_run_id *id, guint32 share_percent, gint64 now_us)
{
	const struct lug_step *step = &job->workflow->steps[id->step];
	const struct lug_queue_def *def =
		lug_queues_find(lug_config_queues(shard->shared.config), job->workflow->queue);
	/* No occurrence: only steps with max_per_worker are counted, and they aren't relocated. */
	struct worker_count count = {job, NULL, id->step};
	struct lug_placement_request request = {.step = step,
						.service = def ? def->service : "",
						.interference =
							lug_fleet_interference(shard->shared.fleet),
						.evacuation = shard_evacuation(shard),
						.min_speed = RELOCATION_MIN_SPEED,
						.moving = TRUE,
						.job = job->workflow->id,
						.count_on_worker = count_on_worker,
						.data = &count};
	struct lug_fleet_worker *other;
	enum lug_urgency urgency;
	gboolean is_low;

	if (step->max_per_worker || step->gang || task->relocating) {
		task->slow_since_us = 0;
		return;
	}
	is_low = is_share_low(task, step, share_percent, now_us);
	request.nominal_only = may_leave_slow_worker(shard, task, step, now_us) && !is_low;
	if (!is_low && !request.nominal_only)
		return;
	shard_step_size(step, &request.size);
	urgency = shard_task_urgency(shard, job, id->occurrence, id->step, task->progress_percent,
				     now_us);
	request.yields = lug_yield_is_yielding(urgency);
	other = lug_placement_choose(lug_fleet_workers(shard->shared.fleet), &request,
				     shard->shared.ctx->rng, now_us);
	if (!other || g_intern_string(other->name) == task->worker || now_us < other->cold_until_us)
		return;
	task->relocating = TRUE;
	if (request.nominal_only)
		note_move(shard, task, id, other);
	shard_send_stop(shard, lug_fleet_find(shard->shared.fleet, task->worker), id);
	lug_count(shard->shared.ctx, TASKS_EVICTED, 1);
}

static void set_urgency(struct lug_placement_request *request, enum lug_urgency urgency)
{
	request->min_speed = lug_yield_start_speed(urgency, MIN_SPEED);
	request->yields = lug_yield_is_yielding(urgency);
}

static void place_step(struct lug_shard *shard, struct shard_job *job, struct shard_occurrence *occ,
		       guint32 s, const char *service, guint *claims_left, gint64 now_us)
{
	struct worker_count count = {job, occ, s};
	struct lug_placement_request request = {.step = &job->workflow->steps[s],
						.service = service,
						.interference =
							lug_fleet_interference(shard->shared.fleet),
						.evacuation = shard_evacuation(shard),
						.job = job->workflow->id,
						.count_on_worker = count_on_worker,
						.data = &count};

	shard_step_size(request.step, &request.size);
	shard_reserve_fill_request(shard, job, occ->number, &request, now_us);
	for (guint32 i = job->first_task[s];
	     i < job->first_task[s + 1] && *claims_left && has_room_for_claim(shard, job); i++) {
		struct shard_task *task = &occ->tasks[i];
		struct lug_fleet_worker *worker;

		if (task->state != SHARD_TASK_WAITING || now_us < task->not_before_us)
			continue;
		if (request.min_speed <= 0)
			set_urgency(&request,
				    shard_task_urgency(shard, job, occ->number, s, 0, now_us));
		request.excluded_worker = task->failed_on;
		request.isolate = lug_crash_is_suspect(&task->crash);
		worker = choose_worker(shard, &request, now_us);
		if (!worker && request.isolate)
			continue;
		if (!worker) {
			shard_reserve_blocked(shard, job, occ, i, &request, now_us);
			return;
		}
		claim_task(shard, job, task, worker, &request, now_us);
		if (request.isolate)
			lug_fleet_isolate(worker, job->workflow->id, now_us);
		(*claims_left)--;
	}
}

static void place_job(struct lug_shard *shard, struct shard_job *job, guint *claims_left,
		      gint64 now_us)
{
	const struct lug_queue_def *def =
		lug_queues_find(lug_config_queues(shard->shared.config), job->workflow->queue);

	if (job->end_state != LUG_WORKFLOW_UNKNOWN || job->withheld_us || !def)
		return;
	for (guint k = 0; k < job->occurrences->len; k++) {
		struct shard_occurrence *occ = g_ptr_array_index(job->occurrences, k);

		for (guint32 s = 0; s < job->workflow->n_steps && *claims_left; s++)
			if (is_step_ready(job, occ, s))
				place_step(shard, job, occ, s, def->service, claims_left, now_us);
	}
}

/**
 * shard_place_tasks - claim workers for waiting tasks, in order of their jobs
 * @shard: loaded shard
 * @now_us: current time
 *
 * Does nothing while a transaction is in flight, so that the next transaction stores all changes
 * that have accumulated, nor before the evacuated zones are read.
 */
void shard_place_tasks(struct lug_shard *shard, gint64 now_us)
{
	guint claims_left = CLAIMS_PER_PASS;

	shard_reserve_check(shard, now_us);
	if (shard->jobs_in_flight || !lug_evacuation_is_read(shard_evacuation(shard)))
		return;
	sort_jobs(shard, now_us);
	SHARD_FOREACH_JOB(shard, job)
	{
		place_job(shard, job, &claims_left, now_us);
	}
}
