#include "workflow/interference.h"

#include <math.h>

/*
 * Prior of a pair's weight, mean and standard deviation. Half of the weights are at most 0.02, the
 * others 0.06 to 0.35.
 */
#define WEIGHT_PRIOR 0.03
#define WEIGHT_PRIOR_SD 0.08
#define WEIGHT_MAX 2.0
/* Process noise of a weight, standard deviation after 1 s. Weights drift by 0.1 in about 100 s. */
#define WEIGHT_DRIFT_SD 0.01
/* Tasks of one image differ: a weight's standard deviation stays above this part of the weight. */
#define WEIGHT_RELATIVE_SD_MIN 0.35
/* Fraction by which an estimate moves towards a report that is not clearly more certain. */
#define MERGE_GAIN 0.1
/*
 * Prior and process noise of a task's strength, standard deviations (the latter after 1 s). The
 * strengths of tasks of one image differ by a factor of four and change within 1 to 2 s.
 */
#define STRENGTH_PRIOR_SD 0.9
#define STRENGTH_DRIFT_SD 0.9
#define STRENGTH_MIN 0.2
#define STRENGTH_MAX 5.0
/* Throttling a task of a smaller weight frees less utilisation than the load varies by. */
#define THROTTLED_WEIGHT_MIN 0.05
/* Yielding tasks are throttled for any positive weight: several small ones add up. */
#define YIELDING_WEIGHT_MIN G_MINDOUBLE
/*
 * Prediction errors of more standard deviations are clipped. Bursts of requests to one serving task
 * cause such outliers.
 */
#define ERROR_CLIP_SDS 3.0
/* Slack beyond this makes no difference to a placement. */
#define SLACK_MAX 0.5
/* A pair in one worker's report counts with at most this information in the mean. */
#define REPORT_INFORMATION_MAX 100.0
/* Utilisation kept free below the limit for bursts of the load. */
#define UTILISATION_MARGIN 0.03
/*
 * Estimated tail latency of a serving task without load, as a fraction of the smallest one seen of
 * its image, and at most this fraction of the target.
 */
#define IDLE_PER_LEAST_TAIL 0.75
#define IDLE_PER_TARGET_MAX 0.17
/*
 * Maximum utilisation computed from a tail latency. A sample at this bound is saturated: the actual
 * utilisation may be higher.
 */
#define UTILISATION_MAX 0.985
/*
 * Additional measurement noise where the utilisation changed since the previous sample: a sample
 * is a mean over that time, and the tail latency is not linear in the utilisation, least of all
 * near saturation. CHANGE_NOISE_SD is a standard deviation per change of the pressure,
 * SATURATION_NOISE_SD one per utilisation above SATURATION_MIN.
 */
#define CHANGE_NOISE_SD 0.7
#define SATURATION_MIN 0.85
#define SATURATION_NOISE_SD 1.0
/*
 * Maximum number of rounds of reducing shares. Where a share reaches 0 in a round, part of the
 * excess is left to the next round.
 */
#define REDUCE_ROUNDS_MAX 4
/* Shares are not reduced further for an excess utilisation of at most this. */
#define EXCESS_MIN 0.005
/* Bounds the rise of a share per plan, so that an underestimated weight shows in a sample first. */
#define SHARE_RISE_MAX 0.5
/* Smaller shares are rounded to 0: the task would make too little progress. */
#define SHARE_MIN 0.08

/*
 * struct pair_estimate - estimate of a pair's weight
 * @pair: pair
 * @var: variance of the weight at @at_us
 * @at_us: time of the latest sample, 0 for none
 */
struct pair_estimate {
	struct lug_interference_pair pair;
	double var;
	gint64 at_us;
};

/*
 * struct lug_interference - model
 * @pairs: struct pair_estimate by struct pair_key
 * @least_tail_ms: smallest tail latency seen, by image of the serving task
 */
struct lug_interference {
	GHashTable *pairs;
	GHashTable *least_tail_ms;
};

/* The images are interned, so the pointers are compared. */
struct pair_key {
	const char *serving_image;
	const char *best_effort_image;
};

static guint key_hash(gconstpointer data)
{
	const struct pair_key *key = data;

	return g_direct_hash(key->serving_image) * 31 + g_direct_hash(key->best_effort_image);
}

