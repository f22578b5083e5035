#ifndef LUG_JOB_OWNER_PRIV_H
#define LUG_JOB_OWNER_PRIV_H

#include "job/owner.h"

/*
 * Shared by the files that implement struct lug_owner: owner.c (lifecycle and
 * ticks), load.c (reading rows), dispatch.c (wants, offers, claims, starts),
 * outcome.c (reports, lost attempts, ends of jobs) and fence.c (leases of silent
 * workers).
 */

/* Progress in reading the rows after the queue was taken. */
enum owner_load {
	LOAD_NONE,
	LOAD_JOBS,
	LOAD_TASKS,
	LOAD_DONE,
};

/**
 * struct owner_lease_watch - lease of a worker that holds attempts of this queue and
 * whose agent is silent or holds no lease
 * @worker: name of the worker
 * @row_version: version of the lease's row when last read
 * @unchanged_since_us: time since which the row has had that version
 * @next_read_us: earliest time of the next read
 * @reading: a read is in flight
 * @committing: the transaction that fences the lease is in flight
 */
struct owner_lease_watch {
	char worker[LUG_JOB_ID_MAX + 1];
	gint64 row_version;
	gint64 unchanged_since_us;
	gint64 next_read_us;
	gboolean reading;
	gboolean committing;
};

/**
 * struct owner_obsolete_report - report of an attempt's end that changes nothing
 * @route: destination of the acknowledgement
 * @job: job id
 * @index: index within the job
 * @attempt: number of the attempt
 * @received_us: when the report arrived
 */
struct owner_obsolete_report {
	struct lug_route route;
	char job[LUG_JOB_ID_MAX + 1];
	guint32 index;
	guint32 attempt;
	gint64 received_us;
};

/**
 * struct lug_owner - one team's queue, as its owner or a candidate for ownership holds it
 * @env: shared dependencies
 * @team: team of the queue
 * @writer: writer of the queue's row
 * @queue: tasks, NULL while the queue is not held
 * @load: progress in reading the rows
 * @scanning: a page of rows is being read
 * @scan_again: another scan is to follow the present one
 * @scan_after: key after which the scan continues, NULL to start at the beginning
 * @next_scan_us: time of the next periodic scan
 * @next_want_us: earliest time of the next round of wants
 * @next_sweep_us: time of the next check of all jobs and tasks
 * @last_seq: sequence number of the latest start or stop in this epoch
 * @want_offset: offset into the agents at which the latest round of wants started
 * @lease_watches: leases of silent workers, struct owner_lease_watch by worker
 * @dropped_jobs: ids of removed jobs, each with the sequence number of its removal
 * @last_drop_seq: sequence number of the latest removal of a job
 * @obsolete_reports: reports to acknowledge after the next commit, array of struct
 *	owner_obsolete_report
 * @generation: raised by owner_reset(), so that replies to earlier scans are ignored
 */
struct lug_owner {
	struct lug_owner_env env;
	char *team;
	struct lug_writer *writer;
	struct lug_queue *queue;
	enum owner_load load;
	gboolean scanning;
	gboolean scan_again;
	char *scan_after;
	gint64 next_scan_us;
	gint64 next_want_us;
	gint64 next_sweep_us;
	guint64 last_seq;
	guint want_offset;
	GHashTable *lease_watches;
	GHashTable *dropped_jobs;
	guint64 last_drop_seq;
	GArray *obsolete_reports;
	guint generation;
};

/*
 * Identifies a task during an asynchronous call, in which its job may be removed.
 * The members from @next on are the outcome to apply once it is committed, and the state to return
 * to if it isn't.
 */
struct owner_task_ref {
	struct lug_owner *owner;
	char job[LUG_JOB_ID_MAX + 1];
	guint32 index;
	guint32 attempt;
	struct lug_route route;
	gboolean has_route;
	enum lug_task_state next;
	enum lug_task_state previous;
	char *checkpoint;
	gint64 used_core_ms;
	gint64 retry_us;
};

/* Storage for a want that is part of another message. */
struct owner_want_buf {
	Lug__Want want;
	Lug__Resources smallest;
	Lug__Resources largest;
};

Lug__Want *owner_fill_want(struct lug_owner *owner, struct owner_want_buf *out, gint64 now_us);
struct owner_task_ref *owner_task_ref_new(struct lug_owner *owner, const struct lug_task *task);
void owner_task_ref_free(struct owner_task_ref *ref);
struct lug_task *owner_task_ref_get(const struct owner_task_ref *ref);
void owner_put_task(struct lug_owner *owner, struct lug_txn *txn, const struct lug_task *task,
		    const char *state, const char *checkpoint, gint64 used_core_ms);

void owner_scan(struct lug_owner *owner, gint64 now_us);
void owner_drop_job(struct lug_owner *owner, struct lug_queue_job *qjob);
void owner_reset(struct lug_owner *owner);
void owner_dispatch_tick(struct lug_owner *owner, gint64 now_us);
void owner_send_start(struct lug_owner *owner, struct lug_task *task, gint64 now_us);
void owner_send_stop(struct lug_owner *owner, const struct lug_route *route, const char *job,
		     guint32 index, guint32 attempt);
void owner_cancel_job(struct lug_owner *owner, struct lug_queue_job *qjob, gint64 now_us);
void owner_close_jobs(struct lug_owner *owner, gint64 now_us);
void owner_ack_obsolete_reports(struct lug_owner *owner);
void owner_lose_attempt(struct lug_owner *owner, struct lug_task *task, gboolean may_have_run,
			const char *reason, gint64 now_us);
void owner_fence_tick(struct lug_owner *owner, gint64 now_us);

#endif
