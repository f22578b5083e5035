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
 * struct owner_row - what this process knows of a shard's row in the owner table
 * @partition: client for the shard's partition
 * @known: the row has been read
 * @current: the row has been read since changes were last missed
 */
struct owner_row {
	struct lug_store *partition;
	gboolean known;
	gboolean current;
};

/*
 * struct lug_shard_map - owners of all shards
 * @ctx: context
 * @store: client of the table service
 * @n_shards: number of shards
 * @owners: by shard
 * @rows: by shard
 * @changed: called when a shard's owner changes, may be NULL
 * @data: passed to @changed
 * @read_shard: shard whose row is read, or was read last
 * @read_in_flight: a read is in flight
 * @next_read_us: earliest time of the next read
 * @watch_version: version after which the next watch reports changes, 0 before the first read
 * @watch_in_flight: a watch is in flight
 * @next_watch_us: earliest time of the next watch
 */
struct lug_shard_map {
	struct lug_ctx *ctx;
	struct lug_store *store;
	guint32 n_shards;
	struct lug_shard_owner *owners;
	struct owner_row *rows;
	void (*changed)(void *data, guint32 shard);
	void *data;
	guint32 read_shard;
	gboolean read_in_flight;
	gint64 next_read_us;
	gint64 watch_version;
	gboolean watch_in_flight;
	gint64 next_watch_us;
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
	shard_map->rows = g_new0(struct owner_row, n_shards);
	shard_map->read_shard = n_shards - 1;
	for (guint32 i = 0; i < n_shards; i++) {
		char name[16];

		g_snprintf(name, sizeof(name), "%u", i);
		shard_map->owners[i].address = g_strdup("");
		shard_map->rows[i].partition = lug_store_partition(store, name);
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
		lug_store_free(shard_map->rows[i].partition);
	}
	g_free(shard_map->rows);
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
	struct owner_row *row = &shard_map->rows[shard_map->read_shard];

	(void)more;
	shard_map->read_in_flight = FALSE;
	if (status != LUG_OK) {
		shard_map->next_read_us = lug_now_us() + REQUEST_RETRY_US;
		return;
	}
	for (guint i = 0; i < n_rows; i++)
		apply_owner_row(shard_map, &rows[i]);
	row->known = TRUE;
	row->current = TRUE;
	/* Changes during the later reads are seen by a watch from the first one on. */
	if (!shard_map->watch_version)
		shard_map->watch_version = MAX(row->partition->version, 1);
	read_next_row(shard_map);
}

/* Reads the row of the next shard whose row is not current, so that none delays the others. */
static void read_next_row(struct lug_shard_map *shard_map)
{
	char key[16];

	for (guint32 i = 0; i < shard_map->n_shards; i++) {
		shard_map->read_shard = (shard_map->read_shard + 1) % shard_map->n_shards;
		if (shard_map->rows[shard_map->read_shard].current)
			continue;
		shard_map->read_in_flight = TRUE;
		g_snprintf(key, sizeof(key), "%u", shard_map->read_shard);
		lug_store_scan(shard_map->rows[shard_map->read_shard].partition,
			       LUG_SHARD_OWNER_TABLE, key, NULL, 1, on_scan, shard_map);
		return;
	}
}

static void on_watch(void *data, const struct lug_watch_result *result)
{
	struct lug_shard_map *shard_map = data;

	shard_map->watch_in_flight = FALSE;
	if (result->status != LUG_OK)
		shard_map->next_watch_us = lug_now_us() + REQUEST_RETRY_US;
	if (result->status == LUG_NOT_FOUND) {
		/* The table service has dropped the changes since the last watch: read again. */
		shard_map->watch_version = 0;
		for (guint32 i = 0; i < shard_map->n_shards; i++)
			shard_map->rows[i].current = FALSE;
	}
	if (result->status != LUG_OK)
		return;
	for (guint i = 0; i < result->n_rows; i++)
		apply_owner_row(shard_map, &result->rows[i]);
	shard_map->watch_version = MAX(shard_map->watch_version, result->version);
}

/**
 * lug_shard_map_tick - read the owner rows that are not current, keep a watch of their table in
 * flight
 * @shard_map: map
 * @now_us: current time
 */
void lug_shard_map_tick(struct lug_shard_map *shard_map, gint64 now_us)
{
	if (!shard_map->read_in_flight && now_us >= shard_map->next_read_us)
		read_next_row(shard_map);
	if (!shard_map->watch_version || shard_map->watch_in_flight ||
	    now_us < shard_map->next_watch_us)
		return;
	shard_map->watch_in_flight = TRUE;
	lug_store_watch(shard_map->store, LUG_SHARD_OWNER_TABLE, shard_map->watch_version,
			WATCH_TIMEOUT_MS, on_watch, shard_map);
}

/**
 * lug_shard_map_is_read - whether the owner row of a shard has been read
 */
gboolean lug_shard_map_is_read(const struct lug_shard_map *shard_map, guint32 shard)
{
	return shard_map->rows[shard].known;
}

/**
 * lug_shard_map_is_known - whether the owner row of any shard has been read
 */
gboolean lug_shard_map_is_known(const struct lug_shard_map *shard_map)
{
	for (guint32 i = 0; i < shard_map->n_shards; i++)
		if (shard_map->rows[i].known)
			return TRUE;
	return FALSE;
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
