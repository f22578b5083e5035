#include "workflow/shard_map.h"

#include <string.h>

#include "store/writer.h"

/*
 * Longest time that the table service holds a watch before it answers. Owners also name
 * themselves in answers to heartbeats, so an unresponsive connection does less harm here than for
 * the configuration.
 */
#define WATCH_TIMEOUT_MS 2500
#define REQUEST_RETRY_US (200 * 1000)

/*
 * struct lug_shard_map - owners of all shards
 * @ctx: context
 * @store: client of the table service
 * @partitions: clients for the partitions of the shards
 * @n_shards: number of shards
 * @owners: by shard
 * @changed: called when a shard's owner changes, may be NULL
 * @data: passed to @changed
 * @watch_version: version of the owner table after which the next watch reports changes
 * @n_read: owner rows that have been read, in order of the shards; changes are watched once all are
 * @request_in_flight: a read or a watch is in flight
 * @next_request_us: earliest time of the next read or watch
 */
struct lug_shard_map {
	struct lug_ctx *ctx;
	struct lug_store *store;
	struct lug_store **partitions;
	guint32 n_shards;
	struct lug_shard_owner *owners;
	void (*changed)(void *data, guint32 shard);
	void *data;
	gint64 watch_version;
	guint32 n_read;
	gboolean request_in_flight;
	gint64 next_request_us;
};

/**
 * lug_shard_map_new - create a map without known owners
 * @ctx: context
 * @store: table service client, not owned; must be freed before the map
 * @n_shards: number of shards
 * @changed: called when a shard's owner changes, may be NULL
 * @data: passed to @changed
 */
struct lug_shard_map *lug_shard_map_new(struct lug_ctx *ctx, struct lug_store *store,
					guint32 n_shards,
					void (*changed)(void *data, guint32 shard), void *data)
{
	struct lug_shard_map *shard_map = g_new0(struct lug_shard_map, 1);

	shard_map->ctx = ctx;
	shard_map->store = store;
	shard_map->n_shards = n_shards;
	shard_map->owners = g_new0(struct lug_shard_owner, n_shards);
	shard_map->partitions = g_new0(struct lug_store *, n_shards);
	for (guint32 i = 0; i < n_shards; i++) {
		char name[16];

		g_snprintf(name, sizeof(name), "%u", i);
		shard_map->owners[i].address = g_strdup("");
		shard_map->partitions[i] = lug_store_partition(store, name);
	}
	shard_map->changed = changed;
	shard_map->data = data;
	return shard_map;
}

/**
 * lug_shard_map_free - free the map
 * @shard_map: may be NULL
 */
void lug_shard_map_free(struct lug_shard_map *shard_map)
{
	if (!shard_map)
		return;
	for (guint32 i = 0; i < shard_map->n_shards; i++) {
		g_free(shard_map->owners[i].address);
		lug_store_free(shard_map->partitions[i]);
	}
	g_free(shard_map->partitions);
	g_free(shard_map->owners);
	g_free(shard_map);
}

/**
 * lug_shard_map_update - update the owner of a shard
 * @shard_map: map
 * @shard: shard; an invalid number is ignored
 * @epoch: epoch of the ownership; one above LUG_EPOCH_MAX is ignored
 * @address: inner address, "" when the shard was released in this epoch; one that can't be
 * connected to is ignored
 *
 * Return: TRUE when the owner has changed.
 */
gboolean lug_shard_map_update(struct lug_shard_map *shard_map, guint32 shard, guint64 epoch,
			      const char *address)
{
	struct lug_shard_owner *owner;

	if (shard >= shard_map->n_shards || epoch > LUG_EPOCH_MAX ||
	    (*address && !lug_address_is_peer(address)))
		return FALSE;
	owner = &shard_map->owners[shard];
	/* Within an epoch only a release, which has no address, changes the owner. */
	if (epoch < owner->epoch || (epoch == owner->epoch && *address))
		return FALSE;
	owner->epoch = epoch;
	if (!strcmp(owner->address, address))
		return FALSE;
	g_free(owner->address);
	owner->address = g_strdup(address);
	if (shard_map->changed)
		shard_map->changed(shard_map->data, shard);
	return TRUE;
}

/**
 * lug_shard_map_is_owner - whether a process is known as the owner of a shard in an epoch
 * @shard_map: map
 * @shard: shard; there is no owner for an invalid number
 * @epoch: epoch of the ownership
 * @address: inner address of the process
 */
