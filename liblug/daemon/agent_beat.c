#include "daemon/agent_priv.h"

#include <string.h>

#include "wire/pack.h"

/* Most events in one answer. Entries request the same number (api_timeline.c). */
#define EVENTS_PER_AGENT_MAX 2000
/* Heartbeats per second that an owner accepts from all agents together; sets their interval. */
#define BEATS_PER_S 8.0
#define BEAT_INTERVAL_MAX_MS 60000
/*
 * Longest time until a requested list of held tasks is sent. Requests within this time share
 * one heartbeat.
 */
#define HELD_LIST_DELAY_MAX_US (200 * 1000)

static void fill_held_tasks(struct agent_daemon *agent, struct lug_arena *arena,
			    const struct lug_peer *peer, Lug__Beat *beat)
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

static void fill_beat(struct agent_daemon *agent, Lug__Beat *beat, Lug__Resources *room,
		      Lug__Resources *capacity)
{
	const struct lug_settings *settings = agent->ctx->settings;
	const struct lug_admit_state *load = lug_serve_load(agent->serve);
	struct lug_resources free_room = lug_runner_room(agent->runner);
	struct lug_resources total = lug_runner_capacity(agent->runner);

	lug_pack_resources(room, &free_room);
	lug_pack_resources(capacity, &total);
	beat->service = settings->service_name;
	beat->zone = settings->zone;
	beat->rack = settings->rack;
	beat->region = settings->region;
	beat->address = settings->advertise;
	LUG_SET(beat, slots, (guint32)load->slots_max);
	LUG_SET(beat, connections, (guint32)load->requests_max);
	LUG_SET(beat, busy, (guint32)load->busy);
	LUG_SET(beat, queued, (guint32)load->queued);
	LUG_SET(beat, service_us, (guint32)load->service_us);
	LUG_SET(beat, leaving, agent->stopping || lug_runner_is_draining(agent->runner));
	LUG_SET(beat, worker_epoch, lug_lease_epoch(agent->lease));
	LUG_SET(beat, tasks, lug_runner_count(agent->runner));
	beat->room = room;
	beat->capacity = capacity;
}

/**
 * agent_send_beat - send a heartbeat with this agent's state to one peer
 * @data: agent
 * @peer: receiver
 *
 * Return: FALSE when the connection can't take the message.
 */
gboolean agent_send_beat(void *data, struct lug_peer *peer)
{
	struct agent_daemon *agent = data;
	gboolean sent;
	struct lug_arena *arena = lug_arena_new();
	GPtrArray *queues = lug_owners_held_teams(agent->owners);
	Lug__Beat beat = LUG__BEAT__INIT;
	Lug__Resources room;
	Lug__Resources capacity;
	struct lug_route route;
	LUG_ENVELOPE(env, BEAT, beat, &beat);

	fill_beat(agent, &beat, &room, &capacity);
	LUG_SET(&beat, generation, lug_dial_generation(peer->dial));
	LUG_SET(&beat, interval_ms, (guint32)lug_peers_interval_ms(agent->peers, peer));
	if (peer->roles & LUG_PEER_ENTRY) {
		beat.n_queues = queues->len;
		beat.queues = (char **)queues->pdata;
	}
	if (peer->roles & LUG_PEER_OWNER)
		fill_held_tasks(agent, arena, peer, &beat);
	lug_dial_route(peer->dial, &route);
	sent = lug_link_send(agent->link, &route, &env);
	if (sent)
		peer->list_held = FALSE;
	g_ptr_array_unref(queues);
	lug_arena_free(arena);
	return sent;
}

static void ack_beat(struct agent_daemon *agent, const struct lug_route *route, gboolean list_held)
{
	Lug__QueueEpoch epochs[LUG_TEAMS_MAX];
	Lug__QueueEpoch *epoch_ptrs[LUG_TEAMS_MAX];
	Lug__BeatAck ack = LUG__BEAT_ACK__INIT;
	GPtrArray *teams = lug_owners_held_teams(agent->owners);
	LUG_ENVELOPE(env, BEAT_ACK, beat_ack, &ack);

	LUG_SET(&ack, interval_ms, lug_registry_interval_ms(agent->registry, BEATS_PER_S));
	if (list_held)
		LUG_SET(&ack, list_held, 1);
	for (guint i = 0; i < teams->len && i < LUG_TEAMS_MAX; i++) {
		const char *team = g_ptr_array_index(teams, i);

		lug__queue_epoch__init(&epochs[i]);
		epochs[i].queue = (char *)team;
		LUG_SET(&epochs[i], epoch, lug_owner_epoch(lug_owners_find(agent->owners, team)));
		epoch_ptrs[i] = &epochs[i];
		ack.n_queues = i + 1;
	}
	ack.queues = epoch_ptrs;
	lug_link_send(agent->link, route, &env);
	g_ptr_array_unref(teams);
}

