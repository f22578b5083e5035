#include "daemon/entry_priv.h"

#include <string.h>

#include "core/units.h"

#define KEY_HEADER "Idempotency-Key"
#define KEY_MAX_BYTES 128
#define KEY_READ_RETRY_MS 100
#define TIMEOUT_HEADER "X-Timeout-Ms"
#define TIMEOUT_MAX_MS (10 * 60 * 1000)
/* Larger answers are not stored, so a resend with the same key gets a conflict. */
#define STORED_BODY_MAX_BYTES (16 * 1024)

/*
 * A request to a service. With an Idempotency-Key, the key's row is created in the table
 * service before the request is routed, so that a resend through any entry can't run it again.
 */
struct service_call {
	struct lug_api_call *api_call;
	struct lug_entry *entry;
	char *row_key;	    /* key of the row, NULL without an Idempotency-Key */
	gboolean answered;  /* the caller has been answered */
	guint timer;	    /* time-out for claiming the key */
	gint64 key_version; /* version of the key's row */
	gint64 deadline_us;
	char *service;
	char *method;
	char *path;
	char *team;
	char *content_type;
	GBytes *body;
};

static void service_call_free(struct service_call *call)
{
	if (call->timer)
		g_source_remove(call->timer);
	g_free(call->row_key);
	g_free(call->service);
	g_free(call->method);
	g_free(call->path);
	g_free(call->team);
	g_free(call->content_type);
	g_clear_pointer(&call->body, g_bytes_unref);
	g_free(call);
}

static gboolean is_idempotent_method(const char *method)
{
	static const char *const idempotent_methods[] = {"GET", "HEAD",	  "OPTIONS",
							 "PUT", "DELETE", NULL};

	return g_strv_contains(idempotent_methods, method);
}

static void set_answer(SoupServerMessage *msg, guint http_status, const char *type,
		       const void *body, gsize len)
{
	soup_server_message_set_status(msg, http_status, NULL);
	soup_server_message_set_response(msg, type && *type ? type : "application/octet-stream",
					 SOUP_MEMORY_COPY, body, len);
}

static void set_request_id_headers(SoupServerMessage *msg, guint64 id, guint attempts)
{
	SoupMessageHeaders *headers = soup_server_message_get_response_headers(msg);
	char text[32];

	g_snprintf(text, sizeof(text), "%" G_GINT64_MODIFIER "x", id);
	soup_message_headers_replace(headers, "X-Request-Id", text);
	g_snprintf(text, sizeof(text), "%u", attempts);
	soup_message_headers_replace(headers, "X-Attempts", text);
}

static void answer_result(struct service_call *call, const struct lug_request_result *result)
{
	struct lug_api_call *api_call = call->api_call;

	call->answered = TRUE;
	set_request_id_headers(api_call->msg, result->id, result->attempts);
	if (result->status == LUG_OK) {
		set_answer(api_call->msg, result->http, result->content_type, result->body,
			   result->len);
		lug_api_end(api_call);
	} else if (result->status == LUG_NOT_RUN) {
		lug_api_fail(api_call, LUG_NOT_RUN, "send it again after a second",
			     "the request was not run: %s", result->detail ? result->detail : "");
	} else {
		lug_api_fail(api_call, LUG_UNKNOWN,
			     "ask the service whether it took effect, or use an Idempotency-Key",
			     "the request may have run: %s", result->detail ? result->detail : "");
	}
	call->api_call = NULL;
}

static void store_outcome(struct service_call *call, const struct lug_request_result *result)
{
	struct lug_writer_op *op = lug_writer_op_new(NULL, NULL);
	JsonObject *row;

	lug_txn_check(&op->txn, "key", call->row_key, call->key_version);
	/* The request did not run: releases the key, so that a resend with it can run. */
	if (result->status == LUG_NOT_RUN) {
		lug_txn_delete(&op->txn, "key", call->row_key);
		lug_writer_submit(call->entry->writer, op, lug_now_us());
		return;
	}
	row = json_object_new();
	json_object_set_string_member(row, "state", lug_status_name(result->status));
	json_object_set_int_member(row, "http", result->http);
	json_object_set_string_member(row, "type",
				      result->content_type ? result->content_type : "");
	if (result->status == LUG_OK && result->len <= STORED_BODY_MAX_BYTES) {
		char *body = g_base64_encode(result->body, result->len);

		json_object_set_string_member(row, "body", body);
		g_free(body);
	}
	json_object_set_int_member(row, "at_ms", g_get_real_time() / 1000);
	lug_txn_put(&op->txn, "key", call->row_key, row);
	json_object_unref(row);
	lug_writer_submit(call->entry->writer, op, lug_now_us());
}

static void on_result(void *data, const struct lug_request_result *result)
{
	struct service_call *call = data;

	if (call->row_key)
		store_outcome(call, result);
	answer_result(call, result);
	service_call_free(call);
}

