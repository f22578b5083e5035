#include "colocate/reserve.h"

/**
 * lug_reserve_capacity - total resources for batch tasks
 * @reserve: reservations
 */
struct lug_resources lug_reserve_capacity(const struct lug_reserve *reserve)
{
	struct lug_resources capacity = reserve->total;

	lug_resources_sub(&capacity, &reserve->service);
	capacity.millicores = MAX(capacity.millicores, 0);
	capacity.memory_bytes = MAX(capacity.memory_bytes, 0);
	capacity.accelerators = MAX(capacity.accelerators, 0);
	return capacity;
}

/**
 * lug_reserve_room - resources that batch tasks can still reserve
 * @reserve: reservations
 *
 * Return: the room; negative where running tasks exceed the capacity.
 */
struct lug_resources lug_reserve_room(const struct lug_reserve *reserve)
{
	struct lug_resources room = lug_reserve_capacity(reserve);

	lug_resources_sub(&room, &reserve->tasks);
	return room;
}

/**
 * lug_reserve_acquire - reserve resources for a task
 * @reserve: reservations
 * @size: resources of the task
 *
 * Return: FALSE, with nothing reserved, when they do not fit or are negative.
 */
gboolean lug_reserve_acquire(struct lug_reserve *reserve, const struct lug_resources *size)
{
	struct lug_resources room = lug_reserve_room(reserve);

	if (size->millicores < 0 || size->memory_bytes < 0 || size->accelerators < 0)
		return FALSE;
	if (!lug_resources_fit(size, &room))
		return FALSE;
	lug_resources_add(&reserve->tasks, size);
	return TRUE;
}

/**
 * lug_reserve_release - release a reservation
 * @reserve: reservations
 * @size: resources that were reserved
 */
void lug_reserve_release(struct lug_reserve *reserve, const struct lug_resources *size)
{
	lug_resources_sub(&reserve->tasks, size);
}
