#include "workflow/shard_map.h"
#include "workflow/shard_priv.h"

#include <string.h>

/*
 * Longest time between two commits of an owner. Each commit, even an empty one, renews the lease.
 * Must be below LEASE_ROW_UNCHANGED_US in shards.c, after which a candidate takes the shard over.
 */
#define RENEW_INTERVAL_MS 400
/* An owner without a commit for this long is reported as cut off from the table service. */
#define COMMIT_STALL_US (1200 * 1000)
/* Time for which final states of jobs ended under this owner stay in memory and in the table. */
#define ENDED_RETENTION_US (300LL * G_USEC_PER_SEC)
/*
 * Limits a job's age, which is computed from the wall clocks of two instances that may differ. The
 * job's deadline counts from its acceptance.
 */
#define MAX_JOB_AGE_MS (600 * 1000)
#define SWEEP_INTERVAL_US (5 * G_USEC_PER_SEC)

static const char *const state_names[] = {"unknown",   "queued", "running",
					  "completed", "failed", "cancelled"};

/**
 * lug_workflow_state_name - name of a state as shown to submitters, "unknown" for an invalid one
 */
const char *lug_workflow_state_name(enum lug_workflow_state state)
{
	return state <= LUG_WORKFLOW_CANCELLED ? state_names[state] : state_names[0];
}

/**
 * lug_workflow_state_parse - state with a given name, LUG_WORKFLOW_UNKNOWN for an unknown one
 */
enum lug_workflow_state lug_workflow_state_parse(const char *name)
{
	for (int i = LUG_WORKFLOW_QUEUED; i <= LUG_WORKFLOW_CANCELLED; i++)
		if (!strcmp(name, state_names[i]))
			return (enum lug_workflow_state)i;
	return LUG_WORKFLOW_UNKNOWN;
}

struct shard_ref *shard_ref_new(struct lug_shard *shard, const char *id)
{
	struct shard_ref *ref = g_new0(struct shard_ref, 1);

	ref->shard = shard;
	ref->generation = shard->generation;
	g_strlcpy(ref->job_id, id, sizeof(ref->job_id));
	return ref;
}

/* FALSE once the ownership has changed since the call. */
gboolean shard_ref_is_valid(const struct shard_ref *ref)
{
	return ref->generation == ref->shard->generation;
}

void shard_occurrence_free(gpointer data)
{
	struct shard_occurrence *occ = data;

	g_free(occ->tasks);
	g_free(occ->done_per_step);
	g_free(occ);
}

/* The number of tasks is known only to the job, so shard_occurrence_free() can't do this. */
static void free_occurrence_checkpoints(const struct shard_job *job, struct shard_occurrence *occ)
{
	for (guint32 i = 0; i < job->first_task[job->workflow->n_steps]; i++)
		g_free(occ->tasks[i].checkpoint);
}

/**
 * shard_notify_waiters - call all waiters with an outcome and remove them
 * @waiters: array of struct shard_waiter
 * @status: outcome
 */
void shard_notify_waiters(GArray *waiters, enum lug_status status)
{
	for (guint i = 0; i < waiters->len; i++) {
		struct shard_waiter *waiter = &g_array_index(waiters, struct shard_waiter, i);

		waiter->fn(waiter->data, status);
	}
	g_array_set_size(waiters, 0);
}

void shard_job_free(gpointer data)
{
	struct shard_job *job = data;

	for (guint i = 0; i < job->occurrences->len; i++)
		free_occurrence_checkpoints(job, g_ptr_array_index(job->occurrences, i));
	shard_notify_waiters(job->cancel_waiters, LUG_UNKNOWN);
	shard_notify_waiters(job->store_waiters, LUG_UNKNOWN);
	g_ptr_array_unref(job->occurrences);
	g_array_unref(job->pending_acks);
	g_array_unref(job->cancel_waiters);
	g_array_unref(job->store_waiters);
	g_string_free(job->ended_runs, TRUE);
	g_string_free(job->refused_runs, TRUE);
	g_free(job->unstored_body);
	lug_workflow_free(job->workflow);
	g_free(job->first_task);
	g_free(job);
}

/**
 * shard_occurrence_identify - set what identifies each task of an occurrence
 */
