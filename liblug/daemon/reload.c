#include "daemon/reload.h"

static void log_problems(struct lug_ctx *ctx, GPtrArray *problems)
{
	for (guint i = 0; i < problems->len; i++)
		lug_err(ctx, "settings_refused", "problem", g_ptr_array_index(problems, i));
}

/**
 * lug_reload_settings - read the settings file again and apply it
 * @ctx: context
 * @path: settings file
 *
 * Return: FALSE, with the settings in force unchanged, when the file is invalid or changes a
 * setting that needs a restart. Problems are logged.
 */
gboolean lug_reload_settings(struct lug_ctx *ctx, const char *path)
{
	GPtrArray *problems = g_ptr_array_new_with_free_func(g_free);
	struct lug_settings *next = lug_settings_load(path, problems);
	enum lug_log_level level;
	struct lug_error err;

	log_problems(ctx, problems);
	g_ptr_array_unref(problems);
	if (!next)
		return FALSE;
	if (!lug_settings_reloadable(ctx->settings, next, &err)) {
		lug_err(ctx, "settings_refused", "problem", err.msg, "remedy", err.remedy);
		lug_settings_free(next);
		return FALSE;
	}
	lug_settings_free(ctx->settings);
	ctx->settings = next;
	if (lug_log_level_parse(next->log_level, &level))
		lug_log_set_level(ctx->log, level);
	lug_timeline_add(ctx->timeline, LUG_EV_SETTINGS_RELOADED, path, "%s", "");
	lug_info(ctx, "settings_reloaded", "file", path);
	return TRUE;
}
