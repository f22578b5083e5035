#include "team/share.h"

/* Used for a weight of 0, so that the team can still use room that no other team wants. */
#define WEIGHT_ZERO_SUBSTITUTE 0.01
/* Shares that differ by less count as equal. */
#define SHARE_EPSILON 1e-6

static gboolean precedes(const struct lug_want *a, const struct lug_want *b)
{
	if (a->urgent != b->urgent)
		return a->urgent;
	if (a->share < b->share - SHARE_EPSILON)
		return TRUE;
	if (a->share > b->share + SHARE_EPSILON)
		return FALSE;
	return a->waited_us > b->waited_us;
}

/**
 * lug_share_pick - choose the queue that gets free room
 * @wants: wants, one per queue
 * @n: length of @wants
 * @room: free room of the worker
 *
 * Queues with urgent tasks come first, then the queue with the least weighted share, then
 * the one that has waited longest.
 *
 * Return: index, or -1 when no queue's smallest task fits.
 */
gssize lug_share_pick(const struct lug_want *const *wants, gsize n,
		      const struct lug_resources *room)
{
	gssize best = -1;

	for (gsize i = 0; i < n; i++) {
		if (!lug_resources_fit(&wants[i]->smallest, room))
			continue;
		if (best < 0 || precedes(wants[i], wants[best]))
			best = (gssize)i;
	}
	return best;
}

/**
 * lug_share_weighted - weighted dominant share of a team
 * @use: resources that the team's tasks hold
 * @capacity: all resources for batch tasks
 * @weight: weight of the team, percent
 *
 * The dominant share is the greatest share over all kinds of resources.
 *
 * Return: the dominant share divided by the weight.
 */
double lug_share_weighted(const struct lug_resources *use, const struct lug_resources *capacity,
			  gint64 weight)
{
	double share = 0;

	if (capacity->millicores)
		share = MAX(share, (double)use->millicores / (double)capacity->millicores);
	if (capacity->memory_bytes)
		share = MAX(share, (double)use->memory_bytes / (double)capacity->memory_bytes);
	if (capacity->accelerators)
		share = MAX(share, (double)use->accelerators / (double)capacity->accelerators);
	return share / (weight ? (double)weight : WEIGHT_ZERO_SUBSTITUTE);
}
