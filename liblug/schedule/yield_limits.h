#ifndef LUG_SCHEDULE_YIELD_LIMITS_H
#define LUG_SCHEDULE_YIELD_LIMITS_H

#include <glib.h>

/* Parameters of urgency.c and yield.c; work is the expected run time that a job has left. */

/*
 * A task has slack when its job has time left beyond its work, at least this fraction of the work
 * plus a constant. Leaving SLACK has lower bounds than entering it.
 */
#define LUG_URGENCY_SLACK_ENTER_FRACTION 0.6
#define LUG_URGENCY_SLACK_ENTER_US (600 * 1000)
#define LUG_URGENCY_SLACK_LEAVE_FRACTION 0.4
#define LUG_URGENCY_SLACK_LEAVE_US (300 * 1000)
/*
 * A task is late when the time left is less than this fraction of the work: expected run times may
 * be too long. It is late no more when the time left is at least the second fraction.
 */
#define LUG_URGENCY_LATE_ENTER_FRACTION 0.8
#define LUG_URGENCY_LATE_LEAVE_FRACTION 1.0
/* Bound on each time in a message, so that sums can't overflow. */
#define LUG_URGENCY_TIME_MAX_MS (G_GINT64_CONSTANT(30) * 24 * 3600 * 1000)

/* Utilisation that yielding tasks leave free below a serving task's limit, beyond the margin. */
#define LUG_YIELD_MARGIN 0.06
/* Minimum expected speed, as a part of full speed, at which a yielding task starts. */
#define LUG_YIELD_START_SPEED 0.7
/* Yielding tasks stay halted until the serving task has been clear for this time. */
#define LUG_YIELD_RETURN_US (300 * 1000)
/* Largest share at which a halted task continues; the plan raises it with the next samples. */
#define LUG_YIELD_RETURN_SHARE 0.5
/*
 * A late task that has been at share 0 for the first time span counts as NORMAL for the second, so
 * that it makes progress on a worker whose serving tasks are always near their targets.
 */
#define LUG_YIELD_STOPPED_MAX_US (2500 * 1000)
#define LUG_YIELD_NORMAL_SPAN_US (1000 * 1000)

#endif
