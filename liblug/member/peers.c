#include "member/peers.h"

#include <string.h>

/* Heartbeat intervals of the settings without an answer after which a connection is reopened. */
#define UNANSWERED_MAX_INTERVALS 3
/*
 * Time without a heartbeat that could be sent after which a connection is reopened. It is longer
 * than CONNECT_TIMEOUT_MS of wire/link.c.
 */
#define SEND_FAILURE_MAX_US (2500 * 1000)
/* Time for an entry to answer the first heartbeat, after which it is taken for unavailable. */
#define ENTRY_CONTACT_TIMEOUT_US (3 * G_USEC_PER_SEC)
/* Heartbeats to an inactive owner of a team queue are less frequent by this factor. */
#define INACTIVE_INTERVAL_FACTOR 10
/*
 * Heartbeat intervals of the settings after which a peer is removed, counted from the last
 * lug_peers_add() for it.
 */
#define STALE_INTERVALS 60

/**
 * struct lug_peers - the processes to which this one sends heartbeats
 * @ctx: context
 * @link: internal connections, not owned
 * @list: array of struct lug_peer
 * @beat: sends one heartbeat
 * @data: passed to @beat
 */
struct lug_peers {
	struct lug_ctx *ctx;
	struct lug_link *link;
	GPtrArray *list;
	lug_beat_fn beat;
	void *data;
};

static void peer_free(gpointer data)
{
	struct lug_peer *peer = data;

	lug_dial_free(peer->dial);
	g_free(peer);
}

/**
 * lug_peers_new - create an empty set of peers
 * @ctx: context
 * @link: internal connections
 * @beat: sends one heartbeat
 * @data: passed to @beat
 */
struct lug_peers *lug_peers_new(struct lug_ctx *ctx, struct lug_link *link, lug_beat_fn beat,
				void *data)
{
	struct lug_peers *peers = g_new0(struct lug_peers, 1);

	peers->ctx = ctx;
	peers->link = link;
	peers->beat = beat;
	peers->data = data;
	peers->list = g_ptr_array_new_with_free_func(peer_free);
	return peers;
}

/**
 * lug_peers_free - free a set of peers and close their connections
 * @peers: set, may be NULL
 */
void lug_peers_free(struct lug_peers *peers)
{
	if (!peers)
		return;
	g_ptr_array_unref(peers->list);
	g_free(peers);
}

/**
 * lug_peers_find - find a peer by its address
 * @peers: set
 * @address: address for internal connections
 *
 * Return: peer, owned by the set, or NULL.
 */
struct lug_peer *lug_peers_find(const struct lug_peers *peers, const char *address)
{
	for (guint i = 0; i < peers->list->len; i++) {
		struct lug_peer *peer = g_ptr_array_index(peers->list, i);

		if (!strcmp(lug_dial_address(peer->dial), address))
			return peer;
	}
	return NULL;
}

/**
 * lug_peers_add - add a peer, or a role to a known peer
 * @peers: set
 * @address: address for internal connections
 * @role: LUG_PEER_ENTRY or LUG_PEER_OWNER
 * @now_us: current time, recorded as the time at which the peer was last added
 *
 * Return: peer, owned by the set.
 */
struct lug_peer *lug_peers_add(struct lug_peers *peers, const char *address, guint role,
			       gint64 now_us)
{
	struct lug_peer *peer = lug_peers_find(peers, address);

	if (!peer) {
		peer = g_new0(struct lug_peer, 1);
		peer->dial = lug_dial_new(peers->link, address, peer);
		peer->list_held = TRUE;
		peer->added_us = now_us;
		g_ptr_array_add(peers->list, peer);
	}
	peer->roles |= role;
	peer->last_added_us = now_us;
	return peer;
}

/**
 * lug_peers_on_message - record the arrival of a message from a peer
 * @peers: set
 * @route: connection that the message came from; ignored unless it is an outgoing connection
 * @now_us: current time
 */
void lug_peers_on_message(struct lug_peers *peers, const struct lug_route *route, gint64 now_us)
{
	struct lug_dial *dial = lug_link_find_dial(peers->link, route);
	struct lug_peer *peer = dial ? lug_dial_data(dial) : NULL;

	if (!peer)
		return;
	peer->heard_us = now_us;
	peer->first_unanswered_us = 0;
}

/**
 * lug_peers_interval_ms - time between heartbeats to a peer
 * @peers: set
 * @peer: peer
 */
gint64 lug_peers_interval_ms(const struct lug_peers *peers, const struct lug_peer *peer)
{
	gint64 beat_ms = peers->ctx->settings->beat_ms;
	gint64 requested_ms = MAX(beat_ms, peer->interval_ms);

	if (peer->active || (peer->roles & LUG_PEER_ENTRY))
		return requested_ms;
	return MAX(requested_ms, beat_ms * INACTIVE_INTERVAL_FACTOR);
}

