#include "wire/pack.h"

/**
 * lug_pack_resources - fill a message from resources
 * @out: message to fill
 * @in: resources
 */
void lug_pack_resources(Lug__Resources *out, const struct lug_resources *in)
{
	lug__resources__init(out);
	LUG_SET(out, millicores, in->millicores);
	LUG_SET(out, memory, in->memory_bytes);
	LUG_SET(out, accelerators, (gint32)in->accelerators);
}

/**
 * lug_unpack_resources - read resources from a message
 * @in: message; NULL is read as no resources
 *
 * Return: the resources; negative members are read as 0.
 */
struct lug_resources lug_unpack_resources(const Lug__Resources *in)
{
	struct lug_resources out = {0};

	if (!in)
		return out;
	out.millicores = MAX(in->millicores, 0);
	out.memory_bytes = MAX(in->memory, 0);
	out.accelerators = MAX(in->accelerators, 0);
	return out;
}

/**
 * lug_pack_task - fill a message with the id of a task attempt
 * @out: message to fill
 * @job: job id; the message refers to it
 * @index: index of the task within the job
 * @attempt: attempt number
 */
void lug_pack_task(Lug__TaskId *out, const char *job, guint32 index, guint32 attempt)
{
	lug__task_id__init(out);
	out->job = (char *)job;
	LUG_SET(out, index, index);
	LUG_SET(out, attempt, attempt);
}
