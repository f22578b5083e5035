#ifndef LUG_WORKFLOW_WORKER_H
#define LUG_WORKFLOW_WORKER_H

#include "core/status.h"
#include "workflow/run.h"

/**
 * struct lug_worker_order - start, stop or throttle call to a worker
 * @id: run
 * @token: fencing token; the worker rejects tokens lower than the highest it has seen
 * @expires_ms: end of the lease on the worker's clock (start only)
 * @worker: id of the worker that it is meant for, "" for any; another one, or the same machine's
 *          worker under a new id, refuses it
 * @spec: passed to the task (start only)
 * @checkpoint: checkpoint to resume from, "" for none (start only)
 * @percent: share at which the task works, in percent (throttle only)
 */
struct lug_worker_order {
	struct lug_run_id id;
	guint64 token;
	gint64 expires_ms;
	const char *worker;
	const char *spec;
	const char *checkpoint;
	guint32 percent;
};

/**
 * enum lug_order_result - outcome of an order
 * @LUG_ORDER_OK: carried out, by this call or an earlier one
 * @LUG_ORDER_FENCED: the worker has seen a higher token
 * @LUG_ORDER_REFUSED: not carried out and never will be
 * @LUG_ORDER_MISDIRECTED: not carried out: the worker has another id than the call names
 * @LUG_ORDER_NO_ROOM: refused because the worker lacks free resources
 * @LUG_ORDER_BUSY: not carried out; the worker is temporarily unable to serve calls
 * @LUG_ORDER_UNKNOWN: no answer; the order may have taken effect or may still do so
 */
enum lug_order_result {
	LUG_ORDER_OK,
	LUG_ORDER_FENCED,
	LUG_ORDER_REFUSED,
	LUG_ORDER_MISDIRECTED,
	LUG_ORDER_NO_ROOM,
	LUG_ORDER_BUSY,
	LUG_ORDER_UNKNOWN,
};

typedef void (*lug_order_fn)(void *data, enum lug_order_result result);

/**
 * struct lug_worker_poll - call that renews a worker's lease and asks which runs are in progress
 *                          and which have ended
 * @token: fencing token
 * @worker: see struct lug_worker_order; set if @expires_ms or @acked_end_number is
 * @expires_ms: new end of the lease on the worker's clock, 0 to leave it unchanged
 * @acked_end_number: ends up to this number are stored and may be discarded by the worker; 0 for
 *                    nothing new
 * @wait_ms: time that the worker may wait for a run to end before it answers
 */
struct lug_worker_poll {
	guint64 token;
	const char *worker;
	gint64 expires_ms;
	guint64 acked_end_number;
	gint64 wait_ms;
};

/**
 * struct lug_worker_running - a run that a worker executes
 * @id: run
 * @checkpoint: latest checkpoint, "" for none
 * @progress_percent: progress of the task, in percent of its work
 * @metric: tail latency of a serving task in ms, millicores in use for other tasks
 */
struct lug_worker_running {
	struct lug_run_id id;
	char *checkpoint;
	guint32 progress_percent;
	gint64 metric;
};

/**
 * struct lug_worker_finished - a run that has ended on a worker
 * @number: number of the end, rising within an incarnation of the worker
 * @id: run
 * @outcome: outcome
 * @checkpoint: last checkpoint, "" for none
 */
struct lug_worker_finished {
	guint64 number;
	struct lug_run_id id;
	enum lug_run_outcome outcome;
	char *checkpoint;
};

/**
 * struct lug_worker_poll_reply - answer to a poll
 * @result: LUG_ORDER_OK, LUG_ORDER_FENCED or LUG_ORDER_UNKNOWN; other members are valid only with
 *          LUG_ORDER_OK
 * @incarnation: number of the worker's incarnation, higher after each restart unless the clock was
 *               set back; runs and ends don't outlive it
 * @clock_ms: the worker's clock
 * @running: array of struct lug_worker_running
 * @finished: array of struct lug_worker_finished not yet acknowledged, in order
 * @more_finished: @finished may have been cut; the worker lists further ends once those listed are
 *                 acknowledged. A run that is in neither list may then have ended
 */
struct lug_worker_poll_reply {
	enum lug_order_result result;
	guint64 incarnation;
	gint64 clock_ms;
	GArray *running;
	GArray *finished;
	gboolean more_finished;
};

typedef void (*lug_poll_reply_fn)(void *data, const struct lug_worker_poll_reply *reply);

struct lug_worker;

/**
 * struct lug_worker_ops - operations of a worker's client
 * @start: start a run
 * @stop: stop a run, or keep it from ever starting
 * @throttle: set the share of a run
 * @poll: renew the lease and fetch the runs in progress and the unacknowledged ends
 * @free: release the client; calls in flight are dropped without a callback
 */
struct lug_worker_ops {
	void (*start)(struct lug_worker *worker, const struct lug_worker_order *order,
		      lug_order_fn fn, void *data);
	void (*stop)(struct lug_worker *worker, const struct lug_worker_order *order,
		     lug_order_fn fn, void *data);
	void (*throttle)(struct lug_worker *worker, const struct lug_worker_order *order,
			 lug_order_fn fn, void *data);
	void (*poll)(struct lug_worker *worker, const struct lug_worker_poll *poll,
		     lug_poll_reply_fn fn, void *data);
	void (*free)(struct lug_worker *worker);
};

/**
 * struct lug_worker - client of one worker
 * @ops: operations
 */
struct lug_worker {
	const struct lug_worker_ops *ops;
};

/**
 * struct lug_worker_heartbeat - heartbeat of a worker
 * @id: id of the worker
 * @service: service whose pool the worker belongs to
 * @zone: availability zone
 * @incarnation: number of the worker's incarnation, see struct lug_worker_poll_reply
 * @seq: number of the heartbeat within the incarnation
 * @draining: the worker shuts down soon and takes no new runs
 * @clock_ms: the worker's clock when it sent the heartbeat, 0 when it is not known
 * @cold_ms: time for which the worker stays slow after its start
 * @capacity: total resources for tasks
 * @labels: kind and rack, NULL-terminated
 */
struct lug_worker_heartbeat {
	const char *id;
	const char *service;
	const char *zone;
	guint64 incarnation;
	gint64 seq;
	gboolean draining;
	gint64 clock_ms;
	gint64 cold_ms;
	struct lug_resources capacity;
	char **labels;
};

#endif
