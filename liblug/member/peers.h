#ifndef LUG_MEMBER_PEERS_H
#define LUG_MEMBER_PEERS_H

#include "core/context.h"
#include "wire/link.h"

/* An entry or an owner of a shard. It gets heartbeats at the full rate also while not active. */
#define LUG_PEER_ENTRY 1u
/* An owner of a team queue. */
#define LUG_PEER_OWNER 2u

/**
 * struct lug_peer - a process to which this one sends heartbeats
 * @dial: outgoing connection
 * @roles: bit set of LUG_PEER_ENTRY and LUG_PEER_OWNER
 * @seed: listed in the settings, never removed
 * @active: this agent has a team queue that the peer owns, so heartbeats are sent at the full rate
 * @interval_ms: time between heartbeats that the peer requests, 0 for that of the settings
 * @list_held: the next heartbeat lists the held tasks instead of sending only their digest
 * @n_beats: heartbeats sent to it
 * @added_us: time at which it was added
 * @heard_us: time of the last message from it
 * @interval_start_us: start of the interval to the next heartbeat: time of the last heartbeat, or
 * an earlier time to send the next one sooner
 * @first_unanswered_us: time of the first heartbeat since the last message from it, 0 if none
 * @send_failing_since_us: time since which heartbeats can't be sent, 0 if they can
 * @last_added_us: time at which lug_peers_add() was last called for it
 * @forecast_wanted: it asks for forecasts of room in heartbeats
 * @stalled: it reports that no commit to one of its shards has succeeded recently
 */
struct lug_peer {
	struct lug_dial *dial;
	guint roles;
	gboolean seed;
	gboolean active;
	gint64 interval_ms;
	gboolean list_held;
	guint64 n_beats;
	gint64 added_us;
	gint64 heard_us;
	gint64 interval_start_us;
	gint64 first_unanswered_us;
	gint64 send_failing_since_us;
	gint64 last_added_us;
	gboolean forecast_wanted;
	gboolean stalled;
};

/**
 * struct lug_peers - the processes to which this one sends heartbeats
 */
struct lug_peers;

/* Sends one heartbeat. Returns FALSE if it was not sent. */
typedef gboolean (*lug_beat_fn)(void *data, struct lug_peer *peer);

struct lug_peers *lug_peers_new(struct lug_ctx *ctx, struct lug_link *link, lug_beat_fn beat,
				void *data);
void lug_peers_free(struct lug_peers *peers);
struct lug_peer *lug_peers_add(struct lug_peers *peers, const char *address, guint role,
			       gint64 now_us);
void lug_peers_on_message(struct lug_peers *peers, const struct lug_route *route, gint64 now_us);
void lug_peers_tick(struct lug_peers *peers, gint64 now_us);
void lug_peers_schedule_entry_beats(struct lug_peers *peers, gint64 within_us, gint64 now_us);
void lug_peers_beat_all(struct lug_peers *peers, gint64 now_us);
GPtrArray *lug_peers_list(const struct lug_peers *peers);
gboolean lug_peers_entries_reached(const struct lug_peers *peers, gint64 now_us);
gint64 lug_peers_interval_ms(const struct lug_peers *peers, const struct lug_peer *peer);
struct lug_peer *lug_peers_find(const struct lug_peers *peers, const char *address);

#endif
