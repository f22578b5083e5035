#include "workflow/shard_map.h"

#include <stdlib.h>
#include <string.h>

#define TABLE "owner"
/*
 * A watch waits this long at the table service. Answers of peers tell of owners too, so a
 * silent connection costs less here than for the configuration.
 */
#define WATCH_WAIT_MS 2500
#define RETRY_US (200 * 1000)

struct lug_shard_map {
	struct lug_ctx *ctx;
	struct lug_store *store;
	guint32 shards;
	struct lug_shard_owner *places;
	void (*changed)(void *data, guint32 shard);
	void *data;
	gint64 after;
	gboolean known;
	gboolean busy;
	gint64 next_us;
};

/**
 * lug_shard_map_new - start knowing no owner
 * @ctx: context
 * @store: table service client; must be freed before the map
 * @shards: number of shards
 * @changed: called when a shard's owner is another one, may be NULL
 * @data: passed to @changed
 */
struct lug_shard_map *lug_shard_map_new(struct lug_ctx *ctx, struct lug_store *store,
					guint32 shards, void (*changed)(void *data, guint32 shard),
					void *data)
{
	struct lug_shard_map *map = g_new0(struct lug_shard_map, 1);

	map->ctx = ctx;
	map->store = store;
	map->shards = shards;
	map->places = g_new0(struct lug_shard_owner, shards);
	for (guint32 i = 0; i < shards; i++)
		map->places[i].address = g_strdup("");
	map->changed = changed;
	map->data = data;
	return map;
}

/**
 * lug_shard_map_free - release the map
 * @map: may be NULL
 */
void lug_shard_map_free(struct lug_shard_map *map)
{
	if (!map)
		return;
	for (guint32 i = 0; i < map->shards; i++)
		g_free(map->places[i].address);
	g_free(map->places);
	g_free(map);
}

/**
 * lug_shard_map_update - note an owner
 * @map: map
 * @shard: shard
 * @epoch: epoch of the ownership
 * @address: inner address, "" when the shard was given back in this epoch
 *
 * Return: TRUE when this was news.
 */
gboolean lug_shard_map_update(struct lug_shard_map *map, guint32 shard, guint64 epoch,
			      const char *address)
{
	struct lug_shard_owner *place;

	if (shard >= map->shards)
		return FALSE;
	place = &map->places[shard];
	if (epoch < place->epoch || (epoch == place->epoch && *address) ||
	    !strcmp(place->address, address))
		return FALSE;
	place->epoch = epoch;
	g_free(place->address);
	place->address = g_strdup(address);
	if (map->changed)
		map->changed(map->data, shard);
	return TRUE;
}

static void take(struct lug_shard_map *map, const struct lug_row *row)
{
	if (row->data)
		lug_shard_map_update(map, (guint32)strtoul(row->key, NULL, 10),
				     (guint64)lug_json_int(row->data, "epoch", 0),
				     lug_json_str(row->data, "address", ""));
}

static void on_scan(void *data, enum lug_status status, const struct lug_row *rows, guint n_rows,
		    gboolean more)
{
	struct lug_shard_map *map = data;

	(void)more;
	map->busy = FALSE;
	if (status != LUG_OK) {
		map->next_us = lug_now_us() + RETRY_US;
		return;
	}
	for (guint i = 0; i < n_rows; i++)
		take(map, &rows[i]);
	map->after = map->store->version;
	map->known = TRUE;
}

static void on_watch(void *data, const struct lug_watch_result *result)
{
	struct lug_shard_map *map = data;

	map->busy = FALSE;
	if (result->status == LUG_NOT_FOUND) {
		map->known = FALSE;
		map->next_us = lug_now_us() + RETRY_US;
		return;
	}
	if (result->status != LUG_OK) {
		map->next_us = lug_now_us() + RETRY_US;
		return;
	}
	for (guint i = 0; i < result->n_rows; i++)
		take(map, &result->rows[i]);
	map->after = MAX(map->after, result->version);
}

/**
 * lug_shard_map_tick - keep a read or a watch open
 * @map: map
 * @now_us: present time
 */
void lug_shard_map_tick(struct lug_shard_map *map, gint64 now_us)
{
	if (map->busy || now_us < map->next_us)
		return;
	map->busy = TRUE;
	if (map->known)
		lug_store_watch(map->store, TABLE, map->after, WATCH_WAIT_MS, on_watch, map);
	else
		lug_store_scan(map->store, TABLE, "", NULL, map->shards, on_scan, map);
}

/**
 * lug_shard_map_known - tell whether the table of owners was read since the start
 */
gboolean lug_shard_map_known(const struct lug_shard_map *map)
{
	return map->known;
}

/**
 * lug_shard_map_shards - number of shards
 */
guint32 lug_shard_map_shards(const struct lug_shard_map *map)
{
	return map->shards;
}

/**
 * lug_shard_map_owner - owner of a shard
 */
const struct lug_shard_owner *lug_shard_map_owner(const struct lug_shard_map *map, guint32 shard)
{
	return &map->places[shard];
}
