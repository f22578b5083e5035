#ifndef LUG_WORKFLOW_PLACEMENT_H
#define LUG_WORKFLOW_PLACEMENT_H

#include "workflow/fleet.h"
#include "workflow/workflow.h"

/**
 * struct lug_placement_request - a task to place
 * @step: its step
 * @size: resources that it takes from the worker's room
 * @service: service whose workers may run it
 * @interference: learned interference
 * @min_speed: a best-effort task stays queued when no worker lets it run at this part of its
 * full speed
 * @yields: the task yields to serving tasks, see schedule/yield.h
 * @moving: the task runs elsewhere; @min_speed allows for the speed of the worker too
 * @nominal_only: only workers known to run at nominal speed are considered
 * @excluded_worker: worker that is excluded because the task has failed there, NULL for none
 * @isolate: the task is suspected to crash its workers
 * @evacuation: evacuated zones, whose workers are excluded; may be NULL
 * @holder: see lug_reservation_holder(), 0 without look-ahead placement
 * @promised_ms: time within which its run will almost surely end, in ms, 0 for not known
 * @pack: prefer the fullest worker, so that large gaps stay whole
 * @job: id of its job
 * @count_on_worker: counts the tasks of the same step and occurrence on a worker
 * @data: passed to @count_on_worker
 */
struct lug_placement_request {
	const struct lug_step *step;
	struct lug_resources size;
	const char *service;
	const struct lug_interference *interference;
	double min_speed;
	gboolean yields;
	gboolean moving;
	gboolean nominal_only;
	const char *excluded_worker;
	gboolean isolate;
	const struct lug_evacuation *evacuation;
	guint64 holder;
	gint64 promised_ms;
	gboolean pack;
	const char *job;
	guint32 (*count_on_worker)(void *data, const char *worker);
	void *data;
};

gboolean lug_placement_is_suitable(const struct lug_placement_request *request,
				   const struct lug_fleet_worker *worker, gint64 now_us);
gboolean lug_placement_is_eligible(const struct lug_placement_request *request,
				   const struct lug_fleet_worker *worker, gint64 now_us);
struct lug_fleet_worker *lug_placement_choose(GPtrArray *workers,
					      const struct lug_placement_request *request,
					      GRand *rng, gint64 now_us);

#endif
