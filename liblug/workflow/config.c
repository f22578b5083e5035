#include "workflow/config.h"

#include <string.h>

/*
 * Time that a watch waits at the table service. Short enough that an edit is applied within 2 s
 * even when the connection of one watch hangs until its time-out.
 */
#define WATCH_WAIT_MS 900
/* The configuration is read without waiting for its watch if that is answered this late. */
#define READ_AFTER_US ((WATCH_WAIT_MS + 300) * 1000)
/* The configuration is fresh for this long after an answer: two and a half times the watch wait. */
#define FRESH_TIMEOUT_US (2300 * 1000)
/*
 * A configuration with an answer this recent is the newest one for callers: longer than a watch and
 * the read that follows one without an answer, shorter than the time in which changes apply.
 */
#define CONFIRMED_TIMEOUT_US (1500 * 1000)
#define CALL_RETRY_US (200 * 1000)
/* Rows of evacuated zones that one read returns at most. */
#define ZONES_PER_READ 100
/*
 * Time for which the table service may still bring a version that a peer has, before it is fetched
 * from the peer.
 */
#define FETCH_DELAY_US (300 * 1000)
/* Reads after which rows without a key or a version are taken to be there for good. */
#define SKIPPED_READS_MAX 3

/**
 * struct config_call - a kind of call to the table service, of which one at a time is in flight
 * @name: name in the log
 * @in_flight: a call is in flight
 * @sent_us: time at which it was sent
 * @next_us: earliest time of the next call
 * @failures: consecutive calls that failed
 */
struct config_call {
	const char *name;
	gboolean in_flight;
	gint64 sent_us;
	gint64 next_us;
	guint failures;
};

/**
 * struct lug_config - the newest version of the configuration seen
 * @ctx: context
 * @store: client of the table service
 * @exchange: passes the configuration on between processes, NULL without connections to any
 * @source: location of the configuration
 * @queues: current version, NULL before the first one
 * @evacuation: evacuated zones, NULL if the source has none
 * @read: read of the configuration
 * @read_needed: changes of the configuration may have been missed since its last read
 * @zones: read of the evacuated zones, page by page
 * @zones_needed: changes of the evacuated zones may have been missed since their last read
 * @is_first_page: the read of the evacuated zones has not been answered yet
 * @has_skipped: this read has returned rows without a key or a version
 * @skipped_reads: consecutive reads that have
 * @watch: watch of both, while neither has to be read
 * @read_version: version of the table as of the latest read of the configuration
 * @zones_version: that of the first page of the latest read of the evacuated zones
 * @watch_after: version of the table after which the next watch reports changes, 0 for the earlier
 *               of the two reads
 * @last_answer_us: time of the latest answer that the current version is the newest, 0 for none
 */
struct lug_config {
	struct lug_ctx *ctx;
	struct lug_store *store;
	struct lug_exchange *exchange;
	struct lug_config_source source;
	struct lug_queues *queues;
	struct lug_evacuation *evacuation;
	struct config_call read;
	gboolean read_needed;
	struct config_call zones;
	gboolean zones_needed;
	gboolean is_first_page;
	gboolean has_skipped;
	guint skipped_reads;
	struct config_call watch;
	gint64 read_version;
	gint64 zones_version;
	gint64 watch_after;
	gint64 last_answer_us;
};

static void on_zone_changed(void *data, const char *zone, gboolean evacuated)
{
	struct lug_config *config = data;

	lug_warn(config->ctx, evacuated ? "zone_evacuated" : "zone_returned", "zone", zone);
	lug_gauge(config->ctx, ZONES_EVACUATED, lug_evacuation_count(config->evacuation));
}

/* All rows are to be read, from a time on, as changes may have been missed. */
static void require_reads(struct lug_config *config, gint64 from_us)
{
	config->read_needed = TRUE;
	config->zones_needed = config->source.evacuations != NULL;
	config->read.next_us = from_us;
	config->zones.next_us = from_us;
	config->watch_after = 0;
}

static void on_peer_text(void *data, gint64 version, const char *text);

/**
 * lug_config_new - create an empty configuration
 * @ctx: context
 * @store: table service client; must be freed before the configuration
 * @link: internal connections over which processes pass the configuration on, must outlive it; NULL
 *        for none
 * @source: location of the configuration, copied
 */
