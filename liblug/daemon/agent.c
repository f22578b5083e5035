#include "daemon/agent.h"

#include <glib-unix.h>
#include <signal.h>
#include <string.h>

#include "daemon/reload.h"
#include "daemon/status_server.h"
#include "job/bidder.h"
#include "job/owners.h"
#include "job/runner.h"
#include "member/lease.h"
#include "member/peers.h"
#include "member/roster.h"
#include "route/serve.h"
#include "team/sync.h"
#include "wire/pack.h"

#define TICK_MS 50
#define ENTRY_SCAN_MS 4000
/* Beats of all agents together that an owner asks for. */
#define BEATS_PER_S 8.0
#define LEAVE_NOTICE_MS 300
#define INTERVAL_MAX_MS 60000
/* A list of held tasks that an owner asks for is sent after this time. */
#define LIST_SOON_US (200 * 1000)
/* Rows need not be released when the table service is down. */
#define RELEASE_US (2 * 1000 * 1000)

struct agent {
	struct lug_ctx *ctx;
	const char *path;
	struct lug_link *link;
	struct lug_store *store;
	struct lug_sync *sync;
	struct lug_http *worker;
	struct lug_http *backend;
	struct lug_lease *lease;
	struct lug_peers *peers;
	struct lug_roster *roster;
	struct lug_owners *owners;
	struct lug_runner *runner;
	struct lug_bidder *bidder;
	struct lug_serve *serve;
	struct lug_control control;
	struct lug_status_server *server;
	gint64 next_entries_us;
	gboolean reading_entries;
	guint64 drain_stamp;
	gboolean stopping;
	gint64 stop_at_us;
	gint64 stop_by_us;
	gboolean released;
	gboolean closed;
	int exit_code;
};

static void held_lists(struct agent *agent, struct lug_arena *arena, const struct lug_peer *peer,
		       Lug__Beat *beat)
{
	const struct lug_limits *limits = lug_sync_limits(agent->sync);
	guint n = limits ? limits->teams->len : 0;

	beat->held = lug_arena_alloc(arena, sizeof(*beat->held) * (n + 1));
	for (guint i = 0; i < n; i++) {
		const char *team = g_array_index(limits->teams, struct lug_team, i).name;
		const char *address = lug_owners_address(agent->owners, team);

		if (!address || strcmp(address, lug_dial_address(peer->dial)) != 0)
			continue;
		beat->held[beat->n_held] = lug_arena_alloc(arena, sizeof(Lug__QueueHeld));
		lug_runner_fill_held(agent->runner, arena, team, peer->list_held,
				     beat->held[beat->n_held++]);
	}
}

static void describe(struct agent *agent, Lug__Beat *beat, Lug__Resources *room,
		     Lug__Resources *capacity)
{
	const struct lug_settings *settings = agent->ctx->settings;
	const struct lug_admit *load = lug_serve_load(agent->serve);
	struct lug_resources free_room = lug_runner_room(agent->runner);
	struct lug_resources all = lug_runner_capacity(agent->runner);

	lug_pack_resources(room, &free_room);
	lug_pack_resources(capacity, &all);
	beat->service = settings->service_name;
	beat->zone = settings->zone;
	beat->rack = settings->rack;
	beat->region = settings->region;
	beat->address = settings->advertise;
	LUG_SET(beat, slots, (guint32)load->slots);
	LUG_SET(beat, connections, (guint32)load->connections);
	LUG_SET(beat, busy, (guint32)load->busy);
	LUG_SET(beat, queued, (guint32)load->queued);
	LUG_SET(beat, service_us, (guint32)load->service_us);
	LUG_SET(beat, leaving, agent->stopping || lug_runner_draining(agent->runner));
	LUG_SET(beat, worker_epoch, lug_lease_epoch(agent->lease));
	LUG_SET(beat, tasks, lug_runner_count(agent->runner));
	beat->room = room;
	beat->capacity = capacity;
}

