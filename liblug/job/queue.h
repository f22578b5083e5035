#ifndef LUG_JOB_QUEUE_H
#define LUG_JOB_QUEUE_H

#include "colocate/crash.h"
#include "core/list.h"
#include "job/job.h"

/**
 * enum lug_task_state - state of a task in the owner's memory
 * @LUG_TASK_PENDING: waits to be started
 * @LUG_TASK_CLAIMING: the transaction that claims it is in flight
 * @LUG_TASK_RUNNING: claimed; its agent may not have confirmed the start yet
 * @LUG_TASK_ENDING: the transaction that records the attempt's end is in flight
 * @LUG_TASK_DONE: ended successfully
 * @LUG_TASK_FAILED: ended without success, not retried
 * @LUG_TASK_CANCELLED: cancelled with its job
 * @LUG_TASK_STATES: number of states
 */
enum lug_task_state {
	LUG_TASK_PENDING,
	LUG_TASK_CLAIMING,
	LUG_TASK_RUNNING,
	LUG_TASK_ENDING,
	LUG_TASK_DONE,
	LUG_TASK_FAILED,
	LUG_TASK_CANCELLED,
	LUG_TASK_STATES,
};

/**
 * enum lug_outcome - how an attempt ended, as sent in reports
 * @LUG_OUTCOME_DONE: successfully
 * @LUG_OUTCOME_FAILED: the task failed
 * @LUG_OUTCOME_EVICTED: stopped before its end, by its agent or on an order of the owner
 * @LUG_OUTCOME_LOST: the worker does not have it, for instance after a restart
 */
enum lug_outcome {
	LUG_OUTCOME_DONE = 1,
	LUG_OUTCOME_FAILED = 2,
	LUG_OUTCOME_EVICTED = 3,
	LUG_OUTCOME_LOST = 4,
};

struct lug_queue_job;

/**
 * struct lug_task - one task of a job in the owner's memory
 * @node: entry in the queue's pending or active list
 * @job: job that the task belongs to
 * @index: index within the job
 * @attempt: number of the latest attempt, 0 before the first
 * @failures: attempts in which the task itself failed
 * @crash: crashes of workers under the task
 * @state: its state in the owner's memory
 * @worker: worker of the latest attempt
 * @worker_epoch: epoch of that worker's lease
 * @seq: sequence number of the latest start message, 0 if none was sent in
 * this epoch of the queue
 * @confirmed: the agent has confirmed that it holds the attempt
 * @stopping: the attempt is to be stopped
 * @checkpoint: reference to resume from, NULL to start from the beginning
 * @used_core_ms: metered core-milliseconds of ended attempts
 * @queued_us: start of the present wait
 * @started_us: when the latest attempt was confirmed
 * @retry_us: earliest time of the next attempt
 * @sent_us: when the latest start or stop was sent
 */
struct lug_task {
	struct lug_list node;
	struct lug_queue_job *job;
	guint32 index;
	guint32 attempt;
	guint32 failures;
	struct lug_crash_history crash;
	enum lug_task_state state;
	char worker[LUG_JOB_ID_MAX + 1];
	guint64 worker_epoch;
	guint64 seq;
	gboolean confirmed;
	gboolean stopping;
	char *checkpoint;
	gint64 used_core_ms;
	gint64 queued_us;
	gint64 started_us;
	gint64 retry_us;
	gint64 sent_us;
};

/**
 * struct lug_queue_job - a job in an owner's memory
 * @job: as submitted
 * @row_version: version of its row
 * @tasks: array of @job->count tasks
 * @open: number of tasks that have not ended
 * @done: number of tasks that ended successfully
 * @failed: number of tasks that failed for good
 * @closing: its final transaction is in flight
 * @reason: text of the latest failure
 */
struct lug_queue_job {
	struct lug_job *job;
	gint64 row_version;
	struct lug_task *tasks;
	guint32 open;
	guint32 done;
	guint32 failed;
	gboolean closing;
	char reason[128];
};

/**
 * struct lug_queue - tasks of one team with the order in which they start
 */
struct lug_queue;

struct lug_queue *lug_queue_new(const char *team);
void lug_queue_free(struct lug_queue *queue);
struct lug_queue_job *lug_queue_add(struct lug_queue *queue, struct lug_job *job, gint64 now_us);
void lug_queue_remove(struct lug_queue *queue, struct lug_queue_job *qjob);
struct lug_queue_job *lug_queue_find(const struct lug_queue *queue, const char *id);
GHashTable *lug_queue_jobs(const struct lug_queue *queue);
struct lug_task *lug_queue_task(const struct lug_queue *queue, const char *id, guint32 index);
void lug_queue_set_state(struct lug_queue *queue, struct lug_task *task, enum lug_task_state state,
			 gint64 now_us);
struct lug_task *lug_queue_pick(struct lug_queue *queue, const struct lug_resources *room,
				const struct lug_resources *reserved, const char *region,
				const char *zone, const char *const *avoid, gint64 now_us);
void lug_queue_observe_run(struct lug_queue *queue, const char *kind, gint64 run_ms, gint64 now_us);
gint64 lug_queue_estimate_ms(const struct lug_queue *queue, const struct lug_job *job);
gboolean lug_queue_is_kind_proven(const struct lug_queue *queue, const char *kind);
gboolean lug_queue_is_kind_short(const struct lug_queue *queue, const char *kind);
gboolean lug_queue_expects_short(const struct lug_queue *queue, gint64 now_us);
struct lug_list *lug_queue_active(struct lug_queue *queue);

/**
 * struct lug_demand - summary of the tasks that wait in a queue
 * @pending: number of tasks that may start
 * @urgent: at least one of them is urgent
 * @smallest: smallest size, member by member
 * @largest: largest size, member by member
 * @longest_wait_us: longest wait
 */
struct lug_demand {
	guint pending;
	gboolean urgent;
	struct lug_resources smallest;
	struct lug_resources largest;
	gint64 longest_wait_us;
};

void lug_queue_demand(const struct lug_queue *queue, gint64 now_us, struct lug_demand *out);
struct lug_resources lug_queue_usage(const struct lug_queue *queue);

#endif