static gboolean key_equal(gconstpointer a, gconstpointer b)
{
	const struct pair_key *left = a;
	const struct pair_key *right = b;

	return left->serving_image == right->serving_image &&
	       left->best_effort_image == right->best_effort_image;
}

/**
 * lug_interference_new - create a model in which each pair has its prior
 *
 * Return: model, owned by the caller.
 */
struct lug_interference *lug_interference_new(void)
{
	struct lug_interference *model = g_new0(struct lug_interference, 1);

	model->pairs = g_hash_table_new_full(key_hash, key_equal, g_free, g_free);
	model->least_tail_ms = g_hash_table_new_full(g_direct_hash, g_direct_equal, NULL, g_free);
	return model;
}

/**
 * lug_interference_free - release a model
 * @model: may be NULL
 */
void lug_interference_free(struct lug_interference *model)
{
	if (!model)
		return;
	g_hash_table_unref(model->pairs);
	g_hash_table_unref(model->least_tail_ms);
	g_free(model);
}

static struct pair_estimate *find_estimate(const struct lug_interference *model,
					   const char *serving_image, const char *best_effort_image)
{
	struct pair_key key = {serving_image, best_effort_image};

	return g_hash_table_lookup(model->pairs, &key);
}

static struct pair_estimate *get_estimate(struct lug_interference *model, const char *serving_image,
					  const char *best_effort_image)
{
	struct pair_estimate *estimate = find_estimate(model, serving_image, best_effort_image);
	struct pair_key *key;

	if (estimate)
		return estimate;
	estimate = g_new0(struct pair_estimate, 1);
	estimate->pair.serving_image = serving_image;
	estimate->pair.best_effort_image = best_effort_image;
	estimate->pair.weight = WEIGHT_PRIOR;
	estimate->var = WEIGHT_PRIOR_SD * WEIGHT_PRIOR_SD;
	key = g_new0(struct pair_key, 1);
	key->serving_image = serving_image;
	key->best_effort_image = best_effort_image;
	g_hash_table_insert(model->pairs, key, estimate);
	return estimate;
}

/**
 * lug_interference_weight - estimated weight of a pair
 * @model: model
 * @serving_image: image of the serving task, interned
 * @best_effort_image: image of the best-effort task, interned
 *
 * Return: utilisation, the prior's mean for a pair without an estimate.
 */
double lug_interference_weight(const struct lug_interference *model, const char *serving_image,
			       const char *best_effort_image)
{
	const struct pair_estimate *estimate =
		find_estimate(model, serving_image, best_effort_image);

	return estimate ? estimate->pair.weight : WEIGHT_PRIOR;
}

static double weight_var_min(double weight)
{
	double sd = WEIGHT_RELATIVE_SD_MIN * MAX(weight, WEIGHT_PRIOR);

	return sd * sd;
}

/**
 * lug_interference_merge - update a pair from an estimate of other workers
 * @model: model
 * @pair: reported estimate
 *
 * A reported weight with less than half the variance replaces the estimate. Otherwise the estimate
 * moves a small part of the way towards it.
 */
void lug_interference_merge(struct lug_interference *model,
			    const struct lug_interference_pair *pair)
{
	struct pair_estimate *estimate =
		get_estimate(model, pair->serving_image, pair->best_effort_image);
	double var = WEIGHT_PRIOR_SD * WEIGHT_PRIOR_SD / (1 + pair->information);

	if (var < estimate->var / 2) {
		estimate->pair.weight = pair->weight;
		estimate->var = MAX(var, weight_var_min(pair->weight));
	} else {
		estimate->pair.weight += MERGE_GAIN * (pair->weight - estimate->pair.weight);
	}
}

/*
 * Records a sample's tail latency and returns the estimated tail latency of the serving task
 * without load.
 */
static double update_idle_tail_ms(struct lug_interference *model,
				  const struct lug_interference_sample *sample)
{
	double *least_ms = g_hash_table_lookup(model->least_tail_ms, sample->image);

	if (!least_ms) {
		least_ms = g_new0(double, 1);
		*least_ms = sample->tail_ms;
		g_hash_table_insert(model->least_tail_ms, (gpointer)sample->image, least_ms);
	}
	*least_ms = MAX(MIN(*least_ms, sample->tail_ms), 1);
	return MIN(*least_ms * IDLE_PER_LEAST_TAIL, sample->target_ms * IDLE_PER_TARGET_MAX);
}

