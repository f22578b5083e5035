#ifndef LUG_CORE_RESOURCES_H
#define LUG_CORE_RESOURCES_H

#include <glib.h>

/**
 * struct lug_resources - resources of a worker or of a task
 * @millicores: thousandths of a core
 * @memory_bytes: bytes
 * @accelerators: number of accelerators
 */
struct lug_resources {
	gint64 millicores;
	gint64 memory_bytes;
	gint64 accelerators;
};

/**
 * lug_resources_fit - whether @need fits into @room
 * @need: required resources
 * @room: free resources
 */
static inline gboolean lug_resources_fit(const struct lug_resources *need,
					 const struct lug_resources *room)
{
	return need->millicores <= room->millicores && need->memory_bytes <= room->memory_bytes &&
	       need->accelerators <= room->accelerators;
}

/**
 * lug_resources_add - add @more to @sum
 */
static inline void lug_resources_add(struct lug_resources *sum, const struct lug_resources *more)
{
	sum->millicores += more->millicores;
	sum->memory_bytes += more->memory_bytes;
	sum->accelerators += more->accelerators;
}

/**
 * lug_resources_sub - subtract @less from @sum
 */
static inline void lug_resources_sub(struct lug_resources *sum, const struct lug_resources *less)
{
	sum->millicores -= less->millicores;
	sum->memory_bytes -= less->memory_bytes;
	sum->accelerators -= less->accelerators;
}

/**
 * lug_resources_max - raise each member of @top to that of @other if that is larger
 */
static inline void lug_resources_max(struct lug_resources *top, const struct lug_resources *other)
{
	top->millicores = MAX(top->millicores, other->millicores);
	top->memory_bytes = MAX(top->memory_bytes, other->memory_bytes);
	top->accelerators = MAX(top->accelerators, other->accelerators);
}

/**
 * lug_resources_min - lower each member of @low to that of @other if that is smaller
 */
static inline void lug_resources_min(struct lug_resources *low, const struct lug_resources *other)
{
	low->millicores = MIN(low->millicores, other->millicores);
	low->memory_bytes = MIN(low->memory_bytes, other->memory_bytes);
	low->accelerators = MIN(low->accelerators, other->accelerators);
}

#endif
