#include "workflow/fleet.h"

#include <string.h>

#include "colocate/crash.h"
#include "workflow/run.h"
#include "store/writer.h"

#define LEASE_TABLE "worker"
/* Three heartbeat intervals; no tasks are placed on a worker whose agent has been silent longer. */
#define SILENT_US (1500 * 1000)
#define LEASE_CHECK_INTERVAL_US (500 * 1000)
/* Added to the lease time: the delay of a renewal on its way through the table service. */
#define FENCE_MARGIN_US (300 * 1000)
/* The rates of two instances' clocks differ by less than one part in 50 (2 %). */
#define CLOCK_DRIFT_DIVISOR 50
/* Stands for the version of a row that does not exist; 0 is that of a row not yet read. */
#define LEASE_ROW_ABSENT (-1)
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

/*
 * struct lug_fleet - workers known to this process
 * @ctx: context
 * @store: client of the table service
 * @hooks: callbacks to the owners
 * @list: array of struct lug_fleet_worker *, owned
 * @by_name: the same workers by the name of their agent
 * @partitions: clients for the partitions with the workers' leases, by name of the agent
 * @interference: average of what the agents report
 * @next_average_us: earliest time of the next averaging
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
};

/*
 * Read of a worker's lease row after a heartbeat with lease epoch @epoch, or a write that fences
 * that epoch.
 */
struct lease_call {
	struct lug_fleet *fleet;
	char name[LUG_NAME_MAX + 1];
	guint64 epoch;
};

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
	return worker->incarnation && now_us - worker->last_beat_us < SILENT_US;
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
 * incarnation.
 */
struct lug_fleet_worker *lug_fleet_on_beat(struct lug_fleet *fleet, const struct lug_route *route,
					   const Lug__Envelope *env, gint64 now_us)
{
	const Lug__WorkerBeat *beat = env->worker_beat;
	struct lug_fleet_worker *worker = lug_fleet_get(fleet, env->from, now_us);

	if (env->incarnation < worker->incarnation ||
	    (env->incarnation == worker->incarnation && beat->generation < worker->generation))
		return NULL;
	worker->incarnation = env->incarnation;
	worker->generation = beat->generation;
	worker->route = *route;
	worker->last_beat_us = now_us;
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
	apply_interference(worker, beat);
	worker->lease_epoch = beat->lease_epoch;
	worker->worker_incarnation = beat->life;
	worker->spare_millicores = beat->spare_millicores;
	worker->refused_best_effort = FALSE;
	worker->reported_failures = beat->failing;
	return worker;
}

static struct lug_store *get_partition(struct lug_fleet *fleet, const char *name)
{
	struct lug_store *partition = g_hash_table_lookup(fleet->partitions, name);

	if (!partition) {
		partition = lug_store_partition(fleet->store, name);
		g_hash_table_insert(fleet->partitions, g_strdup(name), partition);
	}
	return partition;
}

static struct lease_call *lease_call_new(struct lug_fleet *fleet, const char *name, guint64 epoch)
{
	struct lease_call *call = g_new0(struct lease_call, 1);

	call->fleet = fleet;
	g_strlcpy(call->name, name, sizeof(call->name));
	call->epoch = epoch;
	return call;
}

static void report_lease_ended(struct lug_fleet *fleet, struct lug_fleet_worker *worker,
			       guint64 epoch, const char *reason)
{
	char text[24];

	g_snprintf(text, sizeof(text), "%" G_GUINT64_FORMAT, epoch);
	lug_warn(fleet->ctx, "worker_fenced", "worker", worker->name, "lease_epoch", text, "how",
		 reason);
	fleet->hooks.lease_ended(fleet->hooks.data, worker->name, epoch);
}

static void on_fenced(void *data, const struct lug_txn_result *result)
{
	struct lease_call *call = data;
	struct lug_fleet_worker *worker = lug_fleet_find(call->fleet, call->name);

	if (worker) {
		worker->lease_call_in_flight = FALSE;
		if (result->status == LUG_OK)
			report_lease_ended(call->fleet, worker, call->epoch, "lease not renewed");
		else /* Wait again for the lease time without a change of the row. */
			worker->lease_row_version = 0;
	}
	g_free(call);
}

