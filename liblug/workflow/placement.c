#include "workflow/placement.h"

#include <string.h>

/* Part of a score that is drawn, so that owners with equal views choose different workers. */
#define NOISE 0.1
/* A worker away from a task's data must be this much emptier to be chosen. */
#define REMOTE_PENALTY 2.0
/* The speed that a task that fills would find goes before what is spare. */
#define SPEED_WEIGHT 3.0
/* What a serving task has left below its target evens out the pressure between workers. */
#define LEFT_WEIGHT 2.0
#define LEFT_MAX 0.5
/* A worker on which runs fail is taken when the others are full, and so tried again. */
#define FAILING_WEIGHT 2.0
#define FAILING_COUNT_MAX 3
/* Keeps the score of a worker that is chosen at need from being negative. */
#define SCORE_OFFSET 8.0
/* A worker's rank for an image goes before free cores. */
#define IMAGE_RANK_WEIGHT 8.0

static gboolean has_label(const struct lug_fleet_worker *worker, const char *label)
{
	return worker->labels && g_strv_contains((const char *const *)worker->labels, label);
}

/**
 * lug_placement_eligible - tell whether a worker may run a task now
 * @want: task
 * @worker: worker
 * @now_us: present time
 */
gboolean lug_placement_eligible(const struct lug_placement_request *want,
				const struct lug_fleet_worker *worker, gint64 now_us)
{
	const struct lug_step *step = want->step;
	struct lug_resources room;

	if (!worker->ready || worker->draining || !lug_fleet_live(worker, now_us) ||
	    now_us < worker->avoid_until_us || strcmp(worker->service, want->service) != 0)
		return FALSE;
	if (step->best_effort && worker->full)
		return FALSE;
	if (*step->label && !has_label(worker, step->label))
		return FALSE;
	lug_fleet_room(worker, &room);
	if (!lug_resources_fit(&want->size, &room))
		return FALSE;
	return !step->spread || want->on_worker(want->data, worker->name) < step->spread;
}

/*
 * Rank of a worker for serving tasks of an image, the same for all owners (rendezvous
 * hashing). Tasks of one image gather on the same workers, so that tasks which disturb them
 * find room elsewhere.
 */
static double rank_for_image(const char *image, const char *worker)
{
	guint hash = g_str_hash(image) * 2654435761u ^ g_str_hash(worker) * 40503u;

	hash ^= hash >> 15;
	hash *= 2246822519u;
	hash ^= hash >> 13;
	return hash / (double)G_MAXUINT;
}

/*
 * Share at which serving tasks let one more task of an image work, and what the one that is
 * nearest its target would have left then.
 */
static double allowed_share(const struct lug_placement_request *want,
			    const struct lug_fleet_worker *worker, double *left)
{
	const char *image = g_intern_string(want->step->image);
	const struct lug_interference_serving *servings =
		(const struct lug_interference_serving *)(void *)worker->servings->data;
	struct lug_interference_serving *pressed =
		g_memdup2(servings, sizeof(*servings) * worker->servings->len);
	double share;

	for (guint i = 0; i < worker->servings->len; i++)
		for (guint k = 0; k < worker->pending->len; k++)
			pressed[i].pressure += lug_interference_weight(
				want->interference, pressed[i].image,
				g_array_index(worker->pending, struct lug_fleet_pending, k).image);
	share = lug_interference_allowed_share(want->interference, image, pressed,
					       worker->servings->len);
	*left = LEFT_MAX;
	for (guint i = 0; i < worker->servings->len; i++)
		*left = MIN(*left, lug_interference_slack(&pressed[i]) -
					   lug_interference_weight(want->interference,
								   pressed[i].image, image));
	g_free(pressed);
	return share;
}

/* Part of its cores that a task that fills would find unused. */
static double spare_share(const struct lug_placement_request *want,
			  const struct lug_fleet_worker *worker)
{
	gint64 spare = worker->spare;

	for (guint k = 0; k < worker->pending->len; k++)
		spare -= g_array_index(worker->pending, struct lug_fleet_pending, k).millicores;
	return CLAMP((double)spare / (double)MAX(want->step->size.millicores, 1), 0, 1);
}

/* Score of a worker for a task that fills; negative when the task should rather wait. */
static double filler_score(const struct lug_placement_request *want,
			   const struct lug_fleet_worker *worker)
{
	double left = 0;
	double speed = allowed_share(want, worker, &left) * spare_share(want, worker);

	/* Shared by too many, all of them are late; the one that waits is served next. */
	if (speed < want->least_speed)
		return -1;
	return (double)worker->spare / (double)MAX(worker->capacity.millicores, 1) +
	       SPEED_WEIGHT * speed + LEFT_WEIGHT * left + SCORE_OFFSET;
}

static double score(const struct lug_placement_request *want, const struct lug_fleet_worker *worker,
		    GRand *rng)
{
	struct lug_resources room;
	double value;

	if (want->step->best_effort) {
		value = filler_score(want, worker);
		if (value < 0)
			return value;
	} else {
		lug_fleet_room(worker, &room);
		value = (double)room.millicores / (double)MAX(worker->capacity.millicores, 1) +
			SCORE_OFFSET;
	}
	if (want->step->target_ms)
		value += IMAGE_RANK_WEIGHT * rank_for_image(want->step->image, worker->name);
	if (*want->step->data_rack && !has_label(worker, want->step->data_rack))
		value -= REMOTE_PENALTY;
	value -= FAILING_WEIGHT *
		 MIN(MAX(worker->failures, worker->reported_failures), FAILING_COUNT_MAX);
	return MAX(value + g_rand_double(rng) * NOISE, 0);
}

/**
 * lug_placement_choose - the worker with the largest free part among those that may run a task
 * @workers: array of struct lug_fleet_worker *
 * @want: task
 * @rng: random source
 * @now_us: present time
 *
 * Return: worker, NULL when none may run it now.
 */
struct lug_fleet_worker *lug_placement_choose(GPtrArray *workers,
					      const struct lug_placement_request *want, GRand *rng,
					      gint64 now_us)
{
	struct lug_fleet_worker *best = NULL;
	double best_score = 0;

	for (guint i = 0; i < workers->len; i++) {
		struct lug_fleet_worker *worker = g_ptr_array_index(workers, i);
		double value;

		if (!lug_placement_eligible(want, worker, now_us) ||
		    (want->avoid && !strcmp(want->avoid, worker->name)))
			continue;
		value = score(want, worker, rng);
		if (value < 0 || (best && value <= best_score))
			continue;
		best = worker;
		best_score = value;
	}
	return best;
}
