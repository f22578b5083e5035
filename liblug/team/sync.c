#include "team/sync.h"

#include <string.h>

#define POLL_INTERVAL_MS 4000

/**
 * struct lug_sync - distributes versions of the table of weights and limits
 * @ctx: context
 * @store: table service client, not owned
 * @exchange: passes the table on between processes
 * @limits: table in force, NULL before the first one was received
 * @store_version: version of the stored table's row, see lug_sync_store_version()
 * @next_poll_us: time of the next poll of the table service
 * @read_pending: a read of the table service is in progress
 * @changed: called after a newer version came into force
 * @data: passed to @changed
 */
struct lug_sync {
	struct lug_ctx *ctx;
	struct lug_store *store;
	struct lug_exchange *exchange;
	struct lug_limits *limits;
	gint64 store_version;
	gint64 next_poll_us;
	gboolean read_pending;
	void (*changed)(void *data);
	void *data;
};

static void apply_version(void *data, gint64 version, const char *text)
{
	struct lug_sync *sync = data;
	struct lug_limits *next;
	struct lug_error err;
	char version_text[24];

	if (sync->limits && version <= sync->limits->version)
		return;
	next = lug_limits_parse(text, version, &err);
	if (!next) {
		lug_err(sync->ctx, "table_refused", "why", err.msg);
		return;
	}
	lug_limits_free(sync->limits);
	sync->limits = next;
	lug_exchange_set(sync->exchange, version, text);
	lug_gauge(sync->ctx, TABLE_VERSION, version);
	lug_count(sync->ctx, TABLE_UPDATES, 1);
	g_snprintf(version_text, sizeof(version_text), "%" G_GINT64_FORMAT, version);
	lug_timeline_add(sync->ctx->timeline, LUG_EV_TABLE_IN_FORCE, "weights and limits",
			 "version %s", version_text);
	lug_info(sync->ctx, "version_in_force", "version", version_text);
	sync->changed(sync->data);
}

/**
 * lug_sync_new - create an object that has no table
 * @ctx: context
 * @store: client of the table service
 * @link: internal connections, whose envelopes carry the version in force
 * @changed: called after a newer version came into force
 * @data: passed to @changed
 *
 * Return: the new object, to be freed with lug_sync_free().
 */
struct lug_sync *lug_sync_new(struct lug_ctx *ctx, struct lug_store *store, struct lug_link *link,
			      void (*changed)(void *data), void *data)
{
	struct lug_sync *sync = g_new0(struct lug_sync, 1);

	sync->ctx = ctx;
	sync->store = store;
	sync->exchange = lug_exchange_new(link, 0, apply_version, sync);
	sync->changed = changed;
	sync->data = data;
	return sync;
}

/**
 * lug_sync_free - free the object and its table
 * @sync: may be NULL
 */
void lug_sync_free(struct lug_sync *sync)
{
	if (!sync)
		return;
	lug_limits_free(sync->limits);
	lug_exchange_free(sync->exchange);
	g_free(sync);
}

/**
 * lug_sync_limits - table in force
 * @sync: sync
 *
 * Return: the table, owned by @sync and valid until a newer version comes into force, or
 * NULL before the first one was received.
 */
const struct lug_limits *lug_sync_limits(const struct lug_sync *sync)
{
	return sync->limits;
}

/**
 * lug_sync_store_version - version that the table service gives the stored table's row
 * @sync: sync
 *
 * It is used in a compare-and-set of the row. It is not the version of the table itself.
 */
gint64 lug_sync_store_version(const struct lug_sync *sync)
{
	return sync->store_version;
}

static void on_rows(void *data, enum lug_status status, const struct lug_row *rows, guint n_rows,
		    gboolean more)
{
	struct lug_sync *sync = data;

	(void)more;
	sync->read_pending = FALSE;
	/* The scan is by prefix, so its first row may have another key. */
	if (status != LUG_OK || !n_rows || strcmp(rows[0].key, "current"))
		return;
	sync->store_version = rows[0].version;
	apply_version(sync, lug_json_int(rows[0].data, "version", 0),
		      lug_json_str(rows[0].data, "text", ""));
}

/**
 * lug_sync_read_now - read the table service without waiting for the next poll
 * @sync: sync
 */
void lug_sync_read_now(struct lug_sync *sync)
{
	if (sync->read_pending)
		return;
	sync->read_pending = TRUE;
	lug_store_scan(sync->store, "limits", "current", NULL, 1, on_rows, sync);
}

/**
 * lug_sync_tick - poll the table service when the poll interval has passed
 * @sync: sync
 * @now_us: current time, microseconds
 */
void lug_sync_tick(struct lug_sync *sync, gint64 now_us)
{
	if (now_us < sync->next_poll_us)
		return;
	sync->next_poll_us = now_us + lug_jitter(sync->ctx->rng, POLL_INTERVAL_MS) * 1000;
	lug_sync_read_now(sync);
}

/**
 * lug_sync_handle_envelope - handle table messages, and fetch the table if a peer has a newer one
 * @sync: sync
 * @route: route to the sender
 * @env: envelope
 * @now_us: current time
 *
 * Return: TRUE when the envelope was a table message and needs no other handler.
 */
gboolean lug_sync_handle_envelope(struct lug_sync *sync, const struct lug_route *route,
				  const Lug__Envelope *env, gint64 now_us)
{
	return lug_exchange_handle(sync->exchange, route, env, now_us);
}