static void send_beat(struct lug_peers *peers, struct lug_peer *peer, gint64 now_us)
{
	if (!peers->beat(peers->data, peer)) {
		if (!peer->send_failing_since_us)
			peer->send_failing_since_us = now_us;
		return;
	}
	peer->n_beats++;
	peer->send_failing_since_us = 0;
	peer->interval_start_us = now_us;
	if (!peer->first_unanswered_us)
		peer->first_unanswered_us = now_us;
}

/*
 * Whether heartbeats could not be sent for too long. The peer may use another key than the one
 * expected; lug_dial_reopen() expects the next key.
 */
static gboolean is_send_failing(const struct lug_peer *peer, gint64 now_us)
{
	return peer->send_failing_since_us &&
	       now_us - peer->send_failing_since_us > SEND_FAILURE_MAX_US;
}

static gboolean is_silent(const struct lug_peers *peers, const struct lug_peer *peer, gint64 now_us)
{
	gint64 limit_us = UNANSWERED_MAX_INTERVALS * peers->ctx->settings->beat_ms * 1000;

	return peer->first_unanswered_us && now_us - peer->first_unanswered_us > limit_us;
}

static gboolean is_stale(const struct lug_peers *peers, const struct lug_peer *peer, gint64 now_us)
{
	return !peer->seed && now_us - peer->last_added_us >
				      STALE_INTERVALS * peers->ctx->settings->beat_ms * 1000;
}

static void tick_peer(struct lug_peers *peers, struct lug_peer *peer, gint64 now_us)
{
	if (is_silent(peers, peer, now_us) || is_send_failing(peer, now_us)) {
		lug_debug(peers->ctx, "redial", "peer", lug_dial_address(peer->dial));
		lug_dial_reopen(peer->dial);
		peer->first_unanswered_us = 0;
		peer->send_failing_since_us = 0;
		peer->list_held = TRUE;
		/* Makes a heartbeat due at the next tick. */
		peer->interval_start_us = 0;
		return;
	}
	if (now_us - peer->interval_start_us >= lug_peers_interval_ms(peers, peer) * 1000)
		send_beat(peers, peer, now_us);
}

/**
 * lug_peers_tick - send due heartbeats, reopen connections that are silent or can't send,
 * remove stale peers
 * @peers: set
 * @now_us: current time
 */
void lug_peers_tick(struct lug_peers *peers, gint64 now_us)
{
	for (guint i = peers->list->len; i-- > 0;) {
		struct lug_peer *peer = g_ptr_array_index(peers->list, i);

		if (is_stale(peers, peer, now_us))
			g_ptr_array_remove_index_fast(peers->list, i);
		else
			tick_peer(peers, peer, now_us);
	}
}

/**
 * lug_peers_schedule_entry_beats - schedule the next heartbeat to each entry at a random time
 * @peers: set
 * @within_us: the heartbeat is sent at a random time within this span; one that is due earlier is
 * not delayed
 * @now_us: current time
 */
void lug_peers_schedule_entry_beats(struct lug_peers *peers, gint64 within_us, gint64 now_us)
{
	for (guint i = 0; i < peers->list->len; i++) {
		struct lug_peer *peer = g_ptr_array_index(peers->list, i);
		gint64 interval_us = lug_peers_interval_ms(peers, peer) * 1000;
		gint64 wait_us = (gint64)(g_rand_double(peers->ctx->rng) * (double)within_us);

		if (peer->roles & LUG_PEER_ENTRY)
			peer->interval_start_us =
				MIN(peer->interval_start_us, now_us - interval_us + wait_us);
	}
}

/**
 * lug_peers_beat_all - send a heartbeat to each peer at once
 * @peers: set
 * @now_us: current time
 */
void lug_peers_beat_all(struct lug_peers *peers, gint64 now_us)
{
	for (guint i = 0; i < peers->list->len; i++)
		send_beat(peers, g_ptr_array_index(peers->list, i), now_us);
}

/**
 * lug_peers_entries_reached - whether the entries know this process
 * @peers: set
 * @now_us: current time
 *
 * An entry routes requests to an agent once it has received a heartbeat from it.
 *
 * Return: TRUE when an entry has answered a heartbeat, and each other entry has answered one or has
 * had ENTRY_CONTACT_TIMEOUT_US for it.
 */
gboolean lug_peers_entries_reached(const struct lug_peers *peers, gint64 now_us)
{
	gboolean any = FALSE;

	for (guint i = 0; i < peers->list->len; i++) {
		const struct lug_peer *peer = g_ptr_array_index(peers->list, i);

		if (!(peer->roles & LUG_PEER_ENTRY))
			continue;
		if (!peer->heard_us && now_us - peer->added_us < ENTRY_CONTACT_TIMEOUT_US)
			return FALSE;
		any = any || peer->heard_us;
	}
	return any;
}

/**
 * lug_peers_list - all peers
 * @peers: set
 *
 * Return: array of struct lug_peer, owned by the set.
 */
GPtrArray *lug_peers_list(const struct lug_peers *peers)
{
	return peers->list;
}
