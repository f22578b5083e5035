#include "workflow/shard_priv.h"

#include <string.h>

/* A commit, also one without changes, tells the others that the owner lives. */
#define RENEW_MS 400
/* Without a commit for this long the owner counts as cut off from the table service. */
#define STALLED_US (1200 * 1000)
/* Ended jobs are answered from memory, and swept from the table, after this long. */
#define ENDED_KEEP_US (300LL * G_USEC_PER_SEC)
/* Wall clocks differ between instances; an age beyond this is not believed. */
#define AGE_MAX_MS (600 * 1000)
#define SWEEP_US (5 * G_USEC_PER_SEC)

static const char *const state_names[] = {"unknown",   "queued", "running",
					  "completed", "failed", "cancelled"};

/**
 * lug_workflow_state_name - name of a state as shown to submitters
 */
const char *lug_workflow_state_name(enum lug_workflow_state state)
{
	return state <= LUG_WORKFLOW_CANCELLED ? state_names[state] : state_names[0];
}

/**
 * lug_workflow_state_parse - read a state's name; LUG_WORKFLOW_UNKNOWN for another text
 */
enum lug_workflow_state lug_workflow_state_parse(const char *name)
{
	for (int i = LUG_WORKFLOW_QUEUED; i <= LUG_WORKFLOW_CANCELLED; i++)
		if (!strcmp(name, state_names[i]))
			return (enum lug_workflow_state)i;
	return LUG_WORKFLOW_UNKNOWN;
}

struct shard_ref *shard_ref_new(struct lug_shard *shard, const char *job)
{
	struct shard_ref *ref = g_new0(struct shard_ref, 1);

	ref->shard = shard;
	ref->generation = shard->generation;
	g_strlcpy(ref->job, job, sizeof(ref->job));
	return ref;
}

gboolean shard_ref_valid(const struct shard_ref *ref)
{
	return ref->generation == ref->shard->generation;
}

void shard_occurrence_free(gpointer data)
{
	struct shard_occurrence *occ = data;

	g_free(occ->tasks);
	g_free(occ->done);
	g_free(occ);
}

/*
 * Checkpoints belong to their tasks, whose number only the entry knows.
 */
static void free_checkpoints(const struct shard_job *entry, struct shard_occurrence *occ)
{
	for (guint32 i = 0; i < entry->first[entry->flow->n_steps]; i++)
		g_free(occ->tasks[i].checkpoint);
}

/**
 * shard_notify - tell callers that wait what has come of it, once
 */
void shard_notify(GArray *waiters, enum lug_status status)
{
	for (guint i = 0; i < waiters->len; i++) {
		struct shard_waiter *waiter = &g_array_index(waiters, struct shard_waiter, i);

		waiter->fn(waiter->data, status);
	}
	g_array_set_size(waiters, 0);
}

void shard_job_free(gpointer data)
{
	struct shard_job *entry = data;

	for (guint i = 0; i < entry->occurrences->len; i++)
		free_checkpoints(entry, g_ptr_array_index(entry->occurrences, i));
	shard_notify(entry->waiters, LUG_UNKNOWN);
	shard_notify(entry->storers, LUG_UNKNOWN);
	g_ptr_array_unref(entry->occurrences);
	g_array_unref(entry->acks);
	g_array_unref(entry->waiters);
	g_array_unref(entry->storers);
	g_string_free(entry->ends, TRUE);
	g_string_free(entry->refusals, TRUE);
	g_free(entry->body);
	lug_workflow_free(entry->flow);
	g_free(entry->first);
	g_free(entry);
}

struct shard_occurrence *shard_occurrence_begin(struct shard_job *entry, guint32 number)
{
	struct shard_occurrence *occ = g_new0(struct shard_occurrence, 1);
	guint32 n = entry->first[entry->flow->n_steps];

	occ->number = number;
	occ->tasks = g_new0(struct shard_task, n);
	occ->done = g_new0(guint32, entry->flow->n_steps);
	occ->left = n;
	g_ptr_array_add(entry->occurrences, occ);
	return occ;
}

