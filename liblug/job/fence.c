#include "job/owner_priv.h"

#include <string.h>

#define READ_INTERVAL_US (1000 * 1000)

/*
 * A worker whose agent is silent, or holds no lease, may run its tasks until its lease has
 * expired. The owner polls the lease's row. When the row has not changed for the lease time and a
 * margin, the owner fences the worker: it raises the epoch in the row, so that the
 * agent can't renew the lease. Then it handles the worker's attempts as lost.
 */

struct lease_call {
	struct lug_owner *owner;
	guint generation;
	char worker[LUG_JOB_ID_MAX + 1];
};

static struct lease_call *lease_call_new(struct lug_owner *owner, const char *worker)
{
	struct lease_call *call = g_new0(struct lease_call, 1);

	call->owner = owner;
	call->generation = owner->generation;
	g_strlcpy(call->worker, worker, sizeof(call->worker));
	return call;
}

static struct owner_lease_watch *lease_call_lookup(const struct lease_call *call)
{
	if (call->generation != call->owner->generation)
		return NULL;
	return g_hash_table_lookup(call->owner->lease_watches, call->worker);
}

static void lose_attempts(struct lug_owner *owner, const char *worker, guint64 epoch, gint64 now_us)
{
	LUG_LIST_FOREACH_SAFE (lug_queue_active(owner->queue), pos, tmp) {
		struct lug_task *task = LUG_CONTAINER_OF(pos, struct lug_task, node);

		if (!strcmp(task->worker, worker) && task->worker_epoch < epoch)
			owner_lose_attempt(owner, task, TRUE, "the lease of its worker lapsed",
					   now_us);
	}
}

static void on_fenced(void *data, enum lug_status status, gint64 version)
{
	struct lease_call *call = data;
	struct owner_lease_watch *watch = lease_call_lookup(call);

	(void)version;
	g_free(call);
	if (!watch)
		return;
	/* The next read shows whether the row is fenced, by this owner or another one. */
	watch->committing = FALSE;
	watch->next_read_us = 0;
	(void)status;
}

static void commit_fence(struct lug_owner *owner, struct owner_lease_watch *watch,
			 const struct lug_row *row, gint64 now_us)
{
	struct lug_writer_op *op =
		lug_writer_op_new(on_fenced, lease_call_new(owner, watch->worker));
	/* Nothing is kept of a row that can't be decoded. */
	JsonObject *next = row->data ? json_object_ref(row->data) : json_object_new();

	json_object_set_int_member(next, "epoch", (gint64)lug_writer_row_epoch(row) + 1);
	json_object_set_string_member(next, "owner", "");
	json_object_set_string_member(next, "state", "fenced");
	json_object_set_string_member(next, "prev_txn", lug_json_str(next, "txn", ""));
	json_object_set_string_member(next, "txn", "fence");
	lug_txn_check(&op->txn, "worker", watch->worker, row->version);
	lug_txn_put(&op->txn, "worker", watch->worker, next);
	json_object_unref(next);
	watch->committing = TRUE;
	/* Logged before the outcome is known: another owner may fence the lease first. */
	lug_timeline_add(owner->env.ctx->timeline, LUG_EV_LEASE_LAPSED, watch->worker,
			 "fenced by the owner of %s", owner->team);
	lug_warn(owner->env.ctx, "worker_fenced", "worker", watch->worker, "team", owner->team);
	lug_writer_submit(owner->writer, op, now_us);
}

static void check_lease_row(struct lug_owner *owner, struct owner_lease_watch *watch,
			    const struct lug_row *row, gint64 now_us)
{
	if (!strcmp(lug_json_str(row->data, "state", ""), "fenced")) {
		lose_attempts(owner, watch->worker, lug_writer_row_epoch(row), now_us);
		return;
	}
	if (row->version != watch->row_version) {
		watch->row_version = row->version;
		watch->unchanged_since_us = now_us;
		return;
	}
	if (!watch->committing && lug_writer_row_is_free(row, now_us - watch->unchanged_since_us,
							 owner->env.ctx->settings->worker_lease_ms))
		commit_fence(owner, watch, row, now_us);
}

static void on_lease_row(void *data, enum lug_status status, const struct lug_row *rows,
			 guint n_rows, gboolean more)
{
	struct lease_call *call = data;
	struct owner_lease_watch *watch = lease_call_lookup(call);
	struct lug_owner *owner = call->owner;

	(void)more;
	g_free(call);
	if (!watch)
		return;
	watch->reading = FALSE;
	/* The scan is by prefix, so its first row may be of another worker. */
	if (status != LUG_OK || !n_rows || strcmp(rows[0].key, watch->worker))
		return;
	check_lease_row(owner, watch, &rows[0], lug_now_us());
}

static void watch_lease(struct lug_owner *owner, const char *worker, gint64 now_us)
{
	struct owner_lease_watch *watch = g_hash_table_lookup(owner->lease_watches, worker);

	if (!watch) {
		watch = g_new0(struct owner_lease_watch, 1);
		g_strlcpy(watch->worker, worker, sizeof(watch->worker));
		g_hash_table_insert(owner->lease_watches, watch->worker, watch);
	}
	if (watch->reading || now_us < watch->next_read_us)
		return;
	watch->reading = TRUE;
	watch->next_read_us = now_us + lug_jitter(owner->env.ctx->rng, READ_INTERVAL_US);
	lug_store_scan(owner->env.store, "worker", worker, NULL, 1, on_lease_row,
		       lease_call_new(owner, worker));
}

/* An agent that lives without its worker's lease, or without its worker, lists no attempts. */
static gboolean is_lease_unheard(const struct lug_owner *owner, const char *worker, gint64 now_us)
{
	const struct lug_agent *agent = lug_registry_find(owner->env.registry, worker);

	return !agent || lug_agent_is_silent(agent, now_us) || !agent->worker_epoch;
}

static gboolean is_watch_obsolete(gpointer key, gpointer value, gpointer data)
{
	struct lug_owner *owner = data;

	(void)value;
	return !is_lease_unheard(owner, key, lug_now_us());
}

/**
 * owner_fence_tick - check the leases of workers that hold attempts and whose agents are silent or
 * hold no lease
 * @owner: owner that has loaded its rows
 * @now_us: current time
 */
void owner_fence_tick(struct lug_owner *owner, gint64 now_us)
{
	g_hash_table_foreach_remove(owner->lease_watches, is_watch_obsolete, owner);
	LUG_LIST_FOREACH (lug_queue_active(owner->queue), pos) {
		struct lug_task *task = LUG_CONTAINER_OF(pos, struct lug_task, node);

		if (task->state == LUG_TASK_RUNNING &&
		    is_lease_unheard(owner, task->worker, now_us))
			watch_lease(owner, task->worker, now_us);
	}
}
