#include "workflow/gateway_priv.h"

#include <string.h>

#include "workflow/shard_priv.h"

static void finish_call(struct gateway_call *call, enum lug_status status,
			enum lug_workflow_state state)
{
	/* The cancellation itself is stored. */
	if (call->cancel_stored && status == LUG_UNAVAILABLE) {
		gateway_await_cancel(call);
		return;
	}
	if (call->kind == LUG_JOB_CANCEL) {
		gateway_finish_cancel(call, status, "the tables of jobs");
		return;
	}
	call->state_fn(call->data, status, state);
	gateway_call_free(call);
}

static void on_cancel_stored(void *data, const struct lug_txn_result *result)
{
	struct gateway_call *call = data;

	if (result->status != LUG_OK) {
		gateway_finish_cancel(call, LUG_UNAVAILABLE, "not stored in the inbox");
	} else if (call->not_found) {
		gateway_finish_cancel(call, LUG_NOT_FOUND, "stored in the inbox, no such job yet");
	} else {
		call->cancel_stored = TRUE;
		gateway_await_cancel(call);
	}
}

static void store_cancel(struct gateway_call *call)
{
	char *key = g_strconcat(call->job, SHARD_CANCEL_SUFFIX, NULL);
	struct lug_txn txn;

	lug_txn_init(&txn);
	lug_txn_put_text(&txn, SHARD_INBOX_TABLE, key, "{}");
	lug_store_txn(call->gateway->shard_stores[call->shard], &txn, on_cancel_stored, call);
	lug_txn_clear(&txn);
	g_free(key);
}

static void read_ended(struct gateway_call *call);

/*
 * A transaction of an unknown outcome may still store the job. A cancellation is therefore stored
 * all the same, and prevents that.
 */
static void on_no_job(struct gateway_call *call)
{
	call->not_found = TRUE;
	if (call->kind == LUG_JOB_STATE)
		finish_call(call, LUG_NOT_FOUND, LUG_WORKFLOW_UNKNOWN);
	else
		store_cancel(call);
}

static void on_live_row(void *data, enum lug_status status, const struct lug_row *rows,
			guint n_rows, gboolean more)
{
	struct gateway_call *call = data;

	(void)more;
	/* The scan is by prefix: its first row may be another job's. */
	if (status != LUG_OK)
		finish_call(call, LUG_UNAVAILABLE, LUG_WORKFLOW_UNKNOWN);
	else if ((!n_rows || strcmp(rows[0].key, call->job) != 0) && !call->reread) {
		call->reread = TRUE;
		read_ended(call);
	} else if (!n_rows || strcmp(rows[0].key, call->job) != 0)
		on_no_job(call);
	else if (call->kind == LUG_JOB_STATE)
		/* The row of a live job does not show whether it runs. */
		finish_call(call, LUG_OK, LUG_WORKFLOW_QUEUED);
	else if (call->cancel_stored)
		gateway_await_cancel(call);
	else
		store_cancel(call);
}

static void on_ended_row(void *data, enum lug_status status, const struct lug_row *rows,
			 guint n_rows, gboolean more)
{
	struct gateway_call *call = data;
	const char *state;

	(void)more;
	if (status != LUG_OK) {
		finish_call(call, LUG_UNAVAILABLE, LUG_WORKFLOW_UNKNOWN);
		return;
	}
	/* The scan is by prefix: its first row may be another job's. */
	if (n_rows && !strcmp(rows[0].key, call->job)) {
		state = lug_json_str(rows[0].data, "state", "");
		/* Cancelled before it was stored. */
		if (!strcmp(state, lug_workflow_state_name(LUG_WORKFLOW_UNKNOWN)))
			finish_call(call, LUG_NOT_FOUND, LUG_WORKFLOW_UNKNOWN);
		else
			finish_call(call, LUG_OK, lug_workflow_state_parse(state));
		return;
	}
	lug_store_scan(call->gateway->shard_stores[call->shard], SHARD_LIVE_TABLE, call->job, NULL,
		       1, on_live_row, call);
}

static void read_ended(struct gateway_call *call)
{
	lug_store_scan(call->gateway->shard_stores[call->shard], SHARD_ENDED_TABLE, call->job, NULL,
		       1, on_ended_row, call);
}

/**
 * gateway_read_tables - answer a query from the tables, or store a cancellation there
 *
 * The ended jobs are read first, then the live ones. A job that ends in between is found in
 * neither, so both are read once more before a job counts as not found. The inbox holds a
 * cancellation for the next owner; it says nothing about the runs of the job.
 */
void gateway_read_tables(struct gateway_call *call)
{
	if (call->reading_tables)
		return;
	call->reading_tables = TRUE;
	read_ended(call);
}
