#include "store/writer.h"

#include <string.h>

#define OPS_PER_TXN 64
/* Checks and writes of one transaction; the table service takes 100. */
#define ENTRIES_PER_TXN 90
#define RETRY_MIN_MS 50
#define RETRY_MAX_MS 2000
/* Rates of two instances' clocks differ by less than one part in this many. */
#define DRIFT_DIVISOR 50
/* A lease is renewed when this part of its time has passed, unless its config says when. */
#define RENEW_DIVISOR 3

enum phase {
	PHASE_FREE,
	PHASE_TAKING,
	PHASE_HELD,
	PHASE_RELEASING,
};

enum io {
	IO_IDLE,
	IO_COMMIT,
	IO_BACKOFF,
	IO_READBACK,
	IO_REFUSED,
};

struct lug_writer {
	struct lug_ctx *ctx;
	struct lug_store *store;
	struct lug_writer_config config;
	char *table;
	char *key;
	struct lug_list ops;
	struct lug_list flight;
	struct lug_txn txn;
	enum phase phase;
	enum io io;
	gboolean release_wanted;
	char txn_id[48];
	char prev_txn[48];
	guint64 txn_count;
	gint64 version;
	guint64 epoch;
	gint64 total;
	gint64 first_sent_us;
	gint64 valid_until_us;
	gint64 renewed_us;
	gint64 retry_at_us;
	gint64 retry_ms;
	gboolean in_doubt;
};

static void commit(struct lug_writer *writer, gint64 now_us);
static void on_commit(void *data, const struct lug_txn_result *result);

/**
 * lug_op_new - create an empty operation
 * @fn: called once: LUG_OK, LUG_CONFLICT, LUG_FENCED, LUG_UNAVAILABLE (certainly not
 *      committed) or LUG_UNKNOWN (not settled at the deadline)
 * @data: passed to @fn
 */
struct lug_op *lug_op_new(void (*fn)(void *data, enum lug_status status, gint64 version),
			  void *data)
{
	struct lug_op *op = g_new0(struct lug_op, 1);

	lug_list_init(&op->node);
	lug_txn_init(&op->txn);
	op->fn = fn;
	op->data = data;
	return op;
}

static void op_answer(struct lug_op *op, enum lug_status status, gint64 version)
{
	void (*fn)(void *data, enum lug_status status, gint64 version) = op->fn;

	op->fn = NULL;
	if (fn)
		fn(op->data, status, version);
}

static void op_finish(struct lug_op *op, enum lug_status status, gint64 version)
{
	lug_list_remove(&op->node);
	op_answer(op, status, version);
	lug_txn_clear(&op->txn);
	g_free(op);
}

static void finish_all(struct lug_list *list, enum lug_status status, gint64 version)
{
	struct lug_list taken;

	if (lug_list_empty(list))
		return;
	taken = *list;
	taken.next->prev = &taken;
	taken.prev->next = &taken;
	lug_list_init(list);
	while (!lug_list_empty(&taken))
		op_finish(LUG_CONTAINER_OF(taken.next, struct lug_op, node), status, version);
}

/**
 * lug_writer_new - create a lane that holds nothing yet
 * @ctx: context
 * @store: table service client; outlives the lane's callbacks
 * @config: identity and hooks, copied
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
	writer->retry_ms = RETRY_MIN_MS;
	lug_list_init(&writer->ops);
	lug_list_init(&writer->flight);
	lug_txn_init(&writer->txn);
	return writer;
}

/**
 * lug_writer_free - release a lane; pending operations are answered LUG_UNAVAILABLE
 * @writer: lane, may be NULL; the store must be freed before
 */
void lug_writer_free(struct lug_writer *writer)
{
	if (!writer)
		return;
	finish_all(&writer->flight, LUG_UNKNOWN, 0);
	finish_all(&writer->ops, LUG_UNAVAILABLE, 0);
	lug_txn_clear(&writer->txn);
	g_free(writer->table);
	g_free(writer->key);
	g_free(writer);
}

