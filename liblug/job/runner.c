#include "job/runner_priv.h"

#include <string.h>

#include "wire/pack.h"

#define REPORT_RETRY_US (1000 * 1000)
#define STOP_RETRY_US (1500 * 1000)
#define UNTHROTTLED_PERCENT 100

static void queue_free(gpointer data)
{
	struct run_queue *queue = data;

	g_free(queue->queue);
	g_free(queue);
}

/**
 * lug_runner_new - create a runner without the worker's state
 * @env: dependencies; the struct is copied, what it points to must outlive the runner
 *
 * Return: the runner, to be freed with lug_runner_free(). It refuses starts until
 * lug_runner_adopt_tasks() has loaded the worker's state.
 */
struct lug_runner *lug_runner_new(const struct lug_runner_env *env)
{
	struct lug_runner *runner = g_new0(struct lug_runner, 1);

	runner->env = *env;
	runner->throttle_percent = UNTHROTTLED_PERCENT;
	runner->queues = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, queue_free);
	runner->reserve.service.millicores = env->ctx->settings->service_cores;
	runner->reserve.service.memory = env->ctx->settings->service_memory;
	lug_list_init(&runner->runs);
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
	LUG_LIST_FOREACH_SAFE (&runner->runs, pos, tmp)
		run_free(runner, LUG_CONTAINER_OF(pos, struct lug_run, node));
	g_hash_table_unref(runner->queues);
	g_free(runner->worker_incarnation);
	g_free(runner);
}

/**
 * run_find - find an attempt
 * @runner: runner
 * @job: job id
 * @index: index of the task
 * @attempt: number of the attempt
 *
 * Return: the attempt, or NULL when this agent does not hold it.
 */
struct lug_run *run_find(struct lug_runner *runner, const char *job, guint32 index, guint32 attempt)
{
	LUG_LIST_FOREACH (&runner->runs, pos) {
		struct lug_run *run = LUG_CONTAINER_OF(pos, struct lug_run, node);

		if (run->index == index && run->attempt == attempt && !strcmp(run->job, job))
			return run;
	}
	return NULL;
}

/**
 * run_new - add an attempt in state LUG_RUN_STARTING, with nothing reserved
 * @runner: runner, owns the attempt
 * @job: job id
 * @index: index of the task
 * @attempt: number of the attempt
 */
struct lug_run *run_new(struct lug_runner *runner, const char *job, guint32 index, guint32 attempt)
{
	struct lug_run *run = g_new0(struct lug_run, 1);

	g_strlcpy(run->job, job, sizeof(run->job));
	run->index = index;
	run->attempt = attempt;
	lug_list_append(&runner->runs, &run->node);
	return run;
}

static void release_reservation(struct lug_runner *runner, struct lug_run *run)
{
	if (run->reserved)
		lug_reserve_release(&runner->reserve, &run->size);
	run->reserved = FALSE;
}

/**
 * run_free - remove and free an attempt, and release its reservation
 * @runner: runner
 * @run: attempt
 */
void run_free(struct lug_runner *runner, struct lug_run *run)
{
	release_reservation(runner, run);
	lug_list_remove(&run->node);
	g_free(run->checkpoint);
	g_free(run);
}

static struct run_queue *find_or_add_queue(struct lug_runner *runner, const char *name)
{
	struct run_queue *queue = g_hash_table_lookup(runner->queues, name);

