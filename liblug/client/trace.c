#include <stdio.h>
#include <string.h>

#include "client/client.h"
#include "daemon/main.h"

/* A context event is shown if its process logged the id at most this long before or after it. */
#define CONTEXT_WINDOW_US (2 * G_USEC_PER_SEC)

struct log_line {
	gint64 at_us;
	char *process;
	char *text;
	gboolean has_id;
};

static void log_line_free(gpointer data)
{
	struct log_line *line = data;

	g_free(line->process);
	g_free(line->text);
	g_free(line);
}

/* Value that follows @key, which includes its "="; NULL if @key is missing. */
static char *get_value(const char *text, const char *key)
{
	const char *start = strstr(text, key);

	if (!start)
		return NULL;
	start += strlen(key);
	return g_strndup(start, strcspn(start, " \n"));
}

/*
 * Whether a line logs a start, a stop, or a change of leases, shards, workers, configuration or the
 * table service.
 */
static gboolean is_context_event(const char *text)
{
	static const char *const events[] = {"event=store_", "event=shard_",  "event=worker_",
					     "event=lease_", "event=lapse_",  "event=config_",
					     "event=owner_", "event=started", "event=stopping"};

	for (gsize i = 0; i < G_N_ELEMENTS(events); i++)
		if (strstr(text, events[i]))
			return TRUE;
	return FALSE;
}

/*
 * Returns NULL for a line without a time or process, and for one that neither contains the id nor
 * logs a context event.
 */
static struct log_line *log_line_new(const char *text, const char *id)
{
	const char *start = strstr(text, "ts=");
	char *stamp = start ? get_value(start, "ts=") : NULL;
	struct log_line *line;

	if (!stamp)
		return NULL;
	line = g_new0(struct log_line, 1);
	line->at_us = (gint64)(g_ascii_strtod(stamp, NULL) * G_USEC_PER_SEC);
	line->process = get_value(start, "process=");
	line->text = g_strdup(start);
	line->has_id = strstr(start, id) != NULL;
	g_free(stamp);
	if (line->process && (line->has_id || is_context_event(start)))
		return line;
	log_line_free(line);
	return NULL;
}

static gboolean read_file(GPtrArray *lines, const char *path, const char *id)
{
	FILE *in = strcmp(path, "-") ? fopen(path, "r") : stdin;
	char *text = NULL;
	size_t size = 0;

	if (!in) {
		fprintf(stderr, "catkinlug: %s can't be read; pass a file with collected logs\n",
			path);
		return FALSE;
	}
	while (getline(&text, &size, in) >= 0) {
		struct log_line *line = log_line_new(text, id);

		if (line)
			g_ptr_array_add(lines, line);
	}
	free(text);
	if (in != stdin)
		fclose(in);
	return TRUE;
}

static gint compare_times(gconstpointer a, gconstpointer b)
{
	const struct log_line *left = *(const struct log_line *const *)a;
	const struct log_line *right = *(const struct log_line *const *)b;

	return left->at_us < right->at_us ? -1 : left->at_us > right->at_us;
}

/*
 * Whether the process of @line logged a line that contains the searched id at most
 * CONTEXT_WINDOW_US before or after @line.
 */
static gboolean is_near_line_with_id(const GPtrArray *lines, const struct log_line *line)
{
	for (guint i = 0; i < lines->len; i++) {
		const struct log_line *other = g_ptr_array_index(lines, i);

		if (other->has_id && !strcmp(other->process, line->process) &&
		    ABS(other->at_us - line->at_us) <= CONTEXT_WINDOW_US)
			return TRUE;
	}
	return FALSE;
}

/**
 * lug_client_trace_show - print the log lines that concern an id
 * @id: text to search for, such as the id of a job
 * @files: log files, "-" for standard input
 * @n: number of files
 *
 * Prints the lines of all processes that contain the id, in order of time. Context events, such
 * as a lost lease, that the same process logged within two seconds of such a line are printed
 * too, marked by "*".
 *
 * Return: exit code.
 */
int lug_client_trace_show(const char *id, const char *const *files, gsize n)
{
	GPtrArray *lines = g_ptr_array_new_with_free_func(log_line_free);
	int code = LUG_EXIT_SUCCESS;
	guint matches = 0;

	for (gsize i = 0; i < n; i++)
		if (!read_file(lines, files[i], id))
			code = LUG_EXIT_USAGE;
	g_ptr_array_sort(lines, compare_times);
	for (guint i = 0; i < lines->len && code == LUG_EXIT_SUCCESS; i++) {
		const struct log_line *line = g_ptr_array_index(lines, i);

		matches += line->has_id;
		if (line->has_id || is_near_line_with_id(lines, line))
			printf("%s %s", line->has_id ? " " : "*", line->text);
	}
	if (code == LUG_EXIT_SUCCESS && !matches) {
		fprintf(stderr,
			"catkinlug: no line contains %s; collect the logs of all processes\n", id);
		code = LUG_EXIT_FAILURE;
	}
	g_ptr_array_unref(lines);
	return code;
}
