#include "workflow/shard_priv.h"

#include <stdlib.h>
#include <string.h>

/*
 * Format of a job's stored state, a JSON object:
 *
 *   next          first occurrence that has not begun
 *   started       1 when a task has been claimed
 *   begun         1 when a worker has confirmed a start
 *   withheld      1 when the job is withheld, see shard_check_found_job(); absent otherwise
 *   workers       list of names of workers
 *   occurrences   list of the active occurrences, each an object:
 *     k           number of the occurrence
 *     tasks       states of the tasks
 *     saved       list of [index of the task, checkpoint], absent when empty
 *
 * The states of the tasks are words in order, separated by blanks:
 *
 *   w                               waiting, never claimed
 *   wRUN.FAILS                      waiting after RUN runs, FAILS of which have failed
 *   rRUN.FAILS.WORKER.LEASE.EPOCH   claimed under a lease epoch and a shard epoch
 *   ...CRASHES.SUSPICION.LOSSES     appended to both when workers have crashed under the task
 *   d                               done
 *   WORD*N                          N equal words
 *
 * WORKER is an index into workers.
 */

#define WORD_MAX_BYTES 128
/* JSON around the tasks of one occurrence, a worker's name, a checkpoint and all of them. */
#define OCCURRENCE_FRAME_BYTES 48
#define NAME_FRAME_BYTES 3
#define CHECKPOINT_FRAME_BYTES 16
#define ROW_FRAME_BYTES 128
/* Bytes of one character that JSON escapes, at most. */
#define ESCAPED_BYTES 6
/* Tasks of a row's occurrences that are decoded, ten times what a job begins at once. */
#define ACTIVE_TASKS_MAX (10 * SHARD_ACTIVE_TASKS_MAX)

static guint worker_index(GPtrArray *workers, const char *name)
{
	for (guint i = 0; i < workers->len; i++)
		if (!strcmp(g_ptr_array_index(workers, i), name))
			return i;
	g_ptr_array_add(workers, (gpointer)name);
	return workers->len - 1;
}

static void encode_task(const struct shard_task *task, GPtrArray *workers, char *out)
{
	const struct lug_crash_history *crash = &task->crash;
	char crashes[40] = "";

	if (crash->crashes || crash->suspicion || crash->losses)
		g_snprintf(crashes, sizeof(crashes), ".%u.%u.%u", crash->crashes, crash->suspicion,
			   crash->losses);
	switch (task->state) {
	case SHARD_TASK_DONE:
		g_strlcpy(out, "d", WORD_MAX_BYTES);
		return;
	case SHARD_TASK_CLAIMED:
		g_snprintf(out, WORD_MAX_BYTES,
			   "r%u.%u.%u.%" G_GUINT64_FORMAT ".%" G_GUINT64_FORMAT "%s", task->run,
			   task->failures, worker_index(workers, task->worker), task->lease_epoch,
			   task->shard_epoch, crashes);
		return;
	default:
		if (task->run)
			g_snprintf(out, WORD_MAX_BYTES, "w%u.%u%s", task->run, task->failures,
				   crashes);
		else
			g_strlcpy(out, "w", WORD_MAX_BYTES);
	}
}

static void append_word(GString *text, const char *word, guint32 n)
{
	if (!n)
		return;
	if (text->len)
		g_string_append_c(text, ' ');
	g_string_append(text, word);
	if (n > 1)
		g_string_append_printf(text, "*%u", n);
}

static char *encode_tasks(const struct shard_job *job, const struct shard_occurrence *occ,
			  GPtrArray *workers)
{
	guint32 n = job->first_task[job->workflow->n_steps];
	GString *text = g_string_new(NULL);
	char last[WORD_MAX_BYTES] = "";
	guint32 equal = 0;

	for (guint32 i = 0; i < n; i++) {
		char word[WORD_MAX_BYTES];

		encode_task(&occ->tasks[i], workers, word);
		if (equal && !strcmp(word, last)) {
			equal++;
			continue;
		}
		append_word(text, last, equal);
		g_strlcpy(last, word, sizeof(last));
		equal = 1;
	}
	append_word(text, last, equal);
	return g_string_free(text, FALSE);
}

static gsize escaped_bytes(const char *text)
{
	gsize n = 0;

	for (const char *p = text; *p; p++)
		n += g_ascii_isprint(*p) && *p != '"' && *p != '\\' ? 1 : ESCAPED_BYTES;
	return n;
}

/*
 * Adds the checkpoints of the tasks in one state, as far as @room allows, from which their length
 * is taken. Returns the number of those left out.
 */
static guint encode_checkpoints(const struct shard_job *job, const struct shard_occurrence *occ,
				enum shard_task_state state, JsonArray *list, gsize *room)
{
	guint left_out = 0;

	for (guint32 i = 0; i < job->first_task[job->workflow->n_steps]; i++) {
		const struct shard_task *task = &occ->tasks[i];
		JsonArray *pair;
		gsize bytes;

		if (task->state != state || !task->checkpoint || !*task->checkpoint)
			continue;
		bytes = escaped_bytes(task->checkpoint) + CHECKPOINT_FRAME_BYTES;
		if (bytes > *room) {
			left_out++;
			continue;
		}
		*room -= bytes;
		pair = json_array_new();
		json_array_add_int_element(pair, i);
		json_array_add_string_element(pair, task->checkpoint);
		json_array_add_array_element(list, pair);
	}
	return left_out;
}

