#include "workflow/fleet_priv.h"

#include <string.h>

#include "colocate/crash.h"
#include "schedule/speed.h"
#include "workflow/run.h"

#define AVERAGE_INTERVAL_US (1000 * 1000)
/* Workers silent for longer, and without claims, are removed from the fleet. */
#define FORGET_US (120LL * G_USEC_PER_SEC)

/*
 * After AVOID_AFTER_FAILURES consecutive failed or refused runs a worker gets no tasks for
 * AVOID_MIN_US. When it fails again after that, the time doubles, AVOID_DOUBLINGS_MAX times at
 * most: tasks that fit only there must not wait long once it is sound again.
 */
#define AVOID_AFTER_FAILURES 3
#define AVOID_MIN_US (1000 * 1000)
#define AVOID_DOUBLINGS_MAX 2

static void worker_free(gpointer data)
{
	struct lug_fleet_worker *worker = data;

	g_strfreev(worker->labels);
	g_array_unref(worker->unconfirmed);
	g_array_unref(worker->serving_tasks);
	g_array_unref(worker->pairs);
	g_free(worker);
}

static void partition_free(gpointer data)
{
	lug_store_free(data);
}

/**
 * lug_fleet_new - create a fleet without workers
 * @ctx: context
 * @store: table service client; must be freed before the fleet
 * @hooks: callbacks to the owners, copied
 *
 * Return: fleet, owned by the caller.
 */
struct lug_fleet *lug_fleet_new(struct lug_ctx *ctx, struct lug_store *store,
				const struct lug_fleet_hooks *hooks)
{
	struct lug_fleet *fleet = g_new0(struct lug_fleet, 1);

	fleet->ctx = ctx;
	fleet->store = store;
	fleet->hooks = *hooks;
	fleet->interference = lug_interference_new();
	fleet->estimates = lug_estimates_new();
	fleet->pools = g_array_new(FALSE, TRUE, sizeof(struct lug_fleet_pool));
	fleet->list = g_ptr_array_new_with_free_func(worker_free);
	fleet->by_name = g_hash_table_new(g_str_hash, g_str_equal);
	fleet->partitions = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, partition_free);
	return fleet;
}

/**
 * lug_fleet_free - release the fleet
 * @fleet: may be NULL
 */
void lug_fleet_free(struct lug_fleet *fleet)
{
	if (!fleet)
		return;
	lug_interference_free(fleet->interference);
	lug_estimates_free(fleet->estimates);
	g_array_unref(fleet->pools);
	g_hash_table_unref(fleet->partitions);
	g_hash_table_unref(fleet->by_name);
	g_ptr_array_unref(fleet->list);
	g_free(fleet);
}

/**
 * lug_fleet_find - find a worker by the name of its agent
 * @fleet: fleet
 * @name: name of the agent
 *
 * Return: worker, NULL when unknown.
 */
struct lug_fleet_worker *lug_fleet_find(const struct lug_fleet *fleet, const char *name)
{
	return g_hash_table_lookup(fleet->by_name, name);
}

/**
 * lug_fleet_get - find a worker by the name of its agent, or add it with no capacity
 * @fleet: fleet
 * @name: name of the agent
 * @now_us: current time
 */
struct lug_fleet_worker *lug_fleet_get(struct lug_fleet *fleet, const char *name, gint64 now_us)
{
	struct lug_fleet_worker *worker = lug_fleet_find(fleet, name);

	if (worker)
		return worker;
	worker = g_new0(struct lug_fleet_worker, 1);
	g_strlcpy(worker->name, name, sizeof(worker->name));
	worker->last_beat_us = now_us;
	worker->unconfirmed = g_array_new(FALSE, FALSE, sizeof(struct lug_fleet_unconfirmed));
	worker->serving_tasks =
		g_array_new(FALSE, FALSE, sizeof(struct lug_interference_serving_task));
	worker->pairs = g_array_new(FALSE, FALSE, sizeof(struct lug_interference_pair));
	g_ptr_array_add(fleet->list, worker);
	g_hash_table_insert(fleet->by_name, worker->name, worker);
	return worker;
}

/**
 * lug_fleet_workers - all known workers
 * @fleet: fleet
 *
 * Return: array of struct lug_fleet_worker *, owned by the fleet.
 */
GPtrArray *lug_fleet_workers(const struct lug_fleet *fleet)
{
	return fleet->list;
}

