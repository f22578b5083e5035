#ifndef LUG_CORE_METRICS_H
#define LUG_CORE_METRICS_H

#include <glib.h>

/*
 * Help texts are part of the exported format. What they leave open:
 * requests_ok: complete responses of any status code, including errors of the backend server
 * requests_cut: requests that were unfinished when this process stopped
 * store_*: calls of this process's client of the table service
 * tasks_finished: at an agent, successful attempts; at a queue agent, all attempts that ended
 * tasks_throttled: calls to the worker that lower or raise the share of its tasks
 * reservations_*, tasks_backfilled: of room for a waiting task, at the agent that keeps it;
 *	reservations_expired counts those that lapsed too
 * denied: calls answered 401, without a valid token
 * strangers: internal connections refused because their key is unknown
 */
#define LUG_COUNTERS(X)                                                                       \
	X(REQUESTS, "requests", "Requests received from callers or entries")                  \
	X(REQUESTS_OK, "requests_ok", "Requests answered whole")                              \
	X(REQUESTS_NOT_RUN, "requests_not_run", "Requests answered as not run")               \
	X(REQUESTS_UNKNOWN, "requests_unknown", "Requests whose outcome is unknown")          \
	X(REQUESTS_REFUSED, "requests_shed", "Requests refused by admission")                 \
	X(REQUESTS_ABORTED, "requests_cut", "Requests cut by a stop of this process")         \
	X(RETRIES, "retries", "Attempts after the first")                                     \
	X(RETRIES_DENIED, "retries_denied", "Retries refused by the retry budget")            \
	X(LATE_REPLIES, "late_replies", "Replies dropped because nobody waits")               \
	X(CONTROL_TX, "control_tx_bytes", "Control bytes sent, without headers")              \
	X(CONTROL_RX, "control_rx_bytes", "Control bytes received, without headers")          \
	X(CONTROL_TX_MSGS, "control_tx_messages", "Control messages sent")                    \
	X(CONTROL_RX_MSGS, "control_rx_messages", "Control messages received")                \
	X(REQUEST_TX, "carried_tx_bytes", "Request and reply bytes sent")                     \
	X(REQUEST_RX, "carried_rx_bytes", "Request and reply bytes received")                 \
	X(MALFORMED, "malformed_messages", "Inner messages dropped as malformed")             \
	X(CONNECTIONS_REOPENED, "redials", "Silent connections replaced")                     \
	X(STORE_READS, "store_reads", "Reads sent to the table service")                      \
	X(STORE_WRITES, "store_writes", "Transactions sent to the table service")             \
	X(STORE_ERRORS, "store_errors", "Table service calls without an answer")              \
	X(STORE_UNSENT, "store_unsent", "Table service calls given up before they were sent") \
	X(STORE_CONFLICTS, "store_conflicts", "Transactions refused by a check")              \
	X(STORE_READBACKS, "store_readbacks", "Unknown outcomes settled by reading back")     \
	X(STORE_BYTES, "store_bytes", "Body bytes to and from the table service")             \
	X(TASKS_STARTED, "tasks_started", "Batch task attempts started")                      \
	X(TASKS_FINISHED, "tasks_finished", "Batch task attempts finished")                   \
	X(TASKS_FAILED, "tasks_failed", "Batch task attempts that failed")                    \
	X(TASKS_EVICTED, "tasks_evicted", "Batch task attempts evicted")                      \
	X(TASKS_LOST, "tasks_lost", "Batch task attempts lost with their worker")             \
	X(ENDS_ACKNOWLEDGED, "ends_acknowledged", "Acknowledged ends of runs")                \
	X(TASKS_GIVEN_UP, "tasks_given_up", "Tasks given up because they crash workers")      \
	X(TASKS_REFUSED, "tasks_refused", "Task starts refused")                              \
	X(JOBS_REFUSED_BACKLOG, "jobs_refused_backlog", "Jobs refused by the backlog")        \
	X(JOBS_REFUSED_SUPERSEDED, "jobs_refused_superseded", "Outdated submissions")         \
	X(WORKER_RESTARTS, "worker_restarts", "New incarnations of the agent's worker")       \
	X(RESERVATIONS_GRANTED, "reservations_granted", "Reservations of room granted")       \
	X(RESERVATIONS_USED, "reservations_used", "Reservations used by their task")          \
	X(RESERVATIONS_EXPIRED, "reservations_expired", "Reservations ended unused")          \
	X(TASKS_BACKFILLED, "tasks_backfilled", "Starts in room reserved for later")          \
	X(THROTTLE_CHANGES, "tasks_throttled", "Throttle changes sent to the worker")         \
	X(HALTS_NORMAL, "halts_normal", "Halts of best-effort tasks of urgency NORMAL")       \
	X(HALTS_SLACK, "halts_slack", "Halts of best-effort tasks of urgency SLACK")          \
	X(HALTS_LATE, "halts_late", "Halts of best-effort tasks of urgency LATE")             \
	X(OVER_TARGET_OWN_MS, "over_target_own_ms",                                           \
	  "Milliseconds of serving tasks over target by their own load")                      \
	X(OVER_TARGET_SHARED_MS, "over_target_best_effort_ms",                                \
	  "Milliseconds of serving tasks over target by best-effort tasks")                   \
	X(LEASES_TAKEN, "leases_taken", "Leases taken")                                       \
	X(LEASES_LOST, "leases_lost", "Leases found held by another")                         \
	X(QUEUES_UNKNOWN, "queues_unknown", "Requests to queues that are not configured")     \
	X(TABLE_UPDATES, "table_updates", "Newer versions of the weights and limits")         \
	X(CALLERS_UNAUTHENTICATED, "denied", "Callers refused for want of a valid token")     \
	X(HANDSHAKES_REFUSED, "strangers", "Inner connections refused for want of a known key")

