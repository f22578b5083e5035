#ifndef LUG_DAEMON_AGENT_PRIV_H
#define LUG_DAEMON_AGENT_PRIV_H

#include "daemon/loop.h"
#include "daemon/http_server.h"
#include "job/offers.h"
#include "job/owners.h"
#include "job/runner.h"
#include "member/lease.h"
#include "member/peers.h"
#include "member/registry.h"
#include "route/serve.h"
#include "team/sync.h"

/* Shared by agent.c (lifecycle and dispatch) and agent_beat.c (heartbeats and events). */

struct agent_daemon {
	struct lug_ctx *ctx;
	struct lug_loop_hooks hooks;
	struct lug_link *link;
	struct lug_store *store;
	struct lug_sync *sync;
	struct lug_http *worker;
	struct lug_http *backend;
	struct lug_lease *lease;
	struct lug_peers *peers;
	struct lug_registry *registry;
	struct lug_owners *owners;
	struct lug_runner *runner;
	struct lug_offers *offers;
	struct lug_serve *serve;
	struct lug_control control;
	struct lug_daemon_http_server *http_server;
	gint64 next_scan_us;	   /* next scan of the entries' rows */
	gboolean scanning_entries; /* a scan of the entries' rows is in flight */
	gboolean entries_reached;  /* the entries have received a heartbeat of this process */
	guint64 last_drain_hlc;	   /* stamp of the latest drain request that applied */
	gboolean stopping;
	gint64 notice_end_us;	 /* until then, the agent only reports that it leaves */
	gint64 stop_deadline_us; /* end of the drain; once releasing, end of the release */
	gboolean releasing;	 /* queues and the worker's lease are being released */
	gboolean freeing;	 /* components are being freed; messages are ignored */
	int exit_code;
};

gboolean agent_send_beat(void *data, struct lug_peer *peer);
void agent_on_beat(struct agent_daemon *agent, const struct lug_route *route,
		   const Lug__Envelope *env, gint64 now_us);
void agent_on_beat_ack(struct agent_daemon *agent, const struct lug_route *route,
		       const Lug__BeatAck *ack, gint64 now_us);
void agent_on_events_query(struct agent_daemon *agent, const struct lug_route *route,
			   const Lug__EventsQuery *query);

#endif
