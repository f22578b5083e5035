#ifndef LUG_WORKFLOW_RUN_H
#define LUG_WORKFLOW_RUN_H

#include "workflow/workflow.h"
#include "wire/inner.pb-c.h"

/**
 * struct lug_run_id - identifies one run of a task
 * @job: id of the job
 * @occurrence: occurrence of the job's schedule, 0 without one
 * @step: step
 * @index: task within the step
 * @run: number of the run, from 1
 */
struct lug_run_id {
	char job[LUG_WORKFLOW_ID_MAX + 1];
	guint32 occurrence;
	guint32 step;
	guint32 index;
	guint32 run;
};

/*
 * Size of a buffer for the name of a run, with the terminating NUL: the id of the job, four numbers
 * and four separators.
 */
#define LUG_RUN_NAME_SIZE (LUG_WORKFLOW_ID_MAX + 40)

/**
 * enum lug_run_outcome - how a run ended
 * @LUG_RUN_DONE: the task is done
 * @LUG_RUN_FAILED: the task or its worker failed
 * @LUG_RUN_STOPPED: the scheduler stopped it
 * @LUG_RUN_LEASE_EXPIRED: the lease of its worker expired
 * @LUG_RUN_GANG_ENDED: another member of its gang ended
 * @LUG_RUN_GANG_INCOMPLETE: the other members of its gang didn't start in time
 * @LUG_RUN_WORKER_CRASHED: its worker crashed; told by the agent, never by a worker
 */
enum lug_run_outcome {
	LUG_RUN_DONE = 1,
	LUG_RUN_FAILED,
	LUG_RUN_STOPPED,
	LUG_RUN_LEASE_EXPIRED,
	LUG_RUN_GANG_ENDED,
	LUG_RUN_GANG_INCOMPLETE,
	LUG_RUN_WORKER_CRASHED,
};

const char *lug_run_outcome_name(enum lug_run_outcome outcome);
void lug_run_name(const struct lug_run_id *id, char *out, gsize size);
gboolean lug_run_equal(const struct lug_run_id *a, const struct lug_run_id *b);
gint lug_run_compare(const struct lug_run_id *a, const struct lug_run_id *b);
guint lug_run_hash(gconstpointer id);
gboolean lug_run_hash_equal(gconstpointer a, gconstpointer b);
gboolean lug_run_from_wire(const Lug__RunId *wire, struct lug_run_id *out);
void lug_run_to_wire(const struct lug_run_id *id, Lug__RunId *wire);
void lug_resources_from_wire(const Lug__Resources *wire, struct lug_resources *out);
void lug_resources_to_wire(const struct lug_resources *size, Lug__Resources *wire);

#endif
