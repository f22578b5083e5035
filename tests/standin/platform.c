/*
 * Stand-in for the table service and object store that `entry` and `agent` daemons call through
 * store/store_http.c, held in memory. Queue daemons use another platform, see the directory
 * platform/; its stand-in is tests/rig/hub.py. POST /control sets the faults to inject and returns
 * counters.
 */
#include <libsoup/soup.h>
#include <stdlib.h>
#include <string.h>

#include "core/json.h"
#include "http/listen.h"

struct row {
	char *data;
	gint64 version; /* number of the transaction that wrote the row */
};

struct platform {
	GTree *rows;
	GHashTable *objects;
	gint64 version; /* number of the last transaction */
	gint64 delay_ms;
	gint64 is_out;		    /* refuses all calls with status 503 */
	gint64 refuse_key_scans;    /* number of further scans of table "key" that are refused */
	gint64 lose_answer_percent; /* share of calls that take effect without an answer */
	gint64 rate_per_s;	    /* limit of accepted calls; 0: no limit */
	double tokens;
	gint64 refilled_us;
	gint64 reads;
	gint64 writes;
	gint64 peak_calls_per_s;
	gint64 window_start_s; /* second in which the calls of peak_calls_per_s are counted */
	gint64 window_calls;
	GRand *rng;
};

struct delayed_answer {
	SoupServerMessage *msg;
	SoupServer *server;
};

static void row_free(gpointer data)
{
	struct row *row = data;

	g_free(row->data);
	g_free(row);
}

static gint compare_keys(gconstpointer a, gconstpointer b, gpointer data)
{
	(void)data;
	return strcmp(a, b);
}

static char *full_key(const char *table, const char *key)
{
	return g_strconcat(table, "/", key, NULL);
}

static void answer_json(SoupServerMessage *msg, guint http_status, JsonObject *obj)
{
	char *text = lug_json_text(obj);

	soup_server_message_set_status(msg, http_status, NULL);
	soup_server_message_set_response(msg, "application/json", SOUP_MEMORY_TAKE, text,
					 strlen(text));
	json_object_unref(obj);
}

/* Returns the indexes of the checks that fail. A missing row has version 0. */
static JsonArray *failed_checks(struct platform *p, JsonArray *checks)
{
	JsonArray *failed = json_array_new();

	for (guint i = 0; checks && i < json_array_get_length(checks); i++) {
		JsonObject *check = json_array_get_object_element(checks, i);
		char *key = full_key(lug_json_str(check, "t", ""), lug_json_str(check, "k", ""));
		struct row *row = g_tree_lookup(p->rows, key);

		if ((row ? row->version : 0) != lug_json_int(check, "v", 0))
			json_array_add_int_element(failed, i);
		g_free(key);
	}
	return failed;
}

/* A put without data deletes its row. */
static void apply_puts(struct platform *p, JsonArray *puts)
{
	p->version++;
	for (guint i = 0; puts && i < json_array_get_length(puts); i++) {
		JsonObject *put = json_array_get_object_element(puts, i);
		char *key = full_key(lug_json_str(put, "t", ""), lug_json_str(put, "k", ""));
		const char *data = lug_json_str(put, "d", NULL);
		struct row *row;

		if (!data) {
			g_tree_remove(p->rows, key);
			g_free(key);
			continue;
		}
		row = g_new0(struct row, 1);
		row->data = g_strdup(data);
		row->version = p->version;
		g_tree_replace(p->rows, key, row);
	}
}

static void serve_txn(struct platform *p, SoupServerMessage *msg)
{
	SoupMessageBody *request_body = soup_server_message_get_request_body(msg);
	JsonObject *txn = lug_json_parse(request_body->data, (gssize)request_body->length, NULL);
	JsonObject *out = json_object_new();
	JsonArray *failed;

	p->writes++;
	if (!txn) {
		answer_json(msg, 400, out);
		return;
	}
	failed = failed_checks(p, lug_json_arr(txn, "checks"));
	if (json_array_get_length(failed)) {
		json_object_set_array_member(out, "failed", failed);
		answer_json(msg, 409, out);
	} else {
		apply_puts(p, lug_json_arr(txn, "puts"));
		json_object_set_int_member(out, "version", p->version);
		json_array_unref(failed);
		answer_json(msg, 200, out);
	}
	json_object_unref(txn);
}

