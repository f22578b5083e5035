#include "job/owner_priv.h"

#include <string.h>

#include "team/share.h"
#include "wire/pack.h"

/* Maximum number of tasks started for one offer. */
#define STARTS_PER_OFFER_MAX 16
/* The capacity of a worker divided by this is reserved for urgent tasks and short kinds. */
#define SHORT_RESERVE_DIVISOR 10
#define WANT_INTERVAL_US (300 * 1000)
#define WANT_AGENTS_MIN 4
/*
 * At most this many wants of a round go to agents without free room, and only if too few agents
 * have free room. Such an agent then already knows the competing queues when its room becomes free.
 */
#define WANT_AGENTS_WITHOUT_ROOM_MAX 8
#define RESEND_INTERVAL_US (1000 * 1000)
/* Reported room counts as current if the agent was heard from at most this long ago. */
#define ROOM_FRESH_US (600 * 1000)
/* Delay of the next attempt after a failed claim or a refused start. */
#define CLAIM_RETRY_US (100 * 1000)

static struct lug_resources team_headroom(const struct lug_owner *owner)
{
	const struct lug_team *team =
		lug_limits_find(lug_sync_limits(owner->env.sync), owner->team);
	struct lug_resources use = lug_queue_usage(owner->queue);
	struct lug_resources room = {0};

	if (!team)
		return room;
	room = team->limit;
	lug_resources_sub(&room, &use);
	return room;
}

static struct lug_resources total_capacity(const struct lug_owner *owner)
{
	GPtrArray *agents = lug_registry_agents(owner->env.registry);
	struct lug_resources capacity = {0};

	for (guint i = 0; i < agents->len; i++) {
		const struct lug_agent *agent = g_ptr_array_index(agents, i);

		lug_resources_add(&capacity, &agent->capacity);
	}
	return capacity;
}

static void fill_want(struct lug_owner *owner, const struct lug_demand *demand, Lug__Want *want,
		      Lug__Resources *smallest, Lug__Resources *largest)
{
	const struct lug_team *team =
		lug_limits_find(lug_sync_limits(owner->env.sync), owner->team);
	struct lug_resources use = lug_queue_usage(owner->queue);
	struct lug_resources capacity = total_capacity(owner);

	lug__want__init(want);
	lug_pack_resources(smallest, &demand->smallest);
	lug_pack_resources(largest, &demand->largest);
	want->queue = owner->team;
	LUG_SET(want, epoch, lug_writer_epoch(owner->writer));
	want->address = owner->env.ctx->settings->advertise;
	LUG_SET(want, pending, demand->pending);
	want->smallest = smallest;
	want->largest = largest;
	LUG_SET(want, urgent, demand->urgent);
	LUG_SET(want, share, lug_share_weighted(&use, &capacity, team ? team->weight : 0));
	LUG_SET(want, oldest_ms, (guint32)MIN(demand->longest_wait_us / 1000, G_MAXUINT32));
}

static gboolean can_send_want(const struct lug_owner *owner, const struct lug_agent *agent,
			      gint64 now_us)
{
	return !agent->leaving && agent->worker_epoch &&
	       lug_registry_is_live(owner->env.registry, agent, now_us);
}

static gboolean is_want_candidate(const struct lug_owner *owner, const struct lug_agent *agent,
				  const struct lug_demand *demand, gint64 now_us)
{
	if (!can_send_want(owner, agent, now_us))
		return FALSE;
	/* Idle agents send heartbeats rarely, so their reported room may be out of date. */
	return demand->urgent || now_us - agent->heard_us > ROOM_FRESH_US ||
	       lug_resources_fit(&demand->smallest, &agent->room);
}

/*
 * Sends wants to up to as many agents as tasks wait plus two, or WANT_AGENTS_MIN if that is more.
 * If too few agents are candidates, up to WANT_AGENTS_WITHOUT_ROOM_MAX of the others get a want as
 * well. Each round starts at a random agent. An agent with free room replies with an offer when it
 * selects this queue.
 */
