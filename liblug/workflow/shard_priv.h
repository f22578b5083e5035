#ifndef LUG_WORKFLOW_SHARD_PRIV_H
#define LUG_WORKFLOW_SHARD_PRIV_H

#include "colocate/crash.h"
#include "core/list.h"
#include "schedule/admission.h"
#include "schedule/speed.h"
#include "schedule/yield.h"
#include "workflow/placement.h"
#include "workflow/shard.h"

/*
 * Shared by the files that implement struct lug_shard: shard.c (ownership, job table), shard_job.c
 * (submission, queries, cancellation), shard_load.c (loading rows), shard_inbox.c (jobs and
 * cancellations that entries have stored), shard_row.c (encoding of job state), shard_place.c
 * (placement and starts), shard_estimate.c (expected run times), shard_reserve.c (reservations for
 * waiting tasks), shard_outcome.c (ended runs and refused starts), shard_beat.c (comparison of
 * claims with heartbeats, lost runs), shard_due.c (urgency of tasks), shard_ack.c (acknowledgements
 * of ends), shard_stop.c (stops of the runs of ended jobs), shard_stray.c (runs
 * without a claim), shard_report.c (log of what is overdue), shard_admit.c (refusal of new jobs)
 * and shard_commit.c (transactions).
 */

/*
 * Tables of a shard: definitions of live jobs, their states, final states of ended jobs, new jobs
 * and cancellations for the owner to find, and the lease.
 */
#define SHARD_LIVE_TABLE "live"
#define SHARD_STATE_TABLE "runs"
#define SHARD_ENDED_TABLE "ended"
#define SHARD_INBOX_TABLE "inbox"
#define SHARD_LEASE_TABLE "shard"
/* Key suffix of an inbox row that requests a job's cancellation. */
#define SHARD_CANCEL_SUFFIX ".cancel"

/* Bytes by which a claim extends a job's stored state at most, as do the words around it. */
#define SHARD_CLAIM_BYTES 128
/* Bytes by which an occurrence without claims extends it at most. */
#define SHARD_OCCURRENCE_BYTES 64
/* Tasks of the active occurrences of a job; further occurrences that are due begin later. */
#define SHARD_ACTIVE_TASKS_MAX 40000

enum shard_task_state {
	SHARD_TASK_WAITING,
	SHARD_TASK_CLAIMED,
	SHARD_TASK_DONE,
};

struct shard_job;

/**
 * struct shard_former_run - how the latest run of a task has ended, for the log line of the next
 * one
 * @how: outcome, or why the run counts as lost; NULL if a former owner has stored that
 * @worker: worker of the run, interned
 * @ended_us: when this owner learned of it
 */
struct shard_former_run {
	const char *how;
	const char *worker;
	gint64 ended_us;
};

/**
 * struct shard_task - one task of one occurrence
 * @claim_node: in the list of claims for @worker, see struct lug_shard; empty when not claimed
 * @job: job
 * @occurrence: number of the occurrence
 * @step: step
 * @index: index within the step
 * @state: state
 * @run: number of the latest run, 0 before the first
 * @failures: failed runs; lost and refused runs are not counted
 * @crash: crashes of workers under the task
 * @worker: worker of the claim, interned, NULL when not claimed
 * @worker_incarnation: incarnation of the worker at the claim, 0 for one by an earlier owner
 * @lease_epoch: epoch of the worker's lease at the claim
 * @shard_epoch: epoch of the shard at the claim
 * @start_seq: sequence number of the start message in this shard epoch, 0 when not sent
 * @claim_revision: job revision that contains the claim; the start is sent once it is committed
 * @start_sent_us: when the start was last sent
 * @stop_since_us: time since which the stop of its run is awaited, as its job has ended; 0 for not
 * @stop_sent_us: when that stop was last sent, 0 for never
 * @timed_since_us: the same; 0 when the run time says nothing about other runs: it resumes from a
 *                  checkpoint, was throttled or was started by an earlier owner
 * @confirmed: the worker's agent reserves resources for the run
 * @begun: the worker has confirmed the start
 * @failed_on: worker of the latest failed run, interned, NULL for none
 * @former: what the owner knows of the run before the next one
 * @checkpoint: checkpoint to resume from, NULL for none
 * @not_before_us: earliest time of the next claim
 * @waiting_since_us: when a long-running task was last seen to begin waiting, 0 while it is claimed
 * @blocked_since_us: time since which no worker has had room for the task, 0 once it runs
 * @next_ask_us: earliest time to search for a worker to ask for a reservation
 * @delay_logged: the present delay of the task was logged
 * @progress_percent: latest reported progress, in percent of the task's work
 * @metric: latest reported tail latency of a serving task in ms, millicores in use for other tasks
 * @slow_since_us: start of the current period of slow work, 0 when not slow
 * @relocating: the run was stopped to continue on another worker
 * @move: moves off slow workers
 */
