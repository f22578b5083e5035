#ifndef LUG_JOB_BIDDER_H
#define LUG_JOB_BIDDER_H

#include "job/runner.h"

/**
 * struct lug_bidder - offers a worker's free room to the queues that want it
 *
 * Queues tell what they want; the agent chooses which queue's turn it is and offers
 * its room to that owner alone. So no room is promised twice, and shares are kept
 * on each worker.
 */
struct lug_bidder;

struct lug_bidder *lug_bidder_new(struct lug_ctx *ctx, struct lug_runner *runner,
				  struct lug_lease *lease);
void lug_bidder_free(struct lug_bidder *bidder);
void lug_bidder_want(struct lug_bidder *bidder, const Lug__Want *want, gint64 now_us);
void lug_bidder_reply(struct lug_bidder *bidder, const Lug__OfferReply *reply, gint64 now_us);
void lug_bidder_started(struct lug_bidder *bidder, const char *queue, gint64 now_us);
void lug_bidder_tick(struct lug_bidder *bidder, gint64 now_us);

#endif
