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

struct lug_lane {
	struct lug_ctx *ctx;
	struct lug_store *store;
	struct lug_lane_config config;
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

static void commit(struct lug_lane *lane, gint64 now_us);
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
 * lug_lane_new - create a lane that holds nothing yet
 * @ctx: context
 * @store: table service client; outlives the lane's callbacks
 * @config: identity and hooks, copied
 */
struct lug_lane *lug_lane_new(struct lug_ctx *ctx, struct lug_store *store,
			      const struct lug_lane_config *config)
{
	struct lug_lane *lane = g_new0(struct lug_lane, 1);

	lane->ctx = ctx;
	lane->store = store;
	lane->config = *config;
	lane->table = g_strdup(config->table);
	lane->key = g_strdup(config->key);
	lane->config.table = lane->table;
	lane->config.key = lane->key;
	lane->retry_ms = RETRY_MIN_MS;
	lug_list_init(&lane->ops);
	lug_list_init(&lane->flight);
	lug_txn_init(&lane->txn);
	return lane;
}

/**
 * lug_lane_free - release a lane; pending operations are answered LUG_UNAVAILABLE
 * @lane: lane, may be NULL; the store must be freed before
 */
void lug_lane_free(struct lug_lane *lane)
{
	if (!lane)
		return;
	finish_all(&lane->flight, LUG_UNKNOWN, 0);
	finish_all(&lane->ops, LUG_UNAVAILABLE, 0);
	lug_txn_clear(&lane->txn);
	g_free(lane->table);
	g_free(lane->key);
	g_free(lane);
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

static gint64 flight_total(const struct lug_lane *lane)
{
	gint64 total = lane->total;

	LUG_LIST_FOREACH (&lane->flight, pos)
		total += LUG_CONTAINER_OF(pos, struct lug_op, node)->add;
	return total;
}

static void put_head(struct lug_lane *lane)
{
	const struct lug_ctx *ctx = lane->ctx;
	gboolean releasing = lane->phase == PHASE_RELEASING;
	JsonObject *row = json_object_new();
	char incarnation[24];

	g_snprintf(incarnation, sizeof(incarnation), "%" G_GINT64_MODIFIER "x", ctx->incarnation);
	json_object_set_string_member(row, "owner", releasing ? "" : ctx->settings->name);
	json_object_set_string_member(row, "incarnation", incarnation);
	json_object_set_int_member(row, "epoch", (gint64)lane->epoch);
	json_object_set_int_member(row, "ttl_ms", lane->config.ttl_ms);
	json_object_set_string_member(row, "txn", lane->txn_id);
	json_object_set_string_member(row, "prev_txn", lane->prev_txn);
	json_object_set_int_member(row, "total", flight_total(lane));
	if (lane->config.fill)
		lane->config.fill(lane->config.data, row);
	lug_txn_put(&lane->txn, lane->table, lane->key, row);
	json_object_unref(row);
}

static void build(struct lug_lane *lane)
{
	lug_txn_clear(&lane->txn);
	lug_txn_init(&lane->txn);
	g_snprintf(lane->txn_id, sizeof(lane->txn_id),
		   "%" G_GINT64_MODIFIER "x.%" G_GINT64_MODIFIER "x", lane->ctx->incarnation,
		   ++lane->txn_count);
	lug_txn_check(&lane->txn, lane->table, lane->key, lane->version);
	put_head(lane);
	LUG_LIST_FOREACH (&lane->flight, pos)
		add_txn(&lane->txn, &LUG_CONTAINER_OF(pos, struct lug_op, node)->txn);
}

static void send_txn(struct lug_lane *lane)
{
	lane->io = IO_COMMIT;
	lug_store_txn(lane->store, &lane->txn, on_commit, lane);
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
static void fill_flight(struct lug_lane *lane)
{
	GHashTable *rows = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	guint n = 0;
	guint entries = 0;

	while (n++ < OPS_PER_TXN && !lug_list_empty(&lane->ops)) {
		struct lug_op *op = LUG_CONTAINER_OF(lane->ops.next, struct lug_op, node);

		entries += op->txn.checks->len + op->txn.puts->len;
		if (meets(rows, &op->txn) || (n > 1 && entries > ENTRIES_PER_TXN))
			break;
		add_rows(rows, &op->txn);
		lug_list_remove(&op->node);
		lug_list_append(&lane->flight, &op->node);
	}
	g_hash_table_unref(rows);
}

static void commit(struct lug_lane *lane, gint64 now_us)
{
	if (lane->phase == PHASE_HELD)
		fill_flight(lane);
	build(lane);
	lane->in_doubt = FALSE;
	lane->first_sent_us = now_us;
	send_txn(lane);
}

static void lost(struct lug_lane *lane, gboolean settled)
{
	gboolean was_held = lane->phase != PHASE_TAKING;

	lane->phase = PHASE_FREE;
	lane->io = IO_IDLE;
	lane->valid_until_us = 0;
	if (was_held) {
		lug_count(lane->ctx, LEASES_LOST, 1);
		lug_timeline_add(lane->ctx->timeline, LUG_EV_LEASE_LOST, lane->key,
				 "epoch %" G_GUINT64_FORMAT, lane->epoch);
		lug_warn(lane->ctx, "lease_lost", "lease", lane->key);
	}
	finish_all(&lane->flight, settled ? LUG_FENCED : LUG_UNKNOWN, 0);
	finish_all(&lane->ops, LUG_FENCED, 0);
	lane->config.event(lane->config.data, LUG_LANE_LOST);
}

static void committed(struct lug_lane *lane, gint64 version)
{
	enum phase was = lane->phase;

	lane->version = version;
	lane->total = flight_total(lane);
	lane->valid_until_us = lane->first_sent_us + lane->config.ttl_ms * 1000;
	lane->renewed_us = lane->first_sent_us;
	lane->retry_ms = RETRY_MIN_MS;
	lane->io = IO_IDLE;
	if (was == PHASE_TAKING)
		lane->phase = PHASE_HELD;
	if (was == PHASE_RELEASING)
		lane->phase = PHASE_FREE;
	finish_all(&lane->flight, LUG_OK, version);
	if (was == PHASE_TAKING) {
		lug_count(lane->ctx, LEASES_TAKEN, 1);
		lug_timeline_add(lane->ctx->timeline, LUG_EV_LEASE_TAKEN, lane->key,
				 "epoch %" G_GUINT64_FORMAT, lane->epoch);
		lane->config.event(lane->config.data, LUG_LANE_TAKEN);
	}
	if (was == PHASE_RELEASING) {
		finish_all(&lane->ops, LUG_FENCED, 0);
		lane->config.event(lane->config.data, LUG_LANE_RELEASED);
	}
}

static void eject(struct lug_lane *lane, const struct lug_txn_result *result)
{
	guint index = 1;

	LUG_LIST_FOREACH_SAFE (&lane->flight, pos, tmp) {
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

static void back_off(struct lug_lane *lane, gint64 now_us)
{
	lane->io = IO_BACKOFF;
	lane->retry_at_us = now_us + lug_jitter(lane->ctx->rng, lane->retry_ms) * 1000;
	lane->retry_ms = MIN(lane->retry_ms * 2, RETRY_MAX_MS);
}

/*
 * The table service has certainly not carried the transaction out. Its operations wait for the
 * next one, and may expire as not committed.
 */
static void refused(struct lug_lane *lane, gint64 now_us)
{
	while (!lug_list_empty(&lane->flight)) {
		struct lug_list *last = lane->flight.prev;

		lug_list_remove(last);
		last->next = lane->ops.next;
		last->prev = &lane->ops;
		lane->ops.next->prev = last;
		lane->ops.next = last;
	}
	back_off(lane, now_us);
	lane->io = IO_REFUSED;
}

static void on_readback(void *data, enum lug_status status, const struct lug_row *rows,
			guint n_rows, gboolean more)
{
	struct lug_lane *lane = data;
	const struct lug_row *row = NULL;

	(void)more;
	if (status != LUG_OK) {
		back_off(lane, lug_now_us());
		return;
	}
	lug_count(lane->ctx, STORE_READBACKS, 1);
	for (guint i = 0; i < n_rows; i++)
		if (!strcmp(rows[i].key, lane->key))
			row = &rows[i];
	if (row && !strcmp(lug_json_str(row->data, "txn", ""), lane->txn_id))
		committed(lane, row->version);
	else if ((row ? row->version : 0) == lane->version)
		send_txn(lane);
	else if (row && !strcmp(lug_json_str(row->data, "prev_txn", ""), lane->txn_id)) {
		finish_all(&lane->flight, LUG_OK, 0);
		lost(lane, TRUE);
	} else
		lost(lane, FALSE);
}

static void on_commit(void *data, const struct lug_txn_result *result)
{
	struct lug_lane *lane = data;

	switch (result->status) {
	case LUG_OK:
		committed(lane, result->version);
		if (lane->phase == PHASE_HELD && lane->io == IO_IDLE && !lug_list_empty(&lane->ops))
			commit(lane, lug_now_us());
		return;
	case LUG_CONFLICT:
		if (head_failed(result)) {
			lane->io = IO_READBACK;
			lug_store_scan(lane->store, lane->table, lane->key, NULL, 4, on_readback,
				       lane);
			return;
		}
		eject(lane, result);
		build(lane);
		lane->first_sent_us = lug_now_us();
		send_txn(lane);
		return;
	case LUG_UNAVAILABLE:
		if (!lane->in_doubt) {
			refused(lane, lug_now_us());
			return;
		}
		back_off(lane, lug_now_us());
		return;
	default:
		lane->in_doubt = TRUE;
		back_off(lane, lug_now_us());
	}
}

/**
 * lug_lane_take - try to become the holder
 * @lane: lane that holds nothing
 * @seen: row as last read, with version 0 when absent
 * @now_us: present time
 *
 * The attempt succeeds only if the row is still as seen; the outcome is told
 * by an event.
 */
void lug_lane_take(struct lug_lane *lane, const struct lug_row *seen, gint64 now_us)
{
	if (lane->phase != PHASE_FREE || lane->io != IO_IDLE)
		return;
	lane->phase = PHASE_TAKING;
	lane->release_wanted = FALSE;
	lane->version = seen->version;
	lane->epoch = (guint64)lug_json_int(seen->data, "epoch", 0) + 1;
	lane->total = lug_json_int(seen->data, "total", 0);
	g_strlcpy(lane->prev_txn, lug_json_str(seen->data, "txn", ""), sizeof(lane->prev_txn));
	commit(lane, now_us);
}

static void release_if_idle(struct lug_lane *lane, gint64 now_us)
{
	if (!lane->release_wanted || lane->phase != PHASE_HELD || lane->io != IO_IDLE ||
	    !lug_list_empty(&lane->ops))
		return;
	lane->release_wanted = FALSE;
	lane->phase = PHASE_RELEASING;
	commit(lane, now_us);
}

/**
 * lug_lane_release - give the lease up after what is submitted has committed
 * @lane: lane
 * @now_us: present time
 */
void lug_lane_release(struct lug_lane *lane, gint64 now_us)
{
	lane->release_wanted = TRUE;
	release_if_idle(lane, now_us);
}

/**
 * lug_lane_append - queue an operation without sending it yet
 * @lane: lane
 * @op: operation, owned by the lane from here on
 */
void lug_lane_append(struct lug_lane *lane, struct lug_op *op)
{
	lug_list_append(&lane->ops, &op->node);
}

/**
 * lug_lane_flush - send what is queued, unless a transaction is in flight
 * @lane: lane
 * @now_us: present time
 */
void lug_lane_flush(struct lug_lane *lane, gint64 now_us)
{
	if (lane->phase == PHASE_HELD && lane->io == IO_IDLE && !lug_list_empty(&lane->ops))
		commit(lane, now_us);
}

/**
 * lug_lane_submit - queue an operation for the next transaction
 * @lane: lane
 * @op: operation, owned by the lane from here on
 * @now_us: present time
 */
void lug_lane_submit(struct lug_lane *lane, struct lug_op *op, gint64 now_us)
{
	lug_lane_append(lane, op);
	lug_lane_flush(lane, now_us);
}

static void expire_ops(struct lug_lane *lane, gint64 now_us)
{
	LUG_LIST_FOREACH_SAFE (&lane->ops, pos, tmp) {
		struct lug_op *op = LUG_CONTAINER_OF(pos, struct lug_op, node);

		if (op->deadline_us && now_us >= op->deadline_us)
			op_finish(op, LUG_UNAVAILABLE, 0);
	}
	LUG_LIST_FOREACH (&lane->flight, pos) {
		struct lug_op *op = LUG_CONTAINER_OF(pos, struct lug_op, node);

		if (op->deadline_us && now_us >= op->deadline_us)
			op_answer(op, LUG_UNKNOWN, 0);
	}
}

/**
 * lug_lane_tick - renew, retry and expire; call it several times a second
 * @lane: lane
 * @now_us: present time
 */
void lug_lane_tick(struct lug_lane *lane, gint64 now_us)
{
	gint64 renew_us = lane->config.renew_ms ? lane->config.renew_ms * 1000
						: lane->config.ttl_ms * 1000 / RENEW_DIVISOR;

	expire_ops(lane, now_us);
	if (lane->io == IO_BACKOFF && now_us >= lane->retry_at_us) {
		lane->io = IO_READBACK;
		lug_store_scan(lane->store, lane->table, lane->key, NULL, 4, on_readback, lane);
		return;
	}
	if (lane->io == IO_REFUSED && now_us >= lane->retry_at_us) {
		lane->io = IO_IDLE;
		commit(lane, now_us);
		return;
	}
	if (lane->phase != PHASE_HELD || lane->io != IO_IDLE)
		return;
	release_if_idle(lane, now_us);
	if (lane->io != IO_IDLE)
		return;
	if (!lug_list_empty(&lane->ops) || now_us - lane->renewed_us >= renew_us)
		commit(lane, now_us);
}

/**
 * lug_lane_held - tell whether the last word of the store was that this lane holds the row
 * @lane: lane
 */
gboolean lug_lane_held(const struct lug_lane *lane)
{
	return lane->phase == PHASE_HELD;
}

/**
 * lug_lane_valid_until - time until which nobody else can have taken the row over
 * @lane: lane
 *
 * Return: microseconds since boot, 0 when not held. The margin for clock drift is
 * taken off.
 */
gint64 lug_lane_valid_until(const struct lug_lane *lane)
{
	if (!lane->valid_until_us)
		return 0;
	return lane->valid_until_us - lane->config.ttl_ms * 1000 / DRIFT_DIVISOR;
}

/**
 * lug_lane_valid - tell whether the lease surely stands
 * @lane: lane
 * @now_us: present time
 */
gboolean lug_lane_valid(const struct lug_lane *lane, gint64 now_us)
{
	return now_us < lug_lane_valid_until(lane);
}

/**
 * lug_lane_epoch - number of times the row has changed hands
 * @lane: lane
 */
guint64 lug_lane_epoch(const struct lug_lane *lane)
{
	return lane->epoch;
}

/**
 * lug_lane_total - sum of what committed operations added, over all holders
 * @lane: lane
 */
gint64 lug_lane_total(const struct lug_lane *lane)
{
	return lane->total;
}

/**
 * lug_lane_row_lapsed - tell whether a leased row may be taken over
 * @row: row as read
 * @unchanged_us: time for which the reader has seen the row's version unchanged
 */
gboolean lug_lane_row_lapsed(const struct lug_row *row, gint64 unchanged_us)
{
	gint64 ttl_us = lug_json_int(row->data, "ttl_ms", 0) * 1000;

	if (!row->version || !*lug_json_str(row->data, "owner", ""))
		return TRUE;
	return unchanged_us > ttl_us + ttl_us / DRIFT_DIVISOR;
}
