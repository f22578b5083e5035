#ifndef LUG_DAEMON_HTTP_SERVER_H
#define LUG_DAEMON_HTTP_SERVER_H

#include <libsoup/soup.h>

#include "core/context.h"
#include "core/json.h"

/**
 * struct lug_daemon_http_server - daemon's HTTP server, with /metrics, /healthz and /readyz
 * @ctx: context
 * @soup: server; the daemon adds further handlers
 * @is_ready: returns TRUE while the daemon can serve, for /readyz
 * @data: passed to @is_ready
 */
struct lug_daemon_http_server {
	struct lug_ctx *ctx;
	SoupServer *soup;
	gboolean (*is_ready)(void *data);
	void *data;
};

struct lug_daemon_http_server *lug_daemon_http_server_new(struct lug_ctx *ctx,
							  gboolean (*is_ready)(void *data),
							  void *data, struct lug_error *err);
void lug_daemon_http_server_free(struct lug_daemon_http_server *server);
void lug_answer_json(SoupServerMessage *msg, guint http_status, JsonObject *obj);
void lug_answer_text(SoupServerMessage *msg, guint http_status, const char *text);
void lug_answer_error(SoupServerMessage *msg, const struct lug_error *err);
JsonObject *lug_event_json(const char *process, guint64 stamp, enum lug_event_type type,
			   const char *subject, const char *detail);
JsonObject *lug_local_events(struct lug_ctx *ctx, guint64 since, const char *match);

#endif
