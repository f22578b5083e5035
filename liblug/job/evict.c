#include "job/runner_priv.h"

#define URGENT_EVICT_INTERVAL_US (1000 * 1000)

/* Evicts or throttles batch tasks, for urgent tasks or to protect the service. */

static struct lug_attempt *last_started_evictable(struct lug_runner *runner)
{
	struct lug_attempt *best = NULL;

	LUG_LIST_FOREACH (&runner->attempts, pos) {
		struct lug_attempt *attempt = LUG_CONTAINER_OF(pos, struct lug_attempt, node);

		if (attempt->state != LUG_ATTEMPT_RUNNING || attempt->urgent)
			continue;
		if (!best || attempt->started_us > best->started_us)
			best = attempt;
	}
	return best;
}

static struct lug_resources room_after_pending_stops(struct lug_runner *runner)
{
	struct lug_resources room = lug_reserve_room(&runner->reserve);

	LUG_LIST_FOREACH (&runner->attempts, pos) {
		struct lug_attempt *attempt = LUG_CONTAINER_OF(pos, struct lug_attempt, node);

		if (attempt->state == LUG_ATTEMPT_STOPPING)
			lug_resources_add(&room, &attempt->size);
	}
	return room;
}

/**
 * lug_runner_evict_for_urgent - evict tasks until an urgent task fits or none is left to evict
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
	struct lug_resources room = room_after_pending_stops(runner);

	if (now_us - runner->last_evict_us < URGENT_EVICT_INTERVAL_US)
		return;
	while (!lug_resources_fit(need, &room)) {
		struct lug_attempt *attempt = last_started_evictable(runner);

		if (!attempt)
			return;
		runner->last_evict_us = now_us;
		lug_resources_add(&room, &attempt->size);
		attempt->stop_with_checkpoint = TRUE;
		worker_stop(runner, attempt, now_us);
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
	struct lug_attempt *attempt = last_started_evictable(runner);

	if (!attempt)
		return;
	attempt->stop_with_checkpoint = TRUE;
	worker_stop(runner, attempt, now_us);
}

/**
 * lug_runner_set_throttle - set the share of their cores that batch tasks may use
 * @runner: runner
 * @throttle_percent: percent of their cores that batch tasks may use
 */
void lug_runner_set_throttle(struct lug_runner *runner, gint64 throttle_percent)
{
	runner->throttle_percent = throttle_percent;
	worker_throttle(runner, throttle_percent);
}