struct shard_task {
	struct lug_list claim_node;
	struct shard_job *job;
	guint32 occurrence;
	guint32 step;
	guint32 index;
	enum shard_task_state state;
	guint32 run;
	guint32 failures;
	struct lug_crash_history crash;
	const char *worker;
	guint64 worker_incarnation;
	guint64 lease_epoch;
	guint64 shard_epoch;
	guint64 start_seq;
	guint64 claim_revision;
	gint64 start_sent_us;
	gint64 stop_since_us;
	gint64 stop_sent_us;
	gint64 timed_since_us;
	gboolean confirmed;
	gboolean begun;
	const char *failed_on;
	struct shard_former_run former;
	char *checkpoint;
	gint64 not_before_us;
	gint64 waiting_since_us;
	gint64 blocked_since_us;
	gint64 next_ask_us;
	gboolean delay_logged;
	guint32 progress_percent;
	gint64 metric;
	gint64 slow_since_us;
	gboolean relocating;
	struct lug_speed_move move;
};

/**
 * struct shard_stray - run that a worker's agent may hold without a claim, see shard_stray.c
 * @id: run
 * @lease_epoch: epoch of the worker's lease, under which it may go on
 * @stop_since_us: time since which its stop is awaited, as its job has ended; 0 for not
 * @stop_sent_us: when that stop was last sent, 0 for never
 */
struct shard_stray {
	struct lug_run_id id;
	guint64 lease_epoch;
	gint64 stop_since_us;
	gint64 stop_sent_us;
};

/**
 * struct shard_claims - the tasks claimed for one worker
 * @tasks: list of struct shard_task
 * @listed_us: when the worker's agent last listed its runs of the shard, or the claims were loaded
 * @overdue: it was logged that the list is overdue
 * @strays: runs without a claim that may be on the worker, array of struct shard_stray
 * @n_stops: runs that are being stopped, as their jobs have ended
 * @stop_since_us: since when there have been such runs, 0 while there is none
 */
struct shard_claims {
	struct lug_list tasks;
	gint64 listed_us;
	gboolean overdue;
	GArray *strays;
	guint n_stops;
	gint64 stop_since_us;
};

/**
 * struct shard_occurrence - one pass through a job's steps
 * @number: number, counted from 0
 * @tasks: tasks of all steps, in order of the steps
 * @done_per_step: completed tasks of each step
 * @tasks_left: tasks not completed
 */
struct shard_occurrence {
	guint32 number;
	struct shard_task *tasks;
	guint32 *done_per_step;
	guint32 tasks_left;
};

/**
 * struct shard_ack - acknowledgement of a run's end, sent once the end is committed
 * @worker: worker of the run
 * @id: run
 * @revision: revision of the job whose commit stores the end
 * @obsolete: the end has changed nothing
 */