/*
 * Adds checkpoints to the encoded occurrences, as far as @room allows: first those of waiting
 * tasks, which the owner alone has. Those of running tasks are also in their agents' heartbeats.
 */
static guint add_checkpoints(const struct shard_job *job, JsonArray *occurrences, gsize room)
{
	static const enum shard_task_state order[] = {SHARD_TASK_WAITING, SHARD_TASK_CLAIMED};
	guint left_out = 0;

	for (guint k = 0; k < G_N_ELEMENTS(order); k++)
		for (guint i = 0; i < job->occurrences->len; i++) {
			JsonObject *item = json_array_get_object_element(occurrences, i);
			JsonArray *saved = lug_json_arr(item, "saved");
			JsonArray *list = saved ? json_array_ref(saved) : json_array_new();

			left_out += encode_checkpoints(job, g_ptr_array_index(job->occurrences, i),
						       order[k], list, &room);
			if (!saved && json_array_get_length(list))
				json_object_set_array_member(item, "saved", list);
			else
				json_array_unref(list);
		}
	return left_out;
}

/* Length of a row without checkpoints, whose tasks take @tasks_bytes. */
static gsize bare_bytes(const struct shard_job *job, gsize tasks_bytes, const GPtrArray *workers)
{
	gsize n = ROW_FRAME_BYTES + job->occurrences->len * OCCURRENCE_FRAME_BYTES + tasks_bytes;

	for (guint i = 0; i < workers->len; i++)
		n += escaped_bytes(g_ptr_array_index(workers, i)) + NAME_FRAME_BYTES;
	return n;
}

/**
 * shard_row_max_bytes - length of the largest state that the table service stores for a job
 */
gsize shard_row_max_bytes(const struct lug_shard *shard)
{
	return (gsize)shard->shared.ctx->settings->platform_row_bytes;
}

/**
 * shard_row_measure - set @row_bytes of a job to the length of its state without checkpoints
 */
void shard_row_measure(struct shard_job *job)
{
	GPtrArray *workers = g_ptr_array_new();
	gsize tasks_bytes = 0;

	for (guint i = 0; i < job->occurrences->len; i++) {
		char *tasks = encode_tasks(job, g_ptr_array_index(job->occurrences, i), workers);

		tasks_bytes += strlen(tasks);
		g_free(tasks);
	}
	job->row_bytes = bare_bytes(job, tasks_bytes, workers);
	g_ptr_array_unref(workers);
}

/**
 * shard_row_encode - encode a live job's state
 * @job: job, whose @row_bytes and @checkpoints_left_out are set
 * @max_bytes: length of the text up to which checkpoints are added
 *
 * A task whose checkpoint is left out starts anew if its worker and its owner are lost together.
 *
 * Return: text of one JSON object, owned by the caller.
 */
char *shard_row_encode(struct shard_job *job, gsize max_bytes)
{
	GPtrArray *workers = g_ptr_array_new();
	JsonArray *names = json_array_new();
	JsonArray *occurrences = json_array_new();
	JsonObject *row = json_object_new();
	gsize tasks_bytes = 0;
	char *text;

	for (guint i = 0; i < job->occurrences->len; i++) {
		const struct shard_occurrence *occ = g_ptr_array_index(job->occurrences, i);
		JsonObject *item = json_object_new();
		char *tasks = encode_tasks(job, occ, workers);

		tasks_bytes += strlen(tasks);
		json_object_set_int_member(item, "k", occ->number);
		json_object_set_string_member(item, "tasks", tasks);
		json_array_add_object_element(occurrences, item);
		g_free(tasks);
	}
	for (guint i = 0; i < workers->len; i++)
		json_array_add_string_element(names, g_ptr_array_index(workers, i));
	job->row_bytes = bare_bytes(job, tasks_bytes, workers);
	job->checkpoints_left_out = add_checkpoints(
		job, occurrences, max_bytes > job->row_bytes ? max_bytes - job->row_bytes : 0);
	json_object_set_int_member(row, "next", job->next_occurrence);
	json_object_set_int_member(row, "started", job->was_claimed);
	json_object_set_int_member(row, "begun", job->was_confirmed);
	if (job->withheld_us)
		json_object_set_int_member(row, "withheld", 1);
	json_object_set_array_member(row, "workers", names);
	json_object_set_array_member(row, "occurrences", occurrences);
	text = lug_json_text(row);
	json_object_unref(row);
	g_ptr_array_unref(workers);
	return text;
}

static guint64 next_number(const char **p, char separator)
{
	char *end = NULL;
	guint64 value = g_ascii_strtoull(*p, &end, 10);

	*p = *end == separator ? end + 1 : end;
	return value;
}

