#include "workflow/fleet_priv.h"

#include <string.h>

#include "store/writer.h"

#define LEASE_TABLE "worker"
#define LEASE_CHECK_INTERVAL_US (500 * 1000)
/* Added to the lease time: the delay of a renewal on its way through the table service. */
#define FENCE_MARGIN_US (300 * 1000)
/* The rates of two instances' clocks differ by less than one part in 50 (2 %). */
#define CLOCK_DRIFT_DIVISOR 50
/* Longer than any lease of a worker. */
#define WATCHED_MAX_MS (60 * 1000)
/* Leases that the row of a shard names at most. */
#define WATCHED_LEASES_MAX 64
/* An agent in touch answers a stop within this time: two network hops and a call to its worker. */
#define STOP_ANSWER_US (200 * 1000)
/* Stands for the version of a row that does not exist; 0 is that of a row not yet read. */
#define LEASE_ROW_ABSENT (-1)

/*
 * Read of a worker's lease row, sent at @sent_us after a heartbeat with lease epoch @epoch, or a
 * write that fences that epoch.
 */
struct lease_call {
	struct lug_fleet *fleet;
	char name[LUG_NAME_MAX + 1];
	guint64 epoch;
	gint64 sent_us;
};

static struct lug_store *get_partition(struct lug_fleet *fleet, const char *name)
{
	struct lug_store *partition = g_hash_table_lookup(fleet->partitions, name);

	if (!partition) {
		partition = lug_store_partition(fleet->store, name);
		g_hash_table_insert(fleet->partitions, g_strdup(name), partition);
	}
	return partition;
}

static struct lease_call *lease_call_new(struct lug_fleet *fleet, const char *name, guint64 epoch)
{
	struct lease_call *call = g_new0(struct lease_call, 1);

	call->fleet = fleet;
	g_strlcpy(call->name, name, sizeof(call->name));
	call->epoch = epoch;
	call->sent_us = lug_now_us();
	return call;
}

static void report_lease_ended(struct lug_fleet *fleet, struct lug_fleet_worker *worker,
			       guint64 epoch, const char *reason, gint64 now_us)
{
	gint64 unchanged_us = worker->lease_row_version ? now_us - worker->lease_row_since_us : 0;
	char text[24];
	char unchanged_ms[24];
	char heard_ms[24];

	g_snprintf(text, sizeof(text), "%" G_GUINT64_FORMAT, epoch);
	g_snprintf(unchanged_ms, sizeof(unchanged_ms), "%" G_GINT64_FORMAT, unchanged_us / 1000);
	g_snprintf(heard_ms, sizeof(heard_ms), "%" G_GINT64_FORMAT,
		   (now_us - worker->last_beat_us) / 1000);
	lug_warn(fleet->ctx, "worker_fenced", "worker", worker->name, "lease_epoch", text, "how",
		 reason, "unchanged_ms", unchanged_ms, "heard_ms", heard_ms);
	worker->inherited_version = 0;
	fleet->hooks.lease_ended(fleet->hooks.data, worker->name, epoch);
}

static void on_fenced(void *data, const struct lug_txn_result *result)
{
	struct lease_call *call = data;
	struct lug_fleet_worker *worker = lug_fleet_find(call->fleet, call->name);

	if (worker) {
		worker->lease_call_in_flight = FALSE;
		/* Otherwise the next read shows whether the row has changed, or is fenced. */
		if (result->status == LUG_OK)
			report_lease_ended(call->fleet, worker, call->epoch, "lease not renewed",
					   lug_now_us());
	}
	g_free(call);
}