static void add_txn(struct lug_txn *into, const struct lug_txn *from)
{
	for (guint i = 0; i < from->checks->len; i++) {
		const struct lug_check *check = &g_array_index(from->checks, struct lug_check, i);

		lug_txn_check(into, check->table, check->key, check->version);
	}
	for (guint i = 0; i < from->puts->len; i++) {
		const struct lug_put *put = &g_array_index(from->puts, struct lug_put, i);

		if (put->data)
			lug_txn_put_text(into, put->table, put->key, put->data);
		else
			lug_txn_delete(into, put->table, put->key);
	}
}

static gint64 flight_total(const struct lug_writer *writer)
{
	gint64 total = writer->total;

	LUG_LIST_FOREACH (&writer->flight, pos)
		total += LUG_CONTAINER_OF(pos, struct lug_op, node)->add;
	return total;
}

static void put_head(struct lug_writer *writer)
{
	const struct lug_ctx *ctx = writer->ctx;
	gboolean releasing = writer->phase == PHASE_RELEASING;
	JsonObject *row = json_object_new();
	char incarnation[24];

	g_snprintf(incarnation, sizeof(incarnation), "%" G_GINT64_MODIFIER "x", ctx->incarnation);
	json_object_set_string_member(row, "owner", releasing ? "" : ctx->settings->name);
	json_object_set_string_member(row, "incarnation", incarnation);
	json_object_set_int_member(row, "epoch", (gint64)writer->epoch);
	json_object_set_int_member(row, "ttl_ms", writer->config.ttl_ms);
	json_object_set_string_member(row, "txn", writer->txn_id);
	json_object_set_string_member(row, "prev_txn", writer->prev_txn);
	json_object_set_int_member(row, "total", flight_total(writer));
	if (writer->config.fill)
		writer->config.fill(writer->config.data, row);
	lug_txn_put(&writer->txn, writer->table, writer->key, row);
	json_object_unref(row);
}

static void build(struct lug_writer *writer)
{
	lug_txn_clear(&writer->txn);
	lug_txn_init(&writer->txn);
	g_snprintf(writer->txn_id, sizeof(writer->txn_id),
		   "%" G_GINT64_MODIFIER "x.%" G_GINT64_MODIFIER "x", writer->ctx->incarnation,
		   ++writer->txn_count);
	lug_txn_check(&writer->txn, writer->table, writer->key, writer->version);
	put_head(writer);
	LUG_LIST_FOREACH (&writer->flight, pos)
		add_txn(&writer->txn, &LUG_CONTAINER_OF(pos, struct lug_op, node)->txn);
}

static void send_txn(struct lug_writer *writer)
{
	writer->io = IO_COMMIT;
	lug_store_txn(writer->store, &writer->txn, on_commit, writer);
}

static char *row_name(const char *table, const char *key)
{
	return g_strconcat(table, "/", key, NULL);
}

static gboolean in_set(GHashTable *rows, const char *table, const char *key)
{
	char *name = row_name(table, key);
	gboolean found = g_hash_table_contains(rows, name);

	g_free(name);
	return found;
}

static gboolean meets(GHashTable *rows, const struct lug_txn *txn)
{
	for (guint i = 0; i < txn->checks->len; i++) {
		const struct lug_check *check = &g_array_index(txn->checks, struct lug_check, i);

		if (in_set(rows, check->table, check->key))
			return TRUE;
	}
	for (guint i = 0; i < txn->puts->len; i++) {
		const struct lug_put *put = &g_array_index(txn->puts, struct lug_put, i);

		if (in_set(rows, put->table, put->key))
			return TRUE;
	}
	return FALSE;
}

static void add_rows(GHashTable *rows, const struct lug_txn *txn)
{
	for (guint i = 0; i < txn->puts->len; i++) {
		const struct lug_put *put = &g_array_index(txn->puts, struct lug_put, i);

		g_hash_table_add(rows, row_name(put->table, put->key));
	}
}

/*
 * All checks of a transaction are made before its writes. So an operation that meets
 * a row written by an earlier one waits for the next transaction, where its check
 * sees that write.
 */
static void fill_flight(struct lug_writer *writer)
{
	GHashTable *rows = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	guint n = 0;
	guint entries = 0;

	while (n++ < OPS_PER_TXN && !lug_list_empty(&writer->ops)) {
		struct lug_op *op = LUG_CONTAINER_OF(writer->ops.next, struct lug_op, node);

		entries += op->txn.checks->len + op->txn.puts->len;
		if (meets(rows, &op->txn) || (n > 1 && entries > ENTRIES_PER_TXN))
			break;
		add_rows(rows, &op->txn);
		lug_list_remove(&op->node);
		lug_list_append(&writer->flight, &op->node);
	}
	g_hash_table_unref(rows);
}

