#include "daemon/agent.h"

#include <string.h>

#include "daemon/agent_priv.h"
#include "daemon/reload.h"

#define TICK_MS 50
#define ENTRY_SCAN_INTERVAL_MS 4000
/* Time between reporting to peers that the agent leaves and the earliest exit. */
#define LEAVE_NOTICE_MS 300
/* Longest time until entries are notified of a new table version. */
#define VERSION_REPORT_MAX_US (4 * 1000 * 1000)
/* Longest time for releasing rows at shutdown: the table service may be down. */
#define RELEASE_TIMEOUT_US (2 * 1000 * 1000)

static void on_want(struct agent_daemon *agent, const struct lug_route *route,
		    const Lug__Want *want, gint64 now_us)
{
	struct lug_dial *dial = lug_link_find_dial(agent->link, route);

	if (dial && want->queue)
		lug_owners_update(agent->owners, want->queue, want->epoch, lug_dial_address(dial),
				  now_us);
	lug_offers_apply_want(agent->offers, want, now_us);
}

static void on_start(struct agent_daemon *agent, const struct lug_route *route,
		     const Lug__Start *start, gint64 now_us)
{
	lug_runner_on_start(agent->runner, route, start, now_us);
	lug_offers_count_start(agent->offers, start->queue, now_us);
}

static void set_draining(struct agent_daemon *agent, gboolean drain)
{
	gint64 now_us = lug_now_us();

	if (lug_runner_is_draining(agent->runner) == drain)
		return;
	lug_runner_set_draining(agent->runner, drain);
	lug_serve_set_draining(agent->serve, drain);
	lug_gauge(agent->ctx, DRAINING, drain);
	lug_timeline_add(agent->ctx->timeline, LUG_EV_DRAIN, agent->ctx->settings->name, "%s",
			 drain ? "leaving" : "back");
	lug_info(agent->ctx, drain ? "draining" : "undrained", "worker",
		 agent->ctx->settings->name);
	lug_peers_beat_all(agent->peers, now_us);
}

/*
 * Drain requests may come through several entries and out of order. One applies only if its stamp
 * is later than that of the last request that applied.
 */
static void on_drain(struct agent_daemon *agent, const Lug__Envelope *env)
{
	if (g_strcmp0(env->drain->worker, agent->ctx->settings->name) ||
	    env->hlc <= agent->last_drain_hlc)
		return;
	agent->last_drain_hlc = env->hlc;
	if (!agent->stopping)
		set_draining(agent, !env->drain->undo);
}

static void dispatch_to_owner(struct agent_daemon *agent, const struct lug_route *route,
			      const Lug__Envelope *env, gint64 now_us)
{
	struct lug_owner *owner;

	switch (env->body_case) {
	case LUG__ENVELOPE__BODY_OFFER:
		owner = lug_owners_find(agent->owners, env->offer->queue);
		if (owner)
			lug_owner_on_offer(owner, route, env->from, env->offer, now_us);
		return;
	case LUG__ENVELOPE__BODY_START_REPLY:
		owner = lug_owners_find(agent->owners, env->start_reply->queue);
		if (owner)
			lug_owner_on_start_reply(owner, env->from, env->start_reply, now_us);
		return;
	case LUG__ENVELOPE__BODY_REPORT:
		owner = lug_owners_find(agent->owners, env->report->queue);
		if (owner)
			lug_owner_on_report(owner, route, env->from, env->report, now_us);
		return;
	case LUG__ENVELOPE__BODY_POKE:
		owner = lug_owners_find(agent->owners, env->poke->queue);
		if (owner)
			lug_owner_rescan(owner, now_us);
		return;
	default:
		return;
	}
}

