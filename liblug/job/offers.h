#ifndef LUG_JOB_OFFERS_H
#define LUG_JOB_OFFERS_H

#include "job/runner.h"

/**
 * struct lug_offers - offers a worker's free room to owners of queues
 *
 * An owner sends a want while tasks wait in its queue. The agent selects one queue by
 * lug_share_pick() and offers the free room to its owner alone, so no room is offered twice
 * and the weighted shares hold on each worker.
 */
struct lug_offers;

struct lug_offers *lug_offers_new(struct lug_ctx *ctx, struct lug_runner *runner,
				  struct lug_lease *lease);
void lug_offers_free(struct lug_offers *offers);
void lug_offers_apply_want(struct lug_offers *offers, const Lug__Want *want, gint64 now_us);
void lug_offers_apply_reply(struct lug_offers *offers, const Lug__OfferReply *reply, gint64 now_us);
void lug_offers_count_start(struct lug_offers *offers, const char *queue, gint64 now_us);
void lug_offers_tick(struct lug_offers *offers, gint64 now_us);

#endif