static void commit(struct lug_writer *writer, gint64 now_us)
{
	if (writer->phase == PHASE_HELD)
		fill_flight(writer);
	build(writer);
	writer->in_doubt = FALSE;
	writer->first_sent_us = now_us;
	send_txn(writer);
}

static void lost(struct lug_writer *writer, gboolean settled)
{
	gboolean was_held = writer->phase != PHASE_TAKING;

	writer->phase = PHASE_FREE;
	writer->io = IO_IDLE;
	writer->valid_until_us = 0;
	if (was_held) {
		lug_count(writer->ctx, LEASES_LOST, 1);
		lug_timeline_add(writer->ctx->timeline, LUG_EV_LEASE_LOST, writer->key,
				 "epoch %" G_GUINT64_FORMAT, writer->epoch);
		lug_warn(writer->ctx, "lease_lost", "lease", writer->key);
	}
	finish_all(&writer->flight, settled ? LUG_FENCED : LUG_UNKNOWN, 0);
	finish_all(&writer->ops, LUG_FENCED, 0);
	writer->config.event(writer->config.data, LUG_WRITER_LOST);
}

static void committed(struct lug_writer *writer, gint64 version)
{
	enum phase was = writer->phase;

	writer->version = version;
	writer->total = flight_total(writer);
	writer->valid_until_us = writer->first_sent_us + writer->config.ttl_ms * 1000;
	writer->renewed_us = writer->first_sent_us;
	writer->retry_ms = RETRY_MIN_MS;
	writer->io = IO_IDLE;
	if (was == PHASE_TAKING)
		writer->phase = PHASE_HELD;
	if (was == PHASE_RELEASING)
		writer->phase = PHASE_FREE;
	finish_all(&writer->flight, LUG_OK, version);
	if (was == PHASE_TAKING) {
		lug_count(writer->ctx, LEASES_TAKEN, 1);
		lug_timeline_add(writer->ctx->timeline, LUG_EV_LEASE_TAKEN, writer->key,
				 "epoch %" G_GUINT64_FORMAT, writer->epoch);
		writer->config.event(writer->config.data, LUG_WRITER_TAKEN);
	}
	if (was == PHASE_RELEASING) {
		finish_all(&writer->ops, LUG_FENCED, 0);
		writer->config.event(writer->config.data, LUG_WRITER_RELEASED);
	}
}

static void eject(struct lug_writer *writer, const struct lug_txn_result *result)
{
	guint index = 1;

	LUG_LIST_FOREACH_SAFE (&writer->flight, pos, tmp) {
		struct lug_op *op = LUG_CONTAINER_OF(pos, struct lug_op, node);
		guint end = index + op->txn.checks->len;
		gboolean failed = FALSE;

		for (guint i = 0; i < result->n_failed; i++)
			failed = failed || (result->failed[i] >= index && result->failed[i] < end);
		index = end;
		if (failed)
			op_finish(op, LUG_CONFLICT, 0);
	}
}

static gboolean head_failed(const struct lug_txn_result *result)
{
	for (guint i = 0; i < result->n_failed; i++)
		if (result->failed[i] == 0)
			return TRUE;
	return result->n_failed == 0;
}

static void back_off(struct lug_writer *writer, gint64 now_us)
{
	writer->io = IO_BACKOFF;
	writer->retry_at_us = now_us + lug_jitter(writer->ctx->rng, writer->retry_ms) * 1000;
	writer->retry_ms = MIN(writer->retry_ms * 2, RETRY_MAX_MS);
}

/*
 * The table service has certainly not carried the transaction out. Its operations wait for the
 * next one, and may expire as not committed.
 */
static void refused(struct lug_writer *writer, gint64 now_us)
{
	while (!lug_list_empty(&writer->flight)) {
		struct lug_list *last = writer->flight.prev;

		lug_list_remove(last);
		last->next = writer->ops.next;
		last->prev = &writer->ops;
		writer->ops.next->prev = last;
		writer->ops.next = last;
	}
	back_off(writer, now_us);
	writer->io = IO_REFUSED;
}

