#ifndef LUG_DAEMON_LOOP_H
#define LUG_DAEMON_LOOP_H

#include "core/context.h"

/**
 * struct lug_loop_hooks - hooks of a daemon's main loop
 * @ctx: context
 * @path: settings file, read again on SIGHUP
 * @tick_ms: interval of @tick
 * @tick: periodic work
 * @stop: called on SIGTERM and SIGINT; starts the shutdown, which quits the loop when done
 * @data: passed to the hooks
 * @source: timer of @tick
 */
struct lug_loop_hooks {
	struct lug_ctx *ctx;
	const char *path;
	guint tick_ms;
	GSourceFunc tick;
	GSourceFunc stop;
	gpointer data;
	guint source;
};

void lug_loop_install(struct lug_loop_hooks *hooks);
void lug_loop_run(struct lug_loop_hooks *hooks);

#endif
