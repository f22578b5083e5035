#ifndef LUG_WORKFLOW_SHARD_MAP_H
#define LUG_WORKFLOW_SHARD_MAP_H

#include "core/context.h"
#include "store/store.h"

/* Table with a row for each shard, in the shard's partition, which names its latest owner. */
#define LUG_SHARD_OWNER_TABLE "owner"

/**
 * struct lug_shard_owner - owner of a shard, as known to this process
 * @epoch: epoch of the ownership, 0 when unknown
 * @address: inner address of the owner, "" when the shard was released
 */
struct lug_shard_owner {
	guint64 epoch;
	char *address;
};

/**
 * struct lug_shard_map - owners of all shards
 *
 * Owners are named in a table that every process watches, and name themselves in their answers to
 * heartbeats. A known owner is replaced only by one of a higher epoch, or by its own release.
 */
struct lug_shard_map;

struct lug_shard_map *lug_shard_map_new(struct lug_ctx *ctx, struct lug_store *store,
					guint32 n_shards,
					void (*changed)(void *data, guint32 shard), void *data);
void lug_shard_map_free(struct lug_shard_map *shard_map);
void lug_shard_map_tick(struct lug_shard_map *shard_map, gint64 now_us);
guint32 lug_shard_map_count(const struct lug_shard_map *shard_map);
const struct lug_shard_owner *lug_shard_map_owner(const struct lug_shard_map *shard_map,
						  guint32 shard);
gboolean lug_shard_map_update(struct lug_shard_map *shard_map, guint32 shard, guint64 epoch,
			      const char *address);
gboolean lug_shard_map_is_owner(const struct lug_shard_map *shard_map, guint32 shard, guint64 epoch,
				const char *address);
gboolean lug_shard_map_is_read(const struct lug_shard_map *shard_map, guint32 shard);
gboolean lug_shard_map_is_known(const struct lug_shard_map *shard_map);

#endif
