#ifndef LUG_WORKFLOW_CONFIG_H
#define LUG_WORKFLOW_CONFIG_H

#include "core/context.h"
#include "schedule/evacuation.h"
#include "workflow/queues.h"
#include "store/store.h"
#include "wire/exchange.h"

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
 * are kept as a struct lug_evacuation. A process that is behind also gets the configuration from
 * any peer that has a newer version, so that one that can't reach the table service follows it.
 */
struct lug_config;

struct lug_config *lug_config_new(struct lug_ctx *ctx, struct lug_store *store,
				  struct lug_link *link, const struct lug_config_source *source);
void lug_config_free(struct lug_config *config);
gboolean lug_config_handle_envelope(struct lug_config *config, const struct lug_route *route,
				    const Lug__Envelope *env, gint64 now_us);
void lug_config_tick(struct lug_config *config, gint64 now_us);
gboolean lug_config_is_fresh(const struct lug_config *config, gint64 now_us);
gboolean lug_config_is_confirmed(const struct lug_config *config, gint64 now_us);
gint64 lug_config_age_us(const struct lug_config *config, gint64 now_us);
gint64 lug_config_version(const struct lug_config *config);
const struct lug_queues *lug_config_queues(const struct lug_config *config);
const struct lug_evacuation *lug_config_evacuation(const struct lug_config *config);

#endif
