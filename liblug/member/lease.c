#include "member/lease.h"

#include <string.h>

#define WORKER_TIMEOUT_MS 2000
#define RETRY_US (300 * 1000)

enum step {
	STEP_STATE,
	STEP_ROW,
	STEP_KILL,
	STEP_TAKE,
	STEP_HELD,
	STEP_RELEASED,
	STEP_LOST,
};

struct lug_lease {
	struct lug_ctx *ctx;
	struct lug_store *store;
	struct lug_http *worker;
	struct lug_lease_hooks hooks;
	struct lug_writer *writer;
	enum step step;
	gboolean busy;
	gboolean held_before;
	gint64 retry_at_us;
	struct lug_row seen;
	gint64 told_until_us;
	gboolean telling;
	JsonObject *charges;
};

static void fill_row(void *data, JsonObject *row)
{
	struct lug_lease *lease = data;
	const struct lug_settings *settings = lease->ctx->settings;
	struct lug_resources capacity = {0};

	lease->hooks.capacity(lease->hooks.data, &capacity);
	json_object_set_string_member(row, "state", "live");
	json_object_set_string_member(row, "address", settings->advertise);
	json_object_set_string_member(row, "region", settings->region);
	json_object_set_string_member(row, "zone", settings->zone);
	json_object_set_string_member(row, "rack", settings->rack);
	json_object_set_string_member(row, "service", settings->service_name);
	json_object_set_int_member(row, "millicores", capacity.millicores);
	json_object_set_int_member(row, "memory_bytes", capacity.memory);
	json_object_set_int_member(row, "accelerators", capacity.accelerators);
	if (lease->charges)
		json_object_set_object_member(row, "charges", json_object_ref(lease->charges));
}

static void on_writer(void *data, enum lug_writer_event event)
{
	struct lug_lease *lease = data;

	switch (event) {
	case LUG_WRITER_TAKEN:
		lease->step = STEP_HELD;
		lease->held_before = TRUE;
		lease->told_until_us = 0;
		lease->hooks.held(lease->hooks.data);
		return;
	case LUG_WRITER_RELEASED:
		lease->step = STEP_RELEASED;
		return;
	case LUG_WRITER_LOST:
		lease->step = STEP_ROW;
		lease->busy = FALSE;
		return;
	}
}

/**
 * lug_lease_new - start taking a worker's lease
 * @ctx: context; the lease is named like the daemon
 * @store: table service client
 * @worker: client of the worker's interface
 * @hooks: hooks, copied
 */
struct lug_lease *lug_lease_new(struct lug_ctx *ctx, struct lug_store *store,
				struct lug_http *worker, const struct lug_lease_hooks *hooks)
{
	struct lug_lease *lease = g_new0(struct lug_lease, 1);
	struct lug_writer_config config = {
		.table = "worker",
		.key = ctx->settings->name,
		.ttl_ms = ctx->settings->worker_lease_ms,
		.fill = fill_row,
		.event = on_writer,
		.data = lease,
	};

	lease->ctx = ctx;
	lease->store = store;
	lease->worker = worker;
	lease->hooks = *hooks;
	lease->writer = lug_writer_new(ctx, store, &config);
	return lease;
}

/**
 * lug_lease_free - release; the store and the worker's client must be freed before
 * @lease: may be NULL
 */
void lug_lease_free(struct lug_lease *lease)
{
	if (!lease)
		return;
	lug_writer_free(lease->writer);
	g_clear_pointer(&lease->seen.data, json_object_unref);
	g_clear_pointer(&lease->charges, json_object_unref);
	g_free(lease);
}

static void again_later(struct lug_lease *lease)
{
	lease->busy = FALSE;
	lease->retry_at_us = lug_now_us() + lug_jitter(lease->ctx->rng, RETRY_US);
}

static void on_state(void *data, const struct lug_http_answer *answer)
{
	struct lug_lease *lease = data;
	JsonObject *state = NULL;

	if (answer->http == 200)
		state = lug_json_parse(answer->body, (gssize)answer->len, NULL);
	if (!state) {
		again_later(lease);
		return;
	}
	lease->hooks.state(lease->hooks.data, state);
	json_object_unref(state);
	lease->step = STEP_ROW;
	lease->busy = FALSE;
}

static void read_state(struct lug_lease *lease)
{
	struct lug_http_call call = {
		.method = "GET", .path = "/v1/state", .timeout_ms = WORKER_TIMEOUT_MS};

	lease->busy = TRUE;
	lug_http_send(lease->worker, &call, on_state, lease);
}

static gboolean superseded(const struct lug_lease *lease)
{
	char mine[24];

	g_snprintf(mine, sizeof(mine), "%" G_GINT64_MODIFIER "x", lease->ctx->incarnation);
	return lease->held_before && *lug_json_str(lease->seen.data, "owner", "") &&
	       strcmp(lug_json_str(lease->seen.data, "incarnation", ""), mine) != 0;
}

static void take_charges(struct lug_lease *lease)
{
	JsonObject *charges = lug_json_obj(lease->seen.data, "charges");

	if (!lease->charges && charges)
		lease->charges = json_object_ref(charges);
}

