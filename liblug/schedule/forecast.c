#include "schedule/forecast.h"

#include <stdlib.h>

/* From this progress on, a run's own speed says more about its end than its expected run time. */
#define PROGRESS_MIN_PERCENT 10
/* Keeps the expected end of a task that is halted for a moment from being put off for ever. */
#define SHARE_MIN 0.1

/**
 * lug_forecast_end_us - expected end of a run
 * @run: run
 * @now_us: current time
 *
 * A run that has exceeded its expected run time is of the long tail: half of the time that it has
 * lasted is added.
 *
 * Return: time, LUG_FORECAST_NEVER when it is not known.
 */
gint64 lug_forecast_end_us(const struct lug_forecast_run *run, gint64 now_us)
{
	gint64 elapsed_us = MAX(now_us - run->started_us, 0);
	double left_us;

	if (run->progress_percent >= 100)
		return now_us;
	if (run->progress_percent >= PROGRESS_MIN_PERCENT)
		return now_us + elapsed_us * (100 - run->progress_percent) / run->progress_percent;
	if (run->expected_ms <= 0)
		return LUG_FORECAST_NEVER;
	left_us = (double)run->expected_ms * 1000 - (double)elapsed_us;
	if (left_us <= 0)
		return now_us + elapsed_us / 2;
	left_us /= CLAMP(run->share, SHARE_MIN, 1);
	return left_us < (double)(LUG_FORECAST_NEVER / 2) ? now_us + (gint64)left_us
							  : LUG_FORECAST_NEVER;
}

static int compare_ends(const void *a, const void *b)
{
	const struct lug_forecast_end *left = a;
	const struct lug_forecast_end *right = b;

	return (left->at_us > right->at_us) - (left->at_us < right->at_us);
}

/**
 * lug_forecast_sort - put the ends in order of time
 */
void lug_forecast_sort(struct lug_forecast *forecast)
{
	if (forecast->n_ends > 1)
		qsort(forecast->ends, forecast->n_ends, sizeof(*forecast->ends), compare_ends);
}

/**
 * lug_forecast_first_fit - earliest time at which a size fits
 * @forecast: forecast, sorted
 * @size: size
 * @horizon_us: how far to look ahead, in microseconds
 * @now_us: current time
 *
 * Return: time, @now_us when it fits already, LUG_FORECAST_NEVER when it does not fit within the
 * horizon.
 */
gint64 lug_forecast_first_fit(const struct lug_forecast *forecast, const struct lug_resources *size,
			      gint64 horizon_us, gint64 now_us)
{
	struct lug_resources room = forecast->room;

	if (lug_resources_fit(size, &room))
		return now_us;
	for (guint i = 0; i < forecast->n_ends; i++) {
		const struct lug_forecast_end *end = &forecast->ends[i];

		if (end->at_us == LUG_FORECAST_NEVER || end->at_us - now_us > horizon_us)
			break;
		lug_resources_add(&room, &end->size);
		if (lug_resources_fit(size, &room))
			return MAX(end->at_us, now_us);
	}
	return LUG_FORECAST_NEVER;
}

/**
 * lug_forecast_points - room at up to LUG_FORECAST_POINTS_MAX later times within the horizon
 * @forecast: forecast, sorted
 * @horizon_us: how far to look ahead, in microseconds
 * @now_us: current time
 * @out: filled in, in order of time
 *
 * With more ends, several of them share a point, which has the time of the last one.
 *
 * Return: number of points.
 */
guint lug_forecast_points(const struct lug_forecast *forecast, gint64 horizon_us, gint64 now_us,
			  struct lug_forecast_point out[LUG_FORECAST_POINTS_MAX])
{
	struct lug_resources room = forecast->room;
	guint n_ends = 0;
	guint n_points = 0;

	while (n_ends < forecast->n_ends && forecast->ends[n_ends].at_us != LUG_FORECAST_NEVER &&
	       forecast->ends[n_ends].at_us - now_us <= horizon_us)
		n_ends++;
	for (guint i = 0; i < n_ends; i++) {
		lug_resources_add(&room, &forecast->ends[i].size);
		/* The points divide the ends into parts of equal number. */
		if ((i + 1) * LUG_FORECAST_POINTS_MAX / n_ends ==
			    i * LUG_FORECAST_POINTS_MAX / n_ends &&
		    n_ends > LUG_FORECAST_POINTS_MAX)
			continue;
		out[n_points].at_us = MAX(forecast->ends[i].at_us, now_us);
		out[n_points].room = room;
		n_points++;
	}
	return n_points;
}

/**
 * lug_forecast_points_fit - earliest point at which a size fits
 * @points: points in order of time
 * @n_points: number of points
 * @claimed: resources to subtract from the room of each point
 * @size: size
 *
 * Return: time of the point, LUG_FORECAST_NEVER when the size fits at none.
 */
gint64 lug_forecast_points_fit(const struct lug_forecast_point *points, guint n_points,
			       const struct lug_resources *claimed,
			       const struct lug_resources *size)
{
	for (guint i = 0; i < n_points; i++) {
		struct lug_resources room = points[i].room;

		lug_resources_sub(&room, claimed);
		if (lug_resources_fit(size, &room))
			return points[i].at_us;
	}
	return LUG_FORECAST_NEVER;
}
