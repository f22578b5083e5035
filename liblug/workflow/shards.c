#include "workflow/shards.h"

#include <string.h>

#define OWNER_TABLE "owner"
/* An owner answers beats twice a second; this long without an answer it is looked after. */
#define SILENT_US (900 * 1000)
/* An owner commits every 400 ms; a row unchanged for this long is no longer served. */
#define UNCHANGED_US (800 * 1000)
#define READ_AGAIN_US (250 * 1000)
/* Spreads the candidates, those that own least first. */
#define CANDIDATE_SPREAD_US (150 * 1000)
#define CANDIDATE_OWNED_US (250 * 1000)
#define ANNOUNCE_AGAIN_US (300 * 1000)
/* An owner that no agent has reached for this long, not even its own, gives its shards back. */
#define ALONE_US (2500 * 1000)

struct watch {
	struct lug_shards *shards;
	guint32 number;
	struct lug_shard *shard;
	gint64 candidate_us;
	gint64 next_read_us;
	gboolean reading;
	gint64 seen_version;
	gint64 seen_us;
	gboolean announce;
	gboolean announcing;
	gint64 announce_us;
	gint64 alone_us;
};

struct lug_shards {
	struct lug_shard_env env;
	struct lug_shard_map *map;
	struct lug_peers *peers;
	struct watch *watches;
	guint32 n;
	gboolean leaving;
};

static void on_shard(void *data, guint32 number, enum lug_shard_event event)
{
	struct lug_shards *shards = data;
	struct watch *watch = &shards->watches[number];
	struct lug_ctx *ctx = shards->env.ctx;
	gint64 now_us = lug_now_us();
	char text[16];

	watch->candidate_us = 0;
	watch->seen_version = 0;
	watch->next_read_us = now_us + READ_AGAIN_US;
	if (event == LUG_SHARD_MISSED || event == LUG_SHARD_LOADED)
		return;
	g_snprintf(text, sizeof(text), "%u", number);
	if (event != LUG_SHARD_TAKEN)
		lug_warn(ctx, event == LUG_SHARD_LOST ? "shard_lost" : "shard_released", "shard",
			 text);
	lug_gauge(ctx, QUEUES_OWNED, lug_shards_count(shards));
	/* The process that took the shard over announces itself. */
	watch->announce = event != LUG_SHARD_LOST;
	watch->announce_us = now_us;
	lug_shard_map_update(shards->map, number, lug_shard_epoch(watch->shard),
			     event == LUG_SHARD_TAKEN ? ctx->settings->advertise : "");
	if (event == LUG_SHARD_TAKEN)
		watch->alone_us = now_us;
}

/**
 * lug_shards_new - start owning nothing
 * @env: parts of the process, copied
 * @map: owners of all shards
 * @peers: processes to which this agent sends beats
 */
struct lug_shards *lug_shards_new(const struct lug_shard_env *env, struct lug_shard_map *map,
				  struct lug_peers *peers)
{
	struct lug_shards *shards = g_new0(struct lug_shards, 1);

	shards->env = *env;
	shards->map = map;
	shards->peers = peers;
	shards->n = lug_shard_map_shards(map);
	shards->watches = g_new0(struct watch, shards->n);
	for (guint32 i = 0; i < shards->n; i++) {
		shards->watches[i].shards = shards;
		shards->watches[i].number = i;
		shards->watches[i].shard = lug_shard_new(env, i, on_shard, shards);
	}
	return shards;
}

/**
 * lug_shards_close - do nothing more; the store may be freed after this
 */
void lug_shards_close(struct lug_shards *shards)
{
	for (guint32 i = 0; i < shards->n; i++)
		lug_shard_close(shards->watches[i].shard);
}

/**
 * lug_shards_free - release all shards without giving them back
 * @shards: may be NULL
 */
void lug_shards_free(struct lug_shards *shards)
{
	if (!shards)
		return;
	for (guint32 i = 0; i < shards->n; i++)
		lug_shard_free(shards->watches[i].shard);
	g_free(shards->watches);
	g_free(shards);
}

/**
 * lug_shards_held - a shard that this process owns, NULL for another one
 */
