#include "store/store.h"

#include <libsoup/soup.h>
#include <string.h>

#include "http/http.h"
#include "store/unreadable.h"

/* Largest burst of calls above the configured rate. */
#define RATE_BURST_CALLS 20

/*
 * Table service client over the platform's HTTP interface: POST /v1/txn and GET /v1/scan.
 * It limits the rate of its calls with a token bucket, and logs when the table service stops and
 * starts to answer with success or a conflict.
 */
struct store_http {
	struct lug_store base;
	struct lug_ctx *ctx;
	struct lug_http *http;
	struct lug_unreadable *unreadable;
	GQueue waiting;
	double tokens;
	gint64 refilled_us;
	guint timer;
	gboolean answering;
	gboolean answering_known;
};

/*
 * A call that waits in store->waiting or is in flight. Either txn_fn or scan_fn is set, by the kind
 * of the call.
 */
struct call {
	struct store_http *store;
	char *method;
	char *path;
	char *body;
	const char *table; /* of a scan, interned */
	gint64 sent_us;
	lug_txn_fn txn_fn;
	lug_scan_fn scan_fn;
	void *data;
};

static void call_free(struct call *call)
{
	g_free(call->method);
	g_free(call->path);
	g_free(call->body);
	g_free(call);
}

/*
 * @answering: whether the last call was answered with success or a conflict. A change is logged,
 * and so is a first call that was not answered.
 */
static void set_answering(struct store_http *store, gboolean answering)
{
	if (store->answering_known && store->answering == answering)
		return;
	if (store->answering_known || !answering) {
		lug_timeline_add(store->ctx->timeline,
				 answering ? LUG_EV_STORE_BACK : LUG_EV_STORE_DOWN, "table service",
				 "%s", store->ctx->settings->platform);
		lug_warn(store->ctx, answering ? "store_back" : "store_down", "url",
			 store->ctx->settings->platform);
	}
	store->answering_known = TRUE;
	store->answering = answering;
	lug_gauge(store->ctx, STORE_UP, answering);
}

/*
 * Reads the indices of failed checks. Returns their number, 0 if one can't be read: any check may
 * have failed then.
 */
static guint decode_failed(JsonArray *failed, guint *indices)
{
	guint n = json_array_get_length(failed);

	for (guint i = 0; i < n; i++) {
		gint64 index = lug_json_item_int(failed, i, -1);

		if (index < 0 || index > G_MAXINT)
			return 0;
		indices[i] = (guint)index;
	}
	return n;
}

/* An answer without a complete success or conflict, or none, leaves the outcome unknown. */
static void answer_txn(struct call *call, guint http_status, JsonObject *body)
{
	struct lug_txn_result result = {.status = LUG_UNKNOWN};
	JsonArray *failed = lug_json_arr(body, "failed");
	guint *indices = NULL;

	if (http_status == 200 && lug_json_int(body, "version", 0) > 0) {
		result.status = LUG_OK;
		result.version = lug_json_int(body, "version", 0);
	} else if (http_status == 409 && failed) {
		result.status = LUG_CONFLICT;
		indices = g_new0(guint, json_array_get_length(failed) + 1);
		result.n_failed = decode_failed(failed, indices);
		result.failed = indices;
		lug_count(call->store->ctx, STORE_CONFLICTS, 1);
	} else if (http_status == 400 || http_status == 413) {
		result.status = LUG_BAD_INPUT;
	}
	lug_observe(call->store->ctx, TXN_US, lug_now_us() - call->sent_us);
	call->txn_fn(call->data, &result);
	g_free(indices);
}

/*
 * Decodes one row. Data that can't be decoded is NULL, so that the row keeps its version for those
 * who replace it. Returns FALSE for an item that is no row.
 */
