#ifndef LUG_WORKFLOW_SHARDS_H
#define LUG_WORKFLOW_SHARDS_H

#include "workflow/shard_map.h"
#include "workflow/shard.h"
#include "member/peers.h"

/**
 * struct lug_shards - all shards in one agent, owned by it or watched for a takeover
 *
 * A shard whose owner does not confirm it, is stalled or has released it is taken over by
 * compare-and-set on its lease row, once the row has stopped changing.
 */
struct lug_shards;

struct lug_shards *lug_shards_new(const struct lug_shard_env *shared,
				  struct lug_shard_map *shard_map, struct lug_peers *peers);
void lug_shards_close(struct lug_shards *shards);
void lug_shards_free(struct lug_shards *shards);
struct lug_shard *lug_shards_find_active(const struct lug_shards *shards, guint32 number);
guint32 lug_shards_count_active(const struct lug_shards *shards);
void lug_shards_confirm_owner(struct lug_shards *shards, guint32 number, gint64 now_us);
void lug_shards_tick(struct lug_shards *shards, gint64 now_us);
void lug_shards_wake(struct lug_shards *shards);
void lug_shards_worker_lost(struct lug_shards *shards, const char *worker, guint64 lease_epoch,
			    gint64 now_us);
void lug_shards_lease_left(struct lug_shards *shards, const char *worker, guint64 lease_epoch,
			   gint64 left_us, gint64 now_us);
void lug_shards_release_all(struct lug_shards *shards, gint64 now_us);
gboolean lug_shards_all_released(const struct lug_shards *shards);
gboolean lug_shards_is_stalled(const struct lug_shards *shards, gint64 now_us);

#endif
