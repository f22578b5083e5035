#include "job/offers.h"

#include <string.h>

#include "team/share.h"
#include "wire/pack.h"

#define WANT_EXPIRY_US (10 * 1000 * 1000)
#define OFFER_TIMEOUT_US (1000 * 1000)
/* A queue whose owner declined an offer gets no further offer for this time. */
#define DECLINE_BACKOFF_US (60 * 1000)
/*
 * An urgent task waits this long for free room before other tasks are evicted for it. The jitter
 * keeps the agents that have the same want from all evicting tasks at the same time.
 */
#define URGENT_EVICT_DELAY_MIN_MS 200
#define URGENT_EVICT_DELAY_JITTER_MS 1200

/**
 * struct queue_want - want of a queue, as announced by its owner
 * @base: values by which lug_share_pick() chooses between wants
 * @queue: team of the queue
 * @largest: maximum of each resource over its waiting tasks
 * @expires_us: the want is dropped after this time unless the owner repeats it
 * @evict_after_us: no task is evicted for the want's urgent task before this time
 * @backoff_until_us: the queue gets no offer before this time
 */
struct queue_want {
	struct lug_want base;
	char *queue;
	struct lug_resources largest;
	gint64 expires_us;
	gint64 evict_after_us;
	gint64 backoff_until_us;
};

/**
 * struct lug_offers - wants of the queues and the outstanding offer
 * @ctx: context
 * @runner: runner whose room is offered, not owned
 * @lease: lease of the worker, not owned
 * @wants: struct queue_want by team
 * @last_offer_id: id of the latest offer
 * @offered_queue: team of the queue that has the outstanding offer, NULL without one
 * @offer_expires_us: the outstanding offer ends at this time
 * @starts_expected: starts that the owner's reply announced and that have not arrived yet
 */
struct lug_offers {
	struct lug_ctx *ctx;
	struct lug_runner *runner;
	struct lug_lease *lease;
	GHashTable *wants;
	guint64 last_offer_id;
	char *offered_queue;
	gint64 offer_expires_us;
	guint starts_expected;
};

static void want_free(gpointer data)
{
	struct queue_want *want = data;

	g_free(want->queue);
	g_free(want);
}

/**
 * lug_offers_new - create an object without wants
 * @ctx: context
 * @runner: runner whose room is offered
 * @lease: lease of the worker
 *
 * The arguments must outlive the result.
 *
 * Return: the new object, to be freed with lug_offers_free().
 */
struct lug_offers *lug_offers_new(struct lug_ctx *ctx, struct lug_runner *runner,
				  struct lug_lease *lease)
{
	struct lug_offers *offers = g_new0(struct lug_offers, 1);

	offers->ctx = ctx;
	offers->runner = runner;
	offers->lease = lease;
	offers->wants = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, want_free);
	return offers;
}

/**
 * lug_offers_free - free all wants and the object itself
 * @offers: may be NULL
 */
void lug_offers_free(struct lug_offers *offers)
{
	if (!offers)
		return;
	g_hash_table_unref(offers->wants);
	g_free(offers->offered_queue);
	g_free(offers);
}

static struct queue_want *find_or_add_want(struct lug_offers *offers, const char *queue,
					   gint64 now_us)
{
	struct queue_want *want = g_hash_table_lookup(offers->wants, queue);

	if (want)
		return want;
	want = g_new0(struct queue_want, 1);
	want->queue = g_strdup(queue);
	want->evict_after_us =
		now_us + (URGENT_EVICT_DELAY_MIN_MS +
			  g_rand_int_range(offers->ctx->rng, 0, URGENT_EVICT_DELAY_JITTER_MS)) *
				 1000;
	g_hash_table_insert(offers->wants, want->queue, want);
	return want;
}

static void update_want(struct lug_offers *offers, const Lug__Want *message, gint64 now_us)
{
	struct queue_want *want = find_or_add_want(offers, message->queue, now_us);

	want->base.share = message->share;
	want->base.urgent = message->urgent;
	want->base.waited_us = (gint64)message->oldest_ms * 1000;
	want->base.smallest = lug_unpack_resources(message->smallest);
	want->largest = lug_unpack_resources(message->largest);
	want->expires_us = now_us + WANT_EXPIRY_US;
}

/**
 * lug_offers_apply_want - record a want and offer room if any is free
 * @offers: offers of the worker
 * @want: the message; ignored if it names no queue
 * @now_us: current time, microseconds
 */
void lug_offers_apply_want(struct lug_offers *offers, const Lug__Want *want, gint64 now_us)
{
	if (!want->queue)
		return;
	lug_runner_update_epoch(offers->runner, want->queue, want->epoch);
	update_want(offers, want, now_us);
	lug_offers_tick(offers, now_us);
}

static void end_offer(struct lug_offers *offers)
{
	static const struct lug_resources no_room;

	g_clear_pointer(&offers->offered_queue, g_free);
	offers->starts_expected = 0;
	lug_runner_set_offered(offers->runner, &no_room);
}

static gboolean is_want_expired(gpointer key, gpointer value, gpointer now)
{
	(void)key;
	return ((struct queue_want *)value)->expires_us < *(gint64 *)now;
}

/*
 * Sets next_share of @offer to the least share among the other wants. The owner starts no further
 * task once its own share is greater than next_share.
 */
static void set_next_share(const struct lug_offers *offers, const struct queue_want *chosen,
			   Lug__Offer *offer)
{
	GHashTableIter it;
	gpointer value;

	g_hash_table_iter_init(&it, offers->wants);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		const struct queue_want *want = value;

		if (want == chosen ||
		    (offer->has_next_share && offer->next_share <= want->base.share))
			continue;
		LUG_SET(offer, next_share, want->base.share);
	}
}

