#ifndef LUG_JOB_RUNNER_H
#define LUG_JOB_RUNNER_H

#include "colocate/control.h"
#include "colocate/health.h"
#include "colocate/reserve.h"
#include "core/list.h"
#include "job/job.h"
#include "job/owners.h"
#include "member/lease.h"
#include "member/peers.h"

/**
 * enum lug_attempt_state - state of an attempt
 * @LUG_ATTEMPT_STARTING: the call to start it is pending
 * @LUG_ATTEMPT_RUNNING: the worker accepted it, or the outcome of the call is unknown
 * @LUG_ATTEMPT_STOPPING: the worker was asked to stop it
 * @LUG_ATTEMPT_ENDED: it ended; reported until the owner acknowledges
 */
enum lug_attempt_state {
	LUG_ATTEMPT_STARTING,
	LUG_ATTEMPT_RUNNING,
	LUG_ATTEMPT_STOPPING,
	LUG_ATTEMPT_ENDED,
};

/**
 * struct lug_attempt - one attempt of a task, held by this agent
 * @node: node in the runner's list
 * @job: job id
 * @index: index of the task within the job
 * @number: number of the attempt
 * @queue: team of the queue whose owner started it
 * @kind: kind of the task, no longer than a team's name
 * @size: resources of the task
 * @urgent: must not be evicted for other batch tasks
 * @proven: tasks of its kind have succeeded before
 * @state: state
 * @reserved: @size is reserved
 * @outcome: how it ended, enum lug_outcome
 * @detail: text about the outcome, truncated to fit
 * @checkpoint: reference to the checkpoint written when it was stopped, owned; may be NULL
 * @used_core_ms: metered core-milliseconds
 * @started_us: time at which the worker accepted it
 * @sent_us: time of the last call or report about it
 * @call_pending: a call to the worker is pending
 * @stop_with_checkpoint: the worker is to write a checkpoint on stop
 * @crashed: it was lost in a crash of the worker
 * @suspected_jobs: of a crashed attempt, see lug_crash_find_suspects(); 0 when not suspected
 *
 * Each team has one queue, and a queue is identified by its team.
 */
struct lug_attempt {
	struct lug_list node;
	char job[LUG_JOB_ID_MAX + 1];
	guint32 index;
	guint32 number;
	char queue[LUG_JOB_KIND_MAX + 1];
	char kind[LUG_JOB_KIND_MAX + 1];
	struct lug_resources size;
	gboolean urgent;
	gboolean proven;
	enum lug_attempt_state state;
	gboolean reserved;
	guint32 outcome;
	char detail[96];
	char *checkpoint;
	gint64 used_core_ms;
	gint64 started_us;
	gint64 sent_us;
	gboolean call_pending;
	gboolean stop_with_checkpoint;
	gboolean crashed;
	guint suspected_jobs;
};

/**
 * struct lug_runner_env - dependencies of the runner, all borrowed
 * @ctx: context
 * @link: internal connections
 * @worker: client of the worker's interface
 * @lease: the worker's lease
 * @owners: addresses of the owners of queues
 * @peers: connections to the owners
 */
struct lug_runner_env {
	struct lug_ctx *ctx;
	struct lug_link *link;
	struct lug_http *worker;
	struct lug_lease *lease;
	struct lug_owners *owners;
	struct lug_peers *peers;
};

/**
 * struct lug_runner - starts, throttles, checkpoints and stops batch tasks on one worker
 *
 * All room on the worker is reserved through the runner. The attempts that already run
 * there are loaded from the worker when the agent starts.
 */
struct lug_runner;

struct lug_runner *lug_runner_new(const struct lug_runner_env *env);
void lug_runner_free(struct lug_runner *runner);
void lug_runner_load_state(struct lug_runner *runner, JsonObject *state);
void lug_runner_drop_all(struct lug_runner *runner);
void lug_runner_tick(struct lug_runner *runner, gint64 now_us);
void lug_runner_set_draining(struct lug_runner *runner, gboolean drain);
gboolean lug_runner_is_draining(const struct lug_runner *runner);
gboolean lug_runner_is_empty(const struct lug_runner *runner);
void lug_runner_on_start(struct lug_runner *runner, const struct lug_route *route,
			 const Lug__Start *start, gint64 now_us);
void lug_runner_on_stop(struct lug_runner *runner, const Lug__Stop *stop, gint64 now_us);
void lug_runner_on_report_ack(struct lug_runner *runner, const Lug__ReportAck *ack);
void lug_runner_update_epoch(struct lug_runner *runner, const char *queue, guint64 epoch);
const struct lug_health *lug_runner_health(const struct lug_runner *runner);
struct lug_resources lug_runner_room(const struct lug_runner *runner);
struct lug_resources lug_runner_capacity(const struct lug_runner *runner);
void lug_runner_set_offered(struct lug_runner *runner, const struct lug_resources *room);
guint lug_runner_count(const struct lug_runner *runner);
gboolean lug_runner_holds_attempt_of(const struct lug_runner *runner, const char *queue);
void lug_runner_fill_held(struct lug_runner *runner, struct lug_arena *arena, const char *queue,
			  gboolean list, Lug__QueueHeld *out);
void lug_runner_evict_for_urgent(struct lug_runner *runner, const struct lug_resources *need,
				 gint64 now_us);
void lug_runner_evict_one(struct lug_runner *runner, gint64 now_us);
void lug_runner_set_throttle(struct lug_runner *runner, gint64 throttle_percent);
gboolean lug_runner_send(struct lug_runner *runner, const char *queue, Lug__Envelope *env);

#endif