struct lug_config *lug_config_new(struct lug_ctx *ctx, struct lug_store *store,
				  struct lug_link *link, const struct lug_config_source *source)
{
	struct lug_config *config = g_new0(struct lug_config, 1);

	config->ctx = ctx;
	config->store = store;
	config->source = *source;
	config->read.name = "read";
	config->zones.name = "read_zones";
	config->watch.name = "watch";
	require_reads(config, 0);
	if (link)
		config->exchange = lug_exchange_new(link, FETCH_DELAY_US, on_peer_text, config);
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
	lug_exchange_free(config->exchange);
	g_free(config);
}

static char *format_ms(char *text, gsize size, gint64 us)
{
	g_snprintf(text, size, "%" G_GINT64_FORMAT, us / 1000);
	return text;
}

static void begin_call(struct config_call *call, gint64 now_us)
{
	call->in_flight = TRUE;
	call->sent_us = now_us;
}

/* Only the first failure of a series is logged, the end of the series by end_call(). */
static void fail_call(struct lug_config *config, struct config_call *call)
{
	gint64 now_us = lug_now_us();
	char call_ms[24];
	char age_ms[24];

	call->in_flight = FALSE;
	call->next_us = now_us + CALL_RETRY_US;
	if (call->failures++)
		return;
	lug_warn(config->ctx, "config_call_failed", "call", call->name, "sent",
		 config->store->unsent ? "no" : "yes", "call_ms",
		 format_ms(call_ms, sizeof(call_ms), now_us - call->sent_us), "unconfirmed_ms",
		 format_ms(age_ms, sizeof(age_ms), lug_config_age_us(config, now_us)));
}

static void end_call(struct lug_config *config, struct config_call *call)
{
	char failures[12];
	char age_ms[24];

	call->in_flight = FALSE;
	if (!call->failures)
		return;
	g_snprintf(failures, sizeof(failures), "%u", call->failures);
	lug_info(config->ctx, "config_call_answered", "call", call->name, "failures", failures,
		 "unconfirmed_ms",
		 format_ms(age_ms, sizeof(age_ms), lug_config_age_us(config, lug_now_us())));
	call->failures = 0;
}

static void log_applied(struct lug_config *config, const struct config_call *call)
{
	char version[24];
	char call_ms[24] = "0";

	if (call)
		format_ms(call_ms, sizeof(call_ms), lug_now_us() - call->sent_us);
	g_snprintf(version, sizeof(version), "%" G_GINT64_FORMAT, config->queues->version);
	lug_info(config->ctx, "config_applied", "version", version, "call",
		 call ? call->name : "peer", "call_ms", call_ms);
}

/* Applies a configuration if it is newer. @call is NULL for one that a peer has sent. */
static void apply_data(struct lug_config *config, JsonObject *data, const struct config_call *call)
{
	struct lug_error err = {0};
	struct lug_queues *queues = config->source.decode(data, &err);
	char *text;

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
	log_applied(config, call);
	lug_gauge(config->ctx, TABLE_VERSION, queues->version);
	if (config->exchange) {
		text = lug_json_text(data);
		lug_exchange_set(config->exchange, queues->version, text);
		g_free(text);
	}
}

static void apply_row(struct lug_config *config, const struct lug_row *row,
		      const struct config_call *call)
{
	if (row->data && !strcmp(row->key, config->source.key))
		apply_data(config, row->data, call);
}

static void on_peer_text(void *data, gint64 version, const char *text)
{
	struct lug_config *config = data;
	struct lug_error err = {0};
	JsonObject *object = lug_json_parse(text, -1, &err);

	(void)version;
	if (!object) {
		lug_warn(config->ctx, "config_refused", "problem", err.msg, "remedy", err.remedy);
		return;
	}
	apply_data(config, object, NULL);
	json_object_unref(object);
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
		config->zones_needed = TRUE;
	else
		lug_evacuation_add(config->evacuation, row->key + strlen(prefix));
}

static void on_config(void *data, enum lug_status status, const struct lug_row *rows, guint n_rows,
		      gboolean more)
{
	struct lug_config *config = data;

	(void)more;
	if (status != LUG_OK) {
		fail_call(config, &config->read);
		return;
	}
	end_call(config, &config->read);
	config->last_answer_us = MAX(config->last_answer_us, config->read.sent_us);
	for (guint i = 0; i < n_rows; i++)
		apply_row(config, &rows[i], &config->read);
	/* Without rows, the configuration does not exist yet, and nothing is watched. */
	if (!n_rows) {
		require_reads(config, lug_now_us() + CALL_RETRY_US);
		return;
	}
	config->read_version = config->store->version;
	config->read_needed = FALSE;
}

