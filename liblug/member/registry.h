#ifndef LUG_MEMBER_REGISTRY_H
#define LUG_MEMBER_REGISTRY_H

#include "core/context.h"
#include "core/list.h"
#include "core/resources.h"
#include "wire/link.h"

/**
 * struct lug_agent - an agent as described by its heartbeats and replies
 * @name: name of the agent, which is also that of its worker
 * @incarnation: incarnation of the agent's process
 * @generation: generation of its connection; heartbeats of older ones are rejected
 * @route: connection through which messages to it are sent
 * @service: service of its backend server
 * @region: region of its worker
 * @zone: availability zone of its worker
 * @rack: rack of its worker
 * @address: its address for internal connections
 * @slots_max: limit on requests running at the same time
 * @requests_max: limit on requests running or queued
 * @busy: requests running, as of the last heartbeat or reply
 * @queued: requests queued, as of the last heartbeat or reply
 * @service_us: moving average of the service time of its backend server, microseconds
 * @inflight: requests sent to it by this process that have no reply yet
 * @leaving: it accepts no new work
 * @room: free resources for batch tasks
 * @capacity: all resources for batch tasks, free or in use
 * @worker_epoch: epoch of its worker's lease, 0 while it holds none
 * @queues: teams whose queues it owns, NULL-terminated
 * @limits_version: version of the weights and limits that it applies
 * @seen_us: time of the first heartbeat of this incarnation
 * @heard_us: time of the last heartbeat or reply
 * @interval_us: time between its heartbeats, microseconds
 * @consecutive_failures: consecutive failed requests
 * @ejected_until_us: time until which requests avoid it after failures, see route/choose.c
 * @tasks: number of batch tasks that it runs
 */
struct lug_agent {
	char name[LUG_NAME_MAX + 1];
	guint64 incarnation;
	guint32 generation;
	struct lug_route route;
	char service[LUG_NAME_MAX + 1];
	char region[LUG_NAME_MAX + 1];
	char zone[LUG_NAME_MAX + 1];
	char rack[LUG_NAME_MAX + 1];
	char address[LUG_NAME_MAX + 1];
	guint32 slots_max;
	guint32 requests_max;
	guint32 busy;
	guint32 queued;
	guint32 service_us;
	guint32 inflight;
	gboolean leaving;
	struct lug_resources room;
	struct lug_resources capacity;
	guint64 worker_epoch;
	char **queues;
	guint64 limits_version;
	gint64 seen_us;
	gint64 heard_us;
	gint64 interval_us;
	guint32 consecutive_failures;
	gint64 ejected_until_us;
	guint32 tasks;
};

/**
 * struct lug_registry - the agents known to one process
 */
struct lug_registry;

struct lug_registry *lug_registry_new(struct lug_ctx *ctx);
void lug_registry_free(struct lug_registry *registry);
struct lug_agent *lug_registry_on_beat(struct lug_registry *registry, const struct lug_route *route,
				       const Lug__Envelope *env, gint64 now_us);
struct lug_agent *lug_registry_find(const struct lug_registry *registry, const char *name);
gboolean lug_registry_is_live(const struct lug_registry *registry, const struct lug_agent *agent,
			      gint64 now_us);
gboolean lug_agent_is_silent(const struct lug_agent *agent, gint64 now_us);
guint32 lug_registry_interval_ms(const struct lug_registry *registry, double beats_per_s);
void lug_registry_expire(struct lug_registry *registry, gint64 now_us);
GPtrArray *lug_registry_agents(const struct lug_registry *registry);
struct lug_agent *lug_registry_owner(const struct lug_registry *registry, const char *queue);

#endif
