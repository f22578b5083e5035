#include "workflow/interference.h"

#include <math.h>

/* Expected of a pair that was never seen together, and how far off that may be: a regression over
 * whole days gives 0.00 to 0.02 for half of the pairs, 0.06 to 0.35 for the others. */
#define WEIGHT_UNKNOWN 0.06
#define WEIGHT_SPREAD 0.08
#define WEIGHT_MAX 2.0
/* Random change of a weight in a second; weights change within seconds. */
#define WEIGHT_CHANGE 0.01
/* A weight is a mean over tasks that differ, and never surer than by this part. */
#define WEIGHT_DOUBT 0.35
/* Part of the difference to what others have learned that is taken over where both are sure. */
#define TELL_BLEND 0.1
/* A task disturbs by its own measure against its image's mean: residuals show 0.07 and 0.3 for one
 * pair, and changes between them within a second or two. */
#define STRENGTH_SPREAD 0.9
#define STRENGTH_CHANGE 0.9
#define STRENGTH_MIN 0.2
#define STRENGTH_MAX 5.0
/* A pair with less is left alone: what it would win is lost in the load's swings. */
#define WEIGHT_GUILTY 0.03
/* Errors beyond this many deviations are bursts of a task's own users, and count as so much. */
#define ERROR_MAX 3.0
/* Samples of one worker that count in the pool. */
#define TOLD_COUNT_MAX 100.0
/* Utilisation kept free below the limit for the load's bursts. */
#define MARGIN 0.03
/* Latency of an idle serving task as a part of the least that was seen of its image. */
#define IDLE_PART 0.75
/* The same as a part of its target, at most. */
#define IDLE_OF_TARGET 0.17
#define USED_MAX 0.985
/*
 * A mean over tail latencies says little of a span in which the pressure changed, the less the
 * higher they were.
 */
#define UNSTEADY_PART 0.7
#define UNSTEADY_USED 0.85
#define UNSTEADY_FULL 1.0
/* Rounds of a cut, in each of which a task may come to stand still; the least worth a round. */
#define CUT_ROUNDS 4
#define EXCESS_MIN 0.005
/* Largest rise of a share in one step, so that a wrong guess shows before it hurts. */
#define RAISE_MAX 0.5
/* Shares below this are not worth their start. */
#define SHARE_MIN 0.08

struct entry {
	struct lug_interference_pair own;
	double var;
	gint64 at_us;
};

struct lug_interference {
	GHashTable *pairs;
	GHashTable *least;
};

struct pair_key {
	const char *serving;
	const char *filler;
};

static guint key_hash(gconstpointer data)
{
	const struct pair_key *key = data;

	return g_direct_hash(key->serving) * 31 + g_direct_hash(key->filler);
}

static gboolean key_equal(gconstpointer a, gconstpointer b)
{
	const struct pair_key *left = a;
	const struct pair_key *right = b;

	return left->serving == right->serving && left->filler == right->filler;
}

/**
 * lug_interference_new - start knowing nothing
 */
struct lug_interference *lug_interference_new(void)
{
	struct lug_interference *harm = g_new0(struct lug_interference, 1);

	harm->pairs = g_hash_table_new_full(key_hash, key_equal, g_free, g_free);
	harm->least = g_hash_table_new_full(g_direct_hash, g_direct_equal, NULL, g_free);
	return harm;
}

/**
 * lug_interference_free - release
 * @harm: may be NULL
 */
void lug_interference_free(struct lug_interference *harm)
{
	if (!harm)
		return;
	g_hash_table_unref(harm->pairs);
	g_hash_table_unref(harm->least);
	g_free(harm);
}

static struct entry *find(const struct lug_interference *harm, const char *serving,
			  const char *filler)
{
	struct pair_key key = {serving, filler};

	return g_hash_table_lookup(harm->pairs, &key);
}

static struct entry *get(struct lug_interference *harm, const char *serving, const char *filler)
{
	struct entry *entry = find(harm, serving, filler);
	struct pair_key *key;

	if (entry)
		return entry;
	entry = g_new0(struct entry, 1);
	entry->own.serving = serving;
	entry->own.best_effort = filler;
	entry->own.weight = WEIGHT_UNKNOWN;
	entry->var = WEIGHT_SPREAD * WEIGHT_SPREAD;
	key = g_new0(struct pair_key, 1);
	key->serving = serving;
	key->filler = filler;
	g_hash_table_insert(harm->pairs, key, entry);
	return entry;
}

