#include "workflow/shards.h"

#include <string.h>

/*
 * Owners confirm their shards in answers to heartbeats, twice a second. The lease row of a shard
 * that is not confirmed is checked.
 */
#define OWNER_SILENT_US (900 * 1000)
/* A lease row unchanged for this long, twice RENEW_INTERVAL_MS in shard.c, is taken over. */
#define LEASE_ROW_UNCHANGED_US (800 * 1000)
#define LEASE_READ_INTERVAL_US (250 * 1000)
/* Candidates try at different times, those that own fewer shards first. */
#define CANDIDATE_JITTER_US (150 * 1000)
#define CANDIDATE_DELAY_PER_SHARD_US (250 * 1000)
/*
 * An owner that has received no worker's heartbeat for this long, not even that of the worker
 * beside it, releases its shards.
 */
#define UNREACHED_RELEASE_US (2500 * 1000)

/*
 * struct shard_watch - one shard and the owner that this agent sees
 * @shards: collection
 * @number: shard
 * @shard: shard, owned or not
 * @take_not_before_us: earliest time of a takeover by this agent, 0 while none is needed
 * @next_read_us: next read of the lease row
 * @reading: a read of the lease row is in flight
 * @seen_version: version of the lease row as last read, 0 for none
 * @seen_since_us: when that version was first read
 * @last_reached_us: when this process, as the owner, last knew a live worker
 * @confirmed_us: when the owner last confirmed that it owns the shard, or became known
 */
struct shard_watch {
	struct lug_shards *shards;
	guint32 number;
	struct lug_shard *shard;
	gint64 take_not_before_us;
	gint64 next_read_us;
	gboolean reading;
	gint64 seen_version;
	gint64 seen_since_us;
	gint64 last_reached_us;
	gint64 confirmed_us;
};

/*
 * struct lug_shards - all shards in one agent
 * @shared: objects shared by all shards
 * @shard_map: owners of all shards
 * @peers: processes to which this agent sends heartbeats
 * @watches: by shard
 * @n_shards: number of shards
 * @leaving: the shards are being released and none is taken
 */
struct lug_shards {
	struct lug_shard_env shared;
	struct lug_shard_map *shard_map;
	struct lug_peers *peers;
	struct shard_watch *watches;
	guint32 n_shards;
	gboolean leaving;
};

static void on_shard_event(void *data, guint32 number, enum lug_shard_event event)
{
	struct lug_shards *shards = data;
	struct shard_watch *watch = &shards->watches[number];
	struct lug_ctx *ctx = shards->shared.ctx;
	gint64 now_us = lug_now_us();
	char text[16];

	watch->take_not_before_us = 0;
	watch->seen_version = 0;
	watch->next_read_us = now_us + LEASE_READ_INTERVAL_US;
	if (event == LUG_SHARD_TAKE_FAILED || event == LUG_SHARD_LOADED)
		return;
	g_snprintf(text, sizeof(text), "%u", number);
	if (event != LUG_SHARD_TAKEN)
		lug_warn(ctx, event == LUG_SHARD_LOST ? "shard_lost" : "shard_released", "shard",
			 text);
	lug_gauge(ctx, QUEUES_OWNED, lug_shards_count_active(shards));
	lug_shard_map_update(shards->shard_map, number, lug_shard_epoch(watch->shard),
			     event == LUG_SHARD_TAKEN ? ctx->settings->advertise : "");
	if (event == LUG_SHARD_TAKEN)
		watch->last_reached_us = now_us;
}

/**
 * lug_shards_new - create all shards, none of them owned
 * @shared: shared objects, copied
 * @shard_map: owners of all shards, not owned
 * @peers: processes to which this agent sends heartbeats, not owned
 */
struct lug_shards *lug_shards_new(const struct lug_shard_env *shared,
				  struct lug_shard_map *shard_map, struct lug_peers *peers)
{
	struct lug_shards *shards = g_new0(struct lug_shards, 1);

	shards->shared = *shared;
	shards->shard_map = shard_map;
	shards->peers = peers;
	shards->n_shards = lug_shard_map_count(shard_map);
	shards->watches = g_new0(struct shard_watch, shards->n_shards);
	for (guint32 i = 0; i < shards->n_shards; i++) {
		shards->watches[i].shards = shards;
		shards->watches[i].number = i;
		shards->watches[i].shard = lug_shard_new(shared, i, on_shard_event, shards);
	}
	return shards;
}

/**
 * lug_shards_close - cancel the pending passes of all shards
 *
 * Call it before the table service client is freed.
 */
void lug_shards_close(struct lug_shards *shards)
{
	for (guint32 i = 0; i < shards->n_shards; i++)
		lug_shard_close(shards->watches[i].shard);
}

