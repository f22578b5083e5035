#include "workflow/gateway_priv.h"

#include <string.h>

/* An owner that answers does so within two hops; later the table is read instead. */
#define OWNER_WAIT_US (250 * 1000)
/* Three beats. */
#define OWNER_SILENT_US (1500 * 1000)
/* A question about a queue waits this long for slow owners. */
#define PENDING_WAIT_US (300 * 1000)

static gboolean send_hello(void *data, struct lug_peer *peer)
{
	struct lug_gateway *front = data;
	Lug__JobCall call = LUG__JOB_CALL__INIT;
	struct lug_route route;
	LUG_ENVELOPE(env, JOB_CALL, job_call, &call);

	call.has_kind = 1;
	call.kind = LUG_JOB_HELLO;
	lug_dial_route(peer->dial, &route);
	return lug_link_send(front->link, &route, &env);
}

/**
 * lug_gateway_new - start with no calls
 * @ctx: context
 * @store: table service client; must be freed before the front
 * @link: inner connections
 * @map: owners of all shards
 */
struct lug_gateway *lug_gateway_new(struct lug_ctx *ctx, struct lug_store *store,
				    struct lug_link *link, struct lug_shard_map *map)
{
	struct lug_gateway *front = g_new0(struct lug_gateway, 1);
	char name[16];

	front->ctx = ctx;
	front->link = link;
	front->map = map;
	front->peers = lug_peers_new(ctx, link, send_hello, front);
	front->n = lug_shard_map_shards(map);
	front->parts = g_new0(struct lug_store *, front->n);
	front->owner_bad_us = g_new0(gint64, front->n);
	for (guint32 i = 0; i < front->n; i++) {
		g_snprintf(name, sizeof(name), "%u", i);
		front->parts[i] = lug_store_part(store, name);
	}
	lug_list_init(&front->calls);
	return front;
}

/**
 * lug_gateway_free - release the front; calls that wait are not answered
 * @front: may be NULL
 */
void lug_gateway_free(struct lug_gateway *front)
{
	if (!front)
		return;
	LUG_LIST_FOREACH_SAFE (&front->calls, pos, tmp)
		gateway_call_free(LUG_CONTAINER_OF(pos, struct gateway_call, node));
	for (guint32 i = 0; i < front->n; i++)
		lug_store_free(front->parts[i]);
	g_free(front->parts);
	g_free(front->owner_bad_us);
	lug_peers_free(front->peers);
	g_free(front);
}

struct gateway_call *gateway_call_new(struct lug_gateway *front, enum lug_job_call_kind kind,
				      const char *job)
{
	struct gateway_call *call = g_new0(struct gateway_call, 1);

	call->gateway = front;
	call->id = ++front->next_id;
	call->kind = kind;
	call->job = g_strdup(job);
	call->shard = lug_workflow_shard(job, front->n);
	lug_list_append(&front->calls, &call->node);
	return call;
}

void gateway_call_free(struct gateway_call *call)
{
	lug_list_remove(&call->node);
	lug_workflow_free(call->flow);
	g_free(call->job);
	g_free(call->queue);
	g_free(call->body);
	g_free(call->counts);
	g_free(call);
}

/**
 * gateway_send - send a call to a shard's owner
 *
 * Return: FALSE when no owner is known or the call was certainly not sent.
 */
gboolean gateway_send(struct gateway_call *call, guint32 shard)
{
	struct lug_gateway *front = call->gateway;
	const struct lug_shard_owner *place = lug_shard_map_owner(front->map, shard);
	Lug__JobCall wire = LUG__JOB_CALL__INIT;
	struct lug_route route;
	struct lug_peer *peer;
	LUG_ENVELOPE(env, JOB_CALL, job_call, &wire);

	if (!*place->address)
		return FALSE;
	peer = lug_peers_add(front->peers, place->address, LUG_PEER_ENTRY, lug_now_us());
	wire.has_id = 1;
	wire.id = call->id;
	wire.has_kind = 1;
	wire.kind = call->relaying ? LUG_JOB_STORE : call->kind;
	wire.has_shard = 1;
	wire.shard = shard;
	wire.job = call->job;
	wire.queue = call->queue;
	wire.body = call->version || call->relaying ? call->body : NULL;
	wire.has_version = 1;
	wire.version = call->version;
	lug_dial_route(peer->dial, &route);
	return lug_link_send(front->link, &route, &env);
}

/* Asks the owner; the table answers when there is none, or when it is silent. */
static void ask_owner(struct gateway_call *call)
{
	call->asked_until_us = lug_now_us() + OWNER_WAIT_US;
	if (!gateway_send(call, call->shard))
		gateway_ask_table(call);
}

/**
 * lug_gateway_state - tell a job's state
 * @front: front
 * @job: id
 * @fn: called once
 * @data: passed to @fn
 */
void lug_gateway_state(struct lug_gateway *front, const char *job, lug_gateway_state_fn fn,
		       void *data)
{
	struct gateway_call *call = gateway_call_new(front, LUG_JOB_STATE, job);

	call->state_fn = fn;
	call->data = data;
	ask_owner(call);
}

