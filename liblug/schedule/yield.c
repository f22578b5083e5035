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
