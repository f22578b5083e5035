#ifndef LUG_STORE_STORE_H
#define LUG_STORE_STORE_H

#include "core/context.h"
#include "core/json.h"

/**
 * struct lug_row - one row of the table service
 * @key: key
 * @version: version that the table service gave to the last write of the row, 0 if the row is
 * absent
 * @data: decoded value, NULL if the row is absent or its value can't be decoded, which the table
 * service client has logged
 * @deleted: of a change that a watch reports: the row was deleted; tells it apart from one whose
 *           value can't be decoded
 */
struct lug_row {
	char *key;
	gint64 version;
	JsonObject *data;
	gboolean deleted;
};

/**
 * struct lug_check - version of a row that a transaction requires to commit
 * @table: table
 * @key: key
 * @version: expected version, 0 for a row that must be absent
 */
struct lug_check {
	char *table;
	char *key;
	gint64 version;
};

/**
 * struct lug_put - write of a row by a transaction
 * @table: table
 * @key: key
 * @data: new value as JSON text, NULL to delete the row
 */
struct lug_put {
	char *table;
	char *key;
	char *data;
};

/**
 * struct lug_txn - a compare-and-set transaction
 * @checks: array of struct lug_check, all evaluated before any write
 * @puts: array of struct lug_put, applied atomically if all checks hold
 */
struct lug_txn {
	GArray *checks;
	GArray *puts;
};

/**
 * struct lug_txn_result - outcome of a transaction
 * @status: LUG_OK, LUG_CONFLICT (a check failed), LUG_UNAVAILABLE (not executed), LUG_BAD_INPUT
 *          (not executed, and refused again if it is repeated), or LUG_UNKNOWN (no answer: the
 *          transaction may have committed)
 * @version: version of each row written, for LUG_OK
 * @failed: indices of the failed checks, for LUG_CONFLICT; empty if the table service does not
 *          report them; valid during the callback
 * @n_failed: number of elements of @failed
 */
struct lug_txn_result {
	enum lug_status status;
	gint64 version;
	const guint *failed;
	guint n_failed;
};

/**
 * enum lug_store_use - what a client of the table service is for
 * @LUG_STORE_JOBS: all but the configuration
 * @LUG_STORE_CONFIG: the operators' configuration
 */
enum lug_store_use {
	LUG_STORE_JOBS,
	LUG_STORE_CONFIG,
};

struct lug_store;

typedef void (*lug_txn_fn)(void *data, const struct lug_txn_result *result);
/* @rows is valid during the callback. @more: rows beyond the limit were left out. */
typedef void (*lug_scan_fn)(void *data, enum lug_status status, const struct lug_row *rows,
			    guint n_rows, gboolean more);

/**
 * struct lug_watch_result - changed rows of a table
 * @status: LUG_OK, LUG_NOT_FOUND if the table service has discarded the changes after the given
 *          version, LUG_UNAVAILABLE for other failures
 * @rows: changed rows, oldest change first; @data of a deleted row is NULL
 * @n_rows: number of elements of @rows
 * @version: version after which the next watch continues
 */
struct lug_watch_result {
	enum lug_status status;
	const struct lug_row *rows;
	guint n_rows;
	gint64 version;
};

typedef void (*lug_watch_fn)(void *data, const struct lug_watch_result *result);

/**
 * struct lug_store_ops - operations of a table service client
 * @txn: commit a transaction
 * @scan: read rows of a table whose keys start with a prefix, in key order, from the first
 *        key greater than @after (NULL for the first of all), at most @limit rows
 * @free: free the client; calls in flight are dropped without a callback
 * @partition: create a client of one partition of the table service, which has its own rows and
 *        transactions, to be freed with lug_store_free(). Partitions commit independently of
 *        each other. NULL if the table service has no partitions
 * @watch: wait at most @wait_ms for changes of a table, in any partition, later than version
 *         @after. NULL if the table service has no watch
 */
struct lug_store_ops {
	void (*txn)(struct lug_store *store, const struct lug_txn *txn, lug_txn_fn fn, void *data);
	void (*scan)(struct lug_store *store, const char *table, const char *prefix,
		     const char *after, guint limit, lug_scan_fn fn, void *data);
	void (*free)(struct lug_store *store);
	struct lug_store *(*partition)(struct lug_store *store, const char *name);
	void (*watch)(struct lug_store *store, const char *table, gint64 after, gint64 wait_ms,
		      lug_watch_fn fn, void *data);
};

/**
 * struct lug_store - base of a table service client
 * @ops: operations
 * @version: version of the whole table service at the scan whose callback is running, from which
 *           a watch can continue; 0 if the table service has no such version
 * @skipped: number of rows that the answer to the scan or watch whose callback is running has
 *           without a key or a version, and that are therefore left out
 * @unsent: the call whose callback is running has failed before it was sent
 * @clock_ms: steady clock of the table service in the latest answer to a transaction or a scan of
 *            this client, 0 if it had none
 * @clock_asked_us: when the call with that answer was sent
 */
struct lug_store {
	const struct lug_store_ops *ops;
	gint64 version;
	guint skipped;
	gboolean unsent;
	gint64 clock_ms;
	gint64 clock_asked_us;
};

static inline void lug_store_txn(struct lug_store *store, const struct lug_txn *txn, lug_txn_fn fn,
				 void *data)
{
	store->ops->txn(store, txn, fn, data);
}

static inline void lug_store_scan(struct lug_store *store, const char *table, const char *prefix,
				  const char *after, guint limit, lug_scan_fn fn, void *data)
{
	store->ops->scan(store, table, prefix, after, limit, fn, data);
}

static inline void lug_store_free(struct lug_store *store)
{
	if (store)
		store->ops->free(store);
}

static inline struct lug_store *lug_store_partition(struct lug_store *store, const char *name)
{
	return store->ops->partition(store, name);
}

static inline void lug_store_watch(struct lug_store *store, const char *table, gint64 after,
				   gint64 wait_ms, lug_watch_fn fn, void *data)
{
	store->ops->watch(store, table, after, wait_ms, fn, data);
}

gint64 lug_store_clock_bound_ms(const struct lug_store *store, gint64 now_us);
void lug_store_scan_all(struct lug_store *store, const char *table, const char *prefix,
			lug_scan_fn fn, void *data);
struct lug_store *lug_store_http_new(struct lug_ctx *ctx);
void lug_txn_init(struct lug_txn *txn);
void lug_txn_clear(struct lug_txn *txn);
void lug_txn_check(struct lug_txn *txn, const char *table, const char *key, gint64 version);
void lug_txn_put(struct lug_txn *txn, const char *table, const char *key, JsonObject *data);
void lug_txn_put_text(struct lug_txn *txn, const char *table, const char *key, const char *text);
void lug_txn_delete(struct lug_txn *txn, const char *table, const char *key);

#endif
