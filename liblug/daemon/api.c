#include "daemon/entry_priv.h"

#include <stdarg.h>
#include <string.h>

#define BEARER "Bearer "

static const struct {
	const char *path;
	lug_api_fn fn;
} handlers[] = {
	{"/service", lug_api_service},	 {"/jobs", lug_api_jobs},
	{"/table", lug_api_table},	 {"/workers", lug_api_workers},
	{"/services", lug_api_services}, {"/charges", lug_api_charges},
	{"/status", lug_api_status},	 {"/timeline", lug_api_timeline},
};

/**
 * lug_api_header - get a request header
 * @api_call: call
 * @name: header
 *
 * Return: value, borrowed, valid until lug_api_end(); NULL when missing.
 */
const char *lug_api_header(const struct lug_api_call *api_call, const char *name)
{
	return soup_message_headers_get_one(soup_server_message_get_request_headers(api_call->msg),
					    name);
}

/**
 * lug_api_param - get a query parameter
 * @api_call: call
 * @name: parameter
 *
 * Return: decoded value, borrowed, valid until lug_api_end(); NULL when missing.
 */
const char *lug_api_param(const struct lug_api_call *api_call, const char *name)
{
	return api_call->query ? g_hash_table_lookup(api_call->query, name) : NULL;
}

/**
 * lug_api_method - get the HTTP method
 * @api_call: call
 */
const char *lug_api_method(const struct lug_api_call *api_call)
{
	return soup_server_message_get_method(api_call->msg);
}

/**
 * lug_api_end - send the answer that was set
 * @api_call: call; released by this function
 */
void lug_api_end(struct lug_api_call *api_call)
{
	soup_server_message_unpause(api_call->msg);
	g_object_unref(api_call->msg);
	if (api_call->query)
		g_hash_table_unref(api_call->query);
	lug_arena_free(api_call->arena);
}

/**
 * lug_api_fail - answer with an error
 * @api_call: call; released by this function
 * @kind: kind of failure
 * @remedy: what the caller can do, may be NULL
 * @fmt: message
 */
void lug_api_fail(struct lug_api_call *api_call, enum lug_status kind, const char *remedy,
		  const char *fmt, ...)
{
	struct lug_error err = {.kind = kind};
	va_list ap;

	va_start(ap, fmt);
	g_vsnprintf(err.msg, sizeof(err.msg), fmt, ap);
	va_end(ap);
	g_strlcpy(err.remedy, remedy ? remedy : "", sizeof(err.remedy));
	lug_answer_error(api_call->msg, &err);
	lug_api_end(api_call);
}

/**
 * lug_api_is_authorized - check whether the caller may act for a team
 * @api_call: call
 * @team: team
 */
gboolean lug_api_is_authorized(struct lug_api_call *api_call, const char *team)
{
	return api_call->is_operator || !g_strcmp0(api_call->team, team);
}

static gboolean secrets_equal(const char *a, const char *b)
{
	gsize len = strlen(a);
	guint diff = len != strlen(b);

	/* The time taken does not depend on where the two differ. */
	for (gsize i = 0; i < len && b[i]; i++)
		diff |= (guint)(a[i] ^ b[i]);
	return !diff;
}

static const struct lug_token *find_token(const struct lug_entry *entry, const char *header)
{
	GArray *tokens = entry->ctx->settings->tokens;

	if (!header || !g_str_has_prefix(header, BEARER))
		return NULL;
	for (guint i = 0; i < tokens->len; i++) {
		const struct lug_token *token = &g_array_index(tokens, struct lug_token, i);

		if (secrets_equal(header + strlen(BEARER), token->secret))
			return token;
	}
	return NULL;
}

static gboolean authenticate(struct lug_api_call *api_call)
{
	const struct lug_token *token =
		find_token(api_call->entry, lug_api_header(api_call, "Authorization"));

	if (!token) {
		lug_count(api_call->entry->ctx, CALLERS_UNAUTHENTICATED, 1);
		soup_message_headers_replace(
			soup_server_message_get_response_headers(api_call->msg), "WWW-Authenticate",
			"Bearer");
		lug_api_fail(api_call, LUG_DENIED,
			     "send \"Authorization: Bearer TOKEN\" with a token of "
			     "this deployment",
			     "no valid token");
		return FALSE;
	}
	api_call->is_operator = token->role == LUG_ROLE_OPERATOR;
	api_call->team =
		api_call->is_operator ? NULL : lug_arena_strdup(api_call->arena, token->team);
	api_call->caller =
		token->team ? lug_arena_strdup(api_call->arena, token->team) : "operator";
	return TRUE;
}

