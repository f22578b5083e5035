#ifndef LUG_WORKFLOW_WORKFLOW_H
#define LUG_WORKFLOW_WORKFLOW_H

#include "core/json.h"
#include "core/resources.h"

#define LUG_WORKFLOW_ID_MAX 64
#define LUG_WORKFLOW_STEPS_MAX 64
#define LUG_WORKFLOW_TASKS_MAX 4000
#define LUG_WORKFLOW_SPEC_MAX 16384

/**
 * struct lug_step - one step of a job
 * @count: tasks
 * @size: declared size of one task
 * @estimate_ms: declared run time of one task
 * @after: numbers of earlier steps whose tasks must all be done first
 * @n_after: how many
 * @checkpointing: tasks save their progress
 * @gang: tasks work only together
 * @same_rack: the tasks of a gang slow each other down across racks
 * @speculative: copies of a task may run side by side
 * @long_running: tasks run until the job is cancelled
 * @best_effort: the cores are not counted; the tasks use what others leave
 * @label: label that a worker must have, "" for any
 * @data_rack: label of the rack where the data lies, "" for none
 * @image: what the tasks run, the unit in which interference is learned
 * @spread: most tasks of one occurrence on one worker, 0 for no bound
 * @target_ms: bound on the tail latency of a task that lasts, 0 for none
 * @optional: tasks that may be away at once through the system's doing, -1 when not given
 */
struct lug_step {
	guint32 count;
	struct lug_resources size;
	gint64 estimate_ms;
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
	guint32 spread;
	gint64 target_ms;
	gint32 optional;
};

/**
 * struct lug_workflow - a job of steps as submitted
 * @id: id chosen by the submitter; two submissions of one id are one job
 * @queue: name of its queue
 * @spec: passed to the tasks unread
 * @steps: steps
 * @n_steps: how many
 * @occurrences: times that the steps run, 1 for a job without a schedule
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
void lug_workflow_free(struct lug_workflow *flow);
gboolean lug_workflow_check(const struct lug_workflow *flow, struct lug_error *err);
guint32 lug_workflow_tasks(const struct lug_workflow *flow);
char *lug_workflow_encode(const struct lug_workflow *flow);
struct lug_workflow *lug_workflow_decode(const char *id, JsonObject *row);
struct lug_workflow *lug_workflow_decode_text(const char *id, const char *text);
guint32 lug_workflow_shard(const char *id, guint32 shards);

#endif