/*
 * table_version: version of the table of weights and limits, not of the table service
 * tasks_running: attempts that the agent keeps, including those being started, being stopped or
 *	waiting for an acknowledgement
 * draining: 1 while this process drains
 */
#define LUG_GAUGES(X)                                                                   \
	X(TABLE_VERSION, "table_version", "Version of the weights and limits in force") \
	X(INFLIGHT, "requests_in_flight", "Requests being served")                      \
	X(QUEUED, "requests_queued", "Requests waiting for a slot")                     \
	X(AGENTS_LIVE, "peers", "Live peers")                                           \
	X(TASKS_RUNNING, "tasks_running", "Batch tasks running")                        \
	X(TASKS_PENDING, "tasks_pending", "Batch tasks waiting in owned queues")        \
	X(QUEUES_OWNED, "queues_owned", "Queues owned by this process")                 \
	X(STORE_UP, "store_up", "1 while the table service answers")                    \
	X(CONFIG_STORE_UP, "config_store_up",                                           \
	  "1 while the table service answers calls for the configuration")              \
	X(ZONES_EVACUATED, "zones_evacuated", "Zones known to be evacuated")            \
	X(DRAINING, "draining", "1 while leaving")                                      \
	X(WORKER_SPEED, "worker_speed_permille",                                        \
	  "Measured speed of the agent's worker, thousandths; 0 while not known")

#define LUG_HISTOGRAMS(X)                                                                    \
	X(REQUEST_US, "request_us", "Whole time of a request, microseconds")                 \
	X(BACKEND_US, "backend_us", "Time of the backend server, microseconds")              \
	X(QUEUE_US, "queue_us", "Wait for a slot, microseconds")                             \
	X(TXN_US, "txn_us", "Time of a transaction, microseconds")                           \
	X(TASK_WAIT_US, "task_wait_us", "Wait of a batch task for its start, microseconds")  \
	X(WAIT_SMALL_US, "task_wait_small_us", "Wait for room, below 2 cores, microseconds") \
	X(WAIT_LARGE_US, "task_wait_large_us", "Wait for room, of 2 cores or more, microseconds")

#define X(id, name, help) LUG_C_##id,
enum lug_counter { LUG_COUNTERS(X) LUG_COUNTER_COUNT };
#undef X
#define X(id, name, help) LUG_G_##id,
enum lug_gauge { LUG_GAUGES(X) LUG_GAUGE_COUNT };
#undef X
#define X(id, name, help) LUG_H_##id,
enum lug_histogram_id { LUG_HISTOGRAMS(X) LUG_HISTOGRAM_COUNT };
#undef X

/* Each power of two is divided into 2^LUG_HIST_SUB_BITS buckets. */
#define LUG_HIST_SUB_BITS 4
/* Covers values below 2^43, about 100 days in microseconds; larger ones use the last bucket. */
#define LUG_HIST_BUCKETS (40 << LUG_HIST_SUB_BITS)

/**
 * struct lug_histogram - log-linear histogram with 1/16 relative resolution
 * @count: number of samples
 * @sum: sum of samples
 * @buckets: number of samples in each bucket
 */
struct lug_histogram {
	guint64 count;
	guint64 sum;
	guint32 buckets[LUG_HIST_BUCKETS];
};

/**
 * struct lug_metrics - counters, gauges and histograms of one process
 * @counters: indexed by enum lug_counter
 * @gauges: indexed by enum lug_gauge
 * @histograms: indexed by enum lug_histogram_id
 */
struct lug_metrics {
	guint64 counters[LUG_COUNTER_COUNT];
	gint64 gauges[LUG_GAUGE_COUNT];
	struct lug_histogram histograms[LUG_HISTOGRAM_COUNT];
};

struct lug_metrics *lug_metrics_new(void);
void lug_metrics_free(struct lug_metrics *metrics);
void lug_metrics_print(const struct lug_metrics *metrics, GString *out);
void lug_histogram_add(struct lug_histogram *hist, guint64 value);
guint64 lug_histogram_quantile(const struct lug_histogram *hist, double quantile);

/* Update a metric of a struct lug_ctx; @id is a name in the lists above. */
#define lug_count(ctx, id, n) ((ctx)->metrics->counters[LUG_C_##id] += (guint64)(n))
#define lug_gauge(ctx, id, n) ((ctx)->metrics->gauges[LUG_G_##id] = (gint64)(n))
#define lug_observe(ctx, id, n) \
	lug_histogram_add(&(ctx)->metrics->histograms[LUG_H_##id], (guint64)(n))

#endif
