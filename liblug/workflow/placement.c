#include "workflow/placement.h"
#include "schedule/pack.h"

#include <string.h>

#include "schedule/speed.h"
#include "schedule/yield_limits.h"

/* Random part of a score, so that owners with equal views choose different workers. */
#define SCORE_NOISE 0.1
/* Penalty for a worker outside the rack that holds the task's data. */
#define REMOTE_PENALTY 2.0
/* For a best-effort task, the expected speed counts more than spare cores. */
#define SPEED_WEIGHT 3.0
/* Preferring workers whose serving tasks have slack evens out the pressure between workers. */
#define SLACK_WEIGHT 2.0
/*
 * A best-effort task is best placed where it interferes with no serving task, and there on the
 * worker that is open to the fewest other images: the others have fewer workers left to choose
 * from.
 */
#define HARMLESS_WEIGHT 2.0
#define OPENNESS_WEIGHT 2.0
/*
 * Penalty per consecutive failure. It is bounded, so that a failing worker is used, and thereby
 * tried again, when the others are full.
 */
#define FAILURE_PENALTY 2.0
#define FAILURES_MAX 3
/* Keeps penalties from making the score of an eligible worker negative. */
#define SCORE_OFFSET 8.0
/* Affinity of a worker to a serving task's image, see image_affinity(). */
#define AFFINITY_SAME 8.0
#define AFFINITY_EMPTY 6.0
#define AFFINITY_SAME_AND_OTHERS 4.0
#define AFFINITY_SEVERAL 2.0
/* Keeps the suspected tasks of one job together. */
#define ISOLATED_JOB_BONUS 4.0
/* Makes a worker that may crash in a moment the last choice of other tasks. */
#define ISOLATION_PENALTY 6.0
/* Less than a step between two affinities, more than the noise. */
#define IMAGE_RANK_WEIGHT 1.5
/*
 * Factor for the score of a slow worker. It ranks last, but is used when the others are full or all
 * workers are slow; scores are below 30, those of other eligible workers rarely below 1.
 */
#define SLOW_WORKER_FACTOR 0.001

static gboolean has_label(const struct lug_fleet_worker *worker, const char *label)
{
	return worker->labels && g_strv_contains((const char *const *)worker->labels, label);
}

/**
 * lug_placement_is_suitable - check whether a worker may run a task once it has room
 * @request: task
 * @worker: worker
 * @now_us: current time
 */
gboolean lug_placement_is_suitable(const struct lug_placement_request *request,
				   const struct lug_fleet_worker *worker, gint64 now_us)
{
	const struct lug_step *step = request->step;

	if (lug_fleet_is_evacuated(worker, request->evacuation))
		return FALSE;
	if (!worker->ready || worker->draining || !lug_fleet_is_live(worker, now_us) ||
	    now_us < worker->avoid_until_us || strcmp(worker->service, request->service) != 0)
		return FALSE;
	if (step->best_effort &&
	    (worker->refused_best_effort || (request->yields && worker->refused_yielding)))
		return FALSE;
	if (request->nominal_only && !lug_speed_is_target(lug_fleet_speed(worker, now_us)))
		return FALSE;
	if (request->isolate && now_us < worker->isolated_until_us &&
	    strcmp(worker->isolated_job, request->job) != 0)
		return FALSE;
	if (*step->label && !has_label(worker, step->label))
		return FALSE;
	return !step->max_per_worker ||
	       request->count_on_worker(request->data, worker->name) < step->max_per_worker;
}

static gboolean has_room(const struct lug_placement_request *request,
			 const struct lug_fleet_worker *worker, gint64 now_us)
{
	struct lug_resources room;

	if (worker->refused_millicores && request->size.millicores >= worker->refused_millicores &&
	    worker->reservation.holder != request->holder)
		return FALSE;
	lug_fleet_room_for(worker, request->holder, request->promised_ms, now_us, &room);
	return lug_resources_fit(&request->size, &room);
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
	return has_room(request, worker, now_us) &&
	       lug_placement_is_suitable(request, worker, now_us);
}

/*
 * Rank of a worker for serving tasks of an image, the same for all owners (rendezvous hashing), so
 * that owners which place at the same time agree on the next empty worker.
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
 * Images of a worker's serving tasks
 * @image: image of the task to place, interned like the others
 * @has_same: a serving task has this image
 * @other: another image that one has, NULL for none
 * @has_several: they have several other images
 */
