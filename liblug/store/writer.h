#ifndef LUG_STORE_WRITER_H
#define LUG_STORE_WRITER_H

#include "core/list.h"
#include "store/store.h"

/**
 * struct lug_op - one member of a group commit
 * @node: place in the lane's queue
 * @txn: checks and writes
 * @add: added to the lane's total when the operation commits
 * @deadline_us: time after which the caller no longer waits, 0 for never
 * @fn: called once with the outcome
 * @data: passed to @fn
 */
struct lug_op {
	struct lug_list node;
	struct lug_txn txn;
	gint64 add;
	gint64 deadline_us;
	void (*fn)(void *data, enum lug_status status, gint64 version);
	void *data;
};

enum lug_writer_event {
	LUG_WRITER_TAKEN,
	LUG_WRITER_LOST,
	LUG_WRITER_RELEASED,
};

/**
 * struct lug_writer_config - identity and hooks of a lane
 * @table: table of the leased row
 * @key: key of the leased row
 * @ttl_ms: lease time
 * @renew_ms: longest time between commits, 0 for a third of @ttl_ms
 * @fill: adds members to the row at each commit, may be NULL
 * @event: told of each change of hands
 * @data: passed to the hooks
 */
struct lug_writer_config {
	const char *table;
	const char *key;
	gint64 ttl_ms;
	gint64 renew_ms;
	void (*fill)(void *data, JsonObject *row);
	void (*event)(void *data, enum lug_writer_event event);
	void *data;
};

/**
 * struct lug_writer - a leased row through which one holder commits
 *
 * Each transaction of the holder checks and rewrites the leased row. So a
 * commit renews the lease, a former holder can't commit, a transaction that is
 * sent twice applies once, and after a lost answer the row tells whether the
 * transaction took effect. One transaction is in flight at a time; operations
 * submitted meanwhile share the next one.
 */
struct lug_writer;

struct lug_writer *lug_writer_new(struct lug_ctx *ctx, struct lug_store *store,
				  const struct lug_writer_config *config);
void lug_writer_free(struct lug_writer *writer);
void lug_writer_take(struct lug_writer *writer, const struct lug_row *seen, gint64 now_us);
void lug_writer_release(struct lug_writer *writer, gint64 now_us);
struct lug_op *lug_op_new(void (*fn)(void *data, enum lug_status status, gint64 version),
			  void *data);
void lug_writer_submit(struct lug_writer *writer, struct lug_op *op, gint64 now_us);
void lug_writer_append(struct lug_writer *writer, struct lug_op *op);
void lug_writer_flush(struct lug_writer *writer, gint64 now_us);
void lug_writer_tick(struct lug_writer *writer, gint64 now_us);
gboolean lug_writer_held(const struct lug_writer *writer);
gboolean lug_writer_valid(const struct lug_writer *writer, gint64 now_us);
gint64 lug_writer_valid_until(const struct lug_writer *writer);
guint64 lug_writer_epoch(const struct lug_writer *writer);
gint64 lug_writer_total(const struct lug_writer *writer);
gboolean lug_writer_row_lapsed(const struct lug_row *row, gint64 unchanged_us);

#endif
