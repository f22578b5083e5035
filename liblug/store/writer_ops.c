#include "store/writer_priv.h"

#include <string.h>

/*
 * Several operations share a transaction up to WRITER_OPS_MAX operations, CHECKS_AND_WRITES_MAX of
 * their checks and writes, and VALUES_MAX_BYTES of values. The table service accepts 100 checks and
 * writes in a transaction, including those of the leased row, and 1 MB, in which a value takes a
 * third more. A single operation is sent whatever its size.
 */
#define CHECKS_AND_WRITES_MAX 90
#define VALUES_MAX_BYTES (600 * 1000)

/**
 * lug_writer_op_new - create an empty operation
 * @fn: called once with LUG_OK, LUG_CONFLICT (one of its checks failed), LUG_FENCED (not
 *      committed, the lease is not held), LUG_BAD_INPUT (the table service does not accept its
 *      content), LUG_UNAVAILABLE (not committed) or LUG_UNKNOWN (it may have committed); may be
 * NULL
 * @data: passed to @fn
 *
 * Return: operation, to be handed to lug_writer_submit() or lug_writer_append().
 */
struct lug_writer_op *
lug_writer_op_new(void (*fn)(void *data, enum lug_status status, gint64 version), void *data)
{
	struct lug_writer_op *op = g_new0(struct lug_writer_op, 1);

	lug_list_init(&op->node);
	lug_txn_init(&op->txn);
	op->fn = fn;
	op->data = data;
	return op;
}

/**
 * writer_op_report - call an operation's callback, at most once; the operation stays in its list
 */
void writer_op_report(struct lug_writer_op *op, enum lug_status status, gint64 version)
{
	void (*fn)(void *data, enum lug_status status, gint64 version) = op->fn;

	op->fn = NULL;
	if (fn)
		fn(op->data, status, version);
}

/**
 * writer_op_finish - remove an operation from its list, call its callback and free it
 */
void writer_op_finish(struct lug_writer_op *op, enum lug_status status, gint64 version)
{
	lug_list_remove(&op->node);
	writer_op_report(op, status, version);
	lug_txn_clear(&op->txn);
	g_free(op);
}

/**
 * writer_ops_finish - finish all operations of a list
 *
 * The list is emptied before the callbacks are called, which may submit further operations.
 */
void writer_ops_finish(struct lug_list *list, enum lug_status status, gint64 version)
{
	struct lug_list detached;

	if (lug_list_empty(list))
		return;
	detached = *list;
	detached.next->prev = &detached;
	detached.prev->next = &detached;
	lug_list_init(list);
	while (!lug_list_empty(&detached))
		writer_op_finish(LUG_CONTAINER_OF(detached.next, struct lug_writer_op, node),
				 status, version);
}

static void append_txn(struct lug_txn *dst, const struct lug_txn *src)
{
	for (guint i = 0; i < src->checks->len; i++) {
		const struct lug_check *check = &g_array_index(src->checks, struct lug_check, i);

		lug_txn_check(dst, check->table, check->key, check->version);
	}
	for (guint i = 0; i < src->puts->len; i++) {
		const struct lug_put *put = &g_array_index(src->puts, struct lug_put, i);

		if (put->data)
			lug_txn_put_text(dst, put->table, put->key, put->data);
		else
			lug_txn_delete(dst, put->table, put->key);
	}
}

/**
 * writer_ops_add_to_txn - add the checks and writes of operations to a transaction, in order
 */
void writer_ops_add_to_txn(const struct lug_list *ops, struct lug_txn *txn)
{
	LUG_LIST_FOREACH (ops, pos)
		append_txn(txn, &LUG_CONTAINER_OF(pos, struct lug_writer_op, node)->txn);
}

static char *row_name(const char *table, const char *key)
{
	return g_strconcat(table, "/", key, NULL);
}

