#include "workflow/executor_priv.h"

#include <string.h>

#define LEASE_TABLE "worker"
#define RENEW_MS 1000
#define TAKE_AGAIN_US (300 * 1000)
/* A worker answers a look within half a second; one that has been silent for longer than
 * two may be gone for good. */
#define SILENT_US (1400 * 1000)

static void run_free(gpointer data)
{
	struct exec_run *run = data;

	g_free(run->spec);
	g_free(run->checkpoint);
	g_free(run);
}

static void end_free(gpointer data)
{
	struct exec_end *end = data;

	g_free(end->checkpoint);
	g_free(end);
}

static void on_writer(void *data, enum lug_writer_event event)
{
	struct lug_executor *exec = data;
	char epoch[24];

	exec->taking = FALSE;
	exec->owned = event == LUG_WRITER_TAKEN;
	g_snprintf(epoch, sizeof(epoch), "%" G_GUINT64_FORMAT, lug_writer_epoch(exec->writer));
	lug_info(exec->ctx, event == LUG_WRITER_TAKEN ? "worker_lease_taken" : "worker_lease_lost",
		 "lease_epoch", epoch);
	if (event != LUG_WRITER_TAKEN)
		return;
	/* The former holder's unanswered starts are void once the worker has seen this token. */
	exec->seen_epoch = 0;
	exec_hold(exec, lug_now_us());
}

/**
 * lug_executor_new - start without a lease
 * @ctx: context
 * @store: table service client; must be freed before the executor
 * @worker: client of the worker, owned by the executor
 * @shards: number of shards
 * @send: sends to a shard's owner
 * @data: passed to @send
 */
struct lug_executor *lug_executor_new(struct lug_ctx *ctx, struct lug_store *store,
				      struct lug_worker *worker, guint32 shards,
				      lug_owner_send_fn send, void *data)
{
	struct lug_executor *exec = g_new0(struct lug_executor, 1);
	struct lug_writer_config config = {.table = LEASE_TABLE,
					   .key = ctx->settings->name,
					   .ttl_ms = ctx->settings->worker_lease_ms,
					   .renew_ms = RENEW_MS,
					   .event = on_writer,
					   .data = exec};

	exec->ctx = ctx;
	exec->store = lug_store_part(store, ctx->settings->name);
	exec->writer = lug_writer_new(ctx, exec->store, &config);
	exec->worker = worker;
	exec->shards = shards;
	exec->interference = lug_interference_new();
	exec->present = g_array_new(FALSE, FALSE, sizeof(struct exec_presence));
	exec->owners = g_new0(struct exec_owner, shards);
	exec->send = send;
	exec->data = data;
	exec->runs = g_ptr_array_new_with_free_func(run_free);
	exec->ends = g_ptr_array_new_with_free_func(end_free);
	return exec;
}

/**
 * lug_executor_close - do nothing more; the store may be freed after this
 */
void lug_executor_close(struct lug_executor *exec)
{
	exec->closed = TRUE;
	if (exec->hold_timer)
		g_source_remove(exec->hold_timer);
	exec->hold_timer = 0;
}

/**
 * lug_executor_free - release the executor; what runs goes on until its lease ends
 * @exec: may be NULL
 */
void lug_executor_free(struct lug_executor *exec)
{
	if (!exec)
		return;
	lug_executor_close(exec);
	exec->worker->ops->free(exec->worker);
	lug_writer_free(exec->writer);
	lug_store_free(exec->store);
	g_ptr_array_unref(exec->runs);
	g_ptr_array_unref(exec->ends);
	g_strfreev(exec->labels);
	lug_interference_free(exec->interference);
	g_array_unref(exec->present);
	g_free(exec->owners);
	g_free(exec);
}

static void on_row(void *data, enum lug_status status, const struct lug_row *rows, guint n_rows,
		   gboolean more)
{
	struct lug_executor *exec = data;
	struct lug_row none = {0};
	gboolean found = n_rows && !strcmp(rows[0].key, exec->ctx->settings->name);

	(void)more;
	if (status != LUG_OK) {
		exec->taking = FALSE;
		return;
	}
	lug_writer_take(exec->writer, found ? &rows[0] : &none, lug_now_us());
}

static void take(struct lug_executor *exec, gint64 now_us)
{
	if (exec->taking || exec->leaving || lug_writer_held(exec->writer) ||
	    now_us < exec->next_take_us)
		return;
	exec->taking = TRUE;
	exec->next_take_us = now_us + TAKE_AGAIN_US;
	lug_store_scan(exec->store, LEASE_TABLE, exec->ctx->settings->name, NULL, 1, on_row, exec);
}

/**
 * exec_used - sum of all reservations
 */
void exec_used(const struct lug_executor *exec, struct lug_resources *out)
{
	memset(out, 0, sizeof(*out));
	for (guint i = 0; i < exec->runs->len; i++) {
		const struct exec_run *run = g_ptr_array_index(exec->runs, i);

		lug_resources_add(out, &run->size);
	}
}

/* Cores that a task uses: as the worker tells, or as declared while it has not been seen. */
static double used_millicores(const struct exec_run *run)
{
	if (run->target_ms)
		return (double)run->size.millicores * run->load.level;
	if (run->metric > 0)
		return (double)run->metric;
	return run->best_effort ? (double)run->best_effort_millicores * run->share
				: (double)run->size.millicores;
}

/**
 * exec_spare - cores that neither serving tasks at their load nor the other tasks use
 *
 * Return: thousandths of a core, may be negative.
 */
