#include "workflow/executor_priv.h"

#include <string.h>

#define LEASE_RENEW_MS 1000
/*
 * Starts are refused when the worker has not answered a poll for this long. A worker answers
 * within 0.5 s, including the wait of POLL_WAIT_MS.
 */
#define WORKER_SILENT_US (1400 * 1000)
/*
 * Starts are refused when the worker's capacity is older: more than two of the longest heartbeat
 * intervals (1.5 s), so that one heartbeat may be lost. The platform allows 4.1 s at least.
 */
#define CAPACITY_MAX_AGE_MS 3500

static void run_free(gpointer data)
{
	struct exec_run *run = data;

	g_free(run->spec);
	g_free(run->started_at);
	g_free(run->checkpoint);
	g_free(run);
}

static void end_free(gpointer data)
{
	struct exec_end *end = data;

	g_free(end->checkpoint);
	g_free(end);
}

/**
 * lug_executor_new - create an executor that holds no lease yet
 * @ctx: context
 * @store: table service client; must be freed before the executor
 * @worker: client of the worker, owned by the executor
 * @n_shards: number of shards
 * @send: sends to a shard's owner
 * @data: passed to @send
 */
struct lug_executor *lug_executor_new(struct lug_ctx *ctx, struct lug_store *store,
				      struct lug_worker *worker, guint32 n_shards,
				      lug_owner_send_fn send, void *data)
{
	struct lug_executor *exec = g_new0(struct lug_executor, 1);
	struct lug_writer_config config = {.table = EXEC_LEASE_TABLE,
					   .key = ctx->settings->name,
					   .ttl_ms = ctx->settings->worker_lease_ms,
					   .renew_ms = LEASE_RENEW_MS,
					   .fill_row = exec_fill_lease_row,
					   .on_event = exec_on_lease_event,
					   .data = exec};

	exec->ctx = ctx;
	exec->store = lug_store_partition(store, ctx->settings->name);
	exec->writer = lug_writer_new(ctx, exec->store, &config);
	exec->worker = worker;
	exec->worker_id = g_strdup("");
	exec->settled_id = g_strdup("");
	exec->confirmed_id = g_strdup("");
	exec->poll_target = g_strdup("");
	exec->zone = g_strdup("");
	exec->n_shards = n_shards;
	exec->interference = lug_interference_new();
	exec->reserve = exec_reserve_new();
	exec->task_shares = g_array_new(FALSE, FALSE, sizeof(struct exec_task_shares));
	exec->owners = g_new0(struct exec_owner, n_shards);
	exec->send = send;
	exec->data = data;
	exec->runs = g_ptr_array_new_with_free_func(run_free);
	exec->ends = g_ptr_array_new_with_free_func(end_free);
	exec->done_runs = g_array_new(FALSE, FALSE, sizeof(struct exec_done_run));
	exec->acked_ends = g_string_new(NULL);
	return exec;
}

/**
 * lug_executor_close - stop all activity; the store may be freed after this
 */
void lug_executor_close(struct lug_executor *exec)
{
	exec->closed = TRUE;
	if (exec->poll_timer)
		g_source_remove(exec->poll_timer);
	exec->poll_timer = 0;
}

/**
 * lug_executor_free - release the executor; runs continue until the worker's lease expires
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
	g_array_unref(exec->done_runs);
	g_string_free(exec->acked_ends, TRUE);
	g_strfreev(exec->labels);
	g_free(exec->worker_id);
	g_free(exec->settled_id);
	g_free(exec->confirmed_id);
	g_free(exec->poll_target);
	g_free(exec->zone);
	lug_interference_free(exec->interference);
	exec_reserve_free(exec->reserve);
	g_array_unref(exec->task_shares);
	g_free(exec->owners);
	g_free(exec);
}

/**
 * exec_reserved - sum the resources reserved by all runs
 */
void exec_reserved(const struct lug_executor *exec, struct lug_resources *out)
{
	memset(out, 0, sizeof(*out));
	for (guint i = 0; i < exec->runs->len; i++) {
		const struct exec_run *run = g_ptr_array_index(exec->runs, i);

		lug_resources_add(out, &run->size);
	}
}

/*
 * Millicores that a task uses. For a serving task they are estimated from its load. For another
 * task they are the reported ones or, before the first report, the declared ones, which are scaled
 * by the task's share if it is best-effort.
 */
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
 * exec_spare_millicores - cores that no task uses; serving tasks count at their estimated load
 *
 * Return: thousandths of a core, may be negative.
 */
gint64 exec_spare_millicores(const struct lug_executor *exec)
{
	double spare = (double)exec->capacity.millicores;

	for (guint i = 0; i < exec->runs->len; i++)
		spare -= used_millicores(g_ptr_array_index(exec->runs, i));
	return (gint64)spare;
}

struct exec_run *exec_find_run(const struct lug_executor *exec, const struct lug_run_id *id)
{
	for (guint i = 0; i < exec->runs->len; i++) {
		struct exec_run *run = g_ptr_array_index(exec->runs, i);

		if (lug_run_equal(&run->id, id))
			return run;
	}
	return NULL;
}

