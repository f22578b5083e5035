#ifndef LUG_WORKFLOW_SHARD_PRIV_H
#define LUG_WORKFLOW_SHARD_PRIV_H

#include "workflow/shard.h"

/*
 * Shared by the files that make up struct lug_shard: shard.c (life), shard_job.c (submissions and
 * questions), shard_load.c (reading rows), shard_row.c (text of a job's state), shard_place.c
 * (claims and starts), shard_settle.c (ends, lost runs) and shard_commit.c (transactions).
 */

#define SHARD_LIVE_TABLE "live"
#define SHARD_RUNS_TABLE "runs"
#define SHARD_ENDED_TABLE "ended"
#define SHARD_INBOX_TABLE "inbox"
#define SHARD_LEASE_TABLE "shard"
/* Suffix of an inbox row that asks for a job's cancellation. */
#define SHARD_CANCEL_SUFFIX ".cancel"

enum shard_task_state {
	SHARD_TASK_WAITING,
	SHARD_TASK_CLAIMED,
	SHARD_TASK_DONE,
};

/**
 * struct shard_task - one task of one occurrence
 * @state: state
 * @run: number of the latest run, 0 before the first
 * @fails: runs that failed by themselves
 * @worker: worker of the claim, interned, NULL when not claimed
 * @lease_epoch: lease epoch of the claim
 * @shard_epoch: epoch of the owner that made the claim
 * @seq: number of the start in this epoch, 0 when not sent
 * @claim_gen: change of the job that made the claim; the start waits for its commit
 * @sent_us: when the start was sent
 * @confirmed: the agent counts the run
 * @failed_on: worker of the latest run that failed, interned, NULL for none
 * @checkpoint: progress to resume from, NULL for none
 * @not_before_us: no new claim before
 * @percent: progress last told
 * @metric: tail latency or cores last told
 * @slow_us: since when it works at a small share, 0 when it does not
 * @moving: its run was stopped to be started elsewhere
 */
struct shard_task {
	enum shard_task_state state;
	guint32 run;
	guint32 fails;
	const char *worker;
	guint64 lease_epoch;
	guint64 shard_epoch;
	guint64 seq;
	guint64 claim_gen;
	gint64 sent_us;
	gboolean confirmed;
	const char *failed_on;
	char *checkpoint;
	gint64 not_before_us;
	guint32 percent;
	gint64 metric;
	gint64 slow_us;
	gboolean moving;
};

/**
 * struct shard_occurrence - one run through a job's steps
 * @number: number, counted from 0
 * @tasks: tasks of all steps, in order
 * @done: tasks done, for each step
 * @left: tasks not done
 */
struct shard_occurrence {
	guint32 number;
	struct shard_task *tasks;
	guint32 *done;
	guint32 left;
};

struct shard_ack {
	char worker[LUG_NAME_MAX + 1];
	struct lug_run_id id;
	guint64 gen;
};

struct shard_waiter {
	lug_shard_done_fn fn;
	void *data;
};

/**
 * struct shard_job - a live job as its owner sees it
 * @flow: job
 * @version: version of the job's row; the first commit requires it, so that a job which
 *           has ended under another owner is not begun again
 * @body: text of the job's row while that is not stored, NULL afterwards
 * @storers: callers that wait for that
 * @in_inbox: the row that tells the owner of the job may still be there
 * @first: index of each step's first task
 * @occurrences: array of struct shard_occurrence *, those that have begun and not ended
 * @next_occurrence: first that has not begun
 * @priority: priority of its queue
 * @accepted_us: when it was accepted
 * @due_us: when its objective ends, by its declared run times
 * @late: it can't be on time any more
 * @started: a task has been claimed
 * @begun: an agent has confirmed a start; a claim may have been refused
 * @end: final state once decided, LUG_WORKFLOW_UNKNOWN before
 * @gen: changes
 * @sent_gen: changes covered by the transaction in flight
 * @committed_gen: changes stored
 * @in_flight: a transaction with this job is in flight
 * @acks: ends to acknowledge after their commit, array of struct shard_ack
 * @waiters: callers that wait for the cancellation's commit
 * @ends: ends of runs not yet told in the log
 * @failed: one of them is not done
 * @refusals: refused starts not yet told in the log
 */
struct shard_job {
	struct lug_workflow *flow;
	gint64 version;
	char *body;
	GArray *storers;
	gboolean in_inbox;
	guint32 *first;
	GPtrArray *occurrences;
	guint32 next_occurrence;
	guint32 priority;
	gint64 accepted_us;
	gint64 due_us;
	gboolean late;
	gboolean started;
	gboolean begun;
	enum lug_workflow_state end;
	guint64 gen;
	guint64 sent_gen;
	guint64 committed_gen;
	gboolean in_flight;
	GArray *acks;
	GArray *waiters;
	GString *ends;
	gboolean failed;
	GString *refusals;
};

