#ifndef LUG_WORKFLOW_EXECUTOR_PRIV_H
#define LUG_WORKFLOW_EXECUTOR_PRIV_H

#include "schedule/forecast.h"
#include "schedule/speed.h"
#include "schedule/yield.h"
#include "workflow/executor.h"
#include "workflow/interference.h"

/*
 * Shared by the files that implement struct lug_executor: executor.c (lifecycle, reservations,
 * heartbeats of the worker), executor_lease.c (the worker's lease), executor_outstanding.c (calls
 * that the next incarnation of the worker may carry out), executor_poll.c (polls of the worker),
 * executor_restart.c (restarts of the worker), executor_throttle.c (shares of best-effort tasks),
 * executor_speed.c (speed of the worker), executor_run.c (starts and stops), executor_zone.c
 * (evacuated zones), executor_reserve.c (reservation of room for a waiting task),
 * executor_report.c (messages to owners) and executor_log.c (log lines of calls and runs).
 */

/* Table of the leases of workers. */
#define EXEC_LEASE_TABLE "worker"

/* A worker is down for longer than this when it restarts. */
#define EXEC_RESTART_MIN_US (200 * 1000)
/* Minimum remaining lease time for accepting a start. */
#define START_LEASE_MARGIN_US (1000 * 1000)
/* The worker's clock may run up to 2 % slow. */
#define EXEC_CLOCK_DRIFT_DIVISOR 50

/**
 * enum exec_state - state of a run
 * @EXEC_STARTING: the start was sent or is about to be
 * @EXEC_RUNNING: the worker has confirmed the start
 * @EXEC_UNKNOWN: the outcome of the start is unknown; the run is being stopped
 * @EXEC_STOPPED: the worker has confirmed the stop; the run is removed once a poll sent after that
 *                does not list it, and no start of it can be carried out late by the next
 *                incarnation, which knows of no stop
 */
enum exec_state {
	EXEC_STARTING,
	EXEC_RUNNING,
	EXEC_UNKNOWN,
	EXEC_STOPPED,
};

/**
 * struct exec_run - a run with a reservation on the worker
 * @id: run
 * @local_id: number by which callbacks find the run, unique within the executor; unlike the number
 *            in @id, it means nothing to other processes
 * @state: state
 * @shard: shard of its job
 * @size: reserved resources
 * @attributes_missing: started by an earlier process of the agent; its owner has not yet sent its
 *                      attributes: size, image, target, best-effort or not
 * @start_confirmed: the worker has answered a start, or the reply to a poll listed the run
 * @incarnation: incarnation of the worker that has confirmed the run's state, 0 for none; what it
 *               has confirmed does not hold for another one that lists the run
 * @stopping: a stop was requested
 * @start_sent_us: when the start was first sent, or when a poll first listed the run
 * @started_at: id of the worker that the start was last sent to, NULL for none
 * @call_in_flight: a start or a stop is in flight
 * @unanswered_starts: starts without an answer
 * @late_start_until_us: time until which one of them may be carried out late, 0 for none
 * @isolated: its task is suspected to crash its workers
 * @crashed: the worker has crashed, and the run may have been on it; it is kept until a poll of the
 *           next incarnation shows whether it runs there
 * @lease_fenced: owners have fenced the lease under which it was started
 * @suspected_jobs: of a crashed run, see struct exec_end
 * @spec: passed to the task
 * @checkpoint: latest checkpoint
 * @progress_percent: reported progress of the task, in percent of its work
 * @metric: reported tail latency of a serving task in ms, millicores in use for other tasks
 * @confirmed_poll: number of the latest poll sent before the worker confirmed the start or the stop
 * @stop_retry_us: time at which to repeat the stop, 0 for never
 * @listed: the latest poll lists the run
 * @best_effort: its cores are not reserved
 * @best_effort_millicores: millicores that it can use
 * @image: image, interned
 * @target_ms: target tail latency, 0 for a task that does not serve
 * @expected_ms: expected run time of the whole task at full speed, 0 for long-running or not known
 * @progress: progress since the start of the present sample of the worker's speed
 * @resumed: it resumes from a checkpoint or was started by an earlier process of the agent, so that
 *           its progress does not show its speed
 * @applied_percent: share last confirmed by a throttle, in percent
 * @throttle_in_flight: a throttle is in flight
 * @share: planned share, 0 to 1
 * @strength: interference relative to the mean of its image
 * @strength_var: variance of @strength
 * @load: load of a serving task
 * @limit: utilisation at which the tail latency reaches @target_ms
 * @pressure: utilisation taken by the tasks beside a serving task
 * @over_target_since_us: time since which the tail latency has been above @target_ms, 0 while it is
 *                        not
 * @over_target_shared: best-effort tasks have run in that time
 * @unprotected_until_us: time until which no best-effort task is halted to protect this task
 * @all_halted_us: time at which all best-effort tasks were halted for this task, 0 for none
 * @all_halted_metric: tail latency in ms at @all_halted_us
 * @halted: a best-effort task whose share is set to 0 to protect a serving task
 * @was_halted: @halted before the latest sample
 * @yield: whether a best-effort task yields
 * @yield_serving: whether the yielding tasks beside a serving task are halted for it
 */
