#include "store/store.h"

static void clear_check(void *data)
{
	struct lug_check *check = data;

	g_free(check->table);
	g_free(check->key);
}

static void clear_put(void *data)
{
	struct lug_put *put = data;

	g_free(put->table);
	g_free(put->key);
	g_free(put->data);
}

/**
 * lug_txn_init - initialise an empty transaction
 * @txn: transaction, freed with lug_txn_clear()
 */
void lug_txn_init(struct lug_txn *txn)
{
	txn->checks = g_array_new(FALSE, FALSE, sizeof(struct lug_check));
	txn->puts = g_array_new(FALSE, FALSE, sizeof(struct lug_put));
	g_array_set_clear_func(txn->checks, clear_check);
	g_array_set_clear_func(txn->puts, clear_put);
}

/**
 * lug_txn_clear - free the checks and writes of a transaction
 * @txn: transaction
 */
void lug_txn_clear(struct lug_txn *txn)
{
	g_array_unref(txn->checks);
	g_array_unref(txn->puts);
}

/**
 * lug_txn_check - add a check of a row's version
 * @txn: transaction
 * @table: table
 * @key: key
 * @version: expected version, 0 for a row that must be absent
 */
void lug_txn_check(struct lug_txn *txn, const char *table, const char *key, gint64 version)
{
	struct lug_check check = {g_strdup(table), g_strdup(key), version};

	g_array_append_val(txn->checks, check);
}

/**
 * lug_txn_put_text - add a write of a row, given as text
 * @txn: transaction
 * @table: table
 * @key: key
 * @text: value, one JSON object
 */
void lug_txn_put_text(struct lug_txn *txn, const char *table, const char *key, const char *text)
{
	struct lug_put put = {g_strdup(table), g_strdup(key), g_strdup(text)};

	g_array_append_val(txn->puts, put);
}

/**
 * lug_txn_put - add a write of a row
 * @txn: transaction
 * @table: table
 * @key: key
 * @data: value, encoded by this call; the caller keeps its reference
 */
void lug_txn_put(struct lug_txn *txn, const char *table, const char *key, JsonObject *data)
{
	struct lug_put put = {g_strdup(table), g_strdup(key), lug_json_text(data)};

	g_array_append_val(txn->puts, put);
}

/**
 * lug_txn_delete - add the deletion of a row
 * @txn: transaction
 * @table: table
 * @key: key
 */
void lug_txn_delete(struct lug_txn *txn, const char *table, const char *key)
{
	struct lug_put put = {g_strdup(table), g_strdup(key), NULL};

	g_array_append_val(txn->puts, put);
}
