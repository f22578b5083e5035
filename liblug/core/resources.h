#ifndef LUG_CORE_RESOURCES_H
#define LUG_CORE_RESOURCES_H

#include <glib.h>

/**
 * struct lug_resources - resources of a worker or of a task
 * @millicores: thousandths of a core
 * @memory: bytes
 * @accelerators: number of accelerators
 */
struct lug_resources {
	gint64 millicores;
	gint64 memory;
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
	return need->millicores <= room->millicores && need->memory <= room->memory &&
	       need->accelerators <= room->accelerators;
}

/**
 * lug_resources_add - add @more to @sum
 */
static inline void lug_resources_add(struct lug_resources *sum, const struct lug_resources *more)
{
	sum->millicores += more->millicores;
	sum->memory += more->memory;
	sum->accelerators += more->accelerators;
}

/**
 * lug_resources_sub - subtract @less from @sum
 */
static inline void lug_resources_sub(struct lug_resources *sum, const struct lug_resources *less)
{
	sum->millicores -= less->millicores;
	sum->memory -= less->memory;
	sum->accelerators -= less->accelerators;
}

/**
 * lug_resources_max - raise each member of @top to that of @other if that is larger
 */
static inline void lug_resources_max(struct lug_resources *top, const struct lug_resources *other)
{
	top->millicores = MAX(top->millicores, other->millicores);
	top->memory = MAX(top->memory, other->memory);
	top->accelerators = MAX(top->accelerators, other->accelerators);
}

/**
 * lug_resources_min - lower each member of @low to that of @other if that is smaller
 */
static inline void lug_resources_min(struct lug_resources *low, const struct lug_resources *other)
{
	low->millicores = MIN(low->millicores, other->millicores);
	low->memory = MIN(low->memory, other->memory);
	low->accelerators = MIN(low->accelerators, other->accelerators);
}

#endif