/* Utilisation that a best-effort task at full share adds to a serving task. */
static double full_share_pressure(const struct lug_interference *model, const char *serving_image,
				  const struct lug_interference_task *task)
{
	return task->strength * lug_interference_weight(model, serving_image, task->image);
}

static double total_pressure(const struct lug_interference *model, const char *serving_image,
			     const struct lug_interference_task *tasks, guint n)
{
	double sum = 0;

	for (guint i = 0; i < n; i++)
		sum += tasks[i].share * full_share_pressure(model, serving_image, &tasks[i]);
	return sum;
}

/* Returns a pair's estimate after the predict step of its filter: the variance grows with time. */
static struct pair_estimate *predict_estimate(struct lug_interference *model,
					      const char *serving_image,
					      const char *best_effort_image, gint64 now_us)
{
	struct pair_estimate *estimate = get_estimate(model, serving_image, best_effort_image);
	double span_s = estimate->at_us ? (double)(now_us - estimate->at_us) / G_USEC_PER_SEC : 0;

	estimate->at_us = now_us;
	estimate->var = MIN(estimate->var + WEIGHT_DRIFT_SD * WEIGHT_DRIFT_SD * span_s,
			    WEIGHT_PRIOR_SD * WEIGHT_PRIOR_SD);
	estimate->var = MAX(estimate->var, weight_var_min(estimate->pair.weight));
	return estimate;
}

/* Kalman update of a pair's weight and a task's strength. */
static void update_estimate(struct pair_estimate *estimate,
			    struct lug_interference_observed_task *item, double error,
			    double variance)
{
	double weight_coeff = item->strength * item->share;
	double strength_coeff = estimate->pair.weight * item->share;
	double weight_gain = estimate->var * weight_coeff / variance;
	double strength_gain = item->strength_var * strength_coeff / variance;
	/* Variance of the error without the part that this weight causes. */
	double other_variance = variance - estimate->var * weight_coeff * weight_coeff;

	estimate->pair.weight = CLAMP(estimate->pair.weight + weight_gain * error, 0, WEIGHT_MAX);
	estimate->pair.information +=
		WEIGHT_PRIOR_SD * WEIGHT_PRIOR_SD * weight_coeff * weight_coeff / other_variance;
	estimate->var -= weight_gain * weight_coeff * estimate->var;
	item->strength = CLAMP(item->strength + strength_gain * error, STRENGTH_MIN, STRENGTH_MAX);
	item->strength_var -= strength_gain * strength_coeff * item->strength_var;
}

/**
 * lug_interference_strength_var - variance of a task's strength some time after its last sample
 * @var: variance after that sample, 0 for a task without samples
 * @span_us: time since that sample
 *
 * Return: variance, at most that of a task without samples.
 */
double lug_interference_strength_var(double var, gint64 span_us)
{
	if (var <= 0)
		return STRENGTH_PRIOR_SD * STRENGTH_PRIOR_SD;
	return MIN(var + STRENGTH_DRIFT_SD * STRENGTH_DRIFT_SD * (double)span_us / G_USEC_PER_SEC,
		   STRENGTH_PRIOR_SD * STRENGTH_PRIOR_SD);
}

/**
 * lug_interference_observe - update the model from one sample
 * @model: model
 * @own_load: own load of the serving task, updated
 * @sample: tail latency of the serving task
 * @present: best-effort tasks beside it since the previous sample; their strengths are updated
 * @n: number of @present
 *
 * The tail latency is converted to a utilisation. An extended Kalman filter step distributes the
 * difference from the predicted utilisation over the weights, the strengths and the own load, in
 * proportion to their variances. A sample at UTILISATION_MAX is only a lower bound, so it can raise
 * the estimates but not lower them.
 *
 * Return: utilisation at which the serving task's tail latency reaches its target.
 */
double lug_interference_observe(struct lug_interference *model, struct lug_serving_load *own_load,
				const struct lug_interference_sample *sample,
				struct lug_interference_observed_task *present, guint n)
{
	double idle_ms = update_idle_tail_ms(model, sample);
	double tail_ms = lug_serving_load_tail_ms(own_load, sample->tail_ms, sample->at_us);
	double utilisation = CLAMP(1 - idle_ms / tail_ms, 0, UTILISATION_MAX);
	double variance = lug_serving_load_noise_var(own_load, utilisation, sample->at_us);
	double change_noise_sd = SATURATION_NOISE_SD * MAX(utilisation - SATURATION_MIN, 0);
	double error;

