#ifndef LUG_WORKFLOW_FLEET_PRIV_H
#define LUG_WORKFLOW_FLEET_PRIV_H

#include "workflow/fleet.h"

/*
 * Shared by the files that implement struct lug_fleet: fleet.c (workers and their heartbeats),
 * fleet_lease.c (leases of workers whose runs are not listed) and fleet_reserve.c (reservations and
 * forecasts of room).
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
 * @pools: array of struct lug_fleet_pool
 * @forecast_wanted_us: time until which heartbeats are to contain forecasts
 * @n_reservations: reservations that the owners of this process have asked for
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
	GArray *pools;
	gint64 forecast_wanted_us;
	guint n_reservations;
};

gint64 fleet_unlisted_us(const struct lug_fleet *fleet, const struct lug_fleet_worker *worker,
			 gint64 now_us);
void fleet_apply_lookahead(const struct lug_fleet *fleet, struct lug_fleet_worker *worker,
			   const Lug__WorkerBeat *beat, gint64 now_us);
void fleet_check_lease(struct lug_fleet *fleet, struct lug_fleet_worker *worker, gint64 now_us);

#endif