static void send_wants(struct lug_owner *owner, const struct lug_demand *demand, gint64 now_us)
{
	GPtrArray *agents = lug_registry_agents(owner->env.registry);
	guint left = MAX(WANT_AGENTS_MIN, demand->pending + 2);
	guint without_room_left = WANT_AGENTS_WITHOUT_ROOM_MAX;
	Lug__Resources smallest;
	Lug__Resources largest;
	Lug__Want want;
	LUG_ENVELOPE(envelope, WANT, want, &want);

	fill_want(owner, demand, &want, &smallest, &largest);
	owner->want_offset += g_rand_int(owner->env.ctx->rng) & 0xff;
	for (guint i = 0; i < agents->len && left; i++) {
		const struct lug_agent *agent =
			g_ptr_array_index(agents, (owner->want_offset + i) % agents->len);

		if (!is_want_candidate(owner, agent, demand, now_us))
			continue;
		lug_link_send(owner->env.link, &agent->route, &envelope);
		left--;
	}
	for (guint i = 0; i < agents->len && left && without_room_left; i++) {
		const struct lug_agent *agent =
			g_ptr_array_index(agents, (owner->want_offset + i) % agents->len);

		if (is_want_candidate(owner, agent, demand, now_us) ||
		    !can_send_want(owner, agent, now_us))
			continue;
		lug_link_send(owner->env.link, &agent->route, &envelope);
		without_room_left--;
	}
}

static gboolean has_team_headroom(const struct lug_owner *owner, const struct lug_demand *demand)
{
	struct lug_resources room = team_headroom(owner);

	return lug_resources_fit(&demand->smallest, &room);
}

static void resend_order(struct lug_owner *owner, struct lug_task *task, gint64 now_us)
{
	const struct lug_agent *agent = lug_registry_find(owner->env.registry, task->worker);

	if (task->state != LUG_TASK_RUNNING || now_us - task->sent_us < RESEND_INTERVAL_US ||
	    !agent)
		return;
	/* A sequence number of 0 means that no start was sent in this epoch: none is resent. */
	if (!task->confirmed && agent->worker_epoch == task->worker_epoch && task->seq &&
	    !task->job->job->cancelled) {
		owner_send_start(owner, task, now_us);
		return;
	}
	if (task->job->job->cancelled) {
		task->sent_us = now_us;
		owner_send_stop(owner, &agent->route, task->job->job->id, task->index,
				task->attempt);
	}
}

/**
 * owner_dispatch_tick - send wants to agents and resend unanswered starts and stops
 * @owner: owner that has loaded its rows
 * @now_us: current time
 */
void owner_dispatch_tick(struct lug_owner *owner, gint64 now_us)
{
	struct lug_demand demand;

	LUG_LIST_FOREACH (lug_queue_active(owner->queue), pos)
		resend_order(owner, LUG_CONTAINER_OF(pos, struct lug_task, node), now_us);
	if (now_us < owner->next_want_us)
		return;
	owner->next_want_us = now_us + WANT_INTERVAL_US;
	lug_queue_demand(owner->queue, now_us, &demand);
	if (demand.pending && has_team_headroom(owner, &demand))
		send_wants(owner, &demand, now_us);
}

/**
 * owner_send_start - send the start of a claimed attempt
 * @owner: owner
 * @task: task whose claim has committed
 * @now_us: current time
 *
 * Each start or stop of a queue has a higher sequence number than the one before. The agent
 * drops a message whose number is not above the last one accepted, so a delayed start has no
 * effect after a later start or stop.
 */
void owner_send_start(struct lug_owner *owner, struct lug_task *task, gint64 now_us)
{
	const struct lug_agent *agent = lug_registry_find(owner->env.registry, task->worker);
	const struct lug_job *job = task->job->job;
	Lug__Start start = LUG__START__INIT;
	Lug__TaskId id;
	Lug__Resources size;
	LUG_ENVELOPE(envelope, START, start, &start);

	task->seq = ++owner->last_seq;
	task->sent_us = now_us;
	if (!agent)
		return;
	lug_pack_task(&id, job->id, task->index, task->attempt);
	lug_pack_resources(&size, &job->size);
	start.queue = owner->team;
	LUG_SET(&start, epoch, lug_writer_epoch(owner->writer));
	LUG_SET(&start, seq, task->seq);
	LUG_SET(&start, worker_epoch, task->worker_epoch);
	start.task = &id;
	start.team = owner->team;
	start.kind = (char *)job->kind;
	start.size = &size;
	start.payload = job->payload;
	start.checkpoint = task->checkpoint;
	LUG_SET(&start, idempotent, job->idempotent);
	LUG_SET(&start, urgent, job->urgent);
	LUG_SET(&start, declared_ms, job->declared_ms);
	LUG_SET(&start, proven, lug_queue_is_kind_proven(owner->queue, job->kind));
	lug_link_send(owner->env.link, &agent->route, &envelope);
}

