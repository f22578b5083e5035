#include "core/metrics.h"

#define HIST_SUB (1u << LUG_HIST_SUB_BITS)

struct metric_name {
	const char *name;
	const char *help;
};

#define X(id, name, help) {name, help},
static const struct metric_name counter_names[] = {LUG_COUNTERS(X)};
static const struct metric_name gauge_names[] = {LUG_GAUGES(X)};
static const struct metric_name histogram_names[] = {LUG_HISTOGRAMS(X)};
#undef X

static const double printed_quantiles[] = {0.5, 0.9, 0.99, 0.999};

static guint bucket_of(guint64 value)
{
	guint exponent;
	guint index;

	if (value < HIST_SUB)
		return (guint)value;
	exponent = 63 - (guint)__builtin_clzll(value);
	index = ((exponent - LUG_HIST_SUB_BITS + 1) << LUG_HIST_SUB_BITS) +
		(guint)((value >> (exponent - LUG_HIST_SUB_BITS)) & (HIST_SUB - 1));
	return MIN(index, (guint)LUG_HIST_BUCKETS - 1);
}

static guint64 bucket_middle(guint index)
{
	guint shift;
	guint64 low;

	if (index < HIST_SUB)
		return index;
	shift = (index >> LUG_HIST_SUB_BITS) - 1;
	low = (guint64)(HIST_SUB + (index & (HIST_SUB - 1))) << shift;
	return low + (((guint64)1 << shift) >> 1);
}

/**
 * lug_metrics_new - create zeroed metrics
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
 * @value: sample
 */
void lug_histogram_add(struct lug_histogram *hist, guint64 value)
{
	hist->count++;
	hist->sum += value;
	hist->buckets[bucket_of(value)]++;
}

/**
 * lug_histogram_quantile - value below which a share of the samples lies
 * @hist: histogram
 * @quantile: share, 0 to 1
 *
 * Return: middle of the bucket, 0 without samples.
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
			return bucket_middle(i);
	}
	return bucket_middle(LUG_HIST_BUCKETS - 1);
}

static void print_head(GString *out, const struct metric_name *name, const char *type)
{
	g_string_append_printf(out, "# HELP catkinlug_%s %s\n# TYPE catkinlug_%s %s\n", name->name,
			       name->help, name->name, type);
}

static void print_histogram(GString *out, const struct metric_name *name,
			    const struct lug_histogram *hist)
{
	print_head(out, name, "summary");
	for (gsize i = 0; i < G_N_ELEMENTS(printed_quantiles); i++)
		g_string_append_printf(out, "catkinlug_%s{quantile=\"%g\"} %" G_GUINT64_FORMAT "\n",
				       name->name, printed_quantiles[i],
				       lug_histogram_quantile(hist, printed_quantiles[i]));
	g_string_append_printf(out, "catkinlug_%s_sum %" G_GUINT64_FORMAT "\n", name->name,
			       hist->sum);
	g_string_append_printf(out, "catkinlug_%s_count %" G_GUINT64_FORMAT "\n", name->name,
			       hist->count);
}

/**
 * lug_metrics_print - append all metrics in the Prometheus text form
 * @metrics: metrics
 * @out: string to append to
 */
void lug_metrics_print(const struct lug_metrics *metrics, GString *out)
{
	for (guint i = 0; i < LUG_COUNTER_COUNT; i++) {
		print_head(out, &counter_names[i], "counter");
		g_string_append_printf(out, "catkinlug_%s %" G_GUINT64_FORMAT "\n",
				       counter_names[i].name, metrics->counters[i]);
	}
	for (guint i = 0; i < LUG_GAUGE_COUNT; i++) {
		print_head(out, &gauge_names[i], "gauge");
		g_string_append_printf(out, "catkinlug_%s %" G_GINT64_FORMAT "\n",
				       gauge_names[i].name, metrics->gauges[i]);
	}
	for (guint i = 0; i < LUG_HISTOGRAM_COUNT; i++)
		print_histogram(out, &histogram_names[i], &metrics->histograms[i]);
}
