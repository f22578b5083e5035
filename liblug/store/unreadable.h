#ifndef LUG_STORE_UNREADABLE_H
#define LUG_STORE_UNREADABLE_H

#include "core/context.h"

struct lug_unreadable;

struct lug_unreadable *lug_unreadable_new(struct lug_ctx *ctx);
void lug_unreadable_free(struct lug_unreadable *unreadable);
void lug_unreadable_report(struct lug_unreadable *unreadable, const char *table, const char *key,
			   gint64 version, const char *reason);

#endif