/**
 * owner_send_stop - order an agent to stop an attempt
 * @owner: owner
 * @route: route to the agent
 * @job: job id
 * @index: index within the job
 * @attempt: number of the attempt
 */
void owner_send_stop(struct lug_owner *owner, const struct lug_route *route, const char *job,
		     guint32 index, guint32 attempt)
{
	Lug__Stop stop = LUG__STOP__INIT;
	Lug__TaskId id;
	LUG_ENVELOPE(envelope, STOP, stop, &stop);

	lug_pack_task(&id, job, index, attempt);
	stop.queue = owner->team;
	LUG_SET(&stop, epoch, lug_writer_epoch(owner->writer));
	LUG_SET(&stop, seq, ++owner->last_seq);
	stop.task = &id;
	lug_link_send(owner->env.link, route, &envelope);
}

/**
 * owner_put_task - add a write of a task's row to a transaction
 * @owner: owner
 * @txn: transaction
 * @task: task
 * @state: state of the task, stored in the row
 * @checkpoint: reference of the checkpoint, stored in the row; may be NULL
 * @used_core_ms: metered core-milliseconds, stored in the row
 */
void owner_put_task(struct lug_owner *owner, struct lug_txn *txn, const struct lug_task *task,
		    const char *state, const char *checkpoint, gint64 used_core_ms)
{
	char *key = lug_task_row_key(owner->team, task->job->job->id, task->index);
	JsonObject *row = json_object_new();

	json_object_set_string_member(row, "state", state);
	json_object_set_int_member(row, "attempt", task->attempt);
	json_object_set_int_member(row, "failures", task->failures);
	json_object_set_int_member(row, "crashes", task->crash.crashes);
	json_object_set_int_member(row, "suspicion", task->crash.suspicion);
	json_object_set_int_member(row, "losses", task->crash.losses);
	json_object_set_string_member(row, "worker", task->worker);
	json_object_set_int_member(row, "worker_epoch", (gint64)task->worker_epoch);
	json_object_set_string_member(row, "checkpoint", checkpoint ? checkpoint : "");
	json_object_set_int_member(row, "used_ms", used_core_ms);
	lug_txn_put(txn, "task", key, row);
	json_object_unref(row);
	g_free(key);
}

static void on_claimed(void *data, enum lug_status status, gint64 version)
{
	struct owner_task_ref *ref = data;
	struct lug_task *task = owner_task_ref_get(ref);
	struct lug_owner *owner = ref->owner;
	gint64 now_us = lug_now_us();

	(void)version;
	owner_task_ref_free(ref);
	if (!task || task->state != LUG_TASK_CLAIMING)
		return;
	if (status != LUG_OK) {
		lug_queue_set_state(owner->queue, task, LUG_TASK_PENDING, now_us);
		task->retry_us = now_us + CLAIM_RETRY_US;
		if (status == LUG_CONFLICT)
			lug_owner_rescan(owner, now_us);
		return;
	}
	if (task->job->job->cancelled) {
		lug_queue_set_state(owner->queue, task, LUG_TASK_CANCELLED, now_us);
		return;
	}
	lug_queue_set_state(owner->queue, task, LUG_TASK_RUNNING, now_us);
	owner_send_start(owner, task, now_us);
}

