#ifndef LUG_TEAM_SHARE_H
#define LUG_TEAM_SHARE_H

#include "core/resources.h"

/**
 * struct lug_want - want of a queue for room on a worker
 * @share: weighted share of its team, see lug_share_weighted()
 * @urgent: an urgent task is waiting
 * @waited_us: time that its oldest task has waited, microseconds
 * @smallest: least of each resource over its waiting tasks
 */
struct lug_want {
	double share;
	gboolean urgent;
	gint64 waited_us;
	struct lug_resources smallest;
};

gssize lug_share_pick(const struct lug_want *const *wants, gsize n,
		      const struct lug_resources *room);
double lug_share_weighted(const struct lug_resources *use, const struct lug_resources *capacity,
			  gint64 weight);

#endif
