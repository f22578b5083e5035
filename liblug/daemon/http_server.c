#include "daemon/http_server.h"

#include <string.h>

#include "http/listen.h"

/**
 * lug_answer_json - answer with a JSON object
 * @msg: message
 * @http_status: status code
 * @obj: object; takes ownership
 */
void lug_answer_json(SoupServerMessage *msg, guint http_status, JsonObject *obj)
{
	char *text = lug_json_text(obj);

	soup_server_message_set_status(msg, http_status, NULL);
	soup_server_message_set_response(msg, "application/json", SOUP_MEMORY_TAKE, text,
					 strlen(text));
	json_object_unref(obj);
}

/**
 * lug_answer_text - answer with plain text
 * @msg: message
 * @http_status: status code
 * @text: body
 */
void lug_answer_text(SoupServerMessage *msg, guint http_status, const char *text)
{
	soup_server_message_set_status(msg, http_status, NULL);
	soup_server_message_set_response(msg, "text/plain; charset=utf-8", SOUP_MEMORY_COPY, text,
					 strlen(text));
}

/**
 * lug_answer_error - answer with a JSON error and its remedy
 * @msg: message
 * @err: error; its kind determines the status code
 */
void lug_answer_error(SoupServerMessage *msg, const struct lug_error *err)
{
	JsonObject *obj = json_object_new();

	json_object_set_string_member(obj, "error", lug_status_name(err->kind));
	json_object_set_string_member(obj, "message", err->msg);
	json_object_set_string_member(obj, "remedy", err->remedy);
	json_object_set_boolean_member(obj, "not_run",
				       err->kind != LUG_UNKNOWN && err->kind != LUG_INTERNAL);
	if (err->kind == LUG_NOT_RUN || err->kind == LUG_UNAVAILABLE)
		soup_message_headers_replace(soup_server_message_get_response_headers(msg),
					     "Retry-After", "1");
	lug_answer_json(msg, lug_status_http(err->kind), obj);
}

static void on_metrics(SoupServer *soup, SoupServerMessage *msg, const char *path,
		       GHashTable *query, gpointer data)
{
	struct lug_daemon_http_server *server = data;
	GString *text = g_string_new(NULL);

	(void)soup;
	(void)path;
	(void)query;
	lug_metrics_print(server->ctx->metrics, text);
	lug_answer_text(msg, 200, text->str);
	g_string_free(text, TRUE);
}

static void on_health(SoupServer *soup, SoupServerMessage *msg, const char *path, GHashTable *query,
		      gpointer data)
{
	(void)soup;
	(void)path;
	(void)query;
	(void)data;
	lug_answer_text(msg, 200, "ok\n");
}

static void on_ready(SoupServer *soup, SoupServerMessage *msg, const char *path, GHashTable *query,
		     gpointer data)
{
	struct lug_daemon_http_server *server = data;
	gboolean ready = server->is_ready(server->data);

	(void)soup;
	(void)path;
	(void)query;
	lug_answer_text(msg, ready ? 200 : 503, ready ? "ready\n" : "not ready\n");
}

/**
 * lug_event_json - convert an event to JSON
 * @process: name of the process that recorded the event
 * @stamp: time of the event (hybrid logical clock)
 * @type: type of event
 * @subject: job, worker or other subject, may be NULL
 * @detail: further text, may be NULL
 *
 * Return: new object.
 */
JsonObject *lug_event_json(const char *process, guint64 stamp, enum lug_event_type type,
			   const char *subject, const char *detail)
{
	JsonObject *item = json_object_new();

	json_object_set_int_member(item, "stamp", (gint64)stamp);
	json_object_set_int_member(item, "wall_ms", lug_hlc_wall_ms(stamp));
	json_object_set_string_member(item, "process", process);
	json_object_set_string_member(item, "event", lug_event_name(type));
	json_object_set_string_member(item, "subject", subject ? subject : "");
	json_object_set_string_member(item, "detail", detail ? detail : "");
	return item;
}

struct event_list {
	const char *process;
	JsonArray *events;
};

static void add_event(const struct lug_event *event, void *data)
{
	struct event_list *list = data;

	json_array_add_object_element(list->events,
				      lug_event_json(list->process, event->stamp, event->type,
						     event->subject, event->detail));
}

/**
 * lug_local_events - list events recorded by this process
 * @ctx: context
 * @since: lists events with a later stamp
 * @match: text that subject or detail must contain, NULL or "" for all events
 *
 * Return: new object.
 */
JsonObject *lug_local_events(struct lug_ctx *ctx, guint64 since, const char *match)
{
	struct event_list list = {ctx->settings->name, json_array_new()};
	JsonObject *out = json_object_new();

	lug_timeline_foreach(ctx->timeline, since, match, add_event, &list);
	json_object_set_array_member(out, "events", list.events);
	json_object_set_int_member(out, "dropped", (gint64)lug_timeline_overwritten(ctx->timeline));
	return out;
}

/**
 * lug_daemon_http_server_new - listen on the daemon's HTTP address
 * @ctx: context
 * @is_ready: returns TRUE while the daemon can serve, for /readyz
 * @data: passed to @is_ready
 * @err: set when the address can't be bound
 *
 * Return: server, freed with lug_daemon_http_server_free(); NULL with @err on failure.
 */
struct lug_daemon_http_server *lug_daemon_http_server_new(struct lug_ctx *ctx,
							  gboolean (*is_ready)(void *data),
							  void *data, struct lug_error *err)
{
	struct lug_daemon_http_server *server = g_new0(struct lug_daemon_http_server, 1);
	GError *bind_err = NULL;

	server->ctx = ctx;
	server->is_ready = is_ready;
	server->data = data;
	server->soup = soup_server_new(NULL, NULL);
	if (!lug_listen(server->soup, ctx->settings->http, &bind_err)) {
		lug_fail(err, LUG_BAD_INPUT, "name a free address of this instance in \"http\"",
			 "http: %s can't be bound: %s", ctx->settings->http, bind_err->message);
		g_error_free(bind_err);
		lug_daemon_http_server_free(server);
		return NULL;
	}
	soup_server_add_handler(server->soup, "/metrics", on_metrics, server, NULL);
	soup_server_add_handler(server->soup, "/healthz", on_health, server, NULL);
	soup_server_add_handler(server->soup, "/readyz", on_ready, server, NULL);
	return server;
}

/**
 * lug_daemon_http_server_free - stop listening
 * @server: may be NULL
 */
void lug_daemon_http_server_free(struct lug_daemon_http_server *server)
{
	if (!server)
		return;
	soup_server_disconnect(server->soup);
	g_object_unref(server->soup);
	g_free(server);
}
