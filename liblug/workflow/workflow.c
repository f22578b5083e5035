#include "workflow/workflow.h"

#include <string.h>

#define ESTIMATE_MAX_MS (7LL * 24 * 3600 * 1000)
#define MILLICORES_MAX (1024LL * 1000)
#define MEMORY_MAX_BYTES (1LL << 50)
#define OCCURRENCES_MAX 1000000
#define INTERVAL_MAX_MS (366LL * 24 * 3600 * 1000)
/* Milliseconds since 1970; leaves room for the sum of all intervals. */
#define START_MAX_MS (1LL << 53)

/**
 * lug_workflow_new - create a job with empty steps
 * @id: id
 * @queue: name of the queue
 * @spec: passed to the tasks uninterpreted
 * @n_steps: number of steps
 *
 * Return: job, owned by the caller.
 */
struct lug_workflow *lug_workflow_new(const char *id, const char *queue, const char *spec,
				      guint n_steps)
{
	struct lug_workflow *workflow = g_new0(struct lug_workflow, 1);

	workflow->id = g_strdup(id);
	workflow->queue = g_strdup(queue);
	workflow->spec = g_strdup(spec);
	workflow->n_steps = n_steps;
	workflow->steps = g_new0(struct lug_step, n_steps + 1);
	workflow->occurrences = 1;
	for (guint i = 0; i < n_steps; i++)
		workflow->steps[i].max_unavailable = -1;
	return workflow;
}

/**
 * lug_workflow_free - release a job
 * @workflow: may be NULL
 */
void lug_workflow_free(struct lug_workflow *workflow)
{
	if (!workflow)
		return;
	for (guint i = 0; i < workflow->n_steps; i++) {
		g_free(workflow->steps[i].after);
		g_free(workflow->steps[i].label);
		g_free(workflow->steps[i].data_rack);
		g_free(workflow->steps[i].image);
	}
	g_free(workflow->steps);
	g_free(workflow->id);
	g_free(workflow->queue);
	g_free(workflow->spec);
	g_free(workflow);
}

static gboolean check_step(const struct lug_workflow *workflow, guint32 i, struct lug_error *err)
{
	const struct lug_step *step = &workflow->steps[i];

	if (!step->count || step->count > LUG_WORKFLOW_TASKS_MAX) {
		lug_fail(err, LUG_BAD_INPUT, "give each step between 1 and 4000 tasks",
			 "step %u has %u tasks", i, step->count);
		return FALSE;
	}
	if (step->size.millicores < 0 || step->size.millicores > MILLICORES_MAX ||
	    step->size.memory_bytes < 0 || step->size.memory_bytes > MEMORY_MAX_BYTES ||
	    step->size.accelerators < 0 || step->size.accelerators > 1024) {
		lug_fail(err, LUG_BAD_INPUT, "declare the size of one task",
			 "step %u has a size out of range", i);
		return FALSE;
	}
	if (step->declared_ms < 0 || step->declared_ms > ESTIMATE_MAX_MS) {
		lug_fail(err, LUG_BAD_INPUT, "declare a run time of at most seven days",
			 "step %u has a run time out of range", i);
		return FALSE;
	}
	if (step->target_ms < 0 || step->target_ms > ESTIMATE_MAX_MS) {
		lug_fail(err, LUG_BAD_INPUT, "give a target of at most seven days",
			 "step %u has a target out of range", i);
		return FALSE;
	}
	for (guint32 k = 0; k < step->n_after; k++) {
		if (step->after[k] < i)
			continue;
		lug_fail(err, LUG_BAD_INPUT, "let a step come after earlier steps only",
			 "step %u comes after step %u", i, step->after[k]);
		return FALSE;
	}
	return TRUE;
}

/**
 * lug_workflow_check - check that the values of a job are within their bounds
 * @workflow: job
 * @err: names the first value out of bounds
 *
 * Return: FALSE, with @err set, when a value is out of bounds.
 */
