#include "workflow/gateway.h"

struct reply_to {
	struct lug_link *link;
	struct lug_route route;
	guint64 id;
};

static void send_reply(struct lug_link *link, const struct lug_route *route, guint64 id,
		       Lug__JobReply *reply)
{
	LUG_ENVELOPE(env, JOB_REPLY, job_reply, reply);

	reply->has_id = 1;
	reply->id = id;
	lug_link_send(link, route, &env);
}

static void on_settled(void *data, enum lug_status status)
{
	struct reply_to *to = data;
	Lug__JobReply reply = LUG__JOB_REPLY__INIT;

	reply.has_status = 1;
	reply.status = (guint32)status;
	send_reply(to->link, &to->route, to->id, &reply);
	g_free(to);
}

static void cancel(struct lug_link *link, const struct lug_route *route, const Lug__JobCall *call,
		   struct lug_shard *shard, gint64 now_us)
{
	struct reply_to *to = g_new0(struct reply_to, 1);
	Lug__JobReply reply = LUG__JOB_REPLY__INIT;

	to->link = link;
	to->route = *route;
	to->id = call->id;
	if (lug_shard_cancel(shard, call->job, on_settled, to, now_us))
		return;
	g_free(to);
	reply.has_status = 1;
	reply.status = LUG_NOT_FOUND;
	send_reply(link, route, call->id, &reply);
}

static void store(struct lug_link *link, const struct lug_route *route, const Lug__JobCall *call,
		  struct lug_shard *shard, gint64 now_us)
{
	struct reply_to *to = g_new0(struct reply_to, 1);

	to->link = link;
	to->route = *route;
	to->id = call->id;
	lug_shard_store(shard, call->job, call->body ? call->body : "", on_settled, to, now_us);
}

/*
 * Says who owns which shard, so that an entry which the table service turns away learns of
 * owners that it has not met.
 */
static void greet(struct lug_link *link, const struct lug_route *route,
		  const struct lug_shard_map *map, Lug__JobReply *reply)
{
	guint32 n = lug_shard_map_shards(map);
	Lug__ShardOwner *owners = g_new0(Lug__ShardOwner, n);

	reply->owners = g_new0(Lug__ShardOwner *, n);
	for (guint32 i = 0; i < n; i++) {
		const struct lug_shard_owner *place = lug_shard_map_owner(map, i);
		Lug__ShardOwner *owner = &owners[reply->n_owners];

		if (!*place->address)
			continue;
		lug__shard_owner__init(owner);
		owner->has_shard = 1;
		owner->shard = i;
		owner->has_epoch = 1;
		owner->epoch = place->epoch;
		owner->address = place->address;
		reply->owners[reply->n_owners++] = owner;
	}
	send_reply(link, route, 0, reply);
	g_free(reply->owners);
	g_free(owners);
}

/**
 * lug_gateway_answer - answer an entry's call in the process that owns the shard
 * @link: inner connections
 * @route: where the answer goes
 * @call: call
 * @map: owners of all shards
 * @shard: shard, NULL when this process does not own it or has not read it yet
 * @now_us: present time
 */
void lug_gateway_answer(struct lug_link *link, const struct lug_route *route,
			const Lug__JobCall *call, const struct lug_shard_map *map,
			struct lug_shard *shard, gint64 now_us)
{
	Lug__JobReply reply = LUG__JOB_REPLY__INIT;

	reply.has_status = 1;
	reply.status = LUG_OK;
	reply.has_shard = 1;
	reply.shard = call->shard;
	if (call->kind == LUG_JOB_HELLO) {
		greet(link, route, map, &reply);
		return;
	}
	if (!shard || !call->job) {
		reply.status = LUG_FENCED;
		send_reply(link, route, call->id, &reply);
		return;
	}
	switch (call->kind) {
	case LUG_JOB_NEW:
		lug_shard_submit(shard, call->job, call->body ? call->body : "", call->version,
				 now_us);
		break;
	case LUG_JOB_STATE:
		reply.has_state = 1;
		reply.state = lug_shard_state(shard, call->job);
		if (reply.state == LUG_WORKFLOW_UNKNOWN)
			reply.status = LUG_NOT_FOUND;
		break;
	case LUG_JOB_PENDING:
		reply.has_pending = 1;
		reply.pending = lug_shard_pending(shard, call->queue ? call->queue : "");
		break;
	case LUG_JOB_CANCEL:
		cancel(link, route, call, shard, now_us);
		return;
	case LUG_JOB_STORE:
		store(link, route, call, shard, now_us);
		return;
	default:
		reply.status = LUG_PROTOCOL;
	}
	send_reply(link, route, call->id, &reply);
}
