#ifndef LUG_WORKFLOW_SHARD_H
#define LUG_WORKFLOW_SHARD_H

#include "workflow/config.h"
#include "workflow/fleet.h"
#include "workflow/run.h"
#include "store/writer.h"

/**
 * enum lug_workflow_state - state of a job as shown to submitters
 * @LUG_WORKFLOW_UNKNOWN: the owner does not have the job; as a final state: the job has not ended
 * @LUG_WORKFLOW_QUEUED: no task has been claimed
 * @LUG_WORKFLOW_RUNNING: a task has been claimed
 * @LUG_WORKFLOW_COMPLETED: all tasks of all occurrences are done
 * @LUG_WORKFLOW_FAILED: a task has failed too often
 * @LUG_WORKFLOW_CANCELLED: cancelled on request
 */
enum lug_workflow_state {
	LUG_WORKFLOW_UNKNOWN,
	LUG_WORKFLOW_QUEUED,
	LUG_WORKFLOW_RUNNING,
	LUG_WORKFLOW_COMPLETED,
	LUG_WORKFLOW_FAILED,
	LUG_WORKFLOW_CANCELLED,
};

const char *lug_workflow_state_name(enum lug_workflow_state state);
enum lug_workflow_state lug_workflow_state_parse(const char *name);

/**
 * struct lug_shard_env - objects shared by all shards of one process, not owned
 * @ctx: context
 * @store: table service client
 * @link: connections to agents
 * @config: configuration with the queue definitions
 * @fleet: known workers
 */
struct lug_shard_env {
	struct lug_ctx *ctx;
	struct lug_store *store;
	struct lug_link *link;
	struct lug_config *config;
	struct lug_fleet *fleet;
};

/**
 * struct lug_shard - one shard of the jobs, in a process that owns it or may take it over
 *
 * Only the owner writes the states of the shard's jobs, as the single writer that holds the
 * lease in the shard's row. The claim of a task for a worker is stored before its start is
 * sent. A task is claimed again only once its previous run can't be in progress.
 */
struct lug_shard;

/**
 * enum lug_shard_event - event in the ownership of a shard
 * @LUG_SHARD_TAKEN: this process has become the owner
 * @LUG_SHARD_LOADED: the rows of the shard are read
 * @LUG_SHARD_TAKE_FAILED: the attempt to become the owner has failed
 * @LUG_SHARD_LOST: another process has taken the shard over
 * @LUG_SHARD_RELEASED: this process has released the shard
 */
enum lug_shard_event {
	LUG_SHARD_TAKEN,
	LUG_SHARD_LOADED,
	LUG_SHARD_TAKE_FAILED,
	LUG_SHARD_LOST,
	LUG_SHARD_RELEASED,
};

typedef void (*lug_shard_event_fn)(void *data, guint32 shard, enum lug_shard_event event);
typedef void (*lug_shard_done_fn)(void *data, enum lug_status status);

struct lug_shard *lug_shard_new(const struct lug_shard_env *shared, guint32 number,
				lug_shard_event_fn fn, void *data);
void lug_shard_close(struct lug_shard *shard);
void lug_shard_free(struct lug_shard *shard);
void lug_shard_take(struct lug_shard *shard, const struct lug_row *seen, gint64 now_us);
void lug_shard_read_lease_row(struct lug_shard *shard, lug_scan_fn fn, void *data);
void lug_shard_release(struct lug_shard *shard, gint64 now_us);
gboolean lug_shard_is_active(const struct lug_shard *shard);
gboolean lug_shard_is_owned(const struct lug_shard *shard);
gboolean lug_shard_is_taking(const struct lug_shard *shard);
gboolean lug_shard_is_loaded(const struct lug_shard *shard);
gboolean lug_shard_is_stalled(const struct lug_shard *shard, gint64 now_us);
guint64 lug_shard_epoch(const struct lug_shard *shard);
void lug_shard_tick(struct lug_shard *shard, gint64 now_us);
void lug_shard_wake(struct lug_shard *shard);

void lug_shard_add_stored_job(struct lug_shard *shard, const char *id, const char *body,
			      gint64 version, gint64 now_us);
void lug_shard_store_job(struct lug_shard *shard, const char *id, const char *body,
			 lug_shard_done_fn fn, void *data, gint64 now_us);
gboolean lug_shard_is_release_stored(const struct lug_shard *shard, const char *id);
gint64 lug_shard_retry_after_ms(const struct lug_shard *shard, const char *id);
enum lug_workflow_state lug_shard_job_state(const struct lug_shard *shard, const char *id);
gboolean lug_shard_cancel_job(struct lug_shard *shard, const char *id, lug_shard_done_fn fn,
			      void *data, gint64 now_us);
guint32 lug_shard_pending_jobs(const struct lug_shard *shard, const char *queue);

void lug_shard_on_start_answer(struct lug_shard *shard, const char *worker,
			       const Lug__RunAnswer *answer, gint64 now_us);
void lug_shard_on_reserve_answer(struct lug_shard *shard, const char *worker_name,
				 const Lug__RunReserveAnswer *answer, gint64 now_us);
void lug_shard_on_run_end(struct lug_shard *shard, const struct lug_route *route,
			  const char *worker, const Lug__RunEnd *end, gint64 now_us);
void lug_shard_on_beat(struct lug_shard *shard, struct lug_fleet_worker *worker,
		       const Lug__ShardHeld *held, gint64 now_us);
void lug_shard_worker_lost(struct lug_shard *shard, const char *worker, guint64 lease_epoch,
			   gint64 now_us);
gint64 lug_shard_unlisted_us(const struct lug_shard *shard, const char *worker, gint64 now_us);
void lug_shard_on_stop_answer(struct lug_shard *shard, const char *worker,
			      const Lug__RunStopAnswer *answer);
void lug_shard_lease_left(struct lug_shard *shard, const char *worker, guint64 lease_epoch,
			  gint64 left_us, gint64 now_us);
gint64 lug_shard_unstopped_us(const struct lug_shard *shard, const char *worker, gint64 now_us);

#endif
