#ifndef LUG_ROUTE_ROUTER_H
#define LUG_ROUTE_ROUTER_H

#include "member/registry.h"
#include "route/choose.h"

/**
 * struct lug_request_spec - a caller's request
 * @service: service requested
 * @team: team that is charged
 * @method: HTTP method
 * @path: path and query on the backend server
 * @content_type: type of @body, may be NULL
 * @body: body
 * @len: length of @body, bytes
 * @timeout_ms: time limit for the answer, milliseconds
 * @idempotent: may be retried when the outcome of an attempt is unknown
 */
struct lug_request_spec {
	const char *service;
	const char *team;
	const char *method;
	const char *path;
	const char *content_type;
	const void *body;
	gsize len;
	gint64 timeout_ms;
	gboolean idempotent;
};

/**
 * struct lug_request_result - outcome of a request
 * @status: LUG_OK, LUG_NOT_RUN or LUG_UNKNOWN
 * @detail: reason for a status other than LUG_OK, may be NULL
 * @http: HTTP status of the backend server, with LUG_OK
 * @body: complete body, valid during the callback only
 * @len: length of @body, bytes
 * @content_type: type of @body, may be NULL
 * @id: request id
 * @attempts: attempts made
 */
struct lug_request_result {
	enum lug_status status;
	const char *detail;
	guint http;
	const void *body;
	gsize len;
	const char *content_type;
	guint64 id;
	guint attempts;
};

/* Receives the outcome of a request. */
typedef void (*lug_request_fn)(void *data, const struct lug_request_result *result);

/**
 * struct lug_router - routes requests to agents and determines their outcomes
 *
 * A request without an answer at its deadline is cancelled. The agent's reply to the
 * cancellation is its outcome; without a reply the outcome is unknown.
 */
struct lug_router;

struct lug_router *lug_router_new(struct lug_ctx *ctx, struct lug_link *link,
				  struct lug_registry *registry);
void lug_router_free(struct lug_router *router);
guint64 lug_router_submit(struct lug_router *router, const struct lug_request_spec *spec,
			  lug_request_fn fn, void *data, gint64 now_us);
void lug_router_on_reply(struct lug_router *router, const char *from, const Lug__Reply *reply,
			 gint64 now_us);
void lug_router_tick(struct lug_router *router, gint64 now_us);
guint lug_router_inflight(const struct lug_router *router);

#endif
