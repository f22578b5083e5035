#include "store/unreadable.h"

/* Rows remembered as logged; beyond that, all are forgotten, and logged again when next read. */
#define REMEMBERED_MAX 1000

/*
 * struct lug_unreadable - rows of the table service that could not be decoded
 * @ctx: context
 * @logged: table, key and version of each such row that was logged
 */
struct lug_unreadable {
	struct lug_ctx *ctx;
	GHashTable *logged;
};

/**
 * lug_unreadable_new - create an empty set of rows
 * @ctx: context
 */
struct lug_unreadable *lug_unreadable_new(struct lug_ctx *ctx)
{
	struct lug_unreadable *unreadable = g_new0(struct lug_unreadable, 1);

	unreadable->ctx = ctx;
	unreadable->logged = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	return unreadable;
}

/**
 * lug_unreadable_free - free the set
 * @unreadable: set, may be NULL
 */
void lug_unreadable_free(struct lug_unreadable *unreadable)
{
	if (!unreadable)
		return;
	g_hash_table_unref(unreadable->logged);
	g_free(unreadable);
}

/**
 * lug_unreadable_report - log a row that can't be decoded, once for each of its versions
 * @unreadable: set
 * @table: table of the row, "" if unknown
 * @key: key of the row, "" if unknown
 * @version: version of the row, 0 if unknown
 * @reason: what is wrong
 */
void lug_unreadable_report(struct lug_unreadable *unreadable, const char *table, const char *key,
			   gint64 version, const char *reason)
{
	char *row = g_strdup_printf("%s/%s@%" G_GINT64_FORMAT, table, key, version);

	if (g_hash_table_contains(unreadable->logged, row)) {
		g_free(row);
		return;
	}
	if (g_hash_table_size(unreadable->logged) >= REMEMBERED_MAX)
		g_hash_table_remove_all(unreadable->logged);
	g_hash_table_add(unreadable->logged, row);
	lug_warn(unreadable->ctx, "row_skipped", "table", table, "key", key, "reason", reason,
		 "remedy", "write the row again or delete it");
}
