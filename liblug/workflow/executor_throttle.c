#include "workflow/executor_priv.h"

#include <string.h>

/* Samples closer than this tell little new of a figure that covers half a second. */
#define SAMPLE_US (240 * 1000)
/* Shares are planned for the load by the time that the next sample takes effect. */
#define AHEAD_US (400 * 1000)
/*
 * A serving task may be over its target for 4 s on end through others' doing. After the
 * first time those stand still that are known to press it, after the second all that fill.
 */
#define OVER_US (1000 * 1000)
#define OVER_ALL_US (1900 * 1000)
/*
 * Still over its target and not getting better after all have stood still for this long, it
 * is so by its own load, and stops nobody for a while.
 */
#define OWN_LOAD_US (1900 * 1000)
#define EXCUSED_US (2500 * 1000)
/* Weight from which a task that fills counts as pressing. */
#define PRESSES 0.03

/* A task that fills and would work at less than this is rather placed elsewhere. */
#define START_SPEED 0.4

struct pace_call {
	struct lug_executor *exec;
	guint64 number;
	guint32 percent;
};

static gboolean serves(const struct exec_run *run)
{
	return run->target_ms && run->state == EXEC_RUNNING;
}

static gboolean fills(const struct exec_run *run)
{
	return run->best_effort && (run->state == EXEC_RUNNING || run->state == EXEC_STARTING) &&
	       !run->stopping;
}

static void on_paced(void *data, enum lug_order_result result)
{
	struct pace_call *call = data;
	struct exec_run *run = exec_by_number(call->exec, call->number);

	if (run) {
		exec_note_presence(call->exec, lug_now_us());
		run->pacing = FALSE;
		if (result == LUG_ORDER_OK)
			run->percent_allowed = call->percent;
	}
	g_free(call);
}

static void pace_run(struct lug_executor *exec, struct exec_run *run)
{
	guint32 percent = run->halted ? 0 : (guint32)(run->share * 100 + 0.5);
	struct lug_worker_order order = {
		.id = run->id, .token = lug_writer_epoch(exec->writer), .percent = percent};
	struct pace_call *call;

	if (run->state != EXEC_RUNNING || run->pacing || percent == run->percent_allowed)
		return;
	call = g_new0(struct pace_call, 1);
	call->exec = exec;
	call->number = run->number;
	call->percent = percent;
	run->pacing = TRUE;
	lug_count(exec->ctx, TASKS_THROTTLED, 1);
	exec->worker->ops->throttle(exec->worker, &order, on_paced, call);
}

/**
 * exec_servings - serving tasks of the worker with their latencies
 *
 * Return: array of struct lug_interference_serving, owned by the caller.
 */
GArray *exec_servings(const struct lug_executor *exec, gint64 now_us)
{
	GArray *out = g_array_new(FALSE, FALSE, sizeof(struct lug_interference_serving));

	for (guint i = 0; i < exec->runs->len; i++) {
		const struct exec_run *run = g_ptr_array_index(exec->runs, i);
		struct lug_interference_serving serving = {
			run->image, lug_load_ahead(&run->load, now_us, AHEAD_US), run->limit,
			run->pressure};

		if (serves(run) && run->limit > 0)
			g_array_append_val(out, serving);
	}
	return out;
}

static struct exec_presence *presence_of(struct lug_executor *exec, const struct exec_run *run)
{
	struct exec_presence fresh = {.number = run->number,
				      .image = run->image,
				      .strength = run->strength,
				      .strength_var = run->strength_var};

	for (guint i = 0; i < exec->present->len; i++)
		if (g_array_index(exec->present, struct exec_presence, i).number == run->number)
			return &g_array_index(exec->present, struct exec_presence, i);
	/* It came within the span: its least is 0, but for the first note of the span. */
	fresh.least = exec->present_noted ? 0 : G_MAXDOUBLE;
	g_array_append_val(exec->present, fresh);
	return &g_array_index(exec->present, struct exec_presence, exec->present->len - 1);
}

