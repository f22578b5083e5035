#include "daemon/entry_priv.h"

#include <string.h>

#define GATHER_US (1000 * 1000)
#define EVENTS_PER_AGENT 2000

/* Collects the events of all agents that announce themselves here. */
struct gather {
	struct lug_list node;
	struct lug_api_call *api;
	guint64 id;
	guint asked;
	guint answered;
	gint64 until_us;
	gint64 dropped;
	JsonArray *events;
};

static void finish(struct gather *gather)
{
	JsonObject *out = json_object_new();

	lug_list_remove(&gather->node);
	json_object_set_array_member(out, "events", gather->events);
	json_object_set_int_member(out, "asked", gather->asked);
	json_object_set_int_member(out, "answered", gather->answered);
	json_object_set_int_member(out, "dropped", gather->dropped);
	lug_answer_json(gather->api->msg, 200, out);
	lug_api_end(gather->api);
	g_free(gather);
}

/**
 * lug_gather_reply - take in the events of one agent
 * @entry: entry
 * @from: agent
 * @reply: its events
 */
void lug_gather_reply(struct lug_entry *entry, const char *from, const Lug__EventsReply *reply)
{
	LUG_LIST_FOREACH_SAFE (&entry->gathers, pos, tmp) {
		struct gather *gather = LUG_CONTAINER_OF(pos, struct gather, node);

		if (gather->id != reply->id)
			continue;
		for (size_t i = 0; i < reply->n_events; i++) {
			const Lug__Event *event = reply->events[i];

			json_array_add_object_element(
				gather->events, lug_event_json(from, event->stamp, event->type,
							       event->subject, event->detail));
		}
		gather->dropped += (gint64)reply->dropped;
		if (++gather->answered >= gather->asked)
			finish(gather);
	}
}

/**
 * lug_gather_tick - answer what has waited long enough
 * @entry: entry
 * @now_us: present time
 */
void lug_gather_tick(struct lug_entry *entry, gint64 now_us)
{
	LUG_LIST_FOREACH_SAFE (&entry->gathers, pos, tmp) {
		struct gather *gather = LUG_CONTAINER_OF(pos, struct gather, node);

		if (now_us >= gather->until_us)
			finish(gather);
	}
}

static void ask_agents(struct gather *gather, guint64 since, const char *match)
{
	struct lug_entry *entry = gather->api->entry;
	GPtrArray *agents = lug_registry_agents(entry->registry);
	Lug__EventsQuery query = LUG__EVENTS_QUERY__INIT;
	LUG_ENVELOPE(env, EVENTS_QUERY, events_query, &query);

	query.has_id = 1;
	query.id = gather->id;
	query.has_since = 1;
	query.since = since;
	query.match = (char *)match;
	query.has_limit = 1;
	query.limit = EVENTS_PER_AGENT;
	for (guint i = 0; i < agents->len; i++) {
		struct lug_agent *agent = g_ptr_array_index(agents, i);

		if (lug_registry_live(entry->registry, agent, lug_now_us()) &&
		    lug_link_send(entry->link, &agent->route, &env))
			gather->asked++;
	}
}

/**
 * lug_api_timeline - serve /timeline?since=STAMP&match=TEXT&scope=local|agents
 * @api: call
 */
void lug_api_timeline(struct lug_api_call *api)
{
	const char *since_text = lug_api_param(api, "since");
	const char *match = lug_api_param(api, "match");
	const char *scope = lug_api_param(api, "scope");
	guint64 since = since_text ? g_ascii_strtoull(since_text, NULL, 10) : 0;
	JsonObject *local;
	struct gather *gather;

	if (!api->operator) {
		lug_api_fail(api, LUG_DENIED, "use an operator's token",
			     "a team may not read the time line of all teams");
		return;
	}
	local = lug_local_events(api->entry->ctx, since, match);
	if (scope && !strcmp(scope, "local")) {
		lug_answer_json(api->msg, 200, local);
		lug_api_end(api);
		return;
	}
	gather = g_new0(struct gather, 1);
	gather->api = api;
	gather->id = ++api->entry->next_gather;
	gather->until_us = lug_now_us() + GATHER_US;
	gather->events = json_array_ref(lug_json_arr(local, "events"));
	gather->dropped = lug_json_int(local, "dropped", 0);
	json_object_unref(local);
	lug_list_append(&api->entry->gathers, &gather->node);
	ask_agents(gather, since, match);
	if (!gather->asked)
		finish(gather);
}
