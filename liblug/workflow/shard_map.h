#ifndef LUG_WORKFLOW_SHARD_MAP_H
#define LUG_WORKFLOW_SHARD_MAP_H

#include "core/context.h"
#include "store/store.h"

/**
 * struct lug_shard_owner - where a shard's owner is, as far as this process knows
 * @epoch: epoch of the ownership, 0 when never told
 * @address: inner address of the owner, "" when it has given the shard back
 */
struct lug_shard_owner {
	guint64 epoch;
	char *address;
};

/**
 * struct lug_shard_map - owners of all shards
 *
 * Owners announce themselves in a table that every process watches, and in their
 * answers. Only a higher epoch replaces what is known.
 */
struct lug_shard_map;

struct lug_shard_map *lug_shard_map_new(struct lug_ctx *ctx, struct lug_store *store,
					guint32 shards, void (*changed)(void *data, guint32 shard),
					void *data);
void lug_shard_map_free(struct lug_shard_map *map);
void lug_shard_map_tick(struct lug_shard_map *map, gint64 now_us);
guint32 lug_shard_map_shards(const struct lug_shard_map *map);
const struct lug_shard_owner *lug_shard_map_owner(const struct lug_shard_map *map, guint32 shard);
gboolean lug_shard_map_update(struct lug_shard_map *map, guint32 shard, guint64 epoch,
			      const char *address);
gboolean lug_shard_map_known(const struct lug_shard_map *map);

#endif
