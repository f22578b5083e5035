#ifndef LUG_JOB_OWNER_H
#define LUG_JOB_OWNER_H

#include "job/queue.h"
#include "member/registry.h"
#include "store/writer.h"
#include "team/sync.h"

/**
 * struct lug_owner_env - dependencies shared by all owners of one process
 * @ctx: context
 * @store: table service client
 * @link: connections to agents and owners
 * @sync: weights and limits of the teams
 * @registry: agents that send heartbeats to this process
 */
struct lug_owner_env {
	struct lug_ctx *ctx;
	struct lug_store *store;
	struct lug_link *link;
	struct lug_sync *sync;
	struct lug_registry *registry;
};

/**
 * struct lug_owner - one team's queue, as its owner or a candidate for ownership holds it
 *
 * The owner is the only process that writes the rows of the team's tasks; it does
 * so through the writer of the queue's row. It commits a claim before it sends the
 * start, and claims a task again only when the previous attempt can't be running.
 */
struct lug_owner;

struct lug_owner *lug_owner_new(const struct lug_owner_env *env, const char *team);
void lug_owner_free(struct lug_owner *owner);
const char *lug_owner_team(const struct lug_owner *owner);
guint64 lug_owner_epoch(const struct lug_owner *owner);
gboolean lug_owner_is_held(const struct lug_owner *owner);
void lug_owner_take(struct lug_owner *owner, const struct lug_row *seen, gint64 now_us);
void lug_owner_release(struct lug_owner *owner, gint64 now_us);
void lug_owner_tick(struct lug_owner *owner, gint64 now_us);
void lug_owner_rescan(struct lug_owner *owner, gint64 now_us);
void lug_owner_on_offer(struct lug_owner *owner, const struct lug_route *route, const char *worker,
			const Lug__Offer *offer, gint64 now_us);
void lug_owner_on_start_reply(struct lug_owner *owner, const char *worker,
			      const Lug__StartReply *reply, gint64 now_us);
void lug_owner_on_report(struct lug_owner *owner, const struct lug_route *route, const char *worker,
			 const Lug__Report *report, gint64 now_us);
gboolean lug_owner_reconcile(struct lug_owner *owner, const struct lug_agent *agent,
			     const Lug__QueueHeld *held, gint64 now_us);
guint lug_owner_pending(const struct lug_owner *owner, gint64 now_us);

#endif
