#include "daemon/entry.h"

#include <string.h>

#include "daemon/entry_priv.h"
#include "daemon/reload.h"

#define TICK_MS 20
#define ENTRY_SCAN_INTERVAL_MS 3000
#define TAKE_RETRY_US (500 * 1000)
/* Heartbeats per second that an entry accepts from all agents together; sets their interval. */
#define BEATS_PER_S 12.0
/* Agents notified of a new table version in one tick. */
#define NOTIFY_MAX_PER_TICK 4
/* Time without a new agent, and longest wait for agents, before an entry reports ready. */
#define AGENTS_SETTLED_US (500 * 1000)
#define AGENTS_TIMEOUT_US (10 * G_USEC_PER_SEC)
/* Lease of the entry's own row. */
#define ENTRY_LEASE_MS 15000
/* Time for which a stopping entry still serves new calls. */
#define LEAVE_NOTICE_MS 500
#define RELEASE_TIMEOUT_US (1000 * 1000)
/* Entries that have not renewed their row for this many lease durations count as gone. */
#define STALE_LEASE_MULTIPLE 3

static void fill_row(void *data, JsonObject *row)
{
	struct lug_entry *entry = data;

	json_object_set_string_member(row, "address", entry->ctx->settings->advertise);
	json_object_set_string_member(row, "http", entry->ctx->settings->http);
	json_object_set_string_member(row, "zone", entry->ctx->settings->zone);
	json_object_set_int_member(row, "at_ms", g_get_real_time() / 1000);
}

static void on_writer_event(void *data, enum lug_writer_event event)
{
	struct lug_entry *entry = data;

	/* Any event ends an attempt to take the lease. */
	(void)event;
	entry->taking_lease = FALSE;
}

static void on_own_row(void *data, enum lug_status status, const struct lug_row *rows, guint n_rows,
		       gboolean more)
{
	struct lug_entry *entry = data;
	struct lug_row absent_row = {0};
	/* The scan is by prefix, so the first row may have another key. */
	gboolean found = n_rows && !strcmp(rows[0].key, entry->ctx->settings->name);

	(void)more;
	if (status != LUG_OK) {
		entry->taking_lease = FALSE;
		return;
	}
	lug_writer_take(entry->writer, found ? &rows[0] : &absent_row, lug_now_us());
}

static void take_lease(struct lug_entry *entry, gint64 now_us)
{
	if (lug_writer_is_held(entry->writer) || entry->taking_lease || entry->stopping ||
	    now_us < entry->next_take_us)
		return;
	entry->taking_lease = TRUE;
	entry->next_take_us = now_us + TAKE_RETRY_US;
	lug_store_scan(entry->store, "entry", entry->ctx->settings->name, NULL, 1, on_own_row,
		       entry);
}

static void on_entries(void *data, enum lug_status status, const struct lug_row *rows, guint n_rows,
		       gboolean more)
{
	struct lug_entry *entry = data;
	gint64 now_ms = g_get_real_time() / 1000;

	(void)more;
	entry->scanning_entries = FALSE;
	if (status != LUG_OK)
		return;
	g_ptr_array_set_size(entry->entries, 0);
	for (guint i = 0; i < n_rows; i++) {
		gint64 age_ms = now_ms - lug_json_int(rows[i].data, "at_ms", 0);

		/* A released row has no owner. */
		if (!*lug_json_str(rows[i].data, "owner", "") ||
		    age_ms > STALE_LEASE_MULTIPLE * ENTRY_LEASE_MS)
			continue;
		g_ptr_array_add(entry->entries, json_object_ref(rows[i].data));
	}
}

static void scan_entries(struct lug_entry *entry, gint64 now_us)
{
	if (entry->scanning_entries || now_us < entry->next_scan_us)
		return;
	entry->scanning_entries = TRUE;
	entry->next_scan_us = now_us + lug_jitter(entry->ctx->rng, ENTRY_SCAN_INTERVAL_MS) * 1000;
	lug_store_scan_all(entry->store, "entry", "", on_entries, entry);
}