static void claim_task(struct lug_owner *owner, struct lug_task *task, const char *worker,
		       guint64 worker_epoch, gint64 now_us)
{
	struct lug_writer_op *op;
	char *key;

	task->attempt++;
	task->worker_epoch = worker_epoch;
	task->confirmed = FALSE;
	g_strlcpy(task->worker, worker, sizeof(task->worker));
	lug_queue_set_state(owner->queue, task, LUG_TASK_CLAIMING, now_us);
	lug_timeline_add(owner->env.ctx->timeline, LUG_EV_TASK_CLAIMED, task->job->job->id,
			 "task %u attempt %u on %s", task->index, task->attempt, worker);
	op = lug_writer_op_new(on_claimed, owner_task_ref_new(owner, task));
	key = lug_job_row_key(owner->team, task->job->job->id);
	/* A cancellation or the end of the job changes its row, and the claim then fails. */
	lug_txn_check(&op->txn, "job", key, task->job->row_version);
	g_free(key);
	owner_put_task(owner, &op->txn, task, "running", task->checkpoint, task->used_core_ms);
	lug_writer_submit(owner->writer, op, now_us);
}

/**
 * owner_fill_want - fill in a want that is part of another message to an agent
 * @owner: owner
 * @out: storage that must live until the message is sent
 * @now_us: current time
 *
 * Return: the want, stored in @out, or NULL when no task waits or the team's limit is reached.
 */
Lug__Want *owner_fill_want(struct lug_owner *owner, struct owner_want_buf *out, gint64 now_us)
{
	struct lug_demand demand;

	if (!owner->queue)
		return NULL;
	lug_queue_demand(owner->queue, now_us, &demand);
	if (!demand.pending || !has_team_headroom(owner, &demand))
		return NULL;
	fill_want(owner, &demand, &out->want, &out->smallest, &out->largest);
	return &out->want;
}

static void send_offer_reply(struct lug_owner *owner, const struct lug_route *route,
			     const Lug__Offer *offer, guint starts, gint64 now_us)
{
	Lug__OfferReply reply = LUG__OFFER_REPLY__INIT;
	struct owner_want_buf storage;
	LUG_ENVELOPE(envelope, OFFER_REPLY, offer_reply, &reply);

	reply.want = owner_fill_want(owner, &storage, now_us);
	reply.queue = owner->team;
	LUG_SET(&reply, offer, offer->offer);
	LUG_SET(&reply, starts, starts);
	lug_link_send(owner->env.link, route, &envelope);
}

/*
 * Room of the worker that only urgent tasks and short kinds may use; zero unless short tasks
 * are expected.
 */
static struct lug_resources short_task_reserve(const struct lug_owner *owner, const char *worker,
					       gint64 now_us)
{
	const struct lug_agent *agent = lug_registry_find(owner->env.registry, worker);
	struct lug_resources reserved = {0};

	if (agent && lug_queue_expects_short(owner->queue, now_us))
		reserved.millicores = agent->capacity.millicores / SHORT_RESERVE_DIVISOR;
	return reserved;
}

/*
 * True if the waiting tasks, at their smallest size, need more than half of the known free
 * cores of all agents.
 */
static gboolean is_room_scarce(const struct lug_owner *owner, const struct lug_demand *demand)
{
	GPtrArray *agents = lug_registry_agents(owner->env.registry);
	gint64 room = 0;

	for (guint i = 0; i < agents->len; i++)
		room += ((const struct lug_agent *)g_ptr_array_index(agents, i))->room.millicores;
	return demand->pending * demand->smallest.millicores > room / 2;
}

/*
 * Spreads the waiting tasks over the workers: many small tasks on one worker slow its
 * service and each other more than the same tasks on many workers.
 */
static guint starts_allowed(const struct lug_owner *owner, const Lug__Offer *offer, gint64 now_us)
{
	GPtrArray *agents = lug_registry_agents(owner->env.registry);
	struct lug_demand demand;
	guint allowed;

	lug_queue_demand(owner->queue, now_us, &demand);
	allowed = (demand.pending + agents->len - 1) / MAX(agents->len, 1);
	allowed = CLAMP(allowed, 1, STARTS_PER_OFFER_MAX);
	/*
	 * While several queues compete, each offer starts one task only: the reply carries
	 * the queue's new share, by which the agent selects the queue of its next offer.
	 */
	if (offer->has_next_share && is_room_scarce(owner, &demand))
		allowed = 1;
	return offer->max_starts ? MIN(allowed, offer->max_starts) : allowed;
}

/*
 * True if this queue's current share exceeds the least share of the other queues known to the
 * agent, so that the owner should start no further task. The agent selects by reported shares,
 * which may be out of date; the share computed here includes later starts on other agents.
 */
