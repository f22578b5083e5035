#ifndef LUG_JOB_RUNNER_PRIV_H
#define LUG_JOB_RUNNER_PRIV_H

#include "job/runner.h"

/* Shared by runner.c (attempts and messages), evict.c and worker.c (calls to the worker). */

/**
 * struct queue_state - what is known of one queue whose owner sends to this agent
 * @team: team of the queue
 * @epoch: highest epoch seen of its owner; messages of lower epochs are dropped
 * @last_seq: last sequence number accepted under @epoch
 */
struct queue_state {
	char *team;
	guint64 epoch;
	guint64 last_seq;
};

/**
 * struct lug_runner - state of the runner
 * @env: dependencies
 * @reserve: reservations on the worker
 * @offered: room in the outstanding offer, not yet reserved by starts
 * @health: failures and quarantines of the worker
 * @attempts: list of struct lug_attempt
 * @queues: struct queue_state by team
 * @worker_incarnation: incarnation that the worker reported last, NULL before the first report
 * @event_seq: sequence number of the last event applied; 0 makes the worker send all its events
 *	again
 * @polling: a poll of the worker is pending
 * @poll_sent_us: time at which the latest poll was sent
 * @next_poll_us: the next poll is not sent before this time
 * @last_answer_us: time of the worker's last answer to a poll
 * @state_loaded: the worker's state was loaded
 * @draining: running attempts are checkpointed and starts refused
 * @throttle_percent: percent of their cores that batch tasks may use
 * @last_evict_us: time of the last eviction for an urgent task
 * @generation: number of calls to lug_runner_drop_all(); answers to older calls are ignored
 */
struct lug_runner {
	struct lug_runner_env env;
	struct lug_reserve reserve;
	struct lug_resources offered;
	struct lug_health health;
	struct lug_list attempts;
	GHashTable *queues;
	char *worker_incarnation;
	guint64 event_seq;
	gboolean polling;
	gint64 poll_sent_us;
	gint64 next_poll_us;
	gint64 last_answer_us;
	gboolean state_loaded;
	gboolean draining;
	gint64 throttle_percent;
	gint64 last_evict_us;
	guint generation;
};

struct lug_attempt *attempt_find(struct lug_runner *runner, const char *job, guint32 index,
				 guint32 number);
struct lug_attempt *attempt_new(struct lug_runner *runner, const char *job, guint32 index,
				guint32 number);
void attempt_free(struct lug_runner *runner, struct lug_attempt *attempt);
void attempt_end(struct lug_runner *runner, struct lug_attempt *attempt, guint32 outcome,
		 const char *detail, gint64 now_us);
void attempt_report(struct lug_runner *runner, struct lug_attempt *attempt, gint64 now_us);
void attempt_reply(struct lug_runner *runner, const struct lug_attempt *attempt,
		   enum lug_status status, const char *detail);
void run_read_state(struct lug_runner *runner, JsonObject *state);

void worker_poll(struct lug_runner *runner, gint64 now_us);
void worker_start(struct lug_runner *runner, struct lug_attempt *attempt, const char *payload,
		  const char *checkpoint, gint64 now_us);
void worker_stop(struct lug_runner *runner, struct lug_attempt *attempt, gint64 now_us);
void worker_ack(struct lug_runner *runner, const struct lug_attempt *attempt);
void worker_throttle(struct lug_runner *runner, gint64 throttle_percent);

#endif
