#include "wire/pack.h"

/**
 * lug_pack_resources - fill a message with an amount
 * @out: message
 * @in: amount
 */
void lug_pack_resources(Lug__Resources *out, const struct lug_resources *in)
{
	lug__resources__init(out);
	LUG_SET(out, millicores, in->millicores);
	LUG_SET(out, memory, in->memory);
	LUG_SET(out, accelerators, (gint32)in->accelerators);
}

/**
 * lug_unpack_resources - read an amount
 * @in: message, NULL reads as nothing
 *
 * Return: the amount; negative members read as 0.
 */
struct lug_resources lug_unpack_resources(const Lug__Resources *in)
{
	struct lug_resources out = {0};

	if (!in)
		return out;
	out.millicores = MAX(in->millicores, 0);
	out.memory = MAX(in->memory, 0);
	out.accelerators = MAX(in->accelerators, 0);
	return out;
}

/**
 * lug_pack_task - fill a message with a task attempt
 * @out: message
 * @job: job id, lent
 * @index: index within the job
 * @attempt: attempt number
 */
void lug_pack_task(Lug__TaskId *out, const char *job, guint32 index, guint32 attempt)
{
	lug__task_id__init(out);
	out->job = (char *)job;
	LUG_SET(out, index, index);
	LUG_SET(out, attempt, attempt);
}