static void on_readback(void *data, enum lug_status status, const struct lug_row *rows,
			guint n_rows, gboolean more)
{
	struct lug_writer *writer = data;
	const struct lug_row *row = NULL;

	(void)more;
	if (status != LUG_OK) {
		back_off(writer, lug_now_us());
		return;
	}
	lug_count(writer->ctx, STORE_READBACKS, 1);
	for (guint i = 0; i < n_rows; i++)
		if (!strcmp(rows[i].key, writer->key))
			row = &rows[i];
	if (row && !strcmp(lug_json_str(row->data, "txn", ""), writer->txn_id))
		committed(writer, row->version);
	else if ((row ? row->version : 0) == writer->version)
		send_txn(writer);
	else if (row && !strcmp(lug_json_str(row->data, "prev_txn", ""), writer->txn_id)) {
		finish_all(&writer->flight, LUG_OK, 0);
		lost(writer, TRUE);
	} else
		lost(writer, FALSE);
}

static void on_commit(void *data, const struct lug_txn_result *result)
{
	struct lug_writer *writer = data;

	switch (result->status) {
	case LUG_OK:
		committed(writer, result->version);
		if (writer->phase == PHASE_HELD && writer->io == IO_IDLE &&
		    !lug_list_empty(&writer->ops))
			commit(writer, lug_now_us());
		return;
	case LUG_CONFLICT:
		if (head_failed(result)) {
			writer->io = IO_READBACK;
			lug_store_scan(writer->store, writer->table, writer->key, NULL, 4,
				       on_readback, writer);
			return;
		}
		eject(writer, result);
		build(writer);
		writer->first_sent_us = lug_now_us();
		send_txn(writer);
		return;
	case LUG_UNAVAILABLE:
		if (!writer->in_doubt) {
			refused(writer, lug_now_us());
			return;
		}
		back_off(writer, lug_now_us());
		return;
	default:
		writer->in_doubt = TRUE;
		back_off(writer, lug_now_us());
	}
}

/**
 * lug_writer_take - try to become the holder
 * @writer: lane that holds nothing
 * @seen: row as last read, with version 0 when absent
 * @now_us: present time
 *
 * The attempt succeeds only if the row is still as seen; the outcome is told
 * by an event.
 */
void lug_writer_take(struct lug_writer *writer, const struct lug_row *seen, gint64 now_us)
{
	if (writer->phase != PHASE_FREE || writer->io != IO_IDLE)
		return;
	writer->phase = PHASE_TAKING;
	writer->release_wanted = FALSE;
	writer->version = seen->version;
	writer->epoch = (guint64)lug_json_int(seen->data, "epoch", 0) + 1;
	writer->total = lug_json_int(seen->data, "total", 0);
	g_strlcpy(writer->prev_txn, lug_json_str(seen->data, "txn", ""), sizeof(writer->prev_txn));
	commit(writer, now_us);
}

static void release_if_idle(struct lug_writer *writer, gint64 now_us)
{
	if (!writer->release_wanted || writer->phase != PHASE_HELD || writer->io != IO_IDLE ||
	    !lug_list_empty(&writer->ops))
		return;
	writer->release_wanted = FALSE;
	writer->phase = PHASE_RELEASING;
	commit(writer, now_us);
}

/**
 * lug_writer_release - give the lease up after what is submitted has committed
 * @writer: lane
 * @now_us: present time
 */
void lug_writer_release(struct lug_writer *writer, gint64 now_us)
{
	writer->release_wanted = TRUE;
	release_if_idle(writer, now_us);
}

/**
 * lug_writer_append - queue an operation without sending it yet
 * @writer: lane
 * @op: operation, owned by the lane from here on
 */
void lug_writer_append(struct lug_writer *writer, struct lug_op *op)
{
	lug_list_append(&writer->ops, &op->node);
}

/**
 * lug_writer_flush - send what is queued, unless a transaction is in flight
 * @writer: lane
 * @now_us: present time
 */
void lug_writer_flush(struct lug_writer *writer, gint64 now_us)
{
	if (writer->phase == PHASE_HELD && writer->io == IO_IDLE && !lug_list_empty(&writer->ops))
		commit(writer, now_us);
}