void shard_occurrence_identify(struct shard_job *job, struct shard_occurrence *occ)
{
	for (guint32 s = 0; s < job->workflow->n_steps; s++)
		for (guint32 i = job->first_task[s]; i < job->first_task[s + 1]; i++) {
			struct shard_task *task = &occ->tasks[i];

			lug_list_init(&task->claim_node);
			task->job = job;
			task->occurrence = occ->number;
			task->step = s;
			task->index = i - job->first_task[s];
		}
}

struct shard_occurrence *shard_occurrence_begin(struct shard_job *job, guint32 number)
{
	struct shard_occurrence *occ = g_new0(struct shard_occurrence, 1);
	guint32 n = job->first_task[job->workflow->n_steps];

	occ->number = number;
	occ->tasks = g_new0(struct shard_task, n);
	occ->done_per_step = g_new0(guint32, job->workflow->n_steps);
	occ->tasks_left = n;
	shard_occurrence_identify(job, occ);
	g_ptr_array_add(job->occurrences, occ);
	return occ;
}

/**
 * shard_job_new - add a live job to a shard
 * @shard: shard
 * @workflow: definition; ownership passes to the job
 * @version: version of its row, 0 when it is not stored
 * @now_us: current time
 *
 * Return: the job, owned by the shard.
 */
struct shard_job *shard_job_new(struct lug_shard *shard, struct lug_workflow *workflow,
				gint64 version, gint64 now_us)
{
	struct shard_job *job = g_new0(struct shard_job, 1);
	const struct lug_queue_def *def =
		lug_queues_find(lug_config_queues(shard->shared.config), workflow->queue);
	gint64 age_ms;

	job->workflow = workflow;
	job->row_version = version;
	job->in_inbox = TRUE;
	job->first_task = g_new0(guint32, workflow->n_steps + 1);
	for (guint32 s = 0; s < workflow->n_steps; s++)
		job->first_task[s + 1] = job->first_task[s] + workflow->steps[s].count;
	job->occurrences = g_ptr_array_new_with_free_func(shard_occurrence_free);
	job->pending_acks = g_array_new(FALSE, FALSE, sizeof(struct shard_ack));
	job->cancel_waiters = g_array_new(FALSE, FALSE, sizeof(struct shard_waiter));
	job->ended_runs = g_string_new(NULL);
	job->refused_runs = g_string_new(NULL);
	job->store_waiters = g_array_new(FALSE, FALSE, sizeof(struct shard_waiter));
	job->priority = def ? def->priority : 0;
	job->order.priority = job->priority;
	age_ms = g_get_real_time() / 1000 - workflow->accepted_ms;
	job->accepted_us = now_us - CLAMP(age_ms, 0, MAX_JOB_AGE_MS) * 1000;
	g_hash_table_insert(shard->jobs, workflow->id, job);
	g_ptr_array_add(shard->placement_order, job);
	shard->order_valid = FALSE;
	return job;
}

/**
 * shard_job_mark_changed - schedule a commit of a job's state
 */
void shard_job_mark_changed(struct lug_shard *shard, struct shard_job *job)
{
	job->revision++;
	lug_shard_wake(shard);
}

void shard_job_remove(struct lug_shard *shard, struct shard_job *job)
{
	g_ptr_array_remove(shard->placement_order, job);
	g_hash_table_remove(shard->jobs, job->workflow->id);
	shard_job_free(job);
}

/**
 * shard_find_task - task of a run, NULL when its occurrence is not active or the id is invalid
 */
struct shard_task *shard_find_task(struct shard_job *job, const struct lug_run_id *id)
{
	if (id->step >= job->workflow->n_steps || id->index >= job->workflow->steps[id->step].count)
		return NULL;
	for (guint i = 0; i < job->occurrences->len; i++) {
		struct shard_occurrence *occ = g_ptr_array_index(job->occurrences, i);

		if (occ->number == id->occurrence)
			return &occ->tasks[job->first_task[id->step] + id->index];
	}
	return NULL;
}

void shard_task_run_id(const struct shard_job *job, const struct shard_occurrence *occ,
		       guint32 step, guint32 index, struct lug_run_id *out)
{
	g_strlcpy(out->job, job->workflow->id, sizeof(out->job));
	out->occurrence = occ->number;
	out->step = step;
	out->index = index;
	out->run = occ->tasks[job->first_task[step] + index].run;
}

