#ifndef LUG_WORKFLOW_WORKFLOW_H
#define LUG_WORKFLOW_WORKFLOW_H

#include "core/json.h"
#include "core/resources.h"

/* Length in bytes, without the terminating NUL. */
#define LUG_WORKFLOW_ID_MAX 64
#define LUG_WORKFLOW_STEPS_MAX 64
#define LUG_WORKFLOW_TASKS_MAX 4000
#define LUG_WORKFLOW_SPEC_MAX_BYTES 16384

/**
 * struct lug_step - one step of a job
 * @count: number of tasks
 * @size: declared size of one task
 * @declared_ms: declared run time of one task
 * @after: numbers of the earlier steps that must be done before this one starts
 * @n_after: number of @after
 * @checkpointing: tasks save their progress
 * @gang: tasks must run at the same time
 * @same_rack: tasks of the gang run slower when spread over several racks; declared by the
 * submitter, stored only
 * @speculative: copies of a task may run at the same time
 * @long_running: tasks run until the job is cancelled
 * @best_effort: cores aren't reserved; the tasks use spare cores
 * @label: label that a worker must have, "" for any
 * @data_rack: label of the rack that holds the data, "" for none
 * @image: image of the tasks, by which interference is learned
 * @max_per_worker: maximum number of tasks of one occurrence on one worker, 0 for no bound
 * @target_ms: target for the tail latency of a serving task, 0 for none
 * @max_unavailable: number of tasks that the system may stop at the same time, -1 when not given
 */
struct lug_step {
	guint32 count;
	struct lug_resources size;
	gint64 declared_ms;
	guint32 *after;
	guint32 n_after;
	gboolean checkpointing;
	gboolean gang;
	gboolean same_rack;
	gboolean speculative;
	gboolean long_running;
	gboolean best_effort;
	char *label;
	char *data_rack;
	char *image;
	guint32 max_per_worker;
	gint64 target_ms;
	gint32 max_unavailable;
};

/**
 * struct lug_workflow - a job of steps as submitted; comments and logs call it a job
 * @id: id chosen by the submitter; submissions with the same id are one job
 * @queue: name of its queue
 * @spec: passed to the tasks uninterpreted
 * @steps: steps
 * @n_steps: number of @steps
 * @occurrences: how often the steps run, 1 for a job without a schedule
 * @scheduled: occurrences are due at fixed times
 * @start_at_ms: wall time at which the first occurrence is due
 * @interval_ms: time between occurrences
 * @accepted_ms: wall time of the acceptance
 */
struct lug_workflow {
	char *id;
	char *queue;
	char *spec;
	struct lug_step *steps;
	guint32 n_steps;
	guint32 occurrences;
	gboolean scheduled;
	gint64 start_at_ms;
	gint64 interval_ms;
	gint64 accepted_ms;
};

struct lug_workflow *lug_workflow_new(const char *id, const char *queue, const char *spec,
				      guint n_steps);
void lug_workflow_free(struct lug_workflow *workflow);
gboolean lug_workflow_check(const struct lug_workflow *workflow, struct lug_error *err);
guint32 lug_workflow_task_count(const struct lug_workflow *workflow);
char *lug_workflow_encode(const struct lug_workflow *workflow);
struct lug_workflow *lug_workflow_decode(const char *id, JsonObject *row);
struct lug_workflow *lug_workflow_decode_text(const char *id, const char *text);
guint32 lug_workflow_shard(const char *id, guint32 shards);

#endif
