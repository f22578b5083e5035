#include "colocate/health.h"

#define FAILURES_TO_QUARANTINE 2
#define QUARANTINE_US (60 * 1000 * 1000)
/* The length of a quarantine is doubled at most QUARANTINE_SHIFT_MAX times. */
#define QUARANTINE_SHIFT_MAX 4

/**
 * lug_health_update - update with the result of a task
 * @health: state
 * @ok: the task succeeded
 * @proven: tasks of its kind have succeeded before
 * @now_us: current time, microseconds
 *
 * A failure of a kind that has never succeeded is ignored, as the task may be at fault.
 * After a quarantine, a single failure starts another one of twice the length, up to a limit.
 */
void lug_health_update(struct lug_health *health, gboolean ok, gboolean proven, gint64 now_us)
{
	if (ok) {
		health->failures = 0;
		health->quarantines = 0;
		return;
	}
	if (!proven)
		return;
	health->failures++;
	if (health->failures < FAILURES_TO_QUARANTINE && !health->quarantines)
		return;
	health->quarantined_until_us =
		now_us +
		((gint64)QUARANTINE_US << MIN(health->quarantines, (guint)QUARANTINE_SHIFT_MAX));
	health->quarantines++;
	health->failures = 0;
}

/**
 * lug_health_is_quarantined - whether the worker is quarantined and gets no tasks
 * @health: state
 * @now_us: current time, microseconds
 */
gboolean lug_health_is_quarantined(const struct lug_health *health, gint64 now_us)
{
	return now_us < health->quarantined_until_us;
}

/**
 * lug_health_max_starts - limit on the starts that one offer may cause
 * @health: state
 *
 * Return: 1 while the last failures have not been followed by a success, 0 for no limit.
 */
guint32 lug_health_max_starts(const struct lug_health *health)
{
	return health->failures || health->quarantines ? 1 : 0;
}
