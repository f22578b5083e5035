#include "schedule/pack.h"
#include "workflow/fleet_priv.h"
#include "workflow/run.h"

#include <string.h>

/* Interval at which the room of a pool is summed up again. */
#define POOL_INTERVAL_US (100 * 1000)
/* Pools summed up; others count as empty. A process places for the services of one deployment. */
#define POOLS_MAX 16
/* Agents send forecasts for this long after a task was last seen to wait for room. */
#define FORECAST_WANTED_US (3 * G_USEC_PER_SEC)

/* A reservation that this process was granted stays its own while the agent reports its size. */
static void apply_reservation(struct lug_fleet_worker *worker, const Lug__RoomReservation *wire,
			      gint64 now_us)
{
	struct lug_fleet_reservation *own = &worker->reservation;
	struct lug_resources size;

	if (!wire) {
		memset(own, 0, sizeof(*own));
		return;
	}
	lug_resources_from_wire(wire->size, &size);
	if (!own->held || own->shard != wire->shard || memcmp(&own->size, &size, sizeof(size)) != 0)
		own->holder = 0;
	own->held = TRUE;
	own->shard = wire->shard;
	own->size = size;
	own->ready_us = now_us + (gint64)wire->ready_in_ms * 1000;
	own->backfill = wire->backfill;
}

/**
 * fleet_apply_lookahead - apply the reservation and the forecast of a heartbeat
 */
void fleet_apply_lookahead(const struct lug_fleet *fleet, struct lug_fleet_worker *worker,
			   const Lug__WorkerBeat *beat, gint64 now_us)
{
	if (fleet->ctx->settings->schedule_lookahead_ms <= 0)
		return;
	apply_reservation(worker, beat->reservation, now_us);
	worker->refused_millicores = 0;
	worker->n_forecast = 0;
	for (gsize i = 0; i < beat->n_forecast && i < LUG_FORECAST_POINTS_MAX; i++) {
		struct lug_forecast_point *point = &worker->forecast[worker->n_forecast++];

		point->at_us = now_us + (gint64)beat->forecast[i]->in_ms * 1000;
		lug_resources_from_wire(beat->forecast[i]->room, &point->room);
	}
}

/**
 * lug_fleet_room_for - free resources of a worker for one task, as far as this process knows
 * @worker: worker
 * @holder: see lug_reservation_holder(), 0 for a task that holds no reservation
 * @promised_ms: time within which its run will almost surely end, in ms, 0 for not known
 * @now_us: current time
 * @out: set; members may be negative
 */
void lug_fleet_room_for(const struct lug_fleet_worker *worker, guint64 holder, gint64 promised_ms,
			gint64 now_us, struct lug_resources *out)
{
	const struct lug_fleet_reservation *reservation = &worker->reservation;

	lug_fleet_room(worker, out);
	if (!reservation->held || (holder && reservation->holder == holder))
		return;
	if (reservation->backfill && promised_ms > 0 &&
	    promised_ms <= (reservation->ready_us - now_us) / 1000)
		return;
	lug_reservation_subtract(out, &reservation->size);
}

static void sum_up_pool(const struct lug_fleet *fleet, struct lug_fleet_pool *pool, gint64 now_us)
{
	pool->summed_us = now_us;
	pool->n_workers = 0;
	pool->free_millicores = 0;
	pool->capacity_millicores = 0;
	for (guint i = 0; i < fleet->list->len; i++) {
		const struct lug_fleet_worker *worker = g_ptr_array_index(fleet->list, i);
		struct lug_resources room;

		if (!worker->ready || !lug_fleet_is_live(worker, now_us) ||
		    strcmp(worker->service, pool->service) != 0)
			continue;
		lug_fleet_room(worker, &room);
		pool->n_workers++;
		pool->free_millicores += MAX(room.millicores, 0);
		pool->capacity_millicores += worker->capacity.millicores;
	}
	pool->scarce = lug_pack_is_scarce(pool->free_millicores, pool->capacity_millicores);
}

/**
 * lug_fleet_sum_pool - room of the workers of one service, at most POOL_INTERVAL_US old
 * @fleet: fleet
 * @service: service
 * @now_us: current time
 */
const struct lug_fleet_pool *lug_fleet_sum_pool(struct lug_fleet *fleet, const char *service,
						gint64 now_us)
{
	static const struct lug_fleet_pool none;
	struct lug_fleet_pool *pool = NULL;

	for (guint i = 0; i < fleet->pools->len && !pool; i++) {
		struct lug_fleet_pool *item =
			&g_array_index(fleet->pools, struct lug_fleet_pool, i);

		if (!strcmp(item->service, service))
			pool = item;
	}
	if (!pool) {
		if (fleet->pools->len >= POOLS_MAX)
			return &none;
		g_array_set_size(fleet->pools, fleet->pools->len + 1);
		pool = &g_array_index(fleet->pools, struct lug_fleet_pool, fleet->pools->len - 1);
		g_strlcpy(pool->service, service, sizeof(pool->service));
		sum_up_pool(fleet, pool, now_us);
	}
	if (now_us - pool->summed_us >= POOL_INTERVAL_US)
		sum_up_pool(fleet, pool, now_us);
	return pool;
}

/**
 * lug_fleet_want_forecast - note that a task waits for room, so that agents report forecasts
 */
void lug_fleet_want_forecast(struct lug_fleet *fleet, gint64 now_us)
{
	fleet->forecast_wanted_us = now_us + FORECAST_WANTED_US;
}

/**
 * lug_fleet_wants_forecast - whether heartbeats are to contain the forecast
 */
gboolean lug_fleet_wants_forecast(const struct lug_fleet *fleet, gint64 now_us)
{
	return now_us < fleet->forecast_wanted_us;
}

/**
 * lug_fleet_count_reservation - add to the number of reservations that this process has asked for
 * @fleet: fleet
 * @change: 1 or -1
 *
 * Return: the number.
 */
guint lug_fleet_count_reservation(struct lug_fleet *fleet, gint change)
{
	fleet->n_reservations = (guint)((gint)fleet->n_reservations + change);
	return fleet->n_reservations;
}
