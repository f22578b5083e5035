#include "workflow/shard_priv.h"

#include <stdlib.h>
#include <string.h>

/*
 * Text of a job's state. Tasks of an occurrence are words separated by blanks, in order:
 *
 *   w            waiting, never started
 *   wRUN.FAILS   waiting after RUN runs
 *   rRUN.FAILS.WORKER.LEASE.EPOCH   claimed
 *   d            done
 *   WORD*N       N equal words
 *
 * WORKER is an index into the row's list of workers.
 */

#define WORD_MAX 96

static guint worker_index(GPtrArray *workers, const char *name)
{
	for (guint i = 0; i < workers->len; i++)
		if (!strcmp(g_ptr_array_index(workers, i), name))
			return i;
	g_ptr_array_add(workers, (gpointer)name);
	return workers->len - 1;
}

static void task_word(const struct shard_task *task, GPtrArray *workers, char *out)
{
	switch (task->state) {
	case SHARD_TASK_DONE:
		g_strlcpy(out, "d", WORD_MAX);
		return;
	case SHARD_TASK_CLAIMED:
		g_snprintf(out, WORD_MAX, "r%u.%u.%u.%" G_GUINT64_FORMAT ".%" G_GUINT64_FORMAT,
			   task->run, task->fails, worker_index(workers, task->worker),
			   task->lease_epoch, task->shard_epoch);
		return;
	default:
		if (task->run)
			g_snprintf(out, WORD_MAX, "w%u.%u", task->run, task->fails);
		else
			g_strlcpy(out, "w", WORD_MAX);
	}
}

static void flush_word(GString *text, const char *word, guint32 n)
{
	if (!n)
		return;
	if (text->len)
		g_string_append_c(text, ' ');
	g_string_append(text, word);
	if (n > 1)
		g_string_append_printf(text, "*%u", n);
}

static char *encode_tasks(const struct shard_job *entry, const struct shard_occurrence *occ,
			  GPtrArray *workers)
{
	guint32 n = entry->first[entry->flow->n_steps];
	GString *text = g_string_new(NULL);
	char last[WORD_MAX] = "";
	guint32 equal = 0;

	for (guint32 i = 0; i < n; i++) {
		char word[WORD_MAX];

		task_word(&occ->tasks[i], workers, word);
		if (equal && !strcmp(word, last)) {
			equal++;
			continue;
		}
		flush_word(text, last, equal);
		g_strlcpy(last, word, sizeof(last));
		equal = 1;
	}
	flush_word(text, last, equal);
	return g_string_free(text, FALSE);
}

static JsonArray *encode_checkpoints(const struct shard_job *entry,
				     const struct shard_occurrence *occ)
{
	JsonArray *list = json_array_new();

	for (guint32 i = 0; i < entry->first[entry->flow->n_steps]; i++) {
		const struct shard_task *task = &occ->tasks[i];
		JsonArray *pair;

		if (task->state == SHARD_TASK_DONE || !task->checkpoint || !*task->checkpoint)
			continue;
		pair = json_array_new();
		json_array_add_int_element(pair, i);
		json_array_add_string_element(pair, task->checkpoint);
		json_array_add_array_element(list, pair);
	}
	return list;
}

/**
 * shard_row_encode - text of the row with a live job's state
 * @entry: job
 *
 * Return: one JSON object, owned by the caller.
 */
