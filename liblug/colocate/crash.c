#include "colocate/crash.h"

/* A run started at most this long before the worker was last up is an early one. */
#define EARLY_US (200 * 1000)
/*
 * A task is given up after MIN_CRASHES when the runs of a single job were suspected in one of them,
 * as its suspicion is MIN_SUSPICION then. Where crashes can't be confirmed it is given up after
 * LOSSES_LIMIT crashes and losses with LOSSES_SUSPICION, and after CRASHES_LIMIT in any case.
 */
#define SUSPICION_OF_SEVERAL_JOBS 1
#define SUSPICION_OF_ONE_JOB 2
#define MIN_CRASHES 2
#define MIN_SUSPICION 3
#define LOSSES_LIMIT 4
#define LOSSES_SUSPICION 2
#define CRASHES_LIMIT 5
/* Crashes and losses after which a task that was never suspected is isolated. */
#define SUSPECT_CRASHES 3

static guint count_suspected_jobs(const struct lug_crash_run *runs, guint n)
{
	GHashTable *jobs = g_hash_table_new(g_str_hash, g_str_equal);
	guint count;

	for (guint i = 0; i < n; i++)
		if (runs[i].suspected)
			g_hash_table_add(jobs, (gpointer)runs[i].job);
	count = g_hash_table_size(jobs);
	g_hash_table_unref(jobs);
	return count;
}

/* How likely a run is the cause of a crash, least first. */
enum likelihood {
	NOT_SUSPECTED,
	LATE_ISOLATED,
	EARLY_UNCONFIRMED,
	EARLY_CONFIRMED,
	EARLY_ISOLATED,
};

static enum likelihood run_likelihood(const struct lug_crash_run *run, gint64 alive_us)
{
	if (run->started_us < alive_us - EARLY_US)
		return run->isolated ? LATE_ISOLATED : NOT_SUSPECTED;
	if (run->isolated)
		return EARLY_ISOLATED;
	return run->confirmed ? EARLY_CONFIRMED : EARLY_UNCONFIRMED;
}

/**
 * lug_crash_find_suspects - find the runs that may have crashed their worker
 * @runs: runs on the worker at the crash; member suspected is set
 * @n: number of @runs
 * @alive_us: when the worker was last up
 *
 * Load pattern: many tasks on the worker, one of which has crashed it right after its start.
 * All runs of the highest likelihood are suspected, see enum likelihood.
 *
 * Return: number of jobs that the suspected runs belong to, 0 without a suspect.
 */
guint lug_crash_find_suspects(struct lug_crash_run *runs, guint n, gint64 alive_us)
{
	enum likelihood highest = NOT_SUSPECTED;

	for (guint i = 0; i < n; i++)
		highest = MAX(highest, run_likelihood(&runs[i], alive_us));
	for (guint i = 0; i < n; i++)
		runs[i].suspected =
			highest != NOT_SUSPECTED && run_likelihood(&runs[i], alive_us) == highest;
	return count_suspected_jobs(runs, n);
}

/**
 * lug_crash_record - record a crash of the worker that ran the task
 * @history: history of the task
 * @suspected_jobs: number of jobs with suspected runs, 0 when the task's run is not suspected
 * @confirmed: the worker had confirmed the start; else the task may not have been on it, and the
 *             crash counts as a loss
 */
void lug_crash_record(struct lug_crash_history *history, guint suspected_jobs, gboolean confirmed)
{
	if (confirmed)
		history->crashes++;
	else
		history->losses++;
	if (suspected_jobs)
		history->suspicion +=
			suspected_jobs == 1 ? SUSPICION_OF_ONE_JOB : SUSPICION_OF_SEVERAL_JOBS;
}

/**
 * lug_crash_record_loss - record a run that was lost together with its worker and the agent
 * @history: history of the task
 *
 * Load pattern: a task that takes down the whole instance, which nobody is left to report.
 */
void lug_crash_record_loss(struct lug_crash_history *history)
{
	history->losses++;
}

/**
 * lug_crash_is_suspect - whether the task has to be isolated at its next start
 */
gboolean lug_crash_is_suspect(const struct lug_crash_history *history)
{
	return history->suspicion || history->crashes + history->losses >= SUSPECT_CRASHES;
}

/**
 * lug_crash_is_culprit - whether the task crashes its workers and must not be started again
 */
gboolean lug_crash_is_culprit(const struct lug_crash_history *history)
{
	guint32 total = history->crashes + history->losses;

	if (history->crashes >= MIN_CRASHES && history->suspicion >= MIN_SUSPICION)
		return TRUE;
	return total >= CRASHES_LIMIT ||
	       (total >= LOSSES_LIMIT && history->suspicion >= LOSSES_SUSPICION);
}