/**
 * lug_interference_weight - learned weight of a pair, from own samples and from what was told
 */
double lug_interference_weight(const struct lug_interference *harm, const char *serving,
			       const char *filler)
{
	const struct entry *entry = find(harm, serving, filler);

	return entry ? entry->own.weight : WEIGHT_UNKNOWN;
}

static double least_var(double weight)
{
	double doubt = WEIGHT_DOUBT * MAX(weight, WEIGHT_UNKNOWN);

	return doubt * doubt;
}

/**
 * lug_interference_merge - take in what others have learned of a pair
 *
 * The surer of both estimates counts; where both are sure they approach each other.
 */
void lug_interference_merge(struct lug_interference *harm, const struct lug_interference_pair *pair)
{
	struct entry *entry = get(harm, pair->serving, pair->best_effort);
	double var = WEIGHT_SPREAD * WEIGHT_SPREAD / (1 + pair->count);

	if (var < entry->var / 2) {
		entry->own.weight = pair->weight;
		entry->var = MAX(var, least_var(pair->weight));
	} else {
		entry->own.weight += TELL_BLEND * (pair->weight - entry->own.weight);
	}
}

/* Latency of a serving task without load. */
static double idle_ms(struct lug_interference *harm, const struct lug_interference_sample *sample)
{
	double *least = g_hash_table_lookup(harm->least, sample->image);

	if (!least) {
		least = g_new0(double, 1);
		*least = sample->tail_ms;
		g_hash_table_insert(harm->least, (gpointer)sample->image, least);
	}
	*least = MAX(MIN(*least, sample->tail_ms), 1);
	return MIN(*least * IDLE_PART, sample->target_ms * IDLE_OF_TARGET);
}

/* Utilisation that a task at its full share takes from a serving task. */
static double pressing(const struct lug_interference *harm, const char *serving,
		       const struct lug_interference_task *filler)
{
	return filler->strength * lug_interference_weight(harm, serving, filler->image);
}

static double pressure_of(const struct lug_interference *harm, const char *serving,
			  const struct lug_interference_task *present, guint n)
{
	double sum = 0;

	for (guint i = 0; i < n; i++)
		sum += present[i].share * pressing(harm, serving, &present[i]);
	return sum;
}

/* The entry of a pair, with the variance that it has gained by its age. */
static struct entry *aged(struct lug_interference *harm, const char *serving, const char *filler,
			  gint64 now_us)
{
	struct entry *entry = get(harm, serving, filler);
	double span = entry->at_us ? (double)(now_us - entry->at_us) / G_USEC_PER_SEC : 0;

	entry->at_us = now_us;
	entry->var = MIN(entry->var + WEIGHT_CHANGE * WEIGHT_CHANGE * span,
			 WEIGHT_SPREAD * WEIGHT_SPREAD);
	entry->var = MAX(entry->var, least_var(entry->own.weight));
	return entry;
}

/* Takes the weight's and the task's part of an error in. */
static void correct(struct entry *entry, struct lug_interference_presence *item, double error,
		    double variance)
{
	double by_weight = item->strength * item->share;
	double by_strength = entry->own.weight * item->share;
	double part = entry->var * by_weight / variance;
	double strength_part = item->strength_var * by_strength / variance;
	double rest = variance - entry->var * by_weight * by_weight;

	entry->own.weight = CLAMP(entry->own.weight + part * error, 0, WEIGHT_MAX);
	entry->own.count += WEIGHT_SPREAD * WEIGHT_SPREAD * by_weight * by_weight / rest;
	entry->var -= part * by_weight * entry->var;
	item->strength = CLAMP(item->strength + strength_part * error, STRENGTH_MIN, STRENGTH_MAX);
	item->strength_var -= strength_part * by_strength * item->strength_var;
}

/**
 * lug_interference_strength_var - variance of a task's strength after some time without a sample
 * @var: variance before, 0 for a task that was never sampled
 * @span_us: time since then
 */
