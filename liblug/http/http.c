#include "http/http.h"

#include <libsoup/soup.h>

#include "core/list.h"

#define DEFAULT_CONNECTIONS 8

/*
 * The library ends a call that waits for a connection only when one becomes free, whatever its
 * time-out, so that calls wait here instead.
 */
struct lug_http {
	SoupSession *session;
	guint session_number; /* from 1 */
	guint sent;	      /* calls in flight by the present session */
	char *source;	      /* local IP of outgoing connections, may be NULL */
	guint connections;
	char *base_url;
	void (*free_data)(void *data);
	struct lug_list calls;	 /* in flight */
	struct lug_list waiting; /* for a connection, first come, first served */
};

/* A request in flight, or waiting for a connection. */
struct http_call {
	struct lug_list node;
	struct lug_http *http;
	SoupMessage *msg;
	GCancellable *cancel;
	guint timer;
	guint session_number;	  /* session that sends it, 0 while it waits */
	gboolean headers_written; /* the server may have received the request */
	gboolean misdirected;	  /* the server has answered 421 */
	lug_http_fn fn;
	void *data;
};

static void call_free(struct http_call *call)
{
	lug_list_remove(&call->node);
	if (call->timer)
		g_source_remove(call->timer);
	g_object_unref(call->cancel);
	g_clear_object(&call->msg);
	g_free(call);
}

static SoupSession *session_new(const char *source, guint connections)
{
	GInetSocketAddress *local = NULL;
	SoupSession *session;

	if (source)
		local = G_INET_SOCKET_ADDRESS(g_inet_socket_address_new_from_string(source, 0));
	/* Idle connections close after 30 s. Each call has its own time-out. */
	session = soup_session_new_with_options("max-conns", (int)connections, "max-conns-per-host",
						(int)connections, "timeout", 0, "idle-timeout", 30,
						"local-address", local, NULL);
	soup_session_remove_feature_by_type(session, SOUP_TYPE_CONTENT_DECODER);
	soup_session_set_proxy_resolver(session, NULL);
	if (local)
		g_object_unref(local);
	return session;
}

/* Later calls open new connections. Calls in flight keep the old session until they end. */
static void replace_session(struct lug_http *http)
{
	g_object_unref(http->session);
	http->session = session_new(http->source, http->connections);
	http->session_number++;
	http->sent = 0;
}

/**
 * lug_http_new - create a client of one server
 * @base_url: http://IP:PORT
 * @source: local IP for outgoing connections, may be NULL
 * @free_data: frees the data of each call that lug_http_free() cancels, may be NULL
 *
 * Return: client, freed with lug_http_free().
 */
struct lug_http *lug_http_new(const char *base_url, const char *source,
			      void (*free_data)(void *data))
{
	struct lug_http *http = g_new0(struct lug_http, 1);

	http->source = g_strdup(source);
	http->connections = DEFAULT_CONNECTIONS;
	http->session = session_new(source, DEFAULT_CONNECTIONS);
	http->session_number = 1;
	http->base_url = g_strdup(base_url);
	http->free_data = free_data;
	lug_list_init(&http->calls);
	lug_list_init(&http->waiting);
	return http;
}

/**
 * lug_http_set_connections - limit the open connections
 * @http: client without calls in flight
 * @connections: maximum number of connections
 */
void lug_http_set_connections(struct lug_http *http, guint connections)
{
	http->connections = connections;
	replace_session(http);
}

/**
 * lug_http_free - free a client; calls in flight are cancelled without their callback
 * @http: client, may be NULL
 */
void lug_http_free(struct lug_http *http)
{
	if (!http)
		return;
	LUG_LIST_FOREACH_SAFE (&http->waiting, pos, tmp) {
		struct http_call *call = LUG_CONTAINER_OF(pos, struct http_call, node);

		if (http->free_data)
			http->free_data(call->data);
		call_free(call);
	}
	LUG_LIST_FOREACH_SAFE (&http->calls, pos, tmp) {
		struct http_call *call = LUG_CONTAINER_OF(pos, struct http_call, node);

		if (http->free_data)
			http->free_data(call->data);
		call->fn = NULL;
		call->http = NULL;
		lug_list_remove(&call->node);
		g_cancellable_cancel(call->cancel);
	}
	soup_session_abort(http->session);
	/* Cancelled calls complete through the main loop, which frees them. */
	while (g_main_context_iteration(NULL, FALSE))
		;
	g_object_unref(http->session);
	g_free(http->source);
	g_free(http->base_url);
	g_free(http);
}

static void on_wrote_headers(SoupMessage *msg, gpointer data)
{
	(void)msg;
	((struct http_call *)data)->headers_written = TRUE;
}

/*
 * libsoup sends a request again that was misdirected, and a POST without its body. Such a call ends
 * with the headers of its first answer.
 */
static void on_got_headers(SoupMessage *msg, gpointer data)
{
	struct http_call *call = data;

	if (soup_message_get_status(msg) != SOUP_STATUS_MISDIRECTED_REQUEST)
		return;
	call->misdirected = TRUE;
	g_cancellable_cancel(call->cancel);
}

