#include "workflow/executor_priv.h"

/* Length at which a list of runs in one log line is cut. */
#define RUN_LIST_MAX_BYTES 400
#define NUMBER_SIZE 24

static const char *format_number(char *out, gint64 number)
{
	g_snprintf(out, NUMBER_SIZE, "%" G_GINT64_FORMAT, number);
	return out;
}

static const char *state_name(enum exec_state state)
{
	static const char *const names[] = {"starting", "running", "unanswered", "stopped"};

	return names[state];
}

/**
 * exec_log_run - log an event of one run
 */
void exec_log_run(const struct lug_executor *exec, const char *event, const struct lug_run_id *id,
		  const char *reason)
{
	char name[LUG_RUN_NAME_SIZE];

	lug_run_name(id, name, sizeof(name));
	lug_info(exec->ctx, event, "job", id->job, "run", name, "reason", reason);
}

/**
 * exec_log_unanswered - log a start or a stop without an answer, and what it was sent with
 * @exec: executor
 * @event: event
 * @id: run
 * @token: fencing token of the call
 * @incarnation: incarnation of the worker that it was sent to
 */
void exec_log_unanswered(const struct lug_executor *exec, const char *event,
			 const struct lug_run_id *id, guint64 token, guint64 incarnation)
{
	char name[LUG_RUN_NAME_SIZE];
	char numbers[2][NUMBER_SIZE];

	lug_run_name(id, name, sizeof(name));
	lug_info(exec->ctx, event, "job", id->job, "run", name, "token",
		 format_number(numbers[0], (gint64)token), "incarnation",
		 format_number(numbers[1], (gint64)incarnation), "reason",
		 "no answer from the worker");
}

/**
 * exec_log_unanswered_poll - log that the latest poll, which has a renewal of the lease or an
 * acknowledgement of ends, has no answer
 */
void exec_log_unanswered_poll(const struct lug_executor *exec)
{
	char numbers[4][NUMBER_SIZE];

	lug_info(exec->ctx, "poll_unanswered", "token",
		 format_number(numbers[0], (gint64)exec->poll_token), "incarnation",
		 format_number(numbers[1], (gint64)exec->poll_incarnation), "expires_ms",
		 format_number(numbers[2], exec->poll_expires_ms), "acknowledged",
		 format_number(numbers[3], (gint64)exec->poll_acked));
}

/**
 * exec_list_run - append a run to a list for a log line, as NAME:STATE+AGE, where AGE counts from
 * its first start; "..." stands for further runs once the list is full
 */
void exec_list_run(GString *list, const struct exec_run *run, gint64 now_us)
{
	char name[LUG_RUN_NAME_SIZE];

	if (list->len > RUN_LIST_MAX_BYTES)
		return;
	lug_run_name(&run->id, name, sizeof(name));
	g_string_append_printf(list, "%s%s:%s+%" G_GINT64_FORMAT "ms", list->len ? "," : "", name,
			       state_name(run->state), (now_us - run->start_sent_us) / 1000);
	if (list->len > RUN_LIST_MAX_BYTES)
		g_string_append(list, ",...");
}

/**
 * exec_list_end - append the end of a run to a list for a log line, as
 * NUMBER=NAME:OUTCOME@SHARD.EPOCH with the epoch under which the owner has stored it, and "!" if it
 * has changed nothing; "..." stands for further ends once the list is full
 */
void exec_list_end(GString *list, const struct exec_end *end)
{
	char name[LUG_RUN_NAME_SIZE];

	if (list->len > RUN_LIST_MAX_BYTES)
		return;
	lug_run_name(&end->id, name, sizeof(name));
	g_string_append_printf(list, "%s%" G_GUINT64_FORMAT "=%s:%s@%u.%" G_GUINT64_FORMAT "%s",
			       list->len ? "," : "", end->number, name,
			       lug_run_outcome_name(end->outcome), end->shard, end->stored_epoch,
			       end->is_obsolete ? "!" : "");
	if (list->len > RUN_LIST_MAX_BYTES)
		g_string_append(list, ",...");
}

