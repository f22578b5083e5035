#include "daemon/loop.h"

#include <glib-unix.h>
#include <signal.h>

#include "daemon/reload.h"

static gboolean on_hangup(gpointer data)
{
	const struct lug_loop *loop = data;

	lug_reload_settings(loop->ctx, loop->path);
	return G_SOURCE_CONTINUE;
}

/**
 * lug_loop_start - install signal handlers and start the tick timer
 * @loop: hooks; must outlive the main loop
 */
void lug_loop_start(struct lug_loop *loop)
{
	loop->source = g_timeout_add(loop->tick_ms, loop->tick, loop->data);
	g_unix_signal_add(SIGTERM, loop->stop, loop->data);
	g_unix_signal_add(SIGINT, loop->stop, loop->data);
	g_unix_signal_add(SIGHUP, on_hangup, loop);
}

/**
 * lug_loop_run - run the main loop until it is quit, then stop the tick timer
 * @loop: hooks
 *
 * Signal handlers stay installed, so that a second signal does not kill the process during
 * cleanup.
 */
void lug_loop_run(struct lug_loop *loop)
{
	g_main_loop_run(loop->ctx->loop);
	g_source_remove(loop->source);
}
