#include "daemon/adapter.h"
#include "daemon/loop.h"
#include "daemon/main.h"
#include "daemon/reload.h"
#include "daemon/http_server.h"

#define TICK_MS 50
/*
 * Time between reporting "not ready" and the earliest exit: the load balancer polls readiness every
 * second and sends no new connections after two failed polls. Requests of the last connections may
 * need some time to arrive.
 */
#define LEAVE_NOTICE_MS 2700
/*
 * Time without a request arriving or being answered before a stopping entry exits: the last answer
 * has to be written, and a request that is on its way has to be read.
 */
#define QUIET_BEFORE_EXIT_US (300 * 1000)

struct queue_entry {
	struct lug_ctx *ctx;
	struct lug_loop_hooks hooks;
	const struct lug_adapter *adapter;
	struct lug_store *store;
	struct lug_store *config_store;
	struct lug_link *link;
	struct lug_shard_map *shard_map;
	struct lug_config *config;
	struct lug_gateway *gateway;
	struct lug_submitters_env submitters_env;
	struct lug_daemon_http_server *http_server;
	void *submitter_server;
	gboolean stopping;
	gboolean freeing;
	gint64 notice_end_us;	 /* earliest exit of a stopping entry */
	gint64 stop_deadline_us; /* exit even with open calls */
};

static gboolean is_ready(void *data)
{
	struct queue_entry *entry = data;
	gint64 now_us = lug_now_us();

	if (entry->stopping || !lug_config_queues(entry->config) ||
	    !lug_shard_map_is_known(entry->shard_map))
		return FALSE;
	/* An entry that reaches neither the table service nor an owner can only refuse calls. */
	return lug_config_is_fresh(entry->config, now_us) ||
	       lug_gateway_reaches_owners(entry->gateway, now_us);
}

static void on_envelope(void *data, const struct lug_route *route, const Lug__Envelope *env)
{
	struct queue_entry *entry = data;
	gint64 now_us = lug_now_us();

	if (entry->freeing || !entry->gateway ||
	    lug_config_handle_envelope(entry->config, route, env, now_us))
		return;
	if (env->body_case == LUG__ENVELOPE__BODY_JOB_REPLY)
		lug_gateway_on_reply(entry->gateway, route, env->job_reply, now_us);
}

static void advance_shutdown(struct queue_entry *entry, gint64 now_us)
{
	gboolean busy = entry->submitters_env.calls ||
			now_us - entry->submitters_env.last_call_us < QUIET_BEFORE_EXIT_US;

	if (now_us < entry->notice_end_us || (busy && now_us < entry->stop_deadline_us))
		return;
	lug_count(entry->ctx, REQUESTS_ABORTED, entry->submitters_env.calls);
	g_main_loop_quit(entry->ctx->loop);
}

static gboolean on_tick(gpointer data)
{
	struct queue_entry *entry = data;
	gint64 now_us = lug_now_us();

	lug_config_tick(entry->config, now_us);
	lug_shard_map_tick(entry->shard_map, now_us);
	lug_gateway_tick(entry->gateway, now_us);
	lug_gauge(entry->ctx, INFLIGHT, entry->submitters_env.calls);
	if (entry->stopping)
		advance_shutdown(entry, now_us);
	return G_SOURCE_CONTINUE;
}

static gboolean on_stop(gpointer data)
{
	struct queue_entry *entry = data;
	gint64 now_us = lug_now_us();

	if (entry->stopping)
		return G_SOURCE_CONTINUE;
	entry->stopping = TRUE;
	entry->notice_end_us = now_us + LEAVE_NOTICE_MS * 1000;
	entry->stop_deadline_us = now_us + entry->ctx->settings->drain_ms * 1000;
	lug_gauge(entry->ctx, DRAINING, 1);
	lug_info(entry->ctx, "stopping");
	return G_SOURCE_CONTINUE;
}

static gboolean create_components(struct queue_entry *entry, struct lug_error *err)
{
	struct lug_ctx *ctx = entry->ctx;

	entry->link = lug_link_new(ctx, on_envelope, entry, err);
	if (!entry->link)
		return FALSE;
	entry->store = entry->adapter->new_store(ctx, LUG_STORE_JOBS);
	entry->config_store = entry->adapter->new_store(ctx, LUG_STORE_CONFIG);
	entry->shard_map =
		lug_shard_map_new(ctx, entry->store, (guint32)ctx->settings->shards, NULL, NULL);
	entry->config =
		lug_config_new(ctx, entry->config_store, entry->link, &entry->adapter->config);
	entry->gateway =
		lug_gateway_new(ctx, entry->store, entry->link, entry->shard_map, entry->config);
	entry->submitters_env.ctx = ctx;
	entry->submitters_env.gateway = entry->gateway;
	entry->submitters_env.config = entry->config;
	entry->submitters_env.is_ready = is_ready;
	entry->submitters_env.data = entry;
	entry->http_server = lug_daemon_http_server_new(ctx, is_ready, entry, err);
	if (!entry->http_server)
		return FALSE;
	entry->submitter_server = entry->adapter->serve_submitters(&entry->submitters_env, err);
	return entry->submitter_server != NULL;
}

static void free_components(struct queue_entry *entry)
{
	/* Freeing a client runs the main loop again; callbacks must not start new work then. */
	entry->freeing = TRUE;
	if (entry->submitter_server)
		entry->adapter->stop_submitters(entry->submitter_server);
	lug_daemon_http_server_free(entry->http_server);
	lug_store_free(entry->store);
	lug_store_free(entry->config_store);
	lug_gateway_free(entry->gateway);
	lug_config_free(entry->config);
	lug_shard_map_free(entry->shard_map);
	lug_link_free(entry->link);
	lug_ctx_free(entry->ctx);
}

static void run_loop(struct queue_entry *entry)
{
	struct lug_ctx *ctx = entry->ctx;

	lug_loop_install(&entry->hooks);
	lug_info(ctx, "started", "role", "entry", "inner", ctx->settings->inner, "clients",
		 ctx->settings->clients);
	on_tick(entry);
	lug_loop_run(&entry->hooks);
	lug_info(ctx, "stopped", "cut", entry->submitters_env.calls ? "some" : "0");
}

/**
 * lug_queue_entry_run - run an entry for job queues until SIGTERM or SIGINT
 * @settings: checked settings, owned by the entry
 * @path: file that they came from, read again on SIGHUP
 * @adapter: functions of the platform
 *
 * Return: exit code.
 */
int lug_queue_entry_run(struct lug_settings *settings, const char *path,
			const struct lug_adapter *adapter)
{
	struct queue_entry entry = {.ctx = lug_ctx_new(settings, stdout), .adapter = adapter};
	struct lug_error err = {0};
	int code = LUG_DAEMON_EXIT_OK;

	entry.hooks =
		(struct lug_loop_hooks){entry.ctx, path, TICK_MS, on_tick, on_stop, &entry, 0};
	if (create_components(&entry, &err)) {
		run_loop(&entry);
	} else {
		code = LUG_DAEMON_EXIT_BAD_SETTINGS;
		lug_err(entry.ctx, "settings_refused", "problem", err.msg, "remedy", err.remedy);
	}
	free_components(&entry);
	return code;
}