static gboolean send_beat(void *data, struct lug_peer *peer)
{
	struct agent *agent = data;
	gboolean sent;
	struct lug_arena *arena = lug_arena_new();
	GPtrArray *queues = lug_owners_names(agent->owners);
	Lug__Beat beat = LUG__BEAT__INIT;
	Lug__Resources room;
	Lug__Resources capacity;
	struct lug_route route;
	LUG_ENVELOPE(env, BEAT, beat, &beat);

	describe(agent, &beat, &room, &capacity);
	LUG_SET(&beat, generation, lug_dial_generation(peer->dial));
	LUG_SET(&beat, interval_ms, (guint32)lug_peers_interval_ms(agent->peers, peer));
	if (peer->roles & LUG_PEER_ENTRY) {
		beat.n_queues = queues->len;
		beat.queues = (char **)queues->pdata;
	}
	if (peer->roles & LUG_PEER_OWNER)
		held_lists(agent, arena, peer, &beat);
	lug_dial_route(peer->dial, &route);
	sent = lug_link_send(agent->link, &route, &env);
	if (sent)
		peer->list_held = FALSE;
	g_ptr_array_unref(queues);
	lug_arena_free(arena);
	return sent;
}

static void ack_beat(struct agent *agent, const struct lug_route *route, gboolean list_held)
{
	Lug__QueueEpoch epochs[LUG_TEAMS_MAX];
	Lug__QueueEpoch *list[LUG_TEAMS_MAX];
	Lug__BeatAck ack = LUG__BEAT_ACK__INIT;
	GPtrArray *names = lug_owners_names(agent->owners);
	LUG_ENVELOPE(env, BEAT_ACK, beat_ack, &ack);

	LUG_SET(&ack, interval_ms, lug_roster_interval_ms(agent->roster, BEATS_PER_S));
	if (list_held)
		LUG_SET(&ack, list_held, 1);
	for (guint i = 0; i < names->len && i < LUG_TEAMS_MAX; i++) {
		const char *team = g_ptr_array_index(names, i);

		lug__queue_epoch__init(&epochs[i]);
		epochs[i].queue = (char *)team;
		LUG_SET(&epochs[i], epoch, lug_owner_epoch(lug_owners_find(agent->owners, team)));
		list[i] = &epochs[i];
		ack.n_queues = i + 1;
	}
	ack.queues = list;
	lug_link_send(agent->link, route, &env);
	g_ptr_array_unref(names);
}

static void on_beat(struct agent *agent, const struct lug_route *route, const Lug__Envelope *env,
		    gint64 now_us)
{
	struct lug_agent *from = lug_roster_beat(agent->roster, route, env, now_us);
	gboolean list_held = FALSE;

	for (size_t i = 0; from && i < env->beat->n_held; i++) {
		const Lug__QueueHeld *held = env->beat->held[i];
		struct lug_owner *owner = lug_owners_find(agent->owners, held->queue);

		if (owner && !lug_owner_held_tasks(owner, from, held, now_us))
			list_held = TRUE;
	}
	ack_beat(agent, route, list_held);
}

static void on_beat_ack(struct agent *agent, const struct lug_route *route, const Lug__BeatAck *ack,
			gint64 now_us)
{
	struct lug_dial *dial = lug_link_dial(agent->link, route);
	struct lug_peer *peer = dial ? lug_dial_owner(dial) : NULL;

	if (peer && ack->has_interval_ms)
		peer->interval_ms = MIN(ack->interval_ms, INTERVAL_MAX_MS);
	if (peer && ack->list_held) {
		peer->list_held = TRUE;
		peer->sent_us = MIN(peer->sent_us,
				    now_us - lug_peers_interval_ms(agent->peers, peer) * 1000 +
					    LIST_SOON_US);
	}
	for (size_t i = 0; i < ack->n_entries; i++)
		if (lug_address_parse(ack->entries[i], NULL, NULL))
			lug_peers_add(agent->peers, ack->entries[i], LUG_PEER_ENTRY, now_us);
	for (size_t i = 0; i < ack->n_queues; i++) {
		const Lug__QueueEpoch *queue = ack->queues[i];

		if (!queue->queue || !dial)
			continue;
		lug_runner_queue_epoch(agent->runner, queue->queue, queue->epoch);
		lug_owners_told(agent->owners, queue->queue, queue->epoch, lug_dial_address(dial),
				now_us);
	}
}

static void on_want(struct agent *agent, const struct lug_route *route, const Lug__Want *want,
		    gint64 now_us)
{
	struct lug_dial *dial = lug_link_dial(agent->link, route);

	if (dial && want->queue)
		lug_owners_told(agent->owners, want->queue, want->epoch, lug_dial_address(dial),
				now_us);
	lug_bidder_want(agent->bidder, want, now_us);
}

