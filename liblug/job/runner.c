#include "job/runner_priv.h"

#include <string.h>

#include "wire/pack.h"

#define REPORT_RETRY_US (1000 * 1000)
#define STOP_RETRY_US (1500 * 1000)
#define UNTHROTTLED_PERCENT 100

static void queue_free(gpointer data)
{
	struct queue_state *queue = data;

	g_free(queue->team);
	g_free(queue);
}

/**
 * lug_runner_new - create a runner without the worker's state
 * @env: dependencies; the struct is copied, what it points to must outlive the runner
 *
 * Return: the runner, to be freed with lug_runner_free(). It refuses starts until
 * lug_runner_load_state() has loaded the worker's state.
 */
struct lug_runner *lug_runner_new(const struct lug_runner_env *env)
{
	struct lug_runner *runner = g_new0(struct lug_runner, 1);

	runner->env = *env;
	runner->throttle_percent = UNTHROTTLED_PERCENT;
	runner->queues = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, queue_free);
	runner->reserve.service.millicores = env->ctx->settings->service_millicores;
	runner->reserve.service.memory_bytes = env->ctx->settings->service_memory_bytes;
	lug_list_init(&runner->attempts);
	return runner;
}

/**
 * lug_runner_free - free a runner and its attempts
 * @runner: may be NULL
 *
 * The worker's client must be freed first: its pending calls refer to the runner.
 */
void lug_runner_free(struct lug_runner *runner)
{
	if (!runner)
		return;
	LUG_LIST_FOREACH_SAFE (&runner->attempts, pos, tmp)
		attempt_free(runner, LUG_CONTAINER_OF(pos, struct lug_attempt, node));
	g_hash_table_unref(runner->queues);
	g_free(runner->worker_incarnation);
	g_free(runner);
}

/**
 * attempt_find - find an attempt
 * @runner: runner
 * @job: job id
 * @index: index of the task
 * @number: number of the attempt
 *
 * Return: the attempt, or NULL when this agent does not hold it.
 */
struct lug_attempt *attempt_find(struct lug_runner *runner, const char *job, guint32 index,
				 guint32 number)
{
	LUG_LIST_FOREACH (&runner->attempts, pos) {
		struct lug_attempt *attempt = LUG_CONTAINER_OF(pos, struct lug_attempt, node);

		if (attempt->index == index && attempt->number == number &&
		    !strcmp(attempt->job, job))
			return attempt;
	}
	return NULL;
}

/**
 * attempt_new - add an attempt in state LUG_ATTEMPT_STARTING, with nothing reserved
 * @runner: runner, owns the attempt
 * @job: job id
 * @index: index of the task
 * @number: number of the attempt
 */
struct lug_attempt *attempt_new(struct lug_runner *runner, const char *job, guint32 index,
				guint32 number)
{
	struct lug_attempt *attempt = g_new0(struct lug_attempt, 1);

	g_strlcpy(attempt->job, job, sizeof(attempt->job));
	attempt->index = index;
	attempt->number = number;
	lug_list_append(&runner->attempts, &attempt->node);
	return attempt;
}

static void release_reservation(struct lug_runner *runner, struct lug_attempt *attempt)
{
	if (attempt->reserved)
		lug_reserve_release(&runner->reserve, &attempt->size);
	attempt->reserved = FALSE;
}

/**
 * attempt_free - remove and free an attempt, and release its reservation
 * @runner: runner
 * @attempt: attempt
 */
void attempt_free(struct lug_runner *runner, struct lug_attempt *attempt)
{
	release_reservation(runner, attempt);
	lug_list_remove(&attempt->node);
	g_free(attempt->checkpoint);
	g_free(attempt);
}

static struct queue_state *find_or_add_queue(struct lug_runner *runner, const char *name)
{
	struct queue_state *queue = g_hash_table_lookup(runner->queues, name);

	if (queue)
		return queue;
	queue = g_new0(struct queue_state, 1);
	queue->team = g_strdup(name);
	g_hash_table_insert(runner->queues, queue->team, queue);
	return queue;
}

/**
 * lug_runner_update_epoch - record the epoch of a queue's owner
 * @runner: runner
 * @queue: team of the queue
 * @epoch: epoch of its owner
 *
 * Starts and stops of lower epochs are dropped from then on. A lower @epoch has no effect.
 */
void lug_runner_update_epoch(struct lug_runner *runner, const char *queue, guint64 epoch)
{
	struct queue_state *state = find_or_add_queue(runner, queue);

	if (epoch <= state->epoch)
		return;
	state->epoch = epoch;
	state->last_seq = 0;
}

