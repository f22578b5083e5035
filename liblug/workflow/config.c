#include "workflow/config.h"

#include <string.h>

/*
 * A watch waits this long at the table service. An edit must be in force within 2 s, also
 * when the connection of a watch has gone silent and only its time-out tells.
 */
#define WATCH_WAIT_MS 900
/* Two watches and a half. */
#define FRESH_US (2300 * 1000)
#define RETRY_US (200 * 1000)

struct lug_config {
	struct lug_ctx *ctx;
	struct lug_store *store;
	struct lug_config_source source;
	void (*changed)(void *data);
	void *data;
	struct lug_queues *queues;
	gint64 after;
	gboolean known;
	gboolean busy;
	gint64 next_us;
	gint64 heard_us;
};

/**
 * lug_config_new - start without a configuration
 * @ctx: context
 * @store: table service client; must be freed before the configuration
 * @source: where the configuration lies, copied
 * @changed: called after each newer version, may be NULL
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

static void take(struct lug_config *config, const struct lug_row *row)
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
	config->busy = FALSE;
	if (status != LUG_OK) {
		config->next_us = lug_now_us() + RETRY_US;
		return;
	}
	config->heard_us = lug_now_us();
	for (guint i = 0; i < n_rows; i++) {
		take(config, &rows[i]);
		config->known = TRUE;
	}
	config->after = config->store->version;
	if (!n_rows)
		config->next_us = lug_now_us() + RETRY_US;
}

static void on_watch(void *data, const struct lug_watch_result *result)
{
	struct lug_config *config = data;

	config->busy = FALSE;
	if (result->status == LUG_NOT_FOUND) {
		/* The history is gone: read the row as it is now. */
		config->known = FALSE;
		config->next_us = lug_now_us() + RETRY_US;
		return;
	}
	if (result->status != LUG_OK) {
		config->next_us = lug_now_us() + RETRY_US;
		return;
	}
	config->heard_us = lug_now_us();
	for (guint i = 0; i < result->n_rows; i++)
		take(config, &result->rows[i]);
	config->after = MAX(config->after, result->version);
}

/**
 * lug_config_tick - keep a read or a watch open
 * @config: configuration
 * @now_us: present time
 */
void lug_config_tick(struct lug_config *config, gint64 now_us)
{
	if (config->busy || now_us < config->next_us)
		return;
	config->busy = TRUE;
	if (config->known)
		lug_store_watch(config->store, config->source.table, config->after, WATCH_WAIT_MS,
				on_watch, config);
	else
		lug_store_scan(config->store, config->source.table, config->source.key, NULL, 1,
			       on_scan, config);
}

/**
 * lug_config_fresh - tell whether the table service has answered a watch lately
 */
gboolean lug_config_fresh(const struct lug_config *config, gint64 now_us)
{
	return now_us - config->heard_us < FRESH_US;
}

/**
 * lug_config_queues - queues in force, NULL before the first version
 */
const struct lug_queues *lug_config_queues(const struct lug_config *config)
{
	return config->queues;
}
