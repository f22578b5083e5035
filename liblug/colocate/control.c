#include "colocate/control.h"

#include <stdlib.h>
#include <string.h>

#define THROTTLE_PERCENT_MAX 100
#define THROTTLE_PERCENT_MIN 10
#define LOWER_FACTOR_NUMERATOR 6
#define LOWER_FACTOR_DENOMINATOR 10
#define RAISE_STEP_PERCENT 10
#define LOWER_INTERVAL_US (200 * 1000)
#define RAISE_INTERVAL_US (1000 * 1000)
#define SERVICE_EVICT_DELAY_US (3000 * 1000)
#define SERVICE_EVICT_INTERVAL_US (10 * 1000 * 1000)
#define SAMPLES_MIN 8
#define TAIL_PERCENTILE 95
/*
 * The throttle percentage is raised only while the tail latency is below this fraction of its
 * target.
 */
#define RAISE_BELOW_NUMERATOR 8
#define RAISE_BELOW_DENOMINATOR 10

/**
 * lug_control_init - initialise a controller: unthrottled, without samples
 * @control: state
 * @target_us: target for the service's tail latency, microseconds
 */
void lug_control_init(struct lug_control *control, gint64 target_us)
{
	memset(control, 0, sizeof(*control));
	control->target_us = target_us;
	control->throttle_percent = THROTTLE_PERCENT_MAX;
}

/**
 * lug_control_add_sample - add a service time
 * @control: state
 * @service_us: time of one request at the backend server, microseconds
 */
void lug_control_add_sample(struct lug_control *control, gint64 service_us)
{
	control->samples[control->sample_count++ % LUG_CONTROL_WINDOW] = service_us;
}

static int compare_samples(const void *a, const void *b)
{
	gint64 left = *(const gint64 *)a;
	gint64 right = *(const gint64 *)b;

	return (left > right) - (left < right);
}

static gint64 tail_latency_us(const struct lug_control *control, guint n)
{
	gint64 sorted[LUG_CONTROL_WINDOW];

	memcpy(sorted, control->samples, n * sizeof(sorted[0]));
	qsort(sorted, n, sizeof(sorted[0]), compare_samples);
	return sorted[MIN(n * TAIL_PERCENTILE / 100, n - 1)];
}

static enum lug_control_action lower_percent_or_evict(struct lug_control *control, gint64 now_us)
{
	gint64 throttle_percent =
		MAX(control->throttle_percent * LOWER_FACTOR_NUMERATOR / LOWER_FACTOR_DENOMINATOR,
		    THROTTLE_PERCENT_MIN);

	control->next_raise_us = now_us + RAISE_INTERVAL_US;
	if (throttle_percent != control->throttle_percent) {
		control->throttle_percent = throttle_percent;
		control->next_lower_us = now_us + LOWER_INTERVAL_US;
		return LUG_CONTROL_THROTTLE;
	}
	if (!control->exceeded_at_min_since_us)
		control->exceeded_at_min_since_us = now_us;
	if (now_us - control->exceeded_at_min_since_us < SERVICE_EVICT_DELAY_US ||
	    now_us < control->next_evict_us)
		return LUG_CONTROL_KEEP;
	control->next_evict_us = now_us + SERVICE_EVICT_INTERVAL_US;
	return LUG_CONTROL_EVICT;
}

static enum lug_control_action raise_throttle_percent(struct lug_control *control, gint64 now_us)
{
	control->exceeded_at_min_since_us = 0;
	if (control->throttle_percent == THROTTLE_PERCENT_MAX)
		return LUG_CONTROL_KEEP;
	control->throttle_percent =
		MIN(control->throttle_percent + RAISE_STEP_PERCENT, THROTTLE_PERCENT_MAX);
	control->next_raise_us = now_us + RAISE_INTERVAL_US;
	return LUG_CONTROL_THROTTLE;
}

/**
 * lug_control_decide - decide on the throttle percentage and on evictions
 * @control: state
 * @now_us: current time, microseconds
 *
 * The throttle percentage is multiplied by a factor below 1 when the tail latency of the service
 * exceeds its target, and raised in steps while the tail latency is well below the target. Too few
 * samples mean that the service is idle: the percentage is raised. A task is evicted only when the
 * tail latency still exceeds the target SERVICE_EVICT_DELAY_US after it first exceeded the target
 * at the lowest percentage.
 *
 * Return: the action to take; the throttle percentage is in @control.
 */
enum lug_control_action lug_control_decide(struct lug_control *control, gint64 now_us)
{
	guint n = MIN(control->sample_count, LUG_CONTROL_WINDOW);
	gint64 tail_us;

	if (n < SAMPLES_MIN) {
		if (now_us < control->next_raise_us)
			return LUG_CONTROL_KEEP;
		control->sample_count = 0;
		return raise_throttle_percent(control, now_us);
	}
	tail_us = tail_latency_us(control, n);
	if (tail_us > control->target_us) {
		if (now_us < control->next_lower_us)
			return LUG_CONTROL_KEEP;
		control->sample_count = 0;
		return lower_percent_or_evict(control, now_us);
	}
	if (now_us < control->next_raise_us)
		return LUG_CONTROL_KEEP;
	control->sample_count = 0;
	if (tail_us > control->target_us * RAISE_BELOW_NUMERATOR / RAISE_BELOW_DENOMINATOR)
		return LUG_CONTROL_KEEP;
	return raise_throttle_percent(control, now_us);
}
