#ifndef LUG_COLOCATE_CONTROL_H
#define LUG_COLOCATE_CONTROL_H

#include <glib.h>

#define LUG_CONTROL_WINDOW 64

enum lug_control_action {
	LUG_CONTROL_KEEP,
	LUG_CONTROL_THROTTLE,
	LUG_CONTROL_EVICT,
};

/**
 * struct lug_control - throttling of one worker's batch tasks
 * @target_us: time that the service should keep to
 * @level: part of their cores that batch tasks may use, percent
 * @samples: latest service times, microseconds
 * @count: samples taken since the last decision
 * @next_lower_us: level is not lowered before this time
 * @next_raise_us: level is not raised before this time
 * @next_evict_us: nothing is evicted before this time
 * @floor_since_us: since when the level is at its floor, 0 when it is not
 */
struct lug_control {
	gint64 target_us;
	gint64 level;
	gint64 samples[LUG_CONTROL_WINDOW];
	guint count;
	gint64 next_lower_us;
	gint64 next_raise_us;
	gint64 next_evict_us;
	gint64 floor_since_us;
};

void lug_control_init(struct lug_control *control, gint64 target_us);
void lug_control_sample(struct lug_control *control, gint64 service_us);
enum lug_control_action lug_control_step(struct lug_control *control, gint64 now_us);

#endif
