#ifndef LUG_WIRE_AUTH_H
#define LUG_WIRE_AUTH_H

#include "core/context.h"

/**
 * struct lug_auth - authenticates peers that connect to the address for internal connections
 *
 * Answers ZeroMQ's authentication requests (ZAP): peers with a key of the settings are
 * accepted, all others refused. Counts failed handshakes.
 */
struct lug_auth;

struct lug_auth *lug_auth_new(struct lug_ctx *ctx, void *zmq);
void lug_auth_monitor(struct lug_auth *auth, void *socket);
void lug_auth_free(struct lug_auth *auth);
gboolean lug_auth_enabled(const struct lug_ctx *ctx);
void lug_auth_set_server(const struct lug_ctx *ctx, void *socket);
void lug_auth_set_client(const struct lug_ctx *ctx, void *socket, guint32 key_index);

#endif
