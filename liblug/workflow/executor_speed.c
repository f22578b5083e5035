#include "workflow/executor_priv.h"

/* A twentieth of the capacity has to be spare for samples of best-effort tasks to count. */
#define SPARE_MARGIN_DIVISOR 20

/*
 * Whether a best-effort task has the cores that it can use at its share. The worker's spare cores
 * have to cover what it does not use, with a margin for the estimated load of serving tasks.
 */
static gboolean has_enough_cores(const struct lug_executor *exec, const struct exec_run *run,
				 gint64 spare)
{
	gint64 wanted = run->best_effort_millicores * (gint64)run->applied_percent / 100;
	gint64 lacking = run->metric > 0 ? MAX(wanted - run->metric, 0) : 0;

	return spare >= lacking + exec->capacity.millicores / SPARE_MARGIN_DIVISOR;
}

/* Share at which a run has worked, 0 when its progress says nothing about the worker. */
static double measured_share(const struct lug_executor *exec, const struct exec_run *run,
			     gint64 spare, gint64 now_us)
{
	/* The worker pauses all tasks when its lease has ended. */
	if (run->state != EXEC_RUNNING || !run->listed || run->stopping ||
	    run->attributes_missing || now_us >= exec->granted_until_us)
		return 0;
	if (!run->best_effort)
		return 1;
	if (run->throttle_in_flight || !has_enough_cores(exec, run, spare))
		return 0;
	return run->applied_percent / 100.0;
}

static void observe_run(struct lug_executor *exec, struct exec_run *run, gint64 spare,
			gint64 now_us)
{
	struct lug_speed_progress progress = {
		.task = run->local_id,
		.job = g_str_hash(run->id.job),
		.expected_ms = run->target_ms ? 0 : run->expected_ms,
		.share = measured_share(exec, run, spare, now_us),
		.percent = run->progress_percent,
		.at_us = exec->clock_ms * 1000,
	};

	lug_speed_observe(&exec->speed, &run->progress, &progress, now_us);
}

static void log_speed(const struct lug_executor *exec, gint64 now_us)
{
	char speed[16];

	g_snprintf(speed, sizeof(speed), "%u", lug_speed_permille(&exec->speed, now_us));
	lug_info(exec->ctx,
		 lug_speed_is_slow(exec->speed.value) ? "worker_slow" : "worker_not_slow", "worker",
		 exec->worker_id, "speed_permille", speed);
}

/**
 * exec_measure_speed - measure the speed of the worker by the progress in the reply to a poll
 *
 * Progress is timed by the worker's clock, as the answer may have been delayed.
 */
void exec_measure_speed(struct lug_executor *exec, gint64 now_us)
{
	gboolean was_slow = lug_speed_is_slow(exec->speed.value);
	gint64 spare = exec_spare_millicores(exec);

	if (!exec->ctx->settings->schedule_speed)
		return;
	if (exec->speed_incarnation != exec->worker_incarnation)
		lug_speed_reset(&exec->speed);
	exec->speed_incarnation = exec->worker_incarnation;
	for (guint i = 0; i < exec->runs->len; i++)
		observe_run(exec, g_ptr_array_index(exec->runs, i), spare, now_us);
	lug_speed_update(&exec->speed, now_us);
	lug_gauge(exec->ctx, WORKER_SPEED, lug_speed_permille(&exec->speed, now_us));
	if (lug_speed_is_slow(exec->speed.value) != was_slow)
		log_speed(exec, now_us);
}
