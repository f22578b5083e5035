#ifndef LUG_WIRE_LINK_H
#define LUG_WIRE_LINK_H

#include "core/context.h"
#include "wire/frame.h"

/* Size of the TCP/IP and ZMTP headers of a message, bytes, which the byte counters leave out. */
#define LUG_LINK_HEADER_BYTES 75
/* Length limit of a connection identity, bytes. */
#define LUG_ROUTE_ID_MAX 128

/**
 * struct lug_dial - an outgoing connection to one address
 */
struct lug_dial;

/**
 * struct lug_route - reference to a connection: the one that a message came from, or the one to
 * send through
 * @dial: number of the outgoing connection, 0 for an incoming one
 * @len: length of @id, bytes
 * @id: identity of an incoming connection, chosen by the peer
 */
struct lug_route {
	guint64 dial;
	gsize len;
	guint8 id[LUG_ROUTE_ID_MAX];
};

/**
 * struct lug_link - all internal connections of one process
 */
struct lug_link;

/* Receives an envelope; it is valid during the call only. */
typedef void (*lug_link_fn)(void *data, const struct lug_route *route, const Lug__Envelope *env);

struct lug_link *lug_link_new(struct lug_ctx *ctx, lug_link_fn fn, void *data,
			      struct lug_error *err);
void lug_link_free(struct lug_link *link);
void lug_link_set_table_version(struct lug_link *link, guint64 version);
gboolean lug_link_send(struct lug_link *link, const struct lug_route *route, Lug__Envelope *env);

struct lug_dial *lug_link_find_dial(const struct lug_link *link, const struct lug_route *route);

struct lug_dial *lug_dial_new(struct lug_link *link, const char *address, void *data);
void lug_dial_free(struct lug_dial *dial);
void lug_dial_reopen(struct lug_dial *dial);
guint32 lug_dial_generation(const struct lug_dial *dial);
const char *lug_dial_address(const struct lug_dial *dial);
void *lug_dial_data(const struct lug_dial *dial);
void lug_dial_route(struct lug_dial *dial, struct lug_route *route);

/* Declares an envelope that carries one body, ready for lug_link_send(). */
#define LUG_ENVELOPE(env, CASE, member, ptr)        \
	Lug__Envelope env = LUG__ENVELOPE__INIT;    \
	env.body_case = LUG__ENVELOPE__BODY_##CASE; \
	env.member = (ptr)

#endif