/**
 * exec_note_presence - add up how long and how fast tasks that fill have worked
 *
 * Weighted as the worker's moving average weighs the same span; called before each change.
 */
void exec_note_presence(struct lug_executor *exec, gint64 now_us)
{
	double keep = exec->presence_us ? lug_load_keep(now_us - exec->presence_us) : 0;

	exec->presence_us = now_us;
	for (guint i = 0; i < exec->present->len; i++)
		g_array_index(exec->present, struct exec_presence, i).now = 0;
	for (guint i = 0; i < exec->runs->len; i++) {
		const struct exec_run *run = g_ptr_array_index(exec->runs, i);

		if (run->best_effort && run->state == EXEC_RUNNING)
			presence_of(exec, run)->now = run->percent_allowed / 100.0;
	}
	for (guint i = 0; i < exec->present->len; i++) {
		struct exec_presence *item = &g_array_index(exec->present, struct exec_presence, i);

		item->sum = item->sum * keep + (1 - keep) * item->now;
		item->least = MIN(item->least, item->now);
		item->most = MAX(item->most, item->now);
	}
	exec->present_noted = TRUE;
}

static struct lug_interference_presence *presences(const struct lug_executor *exec, gint64 now_us)
{
	struct lug_interference_presence *out =
		g_new0(struct lug_interference_presence, exec->present->len + 1);
	double weight = 1 - lug_load_keep(now_us - exec->sample_us);

	for (guint i = 0; i < exec->present->len; i++) {
		const struct exec_presence *item =
			&g_array_index(exec->present, struct exec_presence, i);

		out[i] = (struct lug_interference_presence){
			.image = item->image,
			.share = item->sum / weight,
			.least = item->least,
			.most = item->most,
			.strength = item->strength,
			.strength_var = lug_interference_strength_var(item->strength_var,
								      now_us - exec->sample_us),
		};
	}
	return out;
}

static void take_strengths(struct lug_executor *exec,
			   const struct lug_interference_presence *present)
{
	for (guint i = 0; i < exec->present->len; i++) {
		struct exec_run *run = exec_by_number(
			exec, g_array_index(exec->present, struct exec_presence, i).number);

		if (!run)
			continue;
		run->strength = present[i].strength;
		run->strength_var = present[i].strength_var;
	}
}

static void learn(struct lug_executor *exec, gint64 now_us)
{
	struct lug_interference_presence *present = presences(exec, now_us);

	for (guint i = 0; i < exec->runs->len; i++) {
		struct exec_run *run = g_ptr_array_index(exec->runs, i);
		struct lug_interference_sample sample = {run->image, (double)run->metric,
							 run->target_ms, now_us};

		if (serves(run) && run->metric > 0)
			run->limit = lug_interference_observe(exec->interference, &run->load,
							      &sample, present, exec->present->len);
	}
	take_strengths(exec, present);
	g_free(present);
	g_array_set_size(exec->present, 0);
	exec->present_noted = FALSE;
}

static void plan(struct lug_executor *exec, gint64 now_us)
{
	GArray *servings = exec_servings(exec, now_us);
	struct lug_interference_task *fillers =
		g_new0(struct lug_interference_task, exec->runs->len + 1);
	guint n = 0;

	for (guint i = 0; i < exec->runs->len; i++) {
		const struct exec_run *run = g_ptr_array_index(exec->runs, i);

		if (!fills(run))
			continue;
		fillers[n].image = run->image;
		fillers[n].strength = run->strength;
		fillers[n++].share = run->share;
	}
	lug_interference_plan(exec->interference,
			      (struct lug_interference_serving *)(void *)servings->data,
			      servings->len, fillers, n);
	n = 0;
	for (guint i = 0, k = 0; i < exec->runs->len; i++) {
		struct exec_run *run = g_ptr_array_index(exec->runs, i);

		if (fills(run))
			run->share = fillers[n++].share;
		if (serves(run) && run->limit > 0)
			run->pressure =
				g_array_index(servings, struct lug_interference_serving, k++)
					.pressure;
	}
	g_free(fillers);
	g_array_unref(servings);
}