	lug_serving_load_advance(own_load, sample->at_us);
	own_load->tail_ms = sample->tail_ms;
	error = utilisation - own_load->level;
	variance += own_load->level_var;
	for (guint i = 0; i < n; i++) {
		const struct lug_interference_observed_task *item = &present[i];
		const struct pair_estimate *estimate =
			predict_estimate(model, sample->image, item->image, sample->at_us);
		double weight_coeff = item->strength * item->share;
		double strength_coeff = estimate->pair.weight * item->share;

		error -= estimate->pair.weight * weight_coeff;
		change_noise_sd += CHANGE_NOISE_SD * MAX(estimate->pair.weight, WEIGHT_PRIOR) *
				   (item->max_share - item->min_share);
		variance += estimate->var * weight_coeff * weight_coeff +
			    item->strength_var * strength_coeff * strength_coeff;
	}
	variance += change_noise_sd * change_noise_sd;
	if (utilisation < UTILISATION_MAX || error > 0) {
		error = CLAMP(error, -ERROR_CLIP_SDS * sqrt(variance),
			      ERROR_CLIP_SDS * sqrt(variance));
		for (guint i = 0; i < n; i++)
			update_estimate(get_estimate(model, sample->image, present[i].image),
					&present[i], error, variance);
		lug_serving_load_correct(own_load, error, variance);
	}
	return 1 - idle_ms / sample->target_ms;
}

/**
 * lug_interference_slack - utilisation left for further best-effort tasks beside a serving task
 * @serving: serving task
 *
 * Return: utilisation, negative when the serving task is above its limit less the margin.
 */
double lug_interference_slack(const struct lug_interference_serving_task *serving)
{
	return serving->limit - UTILISATION_MARGIN - serving->own_load - serving->pressure;
}

/**
 * lug_interference_is_overloaded_alone - whether a serving task misses its target by its own load
 * @serving: serving task
 *
 * It would miss its target without best-effort tasks as well, so they aren't throttled for it. It
 * counts as such when its own load is above the limit by more than half of the margin.
 */
gboolean lug_interference_is_overloaded_alone(const struct lug_interference_serving_task *serving)
{
	return serving->own_load > serving->limit + UTILISATION_MARGIN / 2;
}

static struct lug_interference_assessment
assess(const struct lug_interference *model, const char *image,
       const struct lug_interference_serving_task *serving_tasks, guint n, double margin,
       double weight_min)
{
	struct lug_interference_assessment out = {1, SLACK_MAX, TRUE};

	for (guint i = 0; i < n; i++) {
		double weight = lug_interference_weight(model, serving_tasks[i].image, image);
		double slack = lug_interference_slack(&serving_tasks[i]) - margin;

		out.slack = MIN(out.slack, slack - weight);
		out.harmless = out.harmless && weight < THROTTLED_WEIGHT_MIN;
		if (weight < weight_min)
			continue;
		if (!lug_interference_is_overloaded_alone(&serving_tasks[i]))
			out.share = MIN(out.share, slack / weight);
	}
	if (out.share < SHARE_MIN)
		out.share = 0;
	return out;
}

/**
 * lug_interference_assess - assess one more best-effort task beside a worker's serving tasks
 * @model: model
 * @image: image of the best-effort task, interned
 * @serving_tasks: serving tasks of the worker
 * @n: number of @serving_tasks
 */
struct lug_interference_assessment
lug_interference_assess(const struct lug_interference *model, const char *image,
			const struct lug_interference_serving_task *serving_tasks, guint n)
{
	return assess(model, image, serving_tasks, n, 0, THROTTLED_WEIGHT_MIN);
}

/**
 * lug_interference_assess_yielding - assess one more yielding task beside a worker's serving tasks
 * @model: model
 * @image: image of the best-effort task, interned
 * @serving_tasks: serving tasks of the worker
 * @n: number of @serving_tasks
 * @margin: see lug_interference_plan_yielding()
 */
struct lug_interference_assessment
lug_interference_assess_yielding(const struct lug_interference *model, const char *image,
				 const struct lug_interference_serving_task *serving_tasks, guint n,
				 double margin)
{
	return assess(model, image, serving_tasks, n, margin, YIELDING_WEIGHT_MIN);
}

