#include "workflow/executor_priv.h"

#include <string.h>

/* Interval at which an end is resent until its owner acknowledges it. */
#define END_RESEND_US (700 * 1000)
/* Runs of one shard that a heartbeat lists at most; the next one lists those that follow. */
#define HELD_RUNS_MAX 500
/* Heartbeats per report of the learned interference until an owner requests another number. */
#define INTERFERENCE_INTERVAL_DEFAULT 3

/**
 * exec_answer_start - send the outcome of a start to the shard's owner
 */
void exec_answer_start(struct lug_executor *exec, guint32 shard, const struct lug_run_id *id,
		       enum lug_status status)
{
	Lug__RunAnswer answer = LUG__RUN_ANSWER__INIT;
	struct lug_resources used;
	Lug__Resources wire;
	Lug__RunId run;
	LUG_ENVELOPE(env, RUN_ANSWER, run_answer, &answer);

	exec_reserved(exec, &used);
	lug_resources_to_wire(&used, &wire);
	lug_run_to_wire(id, &run);
	answer.has_shard = 1;
	answer.shard = shard;
	answer.id = &run;
	answer.has_seq = 1;
	answer.seq = exec->owners[shard].last_seq;
	answer.has_status = 1;
	answer.status = (guint32)status;
	answer.used = &wire;
	exec->send(exec->data, shard, &env);
}

/**
 * exec_answer_stop - tell the shard's owner that the stop of a run is in effect
 */
void exec_answer_stop(struct lug_executor *exec, guint32 shard, const struct lug_run_id *id)
{
	Lug__RunStopAnswer answer = LUG__RUN_STOP_ANSWER__INIT;
	Lug__RunId run;
	LUG_ENVELOPE(env, RUN_STOP_ANSWER, run_stop_answer, &answer);

	lug_run_to_wire(id, &run);
	answer.has_shard = 1;
	answer.shard = shard;
	answer.id = &run;
	exec->send(exec->data, shard, &env);
}

/**
 * exec_report_end - report the end of a run to the shard's owner
 */
void exec_report_end(struct lug_executor *exec, struct exec_end *end, gint64 now_us)
{
	Lug__RunEnd report = LUG__RUN_END__INIT;
	struct lug_resources used;
	Lug__Resources wire;
	Lug__RunId run;
	LUG_ENVELOPE(env, RUN_END, run_end, &report);

	exec_reserved(exec, &used);
	lug_resources_to_wire(&used, &wire);
	lug_run_to_wire(&end->id, &run);
	report.has_shard = 1;
	report.shard = end->shard;
	report.id = &run;
	report.has_outcome = 1;
	report.outcome = (guint32)end->outcome;
	report.checkpoint = end->checkpoint;
	report.has_suspected_jobs = end->suspected_jobs > 0;
	report.suspected_jobs = end->suspected_jobs;
	report.has_unconfirmed = end->unconfirmed;
	report.unconfirmed = end->unconfirmed;
	report.has_lease_epoch = 1;
	report.lease_epoch = lug_writer_epoch(exec->writer);
	report.used = &wire;
	if (exec->send(exec->data, end->shard, &env))
		end->sent_us = now_us;
}

/**
 * lug_executor_resend_ends - resend ends that are not acknowledged
 */
void lug_executor_resend_ends(struct lug_executor *exec, gint64 now_us)
{
	for (guint i = 0; i < exec->ends->len; i++) {
		struct exec_end *end = g_ptr_array_index(exec->ends, i);

		if (!end->is_stored && now_us - end->sent_us >= END_RESEND_US)
			exec_report_end(exec, end, now_us);
	}
}

/**
 * lug_executor_ack_end - handle an owner's acknowledgement that an end is stored
 */
void lug_executor_ack_end(struct lug_executor *exec, const Lug__RunEndAck *ack)
{
	struct lug_run_id id;

	if (!lug_run_from_wire(ack->id, &id))
		return;
	for (guint i = 0; i < exec->ends->len; i++) {
		struct exec_end *end = g_ptr_array_index(exec->ends, i);

		if (!lug_run_equal(&end->id, &id))
			continue;
		end->is_stored = TRUE;
		end->stored_epoch = ack->epoch;
		end->is_obsolete = ack->obsolete;
	}
	exec_poll_if_acknowledgeable(exec, lug_now_us());
}

