#ifndef LUG_WIRE_FRAME_H
#define LUG_WIRE_FRAME_H

#include "core/arena.h"
#include "core/status.h"
#include "wire/inner.pb-c.h"

/* Version spoken by this release, and the oldest that it still understands. */
#define LUG_PROTO_VERSION 2
#define LUG_PROTO_OLDEST 1

/* Largest envelope beside a request or reply body, bytes. */
#define LUG_FRAME_OVERHEAD_MAX (256 * 1024)
#define LUG_NAME_MAX 64

Lug__Envelope *lug_frame_decode(const void *data, gsize len, struct lug_arena *arena,
				struct lug_error *err);
gboolean lug_frame_carried(const Lug__Envelope *env);

#endif