static void stop_pressing(struct lug_executor *exec, const struct exec_run *serving, gboolean all)
{
	for (guint i = 0; i < exec->runs->len; i++) {
		struct exec_run *run = g_ptr_array_index(exec->runs, i);

		if (fills(run) &&
		    (all || lug_interference_weight(exec->interference, serving->image,
						    run->image) >= PRESSES))
			run->halted = TRUE;
	}
}

/* Lets tasks that fill stand still where a serving task has been over its target too long. */
static void watch_targets(struct lug_executor *exec, gint64 now_us)
{
	for (guint i = 0; i < exec->runs->len; i++)
		((struct exec_run *)g_ptr_array_index(exec->runs, i))->halted = FALSE;
	for (guint i = 0; i < exec->runs->len; i++) {
		struct exec_run *run = g_ptr_array_index(exec->runs, i);
		gint64 over_us;

		if (!serves(run) || run->metric <= run->target_ms) {
			run->over_us = 0;
			run->still_us = 0;
			continue;
		}
		if (!run->over_us)
			run->over_us = now_us;
		over_us = now_us - run->over_us;
		if (over_us < OVER_US || now_us < run->excused_us)
			continue;
		if (over_us >= OVER_ALL_US && !run->still_us) {
			run->still_us = now_us;
			run->still_figure = run->metric;
		}
		if (run->still_us && now_us - run->still_us >= OWN_LOAD_US) {
			if (run->metric >= run->still_figure * 8 / 10) {
				run->excused_us = now_us + EXCUSED_US;
				run->over_us = 0;
			}
			run->still_us = 0;
			run->still_figure = run->metric;
		}
		stop_pressing(exec, run, over_us >= OVER_ALL_US);
	}
}

static void pace_all(struct lug_executor *exec)
{
	for (guint i = 0; i < exec->runs->len; i++) {
		struct exec_run *run = g_ptr_array_index(exec->runs, i);

		if (fills(run))
			pace_run(exec, run);
	}
}

/**
 * exec_has_speed - tell whether a task that fills would find room to work
 * @exec: executor
 * @image: its image, interned
 * @millicores: cores that it can use
 * @now_us: present time
 *
 * Owners place by what they were told, several of them at the same time. A task works at its
 * full share until it is throttled, so those that come at once would saturate serving tasks.
 */
gboolean exec_has_speed(const struct lug_executor *exec, const char *image, gint64 millicores,
			gint64 now_us)
{
	GArray *servings = exec_servings(exec, now_us);
	double spare = (double)exec_spare(exec) / (double)MAX(millicores, 1);
	double share = lug_interference_allowed_share(
		exec->interference, image,
		(const struct lug_interference_serving *)(void *)servings->data, servings->len);

	g_array_unref(servings);
	return share * CLAMP(spare, 0, 1) >= START_SPEED;
}

/**
 * exec_pace_new - share the room anew with a task that fills and has just begun
 *
 * Where several begin at once, each takes from what the others have left.
 */
void exec_pace_new(struct lug_executor *exec, struct exec_run *run)
{
	if (!run->best_effort)
		return;
	plan(exec, lug_now_us());
	pace_all(exec);
}

/**
 * exec_pace - let the tasks that fill yield to those that serve
 *
 * Called after each look at the worker.
 */
void exec_pace(struct lug_executor *exec, gint64 now_us)
{
	if (now_us - exec->sample_us >= SAMPLE_US) {
		learn(exec, now_us);
		exec->sample_us = now_us;
		plan(exec, now_us);
		watch_targets(exec, now_us);
	}
	pace_all(exec);
}
