#ifndef LUG_WORKFLOW_WORKER_H
#define LUG_WORKFLOW_WORKER_H

#include "core/status.h"
#include "workflow/run.h"

/**
 * struct lug_worker_order - a start, a stop or a throttle for a worker
 * @id: run
 * @token: fencing token; the worker refuses lower ones than it has seen
 * @expires_ms: end of the lease on the worker's clock, for a start
 * @spec: passed to the task, for a start
 * @checkpoint: progress to resume from, "" for none, for a start
 * @percent: share at which the task works, for a throttle
 */
struct lug_worker_order {
	struct lug_run_id id;
	guint64 token;
	gint64 expires_ms;
	const char *spec;
	const char *checkpoint;
	guint32 percent;
};

/**
 * enum lug_order_result - what became of an order
 * @LUG_ORDER_OK: carried out, or had been before
 * @LUG_ORDER_FENCED: the worker has seen a higher token
 * @LUG_ORDER_REFUSED: certainly not carried out, and never will be
 * @LUG_ORDER_NO_ROOM: refused for want of room
 * @LUG_ORDER_BUSY: nothing was done; the worker is not well
 * @LUG_ORDER_UNKNOWN: no answer; it may be carried out, also later
 */
enum lug_order_result {
	LUG_ORDER_OK,
	LUG_ORDER_FENCED,
	LUG_ORDER_REFUSED,
	LUG_ORDER_NO_ROOM,
	LUG_ORDER_BUSY,
	LUG_ORDER_UNKNOWN,
};

typedef void (*lug_order_fn)(void *data, enum lug_order_result result);

/**
 * struct lug_worker_poll - renewal of the lease of all that runs on a worker
 * @token: fencing token
 * @expires_ms: new end of the lease on the worker's clock, 0 to leave it
 * @acked: ends up to this number are stored and may be forgotten
 * @wait_ms: time to wait for an end
 */
struct lug_worker_poll {
	guint64 token;
	gint64 expires_ms;
	guint64 acked;
	gint64 wait_ms;
};

struct lug_worker_running {
	struct lug_run_id id;
	char *checkpoint;
	guint32 percent;
	gint64 metric;
};

struct lug_worker_finished {
	guint64 number;
	struct lug_run_id id;
	enum lug_run_outcome outcome;
	char *checkpoint;
};

/**
 * struct lug_worker_view - what a worker says of itself
 * @result: LUG_ORDER_OK, LUG_ORDER_FENCED or LUG_ORDER_UNKNOWN; the rest only with the first
 * @incarnation: start of the worker; another life knows nothing of an earlier one
 * @clock_ms: the worker's clock
 * @running: array of struct lug_worker_running
 * @finished: array of struct lug_worker_finished not yet acknowledged, in order
 */
struct lug_worker_view {
	enum lug_order_result result;
	guint64 incarnation;
	gint64 clock_ms;
	GArray *running;
	GArray *finished;
};

typedef void (*lug_view_fn)(void *data, const struct lug_worker_view *view);

struct lug_worker;

/**
 * struct lug_worker_ops - how a worker is given orders
 * @start: start a run
 * @stop: stop a run, or keep it from ever starting
 * @throttle: throttle a run
 * @poll: renew the lease and look at what runs
 * @free: release the client; calls in flight are dropped without a callback
 */
struct lug_worker_ops {
	void (*start)(struct lug_worker *worker, const struct lug_worker_order *order,
		      lug_order_fn fn, void *data);
	void (*stop)(struct lug_worker *worker, const struct lug_worker_order *order,
		     lug_order_fn fn, void *data);
	void (*throttle)(struct lug_worker *worker, const struct lug_worker_order *order,
			 lug_order_fn fn, void *data);
	void (*poll)(struct lug_worker *worker, const struct lug_worker_poll *poll, lug_view_fn fn,
		     void *data);
	void (*free)(struct lug_worker *worker);
};

struct lug_worker {
	const struct lug_worker_ops *ops;
};

/**
 * struct lug_worker_heartbeat - a worker's report about itself
 * @id: its id
 * @service: pool that it belongs to
 * @zone: availability zone
 * @incarnation: start of the worker
 * @seq: number of the report within its life
 * @draining: it leaves soon
 * @room: all that tasks may use
 * @labels: kind and rack, NULL-terminated
 */
struct lug_worker_heartbeat {
	const char *id;
	const char *service;
	const char *zone;
	guint64 incarnation;
	gint64 seq;
	gboolean draining;
	struct lug_resources room;
	char **labels;
};

#endif
