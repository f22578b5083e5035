#include "workflow/serving_load.h"

#include <math.h>

/* Time constant of the moving average that a worker reports; found from steps of the load. */
#define FIGURE_AVERAGE_US (350 * 1000)
/* Relative error of a figure. */
#define FIGURE_ERROR 0.04
/* Error of the queueing model that turns a tail latency into a utilisation. */
#define MODEL_ERROR 0.02
/* Figures closer to each other tell too little of the span between them. */
#define KEEP_MAX 0.8
/* Load taken for that of a serving task not yet observed, and how far off it may be. */
#define LEVEL_UNKNOWN 0.5
#define LEVEL_SPREAD 0.2
#define SLOPE_SPREAD 0.08
/* Change of the slope, per second: a swing by half of the load in 10 s. */
#define SLOPE_CHANGE 0.10
/* Random change of the level in a second, for bursts of one task's own users. */
#define LEVEL_CHANGE 0.07
/* Gap after which the former figure says nothing of the present one. */
#define FIGURE_GAP_US (2 * G_USEC_PER_SEC)

/**
 * lug_load_init - start with what is known of any serving task
 */
void lug_load_init(struct lug_load *load)
{
	*load = (struct lug_load){.level = LEVEL_UNKNOWN,
				  .level_var = LEVEL_SPREAD * LEVEL_SPREAD,
				  .slope_var = SLOPE_SPREAD * SLOPE_SPREAD};
}

/**
 * lug_load_keep - part of a moving average that is older than a span
 */
double lug_load_keep(gint64 span_us)
{
	return exp(-(double)MAX(span_us, 0) / FIGURE_AVERAGE_US);
}

static double keep_since(const struct lug_load *load, gint64 now_us)
{
	if (load->tail_ms <= 0 || now_us - load->at_us > FIGURE_GAP_US)
		return 0;
	return MIN(lug_load_keep(now_us - load->at_us), KEEP_MAX);
}

/**
 * lug_load_tail_ms - tail latency since the former figure, freed of what lies before it
 * @load: estimate
 * @figure_ms: figure, a moving average
 * @now_us: present time
 */
double lug_load_tail_ms(const struct lug_load *load, double figure_ms, gint64 now_us)
{
	double keep = keep_since(load, now_us);

	return MAX((figure_ms - keep * load->tail_ms) / (1 - keep), 1);
}

/**
 * lug_load_noise - variance of a utilisation that is found from a figure
 */
double lug_load_noise(const struct lug_load *load, double used, gint64 now_us)
{
	double keep = keep_since(load, now_us);
	double error = (1 - used) * FIGURE_ERROR * sqrt(1 + keep * keep) / (1 - keep);

	return error * error + MODEL_ERROR * MODEL_ERROR;
}

/**
 * lug_load_advance - let the estimate age up to the present
 */
void lug_load_advance(struct lug_load *load, gint64 now_us)
{
	double span = load->at_us ? (double)(now_us - load->at_us) / G_USEC_PER_SEC : 0;
	double change = SLOPE_CHANGE * SLOPE_CHANGE * span;

	load->level += load->slope * span;
	load->level_var += 2 * load->covar * span + load->slope_var * span * span +
			   change * span * span / 3 + LEVEL_CHANGE * LEVEL_CHANGE * span;
	load->covar += load->slope_var * span + change * span / 2;
	load->slope_var += change;
	load->at_us = now_us;
}

/**
 * lug_load_correct - take the error of a prediction in
 * @load: estimate, advanced to the present
 * @error: observed less predicted utilisation
 * @variance: expected variance of @error
 */
void lug_load_correct(struct lug_load *load, double error, double variance)
{
	double gain = load->level_var / variance;
	double slope_gain = load->covar / variance;

	load->level = CLAMP(load->level + gain * error, 0, 1);
	load->slope += slope_gain * error;
	load->slope_var -= slope_gain * load->covar;
	load->covar -= gain * load->covar;
	load->level_var -= gain * load->level_var;
}

/**
 * lug_load_ahead - load expected some time ahead
 * @load: estimate
 * @now_us: present time
 * @ahead_us: how far ahead
 */
double lug_load_ahead(const struct lug_load *load, gint64 now_us, gint64 ahead_us)
{
	gint64 span_us = load->at_us ? MIN(now_us - load->at_us, FIGURE_GAP_US) + ahead_us : 0;

	return CLAMP(load->level + load->slope * (double)span_us / G_USEC_PER_SEC, 0, 1);
}
