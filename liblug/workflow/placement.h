#ifndef LUG_WORKFLOW_PLACEMENT_H
#define LUG_WORKFLOW_PLACEMENT_H

#include "workflow/fleet.h"
#include "workflow/workflow.h"

/**
 * struct lug_placement_request - a task that needs a worker
 * @step: its step
 * @size: what it takes of a worker's room
 * @service: pool of workers that may run it
 * @interference: learned interference
 * @least_speed: a task that fills rather waits than work at less than this part of its speed
 * @avoid: worker on which the task has failed, NULL for none; taken only at need
 * @on_worker: counts the tasks of the same step and occurrence on a worker
 * @data: passed to @on_worker
 */
struct lug_placement_request {
	const struct lug_step *step;
	struct lug_resources size;
	const char *service;
	const struct lug_interference *interference;
	double least_speed;
	const char *avoid;
	guint32 (*on_worker)(void *data, const char *worker);
	void *data;
};

gboolean lug_placement_eligible(const struct lug_placement_request *want,
				const struct lug_fleet_worker *worker, gint64 now_us);
struct lug_fleet_worker *lug_placement_choose(GPtrArray *workers,
					      const struct lug_placement_request *want, GRand *rng,
					      gint64 now_us);

#endif
