#include <string.h>

#include "daemon/adapter.h"
#include "daemon/loop.h"
#include "daemon/main.h"
#include "daemon/reload.h"
#include "daemon/http_server.h"
#include "workflow/shards.h"

#define TICK_MS 40
/* Longest time for releasing owned shards at shutdown. Tasks keep running without the agent. */
#define RELEASE_TIMEOUT_US (1500 * 1000)

/* Heartbeats per report of interference: one more for each WORKERS_PER_INTERVAL workers. */
#define WORKERS_PER_INTERVAL 24
#define INTERFERENCE_INTERVAL_MIN 3
#define INTERFERENCE_INTERVAL_MAX 12

struct queue_agent {
	struct lug_ctx *ctx;
	struct lug_loop_hooks hooks;
	const struct lug_adapter *adapter;
	struct lug_store *store;
	struct lug_store *config_store;
	struct lug_link *link;
	struct lug_shard_map *shard_map;
	struct lug_config *config;
	struct lug_peers *peers;
	struct lug_fleet *fleet;
	struct lug_shards *shards;
	struct lug_executor *executor;
	struct lug_daemon_http_server *http_server;
	void *worker_server;
	gboolean stopping;
	gboolean freeing;
	gint64 stop_deadline_us;
};

static gboolean is_ready(void *data)
{
	struct queue_agent *agent = data;

	return !agent->stopping && lug_shard_map_is_known(agent->shard_map);
}

/*
 * Adds a shard's owner to the peers with the role of an entry, because peers of this role get
 * heartbeats at the regular interval even when idle. Returns NULL if the owner is not known.
 */
static struct lug_peer *add_owner_peer(struct queue_agent *agent, guint32 shard)
{
	const struct lug_shard_owner *owner = lug_shard_map_owner(agent->shard_map, shard);

	if (!*owner->address)
		return NULL;
	return lug_peers_add(agent->peers, owner->address, LUG_PEER_ENTRY, lug_now_us());
}

static gboolean send_to_owner(void *data, guint32 shard, Lug__Envelope *env)
{
	struct queue_agent *agent = data;
	struct lug_peer *peer = add_owner_peer(agent, shard);
	struct lug_route route;

	if (!peer)
		return FALSE;
	lug_dial_route(peer->dial, &route);
	return lug_link_send(agent->link, &route, env);
}

/* Receiver of a heartbeat. The heartbeat lists the tasks of the shards that the receiver owns. */
struct beat_target {
	struct queue_agent *agent;
	struct lug_peer *peer;
};

static gboolean is_owned_by_target(void *data, guint32 shard)
{
	const struct beat_target *target = data;

	return !strcmp(lug_shard_map_owner(target->agent->shard_map, shard)->address,
		       lug_dial_address(target->peer->dial));
}

static gboolean send_to_target(void *data, Lug__Envelope *env)
{
	const struct beat_target *target = data;
	struct lug_route route;

	lug_dial_route(target->peer->dial, &route);
	return lug_link_send(target->agent->link, &route, env);
}

static gboolean send_beat(void *data, struct lug_peer *peer)
{
	struct queue_agent *agent = data;
	struct beat_target receiver = {agent, peer};
	struct lug_heartbeat_target target = {
		.generation = lug_dial_generation(peer->dial),
		.n_sent = peer->n_beats,
		.forecast_wanted = peer->forecast_wanted,
		.is_owner = is_owned_by_target,
		.send = send_to_target,
		.data = &receiver,
	};

	return lug_executor_send_heartbeat(agent->executor, &target, lug_now_us());
}

/* One heartbeat in so many contains interference, so that large fleets don't send it more often. */
static guint32 interference_interval(const struct queue_agent *agent)
{
	guint32 workers = lug_fleet_workers(agent->fleet)->len;

	return CLAMP(workers / WORKERS_PER_INTERVAL, INTERFERENCE_INTERVAL_MIN,
		     INTERFERENCE_INTERVAL_MAX);
}

