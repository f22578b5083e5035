#include "workflow/config.h"

#include <string.h>

/*
 * Time that a watch waits at the table service. Short enough that an edit is applied within 2 s
 * even when the connection of one watch hangs until its time-out.
 */
#define WATCH_WAIT_MS 900
/* The configuration is fresh for this long after an answer: two and a half times the watch wait. */
#define FRESH_TIMEOUT_US (2300 * 1000)
#define CALL_RETRY_US (200 * 1000)
/* Rows of evacuated zones that one read returns at most. */
#define ZONES_PER_READ 100
/* Reads after which rows without a key or a version are taken to be there for good. */
#define SKIPPED_READS_MAX 3

/**
 * struct lug_config - the newest version of the configuration seen
 * @ctx: context
 * @store: client of the table service
 * @source: location of the configuration
 * @changed: called after each change to a newer version, may be NULL
 * @data: passed to @changed
 * @queues: current version, NULL before the first one
 * @evacuation: evacuated zones, NULL if the source has none
 * @is_first_page: the read of the evacuated zones has not been answered yet
 * @has_skipped: this read has returned rows without a key or a version
 * @skipped_reads: consecutive reads that have
 * @read_sent_us: time at which this read began
 * @watch_after: version of the table after which the next watch reports changes
 * @rows_read: the rows have been read, so changes are watched
 * @call_in_flight: a read or a watch is in flight
 * @call_sent_us: time at which it was sent
 * @call_name: what it does, for the log
 * @failed_calls: consecutive calls that failed
 * @next_us: earliest time of the next call
 * @last_answer_us: time of the latest answer, 0 before the first one
 */
struct lug_config {
	struct lug_ctx *ctx;
	struct lug_store *store;
	struct lug_config_source source;
	void (*changed)(void *data);
	void *data;
	struct lug_queues *queues;
	struct lug_evacuation *evacuation;
	gboolean is_first_page;
	gboolean has_skipped;
	guint skipped_reads;
	gint64 read_sent_us;
	gint64 watch_after;
	gboolean rows_read;
	gboolean call_in_flight;
	gint64 call_sent_us;
	const char *call_name;
	guint failed_calls;
	gint64 next_us;
	gint64 last_answer_us;
};

static void on_zone_changed(void *data, const char *zone, gboolean evacuated)
{
	struct lug_config *config = data;

	lug_warn(config->ctx, evacuated ? "zone_evacuated" : "zone_returned", "zone", zone);
	lug_gauge(config->ctx, ZONES_EVACUATED, lug_evacuation_count(config->evacuation));
}

/**
 * lug_config_new - create an empty configuration
 * @ctx: context
 * @store: table service client; must be freed before the configuration
 * @source: location of the configuration, copied
 * @changed: called after each change to a newer version, may be NULL
 * @data: passed to @changed
 */
struct lug_config *lug_config_new(struct lug_ctx *ctx, struct lug_store *store,
				  const struct lug_config_source *source,
				  void (*changed)(void *data), void *data)
{
	struct lug_config *config = g_new0(struct lug_config, 1);

	config->ctx = ctx;
	config->store = store;
	config->source = *source;
	config->changed = changed;
	config->data = data;
	if (source->evacuations)
		config->evacuation =
			lug_evacuation_new(ctx->settings->zone, on_zone_changed, config);
	return config;
}

/**
 * lug_config_free - release the configuration
 * @config: may be NULL
 */
void lug_config_free(struct lug_config *config)
{
	if (!config)
		return;
	lug_queues_free(config->queues);
	lug_evacuation_free(config->evacuation);
	g_free(config);
}

static char *format_ms(char *text, gsize size, gint64 us)
{
	g_snprintf(text, size, "%" G_GINT64_FORMAT, us / 1000);
	return text;
}

/* Only the first failure of a series is logged, the end of the series by on_answer(). */
static void on_failure(struct lug_config *config)
{
	gint64 now_us = lug_now_us();
	char call_ms[24];
	char age_ms[24];

	if (config->failed_calls++)
		return;
	lug_warn(config->ctx, "config_call_failed", "call", config->call_name, "sent",
		 config->store->unsent ? "no" : "yes", "call_ms",
		 format_ms(call_ms, sizeof(call_ms), now_us - config->call_sent_us),
		 "unconfirmed_ms",
		 format_ms(age_ms, sizeof(age_ms), lug_config_age_us(config, now_us)));
}

