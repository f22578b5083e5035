#include "workflow/gateway.h"

/*
 * Where to send the reply to call @id once the job's change is committed. @shard and @job are those
 * of a job to store, else NULL.
 */
struct deferred_reply {
	struct lug_shard *shard;
	char *job;
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

static void on_committed(void *data, enum lug_status status)
{
	struct deferred_reply *deferred = data;
	Lug__JobReply reply = LUG__JOB_REPLY__INIT;

	reply.has_status = 1;
	reply.status = (guint32)status;
	if (status == LUG_OVER_LIMIT && deferred->job) {
		reply.has_retry_after_ms = 1;
		reply.retry_after_ms =
			(guint32)lug_shard_retry_after_ms(deferred->shard, deferred->job);
	}
	send_reply(deferred->link, &deferred->route, deferred->id, &reply);
	g_free(deferred->job);
	g_free(deferred);
}

static void cancel_job(struct lug_link *link, const struct lug_route *route,
		       const Lug__JobCall *call, struct lug_shard *shard, gint64 now_us)
{
	struct deferred_reply *deferred = g_new0(struct deferred_reply, 1);
	Lug__JobReply reply = LUG__JOB_REPLY__INIT;

	deferred->link = link;
	deferred->route = *route;
	deferred->id = call->id;
	if (lug_shard_cancel_job(shard, call->job, on_committed, deferred, now_us))
		return;
	g_free(deferred);
	reply.has_status = 1;
	reply.status = LUG_NOT_FOUND;
	send_reply(link, route, call->id, &reply);
}

static void store_job(struct lug_link *link, const struct lug_route *route,
		      const Lug__JobCall *call, struct lug_shard *shard, gint64 now_us)
{
	struct deferred_reply *deferred = g_new0(struct deferred_reply, 1);

	deferred->link = link;
	deferred->route = *route;
	deferred->id = call->id;
	deferred->shard = shard;
	deferred->job = g_strdup(call->job);
	lug_shard_store_job(shard, call->job, call->body ? call->body : "", on_committed, deferred,
			    now_us);
}

/*
 * Sends the shard map, so that an entry without access to the table service finds owners to which
 * it has no connection yet.
 */
static void send_shard_map(struct lug_link *link, const struct lug_route *route,
			   const struct lug_shard_map *shard_map, Lug__JobReply *reply)
{
	guint32 n = lug_shard_map_count(shard_map);
	Lug__ShardOwner *owners = g_new0(Lug__ShardOwner, n);

	reply->owners = g_new0(Lug__ShardOwner *, n);
	for (guint32 i = 0; i < n; i++) {
		const struct lug_shard_owner *shard_owner = lug_shard_map_owner(shard_map, i);
		Lug__ShardOwner *owner = &owners[reply->n_owners];

		if (!*shard_owner->address)
			continue;
		lug__shard_owner__init(owner);
		owner->has_shard = 1;
		owner->shard = i;
		owner->has_epoch = 1;
		owner->epoch = shard_owner->epoch;
		owner->address = shard_owner->address;
		reply->owners[reply->n_owners++] = owner;
	}
	send_reply(link, route, 0, reply);
	g_free(reply->owners);
	g_free(owners);
}

/**
 * lug_shard_on_job_call - answer an entry's call on behalf of the shard's owner
 * @link: inner connections
 * @route: connection to the entry
 * @call: call
 * @shard_map: owners of all shards
 * @shard: shard, NULL when this process does not own it or has not loaded it yet
 * @now_us: current time
 */
void lug_shard_on_job_call(struct lug_link *link, const struct lug_route *route,
			   const Lug__JobCall *call, const struct lug_shard_map *shard_map,
			   struct lug_shard *shard, gint64 now_us)
{
	Lug__JobReply reply = LUG__JOB_REPLY__INIT;

	reply.has_status = 1;
	reply.status = LUG_OK;
	reply.has_shard = 1;
	reply.shard = call->shard;
	if (call->kind == LUG_JOB_HEARTBEAT) {
		send_shard_map(link, route, shard_map, &reply);
		return;
	}
	if (!shard || !call->job) {
		reply.status = LUG_FENCED;
		send_reply(link, route, call->id, &reply);
		return;
	}
	switch (call->kind) {
	case LUG_JOB_NEW:
		lug_shard_add_stored_job(shard, call->job, call->body ? call->body : "",
					 call->version, now_us);
		/* The entry repeats the notification. */
		if (!lug_shard_is_release_stored(shard, call->job))
			reply.status = LUG_UNAVAILABLE;
		break;
	case LUG_JOB_STATE:
		reply.has_state = 1;
		reply.state = lug_shard_job_state(shard, call->job);
		if (reply.state == LUG_WORKFLOW_UNKNOWN)
			reply.status = LUG_NOT_FOUND;
		break;
	case LUG_JOB_PENDING:
		reply.has_pending = 1;
		reply.pending = lug_shard_pending_jobs(shard, call->queue ? call->queue : "");
		break;
	case LUG_JOB_CANCEL:
		cancel_job(link, route, call, shard, now_us);
		return;
	case LUG_JOB_STORE:
		store_job(link, route, call, shard, now_us);
		return;
	default:
		reply.status = LUG_PROTOCOL;
	}
	send_reply(link, route, call->id, &reply);
}
