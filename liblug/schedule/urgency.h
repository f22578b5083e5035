#ifndef LUG_SCHEDULE_URGENCY_H
#define LUG_SCHEDULE_URGENCY_H

#include <glib.h>

/**
 * enum lug_urgency - urgency of a task, by the time that its job has left to its objective
 * @LUG_URGENCY_NORMAL: little time to spare, or not known
 * @LUG_URGENCY_SLACK: time to spare
 * @LUG_URGENCY_LATE: the objective is missed whatever happens
 */
enum lug_urgency {
	LUG_URGENCY_NORMAL,
	LUG_URGENCY_SLACK,
	LUG_URGENCY_LATE,
};

/**
 * struct lug_urgency_times - times that determine the urgency of a task
 * @has_due: the job has an objective
 * @due_us: time of the objective
 * @expected_us: expected run time of the whole task at full speed, 0 for not known
 * @following_us: expected run time of the longest chain of steps after the task's step
 */
struct lug_urgency_times {
	gboolean has_due;
	gint64 due_us;
	gint64 expected_us;
	gint64 following_us;
};

void lug_urgency_set_times(struct lug_urgency_times *times, gint64 due_in_ms, gint64 expected_ms,
			   gint64 following_ms, gint64 now_us);
gint64 lug_urgency_slack_us(const struct lug_urgency_times *times, guint32 progress_percent,
			    gint64 now_us);
enum lug_urgency lug_urgency(const struct lug_urgency_times *times, guint32 progress_percent,
			     enum lug_urgency previous, gint64 now_us);

#endif