static void fence_lease(struct lug_fleet *fleet, struct lug_fleet_worker *worker,
			const struct lug_row *row)
{
	guint64 epoch = lug_writer_row_epoch(row);
	JsonObject *next = json_object_new();
	struct lug_txn txn;

	lug_txn_init(&txn);
	json_object_set_string_member(next, "owner", "");
	json_object_set_int_member(next, "epoch", (gint64)epoch + 1);
	json_object_set_int_member(next, "ttl_ms", lug_json_int(row->data, "ttl_ms", 0));
	json_object_set_string_member(next, "prev_txn", lug_json_str(row->data, "txn", ""));
	/* For the next process of the agent, see exec_adopt_lease_row(). */
	json_object_set_string_member(next, "worker_id", lug_json_str(row->data, "worker_id", ""));
	json_object_set_int_member(next, "worker_incarnation",
				   lug_json_int(row->data, "worker_incarnation", 0));
	if (lug_json_int(row->data, "lapse_left_ms", 0) > 0)
		json_object_set_int_member(next, "lapse_left_ms",
					   lug_json_int(row->data, "lapse_left_ms", 0));
	lug_txn_check(&txn, LEASE_TABLE, worker->name, row->version);
	lug_txn_put(&txn, LEASE_TABLE, worker->name, next);
	worker->lease_call_in_flight = TRUE;
	lug_store_txn(get_partition(fleet, worker->name), &txn, on_fenced,
		      lease_call_new(fleet, worker->name, epoch));
	lug_txn_clear(&txn);
	json_object_unref(next);
}

/*
 * No process can have renewed a lease whose row is gone. The claims are for leases of whatever
 * epoch, also when no heartbeat of the worker has been heard.
 */
static void check_missing_row(struct lug_fleet *fleet, struct lug_fleet_worker *worker,
			      gint64 missing_us, gint64 now_us)
{
	gint64 ttl_us = fleet->ctx->settings->worker_lease_ms * 1000;

	if (missing_us > ttl_us + ttl_us / CLOCK_DRIFT_DIVISOR)
		report_lease_ended(fleet, worker, G_MAXUINT64, "no lease", now_us);
}

static void check_lease_row(struct lug_fleet *fleet, struct lug_fleet_worker *worker,
			    const struct lug_row *row, gint64 now_us)
{
	gint64 version = row->version ? row->version : LEASE_ROW_ABSENT;
	gint64 unchanged_us;

	if (row->data && !*lug_json_str(row->data, "owner", "")) {
		report_lease_ended(fleet, worker, lug_writer_row_epoch(row),
				   "lease fenced or released", now_us);
		return;
	}
	/* The row was renewed, or is read for the first time. */
	if (version != worker->lease_row_version) {
		worker->lease_row_version = version;
		worker->lease_row_since_us = now_us;
		if (version != worker->inherited_version) {
			worker->inherited_version = 0;
			return;
		}
		worker->lease_row_since_us = worker->inherited_since_us;
	}
	unchanged_us = now_us - worker->lease_row_since_us - FENCE_MARGIN_US;
	if (!row->version)
		check_missing_row(fleet, worker, unchanged_us, now_us);
	else if (lug_writer_row_is_free(row, unchanged_us, fleet->ctx->settings->worker_lease_ms))
		fence_lease(fleet, worker, row);
}

/**
 * fleet_unlisted_us - time for which a list of a worker's runs has been awaited, see
 * struct lug_fleet_hooks
 */
gint64 fleet_unlisted_us(const struct lug_fleet *fleet, const struct lug_fleet_worker *worker,
			 gint64 now_us)
{
	return fleet->hooks.unlisted_us(fleet->hooks.data, worker->name, now_us);
}

/*
 * The agent of a worker with claims is silent, or lives but does not list its runs, for this
 * process or already for the former owner of a shard.
 */
static gboolean is_list_awaited(const struct lug_fleet *fleet,
				const struct lug_fleet_worker *worker, gint64 now_us)
{
	gint64 since_us = fleet_unlisted_us(fleet, worker, now_us);

	if (since_us < 0)
		return FALSE;
	return worker->inherited_version ||
	       MAX(since_us, now_us - worker->last_beat_us) >= FLEET_SILENT_US;
}

/**
 * lug_fleet_await_stop - read the row of a worker's lease soon, unless a stop sent now is answered
 */
void lug_fleet_await_stop(struct lug_fleet_worker *worker, gint64 now_us)
{
	worker->next_lease_check_us = MIN(worker->next_lease_check_us, now_us + STOP_ANSWER_US);
}

