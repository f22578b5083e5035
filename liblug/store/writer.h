#ifndef LUG_STORE_WRITER_H
#define LUG_STORE_WRITER_H

#include "core/list.h"
#include "store/store.h"

/* Highest epoch that a row may state. */
#define LUG_EPOCH_MAX (1LL << 53)

/**
 * struct lug_writer_op - one operation of a group commit
 * @node: in the writer's list of queued operations or of those in flight
 * @txn: checks and writes
 * @total_delta: added, when the operation commits, to the counter that the leased row keeps across
 * holders, see lug_writer_total()
 * @deadline_us: time at which @fn is called even if the outcome is not known, 0 for none
 * @fn: called once with the outcome and, for LUG_OK, the version written, or 0 if that is
 *      not known; may be NULL
 * @data: passed to @fn
 */
struct lug_writer_op {
	struct lug_list node;
	struct lug_txn txn;
	gint64 total_delta;
	gint64 deadline_us;
	void (*fn)(void *data, enum lug_status status, gint64 version);
	void *data;
};

/**
 * enum lug_writer_event - change of a writer's lease
 * @LUG_WRITER_TAKEN: the writer has taken the lease
 * @LUG_WRITER_NOT_HELD: an attempt to take the lease failed, or the writer has lost the lease
 * @LUG_WRITER_RELEASED: the writer has released the lease
 */
enum lug_writer_event {
	LUG_WRITER_TAKEN,
	LUG_WRITER_NOT_HELD,
	LUG_WRITER_RELEASED,
};

/**
 * struct lug_writer_config - row and callbacks of a writer
 * @table: table of the leased row
 * @key: key of the leased row
 * @ttl_ms: duration of the lease
 * @renew_ms: longest time between commits, 0 for a third of @ttl_ms
 * @fill_row: adds members to the row at each commit, may be NULL
 * @add_writes: adds writes to the transaction that takes the lease, or with @releasing to the one
 *              that releases it, may be NULL
 * @on_event: called on each change of the lease
 * @data: passed to the callbacks
 */
struct lug_writer_config {
	const char *table;
	const char *key;
	gint64 ttl_ms;
	gint64 renew_ms;
	void (*fill_row)(void *data, JsonObject *row);
	void (*add_writes)(void *data, struct lug_txn *txn, gboolean releasing);
	void (*on_event)(void *data, enum lug_writer_event event);
	void *data;
};

/**
 * struct lug_writer - a leased row through which a single process commits transactions
 *
 * Each transaction of the holder checks the version of the leased row and rewrites the row,
 * with the duration of the lease, the epoch, its own id and the id of the previous holder's last
 * transaction. Consequences:
 *
 * - Renewal: each commit renews the lease. Without other commits, lug_writer_tick() commits
 *   the leased row alone.
 * - Fencing: a takeover changes the row's version, so no transaction of a former holder
 *   commits, however late it arrives.
 * - Idempotent resend: of several sends of one transaction at most one commits, as the first
 *   changes the version that the others check.
 *
 * Readback: after a lost answer the writer reads the row. The transaction has committed if the
 * row carries its id, or if the next holder's row names it as the previous transaction. If the
 * row's version is unchanged, it has not committed and is sent again. In all other cases its
 * outcome remains unknown.
 *
 * Group commit: one transaction is in flight at a time. Operations that are submitted meanwhile
 * share the next one, and a failed check fails only the operation that made it.
 *
 * Time since boot, not wall time, counts for the lease: the holder counts it from the moment
 * it first sent the last commit, other processes from when they saw the row's version change.
 * Both allow for 2 % of clock drift.
 */
struct lug_writer;

struct lug_writer *lug_writer_new(struct lug_ctx *ctx, struct lug_store *store,
				  const struct lug_writer_config *config);
void lug_writer_free(struct lug_writer *writer);
void lug_writer_take(struct lug_writer *writer, const struct lug_row *seen, gint64 now_us);
void lug_writer_keep(struct lug_writer *writer);
void lug_writer_release(struct lug_writer *writer, gint64 now_us);
struct lug_writer_op *
lug_writer_op_new(void (*fn)(void *data, enum lug_status status, gint64 version), void *data);
void lug_writer_submit(struct lug_writer *writer, struct lug_writer_op *op, gint64 now_us);
void lug_writer_append(struct lug_writer *writer, struct lug_writer_op *op);
void lug_writer_flush(struct lug_writer *writer, gint64 now_us);
void lug_writer_tick(struct lug_writer *writer, gint64 now_us);
gboolean lug_writer_is_held(const struct lug_writer *writer);
gboolean lug_writer_is_taking(const struct lug_writer *writer);
gboolean lug_writer_is_valid(const struct lug_writer *writer, gint64 now_us);
gint64 lug_writer_renewed_us(const struct lug_writer *writer);
gint64 lug_writer_valid_until_us(const struct lug_writer *writer);
void lug_writer_hold(struct lug_writer *writer, gint64 until_us);
guint64 lug_writer_rewrite(struct lug_writer *writer, gint64 now_us);
gboolean lug_writer_is_written(const struct lug_writer *writer, guint64 number);
guint64 lug_writer_epoch(const struct lug_writer *writer);
gint64 lug_writer_total(const struct lug_writer *writer);
guint64 lug_writer_row_epoch(const struct lug_row *row);
gint64 lug_writer_row_ttl_ms(const struct lug_row *row);
gint64 lug_writer_row_left_ms(const struct lug_row *row, gint64 clock_ms);
gboolean lug_writer_row_is_free(const struct lug_row *row, gint64 unchanged_us,
				gint64 unreadable_ttl_ms);

#endif
