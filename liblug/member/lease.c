#include "member/lease.h"

#include <string.h>

#define WORKER_TIMEOUT_MS 2000
#define RETRY_DELAY_US (300 * 1000)

/* Progress of the agent towards its lease: the call due next, or the state reached. */
enum lease_step {
	STEP_READ_WORKER_STATE,
	STEP_READ_ROW,
	STEP_KILL_TASKS,
	STEP_TAKE,
	STEP_HELD,
	STEP_RELEASED,
	STEP_SUPERSEDED,
};

/**
 * struct lug_lease - lease of one worker
 * @ctx: context; the row's key is the daemon's name
 * @store: table service client, not owned
 * @worker: client of the worker's interface, not owned
 * @hooks: callbacks
 * @writer: writer of the lease's row
 * @step: progress towards the lease
 * @call_in_progress: the call of @step has not been answered yet
 * @held_once: this process has held the lease
 * @retry_at_us: time before which no step runs
 * @last_row: the lease's row as last read
 * @notified_until_us: expiry time last sent to the worker, 0 to send it again
 * @notifying: the worker has not answered the notification yet
 * @usage: total usage by team, see lug_usage_update(); NULL if there is none
 */
struct lug_lease {
	struct lug_ctx *ctx;
	struct lug_store *store;
	struct lug_http *worker;
	struct lug_lease_hooks hooks;
	struct lug_writer *writer;
	enum lease_step step;
	gboolean call_in_progress;
	gboolean held_once;
	gint64 retry_at_us;
	struct lug_row last_row;
	gint64 notified_until_us;
	gboolean notifying;
	JsonObject *usage;
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
	json_object_set_int_member(row, "memory_bytes", capacity.memory_bytes);
	json_object_set_int_member(row, "accelerators", capacity.accelerators);
	if (lease->usage)
		json_object_set_object_member(row, "charges", json_object_ref(lease->usage));
}

static void on_writer_event(void *data, enum lug_writer_event event)
{
	struct lug_lease *lease = data;

	switch (event) {
	case LUG_WRITER_TAKEN:
		lease->step = STEP_HELD;
		lease->held_once = TRUE;
		lease->notified_until_us = 0;
		lease->hooks.taken(lease->hooks.data);
		return;
	case LUG_WRITER_RELEASED:
		lease->step = STEP_RELEASED;
		return;
	case LUG_WRITER_NOT_HELD:
		lease->step = STEP_READ_ROW;
		lease->call_in_progress = FALSE;
		return;
	}
}

/**
 * lug_lease_new - create a worker's lease, which lug_lease_tick() takes
 * @ctx: context; the row's key is the daemon's name, which is also that of the worker
 * @store: table service client, freed before the lease
 * @worker: client of the worker's interface, freed before the lease
 * @hooks: callbacks, copied
 */