struct shard_ack {
	char worker[LUG_NAME_MAX + 1];
	struct lug_run_id id;
	guint64 revision;
	gboolean obsolete;
};

/**
 * struct shard_obsolete_end - reported end of a run that changes nothing
 * @route: destination of the acknowledgement
 * @id: run
 * @received_us: when the report arrived
 */
struct shard_obsolete_end {
	struct lug_route route;
	struct lug_run_id id;
	gint64 received_us;
};

/**
 * struct shard_waiter - caller that waits for a job to be stored or cancelled
 * @fn: called once with the outcome
 * @data: passed to @fn
 */
struct shard_waiter {
	lug_shard_done_fn fn;
	void *data;
};

/**
 * struct shard_job - a live job at its owner
 * @workflow: definition of the job, owned
 * @row_version: version of the job's row; the first commit requires it, so that a job that
 *               has ended under another owner is not started again
 * @unstored_body: text of the job's row until it is stored, NULL afterwards
 * @store_waiters: callers that wait until it is stored, array of struct shard_waiter
 * @in_inbox: the job's inbox row may still exist
 * @cancel_in_inbox: an inbox row requests its cancellation
 * @n_strays: runs of the job without a claim that may go on
 * @first_task: index of each step's first task; the last element is the number of tasks
 * @occurrences: active occurrences, array of struct shard_occurrence *
 * @next_occurrence: first occurrence that has not begun
 * @priority: priority of its queue
 * @accepted_us: when it was accepted
 * @deadline_us: end of the time that its queue's objective allows for the declared work
 * @infeasible: it can't meet its deadline
 * @order: place among the jobs of the shard
 * @first_us: when it was first submitted, if that submission was refused; 0 otherwise
 * @last_start_us: when a worker last confirmed the start of a task, 0 for never under this owner
 * @withheld_us: when it was withheld: no task starts before its client submits it again, see
 *               shard_check_found_job(); 0 for not
 * @expired: its client did not return while it was withheld: its rows are to be removed
 * @release_revision: revision in which it was released after it was withheld, 0 for none
 * @was_claimed: a task has been claimed
 * @was_confirmed: a worker has confirmed a start, without which no task has begun
 * @end_state: final state once decided, LUG_WORKFLOW_UNKNOWN before
 * @revision: number of changes
 * @sent_revision: revision covered by the transaction in flight
 * @committed_revision: revision that is stored
 * @commit_in_flight: a transaction with this job is in flight
 * @row_bytes: length of the stored state without checkpoints, with allowances for what was claimed
 *             or begun since it was last encoded
 * @checkpoints_left_out: checkpoints for which the stored state had no room when last encoded
 * @pending_acks: ends of runs to acknowledge after their commit, array of struct shard_ack
 * @cancel_waiters: callers that wait for the cancellation's commit, array of struct shard_waiter
 * @ended_runs: text list of the ended runs that are not yet logged, see shard_note_run()
 * @has_incomplete_run: @ended_runs contains a run with an outcome other than LUG_RUN_DONE
 * @refused_runs: text list of the refused starts that are not yet logged
 */
struct shard_job {
	struct lug_workflow *workflow;
	gint64 row_version;
	char *unstored_body;
	GArray *store_waiters;
	gboolean in_inbox;
	gboolean cancel_in_inbox;
	guint n_strays;
	guint32 *first_task;
	GPtrArray *occurrences;
	guint32 next_occurrence;
	guint32 priority;
	gint64 accepted_us;
	gint64 deadline_us;
	gboolean infeasible;
	struct lug_order_key order;
	gint64 first_us;
	gint64 last_start_us;
	gint64 withheld_us;
	gboolean expired;
	guint64 release_revision;
	gboolean was_claimed;
	gboolean was_confirmed;
	enum lug_workflow_state end_state;
	guint64 revision;
	guint64 sent_revision;
	guint64 committed_revision;
	gboolean commit_in_flight;
	gsize row_bytes;
	guint checkpoints_left_out;
	GArray *pending_acks;
	GArray *cancel_waiters;
	GString *ended_runs;
	gboolean has_incomplete_run;
	GString *refused_runs;
};