static void on_row(void *data, enum lug_status status, const struct lug_row *rows, guint n_rows,
		   gboolean more)
{
	struct lug_lease *lease = data;
	gboolean found = n_rows && !strcmp(rows[0].key, lease->ctx->settings->name);

	(void)more;
	if (status != LUG_OK) {
		again_later(lease);
		return;
	}
	lease->busy = FALSE;
	g_clear_pointer(&lease->seen.data, json_object_unref);
	lease->seen.version = found ? rows[0].version : 0;
	lease->seen.data = found && rows[0].data ? json_object_ref(rows[0].data) : NULL;
	if (superseded(lease)) {
		lease->step = STEP_LOST;
		lease->hooks.lost(lease->hooks.data);
		return;
	}
	take_charges(lease);
	if (!strcmp(lug_json_str(lease->seen.data, "state", ""), "fenced"))
		lease->step = STEP_KILL;
	else
		lease->step = STEP_TAKE;
}

static void read_row(struct lug_lease *lease)
{
	lease->busy = TRUE;
	lug_store_scan(lease->store, "worker", lease->ctx->settings->name, NULL, 1, on_row, lease);
}

static void on_killed(void *data, const struct lug_http_answer *answer)
{
	struct lug_lease *lease = data;

	if (answer->http != 200) {
		again_later(lease);
		return;
	}
	lease->busy = FALSE;
	lease->step = STEP_TAKE;
	lease->hooks.cleared(lease->hooks.data);
}

static void kill_all(struct lug_lease *lease)
{
	char body[96];
	struct lug_http_call call = {.method = "POST",
				     .path = "/v1/kill",
				     .content_type = "application/json",
				     .body = body,
				     .timeout_ms = WORKER_TIMEOUT_MS};

	g_snprintf(body, sizeof(body), "{\"epoch\":%" G_GINT64_FORMAT "}",
		   lug_json_int(lease->seen.data, "epoch", 0) + 1);
	call.len = strlen(body);
	lease->busy = TRUE;
	lug_http_send(lease->worker, &call, on_killed, lease);
}

static void on_told(void *data, const struct lug_http_answer *answer)
{
	struct lug_lease *lease = data;

	lease->telling = FALSE;
	if (answer->http != 200)
		lease->told_until_us = 0;
}

static void tell_worker(struct lug_lease *lease)
{
	gint64 until_us = lug_writer_valid_until(lease->writer);
	char body[128];
	struct lug_http_call call = {.method = "POST",
				     .path = "/v1/lease",
				     .content_type = "application/json",
				     .body = body,
				     .timeout_ms = WORKER_TIMEOUT_MS};

	if (lease->telling || until_us == lease->told_until_us)
		return;
	g_snprintf(body, sizeof(body),
		   "{\"epoch\":%" G_GUINT64_FORMAT ",\"until_us\":%" G_GINT64_FORMAT "}",
		   lug_writer_epoch(lease->writer), until_us);
	call.len = strlen(body);
	lease->telling = TRUE;
	lease->told_until_us = until_us;
	lug_http_send(lease->worker, &call, on_told, lease);
}

static void step(struct lug_lease *lease, gint64 now_us)
{
	switch (lease->step) {
	case STEP_STATE:
		read_state(lease);
		return;
	case STEP_ROW:
		read_row(lease);
		return;
	case STEP_KILL:
		kill_all(lease);
		return;
	case STEP_TAKE:
		lease->busy = TRUE;
		lug_writer_take(lease->writer, &lease->seen, now_us);
		return;
	case STEP_HELD:
		tell_worker(lease);
		return;
	case STEP_RELEASED:
	case STEP_LOST:
		return;
	}
}

/**
 * lug_lease_tick - go on with taking, renew, tell the worker
 * @lease: lease
 * @now_us: present time
 */
void lug_lease_tick(struct lug_lease *lease, gint64 now_us)
{
	lug_writer_tick(lease->writer, now_us);
	if (lease->step == STEP_HELD)
		lease->busy = FALSE;
	if (lease->busy || now_us < lease->retry_at_us)
		return;
	step(lease, now_us);
}

/**
 * lug_lease_valid - tell whether tasks may run and start now
 * @lease: lease
 * @now_us: present time
 */
gboolean lug_lease_valid(const struct lug_lease *lease, gint64 now_us)
{
	return lease->step == STEP_HELD && lug_writer_valid(lease->writer, now_us);
}

/**
 * lug_lease_epoch - epoch of the lease, 0 while not held
 */
guint64 lug_lease_epoch(const struct lug_lease *lease)
{
	return lease->step == STEP_HELD ? lug_writer_epoch(lease->writer) : 0;
}

/**
 * lug_lease_release - give the lease up on a planned stop
 * @lease: lease of a worker on which nothing runs any more
 * @now_us: present time
 */
void lug_lease_release(struct lug_lease *lease, gint64 now_us)
{
	lug_writer_release(lease->writer, now_us);
}

/**
 * lug_lease_released - tell whether the lease has been given up
 */
gboolean lug_lease_released(const struct lug_lease *lease)
{
	return lease->step != STEP_HELD;
}

/**
 * lug_lease_set_charges - charges of service use by team, written at each renewal
 * @lease: lease
 * @charges: totals since the row was first written; a reference is taken
 */
void lug_lease_set_charges(struct lug_lease *lease, JsonObject *charges)
{
	json_object_ref(charges);
	g_clear_pointer(&lease->charges, json_object_unref);
	lease->charges = charges;
}

/**
 * lug_lease_charges - charges last read or set, NULL before the row was read
 */
JsonObject *lug_lease_charges(const struct lug_lease *lease)
{
	return lease->charges;
}

/**
 * lug_lease_renotify - tell the worker again, after it has forgotten its lease
 * @lease: lease
 */
void lug_lease_renotify(struct lug_lease *lease)
{
	lease->told_until_us = 0;
}
