#ifndef LUG_COLOCATE_RESERVE_H
#define LUG_COLOCATE_RESERVE_H

#include "core/resources.h"

/**
 * struct lug_reserve - resources of one worker and the reservations on them
 * @total: all resources of the worker
 * @service: reserved for the backend server
 * @tasks: reserved for batch tasks
 */
struct lug_reserve {
	struct lug_resources total;
	struct lug_resources service;
	struct lug_resources tasks;
};

struct lug_resources lug_reserve_capacity(const struct lug_reserve *reserve);
struct lug_resources lug_reserve_room(const struct lug_reserve *reserve);
gboolean lug_reserve_acquire(struct lug_reserve *reserve, const struct lug_resources *size);
void lug_reserve_release(struct lug_reserve *reserve, const struct lug_resources *size);

#endif
