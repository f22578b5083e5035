#ifndef LUG_JOB_RUNNER_PRIV_H
#define LUG_JOB_RUNNER_PRIV_H

#include "job/runner.h"

/* Shared by runner.c (tasks and messages) and worker.c (calls to the worker). */

struct run_queue {
	char *queue;
	guint64 epoch;
	guint64 last_seq;
};

struct lug_runner {
	struct lug_runner_env env;
	struct lug_reserve reserve;
	struct lug_resources held;
	struct lug_health health;
	struct lug_list runs;
	GHashTable *queues;
	char *boot;
	guint64 event_seq;
	gboolean polling;
	gint64 poll_at_us;
	gboolean ready;
	gboolean draining;
	gint64 throttle;
	gint64 evicted_us;
	guint generation;
};

struct lug_run *run_find(struct lug_runner *runner, const char *job, guint32 index,
			 guint32 attempt);
struct lug_run *run_new(struct lug_runner *runner, const char *job, guint32 index, guint32 attempt);
void run_free(struct lug_runner *runner, struct lug_run *run);
void run_end(struct lug_runner *runner, struct lug_run *run, guint32 outcome, const char *detail,
	     gint64 now_us);
void run_report(struct lug_runner *runner, struct lug_run *run, gint64 now_us);
void run_reply(struct lug_runner *runner, const struct lug_run *run, enum lug_status status,
	       const char *detail);
void run_read_state(struct lug_runner *runner, JsonObject *state);

void worker_poll(struct lug_runner *runner, gint64 now_us);
void worker_start(struct lug_runner *runner, struct lug_run *run, const char *payload,
		  const char *checkpoint, gint64 now_us);
void worker_stop(struct lug_runner *runner, struct lug_run *run, gint64 now_us);
void worker_ack(struct lug_runner *runner, const struct lug_run *run);
void worker_throttle(struct lug_runner *runner, gint64 percent);

#endif