double lug_interference_strength_var(double var, gint64 span_us)
{
	if (var <= 0)
		return STRENGTH_SPREAD * STRENGTH_SPREAD;
	return MIN(var + STRENGTH_CHANGE * STRENGTH_CHANGE * (double)span_us / G_USEC_PER_SEC,
		   STRENGTH_SPREAD * STRENGTH_SPREAD);
}

/**
 * lug_interference_observe - learn from one sample
 * @harm: what is learned
 * @load: own load of the serving task, adapted
 * @sample: what the worker tells of the serving task
 * @present: tasks beside it since the former sample; their strength is adapted
 * @n: how many
 *
 * Weights, strengths and the load each take the part of the error that they are unsure of. A
 * saturated sample tells only that the utilisation is at least so high.
 *
 * Return: utilisation at which the serving task reaches its target.
 */
double lug_interference_observe(struct lug_interference *harm, struct lug_load *load,
				const struct lug_interference_sample *sample,
				struct lug_interference_presence *present, guint n)
{
	double idle = idle_ms(harm, sample);
	double tail = lug_load_tail_ms(load, sample->tail_ms, sample->at_us);
	double used = CLAMP(1 - idle / tail, 0, USED_MAX);
	double variance = lug_load_noise(load, used, sample->at_us);
	double unsteady = UNSTEADY_FULL * MAX(used - UNSTEADY_USED, 0);
	double error;

	lug_load_advance(load, sample->at_us);
	load->tail_ms = sample->tail_ms;
	error = used - load->level;
	variance += load->level_var;
	for (guint i = 0; i < n; i++) {
		const struct lug_interference_presence *item = &present[i];
		const struct entry *entry = aged(harm, sample->image, item->image, sample->at_us);
		double by_weight = item->strength * item->share;
		double by_strength = entry->own.weight * item->share;

		error -= entry->own.weight * by_weight;
		unsteady += UNSTEADY_PART * MAX(entry->own.weight, WEIGHT_UNKNOWN) *
			    (item->most - item->least);
		variance += entry->var * by_weight * by_weight +
			    item->strength_var * by_strength * by_strength;
	}
	variance += unsteady * unsteady;
	if (used < USED_MAX || error > 0) {
		error = CLAMP(error, -ERROR_MAX * sqrt(variance), ERROR_MAX * sqrt(variance));
		for (guint i = 0; i < n; i++)
			correct(get(harm, sample->image, present[i].image), &present[i], error,
				variance);
		lug_load_correct(load, error, variance);
	}
	return 1 - idle / sample->target_ms;
}

/**
 * lug_interference_slack - utilisation that tasks beside a serving task may still take
 */
double lug_interference_slack(const struct lug_interference_serving *serving)
{
	return serving->limit - MARGIN - serving->base - serving->pressure;
}

/* A serving task that misses its target by its own load wins nothing from the others. */
static gboolean hopeless(const struct lug_interference_serving *serving)
{
	return serving->base > serving->limit + MARGIN / 2;
}

/**
 * lug_interference_allowed_share - share at which one more task may work beside serving tasks
 * @harm: what is learned
 * @filler: its image
 * @servings: serving tasks of the worker
 * @n: how many
 *
 * Return: 0 to 1.
 */
double lug_interference_allowed_share(const struct lug_interference *harm, const char *filler,
				      const struct lug_interference_serving *servings, guint n)
{
	double share = 1;

	for (guint i = 0; i < n; i++) {
		double weight = lug_interference_weight(harm, servings[i].image, filler);

		if (weight >= WEIGHT_GUILTY && !hopeless(&servings[i]))
			share = MIN(share, lug_interference_slack(&servings[i]) / weight);
	}
	return share < SHARE_MIN ? 0 : share;
}

/*
 * Cuts what presses a serving task until it should be below its target, each by its weight, so
 * that the shares lost are the least in the mean square.
 */
static void cut(const struct lug_interference *harm, const struct lug_interference_serving *serving,
		struct lug_interference_task *fillers, guint n)
{
	double excess = serving->base + pressure_of(harm, serving->image, fillers, n) -
			(serving->limit - MARGIN);

