#include "store/store.h"

/* Rows of one call; a table service may return fewer. */
#define PAGE_MAX_ROWS 500

/**
 * struct scan_all - a scan that reads page after page
 * @store: table service client
 * @table: table
 * @prefix: prefix of the keys
 * @rows: rows read so far, array of struct lug_row
 * @fn: called once
 * @data: passed to @fn
 */
struct scan_all {
	struct lug_store *store;
	char *table;
	char *prefix;
	GArray *rows;
	lug_scan_fn fn;
	void *data;
};

static void clear_row(void *data)
{
	struct lug_row *row = data;

	g_free(row->key);
	g_clear_pointer(&row->data, json_object_unref);
}

static void finish(struct scan_all *scan, enum lug_status status)
{
	guint n = status == LUG_OK ? scan->rows->len : 0;

	scan->fn(scan->data, status, (const struct lug_row *)(void *)scan->rows->data, n, FALSE);
	g_array_unref(scan->rows);
	g_free(scan->table);
	g_free(scan->prefix);
	g_free(scan);
}

static void on_page(void *data, enum lug_status status, const struct lug_row *rows, guint n_rows,
		    gboolean more)
{
	struct scan_all *scan = data;

	for (guint i = 0; i < n_rows; i++) {
		struct lug_row copy = {g_strdup(rows[i].key), rows[i].version,
				       rows[i].data ? json_object_ref(rows[i].data) : NULL,
				       rows[i].deleted};

		g_array_append_val(scan->rows, copy);
	}
	if (status != LUG_OK || !more || !n_rows) {
		finish(scan, status);
		return;
	}
	lug_store_scan(scan->store, scan->table, scan->prefix, rows[n_rows - 1].key, PAGE_MAX_ROWS,
		       on_page, scan);
}

/**
 * lug_store_scan_all - read all rows of a table whose keys start with a prefix, page by page
 * @store: table service client
 * @table: table
 * @prefix: prefix
 * @fn: called once with all rows, or with the first failure; its argument @more is FALSE
 * @data: passed to @fn
 *
 * The pages are read one after the other, so the rows are not those of a single moment.
 */
void lug_store_scan_all(struct lug_store *store, const char *table, const char *prefix,
			lug_scan_fn fn, void *data)
{
	struct scan_all *scan = g_new0(struct scan_all, 1);

	scan->store = store;
	scan->table = g_strdup(table);
	scan->prefix = g_strdup(prefix);
	scan->rows = g_array_new(FALSE, FALSE, sizeof(struct lug_row));
	g_array_set_clear_func(scan->rows, clear_row);
	scan->fn = fn;
	scan->data = data;
	lug_store_scan(store, table, prefix, NULL, PAGE_MAX_ROWS, on_page, scan);
}