gint64 exec_spare(const struct lug_executor *exec)
{
	double left = (double)exec->capacity.millicores;

	for (guint i = 0; i < exec->runs->len; i++)
		left -= used_millicores(g_ptr_array_index(exec->runs, i));
	return (gint64)left;
}

struct exec_run *exec_find(const struct lug_executor *exec, const struct lug_run_id *id)
{
	for (guint i = 0; i < exec->runs->len; i++) {
		struct exec_run *run = g_ptr_array_index(exec->runs, i);

		if (lug_run_same(&run->id, id))
			return run;
	}
	return NULL;
}

struct exec_run *exec_add(struct lug_executor *exec, const struct lug_run_id *id,
			  enum exec_state state)
{
	struct exec_run *run = g_new0(struct exec_run, 1);

	run->id = *id;
	run->state = state;
	run->shard = lug_workflow_shard(id->job, exec->shards);
	run->number = ++exec->run_count;
	run->percent_allowed = 100;
	run->share = 1;
	run->strength = 1;
	lug_load_init(&run->load);
	run->image = "";
	g_ptr_array_add(exec->runs, run);
	return run;
}

void exec_remove(struct lug_executor *exec, struct exec_run *run)
{
	g_ptr_array_remove_fast(exec->runs, run);
}

/**
 * exec_by_number - run whose call was answered, NULL when it is settled meanwhile
 */
struct exec_run *exec_by_number(const struct lug_executor *exec, guint64 number)
{
	for (guint i = 0; i < exec->runs->len; i++) {
		struct exec_run *run = g_ptr_array_index(exec->runs, i);

		if (run->number == number)
			return run;
	}
	return NULL;
}

/**
 * exec_accepting - tell whether a start may be taken now
 */
gboolean exec_accepting(const struct lug_executor *exec, gint64 now_us)
{
	if (exec->leaving || exec->draining || exec->left || !exec->worker_incarnation ||
	    !exec->capacity_known || exec->seen_epoch != lug_writer_epoch(exec->writer) ||
	    !lug_writer_held(exec->writer) ||
	    !lug_writer_valid(exec->writer, now_us + START_MARGIN_US) ||
	    now_us - exec->answered_us > SILENT_US)
		return FALSE;
	for (guint i = 0; i < exec->runs->len; i++) {
		const struct exec_run *run = g_ptr_array_index(exec->runs, i);

		if (run->unsized)
			return FALSE;
	}
	return TRUE;
}

/**
 * lug_executor_heartbeat - take a worker's report about itself in
 * @exec: executor
 * @said: report
 * @now_us: present time
 */
void lug_executor_heartbeat(struct lug_executor *exec, const struct lug_worker_heartbeat *said,
			    gint64 now_us)
{
	if (said->incarnation < exec->heartbeat_incarnation ||
	    (said->incarnation == exec->heartbeat_incarnation && said->seq < exec->heartbeat_seq))
		return;
	exec->heartbeat_incarnation = said->incarnation;
	exec->heartbeat_seq = said->seq;
	g_strlcpy(exec->service, said->service, sizeof(exec->service));
	if (said->draining != exec->draining)
		lug_info(exec->ctx, said->draining ? "worker_draining" : "worker_ready", "worker",
			 said->id);
	exec->draining = said->draining;
	/* A worker that has left may come back in a new life only. */
	exec->left = exec->left && said->incarnation == exec->left_incarnation;
	exec->capacity = said->room;
	exec->capacity_known = TRUE;
	g_strfreev(exec->labels);
	exec->labels = g_strdupv(said->labels);
	exec_life(exec, said->incarnation, now_us);
	if (!exec->holding)
		exec_hold(exec, now_us);
}

/**
 * lug_executor_left - the worker ends now, and all that runs on it
 */
void lug_executor_left(struct lug_executor *exec, gint64 now_us)
{
	lug_info(exec->ctx, "worker_left", "worker", exec->ctx->settings->name);
	exec->left = TRUE;
	exec->left_us = now_us;
	exec->left_incarnation = exec->heartbeat_incarnation;
}

/**
 * lug_executor_owner - learn the epoch of a shard's owner; older ones are refused from now on
 */
void lug_executor_owner(struct lug_executor *exec, guint32 shard, guint64 epoch)
{
	struct exec_owner *owner;

	if (shard >= exec->shards)
		return;
	owner = &exec->owners[shard];
	if (epoch <= owner->epoch)
		return;
	owner->epoch = epoch;
	owner->last_seq = 0;
}

/**
 * lug_executor_leave - take no further starts; what runs goes on
 */
void lug_executor_leave(struct lug_executor *exec)
{
	exec->leaving = TRUE;
}

/**
 * lug_executor_settled - tell whether a leaving agent has nothing more to say of its worker
 *
 * The lease is given back where nothing runs, so that owners need not wait for its end. What
 * runs keeps it, for the agent's next process.
 */
gboolean lug_executor_settled(const struct lug_executor *exec)
{
	return exec->runs->len > 0 || !exec->owned;
}

static void give_back(struct lug_executor *exec, gint64 now_us)
{
	if (exec->leaving && !exec->runs->len && (exec->left || !exec->ends->len))
		lug_writer_release(exec->writer, now_us);
}

/**
 * lug_executor_tick - keep the lease and the look at the worker going
 */
void lug_executor_tick(struct lug_executor *exec, gint64 now_us)
{
	take(exec, now_us);
	lug_writer_tick(exec->writer, now_us);
	give_back(exec, now_us);
	if (!exec->holding && now_us >= exec->next_hold_us)
		exec_hold(exec, now_us);
	exec_retry(exec, now_us);
	exec_expire(exec, now_us);
	lug_gauge(exec->ctx, TASKS_RUNNING, exec->runs->len);
}