gboolean lug_workflow_check(const struct lug_workflow *workflow, struct lug_error *err)
{
	if (!*workflow->id || strlen(workflow->id) > LUG_WORKFLOW_ID_MAX) {
		lug_fail(err, LUG_BAD_INPUT, "choose an id of 1 to 64 characters", "bad job id");
		return FALSE;
	}
	if (strlen(workflow->spec) > LUG_WORKFLOW_SPEC_MAX_BYTES) {
		lug_fail(err, LUG_TOO_LARGE, "shorten it", "the spec is over %d bytes",
			 LUG_WORKFLOW_SPEC_MAX_BYTES);
		return FALSE;
	}
	if (!workflow->n_steps || workflow->n_steps > LUG_WORKFLOW_STEPS_MAX) {
		lug_fail(err, LUG_BAD_INPUT, "give the job between 1 and 64 steps",
			 "the job has %u steps", workflow->n_steps);
		return FALSE;
	}
	if (!workflow->occurrences || workflow->occurrences > OCCURRENCES_MAX ||
	    workflow->interval_ms < 0 || workflow->interval_ms > INTERVAL_MAX_MS ||
	    workflow->start_at_ms < 0 || workflow->start_at_ms > START_MAX_MS) {
		lug_fail(err, LUG_BAD_INPUT,
			 "give 1 to 1000000 runs, a time from 1970 on and an interval of at most a "
			 "year",
			 "the schedule is out of range");
		return FALSE;
	}
	for (guint32 i = 0; i < workflow->n_steps; i++)
		if (!check_step(workflow, i, err))
			return FALSE;
	if (lug_workflow_task_count(workflow) > LUG_WORKFLOW_TASKS_MAX) {
		lug_fail(err, LUG_TOO_LARGE, "split the job", "the job has over %d tasks",
			 LUG_WORKFLOW_TASKS_MAX);
		return FALSE;
	}
	return TRUE;
}

/**
 * lug_workflow_task_count - number of tasks of one occurrence
 * @workflow: job
 */
guint32 lug_workflow_task_count(const struct lug_workflow *workflow)
{
	guint32 n = 0;

	/* The bound keeps the sum of unchecked counts from overflowing. */
	for (guint32 i = 0; i < workflow->n_steps; i++)
		n += MIN(workflow->steps[i].count, LUG_WORKFLOW_TASKS_MAX + 1);
	return n;
}

static void put_text(JsonObject *obj, const char *key, const char *text)
{
	if (text && *text)
		json_object_set_string_member(obj, key, text);
}

static void put_int(JsonObject *obj, const char *key, gint64 value)
{
	if (value)
		json_object_set_int_member(obj, key, value);
}

static JsonObject *encode_step(const struct lug_step *step)
{
	JsonObject *obj = json_object_new();

	put_int(obj, "count", step->count);
	put_int(obj, "millicores", step->size.millicores);
	put_int(obj, "memory", step->size.memory_bytes);
	put_int(obj, "accelerators", step->size.accelerators);
	put_int(obj, "estimate_ms", step->declared_ms);
	put_int(obj, "checkpointing", step->checkpointing);
	put_int(obj, "gang", step->gang);
	put_int(obj, "same_rack", step->same_rack);
	put_int(obj, "speculative", step->speculative);
	put_int(obj, "lasting", step->long_running);
	put_int(obj, "fills", step->best_effort);
	put_int(obj, "spread", step->max_per_worker);
	put_int(obj, "target_ms", step->target_ms);
	if (step->max_unavailable >= 0)
		json_object_set_int_member(obj, "optional", step->max_unavailable);
	put_text(obj, "label", step->label);
	put_text(obj, "data_rack", step->data_rack);
	put_text(obj, "image", step->image);
	if (step->n_after) {
		JsonArray *after = json_array_new();

		for (guint32 i = 0; i < step->n_after; i++)
			json_array_add_int_element(after, step->after[i]);
		json_object_set_array_member(obj, "after", after);
	}
	return obj;
}

/**
 * lug_workflow_encode - encode a job as the text of its row
 * @workflow: job
 *
 * Return: one JSON object, owned by the caller.
 */
char *lug_workflow_encode(const struct lug_workflow *workflow)
{
	JsonObject *obj = json_object_new();
	JsonArray *steps = json_array_new();
	char *text;

	json_object_set_string_member(obj, "queue", workflow->queue);
	json_object_set_string_member(obj, "spec", workflow->spec);
	put_int(obj, "occurrences", workflow->occurrences);
	put_int(obj, "scheduled", workflow->scheduled);
	put_int(obj, "start_at_ms", workflow->start_at_ms);
	put_int(obj, "interval_ms", workflow->interval_ms);
	put_int(obj, "accepted_ms", workflow->accepted_ms);
	for (guint32 i = 0; i < workflow->n_steps; i++)
		json_array_add_object_element(steps, encode_step(&workflow->steps[i]));
	json_object_set_array_member(obj, "steps", steps);
	text = lug_json_text(obj);
	json_object_unref(obj);
	return text;
}

