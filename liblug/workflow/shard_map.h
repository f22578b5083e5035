#ifndef LUG_FLOW_MAP_H
#define LUG_FLOW_MAP_H

#include "core/context.h"
#include "store/store.h"

/**
 * struct lug_shard_place - where a shard's owner is, as far as this process knows
 * @epoch: epoch of the ownership, 0 when never told
 * @address: inner address of the owner, "" when it has given the shard back
 */
struct lug_shard_place {
	guint64 epoch;
	char *address;
};

/**
 * struct lug_map - owners of all shards
 *
 * Owners announce themselves in a table that every process watches, and in their
 * answers. Only a higher epoch replaces what is known.
 */
struct lug_map;

struct lug_map *lug_map_new(struct lug_ctx *ctx, struct lug_store *store, guint32 shards,
			    void (*changed)(void *data, guint32 shard), void *data);
void lug_map_free(struct lug_map *map);
void lug_map_tick(struct lug_map *map, gint64 now_us);
guint32 lug_map_shards(const struct lug_map *map);
const struct lug_shard_place *lug_map_place(const struct lug_map *map, guint32 shard);
gboolean lug_map_told(struct lug_map *map, guint32 shard, guint64 epoch, const char *address);
gboolean lug_map_known(const struct lug_map *map);

#endif