/**
 * lug_runner_send - send to the owner of a queue
 * @runner: runner
 * @queue: team of the queue
 * @env: envelope with its body set
 *
 * Return: FALSE when the owner is unknown or not connected.
 */
gboolean lug_runner_send(struct lug_runner *runner, const char *queue, Lug__Envelope *env)
{
	const char *address = lug_owners_address(runner->env.owners, queue);
	struct lug_peer *peer = address ? lug_peers_find(runner->env.peers, address) : NULL;
	struct lug_route route;

	if (!peer)
		return FALSE;
	lug_dial_route(peer->dial, &route);
	return lug_link_send(runner->env.link, &route, env);
}

/**
 * attempt_report - report the end of an attempt to its owner
 * @runner: runner
 * @attempt: attempt that has ended
 * @now_us: current time, microseconds
 */
void attempt_report(struct lug_runner *runner, struct lug_attempt *attempt, gint64 now_us)
{
	Lug__Report report = LUG__REPORT__INIT;
	Lug__TaskId id;
	LUG_ENVELOPE(env, REPORT, report, &report);

	attempt->sent_us = now_us;
	lug_pack_task(&id, attempt->job, attempt->index, attempt->number);
	report.queue = attempt->queue;
	report.task = &id;
	LUG_SET(&report, outcome, attempt->outcome);
	report.detail = attempt->detail;
	report.checkpoint = attempt->checkpoint;
	LUG_SET(&report, used_ms, attempt->used_core_ms);
	LUG_SET(&report, worker_epoch, lug_lease_epoch(runner->env.lease));
	if (attempt->crashed)
		LUG_SET(&report, suspected_jobs, attempt->suspected_jobs);
	lug_runner_send(runner, attempt->queue, &env);
}

/**
 * attempt_end - end an attempt, release its reservation and report the end
 * @runner: runner
 * @attempt: attempt
 * @outcome: enum lug_outcome
 * @detail: text about the outcome, copied
 * @now_us: current time, microseconds
 */
void attempt_end(struct lug_runner *runner, struct lug_attempt *attempt, guint32 outcome,
		 const char *detail, gint64 now_us)
{
	struct lug_ctx *ctx = runner->env.ctx;

	attempt->state = LUG_ATTEMPT_ENDED;
	attempt->outcome = outcome;
	g_strlcpy(attempt->detail, detail, sizeof(attempt->detail));
	release_reservation(runner, attempt);
	if (outcome == LUG_OUTCOME_DONE)
		lug_count(ctx, TASKS_FINISHED, 1);
	if (outcome == LUG_OUTCOME_DONE || outcome == LUG_OUTCOME_FAILED)
		lug_health_update(&runner->health, outcome == LUG_OUTCOME_DONE, attempt->proven,
				  now_us);
	if (outcome == LUG_OUTCOME_FAILED)
		lug_count(ctx, TASKS_FAILED, 1);
	if (outcome == LUG_OUTCOME_EVICTED)
		lug_count(ctx, TASKS_EVICTED, 1);
	/* An end without a checkpoint is recorded as TASK_FINISHED, whatever its outcome. */
	lug_timeline_add(ctx->timeline,
			 attempt->checkpoint ? LUG_EV_TASK_CHECKPOINTED : LUG_EV_TASK_FINISHED,
			 attempt->job, "task %u attempt %u outcome %u used %" G_GINT64_FORMAT " ms",
			 attempt->index, attempt->number, outcome, attempt->used_core_ms);
	attempt_report(runner, attempt, now_us);
}

/**
 * attempt_reply - answer the start of an attempt
 * @runner: runner
 * @attempt: attempt
 * @status: LUG_OK when the agent holds the attempt
 * @detail: reason for a refusal, may be NULL
 */
void attempt_reply(struct lug_runner *runner, const struct lug_attempt *attempt,
		   enum lug_status status, const char *detail)
{
	Lug__StartReply reply = LUG__START_REPLY__INIT;
	Lug__TaskId id;
	LUG_ENVELOPE(env, START_REPLY, start_reply, &reply);

	lug_pack_task(&id, attempt->job, attempt->index, attempt->number);
	reply.queue = (char *)attempt->queue;
	reply.task = &id;
	LUG_SET(&reply, status, status);
	reply.detail = (char *)detail;
	lug_runner_send(runner, attempt->queue, &env);
}