static gboolean is_stop_overdue(const struct lug_fleet *fleet,
				const struct lug_fleet_worker *worker, gint64 now_us)
{
	return fleet->hooks.unstopped_us(fleet->hooks.data, worker->name, now_us) >= STOP_ANSWER_US;
}

/*
 * Longest time for which the worker may hold the lease of a row that is not renewed: by when the
 * row was first seen, and if it was just read, by the clock of the table service. The row states
 * less than its whole duration once the agent grants no lease, as the worker does not answer.
 */
static gint64 lease_left_us(struct lug_fleet *fleet, const struct lug_fleet_worker *worker,
			    const struct lug_row *row, gint64 read_us)
{
	gint64 ttl_ms = MAX(lug_writer_row_ttl_ms(row), fleet->ctx->settings->worker_lease_ms);
	gint64 granted_ms = lug_json_int(row->data, "lease_left_ms", -1);
	gint64 left_ms = lug_writer_row_left_ms(row, get_partition(fleet, worker->name)->clock_ms);
	gint64 left_us;

	if (granted_ms >= 0)
		ttl_ms = MIN(ttl_ms, granted_ms);
	ttl_ms += ttl_ms / CLOCK_DRIFT_DIVISOR;
	left_us = MAX(ttl_ms * 1000 - MAX(read_us - worker->lease_row_since_us, 0), 0);
	return left_ms >= 0 ? MIN(left_us, left_ms * 1000) : left_us;
}

/* The row may have been renewed since it was read: what counts is how long it had not been then. */
static void report_lease_left(struct lug_fleet *fleet, struct lug_fleet_worker *worker,
			      const struct lug_row *row, gint64 read_us, gint64 now_us)
{
	const struct lug_settings *settings = fleet->ctx->settings;
	gint64 bound_us = (settings->cancel_within_ms + settings->cancel_stop_ms) * 1000;
	gint64 left_us = lease_left_us(fleet, worker, row, read_us);

	/* The row shows that the bound is met only when it is read after that. */
	if (left_us > bound_us)
		worker->next_lease_check_us =
			MIN(worker->next_lease_check_us, now_us + left_us - bound_us);
	fleet->hooks.lease_left(fleet->hooks.data, worker->name,
				row->version ? lug_writer_row_epoch(row) : G_MAXUINT64, left_us,
				now_us);
}

static void on_lease_row(void *data, enum lug_status status, const struct lug_row *rows,
			 guint n_rows, gboolean more)
{
	struct lease_call *call = data;
	struct lug_fleet_worker *worker = lug_fleet_find(call->fleet, call->name);
	static const struct lug_row none;
	const struct lug_row *row = n_rows && !strcmp(rows[0].key, call->name) ? &rows[0] : &none;
	gint64 now_us = lug_now_us();
	gboolean stop_overdue;

	(void)more;
	if (worker) {
		worker->lease_call_in_flight = FALSE;
		stop_overdue = is_stop_overdue(call->fleet, worker, now_us);
		/* The lease may have been taken anew after the row was read. */
		if (worker->lease_epoch != call->epoch)
			worker->lease_row_version = 0;
		else if (status == LUG_OK &&
			 (stop_overdue || is_list_awaited(call->fleet, worker, now_us))) {
			check_lease_row(call->fleet, worker, row, now_us);
			if (stop_overdue && worker->lease_row_version)
				report_lease_left(call->fleet, worker, row, call->sent_us, now_us);
		}
	}
	g_free(call);
}

/**
 * fleet_check_lease - read the row of a worker's lease if a list of its runs or the answer to a
 * stop is awaited
 */
