#include "job/runner_priv.h"

#include <string.h>

#include "wire/pack.h"

#define REPORT_US (1000 * 1000)
#define STOP_AGAIN_US (1500 * 1000)
#define FULL_PERCENT 100

static void queue_free(gpointer data)
{
	struct run_queue *queue = data;

	g_free(queue->queue);
	g_free(queue);
}

/**
 * lug_runner_new - create a runner that knows nothing of its worker yet
 * @env: what it needs, copied
 */
struct lug_runner *lug_runner_new(const struct lug_runner_env *env)
{
	struct lug_runner *runner = g_new0(struct lug_runner, 1);

	runner->env = *env;
	runner->throttle = FULL_PERCENT;
	runner->queues = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, queue_free);
	runner->reserve.service.millicores = env->ctx->settings->service_cores;
	runner->reserve.service.memory = env->ctx->settings->service_memory;
	lug_list_init(&runner->runs);
	return runner;
}

/**
 * lug_runner_free - release; the worker's client must be freed before
 * @runner: may be NULL
 */
void lug_runner_free(struct lug_runner *runner)
{
	if (!runner)
		return;
	LUG_LIST_FOREACH_SAFE (&runner->runs, pos, tmp)
		run_free(runner, LUG_CONTAINER_OF(pos, struct lug_run, node));
	g_hash_table_unref(runner->queues);
	g_free(runner->boot);
	g_free(runner);
}

/**
 * run_find - attempt that is held, NULL when it is not
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
 * run_new - hold an attempt
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

static void give_back(struct lug_runner *runner, struct lug_run *run)
{
	if (run->reserved)
		lug_reserve_give(&runner->reserve, &run->size);
	run->reserved = FALSE;
}

/**
 * run_free - hold an attempt no longer
 */
void run_free(struct lug_runner *runner, struct lug_run *run)
{
	give_back(runner, run);
	lug_list_remove(&run->node);
	g_free(run->checkpoint);
	g_free(run);
}

static struct run_queue *queue_of(struct lug_runner *runner, const char *name)
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
 * lug_runner_queue_epoch - refuse starts of former owners from now on
 * @runner: runner
 * @queue: team of the queue
 * @epoch: epoch of its owner
 */
void lug_runner_queue_epoch(struct lug_runner *runner, const char *queue, guint64 epoch)
{
	struct run_queue *known = queue_of(runner, queue);

	if (epoch <= known->epoch)
		return;
	known->epoch = epoch;
	known->last_seq = 0;
}

/**
 * lug_runner_send - send to the owner of a queue
 * @runner: runner
 * @queue: team of the queue
 * @env: envelope with its body set
 *
 * Return: FALSE when the owner is not known or not connected.
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
 * run_report - tell the owner how an attempt ended
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
 * run_end - note the end of an attempt and report it
 */
