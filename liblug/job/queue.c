#include "job/queue.h"

#include <string.h>

/* Weight of a new run time in the moving average of its kind. */
#define RUN_TIME_GAIN 0.2
#define RUN_TIME_SAMPLES_MIN 3
/* A kind is short if its mean run time is below this. */
#define SHORT_TASK_MS 2000
/* Room is reserved for short tasks for this long after one has ended. */
#define SHORT_TASKS_EXPECTED_US (60 * 1000 * 1000)

/*
 * struct kind_stats - run time of the tasks of one kind
 * @mean_ms: moving average
 * @samples: number of observed runs
 */
struct kind_stats {
	double mean_ms;
	guint samples;
};

/*
 * struct lug_queue - tasks of one team
 * @team: team
 * @jobs: struct lug_queue_job by job id
 * @kinds: struct kind_stats by kind
 * @pending: pending tasks, list of struct lug_task
 * @active: tasks that are claimed, running or ending, list of struct lug_task
 * @use: total declared size of the active tasks
 * @last_short_us: time at which the end of a run of a short kind was last observed
 */
struct lug_queue {
	char *team;
	GHashTable *jobs;
	GHashTable *kinds;
	struct lug_list pending;
	struct lug_list active;
	struct lug_resources use;
	gint64 last_short_us;
};

static void queue_job_free(gpointer data)
{
	struct lug_queue_job *qjob = data;

	for (guint32 i = 0; i < qjob->job->count; i++) {
		lug_list_remove(&qjob->tasks[i].node);
		g_free(qjob->tasks[i].checkpoint);
	}
	g_free(qjob->tasks);
	lug_job_free(qjob->job);
	g_free(qjob);
}

/**
 * lug_queue_new - create an empty queue
 * @team: team
 *
 * Return: the queue, freed with lug_queue_free().
 */
struct lug_queue *lug_queue_new(const char *team)
{
	struct lug_queue *queue = g_new0(struct lug_queue, 1);

	queue->team = g_strdup(team);
	queue->jobs = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, queue_job_free);
	queue->kinds = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	lug_list_init(&queue->pending);
	lug_list_init(&queue->active);
	return queue;
}

/**
 * lug_queue_free - free a queue with its jobs
 * @queue: queue, may be NULL
 */
void lug_queue_free(struct lug_queue *queue)
{
	if (!queue)
		return;
	g_hash_table_unref(queue->jobs);
	g_hash_table_unref(queue->kinds);
	g_free(queue->team);
	g_free(queue);
}

/**
 * lug_queue_add - add a job with all its tasks pending
 * @queue: queue
 * @job: job; the queue takes ownership
 * @now_us: start of the tasks' wait
 *
 * Return: the job's entry, owned by @queue.
 */
struct lug_queue_job *lug_queue_add(struct lug_queue *queue, struct lug_job *job, gint64 now_us)
{
	struct lug_queue_job *qjob = g_new0(struct lug_queue_job, 1);

	qjob->job = job;
	qjob->tasks = g_new0(struct lug_task, job->count);
	qjob->open = job->count;
	for (guint32 i = 0; i < job->count; i++) {
		struct lug_task *task = &qjob->tasks[i];

		task->job = qjob;
		task->index = i;
		task->queued_us = now_us;
		lug_list_init(&task->node);
		lug_list_append(&queue->pending, &task->node);
	}
	g_hash_table_insert(queue->jobs, job->id, qjob);
	return qjob;
}

/**
 * lug_queue_remove - remove and free a job
 * @queue: queue
 * @qjob: job
 */
void lug_queue_remove(struct lug_queue *queue, struct lug_queue_job *qjob)
{
	/* Removes the tasks from the lists and subtracts their sizes from the usage. */
	for (guint32 i = 0; i < qjob->job->count; i++)
		lug_queue_set_state(queue, &qjob->tasks[i], LUG_TASK_CANCELLED, 0);
	g_hash_table_remove(queue->jobs, qjob->job->id);
}

/**
 * lug_queue_find - look up a job by its id
 * @queue: queue
 * @id: job id
 *
 * Return: the job, or NULL.
 */
struct lug_queue_job *lug_queue_find(const struct lug_queue *queue, const char *id)
{
	return g_hash_table_lookup(queue->jobs, id);
}

/**
 * lug_queue_jobs - all jobs by id
 * @queue: queue
 *
 * Return: a table owned by @queue, of struct lug_queue_job.
 */
GHashTable *lug_queue_jobs(const struct lug_queue *queue)
{
	return queue->jobs;
}