struct exec_run {
	struct lug_run_id id;
	guint64 local_id;
	enum exec_state state;
	guint32 shard;
	struct lug_resources size;
	gboolean attributes_missing;
	gboolean start_confirmed;
	guint64 incarnation;
	gboolean stopping;
	gint64 start_sent_us;
	char *started_at;
	gboolean call_in_flight;
	guint unanswered_starts;
	gint64 late_start_until_us;
	gboolean isolated;
	gboolean crashed;
	gboolean lease_fenced;
	guint suspected_jobs;
	char *spec;
	char *checkpoint;
	guint32 progress_percent;
	gint64 metric;
	guint64 confirmed_poll;
	gint64 stop_retry_us;
	gboolean listed;
	gboolean best_effort;
	gint64 best_effort_millicores;
	const char *image;
	guint32 target_ms;
	gint64 expected_ms;
	struct lug_speed_task progress;
	gboolean resumed;
	guint32 applied_percent;
	gboolean throttle_in_flight;
	double share;
	double strength;
	double strength_var;
	struct lug_serving_load load;
	double limit;
	double pressure;
	gint64 over_target_since_us;
	gboolean over_target_shared;
	gint64 unprotected_until_us;
	gint64 all_halted_us;
	gint64 all_halted_metric;
	gboolean halted;
	gboolean was_halted;
	struct lug_yield_task yield;
	struct lug_yield_serving yield_serving;
};

/**
 * struct exec_task_shares - shares of a best-effort task since the last sample
 * @local_id: local id of its run, which may have ended meanwhile
 * @image: image, interned
 * @strength: interference relative to the mean of its image
 * @strength_var: variance of @strength
 * @share: current share, 0 to 1
 * @share_avg: moving average of @share, starting from 0
 * @min_share: minimum of @share
 * @max_share: maximum of @share
 */
struct exec_task_shares {
	guint64 local_id;
	const char *image;
	double strength;
	double strength_var;
	double share;
	double share_avg;
	double min_share;
	double max_share;
};

/**
 * struct exec_end - the end of a run, kept until its owner has stored it
 * @number: number of the end, assigned by the worker, 0 for a run whose worker crashed
 * @incarnation: incarnation of the worker that numbered the end, 0 for a run whose worker crashed
 * @id: run
 * @shard: shard of its job
 * @outcome: outcome
 * @suspected_jobs: number of jobs with runs suspected of the worker's crash, 0 when this one is not
 * @unconfirmed: the worker had not confirmed the start of a run that ended by its crash
 * @checkpoint: last checkpoint
 * @is_stored: the owner has acknowledged that it has stored the end
 * @stored_epoch: epoch of the shard under which it has done so
 * @is_obsolete: and that the end has changed nothing
 * @listed_us: when a poll first listed the end, 0 for a run whose worker crashed
 * @sent_us: last time that the end was sent to the owner
 */
struct exec_end {
	guint64 number;
	guint64 incarnation;
	struct lug_run_id id;
	guint32 shard;
	enum lug_run_outcome outcome;
	guint suspected_jobs;
	gboolean unconfirmed;
	char *checkpoint;
	gboolean is_stored;
	guint64 stored_epoch;
	gboolean is_obsolete;
	gint64 listed_us;
	gint64 sent_us;
};

/**
 * struct exec_done_run - a run that its owner has stored as done
 * @id: run
 * @until_us: time after which no start of it is carried out any more
 */
struct exec_done_run {
	struct lug_run_id id;
	gint64 until_us;
};

/**
 * struct exec_owner - owner of a shard
 * @epoch: highest epoch seen
 * @last_seq: highest sequence number of a start received in @epoch, 0 for none
 * @list_cut: the latest heartbeat has listed the shard's runs up to @listed_until; the next one
 *            continues after that
 * @listed_until: last run that it has listed
 */