/* Owners take a released lease for the end of all runs. */
static void keep_lease(struct lug_executor *exec)
{
	if (exec->releasing)
		lug_writer_keep(exec->writer);
	exec->releasing = FALSE;
}

struct exec_run *exec_add_run(struct lug_executor *exec, const struct lug_run_id *id,
			      enum exec_state state)
{
	struct exec_run *run = g_new0(struct exec_run, 1);

	keep_lease(exec);
	run->id = *id;
	run->state = state;
	run->shard = lug_workflow_shard(id->job, exec->n_shards);
	run->local_id = ++exec->last_local_id;
	run->applied_percent = 100;
	run->share = 1;
	run->strength = 1;
	lug_serving_load_init(&run->load);
	run->image = "";
	g_ptr_array_add(exec->runs, run);
	return run;
}

/**
 * exec_add_end - record the end of a run on the worker's current incarnation
 */
struct exec_end *exec_add_end(struct lug_executor *exec, const struct lug_run_id *id,
			      enum lug_run_outcome outcome, const char *checkpoint)
{
	struct exec_end *end = g_new0(struct exec_end, 1);

	keep_lease(exec);
	end->incarnation = exec->worker_incarnation;
	end->id = *id;
	end->shard = lug_workflow_shard(id->job, exec->n_shards);
	end->outcome = outcome;
	end->checkpoint = g_strdup(checkpoint);
	g_ptr_array_add(exec->ends, end);
	return end;
}

void exec_remove_run(struct lug_executor *exec, struct exec_run *run)
{
	g_ptr_array_remove_fast(exec->runs, run);
}

/**
 * exec_run_by_local_id - find the run that a callback refers to, NULL when it has been removed
 */
struct exec_run *exec_run_by_local_id(const struct lug_executor *exec, guint64 local_id)
{
	for (guint i = 0; i < exec->runs->len; i++) {
		struct exec_run *run = g_ptr_array_index(exec->runs, i);

		if (run->local_id == local_id)
			return run;
	}
	return NULL;
}

/*
 * Whether the capacity is recent enough for a start. A heartbeat may have waited for a suspended
 * agent, so its age is measured by the worker's clock too, which is at most the latest answer's
 * clock and the time since that poll was sent.
 */
static gboolean is_capacity_recent(const struct lug_executor *exec, gint64 now_us)
{
	gint64 clock_ms = exec->clock_ms + (now_us - exec->clock_requested_us) / 1000;

	if (now_us - exec->capacity_at_us > CAPACITY_MAX_AGE_MS * 1000)
		return FALSE;
	return !exec->capacity_clock_ms ||
	       clock_ms - exec->capacity_clock_ms <= CAPACITY_MAX_AGE_MS;
}

/**
 * exec_is_accepting - check whether a start can be accepted
 */
gboolean exec_is_accepting(const struct lug_executor *exec, gint64 now_us)
{
	if (exec->shutting_down || exec->draining || exec->worker_exiting || exec->worker_down ||
	    exec_awaits_lapse(exec, now_us) || !exec->clock_at_us || !exec_is_id_known(exec) ||
	    !exec_is_settled(exec) || !exec_may_grant(exec) ||
	    exec->confirmed_epoch != lug_writer_epoch(exec->writer) ||
	    !lug_writer_is_held(exec->writer) ||
	    !lug_writer_is_valid(exec->writer, now_us + START_LEASE_MARGIN_US) ||
	    now_us - exec->last_answer_us > WORKER_SILENT_US || !is_capacity_recent(exec, now_us))
		return FALSE;
	for (guint i = 0; i < exec->runs->len; i++) {
		const struct exec_run *run = g_ptr_array_index(exec->runs, i);

		/* The free resources are unknown until the run's size is known. */
		if (run->attributes_missing)
			return FALSE;
	}
	return TRUE;
}

static void cancel_exit(struct lug_executor *exec, const char *id)
{
	lug_warn(exec->ctx, "exit_cancelled", "worker", id, "reason",
		 "a heartbeat reports that it is ready");
	exec->worker_exiting = FALSE;
	exec->worker_exited = FALSE;
}

/**
 * lug_executor_on_worker_heartbeat - apply a heartbeat of the worker; outdated ones are ignored
 * @exec: executor
 * @heartbeat: heartbeat
 * @now_us: current time
 */
