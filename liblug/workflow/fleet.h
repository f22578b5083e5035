#ifndef LUG_WORKFLOW_FLEET_H
#define LUG_WORKFLOW_FLEET_H

#include "core/context.h"
#include "core/resources.h"
#include "schedule/evacuation.h"
#include "schedule/estimate.h"
#include "schedule/reservation.h"
#include "workflow/interference.h"
#include "workflow/workflow.h"
#include "store/store.h"
#include "wire/link.h"

/**
 * struct lug_fleet_unconfirmed - a best-effort or serving task placed on a worker whose agent
 * hasn't confirmed it
 * @image: its image, interned
 * @millicores: cores that it can use
 * @best_effort: whether it is best-effort; otherwise it serves
 */
struct lug_fleet_unconfirmed {
	const char *image;
	gint64 millicores;
	gboolean best_effort;
};

/* Iterates over the unconfirmed best-effort tasks of a worker. The inner loop runs at most once. */
#define LUG_FLEET_FOREACH_BEST_EFFORT(worker, task)                                          \
	for (guint task##_i = 0; task##_i < (worker)->unconfirmed->len; task##_i++)          \
		for (const struct lug_fleet_unconfirmed *task = &g_array_index(              \
			     (worker)->unconfirmed, struct lug_fleet_unconfirmed, task##_i); \
		     task && task->best_effort; task = NULL)

/**
 * struct lug_fleet_reservation - room that a worker's agent keeps for a waiting task
 * @held: there is one; the other members are valid
 * @shard: shard of the task
 * @holder: see lug_reservation_holder(), 0 for a task of another process
 * @size: reserved resources
 * @ready_us: when the room is expected to be free
 * @backfill: runs that end before that may still start
 */
struct lug_fleet_reservation {
	gboolean held;
	guint32 shard;
	guint64 holder;
	struct lug_resources size;
	gint64 ready_us;
	gboolean backfill;
};

/**
 * struct lug_fleet_pool - the workers of one service that take starts
 * @service: service
 * @summed_us: when the members below were computed
 * @n_workers: number of workers
 * @free_millicores: their free thousandths of a core
 * @capacity_millicores: all of their thousandths of a core
 * @scarce: see lug_pack_is_scarce()
 */
struct lug_fleet_pool {
	char service[LUG_NAME_MAX + 1];
	gint64 summed_us;
	guint n_workers;
	gint64 free_millicores;
	gint64 capacity_millicores;
	gboolean scarce;
};

/**
 * struct lug_fleet_worker - a worker as its agent's heartbeats describe it
 * @name: name of its agent
 * @route: connection to the agent
 * @incarnation: incarnation of the agent's process
 * @generation: generation of that connection; heartbeats of an older one are ignored
 * @service: service whose pool the worker belongs to
 * @zone: availability zone
 * @labels: kind and rack, NULL-terminated
 * @capacity: resources for tasks
 * @used_elsewhere: resources reserved by owners in other processes
 * @claimed: resources reserved by the owners in this process
 * @confirmed: part of @claimed that the agent has acknowledged
 * @spare_millicores: millicores that no task used at the last heartbeat
 * @speed_permille: speed in the last heartbeat, thousandths of nominal; 0 for not known, or when
 * speeds are not used
 * @refused_best_effort: the worker has refused a best-effort task since its last heartbeat
 * @refused_yielding: the same for a task that yields to serving tasks
 * @unconfirmed: best-effort and serving tasks placed there that the agent hasn't confirmed, array
 * of struct lug_fleet_unconfirmed
 * @serving_tasks: serving tasks with their utilisations, array of struct
 * lug_interference_serving_task
 * @openness: see lug_interference_openness(), negative until lug_fleet_openness() computes it
 * @pairs: interference that its agent has learned, array of struct lug_interference_pair
 * @draining: accepts no new tasks
 * @ready: accepts starts now
 * @evacuated: its agent refuses starts because the worker's zone is evacuated
 * @cold_until_us: until then the worker is slow after its start
 * @lease_epoch: epoch of the worker's lease, 0 while its agent does not know its runs
 * @max_lease_epoch: highest epoch of the worker's lease in a heartbeat
 * @worker_incarnation: incarnation of the worker itself
 * @last_beat_us: time of the last heartbeat
 * @failures: consecutive failed runs that this process placed there
 * @reported_failures: consecutive failed runs of all owners, as its agent counts them
 * @avoid_until_us: no tasks are placed there before this time
 * @isolated_until_us: until then a suspected task of @isolated_job may yet crash the worker
 * @isolated_job: id of that task's job, "" when it is not known
 * @exit_announced: the former incarnation of the worker had announced its exit
 * @lease_row_version: version of the lease's row while a list of the worker's runs is awaited
 * @lease_row_since_us: time since which the row has had that version
 * @inherited_version: version that the former owner of a shard has seen, 0 for none; see
 *                     lug_fleet_inherit_leases()
 * @inherited_since_us: time since which the row has had that version, at least
 * @next_lease_check_us: earliest time to check whether a list is awaited, and read the row if so
 * @lease_call_in_flight: a read or a write of the row is in flight
 * @reservation: room kept for a waiting task
 * @forecast: room at later times, of the last heartbeat, in order of time
 * @n_forecast: number of @forecast
 * @reserve_after_us: no reservation is asked for before this time
 * @refused_millicores: the agent has refused a task of this size, for which room is known there,
 *                      since its last heartbeat; 0 for none
 */
struct lug_fleet_worker {
	char name[LUG_NAME_MAX + 1];
	struct lug_route route;
	guint64 incarnation;
	guint32 generation;
	char service[LUG_NAME_MAX + 1];
	char zone[LUG_NAME_MAX + 1];
	char **labels;
	struct lug_resources capacity;
	struct lug_resources used_elsewhere;
	struct lug_resources claimed;
	struct lug_resources confirmed;
	gint64 spare_millicores;
	guint32 speed_permille;
	gboolean refused_best_effort;
	gboolean refused_yielding;
	GArray *unconfirmed;
	GArray *serving_tasks;
	double openness;
	GArray *pairs;
	gboolean draining;
	gboolean ready;
	gboolean evacuated;
	gint64 cold_until_us;
	guint64 lease_epoch;
	guint64 max_lease_epoch;
	guint64 worker_incarnation;
	gint64 last_beat_us;
	guint32 failures;
	guint32 reported_failures;
	gint64 avoid_until_us;
	gint64 isolated_until_us;
	char isolated_job[LUG_WORKFLOW_ID_MAX + 1];
	gboolean exit_announced;
	gint64 lease_row_version;
	gint64 lease_row_since_us;
	gint64 inherited_version;
	gint64 inherited_since_us;
	gint64 next_lease_check_us;
	gboolean lease_call_in_flight;
	struct lug_fleet_reservation reservation;
	struct lug_forecast_point forecast[LUG_FORECAST_POINTS_MAX];
	guint n_forecast;
	gint64 reserve_after_us;
	gint64 refused_millicores;
};

/**
 * struct lug_fleet_hooks - callbacks to the owners in this process
 * @lease_ended: called when no run under this lease epoch or a lower one can be left on the worker
 * @unlisted_us: returns for how long the worker's agent has not listed its runs to one of the
 *               owners that have claimed a task for the worker, the longest such time in
 *               microseconds, or -1 when no task is claimed for it
 * @unstopped_us: returns for how long the stop of a run on the worker has had no answer, the
 * longest such time of the owners in microseconds, or -1 when none is awaited
 * @lease_left: called when such an answer is overdue: runs under this lease epoch or a lower one go
 *              on for @left_us at most, unless the worker's agent renews the lease
 * @data: passed to the callbacks
 */
struct lug_fleet_hooks {
	void (*lease_ended)(void *data, const char *worker, guint64 lease_epoch);
	gint64 (*unlisted_us)(void *data, const char *worker, gint64 now_us);
	gint64 (*unstopped_us)(void *data, const char *worker, gint64 now_us);
	void (*lease_left)(void *data, const char *worker, guint64 lease_epoch, gint64 left_us,
			   gint64 now_us);
	void *data;
};

/**
 * struct lug_fleet - the workers known to one process, shared by the shards that it owns
 *
 * When tasks are claimed for a worker and its agent is silent or does not list its runs, the fleet
 * reads the row of the worker's lease. Once the row has not changed for the lease time, the fleet
 * fences the lease and reports its end. Heartbeats alone say nothing about the lease. The row is
 * also read when the stop of a run has no answer, to know how long the run can go on.
 */
struct lug_fleet;

struct lug_fleet *lug_fleet_new(struct lug_ctx *ctx, struct lug_store *store,
				const struct lug_fleet_hooks *hooks);
void lug_fleet_free(struct lug_fleet *fleet);
struct lug_fleet_worker *lug_fleet_on_beat(struct lug_fleet *fleet, const struct lug_route *route,
					   const Lug__Envelope *env, gint64 now_us);
struct lug_fleet_worker *lug_fleet_find(const struct lug_fleet *fleet, const char *name);
struct lug_fleet_worker *lug_fleet_get(struct lug_fleet *fleet, const char *name, gint64 now_us);
GPtrArray *lug_fleet_workers(const struct lug_fleet *fleet);
double lug_fleet_openness(struct lug_fleet_worker *worker, const struct lug_interference *model);
const struct lug_interference *lug_fleet_interference(const struct lug_fleet *fleet);
gboolean lug_fleet_is_evacuated(const struct lug_fleet_worker *worker,
				const struct lug_evacuation *evacuation);
struct lug_estimates *lug_fleet_estimates(const struct lug_fleet *fleet);
gboolean lug_fleet_is_live(const struct lug_fleet_worker *worker, gint64 now_us);
double lug_fleet_speed(const struct lug_fleet_worker *worker, gint64 now_us);
void lug_fleet_room(const struct lug_fleet_worker *worker, struct lug_resources *out);
void lug_fleet_room_for(const struct lug_fleet_worker *worker, guint64 holder, gint64 promised_ms,
			gint64 now_us, struct lug_resources *out);
const struct lug_fleet_pool *lug_fleet_sum_pool(struct lug_fleet *fleet, const char *service,
						gint64 now_us);
void lug_fleet_want_forecast(struct lug_fleet *fleet, gint64 now_us);
gboolean lug_fleet_wants_forecast(const struct lug_fleet *fleet, gint64 now_us);
guint lug_fleet_count_reservation(struct lug_fleet *fleet, gint change);
void lug_fleet_claim(struct lug_fleet_worker *worker, const struct lug_resources *size);
void lug_fleet_confirm(struct lug_fleet_worker *worker, const struct lug_resources *size);
void lug_fleet_release(struct lug_fleet_worker *worker, const struct lug_resources *size,
		       gboolean confirmed);
void lug_fleet_record_failure(struct lug_fleet_worker *worker, gint64 now_us);
void lug_fleet_isolate(struct lug_fleet_worker *worker, const char *job, gint64 now_us);
void lug_fleet_add_unconfirmed(struct lug_fleet_worker *worker, const struct lug_step *step);
void lug_fleet_remove_unconfirmed(struct lug_fleet_worker *worker, const struct lug_step *step);
void lug_fleet_set_used(struct lug_fleet_worker *worker, const struct lug_resources *used);
void lug_fleet_add_watched_leases(const struct lug_fleet *fleet, JsonObject *row, gint64 now_us);
void lug_fleet_inherit_leases(struct lug_fleet *fleet, JsonObject *row, gint64 now_us);
void lug_fleet_await_stop(struct lug_fleet_worker *worker, gint64 now_us);
void lug_fleet_tick(struct lug_fleet *fleet, gint64 now_us);

#endif