gboolean lug_shard_map_is_owner(const struct lug_shard_map *shard_map, guint32 shard, guint64 epoch,
				const char *address)
{
	return shard < shard_map->n_shards && shard_map->owners[shard].epoch == epoch &&
	       !strcmp(shard_map->owners[shard].address, address);
}

static void apply_owner_row(struct lug_shard_map *shard_map, const struct lug_row *row)
{
	gint64 epoch = lug_json_int(row->data, "epoch", -1);
	const char *address = lug_json_str(row->data, "address", NULL);
	guint64 shard = 0;

	/* The row was deleted, or the client of the table service has logged it. */
	if (!row->data)
		return;
	if (epoch >= 0 && epoch <= LUG_EPOCH_MAX && address &&
	    (!*address || lug_address_is_peer(address)) &&
	    g_ascii_string_to_unsigned(row->key, 10, 0, G_MAXUINT32, &shard, NULL)) {
		lug_shard_map_update(shard_map, (guint32)shard, (guint64)epoch, address);
		return;
	}
	lug_warn(shard_map->ctx, "row_skipped", "table", LUG_SHARD_OWNER_TABLE, "key", row->key,
		 "reason", "not a shard with an epoch and an address", "remedy", "delete the row");
}

static void read_next_row(struct lug_shard_map *shard_map);

static void on_scan(void *data, enum lug_status status, const struct lug_row *rows, guint n_rows,
		    gboolean more)
{
	struct lug_shard_map *shard_map = data;

	(void)more;
	shard_map->request_in_flight = FALSE;
	if (status != LUG_OK) {
		shard_map->next_request_us = lug_now_us() + REQUEST_RETRY_US;
		return;
	}
	for (guint i = 0; i < n_rows; i++)
		apply_owner_row(shard_map, &rows[i]);
	/* Changes during the later reads are seen by a watch from the first one on. */
	if (!shard_map->n_read)
		shard_map->watch_version = shard_map->partitions[0]->version;
	if (++shard_map->n_read < shard_map->n_shards)
		read_next_row(shard_map);
}

static void read_next_row(struct lug_shard_map *shard_map)
{
	char key[16];

	shard_map->request_in_flight = TRUE;
	g_snprintf(key, sizeof(key), "%u", shard_map->n_read);
	lug_store_scan(shard_map->partitions[shard_map->n_read], LUG_SHARD_OWNER_TABLE, key, NULL,
		       1, on_scan, shard_map);
}

static void on_watch(void *data, const struct lug_watch_result *result)
{
	struct lug_shard_map *shard_map = data;

	shard_map->request_in_flight = FALSE;
	if (result->status == LUG_NOT_FOUND) {
		/* The table service has dropped the changes since the last watch: read again. */
		shard_map->n_read = 0;
		shard_map->next_request_us = lug_now_us() + REQUEST_RETRY_US;
		return;
	}
	if (result->status != LUG_OK) {
		shard_map->next_request_us = lug_now_us() + REQUEST_RETRY_US;
		return;
	}
	for (guint i = 0; i < result->n_rows; i++)
		apply_owner_row(shard_map, &result->rows[i]);
	shard_map->watch_version = MAX(shard_map->watch_version, result->version);
}

/**
 * lug_shard_map_tick - keep a read of an owner row or a watch of their table in flight
 * @shard_map: map
 * @now_us: current time
 */
void lug_shard_map_tick(struct lug_shard_map *shard_map, gint64 now_us)
{
	if (shard_map->request_in_flight || now_us < shard_map->next_request_us)
		return;
	if (!lug_shard_map_is_known(shard_map)) {
		read_next_row(shard_map);
		return;
	}
	shard_map->request_in_flight = TRUE;
	lug_store_watch(shard_map->store, LUG_SHARD_OWNER_TABLE, shard_map->watch_version,
			WATCH_TIMEOUT_MS, on_watch, shard_map);
}

/**
 * lug_shard_map_is_known - whether the owners of all shards have been read
 */
gboolean lug_shard_map_is_known(const struct lug_shard_map *shard_map)
{
	return shard_map->n_read == shard_map->n_shards;
}

/**
 * lug_shard_map_count - number of shards
 */
guint32 lug_shard_map_count(const struct lug_shard_map *shard_map)
{
	return shard_map->n_shards;
}

/**
 * lug_shard_map_owner - owner of a shard
 */
const struct lug_shard_owner *lug_shard_map_owner(const struct lug_shard_map *shard_map,
						  guint32 shard)
{
	return &shard_map->owners[shard];
}