static void on_envelope(void *data, const struct lug_route *route, const Lug__Envelope *env)
{
	struct agent_daemon *agent = data;
	gint64 now_us = lug_now_us();

	if (agent->freeing)
		return;
	lug_peers_on_message(agent->peers, route, now_us);
	if (lug_sync_handle_envelope(agent->sync, route, env, now_us))
		return;
	switch (env->body_case) {
	case LUG__ENVELOPE__BODY_REQUEST:
		lug_serve_on_request(agent->serve, route, env, now_us);
		return;
	case LUG__ENVELOPE__BODY_CANCEL:
		lug_serve_on_cancel(agent->serve, route, env, now_us);
		return;
	case LUG__ENVELOPE__BODY_BEAT:
		agent_on_beat(agent, route, env, now_us);
		return;
	case LUG__ENVELOPE__BODY_BEAT_ACK:
		agent_on_beat_ack(agent, route, env->beat_ack, now_us);
		return;
	case LUG__ENVELOPE__BODY_WANT:
		on_want(agent, route, env->want, now_us);
		return;
	case LUG__ENVELOPE__BODY_OFFER_REPLY:
		lug_offers_apply_reply(agent->offers, env->offer_reply, now_us);
		return;
	case LUG__ENVELOPE__BODY_START:
		on_start(agent, route, env->start, now_us);
		return;
	case LUG__ENVELOPE__BODY_STOP:
		lug_runner_on_stop(agent->runner, env->stop, now_us);
		return;
	case LUG__ENVELOPE__BODY_REPORT_ACK:
		lug_runner_on_report_ack(agent->runner, env->report_ack);
		if (env->report_ack->want)
			on_want(agent, route, env->report_ack->want, now_us);
		return;
	case LUG__ENVELOPE__BODY_DRAIN:
		on_drain(agent, env);
		return;
	case LUG__ENVELOPE__BODY_EVENTS_QUERY:
		agent_on_events_query(agent, route, env->events_query);
		return;
	default:
		dispatch_to_owner(agent, route, env, now_us);
	}
}

static void on_worker_state(void *data, JsonObject *state)
{
	lug_runner_load_state(((struct agent_daemon *)data)->runner, state);
}

static void on_lease_held(void *data)
{
	struct agent_daemon *agent = data;

	lug_info(agent->ctx, "worker_lease_held", "worker", agent->ctx->settings->name);
	lug_peers_beat_all(agent->peers, lug_now_us());
}

static void on_lease_lost(void *data)
{
	struct agent_daemon *agent = data;

	lug_err(agent->ctx, "superseded", "remedy",
		"another agent runs for this worker; stop one of the two");
	agent->exit_code = LUG_DAEMON_EXIT_SUPERSEDED;
	g_main_loop_quit(agent->ctx->loop);
}

static void on_tasks_killed(void *data)
{
	lug_runner_drop_all(((struct agent_daemon *)data)->runner);
}

static void get_capacity(void *data, struct lug_resources *out)
{
	*out = lug_runner_capacity(((struct agent_daemon *)data)->runner);
}

/* Reports the new version to entries before the next regular heartbeat. */
static void on_table_changed(void *data)
{
	struct agent_daemon *agent = data;

	lug_peers_schedule_entry_beats(agent->peers, VERSION_REPORT_MAX_US, lug_now_us());
}

static void on_entries(void *data, enum lug_status status, const struct lug_row *rows, guint n_rows,
		       gboolean more)
{
	struct agent_daemon *agent = data;
	gint64 now_us = lug_now_us();

	(void)more;
	agent->scanning_entries = FALSE;
	if (status != LUG_OK)
		return;
	for (guint i = 0; i < n_rows; i++) {
		const char *address = lug_json_str(rows[i].data, "address", "");

		/* A released row has no owner. */
		if (*lug_json_str(rows[i].data, "owner", "") &&
		    lug_address_parse(address, NULL, NULL))
			lug_peers_add(agent->peers, address, LUG_PEER_ENTRY, now_us);
	}
}

static void scan_entries(struct agent_daemon *agent, gint64 now_us)
{
	if (agent->scanning_entries || now_us < agent->next_scan_us)
		return;
	agent->scanning_entries = TRUE;
	agent->next_scan_us = now_us + lug_jitter(agent->ctx->rng, ENTRY_SCAN_INTERVAL_MS) * 1000;
	lug_store_scan_all(agent->store, "entry", "", on_entries, agent);
}

static void add_owner_peer(void *data, const char *team, const char *address)
{
	struct agent_daemon *agent = data;
	struct lug_peer *peer = lug_peers_add(agent->peers, address, LUG_PEER_OWNER, lug_now_us());

	if (lug_runner_holds_attempt_of(agent->runner, team))
		peer->active = TRUE;
}

/* A peer is active while this agent holds attempts of a team whose queue the peer owns. */
static void update_owner_peers(struct agent_daemon *agent)
{
	GPtrArray *list = lug_peers_list(agent->peers);
	gboolean *was_active = g_new0(gboolean, list->len + 1);
	/* add_owner_peer() may append further peers to the list. */
	guint n_known = list->len;

	for (guint i = 0; i < n_known; i++) {
		struct lug_peer *peer = g_ptr_array_index(list, i);

		was_active[i] = peer->active;
		peer->active = FALSE;
	}
	lug_owners_foreach_address(agent->owners, add_owner_peer, agent);
	for (guint i = 0; i < n_known; i++) {
		struct lug_peer *peer = g_ptr_array_index(list, i);

		/*
		 * The owner needs the new interval before it counts a heartbeat as missed: an
		 * interval start of 0 makes the next heartbeat due at the next tick.
		 */
		if (peer->active != was_active[i])
			peer->interval_start_us = 0;
	}
	g_free(was_active);
}