/**
 * lug_fleet_is_live - check whether the worker's agent has sent a heartbeat lately
 * @worker: worker
 * @now_us: current time
 */
gboolean lug_fleet_is_live(const struct lug_fleet_worker *worker, gint64 now_us)
{
	return worker->incarnation && now_us - worker->last_beat_us < FLEET_SILENT_US;
}

/**
 * lug_fleet_speed - speed of a worker as its agent has reported it
 * @worker: worker
 * @now_us: current time
 *
 * Return: fraction of nominal, 0 for not known.
 */
double lug_fleet_speed(const struct lug_fleet_worker *worker, gint64 now_us)
{
	return lug_speed_reported(worker->speed_permille, worker->last_beat_us, now_us);
}

/**
 * lug_fleet_room - free resources of a worker, as far as this process knows
 * @worker: worker
 * @out: set; members may be negative
 */
void lug_fleet_room(const struct lug_fleet_worker *worker, struct lug_resources *out)
{
	*out = worker->capacity;
	lug_resources_sub(out, &worker->used_elsewhere);
	lug_resources_sub(out, &worker->claimed);
}

/**
 * lug_fleet_is_evacuated - whether no task may start on a worker because of its zone
 * @worker: worker
 * @evacuation: evacuated zones known to this process, may be NULL
 */
gboolean lug_fleet_is_evacuated(const struct lug_fleet_worker *worker,
				const struct lug_evacuation *evacuation)
{
	return worker->evacuated || lug_evacuation_contains(evacuation, worker->zone);
}

/**
 * lug_fleet_claim - reserve resources for a task placed on a worker
 * @worker: worker
 * @size: resources of the task
 */
void lug_fleet_claim(struct lug_fleet_worker *worker, const struct lug_resources *size)
{
	lug_resources_add(&worker->claimed, size);
}

/**
 * lug_fleet_confirm - note that the agent has accepted a claimed task and reports it as used
 * @worker: worker
 * @size: resources of the task
 */
void lug_fleet_confirm(struct lug_fleet_worker *worker, const struct lug_resources *size)
{
	lug_resources_add(&worker->confirmed, size);
}

/**
 * lug_fleet_release - release the resources of a task
 * @worker: worker
 * @size: resources of the task
 * @confirmed: whether the agent had confirmed the task
 */
void lug_fleet_release(struct lug_fleet_worker *worker, const struct lug_resources *size,
		       gboolean confirmed)
{
	lug_resources_sub(&worker->claimed, size);
	if (confirmed)
		lug_resources_sub(&worker->confirmed, size);
}

/**
 * lug_fleet_record_failure - note a failed or refused run, and avoid the worker after several
 * @worker: worker
 * @now_us: current time
 *
 * Runs that were started together fail together, so those that fail while the worker is avoided
 * already say nothing new.
 */
void lug_fleet_record_failure(struct lug_fleet_worker *worker, gint64 now_us)
{
	guint32 doublings;

	if (now_us < worker->avoid_until_us)
		return;
	worker->failures++;
	if (worker->failures < AVOID_AFTER_FAILURES)
		return;
	doublings = MIN(worker->failures - AVOID_AFTER_FAILURES, AVOID_DOUBLINGS_MAX);
	worker->avoid_until_us = now_us + ((gint64)AVOID_MIN_US << doublings);
}

/**
 * lug_fleet_isolate - note that a worker is given a task that may crash it
 * @worker: worker
 * @job: id of the task's job, "" when it is not known
 * @now_us: current time
 */
void lug_fleet_isolate(struct lug_fleet_worker *worker, const char *job, gint64 now_us)
{
	worker->isolated_until_us = now_us + LUG_CRASH_ISOLATION_US;
	g_strlcpy(worker->isolated_job, job, sizeof(worker->isolated_job));
}

/**
 * lug_fleet_add_unconfirmed - note a placed task that the agent hasn't confirmed
 * @worker: worker
 * @step: step of the task; ignored unless it is best-effort or serves
 */
void lug_fleet_add_unconfirmed(struct lug_fleet_worker *worker, const struct lug_step *step)
{
	struct lug_fleet_unconfirmed unconfirmed = {g_intern_string(step->image),
						    step->size.millicores, step->best_effort};

	if (step->best_effort || step->target_ms)
		g_array_append_val(worker->unconfirmed, unconfirmed);
}