static const char *query_param(GHashTable *query, const char *name, const char *fallback)
{
	const char *value = query ? g_hash_table_lookup(query, name) : NULL;

	return value ? value : fallback;
}

static void serve_scan(struct platform *p, SoupServerMessage *msg, GHashTable *query)
{
	const char *table = query_param(query, "t", "");
	char *prefix = full_key(table, query_param(query, "prefix", ""));
	char *after = full_key(table, query_param(query, "after", ""));
	glong limit = strtol(query_param(query, "limit", "100"), NULL, 10);
	GTreeNode *node = g_tree_lower_bound(p->rows, prefix);
	JsonObject *out = json_object_new();
	JsonArray *rows = json_array_new();
	gboolean more = FALSE;

	p->reads++;
	for (; node && g_str_has_prefix(g_tree_node_key(node), prefix);
	     node = g_tree_node_next(node)) {
		const char *key = g_tree_node_key(node);
		struct row *row = g_tree_node_value(node);
		JsonObject *item;

		if (strcmp(key, after) <= 0)
			continue;
		if ((glong)json_array_get_length(rows) >= limit) {
			more = TRUE;
			break;
		}
		item = json_object_new();
		json_object_set_string_member(item, "k", key + strlen(table) + 1);
		json_object_set_int_member(item, "v", row->version);
		json_object_set_string_member(item, "d", row->data);
		json_array_add_object_element(rows, item);
	}
	json_object_set_array_member(out, "rows", rows);
	json_object_set_boolean_member(out, "more", more);
	answer_json(msg, 200, out);
	g_free(prefix);
	g_free(after);
}

static void serve_object(struct platform *p, SoupServerMessage *msg, const char *name)
{
	SoupMessageBody *request_body = soup_server_message_get_request_body(msg);
	GBytes *bytes;

	if (!strcmp(soup_server_message_get_method(msg), "PUT")) {
		p->writes++;
		g_hash_table_replace(p->objects, g_strdup(name),
				     g_bytes_new(request_body->data, (gsize)request_body->length));
		answer_json(msg, 200, json_object_new());
		return;
	}
	p->reads++;
	bytes = g_hash_table_lookup(p->objects, name);
	if (!bytes) {
		answer_json(msg, 404, json_object_new());
		return;
	}
	soup_server_message_set_status(msg, 200, NULL);
	soup_server_message_set_response(msg, "application/octet-stream", SOUP_MEMORY_COPY,
					 g_bytes_get_data(bytes, NULL), g_bytes_get_size(bytes));
}

static void serve_control(struct platform *p, SoupServerMessage *msg)
{
	SoupMessageBody *request_body = soup_server_message_get_request_body(msg);
	JsonObject *set = lug_json_parse(request_body->data, (gssize)request_body->length, NULL);
	JsonObject *out = json_object_new();

	if (set) {
		p->delay_ms = lug_json_int(set, "delay_ms", p->delay_ms);
		p->is_out = lug_json_int(set, "outage", p->is_out);
		p->refuse_key_scans = lug_json_int(set, "refuse_key_scans", p->refuse_key_scans);
		p->lose_answer_percent = lug_json_int(set, "lose_percent", p->lose_answer_percent);
		p->rate_per_s = lug_json_int(set, "rate", p->rate_per_s);
		json_object_unref(set);
	}
	json_object_set_int_member(out, "reads", p->reads);
	json_object_set_int_member(out, "writes", p->writes);
	json_object_set_int_member(out, "peak_calls_per_s", p->peak_calls_per_s);
	json_object_set_int_member(out, "revision", p->version);
	json_object_set_int_member(out, "rows", g_tree_nnodes(p->rows));
	answer_json(msg, 200, out);
}

