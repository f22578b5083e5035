#include "workflow/gateway_priv.h"

#include <string.h>

/*
 * Time for an owner to answer a query or a cancellation, which takes one round trip. After it the
 * tables are read instead.
 */
#define OWNER_TIMEOUT_US (250 * 1000)
/* Interval at which a cancellation that is in the inbox is asked for again. */
#define CANCEL_RETRY_US (300 * 1000)
/* An owner counts as unreachable after three heartbeat intervals without a message from it. */
#define OWNER_SILENT_US (1500 * 1000)
/* Time for all owners to answer a count of pending jobs. */
#define PENDING_TIMEOUT_US (300 * 1000)
#define COUNT_UNKNOWN G_MAXUINT32

static gboolean send_heartbeat_to_owner(void *data, struct lug_peer *peer)
{
	struct lug_gateway *gateway = data;
	Lug__JobCall call = LUG__JOB_CALL__INIT;
	struct lug_route route;
	LUG_ENVELOPE(env, JOB_CALL, job_call, &call);

	call.has_kind = 1;
	call.kind = LUG_JOB_HEARTBEAT;
	lug_dial_route(peer->dial, &route);
	return lug_link_send(gateway->link, &route, &env);
}

/**
 * lug_gateway_new - create a gateway without calls
 * @ctx: context
 * @store: table service client; must be freed before the gateway
 * @link: inner connections
 * @shard_map: owners of all shards
 * @config: operators' configuration, whose version and age are logged with each submission
 */
struct lug_gateway *lug_gateway_new(struct lug_ctx *ctx, struct lug_store *store,
				    struct lug_link *link, struct lug_shard_map *shard_map,
				    const struct lug_config *config)
{
	struct lug_gateway *gateway = g_new0(struct lug_gateway, 1);
	char name[16];

	gateway->ctx = ctx;
	gateway->link = link;
	gateway->shard_map = shard_map;
	gateway->config = config;
	gateway->peers = lug_peers_new(ctx, link, send_heartbeat_to_owner, gateway);
	gateway->n_shards = lug_shard_map_count(shard_map);
	gateway->shard_stores = g_new0(struct lug_store *, gateway->n_shards);
	gateway->owner_failed_us = g_new0(gint64, gateway->n_shards);
	for (guint32 i = 0; i < gateway->n_shards; i++) {
		g_snprintf(name, sizeof(name), "%u", i);
		gateway->shard_stores[i] = lug_store_partition(store, name);
	}
	lug_list_init(&gateway->calls);
	return gateway;
}

/**
 * lug_gateway_free - release the gateway; pending calls are not answered
 * @gateway: may be NULL
 */
void lug_gateway_free(struct lug_gateway *gateway)
{
	if (!gateway)
		return;
	LUG_LIST_FOREACH_SAFE (&gateway->calls, pos, tmp)
		gateway_call_free(LUG_CONTAINER_OF(pos, struct gateway_call, node));
	for (guint32 i = 0; i < gateway->n_shards; i++)
		lug_store_free(gateway->shard_stores[i]);
	g_free(gateway->shard_stores);
	g_free(gateway->owner_failed_us);
	lug_peers_free(gateway->peers);
	g_free(gateway);
}

struct gateway_call *gateway_call_new(struct lug_gateway *gateway, enum lug_job_call_kind kind,
				      const char *job)
{
	struct gateway_call *call = g_new0(struct gateway_call, 1);

	call->gateway = gateway;
	call->id = ++gateway->last_id;
	call->kind = kind;
	call->job = g_strdup(job);
	call->shard = lug_workflow_shard(job, gateway->n_shards);
	lug_list_append(&gateway->calls, &call->node);
	return call;
}

void gateway_call_free(struct gateway_call *call)
{
	lug_list_remove(&call->node);
	lug_workflow_free(call->workflow);
	g_free(call->job);
	g_free(call->queue);
	g_free(call->body);
	g_free(call->counts);
	g_free(call);
}

/**
 * gateway_send_call - send a call to a shard's owner
 * @call: call
 * @shard: shard
 *
 * Return: FALSE when no owner is known or the call was not sent.
 */
gboolean gateway_send_call(struct gateway_call *call, guint32 shard)
{
	struct lug_gateway *gateway = call->gateway;
	const struct lug_shard_owner *shard_owner = lug_shard_map_owner(gateway->shard_map, shard);
	Lug__JobCall wire = LUG__JOB_CALL__INIT;
	struct lug_route route;
	struct lug_peer *peer;
	LUG_ENVELOPE(env, JOB_CALL, job_call, &wire);

	if (!*shard_owner->address)
		return FALSE;
	peer = lug_peers_add(gateway->peers, shard_owner->address, LUG_PEER_ENTRY, lug_now_us());
	wire.has_id = 1;
	wire.id = call->id;
	wire.has_kind = 1;
	wire.kind = call->relay_in_flight ? LUG_JOB_STORE : call->kind;
	wire.has_shard = 1;
	wire.shard = shard;
	wire.job = call->job;
	wire.queue = call->queue;
	/*
	 * Without a version the owner reads the row itself. With schedule.overload it may have
	 * removed the row since the entry found it, and stores the body then.
	 */
	wire.body = call->version || call->relay_in_flight ||
				    call->gateway->ctx->settings->schedule_overload
			    ? call->body
			    : NULL;
	wire.has_version = 1;
	wire.version = call->version;
	lug_dial_route(peer->dial, &route);
	return lug_link_send(gateway->link, &route, &env);
}

