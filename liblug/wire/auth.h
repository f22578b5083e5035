#ifndef LUG_WIRE_AUTH_H
#define LUG_WIRE_AUTH_H

#include "core/context.h"

/**
 * struct lug_auth - lets only holders of a known key through to the inner address
 *
 * Answers ZeroMQ's authentication requests (ZAP) and counts handshakes that fail.
 */
struct lug_auth;

struct lug_auth *lug_auth_new(struct lug_ctx *ctx, void *zmq);
void lug_auth_watch(struct lug_auth *guard, void *socket);
void lug_auth_free(struct lug_auth *guard);
gboolean lug_auth_enabled(const struct lug_ctx *ctx);
void lug_auth_set_server(const struct lug_ctx *ctx, void *socket);
void lug_auth_set_client(const struct lug_ctx *ctx, void *socket, guint32 turn);

#endif