/**
 * lug_shards_free - free all shards without releasing their leases
 * @shards: may be NULL
 */
void lug_shards_free(struct lug_shards *shards)
{
	if (!shards)
		return;
	for (guint32 i = 0; i < shards->n_shards; i++)
		lug_shard_free(shards->watches[i].shard);
	g_free(shards->watches);
	g_free(shards);
}

/**
 * lug_shards_find_active - a shard that this process owns and is not releasing, NULL for any other
 */
struct lug_shard *lug_shards_find_active(const struct lug_shards *shards, guint32 number)
{
	if (number >= shards->n_shards || !lug_shard_is_active(shards->watches[number].shard))
		return NULL;
	return shards->watches[number].shard;
}

/**
 * lug_shards_count_active - number of shards that this process owns and is not releasing
 */
guint32 lug_shards_count_active(const struct lug_shards *shards)
{
	guint32 n = 0;

	for (guint32 i = 0; i < shards->n_shards; i++)
		n += lug_shard_is_active(shards->watches[i].shard);
	return n;
}

static gboolean is_own_row(const struct shard_watch *watch, const struct lug_row *row)
{
	const struct lug_settings *settings = watch->shards->shared.ctx->settings;

	return !strcmp(lug_json_str(row->data, "owner", ""), settings->name);
}

static gboolean is_lease_key(const struct shard_watch *watch, const char *key)
{
	char own[16];

	g_snprintf(own, sizeof(own), "%u", watch->number);
	return !strcmp(key, own);
}

static void on_lease_row(void *data, enum lug_status status, const struct lug_row *rows,
			 guint n_rows, gboolean more)
{
	struct shard_watch *watch = data;
	static const struct lug_row none;
	/* The scan is by prefix: its first row may be another writer's. */
	gboolean found = n_rows && is_lease_key(watch, rows[0].key);
	const struct lug_row *row = found ? &rows[0] : &none;
	gint64 now_us = lug_now_us();

	(void)more;
	watch->reading = FALSE;
	if (status != LUG_OK || watch->shards->leaving || lug_shard_is_active(watch->shard))
		return;
	/* A row with this agent's own name was left by its previous incarnation. */
	if (!row->version || !*lug_json_str(row->data, "owner", "") || is_own_row(watch, row)) {
		lug_shard_take(watch->shard, row, now_us);
		return;
	}
	if (row->version != watch->seen_version) {
		watch->seen_version = row->version;
		watch->seen_since_us = now_us;
		lug_shard_map_update(watch->shards->shard_map, watch->number,
				     lug_writer_row_epoch(row),
				     lug_json_str(row->data, "address", ""));
		return;
	}
	if (now_us - watch->seen_since_us < LEASE_ROW_UNCHANGED_US)
		return;
	lug_warn(watch->shards->shared.ctx, "shard_takeover", "shard", row->key, "from",
		 lug_json_str(row->data, "owner", ""));
	lug_shard_take(watch->shard, row, now_us);
}

/*
 * Whether the shard may have no owner, or another one. A process that answers without confirming
 * the shard has lost it: its answers say nothing about the present owner.
 */
static gboolean may_need_takeover(const struct shard_watch *watch, gint64 now_us)
{
	struct lug_shards *shards = watch->shards;
	const struct lug_shard_owner *owner = lug_shard_map_owner(shards->shard_map, watch->number);
	const struct lug_peer *peer;

	/* No owner is known, or the map names this process, which is not an active owner. */
	if (!*owner->address || !strcmp(owner->address, shards->shared.ctx->settings->advertise))
		return TRUE;
	peer = lug_peers_find(shards->peers, owner->address);
	if (!peer)
		return FALSE;
	return peer->stalled || now_us - MAX(watch->confirmed_us, peer->added_us) > OWNER_SILENT_US;
}

static void check_owner(struct shard_watch *watch, gint64 now_us)
{
	struct lug_shards *shards = watch->shards;

	if (!may_need_takeover(watch, now_us)) {
		watch->take_not_before_us = 0;
		watch->seen_version = 0;
		return;
	}
	if (!watch->take_not_before_us)
		watch->take_not_before_us =
			now_us +
			(gint64)(g_rand_double(shards->shared.ctx->rng) * CANDIDATE_JITTER_US) +
			(gint64)lug_shards_count_active(shards) * CANDIDATE_DELAY_PER_SHARD_US;
	if (watch->reading || now_us < watch->take_not_before_us || now_us < watch->next_read_us)
		return;
	watch->reading = TRUE;
	watch->next_read_us = now_us + LEASE_READ_INTERVAL_US;
	lug_shard_read_lease_row(watch->shard, on_lease_row, watch);
}

