#ifndef LUG_COLOCATE_HEALTH_H
#define LUG_COLOCATE_HEALTH_H

#include <glib.h>

/**
 * struct lug_health - detects a worker that fails tasks which succeed elsewhere
 * @failures: failures of tasks whose kind has succeeded before, since the last success or the start
 *	of the last quarantine
 * @quarantines: quarantines since the last success
 * @quarantined_until_us: the worker gets no tasks before this time
 */
struct lug_health {
	guint failures;
	guint quarantines;
	gint64 quarantined_until_us;
};

void lug_health_update(struct lug_health *health, gboolean ok, gboolean proven, gint64 now_us);
gboolean lug_health_is_quarantined(const struct lug_health *health, gint64 now_us);
guint32 lug_health_max_starts(const struct lug_health *health);

#endif
