#include "member/registry.h"

#include <string.h>

#include "wire/pack.h"

/* Heartbeat intervals without a message after which an agent is removed. */
#define REMOVE_AFTER_INTERVALS 20
/* Heartbeat intervals without a message after which an agent counts as silent. */
#define SILENT_AFTER_INTERVALS 3

/**
 * struct lug_registry - the agents known to one process
 * @ctx: context
 * @agents: array of struct lug_agent
 * @by_name: the same agents by name
 * @reported_silent: agents that were reported as silent and have not sent a heartbeat since
 */
struct lug_registry {
	struct lug_ctx *ctx;
	GPtrArray *agents;
	GHashTable *by_name;
	GHashTable *reported_silent;
};

static void agent_free(gpointer data)
{
	struct lug_agent *agent = data;

	g_strfreev(agent->queues);
	g_free(agent);
}

/**
 * lug_registry_new - create an empty registry
 * @ctx: context
 */
struct lug_registry *lug_registry_new(struct lug_ctx *ctx)
{
	struct lug_registry *registry = g_new0(struct lug_registry, 1);

	registry->ctx = ctx;
	registry->agents = g_ptr_array_new_with_free_func(agent_free);
	registry->by_name = g_hash_table_new(g_str_hash, g_str_equal);
	registry->reported_silent = g_hash_table_new(NULL, NULL);
	return registry;
}

/**
 * lug_registry_free - free a registry and its agents
 * @registry: registry, may be NULL
 */
void lug_registry_free(struct lug_registry *registry)
{
	if (!registry)
		return;
	g_hash_table_unref(registry->by_name);
	g_hash_table_unref(registry->reported_silent);
	g_ptr_array_unref(registry->agents);
	g_free(registry);
}

/**
 * lug_registry_find - find an agent by its name
 * @registry: registry
 * @name: name of the agent, which is also that of its worker
 *
 * Return: agent, owned by the registry, or NULL.
 */
struct lug_agent *lug_registry_find(const struct lug_registry *registry, const char *name)
{
	return g_hash_table_lookup(registry->by_name, name);
}

/**
 * lug_agent_is_silent - whether no heartbeat or reply has arrived for more than
 * SILENT_AFTER_INTERVALS heartbeat intervals
 * @agent: agent
 * @now_us: current time
 */
gboolean lug_agent_is_silent(const struct lug_agent *agent, gint64 now_us)
{
	return now_us - agent->heard_us > SILENT_AFTER_INTERVALS * agent->interval_us;
}

/**
 * lug_registry_interval_ms - time between heartbeats to request from each agent
 * @registry: registry
 * @beats_per_s: heartbeats per second from all agents together that this process can handle
 */
guint32 lug_registry_interval_ms(const struct lug_registry *registry, double beats_per_s)
{
	return (guint32)(1000 * registry->agents->len / beats_per_s);
}

/**
 * lug_registry_is_live - whether an agent is not silent, see lug_agent_is_silent()
 * @registry: not used
 * @agent: agent
 * @now_us: current time
 */
gboolean lug_registry_is_live(const struct lug_registry *registry, const struct lug_agent *agent,
			      gint64 now_us)
{
	(void)registry;
	return !lug_agent_is_silent(agent, now_us);
}

static void copy_name(char *out, const char *in)
{
	g_strlcpy(out, in ? in : "", LUG_NAME_MAX + 1);
}

static void copy_queues(struct lug_agent *agent, const Lug__Beat *beat)
{
	g_strfreev(agent->queues);
	agent->queues = g_new0(char *, beat->n_queues + 1);
	for (size_t i = 0; i < beat->n_queues; i++)
		agent->queues[i] = g_strdup(beat->queues[i]);
}

static void copy_beat(struct lug_agent *agent, const Lug__Beat *beat)
{
	copy_name(agent->service, beat->service);
	copy_name(agent->region, beat->region);
	copy_name(agent->zone, beat->zone);
	copy_name(agent->rack, beat->rack);
	copy_name(agent->address, beat->address);
	agent->slots_max = beat->slots;
	agent->requests_max = beat->connections;
	agent->busy = beat->busy;
	agent->queued = beat->queued;
	agent->service_us = beat->service_us;
	agent->leaving = beat->leaving;
	agent->worker_epoch = beat->worker_epoch;
	agent->tasks = beat->tasks;
	agent->interval_us = MAX((gint64)beat->interval_ms, 1) * 1000;
	agent->room = lug_unpack_resources(beat->room);
	agent->capacity = lug_unpack_resources(beat->capacity);
	copy_queues(agent, beat);
}

