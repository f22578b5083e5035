#include "schedule/estimate.h"

#include <math.h>

/* Buckets for each doubling of the ratio: a relative resolution of 19 %. */
#define BUCKETS_PER_OCTAVE 4
/*
 * Ratios from 1/128 to 128. Declared run times are off by up to nine tenths, and some runs take
 * seven times as long as others of their kind.
 */
#define OCTAVES 14
#define BUCKETS (OCTAVES * BUCKETS_PER_OCTAVE)
/* A sample loses half of its weight in this time. */
#define HALF_LIFE_US (60.0 * G_USEC_PER_SEC)
/* New samples weigh more than old ones instead of old ones being reduced, up to this weight. */
#define WEIGHT_MAX 1e6
/* Keeps sums and conversions of estimates from an overflow, whatever a submitter declares. */
#define RESULT_MAX_MS 1e12

/*
 * struct ratio_histogram - ratios of actual to declared run time of one key
 * @ends: number of samples
 * @total: sum of @weights
 * @weights: weight of the samples in each bucket
 */
struct ratio_histogram {
	guint64 ends;
	double total;
	double weights[BUCKETS];
};

/**
 * struct lug_estimates - run times learned from the ends of runs, by key
 * @by_key: struct ratio_histogram by text
 * @base_us: time at which a new sample has a weight of 1, 0 before the first sample
 */
struct lug_estimates {
	GHashTable *by_key;
	gint64 base_us;
};

/**
 * lug_estimates_new - create estimates without samples
 *
 * Return: estimates, owned by the caller.
 */
struct lug_estimates *lug_estimates_new(void)
{
	struct lug_estimates *est = g_new0(struct lug_estimates, 1);

	est->by_key = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	return est;
}

/**
 * lug_estimates_free - release estimates
 * @est: may be NULL
 */
void lug_estimates_free(struct lug_estimates *est)
{
	if (!est)
		return;
	g_hash_table_unref(est->by_key);
	g_free(est);
}

static void scale_weights(struct lug_estimates *est, double factor)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, est->by_key);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct ratio_histogram *hist = value;

		hist->total = 0;
		for (guint i = 0; i < BUCKETS; i++) {
			hist->weights[i] *= factor;
			hist->total += hist->weights[i];
		}
	}
}

/* Weight of a sample taken now, on the scale of all earlier ones. */
static double sample_weight(struct lug_estimates *est, gint64 now_us)
{
	double weight;

	if (!est->base_us)
		est->base_us = now_us;
	weight = exp2((double)MAX(now_us - est->base_us, 0) / HALF_LIFE_US);
	if (weight < WEIGHT_MAX)
		return weight;
	scale_weights(est, 1 / weight);
	est->base_us = now_us;
	return 1;
}

static void evict_least_used(struct lug_estimates *est)
{
	const char *least = NULL;
	double least_total = 0;
	GHashTableIter iter;
	gpointer key;
	gpointer value;

	g_hash_table_iter_init(&iter, est->by_key);
	while (g_hash_table_iter_next(&iter, &key, &value)) {
		const struct ratio_histogram *hist = value;

		if (least && hist->total >= least_total)
			continue;
		least = key;
		least_total = hist->total;
	}
	if (least)
		g_hash_table_remove(est->by_key, least);
}

static struct ratio_histogram *get_histogram(struct lug_estimates *est, const char *key)
{
	struct ratio_histogram *hist = g_hash_table_lookup(est->by_key, key);

	if (hist)
		return hist;
	if (g_hash_table_size(est->by_key) >= LUG_ESTIMATES_KEYS_MAX)
		evict_least_used(est);
	hist = g_new0(struct ratio_histogram, 1);
	g_hash_table_insert(est->by_key, g_strdup(key), hist);
	return hist;
}

static guint bucket_of(double ratio)
{
	double bucket = floor((log2(ratio) + OCTAVES / 2.0) * BUCKETS_PER_OCTAVE);

	return (guint)CLAMP(bucket, 0, BUCKETS - 1);
}

/**
 * lug_estimates_add - learn from the end of a run
 * @est: estimates
 * @key: key
 * @declared_ms: declared run time; the sample is ignored unless it is positive
 * @actual_ms: time for which the run has lasted; less than 1 counts as 1
 * @now_us: current time
 *
 * The caller leaves out runs that failed, were stopped or were throttled.
 */
void lug_estimates_add(struct lug_estimates *est, const char *key, gint64 declared_ms,
		       gint64 actual_ms, gint64 now_us)
{
	struct ratio_histogram *hist;
	double weight;

	if (declared_ms <= 0)
		return;
	/* Before the lookup, as it may change the weights of all histograms. */
	weight = sample_weight(est, now_us);
	hist = get_histogram(est, key);
	hist->ends++;
	hist->total += weight;
	hist->weights[bucket_of((double)MAX(actual_ms, 1) / (double)declared_ms)] += weight;
}

/* Ratio below which @quantile of the samples lie, interpolated within its bucket. */
static double ratio_at(const struct ratio_histogram *hist, double quantile)
{
	double left = CLAMP(quantile, 0, 1) * hist->total;
	guint last = 0;

	for (guint i = 0; i < BUCKETS; i++) {
		double part;

		if (hist->weights[i] <= 0)
			continue;
		last = i;
		part = left / hist->weights[i];
		if (part <= 1)
			return exp2(((double)i + part) / BUCKETS_PER_OCTAVE - OCTAVES / 2.0);
		left -= hist->weights[i];
	}
	return exp2((last + 1.0) / BUCKETS_PER_OCTAVE - OCTAVES / 2.0);
}

/**
 * lug_estimates_ms - expected run time
 * @est: estimates
 * @key: key
 * @declared_ms: declared run time
 * @quantile: part of the runs that take no longer than the result, see LUG_ESTIMATES_EXPECTED and
 *            LUG_ESTIMATES_PROMISED
 *
 * Return: run time in ms, at most 10^12 once it is learned; @declared_ms until
 * LUG_ESTIMATES_ENDS_MIN ends are known, 0 when it is not positive.
 */
gint64 lug_estimates_ms(const struct lug_estimates *est, const char *key, gint64 declared_ms,
			double quantile)
{
	const struct ratio_histogram *hist;

	if (declared_ms <= 0)
		return 0;
	hist = g_hash_table_lookup(est->by_key, key);
	if (!hist || hist->ends < LUG_ESTIMATES_ENDS_MIN || hist->total <= 0)
		return declared_ms;
	return (gint64)CLAMP((double)declared_ms * ratio_at(hist, quantile), 1, RESULT_MAX_MS);
}

/**
 * lug_estimates_count - number of keys
 */
guint lug_estimates_count(const struct lug_estimates *est)
{
	return g_hash_table_size(est->by_key);
}
