#ifndef LUG_WIRE_GUARD_H
#define LUG_WIRE_GUARD_H

#include "core/context.h"

/**
 * struct lug_guard - lets only holders of a known key through to the inner address
 *
 * Answers ZeroMQ's authentication requests (ZAP) and counts handshakes that fail.
 */
struct lug_guard;

struct lug_guard *lug_guard_new(struct lug_ctx *ctx, void *zmq);
void lug_guard_watch(struct lug_guard *guard, void *socket);
void lug_guard_free(struct lug_guard *guard);
gboolean lug_guard_enabled(const struct lug_ctx *ctx);
void lug_guard_set_server(const struct lug_ctx *ctx, void *socket);
void lug_guard_set_client(const struct lug_ctx *ctx, void *socket, guint32 turn);

#endif
