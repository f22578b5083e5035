#include "schedule/urgency.h"

#include "schedule/yield_limits.h"

/**
 * lug_urgency_set_times - set the times of a task whose job has an objective
 * @times: set
 * @due_in_ms: time to the objective, negative once it has passed
 * @expected_ms: expected run time of the whole task at full speed, 0 for not known
 * @following_ms: expected run time of the longest chain of steps after the task's step
 * @now_us: time at which @due_in_ms holds
 */
void lug_urgency_set_times(struct lug_urgency_times *times, gint64 due_in_ms, gint64 expected_ms,
			   gint64 following_ms, gint64 now_us)
{
	gint64 max_ms = LUG_URGENCY_TIME_MAX_MS;

	times->has_due = TRUE;
	times->due_us = now_us + CLAMP(due_in_ms, -max_ms, max_ms) * 1000;
	times->expected_us = CLAMP(expected_ms, 0, max_ms) * 1000;
	times->following_us = CLAMP(following_ms, 0, max_ms) * 1000;
}

/* Expected run time of the rest of the task and of the steps after it. */
static gint64 work_left_us(const struct lug_urgency_times *times, guint32 progress_percent)
{
	return times->expected_us / 100 * (100 - MIN(progress_percent, 100)) + times->following_us;
}

/**
 * lug_urgency_slack_us - time that a task's job has left beyond its work
 * @times: times of a task whose job has an objective
 * @progress_percent: progress of the task, in percent of its work
 * @now_us: current time
 *
 * Return: microseconds, negative when the objective is expected to be missed.
 */
gint64 lug_urgency_slack_us(const struct lug_urgency_times *times, guint32 progress_percent,
			    gint64 now_us)
{
	return times->due_us - now_us - work_left_us(times, progress_percent);
}

static gboolean is_late(double left_us, double work_us, enum lug_urgency previous)
{
	double fraction = previous == LUG_URGENCY_LATE ? LUG_URGENCY_LATE_LEAVE_FRACTION
						       : LUG_URGENCY_LATE_ENTER_FRACTION;

	return left_us <= 0 || left_us < work_us * fraction;
}

static gboolean has_slack(double left_us, double work_us, enum lug_urgency previous)
{
	if (previous == LUG_URGENCY_SLACK)
		return left_us - work_us >=
		       work_us * LUG_URGENCY_SLACK_LEAVE_FRACTION + LUG_URGENCY_SLACK_LEAVE_US;
	return left_us - work_us >=
	       work_us * LUG_URGENCY_SLACK_ENTER_FRACTION + LUG_URGENCY_SLACK_ENTER_US;
}

/**
 * lug_urgency - compute the urgency of a task
 * @times: times of the task
 * @progress_percent: progress of the task, in percent of its work
 * @previous: latest urgency, which is kept within the hysteresis
 * @now_us: current time
 *
 * Return: urgency; NORMAL without an objective, and instead of SLACK while the expected run time is
 * not known.
 */
enum lug_urgency lug_urgency(const struct lug_urgency_times *times, guint32 progress_percent,
			     enum lug_urgency previous, gint64 now_us)
{
	double left_us = (double)(times->due_us - now_us);
	double work_us = (double)work_left_us(times, progress_percent);

	if (!times->has_due)
		return LUG_URGENCY_NORMAL;
	if (is_late(left_us, work_us, previous))
		return LUG_URGENCY_LATE;
	if (times->expected_us > 0 && has_slack(left_us, work_us, previous))
		return LUG_URGENCY_SLACK;
	return LUG_URGENCY_NORMAL;
}
