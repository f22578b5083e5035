#include "schedule/speed.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

/*
 * A sample ends when the task would have made this progress at nominal speed. Reports are whole
 * percent, so the error of a sample is less than a fifth of nominal speed. The end must not depend
 * on the progress made: a slow task would give its samples later than a fast one.
 */
#define MIN_STEP_PERCENT 5.0
/* Shorter spans are dominated by the time between the worker's measurement and its answer. */
#define MIN_SPAN_US (200 * 1000)
/* Samples are used for this long; a task too long for a sample within this time gives none. */
#define SAMPLE_MAX_AGE_US (2 * G_USEC_PER_SEC)
/*
 * Older samples are used only when there are too few: those of ended tasks would otherwise hide a
 * change for their whole age. It covers two polls, each of which may wait for 250 ms.
 */
#define RECENT_US (600 * 1000)
/*
 * Expected run times are off by up to nine tenths, and 3 in 100 tasks take seven times as long.
 * Samples that rely on them are needed from several jobs, as the tasks of one may be off alike.
 */
#define MIN_TASKS 3
/* Fewer percent in a sample are too coarse for the comparison with later ones. */
#define MIN_OWN_PERCENT 3
/*
 * A task that is slower by its expected run time may as well show that the worker is slow. Its own
 * speed is learned only when the worker's has not changed for longer than older samples of other
 * tasks are used.
 */
#define OWN_SPEED_DOUBTFUL 0.4
#define OWN_SPEED_DOUBT_US (900 * 1000)
/* A change holds for half a second, two polls; less, as the time between polls varies. */
#define HOLD_US (400 * 1000)
/* Smaller changes are smoothed, not held back. */
#define CHANGE_FACTOR 1.25
#define SMOOTHING 0.25
#define SPEED_MIN 0.05
#define SPEED_MAX 1.5
#define REPORT_MAX_AGE_US (3 * G_USEC_PER_SEC)
/*
 * From this speed, workers count as equal: the difference is within the error of expected run
 * times. Tasks move only to a worker that is known to be as fast.
 */
#define SPEED_NOMINAL 0.8
/* Tasks move off a worker that has been slower for MOVE_AFTER_US. */
#define MOVE_SPEED 0.5
#define MOVE_AFTER_US (500 * 1000)
/* Misleading reports must not keep a task moving. */
#define MOVES_MAX 3

/**
 * lug_speed_reset - forget all samples; the speed is not known
 * @speed: speed
 */
void lug_speed_reset(struct lug_speed *speed)
{
	memset(speed, 0, sizeof(*speed));
}

static struct lug_speed_sample *sample_slot(struct lug_speed *speed, guint64 task)
{
	struct lug_speed_sample *oldest = &speed->samples[0];

	for (guint i = 0; i < speed->n_samples; i++) {
		if (speed->samples[i].task == task)
			return &speed->samples[i];
		if (speed->samples[i].at_us < oldest->at_us)
			oldest = &speed->samples[i];
	}
	if (speed->n_samples < LUG_SPEED_TASKS_MAX)
		return &speed->samples[speed->n_samples++];
	return oldest;
}

static void start_sample(struct lug_speed_task *task, const struct lug_speed_progress *progress)
{
	task->at_us = progress->at_us;
	task->percent = progress->percent;
	task->share = progress->share;
}

/*
 * Learns a task's own speed from its samples on a worker that is not slow. A sample during which
 * the worker has changed must not count, so a later one confirms it.
 */
static void learn_own_speed(const struct lug_speed *speed, struct lug_speed_task *task,
			    double sample, guint32 step, gint64 now_us)
{
	gboolean is_doubtful = task->candidate < OWN_SPEED_DOUBTFUL;

	if (task->own_speed > 0)
		return;
	if (speed->value < LUG_SPEED_SLOW || speed->changing_since_us) {
		task->candidate = 0;
		return;
	}
	if (task->candidate > 0 &&
	    (!is_doubtful || now_us - task->candidate_since_us >= OWN_SPEED_DOUBT_US)) {
		task->own_speed = task->candidate;
		return;
	}
	if (task->candidate <= 0)
		task->candidate_since_us = now_us;
	task->candidate = step >= MIN_OWN_PERCENT ? sample : 0;
}

