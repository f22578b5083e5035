#include "team/sync.h"

#include <string.h>

#define POLL_MS 4000

struct lug_sync {
	struct lug_ctx *ctx;
	struct lug_store *store;
	struct lug_link *link;
	struct lug_limits *limits;
	gint64 row_version;
	gint64 next_poll_us;
	gboolean reading;
	void (*changed)(void *data);
	void *data;
};

/**
 * lug_sync_new - start without a table
 * @ctx: context
 * @store: table service client
 * @link: inner connections, told of the version in force
 * @changed: called after a newer version came into force
 * @data: passed to @changed
 */
struct lug_sync *lug_sync_new(struct lug_ctx *ctx, struct lug_store *store, struct lug_link *link,
			      void (*changed)(void *data), void *data)
{
	struct lug_sync *sync = g_new0(struct lug_sync, 1);

	sync->ctx = ctx;
	sync->store = store;
	sync->link = link;
	sync->changed = changed;
	sync->data = data;
	return sync;
}

/**
 * lug_sync_free - release
 * @sync: may be NULL
 */
void lug_sync_free(struct lug_sync *sync)
{
	if (!sync)
		return;
	lug_limits_free(sync->limits);
	g_free(sync);
}

/**
 * lug_sync_limits - table in force
 * @sync: sync
 *
 * Return: the table, or NULL before the first one has come.
 */
const struct lug_limits *lug_sync_limits(const struct lug_sync *sync)
{
	return sync->limits;
}

/**
 * lug_sync_row_version - version of the table's row, for a compare-and-set
 * @sync: sync
 */
gint64 lug_sync_row_version(const struct lug_sync *sync)
{
	return sync->row_version;
}

static void adopt(struct lug_sync *sync, gint64 version, const char *text)
{
	struct lug_limits *next;
	struct lug_error err;
	char number[24];

	if (sync->limits && version <= sync->limits->version)
		return;
	next = lug_limits_parse(text, version, &err);
	if (!next) {
		lug_err(sync->ctx, "table_refused", "why", err.msg);
		return;
	}
	lug_limits_free(sync->limits);
	sync->limits = next;
	lug_link_set_table_version(sync->link, (guint64)version);
	lug_gauge(sync->ctx, TABLE_VERSION, version);
	lug_count(sync->ctx, TABLE_UPDATES, 1);
	g_snprintf(number, sizeof(number), "%" G_GINT64_FORMAT, version);
	lug_timeline_add(sync->ctx->timeline, LUG_EV_VERSION_IN_FORCE, "weights and limits",
			 "version %s", number);
	lug_info(sync->ctx, "version_in_force", "version", number);
	sync->changed(sync->data);
}

static void on_rows(void *data, enum lug_status status, const struct lug_row *rows, guint n_rows,
		    gboolean more)
{
	struct lug_sync *sync = data;

	(void)more;
	sync->reading = FALSE;
	if (status != LUG_OK || !n_rows || strcmp(rows[0].key, "current"))
		return;
	sync->row_version = rows[0].version;
	adopt(sync, lug_json_int(rows[0].data, "version", 0),
	      lug_json_str(rows[0].data, "text", ""));
}

/**
 * lug_sync_read - read the table service now
 * @sync: sync
 */
void lug_sync_read(struct lug_sync *sync)
{
	if (sync->reading)
		return;
	sync->reading = TRUE;
	lug_store_scan(sync->store, "limits", "current", NULL, 1, on_rows, sync);
}

/**
 * lug_sync_tick - poll the table service
 * @sync: sync
 * @now_us: present time
 */
void lug_sync_tick(struct lug_sync *sync, gint64 now_us)
{
	if (now_us < sync->next_poll_us)
		return;
	sync->next_poll_us = now_us + lug_jitter(sync->ctx->rng, POLL_MS) * 1000;
	lug_sync_read(sync);
}

static void send_table(struct lug_sync *sync, const struct lug_route *route)
{
	Lug__TableBody body = LUG__TABLE_BODY__INIT;
	LUG_ENVELOPE(env, TABLE_BODY, table_body, &body);

	if (!sync->limits)
		return;
	body.has_version = 1;
	body.version = (guint64)sync->limits->version;
	body.text = sync->limits->text;
	lug_link_send(sync->link, route, &env);
}

static void fetch_if_newer(struct lug_sync *sync, const struct lug_route *route, guint64 version)
{
	Lug__TableFetch fetch = LUG__TABLE_FETCH__INIT;
	LUG_ENVELOPE(env, TABLE_FETCH, table_fetch, &fetch);

	if (version <= (sync->limits ? (guint64)sync->limits->version : 0))
		return;
	lug_link_send(sync->link, route, &env);
}

/**
 * lug_sync_envelope - look at an envelope's version and table messages
 * @sync: sync
 * @route: where it came from
 * @env: envelope
 *
 * Return: TRUE when the envelope was a table message and needs no other handler.
 */
gboolean lug_sync_envelope(struct lug_sync *sync, const struct lug_route *route,
			   const Lug__Envelope *env)
{
	if (env->body_case == LUG__ENVELOPE__BODY_TABLE_FETCH) {
		send_table(sync, route);
		return TRUE;
	}
	if (env->body_case == LUG__ENVELOPE__BODY_TABLE_BODY) {
		if (env->table_body->text)
			adopt(sync, (gint64)env->table_body->version, env->table_body->text);
		return TRUE;
	}
	fetch_if_newer(sync, route, env->table_version);
	return FALSE;
}