struct image_mix {
	const char *image;
	gboolean has_same;
	const char *other;
	gboolean has_several;
};

static void mix_add(struct image_mix *mix, const char *present)
{
	if (present == mix->image) {
		mix->has_same = TRUE;
		return;
	}
	mix->has_several = mix->has_several || (mix->other && mix->other != present);
	mix->other = present;
}

/*
 * How well a worker suits a serving task of an image, judged by the serving tasks that it has. Best
 * is a worker of this image alone, next an empty one, then one that has several images already, and
 * last one of a single other image. With few images on a worker, the best-effort tasks that
 * interfere with none of them can use its spare cores.
 */
static double image_affinity(const char *image, const struct lug_fleet_worker *worker)
{
	struct image_mix mix = {.image = image};

	for (guint i = 0; i < worker->serving_tasks->len; i++)
		mix_add(&mix, g_array_index(worker->serving_tasks,
					    struct lug_interference_serving_task, i)
				      .image);
	for (guint i = 0; i < worker->unconfirmed->len; i++) {
		const struct lug_fleet_unconfirmed *task =
			&g_array_index(worker->unconfirmed, struct lug_fleet_unconfirmed, i);

		if (!task->best_effort)
			mix_add(&mix, task->image);
	}
	if (!mix.other)
		return mix.has_same ? AFFINITY_SAME : AFFINITY_EMPTY;
	if (mix.has_same)
		return AFFINITY_SAME_AND_OTHERS;
	return mix.has_several ? AFFINITY_SEVERAL : 0;
}

static struct lug_interference_assessment
assess(const struct lug_placement_request *request, const char *image,
       const struct lug_interference_serving_task *serving_tasks, guint n)
{
	if (request->yields)
		return lug_interference_assess_yielding(request->interference, image, serving_tasks,
							n, LUG_YIELD_MARGIN);
	return lug_interference_assess(request->interference, image, serving_tasks, n);
}

/* Assesses the requested task on a worker as if the unconfirmed tasks already ran. */
static struct lug_interference_assessment
assess_with_unconfirmed(const struct lug_placement_request *request, const char *image,
			const struct lug_fleet_worker *worker)
{
	const struct lug_interference_serving_task *serving_tasks =
		(const struct lug_interference_serving_task *)(void *)worker->serving_tasks->data;
	struct lug_interference_serving_task *with_unconfirmed;
	struct lug_interference_assessment assessment;

	if (!worker->unconfirmed->len)
		return assess(request, image, serving_tasks, worker->serving_tasks->len);
	with_unconfirmed =
		g_memdup2(serving_tasks, sizeof(*serving_tasks) * worker->serving_tasks->len);
	for (guint i = 0; i < worker->serving_tasks->len; i++)
		LUG_FLEET_FOREACH_BEST_EFFORT (worker, task)
			with_unconfirmed[i].pressure += lug_interference_weight(
				request->interference, with_unconfirmed[i].image, task->image);
	assessment = assess(request, image, with_unconfirmed, worker->serving_tasks->len);
	g_free(with_unconfirmed);
	return assessment;
}

/* Fraction of its declared cores that a best-effort task would find unused on a worker. */
static double spare_core_share(const struct lug_placement_request *request,
			       const struct lug_fleet_worker *worker)
{
	gint64 spare = worker->spare_millicores;

	LUG_FLEET_FOREACH_BEST_EFFORT (worker, task)
		spare -= task->millicores;
	return CLAMP((double)spare / (double)MAX(request->step->size.millicores, 1), 0, 1);
}

/* Score of a worker for a best-effort task; negative when the task should stay queued. */
static double best_effort_score(const struct lug_placement_request *request, const char *image,
				struct lug_fleet_worker *worker, gint64 now_us)
{
	struct lug_interference_assessment assessment;
	double speed = spare_core_share(request, worker);
	double score;

