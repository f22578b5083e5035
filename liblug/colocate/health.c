#include "colocate/health.h"

#define STREAK_MAX 2
#define REST_US (60 * 1000 * 1000)
#define REST_SHIFT_MAX 4

/**
 * lug_health_result - take in the end of a task
 * @health: state
 * @ok: it ended well
 * @proven: tasks of its kind have ended well elsewhere
 * @now_us: present time
 *
 * A failure of a kind that has not run well anywhere says nothing of the worker.
 */
void lug_health_result(struct lug_health *health, gboolean ok, gboolean proven, gint64 now_us)
{
	if (ok) {
		health->streak = 0;
		health->rests = 0;
		return;
	}
	if (!proven)
		return;
	health->streak++;
	if (health->streak < STREAK_MAX && !health->rests)
		return;
	health->rest_until_us =
		now_us + ((gint64)REST_US << MIN(health->rests, (guint)REST_SHIFT_MAX));
	health->rests++;
	health->streak = 0;
}

/**
 * lug_health_resting - tell whether the worker takes no tasks now
 */
gboolean lug_health_resting(const struct lug_health *health, gint64 now_us)
{
	return now_us < health->rest_until_us;
}

/**
 * lug_health_max_starts - tasks that may be started by one offer
 *
 * Return: 1 while the worker is in doubt, 0 for no bound.
 */
guint32 lug_health_max_starts(const struct lug_health *health)
{
	return health->streak || health->rests ? 1 : 0;
}
