#include "workflow/executor_priv.h"

#include <string.h>

#include "schedule/yield_limits.h"

/*
 * The reported tail latency is a moving average (AVERAGE_TIME_CONSTANT_US in serving_load.c), so
 * more frequent samples add little information. Shorter than POLL_WAIT_MS, so that each poll that
 * waits for its full time gives a sample.
 */
#define SAMPLE_INTERVAL_US (240 * 1000)
/* Bounds the time that one sample counts for, as before the first one and when polls fail. */
#define SAMPLE_SPAN_MAX_US (500 * 1000)
/* Shares are planned for the load expected when the next sample takes effect. */
#define PLAN_AHEAD_US (400 * 1000)
/*
 * Interference may keep a serving task above its target for at most 4 s in a row. Once it has been
 * above the target for HALT_INTERFERING_AFTER_US, the best-effort tasks that are known to interfere
 * with it are halted; after HALT_ALL_AFTER_US, all best-effort tasks.
 */
#define HALT_INTERFERING_AFTER_US (1000 * 1000)
#define HALT_ALL_AFTER_US (1900 * 1000)
/*
 * When the tail latency of a serving task is still above its target and has not fallen by more than
 * 20 % after all best-effort tasks were halted for ALL_HALTED_TRIAL_US, its own requests overload
 * it. No task is then halted for it for UNPROTECTED_US.
 */
#define ALL_HALTED_TRIAL_US (1900 * 1000)
#define UNPROTECTED_US (2500 * 1000)
/*
 * Utilisation that a best-effort task at full speed takes from a serving task, from which it counts
 * as interfering with it. Same value as THROTTLED_WEIGHT_MIN in interference.c.
 */
#define MIN_INTERFERING_WEIGHT 0.05

/*
 * A best-effort task that would run below this part of full speed is refused, so that its owner
 * places it on another worker.
 */
#define MIN_START_SPEED 0.4

/*
 * Context of a throttle, sent to one incarnation of the worker. The run may be removed during the
 * call.
 */
struct throttle_call {
	struct lug_executor *exec;
	guint64 local_id;
	guint64 incarnation;
	guint32 percent;
};

static gboolean is_serving(const struct exec_run *run)
{
	return run->target_ms && run->state == EXEC_RUNNING;
}

static gboolean is_active_best_effort(const struct exec_run *run)
{
	return run->best_effort && (run->state == EXEC_RUNNING || run->state == EXEC_STARTING) &&
	       !run->stopping;
}

static void on_throttled(void *data, enum lug_order_result result)
{
	struct throttle_call *call = data;
	struct exec_run *run = exec_run_by_local_id(call->exec, call->local_id);

	if (run) {
		exec_record_shares(call->exec, lug_now_us());
		run->throttle_in_flight = FALSE;
		if (result == LUG_ORDER_OK && call->incarnation == call->exec->worker_incarnation)
			run->applied_percent = call->percent;
	}
	g_free(call);
}

static void throttle_run(struct lug_executor *exec, struct exec_run *run)
{
	guint32 percent = run->halted ? 0 : (guint32)(run->share * 100 + 0.5);
	struct lug_worker_order order = {
		.id = run->id,
		.token = exec_token(exec),
		.worker = exec_target_id(exec),
		.percent = percent,
	};
	struct throttle_call *call;

	if (run->state != EXEC_RUNNING || run->throttle_in_flight ||
	    percent == run->applied_percent)
		return;
	call = g_new0(struct throttle_call, 1);
	call->exec = exec;
	call->local_id = run->local_id;
	call->incarnation = exec->worker_incarnation;
	call->percent = percent;
	run->throttle_in_flight = TRUE;
	lug_count(exec->ctx, THROTTLE_CHANGES, 1);
	exec->worker->ops->throttle(exec->worker, &order, on_throttled, call);
}

/**
 * exec_serving_tasks - list the worker's serving tasks with their predicted load
 *
 * Return: array of struct lug_interference_serving_task, owned by the caller.
 */
