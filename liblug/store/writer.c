#include "store/writer_priv.h"

#include <string.h>

#define RETRY_MIN_MS 50
#define RETRY_MAX_MS 2000
/* By default a lease is renewed after a third of its duration. */
#define RENEW_DIVISOR 3

static void start_commit(struct lug_writer *writer, gint64 now_us);
static void on_commit(void *data, const struct lug_txn_result *result);

/**
 * lug_writer_new - create a writer that does not hold its lease
 * @ctx: context
 * @store: table service client; to be freed before the writer, as calls in flight refer to it
 * @config: row and callbacks, copied
 */
struct lug_writer *lug_writer_new(struct lug_ctx *ctx, struct lug_store *store,
				  const struct lug_writer_config *config)
{
	struct lug_writer *writer = g_new0(struct lug_writer, 1);

	writer->ctx = ctx;
	writer->store = store;
	writer->config = *config;
	writer->table = g_strdup(config->table);
	writer->key = g_strdup(config->key);
	writer->config.table = writer->table;
	writer->config.key = writer->key;
	writer->retry_delay_ms = RETRY_MIN_MS;
	writer->ops_max = WRITER_OPS_MAX;
	lug_list_init(&writer->queued);
	lug_list_init(&writer->in_flight);
	lug_txn_init(&writer->txn);
	return writer;
}

/**
 * lug_writer_free - free a writer without releasing its lease
 * @writer: writer, may be NULL; the store must be freed first
 *
 * Queued operations end with LUG_UNAVAILABLE, those in flight with LUG_UNKNOWN.
 */
void lug_writer_free(struct lug_writer *writer)
{
	if (!writer)
		return;
	writer_ops_finish(&writer->in_flight, LUG_UNKNOWN, 0);
	writer_ops_finish(&writer->queued, LUG_UNAVAILABLE, 0);
	lug_txn_clear(&writer->txn);
	g_free(writer->table);
	g_free(writer->key);
	g_free(writer);
}

/* Value of writer->total once the present transaction has committed. */
static gint64 next_total(const struct lug_writer *writer)
{
	gint64 total = writer->total;

	LUG_LIST_FOREACH (&writer->in_flight, pos)
		total += LUG_CONTAINER_OF(pos, struct lug_writer_op, node)->total_delta;
	return total;
}

/* States the end of the lease on the table service's clock, so that readers know what is left. */
static void add_end(const struct lug_writer *writer, JsonObject *row)
{
	gint64 clock_ms = lug_store_clock_bound_ms(writer->store, writer->first_sent_us);

	if (clock_ms)
		json_object_set_int_member(row, "ends_ms", clock_ms + writer->row_ttl_ms);
}

static void put_leased_row(struct lug_writer *writer, gboolean releasing)
{
	const struct lug_ctx *ctx = writer->ctx;
	JsonObject *row = json_object_new();
	char incarnation[24];

	g_snprintf(incarnation, sizeof(incarnation), "%" G_GINT64_MODIFIER "x", ctx->incarnation);
	json_object_set_string_member(row, "owner", releasing ? "" : ctx->settings->name);
	json_object_set_string_member(row, "incarnation", incarnation);
	json_object_set_int_member(row, "epoch", (gint64)writer->epoch);
	json_object_set_int_member(row, "ttl_ms", writer->row_ttl_ms);
	json_object_set_string_member(row, "txn", writer->txn_id);
	json_object_set_string_member(row, "prev_txn", writer->prev_txn_id);
	json_object_set_int_member(row, "total", next_total(writer));
	add_end(writer, row);
	if (writer->config.fill_row)
		writer->config.fill_row(writer->config.data, row);
	lug_txn_put(&writer->txn, writer->table, writer->key, row);
	json_object_unref(row);
}

static void build_txn(struct lug_writer *writer, gint64 now_us)
{
	gboolean releasing = writer->phase == PHASE_RELEASING;

	writer->rewrite_requested = FALSE;
	writer->first_sent_us = now_us;
	writer->row_ttl_ms =
		MAX(writer->config.ttl_ms, (writer->hold_until_us - now_us) / 1000 + 1);
	lug_txn_clear(&writer->txn);
	lug_txn_init(&writer->txn);
	g_snprintf(writer->txn_id, sizeof(writer->txn_id),
		   "%" G_GINT64_MODIFIER "x.%" G_GINT64_MODIFIER "x", writer->ctx->incarnation,
		   ++writer->txn_count);
	lug_txn_check(&writer->txn, writer->table, writer->key, writer->version);
	put_leased_row(writer, releasing);
	if (writer->config.add_writes && (releasing || writer->phase == PHASE_ACQUIRING))
		writer->config.add_writes(writer->config.data, &writer->txn, releasing);
	writer_ops_add_to_txn(&writer->in_flight, &writer->txn);
}

