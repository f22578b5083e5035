#ifndef LUG_WIRE_PACK_H
#define LUG_WIRE_PACK_H

#include "core/resources.h"
#include "wire/inner.pb-c.h"

/* Sets an optional scalar member of a message and its presence flag. */
#define LUG_SET(msg, member, value)      \
	do {                             \
		(msg)->has_##member = 1; \
		(msg)->member = (value); \
	} while (0)

void lug_pack_resources(Lug__Resources *out, const struct lug_resources *in);
struct lug_resources lug_unpack_resources(const Lug__Resources *in);
void lug_pack_task(Lug__TaskId *out, const char *job, guint32 index, guint32 attempt);

#endif
