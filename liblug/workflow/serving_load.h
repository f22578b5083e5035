#ifndef LUG_WORKFLOW_SERVING_LOAD_H
#define LUG_WORKFLOW_SERVING_LOAD_H

#include <glib.h>

/**
 * struct lug_serving_load - own load of a serving task: the utilisation that it has without the
 * tasks beside it, estimated from its tail latencies
 * @level: utilisation by the own load
 * @slope: change of @level per second
 * @level_var: variance of @level
 * @covar: covariance of @level and @slope
 * @slope_var: variance of @slope
 * @tail_ms: latest tail latency, a moving average; 0 before the first
 * @at_us: time of the latest sample
 *
 * A Kalman filter with a local linear trend (level and slope), as the load changes slowly compared
 * with the rate of samples.
 */
struct lug_serving_load {
	double level;
	double slope;
	double level_var;
	double covar;
	double slope_var;
	double tail_ms;
	gint64 at_us;
};

void lug_serving_load_init(struct lug_serving_load *own_load);
double lug_serving_load_decay(gint64 span_us);
double lug_serving_load_tail_ms(const struct lug_serving_load *own_load, double average_ms,
				gint64 now_us);
double lug_serving_load_noise_var(const struct lug_serving_load *own_load, double utilisation,
				  gint64 now_us);
void lug_serving_load_advance(struct lug_serving_load *own_load, gint64 now_us);
void lug_serving_load_correct(struct lug_serving_load *own_load, double error, double variance);
double lug_serving_load_extrapolate(const struct lug_serving_load *own_load, gint64 now_us,
				    gint64 ahead_us);

#endif
