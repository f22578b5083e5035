#include "job/queue.h"

#include <string.h>

/* Share of a new run time in the learned mean of its kind. */
#define LEARN_GAIN 0.2
#define LEARN_SAMPLES_MIN 3
/* Tasks of a kind whose mean run time is below this count as short. */
#define SHORT_MS 2000
/* Room is kept for short tasks this long after one has ended. */
#define SHORT_MEMORY_US (60 * 1000 * 1000)

struct kind_stats {
	double mean_ms;
	guint samples;
};

struct lug_queue {
	char *team;
	GHashTable *jobs;
	GHashTable *kinds;
	struct lug_list pending;
	struct lug_list active;
	struct lug_resources use;
	gint64 short_seen_us;
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
 * lug_queue_free - release a queue with its jobs
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
 * lug_queue_add - add a job whose tasks all wait
 * @queue: queue
 * @job: job, owned by the queue from here on
 * @now_us: present time
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
 * lug_queue_drop - remove a job
 * @queue: queue
 * @qjob: job
 */
void lug_queue_drop(struct lug_queue *queue, struct lug_queue_job *qjob)
{
	for (guint32 i = 0; i < qjob->job->count; i++)
		lug_queue_set(queue, &qjob->tasks[i], LUG_TASK_CANCELLED, 0);
	g_hash_table_remove(queue->jobs, qjob->job->id);
}

/**
 * lug_queue_find - job by id
 */
struct lug_queue_job *lug_queue_find(const struct lug_queue *queue, const char *id)
{
	return g_hash_table_lookup(queue->jobs, id);
}

/**
 * lug_queue_jobs - all jobs by id
 */
GHashTable *lug_queue_jobs(const struct lug_queue *queue)
{
	return queue->jobs;
}

/**
 * lug_queue_task - task by job id and index
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

static gboolean state_active(enum lug_task_state state)
{
	return state == LUG_TASK_CLAIMING || state == LUG_TASK_RUNNING ||
	       state == LUG_TASK_SETTLING;
}

static gboolean state_final(enum lug_task_state state)
{
	return state >= LUG_TASK_DONE;
}

static void count_end(struct lug_task *task, enum lug_task_state state)
{
	struct lug_queue_job *qjob = task->job;

	qjob->open--;
	if (state == LUG_TASK_DONE)
		qjob->done++;
	if (state == LUG_TASK_FAILED)
		qjob->failed++;
}

/**
 * lug_queue_set - move a task to another state
 * @queue: queue
 * @task: task
 * @state: new state
 * @now_us: present time, start of the wait of a task that becomes pending
 */
void lug_queue_set(struct lug_queue *queue, struct lug_task *task, enum lug_task_state state,
		   gint64 now_us)
{
	const struct lug_resources *size = &task->job->job->size;

	if (state_active(task->state) && !state_active(state))
		lug_resources_sub(&queue->use, size);
	if (!state_active(task->state) && state_active(state))
		lug_resources_add(&queue->use, size);
	if (state_final(state) && !state_final(task->state))
		count_end(task, state);
	lug_list_remove(&task->node);
	if (state == LUG_TASK_PENDING) {
		task->queued_us = now_us;
		task->confirmed = FALSE;
		task->stopping = FALSE;
		lug_list_append(&queue->pending, &task->node);
	} else if (state_active(state)) {
		lug_list_append(&queue->active, &task->node);
	}
	task->state = state;
}

/**
 * lug_queue_learn - take a measured run time into account
 * @queue: queue
 * @kind: kind of work
 * @run_ms: run time, milliseconds
 * @now_us: present time
 */
void lug_queue_learn(struct lug_queue *queue, const char *kind, gint64 run_ms, gint64 now_us)
{
	struct kind_stats *stats = g_hash_table_lookup(queue->kinds, kind);

	if (!stats) {
		stats = g_new0(struct kind_stats, 1);
		stats->mean_ms = (double)run_ms;
		g_hash_table_insert(queue->kinds, g_strdup(kind), stats);
	}
	stats->samples++;
	stats->mean_ms += LEARN_GAIN * ((double)run_ms - stats->mean_ms);
	if (lug_queue_short(queue, kind))
		queue->short_seen_us = now_us;
}

/**
 * lug_queue_estimate_ms - expected run time of one task
 * @queue: queue
 * @job: job
 *
 * Return: the learned mean of its kind, or the declared time before enough samples.
 */
gint64 lug_queue_estimate_ms(const struct lug_queue *queue, const struct lug_job *job)
{
	const struct kind_stats *stats = g_hash_table_lookup(queue->kinds, job->kind);

	if (!stats || stats->samples < LEARN_SAMPLES_MIN)
		return MAX(job->run_ms, 1);
	return MAX((gint64)stats->mean_ms, 1);
}

/**
 * lug_queue_proven - tell whether tasks of a kind have ended well before
 */
gboolean lug_queue_proven(const struct lug_queue *queue, const char *kind)
{
	return g_hash_table_contains(queue->kinds, kind);
}

/**
 * lug_queue_short - tell whether tasks of a kind are known to be short
 *
 * Declared run times prove nothing.
 */
gboolean lug_queue_short(const struct lug_queue *queue, const char *kind)
{
	const struct kind_stats *stats = g_hash_table_lookup(queue->kinds, kind);

	return stats && stats->samples >= LEARN_SAMPLES_MIN && stats->mean_ms < SHORT_MS;
}

/**
 * lug_queue_short_expected - tell whether room should be kept for short tasks
 * @queue: queue
 * @now_us: present time
 */
gboolean lug_queue_short_expected(const struct lug_queue *queue, gint64 now_us)
{
	return queue->short_seen_us && now_us - queue->short_seen_us < SHORT_MEMORY_US;
}

static gboolean avoided(const char *const *avoid, const char *kind)
{
	return avoid && g_strv_contains(avoid, kind);
}

/*
 * Highest response ratio next: (wait + run) / run. Short tasks go ahead of long
 * ones, and a long one that has waited long enough goes ahead of fresh short ones.
 */
static double response_ratio(const struct lug_queue *queue, const struct lug_task *task,
			     gint64 now_us)
{
	double run_us = (double)lug_queue_estimate_ms(queue, task->job->job) * 1000;

	return ((double)(now_us - task->queued_us) + run_us) / run_us;
}

static gboolean fits(const struct lug_queue *queue, const struct lug_job *job,
		     const struct lug_resources *room, const struct lug_resources *kept)
{
	struct lug_resources rest = *room;

	if (kept && !job->urgent && !lug_queue_short(queue, job->kind))
		lug_resources_sub(&rest, kept);
	return lug_resources_fit(&job->size, &rest);
}

static gboolean eligible(const struct lug_queue *queue, const struct lug_task *task,
			 const struct lug_resources *room, const struct lug_resources *kept,
			 const char *region, const char *zone, const char *const *avoid,
			 gint64 now_us)
{
	const struct lug_job *job = task->job->job;

	if (job->cancelled || task->job->closing || now_us < task->retry_us)
		return FALSE;
	if (!fits(queue, job, room, kept) || !lug_job_accepts(job, region, zone))
		return FALSE;
	return job->urgent || !avoided(avoid, job->kind);
}

/**
 * lug_queue_pick - choose the task that should use free room
 * @queue: queue
 * @room: free room of the worker
 * @kept: room left to urgent tasks and kinds known to be short, may be NULL
 * @region: region of the worker
 * @zone: availability zone of the worker
 * @avoid: kinds that the worker does not want now, NULL-terminated, may be NULL
 * @now_us: present time
 *
 * Return: a pending task that fits, or NULL.
 */
struct lug_task *lug_queue_pick(struct lug_queue *queue, const struct lug_resources *room,
				const struct lug_resources *kept, const char *region,
				const char *zone, const char *const *avoid, gint64 now_us)
{
	const struct lug_queue_job *last = NULL;
	struct lug_task *best = NULL;
	double best_ratio = 0;

	LUG_LIST_FOREACH (&queue->pending, pos) {
		struct lug_task *task = LUG_CONTAINER_OF(pos, struct lug_task, node);
		double ratio;

		/* Tasks of one job stand together, the longest waiting first. */
		if (last && task->job == last && !task->retry_us)
			continue;
		if (!eligible(queue, task, room, kept, region, zone, avoid, now_us))
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
 * lug_queue_active - list of tasks that are claimed, running or being settled
 */
struct lug_list *lug_queue_active(struct lug_queue *queue)
{
	return &queue->active;
}

/**
 * lug_queue_demand - sum up what waits
 * @queue: queue
 * @now_us: present time
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
		out->oldest_us = MAX(out->oldest_us, now_us - task->queued_us);
	}
}

/**
 * lug_queue_use - declared size of all active tasks
 */
struct lug_resources lug_queue_use(const struct lug_queue *queue)
{
	return queue->use;
}