/* Counts a call. Returns TRUE if it exceeds the allowed rate. */
static gboolean count_and_limit_call(struct platform *p)
{
	gint64 now = g_get_monotonic_time();

	if (now / G_USEC_PER_SEC != p->window_start_s) {
		p->window_start_s = now / G_USEC_PER_SEC;
		p->window_calls = 0;
	}
	p->window_calls++;
	p->peak_calls_per_s = MAX(p->peak_calls_per_s, p->window_calls);
	if (!p->rate_per_s)
		return FALSE;
	p->tokens += (double)(now - p->refilled_us) * (double)p->rate_per_s / G_USEC_PER_SEC;
	p->tokens = MIN(p->tokens, (double)p->rate_per_s);
	p->refilled_us = now;
	if (p->tokens < 1)
		return TRUE;
	p->tokens -= 1;
	return FALSE;
}

static gboolean send_delayed_answer(gpointer data)
{
	struct delayed_answer *delayed = data;

	soup_server_message_unpause(delayed->msg);
	g_object_unref(delayed->msg);
	g_free(delayed);
	return G_SOURCE_REMOVE;
}

static void delay_answer(struct platform *p, SoupServerMessage *msg)
{
	struct delayed_answer *delayed = g_new0(struct delayed_answer, 1);

	delayed->msg = g_object_ref(msg);
	soup_server_message_pause(msg);
	g_timeout_add((guint)p->delay_ms, send_delayed_answer, delayed);
}

static void shut_down_connection(SoupServerMessage *msg)
{
	GSocket *socket = soup_server_message_get_socket(msg);

	if (socket)
		g_socket_shutdown(socket, TRUE, TRUE, NULL);
}

static gboolean refuse_key_scan(struct platform *p, const char *path, GHashTable *query)
{
	if (!p->refuse_key_scans || strcmp(path, "/v1/scan") != 0 ||
	    strcmp(query_param(query, "t", ""), "key") != 0)
		return FALSE;
	p->refuse_key_scans--;
	return TRUE;
}

static void on_request(SoupServer *server, SoupServerMessage *msg, const char *path,
		       GHashTable *query, gpointer data)
{
	struct platform *p = data;
	gboolean lose_answer;

	(void)server;
	if (!strcmp(path, "/control")) {
		serve_control(p, msg);
		return;
	}
	if (p->is_out || count_and_limit_call(p) || refuse_key_scan(p, path, query)) {
		soup_server_message_set_status(msg, 503, NULL);
		return;
	}
	lose_answer = g_rand_int_range(p->rng, 0, 100) < p->lose_answer_percent;
	if (!strcmp(path, "/v1/txn"))
		serve_txn(p, msg);
	else if (!strcmp(path, "/v1/scan"))
		serve_scan(p, msg, query);
	else if (g_str_has_prefix(path, "/v1/object/"))
		serve_object(p, msg, path + strlen("/v1/object/"));
	else
		soup_server_message_set_status(msg, 404, NULL);
	if (lose_answer)
		shut_down_connection(msg);
	else if (p->delay_ms)
		delay_answer(p, msg);
}

int main(int argc, char **argv)
{
	struct platform p = {.rng = g_rand_new_with_seed(1)};
	SoupServer *server = soup_server_new(NULL, NULL);
	GError *bind_error = NULL;
	char *address;

	if (argc < 3) {
		g_printerr("usage: standin-platform IP PORT [RATE_PER_S]\n");
		return 2;
	}
	p.rows = g_tree_new_full(compare_keys, NULL, g_free, row_free);
	p.objects = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					  (GDestroyNotify)g_bytes_unref);
	p.rate_per_s = argc > 3 ? strtol(argv[3], NULL, 10) : 0;
	address = g_strconcat(argv[1], ":", argv[2], NULL);
	soup_server_add_handler(server, NULL, on_request, &p, NULL);
	if (!lug_listen(server, address, &bind_error)) {
		g_printerr("standin-platform: %s\n", bind_error->message);
		return 1;
	}
	g_main_loop_run(g_main_loop_new(NULL, FALSE));
	return 0;
}