static void control_colocated_tasks(struct agent_daemon *agent, gint64 now_us)
{
	if (!agent->ctx->settings->colocate_enabled)
		return;
	switch (lug_control_decide(&agent->control, now_us)) {
	case LUG_CONTROL_THROTTLE:
		lug_runner_set_throttle(agent->runner, agent->control.throttle_percent);
		lug_timeline_add(agent->ctx->timeline, LUG_EV_TASK_THROTTLED,
				 agent->ctx->settings->name, "to %" G_GINT64_FORMAT " %%",
				 agent->control.throttle_percent);
		return;
	case LUG_CONTROL_EVICT:
		lug_runner_evict_one(agent->runner, now_us);
		return;
	case LUG_CONTROL_KEEP:
		return;
	}
}

/* Waits for running work, then for the release of queues and lease; each wait has a deadline. */
static void advance_shutdown(struct agent_daemon *agent, gint64 now_us)
{
	gboolean deadline_passed = now_us >= agent->stop_deadline_us;

	if (now_us < agent->notice_end_us)
		return;
	if (!deadline_passed &&
	    (!lug_serve_is_idle(agent->serve) || !lug_runner_is_empty(agent->runner)))
		return;
	if (!agent->releasing) {
		agent->releasing = TRUE;
		agent->stop_deadline_us = now_us + RELEASE_TIMEOUT_US;
		lug_owners_release_all(agent->owners, now_us);
		lug_lease_release(agent->lease, now_us);
		return;
	}
	if (!deadline_passed &&
	    (lug_owners_held_count(agent->owners) || !lug_lease_is_not_held(agent->lease)))
		return;
	lug_count(agent->ctx, REQUESTS_ABORTED,
		  lug_serve_load(agent->serve)->busy + lug_serve_load(agent->serve)->queued);
	g_main_loop_quit(agent->ctx->loop);
}

static gboolean on_tick(gpointer data)
{
	struct agent_daemon *agent = data;
	gint64 now_us = lug_now_us();

	lug_lease_tick(agent->lease, now_us);
	lug_sync_tick(agent->sync, now_us);
	lug_owners_tick(agent->owners, now_us);
	lug_registry_expire(agent->registry, now_us);
	update_owner_peers(agent);
	scan_entries(agent, now_us);
	lug_peers_tick(agent->peers, now_us);
	lug_runner_tick(agent->runner, now_us);
	lug_offers_tick(agent->offers, now_us);
	lug_serve_tick(agent->serve, now_us);
	control_colocated_tasks(agent, now_us);
	if (agent->stopping)
		advance_shutdown(agent, now_us);
	return G_SOURCE_CONTINUE;
}

static gboolean on_stop(gpointer data)
{
	struct agent_daemon *agent = data;
	gint64 now_us = lug_now_us();

	if (agent->stopping)
		return G_SOURCE_CONTINUE;
	agent->stopping = TRUE;
	agent->notice_end_us = now_us + LEAVE_NOTICE_MS * 1000;
	agent->stop_deadline_us = now_us + agent->ctx->settings->drain_ms * 1000;
	set_draining(agent, TRUE);
	return G_SOURCE_CONTINUE;
}

static gboolean is_ready(void *data)
{
	struct agent_daemon *agent = data;

	/* Once the entries route to this agent, one that comes or goes doesn't make it unready. */
	agent->entries_reached =
		agent->entries_reached || lug_peers_entries_reached(agent->peers, lug_now_us());
	return !agent->stopping && lug_lease_epoch(agent->lease) != 0 && agent->entries_reached;
}

static void on_timeline(SoupServer *soup, SoupServerMessage *msg, const char *path,
			GHashTable *query, gpointer data)
{
	struct agent_daemon *agent = data;
	const char *since = query ? g_hash_table_lookup(query, "since") : NULL;
	const char *match = query ? g_hash_table_lookup(query, "match") : NULL;

	(void)soup;
	(void)path;
	lug_answer_json(
		msg, 200,
		lug_local_events(agent->ctx, since ? g_ascii_strtoull(since, NULL, 10) : 0, match));
}