struct exec_owner {
	guint64 epoch;
	guint64 last_seq;
	gboolean list_cut;
	struct lug_run_id listed_until;
};

/**
 * struct lug_executor - starts, stops and throttles the runs of one worker
 * @ctx: context
 * @store: client of the table service
 * @writer: the worker's lease
 * @worker: client of the worker, owned
 * @n_shards: number of shards
 * @owners: owner of each shard
 * @send: sends to a shard's owner
 * @data: passed to @send
 * @runs: array of struct exec_run *
 * @ends: array of struct exec_end *, in the order of the worker's numbers
 * @done_runs: array of struct exec_done_run, of those that may be started late once more
 * @last_local_id: local id of the latest run
 * @acquiring_lease: an attempt to acquire the lease is in flight
 * @lease_held: the latest lease event was LUG_WRITER_TAKEN; unlike lug_writer_is_held(), still TRUE
 *              while the release is being committed
 * @next_acquire_us: earliest time of the next attempt to acquire the lease
 * @worker_id: id in the worker's latest heartbeat, "" before the first
 * @id_incarnation: incarnation that has that id, as far as heartbeats tell
 * @id_confirmed: a worker of that id and incarnation has answered a poll that named it
 * @confirmed_id: id that was confirmed last, "" for none
 * @heartbeat_incarnation: incarnation in the worker's latest heartbeat
 * @worker_heartbeat_seq: number of the worker's latest heartbeat to the agent
 * @worker_incarnation: current incarnation of the worker, 0 for not known
 * @service: service whose pool the worker belongs to
 * @zone: availability zone that the worker's latest heartbeat names, "" for none
 * @cold_until_us: until then the worker is slow after its start
 * @evacuation: evacuated zones, NULL for a deployment without evacuations
 * @zone_evacuated: the worker's zone was evacuated at the latest tick
 * @draining: the worker's latest heartbeat announces that it shuts down soon
 * @worker_exiting: the worker has announced its exit
 * @worker_exited: and has accepted no connections since
 * @exit_announced_us: time of that announcement
 * @shutting_down: the agent is shutting down
 * @releasing: it has asked for the release of the worker's lease
 * @capacity: total resources for tasks, as of the latest heartbeat
 * @capacity_at_us: time at which that heartbeat was received
 * @capacity_clock_ms: the worker's clock when it was sent, 0 for not known
 * @labels: kind and rack of the worker
 * @poll_in_flight: a poll is in flight
 * @n_polls: number of polls sent, which is the number of the latest
 * @fallback_poll_us: time from which the tick sends a poll, after a failed poll or when @poll_timer
 *                    has not sent one
 * @poll_timer: source id of the scheduled poll, 0 for none
 * @closed: no further calls are made
 * @poll_sent_us: time at which the latest poll was sent
 * @poll_token: fencing token of the latest poll
 * @poll_expires_ms: end of the lease that the latest poll has sent, 0 for none
 * @poll_until_us: when that lease ends on the agent's clock
 * @poll_acked: @acked_end_number that the latest poll has sent, 0 for none
 * @poll_target: id that the latest poll has named, "" for none
 * @poll_incarnation: @worker_incarnation when the latest poll was sent
 * @token_raises: lower part of the fencing token, see exec_raise_token()
 * @confirmed_epoch: lease epoch under which the runs on the worker are known: it has answered a
 *                   poll with all its ends, or no earlier run can be left on it; 0 for none
 * @clock_ms: the worker's clock at @clock_at_us
 * @clock_at_us: time at which @clock_ms was received, 0 for not known
 * @clock_requested_us: time at which the poll was sent whose answer contained @clock_ms
 * @granted_until_us: time after which no lease sent to the worker, by this process or a former
 *                    one, is valid
 * @row_valid_until_us: latest lug_writer_valid_until_us() of the lease's row
 * @grants_paused: no call may contain an end of the lease, and the row states how long the worker
 *                 may hold the one that it has, see exec_pause_grants()
 * @resumed_txn: number of the transaction that must be written before such a call, see
 *               lug_writer_rewrite()
 * @renewed_until_us: end of the lease in the latest poll that the worker has answered
 * @grants_in_flight: calls in flight that contain an end of the lease
 * @grant_expires_ms: latest end of the lease sent to the present incarnation, on its clock
 * @grant_answered_us: when a call that contains one was last answered
 * @outstanding_expires_ms: latest end of the lease in the calls that may yet be carried out, by the
 *                    incarnation that they were sent to or a later one; on the clock of the former
 * @outstanding_until_us: time after which none of these calls is carried out any more, 0 for none
 * @late_start_until_us: time until which a start without an answer may be carried out late, as far
 *                       as acknowledgements allow for that; 0 for none
 * @fenced_incarnation: incarnation that has answered a poll under the present fencing token, 0 for
 *                      none
 * @runs_known: runs on the worker that this process does not hold count as lost
 * @lost_run_listed: the present incarnation lists one, and is not settled yet
 * @lapse_until_us: time by which the worker's lease has lapsed; until then it is not renewed, and
 * no end is acknowledged, see exec_await_lapse(); 0 for none
 * @settled_id: id of the worker when it was last settled, see exec_settle(); "" for never
 * @settled_incarnation: incarnation that was settled last, by this process or a former one
 * @settled_txn: number of the transaction by which this process states that, see
 *               lug_writer_rewrite(); 0 for a former process
 * @last_answer_us: time of the latest answer to a poll
 * @acked_end_number: ends up to this number are stored by the owners of their shards
 * @acked_ends: list of the ends that the next acknowledgement adds, for its log line
 * @acknowledged_number: ends up to this number are acknowledged to the worker
 * @last_end_number: number of the latest end received
 * @sent_heartbeat_seq: number of the agent's latest heartbeat to owners
 * @interference_interval: heartbeats per report of the learned interference, as an owner requests
 *                         it, 0 for none yet
 * @failed_polls: consecutive failed polls
 * @broken_polls: consecutive polls whose connection was refused or has broken
 * @silent_since_us: when the first of the consecutive failed polls failed, 0 for none
 * @worker_down: a poll's connection has broken, and no later poll was answered
 * @alive_until_us: with @silent_since_us, when the worker was last up
 * @failed_poll_sent_us: time at which the latest failed poll was sent
 * @expiry_seen_us: time at which the lease's expiry was noticed, before @granted_until_us when it
 *                  has not been
 * @failures: consecutive failed runs on the worker
 * @interference: learned interference
 * @task_shares: array of struct exec_task_shares, since @last_sample_us
 * @shares_recorded: @task_shares has been updated since @last_sample_us
 * @shares_updated_us: last update of @task_shares
 * @last_sample_us: time of the latest sample
 * @halts_yielding: the latest sample has halted the yielding tasks
 * @speed: measured speed of the worker
 * @speed_incarnation: incarnation of the worker that it was measured on
 * @reserve: reservation of room for a waiting task
 */
