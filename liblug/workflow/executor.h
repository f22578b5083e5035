#ifndef LUG_WORKFLOW_EXECUTOR_H
#define LUG_WORKFLOW_EXECUTOR_H

#include "core/context.h"
#include "schedule/evacuation.h"
#include "workflow/shard_map.h"
#include "workflow/worker.h"
#include "store/writer.h"
#include "wire/link.h"

/**
 * struct lug_executor - starts, stops and throttles the runs of one worker
 *
 * Runs in the agent beside the worker. Only the holder of the worker's lease controls its runs. The
 * executor holds that lease through a row of the table service, reserves resources for each run
 * before it sends the start to the worker, and reports runs and their ends to the owners of the
 * shards.
 */
struct lug_executor;

/* Sends an envelope to the owner of a shard; FALSE when the owner is not reachable. */
typedef gboolean (*lug_owner_send_fn)(void *data, guint32 shard, Lug__Envelope *env);

/**
 * struct lug_heartbeat_target - a process that owns shards, and gets heartbeats
 * @generation: generation of the connection to it
 * @n_sent: heartbeats sent to it before
 * @forecast_wanted: a task of its shards waits for room
 * @is_owner: returns whether it owns a shard
 * @send: sends a heartbeat to it; FALSE when it was not sent
 * @data: passed to @is_owner and @send
 */
struct lug_heartbeat_target {
	guint32 generation;
	guint64 n_sent;
	gboolean forecast_wanted;
	gboolean (*is_owner)(void *data, guint32 shard);
	gboolean (*send)(void *data, Lug__Envelope *env);
	void *data;
};

struct lug_executor *lug_executor_new(struct lug_ctx *ctx, struct lug_store *store,
				      struct lug_worker *worker, guint32 n_shards,
				      lug_owner_send_fn send, void *data);
void lug_executor_set_evacuation(struct lug_executor *executor,
				 const struct lug_evacuation *evacuation);
void lug_executor_close(struct lug_executor *executor);
void lug_executor_free(struct lug_executor *executor);
void lug_executor_on_worker_heartbeat(struct lug_executor *executor,
				      const struct lug_worker_heartbeat *heartbeat, gint64 now_us);
void lug_executor_on_worker_exit(struct lug_executor *executor, const char *id, gint64 now_us);
void lug_executor_update_owner(struct lug_executor *executor, guint32 shard, guint64 epoch);
void lug_executor_on_start(struct lug_executor *executor, const Lug__RunStart *start,
			   gint64 now_us);
void lug_executor_on_stop(struct lug_executor *executor, const Lug__RunStop *stop, gint64 now_us);
void lug_executor_on_reserve(struct lug_executor *executor, const Lug__RunReserve *message,
			     gint64 now_us);
void lug_executor_ack_end(struct lug_executor *executor, const Lug__RunEndAck *ack);
void lug_executor_merge_interference(struct lug_executor *executor, const Lug__WorkerBeatAck *ack);
gboolean lug_executor_send_heartbeat(struct lug_executor *executor,
				     const struct lug_heartbeat_target *target, gint64 now_us);
void lug_executor_resend_ends(struct lug_executor *executor, gint64 now_us);
void lug_executor_tick(struct lug_executor *executor, gint64 now_us);
void lug_executor_shut_down(struct lug_executor *executor);
gboolean lug_executor_can_exit(const struct lug_executor *executor);
void lug_executor_log_exit(const struct lug_executor *executor, gint64 now_us);

#endif