/* Numbers that are left out are 0. */
static void decode_crashes(const char **next, struct shard_task *task)
{
	task->crash.crashes = (guint32)next_number(next, '.');
	task->crash.suspicion = (guint32)next_number(next, '.');
	task->crash.losses = (guint32)next_number(next, '.');
}

/* Decodes one word; see the format at the top of the file. */
static gboolean decode_task(const char *word, JsonArray *workers, struct shard_task *task,
			    guint32 *repeat)
{
	const char *repeat_mark = strchr(word, '*');
	const char *next = word + 1;
	guint64 index;

	*repeat =
		repeat_mark ? (guint32)CLAMP(atol(repeat_mark + 1), 0, LUG_WORKFLOW_TASKS_MAX) : 1;
	if (*word == 'd') {
		task->state = SHARD_TASK_DONE;
		return TRUE;
	}
	if (*word != 'w' && *word != 'r')
		return FALSE;
	/* Only a waiting task that was never claimed has no numbers. */
	if (!g_ascii_isdigit(*next))
		return *word == 'w';
	task->run = (guint32)next_number(&next, '.');
	task->failures = (guint32)next_number(&next, '.');
	if (*word == 'w') {
		decode_crashes(&next, task);
		return TRUE;
	}
	index = next_number(&next, '.');
	if (!workers || index >= json_array_get_length(workers))
		return FALSE;
	task->state = SHARD_TASK_CLAIMED;
	task->worker = g_intern_string(lug_json_item_str(workers, (guint)index, NULL));
	task->lease_epoch = next_number(&next, '.');
	task->shard_epoch = next_number(&next, '.');
	decode_crashes(&next, task);
	return task->worker != NULL;
}

static gboolean decode_tasks(struct shard_job *job, struct shard_occurrence *occ, const char *text,
			     JsonArray *workers)
{
	guint32 n = job->first_task[job->workflow->n_steps];
	char **words = g_strsplit(text, " ", -1);
	gboolean ok = TRUE;
	guint32 i = 0;

	for (char **word = words; ok && *word && **word; word++) {
		struct shard_task task = {0};
		guint32 repeat = 1;

		ok = decode_task(*word, workers, &task, &repeat) && repeat <= n - i;
		for (guint32 k = 0; ok && k < repeat; k++)
			occ->tasks[i++] = task;
	}
	g_strfreev(words);
	return ok && i == n;
}

static void decode_checkpoints(const struct shard_job *job, struct shard_occurrence *occ,
			       JsonArray *saved)
{
	guint n = saved ? json_array_get_length(saved) : 0;

	for (guint i = 0; i < n; i++) {
		JsonArray *pair = lug_json_item_arr(saved, i);
		gint64 index = lug_json_item_int(pair, 0, -1);
		const char *checkpoint = lug_json_item_str(pair, 1, NULL);

		if (!checkpoint || index < 0 || index >= job->first_task[job->workflow->n_steps])
			continue;
		g_free(occ->tasks[index].checkpoint);
		occ->tasks[index].checkpoint = g_strdup(checkpoint);
	}
}

static void count_done(const struct shard_job *job, struct shard_occurrence *occ)
{
	occ->tasks_left = 0;
	for (guint32 s = 0; s < job->workflow->n_steps; s++) {
		occ->done_per_step[s] = 0;
		for (guint32 i = job->first_task[s]; i < job->first_task[s + 1]; i++)
			occ->done_per_step[s] += occ->tasks[i].state == SHARD_TASK_DONE;
		occ->tasks_left += job->workflow->steps[s].count - occ->done_per_step[s];
	}
}

/**
 * shard_row_decode - decode a live job's state
 * @job: job without occurrences
 * @row: row
 *
 * Return: FALSE when the row is not a valid state of this job; part of it is applied then.
 */
gboolean shard_row_decode(struct shard_job *job, JsonObject *row)
{
	JsonArray *list = lug_json_arr(row, "occurrences");
	JsonArray *workers = lug_json_arr(row, "workers");
	guint n = list ? json_array_get_length(list) : 0;

	if (!row)
		return FALSE;
	job->next_occurrence =
		(guint32)CLAMP(lug_json_int(row, "next", 0), 0, job->workflow->occurrences);
	job->was_claimed = lug_json_int(row, "started", 0) != 0;
	job->was_confirmed = lug_json_int(row, "begun", 0) != 0;
	job->withheld_us = lug_json_int(row, "withheld", 0) ? lug_now_us() : 0;
	if (n > 1 && n > ACTIVE_TASKS_MAX / job->first_task[job->workflow->n_steps])
		return FALSE;
	for (guint i = 0; i < n; i++) {
		JsonObject *item = lug_json_item_obj(list, i);
		struct shard_occurrence *occ =
			shard_occurrence_begin(job, (guint32)CLAMP(lug_json_int(item, "k", 0), 0,
								   job->workflow->occurrences));

		gboolean ok = decode_tasks(job, occ, lug_json_str(item, "tasks", ""), workers);

		shard_occurrence_identify(job, occ);
		if (!ok)
			return FALSE;
		decode_checkpoints(job, occ, lug_json_arr(item, "saved"));
		count_done(job, occ);
	}
	return TRUE;
}
