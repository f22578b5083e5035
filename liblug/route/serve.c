#include "route/serve.h"

#include <string.h>

#include "core/list.h"
#include "wire/pack.h"

/*
 * Time for which an ended request is remembered: its outcome is reported to cancellations, and a
 * resent attempt does not run again.
 */
#define ENDED_RETENTION_US (5 * 1000 * 1000)
/* Number of known requests above which the oldest ended ones are dropped early. */
#define MAX_REQUESTS 100000
/* Larger replies are not kept; the outcome is then unknown if the reply is lost. */
#define MAX_RETAINED_REPLY_BYTES (16 * 1024)
#define KEY_CHARS 128
/* Size limit of an HTTP method with its terminator, bytes; longer methods are refused. */
#define METHOD_SIZE_MAX 16

/**
 * enum serve_state - state of a request
 * @SERVE_QUEUED: waits for a slot
 * @SERVE_RUNNING: sent to the backend server
 * @SERVE_DONE: has run, or was sent to the backend server without success; its outcome is kept
 * @SERVE_NOT_RUN: refused or cancelled before it ran
 */
enum serve_state {
	SERVE_QUEUED,
	SERVE_RUNNING,
	SERVE_DONE,
	SERVE_NOT_RUN,
};

/**
 * struct serve_request - an attempt at a request; each attempt counts as a request here
 * @node: in the queue or the list of ended requests
 * @server: object that runs it
 * @key: sender, its incarnation, request id and attempt
 * @state: progress
 * @arena: owns the request and all that it refers to
 * @route: connection through which the reply is sent
 * @id: request id
 * @attempt: number of the attempt
 * @method: HTTP method
 * @path: path and query
 * @team: team that is charged
 * @content_type: type of @body, may be NULL
 * @body: request body
 * @body_len: length of @body, bytes
 * @deadline_us: time by which the entry needs the reply
 * @queued_us: when it arrived
 * @started_us: when it was sent to the backend server
 * @expires_us: when the ended request is dropped
 * @status: outcome to report on a cancellation, LUG_UNKNOWN when @reply was too large to keep
 * @http: HTTP status of the backend server
 * @reply_type: type of @reply, may be NULL
 * @reply: body of the backend server's answer
 * @reply_len: length of @reply, bytes
 */
struct serve_request {
	struct lug_list node;
	struct lug_serve *server;
	char key[KEY_CHARS];
	enum serve_state state;
	struct lug_arena *arena;
	struct lug_route route;
	guint64 id;
	guint32 attempt;
	char *method;
	char *path;
	char *team;
	char *content_type;
	void *body;
	gsize body_len;
	gint64 deadline_us;
	gint64 queued_us;
	gint64 started_us;
	gint64 expires_us;
	guint32 status;
	guint32 http;
	char *reply_type;
	void *reply;
	gsize reply_len;
};

/**
 * struct lug_serve - requests on one backend server, and their outcomes
 * @ctx: context
 * @link: internal connections, not owned
 * @backend: client of the backend server, not owned
 * @admit: limits and load
 * @control: receives service times, not owned, may be NULL
 * @requests: all known requests, by key
 * @queue: requests that wait for a slot, oldest first
 * @ended: ended requests, in the order in which they ended
 * @leaving: new requests are refused
 */
struct lug_serve {
	struct lug_ctx *ctx;
	struct lug_link *link;
	struct lug_http *backend;
	struct lug_admit_state admit;
	struct lug_control *control;
	GHashTable *requests;
	struct lug_list queue;
	struct lug_list ended;
	gboolean leaving;
};

static void request_free(gpointer data)
{
	struct serve_request *req = data;

	lug_list_remove(&req->node);
	lug_arena_free(req->arena);
}

static void read_settings(struct lug_serve *server)
{
	const struct lug_settings *settings = server->ctx->settings;

	server->admit.slots_max = settings->service_slots;
	server->admit.requests_max = settings->service_connections;
	server->admit.queue_max = settings->service_queue;
}

/**
 * lug_serve_new - create an object that runs requests on a backend server
 * @ctx: context
 * @link: internal connections, not owned
 * @backend: client of the backend server, not owned
 *
 * Return: the new object, to be freed with lug_serve_free().
 */
struct lug_serve *lug_serve_new(struct lug_ctx *ctx, struct lug_link *link,
				struct lug_http *backend)
{
	struct lug_serve *server = g_new0(struct lug_serve, 1);