/**
 * struct shard_ended - final state of an ended job, kept for queries and repeated submissions
 * @state: final state
 * @ended_us: when it was committed
 */
struct shard_ended {
	enum lug_workflow_state state;
	gint64 ended_us;
};

/**
 * enum shard_load_phase - progress of loading the shard's rows, in order
 * @SHARD_LOAD_NONE: not owned
 * @SHARD_LOAD_LIVE: reading the definitions of live jobs
 * @SHARD_LOAD_STATES: reading the states of live jobs
 * @SHARD_LOAD_INBOX: reading the cancellations in the inbox, before any task is placed
 * @SHARD_LOAD_DONE: all rows are read
 */
enum shard_load_phase {
	SHARD_LOAD_NONE,
	SHARD_LOAD_LIVE,
	SHARD_LOAD_STATES,
	SHARD_LOAD_INBOX,
	SHARD_LOAD_DONE,
};

/**
 * struct lug_shard - one shard
 * @shared: objects shared by all shards of the process
 * @number: shard
 * @name: @number as text: partition of the store and key of the lease row
 * @store: client for the shard's partition
 * @writer: single-writer of the shard's partition
 * @event_fn: called with each event in the ownership
 * @event_data: passed to @event_fn
 * @owned: this process owns the shard, including while it is being released
 * @jobs: live jobs by id, struct shard_job *
 * @claims: claimed tasks by worker, whose name is interned; struct shard_claims *, owned
 * @placement_order: live jobs in the order in which they are placed, owns them
 * @order_valid: @placement_order contains no job that was added after the last sort
 * @next_sort_us: next sort of @placement_order
 * @obsolete_ends: ends to acknowledge after the next commit, array of struct shard_obsolete_end
 * @ended_jobs: recently ended jobs by id, struct shard_ended *
 * @load_phase: progress of loading
 * @scanning: a scan for loading is in flight
 * @scan_after: key after which the next scan starts, NULL for the first
 * @scan_retry_us: earliest retry of a failed scan
 * @next_inbox_us: next read of the inbox
 * @reading_inbox: the inbox is being read
 * @last_start_seq: sequence number of the latest start in this epoch
 * @wake_source: source id of the pending pass of placement and commit, 0 for none
 * @closed: no further passes of placement and commit are scheduled
 * @jobs_in_flight: jobs in the transaction in flight
 * @last_commit_us: when the latest successful commit was sent, less the clock drift allowed for
 * @generation: number of ownership changes; a struct shard_ref of an earlier one is invalid
 * @next_sweep_us: next deletion of rows of ended jobs
 * @next_report_us: next search for claims and waiting tasks to log
 * @admission: measurements of the backlog and memory of refused jobs
 * @admit_all_until_us: no job is refused before this time, see shard_admit_all()
 * @last_tick_us: latest call of lug_shard_tick()
 * @reserves: reservations asked for, array of struct shard_reserve
 * @next_search_us: next search for workers to ask for reservations
 * @searches_left: number of workers that may be searched for before that
 * @largest_blocked: size of the largest task that might have asked since the last of these
 *                   searches, in thousandths of a core
 * @ask_millicores: the same for the time before, 0 for none; smaller tasks don't ask now
 * @usual_millicores: moving average of the sizes of placed tasks of limited run time
 * @finite_blocked_us: when a task of limited run time last found no room, 0 for never
 */
