#include "job/owners.h"

#include <string.h>

#define SCAN_INTERVAL_MS 2000
#define GAUGES_INTERVAL_US (1000 * 1000)
/*
 * A queue whose lease has expired is taken after a random delay of up to TAKE_DELAY_MAX_MS
 * and a fixed delay per queue already held, so that queues spread over the agents.
 */
#define TAKE_DELAY_MAX_MS 400
#define TAKE_DELAY_PER_QUEUE_MS 300

/**
 * struct queue_view - last known row and owner of one queue
 * @team: team of the queue
 * @row: row as last read
 * @unchanged_since_us: start of the lease time: the row's latest change or this process's latest
 * attempt to take the queue
 * @take_at_us: time at which to take the queue, 0 when none is set
 * @address: address of the owner, NULL when unknown
 * @epoch: highest known epoch
 */
struct queue_view {
	char *team;
	struct lug_row row;
	gint64 unchanged_since_us;
	gint64 take_at_us;
	char *address;
	guint64 epoch;
};

/**
 * struct lug_owners - the queues held by one agent, and the known owners of all queues
 * @env: shared dependencies
 * @views: struct queue_view by team
 * @owners: struct lug_owner by team, created at the first attempt to take the queue
 * @next_scan_us: time of the next scan of the queues' rows
 * @next_gauges_us: time of the next update of the gauges
 * @scanning: a scan is in flight
 * @has_scanned: a scan has succeeded; no queue is taken before
 * @leaving: all queues are released and none is taken
 */
struct lug_owners {
	struct lug_owner_env env;
	GHashTable *views;
	GHashTable *owners;
	gint64 next_scan_us;
	gint64 next_gauges_us;
	gboolean scanning;
	gboolean has_scanned;
	gboolean leaving;
};

static void queue_view_free(gpointer data)
{
	struct queue_view *view = data;

	g_clear_pointer(&view->row.data, json_object_unref);
	g_free(view->team);
	g_free(view->address);
	g_free(view);
}

static void owner_free(gpointer data)
{
	lug_owner_free(data);
}

/**
 * lug_owners_new - create a set that holds no queues
 * @env: shared dependencies, copied
 *
 * Return: the set, freed with lug_owners_free().
 */
struct lug_owners *lug_owners_new(const struct lug_owner_env *env)
{
	struct lug_owners *owners = g_new0(struct lug_owners, 1);

	owners->env = *env;
	owners->views = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, queue_view_free);
	owners->owners = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, owner_free);
	return owners;
}

/**
 * lug_owners_free - free the set
 * @owners: set, may be NULL; the store must be freed first
 */
void lug_owners_free(struct lug_owners *owners)
{
	if (!owners)
		return;
	g_hash_table_unref(owners->owners);
	g_hash_table_unref(owners->views);
	g_free(owners);
}

static struct queue_view *get_view(struct lug_owners *owners, const char *team)
{
	struct queue_view *view = g_hash_table_lookup(owners->views, team);

	if (view)
		return view;
	view = g_new0(struct queue_view, 1);
	view->team = g_strdup(team);
	view->row.key = view->team;
	g_hash_table_insert(owners->views, view->team, view);
	return view;
}

static void set_address(struct queue_view *view, const char *address, guint64 epoch)
{
	if (epoch < view->epoch || (*address && !lug_address_is_peer(address)))
		return;
	view->epoch = epoch;
	if (!g_strcmp0(view->address, address))
		return;
	g_free(view->address);
	view->address = *address ? g_strdup(address) : NULL;
}

static void apply_queue_row(struct lug_owners *owners, const struct lug_row *row, gint64 now_us)
{
	struct queue_view *view = get_view(owners, row->key);
	gboolean released = !*lug_json_str(row->data, "owner", "");

	if (row->version != view->row.version) {
		view->row.version = row->version;
		view->unchanged_since_us = now_us;
		view->take_at_us = 0;
	}
	g_clear_pointer(&view->row.data, json_object_unref);
	view->row.data = row->data ? json_object_ref(row->data) : NULL;
	set_address(view, released ? "" : lug_json_str(row->data, "address", ""),
		    lug_writer_row_epoch(row));
}