static gboolean decode_row(struct call *call, JsonObject *item, struct lug_row *row)
{
	const char *key = lug_json_str(item, "k", "");
	gint64 version = lug_json_int(item, "v", 0);
	struct lug_error err = {0};

	if (!*key || version <= 0) {
		lug_unreadable_report(call->store->unreadable, call->table, key, version,
				      "a row without its key or version");
		return FALSE;
	}
	row->key = g_strdup(key);
	row->version = version;
	row->data = lug_json_parse(lug_json_str(item, "d", ""), -1, &err);
	if (!row->data)
		lug_unreadable_report(call->store->unreadable, call->table, key, version, err.msg);
	return TRUE;
}

static void answer_scan(struct call *call, guint http_status, JsonObject *body)
{
	JsonArray *list = lug_json_arr(body, "rows");
	guint n = list ? json_array_get_length(list) : 0;
	struct lug_row *rows;
	guint n_rows = 0;

	if (http_status != 200 || !list) {
		call->scan_fn(call->data, LUG_UNAVAILABLE, NULL, 0, FALSE);
		return;
	}
	rows = g_new0(struct lug_row, n + 1);
	for (guint i = 0; i < n; i++)
		if (decode_row(call, lug_json_item_obj(list, i), &rows[n_rows]))
			n_rows++;
	call->scan_fn(call->data, LUG_OK, rows, n_rows, lug_json_bool(body, "more", FALSE));
	for (guint i = 0; i < n_rows; i++) {
		g_free(rows[i].key);
		g_clear_pointer(&rows[i].data, json_object_unref);
	}
	g_free(rows);
}

static void on_answer(void *data, const struct lug_http_answer *answer)
{
	struct call *call = data;
	struct store_http *store = call->store;
	gboolean answered = answer->http_status == 200 || answer->http_status == 409;
	JsonObject *body =
		answered ? lug_json_parse_list(answer->body, answer->len, NULL, NULL) : NULL;

	lug_count(store->ctx, STORE_BYTES, answer->len);
	if (!answered)
		lug_count(store->ctx, STORE_ERRORS, 1);
	set_answering(store, answered);
	if (call->txn_fn)
		answer_txn(call, answer->http_status, body);
	else
		answer_scan(call, answer->http_status, body);
	if (body)
		json_object_unref(body);
	call_free(call);
}

static void send_call(struct call *call)
{
	struct store_http *store = call->store;
	gsize len = call->body ? strlen(call->body) : 0;
	struct lug_http_request http = {
		.method = call->method,
		.path = call->path,
		.content_type = "application/json",
		.body = call->body,
		.len = len,
		.timeout_ms = store->ctx->settings->platform_timeout_ms,
	};

	if (call->txn_fn)
		lug_count(store->ctx, STORE_WRITES, 1);
	else
		lug_count(store->ctx, STORE_READS, 1);
	lug_count(store->ctx, STORE_BYTES, len);
	call->sent_us = lug_now_us();
	lug_http_send(store->http, &http, on_answer, call);
}

static void refill_tokens(struct store_http *store, gint64 now_us)
{
	double rate = (double)store->ctx->settings->platform_rate;

	store->tokens += (double)(now_us - store->refilled_us) * rate / G_USEC_PER_SEC;
	store->tokens = MIN(store->tokens, (double)RATE_BURST_CALLS);
	store->refilled_us = now_us;
}

static gboolean send_waiting(gpointer data)
{
	struct store_http *store = data;

	refill_tokens(store, lug_now_us());
	while (store->tokens >= 1 && !g_queue_is_empty(&store->waiting)) {
		store->tokens -= 1;
		send_call(g_queue_pop_head(&store->waiting));
	}
	if (!g_queue_is_empty(&store->waiting))
		return G_SOURCE_CONTINUE;
	store->timer = 0;
	return G_SOURCE_REMOVE;
}

/*
 * Sends a call at once if the rate allows it. Otherwise the call waits for a timer that runs every
 * 10 ms.
 */