struct lug_shard {
	struct lug_shard_env shared;
	guint32 number;
	char name[16];
	struct lug_store *store;
	struct lug_writer *writer;
	lug_shard_event_fn event_fn;
	void *event_data;
	gboolean owned;
	GHashTable *jobs;
	GHashTable *claims;
	GPtrArray *placement_order;
	gboolean order_valid;
	gint64 next_sort_us;
	GArray *obsolete_ends;
	GHashTable *ended_jobs;
	enum shard_load_phase load_phase;
	gboolean scanning;
	char *scan_after;
	gint64 scan_retry_us;
	gint64 next_inbox_us;
	gboolean reading_inbox;
	guint64 last_start_seq;
	guint wake_source;
	gboolean closed;
	guint jobs_in_flight;
	gint64 last_commit_us;
	guint generation;
	gint64 next_sweep_us;
	gint64 next_report_us;
	struct lug_admission *admission;
	gint64 admit_all_until_us;
	gint64 last_tick_us;
	GArray *reserves;
	gint64 next_search_us;
	guint searches_left;
	gint64 largest_blocked;
	gint64 ask_millicores;
	gint64 usual_millicores;
	gint64 finite_blocked_us;
};

/**
 * struct shard_ref - context of an asynchronous call of a shard
 * @shard: shard
 * @generation: generation of the shard at the call
 * @job_id: job, "" for none; looked up again because it may be removed during the call
 * @cancel: cancel the job once its row is read
 * @first_us: as in struct shard_job, set once its row is read
 * @accepted: an entry has accepted the job, which is not to be withheld
 * @body: text of the row of a job to store if it has none, NULL for none
 */
struct shard_ref {
	struct lug_shard *shard;
	guint generation;
	char job_id[LUG_WORKFLOW_ID_MAX + 1];
	gboolean cancel;
	gint64 first_us;
	gboolean accepted;
	char *body;
};

static inline const struct lug_evacuation *shard_evacuation(const struct lug_shard *shard)
{
	return lug_config_evacuation(shard->shared.config);
}

struct shard_ref *shard_ref_new(struct lug_shard *shard, const char *id);
gboolean shard_ref_is_valid(const struct shard_ref *ref);

struct shard_job *shard_job_new(struct lug_shard *shard, struct lug_workflow *workflow,
				gint64 version, gint64 now_us);
void shard_notify_waiters(GArray *waiters, enum lug_status status);
char *shard_cancel_key(const char *id);
void shard_check_not_stored(struct lug_txn *txn, const char *id);
void shard_read_job_row(struct lug_shard *shard, const char *id, gboolean cancel, gint64 first_us);
void shard_read_accepted_job(struct lug_shard *shard, const char *id, const char *body);
void shard_release_job_claims(struct lug_shard *shard, struct shard_job *job);
void shard_occurrence_identify(struct shard_job *job, struct shard_occurrence *occ);
struct shard_occurrence *shard_occurrence_begin(struct shard_job *job, guint32 number);
void shard_occurrence_free(gpointer data);
void shard_job_free(gpointer data);
void shard_job_mark_changed(struct lug_shard *shard, struct shard_job *job);
void shard_job_remove(struct lug_shard *shard, struct shard_job *job);
struct shard_task *shard_find_task(struct shard_job *job, const struct lug_run_id *id);
void shard_task_run_id(const struct shard_job *job, const struct shard_occurrence *occ,
		       guint32 step, guint32 index, struct lug_run_id *out);
const struct lug_step *shard_task_step(const struct shard_job *job, guint32 task, guint32 *step);
void shard_step_size(const struct lug_step *step, struct lug_resources *out);
guint32 shard_max_attempts(const struct lug_shard *shard, const struct shard_job *job);

char *shard_row_encode(struct shard_job *job, gsize max_bytes);
void shard_row_measure(struct shard_job *job);
gboolean shard_row_decode(struct shard_job *job, JsonObject *row);
gsize shard_row_max_bytes(const struct lug_shard *shard);