/**
 * shard_job_new - add a live job to a shard
 * @shard: shard
 * @flow: job, owned by the entry from here on
 * @version: version of its row
 * @now_us: present time
 */
struct shard_job *shard_job_new(struct lug_shard *shard, struct lug_workflow *flow, gint64 version,
				gint64 now_us)
{
	struct shard_job *entry = g_new0(struct shard_job, 1);
	const struct lug_queue_def *def =
		lug_queues_find(lug_config_queues(shard->env.config), flow->queue);
	gint64 age_ms;

	entry->flow = flow;
	entry->version = version;
	entry->in_inbox = TRUE;
	entry->first = g_new0(guint32, flow->n_steps + 1);
	for (guint32 s = 0; s < flow->n_steps; s++)
		entry->first[s + 1] = entry->first[s] + flow->steps[s].count;
	entry->occurrences = g_ptr_array_new_with_free_func(shard_occurrence_free);
	entry->acks = g_array_new(FALSE, FALSE, sizeof(struct shard_ack));
	entry->waiters = g_array_new(FALSE, FALSE, sizeof(struct shard_waiter));
	entry->ends = g_string_new(NULL);
	entry->refusals = g_string_new(NULL);
	entry->storers = g_array_new(FALSE, FALSE, sizeof(struct shard_waiter));
	entry->priority = def ? def->priority : 0;
	age_ms = g_get_real_time() / 1000 - flow->accepted_ms;
	entry->accepted_us = now_us - CLAMP(age_ms, 0, AGE_MAX_MS) * 1000;
	g_hash_table_insert(shard->jobs, flow->id, entry);
	g_ptr_array_add(shard->order, entry);
	shard->sorted = FALSE;
	return entry;
}

/**
 * shard_job_changed - note that a job's state differs from what is stored
 */
void shard_job_changed(struct lug_shard *shard, struct shard_job *entry)
{
	entry->gen++;
	lug_shard_wake(shard);
}

void shard_job_remove(struct lug_shard *shard, struct shard_job *entry)
{
	g_ptr_array_remove(shard->order, entry);
	g_hash_table_remove(shard->jobs, entry->flow->id);
	shard_job_free(entry);
}

/**
 * shard_find_task - task that a run's name names, NULL when there is none
 */
struct shard_task *shard_find_task(struct shard_job *entry, const struct lug_run_id *id)
{
	if (id->step >= entry->flow->n_steps || id->index >= entry->flow->steps[id->step].count)
		return NULL;
	for (guint i = 0; i < entry->occurrences->len; i++) {
		struct shard_occurrence *occ = g_ptr_array_index(entry->occurrences, i);

		if (occ->number == id->occurrence)
			return &occ->tasks[entry->first[id->step] + id->index];
	}
	return NULL;
}

void shard_task_id(const struct shard_job *entry, const struct shard_occurrence *occ, guint32 step,
		   guint32 index, struct lug_run_id *out)
{
	g_strlcpy(out->job, entry->flow->id, sizeof(out->job));
	out->occurrence = occ->number;
	out->step = step;
	out->index = index;
	out->run = occ->tasks[entry->first[step] + index].run;
}

/**
 * shard_size - what a task of a step takes of a worker's room
 * @step: step
 * @out: filled in; a task that fills counts no cores
 */
void shard_size(const struct lug_step *step, struct lug_resources *out)
{
	*out = step->size;
	if (step->best_effort)
		out->millicores = 0;
}

/**
 * shard_attempts - runs of a task that may fail before its job fails
 */
guint32 shard_attempts(const struct lug_shard *shard, const struct shard_job *entry)
{
	const struct lug_queue_def *def =
		lug_queues_find(lug_config_queues(shard->env.config), entry->flow->queue);

	return def ? MAX(def->attempts, 1) : G_MAXUINT32;
}

static void fill_row(void *data, JsonObject *row)
{
	struct lug_shard *shard = data;

	json_object_set_string_member(row, "address", shard->env.ctx->settings->advertise);
}