	server->ctx = ctx;
	server->link = link;
	server->backend = backend;
	server->requests = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, request_free);
	lug_list_init(&server->queue);
	lug_list_init(&server->ended);
	read_settings(server);
	return server;
}

/**
 * lug_serve_free - free the object and its requests; the backend server's
 * client must be freed first, as it refers to requests
 * @server: server, may be NULL
 */
void lug_serve_free(struct lug_serve *server)
{
	if (!server)
		return;
	g_hash_table_unref(server->requests);
	g_free(server);
}

/**
 * lug_serve_set_control - report service times to a controller, which throttles
 * batch tasks
 * @server: server
 * @control: controller, not owned; NULL for none
 */
void lug_serve_set_control(struct lug_serve *server, struct lug_control *control)
{
	server->control = control;
}

/**
 * lug_serve_load - limits and load of the backend server
 * @server: server
 *
 * Return: state owned by @server, updated with each request.
 */
const struct lug_admit_state *lug_serve_load(const struct lug_serve *server)
{
	return &server->admit;
}

/**
 * lug_serve_set_draining - set whether new requests are refused
 * @server: server
 * @leaving: TRUE to refuse them
 */
void lug_serve_set_draining(struct lug_serve *server, gboolean leaving)
{
	server->leaving = leaving;
}

/**
 * lug_serve_is_idle - check that no request is running or queued
 * @server: server
 */
gboolean lug_serve_is_idle(const struct lug_serve *server)
{
	return !server->admit.busy && !server->admit.queued;
}

/* SENDER#INCARNATION#ID#ATTEMPT, with incarnation and id in hexadecimal. */
static void make_key(char *key, const Lug__Envelope *env, guint64 id, guint32 attempt)
{
	g_snprintf(key, KEY_CHARS, "%s#%" G_GINT64_MODIFIER "x#%" G_GINT64_MODIFIER "x#%u",
		   env->from, env->incarnation, id, attempt);
}

static void send_reply(struct lug_serve *server, const struct lug_route *route, guint64 id,
		       guint32 attempt, guint32 status, const char *detail,
		       const struct serve_request *ended)
{
	Lug__Reply reply = LUG__REPLY__INIT;
	LUG_ENVELOPE(env, REPLY, reply, &reply);

	LUG_SET(&reply, id, id);
	LUG_SET(&reply, attempt, attempt);
	LUG_SET(&reply, status, status);
	LUG_SET(&reply, busy, (guint32)server->admit.busy);
	LUG_SET(&reply, queued, (guint32)server->admit.queued);
	LUG_SET(&reply, service_us, (guint32)server->admit.service_us);
	reply.detail = (char *)detail;
	if (ended && status == LUG_OK) {
		LUG_SET(&reply, http, ended->http);
		reply.has_body = 1;
		reply.body.data = ended->reply;
		reply.body.len = ended->reply_len;
		reply.content_type = ended->reply_type;
	}
	lug_link_send(server->link, route, &env);
}

static void end_request(struct serve_request *req, enum serve_state state, gint64 now_us)
{
	req->state = state;
	req->expires_us = now_us + ENDED_RETENTION_US;
	lug_list_remove(&req->node);
	lug_list_append(&req->server->ended, &req->node);
}

static void start_queued(struct lug_serve *server, gint64 now_us);

static void finish_request(struct serve_request *req, guint32 status, const char *detail,
			   gint64 now_us)
{
	struct lug_serve *server = req->server;

	req->status = status;
	send_reply(server, &req->route, req->id, req->attempt, status, detail, req);
	/* The reply was sent; it is too large to keep for a resend. */
	if (req->reply_len > MAX_RETAINED_REPLY_BYTES) {
		req->reply = NULL;
		req->reply_len = 0;
		req->status = LUG_UNKNOWN;
	}
	end_request(req, SERVE_DONE, now_us);
}