static void load_task(struct lug_runner *runner, JsonObject *task)
{
	const char *job = lug_json_str(task, "job", "");
	guint32 index = (guint32)lug_json_int(task, "index", 0);
	guint32 number = (guint32)lug_json_int(task, "attempt", 0);
	struct lug_attempt *attempt = attempt_find(runner, job, index, number);

	if (attempt)
		return;
	attempt = attempt_new(runner, job, index, number);
	g_strlcpy(attempt->queue, lug_json_str(task, "queue", ""), sizeof(attempt->queue));
	g_strlcpy(attempt->kind, lug_json_str(task, "kind", ""), sizeof(attempt->kind));
	attempt->size.millicores = lug_json_int(task, "millicores", 0);
	attempt->size.memory_bytes = lug_json_int(task, "memory_bytes", 0);
	attempt->size.accelerators = lug_json_int(task, "accelerators", 0);
	attempt->urgent = lug_json_bool(task, "urgent", FALSE);
	attempt->state = LUG_ATTEMPT_RUNNING;
	attempt->started_us = lug_now_us();
	/* The resources of running tasks are reserved even when their sum exceeds the capacity. */
	lug_resources_add(&runner->reserve.tasks, &attempt->size);
	attempt->reserved = TRUE;
}

/**
 * lug_runner_load_state - load the worker's state: capacity and running attempts
 * @runner: runner
 * @state: the worker's state, as answered by the worker
 */
void lug_runner_load_state(struct lug_runner *runner, JsonObject *state)
{
	JsonArray *tasks = lug_json_arr(state, "tasks");

	runner->reserve.total.millicores = lug_json_int(state, "millicores", 0);
	runner->reserve.total.memory_bytes = lug_json_int(state, "memory_bytes", 0);
	runner->reserve.total.accelerators = lug_json_int(state, "accelerators", 0);
	g_free(runner->worker_incarnation);
	runner->worker_incarnation = g_strdup(lug_json_str(state, "boot", ""));
	/* The worker sends all its events again. */
	runner->event_seq = 0;
	for (guint i = 0; tasks && i < json_array_get_length(tasks); i++)
		load_task(runner, lug_json_item_obj(tasks, i));
	runner->state_loaded = TRUE;
}

/**
 * lug_runner_drop_all - drop all attempts after the worker has killed them
 * @runner: runner
 *
 * Answers to calls that are still pending are ignored.
 */
void lug_runner_drop_all(struct lug_runner *runner)
{
	LUG_LIST_FOREACH_SAFE (&runner->attempts, pos, tmp)
		attempt_free(runner, LUG_CONTAINER_OF(pos, struct lug_attempt, node));
	runner->generation++;
}

static void tick_attempt(struct lug_runner *runner, struct lug_attempt *attempt, gint64 now_us)
{
	if (attempt->state == LUG_ATTEMPT_ENDED && now_us - attempt->sent_us >= REPORT_RETRY_US)
		attempt_report(runner, attempt, now_us);
	if (attempt->state == LUG_ATTEMPT_STOPPING && !attempt->call_pending &&
	    now_us - attempt->sent_us >= STOP_RETRY_US)
		worker_stop(runner, attempt, now_us);
	if (runner->draining && attempt->state == LUG_ATTEMPT_RUNNING) {
		attempt->stop_with_checkpoint = TRUE;
		worker_stop(runner, attempt, now_us);
	}
}

/**
 * lug_runner_tick - poll the worker, resend reports and stops, stop attempts when draining
 * @runner: runner
 * @now_us: current time, microseconds
 */
void lug_runner_tick(struct lug_runner *runner, gint64 now_us)
{
	if (!runner->state_loaded)
		return;
	worker_poll(runner, now_us);
	LUG_LIST_FOREACH_SAFE (&runner->attempts, pos, tmp)
		tick_attempt(runner, LUG_CONTAINER_OF(pos, struct lug_attempt, node), now_us);
	lug_gauge(runner->env.ctx, TASKS_RUNNING, lug_runner_count(runner));
}

/**
 * lug_runner_set_draining - begin or end draining
 * @runner: runner
 * @drain: TRUE to checkpoint all running attempts and refuse starts, FALSE to accept
 * 	starts again
 */
void lug_runner_set_draining(struct lug_runner *runner, gboolean drain)
{
	runner->draining = drain;
}

/**
 * lug_runner_is_draining - whether the runner refuses starts because it drains
 * @runner: runner
 */
gboolean lug_runner_is_draining(const struct lug_runner *runner)
{
	return runner->draining;
}

/**
 * lug_runner_is_empty - whether no attempt is held
 * @runner: runner
 */
gboolean lug_runner_is_empty(const struct lug_runner *runner)
{
	return lug_list_empty(&runner->attempts);
}

/*
 * Returns NULL when the start is accepted. Before the worker's state is loaded, the reason is
 * "no valid lease".
 */