static void add_sample(struct lug_speed *speed, struct lug_speed_task *task,
		       const struct lug_speed_progress *progress, double nominal, gint64 now_us)
{
	guint32 step = progress->percent - task->percent;
	struct lug_speed_sample *sample = sample_slot(speed, progress->task);

	learn_own_speed(speed, task, step / nominal, step, now_us);
	sample->task = progress->task;
	sample->job = progress->job;
	sample->is_relative = task->own_speed > 0;
	sample->speed = step / nominal / (sample->is_relative ? task->own_speed : 1);
	sample->at_us = now_us;
}

/**
 * lug_speed_observe - note the progress of a task
 * @speed: speed of its worker; gets a sample once the task's progress allows for one
 * @task: state of the task, zeroed before the first call
 * @progress: latest progress
 * @now_us: current time
 *
 * A sample starts anew when the share changes, as the time of the change is not known exactly.
 */
void lug_speed_observe(struct lug_speed *speed, struct lug_speed_task *task,
		       const struct lug_speed_progress *progress, gint64 now_us)
{
	gint64 span_us = progress->at_us - task->at_us;
	double nominal;

	/* The progress of a task that is about to end may be cut to 99. */
	if (progress->expected_ms <= 0 || progress->share <= 0 || progress->percent >= 99) {
		task->at_us = 0;
		return;
	}
	if (!task->at_us || span_us <= 0 || span_us > SAMPLE_MAX_AGE_US ||
	    fabs(progress->share - task->share) > 1e-6 || progress->percent < task->percent) {
		start_sample(task, progress);
		return;
	}
	nominal = (double)span_us * task->share / ((double)progress->expected_ms * 10);
	if (span_us < MIN_SPAN_US || nominal < MIN_STEP_PERCENT)
		return;
	add_sample(speed, task, progress, nominal, now_us);
	start_sample(task, progress);
}

static gint compare_newest_first(gconstpointer a, gconstpointer b)
{
	gint64 left = ((const struct lug_speed_sample *)a)->at_us;
	gint64 right = ((const struct lug_speed_sample *)b)->at_us;

	return left > right ? -1 : left < right;
}

static gint compare_speeds(gconstpointer a, gconstpointer b)
{
	double left = ((const struct lug_speed_sample *)a)->speed;
	double right = ((const struct lug_speed_sample *)b)->speed;

	return left < right ? -1 : left > right;
}

/*
 * Collects the samples that show the present speed: the recent ones, and as many older ones as are
 * needed. @samples are sorted, newest first. Returns their number, 0 when there are too few.
 */
static guint collect(const struct lug_speed *speed, gboolean relative_only, gint64 now_us,
		     struct lug_speed_sample *out)
{
	gboolean enough = FALSE;
	gboolean several_jobs = relative_only;
	guint n = 0;

	for (guint i = 0; i < speed->n_samples; i++) {
		const struct lug_speed_sample *sample = &speed->samples[i];

		/* Those of ended tasks must not outweigh recent samples of new ones. */
		if ((enough || relative_only) && now_us - sample->at_us > RECENT_US)
			break;
		if (relative_only && !sample->is_relative)
			continue;
		out[n++] = *sample;
		several_jobs = several_jobs || sample->job != out[0].job;
		enough = n >= MIN_TASKS && several_jobs;
	}
	return enough ? n : 0;
}

/* Median of the samples, 0 when there are too few. Discards samples that are too old. */
static double median_of_samples(struct lug_speed *speed, gint64 now_us)
{
	struct lug_speed_sample used[LUG_SPEED_TASKS_MAX];
	guint n;

	qsort(speed->samples, speed->n_samples, sizeof(*speed->samples), compare_newest_first);
	while (speed->n_samples &&
	       now_us - speed->samples[speed->n_samples - 1].at_us > SAMPLE_MAX_AGE_US)
		speed->n_samples--;
	n = collect(speed, TRUE, now_us, used);
	if (!n)
		n = collect(speed, FALSE, now_us, used);
	if (!n)
		return 0;
	qsort(used, n, sizeof(*used), compare_speeds);
	return CLAMP((used[(n - 1) / 2].speed + used[n / 2].speed) / 2, SPEED_MIN, SPEED_MAX);
}