struct lug_executor {
	struct lug_ctx *ctx;
	struct lug_store *store;
	struct lug_writer *writer;
	struct lug_worker *worker;
	guint32 n_shards;
	struct exec_owner *owners;
	lug_owner_send_fn send;
	void *data;
	GPtrArray *runs;
	GPtrArray *ends;
	GArray *done_runs;
	guint64 last_local_id;
	gboolean acquiring_lease;
	gboolean lease_held;
	gint64 next_acquire_us;
	char *worker_id;
	guint64 id_incarnation;
	gboolean id_confirmed;
	char *confirmed_id;
	guint64 heartbeat_incarnation;
	gint64 worker_heartbeat_seq;
	guint64 worker_incarnation;
	char service[LUG_NAME_MAX + 1];
	char *zone;
	gint64 cold_until_us;
	const struct lug_evacuation *evacuation;
	gboolean zone_evacuated;
	gboolean draining;
	gboolean worker_exiting;
	gboolean worker_exited;
	gint64 exit_announced_us;
	gboolean shutting_down;
	gboolean releasing;
	struct lug_resources capacity;
	gint64 capacity_at_us;
	gint64 capacity_clock_ms;
	char **labels;
	gboolean poll_in_flight;
	guint64 n_polls;
	gint64 fallback_poll_us;
	guint poll_timer;
	gboolean closed;
	gint64 poll_sent_us;
	guint64 poll_token;
	gint64 poll_expires_ms;
	gint64 poll_until_us;
	guint64 poll_acked;
	char *poll_target;
	guint64 poll_incarnation;
	guint token_raises;
	guint64 confirmed_epoch;
	gint64 clock_ms;
	gint64 clock_at_us;
	gint64 clock_requested_us;
	gint64 granted_until_us;
	gint64 row_valid_until_us;
	gboolean grants_paused;
	guint64 resumed_txn;
	gint64 renewed_until_us;
	guint grants_in_flight;
	gint64 grant_expires_ms;
	gint64 grant_answered_us;
	gint64 outstanding_expires_ms;
	gint64 outstanding_until_us;
	gint64 late_start_until_us;
	guint64 fenced_incarnation;
	gboolean runs_known;
	gboolean lost_run_listed;
	gint64 lapse_until_us;
	char *settled_id;
	guint64 settled_incarnation;
	guint64 settled_txn;
	gint64 last_answer_us;
	guint64 acked_end_number;
	GString *acked_ends;
	guint64 acknowledged_number;
	guint64 last_end_number;
	guint64 sent_heartbeat_seq;
	guint32 interference_interval;
	guint failed_polls;
	guint broken_polls;
	gint64 silent_since_us;
	gboolean worker_down;
	gint64 alive_until_us;
	gint64 failed_poll_sent_us;
	gint64 expiry_seen_us;
	guint32 failures;
	struct lug_interference *interference;
	GArray *task_shares;
	gboolean shares_recorded;
	gint64 shares_updated_us;
	gint64 last_sample_us;
	gboolean halts_yielding;
	struct lug_speed speed;
	guint64 speed_incarnation;
	struct exec_reserve *reserve;
};