static void send_txn(struct lug_writer *writer)
{
	writer->io_state = IO_COMMIT;
	lug_store_txn(writer->store, &writer->txn, on_commit, writer);
}

static void start_commit(struct lug_writer *writer, gint64 now_us)
{
	if (writer->phase == PHASE_HELD)
		writer_ops_select(&writer->queued, &writer->in_flight, writer->ops_max);
	build_txn(writer, now_us);
	writer->outcome_unknown = FALSE;
	send_txn(writer);
}

static void on_not_held(struct lug_writer *writer, gboolean outcome_known)
{
	gboolean was_held = writer->phase != PHASE_ACQUIRING;

	writer->phase = PHASE_NOT_HELD;
	writer->io_state = IO_IDLE;
	writer->valid_until_us = 0;
	if (was_held) {
		lug_count(writer->ctx, LEASES_LOST, 1);
		lug_timeline_add(writer->ctx->timeline, LUG_EV_LEASE_LOST, writer->key,
				 "epoch %" G_GUINT64_FORMAT, writer->epoch);
		lug_warn(writer->ctx, "lease_lost", "lease", writer->key);
	}
	writer_ops_finish(&writer->in_flight, outcome_known ? LUG_FENCED : LUG_UNKNOWN, 0);
	writer_ops_finish(&writer->queued, LUG_FENCED, 0);
	writer->config.on_event(writer->config.data, LUG_WRITER_NOT_HELD);
}

static void on_committed(struct lug_writer *writer, gint64 version)
{
	enum lease_phase previous = writer->phase;

	writer->version = version;
	writer->total = next_total(writer);
	writer->valid_until_us = writer->first_sent_us + writer->config.ttl_ms * 1000;
	writer->renewed_us = writer->first_sent_us;
	writer->written_txn = writer->txn_count;
	writer->retry_delay_ms = RETRY_MIN_MS;
	writer->ops_max = MIN(writer->ops_max * 2, WRITER_OPS_MAX);
	writer->io_state = IO_IDLE;
	if (previous == PHASE_ACQUIRING)
		writer->phase = PHASE_HELD;
	if (previous == PHASE_RELEASING)
		writer->phase = PHASE_NOT_HELD;
	writer_ops_finish(&writer->in_flight, LUG_OK, version);
	if (previous == PHASE_ACQUIRING) {
		lug_count(writer->ctx, LEASES_TAKEN, 1);
		lug_timeline_add(writer->ctx->timeline, LUG_EV_LEASE_TAKEN, writer->key,
				 "epoch %" G_GUINT64_FORMAT, writer->epoch);
		writer->config.on_event(writer->config.data, LUG_WRITER_TAKEN);
	}
	if (previous == PHASE_RELEASING) {
		writer_ops_finish(&writer->queued, LUG_FENCED, 0);
		writer->config.on_event(writer->config.data, LUG_WRITER_RELEASED);
	}
}

/*
 * If the table service does not report which check failed, that of the leased row may have, so a
 * readback decides.
 */
static gboolean leased_row_check_failed(const struct lug_txn_result *result)
{
	for (guint i = 0; i < result->n_failed; i++)
		if (result->failed[i] == 0)
			return TRUE;
	return result->n_failed == 0;
}

static void schedule_readback(struct lug_writer *writer, gint64 now_us)
{
	writer->io_state = IO_WAIT_READBACK;
	writer->next_io_us = now_us + lug_jitter(writer->ctx->rng, writer->retry_delay_ms) * 1000;
	writer->retry_delay_ms = MIN(writer->retry_delay_ms * 2, RETRY_MAX_MS);
}

/*
 * The table service did not execute the transaction, whose operations wait for the next one. Those
 * whose deadline passes meanwhile end with LUG_UNAVAILABLE.
 */
static void on_refused(struct lug_writer *writer, gint64 now_us)
{
	writer_ops_requeue(&writer->in_flight, &writer->queued);
	/* Waits as before a readback, but then retries without reading the row. */
	schedule_readback(writer, now_us);
	writer->io_state = IO_WAIT_RETRY;
}