/**
 * lug_interference_openness - fraction of the known best-effort images that are harmless on a
 * worker
 * @model: model
 * @serving_tasks: serving tasks of the worker
 * @n: number of @serving_tasks
 *
 * Return: 0 to 1; 1 while no image is known.
 */
double lug_interference_openness(const struct lug_interference *model,
				 const struct lug_interference_serving_task *serving_tasks, guint n)
{
	GHashTable *images = g_hash_table_new(NULL, NULL);
	guint harmless = 0;
	double openness = 1;
	GHashTableIter iter;
	gpointer key;

	g_hash_table_iter_init(&iter, model->pairs);
	while (g_hash_table_iter_next(&iter, &key, NULL))
		g_hash_table_add(images, (gpointer)((struct pair_key *)key)->best_effort_image);
	g_hash_table_iter_init(&iter, images);
	while (g_hash_table_iter_next(&iter, &key, NULL))
		harmless += lug_interference_assess(model, key, serving_tasks, n).harmless;
	if (g_hash_table_size(images))
		openness = (double)harmless / g_hash_table_size(images);
	g_hash_table_unref(images);
	return openness;
}

/*
 * Reduces shares, in proportion to the tasks' pressure at full share, until a serving task
 * with the utilisation @base without them is expected to be at most at @limit. This minimises the
 * sum of the squared reductions. Tasks whose pressure at full share is less than @weight_min keep
 * their shares.
 */
static void reduce_shares(const struct lug_interference *model, const char *serving_image,
			  double base, double limit, double weight_min,
			  struct lug_interference_task *tasks, guint n)
{
	double excess = base + total_pressure(model, serving_image, tasks, n) - limit;

	for (guint round = 0; round < REDUCE_ROUNDS_MAX && excess > EXCESS_MIN; round++) {
		double sum_squares = 0;

		for (guint i = 0; i < n; i++) {
			double pressure = full_share_pressure(model, serving_image, &tasks[i]);

			if (pressure >= weight_min && tasks[i].share > 0)
				sum_squares += pressure * pressure;
		}
		if (sum_squares <= 0)
			return;
		for (guint i = 0; i < n; i++) {
			double pressure = full_share_pressure(model, serving_image, &tasks[i]);

			if (pressure >= weight_min)
				tasks[i].share =
					MAX(tasks[i].share - pressure * excess / sum_squares, 0);
		}
		excess = base + total_pressure(model, serving_image, tasks, n) - limit;
	}
}

static void raise_shares(struct lug_interference_task *tasks, guint n)
{
	for (guint i = 0; i < n; i++)
		tasks[i].share = MIN(tasks[i].share + SHARE_RISE_MAX, 1);
}

static void round_small_shares(struct lug_interference_task *tasks, guint n)
{
	for (guint i = 0; i < n; i++)
		if (tasks[i].share < SHARE_MIN)
			tasks[i].share = 0;
}

/**
 * lug_interference_plan - compute the shares of a worker's best-effort tasks
 * @model: model
 * @serving_tasks: serving tasks; their pressure is set
 * @n_serving_tasks: number of @serving_tasks
 * @tasks: best-effort tasks with their present shares, which are replaced by the new ones
 * @n_tasks: number of @tasks
 *
 * All shares rise towards full share, then are reduced where a serving task would miss its target.
 */
void lug_interference_plan(const struct lug_interference *model,
			   struct lug_interference_serving_task *serving_tasks,
			   guint n_serving_tasks, struct lug_interference_task *tasks,
			   guint n_tasks)
{
	raise_shares(tasks, n_tasks);
	for (guint i = 0; i < n_serving_tasks; i++) {
		const struct lug_interference_serving_task *serving = &serving_tasks[i];

		if (!lug_interference_is_overloaded_alone(serving))
			reduce_shares(model, serving->image, serving->own_load,
				      serving->limit - UTILISATION_MARGIN, THROTTLED_WEIGHT_MIN,
				      tasks, n_tasks);
	}
	round_small_shares(tasks, n_tasks);
	for (guint i = 0; i < n_serving_tasks; i++)
		serving_tasks[i].pressure =
			total_pressure(model, serving_tasks[i].image, tasks, n_tasks);
}