	if (speed < request->min_speed)
		return -1;
	assessment = assess_with_unconfirmed(request, image, worker);
	speed *= assessment.share;
	/*
	 * Sharing the cores among more tasks would make all of them late. A queued task is
	 * placed when one of them ends.
	 */
	if (speed < request->min_speed)
		return -1;
	/* A waiting task is not held back by slow workers, as all of them may be slow. */
	speed *= lug_speed_factor(lug_fleet_speed(worker, now_us));
	if (request->moving && speed < request->min_speed)
		return -1;
	score = (double)worker->spare_millicores / (double)MAX(worker->capacity.millicores, 1) +
		SPEED_WEIGHT * speed + SLACK_WEIGHT * assessment.slack + SCORE_OFFSET;
	if (assessment.harmless)
		score += HARMLESS_WEIGHT -
			 OPENNESS_WEIGHT * lug_fleet_openness(worker, request->interference);
	return score;
}

/* Fraction of a worker that no task needs: what a crash of the worker spares. */
static double idle_fraction(const struct lug_fleet_worker *worker)
{
	double millicores = (double)MAX(worker->capacity.millicores, 1);
	struct lug_resources room;

	lug_fleet_room(worker, &room);
	return MIN((double)room.millicores, (double)worker->spare_millicores) / millicores;
}

/*
 * Score of a worker for a task that may crash it: the emptiest one, or the one to which tasks of
 * the same job are isolated.
 */
static double isolation_score(const struct lug_fleet_worker *worker, gint64 now_us)
{
	double score = SCORE_OFFSET + idle_fraction(worker);

	return now_us < worker->isolated_until_us ? score + ISOLATED_JOB_BONUS : score;
}

static double worker_score(const struct lug_placement_request *request, const char *image,
			   struct lug_fleet_worker *worker, GRand *rng, gint64 now_us)
{
	struct lug_resources room;
	double score;

	if (request->step->best_effort) {
		score = best_effort_score(request, image, worker, now_us);
		if (score < 0)
			return score;
	} else if (request->step->target_ms) {
		score = image_affinity(image, worker) +
			IMAGE_RANK_WEIGHT * image_rank(image, worker->name) + SCORE_OFFSET;
	} else {
		lug_fleet_room(worker, &room);
		score = lug_pack_score(room.millicores, worker->capacity.millicores,
				       request->pack) +
			SCORE_OFFSET;
	}
	if (request->isolate)
		return isolation_score(worker, now_us);
	if (now_us < worker->isolated_until_us)
		score -= ISOLATION_PENALTY;
	if (*request->step->data_rack && !has_label(worker, request->step->data_rack))
		score -= REMOTE_PENALTY;
	score -= FAILURE_PENALTY *
		 MIN(MAX(worker->failures, worker->reported_failures), FAILURES_MAX);
	score = MAX(score + g_rand_double(rng) * SCORE_NOISE, 0);
	if (!request->step->best_effort && lug_speed_is_slow(lug_fleet_speed(worker, now_us)))
		score *= SLOW_WORKER_FACTOR;
	return score;
}

/*
 * Whether a worker is preferred: a warm one to a cold one, otherwise by score. A worker that may
 * crash in a moment is the last choice, cold or not, except for a task that is isolated itself.
 */
static gboolean is_better(const struct lug_placement_request *request,
			  const struct lug_fleet_worker *worker, double score,
			  const struct lug_fleet_worker *best, double best_score, gint64 now_us)
{
	gboolean is_isolated = now_us < worker->isolated_until_us;
	gboolean is_cold = now_us < worker->cold_until_us;

	if (request->isolate)
		return score > best_score;
	if (is_isolated != (now_us < best->isolated_until_us))
		return !is_isolated;
	if (is_cold != (now_us < best->cold_until_us))
		return !is_cold;
	return score > best_score;
}

/**
 * lug_placement_choose - choose the eligible warm worker with the highest score, a cold one if
 * there is none
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
	const char *image = g_intern_string(request->step->image);
	struct lug_fleet_worker *best = NULL;
	double best_score = 0;

	for (guint i = 0; i < workers->len; i++) {
		struct lug_fleet_worker *worker = g_ptr_array_index(workers, i);
		double score;

		if (!lug_placement_is_eligible(request, worker, now_us) ||
		    (request->excluded_worker && !strcmp(request->excluded_worker, worker->name)))
			continue;
		score = worker_score(request, image, worker, rng, now_us);
		if (score < 0 ||
		    (best && !is_better(request, worker, score, best, best_score, now_us)))
			continue;
		best = worker;
		best_score = score;
	}
	return best;
}
