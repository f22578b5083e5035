#include "daemon/entry_priv.h"

#include <string.h>

#define EVENTS_TIMEOUT_US (1000 * 1000)
/* Events requested of each agent; an agent sends no more (agent_beat.c). */
#define EVENTS_PER_AGENT_MAX 2000

/* Query for the events of this entry and of the live agents that it knows. */
struct events_query {
	struct lug_list node;
	struct lug_api_call *api_call;
	guint64 id;
	guint asked;	/* agents that the query was sent to */
	guint answered; /* agents that have answered */
	gint64 deadline_us;
	gint64 dropped; /* events overwritten in this entry and the agents that answered */
	JsonArray *events;
};

static void answer_events(struct events_query *query)
{
	JsonObject *out = json_object_new();

	lug_list_remove(&query->node);
	json_object_set_array_member(out, "events", query->events);
	json_object_set_int_member(out, "asked", query->asked);
	json_object_set_int_member(out, "answered", query->answered);
	json_object_set_int_member(out, "dropped", query->dropped);
	lug_answer_json(query->api_call->msg, 200, out);
	lug_api_end(query->api_call);
	g_free(query);
}

/**
 * lug_events_query_on_reply - collect the events of one agent
 * @entry: entry
 * @from: name of the agent
 * @reply: events of the agent
 */
void lug_events_query_on_reply(struct lug_entry *entry, const char *from,
			       const Lug__EventsReply *reply)
{
	LUG_LIST_FOREACH_SAFE (&entry->events_queries, pos, tmp) {
		struct events_query *query = LUG_CONTAINER_OF(pos, struct events_query, node);

		if (query->id != reply->id)
			continue;
		for (size_t i = 0; i < reply->n_events; i++) {
			const Lug__Event *event = reply->events[i];

			json_array_add_object_element(
				query->events, lug_event_json(from, event->stamp, event->type,
							      event->subject, event->detail));
		}
		query->dropped += (gint64)reply->dropped;
		if (++query->answered >= query->asked)
			answer_events(query);
	}
}

/**
 * lug_events_query_tick - answer queries whose time-out has passed, with the events so far
 * @entry: entry
 * @now_us: current time
 */
void lug_events_query_tick(struct lug_entry *entry, gint64 now_us)
{
	LUG_LIST_FOREACH_SAFE (&entry->events_queries, pos, tmp) {
		struct events_query *query = LUG_CONTAINER_OF(pos, struct events_query, node);

		if (now_us >= query->deadline_us)
			answer_events(query);
	}
}

static void query_agents(struct events_query *query, guint64 since, const char *match)
{
	struct lug_entry *entry = query->api_call->entry;
	GPtrArray *agents = lug_registry_agents(entry->registry);
	Lug__EventsQuery msg = LUG__EVENTS_QUERY__INIT;
	LUG_ENVELOPE(env, EVENTS_QUERY, events_query, &msg);

	msg.has_id = 1;
	msg.id = query->id;
	msg.has_since = 1;
	msg.since = since;
	msg.match = (char *)match;
	msg.has_limit = 1;
	msg.limit = EVENTS_PER_AGENT_MAX;
	for (guint i = 0; i < agents->len; i++) {
		struct lug_agent *agent = g_ptr_array_index(agents, i);

		if (lug_registry_is_live(entry->registry, agent, lug_now_us()) &&
		    lug_link_send(entry->link, &agent->route, &env))
			query->asked++;
	}
}

/**
 * lug_api_timeline - serve /timeline?since=STAMP&match=TEXT&scope=local|agents
 * @api_call: call
 */
void lug_api_timeline(struct lug_api_call *api_call)
{
	const char *since_text = lug_api_param(api_call, "since");
	const char *match = lug_api_param(api_call, "match");
	const char *scope = lug_api_param(api_call, "scope");
	guint64 since = since_text ? g_ascii_strtoull(since_text, NULL, 10) : 0;
	JsonObject *local;
	struct events_query *query;

	if (!api_call->is_operator) {
		lug_api_fail(api_call, LUG_DENIED, "use an operator's token",
			     "a team may not read the time line of all teams");
		return;
	}
	local = lug_local_events(api_call->entry->ctx, since, match);
	if (scope && !strcmp(scope, "local")) {
		lug_answer_json(api_call->msg, 200, local);
		lug_api_end(api_call);
		return;
	}
	query = g_new0(struct events_query, 1);
	query->api_call = api_call;
	query->id = ++api_call->entry->last_events_query_id;
	query->deadline_us = lug_now_us() + EVENTS_TIMEOUT_US;
	query->events = json_array_ref(lug_json_arr(local, "events"));
	query->dropped = lug_json_int(local, "dropped", 0);
	json_object_unref(local);
	lug_list_append(&api_call->entry->events_queries, &query->node);
	query_agents(query, since, match);
	if (!query->asked)
		answer_events(query);
}