/* Wire form of the bounds of a list that was cut. */
struct list_bounds {
	struct lug_run_id after;
	Lug__RunId after_wire;
	Lug__RunId until_wire;
};

/* A run that a heartbeat lists: one on the worker, or one whose end its owner has not stored. */
struct held_item {
	const struct lug_run_id *id;
	const struct exec_run *run;
	const struct exec_end *end;
};

/* Arrays to which the members of one heartbeat message point. */
struct beat_buffers {
	Lug__Serving *servings;
	Lug__Serving **serving_ptrs;
	Lug__HarmPair *pairs;
	Lug__HarmPair **pair_ptrs;
	Lug__ShardHeld *shards;
	Lug__ShardHeld **shard_ptrs;
	Lug__RunHeld *held;
	Lug__RunId *ids;
	guint n_held;
	struct list_bounds *bounds;
};

static Lug__RunHeld *add_held(struct beat_buffers *buffers, Lug__ShardHeld *shard,
			      const struct lug_run_id *id, gboolean unconfirmed)
{
	Lug__RunHeld *held = &buffers->held[buffers->n_held];

	lug__run_held__init(held);
	lug_run_to_wire(id, &buffers->ids[buffers->n_held]);
	held->id = &buffers->ids[buffers->n_held];
	held->has_unconfirmed = unconfirmed;
	held->unconfirmed = unconfirmed;
	shard->held[shard->n_held++] = held;
	buffers->n_held++;
	return held;
}

static void add_held_run(struct beat_buffers *buffers, Lug__ShardHeld *shard,
			 const struct exec_run *run)
{
	Lug__RunHeld *held = add_held(buffers, shard, &run->id, !run->start_confirmed);

	held->has_percent = 1;
	held->percent = run->progress_percent;
	held->has_figure = 1;
	held->figure = run->metric;
	held->checkpoint = run->checkpoint;
	held->has_share = run->best_effort;
	held->share = run->halted ? 0 : (guint32)(run->share * 100);
	held->has_unsized = run->attributes_missing;
	held->unsized = run->attributes_missing;
}

/* Unacknowledged ends are listed, so that owners don't treat their runs as lost. */
static GArray *held_items(const struct lug_executor *exec, guint32 shard)
{
	GArray *items = g_array_new(FALSE, FALSE, sizeof(struct held_item));

	for (guint i = 0; i < exec->runs->len; i++) {
		const struct exec_run *run = g_ptr_array_index(exec->runs, i);
		struct held_item item = {&run->id, run, NULL};

		if (run->shard == shard)
			g_array_append_val(items, item);
	}
	for (guint i = 0; i < exec->ends->len; i++) {
		const struct exec_end *end = g_ptr_array_index(exec->ends, i);
		struct held_item item = {&end->id, NULL, end};

		if (end->shard == shard && !end->is_stored)
			g_array_append_val(items, item);
	}
	return items;
}

static gint compare_items(gconstpointer a, gconstpointer b)
{
	return lug_run_compare(((const struct held_item *)a)->id,
			       ((const struct held_item *)b)->id);
}

/*
 * Cuts the items to the HELD_RUNS_MAX that follow those of the latest heartbeat, and states the
 * bounds in the message. After the last item, the next heartbeat starts from the first.
 */
static void cut_items(GArray *items, struct exec_owner *owner, Lug__ShardHeld *shard,
		      struct list_bounds *bounds)
{
	guint first = 0;

	g_array_sort(items, compare_items);
	if (owner->list_cut) {
		bounds->after = owner->listed_until;
		lug_run_to_wire(&bounds->after, &bounds->after_wire);
		shard->listed_after = &bounds->after_wire;
	}
	while (owner->list_cut && first < items->len &&
	       lug_run_compare(g_array_index(items, struct held_item, first).id, &bounds->after) <=
		       0)
		first++;
	g_array_remove_range(items, 0, first);
	owner->list_cut = items->len > HELD_RUNS_MAX;
	if (!owner->list_cut)
		return;
	g_array_set_size(items, HELD_RUNS_MAX);
	owner->listed_until = *g_array_index(items, struct held_item, HELD_RUNS_MAX - 1).id;
	lug_run_to_wire(&owner->listed_until, &bounds->until_wire);
	shard->listed_until = &bounds->until_wire;
}