static void route_request(struct service_call *call, gint64 now_us)
{
	const char *idempotent = lug_api_header(call->api_call, "Idempotent");
	/* A keyed request runs at most once, so the router must not resend it. */
	struct lug_request_spec spec = {
		.service = call->service,
		.team = call->team,
		.method = call->method,
		.path = call->path,
		.content_type = call->content_type,
		.timeout_ms = MAX((call->deadline_us - now_us) / 1000, 1),
		.idempotent = !call->row_key && (is_idempotent_method(call->method) ||
						 (idempotent && !strcmp(idempotent, "true"))),
	};

	spec.body = g_bytes_get_data(call->body, &spec.len);
	lug_router_submit(call->entry->router, &spec, on_result, call, now_us);
}

static void replay_answer(struct service_call *call, JsonObject *row)
{
	struct lug_api_call *api_call = call->api_call;
	const char *body = lug_json_str(row, "body", NULL);
	guchar *bytes;
	gsize len = 0;

	/* The request still runs, its outcome is unknown, or its answer was too large to store. */
	if (strcmp(lug_json_str(row, "state", ""), "ok") != 0 || !body) {
		lug_api_fail(api_call, LUG_CONFLICT, "use a new key for a new request",
			     "the key's request has been taken already: %s",
			     lug_json_str(row, "state", ""));
		return;
	}
	bytes = g_base64_decode(body, &len);
	soup_message_headers_replace(soup_server_message_get_response_headers(api_call->msg),
				     "Idempotent-Replay", "true");
	set_answer(api_call->msg, (guint)lug_json_int(row, "http", 200),
		   lug_json_str(row, "type", ""), bytes, len);
	g_free(bytes);
	lug_api_end(api_call);
}

static void on_key_row(void *data, enum lug_status status, const struct lug_row *rows, guint n_rows,
		       gboolean more);

static gboolean read_key_row(gpointer data)
{
	struct service_call *call = data;

	call->timer = 0;
	lug_store_scan(call->entry->store, "key", call->row_key, NULL, 1, on_key_row, call);
	return G_SOURCE_REMOVE;
}

/*
 * The key is taken, so its request may have run: without the row the caller can't be told that it
 * was not. The read is repeated until the caller's deadline.
 */
static void on_key_row(void *data, enum lug_status status, const struct lug_row *rows, guint n_rows,
		       gboolean more)
{
	struct service_call *call = data;

	(void)more;
	if (status != LUG_OK && lug_now_us() < call->deadline_us) {
		call->timer = g_timeout_add(KEY_READ_RETRY_MS, read_key_row, call);
		return;
	}
	if (status != LUG_OK)
		lug_api_fail(call->api_call, LUG_UNKNOWN, "send it again with the same key",
			     "the key's request may have run: its row can't be read now");
	else if (n_rows && !strcmp(rows[0].key, call->row_key))
		replay_answer(call, rows[0].data);
	else /* The key was released, as its request was not run. */
		lug_api_fail(call->api_call, LUG_NOT_RUN, "send it again with the same key",
			     "the request was not run: its key was free again");
	service_call_free(call);
}

static void release_key(struct service_call *call)
{
	struct lug_writer_op *op = lug_writer_op_new(NULL, NULL);

	lug_txn_check(&op->txn, "key", call->row_key, call->key_version);
	lug_txn_delete(&op->txn, "key", call->row_key);
	lug_writer_submit(call->entry->writer, op, lug_now_us());
}

static void on_claim_result(void *data, enum lug_status status, gint64 version)
{
	struct service_call *call = data;

	call->key_version = version;
	if (call->answered) {
		/* The caller already got "not run", so a retry with the key must be possible. */
		if (status == LUG_OK && version)
			release_key(call);
		service_call_free(call);
		return;
	}
	if (call->timer) {
		g_source_remove(call->timer);
		call->timer = 0;
	}
	if (status == LUG_OK && version) {
		route_request(call, lug_now_us());
	} else if (status == LUG_CONFLICT) {
		read_key_row(call);
	} else {
		lug_api_fail(call->api_call, LUG_NOT_RUN, "send it again with the same key",
			     "the request was not run: its key can't be claimed now");
		service_call_free(call);
	}
}

static gboolean on_claim_timeout(gpointer data)
{
	struct service_call *call = data;

	call->timer = 0;
	call->answered = TRUE;
	lug_api_fail(call->api_call, LUG_NOT_RUN, "send it again with the same key",
		     "the request was not run: the table service does not answer");
	call->api_call = NULL;
	return G_SOURCE_REMOVE;
}