char *shard_row_encode(const struct shard_job *entry)
{
	GPtrArray *workers = g_ptr_array_new();
	JsonArray *names = json_array_new();
	JsonArray *occurrences = json_array_new();
	JsonObject *row = json_object_new();
	char *text;

	for (guint i = 0; i < entry->occurrences->len; i++) {
		const struct shard_occurrence *occ = g_ptr_array_index(entry->occurrences, i);
		JsonObject *item = json_object_new();
		JsonArray *saved = encode_checkpoints(entry, occ);
		char *tasks = encode_tasks(entry, occ, workers);

		json_object_set_int_member(item, "k", occ->number);
		json_object_set_string_member(item, "tasks", tasks);
		if (json_array_get_length(saved))
			json_object_set_array_member(item, "saved", saved);
		else
			json_array_unref(saved);
		json_array_add_object_element(occurrences, item);
		g_free(tasks);
	}
	for (guint i = 0; i < workers->len; i++)
		json_array_add_string_element(names, g_ptr_array_index(workers, i));
	json_object_set_int_member(row, "next", entry->next_occurrence);
	json_object_set_int_member(row, "started", entry->started);
	json_object_set_int_member(row, "begun", entry->begun);
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

static gboolean decode_word(const char *word, JsonArray *workers, struct shard_task *task,
			    guint32 *repeat)
{
	const char *star = strchr(word, '*');
	const char *p = word + 1;
	guint64 index;

	*repeat = star ? (guint32)CLAMP(atol(star + 1), 0, LUG_WORKFLOW_TASKS_MAX) : 1;
	if (*word == 'd') {
		task->state = SHARD_TASK_DONE;
		return TRUE;
	}
	if (*word != 'w' && *word != 'r')
		return FALSE;
	if (!g_ascii_isdigit(*p))
		return *word == 'w';
	task->run = (guint32)next_number(&p, '.');
	task->fails = (guint32)next_number(&p, '.');
	if (*word == 'w')
		return TRUE;
	index = next_number(&p, '.');
	if (!workers || index >= json_array_get_length(workers))
		return FALSE;
	task->state = SHARD_TASK_CLAIMED;
	task->worker = g_intern_string(json_array_get_string_element(workers, (guint)index));
	task->lease_epoch = next_number(&p, '.');
	task->shard_epoch = next_number(&p, '.');
	return task->worker != NULL;
}

static gboolean decode_tasks(struct shard_job *entry, struct shard_occurrence *occ,
			     const char *text, JsonArray *workers)
{
	guint32 n = entry->first[entry->flow->n_steps];
	char **words = g_strsplit(text, " ", -1);
	gboolean ok = TRUE;
	guint32 i = 0;

	for (char **word = words; ok && *word && **word; word++) {
		struct shard_task task = {0};
		guint32 repeat = 1;

		ok = decode_word(*word, workers, &task, &repeat) && repeat <= n - i;
		for (guint32 k = 0; ok && k < repeat; k++)
			occ->tasks[i++] = task;
	}
	g_strfreev(words);
	return ok && i == n;
}

static void decode_checkpoints(const struct shard_job *entry, struct shard_occurrence *occ,
			       JsonArray *saved)
{
	guint n = saved ? json_array_get_length(saved) : 0;

	for (guint i = 0; i < n; i++) {
		JsonArray *pair = json_array_get_array_element(saved, i);
		gint64 index = pair ? json_array_get_int_element(pair, 0) : -1;

		if (index < 0 || index >= entry->first[entry->flow->n_steps])
			continue;
		g_free(occ->tasks[index].checkpoint);
		occ->tasks[index].checkpoint = g_strdup(json_array_get_string_element(pair, 1));
	}
}

static void count_done(const struct shard_job *entry, struct shard_occurrence *occ)
{
	occ->left = 0;
	for (guint32 s = 0; s < entry->flow->n_steps; s++) {
		occ->done[s] = 0;
		for (guint32 i = entry->first[s]; i < entry->first[s + 1]; i++)
			occ->done[s] += occ->tasks[i].state == SHARD_TASK_DONE;
		occ->left += entry->flow->steps[s].count - occ->done[s];
	}
}

/**
 * shard_row_decode - read a live job's state from its row
 * @entry: job without occurrences
 * @row: row
 *
 * Return: FALSE when the row does not hold a state of this job.
 */
gboolean shard_row_decode(struct shard_job *entry, JsonObject *row)
{
	JsonArray *list = lug_json_arr(row, "occurrences");
	JsonArray *workers = lug_json_arr(row, "workers");
	guint n = list ? json_array_get_length(list) : 0;

	entry->next_occurrence = (guint32)lug_json_int(row, "next", 0);
	entry->started = lug_json_int(row, "started", 0) != 0;
	entry->begun = lug_json_int(row, "begun", 0) != 0;
	for (guint i = 0; i < n; i++) {
		JsonObject *item = json_array_get_object_element(list, i);
		struct shard_occurrence *occ =
			shard_occurrence_begin(entry, (guint32)lug_json_int(item, "k", 0));

		if (!decode_tasks(entry, occ, lug_json_str(item, "tasks", ""), workers))
			return FALSE;
		decode_checkpoints(entry, occ, lug_json_arr(item, "saved"));
		count_done(entry, occ);
	}
	return TRUE;
}
