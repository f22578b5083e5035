#ifndef LUG_CORE_LOG_H
#define LUG_CORE_LOG_H

#include <glib.h>
#include <stdio.h>

/**
 * enum lug_log_level - severity of an event, in ascending order
 */
enum lug_log_level {
	LUG_LOG_DEBUG,
	LUG_LOG_INFO,
	LUG_LOG_WARN,
	LUG_LOG_ERROR,
	LUG_LOG_LEVELS,
};

/**
 * struct lug_log - logger that writes one line of key=value pairs per event
 */
struct lug_log;

struct lug_log *lug_log_new(FILE *out, const char *process, enum lug_log_level level);
void lug_log_free(struct lug_log *log);
void lug_log_set_level(struct lug_log *log, enum lug_log_level level);
void lug_log_event(struct lug_log *log, enum lug_log_level level, const char *event,
		   ...) G_GNUC_NULL_TERMINATED;
const char *lug_log_level_name(enum lug_log_level level);
gboolean lug_log_level_parse(const char *text, enum lug_log_level *out);

/* Log an event of a struct lug_ctx: event name, then pairs of key and value strings. */
#define lug_debug(ctx, ...) lug_log_event((ctx)->log, LUG_LOG_DEBUG, __VA_ARGS__, NULL)
#define lug_info(ctx, ...) lug_log_event((ctx)->log, LUG_LOG_INFO, __VA_ARGS__, NULL)
#define lug_warn(ctx, ...) lug_log_event((ctx)->log, LUG_LOG_WARN, __VA_ARGS__, NULL)
#define lug_err(ctx, ...) lug_log_event((ctx)->log, LUG_LOG_ERROR, __VA_ARGS__, NULL)

#endif