GArray *exec_serving_tasks(const struct lug_executor *exec, gint64 now_us)
{
	GArray *out = g_array_new(FALSE, FALSE, sizeof(struct lug_interference_serving_task));

	for (guint i = 0; i < exec->runs->len; i++) {
		const struct exec_run *run = g_ptr_array_index(exec->runs, i);
		struct lug_interference_serving_task serving = {
			run->image, lug_serving_load_extrapolate(&run->load, now_us, PLAN_AHEAD_US),
			run->limit, run->pressure};

		if (is_serving(run) && run->limit > 0)
			g_array_append_val(out, serving);
	}
	return out;
}

static struct exec_task_shares *find_or_add_task_shares(struct lug_executor *exec,
							const struct exec_run *run)
{
	struct exec_task_shares fresh = {.local_id = run->local_id,
					 .image = run->image,
					 .strength = run->strength,
					 .strength_var = run->strength_var};

	for (guint i = 0; i < exec->task_shares->len; i++)
		if (g_array_index(exec->task_shares, struct exec_task_shares, i).local_id ==
		    run->local_id)
			return &g_array_index(exec->task_shares, struct exec_task_shares, i);
	/* A task added after the interval's first record had a share of 0 before it. */
	fresh.min_share = exec->shares_recorded ? 0 : G_MAXDOUBLE;
	g_array_append_val(exec->task_shares, fresh);
	return &g_array_index(exec->task_shares, struct exec_task_shares,
			      exec->task_shares->len - 1);
}

/**
 * exec_record_shares - update the average shares of the best-effort tasks
 *
 * Called before each change of a share. The average uses the same weights as the moving average
 * by which the worker reports tail latencies.
 */
void exec_record_shares(struct lug_executor *exec, gint64 now_us)
{
	double old_weight = exec->shares_updated_us
				    ? lug_serving_load_decay(now_us - exec->shares_updated_us)
				    : 0;

	exec->shares_updated_us = now_us;
	for (guint i = 0; i < exec->task_shares->len; i++)
		g_array_index(exec->task_shares, struct exec_task_shares, i).share = 0;
	for (guint i = 0; i < exec->runs->len; i++) {
		const struct exec_run *run = g_ptr_array_index(exec->runs, i);

		if (run->best_effort && run->state == EXEC_RUNNING)
			find_or_add_task_shares(exec, run)->share = run->applied_percent / 100.0;
	}
	for (guint i = 0; i < exec->task_shares->len; i++) {
		struct exec_task_shares *item =
			&g_array_index(exec->task_shares, struct exec_task_shares, i);

		item->share_avg = item->share_avg * old_weight + (1 - old_weight) * item->share;
		item->min_share = MIN(item->min_share, item->share);
		item->max_share = MAX(item->max_share, item->share);
	}
	exec->shares_recorded = TRUE;
}

static struct lug_interference_observed_task *average_task_shares(const struct lug_executor *exec,
								  gint64 now_us)
{
	struct lug_interference_observed_task *out =
		g_new0(struct lug_interference_observed_task, exec->task_shares->len + 1);
	/* The averages start from 0 after each sample; this is the total weight of their values. */
	double weight = 1 - lug_serving_load_decay(now_us - exec->last_sample_us);

	for (guint i = 0; i < exec->task_shares->len; i++) {
		const struct exec_task_shares *item =
			&g_array_index(exec->task_shares, struct exec_task_shares, i);

		out[i] = (struct lug_interference_observed_task){
			.image = item->image,
			.share = item->share_avg / weight,
			.min_share = item->min_share,
			.max_share = item->max_share,
			.strength = item->strength,
			.strength_var = lug_interference_strength_var(
				item->strength_var, now_us - exec->last_sample_us),
		};
	}
	return out;
}

static void apply_strengths(struct lug_executor *exec,
			    const struct lug_interference_observed_task *observed)
{
	for (guint i = 0; i < exec->task_shares->len; i++) {
		struct exec_run *run = exec_run_by_local_id(
			exec,
			g_array_index(exec->task_shares, struct exec_task_shares, i).local_id);

		if (!run)
			continue;
		run->strength = observed[i].strength;
		run->strength_var = observed[i].strength_var;
	}
}

