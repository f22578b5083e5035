#include "daemon/loop.h"

#include <glib-unix.h>
#include <signal.h>

#include "daemon/reload.h"

static gboolean on_hangup(gpointer data)
{
	const struct lug_loop_hooks *hooks = data;

	lug_reload_settings(hooks->ctx, hooks->path);
	return G_SOURCE_CONTINUE;
}

/**
 * lug_loop_install - install signal handlers and start the tick timer
 * @hooks: hooks; must outlive the main loop
 */
void lug_loop_install(struct lug_loop_hooks *hooks)
{
	hooks->source = g_timeout_add(hooks->tick_ms, hooks->tick, hooks->data);
	g_unix_signal_add(SIGTERM, hooks->stop, hooks->data);
	g_unix_signal_add(SIGINT, hooks->stop, hooks->data);
	g_unix_signal_add(SIGHUP, on_hangup, hooks);
}

/**
 * lug_loop_run - run the main loop until it is quit, then stop the tick timer
 * @hooks: hooks
 *
 * Signal handlers stay installed, so that a second signal does not kill the process during
 * cleanup.
 */
void lug_loop_run(struct lug_loop_hooks *hooks)
{
	g_main_loop_run(hooks->ctx->loop);
	g_source_remove(hooks->source);
}