static void fill_shard(struct lug_executor *exec, guint32 number, Lug__ShardHeld *shard,
		       struct beat_buffers *buffers)
{
	struct exec_owner *owner = &exec->owners[number];
	GArray *items = held_items(exec, number);

	lug__shard_held__init(shard);
	shard->has_shard = 1;
	shard->shard = number;
	shard->has_epoch = 1;
	shard->epoch = owner->epoch;
	shard->has_last_seq = 1;
	shard->last_seq = owner->last_seq;
	if (items->len > HELD_RUNS_MAX)
		cut_items(items, owner, shard, &buffers->bounds[number]);
	else
		owner->list_cut = FALSE;
	shard->held = g_new0(Lug__RunHeld *, items->len + 1);
	for (guint i = 0; i < items->len; i++) {
		const struct held_item *item = &g_array_index(items, struct held_item, i);

		if (item->run)
			add_held_run(buffers, shard, item->run);
		else
			add_held(buffers, shard, item->id, item->end->unconfirmed);
	}
	g_array_unref(items);
}

static void fill_status(struct lug_executor *exec, Lug__WorkerBeat *beat, gint64 now_us)
{
	enum lug_evacuation_verdict verdict = exec_check_zone(exec, now_us);

	beat->has_beat = 1;
	beat->beat = ++exec->sent_heartbeat_seq;
	beat->service = exec->service;
	beat->zone = exec->ctx->settings->zone;
	beat->labels = exec->labels;
	beat->n_labels = exec->labels ? g_strv_length(exec->labels) : 0;
	beat->has_draining = 1;
	beat->draining = exec->draining;
	beat->has_ready = 1;
	beat->ready = exec_is_accepting(exec, now_us) && verdict == LUG_EVACUATION_OPEN;
	beat->has_evacuated = verdict == LUG_EVACUATION_EVACUATED;
	beat->evacuated = beat->has_evacuated;
	beat->has_cold_ms = exec->cold_until_us > now_us;
	beat->cold_ms = (guint32)(MAX(exec->cold_until_us - now_us, 0) / 1000);
	beat->has_stopping = 1;
	beat->stopping = exec->shutting_down;
	beat->has_lease_epoch = 1;
	beat->lease_epoch = exec->confirmed_epoch;
	beat->has_life = 1;
	beat->life = exec->worker_incarnation;
	beat->has_failing = 1;
	beat->failing = exec->failures;
	beat->has_spare_millicores = 1;
	beat->spare_millicores = exec_spare_millicores(exec);
	beat->speed_permille = lug_speed_permille(&exec->speed, now_us);
	beat->has_speed_permille = beat->speed_permille > 0;
}

static void fill_interference(struct lug_executor *exec, Lug__WorkerBeat *beat,
			      const struct lug_heartbeat_target *target, GArray *servings,
			      GArray *pairs, struct beat_buffers *buffers)
{
	guint32 interval;

	buffers->servings = g_new0(Lug__Serving, servings->len + 1);
	buffers->serving_ptrs = g_new0(Lug__Serving *, servings->len + 1);
	buffers->pairs = g_new0(Lug__HarmPair, pairs->len + 1);
	buffers->pair_ptrs = g_new0(Lug__HarmPair *, pairs->len + 1);
	beat->servings = buffers->serving_ptrs;
	beat->harm = buffers->pair_ptrs;
	for (guint i = 0; i < servings->len; i++) {
		const struct lug_interference_serving_task *item =
			&g_array_index(servings, struct lug_interference_serving_task, i);
		Lug__Serving *wire = &buffers->servings[i];

		lug__serving__init(wire);
		wire->image = (char *)item->image;
		wire->has_own_load = 1;
		wire->own_load = (float)item->own_load;
		wire->has_limit = 1;
		wire->limit = (float)item->limit;
		wire->has_pressure = 1;
		wire->pressure = (float)item->pressure;
		buffers->serving_ptrs[beat->n_servings++] = wire;
	}
	interval = exec->interference_interval ? exec->interference_interval
					       : INTERFERENCE_INTERVAL_DEFAULT;
	if (target->n_sent % interval)
		return;
	for (guint i = 0; i < pairs->len; i++) {
		lug_interference_to_wire(&g_array_index(pairs, struct lug_interference_pair, i),
					 &buffers->pairs[i]);
		buffers->pair_ptrs[beat->n_harm++] = &buffers->pairs[i];
	}
}

