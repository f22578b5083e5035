#ifndef LUG_COLOCATE_CONTROL_H
#define LUG_COLOCATE_CONTROL_H

#include <glib.h>

#define LUG_CONTROL_WINDOW 64

/**
 * enum lug_control_action - what is to be done with the worker's batch tasks
 * @LUG_CONTROL_KEEP: nothing
 * @LUG_CONTROL_THROTTLE: apply the changed throttle percentage, whether lower or higher
 * @LUG_CONTROL_EVICT: evict one task
 */
enum lug_control_action {
	LUG_CONTROL_KEEP,
	LUG_CONTROL_THROTTLE,
	LUG_CONTROL_EVICT,
};

/**
 * struct lug_control - throttling of one worker's batch tasks by the service's tail latency
 * @target_us: target for the service's tail latency, microseconds
 * @throttle_percent: throttle percentage, the percent of their cores that batch tasks may use
 * @samples: ring buffer of the latest service times, microseconds
 * @sample_count: samples added since the throttle percentage was last reconsidered
 * @next_lower_us: the throttle percentage is not lowered before this time
 * @next_raise_us: the throttle percentage is not raised before this time
 * @next_evict_us: no task is evicted before this time
 * @exceeded_at_min_since_us: first time that the tail latency exceeded its target at the lowest
 *	throttle percentage, 0 for none since it was last well below the target
 */
struct lug_control {
	gint64 target_us;
	gint64 throttle_percent;
	gint64 samples[LUG_CONTROL_WINDOW];
	guint sample_count;
	gint64 next_lower_us;
	gint64 next_raise_us;
	gint64 next_evict_us;
	gint64 exceeded_at_min_since_us;
};

void lug_control_init(struct lug_control *control, gint64 target_us);
void lug_control_add_sample(struct lug_control *control, gint64 service_us);
enum lug_control_action lug_control_decide(struct lug_control *control, gint64 now_us);

#endif
