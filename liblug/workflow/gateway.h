#ifndef LUG_WORKFLOW_GATEWAY_H
#define LUG_WORKFLOW_GATEWAY_H

#include "workflow/shard_map.h"
#include "workflow/shard.h"
#include "member/peers.h"

/**
 * enum lug_job_call_kind - requests of an entry to a shard's owner
 * @LUG_JOB_HEARTBEAT: heartbeat of an entry, answered with the shard map
 * @LUG_JOB_NEW: load a job that the entry has stored
 * @LUG_JOB_STATE: return the state of a job
 * @LUG_JOB_CANCEL: cancel a job
 * @LUG_JOB_PENDING: count a queue's stored jobs without a task that an agent has accepted
 * @LUG_JOB_STORE: store a job and answer once it is committed
 */
enum lug_job_call_kind {
	LUG_JOB_HEARTBEAT,
	LUG_JOB_NEW,
	LUG_JOB_STATE,
	LUG_JOB_CANCEL,
	LUG_JOB_PENDING,
	LUG_JOB_STORE,
};

/**
 * struct lug_gateway - an entry's side of job submission and queries
 *
 * An entry asks the owner of a job's shard to store the job. If the owner can't, the entry stores
 * the job itself and notifies the owner. Queries go to the owner, or to the tables if the owner is
 * silent or does not know the job.
 */
struct lug_gateway;

/*
 * Outcome of a submission. @retry_after_ms: time after which to submit the job again, 0 when it is
 * not known.
 */
typedef void (*lug_gateway_submit_fn)(void *data, enum lug_status status, gint64 retry_after_ms);
/* Outcome of a cancellation. */
typedef void (*lug_gateway_fn)(void *data, enum lug_status status);
/* State of a job; LUG_NOT_FOUND without such a job, LUG_UNAVAILABLE when it can't be read. */
typedef void (*lug_gateway_state_fn)(void *data, enum lug_status status,
				     enum lug_workflow_state state);
/*
 * Number of a queue's stored jobs without a task that an agent has accepted; LUG_UNAVAILABLE when a
 * shard's owner has not answered in time.
 */
typedef void (*lug_gateway_pending_fn)(void *data, enum lug_status status, guint32 pending);

struct lug_gateway *lug_gateway_new(struct lug_ctx *ctx, struct lug_store *store,
				    struct lug_link *link, struct lug_shard_map *shard_map,
				    const struct lug_config *config);
void lug_gateway_free(struct lug_gateway *gateway);
void lug_gateway_submit(struct lug_gateway *gateway, struct lug_workflow *workflow,
			gint64 deadline_us, lug_gateway_submit_fn fn, void *data);
void lug_gateway_state(struct lug_gateway *gateway, const char *job, lug_gateway_state_fn fn,
		       void *data);
void lug_gateway_cancel(struct lug_gateway *gateway, const char *job, gint64 deadline_us,
			lug_gateway_fn fn, void *data);
void lug_gateway_pending(struct lug_gateway *gateway, const char *queue, lug_gateway_pending_fn fn,
			 void *data);
void lug_gateway_on_reply(struct lug_gateway *gateway, const struct lug_route *route,
			  const Lug__JobReply *reply, gint64 now_us);
gboolean lug_gateway_reaches_owners(const struct lug_gateway *gateway, gint64 now_us);
void lug_gateway_tick(struct lug_gateway *gateway, gint64 now_us);
void lug_shard_on_job_call(struct lug_link *link, const struct lug_route *route,
			   const Lug__JobCall *call, const struct lug_shard_map *shard_map,
			   struct lug_shard *shard, gint64 now_us);

#endif