static gboolean is_body_complete(SoupMessage *msg, gsize len)
{
	SoupMessageHeaders *headers = soup_message_get_response_headers(msg);

	if (soup_message_headers_get_encoding(headers) != SOUP_ENCODING_CONTENT_LENGTH)
		return TRUE;
	return soup_message_headers_get_content_length(headers) == (goffset)len;
}

static void send_waiting(struct lug_http *http);

static void on_done(GObject *session, GAsyncResult *result, gpointer data)
{
	struct http_call *call = data;
	struct lug_http_answer answer = {
		.maybe_received = call->headers_written, .body = "", .content_type = ""};
	GBytes *bytes = soup_session_send_and_read_finish(SOUP_SESSION(session), result, NULL);
	struct lug_http *http = call->http;
	const char *type;

	if (http && call->session_number == http->session_number)
		http->sent--;
	if (call->misdirected) {
		answer.http_status = SOUP_STATUS_MISDIRECTED_REQUEST;
	} else if (bytes && is_body_complete(call->msg, g_bytes_get_size(bytes))) {
		answer.http_status = soup_message_get_status(call->msg);
		answer.body = g_bytes_get_data(bytes, &answer.len);
		type = soup_message_headers_get_one(soup_message_get_response_headers(call->msg),
						    "Content-Type");
		answer.content_type = type ? type : "";
	}
	if (call->fn)
		call->fn(call->data, &answer);
	if (bytes)
		g_bytes_unref(bytes);
	/* The callback may have freed the client. */
	http = call->http;
	call_free(call);
	if (http)
		send_waiting(http);
}

static void send_call(struct http_call *call)
{
	struct lug_http *http = call->http;

	call->session_number = http->session_number;
	http->sent++;
	lug_list_append(&http->calls, &call->node);
	soup_session_send_and_read_async(http->session, call->msg, G_PRIORITY_DEFAULT, call->cancel,
					 on_done, call);
}

static void send_waiting(struct lug_http *http)
{
	while (!lug_list_empty(&http->waiting) && http->sent < http->connections) {
		struct http_call *call =
			LUG_CONTAINER_OF(http->waiting.next, struct http_call, node);

		lug_list_remove(&call->node);
		send_call(call);
	}
}

/* Ends a call that was not sent. */
static void fail_unsent(struct http_call *call)
{
	struct lug_http_answer answer = {.body = "", .content_type = ""};

	lug_list_remove(&call->node);
	call->fn(call->data, &answer);
	call_free(call);
}

static gboolean on_timeout(gpointer data)
{
	struct http_call *call = data;
	struct lug_http *http = call->http;

	call->timer = 0;
	if (!call->session_number) {
		fail_unsent(call);
		return G_SOURCE_REMOVE;
	}
	/* The fault that stalled this connection may affect the idle ones too. */
	if (http) {
		replace_session(http);
		send_waiting(http);
	}
	g_cancellable_cancel(call->cancel);
	return G_SOURCE_REMOVE;
}

static void set_headers_and_body(SoupMessage *msg, const struct lug_http_request *request)
{
	SoupMessageHeaders *headers = soup_message_get_request_headers(msg);

	for (const char *const *p = request->headers; p && p[0]; p += 2)
		soup_message_headers_replace(headers, p[0], p[1]);
	if (request->body) {
		GBytes *bytes = g_bytes_new(request->body, request->len);

		soup_message_set_request_body_from_bytes(msg, request->content_type, bytes);
		g_bytes_unref(bytes);
	}
}

/**
 * lug_http_send - start a call
 * @http: client
 * @request: request, copied
 * @fn: called once with the answer, also on failure
 * @data: passed to @fn
 */
void lug_http_send(struct lug_http *http, const struct lug_http_request *request, lug_http_fn fn,
		   void *data)
{
	struct http_call *call = g_new0(struct http_call, 1);
	char *url = g_strconcat(http->base_url, request->path, NULL);

	call->http = http;
	call->fn = fn;
	call->data = data;
	call->cancel = g_cancellable_new();
	call->msg = soup_message_new(request->method, url);
	g_free(url);
	lug_list_init(&call->node);
	/* The URL is invalid. call_free() needs a message. */
	if (!call->msg) {
		struct lug_http_answer no_answer = {.body = "", .content_type = ""};

		fn(data, &no_answer);
		call_free(call);
		return;
	}
	/*
	 * libsoup resends only requests marked idempotent. For the others, the caller decides by
	 * what the answer says about whether the server may have received the request.
	 */
	soup_message_add_flags(call->msg, SOUP_MESSAGE_NO_REDIRECT);
	if (request->idempotent)
		soup_message_add_flags(call->msg, SOUP_MESSAGE_IDEMPOTENT);
	set_headers_and_body(call->msg, request);
	g_signal_connect(call->msg, "wrote-headers", G_CALLBACK(on_wrote_headers), call);
	g_signal_connect(call->msg, "got-headers", G_CALLBACK(on_got_headers), call);
	call->timer = g_timeout_add((guint)MAX(request->timeout_ms, 1), on_timeout, call);
	lug_list_append(&http->waiting, &call->node);
	send_waiting(http);
}