static const char *refusal_reason(struct lug_runner *runner, const Lug__Start *start,
				  const struct lug_resources *size, gint64 now_us)
{
	struct lug_resources room = lug_reserve_room(&runner->reserve);

	if (!runner->state_loaded || !lug_lease_is_valid(runner->env.lease, now_us))
		return "no valid lease";
	if (start->worker_epoch != lug_lease_epoch(runner->env.lease))
		return "another lease epoch";
	if (runner->draining)
		return "draining";
	if (!lug_resources_fit(size, &room))
		return "no room";
	return NULL;
}

static void refuse_start(struct lug_runner *runner, const struct lug_route *route,
			 const Lug__Start *start, enum lug_status status, const char *reason)
{
	Lug__StartReply reply = LUG__START_REPLY__INIT;
	LUG_ENVELOPE(env, START_REPLY, start_reply, &reply);

	lug_count(runner->env.ctx, TASKS_REFUSED, 1);
	reply.queue = start->queue;
	reply.task = start->task;
	LUG_SET(&reply, status, status);
	reply.detail = (char *)reason;
	lug_link_send(runner->env.link, route, &env);
}

static void release_offered(struct lug_runner *runner, const struct lug_resources *size)
{
	lug_resources_sub(&runner->offered, size);
	runner->offered.millicores = MAX(runner->offered.millicores, 0);
	runner->offered.memory_bytes = MAX(runner->offered.memory_bytes, 0);
	runner->offered.accelerators = MAX(runner->offered.accelerators, 0);
}

/**
 * lug_runner_on_start - apply a start: accept or refuse an attempt
 * @runner: runner
 * @route: where a refusal is sent
 * @start: the start
 * @now_us: current time, microseconds
 *
 * A start of a former owner, or one whose sequence number is not above the last one
 * accepted, is dropped without an answer. A start of an attempt that is already held is confirmed.
 */
void lug_runner_on_start(struct lug_runner *runner, const struct lug_route *route,
			 const Lug__Start *start, gint64 now_us)
{
	struct lug_resources size = lug_unpack_resources(start->size);
	struct queue_state *queue;
	struct lug_attempt *attempt;
	const char *reason;

	if (!start->queue || !start->task || !start->task->job ||
	    strlen(start->queue) > LUG_JOB_KIND_MAX || strlen(start->task->job) > LUG_JOB_ID_MAX)
		return;
	queue = find_or_add_queue(runner, start->queue);
	lug_runner_update_epoch(runner, start->queue, start->epoch);
	if (start->epoch < queue->epoch || start->seq <= queue->last_seq)
		return;
	queue->last_seq = start->seq;
	attempt = attempt_find(runner, start->task->job, start->task->index, start->task->attempt);
	if (attempt) {
		attempt_reply(runner, attempt, LUG_OK, NULL);
		return;
	}
	reason = refusal_reason(runner, start, &size, now_us);
	if (reason) {
		/*
		 * If the start names another lease epoch of this worker, the attempt may have
		 * started under that epoch. LUG_FENCED then makes the owner wait for the next
		 * heartbeat, which shows the attempts held.
		 */
		refuse_start(runner, route, start,
			     start->worker_epoch == lug_lease_epoch(runner->env.lease) ? LUG_NOT_RUN
										       : LUG_FENCED,
			     reason);
		return;
	}
	/* Succeeds, as refusal_reason() has checked the room. */
	lug_reserve_acquire(&runner->reserve, &size);
	release_offered(runner, &size);
	attempt = attempt_new(runner, start->task->job, start->task->index, start->task->attempt);
	attempt->reserved = TRUE;
	attempt->size = size;
	attempt->urgent = start->urgent;
	attempt->proven = start->proven;
	g_strlcpy(attempt->queue, start->queue, sizeof(attempt->queue));
	g_strlcpy(attempt->kind, start->kind ? start->kind : "", sizeof(attempt->kind));
	worker_start(runner, attempt, start->payload, start->checkpoint, now_us);
}

/**
 * lug_runner_on_stop - apply a stop: stop a running attempt for its owner
 * @runner: runner
 * @stop: the stop; dropped under the same conditions as a start
 * @now_us: current time, microseconds
 */