static void fill_interference(Lug__WorkerBeatAck *ack, GArray *pairs, Lug__HarmPair **items,
			      Lug__HarmPair ***item_ptrs)
{
	*items = g_new0(Lug__HarmPair, pairs->len + 1);
	*item_ptrs = g_new0(Lug__HarmPair *, pairs->len + 1);
	for (guint i = 0; i < pairs->len; i++) {
		lug_interference_to_wire(&g_array_index(pairs, struct lug_interference_pair, i),
					 &(*items)[i]);
		(*item_ptrs)[i] = &(*items)[i];
	}
	ack->n_harm = pairs->len;
	ack->harm = *item_ptrs;
}

static void ack_beat(struct queue_agent *agent, const struct lug_route *route,
		     const Lug__WorkerBeat *beat, gint64 now_us)
{
	guint32 n = lug_shard_map_count(agent->shard_map);
	Lug__ShardOwner *owned = g_new0(Lug__ShardOwner, n);
	Lug__ShardOwner **owned_ptrs = g_new0(Lug__ShardOwner *, n);
	GArray *pairs = NULL;
	Lug__HarmPair *pair_items = NULL;
	Lug__HarmPair **pair_ptrs = NULL;
	Lug__WorkerBeatAck ack = LUG__WORKER_BEAT_ACK__INIT;
	LUG_ENVELOPE(env, WORKER_BEAT_ACK, worker_beat_ack, &ack);

	for (guint32 i = 0; i < n; i++) {
		struct lug_shard *shard = lug_shards_find_active(agent->shards, i);
		Lug__ShardOwner *item = &owned[ack.n_owned];

		if (!shard)
			continue;
		lug__shard_owner__init(item);
		item->has_shard = 1;
		item->shard = i;
		item->has_epoch = 1;
		item->epoch = lug_shard_epoch(shard);
		item->address = agent->ctx->settings->advertise;
		owned_ptrs[ack.n_owned++] = item;
	}
	ack.has_beat = 1;
	ack.beat = beat->beat;
	ack.owned = owned_ptrs;
	/*
	 * Only some heartbeats carry pairs of interference ("harm" on the wire). The
	 * acknowledgement of such a heartbeat carries this agent's pairs.
	 */
	if (beat->n_harm) {
		pairs = lug_interference_pairs(lug_fleet_interference(agent->fleet));
		fill_interference(&ack, pairs, &pair_items, &pair_ptrs);
	}
	ack.has_interference_interval = 1;
	ack.interference_interval = interference_interval(agent);
	ack.has_stalled = 1;
	ack.stalled = lug_shards_is_stalled(agent->shards, now_us);
	ack.has_forecast_wanted = lug_fleet_wants_forecast(agent->fleet, now_us);
	ack.forecast_wanted = ack.has_forecast_wanted;
	lug_link_send(agent->link, route, &env);
	g_free(owned);
	g_free(owned_ptrs);
	g_free(pair_items);
	g_free(pair_ptrs);
	if (pairs)
		g_array_unref(pairs);
}

static void on_worker_beat(struct queue_agent *agent, const struct lug_route *route,
			   const Lug__Envelope *env, gint64 now_us)
{
	const Lug__WorkerBeat *beat = env->worker_beat;
	struct lug_fleet_worker *worker = lug_fleet_on_beat(agent->fleet, route, env, now_us);
	struct lug_resources used;

	if (!worker)
		return;
	for (gsize i = 0; i < beat->n_shards; i++) {
		struct lug_shard *shard =
			lug_shards_find_active(agent->shards, beat->shards[i]->shard);

		if (shard)
			lug_shard_on_beat(shard, worker, beat->shards[i], now_us);
	}
	lug_resources_from_wire(beat->used, &used);
	lug_fleet_set_used(worker, &used);
	ack_beat(agent, route, beat, now_us);
	lug_shards_wake(agent->shards);
}