static struct lug_agent *find_or_add_agent(struct lug_registry *registry, const Lug__Envelope *env,
					   gint64 now_us)
{
	struct lug_agent *agent = lug_registry_find(registry, env->from);

	if (!agent) {
		agent = g_new0(struct lug_agent, 1);
		copy_name(agent->name, env->from);
		g_ptr_array_add(registry->agents, agent);
		g_hash_table_insert(registry->by_name, agent->name, agent);
	}
	if (env->incarnation == agent->incarnation)
		return agent;
	/*
	 * A restarted agent has a lower incarnation if its clock was set back. It is accepted
	 * once the former incarnation is silent.
	 */
	if (env->incarnation < agent->incarnation && lug_registry_is_live(registry, agent, now_us))
		return agent;
	agent->incarnation = env->incarnation;
	agent->generation = 0;
	agent->inflight = 0;
	agent->consecutive_failures = 0;
	agent->ejected_until_us = 0;
	agent->seen_us = now_us;
	lug_timeline_add(registry->ctx->timeline, LUG_EV_AGENT_SEEN, agent->name, "%s",
			 env->beat->zone ? env->beat->zone : "");
	return agent;
}

/**
 * lug_registry_on_beat - update or add an agent from its heartbeat
 * @registry: registry
 * @route: connection that the heartbeat came from
 * @env: envelope of the heartbeat
 * @now_us: current time
 *
 * Return: the agent, or NULL if the heartbeat was rejected because it comes from an older
 * incarnation or connection than the latest known.
 */
struct lug_agent *lug_registry_on_beat(struct lug_registry *registry, const struct lug_route *route,
				       const Lug__Envelope *env, gint64 now_us)
{
	struct lug_agent *agent = find_or_add_agent(registry, env, now_us);

	if (env->incarnation != agent->incarnation || env->beat->generation < agent->generation)
		return NULL;
	agent->generation = env->beat->generation;
	agent->route = *route;
	agent->limits_version = env->table_version;
	agent->heard_us = now_us;
	copy_beat(agent, env->beat);
	if (g_hash_table_remove(registry->reported_silent, agent))
		lug_timeline_add(registry->ctx->timeline, LUG_EV_AGENT_SEEN, agent->name, "again");
	return agent;
}

/* Reports a silent agent once until its next heartbeat. */
static void report_silent(struct lug_registry *registry, struct lug_agent *agent)
{
	if (!g_hash_table_add(registry->reported_silent, agent))
		return;
	lug_timeline_add(registry->ctx->timeline, LUG_EV_AGENT_SILENT, agent->name, "silent");
	lug_warn(registry->ctx, "peer_lost", "peer", agent->name);
}

/**
 * lug_registry_expire - report silent agents, remove those that stay silent
 * @registry: registry
 * @now_us: current time
 *
 * An agent with requests in flight stays, as their answers refer to it.
 */
void lug_registry_expire(struct lug_registry *registry, gint64 now_us)
{
	gint64 live = 0;

	for (guint i = registry->agents->len; i-- > 0;) {
		struct lug_agent *agent = g_ptr_array_index(registry->agents, i);

		if (lug_registry_is_live(registry, agent, now_us)) {
			live++;
			continue;
		}
		report_silent(registry, agent);
		if (now_us - agent->heard_us < REMOVE_AFTER_INTERVALS * agent->interval_us ||
		    agent->inflight)
			continue;
		g_hash_table_remove(registry->reported_silent, agent);
		g_hash_table_remove(registry->by_name, agent->name);
		g_ptr_array_remove_index_fast(registry->agents, i);
	}
	lug_gauge(registry->ctx, AGENTS_LIVE, live);
}

/**
 * lug_registry_agents - all known agents, silent ones included
 * @registry: registry
 *
 * Return: array of struct lug_agent, owned by the registry.
 */
GPtrArray *lug_registry_agents(const struct lug_registry *registry)
{
	return registry->agents;
}

/**
 * lug_registry_owner - find the agent whose heartbeats list a queue as its own
 * @registry: registry
 * @queue: team of the queue
 *
 * Return: of several agents the one with the latest heartbeat; NULL if there is none.
 */
struct lug_agent *lug_registry_owner(const struct lug_registry *registry, const char *queue)
{
	struct lug_agent *best = NULL;

	for (guint i = 0; i < registry->agents->len; i++) {
		struct lug_agent *agent = g_ptr_array_index(registry->agents, i);

		if (!agent->queues || !g_strv_contains((const char *const *)agent->queues, queue))
			continue;
		if (!best || agent->heard_us > best->heard_us)
			best = agent;
	}
	return best;
}