/**
 * lug_interference_plan_yielding - compute the shares of the tasks that yield to the planned ones
 * @model: model
 * @serving_tasks: serving tasks with the pressure of the tasks planned before, to which that of
 *                 @tasks is added
 * @n_serving_tasks: number of @serving_tasks
 * @tasks: yielding best-effort tasks with their present shares, which are replaced by the new ones
 * @n_tasks: number of @tasks
 * @margin: utilisation that they leave free below each limit, beyond what other tasks leave
 *
 * Each of them with any positive weight is reduced where there is no room for all.
 */
void lug_interference_plan_yielding(const struct lug_interference *model,
				    struct lug_interference_serving_task *serving_tasks,
				    guint n_serving_tasks, struct lug_interference_task *tasks,
				    guint n_tasks, double margin)
{
	raise_shares(tasks, n_tasks);
	for (guint i = 0; i < n_serving_tasks; i++) {
		const struct lug_interference_serving_task *serving = &serving_tasks[i];

		if (!lug_interference_is_overloaded_alone(serving))
			reduce_shares(model, serving->image, serving->own_load + serving->pressure,
				      serving->limit - UTILISATION_MARGIN - margin,
				      YIELDING_WEIGHT_MIN, tasks, n_tasks);
	}
	round_small_shares(tasks, n_tasks);
	for (guint i = 0; i < n_serving_tasks; i++)
		serving_tasks[i].pressure +=
			total_pressure(model, serving_tasks[i].image, tasks, n_tasks);
}

/**
 * lug_interference_pairs - estimates of all pairs for which the model has samples
 * @model: model
 *
 * Return: array of struct lug_interference_pair, owned by the caller.
 */
GArray *lug_interference_pairs(const struct lug_interference *model)
{
	GArray *out = g_array_new(FALSE, FALSE, sizeof(struct lug_interference_pair));
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, model->pairs);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		if (((struct pair_estimate *)value)->pair.information > 0)
			g_array_append_val(out, ((struct pair_estimate *)value)->pair);
	return out;
}

/**
 * lug_interference_average - replace a model by the mean of several workers' estimates
 * @model: replaced
 * @reports: array of GArray * of struct lug_interference_pair
 *
 * Each estimate is weighted by its information, up to a bound.
 */
void lug_interference_average(struct lug_interference *model, GPtrArray *reports)
{
	g_hash_table_remove_all(model->pairs);
	for (guint r = 0; r < reports->len; r++) {
		const GArray *report = g_ptr_array_index(reports, r);

		for (guint i = 0; i < report->len; i++) {
			const struct lug_interference_pair *pair =
				&g_array_index(report, struct lug_interference_pair, i);
			struct pair_estimate *estimate =
				get_estimate(model, pair->serving_image, pair->best_effort_image);
			double information = MIN(pair->information, REPORT_INFORMATION_MAX);
			double sum = estimate->pair.information + information;

			if (sum > 0)
				estimate->pair.weight =
					(estimate->pair.weight * estimate->pair.information +
					 pair->weight * information) /
					sum;
			estimate->pair.information = sum;
		}
	}
}

/**
 * lug_interference_from_wire - read a pair from a message
 * @wire: message
 * @out: set on success
 *
 * Return: FALSE when a member is missing or out of range.
 */
gboolean lug_interference_from_wire(const Lug__HarmPair *wire, struct lug_interference_pair *out)
{
	double weight = (double)wire->weight;
	double information = (double)wire->count;

	if (!wire->serving || !wire->filler || !(weight >= 0 && weight <= WEIGHT_MAX) ||
	    !(information >= 0))
		return FALSE;
	out->serving_image = g_intern_string(wire->serving);
	out->best_effort_image = g_intern_string(wire->filler);
	out->weight = weight;
	out->information = information;
	return TRUE;
}

/**
 * lug_interference_to_wire - fill a message from a pair
 * @pair: pair; its strings are shared with the message
 * @wire: message to fill
 */
void lug_interference_to_wire(const struct lug_interference_pair *pair, Lug__HarmPair *wire)
{
	lug__harm_pair__init(wire);
	wire->serving = (char *)pair->serving_image;
	wire->filler = (char *)pair->best_effort_image;
	wire->has_weight = 1;
	wire->weight = (float)pair->weight;
	wire->has_count = 1;
	wire->count = (float)pair->information;
}
