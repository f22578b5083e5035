#ifndef LUG_WORKFLOW_FLEET_PRIV_H
#define LUG_WORKFLOW_FLEET_PRIV_H

#include "workflow/fleet.h"

/*
 * Shared by the files that implement struct lug_fleet: fleet.c (workers and their heartbeats) and
 * fleet_lease.c (leases of workers whose runs are not listed).
 */

/* Three heartbeat intervals; no tasks are placed on a worker whose agent has been silent longer. */
#define FLEET_SILENT_US (1500 * 1000)

/**
 * struct lug_fleet - workers known to this process
 * @ctx: context
 * @store: client of the table service
 * @hooks: callbacks to the owners
 * @list: array of struct lug_fleet_worker *, owned
 * @by_name: the same workers by the name of their agent
 * @partitions: clients for the partitions with the workers' leases, by name of the agent
 * @interference: average of what the agents report
 * @next_average_us: earliest time of the next averaging
 * @estimates: run times learned by the owners of this process
 */
struct lug_fleet {
	struct lug_ctx *ctx;
	struct lug_store *store;
	struct lug_fleet_hooks hooks;
	GPtrArray *list;
	GHashTable *by_name;
	GHashTable *partitions;
	struct lug_interference *interference;
	gint64 next_average_us;
	struct lug_estimates *estimates;
};

gint64 fleet_unlisted_us(const struct lug_fleet *fleet, const struct lug_fleet_worker *worker,
			 gint64 now_us);
void fleet_check_lease(struct lug_fleet *fleet, struct lug_fleet_worker *worker, gint64 now_us);

#endif
