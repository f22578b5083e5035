#ifndef LUG_FLOW_PLACE_H
#define LUG_FLOW_PLACE_H

#include "workflow/fleet.h"
#include "workflow/workflow.h"

/**
 * struct lug_place_want - a task that needs a worker
 * @step: its step
 * @size: what it takes of a worker's room
 * @service: pool of workers that may run it
 * @harm: learned interference
 * @least_speed: a task that fills rather waits than work at less than this part of its speed
 * @avoid: worker on which the task has failed, NULL for none; taken only at need
 * @on_worker: counts the tasks of the same step and occurrence on a worker
 * @data: passed to @on_worker
 */
struct lug_place_want {
	const struct lug_step *step;
	struct lug_resources size;
	const char *service;
	const struct lug_harm *harm;
	double least_speed;
	const char *avoid;
	guint32 (*on_worker)(void *data, const char *worker);
	void *data;
};

gboolean lug_place_may(const struct lug_place_want *want, const struct lug_fleet_worker *worker,
		       gint64 now_us);
struct lug_fleet_worker *lug_place_choose(GPtrArray *workers, const struct lug_place_want *want,
					  GRand *rng, gint64 now_us);

#endif
