#include "job/runner_priv.h"

#define EVICT_INTERVAL_MIN_US (1000 * 1000)

/* Evicts or throttles batch tasks, for urgent tasks or to protect the service. */

static struct lug_run *last_started(struct lug_runner *runner)
{
	struct lug_run *best = NULL;

	LUG_LIST_FOREACH (&runner->runs, pos) {
		struct lug_run *run = LUG_CONTAINER_OF(pos, struct lug_run, node);

		if (run->state != LUG_RUN_RUNNING || run->urgent)
			continue;
		if (!best || run->started_us > best->started_us)
			best = run;
	}
	return best;
}

static struct lug_resources room_after_stops(struct lug_runner *runner)
{
	struct lug_resources room = lug_reserve_room(&runner->reserve);

	LUG_LIST_FOREACH (&runner->runs, pos) {
		struct lug_run *run = LUG_CONTAINER_OF(pos, struct lug_run, node);

		if (run->state == LUG_RUN_STOPPING)
			lug_resources_add(&room, &run->size);
	}
	return room;
}

/**
 * lug_runner_evict_for_urgent - evict tasks until an urgent task fits
 * @runner: runner
 * @need: resources of the urgent task
 * @now_us: current time, microseconds
 *
 * The tasks that started last are evicted first, as they lose the least work. Each is
 * checkpointed. Room of tasks that are already stopping counts as free.
 */
void lug_runner_evict_for_urgent(struct lug_runner *runner, const struct lug_resources *need,
				 gint64 now_us)
{
	struct lug_resources room = room_after_stops(runner);

	if (now_us - runner->last_evict_us < EVICT_INTERVAL_MIN_US)
		return;
	while (!lug_resources_fit(need, &room)) {
		struct lug_run *run = last_started(runner);

		if (!run)
			return;
		runner->last_evict_us = now_us;
		lug_resources_add(&room, &run->size);
		run->stop_with_checkpoint = TRUE;
		worker_stop(runner, run, now_us);
	}
}

/**
 * lug_runner_evict_one - evict the task that started last, to protect the service
 * @runner: runner
 * @now_us: current time, microseconds
 *
 * The task is checkpointed. Urgent tasks are not evicted.
 */
void lug_runner_evict_one(struct lug_runner *runner, gint64 now_us)
{
	struct lug_run *run = last_started(runner);

	if (!run)
		return;
	run->stop_with_checkpoint = TRUE;
	worker_stop(runner, run, now_us);
}

/**
 * lug_runner_throttle - throttle batch tasks
 * @runner: runner
 * @percent: percent of their cores that batch tasks may use
 */
void lug_runner_throttle(struct lug_runner *runner, gint64 percent)
{
	runner->throttle_percent = percent;
	worker_throttle(runner, percent);
}