static void on_events_query(struct agent *agent, const struct lug_route *route,
			    const Lug__EventsQuery *query);

static void on_start(struct agent *agent, const struct lug_route *route, const Lug__Start *start,
		     gint64 now_us)
{
	lug_runner_start(agent->runner, route, start, now_us);
	lug_bidder_started(agent->bidder, start->queue, now_us);
}

static void set_draining(struct agent *agent, gboolean drain)
{
	gint64 now_us = lug_now_us();

	if (lug_runner_draining(agent->runner) == drain)
		return;
	lug_runner_drain(agent->runner, drain);
	lug_serve_leave(agent->serve, drain);
	lug_gauge(agent->ctx, DRAINING, drain);
	lug_timeline_add(agent->ctx->timeline, LUG_EV_DRAIN, agent->ctx->settings->name, "%s",
			 drain ? "leaving" : "back");
	lug_info(agent->ctx, drain ? "draining" : "undrained", "worker",
		 agent->ctx->settings->name);
	lug_peers_beat_all(agent->peers, now_us);
}

/* Orders come through several entries; the latest given holds, whenever it arrives. */
static void on_drain(struct agent *agent, const Lug__Envelope *env)
{
	if (g_strcmp0(env->drain->worker, agent->ctx->settings->name) ||
	    env->hlc <= agent->drain_stamp)
		return;
	agent->drain_stamp = env->hlc;
	if (!agent->stopping)
		set_draining(agent, !env->drain->undo);
}

static void for_owner(struct agent *agent, const struct lug_route *route, const Lug__Envelope *env,
		      gint64 now_us)
{
	struct lug_owner *owner;

	switch (env->body_case) {
	case LUG__ENVELOPE__BODY_OFFER:
		owner = lug_owners_find(agent->owners, env->offer->queue);
		if (owner)
			lug_owner_offer(owner, route, env->from, env->offer, now_us);
		return;
	case LUG__ENVELOPE__BODY_START_REPLY:
		owner = lug_owners_find(agent->owners, env->start_reply->queue);
		if (owner)
			lug_owner_start_reply(owner, env->from, env->start_reply, now_us);
		return;
	case LUG__ENVELOPE__BODY_REPORT:
		owner = lug_owners_find(agent->owners, env->report->queue);
		if (owner)
			lug_owner_report(owner, route, env->from, env->report, now_us);
		return;
	case LUG__ENVELOPE__BODY_POKE:
		owner = lug_owners_find(agent->owners, env->poke->queue);
		if (owner)
			lug_owner_poke(owner, now_us);
		return;
	default:
		return;
	}
}

static void on_envelope(void *data, const struct lug_route *route, const Lug__Envelope *env)
{
	struct agent *agent = data;
	gint64 now_us = lug_now_us();

	if (agent->closed)
		return;
	lug_peers_heard(agent->peers, route, now_us);
	if (lug_sync_envelope(agent->sync, route, env))
		return;
	switch (env->body_case) {
	case LUG__ENVELOPE__BODY_REQUEST:
		lug_serve_request(agent->serve, route, env, now_us);
		return;
	case LUG__ENVELOPE__BODY_CANCEL:
		lug_serve_cancel(agent->serve, route, env, now_us);
		return;
	case LUG__ENVELOPE__BODY_BEAT:
		on_beat(agent, route, env, now_us);
		return;
	case LUG__ENVELOPE__BODY_BEAT_ACK:
		on_beat_ack(agent, route, env->beat_ack, now_us);
		return;
	case LUG__ENVELOPE__BODY_WANT:
		on_want(agent, route, env->want, now_us);
		return;
	case LUG__ENVELOPE__BODY_OFFER_REPLY:
		lug_bidder_reply(agent->bidder, env->offer_reply, now_us);
		return;
	case LUG__ENVELOPE__BODY_START:
		on_start(agent, route, env->start, now_us);
		return;
	case LUG__ENVELOPE__BODY_STOP:
		lug_runner_stop(agent->runner, env->stop, now_us);
		return;
	case LUG__ENVELOPE__BODY_REPORT_ACK:
		lug_runner_report_ack(agent->runner, env->report_ack);
		if (env->report_ack->want)
			on_want(agent, route, env->report_ack->want, now_us);
		return;
	case LUG__ENVELOPE__BODY_DRAIN:
		on_drain(agent, env);
		return;
	case LUG__ENVELOPE__BODY_EVENTS_QUERY:
		on_events_query(agent, route, env->events_query);
		return;
	default:
		for_owner(agent, route, env, now_us);
	}
}