/**
 * lug_queue_task - look up a task by job id and index
 * @queue: queue
 * @id: job id, may be NULL
 * @index: index within the job
 *
 * Return: the task, or NULL.
 */
struct lug_task *lug_queue_task(const struct lug_queue *queue, const char *id, guint32 index)
{
	struct lug_queue_job *qjob = id ? lug_queue_find(queue, id) : NULL;

	if (!qjob || index >= qjob->job->count)
		return NULL;
	return &qjob->tasks[index];
}

static gboolean is_state_active(enum lug_task_state state)
{
	return state == LUG_TASK_CLAIMING || state == LUG_TASK_RUNNING || state == LUG_TASK_ENDING;
}

static gboolean is_state_final(enum lug_task_state state)
{
	return state >= LUG_TASK_DONE;
}

static void count_ended_task(struct lug_task *task, enum lug_task_state state)
{
	struct lug_queue_job *qjob = task->job;

	qjob->open--;
	if (state == LUG_TASK_DONE)
		qjob->done++;
	if (state == LUG_TASK_FAILED)
		qjob->failed++;
}

/**
 * lug_queue_set_state - change the state of a task
 * @queue: queue
 * @task: task
 * @state: new state
 * @now_us: current time, start of the wait of a task that becomes pending
 */
void lug_queue_set_state(struct lug_queue *queue, struct lug_task *task, enum lug_task_state state,
			 gint64 now_us)
{
	const struct lug_resources *size = &task->job->job->size;

	if (is_state_active(task->state) && !is_state_active(state))
		lug_resources_sub(&queue->use, size);
	if (!is_state_active(task->state) && is_state_active(state))
		lug_resources_add(&queue->use, size);
	if (is_state_final(state) && !is_state_final(task->state))
		count_ended_task(task, state);
	lug_list_remove(&task->node);
	if (state == LUG_TASK_PENDING) {
		task->queued_us = now_us;
		task->confirmed = FALSE;
		task->stopping = FALSE;
		lug_list_append(&queue->pending, &task->node);
	} else if (is_state_active(state)) {
		lug_list_append(&queue->active, &task->node);
	}
	task->state = state;
}

/**
 * lug_queue_observe_run - update the mean run time of a kind
 * @queue: queue
 * @kind: kind of work
 * @run_ms: observed run time
 * @now_us: current time
 */
void lug_queue_observe_run(struct lug_queue *queue, const char *kind, gint64 run_ms, gint64 now_us)
{
	struct kind_stats *stats = g_hash_table_lookup(queue->kinds, kind);

	if (!stats) {
		stats = g_new0(struct kind_stats, 1);
		stats->mean_ms = (double)run_ms;
		g_hash_table_insert(queue->kinds, g_strdup(kind), stats);
	}
	stats->samples++;
	stats->mean_ms += RUN_TIME_GAIN * ((double)run_ms - stats->mean_ms);
	if (lug_queue_is_kind_short(queue, kind))
		queue->last_short_us = now_us;
}

/**
 * lug_queue_estimate_ms - expected run time of one task
 * @queue: queue
 * @job: job
 *
 * Return: the mean of its kind, or the declared run time while there are too few samples;
 * at least 1.
 */
gint64 lug_queue_estimate_ms(const struct lug_queue *queue, const struct lug_job *job)
{
	const struct kind_stats *stats = g_hash_table_lookup(queue->kinds, job->kind);

	if (!stats || stats->samples < RUN_TIME_SAMPLES_MIN)
		return MAX(job->declared_ms, 1);
	return MAX((gint64)stats->mean_ms, 1);
}

/**
 * lug_queue_is_kind_proven - check whether a task of a kind has ended successfully before
 * @queue: queue
 * @kind: kind of work
 */
gboolean lug_queue_is_kind_proven(const struct lug_queue *queue, const char *kind)
{
	return g_hash_table_contains(queue->kinds, kind);
}

/**
 * lug_queue_is_kind_short - check whether the observed run times of a kind are short
 * @queue: queue
 * @kind: kind of work
 *
 * Declared run times are not considered, as they may be wrong.
 */
gboolean lug_queue_is_kind_short(const struct lug_queue *queue, const char *kind)
{
	const struct kind_stats *stats = g_hash_table_lookup(queue->kinds, kind);

	return stats && stats->samples >= RUN_TIME_SAMPLES_MIN && stats->mean_ms < SHORT_TASK_MS;
}

/**
 * lug_queue_expects_short - check whether room should be reserved for short tasks
 * @queue: queue
 * @now_us: current time
 */
gboolean lug_queue_expects_short(const struct lug_queue *queue, gint64 now_us)
{
	return queue->last_short_us && now_us - queue->last_short_us < SHORT_TASKS_EXPECTED_US;
}