static void on_rows(void *data, enum lug_status status, const struct lug_row *rows, guint n_rows,
		    gboolean more)
{
	struct lug_owners *owners = data;
	gint64 now_us = lug_now_us();

	(void)more;
	owners->scanning = FALSE;
	if (status != LUG_OK)
		return;
	owners->has_scanned = TRUE;
	for (guint i = 0; i < n_rows; i++)
		apply_queue_row(owners, &rows[i], now_us);
}

static void start_scan(struct lug_owners *owners, gint64 now_us)
{
	owners->scanning = TRUE;
	owners->next_scan_us = now_us + lug_jitter(owners->env.ctx->rng, SCAN_INTERVAL_MS) * 1000;
	lug_store_scan_all(owners->env.store, "queue", "", on_rows, owners);
}

/**
 * lug_owners_held_count - number of queues held by this process
 * @owners: set
 */
guint lug_owners_held_count(const struct lug_owners *owners)
{
	GHashTableIter it;
	gpointer value;
	guint n = 0;

	g_hash_table_iter_init(&it, owners->owners);
	while (g_hash_table_iter_next(&it, NULL, &value))
		n += lug_owner_is_held(value) ? 1 : 0;
	return n;
}

static struct lug_owner *get_owner(struct lug_owners *owners, const char *team)
{
	struct lug_owner *owner = g_hash_table_lookup(owners->owners, team);

	if (owner)
		return owner;
	owner = lug_owner_new(&owners->env, team);
	g_hash_table_insert(owners->owners, (gpointer)lug_owner_team(owner), owner);
	return owner;
}

static void try_take(struct lug_owners *owners, const char *team, gint64 now_us)
{
	struct queue_view *view = get_view(owners, team);
	GRand *rng = owners->env.ctx->rng;

	if (!lug_writer_row_is_free(&view->row, now_us - view->unchanged_since_us,
				    owners->env.ctx->settings->queue_lease_ms)) {
		view->take_at_us = 0;
		return;
	}
	if (!view->take_at_us) {
		gint64 delay_ms = g_rand_int_range(rng, 0, TAKE_DELAY_MAX_MS) +
				  TAKE_DELAY_PER_QUEUE_MS * (gint64)lug_owners_held_count(owners);

		view->take_at_us = now_us + delay_ms * 1000;
		return;
	}
	if (now_us < view->take_at_us)
		return;
	view->take_at_us = 0;
	/* If this attempt fails, the next one waits for the lease time again. */
	view->unchanged_since_us = now_us;
	owners->next_scan_us = 0;
	lug_owner_take(get_owner(owners, team), &view->row, now_us);
}

static void take_expired(struct lug_owners *owners, gint64 now_us)
{
	const struct lug_limits *limits = lug_sync_limits(owners->env.sync);

	if (!owners->has_scanned || owners->leaving)
		return;
	for (guint i = 0; limits && i < limits->teams->len; i++) {
		const struct lug_team *team = &g_array_index(limits->teams, struct lug_team, i);
		struct lug_owner *owner = lug_owners_find(owners, team->name);

		if (!owner || !lug_owner_is_held(owner))
			try_take(owners, team->name, now_us);
	}
}

static void set_gauges(struct lug_owners *owners, gint64 now_us)
{
	GHashTableIter it;
	gpointer value;
	guint pending = 0;

	owners->next_gauges_us = now_us + GAUGES_INTERVAL_US;
	g_hash_table_iter_init(&it, owners->owners);
	while (g_hash_table_iter_next(&it, NULL, &value))
		pending += lug_owner_pending(value, now_us);
	lug_gauge(owners->env.ctx, QUEUES_OWNED, lug_owners_held_count(owners));
	lug_gauge(owners->env.ctx, TASKS_PENDING, pending);
}

