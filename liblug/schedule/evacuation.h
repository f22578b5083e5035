#ifndef LUG_SCHEDULE_EVACUATION_H
#define LUG_SCHEDULE_EVACUATION_H

#include <glib.h>

/* Zones that are kept, and the longest name of one in bytes; the process's own zone always is. */
#define LUG_EVACUATION_ZONES_MAX 256
#define LUG_EVACUATION_NAME_MAX 256
/*
 * Greatest age of the set in microseconds at which starts are allowed. A start may reach the worker
 * 700 ms after it was allowed (its time-out), and none may run 5 s after an evacuation began. It
 * also covers one watch that gets no answer and the read after it (3.8 s).
 */
#define LUG_EVACUATION_AGE_MAX_US (4 * G_USEC_PER_SEC)

/**
 * enum lug_evacuation_verdict - whether tasks may start in a zone
 * @LUG_EVACUATION_OPEN: they may
 * @LUG_EVACUATION_EVACUATED: the zone is evacuated
 * @LUG_EVACUATION_UNKNOWN: the set was never read completely, is too old, or lacks zones
 */
enum lug_evacuation_verdict {
	LUG_EVACUATION_OPEN,
	LUG_EVACUATION_EVACUATED,
	LUG_EVACUATION_UNKNOWN,
};

/* Called with each zone whose evacuation begins or ends. */
typedef void (*lug_evacuation_fn)(void *data, const char *zone, gboolean evacuated);

/**
 * struct lug_evacuation - the evacuated zones as far as this process knows them
 *
 * Bounded; zones beyond the bound are not kept, see lug_evacuation_is_complete(). Functions that
 * query a set accept NULL for a deployment without evacuations, where all zones are open.
 */
struct lug_evacuation;

struct lug_evacuation *lug_evacuation_new(const char *own_zone, lug_evacuation_fn changed,
					  void *data);
void lug_evacuation_free(struct lug_evacuation *set);
void lug_evacuation_add(struct lug_evacuation *set, const char *zone);
void lug_evacuation_remove(struct lug_evacuation *set, const char *zone);
void lug_evacuation_begin_read(struct lug_evacuation *set);
void lug_evacuation_end_read(struct lug_evacuation *set, gint64 as_of_us);
void lug_evacuation_confirm(struct lug_evacuation *set, gint64 as_of_us);
gboolean lug_evacuation_is_read(const struct lug_evacuation *set);
gboolean lug_evacuation_is_complete(const struct lug_evacuation *set);
guint lug_evacuation_count(const struct lug_evacuation *set);
gboolean lug_evacuation_contains(const struct lug_evacuation *set, const char *zone);
enum lug_evacuation_verdict lug_evacuation_check(const struct lug_evacuation *set, const char *zone,
						 gint64 now_us);

#endif
