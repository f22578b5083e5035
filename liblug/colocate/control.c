#include "colocate/control.h"

#include <stdlib.h>
#include <string.h>

#define LEVEL_FULL 100
#define LEVEL_FLOOR 10
#define LOWER_NUMERATOR 6
#define LOWER_DENOMINATOR 10
#define RAISE_STEP 10
#define LOWER_PAUSE_US (200 * 1000)
#define RAISE_PAUSE_US (1000 * 1000)
#define EVICT_AFTER_US (3000 * 1000)
#define EVICT_PAUSE_US (10 * 1000 * 1000)
#define SAMPLES_MIN 8
#define QUANTILE_NUMERATOR 95
/* The level is raised only while the service stays below this part of its target. */
#define CALM_NUMERATOR 8
#define CALM_DENOMINATOR 10

/**
 * lug_control_init - start unthrottled
 * @control: state
 * @target_us: time that the service should keep to
 */
void lug_control_init(struct lug_control *control, gint64 target_us)
{
	memset(control, 0, sizeof(*control));
	control->target_us = target_us;
	control->level = LEVEL_FULL;
}

/**
 * lug_control_sample - take in a service time
 * @control: state
 * @service_us: time of one request at the backend server
 */
void lug_control_sample(struct lug_control *control, gint64 service_us)
{
	control->samples[control->count++ % LUG_CONTROL_WINDOW] = service_us;
}

static int compare(const void *a, const void *b)
{
	gint64 left = *(const gint64 *)a;
	gint64 right = *(const gint64 *)b;

	return (left > right) - (left < right);
}

static gint64 tail(const struct lug_control *control, guint n)
{
	gint64 sorted[LUG_CONTROL_WINDOW];

	memcpy(sorted, control->samples, n * sizeof(sorted[0]));
	qsort(sorted, n, sizeof(sorted[0]), compare);
	return sorted[MIN(n * QUANTILE_NUMERATOR / 100, n - 1)];
}

static enum lug_control_action lower(struct lug_control *control, gint64 now_us)
{
	gint64 level = MAX(control->level * LOWER_NUMERATOR / LOWER_DENOMINATOR, LEVEL_FLOOR);

	control->next_raise_us = now_us + RAISE_PAUSE_US;
	if (level != control->level) {
		control->level = level;
		control->next_lower_us = now_us + LOWER_PAUSE_US;
		return LUG_CONTROL_THROTTLE;
	}
	if (!control->floor_since_us)
		control->floor_since_us = now_us;
	if (now_us - control->floor_since_us < EVICT_AFTER_US || now_us < control->next_evict_us)
		return LUG_CONTROL_KEEP;
	control->next_evict_us = now_us + EVICT_PAUSE_US;
	return LUG_CONTROL_EVICT;
}

static enum lug_control_action raise_level(struct lug_control *control, gint64 now_us)
{
	control->floor_since_us = 0;
	if (control->level == LEVEL_FULL)
		return LUG_CONTROL_KEEP;
	control->level = MIN(control->level + RAISE_STEP, LEVEL_FULL);
	control->next_raise_us = now_us + RAISE_PAUSE_US;
	return LUG_CONTROL_THROTTLE;
}

/**
 * lug_control_step - decide what happens to the worker's batch tasks
 * @control: state
 * @now_us: present time
 *
 * The level falls by a factor as soon as the tail of the service passes its target
 * and rises by small steps while it stays well below. A task is evicted only when the
 * lowest level has not helped for some seconds.
 */
enum lug_control_action lug_control_step(struct lug_control *control, gint64 now_us)
{
	guint n = MIN(control->count, LUG_CONTROL_WINDOW);
	gint64 worst;

	if (n < SAMPLES_MIN) {
		if (now_us < control->next_raise_us)
			return LUG_CONTROL_KEEP;
		control->count = 0;
		return raise_level(control, now_us);
	}
	worst = tail(control, n);
	if (worst > control->target_us) {
		if (now_us < control->next_lower_us)
			return LUG_CONTROL_KEEP;
		control->count = 0;
		return lower(control, now_us);
	}
	if (now_us < control->next_raise_us)
		return LUG_CONTROL_KEEP;
	control->count = 0;
	if (worst > control->target_us * CALM_NUMERATOR / CALM_DENOMINATOR)
		return LUG_CONTROL_KEEP;
	return raise_level(control, now_us);
}