struct event_reply {
	struct lug_arena *arena;
	Lug__EventsReply *reply;
	guint limit;
};

static void pack_event(const struct lug_event *event, void *data)
{
	struct event_reply *out = data;
	Lug__Event *item;

	if (out->reply->n_events >= out->limit)
		return;
	item = lug_arena_alloc(out->arena, sizeof(*item));
	lug__event__init(item);
	LUG_SET(item, stamp, event->stamp);
	LUG_SET(item, type, event->type);
	item->subject = (char *)event->subject;
	item->detail = (char *)event->detail;
	out->reply->events[out->reply->n_events++] = item;
}

static void on_events_query(struct agent *agent, const struct lug_route *route,
			    const Lug__EventsQuery *query)
{
	struct lug_arena *arena = lug_arena_new();
	Lug__EventsReply reply = LUG__EVENTS_REPLY__INIT;
	guint limit = CLAMP(query->limit, 1, 2000);
	struct event_reply out = {arena, &reply, limit};
	LUG_ENVELOPE(env, EVENTS_REPLY, events_reply, &reply);

	reply.events = lug_arena_alloc(arena, sizeof(*reply.events) * limit);
	LUG_SET(&reply, id, query->id);
	LUG_SET(&reply, dropped, lug_timeline_dropped(agent->ctx->timeline));
	lug_timeline_each(agent->ctx->timeline, query->since, query->match, pack_event, &out);
	lug_link_send(agent->link, route, &env);
	lug_arena_free(arena);
}

static void on_worker_state(void *data, JsonObject *state)
{
	lug_runner_adopt(((struct agent *)data)->runner, state);
}

static void on_lease_held(void *data)
{
	struct agent *agent = data;

	lug_info(agent->ctx, "worker_lease_held", "worker", agent->ctx->settings->name);
	lug_peers_beat_all(agent->peers, lug_now_us());
}

static void on_lease_lost(void *data)
{
	struct agent *agent = data;

	lug_err(agent->ctx, "superseded", "remedy",
		"another agent runs for this worker; stop one of the two");
	agent->exit_code = LUG_EXIT_SUPERSEDED;
	g_main_loop_quit(agent->ctx->loop);
}

static void on_worker_cleared(void *data)
{
	lug_runner_clear(((struct agent *)data)->runner);
}

static void get_capacity(void *data, struct lug_resources *out)
{
	*out = lug_runner_capacity(((struct agent *)data)->runner);
}

static void on_table(void *data)
{
	(void)data;
}

static void on_entries(void *data, enum lug_status status, const struct lug_row *rows, guint n_rows,
		       gboolean more)
{
	struct agent *agent = data;
	gint64 now_us = lug_now_us();

	(void)more;
	agent->reading_entries = FALSE;
	if (status != LUG_OK)
		return;
	for (guint i = 0; i < n_rows; i++) {
		const char *address = lug_json_str(rows[i].data, "address", "");

		if (*lug_json_str(rows[i].data, "owner", "") &&
		    lug_address_parse(address, NULL, NULL))
			lug_peers_add(agent->peers, address, LUG_PEER_ENTRY, now_us);
	}
}

static void read_entries(struct agent *agent, gint64 now_us)
{
	if (agent->reading_entries || now_us < agent->next_entries_us)
		return;
	agent->reading_entries = TRUE;
	agent->next_entries_us = now_us + lug_jitter(agent->ctx->rng, ENTRY_SCAN_MS) * 1000;
	lug_store_scan(agent->store, "entry", "", NULL, 100, on_entries, agent);
}

static void add_owner(void *data, const char *team, const char *address)
{
	struct agent *agent = data;
	struct lug_peer *peer = lug_peers_add(agent->peers, address, LUG_PEER_OWNER, lug_now_us());

	if (lug_runner_holds_queue(agent->runner, team))
		peer->active = TRUE;
}

