#ifndef LUG_COLOCATE_CRASH_H
#define LUG_COLOCATE_CRASH_H

#include <glib.h>

/*
 * Crashes of workers and the tasks that cause them. A task may crash each worker that starts it,
 * and every other task on that worker is lost with it. The cause is found by the order of events:
 * a run that was started shortly before the crash is suspected, and its task is isolated at its
 * next start, so that a second crash tells it from those beside it.
 */

/* Time for which no other job's suspected task is started on the worker of an isolated task. */
#define LUG_CRASH_ISOLATION_US (600 * 1000)
/* Delay of a suspected task's next start, by which time the crashed worker is back and empty. */
#define LUG_CRASH_RETRY_DELAY_US (600 * 1000)

/**
 * struct lug_crash_run - a run that was on a worker when it crashed
 * @job: id of its job
 * @started_us: when its start was sent
 * @isolated: its task was isolated, because it had been suspected before
 * @confirmed: the worker has confirmed the start
 * @suspected: set by lug_crash_find_suspects()
 */
struct lug_crash_run {
	const char *job;
	gint64 started_us;
	gboolean isolated;
	gboolean confirmed;
	gboolean suspected;
};

/**
 * struct lug_crash_history - crashes of workers under the runs of one task
 * @crashes: crashes while the task ran, as far as the worker had confirmed its start
 * @suspicion: 1 for each crash in which runs of several jobs were suspected, this task's among
 *             them; 2 for each in which only runs of its own job were
 * @losses: runs lost with their worker without proof that it crashed under them: the start was not
 *          confirmed, or the agent was lost, too
 */
struct lug_crash_history {
	guint32 crashes;
	guint32 suspicion;
	guint32 losses;
};

guint lug_crash_find_suspects(struct lug_crash_run *runs, guint n, gint64 alive_us);
void lug_crash_record(struct lug_crash_history *history, guint suspected_jobs, gboolean confirmed);
void lug_crash_record_loss(struct lug_crash_history *history);
gboolean lug_crash_is_suspect(const struct lug_crash_history *history);
gboolean lug_crash_is_culprit(const struct lug_crash_history *history);

#endif