static gboolean is_kind_avoided(const char *const *avoid, const char *kind)
{
	return avoid && g_strv_contains(avoid, kind);
}

/*
 * Highest response ratio next: (waiting time + run time) / run time. Short tasks start before long
 * ones, but a long task that has waited long enough starts before recent short ones.
 */
static double response_ratio(const struct lug_queue *queue, const struct lug_task *task,
			     gint64 now_us)
{
	double run_us = (double)lug_queue_estimate_ms(queue, task->job->job) * 1000;

	return ((double)(now_us - task->queued_us) + run_us) / run_us;
}

static gboolean fits_room(const struct lug_queue *queue, const struct lug_job *job,
			  const struct lug_resources *room, const struct lug_resources *reserved)
{
	struct lug_resources rest = *room;

	if (reserved && !job->urgent && !lug_queue_is_kind_short(queue, job->kind))
		lug_resources_sub(&rest, reserved);
	return lug_resources_fit(&job->size, &rest);
}

static gboolean is_eligible(const struct lug_queue *queue, const struct lug_task *task,
			    const struct lug_resources *room, const struct lug_resources *reserved,
			    const char *region, const char *zone, const char *const *avoid,
			    gint64 now_us)
{
	const struct lug_job *job = task->job->job;

	if (job->cancelled || task->job->closing || now_us < task->retry_us)
		return FALSE;
	if (!fits_room(queue, job, room, reserved) || !lug_job_accepts(job, region, zone))
		return FALSE;
	return job->urgent || !is_kind_avoided(avoid, job->kind);
}

/**
 * lug_queue_pick - choose the task that should use free room
 * @queue: queue
 * @room: free room of the worker
 * @reserved: room reserved for urgent tasks and short kinds, may be NULL
 * @region: region of the worker
 * @zone: availability zone of the worker
 * @avoid: kinds of which the worker accepts only urgent tasks at present, NULL-terminated,
 * may be NULL
 * @now_us: current time
 *
 * Return: a pending task that fits, or NULL.
 */
struct lug_task *lug_queue_pick(struct lug_queue *queue, const struct lug_resources *room,
				const struct lug_resources *reserved, const char *region,
				const char *zone, const char *const *avoid, gint64 now_us)
{
	const struct lug_queue_job *last = NULL;
	struct lug_task *best = NULL;
	double best_ratio = 0;

	LUG_LIST_FOREACH (&queue->pending, pos) {
		struct lug_task *task = LUG_CONTAINER_OF(pos, struct lug_task, node);
		double ratio;

		/*
		 * The following tasks of a job have waited no longer than its first, so they
		 * are skipped. Tasks with a retry time are checked one by one.
		 */
		if (last && task->job == last && !task->retry_us)
			continue;
		if (!is_eligible(queue, task, room, reserved, region, zone, avoid, now_us))
			continue;
		last = task->job;
		ratio = response_ratio(queue, task, now_us);
		if (best && best->job->job->urgent && !task->job->job->urgent)
			continue;
		if (best && best->job->job->urgent == task->job->job->urgent && ratio <= best_ratio)
			continue;
		best = task;
		best_ratio = ratio;
	}
	return best;
}

/**
 * lug_queue_active - tasks that are claimed, running or ending
 * @queue: queue
 *
 * Return: a list owned by @queue, of struct lug_task.
 */
struct lug_list *lug_queue_active(struct lug_queue *queue)
{
	return &queue->active;
}

/**
 * lug_queue_demand - summarise the tasks that wait and may start
 * @queue: queue
 * @now_us: current time
 * @out: filled in
 */
void lug_queue_demand(const struct lug_queue *queue, gint64 now_us, struct lug_demand *out)
{
	memset(out, 0, sizeof(*out));
	LUG_LIST_FOREACH (&queue->pending, pos) {
		const struct lug_task *task = LUG_CONTAINER_OF(pos, struct lug_task, node);
		const struct lug_job *job = task->job->job;

		if (job->cancelled || task->job->closing || now_us < task->retry_us)
			continue;
		if (!out->pending++)
			out->smallest = job->size;
		lug_resources_min(&out->smallest, &job->size);
		lug_resources_max(&out->largest, &job->size);
		out->urgent = out->urgent || job->urgent;
		out->longest_wait_us = MAX(out->longest_wait_us, now_us - task->queued_us);
	}
}

/**
 * lug_queue_usage - total declared size of all active tasks
 * @queue: queue
 */
struct lug_resources lug_queue_usage(const struct lug_queue *queue)
{
	return queue->use;
}