/**
 * lug_fleet_remove_unconfirmed - remove an unconfirmed task that was confirmed or won't start
 * @worker: worker
 * @step: step of the task; ignored unless it is best-effort or serves
 */
void lug_fleet_remove_unconfirmed(struct lug_fleet_worker *worker, const struct lug_step *step)
{
	const char *image =
		step->best_effort || step->target_ms ? g_intern_string(step->image) : NULL;

	for (guint i = 0; image && i < worker->unconfirmed->len; i++) {
		const struct lug_fleet_unconfirmed *task =
			&g_array_index(worker->unconfirmed, struct lug_fleet_unconfirmed, i);

		if (task->image != image || task->best_effort != step->best_effort)
			continue;
		g_array_remove_index_fast(worker->unconfirmed, i);
		return;
	}
}

/**
 * lug_fleet_set_used - update a worker from the total of its agent's reservations
 * @worker: worker
 * @used: sum of all reservations at the agent
 */
void lug_fleet_set_used(struct lug_fleet_worker *worker, const struct lug_resources *used)
{
	static const struct lug_resources none;

	worker->used_elsewhere = *used;
	lug_resources_sub(&worker->used_elsewhere, &worker->confirmed);
	lug_resources_max(&worker->used_elsewhere, &none);
}

/**
 * lug_fleet_interference - interference averaged over what all agents report
 * @fleet: fleet
 *
 * Return: model, owned by the fleet.
 */
const struct lug_interference *lug_fleet_interference(const struct lug_fleet *fleet)
{
	return fleet->interference;
}

/**
 * lug_fleet_estimates - run times learned by the owners in this process
 * @fleet: fleet
 *
 * Return: estimates, owned by the fleet.
 */
struct lug_estimates *lug_fleet_estimates(const struct lug_fleet *fleet)
{
	return fleet->estimates;
}

/**
 * lug_fleet_openness - openness of a worker to best-effort tasks, computed once for each heartbeat
 * @worker: worker
 * @model: learned interference
 */
double lug_fleet_openness(struct lug_fleet_worker *worker, const struct lug_interference *model)
{
	if (worker->openness < 0)
		worker->openness = lug_interference_openness(
			model,
			(const struct lug_interference_serving_task *)(void *)
				worker->serving_tasks->data,
			worker->serving_tasks->len);
	return worker->openness;
}

static void apply_interference(struct lug_fleet_worker *worker, const Lug__WorkerBeat *beat)
{
	g_array_set_size(worker->serving_tasks, 0);
	worker->openness = -1;
	for (gsize i = 0; i < beat->n_servings; i++) {
		const Lug__Serving *wire = beat->servings[i];
		struct lug_interference_serving_task serving = {
			g_intern_string(wire->image), (double)wire->own_load, (double)wire->limit,
			(double)wire->pressure};

		if (serving.image)
			g_array_append_val(worker->serving_tasks, serving);
	}
	if (!beat->n_harm)
		return;
	g_array_set_size(worker->pairs, 0);
	for (gsize i = 0; i < beat->n_harm; i++) {
		struct lug_interference_pair pair;

		if (lug_interference_from_wire(beat->harm[i], &pair))
			g_array_append_val(worker->pairs, pair);
	}
}

/*
 * Starts that the agent refused before this process knew of the evacuation were counted as
 * failures, which would keep work from the worker when its zone returns.
 */
static void apply_evacuation(struct lug_fleet_worker *worker, gboolean evacuated)
{
	if (evacuated && !worker->evacuated) {
		worker->failures = 0;
		worker->avoid_until_us = 0;
	}
	worker->evacuated = evacuated;
}

static void average_interference(struct lug_fleet *fleet, gint64 now_us)
{
	GPtrArray *reports;

	if (now_us < fleet->next_average_us)
		return;
	fleet->next_average_us = now_us + AVERAGE_INTERVAL_US;
	reports = g_ptr_array_new();
	for (guint i = 0; i < fleet->list->len; i++)
		g_ptr_array_add(
			reports,
			((struct lug_fleet_worker *)g_ptr_array_index(fleet->list, i))->pairs);
	lug_interference_average(fleet->interference, reports);
	g_ptr_array_unref(reports);
}