void fleet_check_lease(struct lug_fleet *fleet, struct lug_fleet_worker *worker, gint64 now_us)
{
	gint64 silent_at_us = worker->last_beat_us + FLEET_SILENT_US;
	gint64 unstopped_us;

	if (worker->lease_call_in_flight || now_us < worker->next_lease_check_us)
		return;
	unstopped_us = fleet->hooks.unstopped_us(fleet->hooks.data, worker->name, now_us);
	worker->next_lease_check_us = now_us + LEASE_CHECK_INTERVAL_US;
	if (unstopped_us < STOP_ANSWER_US && !is_list_awaited(fleet, worker, now_us)) {
		worker->lease_row_version = 0;
		/* Silence, and claims for a silent worker, are noticed at once. */
		worker->next_lease_check_us = MIN(worker->next_lease_check_us, silent_at_us);
		if (unstopped_us >= 0)
			lug_fleet_await_stop(worker, now_us - unstopped_us);
		return;
	}
	worker->lease_call_in_flight = TRUE;
	lug_store_scan(get_partition(fleet, worker->name), LEASE_TABLE, worker->name, NULL, 1,
		       on_lease_row, lease_call_new(fleet, worker->name, worker->lease_epoch));
}

/* What is known of the lease of a silent worker; NULL if nothing is. */
static JsonObject *watched_lease(const struct lug_fleet_worker *worker, gint64 now_us)
{
	gboolean read = worker->lease_row_version != 0;
	gint64 version = read ? worker->lease_row_version : worker->inherited_version;
	gint64 since_us = read ? worker->lease_row_since_us : worker->inherited_since_us;
	JsonObject *lease;

	if (version <= 0)
		return NULL;
	lease = json_object_new();
	json_object_set_string_member(lease, "worker", worker->name);
	json_object_set_int_member(lease, "version", version);
	json_object_set_int_member(lease, "unchanged_ms", (now_us - since_us) / 1000);
	return lease;
}

/**
 * lug_fleet_add_watched_leases - add to the row of a shard what is known of the leases of silent
 * workers: the version of the lease's row, and the time since it was first seen
 * @fleet: fleet
 * @row: row, for the shard's next owner
 * @now_us: current time
 */
void lug_fleet_add_watched_leases(const struct lug_fleet *fleet, JsonObject *row, gint64 now_us)
{
	JsonArray *leases = json_array_new();

	for (guint i = 0; i < fleet->list->len; i++) {
		JsonObject *lease = watched_lease(g_ptr_array_index(fleet->list, i), now_us);

		if (lease && json_array_get_length(leases) < WATCHED_LEASES_MAX)
			json_array_add_object_element(leases, lease);
		else if (lease)
			json_object_unref(lease);
	}
	if (json_array_get_length(leases))
		json_object_set_array_member(row, "watched_leases", leases);
	else
		json_array_unref(leases);
}

static void inherit_lease(struct lug_fleet *fleet, JsonObject *lease, gint64 now_us)
{
	const char *name = lug_json_str(lease, "worker", "");
	gint64 version = lug_json_int(lease, "version", 0);
	gint64 unchanged_ms = lug_json_int(lease, "unchanged_ms", 0);
	gint64 since_us = now_us - CLAMP(unchanged_ms, 0, WATCHED_MAX_MS) * 1000;
	struct lug_fleet_worker *worker;

	if (!*name || strlen(name) > LUG_NAME_MAX || version <= 0)
		return;
	worker = lug_fleet_get(fleet, name, now_us);
	if (lug_fleet_is_live(worker, now_us) || version < worker->inherited_version)
		return;
	if (version == worker->inherited_version)
		since_us = MIN(since_us, worker->inherited_since_us);
	worker->inherited_version = version;
	worker->inherited_since_us = since_us;
}

/**
 * lug_fleet_inherit_leases - take over what the former owner of a shard knew of the leases of
 * silent workers
 * @fleet: fleet
 * @row: row of the shard, may be NULL
 * @now_us: time at which it was read
 *
 * The table service never uses a version twice: a row that has it still has not changed meanwhile.
 */
void lug_fleet_inherit_leases(struct lug_fleet *fleet, JsonObject *row, gint64 now_us)
{
	JsonArray *leases = lug_json_arr(row, "watched_leases");
	guint n = leases ? MIN(json_array_get_length(leases), WATCHED_LEASES_MAX) : 0;

	for (guint i = 0; i < n; i++)
		inherit_lease(fleet, lug_json_item_obj(leases, i), now_us);
}
