#ifndef LUG_DAEMON_ENTRY_PRIV_H
#define LUG_DAEMON_ENTRY_PRIV_H

#include "core/list.h"
#include "daemon/loop.h"
#include "daemon/http_server.h"
#include "member/registry.h"
#include "store/writer.h"
#include "route/router.h"
#include "team/sync.h"

/*
 * Shared by the files of the entry: entry.c (lifecycle), api.c (authentication and
 * dispatch), api_service.c, api_jobs.c, api_table.c, api_views.c and api_timeline.c.
 */

/**
 * struct lug_entry - state of an entry
 * @ctx: context
 * @hooks: hooks of the main loop
 * @link: internal connections
 * @store: client of the table service
 * @sync: reads the table of weights and limits
 * @registry: known agents
 * @router: requests to services
 * @writer: writer of this entry's row
 * @http_server: HTTP server of the API, /metrics and readiness
 * @entries: JSON rows of live entries, this one included
 * @events_queries: open timeline queries to agents
 * @last_events_query_id: id of the latest timeline query
 * @next_scan_us: next scan of the entries' rows
 * @scanning_entries: a scan of the entries' rows is in flight
 * @taking_lease: an attempt to take the writer's lease is in flight
 * @next_take_us: earliest next attempt to take the writer's lease
 * @start_us: when the process started
 * @agents_known: agents have registered, or were waited for long enough
 * @stopping: SIGTERM or SIGINT was received
 * @freeing: components are being freed; messages are ignored
 * @refuse_calls_from_us: time from which a stopping entry refuses new calls
 * @stop_deadline_us: time at which the entry stops even with open calls
 * @idle_since_us: time at which the shutdown had no more calls to wait for, 0 before
 * @calls: open calls
 * @n_checked: number of agents checked so far for having the current table version
 */
struct lug_entry {
	struct lug_ctx *ctx;
	struct lug_loop_hooks hooks;
	struct lug_link *link;
	struct lug_store *store;
	struct lug_sync *sync;
	struct lug_registry *registry;
	struct lug_router *router;
	struct lug_writer *writer;
	struct lug_daemon_http_server *http_server;
	GPtrArray *entries;
	struct lug_list events_queries;
	guint64 last_events_query_id;
	gint64 next_scan_us;
	gboolean scanning_entries;
	gboolean taking_lease;
	gint64 next_take_us;
	gint64 start_us;
	gboolean agents_known;
	gboolean stopping;
	gboolean freeing;
	gint64 refuse_calls_from_us;
	gint64 stop_deadline_us;
	gint64 idle_since_us;
	guint calls;
	guint n_checked;
};

/**
 * struct lug_api_call - HTTP call that is answered asynchronously
 * @entry: entry
 * @msg: message, paused until lug_api_end()
 * @arena: memory of the call
 * @team: caller's team, NULL for an operator
 * @is_operator: the caller is an operator
 * @caller: name of the caller for the table's history
 * @path: rest of the path after the handler's prefix
 * @query: decoded query, may be NULL
 */
struct lug_api_call {
	struct lug_entry *entry;
	SoupServerMessage *msg;
	struct lug_arena *arena;
	const char *team;
	gboolean is_operator;
	const char *caller;
	const char *path;
	GHashTable *query;
};

typedef void (*lug_api_fn)(struct lug_api_call *api_call);

void lug_api_add_handlers(struct lug_entry *entry);
void lug_api_end(struct lug_api_call *api_call);
void lug_api_fail(struct lug_api_call *api_call, enum lug_status kind, const char *remedy,
		  const char *fmt, ...) G_GNUC_PRINTF(4, 5);
const char *lug_api_param(const struct lug_api_call *api_call, const char *name);
const char *lug_api_header(const struct lug_api_call *api_call, const char *name);
const char *lug_api_method(const struct lug_api_call *api_call);
gboolean lug_api_is_authorized(struct lug_api_call *api_call, const char *team);

void lug_api_service(struct lug_api_call *api_call);
void lug_api_jobs(struct lug_api_call *api_call);
void lug_api_table(struct lug_api_call *api_call);
void lug_api_workers(struct lug_api_call *api_call);
void lug_api_services(struct lug_api_call *api_call);
void lug_api_charges(struct lug_api_call *api_call);
void lug_api_status(struct lug_api_call *api_call);
void lug_api_timeline(struct lug_api_call *api_call);

void lug_events_query_on_reply(struct lug_entry *entry, const char *from,
			       const Lug__EventsReply *reply);
void lug_events_query_tick(struct lug_entry *entry, gint64 now_us);

#endif
