#ifndef LUG_DAEMON_RELOAD_H
#define LUG_DAEMON_RELOAD_H

#include "core/context.h"

/* Exit codes of the daemons. */
#define LUG_DAEMON_EXIT_OK 0
#define LUG_DAEMON_EXIT_FAILED 1
#define LUG_DAEMON_EXIT_BAD_SETTINGS 2
#define LUG_DAEMON_EXIT_SUPERSEDED 3

gboolean lug_reload_settings(struct lug_ctx *ctx, const char *path);

#endif
