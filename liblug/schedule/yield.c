#include "schedule/yield.h"

#include "schedule/yield_limits.h"

/**
 * lug_yield_is_yielding - whether tasks of an urgency yield to serving tasks
 * @urgency: urgency
 */
gboolean lug_yield_is_yielding(enum lug_urgency urgency)
{
	return urgency != LUG_URGENCY_NORMAL;
}

/*
 * Time for which a late task that does not run counts as NORMAL from now on, 0 if it is LATE. The
 * spans follow from the times alone, so that its owner and the agent that it asks agree.
 */
static gint64 normal_span_left_us(const struct lug_urgency_times *times, guint32 progress_percent,
				  gint64 now_us)
{
	gint64 late_us = MAX(-lug_urgency_slack_us(times, progress_percent, now_us), 0);
	gint64 in_cycle_us = late_us % (LUG_YIELD_STOPPED_MAX_US + LUG_YIELD_NORMAL_SPAN_US);

	if (in_cycle_us < LUG_YIELD_STOPPED_MAX_US)
		return 0;
	return LUG_YIELD_STOPPED_MAX_US + LUG_YIELD_NORMAL_SPAN_US - in_cycle_us;
}

/**
 * lug_yield_init_task - compute the urgency of a task that waits or that an agent begins to hold
 * @task: set
 * @times: times of the task
 * @progress_percent: its progress, in percent of its work
 * @now_us: current time
 *
 * A late task that waits for a worker counts as NORMAL from time to time, like one at share 0.
 */
void lug_yield_init_task(struct lug_yield_task *task, const struct lug_urgency_times *times,
			 guint32 progress_percent, gint64 now_us)
{
	gint64 normal_us = 0;

	*task = (struct lug_yield_task){.times = *times};
	task->urgency = lug_urgency(times, progress_percent, LUG_URGENCY_NORMAL, now_us);
	task->effective = task->urgency;
	if (task->urgency == LUG_URGENCY_LATE)
		normal_us = normal_span_left_us(times, progress_percent, now_us);
	if (!normal_us)
		return;
	task->normal_until_us = now_us + normal_us;
	task->effective = LUG_URGENCY_NORMAL;
}

/* Whether a late task counts as NORMAL, so that it does not starve. */
static gboolean is_kept_from_starving(struct lug_yield_task *task, gboolean stopped, gint64 now_us)
{
	if (now_us < task->normal_until_us)
		return TRUE;
	if (!stopped) {
		task->stopped_since_us = 0;
		return FALSE;
	}
	if (!task->stopped_since_us)
		task->stopped_since_us = now_us;
	if (now_us - task->stopped_since_us < LUG_YIELD_STOPPED_MAX_US)
		return FALSE;
	task->stopped_since_us = 0;
	task->normal_until_us = now_us + LUG_YIELD_NORMAL_SPAN_US;
	return TRUE;
}

/**
 * lug_yield_update_task - compute the urgency of a running task anew
 * @task: task, updated
 * @progress_percent: its progress, in percent of its work
 * @stopped: its share is 0
 * @now_us: current time
 */
void lug_yield_update_task(struct lug_yield_task *task, guint32 progress_percent, gboolean stopped,
			   gint64 now_us)
{
	task->urgency = lug_urgency(&task->times, progress_percent, task->urgency, now_us);
	task->effective = task->urgency;
	if (task->urgency != LUG_URGENCY_LATE) {
		task->stopped_since_us = 0;
		return;
	}
	if (is_kept_from_starving(task, stopped, now_us))
		task->effective = LUG_URGENCY_NORMAL;
}

/**
 * lug_yield_update_serving - decide whether the yielding tasks beside a serving task are halted
 * @serving: serving task, updated
 * @over_target: its tail latency is above its target
 * @overloaded_alone: its own load alone explains that
 * @now_us: current time
 *
 * Return: TRUE while they are halted, from the first sample in which they put it over its target
 * until they have not done so for LUG_YIELD_RETURN_US.
 */
gboolean lug_yield_update_serving(struct lug_yield_serving *serving, gboolean over_target,
				  gboolean overloaded_alone, gint64 now_us)
{
	if (over_target && !overloaded_alone) {
		serving->halting = TRUE;
		serving->clear_since_us = 0;
		return TRUE;
	}
	if (!serving->halting)
		return FALSE;
	if (!serving->clear_since_us)
		serving->clear_since_us = now_us;
	serving->halting = now_us - serving->clear_since_us < LUG_YIELD_RETURN_US;
	return serving->halting;
}

/**
 * lug_yield_start_speed - minimum expected speed at which a best-effort task starts
 * @urgency: urgency of the task
 * @normal_speed: minimum for NORMAL tasks, as a part of full speed
 */
double lug_yield_start_speed(enum lug_urgency urgency, double normal_speed)
{
	return lug_yield_is_yielding(urgency) ? MAX(normal_speed, LUG_YIELD_START_SPEED)
					      : normal_speed;
}
