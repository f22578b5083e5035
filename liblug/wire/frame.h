#ifndef LUG_WIRE_FRAME_H
#define LUG_WIRE_FRAME_H

#include "core/arena.h"
#include "core/status.h"
#include "wire/inner.pb-c.h"

/*
 * Protocol version that this release sends, and the oldest that it accepts. The newest version that
 * it accepts is LUG_PROTO_VERSION + 1.
 */
#define LUG_PROTO_VERSION 2
#define LUG_PROTO_OLDEST 1

/* Size limit of an envelope without its request or reply body, bytes. */
#define LUG_FRAME_OVERHEAD_MAX_BYTES (256 * 1024)
/* Length limit of the name of a process, bytes. */
#define LUG_NAME_MAX 64

Lug__Envelope *lug_frame_decode(const void *data, gsize len, struct lug_arena *arena,
				struct lug_error *err);
gboolean lug_envelope_is_request_or_reply(const Lug__Envelope *env);

#endif
