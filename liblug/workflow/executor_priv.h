#ifndef LUG_WORKFLOW_EXECUTOR_PRIV_H
#define LUG_WORKFLOW_EXECUTOR_PRIV_H

#include "workflow/executor.h"
#include "workflow/interference.h"

/*
 * Shared by the files that make up struct lug_executor: executor.c (life, room),
 * executor_hold.c (lease and look at the worker), executor_run.c (starts and stops) and
 * executor_tell.c (messages to owners).
 */

/* A start is taken only while the lease stands for this long beyond it. */
#define START_MARGIN_US (1000 * 1000)

/**
 * enum exec_state - what is known of a run
 * @EXEC_STARTING: the start was sent, or is about to be
 * @EXEC_RUNNING: the worker has confirmed it
 * @EXEC_DOUBT: the start has no answer; a stop settles it
 * @EXEC_VOID: the worker will never start it, or has stopped it; gone once a later look
 *             does not list it
 */
enum exec_state {
	EXEC_STARTING,
	EXEC_RUNNING,
	EXEC_DOUBT,
	EXEC_VOID,
};

struct exec_run {
	struct lug_run_id id;
	guint64 number;
	enum exec_state state;
	guint32 shard;
	struct lug_resources size;
	gboolean unsized;
	gboolean answered;
	gboolean stopping;
	gboolean calling;
	guint tries;
	char *spec;
	char *checkpoint;
	guint32 percent;
	gint64 metric;
	gint64 settled_us;
	gint64 retry_us;
	gboolean listed;
	gboolean best_effort;
	gint64 best_effort_millicores;
	const char *image;
	guint32 target_ms;
	guint32 percent_allowed;
	gboolean pacing;
	double share;
	double strength;
	double strength_var;
	struct lug_load load;
	double limit;
	double pressure;
	gint64 over_us;
	gint64 excused_us;
	gint64 still_us;
	gint64 still_figure;
	gboolean halted;
};

/**
 * struct exec_presence - a task that fills, since the last sample; it may have ended meanwhile
 * @number: number of its run
 * @image: image, interned
 * @strength: how much it disturbs
 * @strength_var: variance of @strength
 * @now: its share at present
 * @sum: moving average of @now, from zero
 * @least: least of @now
 * @most: largest of @now
 */
struct exec_presence {
	guint64 number;
	const char *image;
	double strength;
	double strength_var;
	double now;
	double sum;
	double least;
	double most;
};

struct exec_end {
	guint64 number;
	guint64 incarnation;
	struct lug_run_id id;
	guint32 shard;
	enum lug_run_outcome outcome;
	char *checkpoint;
	gboolean acked;
	gint64 sent_us;
};

struct exec_owner {
	guint64 epoch;
	guint64 last_seq;
};

struct lug_executor {
	struct lug_ctx *ctx;
	struct lug_store *store;
	struct lug_writer *writer;
	struct lug_worker *worker;
	guint32 shards;
	struct exec_owner *owners;
	lug_owner_send_fn send;
	void *data;
	GPtrArray *runs;
	GPtrArray *ends;
	guint64 run_count;
	gboolean taking;
	gboolean owned;
	gint64 next_take_us;
	guint64 heartbeat_incarnation;
	gint64 heartbeat_seq;
	guint64 worker_incarnation;
	char service[LUG_NAME_MAX + 1];
	gboolean draining;
	gboolean left;
	gint64 left_us;
	guint64 left_incarnation;
	gboolean leaving;
	gboolean capacity_known;
	struct lug_resources capacity;
	char **labels;
	gboolean holding;
	gint64 next_hold_us;
	guint hold_timer;
	gboolean closed;
	gint64 hold_sent_us;
	guint64 hold_epoch;
	guint64 poll_incarnation;
	guint64 seen_epoch;
	gint64 clock_ms;
	gint64 clock_at_us;
	gint64 granted_us;
	gint64 answered_us;
	guint64 acked;
	guint64 last_number;
	guint64 beat;
	guint silent_holds;
	guint32 failing;
	struct lug_interference *interference;
	GArray *present;
	gboolean present_noted;
	gint64 presence_us;
	gint64 sample_us;
};

void exec_hold(struct lug_executor *exec, gint64 now_us);
void exec_hold_soon(struct lug_executor *exec, gint64 after_us, gint64 now_us);
gboolean exec_unacked(const struct lug_executor *exec);
void exec_life(struct lug_executor *exec, guint64 life, gint64 now_us);
void exec_expire(struct lug_executor *exec, gint64 now_us);
gint64 exec_expires_ms(const struct lug_executor *exec);
void exec_retry(struct lug_executor *exec, gint64 now_us);
void exec_used(const struct lug_executor *exec, struct lug_resources *out);
gint64 exec_spare(const struct lug_executor *exec);
gboolean exec_accepting(const struct lug_executor *exec, gint64 now_us);
struct exec_run *exec_find(const struct lug_executor *exec, const struct lug_run_id *id);
struct exec_run *exec_add(struct lug_executor *exec, const struct lug_run_id *id,
			  enum exec_state state);
void exec_remove(struct lug_executor *exec, struct exec_run *run);
struct exec_run *exec_by_number(const struct lug_executor *exec, guint64 number);
void exec_stop_run(struct lug_executor *exec, struct exec_run *run);
void exec_answer(struct lug_executor *exec, guint32 shard, const struct lug_run_id *id,
		 enum lug_status status);
GArray *exec_servings(const struct lug_executor *exec, gint64 now_us);
void exec_note_presence(struct lug_executor *exec, gint64 now_us);
gboolean exec_has_speed(const struct lug_executor *exec, const char *image, gint64 millicores,
			gint64 now_us);
void exec_pace_new(struct lug_executor *exec, struct exec_run *run);
void exec_pace(struct lug_executor *exec, gint64 now_us);
void exec_report(struct lug_executor *exec, struct exec_end *end, gint64 now_us);

#endif