/*
 * Sends a state query or a cancellation to the owner. The tables are read if there is no owner or
 * it is silent.
 */
static void ask_owner(struct gateway_call *call)
{
	call->answer_due_us = lug_now_us() + OWNER_TIMEOUT_US;
	if (!gateway_send_call(call, call->shard))
		gateway_read_tables(call);
}

/**
 * lug_gateway_state - query the state of a job
 * @gateway: gateway
 * @job: id
 * @fn: called once
 * @data: passed to @fn
 */
void lug_gateway_state(struct lug_gateway *gateway, const char *job, lug_gateway_state_fn fn,
		       void *data)
{
	struct gateway_call *call = gateway_call_new(gateway, LUG_JOB_STATE, job);

	call->state_fn = fn;
	call->data = data;
	ask_owner(call);
}

/**
 * lug_gateway_cancel - cancel a job
 * @gateway: gateway
 * @job: id
 * @deadline_us: time at which @fn is called at the latest, but for the time of a call to the tables
 * @fn: LUG_OK once the job has ended, and its runs are stopped or will be within
 *      cancel.within + cancel.stop; LUG_UNKNOWN when that has not come about by @deadline_us,
 *      LUG_NOT_FOUND when there is no such job, LUG_UNAVAILABLE when the tables can't be read or
 *      written
 * @data: passed to @fn
 */
void lug_gateway_cancel(struct lug_gateway *gateway, const char *job, gint64 deadline_us,
			lug_gateway_fn fn, void *data)
{
	struct gateway_call *call = gateway_call_new(gateway, LUG_JOB_CANCEL, job);

	call->fn = fn;
	call->data = data;
	call->deadline_us = deadline_us;
	ask_owner(call);
}

/**
 * gateway_await_cancel - wait for the owner to carry out a cancellation that is in the inbox
 *
 * The owner that has been asked answers then. Another one is asked in turn.
 */
void gateway_await_cancel(struct gateway_call *call)
{
	call->reading_tables = FALSE;
	call->answer_due_us = lug_now_us() + CANCEL_RETRY_US;
}

/**
 * lug_gateway_pending - count a queue's stored jobs without a task that a worker has started
 * @gateway: gateway
 * @queue: name of the queue
 * @fn: called once
 * @data: passed to @fn
 *
 * A count without all shards would tell that fewer jobs wait than do, so there is none then.
 */
void lug_gateway_pending(struct lug_gateway *gateway, const char *queue, lug_gateway_pending_fn fn,
			 void *data)
{
	struct gateway_call *call = gateway_call_new(gateway, LUG_JOB_PENDING, "");

	call->queue = g_strdup(queue);
	call->pending_fn = fn;
	call->data = data;
	call->counts = g_new0(guint32, gateway->n_shards);
	call->uncounted = gateway->n_shards;
	call->answer_due_us = lug_now_us() + PENDING_TIMEOUT_US;
	for (guint32 i = 0; i < gateway->n_shards; i++) {
		call->counts[i] = COUNT_UNKNOWN;
		gateway_send_call(call, i);
	}
}

static void finish_pending(struct gateway_call *call)
{
	guint32 sum = 0;

	for (guint32 i = 0; i < call->gateway->n_shards && !call->uncounted; i++)
		sum += call->counts[i];
	call->pending_fn(call->data, call->uncounted ? LUG_UNAVAILABLE : LUG_OK, sum);
	gateway_call_free(call);
}

/* An owner that has lost or not yet loaded the shard answers without a count. */
static void apply_count(struct gateway_call *call, const Lug__JobReply *reply)
{
	if (reply->status != LUG_OK || reply->shard >= call->gateway->n_shards ||
	    call->counts[reply->shard] != COUNT_UNKNOWN)
		return;
	call->counts[reply->shard] = reply->pending;
	if (!--call->uncounted)
		finish_pending(call);
}

static struct gateway_call *find_call(struct lug_gateway *gateway, guint64 id)
{
	LUG_LIST_FOREACH (&gateway->calls, pos) {
		struct gateway_call *call = LUG_CONTAINER_OF(pos, struct gateway_call, node);

		if (call->id == id)
			return call;
	}
	return NULL;
}