static void update_interference(struct lug_executor *exec, gint64 now_us)
{
	struct lug_interference_observed_task *observed = average_task_shares(exec, now_us);

	for (guint i = 0; i < exec->runs->len; i++) {
		struct exec_run *run = g_ptr_array_index(exec->runs, i);
		/* The metric of a serving task is its tail latency in ms. */
		struct lug_interference_sample sample = {run->image, (double)run->metric,
							 run->target_ms, now_us};

		if (is_serving(run) && run->metric > 0)
			run->limit =
				lug_interference_observe(exec->interference, &run->load, &sample,
							 observed, exec->task_shares->len);
	}
	apply_strengths(exec, observed);
	g_free(observed);
	g_array_set_size(exec->task_shares, 0);
	exec->shares_recorded = FALSE;
}

static gboolean is_yielding(const struct exec_run *run)
{
	return lug_yield_is_yielding(run->yield.effective);
}

/* The active best-effort tasks that yield, or those that don't, in the order of the runs. */
static GArray *list_tasks(const struct lug_executor *exec, gboolean yielding)
{
	GArray *out = g_array_new(FALSE, FALSE, sizeof(struct lug_interference_task));

	for (guint i = 0; i < exec->runs->len; i++) {
		const struct exec_run *run = g_ptr_array_index(exec->runs, i);
		struct lug_interference_task task = {run->image, run->share, run->strength};

		if (is_active_best_effort(run) && is_yielding(run) == yielding)
			g_array_append_val(out, task);
	}
	return out;
}

/* Sets the shares from a list of list_tasks(), and releases it. */
static void apply_shares(struct lug_executor *exec, gboolean yielding, GArray *tasks)
{
	guint n = 0;

	for (guint i = 0; i < exec->runs->len; i++) {
		struct exec_run *run = g_ptr_array_index(exec->runs, i);

		if (is_active_best_effort(run) && is_yielding(run) == yielding)
			run->share = g_array_index(tasks, struct lug_interference_task, n++).share;
	}
	g_array_unref(tasks);
}

static void apply_pressures(struct lug_executor *exec, const GArray *servings)
{
	guint n = 0;

	/* @servings is in the order of the runs. */
	for (guint i = 0; i < exec->runs->len; i++) {
		struct exec_run *run = g_ptr_array_index(exec->runs, i);

		if (is_serving(run) && run->limit > 0)
			run->pressure =
				g_array_index(servings, struct lug_interference_serving_task, n++)
					.pressure;
	}
}

static void plan_shares(struct lug_executor *exec, gint64 now_us)
{
	GArray *servings = exec_serving_tasks(exec, now_us);
	GArray *normal = list_tasks(exec, FALSE);
	GArray *yielding = list_tasks(exec, TRUE);

	lug_interference_plan(
		exec->interference, (struct lug_interference_serving_task *)(void *)servings->data,
		servings->len, (struct lug_interference_task *)(void *)normal->data, normal->len);
	if (yielding->len)
		lug_interference_plan_yielding(
			exec->interference,
			(struct lug_interference_serving_task *)(void *)servings->data,
			servings->len, (struct lug_interference_task *)(void *)yielding->data,
			yielding->len, LUG_YIELD_MARGIN);
	apply_shares(exec, FALSE, normal);
	apply_shares(exec, TRUE, yielding);
	apply_pressures(exec, servings);
	g_array_unref(servings);
}

static void update_urgencies(struct lug_executor *exec, gint64 now_us)
{
	for (guint i = 0; i < exec->runs->len; i++) {
		struct exec_run *run = g_ptr_array_index(exec->runs, i);

		if (is_active_best_effort(run))
			lug_yield_update_task(&run->yield, run->progress_percent,
					      run->halted || run->share <= 0, now_us);
	}
}

static void halt_interfering(struct lug_executor *exec, const struct exec_run *serving,
			     gboolean all)
{
	for (guint i = 0; i < exec->runs->len; i++) {
		struct exec_run *run = g_ptr_array_index(exec->runs, i);

		if (is_active_best_effort(run) &&
		    (all || lug_interference_weight(exec->interference, serving->image,
						    run->image) >= MIN_INTERFERING_WEIGHT))
			run->halted = TRUE;
	}
}

static gboolean is_overloaded_alone(const struct exec_run *run)
{
	struct lug_interference_serving_task serving = {run->image, run->load.level, run->limit, 0};

	return lug_interference_is_overloaded_alone(&serving);
}