struct shard_ended {
	enum lug_workflow_state state;
	gint64 at_us;
};

enum shard_load {
	LOAD_NONE,
	LOAD_LIVE,
	LOAD_RUNS,
	LOAD_DONE,
};

struct lug_shard {
	struct lug_shard_env env;
	guint32 number;
	char name[16];
	struct lug_store *store;
	struct lug_writer *writer;
	lug_shard_fn fn;
	void *data;
	gboolean owned;
	GHashTable *jobs;
	GPtrArray *order;
	gboolean sorted;
	gint64 next_sort_us;
	GHashTable *ended;
	enum shard_load load;
	gboolean scanning;
	char *scan_after;
	gint64 scan_retry_us;
	gint64 next_inbox_us;
	gboolean reading_inbox;
	guint64 seq;
	guint wake;
	gboolean closed;
	guint in_flight;
	gint64 committed_us;
	guint generation;
	gint64 next_sweep_us;
};

/* Names a job across an asynchronous call, in which the shard may change hands. */
struct shard_ref {
	struct lug_shard *shard;
	guint generation;
	char job[LUG_WORKFLOW_ID_MAX + 1];
	gboolean cancel;
};

struct shard_ref *shard_ref_new(struct lug_shard *shard, const char *job);
gboolean shard_ref_valid(const struct shard_ref *ref);

struct shard_job *shard_job_new(struct lug_shard *shard, struct lug_workflow *flow, gint64 version,
				gint64 now_us);
void shard_notify(GArray *waiters, enum lug_status status);
void shard_read_job(struct lug_shard *shard, const char *job, gboolean cancel);
void shard_unclaim_all(struct lug_shard *shard, struct shard_job *entry);
struct shard_occurrence *shard_occurrence_begin(struct shard_job *entry, guint32 number);
void shard_occurrence_free(gpointer data);
void shard_job_free(gpointer data);
void shard_job_changed(struct lug_shard *shard, struct shard_job *entry);
void shard_job_remove(struct lug_shard *shard, struct shard_job *entry);
struct shard_task *shard_find_task(struct shard_job *entry, const struct lug_run_id *id);
void shard_task_id(const struct shard_job *entry, const struct shard_occurrence *occ, guint32 step,
		   guint32 index, struct lug_run_id *out);
const struct lug_step *shard_step(const struct shard_job *entry, guint32 task, guint32 *step);
void shard_size(const struct lug_step *step, struct lug_resources *out);
guint32 shard_attempts(const struct lug_shard *shard, const struct shard_job *entry);

char *shard_row_encode(const struct shard_job *entry);
gboolean shard_row_decode(struct shard_job *entry, JsonObject *row);

void shard_load_start(struct lug_shard *shard, gint64 now_us);
void shard_load_tick(struct lug_shard *shard, gint64 now_us);
void shard_inbox_tick(struct lug_shard *shard, gint64 now_us);
void shard_reset(struct lug_shard *shard);

void shard_move_slow(struct lug_shard *shard, struct shard_job *entry, struct shard_task *task,
		     const struct lug_run_id *id, guint32 share, gint64 now_us);
void shard_begin_due(struct lug_shard *shard, gint64 now_us);
void shard_place(struct lug_shard *shard, gint64 now_us);
void shard_send_start(struct lug_shard *shard, struct shard_job *entry, struct shard_task *task,
		      const struct lug_run_id *id, gint64 now_us);
void shard_send_stop(struct lug_shard *shard, const struct lug_fleet_worker *worker,
		     const struct lug_run_id *id);
void shard_send_ack(struct lug_shard *shard, const struct lug_route *route,
		    const struct lug_run_id *id);
void shard_unclaim(struct lug_shard *shard, struct shard_job *entry, struct shard_task *task,
		   const struct lug_step *step);
void shard_note(GString *runs, const struct lug_run_id *id, const char *worker, const char *outcome,
		gint64 after_us);
void shard_log_runs(const struct lug_shard *shard, struct shard_job *entry);
void shard_commit(struct lug_shard *shard, gint64 now_us);
void shard_finish(struct lug_shard *shard, struct shard_job *entry, enum lug_workflow_state state);

#define SHARD_FOREACH_JOB(shard, entry)                                                      \
	for (guint entry##_i = 0; entry##_i < (shard)->order->len; entry##_i++)              \
		for (struct shard_job *entry = g_ptr_array_index((shard)->order, entry##_i); \
		     entry; entry = NULL)

#endif
