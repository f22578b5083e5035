#ifndef LUG_STORE_WRITER_PRIV_H
#define LUG_STORE_WRITER_PRIV_H

#include "store/writer.h"

/*
 * Shared by the files that implement struct lug_writer: writer.c (transactions and their outcomes),
 * writer_lease.c (what the leased row states) and writer_ops.c (operations that share a
 * transaction).
 */

/* Operations of one transaction at most. */
#define WRITER_OPS_MAX 64

/* Whether the writer holds its lease. */
enum lease_phase {
	PHASE_NOT_HELD,
	PHASE_ACQUIRING,
	PHASE_HELD,
	PHASE_RELEASING,
};

/*
 * Call to the table service that is in flight, or due at next_io_us. IO_WAIT_READBACK follows an
 * unknown outcome or a failed readback, IO_WAIT_RETRY a transaction that was not executed.
 */
enum io_state {
	IO_IDLE,
	IO_COMMIT,
	IO_WAIT_READBACK,
	IO_READBACK,
	IO_WAIT_RETRY,
};

/**
 * struct lug_writer - a leased row through which a single process commits transactions
 * @ctx: context
 * @store: table service client, not owned
 * @config: row and callbacks
 * @table: copy of the row's table
 * @key: copy of the row's key
 * @queued: operations for later transactions, oldest first
 * @in_flight: operations of the present transaction
 * @ops_max: operations of the next transaction, fewer than WRITER_OPS_MAX after one was refused for
 * its content
 * @txn: the present transaction
 * @phase: whether the writer holds its lease
 * @io_state: call to the table service that is in flight or due
 * @release_requested: release the lease once no operation is left
 * @txn_id: id of the present transaction, stored in the row
 * @prev_txn_id: id found in the row when the lease was taken, stored in the row
 * @txn_count: transactions built by this writer, which is the number of the present one
 * @written_txn: number of the last committed transaction
 * @version: version of the row that the present transaction checks
 * @epoch: epoch of the lease
 * @total: counter kept in the row, as of the last commit
 * @first_sent_us: time at which the present transaction was first sent
 * @valid_until_us: expiry of the lease without the margin for clock drift, 0 if it was never held
 *                  or was lost
 * @renewed_us: time at which the last committed transaction was first sent
 * @hold_until_us: time before which no other process may take the lease, see lug_writer_hold()
 * @rewrite_requested: write the row with the next tick, see lug_writer_rewrite()
 * @row_ttl_ms: duration of the lease that the row of the present transaction states
 * @next_io_us: time of the next readback or retry
 * @retry_delay_ms: delay of the next readback or retry, doubled with each one until a commit
 * @outcome_unknown: an earlier send of the present transaction may have committed
 */
struct lug_writer {
	struct lug_ctx *ctx;
	struct lug_store *store;
	struct lug_writer_config config;
	char *table;
	char *key;
	struct lug_list queued;
	struct lug_list in_flight;
	guint ops_max;
	struct lug_txn txn;
	enum lease_phase phase;
	enum io_state io_state;
	gboolean release_requested;
	char txn_id[48];
	char prev_txn_id[48];
	guint64 txn_count;
	guint64 written_txn;
	gint64 version;
	guint64 epoch;
	gint64 total;
	gint64 first_sent_us;
	gint64 valid_until_us;
	gint64 renewed_us;
	gint64 hold_until_us;
	gboolean rewrite_requested;
	gint64 row_ttl_ms;
	gint64 next_io_us;
	gint64 retry_delay_ms;
	gboolean outcome_unknown;
};

void writer_op_report(struct lug_writer_op *op, enum lug_status status, gint64 version);
void writer_op_finish(struct lug_writer_op *op, enum lug_status status, gint64 version);
void writer_ops_finish(struct lug_list *ops, enum lug_status status, gint64 version);
void writer_ops_add_to_txn(const struct lug_list *ops, struct lug_txn *txn);
void writer_ops_select(struct lug_list *queued, struct lug_list *selected, guint max);
guint writer_ops_requeue(struct lug_list *ops, struct lug_list *queued);
void writer_ops_fail_conflicting(struct lug_list *ops, const struct lug_txn_result *result);

#endif