/**
 * lug_writer_submit - queue an operation for the next transaction
 * @writer: lane
 * @op: operation, owned by the lane from here on
 * @now_us: present time
 */
void lug_writer_submit(struct lug_writer *writer, struct lug_op *op, gint64 now_us)
{
	lug_writer_append(writer, op);
	lug_writer_flush(writer, now_us);
}

static void expire_ops(struct lug_writer *writer, gint64 now_us)
{
	LUG_LIST_FOREACH_SAFE (&writer->ops, pos, tmp) {
		struct lug_op *op = LUG_CONTAINER_OF(pos, struct lug_op, node);

		if (op->deadline_us && now_us >= op->deadline_us)
			op_finish(op, LUG_UNAVAILABLE, 0);
	}
	LUG_LIST_FOREACH (&writer->flight, pos) {
		struct lug_op *op = LUG_CONTAINER_OF(pos, struct lug_op, node);

		if (op->deadline_us && now_us >= op->deadline_us)
			op_answer(op, LUG_UNKNOWN, 0);
	}
}

/**
 * lug_writer_tick - renew, retry and expire; call it several times a second
 * @writer: lane
 * @now_us: present time
 */
void lug_writer_tick(struct lug_writer *writer, gint64 now_us)
{
	gint64 renew_us = writer->config.renew_ms ? writer->config.renew_ms * 1000
						  : writer->config.ttl_ms * 1000 / RENEW_DIVISOR;

	expire_ops(writer, now_us);
	if (writer->io == IO_BACKOFF && now_us >= writer->retry_at_us) {
		writer->io = IO_READBACK;
		lug_store_scan(writer->store, writer->table, writer->key, NULL, 4, on_readback,
			       writer);
		return;
	}
	if (writer->io == IO_REFUSED && now_us >= writer->retry_at_us) {
		writer->io = IO_IDLE;
		commit(writer, now_us);
		return;
	}
	if (writer->phase != PHASE_HELD || writer->io != IO_IDLE)
		return;
	release_if_idle(writer, now_us);
	if (writer->io != IO_IDLE)
		return;
	if (!lug_list_empty(&writer->ops) || now_us - writer->renewed_us >= renew_us)
		commit(writer, now_us);
}

/**
 * lug_writer_held - tell whether the last word of the store was that this lane holds the row
 * @writer: lane
 */
gboolean lug_writer_held(const struct lug_writer *writer)
{
	return writer->phase == PHASE_HELD;
}

/**
 * lug_writer_valid_until - time until which nobody else can have taken the row over
 * @writer: lane
 *
 * Return: microseconds since boot, 0 when not held. The margin for clock drift is
 * taken off.
 */
gint64 lug_writer_valid_until(const struct lug_writer *writer)
{
	if (!writer->valid_until_us)
		return 0;
	return writer->valid_until_us - writer->config.ttl_ms * 1000 / DRIFT_DIVISOR;
}

/**
 * lug_writer_valid - tell whether the lease surely stands
 * @writer: lane
 * @now_us: present time
 */
gboolean lug_writer_valid(const struct lug_writer *writer, gint64 now_us)
{
	return now_us < lug_writer_valid_until(writer);
}

/**
 * lug_writer_epoch - number of times the row has changed hands
 * @writer: lane
 */
guint64 lug_writer_epoch(const struct lug_writer *writer)
{
	return writer->epoch;
}

/**
 * lug_writer_total - sum of what committed operations added, over all holders
 * @writer: lane
 */
gint64 lug_writer_total(const struct lug_writer *writer)
{
	return writer->total;
}

/**
 * lug_writer_row_lapsed - tell whether a leased row may be taken over
 * @row: row as read
 * @unchanged_us: time for which the reader has seen the row's version unchanged
 */
gboolean lug_writer_row_lapsed(const struct lug_row *row, gint64 unchanged_us)
{
	gint64 ttl_us = lug_json_int(row->data, "ttl_ms", 0) * 1000;

	if (!row->version || !*lug_json_str(row->data, "owner", ""))
		return TRUE;
	return unchanged_us > ttl_us + ttl_us / DRIFT_DIVISOR;
}
