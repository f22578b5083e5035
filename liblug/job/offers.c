#include "job/offers.h"

#include <string.h>

#include "team/share.h"
#include "wire/pack.h"

#define WANT_LIFE_US (10 * 1000 * 1000)
#define OFFER_LIFE_US (1000 * 1000)
/* A queue that declined an offer gets no other for this time. */
#define DECLINED_US (60 * 1000)
/* Urgent work waits this long for free room before others are evicted; the spread
 * keeps agents that know of the same task from all evicting for it. */
#define URGENT_WAIT_MS 200
#define URGENT_SPREAD_MS 1200

struct want {
	struct lug_claimant claim;
	char *queue;
	struct lug_resources largest;
	gint64 expires_us;
	gint64 evict_at_us;
	gint64 paused_until_us;
};

struct lug_bidder {
	struct lug_ctx *ctx;
	struct lug_runner *runner;
	struct lug_lease *lease;
	GHashTable *wants;
	guint64 offers;
	char *offered_to;
	gint64 offer_until_us;
	guint starts_due;
};

static void want_free(gpointer data)
{
	struct want *want = data;

	g_free(want->queue);
	g_free(want);
}

/**
 * lug_bidder_new - create a bidder that knows of no wants
 */
struct lug_bidder *lug_bidder_new(struct lug_ctx *ctx, struct lug_runner *runner,
				  struct lug_lease *lease)
{
	struct lug_bidder *bidder = g_new0(struct lug_bidder, 1);

	bidder->ctx = ctx;
	bidder->runner = runner;
	bidder->lease = lease;
	bidder->wants = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, want_free);
	return bidder;
}

/**
 * lug_bidder_free - release
 * @bidder: may be NULL
 */
void lug_bidder_free(struct lug_bidder *bidder)
{
	if (!bidder)
		return;
	g_hash_table_unref(bidder->wants);
	g_free(bidder->offered_to);
	g_free(bidder);
}

static struct want *want_of(struct lug_bidder *bidder, const char *queue, gint64 now_us)
{
	struct want *want = g_hash_table_lookup(bidder->wants, queue);

	if (want)
		return want;
	want = g_new0(struct want, 1);
	want->queue = g_strdup(queue);
	want->evict_at_us =
		now_us +
		(URGENT_WAIT_MS + g_rand_int_range(bidder->ctx->rng, 0, URGENT_SPREAD_MS)) * 1000;
	g_hash_table_insert(bidder->wants, want->queue, want);
	return want;
}

static void update(struct lug_bidder *bidder, const Lug__Want *in, gint64 now_us)
{
	struct want *want = want_of(bidder, in->queue, now_us);

	want->claim.share = in->share;
	want->claim.urgent = in->urgent;
	want->claim.waited_us = (gint64)in->oldest_ms * 1000;
	want->claim.smallest = lug_unpack_resources(in->smallest);
	want->largest = lug_unpack_resources(in->largest);
	want->expires_us = now_us + WANT_LIFE_US;
}

/**
 * lug_bidder_want - take in what a queue wants
 * @bidder: bidder
 * @want: the message
 * @now_us: present time
 */
void lug_bidder_want(struct lug_bidder *bidder, const Lug__Want *want, gint64 now_us)
{
	if (!want->queue)
		return;
	lug_runner_queue_epoch(bidder->runner, want->queue, want->epoch);
	update(bidder, want, now_us);
	lug_bidder_tick(bidder, now_us);
}

static void end_offer(struct lug_bidder *bidder)
{
	static const struct lug_resources nothing;

	g_clear_pointer(&bidder->offered_to, g_free);
	bidder->starts_due = 0;
	lug_runner_hold(bidder->runner, &nothing);
}

static gboolean expired(gpointer key, gpointer value, gpointer now)
{
	(void)key;
	return ((struct want *)value)->expires_us < *(gint64 *)now;
}

/* The least share among the others that wait: the owner declines beyond it. */
static void set_next_share(const struct lug_bidder *bidder, const struct want *chosen,
			   Lug__Offer *offer)
{
	GHashTableIter it;
	gpointer value;

	g_hash_table_iter_init(&it, bidder->wants);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		const struct want *want = value;

		if (want == chosen ||
		    (offer->has_next_share && offer->next_share <= want->claim.share))
			continue;
		LUG_SET(offer, next_share, want->claim.share);
	}
}

