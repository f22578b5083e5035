#include "core/metrics.h"

#define HIST_SUB_BUCKETS (1u << LUG_HIST_SUB_BITS)

struct metric_info {
	const char *name;
	const char *help;
};

#define X(id, name, help) {name, help},
static const struct metric_info counter_infos[] = {LUG_COUNTERS(X)};
static const struct metric_info gauge_infos[] = {LUG_GAUGES(X)};
static const struct metric_info histogram_infos[] = {LUG_HISTOGRAMS(X)};
#undef X

static const double exported_quantiles[] = {0.5, 0.9, 0.99, 0.999};

/* Each value below HIST_SUB_BUCKETS has its own bucket, whose index is the value. */
static guint bucket_index(guint64 value)
{
	guint exponent;
	guint index;

	if (value < HIST_SUB_BUCKETS)
		return (guint)value;
	exponent = 63 - (guint)__builtin_clzll(value);
	index = ((exponent - LUG_HIST_SUB_BITS + 1) << LUG_HIST_SUB_BITS) +
		(guint)((value >> (exponent - LUG_HIST_SUB_BITS)) & (HIST_SUB_BUCKETS - 1));
	return MIN(index, (guint)LUG_HIST_BUCKETS - 1);
}

static guint64 bucket_midpoint(guint index)
{
	guint shift;
	guint64 low;

	if (index < HIST_SUB_BUCKETS)
		return index;
	shift = (index >> LUG_HIST_SUB_BITS) - 1;
	low = (guint64)(HIST_SUB_BUCKETS + (index & (HIST_SUB_BUCKETS - 1))) << shift;
	return low + (((guint64)1 << shift) >> 1);
}

/**
 * lug_metrics_new - create zeroed metrics
 *
 * Return: metrics, released by lug_metrics_free().
 */
struct lug_metrics *lug_metrics_new(void)
{
	return g_new0(struct lug_metrics, 1);
}

/**
 * lug_metrics_free - release metrics
 * @metrics: metrics, may be NULL
 */
void lug_metrics_free(struct lug_metrics *metrics)
{
	g_free(metrics);
}

/**
 * lug_histogram_add - record a sample
 * @hist: histogram
 * @value: sample, in the unit of the histogram
 */
void lug_histogram_add(struct lug_histogram *hist, guint64 value)
{
	hist->count++;
	hist->sum += value;
	hist->buckets[bucket_index(value)]++;
}

/**
 * lug_histogram_quantile - estimate a quantile
 * @hist: histogram
 * @quantile: quantile, 0 to 1
 *
 * Return: midpoint of the bucket that holds the quantile, 0 without samples.
 */
guint64 lug_histogram_quantile(const struct lug_histogram *hist, double quantile)
{
	guint64 rank = (guint64)(quantile * (double)hist->count);
	guint64 seen = 0;

	if (!hist->count)
		return 0;
	if (rank >= hist->count)
		rank = hist->count - 1;
	for (guint i = 0; i < LUG_HIST_BUCKETS; i++) {
		seen += hist->buckets[i];
		if (seen > rank)
			return bucket_midpoint(i);
	}
	return bucket_midpoint(LUG_HIST_BUCKETS - 1);
}

static void print_header(GString *out, const struct metric_info *info, const char *type)
{
	g_string_append_printf(out, "# HELP catkinlug_%s %s\n# TYPE catkinlug_%s %s\n", info->name,
			       info->help, info->name, type);
}

static void print_histogram(GString *out, const struct metric_info *info,
			    const struct lug_histogram *hist)
{
	print_header(out, info, "summary");
	for (gsize i = 0; i < G_N_ELEMENTS(exported_quantiles); i++)
		g_string_append_printf(out, "catkinlug_%s{quantile=\"%g\"} %" G_GUINT64_FORMAT "\n",
				       info->name, exported_quantiles[i],
				       lug_histogram_quantile(hist, exported_quantiles[i]));
	g_string_append_printf(out, "catkinlug_%s_sum %" G_GUINT64_FORMAT "\n", info->name,
			       hist->sum);
	g_string_append_printf(out, "catkinlug_%s_count %" G_GUINT64_FORMAT "\n", info->name,
			       hist->count);
}

/**
 * lug_metrics_print - append all metrics in the Prometheus text format
 * @metrics: metrics
 * @out: string to append to
 */
void lug_metrics_print(const struct lug_metrics *metrics, GString *out)
{
	for (guint i = 0; i < LUG_COUNTER_COUNT; i++) {
		print_header(out, &counter_infos[i], "counter");
		g_string_append_printf(out, "catkinlug_%s %" G_GUINT64_FORMAT "\n",
				       counter_infos[i].name, metrics->counters[i]);
	}
	for (guint i = 0; i < LUG_GAUGE_COUNT; i++) {
		print_header(out, &gauge_infos[i], "gauge");
		g_string_append_printf(out, "catkinlug_%s %" G_GINT64_FORMAT "\n",
				       gauge_infos[i].name, metrics->gauges[i]);
	}
	for (guint i = 0; i < LUG_HISTOGRAM_COUNT; i++)
		print_histogram(out, &histogram_infos[i], &metrics->histograms[i]);
}