static void on_answer(struct lug_config *config)
{
	gint64 now_us = lug_now_us();
	char failures[12];
	char age_ms[24];

	if (config->failed_calls) {
		g_snprintf(failures, sizeof(failures), "%u", config->failed_calls);
		lug_info(config->ctx, "config_call_answered", "call", config->call_name, "failures",
			 failures, "unconfirmed_ms",
			 format_ms(age_ms, sizeof(age_ms), lug_config_age_us(config, now_us)));
	}
	config->failed_calls = 0;
	config->last_answer_us = now_us;
}

static void log_applied(struct lug_config *config)
{
	gint64 now_us = lug_now_us();
	char version[24];
	char call_ms[24];

	g_snprintf(version, sizeof(version), "%" G_GINT64_FORMAT, config->queues->version);
	lug_info(config->ctx, "config_applied", "version", version, "call", config->call_name,
		 "call_ms", format_ms(call_ms, sizeof(call_ms), now_us - config->call_sent_us));
}

static void apply_row(struct lug_config *config, const struct lug_row *row)
{
	struct lug_error err = {0};
	struct lug_queues *queues;

	if (!row->data || strcmp(row->key, config->source.key))
		return;
	queues = config->source.decode(row->data, &err);
	if (!queues) {
		lug_warn(config->ctx, "config_refused", "problem", err.msg, "remedy", err.remedy);
		return;
	}
	if (config->queues && queues->version <= config->queues->version) {
		lug_queues_free(queues);
		return;
	}
	lug_queues_free(config->queues);
	config->queues = queues;
	log_applied(config);
	lug_gauge(config->ctx, TABLE_VERSION, queues->version);
	if (config->changed)
		config->changed(config->data);
}

/*
 * The key says it all: a row whose value can't be read is an evacuation too. A deletion is read
 * again, as a watch also reports rows of other parts of the table that have the same key.
 */
static void apply_zone(struct lug_config *config, const struct lug_row *row)
{
	const char *prefix = config->source.evacuations;

	if (!prefix || !g_str_has_prefix(row->key, prefix))
		return;
	if (row->deleted)
		config->rows_read = FALSE;
	else
		lug_evacuation_add(config->evacuation, row->key + strlen(prefix));
}

/* Reads all rows again after a moment, as changes since the latest answer may be missed. */
static void read_again(struct lug_config *config)
{
	config->call_in_flight = FALSE;
	config->rows_read = FALSE;
	config->next_us = lug_now_us() + CALL_RETRY_US;
}

static void on_config(void *data, enum lug_status status, const struct lug_row *rows, guint n_rows,
		      gboolean more)
{
	struct lug_config *config = data;

	(void)more;
	if (status != LUG_OK) {
		on_failure(config);
		read_again(config);
		return;
	}
	config->call_in_flight = FALSE;
	on_answer(config);
	for (guint i = 0; i < n_rows; i++) {
		apply_row(config, &rows[i]);
		config->rows_read = TRUE;
	}
	/* Changes since the first read are seen by a watch from its version on. */
	if (!config->evacuation)
		config->watch_after = config->store->version;
	/* Without rows, the configuration does not exist yet: read again later. */
	if (!n_rows)
		config->next_us = lug_now_us() + CALL_RETRY_US;
}

static void read_config(struct lug_config *config)
{
	config->call_name = "read";
	lug_store_scan(config->store, config->source.table, config->source.key, NULL, 1, on_config,
		       config);
}

static void end_zones(struct lug_config *config)
{
	lug_evacuation_end_read(config->evacuation, config->read_sent_us);
	if (!lug_evacuation_is_complete(config->evacuation))
		lug_warn(config->ctx, "evacuations_left_out", "reason",
			 "too many rows, or too long a zone", "remedy",
			 "delete the rows of zones that do not exist");
}

/*
 * Whether the read that has ended may lack a zone: it has returned a row without a key or a
 * version, and the reads before it have not done so often enough. Such a read ends no evacuation.
 */
static gboolean may_lack_zone(struct lug_config *config)
{
	config->skipped_reads = config->has_skipped ? config->skipped_reads + 1 : 0;
	return config->has_skipped && config->skipped_reads < SKIPPED_READS_MAX;
}