static void create_job_components(struct agent_daemon *agent)
{
	struct lug_ctx *ctx = agent->ctx;
	struct lug_lease_hooks hooks = {.worker_state = on_worker_state,
					.taken = on_lease_held,
					.superseded = on_lease_lost,
					.tasks_killed = on_tasks_killed,
					.capacity = get_capacity,
					.data = agent};
	struct lug_owner_env owner_env = {ctx, agent->store, agent->link, agent->sync,
					  agent->registry};
	struct lug_runner_env env;

	agent->owners = lug_owners_new(&owner_env);
	agent->lease = lug_lease_new(ctx, agent->store, agent->worker, &hooks);
	env = (struct lug_runner_env){ctx,	    agent->link,   agent->worker,
				      agent->lease, agent->owners, agent->peers};
	agent->runner = lug_runner_new(&env);
	agent->offers = lug_offers_new(ctx, agent->runner, agent->lease);
}

static void create_components(struct agent_daemon *agent)
{
	struct lug_ctx *ctx = agent->ctx;
	const struct lug_settings *settings = ctx->settings;
	gint64 now_us = lug_now_us();

	agent->store = lug_store_http_new(ctx);
	agent->worker = lug_http_new(settings->worker_url, NULL, g_free);
	agent->backend = lug_http_new(settings->service_url, NULL, NULL);
	lug_http_set_connections(agent->backend, (guint)settings->service_connections);
	agent->sync = lug_sync_new(ctx, agent->store, agent->link, on_table_changed, agent);
	agent->registry = lug_registry_new(ctx);
	agent->peers = lug_peers_new(ctx, agent->link, agent_send_beat, agent);
	create_job_components(agent);
	agent->serve = lug_serve_new(ctx, agent->link, agent->backend);
	lug_control_init(&agent->control, settings->service_target_ms * 1000);
	lug_serve_set_control(agent->serve, &agent->control);
	for (guint i = 0; i < settings->entries->len; i++) {
		struct lug_peer *peer =
			lug_peers_add(agent->peers, g_ptr_array_index(settings->entries, i),
				      LUG_PEER_ENTRY, now_us);

		peer->seed = TRUE;
	}
}

static void free_components(struct agent_daemon *agent)
{
	agent->freeing = TRUE;
	lug_store_free(agent->store);
	lug_http_free(agent->worker);
	lug_http_free(agent->backend);
	lug_offers_free(agent->offers);
	lug_runner_free(agent->runner);
	lug_lease_free(agent->lease);
	lug_owners_free(agent->owners);
	lug_serve_free(agent->serve);
	lug_peers_free(agent->peers);
	lug_registry_free(agent->registry);
	lug_sync_free(agent->sync);
}

static int run_loop(struct agent_daemon *agent)
{
	struct lug_ctx *ctx = agent->ctx;

	soup_server_add_handler(agent->http_server->soup, "/timeline", on_timeline, agent, NULL);
	create_components(agent);
	lug_loop_install(&agent->hooks);
	lug_timeline_add(ctx->timeline, LUG_EV_PROCESS_START, ctx->settings->name, "agent");
	lug_info(ctx, "started", "inner", ctx->settings->inner, "http", ctx->settings->http);
	lug_loop_run(&agent->hooks);
	lug_info(ctx, "stopped", "cut",
		 ctx->metrics->counters[LUG_C_REQUESTS_ABORTED] ? "some" : "0");
	free_components(agent);
	return agent->exit_code;
}

/**
 * lug_agent_run - run an agent until SIGTERM, SIGINT or the loss of its worker's lease
 * @settings: checked settings, owned by the agent
 * @path: file that they came from, read again on SIGHUP
 *
 * Return: exit code.
 */
int lug_agent_run(struct lug_settings *settings, const char *path)
{
	struct agent_daemon agent = {.ctx = lug_ctx_new(settings, stderr)};
	struct lug_error err;
	int code = LUG_DAEMON_EXIT_BAD_SETTINGS;

	agent.hooks =
		(struct lug_loop_hooks){agent.ctx, path, TICK_MS, on_tick, on_stop, &agent, 0};
	agent.link = lug_link_new(agent.ctx, on_envelope, &agent, &err);
	if (agent.link)
		agent.http_server = lug_daemon_http_server_new(agent.ctx, is_ready, &agent, &err);
	if (agent.http_server)
		code = run_loop(&agent);
	else
		lug_err(agent.ctx, "settings_refused", "problem", err.msg, "remedy", err.remedy);
	lug_daemon_http_server_free(agent.http_server);
	lug_link_free(agent.link);
	lug_ctx_free(agent.ctx);
	return code;
}