static void fence_lease(struct lug_fleet *fleet, struct lug_fleet_worker *worker,
			const struct lug_row *row)
{
	guint64 epoch = (guint64)lug_json_int(row->data, "epoch", 0);
	JsonObject *next = json_object_new();
	struct lug_txn txn;

	lug_txn_init(&txn);
	json_object_set_string_member(next, "owner", "");
	json_object_set_int_member(next, "epoch", (gint64)epoch + 1);
	json_object_set_int_member(next, "ttl_ms", lug_json_int(row->data, "ttl_ms", 0));
	json_object_set_string_member(next, "prev_txn", lug_json_str(row->data, "txn", ""));
	lug_txn_check(&txn, LEASE_TABLE, worker->name, row->version);
	lug_txn_put(&txn, LEASE_TABLE, worker->name, next);
	worker->lease_call_in_flight = TRUE;
	lug_store_txn(get_partition(fleet, worker->name), &txn, on_fenced,
		      lease_call_new(fleet, worker->name, epoch));
	lug_txn_clear(&txn);
	json_object_unref(next);
}

/*
 * No process can have renewed a lease whose row is gone. The claims are for leases of whatever
 * epoch, also when no heartbeat of the worker has been heard.
 */
static void check_missing_row(struct lug_fleet *fleet, struct lug_fleet_worker *worker,
			      gint64 missing_us)
{
	gint64 ttl_us = fleet->ctx->settings->worker_lease_ms * 1000;

	if (missing_us > ttl_us + ttl_us / CLOCK_DRIFT_DIVISOR)
		report_lease_ended(fleet, worker, G_MAXUINT64, "no lease");
}

static void check_lease_row(struct lug_fleet *fleet, struct lug_fleet_worker *worker,
			    const struct lug_row *row, gint64 now_us)
{
	gint64 version = row->version ? row->version : LEASE_ROW_ABSENT;
	gint64 unchanged_us;

	if (row->version && !*lug_json_str(row->data, "owner", "")) {
		report_lease_ended(fleet, worker, (guint64)lug_json_int(row->data, "epoch", 0),
				   "lease fenced or released");
		return;
	}
	/* The row was renewed, or is read for the first time. */
	if (version != worker->lease_row_version) {
		worker->lease_row_version = version;
		worker->lease_row_since_us = now_us;
		return;
	}
	unchanged_us = now_us - worker->lease_row_since_us - FENCE_MARGIN_US;
	if (!row->version)
		check_missing_row(fleet, worker, unchanged_us);
	else if (lug_writer_row_is_free(row, unchanged_us))
		fence_lease(fleet, worker, row);
}

static gint64 unlisted_us(const struct lug_fleet *fleet, const struct lug_fleet_worker *worker,
			  gint64 now_us)
{
	return fleet->hooks.unlisted_us(fleet->hooks.data, worker->name, now_us);
}

/* The agent of a worker with claims is silent, or lives but does not list its runs. */
static gboolean is_list_awaited(const struct lug_fleet *fleet,
				const struct lug_fleet_worker *worker, gint64 now_us)
{
	gint64 since_us = unlisted_us(fleet, worker, now_us);

	return since_us >= 0 && MAX(since_us, now_us - worker->last_beat_us) >= SILENT_US;
}

static void on_lease_row(void *data, enum lug_status status, const struct lug_row *rows,
			 guint n_rows, gboolean more)
{
	struct lease_call *call = data;
	struct lug_fleet_worker *worker = lug_fleet_find(call->fleet, call->name);
	static const struct lug_row none;
	gint64 now_us = lug_now_us();

	(void)more;
	if (worker) {
		worker->lease_call_in_flight = FALSE;
		/* The lease may have been taken anew after the row was read. */
		if (worker->lease_epoch != call->epoch)
			worker->lease_row_version = 0;
		else if (status == LUG_OK && is_list_awaited(call->fleet, worker, now_us))
			check_lease_row(call->fleet, worker,
					n_rows && !strcmp(rows[0].key, worker->name) ? &rows[0]
										     : &none,
					now_us);
	}
	g_free(call);
}

static void check_worker(struct lug_fleet *fleet, struct lug_fleet_worker *worker, gint64 now_us)
{
	gint64 silent_at_us = worker->last_beat_us + SILENT_US;

	if (worker->lease_call_in_flight || now_us < worker->next_lease_check_us)
		return;
	worker->next_lease_check_us = now_us + LEASE_CHECK_INTERVAL_US;
	if (!is_list_awaited(fleet, worker, now_us)) {
		worker->lease_row_version = 0;
		/* Silence, and claims for a silent worker, are noticed at once. */
		worker->next_lease_check_us = MIN(worker->next_lease_check_us, silent_at_us);
		return;
	}
	worker->lease_call_in_flight = TRUE;
	lug_store_scan(get_partition(fleet, worker->name), LEASE_TABLE, worker->name, NULL, 1,
		       on_lease_row, lease_call_new(fleet, worker->name, worker->lease_epoch));
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
		    unlisted_us(fleet, worker, now_us) < 0) {
			g_hash_table_remove(fleet->by_name, worker->name);
			g_ptr_array_remove_index_fast(fleet->list, i);
			continue;
		}
		check_worker(fleet, worker, now_us);
	}
}