/**
 * shard_step_size - resources that a task of a step reserves on a worker
 * @step: step
 * @out: filled in; a best-effort task reserves no cores
 */
void shard_step_size(const struct lug_step *step, struct lug_resources *out)
{
	*out = step->size;
	if (step->best_effort)
		out->millicores = 0;
}

/**
 * shard_max_attempts - failed runs of one task after which its job fails
 *
 * Return: G_MAXUINT32 when the job's queue is not configured.
 */
guint32 shard_max_attempts(const struct lug_shard *shard, const struct shard_job *job)
{
	const struct lug_queue_def *def =
		lug_queues_find(lug_config_queues(shard->shared.config), job->workflow->queue);

	return def ? MAX(def->failures_max, 1) : G_MAXUINT32;
}

static void fill_lease_row(void *data, JsonObject *row)
{
	struct lug_shard *shard = data;

	json_object_set_string_member(row, "address", shard->shared.ctx->settings->advertise);
	lug_fleet_add_watched_leases(shard->shared.fleet, row, lug_now_us());
}

/*
 * The owner row changes with the lease, so that a write which takes effect late can't replace the
 * row of a later owner.
 */
static void add_owner_row(void *data, struct lug_txn *txn, gboolean releasing)
{
	struct lug_shard *shard = data;
	JsonObject *row = json_object_new();

	json_object_set_int_member(row, "epoch", (gint64)lug_shard_epoch(shard));
	json_object_set_string_member(row, "address",
				      releasing ? "" : shard->shared.ctx->settings->advertise);
	lug_txn_put(txn, LUG_SHARD_OWNER_TABLE, shard->name, row);
	json_object_unref(row);
}

static void on_lease_event(void *data, enum lug_writer_event event)
{
	struct lug_shard *shard = data;
	enum lug_shard_event shard_event = LUG_SHARD_RELEASED;
	gint64 now_us = lug_now_us();

	if (event == LUG_WRITER_TAKEN)
		shard_event = LUG_SHARD_TAKEN;
	else if (event == LUG_WRITER_NOT_HELD)
		shard_event = shard->owned ? LUG_SHARD_LOST : LUG_SHARD_TAKE_FAILED;
	shard->owned = event == LUG_WRITER_TAKEN;
	shard_reset_state(shard);
	if (shard->owned) {
		shard->last_commit_us = now_us;
		shard_load_start(shard, now_us);
	}
	shard->event_fn(shard->event_data, shard->number, shard_event);
}

/**
 * lug_shard_new - create a shard that is not owned
 * @shared: shared objects, copied; they must outlive the shard, except the table service client
 * (see lug_shard_free())
 * @number: shard
 * @fn: called with each event in the ownership
 * @data: passed to @fn
 */
struct lug_shard *lug_shard_new(const struct lug_shard_env *shared, guint32 number,
				lug_shard_event_fn fn, void *data)
{
	struct lug_shard *shard = g_new0(struct lug_shard, 1);
	struct lug_writer_config config = {.table = SHARD_LEASE_TABLE,
					   .ttl_ms = shared->ctx->settings->queue_lease_ms,
					   .renew_ms = RENEW_INTERVAL_MS,
					   .fill_row = fill_lease_row,
					   .add_writes = add_owner_row,
					   .on_event = on_lease_event,
					   .data = shard};

	shard->shared = *shared;
	shard->number = number;
	g_snprintf(shard->name, sizeof(shard->name), "%u", number);
	config.key = shard->name;
	shard->store = lug_store_partition(shared->store, shard->name);
	shard->writer = lug_writer_new(shared->ctx, shard->store, &config);
	shard->event_fn = fn;
	shard->event_data = data;
	shard->jobs = g_hash_table_new(g_str_hash, g_str_equal);
	shard->claims = g_hash_table_new_full(NULL, NULL, NULL, shard_claims_free);
	shard->placement_order = g_ptr_array_new();
	shard->admission = lug_admission_new();
	shard->obsolete_ends = g_array_new(FALSE, FALSE, sizeof(struct shard_obsolete_end));
	shard->reserves = shard_reserves_new();
	shard->ended_jobs = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	return shard;
}

