#ifndef LUG_DAEMON_ENTRY_PRIV_H
#define LUG_DAEMON_ENTRY_PRIV_H

#include "core/list.h"
#include "daemon/loop.h"
#include "daemon/status_server.h"
#include "member/registry.h"
#include "store/writer.h"
#include "route/router.h"
#include "team/sync.h"

/*
 * Shared by the files that make up the entry: entry.c (life), api.c (callers and
 * their rights), api_service.c, api_jobs.c, api_table.c, api_views.c and
 * api_timeline.c.
 */

struct lug_entry {
	struct lug_ctx *ctx;
	struct lug_loop loop;
	struct lug_link *link;
	struct lug_store *store;
	struct lug_sync *sync;
	struct lug_registry *registry;
	struct lug_router *router;
	struct lug_writer *writer;
	struct lug_status_server *server;
	GPtrArray *entries;
	struct lug_list gathers;
	guint64 next_gather;
	gint64 next_entries_us;
	gboolean reading_entries;
	gboolean taking;
	gint64 next_take_us;
	gboolean stopping;
	gboolean closed;
	gint64 stop_at_us;
	gint64 stop_by_us;
	gint64 idle_since_us;
	guint calls;
	guint told;
};

/**
 * struct lug_api_call - an HTTP call that is answered later
 * @entry: entry
 * @msg: message, paused until lug_api_end()
 * @arena: owns what belongs to the call
 * @team: caller's team, NULL for an operator
 * @operator: caller is an operator
 * @caller: name for logs and history
 * @path: path below the handler's own
 * @query: decoded query, may be NULL
 */
struct lug_api_call {
	struct lug_entry *entry;
	SoupServerMessage *msg;
	struct lug_arena *arena;
	const char *team;
	gboolean operator;
	const char *caller;
	const char *path;
	GHashTable *query;
};

typedef void (*lug_api_fn)(struct lug_api_call *call);

void lug_api_add(struct lug_entry *entry);
void lug_api_end(struct lug_api_call *call);
void lug_api_fail(struct lug_api_call *call, enum lug_status kind, const char *remedy,
		  const char *fmt, ...) G_GNUC_PRINTF(4, 5);
const char *lug_api_param(const struct lug_api_call *call, const char *name);
const char *lug_api_header(const struct lug_api_call *call, const char *name);
const char *lug_api_method(const struct lug_api_call *call);
gboolean lug_api_may(struct lug_api_call *call, const char *team);

void lug_api_service(struct lug_api_call *call);
void lug_api_jobs(struct lug_api_call *call);
void lug_api_table(struct lug_api_call *call);
void lug_api_workers(struct lug_api_call *call);
void lug_api_services(struct lug_api_call *call);
void lug_api_charges(struct lug_api_call *call);
void lug_api_status(struct lug_api_call *call);
void lug_api_timeline(struct lug_api_call *call);

void lug_gather_reply(struct lug_entry *entry, const char *from, const Lug__EventsReply *reply);
void lug_gather_tick(struct lug_entry *entry, gint64 now_us);

#endif
