#ifndef LUG_SCHEDULE_ESTIMATE_H
#define LUG_SCHEDULE_ESTIMATE_H

#include <glib.h>

/* Most keys; the key with the smallest weight of samples is evicted. */
#define LUG_ESTIMATES_KEYS_MAX 256
/* Ends of a key that must be known before its estimate replaces the declared run time. */
#define LUG_ESTIMATES_ENDS_MIN 8
/* Quantiles for an expectation and for a promise. */
#define LUG_ESTIMATES_EXPECTED 0.5
#define LUG_ESTIMATES_PROMISED 0.9

/**
 * struct lug_estimates - run times learned from the ends of runs, by key
 *
 * For each key the ratio of actual to declared run time is kept as a histogram with logarithmic
 * buckets, in which old samples lose weight.
 */
struct lug_estimates;

struct lug_estimates *lug_estimates_new(void);
void lug_estimates_free(struct lug_estimates *est);
void lug_estimates_add(struct lug_estimates *est, const char *key, gint64 declared_ms,
		       gint64 actual_ms, gint64 now_us);
gint64 lug_estimates_ms(const struct lug_estimates *est, const char *key, gint64 declared_ms,
			double quantile);
guint lug_estimates_count(const struct lug_estimates *est);

#endif