void shard_release_job_claims(struct lug_shard *shard, struct shard_job *job)
{
	for (guint k = 0; k < job->occurrences->len; k++) {
		struct shard_occurrence *occ = g_ptr_array_index(job->occurrences, k);

		for (guint32 t = 0; t < job->first_task[job->workflow->n_steps]; t++)
			if (occ->tasks[t].state == SHARD_TASK_CLAIMED)
				shard_release_claim(shard, job, &occ->tasks[t],
						    shard_task_step(job, t, NULL));
	}
}

/**
 * shard_reset_state - drop all state of the current ownership and invalidate calls in flight
 */
void shard_reset_state(struct lug_shard *shard)
{
	GPtrArray *order = shard->placement_order;

	shard->generation++;
	shard->placement_order = g_ptr_array_new();
	g_hash_table_remove_all(shard->jobs);
	g_hash_table_remove_all(shard->ended_jobs);
	for (guint i = 0; i < order->len; i++) {
		struct shard_job *job = g_ptr_array_index(order, i);

		shard_log_runs(shard, job);
		shard_release_job_claims(shard, job);
		shard_job_free(job);
	}
	g_ptr_array_unref(order);
	g_hash_table_remove_all(shard->claims);
	lug_admission_reset(shard->admission);
	g_array_set_size(shard->obsolete_ends, 0);
	shard_reserve_reset(shard);
	shard->load_phase = SHARD_LOAD_NONE;
	shard->scanning = FALSE;
	shard->reading_inbox = FALSE;
	shard->jobs_in_flight = 0;
	shard->last_start_seq = 0;
	g_clear_pointer(&shard->scan_after, g_free);
}

/**
 * lug_shard_close - cancel the pending pass of placement and commit and prevent further ones
 *
 * Call it before the store is freed.
 */
void lug_shard_close(struct lug_shard *shard)
{
	shard->closed = TRUE;
	if (shard->wake_source)
		g_source_remove(shard->wake_source);
	shard->wake_source = 0;
}

/**
 * lug_shard_free - free a shard without releasing its lease
 * @shard: may be NULL; the table service client passed to lug_shard_new() must be freed before the
 *         shard
 */
void lug_shard_free(struct lug_shard *shard)
{
	if (!shard)
		return;
	lug_shard_close(shard);
	shard_reset_state(shard);
	lug_writer_free(shard->writer);
	lug_store_free(shard->store);
	g_hash_table_unref(shard->jobs);
	g_hash_table_unref(shard->claims);
	g_hash_table_unref(shard->ended_jobs);
	lug_admission_free(shard->admission);
	g_array_unref(shard->obsolete_ends);
	g_array_unref(shard->reserves);
	g_ptr_array_unref(shard->placement_order);
	g_free(shard);
}

/**
 * lug_shard_take - try to become the owner
 * @shard: shard
 * @seen: lease row as last read
 * @now_us: current time
 *
 * The outcome is reported as LUG_SHARD_TAKEN or LUG_SHARD_TAKE_FAILED.
 */
void lug_shard_take(struct lug_shard *shard, const struct lug_row *seen, gint64 now_us)
{
	lug_fleet_inherit_leases(shard->shared.fleet, seen->data, now_us);
	lug_writer_take(shard->writer, seen, now_us);
}

/**
 * lug_shard_read_lease_row - read the lease row of the shard, which names its owner
 */
void lug_shard_read_lease_row(struct lug_shard *shard, lug_scan_fn fn, void *data)
{
	lug_store_scan(shard->store, SHARD_LEASE_TABLE, shard->name, NULL, 1, fn, data);
}

/**
 * lug_shard_release - release the shard once all submitted transactions have committed
 */
void lug_shard_release(struct lug_shard *shard, gint64 now_us)
{
	lug_writer_release(shard->writer, now_us);
}

/**
 * lug_shard_is_active - whether this process owns the shard and is not releasing it
 */
gboolean lug_shard_is_active(const struct lug_shard *shard)
{
	return lug_writer_is_held(shard->writer);
}

/**
 * lug_shard_is_owned - whether this process owns the shard, including while it is released
 */
gboolean lug_shard_is_owned(const struct lug_shard *shard)
{
	return shard->owned;
}

