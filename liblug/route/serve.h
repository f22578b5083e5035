#ifndef LUG_ROUTE_SERVE_H
#define LUG_ROUTE_SERVE_H

#include "colocate/control.h"
#include "http/http.h"
#include "route/admit.h"
#include "wire/link.h"

/**
 * struct lug_serve - requests on one backend server, and their outcomes
 *
 * Once an attempt has been sent, only the agent can report that it was not run (LUG_NOT_RUN). It
 * does so for a request that it refuses, that can't be sent to the backend server, or that is
 * cancelled before it arrives or before it gets a slot. If the same attempt arrives later, it is
 * answered with LUG_NOT_RUN again.
 */
struct lug_serve;

struct lug_serve *lug_serve_new(struct lug_ctx *ctx, struct lug_link *link,
				struct lug_http *backend);
void lug_serve_free(struct lug_serve *server);
void lug_serve_on_request(struct lug_serve *server, const struct lug_route *route,
			  const Lug__Envelope *env, gint64 now_us);
void lug_serve_on_cancel(struct lug_serve *server, const struct lug_route *route,
			 const Lug__Envelope *env, gint64 now_us);
void lug_serve_tick(struct lug_serve *server, gint64 now_us);
void lug_serve_set_draining(struct lug_serve *server, gboolean leaving);
gboolean lug_serve_is_idle(const struct lug_serve *server);
const struct lug_admit_state *lug_serve_load(const struct lug_serve *server);
void lug_serve_set_control(struct lug_serve *server, struct lug_control *control);

#endif
