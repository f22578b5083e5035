#ifndef LUG_CORE_CONTEXT_H
#define LUG_CORE_CONTEXT_H

#include <glib.h>

#include "core/hlc.h"
#include "core/log.h"
#include "core/metrics.h"
#include "core/settings.h"
#include "timeline/timeline.h"

/**
 * struct lug_ctx - state shared by all modules of one daemon
 * @settings: validated settings in force
 * @log: logger
 * @metrics: counters, gauges and histograms
 * @hlc: hybrid logical clock that orders events
 * @timeline: ring buffer of recent events
 * @rng: random source
 * @loop: the daemon's only main loop
 * @incarnation: unique to each start of the daemon
 */
struct lug_ctx {
	struct lug_settings *settings;
	struct lug_log *log;
	struct lug_metrics *metrics;
	struct lug_hlc hlc;
	struct lug_timeline *timeline;
	GRand *rng;
	GMainLoop *loop;
	guint64 incarnation;
};

struct lug_ctx *lug_ctx_new(struct lug_settings *settings, FILE *log_out);
void lug_ctx_free(struct lug_ctx *ctx);
gint64 lug_now_us(void);
gint64 lug_jitter(GRand *rng, gint64 base);

#endif