static gboolean exceeds_next_share(const struct lug_owner *owner, const Lug__Offer *offer,
				   const struct lug_resources *capacity)
{
	const struct lug_team *team =
		lug_limits_find(lug_sync_limits(owner->env.sync), owner->team);
	struct lug_resources use = lug_queue_usage(owner->queue);
	struct lug_demand demand;

	if (!offer->has_next_share || !team)
		return FALSE;
	lug_queue_demand(owner->queue, lug_now_us(), &demand);
	if (demand.urgent || !is_room_scarce(owner, &demand))
		return FALSE;
	return lug_share_weighted(&use, capacity, team->weight) > offer->next_share;
}

static guint claim_tasks(struct lug_owner *owner, const char *worker, const Lug__Offer *offer,
			 gint64 now_us)
{
	struct lug_resources room = lug_unpack_resources(offer->room);
	const char *const *avoid = (const char *const *)offer->avoid_kinds;
	char **kinds = g_new0(char *, offer->n_avoid_kinds + 1);
	struct lug_resources reserved = short_task_reserve(owner, worker, now_us);
	guint allowed = starts_allowed(owner, offer, now_us);
	struct lug_resources capacity = total_capacity(owner);
	guint starts = 0;

	for (size_t i = 0; i < offer->n_avoid_kinds; i++)
		kinds[i] = (char *)avoid[i];
	while (starts < allowed && !exceeds_next_share(owner, offer, &capacity)) {
		struct lug_resources limit = team_headroom(owner);
		struct lug_task *task;

		lug_resources_min(&limit, &room);
		task = lug_queue_pick(
			owner->queue, &limit, &reserved, offer->region ? offer->region : "",
			offer->zone ? offer->zone : "", (const char *const *)kinds, now_us);
		if (!task)
			break;
		lug_resources_sub(&room, &task->job->job->size);
		claim_task(owner, task, worker, offer->worker_epoch, now_us);
		starts++;
	}
	g_free(kinds);
	return starts;
}

/**
 * lug_owner_on_offer - claim tasks for the room that an agent offers, and reply
 * @owner: owner
 * @route: route to the agent
 * @worker: name of the agent's worker
 * @offer: the offer
 * @now_us: current time
 */
void lug_owner_on_offer(struct lug_owner *owner, const struct lug_route *route, const char *worker,
			const Lug__Offer *offer, gint64 now_us)
{
	guint starts = 0;

	if (lug_owner_is_held(owner) && owner->load == LOAD_DONE && offer->worker_epoch &&
	    lug_writer_is_valid(owner->writer, now_us) && strlen(worker) <= LUG_JOB_ID_MAX)
		starts = claim_tasks(owner, worker, offer, now_us);
	send_offer_reply(owner, route, offer, starts, now_us);
}

/**
 * lug_owner_on_start_reply - handle the reply to a start
 * @owner: owner
 * @worker: name of the agent's worker
 * @reply: the reply
 * @now_us: current time
 */
void lug_owner_on_start_reply(struct lug_owner *owner, const char *worker,
			      const Lug__StartReply *reply, gint64 now_us)
{
	struct lug_task *task;

	if (!lug_owner_is_held(owner) || !reply->task)
		return;
	task = lug_queue_task(owner->queue, reply->task->job, reply->task->index);
	if (!task || task->attempt != reply->task->attempt || task->state != LUG_TASK_RUNNING ||
	    strcmp(task->worker, worker))
		return;
	/*
	 * The attempt may have started under another lease epoch. The next heartbeat shows whether
	 * the agent holds it.
	 */
	if (reply->status == LUG_FENCED)
		return;
	if (reply->status != LUG_OK) {
		task->retry_us = now_us + CLAIM_RETRY_US;
		lug_queue_set_state(owner->queue, task, LUG_TASK_PENDING, now_us);
		lug_timeline_add(owner->env.ctx->timeline, LUG_EV_TASK_REFUSED, task->job->job->id,
				 "task %u attempt %u by %s: %s", task->index, task->attempt, worker,
				 reply->detail ? reply->detail : "");
		return;
	}
	if (task->confirmed)
		return;
	task->confirmed = TRUE;
	task->started_us = now_us;
	lug_observe(owner->env.ctx, TASK_WAIT_US, MAX(now_us - task->queued_us, 0));
}
