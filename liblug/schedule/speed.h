#ifndef LUG_SCHEDULE_SPEED_H
#define LUG_SCHEDULE_SPEED_H

#include <glib.h>

/* Tasks whose latest samples are kept. */
#define LUG_SPEED_TASKS_MAX 64
/* Workers whose known speed is lower rank last for tasks with reserved cores. */
#define LUG_SPEED_SLOW 0.6

/**
 * struct lug_speed_task - progress of one task since the start of its present sample
 * @at_us: start of the sample on the worker's clock, 0 for none
 * @percent: progress at that time
 * @share: share at which the task has worked since then, 0 to 1
 * @own_speed: its speed by the expected run time while the worker was not slow, 0 for not known.
 *             Later samples are relative to it, which removes the error of the expected run time
 * @candidate: latest sample, becomes @own_speed if the worker's speed does not change with it; 0
 *             for none
 * @candidate_since_us: time since which there has been a candidate, microseconds, monotonic
 */
struct lug_speed_task {
	gint64 at_us;
	guint32 percent;
	double share;
	double own_speed;
	double candidate;
	gint64 candidate_since_us;
};

/**
 * struct lug_speed_progress - progress of one task as a poll reports it
 * @task: number of the task's run, unique on the worker
 * @job: hash of its job's id
 * @expected_ms: expected run time of the whole task at full speed, 0 for not known
 * @share: share at which it works, 0 to 1; 0 when this is not known or the task lacks cores, so
 *         that its progress says nothing about the worker
 * @percent: progress, whole percent
 * @at_us: time of the report on the worker's clock, microseconds
 */
struct lug_speed_progress {
	guint64 task;
	guint job;
	gint64 expected_ms;
	double share;
	guint32 percent;
	gint64 at_us;
};

/**
 * struct lug_speed_sample - speed of a worker as seen by one task
 * @task: see struct lug_speed_progress
 * @job: see struct lug_speed_progress
 * @speed: fraction of nominal speed
 * @is_relative: it is relative to the task's own speed, see struct lug_speed_task
 * @at_us: time at which it was taken, microseconds, monotonic
 */
struct lug_speed_sample {
	guint64 task;
	guint job;
	double speed;
	gboolean is_relative;
	gint64 at_us;
};

/**
 * struct lug_speed - measured speed of a worker
 * @samples: latest sample of each task
 * @n_samples: number of @samples
 * @value: speed as a fraction of nominal, 0 while it is not known
 * @median: latest median of the samples, 0 for none
 * @changing_since_us: time since which the median has differed from @value, 0 while it does not
 * @falling: the median is below @value
 * @updated_us: time of the latest update
 */
struct lug_speed {
	struct lug_speed_sample samples[LUG_SPEED_TASKS_MAX];
	guint n_samples;
	double value;
	double median;
	gint64 changing_since_us;
	gboolean falling;
	gint64 updated_us;
};

/**
 * struct lug_speed_move - state of a task that may move off a slow worker
 * @slow_since_us: time since which its worker has been slow, 0 while it is not
 * @n_moves: moves of the task so far
 */
struct lug_speed_move {
	gint64 slow_since_us;
	guint n_moves;
};

void lug_speed_reset(struct lug_speed *speed);
void lug_speed_observe(struct lug_speed *speed, struct lug_speed_task *task,
		       const struct lug_speed_progress *progress, gint64 now_us);
void lug_speed_update(struct lug_speed *speed, gint64 now_us);
guint32 lug_speed_permille(const struct lug_speed *speed, gint64 now_us);
double lug_speed_reported(guint32 permille, gint64 reported_us, gint64 now_us);
double lug_speed_factor(double speed);
gboolean lug_speed_is_slow(double speed);
gboolean lug_speed_is_target(double speed);
gboolean lug_speed_may_move(struct lug_speed_move *move, double speed, gint64 now_us);

#endif