static void ack_beat(struct lug_entry *entry, const struct lug_route *route)
{
	char **addresses = g_new0(char *, entry->entries->len + 1);
	Lug__BeatAck ack = LUG__BEAT_ACK__INIT;
	LUG_ENVELOPE(env, BEAT_ACK, beat_ack, &ack);

	for (guint i = 0; i < entry->entries->len; i++) {
		const char *address =
			lug_json_str(g_ptr_array_index(entry->entries, i), "address", "");

		if (strcmp(address, entry->ctx->settings->advertise) != 0)
			addresses[ack.n_entries++] = (char *)address;
	}
	ack.entries = addresses;
	ack.has_interval_ms = 1;
	ack.interval_ms = lug_registry_interval_ms(entry->registry, BEATS_PER_S);
	lug_link_send(entry->link, route, &env);
	g_free(addresses);
}

static void on_envelope(void *data, const struct lug_route *route, const Lug__Envelope *env)
{
	struct lug_entry *entry = data;
	gint64 now_us = lug_now_us();

	if (entry->freeing || lug_sync_handle_envelope(entry->sync, route, env, now_us))
		return;
	switch (env->body_case) {
	case LUG__ENVELOPE__BODY_BEAT:
		lug_registry_on_beat(entry->registry, route, env, now_us);
		ack_beat(entry, route);
		return;
	case LUG__ENVELOPE__BODY_REPLY:
		lug_router_on_reply(entry->router, env->from, env->reply, now_us);
		return;
	case LUG__ENVELOPE__BODY_EVENTS_REPLY:
		lug_events_query_on_reply(entry, env->from, env->events_reply);
		return;
	default:
		return;
	}
}

static void on_table_changed(void *data)
{
	struct lug_entry *entry = data;

	/* notify_table_version() checks all agents again. */
	entry->n_checked = 0;
}

/*
 * Notifies a few agents of a new table version ahead of their next heartbeat. The notice is an
 * acknowledgement without a heartbeat, because each envelope carries the version.
 */
static void notify_table_version(struct lug_entry *entry)
{
	GPtrArray *agents = lug_registry_agents(entry->registry);
	guint64 version =
		lug_sync_limits(entry->sync) ? (guint64)lug_sync_limits(entry->sync)->version : 0;

	for (guint n = 0; n < NOTIFY_MAX_PER_TICK && entry->n_checked < agents->len;
	     entry->n_checked++) {
		struct lug_agent *agent = g_ptr_array_index(agents, entry->n_checked);

		if (agent->limits_version >= version)
			continue;
		ack_beat(entry, &agent->route);
		n++;
	}
}

static void advance_shutdown(struct lug_entry *entry, gint64 now_us)
{
	gboolean deadline_passed = now_us >= entry->stop_deadline_us;

	if (now_us < entry->refuse_calls_from_us || (!deadline_passed && entry->calls))
		return;
	if (!entry->idle_since_us)
		entry->idle_since_us = now_us;
	/* The release has a time limit, as the table service may be down. */
	if (!deadline_passed && lug_writer_is_held(entry->writer) &&
	    now_us - entry->idle_since_us < RELEASE_TIMEOUT_US) {
		lug_writer_release(entry->writer, now_us);
		return;
	}
	lug_count(entry->ctx, REQUESTS_ABORTED, entry->calls);
	g_main_loop_quit(entry->ctx->loop);
}

static gboolean on_tick(gpointer data)
{
	struct lug_entry *entry = data;
	gint64 now_us = lug_now_us();

	take_lease(entry, now_us);
	lug_writer_tick(entry->writer, now_us);
	lug_sync_tick(entry->sync, now_us);
	scan_entries(entry, now_us);
	lug_registry_expire(entry->registry, now_us);
	lug_router_tick(entry->router, now_us);
	lug_events_query_tick(entry, now_us);
	notify_table_version(entry);
	if (entry->stopping)
		advance_shutdown(entry, now_us);
	return G_SOURCE_CONTINUE;
}

static gboolean on_stop(gpointer data)
{
	struct lug_entry *entry = data;
	gint64 now_us = lug_now_us();

	if (entry->stopping)
		return G_SOURCE_CONTINUE;
	/* /readyz fails from here on. Calls are still served until refuse_calls_from_us. */
	entry->stopping = TRUE;
	entry->refuse_calls_from_us = now_us + LEAVE_NOTICE_MS * 1000;
	entry->stop_deadline_us = now_us + entry->ctx->settings->drain_ms * 1000;
	lug_gauge(entry->ctx, DRAINING, 1);
	lug_timeline_add(entry->ctx->timeline, LUG_EV_DRAIN, entry->ctx->settings->name, "%s",
			 "leaving");
	return G_SOURCE_CONTINUE;
}