static double closer_to(double reference, double a, double b)
{
	return fabs(a - reference) < fabs(b - reference) ? a : b;
}

/**
 * lug_speed_update - compute the speed from the samples
 * @speed: speed; @value is set
 * @now_us: current time
 *
 * To be called after the observations of each poll. A change has to hold for HOLD_US, and of the
 * last two medians the one that differs less counts. A speed that was not known has to hold too.
 */
void lug_speed_update(struct lug_speed *speed, gint64 now_us)
{
	double reference = speed->value > 0 ? speed->value : 1;
	double previous = speed->median;
	gboolean falling;

	speed->updated_us = now_us;
	speed->median = median_of_samples(speed, now_us);
	if (speed->median <= 0) {
		speed->value = 0;
		speed->changing_since_us = 0;
		return;
	}
	if (speed->value > 0 && speed->median <= speed->value * CHANGE_FACTOR &&
	    speed->median >= speed->value / CHANGE_FACTOR) {
		speed->value += (speed->median - speed->value) * SMOOTHING;
		speed->changing_since_us = 0;
		return;
	}
	falling = speed->value > 0 && speed->median < speed->value;
	if (!speed->changing_since_us || falling != speed->falling) {
		speed->changing_since_us = now_us;
		speed->falling = falling;
		return;
	}
	if (now_us - speed->changing_since_us < HOLD_US)
		return;
	speed->value = closer_to(reference, speed->median, previous);
	speed->changing_since_us = 0;
}

/**
 * lug_speed_permille - speed in thousandths of nominal, for reports
 * @speed: speed
 * @now_us: current time
 *
 * Return: 0 while it is not known, and when there was no update lately, as the worker does not
 * answer polls.
 */
guint32 lug_speed_permille(const struct lug_speed *speed, gint64 now_us)
{
	if (now_us - speed->updated_us > SAMPLE_MAX_AGE_US)
		return 0;
	return (guint32)(speed->value * 1000 + 0.5);
}

/**
 * lug_speed_reported - speed that a worker's agent has reported
 * @permille: reported speed in thousandths, 0 for none
 * @reported_us: time of the report
 * @now_us: current time
 *
 * Return: fraction of nominal; 0, for not known, when the report is out of range or too old.
 */
double lug_speed_reported(guint32 permille, gint64 reported_us, gint64 now_us)
{
	double speed = (double)permille / 1000;

	if (speed < SPEED_MIN || speed > SPEED_MAX || now_us - reported_us > REPORT_MAX_AGE_US)
		return 0;
	return speed;
}

/**
 * lug_speed_factor - factor by which a worker's speed changes the expected speed of a task
 * @speed: fraction of nominal, 0 for not known
 *
 * Return: 1 for a worker of nominal or unknown speed, less for a slower one.
 */
double lug_speed_factor(double speed)
{
	return speed > 0 && speed < SPEED_NOMINAL ? speed : 1;
}

/**
 * lug_speed_is_slow - check whether a worker ranks last for tasks with reserved cores
 * @speed: fraction of nominal, 0 for not known
 */
gboolean lug_speed_is_slow(double speed)
{
	return speed > 0 && speed < LUG_SPEED_SLOW;
}

/**
 * lug_speed_is_target - check whether tasks may move to a worker
 * @speed: fraction of nominal, 0 for not known
 */
gboolean lug_speed_is_target(double speed)
{
	return speed >= SPEED_NOMINAL;
}

/**
 * lug_speed_may_move - check whether a task with checkpoints may move off its worker
 * @move: state of the task; @slow_since_us is updated, the caller counts @n_moves
 * @speed: speed of its worker, fraction of nominal, 0 for not known
 * @now_us: current time
 */
gboolean lug_speed_may_move(struct lug_speed_move *move, double speed, gint64 now_us)
{
	if (speed <= 0 || speed >= MOVE_SPEED) {
		move->slow_since_us = 0;
		return FALSE;
	}
	if (!move->slow_since_us)
		move->slow_since_us = now_us;
	return now_us - move->slow_since_us >= MOVE_AFTER_US && move->n_moves < MOVES_MAX;
}