/*
 * Whether a heartbeat belongs to a replaced connection or an earlier process of the agent. A later
 * process has a lower incarnation if its clock was set back. The epoch of its lease shows the order
 * all the same; without one, the process is accepted once the former one is silent, and so is one
 * with an earlier epoch, as the row of the lease may have been lost.
 */
static gboolean is_outdated(const struct lug_fleet_worker *worker, const Lug__Envelope *env,
			    gint64 now_us)
{
	const Lug__WorkerBeat *beat = env->worker_beat;

	if (env->incarnation == worker->incarnation)
		return beat->generation < worker->generation;
	if (env->incarnation > worker->incarnation)
		return beat->lease_epoch && beat->lease_epoch < worker->max_lease_epoch &&
		       lug_fleet_is_live(worker, now_us);
	if (beat->lease_epoch && beat->lease_epoch != worker->max_lease_epoch)
		return beat->lease_epoch < worker->max_lease_epoch;
	return lug_fleet_is_live(worker, now_us);
}

/**
 * lug_fleet_on_beat - update a worker from a heartbeat of its agent
 * @fleet: fleet
 * @route: where the heartbeat came from
 * @env: envelope with the heartbeat
 * @now_us: current time
 *
 * The caller applies the heartbeat's reports on runs, which change what this process has claimed,
 * and then passes the agent's total of reservations to lug_fleet_set_used().
 *
 * Return: worker, or NULL when the heartbeat belongs to a replaced connection or an earlier
 * process.
 */
struct lug_fleet_worker *lug_fleet_on_beat(struct lug_fleet *fleet, const struct lug_route *route,
					   const Lug__Envelope *env, gint64 now_us)
{
	const Lug__WorkerBeat *beat = env->worker_beat;
	struct lug_fleet_worker *worker = lug_fleet_get(fleet, env->from, now_us);

	if (is_outdated(worker, env, now_us))
		return NULL;
	worker->incarnation = env->incarnation;
	worker->generation = beat->generation;
	worker->route = *route;
	worker->last_beat_us = now_us;
	worker->inherited_version = 0;
	g_strlcpy(worker->service, beat->service ? beat->service : "", sizeof(worker->service));
	g_strlcpy(worker->zone, beat->zone ? beat->zone : "", sizeof(worker->zone));
	g_strfreev(worker->labels);
	worker->labels = g_new0(char *, beat->n_labels + 1);
	for (gsize i = 0; i < beat->n_labels; i++)
		worker->labels[i] = g_strdup(beat->labels[i]);
	lug_resources_from_wire(beat->capacity, &worker->capacity);
	if (beat->life != worker->worker_incarnation)
		worker->exit_announced = worker->draining;
	worker->draining = beat->draining || beat->stopping;
	worker->ready = beat->ready;
	apply_evacuation(worker, beat->evacuated);
	worker->cold_until_us = now_us + (gint64)beat->cold_ms * 1000;
	apply_interference(worker, beat);
	worker->lease_epoch = beat->lease_epoch;
	worker->max_lease_epoch = MAX(worker->max_lease_epoch, beat->lease_epoch);
	worker->worker_incarnation = beat->life;
	worker->spare_millicores = beat->spare_millicores;
	worker->speed_permille = fleet->ctx->settings->schedule_speed ? beat->speed_permille : 0;
	worker->refused_best_effort = FALSE;
	worker->refused_yielding = FALSE;
	worker->reported_failures = beat->failing;
	fleet_apply_lookahead(fleet, worker, beat, now_us);
	return worker;
}

/**
 * lug_fleet_tick - check the leases of workers that don't list their runs, remove workers silent
 * for long
 * @fleet: fleet
 * @now_us: current time
 */
void lug_fleet_tick(struct lug_fleet *fleet, gint64 now_us)
{
	average_interference(fleet, now_us);
	for (guint i = fleet->list->len; i-- > 0;) {
		struct lug_fleet_worker *worker = g_ptr_array_index(fleet->list, i);

		if (now_us - worker->last_beat_us > FORGET_US && !worker->lease_call_in_flight &&
		    fleet_unlisted_us(fleet, worker, now_us) < 0 &&
		    fleet->hooks.unstopped_us(fleet->hooks.data, worker->name, now_us) < 0) {
			g_hash_table_remove(fleet->by_name, worker->name);
			g_ptr_array_remove_index_fast(fleet->list, i);
			continue;
		}
		fleet_check_lease(fleet, worker, now_us);
	}
}