void lug_executor_on_worker_heartbeat(struct lug_executor *exec,
				      const struct lug_worker_heartbeat *heartbeat, gint64 now_us)
{
	if (heartbeat->incarnation < exec->heartbeat_incarnation ||
	    (heartbeat->incarnation == exec->heartbeat_incarnation &&
	     heartbeat->seq < exec->worker_heartbeat_seq))
		return;
	if (exec_is_foreign(exec, heartbeat->id, heartbeat->incarnation)) {
		lug_warn(exec->ctx, "heartbeat_ignored", "worker", heartbeat->id, "reason",
			 "this incarnation of the worker has another id");
		return;
	}
	/* First, as it depends on what the former incarnation has announced. */
	exec_update_incarnation(exec, heartbeat->incarnation, now_us);
	/* After its exit a worker can return only as a new incarnation: this one has not exited. */
	if (exec->worker_exiting && !heartbeat->draining)
		cancel_exit(exec, heartbeat->id);
	exec_update_worker_id(exec, heartbeat->id);
	exec->heartbeat_incarnation = heartbeat->incarnation;
	exec->worker_heartbeat_seq = heartbeat->seq;
	if (exec->fenced_incarnation == exec->worker_incarnation)
		exec_settle(exec, now_us);
	else
		exec_extend_lease(exec, heartbeat->clock_ms, now_us);
	g_strlcpy(exec->service, heartbeat->service, sizeof(exec->service));
	g_free(exec->zone);
	exec->zone = g_strdup(heartbeat->zone ? heartbeat->zone : "");
	exec->cold_until_us = now_us + heartbeat->cold_ms * 1000;
	if (heartbeat->draining != exec->draining)
		lug_info(exec->ctx, heartbeat->draining ? "worker_draining" : "worker_ready",
			 "worker", heartbeat->id);
	exec->draining = heartbeat->draining;
	exec->capacity = heartbeat->capacity;
	exec->capacity_at_us = now_us;
	exec->capacity_clock_ms = heartbeat->clock_ms;
	g_strfreev(exec->labels);
	exec->labels = g_strdupv(heartbeat->labels);
	if (!exec->poll_in_flight)
		exec_poll(exec, now_us);
}

/*
 * Whether the present incarnation can't have announced its exit: each one reports before that it is
 * draining. Nothing is known of an incarnation without heartbeats.
 */
static gboolean is_exit_of_another(const struct lug_executor *exec, const char *id)
{
	if (*exec->worker_id && strcmp(exec->worker_id, id) != 0)
		return TRUE;
	return exec_is_id_known(exec) && !exec->draining;
}

/**
 * lug_executor_on_worker_exit - record that a worker has announced its exit
 * @exec: executor
 * @id: id of the worker
 * @now_us: current time
 *
 * The call does not name the incarnation, and a former one with the same id may have sent it. The
 * runs therefore end only when the worker is found to be gone, see exec_drop_expired().
 */
void lug_executor_on_worker_exit(struct lug_executor *exec, const char *id, gint64 now_us)
{
	if (is_exit_of_another(exec, id)) {
		lug_warn(exec->ctx, "exit_ignored", "worker", id, "reason",
			 "the present incarnation has not announced it");
		return;
	}
	lug_info(exec->ctx, "worker_left", "worker", exec->ctx->settings->name);
	exec->worker_exiting = TRUE;
	exec->exit_announced_us = now_us;
}

/**
 * lug_executor_update_owner - record the epoch of a shard's owner; lower epochs are rejected after
 * this
 */
void lug_executor_update_owner(struct lug_executor *exec, guint32 shard, guint64 epoch)
{
	struct exec_owner *owner;

	if (shard >= exec->n_shards)
		return;
	owner = &exec->owners[shard];
	if (epoch <= owner->epoch)
		return;
	owner->epoch = epoch;
	owner->last_seq = 0;
}

/**
 * lug_executor_shut_down - prepare the agent's exit: accept no further starts; existing runs
 * continue
 */
void lug_executor_shut_down(struct lug_executor *exec)
{
	exec->shutting_down = TRUE;
}

/**
 * lug_executor_can_exit - check whether an agent that shuts down can exit
 *
 * Without runs the lease is released first, so that owners need not wait until it expires. With
 * runs it is kept for the agent's next process.
 */
gboolean lug_executor_can_exit(const struct lug_executor *exec)
{
	return exec->runs->len > 0 || !exec->lease_held;
}

/**
 * lug_executor_log_exit - log what the agent's process leaves on the worker as it exits
 */
void lug_executor_log_exit(const struct lug_executor *exec, gint64 now_us)
{
	exec_log_leave(exec, "runs_left", now_us);
}

/**
 * lug_executor_tick - acquire or renew the lease, poll the worker, drop expired runs
 */
void lug_executor_tick(struct lug_executor *exec, gint64 now_us)
{
	exec_follow_evacuation(exec, now_us);
	exec_acquire_lease(exec, now_us);
	lug_writer_tick(exec->writer, now_us);
	exec_release_idle_lease(exec, now_us);
	if (!exec->poll_in_flight && now_us >= exec->fallback_poll_us)
		exec_poll(exec, now_us);
	exec_retry_stops(exec, now_us);
	exec_drop_expired(exec, now_us);
	exec_stop_outlasting_runs(exec, now_us);
	exec_reserve_step(exec, now_us);
	lug_gauge(exec->ctx, TASKS_RUNNING, exec->runs->len);
}