static gboolean has_row(GHashTable *rows, const char *table, const char *key)
{
	char *name = row_name(table, key);
	gboolean found = g_hash_table_contains(rows, name);

	g_free(name);
	return found;
}

static gboolean touches_any_row(GHashTable *rows, const struct lug_txn *txn)
{
	for (guint i = 0; i < txn->checks->len; i++) {
		const struct lug_check *check = &g_array_index(txn->checks, struct lug_check, i);

		if (has_row(rows, check->table, check->key))
			return TRUE;
	}
	for (guint i = 0; i < txn->puts->len; i++) {
		const struct lug_put *put = &g_array_index(txn->puts, struct lug_put, i);

		if (has_row(rows, put->table, put->key))
			return TRUE;
	}
	return FALSE;
}

static void add_written_rows(GHashTable *rows, const struct lug_txn *txn)
{
	for (guint i = 0; i < txn->puts->len; i++) {
		const struct lug_put *put = &g_array_index(txn->puts, struct lug_put, i);

		g_hash_table_add(rows, row_name(put->table, put->key));
	}
}

static gsize values_bytes(const struct lug_txn *txn)
{
	gsize n = 0;

	for (guint i = 0; i < txn->puts->len; i++) {
		const struct lug_put *put = &g_array_index(txn->puts, struct lug_put, i);

		n += put->data ? strlen(put->data) : 0;
	}
	return n;
}

/**
 * writer_ops_select - move queued operations into the next transaction
 * @queued: queue
 * @selected: list of the operations of the transaction, empty
 * @max: operations to select at most
 *
 * The table service evaluates all checks of a
 * transaction before its writes, so an operation that checks or writes a row written by an earlier
 * one waits for the transaction after it, where its check sees that write.
 */
void writer_ops_select(struct lug_list *queued, struct lug_list *selected, guint max)
{
	GHashTable *rows = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	guint n = 0;
	guint checks_and_writes = 0;
	gsize bytes = 0;

	while (n++ < max && !lug_list_empty(queued)) {
		struct lug_writer_op *op =
			LUG_CONTAINER_OF(queued->next, struct lug_writer_op, node);

		checks_and_writes += op->txn.checks->len + op->txn.puts->len;
		bytes += values_bytes(&op->txn);
		if (touches_any_row(rows, &op->txn) ||
		    (n > 1 &&
		     (checks_and_writes > CHECKS_AND_WRITES_MAX || bytes > VALUES_MAX_BYTES)))
			break;
		add_written_rows(rows, &op->txn);
		lug_list_remove(&op->node);
		lug_list_append(selected, &op->node);
	}
	g_hash_table_unref(rows);
}

/**
 * writer_ops_fail_conflicting - end the operations of a transaction that made a failed check
 * @ops: its operations
 * @result: its outcome
 *
 * The check of the leased row has index 0,
 * those of the operations follow in their order.
 */
void writer_ops_fail_conflicting(struct lug_list *ops, const struct lug_txn_result *result)
{
	guint index = 1;

	LUG_LIST_FOREACH_SAFE (ops, pos, tmp) {
		struct lug_writer_op *op = LUG_CONTAINER_OF(pos, struct lug_writer_op, node);
		guint end = index + op->txn.checks->len;
		gboolean failed = FALSE;

		for (guint i = 0; i < result->n_failed; i++)
			failed = failed || (result->failed[i] >= index && result->failed[i] < end);
		index = end;
		if (failed)
			writer_op_finish(op, LUG_CONFLICT, 0);
	}
}

/**
 * writer_ops_requeue - return the operations of a transaction to the head of the queue
 *
 * Return: their number.
 */
guint writer_ops_requeue(struct lug_list *ops, struct lug_list *queued)
{
	guint n = 0;

	while (!lug_list_empty(ops)) {
		struct lug_list *last = ops->prev;

		lug_list_remove(last);
		last->next = queued->next;
		last->prev = queued;
		queued->next->prev = last;
		queued->next = last;
		n++;
	}
	return n;
}
