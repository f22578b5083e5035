#include "schedule/pack.h"

/* Room is scarce while less than one part in so many of the pool's cores is free. */
#define SCARCE_DIVISOR 4

/**
 * lug_pack_is_scarce - whether small tasks are to be packed, so that large gaps stay whole
 * @free_millicores: free thousandths of a core in the pool
 * @capacity_millicores: all of them
 */
gboolean lug_pack_is_scarce(gint64 free_millicores, gint64 capacity_millicores)
{
	return free_millicores < capacity_millicores / SCARCE_DIVISOR;
}

/**
 * lug_pack_score - how well a worker that has room suits a task of limited run time
 * @free_millicores: free thousandths of a core of the worker
 * @capacity_millicores: all of them
 * @scarce: see lug_pack_is_scarce()
 *
 * Return: 0 to 1; largest for the emptiest worker, or for the fullest one while room is scarce.
 */
double lug_pack_score(gint64 free_millicores, gint64 capacity_millicores, gboolean scarce)
{
	double part = (double)free_millicores / (double)MAX(capacity_millicores, 1);

	return scarce ? 1 - part : part;
}