static gboolean has_live_worker(struct lug_shards *shards, gint64 now_us)
{
	GPtrArray *workers = lug_fleet_workers(shards->shared.fleet);

	for (guint i = 0; i < workers->len; i++)
		if (lug_fleet_is_live(g_ptr_array_index(workers, i), now_us))
			return TRUE;
	return FALSE;
}

/*
 * Releases a shard whose owner no agent reaches. Such an owner still renews its lease row, which
 * prevents a takeover.
 */
static void release_if_unreached(struct shard_watch *watch, gint64 now_us)
{
	if (!lug_shard_is_active(watch->shard))
		return;
	if (has_live_worker(watch->shards, now_us))
		watch->last_reached_us = now_us;
	if (now_us - watch->last_reached_us < UNREACHED_RELEASE_US)
		return;
	watch->last_reached_us = now_us;
	lug_warn(watch->shards->shared.ctx, "owner_unreached", "remedy", "releasing the shard");
	lug_shard_release(watch->shard, now_us);
}

/**
 * lug_shards_confirm_owner - record that the owner known for a shard has become known, or has
 * confirmed that it owns the shard
 * @shards: shards
 * @number: shard; an invalid number is ignored
 * @now_us: current time
 */
void lug_shards_confirm_owner(struct lug_shards *shards, guint32 number, gint64 now_us)
{
	if (number < shards->n_shards)
		shards->watches[number].confirmed_us = now_us;
}

/**
 * lug_shards_tick - serve the owned shards and check the owners of the others
 */
void lug_shards_tick(struct lug_shards *shards, gint64 now_us)
{
	for (guint32 i = 0; i < shards->n_shards; i++) {
		struct shard_watch *watch = &shards->watches[i];

		lug_shard_tick(watch->shard, now_us);
		release_if_unreached(watch, now_us);
		if (!lug_shard_is_active(watch->shard) && !shards->leaving &&
		    lug_shard_map_is_read(shards->shard_map, i))
			check_owner(watch, now_us);
	}
}

/**
 * lug_shards_wake - let all owned shards place waiting tasks, after room has become free
 */
void lug_shards_wake(struct lug_shards *shards)
{
	for (guint32 i = 0; i < shards->n_shards; i++)
		if (lug_shard_is_active(shards->watches[i].shard))
			lug_shard_wake(shards->watches[i].shard);
}

/**
 * lug_shards_worker_lost - return the tasks of runs under a fenced lease to waiting, in all shards
 * @shards: shards
 * @worker: worker
 * @lease_epoch: runs started under this or an earlier lease epoch have ended
 * @now_us: current time
 */
void lug_shards_worker_lost(struct lug_shards *shards, const char *worker, guint64 lease_epoch,
			    gint64 now_us)
{
	for (guint32 i = 0; i < shards->n_shards; i++)
		lug_shard_worker_lost(shards->watches[i].shard, worker, lease_epoch, now_us);
}

/**
 * lug_shards_lease_left - apply what is left of a worker's lease, see lug_shard_lease_left()
 */
void lug_shards_lease_left(struct lug_shards *shards, const char *worker, guint64 lease_epoch,
			   gint64 left_us, gint64 now_us)
{
	for (guint32 i = 0; i < shards->n_shards; i++)
		lug_shard_lease_left(shards->watches[i].shard, worker, lease_epoch, left_us,
				     now_us);
}

/**
 * lug_shards_release_all - release all shards, also those that are being taken, and take no more
 */
void lug_shards_release_all(struct lug_shards *shards, gint64 now_us)
{
	shards->leaving = TRUE;
	for (guint32 i = 0; i < shards->n_shards; i++)
		lug_shard_release(shards->watches[i].shard, now_us);
}

/**
 * lug_shards_is_stalled - whether an owned shard has had no successful commit recently
 */
gboolean lug_shards_is_stalled(const struct lug_shards *shards, gint64 now_us)
{
	for (guint32 i = 0; i < shards->n_shards; i++)
		if (lug_shard_is_active(shards->watches[i].shard) &&
		    lug_shard_is_stalled(shards->watches[i].shard, now_us))
			return TRUE;
	return FALSE;
}

/**
 * lug_shards_all_released - whether this process owns no shard any more, and takes none
 */
gboolean lug_shards_all_released(const struct lug_shards *shards)
{
	for (guint32 i = 0; i < shards->n_shards; i++)
		if (lug_shard_is_owned(shards->watches[i].shard) ||
		    lug_shard_is_taking(shards->watches[i].shard))
			return FALSE;
	return TRUE;
}
