#ifndef LUG_TEAM_SYNC_H
#define LUG_TEAM_SYNC_H

#include "store/store.h"
#include "team/limits.h"
#include "wire/exchange.h"

/**
 * struct lug_sync - distributes versions of the table of weights and limits
 *
 * Versions only rise. A newer one is read from the table service, or fetched from a peer
 * whose envelope carries a higher version.
 */
struct lug_sync;

struct lug_sync *lug_sync_new(struct lug_ctx *ctx, struct lug_store *store, struct lug_link *link,
			      void (*changed)(void *data), void *data);
void lug_sync_free(struct lug_sync *sync);
const struct lug_limits *lug_sync_limits(const struct lug_sync *sync);
gint64 lug_sync_store_version(const struct lug_sync *sync);
void lug_sync_tick(struct lug_sync *sync, gint64 now_us);
void lug_sync_read_now(struct lug_sync *sync);
gboolean lug_sync_handle_envelope(struct lug_sync *sync, const struct lug_route *route,
				  const Lug__Envelope *env, gint64 now_us);

#endif