/**
 * struct exec_beat_lookahead - what the look-ahead members of one heartbeat message point to
 * @reservation: reservation in force
 * @reserved: its size
 * @forecast: room at later times
 * @forecast_ptrs: pointers to @forecast
 * @rooms: resources of @forecast
 */
struct exec_beat_lookahead {
	Lug__RoomReservation reservation;
	Lug__Resources reserved;
	Lug__RoomForecast forecast[LUG_FORECAST_POINTS_MAX];
	Lug__RoomForecast *forecast_ptrs[LUG_FORECAST_POINTS_MAX];
	Lug__Resources rooms[LUG_FORECAST_POINTS_MAX];
};

void exec_on_lease_event(void *data, enum lug_writer_event event);
void exec_acquire_lease(struct lug_executor *exec, gint64 now_us);
void exec_pause_grants(struct lug_executor *exec, gint64 now_us);
void exec_resume_grants(struct lug_executor *exec, gint64 now_us);
gboolean exec_may_grant(const struct lug_executor *exec);
void exec_release_idle_lease(struct lug_executor *exec, gint64 now_us);
void exec_poll(struct lug_executor *exec, gint64 now_us);
void exec_schedule_poll(struct lug_executor *exec, gint64 after_us, gint64 now_us);
void exec_poll_if_acknowledgeable(struct lug_executor *exec, gint64 now_us);
gboolean exec_has_unacked_ends(const struct lug_executor *exec, gint64 now_us);
void exec_end_crashed_runs(struct lug_executor *exec, gint64 now_us);
void exec_end_crashed_run(struct lug_executor *exec, struct exec_run *run, gint64 now_us);
gboolean exec_is_foreign(const struct lug_executor *exec, const char *id, guint64 incarnation);
void exec_update_worker_id(struct lug_executor *exec, const char *id);
void exec_confirm_worker_id(struct lug_executor *exec, gint64 now_us);
void exec_forget_worker_id(struct lug_executor *exec);
void exec_update_incarnation(struct lug_executor *exec, guint64 incarnation, gint64 now_us);
void exec_stop_outlasting_runs(struct lug_executor *exec, gint64 now_us);
void exec_drop_expired(struct lug_executor *exec, gint64 now_us);
gint64 exec_lease_expires_ms(const struct lug_executor *exec);
guint64 exec_token(const struct lug_executor *exec);
void exec_raise_token(struct lug_executor *exec);
void exec_outrank_acknowledgement(struct lug_executor *exec);
const char *exec_target_id(const struct lug_executor *exec);
gboolean exec_is_id_known(const struct lug_executor *exec);
void exec_note_grant(struct lug_executor *exec, gint64 expires_ms);
void exec_note_grant_result(struct lug_executor *exec, gint64 expires_ms,
			    enum lug_order_result result, gint64 now_us);
void exec_note_outstanding(struct lug_executor *exec, gint64 expires_ms, gint64 now_us);
void exec_note_outstanding_of_former(struct lug_executor *exec, gint64 now_us);
void exec_note_late_start(struct lug_executor *exec, struct exec_run *run, gint64 now_us);
gboolean exec_may_acknowledge(const struct lug_executor *exec, const struct exec_end *end,
			      gint64 now_us);