/* Halts the yielding tasks if they put a serving task over its target, see yield.h. */
static void halt_yielding(struct lug_executor *exec, gint64 now_us)
{
	gboolean halting = FALSE;

	for (guint i = 0; i < exec->runs->len; i++) {
		struct exec_run *run = g_ptr_array_index(exec->runs, i);

		if (is_serving(run) &&
		    lug_yield_update_serving(
			    &run->yield_serving, run->metric > run->target_ms,
			    is_overloaded_alone(run) || now_us < run->unprotected_until_us, now_us))
			halting = TRUE;
	}
	exec->halts_yielding = halting;
	for (guint i = 0; i < exec->runs->len && halting; i++) {
		struct exec_run *run = g_ptr_array_index(exec->runs, i);

		if (is_active_best_effort(run) && is_yielding(run))
			run->halted = TRUE;
	}
}

/* Decides anew which best-effort tasks are halted; see HALT_INTERFERING_AFTER_US. */
static void update_halted_tasks(struct lug_executor *exec, gint64 now_us)
{
	for (guint i = 0; i < exec->runs->len; i++) {
		struct exec_run *run = g_ptr_array_index(exec->runs, i);

		run->was_halted = run->halted;
		run->halted = FALSE;
	}
	for (guint i = 0; i < exec->runs->len; i++) {
		struct exec_run *run = g_ptr_array_index(exec->runs, i);
		gint64 over_span_us;

		if (!is_serving(run) || run->metric <= run->target_ms) {
			run->over_target_since_us = 0;
			run->all_halted_us = 0;
			continue;
		}
		if (!run->over_target_since_us)
			run->over_target_since_us = now_us;
		over_span_us = now_us - run->over_target_since_us;
		if (over_span_us < HALT_INTERFERING_AFTER_US || now_us < run->unprotected_until_us)
			continue;
		if (over_span_us >= HALT_ALL_AFTER_US && !run->all_halted_us) {
			run->all_halted_us = now_us;
			run->all_halted_metric = run->metric;
		}
		/* The trial is over: see ALL_HALTED_TRIAL_US. */
		if (run->all_halted_us && now_us - run->all_halted_us >= ALL_HALTED_TRIAL_US) {
			if (run->metric >= run->all_halted_metric * 8 / 10) {
				run->unprotected_until_us = now_us + UNPROTECTED_US;
				run->over_target_since_us = 0;
			}
			run->all_halted_us = 0;
			run->all_halted_metric = run->metric;
		}
		halt_interfering(exec, run, over_span_us >= HALT_ALL_AFTER_US);
	}
	if (exec->ctx->settings->schedule_yield)
		halt_yielding(exec, now_us);
}

/* Counts the tasks that this sample halts, and limits the shares of those that it lets continue. */
static void note_halt_changes(struct lug_executor *exec)
{
	for (guint i = 0; i < exec->runs->len; i++) {
		struct exec_run *run = g_ptr_array_index(exec->runs, i);

		if (!run->halted && run->was_halted && is_yielding(run))
			run->share = MIN(run->share, LUG_YIELD_RETURN_SHARE);
		if (!run->halted || run->was_halted)
			continue;
		if (run->yield.effective == LUG_URGENCY_SLACK)
			lug_count(exec->ctx, HALTS_SLACK, 1);
		else if (run->yield.effective == LUG_URGENCY_LATE)
			lug_count(exec->ctx, HALTS_LATE, 1);
		else
			lug_count(exec->ctx, HALTS_NORMAL, 1);
	}
}

static gboolean has_running_best_effort(const struct lug_executor *exec)
{
	for (guint i = 0; i < exec->runs->len; i++) {
		const struct exec_run *run = g_ptr_array_index(exec->runs, i);

		if (is_active_best_effort(run) && run->applied_percent)
			return TRUE;
	}
	return FALSE;
}

/* Counts the time since the last sample for each serving task over its target. */
static void count_over_target(struct lug_executor *exec, gint64 now_us)
{
	gint64 span_ms = MIN(now_us - exec->last_sample_us, SAMPLE_SPAN_MAX_US) / 1000;
	gboolean shared = has_running_best_effort(exec);

	for (guint i = 0; i < exec->runs->len; i++) {
		struct exec_run *run = g_ptr_array_index(exec->runs, i);

		if (!is_serving(run))
			continue;
		if (run->metric <= run->target_ms) {
			run->over_target_shared = FALSE;
			continue;
		}
		/* The tail latency is a moving average, which falls some time after a halt. */
		run->over_target_shared = run->over_target_shared || shared;
		if (run->over_target_shared && !is_overloaded_alone(run))
			lug_count(exec->ctx, OVER_TARGET_SHARED_MS, span_ms);
		else
			lug_count(exec->ctx, OVER_TARGET_OWN_MS, span_ms);
	}
}