void lug_runner_on_stop(struct lug_runner *runner, const Lug__Stop *stop, gint64 now_us)
{
	struct queue_state *queue;
	struct lug_attempt *attempt;

	if (!stop->queue || !stop->task || !stop->task->job)
		return;
	queue = find_or_add_queue(runner, stop->queue);
	lug_runner_update_epoch(runner, stop->queue, stop->epoch);
	if (stop->epoch < queue->epoch || stop->seq <= queue->last_seq)
		return;
	queue->last_seq = stop->seq;
	attempt = attempt_find(runner, stop->task->job, stop->task->index, stop->task->attempt);
	if (!attempt || attempt->state != LUG_ATTEMPT_RUNNING)
		return;
	attempt->stop_with_checkpoint = stop->checkpoint;
	worker_stop(runner, attempt, now_us);
}

/**
 * lug_runner_on_report_ack - apply a report's acknowledgement: remove the attempt
 * @runner: runner
 * @ack: acknowledgement; the owner has committed the end of the attempt
 */
void lug_runner_on_report_ack(struct lug_runner *runner, const Lug__ReportAck *ack)
{
	struct lug_attempt *attempt;

	if (!ack->task || !ack->task->job)
		return;
	attempt = attempt_find(runner, ack->task->job, ack->task->index, ack->task->attempt);
	if (!attempt || attempt->state != LUG_ATTEMPT_ENDED)
		return;
	worker_ack(runner, attempt);
	attempt_free(runner, attempt);
}

/**
 * lug_runner_health - failures and quarantines of the worker
 * @runner: runner
 *
 * Return: owned by the runner.
 */
const struct lug_health *lug_runner_health(const struct lug_runner *runner)
{
	return &runner->health;
}

/**
 * lug_runner_room - room that is neither reserved nor offered
 * @runner: runner
 */
struct lug_resources lug_runner_room(const struct lug_runner *runner)
{
	struct lug_resources room = lug_reserve_room(&runner->reserve);

	lug_resources_sub(&room, &runner->offered);
	room.millicores = MAX(room.millicores, 0);
	room.memory_bytes = MAX(room.memory_bytes, 0);
	room.accelerators = MAX(room.accelerators, 0);
	return room;
}

/**
 * lug_runner_capacity - total resources for batch tasks
 * @runner: runner
 */
struct lug_resources lug_runner_capacity(const struct lug_runner *runner)
{
	return lug_reserve_capacity(&runner->reserve);
}

/**
 * lug_runner_set_offered - set the room of the outstanding offer
 * @runner: runner
 * @room: offered room, all zero when no offer is outstanding
 */
void lug_runner_set_offered(struct lug_runner *runner, const struct lug_resources *room)
{
	runner->offered = *room;
}

/**
 * lug_runner_count - number of attempts held
 * @runner: runner
 */
guint lug_runner_count(const struct lug_runner *runner)
{
	guint n = 0;

	LUG_LIST_FOREACH (&runner->attempts, pos)
		n++;
	return n;
}

/**
 * lug_runner_holds_attempt_of - whether an attempt is held that a queue's owner started
 * @runner: runner
 * @queue: team of the queue
 */
gboolean lug_runner_holds_attempt_of(const struct lug_runner *runner, const char *queue)
{
	LUG_LIST_FOREACH (&runner->attempts, pos)
		if (!strcmp(LUG_CONTAINER_OF(pos, struct lug_attempt, node)->queue, queue))
			return TRUE;
	return FALSE;
}

/**
 * lug_runner_fill_held - fill in the part of a heartbeat that describes one queue
 * @runner: runner
 * @arena: owns what @out points to
 * @queue: team of the queue
 * @list: list the attempts; otherwise only their digest is filled in
 * @out: filled in
 */
void lug_runner_fill_held(struct lug_runner *runner, struct lug_arena *arena, const char *queue,
			  gboolean list, Lug__QueueHeld *out)
{
	struct queue_state *state = find_or_add_queue(runner, queue);
	guint count = lug_runner_count(runner);

	lug__queue_held__init(out);
	out->queue = state->team;
	LUG_SET(out, epoch, state->epoch);
	LUG_SET(out, last_seq, state->last_seq);
	LUG_SET(out, listed, list);
	LUG_SET(out, digest, 0);
	out->held = lug_arena_alloc(arena, sizeof(*out->held) * (count + 1));
	LUG_LIST_FOREACH (&runner->attempts, pos) {
		struct lug_attempt *attempt = LUG_CONTAINER_OF(pos, struct lug_attempt, node);

		if (strcmp(attempt->queue, queue))
			continue;
		out->digest ^= lug_attempt_hash(attempt->job, attempt->index, attempt->number);
		if (!list)
			continue;
		out->held[out->n_held] = lug_arena_alloc(arena, sizeof(Lug__TaskId));
		lug_pack_task(out->held[out->n_held++], attempt->job, attempt->index,
			      attempt->number);
	}
}