void exec_note_done(struct lug_executor *exec, const struct exec_end *end, gint64 now_us);
gboolean exec_is_done(const struct lug_executor *exec, const struct lug_run_id *id);
void exec_await_lapse(struct lug_executor *exec, const char *reason, gint64 now_us);
void exec_note_lost_run(struct lug_executor *exec, gint64 now_us);
gboolean exec_is_lease_certain(const struct lug_executor *exec, gint64 now_us);
gboolean exec_awaits_lapse(const struct lug_executor *exec, gint64 now_us);
void exec_extend_lease(struct lug_executor *exec, gint64 clock_ms, gint64 now_us);
void exec_settle(struct lug_executor *exec, gint64 now_us);
gboolean exec_is_settled(const struct lug_executor *exec);
enum lug_evacuation_verdict exec_check_zone(const struct lug_executor *exec, gint64 now_us);
void exec_follow_evacuation(struct lug_executor *exec, gint64 now_us);
void exec_fill_lease_row(void *data, JsonObject *row);
void exec_adopt_lease_row(struct lug_executor *exec, const struct lug_row *row, gint64 now_us);
void exec_log_run(const struct lug_executor *exec, const char *event, const struct lug_run_id *id,
		  const char *reason);
void exec_log_unanswered(const struct lug_executor *exec, const char *event,
			 const struct lug_run_id *id, guint64 token, guint64 incarnation);
void exec_log_unanswered_poll(const struct lug_executor *exec);
void exec_list_end(GString *list, const struct exec_end *end);
void exec_log_acknowledgement(struct lug_executor *exec, gint64 now_us);
void exec_list_run(GString *list, const struct exec_run *run, gint64 now_us);
void exec_log_runs(const struct lug_executor *exec, const char *event, const GString *list,
		   const char *reason);
void exec_log_restart(const struct lug_executor *exec, guint64 incarnation, gint64 now_us);
void exec_log_leave(const struct lug_executor *exec, const char *event, gint64 now_us);
void exec_retry_stops(struct lug_executor *exec, gint64 now_us);
void exec_reserved(const struct lug_executor *exec, struct lug_resources *out);
gint64 exec_spare_millicores(const struct lug_executor *exec);
gboolean exec_is_accepting(const struct lug_executor *exec, gint64 now_us);
struct exec_run *exec_find_run(const struct lug_executor *exec, const struct lug_run_id *id);
struct exec_run *exec_add_run(struct lug_executor *exec, const struct lug_run_id *id,
			      enum exec_state state);
struct exec_end *exec_add_end(struct lug_executor *exec, const struct lug_run_id *id,
			      enum lug_run_outcome outcome, const char *checkpoint);
void exec_remove_run(struct lug_executor *exec, struct exec_run *run);
struct exec_run *exec_run_by_local_id(const struct lug_executor *exec, guint64 local_id);
void exec_stop_run(struct lug_executor *exec, struct exec_run *run);
void exec_answer_start(struct lug_executor *exec, guint32 shard, const struct lug_run_id *id,
		       enum lug_status status);
GArray *exec_serving_tasks(const struct lug_executor *exec, gint64 now_us);
void exec_record_shares(struct lug_executor *exec, gint64 now_us);
gboolean exec_allows_best_effort(const struct lug_executor *exec, const char *image,
				 gint64 millicores, enum lug_urgency urgency, gint64 now_us);
struct lug_yield_task exec_read_urgency(const struct lug_executor *exec, const Lug__RunStart *start,
					guint32 progress_percent, gint64 now_us);
void exec_replan_shares(struct lug_executor *exec, struct exec_run *run);
void exec_throttle(struct lug_executor *exec, gint64 now_us);
void exec_measure_speed(struct lug_executor *exec, gint64 now_us);
void exec_answer_stop(struct lug_executor *exec, guint32 shard, const struct lug_run_id *id);
void exec_report_end(struct lug_executor *exec, struct exec_end *end, gint64 now_us);
struct exec_reserve *exec_reserve_new(void);
void exec_reserve_free(struct exec_reserve *reserve);
void exec_reserve_step(struct lug_executor *exec, gint64 now_us);
gboolean exec_reserve_admits(struct lug_executor *exec, const struct lug_run_id *id,
			     const Lug__RunStart *start, gint64 now_us);
void exec_reserve_learn(struct lug_executor *exec, const struct exec_run *run, gint64 now_us);
void exec_reserve_fill(const struct lug_executor *exec, Lug__WorkerBeat *beat,
		       gboolean forecast_wanted, struct exec_beat_lookahead *out, gint64 now_us);

#endif
