#ifndef LUG_JOB_BIDDER_H
#define LUG_JOB_BIDDER_H

#include "job/runner.h"

/**
 * struct lug_bidder - offers a worker's free room to owners of queues
 *
 * Owners announce with wants that tasks wait. The agent selects the queue whose turn it
 * is and offers the free room to that owner alone, so no room is offered twice and the
 * weighted shares hold on each worker.
 */
struct lug_bidder;

struct lug_bidder *lug_bidder_new(struct lug_ctx *ctx, struct lug_runner *runner,
				  struct lug_lease *lease);
void lug_bidder_free(struct lug_bidder *offers);
void lug_bidder_want(struct lug_bidder *offers, const Lug__Want *want, gint64 now_us);
void lug_bidder_reply(struct lug_bidder *offers, const Lug__OfferReply *reply, gint64 now_us);
void lug_bidder_started(struct lug_bidder *offers, const char *queue, gint64 now_us);
void lug_bidder_tick(struct lug_bidder *offers, gint64 now_us);

#endif