static void send_offer(struct lug_offers *offers, struct queue_want *want,
		       const struct lug_resources *room, gint64 now_us)
{
	Lug__Offer offer = LUG__OFFER__INIT;
	Lug__Resources packed;
	LUG_ENVELOPE(env, OFFER, offer, &offer);

	lug_pack_resources(&packed, room);
	offer.queue = want->queue;
	offer.room = &packed;
	LUG_SET(&offer, worker_epoch, lug_lease_epoch(offers->lease));
	offer.zone = offers->ctx->settings->zone;
	offer.region = offers->ctx->settings->region;
	LUG_SET(&offer, offer, ++offers->last_offer_id);
	LUG_SET(&offer, max_starts, lug_health_max_starts(lug_runner_health(offers->runner)));
	set_next_share(offers, want, &offer);
	if (!lug_runner_send(offers->runner, want->queue, &env)) {
		/* The owner can't be reached: the next tick drops the want. */
		want->expires_us = 0;
		return;
	}
	offers->offered_queue = g_strdup(want->queue);
	offers->offer_expires_us = now_us + OFFER_TIMEOUT_US;
	offers->starts_expected = 0;
	lug_runner_set_offered(offers->runner, room);
}

static struct queue_want *choose_want(struct lug_offers *offers, const struct lug_resources *room,
				      gint64 now_us)
{
	guint n_wants = g_hash_table_size(offers->wants);
	const struct lug_want **candidates = g_new0(const struct lug_want *, n_wants + 1);
	GHashTableIter it;
	gpointer value;
	gssize index;
	gsize n_candidates = 0;

	g_hash_table_iter_init(&it, offers->wants);
	while (g_hash_table_iter_next(&it, NULL, &value))
		if (now_us >= ((struct queue_want *)value)->backoff_until_us)
			candidates[n_candidates++] = &((struct queue_want *)value)->base;
	index = lug_share_pick(candidates, n_candidates, room);
	value = index < 0 ? NULL : (gpointer)candidates[index];
	g_free(candidates);
	return value ? LUG_CONTAINER_OF(value, struct queue_want, base) : NULL;
}

static void evict_for_urgent_want(struct lug_offers *offers, const struct lug_resources *room,
				  gint64 now_us)
{
	struct lug_resources capacity = lug_runner_capacity(offers->runner);
	GHashTableIter it;
	gpointer value;

	g_hash_table_iter_init(&it, offers->wants);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		struct queue_want *want = value;

		if (!want->base.urgent || now_us < want->evict_after_us)
			continue;
		if (lug_resources_fit(&want->base.smallest, room) ||
		    !lug_resources_fit(&want->base.smallest, &capacity))
			continue;
		lug_runner_evict_for_urgent(offers->runner, &want->base.smallest, now_us);
		return;
	}
}

/**
 * lug_offers_tick - offer free room, or evict tasks for an urgent want
 * @offers: offers of the worker
 * @now_us: current time, microseconds
 *
 * At most one offer is outstanding. None is made while the worker drains, is quarantined
 * or has no valid lease.
 */
void lug_offers_tick(struct lug_offers *offers, gint64 now_us)
{
	struct lug_resources room;
	struct queue_want *want;

	if (offers->offered_queue && now_us >= offers->offer_expires_us)
		end_offer(offers);
	g_hash_table_foreach_remove(offers->wants, is_want_expired, &now_us);
	if (offers->offered_queue || lug_runner_is_draining(offers->runner) ||
	    lug_health_is_quarantined(lug_runner_health(offers->runner), now_us) ||
	    !lug_lease_is_valid(offers->lease, now_us))
		return;
	room = lug_runner_room(offers->runner);
	want = choose_want(offers, &room, now_us);
	if (want)
		send_offer(offers, want, &room, now_us);
	else
		evict_for_urgent_want(offers, &room, now_us);
}

/**
 * lug_offers_apply_reply - apply the reply to the outstanding offer
 * @offers: offers of the worker
 * @reply: the reply; ignored unless it answers the outstanding offer
 * @now_us: current time, microseconds
 */
void lug_offers_apply_reply(struct lug_offers *offers, const Lug__OfferReply *reply, gint64 now_us)
{
	if (!offers->offered_queue || g_strcmp0(offers->offered_queue, reply->queue) ||
	    reply->offer != offers->last_offer_id)
		return;
	if (reply->want && reply->want->queue)
		update_want(offers, reply->want, now_us);
	else
		g_hash_table_remove(offers->wants, reply->queue);
	/* The queue has waiting tasks, but its owner declined the offer. */
	if (reply->want && reply->want->queue && !reply->starts)
		find_or_add_want(offers, reply->want->queue, now_us)->backoff_until_us =
			now_us + DECLINE_BACKOFF_US;
	offers->starts_expected = reply->starts;
	if (!reply->starts)
		end_offer(offers);
	lug_offers_tick(offers, now_us);
}

/**
 * lug_offers_count_start - count a start against the outstanding offer
 * @offers: offers of the worker
 * @queue: team of the queue
 * @now_us: current time, microseconds
 *
 * The offer ends when all starts that the reply announced have arrived.
 */
void lug_offers_count_start(struct lug_offers *offers, const char *queue, gint64 now_us)
{
	if (!offers->starts_expected || g_strcmp0(offers->offered_queue, queue))
		return;
	if (--offers->starts_expected)
		return;
	end_offer(offers);
	lug_offers_tick(offers, now_us);
}
