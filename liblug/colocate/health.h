#ifndef LUG_COLOCATE_HEALTH_H
#define LUG_COLOCATE_HEALTH_H

#include <glib.h>

/**
 * struct lug_health - finds out that a worker fails what runs well elsewhere
 * @streak: failures in a row of tasks whose kind has ended well elsewhere
 * @rests: times the worker was set aside in a row
 * @rest_until_us: takes no tasks before this time
 */
struct lug_health {
	guint streak;
	guint rests;
	gint64 rest_until_us;
};

void lug_health_result(struct lug_health *health, gboolean ok, gboolean proven, gint64 now_us);
gboolean lug_health_resting(const struct lug_health *health, gint64 now_us);
guint32 lug_health_max_starts(const struct lug_health *health);

#endif
