#ifndef LUG_STORE_WRITER_PRIV_H
#define LUG_STORE_WRITER_PRIV_H

#include "store/writer.h"

/*
 * Shared by the files that implement struct lug_writer: writer.c (lease, transactions, their
 * outcomes) and writer_ops.c (operations that share a transaction).
 */

/* Operations of one transaction at most. */
#define WRITER_OPS_MAX 64

void writer_op_report(struct lug_writer_op *op, enum lug_status status, gint64 version);
void writer_op_finish(struct lug_writer_op *op, enum lug_status status, gint64 version);
void writer_ops_finish(struct lug_list *ops, enum lug_status status, gint64 version);
void writer_ops_add_to_txn(const struct lug_list *ops, struct lug_txn *txn);
void writer_ops_select(struct lug_list *queued, struct lug_list *selected, guint max);
guint writer_ops_requeue(struct lug_list *ops, struct lug_list *queued);
void writer_ops_fail_conflicting(struct lug_list *ops, const struct lug_txn_result *result);

#endif