static void on_backend_answer(void *data, const struct lug_http_answer *answer)
{
	struct serve_request *req = data;
	struct lug_serve *server = req->server;
	gint64 now_us = lug_now_us();
	gint64 elapsed_us = now_us - req->started_us;

	server->admit.busy--;
	if (answer->http_status) {
		req->http = answer->http_status;
		req->reply_type = lug_arena_strdup(req->arena, answer->content_type);
		req->reply = lug_arena_memdup(req->arena, answer->body, answer->len);
		req->reply_len = answer->len;
		lug_admit_observe(&server->admit, elapsed_us);
		lug_observe(server->ctx, BACKEND_US, elapsed_us);
		if (server->control)
			lug_control_add_sample(server->control, elapsed_us);
		lug_count(server->ctx, REQUESTS_OK, 1);
		finish_request(req, LUG_OK, NULL, now_us);
	} else if (!answer->maybe_received) {
		lug_count(server->ctx, REQUESTS_NOT_RUN, 1);
		finish_request(req, LUG_NOT_RUN, "the backend server can't be reached", now_us);
	} else {
		lug_count(server->ctx, REQUESTS_UNKNOWN, 1);
		finish_request(req, LUG_UNKNOWN, "the backend server did not answer whole", now_us);
	}
	start_queued(server, now_us);
}

static void call_backend(struct serve_request *req, gint64 now_us)
{
	struct lug_serve *server = req->server;
	char id[32];
	char attempt[16];
	const char *headers[] = {"X-Request-Id", id,	    "X-Attempt", attempt,
				 "X-Team",	 req->team, NULL};
	struct lug_http_request call = {
		.method = req->method,
		.path = req->path,
		.content_type = req->content_type,
		.body = req->body_len ? req->body : NULL,
		.len = req->body_len,
		.timeout_ms = MAX((req->deadline_us - now_us) / 1000, 1),
		.headers = headers,
	};

	g_snprintf(id, sizeof(id), "%" G_GINT64_MODIFIER "x", req->id);
	g_snprintf(attempt, sizeof(attempt), "%u", req->attempt);
	req->state = SERVE_RUNNING;
	req->started_us = now_us;
	server->admit.busy++;
	lug_observe(server->ctx, QUEUE_US, now_us - req->queued_us);
	lug_http_send(server->backend, &call, on_backend_answer, req);
}

static void refuse_request(struct serve_request *req, const char *reason, gint64 now_us)
{
	struct lug_serve *server = req->server;

	lug_count(server->ctx, REQUESTS_REFUSED, 1);
	send_reply(server, &req->route, req->id, req->attempt, LUG_NOT_RUN, reason, NULL);
	end_request(req, SERVE_NOT_RUN, now_us);
}

/* Starts queued requests, and refuses those with less than half a service time left. */
static void start_queued(struct lug_serve *server, gint64 now_us)
{
	while (server->admit.busy < server->admit.slots_max && !lug_list_empty(&server->queue)) {
		struct serve_request *req =
			LUG_CONTAINER_OF(server->queue.next, struct serve_request, node);

		lug_list_remove(&req->node);
		server->admit.queued--;
		if (now_us + server->admit.service_us / 2 >= req->deadline_us)
			refuse_request(req, "its deadline would pass", now_us);
		else
			call_backend(req, now_us);
	}
}

static struct serve_request *request_new(struct lug_serve *server, const char *key)
{
	struct lug_arena *arena = lug_arena_new();
	struct serve_request *req = lug_arena_alloc(arena, sizeof(*req));

	req->arena = arena;
	req->server = server;
	lug_list_init(&req->node);
	g_strlcpy(req->key, key, sizeof(req->key));
	g_hash_table_insert(server->requests, req->key, req);
	return req;
}

static void copy_request(struct serve_request *req, const struct lug_route *route,
			 const Lug__Request *request, gint64 now_us)
{
	req->route = *route;
	req->id = request->id;
	req->attempt = request->attempt;
	req->method = lug_arena_strdup(req->arena, request->method ? request->method : "GET");
	req->path = lug_arena_strdup(req->arena, request->path ? request->path : "/");
	req->team = lug_arena_strdup(req->arena, request->team ? request->team : "");
	req->content_type = lug_arena_strdup(req->arena, request->content_type);
	req->body = lug_arena_memdup(req->arena, request->body.data, request->body.len);
	req->body_len = request->body.len;
	req->queued_us = now_us;
	req->deadline_us = now_us + (gint64)request->timeout_ms * 1000;
}

static gboolean is_valid_request(const struct lug_serve *server, const Lug__Request *request)
{
	const char *path = request->path ? request->path : "/";

	return request->service && !strcmp(request->service, server->ctx->settings->service_name) &&
	       path[0] == '/' && (!request->method || strlen(request->method) < METHOD_SIZE_MAX);
}

