#ifndef LUG_FLOW_SHARD_PRIV_H
#define LUG_FLOW_SHARD_PRIV_H

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
#define SHARD_LANE_TABLE "shard"
/* Suffix of an inbox row that asks for a job's cancellation. */
#define SHARD_CANCEL_SUFFIX ".cancel"

enum flow_task_state {
	FLOW_WAITING,
	FLOW_CLAIMED,
	FLOW_DONE,
};

/**
 * struct flow_task - one task of one occurrence
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
 * @figure: tail latency or cores last told
 * @slow_us: since when it works at a small share, 0 when it does not
 * @moving: its run was stopped to be started elsewhere
 */
struct flow_task {
	enum flow_task_state state;
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
	gint64 figure;
	gint64 slow_us;
	gboolean moving;
};

/**
 * struct flow_occurrence - one run through a job's steps
 * @number: number, counted from 0
 * @tasks: tasks of all steps, in order
 * @done: tasks done, for each step
 * @left: tasks not done
 */
struct flow_occurrence {
	guint32 number;
	struct flow_task *tasks;
	guint32 *done;
	guint32 left;
};

struct flow_ack {
	char worker[LUG_NAME_MAX + 1];
	struct lug_run_id id;
	guint64 gen;
};

struct flow_waiter {
	lug_shard_done_fn fn;
	void *data;
};

/**
 * struct flow_entry - a live job as its owner sees it
 * @flow: job
 * @version: version of the job's row; the first commit requires it, so that a job which
 *           has ended under another owner is not begun again
 * @body: text of the job's row while that is not stored, NULL afterwards
 * @storers: callers that wait for that
 * @in_inbox: the row that tells the owner of the job may still be there
 * @first: index of each step's first task
 * @occurrences: array of struct flow_occurrence *, those that have begun and not ended
 * @next_occurrence: first that has not begun
 * @priority: priority of its queue
 * @accepted_us: when it was accepted
 * @due_us: when its objective ends, by its declared run times
 * @late: it can't be on time any more
 * @started: a task has been claimed
 * @begun: an agent has confirmed a start; a claim may have been refused
 * @end: final state once decided, LUG_FLOW_UNKNOWN before
 * @gen: changes
 * @sent_gen: changes covered by the transaction in flight
 * @committed_gen: changes stored
 * @in_flight: a transaction with this job is in flight
 * @acks: ends to acknowledge after their commit, array of struct flow_ack
 * @waiters: callers that wait for the cancellation's commit
 * @ends: ends of runs not yet told in the log
 * @failed: one of them is not done
 * @refusals: refused starts not yet told in the log
 */
struct flow_entry {
	struct lug_flow *flow;
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
	enum lug_flow_state end;
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

struct flow_ended {
	enum lug_flow_state state;
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
	struct lug_lane *lane;
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
	char job[LUG_FLOW_ID_MAX + 1];
	gboolean cancel;
};

struct shard_ref *shard_ref_new(struct lug_shard *shard, const char *job);
gboolean shard_ref_valid(const struct shard_ref *ref);

struct flow_entry *shard_entry_new(struct lug_shard *shard, struct lug_flow *flow, gint64 version,
				   gint64 now_us);
void shard_tell(GArray *waiters, enum lug_status status);
void shard_read_job(struct lug_shard *shard, const char *job, gboolean cancel);
void shard_unclaim_all(struct lug_shard *shard, struct flow_entry *entry);
struct flow_occurrence *shard_occurrence_begin(struct flow_entry *entry, guint32 number);
void shard_occurrence_free(gpointer data);
void shard_entry_free(gpointer data);
void shard_entry_changed(struct lug_shard *shard, struct flow_entry *entry);
void shard_entry_remove(struct lug_shard *shard, struct flow_entry *entry);
struct flow_task *shard_task(struct flow_entry *entry, const struct lug_run_id *id);
void shard_task_id(const struct flow_entry *entry, const struct flow_occurrence *occ, guint32 step,
		   guint32 index, struct lug_run_id *out);
const struct lug_step *shard_step(const struct flow_entry *entry, guint32 task, guint32 *step);
void shard_size(const struct lug_step *step, struct lug_resources *out);
guint32 shard_attempts(const struct lug_shard *shard, const struct flow_entry *entry);

char *shard_row_encode(const struct flow_entry *entry);
gboolean shard_row_decode(struct flow_entry *entry, JsonObject *row);

void shard_load_start(struct lug_shard *shard, gint64 now_us);
void shard_load_tick(struct lug_shard *shard, gint64 now_us);
void shard_inbox_tick(struct lug_shard *shard, gint64 now_us);
void shard_reset(struct lug_shard *shard);

void shard_move_slow(struct lug_shard *shard, struct flow_entry *entry, struct flow_task *task,
		     const struct lug_run_id *id, guint32 share, gint64 now_us);
void shard_begin_due(struct lug_shard *shard, gint64 now_us);
void shard_place(struct lug_shard *shard, gint64 now_us);
void shard_send_start(struct lug_shard *shard, struct flow_entry *entry, struct flow_task *task,
		      const struct lug_run_id *id, gint64 now_us);
void shard_send_stop(struct lug_shard *shard, const struct lug_fleet_worker *worker,
		     const struct lug_run_id *id);
void shard_send_ack(struct lug_shard *shard, const struct lug_route *route,
		    const struct lug_run_id *id);
void shard_unclaim(struct lug_shard *shard, struct flow_entry *entry, struct flow_task *task,
		   const struct lug_step *step);
void shard_note(GString *runs, const struct lug_run_id *id, const char *worker, const char *outcome,
		gint64 after_us);
void shard_log_runs(const struct lug_shard *shard, struct flow_entry *entry);
void shard_commit(struct lug_shard *shard, gint64 now_us);
void shard_finish(struct lug_shard *shard, struct flow_entry *entry, enum lug_flow_state state);

#define SHARD_FOREACH_JOB(shard, entry)                                                       \
	for (guint entry##_i = 0; entry##_i < (shard)->order->len; entry##_i++)               \
		for (struct flow_entry *entry = g_ptr_array_index((shard)->order, entry##_i); \
		     entry; entry = NULL)

#endif
