#include "job/runner_priv.h"

#define EVICT_PAUSE_US (1000 * 1000)

/* Gives up room of batch tasks, for urgent work or for the service's sake. */

static struct lug_run *least_lost(struct lug_runner *runner)
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
 * lug_runner_evict_for - make room for urgent work
 * @runner: runner
 * @need: room that is needed
 * @now_us: present time
 *
 * Tasks that started last go first; each is checkpointed.
 */
void lug_runner_evict_for(struct lug_runner *runner, const struct lug_resources *need,
			  gint64 now_us)
{
	struct lug_resources room = room_after_stops(runner);

	if (now_us - runner->evicted_us < EVICT_PAUSE_US)
		return;
	while (!lug_resources_fit(need, &room)) {
		struct lug_run *run = least_lost(runner);

		if (!run)
			return;
		runner->evicted_us = now_us;
		lug_resources_add(&room, &run->size);
		run->want_checkpoint = TRUE;
		worker_stop(runner, run, now_us);
	}
}

/**
 * lug_runner_evict_one - give up one task for the service's sake
 */
void lug_runner_evict_one(struct lug_runner *runner, gint64 now_us)
{
	struct lug_run *run = least_lost(runner);

	if (!run)
		return;
	run->want_checkpoint = TRUE;
	worker_stop(runner, run, now_us);
}

/**
 * lug_runner_throttle - limit the cores of batch tasks
 * @runner: runner
 * @percent: part of their cores
 */
void lug_runner_throttle(struct lug_runner *runner, gint64 percent)
{
	runner->throttle = percent;
	worker_throttle(runner, percent);
}
