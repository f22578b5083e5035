#ifndef LUG_TEAM_SHARE_H
#define LUG_TEAM_SHARE_H

#include "core/resources.h"

/**
 * struct lug_claimant - a team's queue that wants room on a worker
 * @share: part of the pool that its tasks hold, divided by its weight
 * @urgent: has urgent work waiting
 * @waited_us: wait of its oldest task
 * @smallest: smallest waiting task, member by member
 */
struct lug_claimant {
	double share;
	gboolean urgent;
	gint64 waited_us;
	struct lug_resources smallest;
};

gssize lug_share_pick(const struct lug_claimant *const *claimants, gsize n,
		      const struct lug_resources *room);
double lug_share_of(const struct lug_resources *use, const struct lug_resources *pool,
		    gint64 weight);

#endif
