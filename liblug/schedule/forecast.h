#ifndef LUG_SCHEDULE_FORECAST_H
#define LUG_SCHEDULE_FORECAST_H

#include "core/resources.h"

/* Points of a forecast that a heartbeat carries at most. */
#define LUG_FORECAST_POINTS_MAX 4
/* Stands for a time that is not known or not within the horizon. */
#define LUG_FORECAST_NEVER G_MAXINT64

/**
 * struct lug_forecast_run - what is known about the end of a run
 * @started_us: when it was started
 * @expected_ms: expected run time at full speed in ms, 0 for not known
 * @progress_percent: reported progress, in percent of the task's work
 * @share: share of full speed that it gets now, 0 to 1
 */
struct lug_forecast_run {
	gint64 started_us;
	gint64 expected_ms;
	guint32 progress_percent;
	double share;
};

/**
 * struct lug_forecast_end - resources that become free
 * @at_us: expected time
 * @size: resources
 */
struct lug_forecast_end {
	gint64 at_us;
	struct lug_resources size;
};

/**
 * struct lug_forecast - present room of a worker and the expected ends of its runs
 * @room: free resources now
 * @ends: expected ends in order of time, see lug_forecast_sort()
 * @n_ends: number of @ends
 */
struct lug_forecast {
	struct lug_resources room;
	struct lug_forecast_end *ends;
	guint n_ends;
};

/**
 * struct lug_forecast_point - room at a later time
 * @at_us: time
 * @room: free resources from then on
 */
struct lug_forecast_point {
	gint64 at_us;
	struct lug_resources room;
};

gint64 lug_forecast_end_us(const struct lug_forecast_run *run, gint64 now_us);
void lug_forecast_sort(struct lug_forecast *forecast);
gint64 lug_forecast_first_fit(const struct lug_forecast *forecast, const struct lug_resources *size,
			      gint64 horizon_us, gint64 now_us);
guint lug_forecast_points(const struct lug_forecast *forecast, gint64 horizon_us, gint64 now_us,
			  struct lug_forecast_point out[LUG_FORECAST_POINTS_MAX]);
gint64 lug_forecast_points_fit(const struct lug_forecast_point *points, guint n_points,
			       const struct lug_resources *claimed,
			       const struct lug_resources *size);

#endif