/**
 * lug_gateway_cancel - cancel a job
 * @front: front
 * @job: id
 * @fn: LUG_OK once the cancellation is stored, LUG_NOT_FOUND when there is no such job
 * @data: passed to @fn
 */
void lug_gateway_cancel(struct lug_gateway *front, const char *job, lug_gateway_fn fn, void *data)
{
	struct gateway_call *call = gateway_call_new(front, LUG_JOB_CANCEL, job);

	call->fn = fn;
	call->data = data;
	ask_owner(call);
}

/**
 * lug_gateway_pending - count a queue's accepted jobs of which no task has started
 * @front: front
 * @queue: queue's name
 * @fn: called once
 * @data: passed to @fn
 */
void lug_gateway_pending(struct lug_gateway *front, const char *queue, lug_gateway_pending_fn fn,
			 void *data)
{
	struct gateway_call *call = gateway_call_new(front, LUG_JOB_PENDING, "");

	call->queue = g_strdup(queue);
	call->pending_fn = fn;
	call->data = data;
	call->counts = g_new0(guint32, front->n);
	call->missing = 0;
	call->asked_until_us = lug_now_us() + PENDING_WAIT_US;
	for (guint32 i = 0; i < front->n; i++)
		call->missing += gateway_send(call, i);
}

static void end_pending(struct gateway_call *call)
{
	guint32 sum = 0;

	for (guint32 i = 0; i < call->gateway->n; i++)
		sum += call->counts[i];
	call->pending_fn(call->data, sum);
	gateway_call_free(call);
}

static struct gateway_call *find_call(struct lug_gateway *front, guint64 id)
{
	LUG_LIST_FOREACH (&front->calls, pos) {
		struct gateway_call *call = LUG_CONTAINER_OF(pos, struct gateway_call, node);

		if (call->id == id)
			return call;
	}
	return NULL;
}

static void take_reply(struct gateway_call *call, const Lug__JobReply *reply)
{
	if (call->kind == LUG_JOB_PENDING) {
		if (reply->shard < call->gateway->n)
			call->counts[reply->shard] = reply->pending;
		if (!--call->missing)
			end_pending(call);
		return;
	}
	if (call->kind == LUG_JOB_NEW && call->relaying) {
		gateway_relayed(call, (enum lug_status)reply->status);
		return;
	}
	if (call->kind == LUG_JOB_NEW) {
		if (call->stored && reply->status == LUG_OK)
			gateway_call_free(call);
		return;
	}
	if (call->in_table)
		return;
	if (reply->status != LUG_OK) {
		gateway_ask_table(call);
		return;
	}
	if (call->kind == LUG_JOB_STATE)
		call->state_fn(call->data, LUG_OK, (enum lug_workflow_state)reply->state);
	else if (call->kind == LUG_JOB_CANCEL)
		call->fn(call->data, LUG_OK);
	gateway_call_free(call);
}

/**
 * lug_gateway_reply - take an owner's reply in
 */
void lug_gateway_reply(struct lug_gateway *front, const struct lug_route *route,
		       const Lug__JobReply *reply, gint64 now_us)
{
	struct gateway_call *call = reply->id ? find_call(front, reply->id) : NULL;

	lug_peers_heard(front->peers, route, now_us);
	for (gsize i = 0; i < reply->n_owners; i++)
		lug_shard_map_update(front->map, reply->owners[i]->shard, reply->owners[i]->epoch,
				     reply->owners[i]->address ? reply->owners[i]->address : "");
	if (call)
		take_reply(call, reply);
}

static void expire(struct gateway_call *call, gint64 now_us)
{
	if (call->kind == LUG_JOB_NEW) {
		gateway_submit_tick(call, now_us);
		return;
	}
	if (!call->asked_until_us || now_us < call->asked_until_us || call->in_table)
		return;
	if (call->kind == LUG_JOB_PENDING)
		end_pending(call);
	else
		gateway_ask_table(call);
}

/**
 * lug_gateway_reaches_owners - tell whether every shard's owner was heard lately
 */
gboolean lug_gateway_reaches_owners(const struct lug_gateway *front, gint64 now_us)
{
	for (guint32 i = 0; i < front->n; i++) {
		const struct lug_shard_owner *place = lug_shard_map_owner(front->map, i);
		const struct lug_peer *peer =
			*place->address ? lug_peers_find(front->peers, place->address) : NULL;

		if (!peer || now_us - peer->heard_us > OWNER_SILENT_US)
			return FALSE;
	}
	return TRUE;
}

/**
 * lug_gateway_tick - keep connections to owners, expire calls
 */
void lug_gateway_tick(struct lug_gateway *front, gint64 now_us)
{
	for (guint32 i = 0; i < front->n; i++) {
		const struct lug_shard_owner *place = lug_shard_map_owner(front->map, i);

		if (*place->address)
			lug_peers_add(front->peers, place->address, LUG_PEER_ENTRY, now_us);
	}
	lug_peers_tick(front->peers, now_us);
	LUG_LIST_FOREACH_SAFE (&front->calls, pos, tmp)
		expire(LUG_CONTAINER_OF(pos, struct gateway_call, node), now_us);
}