/**
 * gateway_finish_cancel - answer a cancellation
 * @call: cancellation, freed
 * @status: answer
 * @basis: what the answer is based on, for the log
 */
void gateway_finish_cancel(struct gateway_call *call, enum lug_status status, const char *basis)
{
	char shard[16];

	g_snprintf(shard, sizeof(shard), "%u", call->shard);
	lug_info(call->gateway->ctx, "cancellation_answered", "job", call->job, "shard", shard,
		 "status", lug_status_name(status), "basis", basis);
	call->fn(call->data, status);
	gateway_call_free(call);
}

static void apply_reply(struct gateway_call *call, const Lug__JobReply *reply)
{
	if (call->kind == LUG_JOB_PENDING) {
		apply_count(call, reply);
		return;
	}
	if (call->kind == LUG_JOB_NEW && call->relay_in_flight) {
		gateway_finish_relay(call, (enum lug_status)reply->status, reply->retry_after_ms);
		return;
	}
	/* Reply to the notification of a stored job. Without LUG_OK the notification is resent. */
	if (call->kind == LUG_JOB_NEW) {
		if (call->stored && reply->status == LUG_OK)
			gateway_call_free(call);
		return;
	}
	if (call->reading_tables)
		return;
	if (reply->status != LUG_OK) {
		gateway_read_tables(call);
		return;
	}
	if (call->kind == LUG_JOB_CANCEL) {
		gateway_finish_cancel(call, LUG_OK, "carried out by the owner");
		return;
	}
	if (call->kind == LUG_JOB_STATE)
		call->state_fn(call->data, LUG_OK, (enum lug_workflow_state)reply->state);
	gateway_call_free(call);
}

/**
 * lug_gateway_on_reply - handle an owner's reply
 * @gateway: gateway
 * @route: connection to the owner
 * @reply: reply; only its shard map is used when the call has ended
 * @now_us: current time
 */
void lug_gateway_on_reply(struct lug_gateway *gateway, const struct lug_route *route,
			  const Lug__JobReply *reply, gint64 now_us)
{
	struct gateway_call *call = reply->id ? find_call(gateway, reply->id) : NULL;

	lug_peers_on_message(gateway->peers, route, now_us);
	for (gsize i = 0; i < reply->n_owners; i++)
		lug_shard_map_update(gateway->shard_map, reply->owners[i]->shard,
				     reply->owners[i]->epoch,
				     reply->owners[i]->address ? reply->owners[i]->address : "");
	if (call)
		apply_reply(call, reply);
}

static void tick_call(struct gateway_call *call, gint64 now_us)
{
	if (call->kind == LUG_JOB_NEW) {
		gateway_submit_tick(call, now_us);
		return;
	}
	if (call->reading_tables)
		return;
	if (call->kind == LUG_JOB_CANCEL && now_us >= call->deadline_us) {
		/* It is carried out also if the client does not return. */
		if (call->cancel_stored)
			gateway_finish_cancel(call, LUG_UNKNOWN,
					      "not known to be carried out in time");
		else
			gateway_read_tables(call);
		return;
	}
	if (!call->answer_due_us || now_us < call->answer_due_us)
		return;
	if (call->kind == LUG_JOB_PENDING)
		finish_pending(call);
	else if (!call->cancel_stored)
		gateway_read_tables(call);
	else {
		gateway_await_cancel(call);
		gateway_send_call(call, call->shard);
	}
}

/**
 * lug_gateway_reaches_owners - check that the owners of all shards were heard from recently
 * @gateway: gateway
 * @now_us: current time
 */
gboolean lug_gateway_reaches_owners(const struct lug_gateway *gateway, gint64 now_us)
{
	for (guint32 i = 0; i < gateway->n_shards; i++) {
		const struct lug_shard_owner *shard_owner =
			lug_shard_map_owner(gateway->shard_map, i);
		const struct lug_peer *peer =
			*shard_owner->address ? lug_peers_find(gateway->peers, shard_owner->address)
					      : NULL;

		if (!peer || now_us - peer->heard_us > OWNER_SILENT_US)
			return FALSE;
	}
	return TRUE;
}

/**
 * lug_gateway_tick - maintain connections to owners, retry and expire calls
 * @gateway: gateway
 * @now_us: current time
 */
void lug_gateway_tick(struct lug_gateway *gateway, gint64 now_us)
{
	for (guint32 i = 0; i < gateway->n_shards; i++) {
		const struct lug_shard_owner *shard_owner =
			lug_shard_map_owner(gateway->shard_map, i);

		if (*shard_owner->address)
			lug_peers_add(gateway->peers, shard_owner->address, LUG_PEER_ENTRY, now_us);
	}
	lug_peers_tick(gateway->peers, now_us);
	LUG_LIST_FOREACH_SAFE (&gateway->calls, pos, tmp)
		tick_call(LUG_CONTAINER_OF(pos, struct gateway_call, node), now_us);
}