static void throttle_all(struct lug_executor *exec)
{
	for (guint i = 0; i < exec->runs->len; i++) {
		struct exec_run *run = g_ptr_array_index(exec->runs, i);

		if (is_active_best_effort(run))
			throttle_run(exec, run);
	}
}

/**
 * exec_allows_best_effort - check whether a new best-effort task would run fast enough
 * @exec: executor
 * @image: image of the task, interned
 * @millicores: millicores that the task can use
 * @urgency: urgency of the task
 * @now_us: current time
 *
 * Several owners place tasks at the same time, each from the latest heartbeat. A task works at its
 * full share until it is throttled, so tasks that start together could saturate serving tasks.
 */
gboolean exec_allows_best_effort(const struct lug_executor *exec, const char *image,
				 gint64 millicores, enum lug_urgency urgency, gint64 now_us)
{
	GArray *servings = exec_serving_tasks(exec, now_us);
	double spare = (double)exec_spare_millicores(exec) / (double)MAX(millicores, 1);
	gboolean yields = lug_yield_is_yielding(urgency);
	const struct lug_interference_serving_task *data =
		(const struct lug_interference_serving_task *)(void *)servings->data;
	struct lug_interference_assessment assessment =
		yields ? lug_interference_assess_yielding(exec->interference, image, data,
							  servings->len, LUG_YIELD_MARGIN)
		       : lug_interference_assess(exec->interference, image, data, servings->len);

	g_array_unref(servings);
	if (yields && exec->halts_yielding)
		return FALSE;
	return assessment.share * CLAMP(spare, 0, 1) >=
	       lug_yield_start_speed(urgency, MIN_START_SPEED);
}

/**
 * exec_read_urgency - compute the urgency of a task from the attributes that its owner has sent
 * @exec: executor
 * @start: attributes
 * @progress_percent: progress of the task
 * @now_us: time at which @start was received
 *
 * An owner of an earlier release sends no times, and the task is NORMAL.
 */
struct lug_yield_task exec_read_urgency(const struct lug_executor *exec, const Lug__RunStart *start,
					guint32 progress_percent, gint64 now_us)
{
	struct lug_yield_task out = {0};
	struct lug_urgency_times times;

	if (!exec->ctx->settings->schedule_yield || !start->fills || !start->has_due_in_ms)
		return out;
	lug_urgency_set_times(&times, start->due_in_ms, start->expected_ms, start->following_ms,
			      now_us);
	lug_yield_init_task(&out, &times, progress_percent, now_us);
	return out;
}

/**
 * exec_replan_shares - plan all shares anew after a best-effort task was added
 * @exec: executor
 * @run: added run; nothing is done unless it is best-effort
 *
 * Without this, tasks that start together would each use the same free resources.
 */
void exec_replan_shares(struct lug_executor *exec, struct exec_run *run)
{
	if (!run->best_effort)
		return;
	plan_shares(exec, lug_now_us());
	/* Until the next sample decides anew. */
	if (exec->halts_yielding && is_yielding(run))
		run->halted = TRUE;
	throttle_all(exec);
}

/**
 * exec_throttle - throttle best-effort tasks in favour of serving tasks
 *
 * Called after each poll of the worker. A new sample is taken when the last one is old enough.
 */
void exec_throttle(struct lug_executor *exec, gint64 now_us)
{
	if (now_us - exec->last_sample_us >= SAMPLE_INTERVAL_US) {
		update_interference(exec, now_us);
		count_over_target(exec, now_us);
		exec->last_sample_us = now_us;
		if (exec->ctx->settings->schedule_yield)
			update_urgencies(exec, now_us);
		plan_shares(exec, now_us);
		update_halted_tasks(exec, now_us);
		note_halt_changes(exec);
	}
	throttle_all(exec);
}
