#ifndef LUG_WORKFLOW_LOAD_H
#define LUG_WORKFLOW_LOAD_H

#include <glib.h>

/**
 * struct lug_load - own load of a serving task, estimated from its tail latencies
 * @level: utilisation without the tasks beside it
 * @slope: change of @level, per second
 * @level_var: variance of @level
 * @covar: covariance of @level and @slope
 * @slope_var: variance of @slope
 * @tail_ms: latest figure, 0 before the first
 * @at_us: time of the latest figure
 *
 * A Kalman filter of level and trend, since the load swings slowly against the rate of figures.
 */
struct lug_load {
	double level;
	double slope;
	double level_var;
	double covar;
	double slope_var;
	double tail_ms;
	gint64 at_us;
};

void lug_load_init(struct lug_load *load);
double lug_load_keep(gint64 span_us);
double lug_load_tail_ms(const struct lug_load *load, double figure_ms, gint64 now_us);
double lug_load_noise(const struct lug_load *load, double used, gint64 now_us);
void lug_load_advance(struct lug_load *load, gint64 now_us);
void lug_load_correct(struct lug_load *load, double error, double variance);
double lug_load_ahead(const struct lug_load *load, gint64 now_us, gint64 ahead_us);

#endif