static const char *path_after(const char *path, const char *prefix)
{
	const char *rest = path + strlen(prefix);

	return *rest == '/' ? rest + 1 : rest;
}

/* A call counts as open until its answer is fully written or its caller disconnects. */
static void on_finished(SoupServerMessage *msg, gpointer data)
{
	struct lug_entry *entry = data;

	g_signal_handlers_disconnect_by_func(msg, on_finished, entry);
	entry->calls--;
}

static void refuse_while_stopping(SoupServerMessage *msg)
{
	struct lug_error err;

	lug_fail(&err, LUG_NOT_RUN, "send it to another entry", "not run: this entry is leaving");
	lug_answer_error(msg, &err);
	soup_message_headers_replace(soup_server_message_get_response_headers(msg), "Connection",
				     "close");
}

static void on_call(SoupServer *soup, SoupServerMessage *msg, const char *path, GHashTable *query,
		    gpointer data)
{
	struct lug_entry *entry = data;
	struct lug_arena *arena;
	struct lug_api_call *api_call;

	(void)soup;
	/* A status is set only if on_headers() refused the call. */
	if (soup_server_message_get_status(msg))
		return;
	if (entry->stopping && lug_now_us() >= entry->refuse_calls_from_us) {
		refuse_while_stopping(msg);
		return;
	}
	arena = lug_arena_new();
	api_call = lug_arena_alloc(arena, sizeof(*api_call));
	api_call->arena = arena;
	api_call->entry = entry;
	api_call->msg = g_object_ref(msg);
	api_call->query = query ? g_hash_table_ref(query) : NULL;
	entry->calls++;
	g_signal_connect(msg, "finished", G_CALLBACK(on_finished), entry);
	soup_server_message_pause(msg);
	if (!authenticate(api_call))
		return;
	for (gsize i = 0; i < G_N_ELEMENTS(handlers); i++) {
		gsize len = strlen(handlers[i].path);

		if (strncmp(path, handlers[i].path, len) || (path[len] && path[len] != '/'))
			continue;
		api_call->path = lug_arena_strdup(arena, path_after(path, handlers[i].path));
		handlers[i].fn(api_call);
		return;
	}
	lug_api_fail(api_call, LUG_NOT_FOUND, "catkinlug-entryd(8) lists the paths",
		     "no such path");
}

static void refuse_headers(SoupServerMessage *msg, enum lug_status kind, guint http_status,
			   const char *remedy, const char *text)
{
	struct lug_error err;

	lug_fail(&err, kind, remedy, "%s", text);
	lug_answer_error(msg, &err);
	soup_server_message_set_status(msg, http_status, NULL);
	soup_message_headers_replace(soup_server_message_get_response_headers(msg), "Connection",
				     "close");
}

/* Runs before the body is read, so that the entry never buffers an oversized body. */
static void on_headers(SoupServer *soup, SoupServerMessage *msg, const char *path,
		       GHashTable *query, gpointer data)
{
	struct lug_entry *entry = data;
	SoupMessageHeaders *headers = soup_server_message_get_request_headers(msg);
	SoupEncoding encoding = soup_message_headers_get_encoding(headers);

	(void)soup;
	(void)path;
	(void)query;
	if (encoding == SOUP_ENCODING_CHUNKED) {
		refuse_headers(msg, LUG_BAD_INPUT, 411, "send a Content-Length",
			       "a body without a length is not accepted");
		return;
	}
	if (soup_message_headers_get_content_length(headers) > entry->ctx->settings->body_bytes)
		refuse_headers(msg, LUG_TOO_LARGE, 413,
			       "send a smaller body, or raise request.body",
			       "the body is larger than request.body");
}

/**
 * lug_api_add_handlers - register the HTTP handlers of the API
 * @entry: entry with its HTTP server
 */
void lug_api_add_handlers(struct lug_entry *entry)
{
	soup_server_add_early_handler(entry->http_server->soup, NULL, on_headers, entry, NULL);
	soup_server_add_handler(entry->http_server->soup, NULL, on_call, entry, NULL);
}