/**
 * lug_shard_is_taking - whether an attempt to take the shard has no outcome yet
 */
gboolean lug_shard_is_taking(const struct lug_shard *shard)
{
	return lug_writer_is_taking(shard->writer);
}

/**
 * lug_shard_is_loaded - whether all rows of the owned shard are read
 */
gboolean lug_shard_is_loaded(const struct lug_shard *shard)
{
	return shard->load_phase == SHARD_LOAD_DONE;
}

/**
 * lug_shard_is_stalled - whether no commit of the owner has succeeded recently
 */
gboolean lug_shard_is_stalled(const struct lug_shard *shard, gint64 now_us)
{
	return now_us - shard->last_commit_us > COMMIT_STALL_US;
}

/**
 * lug_shard_epoch - epoch of the ownership
 */
guint64 lug_shard_epoch(const struct lug_shard *shard)
{
	return lug_writer_epoch(shard->writer);
}

static gboolean on_wake(gpointer data)
{
	struct lug_shard *shard = data;
	gint64 now_us = lug_now_us();

	shard->wake_source = 0;
	if (!lug_shard_is_active(shard) || shard->load_phase != SHARD_LOAD_DONE)
		return G_SOURCE_REMOVE;
	shard_stop_ended_jobs(shard, now_us);
	shard_place_tasks(shard, now_us);
	shard_commit_changes(shard, now_us);
	return G_SOURCE_REMOVE;
}

/**
 * lug_shard_wake - place tasks and commit once the messages already received are handled
 */
void lug_shard_wake(struct lug_shard *shard)
{
	/* The source runs after all pending sources of default priority. */
	if (!shard->wake_source && !shard->closed)
		shard->wake_source = g_idle_add_full(G_PRIORITY_DEFAULT + 1, on_wake, shard, NULL);
}

static void on_swept(void *data, enum lug_status status, gint64 version)
{
	(void)data;
	(void)status;
	(void)version;
}

static void sweep_ended_jobs(struct lug_shard *shard, gint64 now_us)
{
	GHashTableIter iter;
	gpointer key;
	gpointer value;
	struct lug_writer_op *op = NULL;

	if (now_us < shard->next_sweep_us)
		return;
	shard->next_sweep_us = now_us + SWEEP_INTERVAL_US;
	g_hash_table_iter_init(&iter, shard->ended_jobs);
	while (g_hash_table_iter_next(&iter, &key, &value)) {
		if (now_us - ((struct shard_ended *)value)->ended_us < ENDED_RETENTION_US)
			continue;
		if (!op)
			op = lug_writer_op_new(on_swept, shard);
		/* Limits the size of one transaction; the next sweep deletes the rest. */
		if (op->txn.puts->len >= 32)
			break;
		lug_txn_delete(&op->txn, SHARD_ENDED_TABLE, key);
		g_hash_table_iter_remove(&iter);
	}
	if (op)
		lug_writer_submit(shard->writer, op, now_us);
}

/**
 * lug_shard_tick - renew the lease, load rows, place tasks and commit
 * @shard: shard
 * @now_us: current time
 *
 * Call it several times a second.
 */
void lug_shard_tick(struct lug_shard *shard, gint64 now_us)
{
	lug_writer_tick(shard->writer, now_us);
	shard_admission_tick(shard, now_us);
	if (!lug_shard_is_active(shard))
		return;
	/* A commit extends the lease by queue_lease_ms from the time at which it was sent. */
	if (lug_writer_valid_until_us(shard->writer) > 0)
		shard->last_commit_us =
			MAX(shard->last_commit_us,
			    lug_writer_valid_until_us(shard->writer) -
				    shard->shared.ctx->settings->queue_lease_ms * 1000);
	shard_ack_obsolete_ends(shard);
	shard_load_tick(shard, now_us);
	if (shard->load_phase != SHARD_LOAD_DONE)
		return;
	shard_inbox_tick(shard, now_us);
	sweep_ended_jobs(shard, now_us);
	shard_begin_due_occurrences(shard, now_us);
	shard_stop_ended_jobs(shard, now_us);
	shard_place_tasks(shard, now_us);
	shard_commit_changes(shard, now_us);
	shard_report_delays(shard, now_us);
}