/*
 * The table service does not accept the content of the transaction. Transactions of half as many
 * operations follow, until the one that it does not accept is alone and ends, so that the others
 * commit.
 */
static void on_bad_content(struct lug_writer *writer, gint64 now_us)
{
	guint n = writer_ops_requeue(&writer->in_flight, &writer->queued);

	if (!n) {
		lug_warn(writer->ctx, "lease_row_refused", "lease", writer->key, "remedy",
			 "shorten the names and addresses in the settings");
		on_refused(writer, now_us);
		return;
	}
	if (n == 1) {
		lug_warn(writer->ctx, "operation_refused", "lease", writer->key, "reason",
			 "the table service does not accept its content");
		writer_op_finish(LUG_CONTAINER_OF(writer->queued.next, struct lug_writer_op, node),
				 LUG_BAD_INPUT, 0);
	}
	writer->ops_max = MAX(n / 2, 1);
	writer->io_state = IO_IDLE;
	start_commit(writer, now_us);
}

/*
 * Decides the outcome of a transaction whose answer was lost, or whose check of the leased row
 * failed (an earlier send of it may have committed); see "Readback" in writer.h. @rows are the
 * first rows whose keys start with that of the leased row, which may be among them.
 */
static void on_readback(void *data, enum lug_status status, const struct lug_row *rows,
			guint n_rows, gboolean more)
{
	struct lug_writer *writer = data;
	const struct lug_row *row = NULL;

	(void)more;
	if (status != LUG_OK) {
		schedule_readback(writer, lug_now_us());
		return;
	}
	lug_count(writer->ctx, STORE_READBACKS, 1);
	for (guint i = 0; i < n_rows; i++)
		if (!strcmp(rows[i].key, writer->key))
			row = &rows[i];
	if (row && !strcmp(lug_json_str(row->data, "txn", ""), writer->txn_id))
		on_committed(writer, row->version);
	else if ((row ? row->version : 0) == writer->version)
		send_txn(writer);
	else if (row && !strcmp(lug_json_str(row->data, "prev_txn", ""), writer->txn_id)) {
		writer_ops_finish(&writer->in_flight, LUG_OK, 0);
		on_not_held(writer, TRUE);
	} else
		on_not_held(writer, FALSE);
}

static void on_commit(void *data, const struct lug_txn_result *result)
{
	struct lug_writer *writer = data;

	switch (result->status) {
	case LUG_OK:
		on_committed(writer, result->version);
		if (writer->phase == PHASE_HELD && writer->io_state == IO_IDLE &&
		    !lug_list_empty(&writer->queued))
			start_commit(writer, lug_now_us());
		return;
	case LUG_CONFLICT:
		if (leased_row_check_failed(result)) {
			writer->io_state = IO_READBACK;
			lug_store_scan(writer->store, writer->table, writer->key, NULL, 4,
				       on_readback, writer);
			return;
		}
		writer_ops_fail_conflicting(&writer->in_flight, result);
		build_txn(writer, lug_now_us());
		send_txn(writer);
		return;
	case LUG_BAD_INPUT:
		on_bad_content(writer, lug_now_us());
		return;
	case LUG_UNAVAILABLE:
		if (!writer->outcome_unknown) {
			on_refused(writer, lug_now_us());
			return;
		}
		/* This send was not executed, but an earlier one may have committed. */
		schedule_readback(writer, lug_now_us());
		return;
	default:
		writer->outcome_unknown = TRUE;
		schedule_readback(writer, lug_now_us());
	}
}

/**
 * lug_writer_take - try to take the lease
 * @writer: writer that does not hold its lease; otherwise the call has no effect
 * @seen: row as last read, with version 0 if it is absent
 * @now_us: current time
 *
 * The attempt succeeds only if the row still has the version of @seen. The outcome is reported
 * as LUG_WRITER_TAKEN or LUG_WRITER_NOT_HELD.
 */
void lug_writer_take(struct lug_writer *writer, const struct lug_row *seen, gint64 now_us)
{
	if (writer->phase != PHASE_NOT_HELD || writer->io_state != IO_IDLE)
		return;
	writer->phase = PHASE_ACQUIRING;
	writer->release_requested = FALSE;
	writer->version = seen->version;
	writer->epoch = lug_writer_row_epoch(seen) + 1;
	writer->total = lug_json_int(seen->data, "total", 0);
	g_strlcpy(writer->prev_txn_id, lug_json_str(seen->data, "txn", ""),
		  sizeof(writer->prev_txn_id));
	start_commit(writer, now_us);
}