/**
 * exec_log_acknowledgement - log the ends that the poll about to be sent acknowledges, unless an
 * earlier one has, and what is left of the worker's lease
 */
void exec_log_acknowledgement(struct lug_executor *exec, gint64 now_us)
{
	char numbers[4][NUMBER_SIZE];

	if (!exec->acked_ends->len)
		return;
	lug_info(exec->ctx, "ends_acknowledged", "worker", exec->worker_id, "incarnation",
		 format_number(numbers[0], (gint64)exec->worker_incarnation), "up_to",
		 format_number(numbers[1], (gint64)exec->acked_end_number), "lease_epoch",
		 format_number(numbers[2], (gint64)lug_writer_epoch(exec->writer)), "left_ms",
		 format_number(numbers[3], MAX(exec->granted_until_us - now_us, 0) / 1000), "ends",
		 exec->acked_ends->str);
	g_string_truncate(exec->acked_ends, 0);
}

/**
 * exec_log_runs - log an event of the runs of a list, if there are any
 */
void exec_log_runs(const struct lug_executor *exec, const char *event, const GString *list,
		   const char *reason)
{
	char incarnation[NUMBER_SIZE];

	if (!list->len)
		return;
	lug_warn(exec->ctx, event, "worker", exec->ctx->settings->name, "incarnation",
		 format_number(incarnation, (gint64)exec->worker_incarnation), "runs", list->str,
		 "reason", reason);
}

/**
 * exec_log_restart - log that the worker has restarted, and the runs that were on it
 */
void exec_log_restart(const struct lug_executor *exec, guint64 incarnation, gint64 now_us)
{
	GString *runs = g_string_new(NULL);
	char numbers[4][NUMBER_SIZE];

	for (guint i = 0; i < exec->runs->len; i++)
		exec_list_run(runs, g_ptr_array_index(exec->runs, i), now_us);
	lug_warn(exec->ctx, "worker_restarted", "worker", exec->ctx->settings->name, "former",
		 format_number(numbers[0], (gint64)exec->worker_incarnation), "incarnation",
		 format_number(numbers[1], (gint64)incarnation), "announced",
		 exec->worker_exiting || exec->draining ? "yes" : "no", "silent_ms",
		 format_number(numbers[2], (now_us - exec->last_answer_us) / 1000),
		 "outstanding_ms",
		 format_number(numbers[3], MAX(exec->outstanding_until_us - now_us, 0) / 1000),
		 "runs", runs->str);
	g_string_free(runs, TRUE);
}

/**
 * exec_log_leave - log what an agent that stops knows of its worker: its runs, the ends that no
 * owner has stored, the calls without an answer so far, and the rest of the worker's lease
 */
void exec_log_leave(const struct lug_executor *exec, const char *event, gint64 now_us)
{
	GString *runs = g_string_new(NULL);
	guint calls_in_flight = exec->poll_in_flight;
	char numbers[4][NUMBER_SIZE];

	for (guint i = 0; i < exec->runs->len; i++) {
		const struct exec_run *run = g_ptr_array_index(exec->runs, i);

		exec_list_run(runs, run, now_us);
		calls_in_flight += run->call_in_flight;
	}
	lug_info(exec->ctx, event, "worker", exec->ctx->settings->name, "exited",
		 exec->worker_exited ? "yes" : "no", "ends",
		 format_number(numbers[0], exec->ends->len), "calls_in_flight",
		 format_number(numbers[1], calls_in_flight), "silent_ms",
		 format_number(numbers[2], (now_us - exec->last_answer_us) / 1000), "left_ms",
		 format_number(numbers[3], MAX(exec->granted_until_us - now_us, 0) / 1000), "runs",
		 runs->str);
	g_string_free(runs, TRUE);
}
