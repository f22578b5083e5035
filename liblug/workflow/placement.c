#include "workflow/placement.h"

#include <string.h>

/* Random part of a score, so that owners with equal views choose different workers. */
#define SCORE_NOISE 0.1
/* Penalty for a worker outside the rack that holds the task's data. */
#define REMOTE_PENALTY 2.0
/* For a best-effort task, the expected speed counts more than spare cores. */
#define SPEED_WEIGHT 3.0
/* Preferring workers whose serving tasks have slack evens out the pressure between workers. */
#define SLACK_WEIGHT 2.0
#define SLACK_MAX 0.5
/*
 * Penalty per consecutive failure. It is bounded, so that a failing worker is used, and thereby
 * tried again, when the others are full.
 */
#define FAILURE_PENALTY 2.0
#define FAILURES_MAX 3
/* Keeps penalties from making the score of an eligible worker negative. */
#define SCORE_OFFSET 8.0
/* A worker's rank for an image counts more than free cores. */
#define IMAGE_RANK_WEIGHT 8.0

static gboolean has_label(const struct lug_fleet_worker *worker, const char *label)
{
	return worker->labels && g_strv_contains((const char *const *)worker->labels, label);
}

/**
 * lug_placement_is_eligible - check whether a worker may run a task now
 * @request: task
 * @worker: worker
 * @now_us: current time
 */
gboolean lug_placement_is_eligible(const struct lug_placement_request *request,
				   const struct lug_fleet_worker *worker, gint64 now_us)
{
	const struct lug_step *step = request->step;
	struct lug_resources room;

	if (!worker->ready || worker->draining || !lug_fleet_is_live(worker, now_us) ||
	    now_us < worker->avoid_until_us || strcmp(worker->service, request->service) != 0)
		return FALSE;
	if (step->best_effort && worker->refused_best_effort)
		return FALSE;
	if (*step->label && !has_label(worker, step->label))
		return FALSE;
	lug_fleet_room(worker, &room);
	if (!lug_resources_fit(&request->size, &room))
		return FALSE;
	return !step->max_per_worker ||
	       request->count_on_worker(request->data, worker->name) < step->max_per_worker;
}

/*
 * Rank of a worker for serving tasks of an image, the same for all owners (rendezvous hashing).
 * Concentrating the serving tasks of one image on few workers leaves the others to best-effort
 * tasks that interfere with this image.
 */
static double image_rank(const char *image, const char *worker)
{
	guint hash = g_str_hash(image) * 2654435761u ^ g_str_hash(worker) * 40503u;

	hash ^= hash >> 15;
	hash *= 2246822519u;
	hash ^= hash >> 13;
	return hash / (double)G_MAXUINT;
}

/*
 * Share that a worker's serving tasks would leave to the requested task if the unconfirmed tasks
 * already ran. Sets @slack to the smallest slack of these serving tasks with the requested task.
 */
static double share_with_unconfirmed(const struct lug_placement_request *request,
				     const struct lug_fleet_worker *worker, double *slack)
{
	const char *image = g_intern_string(request->step->image);
	const struct lug_interference_serving_task *serving_tasks =
		(const struct lug_interference_serving_task *)(void *)worker->serving_tasks->data;
	struct lug_interference_serving_task *with_unconfirmed =
		g_memdup2(serving_tasks, sizeof(*serving_tasks) * worker->serving_tasks->len);
	double share;

	for (guint i = 0; i < worker->serving_tasks->len; i++)
		for (guint k = 0; k < worker->unconfirmed->len; k++)
			with_unconfirmed[i].pressure += lug_interference_weight(
				request->interference, with_unconfirmed[i].image,
				g_array_index(worker->unconfirmed, struct lug_fleet_unconfirmed, k)
					.image);
	share = lug_interference_allowed_share(request->interference, image, with_unconfirmed,
					       worker->serving_tasks->len);
	*slack = SLACK_MAX;
	for (guint i = 0; i < worker->serving_tasks->len; i++)
		*slack = MIN(*slack,
			     lug_interference_slack(&with_unconfirmed[i]) -
				     lug_interference_weight(request->interference,
							     with_unconfirmed[i].image, image));
	g_free(with_unconfirmed);
	return share;
}

/* Fraction of its declared cores that a best-effort task would find unused on a worker. */
static double spare_core_share(const struct lug_placement_request *request,
			       const struct lug_fleet_worker *worker)
{
	gint64 spare = worker->spare_millicores;

	for (guint k = 0; k < worker->unconfirmed->len; k++)
		spare -= g_array_index(worker->unconfirmed, struct lug_fleet_unconfirmed, k)
				 .millicores;
	return CLAMP((double)spare / (double)MAX(request->step->size.millicores, 1), 0, 1);
}

/* Score of a worker for a best-effort task; negative when the task should stay queued. */
static double best_effort_score(const struct lug_placement_request *request,
				const struct lug_fleet_worker *worker)
{
	double slack = 0;
	double speed =
		share_with_unconfirmed(request, worker, &slack) * spare_core_share(request, worker);

	/*
	 * Sharing the cores among more tasks would make all of them late. A queued task is
	 * placed when one of them ends.
	 */
	if (speed < request->min_speed)
		return -1;
	return (double)worker->spare_millicores / (double)MAX(worker->capacity.millicores, 1) +
	       SPEED_WEIGHT * speed + SLACK_WEIGHT * slack + SCORE_OFFSET;
}

static double worker_score(const struct lug_placement_request *request,
			   const struct lug_fleet_worker *worker, GRand *rng)
{
	struct lug_resources room;
	double score;

	if (request->step->best_effort) {
		score = best_effort_score(request, worker);
		if (score < 0)
			return score;
	} else {
		lug_fleet_room(worker, &room);
		score = (double)room.millicores / (double)MAX(worker->capacity.millicores, 1) +
			SCORE_OFFSET;
	}
	if (request->step->target_ms)
		score += IMAGE_RANK_WEIGHT * image_rank(request->step->image, worker->name);
	if (*request->step->data_rack && !has_label(worker, request->step->data_rack))
		score -= REMOTE_PENALTY;
	score -= FAILURE_PENALTY *
		 MIN(MAX(worker->failures, worker->reported_failures), FAILURES_MAX);
	return MAX(score + g_rand_double(rng) * SCORE_NOISE, 0);
}

/**
 * lug_placement_choose - choose the eligible worker with the highest score
 * @workers: array of struct lug_fleet_worker *
 * @request: task
 * @rng: random source
 * @now_us: current time
 *
 * Return: worker, NULL when none may run the task now.
 */
struct lug_fleet_worker *lug_placement_choose(GPtrArray *workers,
					      const struct lug_placement_request *request,
					      GRand *rng, gint64 now_us)
{
	struct lug_fleet_worker *best = NULL;
	double best_score = 0;

	for (guint i = 0; i < workers->len; i++) {
		struct lug_fleet_worker *worker = g_ptr_array_index(workers, i);
		double score;

		if (!lug_placement_is_eligible(request, worker, now_us) ||
		    (request->excluded_worker && !strcmp(request->excluded_worker, worker->name)))
			continue;
		score = worker_score(request, worker, rng);
		if (score < 0 || (best && score <= best_score))
			continue;
		best = worker;
		best_score = score;
	}
	return best;
}