/**
 * lug_owners_tick - rescan the queues' rows, take queues with expired leases, tick all owners
 * @owners: set
 * @now_us: current time
 */
void lug_owners_tick(struct lug_owners *owners, gint64 now_us)
{
	GHashTableIter it;
	gpointer value;

	if (!owners->scanning && now_us >= owners->next_scan_us)
		start_scan(owners, now_us);
	take_expired(owners, now_us);
	g_hash_table_iter_init(&it, owners->owners);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		lug_owner_tick(value, now_us);
	}
	if (now_us >= owners->next_gauges_us)
		set_gauges(owners, now_us);
}

/**
 * lug_owners_find - look up the owner object of a team's queue
 * @owners: set
 * @team: team of the queue, may be NULL
 *
 * Return: the owner object, or NULL when this process never tried to take the queue.
 */
struct lug_owner *lug_owners_find(const struct lug_owners *owners, const char *team)
{
	return team ? g_hash_table_lookup(owners->owners, team) : NULL;
}

/**
 * lug_owners_address - address of a queue's owner
 * @owners: set
 * @team: team of the queue, may be NULL
 *
 * Return: the address, or NULL when unknown.
 */
const char *lug_owners_address(const struct lug_owners *owners, const char *team)
{
	struct queue_view *view = team ? g_hash_table_lookup(owners->views, team) : NULL;

	return view ? view->address : NULL;
}

/**
 * lug_owners_epoch - highest known epoch of a queue
 * @owners: set
 * @team: team of the queue, may be NULL
 *
 * Return: the epoch, 0 when unknown.
 */
guint64 lug_owners_epoch(const struct lug_owners *owners, const char *team)
{
	struct queue_view *view = team ? g_hash_table_lookup(owners->views, team) : NULL;

	return view ? view->epoch : 0;
}

/**
 * lug_owners_update - apply an owner's announcement
 * @owners: set
 * @team: team of the queue
 * @epoch: epoch of the owner's lease; an epoch that is not higher than the known one is ignored
 * @address: the owner's inner address, may be NULL
 * @now_us: current time
 */
void lug_owners_update(struct lug_owners *owners, const char *team, guint64 epoch,
		       const char *address, gint64 now_us)
{
	(void)now_us;
	if (!team || !address || epoch <= lug_owners_epoch(owners, team))
		return;
	set_address(get_view(owners, team), address, epoch);
}

/**
 * lug_owners_foreach_address - call a function for each known owner's address
 * @owners: set
 * @fn: called with @data, the team and the address
 * @data: passed to @fn
 */
void lug_owners_foreach_address(const struct lug_owners *owners,
				void (*fn)(void *data, const char *team, const char *address),
				void *data)
{
	GHashTableIter it;
	gpointer value;

	g_hash_table_iter_init(&it, owners->views);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		struct queue_view *view = value;

		if (view->address)
			fn(data, view->team, view->address);
	}
}

/**
 * lug_owners_held_teams - teams whose queues this process holds
 * @owners: set
 *
 * Return: an array to be freed by the caller; the names stay with @owners.
 */
GPtrArray *lug_owners_held_teams(const struct lug_owners *owners)
{
	GPtrArray *names = g_ptr_array_new();
	GHashTableIter it;
	gpointer value;

	g_hash_table_iter_init(&it, owners->owners);
	while (g_hash_table_iter_next(&it, NULL, &value))
		if (lug_owner_is_held(value))
			g_ptr_array_add(names, (gpointer)lug_owner_team(value));
	return names;
}

/**
 * lug_owners_release_all - release all queues and take no others
 * @owners: set
 * @now_us: current time
 */
void lug_owners_release_all(struct lug_owners *owners, gint64 now_us)
{
	GHashTableIter it;
	gpointer value;

	owners->leaving = TRUE;
	g_hash_table_iter_init(&it, owners->owners);
	while (g_hash_table_iter_next(&it, NULL, &value))
		lug_owner_release(value, now_us);
}