struct lug_lease *lug_lease_new(struct lug_ctx *ctx, struct lug_store *store,
				struct lug_http *worker, const struct lug_lease_hooks *hooks)
{
	struct lug_lease *lease = g_new0(struct lug_lease, 1);
	struct lug_writer_config config = {
		.table = "worker",
		.key = ctx->settings->name,
		.ttl_ms = ctx->settings->worker_lease_ms,
		.fill_row = fill_row,
		.on_event = on_writer_event,
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
 * lug_lease_free - free a lease without releasing its row
 * @lease: lease, may be NULL; the store and the worker's client must be freed first
 */
void lug_lease_free(struct lug_lease *lease)
{
	if (!lease)
		return;
	lug_writer_free(lease->writer);
	g_clear_pointer(&lease->last_row.data, json_object_unref);
	g_clear_pointer(&lease->usage, json_object_unref);
	g_free(lease);
}

static void retry_later(struct lug_lease *lease)
{
	lease->call_in_progress = FALSE;
	lease->retry_at_us = lug_now_us() + lug_jitter(lease->ctx->rng, RETRY_DELAY_US);
}

static void on_worker_state(void *data, const struct lug_http_answer *answer)
{
	struct lug_lease *lease = data;
	JsonObject *state = NULL;

	if (answer->http_status == 200)
		state = lug_json_parse(answer->body, (gssize)answer->len, NULL);
	if (!state) {
		retry_later(lease);
		return;
	}
	lease->hooks.worker_state(lease->hooks.data, state);
	json_object_unref(state);
	lease->step = STEP_READ_ROW;
	lease->call_in_progress = FALSE;
}

static void read_worker_state(struct lug_lease *lease)
{
	struct lug_http_request call = {
		.method = "GET", .path = "/v1/state", .timeout_ms = WORKER_TIMEOUT_MS};

	lease->call_in_progress = TRUE;
	lug_http_send(lease->worker, &call, on_worker_state, lease);
}

/*
 * Whether this process has held the lease and, according to the row, another incarnation holds it.
 */
static gboolean is_superseded(const struct lug_lease *lease)
{
	char own_incarnation[24];

	g_snprintf(own_incarnation, sizeof(own_incarnation), "%" G_GINT64_MODIFIER "x",
		   lease->ctx->incarnation);
	return lease->held_once && *lug_json_str(lease->last_row.data, "owner", "") &&
	       strcmp(lug_json_str(lease->last_row.data, "incarnation", ""), own_incarnation) != 0;
}

/* Adopts the usage stored by the previous holder unless it was set already. */
static void load_usage(struct lug_lease *lease)
{
	JsonObject *usage = lug_json_obj(lease->last_row.data, "charges");

	if (!lease->usage && usage)
		lease->usage = json_object_ref(usage);
}

static void on_row(void *data, enum lug_status status, const struct lug_row *rows, guint n_rows,
		   gboolean more)
{
	struct lug_lease *lease = data;
	/* The scan is by prefix, so its first row may have another key. */
	gboolean found = n_rows && !strcmp(rows[0].key, lease->ctx->settings->name);

	(void)more;
	if (status != LUG_OK) {
		retry_later(lease);
		return;
	}
	lease->call_in_progress = FALSE;
	g_clear_pointer(&lease->last_row.data, json_object_unref);
	lease->last_row.version = found ? rows[0].version : 0;
	lease->last_row.data = found && rows[0].data ? json_object_ref(rows[0].data) : NULL;
	if (is_superseded(lease)) {
		lease->step = STEP_SUPERSEDED;
		lease->hooks.superseded(lease->hooks.data);
		return;
	}
	load_usage(lease);
	/* A row that can't be decoded may be that of a fenced lease. */
	if (!strcmp(lug_json_str(lease->last_row.data, "state", ""), "fenced") ||
	    (lease->last_row.version && !lease->last_row.data))
		lease->step = STEP_KILL_TASKS;
	else
		lease->step = STEP_TAKE;
}

static void read_row(struct lug_lease *lease)
{
	lease->call_in_progress = TRUE;
	lug_store_scan(lease->store, "worker", lease->ctx->settings->name, NULL, 1, on_row, lease);
}

static void on_tasks_killed(void *data, const struct lug_http_answer *answer)
{
	struct lug_lease *lease = data;

	if (answer->http_status != 200) {
		retry_later(lease);
		return;
	}
	lease->call_in_progress = FALSE;
	lease->step = STEP_TAKE;
	lease->hooks.tasks_killed(lease->hooks.data);
}

/*
 * The expired lease was fenced, so the worker's tasks may have been started elsewhere. The epoch
 * sent is the one that this agent gets when it takes the lease.
 */
static void kill_tasks(struct lug_lease *lease)
{
	char body[96];
	struct lug_http_request call = {.method = "POST",
					.path = "/v1/kill",
					.content_type = "application/json",
					.body = body,
					.timeout_ms = WORKER_TIMEOUT_MS};

	g_snprintf(body, sizeof(body), "{\"epoch\":%" G_GUINT64_FORMAT "}",
		   lug_writer_row_epoch(&lease->last_row) + 1);
	call.len = strlen(body);
	lease->call_in_progress = TRUE;
	lug_http_send(lease->worker, &call, on_tasks_killed, lease);
}

static void on_worker_notified(void *data, const struct lug_http_answer *answer)
{
	struct lug_lease *lease = data;

	lease->notifying = FALSE;
	if (answer->http_status != 200)
		lease->notified_until_us = 0;
}

static void notify_worker(struct lug_lease *lease)
{
	gint64 until_us = lug_writer_valid_until_us(lease->writer);
	char body[128];
	struct lug_http_request call = {.method = "POST",
					.path = "/v1/lease",
					.content_type = "application/json",
					.body = body,
					.timeout_ms = WORKER_TIMEOUT_MS};

	if (lease->notifying || until_us == lease->notified_until_us)
		return;
	g_snprintf(body, sizeof(body),
		   "{\"epoch\":%" G_GUINT64_FORMAT ",\"until_us\":%" G_GINT64_FORMAT "}",
		   lug_writer_epoch(lease->writer), until_us);
	call.len = strlen(body);
	lease->notifying = TRUE;
	lease->notified_until_us = until_us;
	lug_http_send(lease->worker, &call, on_worker_notified, lease);
}

static void run_step(struct lug_lease *lease, gint64 now_us)
{
	switch (lease->step) {
	case STEP_READ_WORKER_STATE:
		read_worker_state(lease);
		return;
	case STEP_READ_ROW:
		read_row(lease);
		return;
	case STEP_KILL_TASKS:
		kill_tasks(lease);
		return;
	case STEP_TAKE:
		lease->call_in_progress = TRUE;
		lug_writer_take(lease->writer, &lease->last_row, now_us);
		return;
	case STEP_HELD:
		notify_worker(lease);
		return;
	case STEP_RELEASED:
	case STEP_SUPERSEDED:
		return;
	}
}

/**
 * lug_lease_tick - do the next step towards the lease, or renew it and send the worker
 * its expiry time
 * @lease: lease
 * @now_us: current time
 */
void lug_lease_tick(struct lug_lease *lease, gint64 now_us)
{
	lug_writer_tick(lease->writer, now_us);
	/* The call of STEP_TAKE has ended. */
	if (lease->step == STEP_HELD)
		lease->call_in_progress = FALSE;
	if (lease->call_in_progress || now_us < lease->retry_at_us)
		return;
	run_step(lease, now_us);
}

/**
 * lug_lease_is_valid - whether the lease is valid, so that tasks may start and run
 * @lease: lease
 * @now_us: current time
 */
gboolean lug_lease_is_valid(const struct lug_lease *lease, gint64 now_us)
{
	return lease->step == STEP_HELD && lug_writer_is_valid(lease->writer, now_us);
}

/**
 * lug_lease_epoch - epoch of the lease, 0 while it is not held
 * @lease: lease
 */
guint64 lug_lease_epoch(const struct lug_lease *lease)
{
	return lease->step == STEP_HELD ? lug_writer_epoch(lease->writer) : 0;
}

/**
 * lug_lease_release - release the lease for a planned stop
 * @lease: lease of a worker without running tasks
 * @now_us: current time
 */
void lug_lease_release(struct lug_lease *lease, gint64 now_us)
{
	lug_writer_release(lease->writer, now_us);
}

/**
 * lug_lease_is_not_held - whether the lease is not held: not taken yet, lost, released or
 * superseded
 * @lease: lease
 */
gboolean lug_lease_is_not_held(const struct lug_lease *lease)
{
	return lease->step != STEP_HELD;
}

/**
 * lug_lease_set_usage - set the usage by team, which each write of the row includes
 * @lease: lease
 * @usage: usage by team since the row was first written; the lease takes a reference
 */
void lug_lease_set_usage(struct lug_lease *lease, JsonObject *usage)
{
	json_object_ref(usage);
	g_clear_pointer(&lease->usage, json_object_unref);
	lease->usage = usage;
}

/**
 * lug_lease_usage - usage last read or set, NULL if there is none
 * @lease: lease, which keeps the reference
 */
JsonObject *lug_lease_usage(const struct lug_lease *lease)
{
	return lease->usage;
}

/**
 * lug_lease_resend - make the next tick send the expiry time to the worker again
 * @lease: lease of a worker that has restarted
 */
void lug_lease_resend(struct lug_lease *lease)
{
	lease->notified_until_us = 0;
}