struct lug_shard *lug_shards_held(const struct lug_shards *shards, guint32 number)
{
	if (number >= shards->n || !lug_shard_held(shards->watches[number].shard))
		return NULL;
	return shards->watches[number].shard;
}

/**
 * lug_shards_count - shards owned by this process
 */
guint32 lug_shards_count(const struct lug_shards *shards)
{
	guint32 n = 0;

	for (guint32 i = 0; i < shards->n; i++)
		n += lug_shard_held(shards->watches[i].shard);
	return n;
}

static void on_announced(void *data, const struct lug_txn_result *result)
{
	struct watch *watch = data;

	watch->announcing = FALSE;
	if (result->status == LUG_OK)
		watch->announce = FALSE;
}

static void announce(struct watch *watch, gint64 now_us)
{
	struct lug_shards *shards = watch->shards;
	gboolean held = lug_shard_held(watch->shard);
	JsonObject *row;
	struct lug_txn txn;
	char key[16];

	if (!watch->announce || watch->announcing || now_us < watch->announce_us)
		return;
	watch->announce_us = now_us + ANNOUNCE_AGAIN_US;
	watch->announcing = TRUE;
	row = json_object_new();
	json_object_set_int_member(row, "epoch", (gint64)lug_shard_epoch(watch->shard));
	json_object_set_string_member(row, "address",
				      held ? shards->env.ctx->settings->advertise : "");
	g_snprintf(key, sizeof(key), "%u", watch->number);
	lug_txn_init(&txn);
	lug_txn_put(&txn, OWNER_TABLE, key, row);
	lug_store_txn(shards->env.store, &txn, on_announced, watch);
	lug_txn_clear(&txn);
	json_object_unref(row);
}

static gboolean own_row(const struct watch *watch, const struct lug_row *row)
{
	const struct lug_settings *settings = watch->shards->env.ctx->settings;

	return !strcmp(lug_json_str(row->data, "owner", ""), settings->name);
}

static void on_row(void *data, enum lug_status status, const struct lug_row *rows, guint n_rows,
		   gboolean more)
{
	struct watch *watch = data;
	static const struct lug_row none;
	const struct lug_row *row = n_rows ? &rows[0] : &none;
	gint64 now_us = lug_now_us();

	(void)more;
	watch->reading = FALSE;
	if (status != LUG_OK || watch->shards->leaving || lug_shard_held(watch->shard))
		return;
	/* A row of this agent's own name was left by its former process. */
	if (!row->version || !*lug_json_str(row->data, "owner", "") || own_row(watch, row)) {
		lug_shard_take(watch->shard, row, now_us);
		return;
	}
	if (row->version != watch->seen_version) {
		watch->seen_version = row->version;
		watch->seen_us = now_us;
		lug_shard_map_update(watch->shards->map, watch->number,
				     (guint64)lug_json_int(row->data, "epoch", 0),
				     lug_json_str(row->data, "address", ""));
		return;
	}
	if (now_us - watch->seen_us < UNCHANGED_US)
		return;
	lug_warn(watch->shards->env.ctx, "shard_takeover", "shard", row->key, "from",
		 lug_json_str(row->data, "owner", ""));
	lug_shard_take(watch->shard, row, now_us);
}

/* Tells whether the shard may need another owner, as far as the owner's answers show. */
static gboolean unserved(struct watch *watch, gint64 now_us)
{
	struct lug_shards *shards = watch->shards;
	const struct lug_shard_owner *place = lug_shard_map_owner(shards->map, watch->number);
	const struct lug_peer *peer;

	if (!*place->address || !strcmp(place->address, shards->env.ctx->settings->advertise))
		return TRUE;
	peer = lug_peers_find(shards->peers, place->address);
	if (!peer)
		return FALSE;
	return peer->stalled || now_us - MAX(peer->heard_us, peer->first_us) > SILENT_US;
}