static void decode_step(JsonObject *obj, struct lug_step *step)
{
	JsonArray *after = lug_json_arr(obj, "after");

	step->count = (guint32)CLAMP(lug_json_int(obj, "count", 0), 0, G_MAXINT32);
	step->size.millicores = lug_json_int(obj, "millicores", 0);
	step->size.memory_bytes = lug_json_int(obj, "memory", 0);
	step->size.accelerators = lug_json_int(obj, "accelerators", 0);
	step->declared_ms = lug_json_int(obj, "estimate_ms", 0);
	step->checkpointing = lug_json_int(obj, "checkpointing", 0) != 0;
	step->gang = lug_json_int(obj, "gang", 0) != 0;
	step->same_rack = lug_json_int(obj, "same_rack", 0) != 0;
	step->speculative = lug_json_int(obj, "speculative", 0) != 0;
	step->long_running = lug_json_int(obj, "lasting", 0) != 0;
	step->best_effort = lug_json_int(obj, "fills", 0) != 0;
	step->max_per_worker = (guint32)CLAMP(lug_json_int(obj, "spread", 0), 0, G_MAXINT32);
	step->target_ms = lug_json_int(obj, "target_ms", 0);
	step->max_unavailable = (gint32)CLAMP(lug_json_int(obj, "optional", -1), -1, G_MAXINT32);
	step->label = g_strdup(lug_json_str(obj, "label", ""));
	step->data_rack = g_strdup(lug_json_str(obj, "data_rack", ""));
	step->image = g_strdup(lug_json_str(obj, "image", ""));
	step->n_after = after ? json_array_get_length(after) : 0;
	step->after = g_new0(guint32, step->n_after + 1);
	for (guint32 i = 0; i < step->n_after; i++)
		step->after[i] =
			(guint32)CLAMP(lug_json_item_int(after, i, G_MAXINT32), 0, G_MAXINT32);
}

/**
 * lug_workflow_decode - decode a job from its row
 * @id: id
 * @row: row
 *
 * Return: job, owned by the caller; NULL when the row doesn't hold a valid one.
 */
struct lug_workflow *lug_workflow_decode(const char *id, JsonObject *row)
{
	JsonArray *steps = lug_json_arr(row, "steps");
	guint n = steps ? json_array_get_length(steps) : 0;
	struct lug_workflow *workflow;

	if (!n || n > LUG_WORKFLOW_STEPS_MAX)
		return NULL;
	workflow = lug_workflow_new(id, lug_json_str(row, "queue", ""),
				    lug_json_str(row, "spec", ""), n);
	workflow->occurrences = (guint32)CLAMP(lug_json_int(row, "occurrences", 1), 0, G_MAXINT32);
	workflow->scheduled = lug_json_int(row, "scheduled", 0) != 0;
	workflow->start_at_ms = lug_json_int(row, "start_at_ms", 0);
	workflow->interval_ms = lug_json_int(row, "interval_ms", 0);
	workflow->accepted_ms = lug_json_int(row, "accepted_ms", 0);
	for (guint i = 0; i < n; i++) {
		JsonObject *step = lug_json_item_obj(steps, i);

		if (step)
			decode_step(step, &workflow->steps[i]);
	}
	if (lug_workflow_check(workflow, NULL))
		return workflow;
	lug_workflow_free(workflow);
	return NULL;
}

/**
 * lug_workflow_decode_text - decode a job from the text of its row
 * @id: id
 * @text: JSON
 *
 * Return: job, owned by the caller; NULL when the text doesn't hold a valid one.
 */
struct lug_workflow *lug_workflow_decode_text(const char *id, const char *text)
{
	JsonObject *row = lug_json_parse(text, -1, NULL);
	struct lug_workflow *workflow = row ? lug_workflow_decode(id, row) : NULL;

	if (row)
		json_object_unref(row);
	return workflow;
}

/**
 * lug_workflow_shard - shard that holds a job
 * @id: id of the job
 * @shards: number of shards
 */
guint32 lug_workflow_shard(const char *id, guint32 shards)
{
	/* FNV-1a */
	guint32 hash = 2166136261u;

	for (const char *p = id; *p; p++)
		hash = (hash ^ (guint8)*p) * 16777619u;
	return shards ? (hash >> 7) % shards : 0;
}
