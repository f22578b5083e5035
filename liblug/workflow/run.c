#include "workflow/run.h"

#include <string.h>

/* Bounds a size in a message, so that sums of sizes can't overflow. */
#define WIRE_SIZE_MAX (G_GINT64_CONSTANT(1) << 53)

/**
 * lug_run_outcome_name - name of an outcome in logs and in workers' answers
 * @outcome: outcome
 *
 * Return: static string, "unknown" for a value out of range.
 */
const char *lug_run_outcome_name(enum lug_run_outcome outcome)
{
	static const char *const names[] = {"unknown", "done",	 "failed", "stopped",
					    "lapsed",  "broken", "alone",  "crashed"};

	return outcome <= LUG_RUN_WORKER_CRASHED ? names[outcome] : names[0];
}

/**
 * lug_run_name - format a run for logs: JOB.OCCURRENCE.STEP.INDEX#RUN
 * @id: run
 * @out: buffer of LUG_RUN_NAME_SIZE bytes
 * @size: bytes in @out
 */
void lug_run_name(const struct lug_run_id *id, char *out, gsize size)
{
	g_snprintf(out, (gulong)size, "%s.%u.%u.%u#%u", id->job, id->occurrence, id->step,
		   id->index, id->run);
}

/**
 * lug_run_equal - check whether two ids identify the same run
 * @a: run
 * @b: run
 */
gboolean lug_run_equal(const struct lug_run_id *a, const struct lug_run_id *b)
{
	return a->run == b->run && a->index == b->index && a->step == b->step &&
	       a->occurrence == b->occurrence && !strcmp(a->job, b->job);
}

static gint compare_numbers(guint32 a, guint32 b)
{
	return (a > b) - (a < b);
}

/**
 * lug_run_compare - order of runs: by job, occurrence, step, index and number of the run
 * @a: run
 * @b: run
 *
 * Return: negative, 0 or positive, as of strcmp().
 */
gint lug_run_compare(const struct lug_run_id *a, const struct lug_run_id *b)
{
	gint order = strcmp(a->job, b->job);

	if (!order)
		order = compare_numbers(a->occurrence, b->occurrence);
	if (!order)
		order = compare_numbers(a->step, b->step);
	if (!order)
		order = compare_numbers(a->index, b->index);
	return order ? order : compare_numbers(a->run, b->run);
}

/**
 * lug_run_hash - hash of a struct lug_run_id, for GHashTable
 */
guint lug_run_hash(gconstpointer id)
{
	const struct lug_run_id *run = id;
	guint hash = g_str_hash(run->job);

	hash = hash * 31 + run->occurrence;
	hash = hash * 31 + run->step;
	return hash * 31 + run->index;
}

/**
 * lug_run_hash_equal - lug_run_equal() for GHashTable
 */
gboolean lug_run_hash_equal(gconstpointer a, gconstpointer b)
{
	return lug_run_equal(a, b);
}

/**
 * lug_run_from_wire - read the id of a run from a message
 * @wire: message, may be NULL
 * @out: set on success
 *
 * Return: FALSE when the job is missing or its id is too long.
 */
gboolean lug_run_from_wire(const Lug__RunId *wire, struct lug_run_id *out)
{
	if (!wire || !wire->job || strlen(wire->job) > LUG_WORKFLOW_ID_MAX)
		return FALSE;
	g_strlcpy(out->job, wire->job, sizeof(out->job));
	out->occurrence = wire->occurrence;
	out->step = wire->step;
	out->index = wire->index;
	out->run = wire->run;
	return TRUE;
}

/**
 * lug_run_to_wire - fill a message from the id of a run
 * @id: run; its string is shared with the message
 * @wire: message to fill
 */
void lug_run_to_wire(const struct lug_run_id *id, Lug__RunId *wire)
{
	lug__run_id__init(wire);
	wire->job = (char *)id->job;
	wire->has_occurrence = 1;
	wire->occurrence = id->occurrence;
	wire->has_step = 1;
	wire->step = id->step;
	wire->has_index = 1;
	wire->index = id->index;
	wire->has_run = 1;
	wire->run = id->run;
}

/**
 * lug_resources_from_wire - read resources from a message
 * @wire: message, NULL for none
 * @out: set, to zero without a message
 */
void lug_resources_from_wire(const Lug__Resources *wire, struct lug_resources *out)
{
	memset(out, 0, sizeof(*out));
	if (!wire)
		return;
	out->millicores = CLAMP(wire->millicores, -WIRE_SIZE_MAX, WIRE_SIZE_MAX);
	out->memory_bytes = CLAMP(wire->memory, -WIRE_SIZE_MAX, WIRE_SIZE_MAX);
	out->accelerators = wire->accelerators;
}

/**
 * lug_resources_to_wire - fill a message from resources
 * @size: resources
 * @wire: message to fill
 */
void lug_resources_to_wire(const struct lug_resources *size, Lug__Resources *wire)
{
	lug__resources__init(wire);
	wire->has_millicores = 1;
	wire->millicores = size->millicores;
	wire->has_memory = 1;
	wire->memory = size->memory_bytes;
	wire->has_accelerators = 1;
	wire->accelerators = (gint32)size->accelerators;
}
