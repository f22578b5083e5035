#include "core/log.h"

#include <stdarg.h>
#include <string.h>

struct lug_log {
	FILE *out;
	char *process;
	enum lug_log_level level;
};

static const char *const level_names[LUG_LOG_LEVELS] = {"debug", "info", "warn", "error"};

static void append_value(GString *line, const char *value)
{
	if (*value && !strpbrk(value, " \"=\n\\")) {
		g_string_append(line, value);
		return;
	}
	g_string_append_c(line, '"');
	for (const char *p = value; *p; p++) {
		if (*p == '\n') {
			g_string_append(line, "\\n");
			continue;
		}
		if (*p == '"' || *p == '\\')
			g_string_append_c(line, '\\');
		g_string_append_c(line, *p);
	}
	g_string_append_c(line, '"');
}

/**
 * lug_log_new - create a logger
 * @out: stream that receives the lines; stays open
 * @process: name of the process, printed on each line
 * @level: lowest level that is printed
 *
 * Return: logger, released by lug_log_free().
 */
struct lug_log *lug_log_new(FILE *out, const char *process, enum lug_log_level level)
{
	struct lug_log *log = g_new0(struct lug_log, 1);

	log->out = out;
	log->process = g_strdup(process);
	log->level = level;
	return log;
}

/**
 * lug_log_free - release a logger
 * @log: logger, may be NULL
 */
void lug_log_free(struct lug_log *log)
{
	if (!log)
		return;
	g_free(log->process);
	g_free(log);
}

/**
 * lug_log_set_level - set the lowest level that is printed
 * @log: logger
 * @level: new level
 */
void lug_log_set_level(struct lug_log *log, enum lug_log_level level)
{
	log->level = level;
}

/**
 * lug_log_event - print one event
 * @log: logger, NULL prints nothing
 * @level: level of the event
 * @event: short name of the event
 *
 * Further arguments are pairs of key and value strings, terminated by NULL. A NULL
 * value is printed as an empty string.
 */
void lug_log_event(struct lug_log *log, enum lug_log_level level, const char *event, ...)
{
	const char *key;
	GString *line;
	va_list ap;
	gint64 wall_us;

	if (!log || level < log->level)
		return;
	wall_us = g_get_real_time();
	line = g_string_sized_new(160);
	g_string_printf(line, "ts=%" G_GINT64_FORMAT ".%06d level=%s process=%s event=%s",
			wall_us / G_USEC_PER_SEC, (int)(wall_us % G_USEC_PER_SEC),
			level_names[level], log->process, event);
	va_start(ap, event);
	while ((key = va_arg(ap, const char *))) {
		const char *value = va_arg(ap, const char *);

		g_string_append_printf(line, " %s=", key);
		append_value(line, value ? value : "");
	}
	va_end(ap);
	g_string_append_c(line, '\n');
	fwrite(line->str, 1, line->len, log->out);
	fflush(log->out);
	g_string_free(line, TRUE);
}

/**
 * lug_log_level_name - name of a level
 * @level: level
 */
const char *lug_log_level_name(enum lug_log_level level)
{
	return level_names[level];
}

/**
 * lug_log_level_parse - parse the name of a level
 * @text: name
 * @out: receives the level; unchanged on failure
 *
 * Return: FALSE when @text is not the name of a level.
 */
gboolean lug_log_level_parse(const char *text, enum lug_log_level *out)
{
	for (int i = 0; i < LUG_LOG_LEVELS; i++) {
		if (strcmp(text, level_names[i]))
			continue;
		*out = (enum lug_log_level)i;
		return TRUE;
	}
	return FALSE;
}
