#ifndef LUG_ROUTE_ROUTER_H
#define LUG_ROUTE_ROUTER_H

#include "member/registry.h"
#include "route/choose.h"

/**
 * struct lug_request_spec - a caller's request
 * @service: service
 * @team: team that is charged
 * @method: HTTP method
 * @path: path with query at the backend server
 * @content_type: type of @body, may be NULL
 * @body: body
 * @len: bytes in @body
 * @timeout_ms: time within which the caller wants the answer
 * @idempotent: may be run again after an unknown outcome
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
 * struct lug_request_result - how a request ended
 * @status: LUG_OK, LUG_NOT_RUN or LUG_UNKNOWN
 * @detail: words on the outcome
 * @http: status of the backend server, with LUG_OK
 * @body: whole body, lent for the callback
 * @len: bytes in @body
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

typedef void (*lug_request_fn)(void *data, const struct lug_request_result *result);

/**
 * struct lug_router - sends requests to agents and settles their outcomes
 */
struct lug_router;

struct lug_router *lug_router_new(struct lug_ctx *ctx, struct lug_link *link,
				  struct lug_registry *registry);
void lug_router_free(struct lug_router *router);
guint64 lug_router_submit(struct lug_router *router, const struct lug_request_spec *spec,
			  lug_request_fn fn, void *data, gint64 now_us);
void lug_router_reply(struct lug_router *router, const char *from, const Lug__Reply *reply,
		      gint64 now_us);
void lug_router_tick(struct lug_router *router, gint64 now_us);
guint lug_router_inflight(const struct lug_router *router);

#endif