/* One page of the evacuated zones. */
static void on_zones(void *data, enum lug_status status, const struct lug_row *rows, guint n_rows,
		     gboolean more)
{
	struct lug_config *config = data;

	if (status != LUG_OK) {
		on_failure(config);
		read_again(config);
		return;
	}
	on_answer(config);
	if (config->is_first_page)
		config->watch_after = config->store->version;
	config->is_first_page = FALSE;
	config->has_skipped = config->has_skipped || config->store->skipped;
	for (guint i = 0; i < n_rows; i++)
		apply_zone(config, &rows[i]);
	if (more && n_rows) {
		lug_store_scan(config->store, config->source.table, config->source.evacuations,
			       rows[n_rows - 1].key, ZONES_PER_READ, on_zones, config);
		return;
	}
	if (more || may_lack_zone(config)) {
		read_again(config);
		return;
	}
	end_zones(config);
	read_config(config);
}

static void read_rows(struct lug_config *config, gint64 now_us)
{
	if (!config->evacuation) {
		read_config(config);
		return;
	}
	config->call_name = "read_zones";
	config->is_first_page = TRUE;
	config->has_skipped = FALSE;
	config->read_sent_us = now_us;
	lug_evacuation_begin_read(config->evacuation);
	lug_store_scan(config->store, config->source.table, config->source.evacuations, NULL,
		       ZONES_PER_READ, on_zones, config);
}

/*
 * After a failed watch, or when the table service has dropped the versions since the last one, the
 * rows are read: that is answered without waiting, and also ends the evacuation of a zone whose
 * deletion was missed.
 */
static void on_watch(void *data, const struct lug_watch_result *result)
{
	struct lug_config *config = data;

	if (result->status != LUG_OK) {
		on_failure(config);
		read_again(config);
		return;
	}
	config->call_in_flight = FALSE;
	on_answer(config);
	for (guint i = 0; i < result->n_rows; i++) {
		apply_row(config, &result->rows[i]);
		apply_zone(config, &result->rows[i]);
	}
	config->watch_after = MAX(config->watch_after, result->version);
	/* A change that can't be read may be an evacuation. */
	if (config->store->skipped)
		read_again(config);
	else if (config->evacuation)
		lug_evacuation_confirm(config->evacuation, config->call_sent_us);
}

/**
 * lug_config_tick - start a read or a watch unless one is in flight
 * @config: configuration
 * @now_us: current time
 */
void lug_config_tick(struct lug_config *config, gint64 now_us)
{
	if (config->call_in_flight || now_us < config->next_us)
		return;
	config->call_in_flight = TRUE;
	config->call_sent_us = now_us;
	if (!config->rows_read) {
		read_rows(config, now_us);
		return;
	}
	config->call_name = "watch";
	lug_store_watch(config->store, config->source.table, config->watch_after, WATCH_WAIT_MS,
			on_watch, config);
}

/**
 * lug_config_is_fresh - check whether the table service has answered recently
 * @config: configuration
 * @now_us: current time
 */
gboolean lug_config_is_fresh(const struct lug_config *config, gint64 now_us)
{
	return now_us - config->last_answer_us < FRESH_TIMEOUT_US;
}

/**
 * lug_config_age_us - time since the table service has last answered
 * @config: configuration
 * @now_us: current time
 *
 * Return: microseconds, -1 before the first answer.
 */
gint64 lug_config_age_us(const struct lug_config *config, gint64 now_us)
{
	return config->last_answer_us ? now_us - config->last_answer_us : -1;
}

/**
 * lug_config_version - version of the configuration in force in this process
 * @config: configuration
 *
 * Return: 0 before the first one.
 */
gint64 lug_config_version(const struct lug_config *config)
{
	return config->queues ? config->queues->version : 0;
}

/**
 * lug_config_queues - queue definitions of the current version
 * @config: configuration
 *
 * Return: owned by @config, valid until the next version; NULL before the first one.
 */
const struct lug_queues *lug_config_queues(const struct lug_config *config)
{
	return config->queues;
}

/**
 * lug_config_evacuation - evacuated zones
 * @config: configuration
 *
 * Return: owned by @config; NULL if its source has none.
 */
const struct lug_evacuation *lug_config_evacuation(const struct lug_config *config)
{
	return config->evacuation;
}