static void on_beat_ack(struct queue_agent *agent, const struct lug_route *route,
			const Lug__WorkerBeatAck *ack, gint64 now_us)
{
	struct lug_dial *dial = lug_link_find_dial(agent->link, route);
	struct lug_peer *peer = dial ? lug_dial_data(dial) : NULL;

	lug_peers_on_message(agent->peers, route, now_us);
	if (!peer)
		return;
	peer->stalled = ack->stalled;
	peer->forecast_wanted = ack->forecast_wanted;
	lug_executor_merge_interference(agent->executor, ack);
	for (gsize i = 0; i < ack->n_owned; i++) {
		const Lug__ShardOwner *owner = ack->owned[i];

		lug_executor_update_owner(agent->executor, owner->shard, owner->epoch);
		lug_shard_map_update(agent->shard_map, owner->shard, owner->epoch,
				     owner->address ? owner->address : "");
		if (lug_shard_map_is_owner(agent->shard_map, owner->shard, owner->epoch,
					   lug_dial_address(dial)))
			lug_shards_confirm_owner(agent->shards, owner->shard, now_us);
	}
}

static void on_job_call(struct queue_agent *agent, const struct lug_route *route,
			const Lug__JobCall *call, gint64 now_us)
{
	struct lug_shard *shard = lug_shards_find_active(agent->shards, call->shard);

	/* A shard that is still being loaded is handled like a shard of another owner. */
	if (shard && !lug_shard_is_loaded(shard))
		shard = NULL;
	lug_shard_on_job_call(agent->link, route, call, agent->shard_map, shard, now_us);
}

static void on_envelope(void *data, const struct lug_route *route, const Lug__Envelope *env)
{
	struct queue_agent *agent = data;
	gint64 now_us = lug_now_us();
	struct lug_shard *shard;

	if (!agent->shards || agent->freeing ||
	    lug_config_handle_envelope(agent->config, route, env, now_us))
		return;
	switch (env->body_case) {
	case LUG__ENVELOPE__BODY_WORKER_BEAT:
		on_worker_beat(agent, route, env, now_us);
		return;
	case LUG__ENVELOPE__BODY_WORKER_BEAT_ACK:
		on_beat_ack(agent, route, env->worker_beat_ack, now_us);
		return;
	case LUG__ENVELOPE__BODY_RUN_START:
		lug_executor_on_start(agent->executor, env->run_start, now_us);
		return;
	case LUG__ENVELOPE__BODY_RUN_STOP:
		lug_executor_on_stop(agent->executor, env->run_stop, now_us);
		return;
	case LUG__ENVELOPE__BODY_RUN_RESERVE:
		lug_executor_on_reserve(agent->executor, env->run_reserve, now_us);
		return;
	case LUG__ENVELOPE__BODY_RUN_END_ACK:
		lug_executor_ack_end(agent->executor, env->run_end_ack);
		return;
	case LUG__ENVELOPE__BODY_RUN_ANSWER:
		shard = lug_shards_find_active(agent->shards, env->run_answer->shard);
		if (shard)
			lug_shard_on_start_answer(shard, env->from, env->run_answer, now_us);
		return;
	case LUG__ENVELOPE__BODY_RUN_RESERVE_ANSWER:
		shard = lug_shards_find_active(agent->shards, env->run_reserve_answer->shard);
		if (!shard)
			return;
		lug_shard_on_reserve_answer(shard, env->from, env->run_reserve_answer, now_us);
		lug_shard_wake(shard);
		return;
	case LUG__ENVELOPE__BODY_RUN_STOP_ANSWER:
		shard = lug_shards_find_active(agent->shards, env->run_stop_answer->shard);
		if (shard)
			lug_shard_on_stop_answer(shard, env->from, env->run_stop_answer);
		return;
	case LUG__ENVELOPE__BODY_RUN_END:
		shard = lug_shards_find_active(agent->shards, env->run_end->shard);
		if (shard)
			lug_shard_on_run_end(shard, route, env->from, env->run_end, now_us);
		return;
	case LUG__ENVELOPE__BODY_JOB_CALL:
		on_job_call(agent, route, env->job_call, now_us);
		return;
	default:
		return;
	}
}

static void on_worker_lost(void *data, const char *worker, guint64 lease_epoch)
{
	struct queue_agent *agent = data;

	lug_shards_worker_lost(agent->shards, worker, lease_epoch, lug_now_us());
}