void shard_load_start(struct lug_shard *shard, gint64 now_us);
void shard_load_tick(struct lug_shard *shard, gint64 now_us);
void shard_load_job_row(struct lug_shard *shard, const struct lug_row *row, gint64 now_us);
void shard_load_inbox_row(struct lug_shard *shard, const char *key);
void shard_inbox_tick(struct lug_shard *shard, gint64 now_us);

void shard_sample_backlog(struct lug_shard *shard, gint64 now_us);
void shard_note_ended(struct lug_shard *shard, const struct shard_job *job,
		      const struct lug_step *step, gint64 now_us);
void shard_admit_all(struct lug_shard *shard, gint64 now_us);
void shard_admission_tick(struct lug_shard *shard, gint64 now_us);
gboolean shard_try_refuse(struct lug_shard *shard, struct lug_workflow *workflow, const char *body,
			  const struct shard_waiter *waiter, gint64 now_us);
void shard_store_admitted(struct lug_shard *shard, struct lug_workflow *workflow, const char *body,
			  const struct shard_waiter *waiter, gint64 now_us);
void shard_check_found_job(struct lug_shard *shard, struct shard_job *job, gint64 now_us);
void shard_release_job(struct lug_shard *shard, struct shard_job *job);
gboolean shard_release_withheld_job(struct lug_shard *shard, struct shard_job *job,
				    const char *body, gint64 now_us);
void shard_reset_state(struct lug_shard *shard);

gint64 shard_expected_ms(const struct lug_shard *shard, const struct shard_job *job,
			 const struct lug_step *step);
gint64 shard_promised_ms(const struct lug_shard *shard, const struct shard_job *job,
			 const struct lug_step *step);
void shard_learn_run_time(struct lug_shard *shard, const struct shard_job *job,
			  const struct shard_task *task, const struct lug_run_id *id,
			  gint64 now_us);
GArray *shard_reserves_new(void);
void shard_reserve_reset(struct lug_shard *shard);
void shard_reserve_check(struct lug_shard *shard, gint64 now_us);
void shard_reserve_fill_request(const struct lug_shard *shard, const struct shard_job *job,
				guint32 occurrence, struct lug_placement_request *request,
				gint64 now_us);
void shard_reserve_blocked(struct lug_shard *shard, struct shard_job *job,
			   struct shard_occurrence *occ, guint32 first,
			   const struct lug_placement_request *request, gint64 now_us);
void shard_reserve_claimed(struct lug_shard *shard, const struct shard_task *task,
			   struct lug_fleet_worker *worker,
			   const struct lug_placement_request *request, gint64 now_us);
void shard_reserve_on_beat(struct lug_shard *shard, const struct lug_fleet_worker *worker,
			   gint64 now_us);
void shard_reserve_refused(struct lug_shard *shard, const struct shard_job *job,
			   const struct lug_run_id *id, struct lug_fleet_worker *worker,
			   gint64 now_us);
void shard_relocate_if_slow(struct lug_shard *shard, struct shard_job *job, struct shard_task *task,
			    const struct lug_run_id *id, guint32 share_percent, gint64 now_us);
void shard_update_sort_keys(struct lug_shard *shard, struct shard_job *job, gint64 now_us);
void shard_fill_times(struct lug_shard *shard, struct shard_job *job, const struct lug_run_id *id,
		      Lug__RunStart *start, gint64 now_us);
enum lug_urgency shard_task_urgency(const struct lug_shard *shard, const struct shard_job *job,
				    guint32 occurrence, guint32 step, guint32 progress_percent,
				    gint64 now_us);
void shard_begin_due_occurrences(struct lug_shard *shard, gint64 now_us);
void shard_place_tasks(struct lug_shard *shard, gint64 now_us);
gint64 shard_critical_path_ms(const struct lug_workflow *workflow,
			      const struct shard_occurrence *occ);
void shard_send_start(struct lug_shard *shard, struct shard_job *job, struct shard_task *task,
		      const struct lug_run_id *id, gint64 now_us);