/**
 * lug_executor_merge_interference - merge the interference learned by all agents
 */
void lug_executor_merge_interference(struct lug_executor *exec, const Lug__WorkerBeatAck *ack)
{
	exec->interference_interval = ack->interference_interval;
	for (gsize i = 0; i < ack->n_harm; i++) {
		struct lug_interference_pair pair;

		if (lug_interference_from_wire(ack->harm[i], &pair))
			lug_interference_merge(exec->interference, &pair);
	}
}

/**
 * lug_executor_send_heartbeat - report the worker's state and runs to an owner's process
 * @exec: executor
 * @target: that process
 * @now_us: current time
 *
 * Return: FALSE when the heartbeat was not sent.
 */
gboolean lug_executor_send_heartbeat(struct lug_executor *exec,
				     const struct lug_heartbeat_target *target, gint64 now_us)
{
	guint max = exec->runs->len + exec->ends->len + 1;
	struct beat_buffers buffers = {.shards = g_new0(Lug__ShardHeld, exec->n_shards),
				       .shard_ptrs = g_new0(Lug__ShardHeld *, exec->n_shards),
				       .held = g_new0(Lug__RunHeld, max),
				       .ids = g_new0(Lug__RunId, max),
				       .bounds = g_new0(struct list_bounds, exec->n_shards)};
	GArray *servings = exec_serving_tasks(exec, now_us);
	GArray *pairs = lug_interference_pairs(exec->interference);
	Lug__WorkerBeat beat = LUG__WORKER_BEAT__INIT;
	struct exec_beat_lookahead lookahead;
	struct lug_resources used;
	Lug__Resources used_wire;
	Lug__Resources capacity_wire;
	gboolean sent;
	LUG_ENVELOPE(env, WORKER_BEAT, worker_beat, &beat);

	fill_status(exec, &beat, now_us);
	exec_reserved(exec, &used);
	lug_resources_to_wire(&used, &used_wire);
	lug_resources_to_wire(&exec->capacity, &capacity_wire);
	beat.used = &used_wire;
	beat.capacity = &capacity_wire;
	beat.has_generation = 1;
	beat.generation = target->generation;
	/* The runs are not known until the worker has answered a poll under the current lease. */
	for (guint32 i = 0; i < exec->n_shards && exec->confirmed_epoch; i++) {
		if (!target->is_owner(target->data, i))
			continue;
		fill_shard(exec, i, &buffers.shards[beat.n_shards], &buffers);
		buffers.shard_ptrs[beat.n_shards] = &buffers.shards[beat.n_shards];
		beat.n_shards++;
	}
	beat.shards = buffers.shard_ptrs;
	fill_interference(exec, &beat, target, servings, pairs, &buffers);
	exec_reserve_fill(exec, &beat, target->forecast_wanted, &lookahead, now_us);
	sent = target->send(target->data, &env);
	for (guint i = 0; i < beat.n_shards; i++)
		g_free(buffers.shards[i].held);
	g_array_unref(servings);
	g_array_unref(pairs);
	g_free(buffers.servings);
	g_free(buffers.serving_ptrs);
	g_free(buffers.pairs);
	g_free(buffers.pair_ptrs);
	g_free(buffers.shards);
	g_free(buffers.shard_ptrs);
	g_free(buffers.held);
	g_free(buffers.ids);
	g_free(buffers.bounds);
	return sent;
}