/**
 * agent_on_beat - process an agent's heartbeat as an owner of queues, and acknowledge it
 * @agent: receiver
 * @route: where the heartbeat came from
 * @env: envelope with the heartbeat
 * @now_us: current time
 */
void agent_on_beat(struct agent_daemon *agent, const struct lug_route *route,
		   const Lug__Envelope *env, gint64 now_us)
{
	struct lug_agent *sender = lug_registry_on_beat(agent->registry, route, env, now_us);
	gboolean list_held = FALSE;

	for (size_t i = 0; sender && i < env->beat->n_held; i++) {
		const Lug__QueueHeld *held = env->beat->held[i];
		struct lug_owner *owner = lug_owners_find(agent->owners, held->queue);

		/* If the attempts differ, the owner requests a list of them. */
		if (owner && !lug_owner_reconcile(owner, sender, held, now_us))
			list_held = TRUE;
	}
	ack_beat(agent, route, list_held);
}

/**
 * agent_on_beat_ack - process a peer's answer to a heartbeat
 * @agent: receiver
 * @route: where the answer came from
 * @ack: requested interval, known entries, epochs of owned queues
 * @now_us: current time
 */
void agent_on_beat_ack(struct agent_daemon *agent, const struct lug_route *route,
		       const Lug__BeatAck *ack, gint64 now_us)
{
	struct lug_dial *dial = lug_link_find_dial(agent->link, route);
	struct lug_peer *peer = dial ? lug_dial_data(dial) : NULL;

	if (peer && ack->has_interval_ms)
		peer->interval_ms = MIN(ack->interval_ms, BEAT_INTERVAL_MAX_MS);
	if (peer && ack->list_held) {
		peer->list_held = TRUE;
		/* The next heartbeat becomes due within HELD_LIST_DELAY_MAX_US. */
		peer->interval_start_us =
			MIN(peer->interval_start_us,
			    now_us - lug_peers_interval_ms(agent->peers, peer) * 1000 +
				    HELD_LIST_DELAY_MAX_US);
	}
	for (size_t i = 0; i < ack->n_entries; i++)
		if (lug_address_parse(ack->entries[i], NULL, NULL))
			lug_peers_add(agent->peers, ack->entries[i], LUG_PEER_ENTRY, now_us);
	for (size_t i = 0; i < ack->n_queues; i++) {
		const Lug__QueueEpoch *queue = ack->queues[i];

		if (!queue->queue || !dial)
			continue;
		lug_runner_update_epoch(agent->runner, queue->queue, queue->epoch);
		lug_owners_update(agent->owners, queue->queue, queue->epoch, lug_dial_address(dial),
				  now_us);
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

/**
 * agent_on_events_query - answer an entry's query for events
 * @agent: receiver
 * @route: where the query came from
 * @query: filter and maximum number of events
 */
void agent_on_events_query(struct agent_daemon *agent, const struct lug_route *route,
			   const Lug__EventsQuery *query)
{
	struct lug_arena *arena = lug_arena_new();
	Lug__EventsReply reply = LUG__EVENTS_REPLY__INIT;
	guint limit = CLAMP(query->limit, 1, EVENTS_PER_AGENT_MAX);
	struct event_reply out = {arena, &reply, limit};
	LUG_ENVELOPE(env, EVENTS_REPLY, events_reply, &reply);

	reply.events = lug_arena_alloc(arena, sizeof(*reply.events) * limit);
	LUG_SET(&reply, id, query->id);
	LUG_SET(&reply, dropped, lug_timeline_overwritten(agent->ctx->timeline));
	lug_timeline_foreach(agent->ctx->timeline, query->since, query->match, pack_event, &out);
	lug_link_send(agent->link, route, &env);
	lug_arena_free(arena);
}