static void look(struct watch *watch, gint64 now_us)
{
	struct lug_shards *shards = watch->shards;

	if (!unserved(watch, now_us)) {
		watch->candidate_us = 0;
		watch->seen_version = 0;
		return;
	}
	if (!watch->candidate_us)
		watch->candidate_us =
			now_us +
			(gint64)(g_rand_double(shards->env.ctx->rng) * CANDIDATE_SPREAD_US) +
			(gint64)lug_shards_count(shards) * CANDIDATE_OWNED_US;
	if (watch->reading || now_us < watch->candidate_us || now_us < watch->next_read_us)
		return;
	watch->reading = TRUE;
	watch->next_read_us = now_us + READ_AGAIN_US;
	lug_shard_read_row(watch->shard, on_row, watch);
}

static gboolean reached(struct lug_shards *shards, gint64 now_us)
{
	GPtrArray *workers = lug_fleet_workers(shards->env.fleet);

	for (guint i = 0; i < workers->len; i++)
		if (lug_fleet_live(g_ptr_array_index(workers, i), now_us))
			return TRUE;
	return FALSE;
}

/* An owner that nobody reaches keeps its row renewed, so nobody else would take over. */
static void check_alone(struct watch *watch, gint64 now_us)
{
	if (!lug_shard_held(watch->shard))
		return;
	if (reached(watch->shards, now_us))
		watch->alone_us = now_us;
	if (now_us - watch->alone_us < ALONE_US)
		return;
	watch->alone_us = now_us;
	lug_warn(watch->shards->env.ctx, "owner_unreached", "remedy", "the shard is given back");
	lug_shard_release(watch->shard, now_us);
}

/**
 * lug_shards_tick - serve what is owned, look after the rest
 */
void lug_shards_tick(struct lug_shards *shards, gint64 now_us)
{
	for (guint32 i = 0; i < shards->n; i++) {
		struct watch *watch = &shards->watches[i];

		lug_shard_tick(watch->shard, now_us);
		announce(watch, now_us);
		check_alone(watch, now_us);
		if (!lug_shard_held(watch->shard) && !shards->leaving &&
		    lug_shard_map_known(shards->map))
			look(watch, now_us);
	}
}

/**
 * lug_shards_wake - let all owned shards place what waits; room may have come free
 */
void lug_shards_wake(struct lug_shards *shards)
{
	for (guint32 i = 0; i < shards->n; i++)
		if (lug_shard_held(shards->watches[i].shard))
			lug_shard_wake(shards->watches[i].shard);
}

/**
 * lug_shards_worker_lost - nothing runs on a worker that was started under an epoch up to this one
 */
void lug_shards_worker_lost(struct lug_shards *shards, const char *worker, guint64 lease_epoch,
			    gint64 now_us)
{
	for (guint32 i = 0; i < shards->n; i++)
		lug_shard_worker_lost(shards->watches[i].shard, worker, lease_epoch, now_us);
}

/**
 * lug_shards_claims - tell whether a task of an owned shard counts as running on a worker
 */
gboolean lug_shards_claims(const struct lug_shards *shards, const char *worker)
{
	for (guint32 i = 0; i < shards->n; i++)
		if (lug_shard_claims(shards->watches[i].shard, worker))
			return TRUE;
	return FALSE;
}

/**
 * lug_shards_leave - give all shards back
 */
void lug_shards_leave(struct lug_shards *shards, gint64 now_us)
{
	shards->leaving = TRUE;
	for (guint32 i = 0; i < shards->n; i++)
		if (lug_shard_held(shards->watches[i].shard))
			lug_shard_release(shards->watches[i].shard, now_us);
}

/**
 * lug_shards_stalled - tell whether an owned shard can't commit at present
 */
gboolean lug_shards_stalled(const struct lug_shards *shards, gint64 now_us)
{
	for (guint32 i = 0; i < shards->n; i++)
		if (lug_shard_held(shards->watches[i].shard) &&
		    lug_shard_stalled(shards->watches[i].shard, now_us))
			return TRUE;
	return FALSE;
}

/**
 * lug_shards_left - tell whether all shards are given back, and that it stands in the table
 */
gboolean lug_shards_left(const struct lug_shards *shards)
{
	for (guint32 i = 0; i < shards->n; i++)
		if (lug_shard_owned(shards->watches[i].shard) || shards->watches[i].announce)
			return FALSE;
	return TRUE;
}
