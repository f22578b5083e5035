#include "workflow/serving_load.h"

#include <math.h>

/* Time constant of the moving average of tail latencies that a worker reports. */
#define AVERAGE_TIME_CONSTANT_US (350 * 1000)
/* Measurement noise of a tail latency, relative standard deviation. */
#define TAIL_RELATIVE_SD 0.04
/* Standard deviation of a utilisation that the queueing model computes from a tail latency. */
#define MODEL_SD 0.02
/*
 * Bounds the weight of the previous sample when it is subtracted from the moving average: the
 * difference of two samples close to each other amplifies their noise.
 */
#define OLD_WEIGHT_MAX 0.8
/* Prior of an unobserved serving task: mean of the level, standard deviations of both states. */
#define LEVEL_PRIOR 0.5
#define LEVEL_PRIOR_SD 0.2
#define SLOPE_PRIOR_SD 0.08
/*
 * Process noise of the slope, standard deviation after 1 s. Within 10 s the load may change by
 * half.
 */
#define SLOPE_DRIFT_SD 0.10
/* Process noise of the level, standard deviation after 1 s, for bursts of requests to one task. */
#define LEVEL_DRIFT_SD 0.07
/*
 * After a longer gap the moving average holds nothing of the previous sample. Also bounds the time
 * since the latest sample over which the own load is extrapolated.
 */
#define SAMPLE_GAP_MAX_US (2 * G_USEC_PER_SEC)

/**
 * lug_serving_load_init - set the estimate to the prior of any serving task
 * @own_load: estimate
 */
void lug_serving_load_init(struct lug_serving_load *own_load)
{
	*own_load = (struct lug_serving_load){.level = LEVEL_PRIOR,
					      .level_var = LEVEL_PRIOR_SD * LEVEL_PRIOR_SD,
					      .slope_var = SLOPE_PRIOR_SD * SLOPE_PRIOR_SD};
}

/**
 * lug_serving_load_decay - weight of the samples older than a time span in a worker's moving
 * average
 * @span_us: time span
 *
 * Return: 0 to 1.
 */
double lug_serving_load_decay(gint64 span_us)
{
	return exp(-(double)MAX(span_us, 0) / AVERAGE_TIME_CONSTANT_US);
}

static double old_weight_since(const struct lug_serving_load *own_load, gint64 now_us)
{
	if (own_load->tail_ms <= 0 || now_us - own_load->at_us > SAMPLE_GAP_MAX_US)
		return 0;
	return MIN(lug_serving_load_decay(now_us - own_load->at_us), OLD_WEIGHT_MAX);
}

/**
 * lug_serving_load_tail_ms - tail latency since the previous sample
 * @own_load: estimate, which holds the previous sample
 * @average_ms: current value of the moving average
 * @now_us: current time
 *
 * Removes the part of the moving average that is older than the previous sample.
 *
 * Return: tail latency in ms, at least 1.
 */
double lug_serving_load_tail_ms(const struct lug_serving_load *own_load, double average_ms,
				gint64 now_us)
{
	double old_weight = old_weight_since(own_load, now_us);

	return MAX((average_ms - old_weight * own_load->tail_ms) / (1 - old_weight), 1);
}

/**
 * lug_serving_load_noise_var - measurement noise of a utilisation computed from a tail latency
 * @own_load: estimate, which holds the previous sample
 * @utilisation: computed utilisation
 * @now_us: current time
 *
 * Return: variance.
 */
double lug_serving_load_noise_var(const struct lug_serving_load *own_load, double utilisation,
				  gint64 now_us)
{
	double old_weight = old_weight_since(own_load, now_us);
	double sd = (1 - utilisation) * TAIL_RELATIVE_SD * sqrt(1 + old_weight * old_weight) /
		    (1 - old_weight);

	return sd * sd + MODEL_SD * MODEL_SD;
}

/**
 * lug_serving_load_advance - predict step of the filter, up to the current time
 * @own_load: estimate
 * @now_us: current time
 */
void lug_serving_load_advance(struct lug_serving_load *own_load, gint64 now_us)
{
	double span_s = own_load->at_us ? (double)(now_us - own_load->at_us) / G_USEC_PER_SEC : 0;
	double slope_noise = SLOPE_DRIFT_SD * SLOPE_DRIFT_SD * span_s;

	own_load->level += own_load->slope * span_s;
	own_load->level_var +=
		2 * own_load->covar * span_s + own_load->slope_var * span_s * span_s +
		slope_noise * span_s * span_s / 3 + LEVEL_DRIFT_SD * LEVEL_DRIFT_SD * span_s;
	own_load->covar += own_load->slope_var * span_s + slope_noise * span_s / 2;
	own_load->slope_var += slope_noise;
	own_load->at_us = now_us;
}

/**
 * lug_serving_load_correct - update step of the filter
 * @own_load: estimate, advanced to the current time
 * @error: observed less predicted utilisation
 * @variance: expected variance of @error
 */
void lug_serving_load_correct(struct lug_serving_load *own_load, double error, double variance)
{
	double level_gain = own_load->level_var / variance;
	double slope_gain = own_load->covar / variance;

	own_load->level = CLAMP(own_load->level + level_gain * error, 0, 1);
	own_load->slope += slope_gain * error;
	own_load->slope_var -= slope_gain * own_load->covar;
	own_load->covar -= level_gain * own_load->covar;
	own_load->level_var -= level_gain * own_load->level_var;
}

/**
 * lug_serving_load_extrapolate - extrapolate the own load to a later time
 * @own_load: estimate
 * @now_us: current time
 * @ahead_us: time from the current time on
 *
 * Return: utilisation, 0 to 1.
 */
double lug_serving_load_extrapolate(const struct lug_serving_load *own_load, gint64 now_us,
				    gint64 ahead_us)
{
	gint64 span_us =
		own_load->at_us ? MIN(now_us - own_load->at_us, SAMPLE_GAP_MAX_US) + ahead_us : 0;

	return CLAMP(own_load->level + own_load->slope * (double)span_us / G_USEC_PER_SEC, 0, 1);
}
