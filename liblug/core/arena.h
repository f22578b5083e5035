#ifndef LUG_CORE_ARENA_H
#define LUG_CORE_ARENA_H

#include <glib.h>

/**
 * struct lug_arena - bump allocator whose blocks are freed together
 *
 * An arena usually holds the data of one request or message, which a single
 * lug_arena_free() releases.
 */
struct lug_arena;

struct lug_arena *lug_arena_new(void);
void lug_arena_free(struct lug_arena *arena);
void *lug_arena_alloc(struct lug_arena *arena, gsize size);
char *lug_arena_strdup(struct lug_arena *arena, const char *text);
void *lug_arena_memdup(struct lug_arena *arena, const void *data, gsize len);
char *lug_arena_printf(struct lug_arena *arena, const char *fmt, ...) G_GNUC_PRINTF(2, 3);

#endif
