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

/**
 * struct lug_config - the newest version of the configuration seen
 * @ctx: context
 * @store: client of the table service
 * @source: location of the configuration
 * @changed: called after each change to a newer version, may be NULL
 * @data: passed to @changed
 * @queues: current version, NULL before the first one
 * @watch_after: version of the table after which the next watch reports changes
 * @row_read: the row has been read, so changes are watched
 * @call_in_flight: a read or a watch is in flight
 * @next_us: earliest time of the next call
 * @last_answer_us: time of the latest answer
 */
struct lug_config {
	struct lug_ctx *ctx;
	struct lug_store *store;
	struct lug_config_source source;
	void (*changed)(void *data);
	void *data;
	struct lug_queues *queues;
	gint64 watch_after;
	gboolean row_read;
	gboolean call_in_flight;
	gint64 next_us;
	gint64 last_answer_us;
};

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
	g_free(config);
}

static void apply_row(struct lug_config *config, const struct lug_row *row)
{
	struct lug_error err = {0};
	struct lug_queues *queues;
	char version[24];

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
	g_snprintf(version, sizeof(version), "%" G_GINT64_FORMAT, queues->version);
	lug_info(config->ctx, "config_applied", "version", version);
	lug_gauge(config->ctx, TABLE_VERSION, queues->version);
	if (config->changed)
		config->changed(config->data);
}

static void on_scan(void *data, enum lug_status status, const struct lug_row *rows, guint n_rows,
		    gboolean more)
{
	struct lug_config *config = data;

	(void)more;
	config->call_in_flight = FALSE;
	if (status != LUG_OK) {
		config->next_us = lug_now_us() + CALL_RETRY_US;
		return;
	}
	config->last_answer_us = lug_now_us();
	for (guint i = 0; i < n_rows; i++) {
		apply_row(config, &rows[i]);
		config->row_read = TRUE;
	}
	config->watch_after = config->store->version;
	/* Without rows, the configuration does not exist yet: read again later. */
	if (!n_rows)
		config->next_us = lug_now_us() + CALL_RETRY_US;
}

static void on_watch(void *data, const struct lug_watch_result *result)
{
	struct lug_config *config = data;

	config->call_in_flight = FALSE;
	if (result->status == LUG_NOT_FOUND) {
		/* The table service has dropped the versions since the last watch; read the row. */
		config->row_read = FALSE;
		config->next_us = lug_now_us() + CALL_RETRY_US;
		return;
	}
	if (result->status != LUG_OK) {
		config->next_us = lug_now_us() + CALL_RETRY_US;
		return;
	}
	config->last_answer_us = lug_now_us();
	for (guint i = 0; i < result->n_rows; i++)
		apply_row(config, &result->rows[i]);
	config->watch_after = MAX(config->watch_after, result->version);
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
	if (config->row_read)
		lug_store_watch(config->store, config->source.table, config->watch_after,
				WATCH_WAIT_MS, on_watch, config);
	else
		lug_store_scan(config->store, config->source.table, config->source.key, NULL, 1,
			       on_scan, config);
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
 * lug_config_queues - queue definitions of the current version
 * @config: configuration
 *
 * Return: owned by @config, valid until the next version; NULL before the first one.
 */
const struct lug_queues *lug_config_queues(const struct lug_config *config)
{
	return config->queues;
}