/*
 * Whether agents have registered: one serves, and no further one has been seen for
 * AGENTS_SETTLED_US. Otherwise all requests would go to the first agents, or find none. A
 * deployment may have no agents yet, so an entry does not wait longer than AGENTS_TIMEOUT_US for
 * them.
 */
static gboolean has_agents(const struct lug_entry *entry, gint64 now_us)
{
	GPtrArray *agents = lug_registry_agents(entry->registry);
	gboolean serving = FALSE;

	if (now_us - entry->start_us >= AGENTS_TIMEOUT_US)
		return TRUE;
	for (guint i = 0; i < agents->len; i++) {
		const struct lug_agent *agent = g_ptr_array_index(agents, i);

		if (now_us - agent->seen_us < AGENTS_SETTLED_US)
			return FALSE;
		serving = serving || !agent->leaving;
	}
	return serving;
}

static gboolean is_ready(void *data)
{
	struct lug_entry *entry = data;

	/* An entry that has been ready stays so while agents come and go. */
	entry->agents_known = entry->agents_known || has_agents(entry, lug_now_us());
	return !entry->stopping && lug_sync_limits(entry->sync) != NULL && entry->agents_known;
}

static void create_components(struct lug_entry *entry)
{
	struct lug_ctx *ctx = entry->ctx;
	struct lug_writer_config config = {.table = "entry",
					   .key = ctx->settings->name,
					   .ttl_ms = ENTRY_LEASE_MS,
					   .fill_row = fill_row,
					   .on_event = on_writer_event,
					   .data = entry};

	entry->entries = g_ptr_array_new_with_free_func((GDestroyNotify)json_object_unref);
	lug_list_init(&entry->events_queries);
	entry->store = lug_store_http_new(ctx);
	entry->writer = lug_writer_new(ctx, entry->store, &config);
	entry->sync = lug_sync_new(ctx, entry->store, entry->link, on_table_changed, entry);
	entry->registry = lug_registry_new(ctx);
	entry->router = lug_router_new(ctx, entry->link, entry->registry);
}

static void free_components(struct lug_entry *entry)
{
	entry->freeing = TRUE;
	lug_daemon_http_server_free(entry->http_server);
	lug_store_free(entry->store);
	lug_writer_free(entry->writer);
	lug_router_free(entry->router);
	lug_registry_free(entry->registry);
	lug_sync_free(entry->sync);
	g_ptr_array_unref(entry->entries);
}

static int run_loop(struct lug_entry *entry)
{
	struct lug_ctx *ctx = entry->ctx;

	entry->start_us = lug_now_us();
	create_components(entry);
	lug_api_add_handlers(entry);
	lug_loop_install(&entry->hooks);
	lug_timeline_add(ctx->timeline, LUG_EV_PROCESS_START, ctx->settings->name, "entry");
	lug_info(ctx, "started", "inner", ctx->settings->inner, "http", ctx->settings->http);
	lug_loop_run(&entry->hooks);
	lug_info(ctx, "stopped", "cut",
		 ctx->metrics->counters[LUG_C_REQUESTS_ABORTED] ? "some" : "0");
	free_components(entry);
	return LUG_DAEMON_EXIT_OK;
}

/**
 * lug_entry_run - run an entry until SIGTERM or SIGINT
 * @settings: checked settings, owned by the entry
 * @path: file that they came from, read again on SIGHUP
 *
 * Return: exit code.
 */
int lug_entry_run(struct lug_settings *settings, const char *path)
{
	struct lug_entry entry = {.ctx = lug_ctx_new(settings, stderr)};
	struct lug_error err;
	int code = LUG_DAEMON_EXIT_BAD_SETTINGS;

	entry.hooks =
		(struct lug_loop_hooks){entry.ctx, path, TICK_MS, on_tick, on_stop, &entry, 0};
	entry.link = lug_link_new(entry.ctx, on_envelope, &entry, &err);
	if (entry.link)
		entry.http_server = lug_daemon_http_server_new(entry.ctx, is_ready, &entry, &err);
	if (entry.http_server)
		code = run_loop(&entry);
	else
		lug_err(entry.ctx, "settings_refused", "problem", err.msg, "remedy", err.remedy);
	lug_link_free(entry.link);
	lug_ctx_free(entry.ctx);
	return code;
}