static gint64 worker_unlisted_us(void *data, const char *worker, gint64 now_us)
{
	struct queue_agent *agent = data;
	gint64 longest_us = -1;

	for (guint32 i = 0; i < lug_shard_map_count(agent->shard_map); i++) {
		const struct lug_shard *shard = lug_shards_find_active(agent->shards, i);

		if (shard)
			longest_us = MAX(longest_us, lug_shard_unlisted_us(shard, worker, now_us));
	}
	return longest_us;
}

static gint64 worker_unstopped_us(void *data, const char *worker, gint64 now_us)
{
	struct queue_agent *agent = data;
	gint64 longest_us = -1;

	for (guint32 i = 0; i < lug_shard_map_count(agent->shard_map); i++) {
		const struct lug_shard *shard = lug_shards_find_active(agent->shards, i);

		if (shard)
			longest_us = MAX(longest_us, lug_shard_unstopped_us(shard, worker, now_us));
	}
	return longest_us;
}

static void on_lease_left(void *data, const char *worker, guint64 lease_epoch, gint64 left_us,
			  gint64 now_us)
{
	struct queue_agent *agent = data;

	lug_shards_lease_left(agent->shards, worker, lease_epoch, left_us, now_us);
}

/*
 * A shard's new owner needs the list of the worker's tasks before the next regular heartbeat: an
 * interval start of 0 makes the next heartbeat due at the next tick.
 */
static void on_owner_changed(void *data, guint32 shard)
{
	struct queue_agent *agent = data;
	const struct lug_shard_owner *owner = lug_shard_map_owner(agent->shard_map, shard);
	struct lug_peer *peer;
	char number[16];
	char epoch[24];

	g_snprintf(number, sizeof(number), "%u", shard);
	g_snprintf(epoch, sizeof(epoch), "%" G_GUINT64_FORMAT, owner->epoch);
	lug_info(agent->ctx, "shard_owner", "shard", number, "epoch", epoch, "address",
		 owner->address);
	if (!agent->shards)
		return;
	lug_shards_confirm_owner(agent->shards, shard, lug_now_us());
	peer = add_owner_peer(agent, shard);
	if (peer)
		peer->interval_start_us = 0;
}

static void advance_shutdown(struct queue_agent *agent, gint64 now_us)
{
	gboolean finished =
		lug_shards_all_released(agent->shards) && lug_executor_can_exit(agent->executor);

	if (!finished && now_us < agent->stop_deadline_us)
		return;
	lug_executor_log_exit(agent->executor, now_us);
	g_main_loop_quit(agent->ctx->loop);
}

static gboolean on_tick(gpointer data)
{
	struct queue_agent *agent = data;
	gint64 now_us = lug_now_us();

	lug_config_tick(agent->config, now_us);
	lug_shard_map_tick(agent->shard_map, now_us);
	for (guint32 i = 0; i < lug_shard_map_count(agent->shard_map); i++)
		add_owner_peer(agent, i);
	lug_executor_tick(agent->executor, now_us);
	lug_executor_resend_ends(agent->executor, now_us);
	lug_peers_tick(agent->peers, now_us);
	lug_fleet_tick(agent->fleet, now_us);
	lug_shards_tick(agent->shards, now_us);
	if (agent->stopping)
		advance_shutdown(agent, now_us);
	return G_SOURCE_CONTINUE;
}

static gboolean on_stop(gpointer data)
{
	struct queue_agent *agent = data;
	gint64 now_us = lug_now_us();

	if (agent->stopping)
		return G_SOURCE_CONTINUE;
	agent->stopping = TRUE;
	agent->stop_deadline_us = now_us + RELEASE_TIMEOUT_US;
	lug_info(agent->ctx, "stopping");
	lug_executor_shut_down(agent->executor);
	/* Owners place nothing on this worker until the next process has sent a heartbeat. */
	lug_peers_beat_all(agent->peers, now_us);
	lug_shards_release_all(agent->shards, now_us);
	return G_SOURCE_CONTINUE;
}

