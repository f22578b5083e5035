#ifndef LUG_SCHEDULE_YIELD_H
#define LUG_SCHEDULE_YIELD_H

#include "schedule/urgency.h"

/**
 * struct lug_yield_task - whether a best-effort task yields to serving tasks
 * @times: times of its job
 * @urgency: urgency by these times
 * @effective: urgency by which it is planned: NORMAL instead of LATE while it is kept from starving
 * @stopped_since_us: time since which it has been at share 0 while LATE, 0 while it is not
 * @normal_until_us: time until which it counts as NORMAL instead of LATE
 */
struct lug_yield_task {
	struct lug_urgency_times times;
	enum lug_urgency urgency;
	enum lug_urgency effective;
	gint64 stopped_since_us;
	gint64 normal_until_us;
};

/**
 * struct lug_yield_serving - whether the yielding tasks beside a serving task are halted for it
 * @halting: they are
 * @clear_since_us: time since which they have not put it over its target, 0 while they do
 */
struct lug_yield_serving {
	gboolean halting;
	gint64 clear_since_us;
};

gboolean lug_yield_is_yielding(enum lug_urgency urgency);
void lug_yield_init_task(struct lug_yield_task *task, const struct lug_urgency_times *times,
			 guint32 progress_percent, gint64 now_us);
void lug_yield_update_task(struct lug_yield_task *task, guint32 progress_percent, gboolean stopped,
			   gint64 now_us);
gboolean lug_yield_update_serving(struct lug_yield_serving *serving, gboolean over_target,
				  gboolean overloaded_alone, gint64 now_us);
double lug_yield_start_speed(enum lug_urgency urgency, double normal_speed);

#endif