static void claim_key(struct service_call *call, gint64 now_us)
{
	struct lug_writer_op *op = lug_writer_op_new(on_claim_result, call);
	JsonObject *row = json_object_new();

	json_object_set_string_member(row, "state", "claimed");
	json_object_set_string_member(row, "entry", call->entry->ctx->settings->name);
	json_object_set_int_member(row, "at_ms", g_get_real_time() / 1000);
	/* Version 0: the key must be unused. */
	lug_txn_check(&op->txn, "key", call->row_key, 0);
	lug_txn_put(&op->txn, "key", call->row_key, row);
	json_object_unref(row);
	call->timer = g_timeout_add((guint)MAX((call->deadline_us - now_us) / 1000, 1),
				    on_claim_timeout, call);
	lug_writer_submit(call->entry->writer, op, now_us);
}

static gboolean is_known_service(const struct lug_entry *entry, const char *service)
{
	GPtrArray *agents = lug_registry_agents(entry->registry);

	for (guint i = 0; i < agents->len; i++)
		if (!strcmp(((struct lug_agent *)g_ptr_array_index(agents, i))->service, service))
			return TRUE;
	return FALSE;
}

/* Path after the service's name, escaped again, with the query. */
static const char *escaped_path(struct lug_api_call *api_call)
{
	GUri *uri = soup_server_message_get_uri(api_call->msg);
	const char *slash = strchr(api_call->path, '/');
	const char *query = g_uri_get_query(uri);
	char *rest = g_uri_escape_string(slash ? slash : "/", "/", FALSE);
	const char *out = lug_arena_printf(api_call->arena, "%s%s%s", rest, query ? "?" : "",
					   query ? query : "");

	g_free(rest);
	return out;
}

static gboolean read_timeout(struct lug_api_call *api_call, gint64 *out_ms)
{
	const char *text = lug_api_header(api_call, TIMEOUT_HEADER);

	*out_ms = api_call->entry->ctx->settings->request_timeout_ms;
	if (!text)
		return TRUE;
	return lug_int_parse(text, out_ms) && *out_ms >= 1 && *out_ms <= TIMEOUT_MAX_MS;
}

static gboolean check_request(struct lug_api_call *api_call, const char *team, const char *service,
			      const char *key)
{
	if (!team || !lug_limits_find(lug_sync_limits(api_call->entry->sync), team)) {
		lug_api_fail(api_call, LUG_DENIED,
			     "name a team of the table of weights and limits; "
			     "operators send X-Team",
			     "team %.40s is not in the table", team ? team : "(none)");
		return FALSE;
	}
	if (!is_known_service(api_call->entry, service)) {
		lug_api_fail(api_call, LUG_NOT_FOUND, "catkinlug service list shows the services",
			     "no backend server serves %.60s", service);
		return FALSE;
	}
	if (key && (!*key || strlen(key) > KEY_MAX_BYTES)) {
		lug_api_fail(api_call, LUG_BAD_INPUT, "give 1 to 128 bytes",
			     KEY_HEADER ": not accepted");
		return FALSE;
	}
	return TRUE;
}

static struct service_call *service_call_new(struct lug_api_call *api_call, const char *team,
					     const char *service)
{
	struct service_call *call = g_new0(struct service_call, 1);
	SoupMessageBody *body = soup_server_message_get_request_body(api_call->msg);

	call->api_call = api_call;
	call->entry = api_call->entry;
	call->service = g_strdup(service);
	call->team = g_strdup(team);
	call->method = g_strdup(lug_api_method(api_call));
	call->path = g_strdup(escaped_path(api_call));
	call->content_type = g_strdup(lug_api_header(api_call, "Content-Type"));
	call->body = soup_message_body_flatten(body);
	return call;
}

/**
 * lug_api_service - serve /service/NAME/PATH
 * @api_call: call
 */
void lug_api_service(struct lug_api_call *api_call)
{
	const char *slash = strchr(api_call->path, '/');
	gsize len = slash ? (gsize)(slash - api_call->path) : strlen(api_call->path);
	char *service = lug_arena_memdup(api_call->arena, api_call->path, len + 1);
	const char *team =
		api_call->is_operator ? lug_api_header(api_call, "X-Team") : api_call->team;
	const char *key = lug_api_header(api_call, KEY_HEADER);
	gint64 now_us = lug_now_us();
	struct service_call *call;
	gint64 timeout_ms;

	service[len] = '\0';
	if (!read_timeout(api_call, &timeout_ms)) {
		lug_api_fail(api_call, LUG_BAD_INPUT, "give whole milliseconds from 1 to 600000",
			     TIMEOUT_HEADER ": not accepted");
		return;
	}
	if (!check_request(api_call, team, service, key))
		return;
	call = service_call_new(api_call, team, service);
	call->deadline_us = now_us + timeout_ms * 1000;
	if (!key) {
		route_request(call, now_us);
		return;
	}
	call->row_key = g_strdup_printf("%s/%s/%s", service, team, key);
	claim_key(call, now_us);
}