static void send_offer(struct lug_bidder *bidder, struct want *want,
		       const struct lug_resources *room, gint64 now_us)
{
	Lug__Offer offer = LUG__OFFER__INIT;
	Lug__Resources packed;
	LUG_ENVELOPE(env, OFFER, offer, &offer);

	lug_pack_resources(&packed, room);
	offer.queue = want->queue;
	offer.room = &packed;
	LUG_SET(&offer, worker_epoch, lug_lease_epoch(bidder->lease));
	offer.zone = bidder->ctx->settings->zone;
	offer.region = bidder->ctx->settings->region;
	LUG_SET(&offer, offer, ++bidder->offers);
	LUG_SET(&offer, max_starts, lug_health_max_starts(lug_runner_health(bidder->runner)));
	set_next_share(bidder, want, &offer);
	if (!lug_runner_send(bidder->runner, want->queue, &env)) {
		want->expires_us = 0;
		return;
	}
	bidder->offered_to = g_strdup(want->queue);
	bidder->offer_until_us = now_us + OFFER_LIFE_US;
	bidder->starts_due = 0;
	lug_runner_hold(bidder->runner, room);
}

static struct want *choose(struct lug_bidder *bidder, const struct lug_resources *room,
			   gint64 now_us)
{
	guint n = g_hash_table_size(bidder->wants);
	const struct lug_claimant **claims = g_new0(const struct lug_claimant *, n + 1);
	GHashTableIter it;
	gpointer value;
	gssize index;
	gsize i = 0;

	g_hash_table_iter_init(&it, bidder->wants);
	while (g_hash_table_iter_next(&it, NULL, &value))
		if (now_us >= ((struct want *)value)->paused_until_us)
			claims[i++] = &((struct want *)value)->claim;
	index = lug_share_pick(claims, i, room);
	value = index < 0 ? NULL : (gpointer)claims[index];
	g_free(claims);
	return value ? LUG_CONTAINER_OF(value, struct want, claim) : NULL;
}

static void make_room(struct lug_bidder *bidder, const struct lug_resources *room, gint64 now_us)
{
	struct lug_resources capacity = lug_runner_capacity(bidder->runner);
	GHashTableIter it;
	gpointer value;

	g_hash_table_iter_init(&it, bidder->wants);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		struct want *want = value;

		if (!want->claim.urgent || now_us < want->evict_at_us)
			continue;
		if (lug_resources_fit(&want->claim.smallest, room) ||
		    !lug_resources_fit(&want->claim.smallest, &capacity))
			continue;
		lug_runner_evict_for(bidder->runner, &want->claim.smallest, now_us);
		return;
	}
}

/**
 * lug_bidder_tick - offer free room, or make some for urgent work
 * @bidder: bidder
 * @now_us: present time
 */
void lug_bidder_tick(struct lug_bidder *bidder, gint64 now_us)
{
	struct lug_resources room;
	struct want *want;

	if (bidder->offered_to && now_us >= bidder->offer_until_us)
		end_offer(bidder);
	g_hash_table_foreach_remove(bidder->wants, expired, &now_us);
	if (bidder->offered_to || lug_runner_draining(bidder->runner) ||
	    lug_health_resting(lug_runner_health(bidder->runner), now_us) ||
	    !lug_lease_valid(bidder->lease, now_us))
		return;
	room = lug_runner_room(bidder->runner);
	want = choose(bidder, &room, now_us);
	if (want)
		send_offer(bidder, want, &room, now_us);
	else
		make_room(bidder, &room, now_us);
}

/**
 * lug_bidder_reply - take in the answer to an offer
 * @bidder: bidder
 * @reply: the answer
 * @now_us: present time
 */
void lug_bidder_reply(struct lug_bidder *bidder, const Lug__OfferReply *reply, gint64 now_us)
{
	if (!bidder->offered_to || g_strcmp0(bidder->offered_to, reply->queue) ||
	    reply->offer != bidder->offers)
		return;
	if (reply->want && reply->want->queue)
		update(bidder, reply->want, now_us);
	else
		g_hash_table_remove(bidder->wants, reply->queue);
	if (reply->want && reply->want->queue && !reply->starts)
		want_of(bidder, reply->want->queue, now_us)->paused_until_us = now_us + DECLINED_US;
	bidder->starts_due = reply->starts;
	if (!reply->starts)
		end_offer(bidder);
	lug_bidder_tick(bidder, now_us);
}

/**
 * lug_bidder_started - note a start that came of an offer
 * @bidder: bidder
 * @queue: team of the queue
 * @now_us: present time
 */
void lug_bidder_started(struct lug_bidder *bidder, const char *queue, gint64 now_us)
{
	if (!bidder->starts_due || g_strcmp0(bidder->offered_to, queue))
		return;
	if (--bidder->starts_due)
		return;
	end_offer(bidder);
	lug_bidder_tick(bidder, now_us);
}