static void admit_request(struct serve_request *req, gint64 now_us)
{
	struct lug_serve *server = req->server;

	switch (lug_admit_decide(&server->admit, req->deadline_us - now_us)) {
	case LUG_ADMIT_RUN:
		call_backend(req, now_us);
		return;
	case LUG_ADMIT_QUEUE:
		req->state = SERVE_QUEUED;
		server->admit.queued++;
		lug_list_append(&server->queue, &req->node);
		return;
	case LUG_ADMIT_FULL:
		refuse_request(req, "full", now_us);
		return;
	case LUG_ADMIT_TOO_LATE:
		refuse_request(req, "its deadline would pass", now_us);
		return;
	}
}

/**
 * lug_serve_on_request - run, queue or refuse a request
 * @server: server
 * @route: destination of the reply
 * @env: envelope with the request
 * @now_us: current time, microseconds
 *
 * A resent attempt does not run again while it is remembered, see ENDED_RETENTION_US.
 */
void lug_serve_on_request(struct lug_serve *server, const struct lug_route *route,
			  const Lug__Envelope *env, gint64 now_us)
{
	const Lug__Request *request = env->request;
	struct serve_request *req;
	char key[KEY_CHARS];

	lug_count(server->ctx, REQUESTS, 1);
	make_key(key, env, request->id, request->attempt);
	req = g_hash_table_lookup(server->requests, key);
	if (req) {
		/*
		 * Resent attempt: answered here only if it was refused or cancelled. A queued or
		 * running one is answered when it ends; lug_serve_on_cancel() sends the outcome of
		 * an ended one again.
		 */
		if (req->state == SERVE_NOT_RUN)
			send_reply(server, route, request->id, request->attempt, LUG_NOT_RUN,
				   "cancelled", NULL);
		return;
	}
	req = request_new(server, key);
	copy_request(req, route, request, now_us);
	if (!is_valid_request(server, request) || server->leaving) {
		refuse_request(req, server->leaving ? "leaving" : "another service", now_us);
		return;
	}
	admit_request(req, now_us);
}

/**
 * lug_serve_on_cancel - cancel a request, or report its outcome
 * @server: server
 * @route: destination of the reply
 * @env: envelope with the cancellation
 * @now_us: current time, microseconds
 *
 * A request that is queued is cancelled. One that has not arrived yet is remembered as cancelled
 * and does not run when it arrives. A running request is answered when it ends. The outcome of an
 * ended request is sent again.
 */
void lug_serve_on_cancel(struct lug_serve *server, const struct lug_route *route,
			 const Lug__Envelope *env, gint64 now_us)
{
	const Lug__Cancel *cancel = env->cancel;
	struct serve_request *req;
	char key[KEY_CHARS];

	make_key(key, env, cancel->id, cancel->attempt);
	req = g_hash_table_lookup(server->requests, key);
	if (!req) {
		req = request_new(server, key);
		end_request(req, SERVE_NOT_RUN, now_us);
	}
	req->route = *route;
	if (req->state == SERVE_QUEUED) {
		server->admit.queued--;
		end_request(req, SERVE_NOT_RUN, now_us);
	}
	if (req->state == SERVE_NOT_RUN)
		send_reply(server, route, cancel->id, cancel->attempt, LUG_NOT_RUN, "cancelled",
			   NULL);
	if (req->state == SERVE_DONE)
		send_reply(server, route, cancel->id, cancel->attempt, req->status, "ran before",
			   req);
}

/**
 * lug_serve_tick - apply changed settings and drop requests that ended long ago
 * @server: server
 * @now_us: current time, microseconds
 */
void lug_serve_tick(struct lug_serve *server, gint64 now_us)
{
	read_settings(server);
	while (!lug_list_empty(&server->ended)) {
		struct serve_request *req =
			LUG_CONTAINER_OF(server->ended.next, struct serve_request, node);

		if (now_us < req->expires_us && g_hash_table_size(server->requests) < MAX_REQUESTS)
			break;
		g_hash_table_remove(server->requests, req->key);
	}
	lug_gauge(server->ctx, INFLIGHT, server->admit.busy);
	lug_gauge(server->ctx, QUEUED, server->admit.queued);
}