static void read_config(struct lug_config *config, gint64 now_us)
{
	begin_call(&config->read, now_us);
	lug_store_scan(config->store, config->source.table, config->source.key, NULL, 1, on_config,
		       config);
}

static void end_zones(struct lug_config *config)
{
	lug_evacuation_end_read(config->evacuation, config->zones.sent_us);
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
		fail_call(config, &config->zones);
		return;
	}
	if (config->is_first_page)
		config->zones_version = config->store->version;
	config->is_first_page = FALSE;
	config->has_skipped = config->has_skipped || config->store->skipped;
	for (guint i = 0; i < n_rows; i++)
		apply_zone(config, &rows[i]);
	if (more && n_rows) {
		lug_store_scan(config->store, config->source.table, config->source.evacuations,
			       rows[n_rows - 1].key, ZONES_PER_READ, on_zones, config);
		return;
	}
	end_call(config, &config->zones);
	if (more || may_lack_zone(config)) {
		config->zones.next_us = lug_now_us() + CALL_RETRY_US;
		return;
	}
	config->zones_needed = FALSE;
	end_zones(config);
}

static void read_zones(struct lug_config *config, gint64 now_us)
{
	begin_call(&config->zones, now_us);
	config->is_first_page = TRUE;
	config->has_skipped = FALSE;
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
		fail_call(config, &config->watch);
		require_reads(config, config->watch.next_us);
		return;
	}
	end_call(config, &config->watch);
	config->last_answer_us = lug_now_us();
	for (guint i = 0; i < result->n_rows; i++) {
		apply_row(config, &result->rows[i], &config->watch);
		apply_zone(config, &result->rows[i]);
	}
	config->watch_after = MAX(config->watch_after, result->version);
	/* A change that can't be read may be an evacuation. */
	if (config->store->skipped)
		require_reads(config, lug_now_us() + CALL_RETRY_US);
	else if (config->evacuation)
		lug_evacuation_confirm(config->evacuation, config->watch.sent_us);
}

static void start_watch(struct lug_config *config, gint64 now_us)
{
	if (!config->watch_after)
		config->watch_after = config->evacuation
					      ? MIN(config->read_version, config->zones_version)
					      : config->read_version;
	begin_call(&config->watch, now_us);
	lug_store_watch(config->store, config->source.table, config->watch_after, WATCH_WAIT_MS,
			on_watch, config);
}

static gboolean can_call(const struct config_call *call, gint64 now_us)
{
	return !call->in_flight && now_us >= call->next_us;
}

/**
 * lug_config_tick - start the reads that are needed, or a watch, unless one is in flight
 * @config: configuration
 * @now_us: current time
 */
void lug_config_tick(struct lug_config *config, gint64 now_us)
{
	gboolean is_late = lug_config_age_us(config, now_us) > READ_AFTER_US;

	if (config->zones_needed && can_call(&config->zones, now_us))
		read_zones(config, now_us);
	if ((config->read_needed || is_late) && can_call(&config->read, now_us))
		read_config(config, now_us);
	if (!config->zones_needed && !config->read_needed && can_call(&config->watch, now_us))
		start_watch(config, now_us);
}

/**
 * lug_config_handle_envelope - handle messages about the configuration, and fetch it if a peer has
 * a newer version
 * @config: configuration, created with connections to other processes
 * @route: route to the sender
 * @env: envelope
 * @now_us: current time
 *
 * Return: TRUE when the envelope needs no other handler.
 */
gboolean lug_config_handle_envelope(struct lug_config *config, const struct lug_route *route,
				    const Lug__Envelope *env, gint64 now_us)
{
	return lug_exchange_handle(config->exchange, route, env, now_us);
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
 * lug_config_is_confirmed - check whether the configuration can be taken for the newest one
 * @config: configuration
 * @now_us: current time
 */
gboolean lug_config_is_confirmed(const struct lug_config *config, gint64 now_us)
{
	return config->last_answer_us && now_us - config->last_answer_us < CONFIRMED_TIMEOUT_US;
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
