#ifndef LUG_WORKFLOW_CONFIG_H
#define LUG_WORKFLOW_CONFIG_H

#include "core/context.h"
#include "schedule/evacuation.h"
#include "workflow/queues.h"
#include "store/store.h"

/* Parses the operators' row; NULL with @err set when it is invalid. */
typedef struct lug_queues *(*lug_queues_decode_fn)(JsonObject *row, struct lug_error *err);

/**
 * struct lug_config_source - location of the operators' configuration
 * @table: table
 * @key: key of the row
 * @evacuations: prefix of the rows that name evacuated zones, NULL for none
 * @decode: parses the row
 */
struct lug_config_source {
	const char *table;
	const char *key;
	const char *evacuations;
	lug_queues_decode_fn decode;
};

/**
 * struct lug_config - the newest version of the configuration seen by this process
 *
 * Reads the operators' rows and watches them. Each version of the configuration is parsed to a
 * struct lug_queues; older versions than the current one are ignored. The rows of evacuated zones
 * are kept as a struct lug_evacuation.
 */
struct lug_config;

struct lug_config *lug_config_new(struct lug_ctx *ctx, struct lug_store *store,
				  const struct lug_config_source *source,
				  void (*changed)(void *data), void *data);
void lug_config_free(struct lug_config *config);
void lug_config_tick(struct lug_config *config, gint64 now_us);
gboolean lug_config_is_fresh(const struct lug_config *config, gint64 now_us);
gint64 lug_config_age_us(const struct lug_config *config, gint64 now_us);
gint64 lug_config_version(const struct lug_config *config);
const struct lug_queues *lug_config_queues(const struct lug_config *config);
const struct lug_evacuation *lug_config_evacuation(const struct lug_config *config);

#endif