void run_end(struct lug_runner *runner, struct lug_run *run, guint32 outcome, const char *detail,
	     gint64 now_us)
{
	struct lug_ctx *ctx = runner->env.ctx;

	run->state = LUG_RUN_ENDED;
	run->outcome = outcome;
	g_strlcpy(run->detail, detail, sizeof(run->detail));
	give_back(runner, run);
	if (outcome == LUG_OUTCOME_DONE)
		lug_count(ctx, TASKS_FINISHED, 1);
	if (outcome == LUG_OUTCOME_DONE || outcome == LUG_OUTCOME_FAILED)
		lug_health_result(&runner->health, outcome == LUG_OUTCOME_DONE, run->proven,
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
 * run_reply - answer a start
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

static void adopt_task(struct lug_runner *runner, JsonObject *task)
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
	/* What runs already counts, also where it is more than would be admitted now. */
	lug_resources_add(&runner->reserve.tasks, &run->size);
	run->reserved = TRUE;
}

/**
 * lug_runner_adopt - learn from the worker what it has and what still runs there
 * @runner: runner
 * @state: answer of the worker
 */
void lug_runner_adopt(struct lug_runner *runner, JsonObject *state)
{
	JsonArray *tasks = lug_json_arr(state, "tasks");

	runner->reserve.total.millicores = lug_json_int(state, "millicores", 0);
	runner->reserve.total.memory = lug_json_int(state, "memory_bytes", 0);
	runner->reserve.total.accelerators = lug_json_int(state, "accelerators", 0);
	g_free(runner->boot);
	runner->boot = g_strdup(lug_json_str(state, "boot", ""));
	runner->event_seq = 0;
	for (guint i = 0; tasks && i < json_array_get_length(tasks); i++)
		adopt_task(runner, json_array_get_object_element(tasks, i));
	runner->ready = TRUE;
}

/**
 * lug_runner_clear - drop all attempts after the worker has killed them
 * @runner: runner
 */
void lug_runner_clear(struct lug_runner *runner)
{
	LUG_LIST_FOREACH_SAFE (&runner->runs, pos, tmp)
		run_free(runner, LUG_CONTAINER_OF(pos, struct lug_run, node));
	runner->generation++;
}

static void tick_run(struct lug_runner *runner, struct lug_run *run, gint64 now_us)
{
	if (run->state == LUG_RUN_ENDED && now_us - run->sent_us >= REPORT_US)
		run_report(runner, run, now_us);
	if (run->state == LUG_RUN_STOPPING && !run->calling &&
	    now_us - run->sent_us >= STOP_AGAIN_US)
		worker_stop(runner, run, now_us);
	if (runner->draining && run->state == LUG_RUN_RUNNING) {
		run->want_checkpoint = TRUE;
		worker_stop(runner, run, now_us);
	}
}

/**
 * lug_runner_tick - repeat reports and stops, follow the worker's events
 * @runner: runner
 * @now_us: present time
 */
void lug_runner_tick(struct lug_runner *runner, gint64 now_us)
{
	if (!runner->ready)
		return;
	worker_poll(runner, now_us);
	LUG_LIST_FOREACH_SAFE (&runner->runs, pos, tmp)
		tick_run(runner, LUG_CONTAINER_OF(pos, struct lug_run, node), now_us);
	lug_gauge(runner->env.ctx, TASKS_RUNNING, lug_runner_count(runner));
}

/**
 * lug_runner_drain - checkpoint what runs and take nothing new, or work again
 */
void lug_runner_drain(struct lug_runner *runner, gboolean drain)
{
	runner->draining = drain;
}

/**
 * lug_runner_draining - tell whether the runner takes nothing new
 */
gboolean lug_runner_draining(const struct lug_runner *runner)
{
	return runner->draining;
}

/**
 * lug_runner_empty - tell whether no attempt is held
 */
gboolean lug_runner_empty(const struct lug_runner *runner)
{
	return lug_list_empty(&runner->runs);
}

static const char *admit(struct lug_runner *runner, const Lug__Start *start,
			 const struct lug_resources *size, gint64 now_us)
{
	struct lug_resources room = lug_reserve_room(&runner->reserve);

	if (!runner->ready || !lug_lease_valid(runner->env.lease, now_us))
		return "no valid lease";
	if (start->worker_epoch != lug_lease_epoch(runner->env.lease))
		return "another lease epoch";
	if (runner->draining)
		return "draining";
	if (!lug_resources_fit(size, &room))
		return "no room";
	return NULL;
}

static void refuse(struct lug_runner *runner, const struct lug_route *route,
		   const Lug__Start *start, enum lug_status status, const char *why)
{
	Lug__StartReply reply = LUG__START_REPLY__INIT;
	LUG_ENVELOPE(env, START_REPLY, start_reply, &reply);

	lug_count(runner->env.ctx, TASKS_REFUSED, 1);
	reply.queue = start->queue;
	reply.task = start->task;
	LUG_SET(&reply, status, status);
	reply.detail = (char *)why;
	lug_link_send(runner->env.link, route, &env);
}

static void release_hold(struct lug_runner *runner, const struct lug_resources *size)
{
	lug_resources_sub(&runner->held, size);
	runner->held.millicores = MAX(runner->held.millicores, 0);
	runner->held.memory = MAX(runner->held.memory, 0);
	runner->held.accelerators = MAX(runner->held.accelerators, 0);
}

/**
 * lug_runner_start - admit or refuse an attempt
 * @runner: runner
 * @route: where an answer goes
 * @start: the start
 * @now_us: present time
 *
 * A start from a former owner, or one that is not newer than the last one seen, is
 * dropped without an answer.
 */
void lug_runner_start(struct lug_runner *runner, const struct lug_route *route,
		      const Lug__Start *start, gint64 now_us)
{
	struct lug_resources size = lug_unpack_resources(start->size);
	struct run_queue *queue;
	struct lug_run *run;
	const char *why;

	if (!start->queue || !start->task || !start->task->job ||
	    strlen(start->queue) > LUG_JOB_KIND_MAX || strlen(start->task->job) > LUG_JOB_ID_MAX)
		return;
	queue = queue_of(runner, start->queue);
	lug_runner_queue_epoch(runner, start->queue, start->epoch);
	if (start->epoch < queue->epoch || start->seq <= queue->last_seq)
		return;
	queue->last_seq = start->seq;
	run = run_find(runner, start->task->job, start->task->index, start->task->attempt);
	if (run) {
		run_reply(runner, run, LUG_OK, NULL);
		return;
	}
	why = admit(runner, start, &size, now_us);
	if (why) {
		/* Under another epoch the attempt may have run here before: a beat must tell. */
		refuse(runner, route, start,
		       start->worker_epoch == lug_lease_epoch(runner->env.lease) ? LUG_NOT_RUN
										 : LUG_FENCED,
		       why);
		return;
	}
	lug_reserve_take(&runner->reserve, &size);
	release_hold(runner, &size);
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
 * lug_runner_stop - stop an attempt on its owner's behalf
 * @runner: runner
 * @stop: the stop
 * @now_us: present time
 */
void lug_runner_stop(struct lug_runner *runner, const Lug__Stop *stop, gint64 now_us)
{
	struct run_queue *queue;
	struct lug_run *run;

	if (!stop->queue || !stop->task || !stop->task->job)
		return;
	queue = queue_of(runner, stop->queue);
	lug_runner_queue_epoch(runner, stop->queue, stop->epoch);
	if (stop->epoch < queue->epoch || stop->seq <= queue->last_seq)
		return;
	queue->last_seq = stop->seq;
	run = run_find(runner, stop->task->job, stop->task->index, stop->task->attempt);
	if (!run || run->state != LUG_RUN_RUNNING)
		return;
	run->want_checkpoint = stop->checkpoint;
	worker_stop(runner, run, now_us);
}

/**
 * lug_runner_report_ack - forget an attempt whose end is committed
 * @runner: runner
 * @ack: acknowledgement
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
 * lug_runner_health - whether the worker fails what runs well elsewhere
 */
const struct lug_health *lug_runner_health(const struct lug_runner *runner)
{
	return &runner->health;
}

/**
 * lug_runner_room - room that is neither reserved nor held for an offer
 */
struct lug_resources lug_runner_room(const struct lug_runner *runner)
{
	struct lug_resources room = lug_reserve_room(&runner->reserve);

	lug_resources_sub(&room, &runner->held);
	room.millicores = MAX(room.millicores, 0);
	room.memory = MAX(room.memory, 0);
	room.accelerators = MAX(room.accelerators, 0);
	return room;
}

/**
 * lug_runner_capacity - what batch tasks may use in all
 */
struct lug_resources lug_runner_capacity(const struct lug_runner *runner)
{
	return lug_reserve_capacity(&runner->reserve);
}

/**
 * lug_runner_hold - keep room for an offer that is out
 * @runner: runner
 * @room: room kept, nothing to end the hold
 */
void lug_runner_hold(struct lug_runner *runner, const struct lug_resources *room)
{
	runner->held = *room;
}

/**
 * lug_runner_count - number of attempts held
 */
guint lug_runner_count(const struct lug_runner *runner)
{
	guint n = 0;

	LUG_LIST_FOREACH (&runner->runs, pos)
		n++;
	return n;
}

/**
 * lug_runner_holds_queue - tell whether an attempt of a queue is held
 */
gboolean lug_runner_holds_queue(const struct lug_runner *runner, const char *queue)
{
	LUG_LIST_FOREACH (&runner->runs, pos)
		if (!strcmp(LUG_CONTAINER_OF(pos, struct lug_run, node)->queue, queue))
			return TRUE;
	return FALSE;
}

/**
 * lug_runner_fill_held - list what is held of one queue, for a beat
 * @runner: runner
 * @arena: owns what the list points to
 * @queue: team of the queue
 * @list: list the attempts; otherwise only their digest is told
 * @out: filled in
 */
void lug_runner_fill_held(struct lug_runner *runner, struct lug_arena *arena, const char *queue,
			  gboolean list, Lug__QueueHeld *out)
{
	struct run_queue *known = queue_of(runner, queue);
	guint count = lug_runner_count(runner);

	lug__queue_held__init(out);
	out->queue = known->queue;
	LUG_SET(out, epoch, known->epoch);
	LUG_SET(out, last_seq, known->last_seq);
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