static void update_owners(struct agent *agent)
{
	GPtrArray *list = lug_peers_list(agent->peers);
	gboolean *before = g_new0(gboolean, list->len + 1);
	guint known = list->len;

	for (guint i = 0; i < known; i++) {
		struct lug_peer *peer = g_ptr_array_index(list, i);

		before[i] = peer->active;
		peer->active = FALSE;
	}
	lug_owners_each_address(agent->owners, add_owner, agent);
	for (guint i = 0; i < known; i++) {
		struct lug_peer *peer = g_ptr_array_index(list, i);

		/* The owner must learn of the new time between beats before it misses one. */
		if (peer->active != before[i])
			peer->sent_us = 0;
	}
	g_free(before);
}

static void control_tasks(struct agent *agent, gint64 now_us)
{
	if (!agent->ctx->settings->colocate_enabled)
		return;
	switch (lug_control_step(&agent->control, now_us)) {
	case LUG_CONTROL_THROTTLE:
		lug_runner_throttle(agent->runner, agent->control.level);
		lug_timeline_add(agent->ctx->timeline, LUG_EV_TASK_THROTTLED,
				 agent->ctx->settings->name, "to %" G_GINT64_FORMAT " %%",
				 agent->control.level);
		return;
	case LUG_CONTROL_EVICT:
		lug_runner_evict_one(agent->runner, now_us);
		return;
	case LUG_CONTROL_KEEP:
		return;
	}
}

static void stop_step(struct agent *agent, gint64 now_us)
{
	gboolean late = now_us >= agent->stop_by_us;

	if (now_us < agent->stop_at_us)
		return;
	if (!late && (!lug_serve_idle(agent->serve) || !lug_runner_empty(agent->runner)))
		return;
	if (!agent->released) {
		agent->released = TRUE;
		agent->stop_by_us = now_us + RELEASE_US;
		lug_owners_leave(agent->owners, now_us);
		lug_lease_release(agent->lease, now_us);
		return;
	}
	if (!late && (lug_owners_count(agent->owners) || !lug_lease_released(agent->lease)))
		return;
	lug_count(agent->ctx, REQUESTS_CUT,
		  lug_serve_load(agent->serve)->busy + lug_serve_load(agent->serve)->queued);
	g_main_loop_quit(agent->ctx->loop);
}

static gboolean on_tick(gpointer data)
{
	struct agent *agent = data;
	gint64 now_us = lug_now_us();

	lug_lease_tick(agent->lease, now_us);
	lug_sync_tick(agent->sync, now_us);
	lug_owners_tick(agent->owners, now_us);
	lug_roster_expire(agent->roster, now_us);
	update_owners(agent);
	read_entries(agent, now_us);
	lug_peers_tick(agent->peers, now_us);
	lug_runner_tick(agent->runner, now_us);
	lug_bidder_tick(agent->bidder, now_us);
	lug_serve_tick(agent->serve, now_us);
	control_tasks(agent, now_us);
	if (agent->stopping)
		stop_step(agent, now_us);
	return G_SOURCE_CONTINUE;
}

static gboolean on_stop(gpointer data)
{
	struct agent *agent = data;
	gint64 now_us = lug_now_us();

	if (agent->stopping)
		return G_SOURCE_CONTINUE;
	agent->stopping = TRUE;
	agent->stop_at_us = now_us + LEAVE_NOTICE_MS * 1000;
	agent->stop_by_us = now_us + agent->ctx->settings->drain_ms * 1000;
	set_draining(agent, TRUE);
	return G_SOURCE_CONTINUE;
}

static gboolean on_hangup(gpointer data)
{
	struct agent *agent = data;

	if (lug_reload(agent->ctx, agent->path))
		agent->control.target_us = agent->ctx->settings->service_target_ms * 1000;
	return G_SOURCE_CONTINUE;
}

static gboolean is_ready(void *data)
{
	struct agent *agent = data;

	return !agent->stopping && lug_lease_epoch(agent->lease) != 0;
}

static void on_timeline(SoupServer *soup, SoupServerMessage *msg, const char *path,
			GHashTable *query, gpointer data)
{
	struct agent *agent = data;
	const char *since = query ? g_hash_table_lookup(query, "since") : NULL;
	const char *match = query ? g_hash_table_lookup(query, "match") : NULL;

	(void)soup;
	(void)path;
	lug_answer_json(
		msg, 200,
		lug_local_events(agent->ctx, since ? g_ascii_strtoull(since, NULL, 10) : 0, match));
}