static void on_writer(void *data, enum lug_writer_event event)
{
	struct lug_shard *shard = data;
	enum lug_shard_event told = LUG_SHARD_RELEASED;
	gint64 now_us = lug_now_us();

	if (event == LUG_WRITER_TAKEN)
		told = LUG_SHARD_TAKEN;
	else if (event == LUG_WRITER_LOST)
		told = shard->owned ? LUG_SHARD_LOST : LUG_SHARD_MISSED;
	shard->owned = event == LUG_WRITER_TAKEN;
	shard_reset(shard);
	if (shard->owned) {
		shard->committed_us = now_us;
		shard_load_start(shard, now_us);
	}
	shard->fn(shard->data, shard->number, told);
}

/**
 * lug_shard_new - a shard that this process does not own yet
 * @env: parts of the process, copied
 * @number: shard
 * @fn: told of each change of hands
 * @data: passed to @fn
 */
struct lug_shard *lug_shard_new(const struct lug_shard_env *env, guint32 number, lug_shard_fn fn,
				void *data)
{
	struct lug_shard *shard = g_new0(struct lug_shard, 1);
	struct lug_writer_config config = {.table = SHARD_LEASE_TABLE,
					   .ttl_ms = env->ctx->settings->queue_lease_ms,
					   .renew_ms = RENEW_MS,
					   .fill = fill_row,
					   .event = on_writer,
					   .data = shard};

	shard->env = *env;
	shard->number = number;
	g_snprintf(shard->name, sizeof(shard->name), "%u", number);
	config.key = shard->name;
	shard->store = lug_store_part(env->store, shard->name);
	shard->writer = lug_writer_new(env->ctx, shard->store, &config);
	shard->fn = fn;
	shard->data = data;
	shard->jobs = g_hash_table_new(g_str_hash, g_str_equal);
	shard->order = g_ptr_array_new();
	shard->ended = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	return shard;
}

void shard_unclaim_all(struct lug_shard *shard, struct shard_job *entry)
{
	for (guint k = 0; k < entry->occurrences->len; k++) {
		struct shard_occurrence *occ = g_ptr_array_index(entry->occurrences, k);

		for (guint32 t = 0; t < entry->first[entry->flow->n_steps]; t++)
			if (occ->tasks[t].state == SHARD_TASK_CLAIMED)
				shard_unclaim(shard, entry, &occ->tasks[t],
					      shard_step(entry, t, NULL));
	}
}

/**
 * shard_reset - forget all that was read or learned as the owner
 */
void shard_reset(struct lug_shard *shard)
{
	GPtrArray *order = shard->order;

	shard->generation++;
	shard->order = g_ptr_array_new();
	g_hash_table_remove_all(shard->jobs);
	g_hash_table_remove_all(shard->ended);
	for (guint i = 0; i < order->len; i++) {
		struct shard_job *entry = g_ptr_array_index(order, i);

		shard_log_runs(shard, entry);
		shard_unclaim_all(shard, entry);
		shard_job_free(entry);
	}
	g_ptr_array_unref(order);
	shard->load = LOAD_NONE;
	shard->scanning = FALSE;
	shard->reading_inbox = FALSE;
	shard->in_flight = 0;
	shard->seq = 0;
	g_clear_pointer(&shard->scan_after, g_free);
}

/**
 * lug_shard_close - do nothing more; the store may be freed after this
 */
void lug_shard_close(struct lug_shard *shard)
{
	shard->closed = TRUE;
	if (shard->wake)
		g_source_remove(shard->wake);
	shard->wake = 0;
}

/**
 * lug_shard_free - release a shard without giving it back
 * @shard: may be NULL; the root store must be freed before
 */
void lug_shard_free(struct lug_shard *shard)
{
	if (!shard)
		return;
	lug_shard_close(shard);
	shard_reset(shard);
	lug_writer_free(shard->writer);
	lug_store_free(shard->store);
	g_hash_table_unref(shard->jobs);
	g_hash_table_unref(shard->ended);
	g_ptr_array_unref(shard->order);
	g_free(shard);
}

/**
 * lug_shard_take - try to become the owner; the outcome is told by the hook
 * @shard: shard
 * @seen: row as last read
 * @now_us: present time
 */