static void create_owner_components(struct queue_agent *agent)
{
	struct lug_fleet_hooks hooks = {.lease_ended = on_worker_lost,
					.unlisted_us = worker_unlisted_us,
					.unstopped_us = worker_unstopped_us,
					.lease_left = on_lease_left,
					.data = agent};
	struct lug_shard_env env = {.ctx = agent->ctx,
				    .store = agent->store,
				    .link = agent->link,
				    .config = agent->config};

	agent->fleet = lug_fleet_new(agent->ctx, agent->store, &hooks);
	env.fleet = agent->fleet;
	agent->shards = lug_shards_new(&env, agent->shard_map, agent->peers);
}

static gboolean create_components(struct queue_agent *agent, struct lug_error *err)
{
	struct lug_ctx *ctx = agent->ctx;
	guint32 shards = (guint32)ctx->settings->shards;

	agent->link = lug_link_new(ctx, on_envelope, agent, err);
	if (!agent->link)
		return FALSE;
	agent->store = agent->adapter->new_store(ctx, LUG_STORE_JOBS);
	agent->config_store = agent->adapter->new_store(ctx, LUG_STORE_CONFIG);
	agent->shard_map = lug_shard_map_new(ctx, agent->store, shards, on_owner_changed, agent);
	agent->config =
		lug_config_new(ctx, agent->config_store, agent->link, &agent->adapter->config);
	agent->peers = lug_peers_new(ctx, agent->link, send_beat, agent);
	agent->executor = lug_executor_new(ctx, agent->store, agent->adapter->new_worker(ctx),
					   shards, send_to_owner, agent);
	lug_executor_set_evacuation(agent->executor, lug_config_evacuation(agent->config));
	create_owner_components(agent);
	agent->http_server = lug_daemon_http_server_new(ctx, is_ready, agent, err);
	if (!agent->http_server)
		return FALSE;
	agent->worker_server = agent->adapter->serve_worker(ctx, agent->executor, err);
	return agent->worker_server != NULL;
}

static void free_components(struct queue_agent *agent)
{
	/* Freeing a client runs the main loop again; callbacks must not start new work then. */
	agent->freeing = TRUE;
	if (agent->executor)
		lug_executor_close(agent->executor);
	if (agent->shards)
		lug_shards_close(agent->shards);
	if (agent->worker_server)
		agent->adapter->stop_worker(agent->worker_server);
	lug_daemon_http_server_free(agent->http_server);
	lug_store_free(agent->store);
	lug_store_free(agent->config_store);
	lug_shards_free(agent->shards);
	lug_fleet_free(agent->fleet);
	lug_executor_free(agent->executor);
	lug_peers_free(agent->peers);
	lug_config_free(agent->config);
	lug_shard_map_free(agent->shard_map);
	lug_link_free(agent->link);
	lug_ctx_free(agent->ctx);
}

static void run_loop(struct queue_agent *agent)
{
	struct lug_ctx *ctx = agent->ctx;

	lug_loop_install(&agent->hooks);
	lug_info(ctx, "started", "role", "agent", "inner", ctx->settings->inner, "worker",
		 ctx->settings->worker_url);
	on_tick(agent);
	lug_loop_run(&agent->hooks);
	lug_info(ctx, "stopped", "cut", "0");
}

/**
 * lug_queue_agent_run - run an agent for job queues until SIGTERM or SIGINT
 * @settings: checked settings, owned by the agent
 * @path: file that they came from, read again on SIGHUP
 * @adapter: functions of the platform
 *
 * Return: exit code.
 */
int lug_queue_agent_run(struct lug_settings *settings, const char *path,
			const struct lug_adapter *adapter)
{
	struct queue_agent agent = {.ctx = lug_ctx_new(settings, stdout), .adapter = adapter};
	struct lug_error err = {0};
	int code = LUG_DAEMON_EXIT_OK;

	agent.hooks =
		(struct lug_loop_hooks){agent.ctx, path, TICK_MS, on_tick, on_stop, &agent, 0};
	if (create_components(&agent, &err)) {
		run_loop(&agent);
	} else {
		code = LUG_DAEMON_EXIT_BAD_SETTINGS;
		lug_err(agent.ctx, "settings_refused", "problem", err.msg, "remedy", err.remedy);
	}
	free_components(&agent);
	return code;
}