static void build_jobs(struct agent *agent)
{
	struct lug_ctx *ctx = agent->ctx;
	struct lug_lease_hooks hooks = {.state = on_worker_state,
					.held = on_lease_held,
					.lost = on_lease_lost,
					.cleared = on_worker_cleared,
					.capacity = get_capacity,
					.data = agent};
	struct lug_owner_env owner_env = {ctx, agent->store, agent->link, agent->sync,
					  agent->roster};
	struct lug_runner_env env;

	agent->owners = lug_owners_new(&owner_env);
	agent->lease = lug_lease_new(ctx, agent->store, agent->worker, &hooks);
	env = (struct lug_runner_env){ctx,	    agent->link,   agent->worker,
				      agent->lease, agent->owners, agent->peers};
	agent->runner = lug_runner_new(&env);
	agent->bidder = lug_bidder_new(ctx, agent->runner, agent->lease);
}

static void build_parts(struct agent *agent)
{
	struct lug_ctx *ctx = agent->ctx;
	const struct lug_settings *settings = ctx->settings;
	gint64 now_us = lug_now_us();

	agent->store = lug_store_http_new(ctx);
	agent->worker = lug_http_new(settings->worker_url, NULL, g_free);
	agent->backend = lug_http_new(settings->service_url, NULL, NULL);
	lug_http_set_connections(agent->backend, (guint)settings->service_connections);
	agent->sync = lug_sync_new(ctx, agent->store, agent->link, on_table, agent);
	agent->roster = lug_roster_new(ctx);
	agent->peers = lug_peers_new(ctx, agent->link, send_beat, agent);
	build_jobs(agent);
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

static void free_parts(struct agent *agent)
{
	agent->closed = TRUE;
	lug_store_free(agent->store);
	lug_http_free(agent->worker);
	lug_http_free(agent->backend);
	lug_bidder_free(agent->bidder);
	lug_runner_free(agent->runner);
	lug_lease_free(agent->lease);
	lug_owners_free(agent->owners);
	lug_serve_free(agent->serve);
	lug_peers_free(agent->peers);
	lug_roster_free(agent->roster);
	lug_sync_free(agent->sync);
}

static int run_loop(struct agent *agent)
{
	struct lug_ctx *ctx = agent->ctx;
	guint tick;

	soup_server_add_handler(agent->server->soup, "/timeline", on_timeline, agent, NULL);
	build_parts(agent);
	tick = g_timeout_add(TICK_MS, on_tick, agent);
	g_unix_signal_add(SIGTERM, on_stop, agent);
	g_unix_signal_add(SIGINT, on_stop, agent);
	g_unix_signal_add(SIGHUP, on_hangup, agent);
	lug_timeline_add(ctx->timeline, LUG_EV_PROCESS_START, ctx->settings->name, "agent");
	lug_info(ctx, "started", "inner", ctx->settings->inner, "http", ctx->settings->http);
	g_main_loop_run(ctx->loop);
	lug_info(ctx, "stopped", "cut", ctx->metrics->counters[LUG_C_REQUESTS_CUT] ? "some" : "0");
	/* Signals stay handled, so that a second one does not end the process half-way. */
	g_source_remove(tick);
	free_parts(agent);
	return agent->exit_code;
}

/**
 * lug_agent_run - run an agent until it is told to stop
 * @settings: checked settings, owned by the agent
 * @path: file that they came from, read again on SIGHUP
 *
 * Return: exit code.
 */
int lug_agent_run(struct lug_settings *settings, const char *path)
{
	struct agent agent = {.ctx = lug_ctx_new(settings, stderr), .path = path};
	struct lug_error err;
	int code = LUG_EXIT_BAD_SETTINGS;

	agent.link = lug_link_new(agent.ctx, on_envelope, &agent, &err);
	if (agent.link)
		agent.server = lug_status_server_new(agent.ctx, is_ready, &agent, &err);
	if (agent.server)
		code = run_loop(&agent);
	else
		lug_err(agent.ctx, "settings_refused", "problem", err.msg, "remedy", err.remedy);
	lug_status_server_free(agent.server);
	lug_link_free(agent.link);
	lug_ctx_free(agent.ctx);
	return code;
}