void lug_shard_take(struct lug_shard *shard, const struct lug_row *seen, gint64 now_us)
{
	lug_writer_take(shard->writer, seen, now_us);
}

/**
 * lug_shard_read_row - read the row that tells who owns the shard
 */
void lug_shard_read_row(struct lug_shard *shard, lug_scan_fn fn, void *data)
{
	lug_store_scan(shard->store, SHARD_LEASE_TABLE, shard->name, NULL, 1, fn, data);
}

/**
 * lug_shard_release - give the shard back after what is submitted has committed
 */
void lug_shard_release(struct lug_shard *shard, gint64 now_us)
{
	lug_writer_release(shard->writer, now_us);
}

gboolean lug_shard_held(const struct lug_shard *shard)
{
	return lug_writer_held(shard->writer);
}

/**
 * lug_shard_owned - tell whether the shard is this process's, also while it is given back
 */
gboolean lug_shard_owned(const struct lug_shard *shard)
{
	return shard->owned;
}

/**
 * lug_shard_loaded - tell whether the rows were read since the take
 */
gboolean lug_shard_loaded(const struct lug_shard *shard)
{
	return shard->load == LOAD_DONE;
}

/**
 * lug_shard_stalled - tell whether the owner can't commit at present
 */
gboolean lug_shard_stalled(const struct lug_shard *shard, gint64 now_us)
{
	return now_us - shard->committed_us > STALLED_US;
}

guint64 lug_shard_epoch(const struct lug_shard *shard)
{
	return lug_writer_epoch(shard->writer);
}

static gboolean on_wake(gpointer data)
{
	struct lug_shard *shard = data;
	gint64 now_us = lug_now_us();

	shard->wake = 0;
	if (!lug_shard_held(shard) || shard->load != LOAD_DONE)
		return G_SOURCE_REMOVE;
	shard_place(shard, now_us);
	shard_commit(shard, now_us);
	return G_SOURCE_REMOVE;
}

/**
 * lug_shard_wake - place and commit once the messages at hand are read
 */
void lug_shard_wake(struct lug_shard *shard)
{
	if (!shard->wake && !shard->closed)
		shard->wake = g_idle_add_full(G_PRIORITY_DEFAULT + 1, on_wake, shard, NULL);
}

static void on_swept(void *data, enum lug_status status, gint64 version)
{
	(void)data;
	(void)status;
	(void)version;
}

static void sweep(struct lug_shard *shard, gint64 now_us)
{
	GHashTableIter iter;
	gpointer key;
	gpointer value;
	struct lug_op *op = NULL;

	if (now_us < shard->next_sweep_us)
		return;
	shard->next_sweep_us = now_us + SWEEP_US;
	g_hash_table_iter_init(&iter, shard->ended);
	while (g_hash_table_iter_next(&iter, &key, &value)) {
		if (now_us - ((struct shard_ended *)value)->at_us < ENDED_KEEP_US)
			continue;
		if (!op)
			op = lug_op_new(on_swept, shard);
		if (op->txn.puts->len >= 32)
			break;
		lug_txn_delete(&op->txn, SHARD_ENDED_TABLE, key);
		g_hash_table_iter_remove(&iter);
	}
	if (op)
		lug_writer_submit(shard->writer, op, now_us);
}

/**
 * lug_shard_tick - renew, load and place; call it several times a second
 * @shard: shard
 * @now_us: present time
 */
void lug_shard_tick(struct lug_shard *shard, gint64 now_us)
{
	lug_writer_tick(shard->writer, now_us);
	if (!lug_shard_held(shard))
		return;
	if (lug_writer_valid_until(shard->writer) > 0)
		shard->committed_us = MAX(shard->committed_us,
					  lug_writer_valid_until(shard->writer) -
						  shard->env.ctx->settings->queue_lease_ms * 1000);
	shard_load_tick(shard, now_us);
	if (shard->load != LOAD_DONE)
		return;
	shard_inbox_tick(shard, now_us);
	sweep(shard, now_us);
	shard_begin_due(shard, now_us);
	shard_place(shard, now_us);
	shard_commit(shard, now_us);
}
