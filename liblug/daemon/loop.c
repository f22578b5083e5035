#include "daemon/loop.h"

#include <glib-unix.h>
#include <signal.h>

#include "daemon/reload.h"

static gboolean on_hangup(gpointer data)
{
	const struct lug_loop *loop = data;

	lug_reload(loop->ctx, loop->path);
	return G_SOURCE_CONTINUE;
}

/**
 * lug_loop_start - handle signals and start the ticks
 * @loop: hooks
 */
void lug_loop_start(struct lug_loop *loop)
{
	loop->source = g_timeout_add(loop->tick_ms, loop->tick, loop->data);
	g_unix_signal_add(SIGTERM, loop->stop, loop->data);
	g_unix_signal_add(SIGINT, loop->stop, loop->data);
	g_unix_signal_add(SIGHUP, on_hangup, loop);
}

/**
 * lug_loop_run - run the loop until it is quit, then end the ticks
 * @loop: hooks
 *
 * Signals stay handled, so that a second one does not end the process half-way.
 */
void lug_loop_run(struct lug_loop *loop)
{
	g_main_loop_run(loop->ctx->loop);
	g_source_remove(loop->source);
}
