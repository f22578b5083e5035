#include "core/context.h"

#include <time.h>

/**
 * lug_ctx_new - create the shared context of a daemon
 * @settings: settings; the context takes ownership
 * @log_out: stream that receives the log; stays open
 *
 * Return: context, released by lug_ctx_free().
 */
struct lug_ctx *lug_ctx_new(struct lug_settings *settings, FILE *log_out)
{
	struct lug_ctx *ctx = g_new0(struct lug_ctx, 1);
	enum lug_log_level level = LUG_LOG_INFO;

	lug_log_level_parse(settings->log_level, &level);
	ctx->settings = settings;
	ctx->log = lug_log_new(log_out, settings->name, level);
	ctx->metrics = lug_metrics_new();
	ctx->timeline = lug_timeline_new(&ctx->hlc, (gsize)settings->timeline_events);
	ctx->rng = g_rand_new();
	ctx->loop = g_main_loop_new(NULL, FALSE);
	/*
	 * The start time in the high bits makes incarnations rise. The random byte separates
	 * processes that start in the same microsecond.
	 */
	ctx->incarnation = ((guint64)g_get_real_time() << 8) | (g_rand_int(ctx->rng) & 0xff);
	return ctx;
}

/**
 * lug_ctx_free - release a context and its settings
 * @ctx: context, may be NULL
 */
void lug_ctx_free(struct lug_ctx *ctx)
{
	if (!ctx)
		return;
	g_main_loop_unref(ctx->loop);
	g_rand_free(ctx->rng);
	lug_timeline_free(ctx->timeline);
	lug_metrics_free(ctx->metrics);
	lug_log_free(ctx->log);
	lug_settings_free(ctx->settings);
	g_free(ctx);
}

/**
 * lug_now_us - current time for measuring durations, microseconds since boot
 *
 * CLOCK_BOOTTIME also advances while the instance is suspended, and all
 * processes of one instance read the same clock.
 */
gint64 lug_now_us(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_BOOTTIME, &ts);
	return (gint64)ts.tv_sec * G_USEC_PER_SEC + ts.tv_nsec / 1000;
}

/**
 * lug_jitter - randomise a period by up to 25 % either way
 * @rng: random source
 * @base: period in any unit
 *
 * Return: period in the unit of @base.
 */
gint64 lug_jitter(GRand *rng, gint64 base)
{
	return (gint64)((double)base * g_rand_double_range(rng, 0.75, 1.25));
}