void shard_send_stop(struct lug_shard *shard, const struct lug_fleet_worker *worker,
		     const struct lug_run_id *id);
void shard_send_ack(struct lug_shard *shard, const struct lug_route *route,
		    const struct lug_run_id *id, gboolean obsolete);
gboolean shard_add_obsolete_end(struct lug_shard *shard, const struct lug_route *route,
				const struct lug_run_id *id, gint64 now_us);
void shard_ack_obsolete_ends(struct lug_shard *shard);
void shard_index_claim(struct lug_shard *shard, struct shard_task *task, gint64 now_us);
struct shard_claims *shard_find_claims(const struct lug_shard *shard, const char *worker);
struct shard_claims *shard_get_claims(struct lug_shard *shard, const char *worker);
void shard_claims_free(gpointer data);
void shard_note_former_run(struct shard_task *task, const char *how, gint64 now_us);
void shard_mark_begun(struct shard_job *job, struct shard_task *task);
void shard_confirm_reservation(struct lug_shard *shard, struct shard_task *task,
			       const struct lug_step *step);
void shard_log_run(struct lug_shard *shard, const char *event, const struct lug_run_id *id,
		   const char *worker, const char *key, const char *value);
void shard_save_checkpoint(struct shard_task *task, const char *checkpoint);
void shard_check_crash_history(struct lug_shard *shard, struct shard_job *job,
			       struct shard_task *task, const struct lug_run_id *id, gint64 now_us);
void shard_note_list(const struct lug_shard *shard, const char *worker, struct shard_claims *claims,
		     gint64 now_us);
void shard_report_delays(struct lug_shard *shard, gint64 now_us);
void shard_release_claim(struct lug_shard *shard, struct shard_job *job, struct shard_task *task,
			 const struct lug_step *step);
void shard_note_run(GString *runs, const struct lug_run_id *id, const char *worker,
		    const char *outcome, gint64 after_us);
void shard_log_runs(const struct lug_shard *shard, struct shard_job *job);
void shard_log_run_list(const struct lug_shard *shard, const struct shard_job *job,
			const char *event, GString *runs);
gboolean shard_awaits_stops(const struct shard_job *job);
void shard_end_stop(struct lug_shard *shard, struct shard_task *task);
void shard_claims_begin_stop(struct shard_claims *claims, struct lug_fleet_worker *worker,
			     gint64 now_us);
void shard_claims_end_stop(struct shard_claims *claims);
void shard_repeat_stop(struct lug_shard *shard, const struct lug_fleet_worker *worker,
		       const struct lug_run_id *id, gint64 *sent_us, gint64 now_us);
void shard_add_stray(struct lug_shard *shard, const struct lug_run_id *id, const char *worker,
		     guint64 lease_epoch);
void shard_settle_stray(struct lug_shard *shard, const struct lug_run_id *id, const char *worker);
void shard_settle_unlisted_strays(struct lug_shard *shard, const char *worker,
				  gboolean (*is_gone)(const struct lug_run_id *id, void *data),
				  void *data);
void shard_settle_strays_of_lease(struct lug_shard *shard, const char *worker, guint64 lease_epoch,
				  gboolean awaited_only);
void shard_stop_strays(struct lug_shard *shard, const struct shard_job *job, gint64 now_us);
void shard_stop_ended_jobs(struct lug_shard *shard, gint64 now_us);
void shard_commit_changes(struct lug_shard *shard, gint64 now_us);
void shard_set_end_state(struct lug_shard *shard, struct shard_job *job,
			 enum lug_workflow_state state);

/* Iterates over the live jobs in placement order. The inner loop declares @job and runs once. */
#define SHARD_FOREACH_JOB(shard, job)                                                              \
	for (guint job##_i = 0; job##_i < (shard)->placement_order->len; job##_i++)                \
		for (struct shard_job *job = g_ptr_array_index((shard)->placement_order, job##_i); \
		     job; job = NULL)

#endif