static void release_if_idle(struct lug_writer *writer, gint64 now_us)
{
	if (!writer->release_requested || writer->phase != PHASE_HELD ||
	    writer->io_state != IO_IDLE || !lug_list_empty(&writer->queued))
		return;
	writer->release_requested = FALSE;
	writer->phase = PHASE_RELEASING;
	start_commit(writer, now_us);
}

/**
 * lug_writer_release - release the lease once all submitted operations have ended
 * @writer: writer
 * @now_us: current time
 *
 * LUG_WRITER_RELEASED reports the release, after which any process may take the lease at once.
 */
void lug_writer_release(struct lug_writer *writer, gint64 now_us)
{
	writer->release_requested = TRUE;
	release_if_idle(writer, now_us);
}

/**
 * lug_writer_keep - withdraw a release that has been requested and has not begun
 */
void lug_writer_keep(struct lug_writer *writer)
{
	writer->release_requested = FALSE;
}

/**
 * lug_writer_append - queue an operation, to be sent by lug_writer_flush() or the next tick
 * @writer: writer
 * @op: operation, owned by the writer from this call on
 */
void lug_writer_append(struct lug_writer *writer, struct lug_writer_op *op)
{
	lug_list_append(&writer->queued, &op->node);
}

/**
 * lug_writer_flush - send queued operations unless a transaction is in flight
 * @writer: writer
 * @now_us: current time
 */
void lug_writer_flush(struct lug_writer *writer, gint64 now_us)
{
	if (writer->phase == PHASE_HELD && writer->io_state == IO_IDLE &&
	    !lug_list_empty(&writer->queued))
		start_commit(writer, now_us);
}

/**
 * lug_writer_submit - queue an operation and send it unless a transaction is in flight
 * @writer: writer
 * @op: operation, owned by the writer from this call on
 * @now_us: current time
 */
void lug_writer_submit(struct lug_writer *writer, struct lug_writer_op *op, gint64 now_us)
{
	lug_writer_append(writer, op);
	lug_writer_flush(writer, now_us);
}

/*
 * At its deadline a queued operation fails. One in flight is reported as unknown but stays in its
 * list until its outcome is known: it may still commit, and its total_delta then counts in
 * writer->total.
 */
static void expire_ops(struct lug_writer *writer, gint64 now_us)
{
	LUG_LIST_FOREACH_SAFE (&writer->queued, pos, tmp) {
		struct lug_writer_op *op = LUG_CONTAINER_OF(pos, struct lug_writer_op, node);

		if (op->deadline_us && now_us >= op->deadline_us)
			writer_op_finish(op, LUG_UNAVAILABLE, 0);
	}
	LUG_LIST_FOREACH (&writer->in_flight, pos) {
		struct lug_writer_op *op = LUG_CONTAINER_OF(pos, struct lug_writer_op, node);

		if (op->deadline_us && now_us >= op->deadline_us)
			writer_op_report(op, LUG_UNKNOWN, 0);
	}
}

/**
 * lug_writer_tick - run the actions of a writer that are due
 * @writer: writer
 * @now_us: current time
 *
 * Ends operations past their deadline, reads the row back, retries, releases the lease if that was
 * requested, sends queued operations or renews the lease. To be called several times a second.
 */
void lug_writer_tick(struct lug_writer *writer, gint64 now_us)
{
	gint64 renew_us = writer->config.renew_ms ? writer->config.renew_ms * 1000
						  : writer->config.ttl_ms * 1000 / RENEW_DIVISOR;

	expire_ops(writer, now_us);
	if (writer->io_state == IO_WAIT_READBACK && now_us >= writer->next_io_us) {
		writer->io_state = IO_READBACK;
		lug_store_scan(writer->store, writer->table, writer->key, NULL, 4, on_readback,
			       writer);
		return;
	}
	if (writer->io_state == IO_WAIT_RETRY && now_us >= writer->next_io_us) {
		writer->io_state = IO_IDLE;
		start_commit(writer, now_us);
		return;
	}
	if (writer->phase != PHASE_HELD || writer->io_state != IO_IDLE)
		return;
	release_if_idle(writer, now_us);
	if (writer->io_state != IO_IDLE)
		return;
	if (!lug_list_empty(&writer->queued) || now_us - writer->renewed_us >= renew_us ||
	    writer->rewrite_requested)
		start_commit(writer, now_us);
}