	if (queue)
		return queue;
	queue = g_new0(struct run_queue, 1);
	queue->queue = g_strdup(name);
	g_hash_table_insert(runner->queues, queue->queue, queue);
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
	struct run_queue *state = find_or_add_queue(runner, queue);

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
 * run_report - report the end of an attempt to its owner
 * @runner: runner
 * @run: attempt that has ended
 * @now_us: current time, microseconds
 */
void run_report(struct lug_runner *runner, struct lug_run *run, gint64 now_us)
{
	Lug__Report report = LUG__REPORT__INIT;
	Lug__TaskId id;
	LUG_ENVELOPE(env, REPORT, report, &report);

	run->sent_us = now_us;
	lug_pack_task(&id, run->job, run->index, run->attempt);
	report.queue = run->queue;
	report.task = &id;
	LUG_SET(&report, outcome, run->outcome);
	report.detail = run->detail;
	report.checkpoint = run->checkpoint;
	LUG_SET(&report, used_ms, run->used_ms);
	LUG_SET(&report, worker_epoch, lug_lease_epoch(runner->env.lease));
	lug_runner_send(runner, run->queue, &env);
}

/**
 * run_end - end an attempt, release its reservation and report the end
 * @runner: runner
 * @run: attempt
 * @outcome: enum lug_outcome
 * @detail: text about the outcome, copied
 * @now_us: current time, microseconds
 */
void run_end(struct lug_runner *runner, struct lug_run *run, guint32 outcome, const char *detail,
	     gint64 now_us)
{
	struct lug_ctx *ctx = runner->env.ctx;

	run->state = LUG_RUN_ENDED;
	run->outcome = outcome;
	g_strlcpy(run->detail, detail, sizeof(run->detail));
	release_reservation(runner, run);
	if (outcome == LUG_OUTCOME_DONE)
		lug_count(ctx, TASKS_FINISHED, 1);
	if (outcome == LUG_OUTCOME_DONE || outcome == LUG_OUTCOME_FAILED)
		lug_health_update(&runner->health, outcome == LUG_OUTCOME_DONE, run->proven,
				  now_us);
	if (outcome == LUG_OUTCOME_FAILED)
		lug_count(ctx, TASKS_FAILED, 1);
	if (outcome == LUG_OUTCOME_EVICTED)
		lug_count(ctx, TASKS_EVICTED, 1);
	lug_timeline_add(ctx->timeline,
			 run->checkpoint ? LUG_EV_TASK_CHECKPOINTED : LUG_EV_TASK_FINISHED,
			 run->job, "task %u attempt %u outcome %u used %" G_GINT64_FORMAT " ms",
			 run->index, run->attempt, outcome, run->used_ms);
	run_report(runner, run, now_us);
}

/**
 * run_reply - answer the start of an attempt
 * @runner: runner
 * @run: attempt
 * @status: LUG_OK when it is held
 * @detail: reason for a refusal, may be NULL
 */
void run_reply(struct lug_runner *runner, const struct lug_run *run, enum lug_status status,
	       const char *detail)
{
	Lug__StartReply reply = LUG__START_REPLY__INIT;
	Lug__TaskId id;
	LUG_ENVELOPE(env, START_REPLY, start_reply, &reply);

	lug_pack_task(&id, run->job, run->index, run->attempt);
	reply.queue = (char *)run->queue;
	reply.task = &id;
	LUG_SET(&reply, status, status);
	reply.detail = (char *)detail;
	lug_runner_send(runner, run->queue, &env);
}

static void load_task(struct lug_runner *runner, JsonObject *task)
{
	const char *job = lug_json_str(task, "job", "");
	guint32 index = (guint32)lug_json_int(task, "index", 0);
	guint32 attempt = (guint32)lug_json_int(task, "attempt", 0);
	struct lug_run *run = run_find(runner, job, index, attempt);

	if (run)
		return;
	run = run_new(runner, job, index, attempt);
	g_strlcpy(run->queue, lug_json_str(task, "queue", ""), sizeof(run->queue));
	g_strlcpy(run->kind, lug_json_str(task, "kind", ""), sizeof(run->kind));
	run->size.millicores = lug_json_int(task, "millicores", 0);
	run->size.memory = lug_json_int(task, "memory_bytes", 0);
	run->size.accelerators = lug_json_int(task, "accelerators", 0);
	run->urgent = lug_json_bool(task, "urgent", FALSE);
	run->state = LUG_RUN_RUNNING;
	run->started_us = lug_now_us();
	/* Running tasks are reserved even when together they exceed the capacity. */
	lug_resources_add(&runner->reserve.tasks, &run->size);
	run->reserved = TRUE;
}

/**
 * lug_runner_adopt_tasks - load the worker's capacity and running attempts
 * @runner: runner
 * @state: the worker's state, as answered by the worker
 */
void lug_runner_adopt_tasks(struct lug_runner *runner, JsonObject *state)
{
	JsonArray *tasks = lug_json_arr(state, "tasks");

	runner->reserve.total.millicores = lug_json_int(state, "millicores", 0);
	runner->reserve.total.memory = lug_json_int(state, "memory_bytes", 0);
	runner->reserve.total.accelerators = lug_json_int(state, "accelerators", 0);
	g_free(runner->worker_incarnation);
	runner->worker_incarnation = g_strdup(lug_json_str(state, "boot", ""));
	runner->event_seq = 0;
	for (guint i = 0; tasks && i < json_array_get_length(tasks); i++)
		load_task(runner, json_array_get_object_element(tasks, i));
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
	LUG_LIST_FOREACH_SAFE (&runner->runs, pos, tmp)
		run_free(runner, LUG_CONTAINER_OF(pos, struct lug_run, node));
	runner->generation++;
}

static void tick_run(struct lug_runner *runner, struct lug_run *run, gint64 now_us)
{
	if (run->state == LUG_RUN_ENDED && now_us - run->sent_us >= REPORT_RETRY_US)
		run_report(runner, run, now_us);
	if (run->state == LUG_RUN_STOPPING && !run->call_pending &&
	    now_us - run->sent_us >= STOP_RETRY_US)
		worker_stop(runner, run, now_us);
	if (runner->draining && run->state == LUG_RUN_RUNNING) {
		run->stop_with_checkpoint = TRUE;
		worker_stop(runner, run, now_us);
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
	LUG_LIST_FOREACH_SAFE (&runner->runs, pos, tmp)
		tick_run(runner, LUG_CONTAINER_OF(pos, struct lug_run, node), now_us);
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
	return lug_list_empty(&runner->runs);
}

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
	runner->offered.memory = MAX(runner->offered.memory, 0);
	runner->offered.accelerators = MAX(runner->offered.accelerators, 0);
}

/**
 * lug_runner_start - admit or refuse an attempt
 * @runner: runner
 * @route: where a refusal is sent
 * @start: the start
 * @now_us: current time, microseconds
 *
 * A start of a former owner, or one whose sequence number is not above the last one
 * accepted, is dropped without an answer.
 */
void lug_runner_start(struct lug_runner *runner, const struct lug_route *route,
		      const Lug__Start *start, gint64 now_us)
{
	struct lug_resources size = lug_unpack_resources(start->size);
	struct run_queue *queue;
	struct lug_run *run;
	const char *reason;

	if (!start->queue || !start->task || !start->task->job ||
	    strlen(start->queue) > LUG_JOB_KIND_MAX || strlen(start->task->job) > LUG_JOB_ID_MAX)
		return;
	queue = find_or_add_queue(runner, start->queue);
	lug_runner_update_epoch(runner, start->queue, start->epoch);
	if (start->epoch < queue->epoch || start->seq <= queue->last_seq)
		return;
	queue->last_seq = start->seq;
	run = run_find(runner, start->task->job, start->task->index, start->task->attempt);
	if (run) {
		run_reply(runner, run, LUG_OK, NULL);
		return;
	}
	reason = refusal_reason(runner, start, &size, now_us);
	if (reason) {
		/* Under another epoch the attempt may have run here already. LUG_FENCED leaves
		 * it to the heartbeat, which lists the attempts held, to settle that. */
		refuse_start(runner, route, start,
			     start->worker_epoch == lug_lease_epoch(runner->env.lease) ? LUG_NOT_RUN
										       : LUG_FENCED,
			     reason);
		return;
	}
	lug_reserve_acquire(&runner->reserve, &size);
	release_offered(runner, &size);
	run = run_new(runner, start->task->job, start->task->index, start->task->attempt);
	run->reserved = TRUE;
	run->size = size;
	run->urgent = start->urgent;
	run->proven = start->proven;
	g_strlcpy(run->queue, start->queue, sizeof(run->queue));
	g_strlcpy(run->kind, start->kind ? start->kind : "", sizeof(run->kind));
	worker_start(runner, run, start->payload, start->checkpoint, now_us);
}

/**
 * lug_runner_stop - stop a running attempt for its owner
 * @runner: runner
 * @stop: the stop; dropped under the same conditions as a start
 * @now_us: current time, microseconds
 */
void lug_runner_stop(struct lug_runner *runner, const Lug__Stop *stop, gint64 now_us)
{
	struct run_queue *queue;
	struct lug_run *run;

	if (!stop->queue || !stop->task || !stop->task->job)
		return;
	queue = find_or_add_queue(runner, stop->queue);
	lug_runner_update_epoch(runner, stop->queue, stop->epoch);
	if (stop->epoch < queue->epoch || stop->seq <= queue->last_seq)
		return;
	queue->last_seq = stop->seq;
	run = run_find(runner, stop->task->job, stop->task->index, stop->task->attempt);
	if (!run || run->state != LUG_RUN_RUNNING)
		return;
	run->stop_with_checkpoint = stop->checkpoint;
	worker_stop(runner, run, now_us);
}

/**
 * lug_runner_report_ack - remove an attempt whose end the owner has committed
 * @runner: runner
 * @ack: the owner's acknowledgement
 */
void lug_runner_report_ack(struct lug_runner *runner, const Lug__ReportAck *ack)
{
	struct lug_run *run;

	if (!ack->task || !ack->task->job)
		return;
	run = run_find(runner, ack->task->job, ack->task->index, ack->task->attempt);
	if (!run || run->state != LUG_RUN_ENDED)
		return;
	worker_ack(runner, run);
	run_free(runner, run);
}

/**
 * lug_runner_health - failures of the worker on tasks that succeed elsewhere
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
	room.memory = MAX(room.memory, 0);
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

	LUG_LIST_FOREACH (&runner->runs, pos)
		n++;
	return n;
}

/**
 * lug_runner_has_queue - whether an attempt of a queue is held
 * @runner: runner
 * @queue: team of the queue
 */
gboolean lug_runner_has_queue(const struct lug_runner *runner, const char *queue)
{
	LUG_LIST_FOREACH (&runner->runs, pos)
		if (!strcmp(LUG_CONTAINER_OF(pos, struct lug_run, node)->queue, queue))
			return TRUE;
	return FALSE;
}

/**
 * lug_runner_fill_held - fill in the part of a heartbeat that describes one queue
 * @runner: runner
 * @arena: owns what @out points to
 * @queue: team of the queue
 * @list: list the attempts; otherwise only their digest is sent
 * @out: filled in
 */
void lug_runner_fill_held(struct lug_runner *runner, struct lug_arena *arena, const char *queue,
			  gboolean list, Lug__QueueHeld *out)
{
	struct run_queue *state = find_or_add_queue(runner, queue);
	guint count = lug_runner_count(runner);

	lug__queue_held__init(out);
	out->queue = state->queue;
	LUG_SET(out, epoch, state->epoch);
	LUG_SET(out, last_seq, state->last_seq);
	LUG_SET(out, listed, list);
	LUG_SET(out, digest, 0);
	out->held = lug_arena_alloc(arena, sizeof(*out->held) * (count + 1));
	LUG_LIST_FOREACH (&runner->runs, pos) {
		struct lug_run *run = LUG_CONTAINER_OF(pos, struct lug_run, node);

		if (strcmp(run->queue, queue))
			continue;
		out->digest ^= lug_task_digest(run->job, run->index, run->attempt);
		if (!list)
			continue;
		out->held[out->n_held] = lug_arena_alloc(arena, sizeof(Lug__TaskId));
		lug_pack_task(out->held[out->n_held++], run->job, run->index, run->attempt);
	}
}
