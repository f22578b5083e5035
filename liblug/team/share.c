#include "team/share.h"

/* Weight used in place of 0, so that a team without weight still runs when all else is idle. */
#define WEIGHT_NONE 0.01
/* Shares closer than this count as equal. */
#define SHARE_EPSILON 1e-6

static gboolean before(const struct lug_claimant *a, const struct lug_claimant *b)
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
 * lug_share_pick - choose whose task gets free room
 * @claimants: queues that want room
 * @n: how many
 * @room: free room of the worker
 *
 * Urgent work goes first, then the queue whose weighted share is least, then the one
 * that has waited longest.
 *
 * Return: index, or -1 when nobody's smallest task fits.
 */
gssize lug_share_pick(const struct lug_claimant *const *claimants, gsize n,
		      const struct lug_resources *room)
{
	gssize best = -1;

	for (gsize i = 0; i < n; i++) {
		if (!lug_resources_fit(&claimants[i]->smallest, room))
			continue;
		if (best < 0 || before(claimants[i], claimants[best]))
			best = (gssize)i;
	}
	return best;
}

/**
 * lug_share_of - dominant share of a pool divided by a weight
 * @use: what the team holds
 * @pool: the whole pool
 * @weight: weight of the team, percent
 */
double lug_share_of(const struct lug_resources *use, const struct lug_resources *pool,
		    gint64 weight)
{
	double share = 0;

	if (pool->millicores)
		share = MAX(share, (double)use->millicores / (double)pool->millicores);
	if (pool->memory)
		share = MAX(share, (double)use->memory / (double)pool->memory);
	if (pool->accelerators)
		share = MAX(share, (double)use->accelerators / (double)pool->accelerators);
	return share / (weight ? (double)weight : WEIGHT_NONE);
}