	for (guint round = 0; round < CUT_ROUNDS && excess > EXCESS_MIN; round++) {
		double norm = 0;

		for (guint i = 0; i < n; i++) {
			double weight = pressing(harm, serving->image, &fillers[i]);

			if (weight >= WEIGHT_GUILTY && fillers[i].share > 0)
				norm += weight * weight;
		}
		if (norm <= 0)
			return;
		for (guint i = 0; i < n; i++) {
			double weight = pressing(harm, serving->image, &fillers[i]);

			if (weight >= WEIGHT_GUILTY)
				fillers[i].share =
					MAX(fillers[i].share - weight * excess / norm, 0);
		}
		excess = serving->base + pressure_of(harm, serving->image, fillers, n) -
			 (serving->limit - MARGIN);
	}
}

/**
 * lug_interference_plan - shares for the tasks that fill a worker
 * @harm: what is learned
 * @servings: serving tasks; their pressure is written
 * @n_servings: how many
 * @fillers: tasks that fill, with their present shares; new shares are written
 * @n_fillers: how many
 *
 * All that fill rise towards their full share, and a serving task takes from those that would
 * press it over its target.
 */
void lug_interference_plan(const struct lug_interference *harm,
			   struct lug_interference_serving *servings, guint n_servings,
			   struct lug_interference_task *fillers, guint n_fillers)
{
	for (guint i = 0; i < n_fillers; i++)
		fillers[i].share = MIN(fillers[i].share + RAISE_MAX, 1);
	for (guint i = 0; i < n_servings; i++)
		if (!hopeless(&servings[i]))
			cut(harm, &servings[i], fillers, n_fillers);
	for (guint i = 0; i < n_fillers; i++)
		if (fillers[i].share < SHARE_MIN)
			fillers[i].share = 0;
	for (guint i = 0; i < n_servings; i++)
		servings[i].pressure = pressure_of(harm, servings[i].image, fillers, n_fillers);
}

/**
 * lug_interference_pairs - all pairs with samples of this process
 *
 * Return: array of struct lug_interference_pair, owned by the caller.
 */
GArray *lug_interference_pairs(const struct lug_interference *harm)
{
	GArray *out = g_array_new(FALSE, FALSE, sizeof(struct lug_interference_pair));
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, harm->pairs);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		if (((struct entry *)value)->own.count > 0)
			g_array_append_val(out, ((struct entry *)value)->own);
	return out;
}

/**
 * lug_interference_pool - mean of what several workers have learned, weighted by their samples
 * @pool: replaced
 * @reports: array of GArray * of struct lug_interference_pair
 */
void lug_interference_pool(struct lug_interference *pool, GPtrArray *reports)
{
	g_hash_table_remove_all(pool->pairs);
	for (guint r = 0; r < reports->len; r++) {
		const GArray *report = g_ptr_array_index(reports, r);

		for (guint i = 0; i < report->len; i++) {
			const struct lug_interference_pair *pair =
				&g_array_index(report, struct lug_interference_pair, i);
			struct entry *entry = get(pool, pair->serving, pair->best_effort);
			double count = MIN(pair->count, TOLD_COUNT_MAX);
			double sum = entry->own.count + count;

			if (sum > 0)
				entry->own.weight = (entry->own.weight * entry->own.count +
						     pair->weight * count) /
						    sum;
			entry->own.count = sum;
		}
	}
}

/**
 * lug_interference_from_wire - read a pair from a message
 *
 * Return: FALSE when a member is missing or out of range.
 */
gboolean lug_interference_from_wire(const Lug__HarmPair *wire, struct lug_interference_pair *out)
{
	double weight = (double)wire->weight;
	double count = (double)wire->count;

	if (!wire->serving || !wire->filler || !(weight >= 0 && weight <= WEIGHT_MAX) ||
	    !(count >= 0))
		return FALSE;
	out->serving = g_intern_string(wire->serving);
	out->best_effort = g_intern_string(wire->filler);
	out->weight = weight;
	out->count = count;
	return TRUE;
}

/**
 * lug_interference_to_wire - fill a message with a pair; it points into @pair
 */
void lug_interference_to_wire(const struct lug_interference_pair *pair, Lug__HarmPair *wire)
{
	lug__harm_pair__init(wire);
	wire->serving = (char *)pair->serving;
	wire->filler = (char *)pair->best_effort;
	wire->has_weight = 1;
	wire->weight = (float)pair->weight;
	wire->has_count = 1;
	wire->count = (float)pair->count;
}
