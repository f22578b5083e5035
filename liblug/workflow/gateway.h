#ifndef LUG_FLOW_FRONT_H
#define LUG_FLOW_FRONT_H

#include "workflow/shard_map.h"
#include "workflow/shard.h"
#include "member/peers.h"

/**
 * enum lug_job_call_kind - what an entry asks a shard's owner
 * @LUG_JOB_HELLO: tell who owns which shard
 * @LUG_JOB_NEW: take in a job that the entry has stored
 * @LUG_JOB_STATE: tell a job's state
 * @LUG_JOB_CANCEL: cancel a job
 * @LUG_JOB_PENDING: count a queue's jobs that have not begun
 * @LUG_JOB_STORE: store a job and answer once that is done
 */
enum lug_job_call_kind {
	LUG_JOB_HELLO,
	LUG_JOB_NEW,
	LUG_JOB_STATE,
	LUG_JOB_CANCEL,
	LUG_JOB_PENDING,
	LUG_JOB_STORE,
};

/**
 * struct lug_front - takes jobs of steps in and answers questions about them
 *
 * An entry asks the owner of a job's shard to store the job; where the owner can't, it stores the
 * job itself and tells the owner. Questions go to the owner, and to the table when the owner is
 * silent or does not know the job.
 */
struct lug_front;

/* Outcome of a submission or a cancellation. */
typedef void (*lug_front_fn)(void *data, enum lug_status status);
/* State of a job; LUG_NOT_FOUND when there is none, LUG_UNAVAILABLE when it can't be read now. */
typedef void (*lug_front_state_fn)(void *data, enum lug_status status, enum lug_flow_state state);
typedef void (*lug_front_pending_fn)(void *data, guint32 pending);

struct lug_front *lug_front_new(struct lug_ctx *ctx, struct lug_store *store, struct lug_link *link,
				struct lug_map *map);
void lug_front_free(struct lug_front *front);
void lug_front_submit(struct lug_front *front, struct lug_flow *flow, gint64 deadline_us,
		      lug_front_fn fn, void *data);
void lug_front_state(struct lug_front *front, const char *job, lug_front_state_fn fn, void *data);
void lug_front_cancel(struct lug_front *front, const char *job, lug_front_fn fn, void *data);
void lug_front_pending(struct lug_front *front, const char *queue, lug_front_pending_fn fn,
		       void *data);
void lug_front_reply(struct lug_front *front, const struct lug_route *route,
		     const Lug__JobReply *reply, gint64 now_us);
gboolean lug_front_reaches_owners(const struct lug_front *front, gint64 now_us);
void lug_front_tick(struct lug_front *front, gint64 now_us);
void lug_front_answer(struct lug_link *link, const struct lug_route *route,
		      const Lug__JobCall *call, const struct lug_map *map, struct lug_shard *shard,
		      gint64 now_us);

#endif
