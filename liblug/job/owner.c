#include "job/owner_priv.h"

#include <string.h>

#define SCAN_INTERVAL_MS 2000
/* Interval of the checks that walk all jobs or tasks. */
#define SWEEP_INTERVAL_US (300 * 1000)

/**
 * owner_task_ref_new - reference a task for an asynchronous call
 * @owner: owner
 * @task: task; the reference is to its current attempt
 *
 * Return: the reference, freed with owner_task_ref_free().
 */
struct owner_task_ref *owner_task_ref_new(struct lug_owner *owner, const struct lug_task *task)
{
	struct owner_task_ref *ref = g_new0(struct owner_task_ref, 1);

	ref->owner = owner;
	g_strlcpy(ref->job, task->job->job->id, sizeof(ref->job));
	ref->index = task->index;
	ref->attempt = task->attempt;
	return ref;
}

/**
 * owner_task_ref_free - free a reference to a task
 * @ref: reference
 */
void owner_task_ref_free(struct owner_task_ref *ref)
{
	g_free(ref->checkpoint);
	g_free(ref);
}

/**
 * owner_task_ref_get - look up the task of a reference
 * @ref: reference
 *
 * Return: the task, or NULL when its job was removed or the task has a later attempt.
 */
struct lug_task *owner_task_ref_get(const struct owner_task_ref *ref)
{
	struct lug_task *task;

	if (!ref->owner->queue)
		return NULL;
	task = lug_queue_task(ref->owner->queue, ref->job, ref->index);
	return task && task->attempt == ref->attempt ? task : NULL;
}

static void fill_lease_row(void *data, JsonObject *row)
{
	struct lug_owner *owner = data;

	json_object_set_string_member(row, "address", owner->env.ctx->settings->advertise);
}

/**
 * owner_reset - discard all state read from the tables
 * @owner: owner
 *
 * Raises the generation, so that replies to earlier scans are ignored.
 */
void owner_reset(struct lug_owner *owner)
{
	g_clear_pointer(&owner->queue, lug_queue_free);
	g_hash_table_remove_all(owner->lease_watches);
	g_hash_table_remove_all(owner->dropped_jobs);
	g_array_set_size(owner->obsolete_reports, 0);
	g_clear_pointer(&owner->scan_after, g_free);
	owner->load = LOAD_NONE;
	owner->generation++;
}

static void on_writer_event(void *data, enum lug_writer_event event)
{
	struct lug_owner *owner = data;

	owner_reset(owner);
	if (event != LUG_WRITER_TAKEN)
		return;
	owner->queue = lug_queue_new(owner->team);
	owner->load = LOAD_JOBS;
	owner->last_seq = 0;
	owner->next_scan_us = 0;
	lug_info(owner->env.ctx, "queue_owned", "team", owner->team);
	owner_scan(owner, lug_now_us());
}

/**
 * lug_owner_new - create the owner object of a queue that this process does not hold
 * @env: shared dependencies, copied
 * @team: team of the queue
 *
 * Return: the owner, freed with lug_owner_free().
 */
struct lug_owner *lug_owner_new(const struct lug_owner_env *env, const char *team)
{
	struct lug_owner *owner = g_new0(struct lug_owner, 1);
	struct lug_writer_config config = {
		.table = "queue",
		.key = team,
		.ttl_ms = env->ctx->settings->queue_lease_ms,
		.fill_row = fill_lease_row,
		.on_event = on_writer_event,
		.data = owner,
	};

	owner->env = *env;
	owner->team = g_strdup(team);
	owner->writer = lug_writer_new(env->ctx, env->store, &config);
	owner->lease_watches = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
	owner->dropped_jobs = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	owner->obsolete_reports = g_array_new(FALSE, FALSE, sizeof(struct owner_obsolete_report));
	return owner;
}

/**
 * lug_owner_free - free an owner
 * @owner: owner, may be NULL; its store must be freed first
 */
void lug_owner_free(struct lug_owner *owner)
{
	if (!owner)
		return;
	owner_reset(owner);
	lug_writer_free(owner->writer);
	g_hash_table_unref(owner->lease_watches);
	g_hash_table_unref(owner->dropped_jobs);
	g_array_unref(owner->obsolete_reports);
	g_free(owner->team);
	g_free(owner);
}

/**
 * lug_owner_team - team of the queue
 * @owner: owner
 *
 * Return: the name, valid as long as @owner.
 */
const char *lug_owner_team(const struct lug_owner *owner)
{
	return owner->team;
}

/**
 * lug_owner_epoch - epoch of the queue's lease
 * @owner: owner
 *
 * Return: the number of times that the lease has been taken, by any owner.
 */
guint64 lug_owner_epoch(const struct lug_owner *owner)
{
	return lug_writer_epoch(owner->writer);
}

/**
 * lug_owner_is_held - check whether this process holds the queue
 * @owner: owner
 */
gboolean lug_owner_is_held(const struct lug_owner *owner)
{
	return lug_writer_is_held(owner->writer) && owner->queue;
}

/**
 * lug_owner_take - try to take the lease of the queue
 * @owner: owner
 * @seen: the queue's row as last read
 * @now_us: current time
 */
void lug_owner_take(struct lug_owner *owner, const struct lug_row *seen, gint64 now_us)
{
	lug_writer_take(owner->writer, seen, now_us);
}

/**
 * lug_owner_release - release the queue
 * @owner: owner
 * @now_us: current time
 */
void lug_owner_release(struct lug_owner *owner, gint64 now_us)
{
	lug_writer_release(owner->writer, now_us);
}

/**
 * lug_owner_rescan - rescan the job rows now
 * @owner: owner
 * @now_us: current time
 *
 * If a scan is running, another one follows it.
 */
void lug_owner_rescan(struct lug_owner *owner, gint64 now_us)
{
	if (!lug_owner_is_held(owner) || owner->load != LOAD_DONE)
		return;
	if (owner->scanning)
		owner->scan_again = TRUE;
	else
		owner_scan(owner, now_us);
}

/**
 * lug_owner_tick - maintain the lease and the queue
 * @owner: owner
 * @now_us: current time
 *
 * Renews the lease, rescans the job rows, acknowledges obsolete reports, sends wants, resends
 * unanswered starts and stops, checks the leases of silent workers and closes ended jobs. To be
 * called several times a second.
 */
void lug_owner_tick(struct lug_owner *owner, gint64 now_us)
{
	lug_writer_tick(owner->writer, now_us);
	if (!lug_owner_is_held(owner))
		return;
	if (!owner->scanning && now_us >= owner->next_scan_us) {
		owner->next_scan_us =
			now_us + lug_jitter(owner->env.ctx->rng, SCAN_INTERVAL_MS) * 1000;
		owner_scan(owner, now_us);
	}
	if (owner->load != LOAD_DONE)
		return;
	owner_ack_obsolete_reports(owner);
	owner_dispatch_tick(owner, now_us);
	if (now_us < owner->next_sweep_us)
		return;
	owner->next_sweep_us = now_us + SWEEP_INTERVAL_US;
	owner_fence_tick(owner, now_us);
	owner_close_jobs(owner, now_us);
}

/**
 * lug_owner_pending - number of tasks that wait and may be started
 * @owner: owner
 * @now_us: current time
 */
guint lug_owner_pending(const struct lug_owner *owner, gint64 now_us)
{
	struct lug_demand demand = {0};

	if (owner->queue)
		lug_queue_demand(owner->queue, now_us, &demand);
	return demand.pending;
}