static void enqueue_call(struct store_http *store, struct call *call)
{
	g_queue_push_tail(&store->waiting, call);
	if (store->timer)
		return;
	if (send_waiting(store) == G_SOURCE_CONTINUE)
		store->timer = g_timeout_add(10, send_waiting, store);
}

static char *encode_txn(const struct lug_txn *txn)
{
	JsonObject *obj = json_object_new();
	JsonArray *checks = json_array_new();
	JsonArray *puts = json_array_new();
	char *text;

	for (guint i = 0; i < txn->checks->len; i++) {
		const struct lug_check *check = &g_array_index(txn->checks, struct lug_check, i);
		JsonObject *item = json_object_new();

		json_object_set_string_member(item, "t", check->table);
		json_object_set_string_member(item, "k", check->key);
		json_object_set_int_member(item, "v", check->version);
		json_array_add_object_element(checks, item);
	}
	for (guint i = 0; i < txn->puts->len; i++) {
		const struct lug_put *put = &g_array_index(txn->puts, struct lug_put, i);
		JsonObject *item = json_object_new();

		json_object_set_string_member(item, "t", put->table);
		json_object_set_string_member(item, "k", put->key);
		if (put->data)
			json_object_set_string_member(item, "d", put->data);
		json_array_add_object_element(puts, item);
	}
	json_object_set_array_member(obj, "checks", checks);
	json_object_set_array_member(obj, "puts", puts);
	text = lug_json_text(obj);
	json_object_unref(obj);
	return text;
}

static void http_txn(struct lug_store *base, const struct lug_txn *txn, lug_txn_fn fn, void *data)
{
	struct store_http *store = (struct store_http *)base;
	struct call *call = g_new0(struct call, 1);

	call->store = store;
	call->method = g_strdup("POST");
	call->path = g_strdup("/v1/txn");
	call->body = encode_txn(txn);
	call->txn_fn = fn;
	call->data = data;
	enqueue_call(store, call);
}

static void http_scan(struct lug_store *base, const char *table, const char *prefix,
		      const char *after, guint limit, lug_scan_fn fn, void *data)
{
	struct store_http *store = (struct store_http *)base;
	struct call *call = g_new0(struct call, 1);
	char *prefix_text = g_uri_escape_string(prefix, NULL, FALSE);
	char *after_text = g_uri_escape_string(after ? after : "", NULL, FALSE);

	call->store = store;
	call->method = g_strdup("GET");
	call->path = g_strdup_printf("/v1/scan?t=%s&prefix=%s&after=%s&limit=%u", table,
				     prefix_text, after_text, limit);
	call->table = g_intern_string(table);
	call->scan_fn = fn;
	call->data = data;
	g_free(prefix_text);
	g_free(after_text);
	enqueue_call(store, call);
}

static void http_free(struct lug_store *base)
{
	struct store_http *store = (struct store_http *)base;
	struct call *call;

	if (store->timer)
		g_source_remove(store->timer);
	while ((call = g_queue_pop_head(&store->waiting)))
		call_free(call);
	lug_http_free(store->http);
	lug_unreadable_free(store->unreadable);
	g_free(store);
}

static const struct lug_store_ops http_ops = {
	.txn = http_txn,
	.scan = http_scan,
	.free = http_free,
};

static void free_dropped_call(void *data)
{
	call_free(data);
}

/**
 * lug_store_http_new - create a client of the platform's table service
 * @ctx: context; its settings give the address, timeout and rate
 *
 * Return: client without partitions and without watch, freed with lug_store_free().
 */
struct lug_store *lug_store_http_new(struct lug_ctx *ctx)
{
	struct store_http *store = g_new0(struct store_http, 1);

	store->base.ops = &http_ops;
	store->ctx = ctx;
	store->unreadable = lug_unreadable_new(ctx);
	store->http =
		lug_http_new(ctx->settings->platform, ctx->settings->source, free_dropped_call);
	store->tokens = RATE_BURST_CALLS;
	store->refilled_us = lug_now_us();
	g_queue_init(&store->waiting);
	return &store->base;
}
