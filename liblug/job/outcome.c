#include "job/owner_priv.h"

#include <string.h>

#include "wire/pack.h"

#define FAILURES_MAX 3
/* The next attempt of a task is delayed by this for each of its failed attempts. */
#define RETRY_DELAY_PER_FAILURE_US (500 * 1000)
#define DELETES_PER_OP_MAX 200
#define RESEND_INTERVAL_US (1000 * 1000)

/* States as stored in the rows of tasks. */
static const char *const state_names[LUG_TASK_STATES] = {
	[LUG_TASK_PENDING] = "pending",	    [LUG_TASK_CLAIMING] = "running",
	[LUG_TASK_RUNNING] = "running",	    [LUG_TASK_ENDING] = "running",
	[LUG_TASK_DONE] = "done",	    [LUG_TASK_FAILED] = "failed",
	[LUG_TASK_CANCELLED] = "cancelled",
};

static void ack_report(struct lug_owner *owner, const struct lug_route *route, const char *job,
		       guint32 index, guint32 attempt)
{
	Lug__ReportAck ack = LUG__REPORT_ACK__INIT;
	struct owner_want_buf storage;
	Lug__TaskId id;
	LUG_ENVELOPE(envelope, REPORT_ACK, report_ack, &ack);

	lug_pack_task(&id, job, index, attempt);
	ack.queue = owner->team;
	ack.task = &id;
	ack.want = owner_fill_want(owner, &storage, lug_now_us());
	lug_link_send(owner->env.link, route, &envelope);
}

/*
 * A former owner that has not learned of its successor does not know the successor's attempts. Its
 * acknowledgement would make the agent forget an end that the successor needs, so it is sent once a
 * later commit has shown that this process still owns the queue.
 */
static void add_obsolete_report(struct lug_owner *owner, const struct lug_route *route,
				const Lug__TaskId *id, gint64 now_us)
{
	struct owner_obsolete_report report = {
		.route = *route,
		.index = id->index,
		.attempt = id->attempt,
		.received_us = now_us,
	};

	g_strlcpy(report.job, id->job, sizeof(report.job));
	for (guint i = 0; i < owner->obsolete_reports->len; i++) {
		const struct owner_obsolete_report *other =
			&g_array_index(owner->obsolete_reports, struct owner_obsolete_report, i);

		if (other->index == report.index && other->attempt == report.attempt &&
		    !strcmp(other->job, report.job))
			return;
	}
	g_array_append_val(owner->obsolete_reports, report);
}

/**
 * owner_ack_obsolete_reports - acknowledge the obsolete reports that arrived before the last commit
 * @owner: owner
 */
void owner_ack_obsolete_reports(struct lug_owner *owner)
{
	gint64 renewed_us = lug_writer_renewed_us(owner->writer);

	for (guint i = owner->obsolete_reports->len; i-- > 0;) {
		const struct owner_obsolete_report *report =
			&g_array_index(owner->obsolete_reports, struct owner_obsolete_report, i);

		if (report->received_us > renewed_us)
			continue;
		ack_report(owner, &report->route, report->job, report->index, report->attempt);
		g_array_remove_index_fast(owner->obsolete_reports, i);
	}
}

static void on_outcome_committed(void *data, enum lug_status status, gint64 version)
{
	struct owner_task_ref *ref = data;
	struct lug_owner *owner = ref->owner;
	struct lug_task *task = owner_task_ref_get(ref);
	gint64 now_us = lug_now_us();

	(void)version;
	if (status == LUG_OK && ref->has_route)
		ack_report(owner, &ref->route, ref->job, ref->index, ref->attempt);
	if (!task || task->state != LUG_TASK_ENDING) {
		owner_task_ref_free(ref);
		return;
	}
	if (status != LUG_OK) {
		/* The agent resends its report; a lost attempt is detected again. */
		lug_queue_set_state(owner->queue, task, ref->previous, now_us);
		owner_task_ref_free(ref);
		return;
	}
	g_free(task->checkpoint);
	task->checkpoint = g_steal_pointer(&ref->checkpoint);
	task->used_core_ms = ref->used_core_ms;
	task->retry_us = ref->retry_us;
	lug_queue_set_state(owner->queue, task, ref->next, now_us);
	owner_task_ref_free(ref);
	owner->next_want_us = 0;
	owner_close_jobs(owner, now_us);
}

static void commit_outcome(struct lug_owner *owner, struct lug_task *task, enum lug_task_state next,
			   const char *checkpoint, gint64 used_core_ms,
			   const struct lug_route *route, gint64 now_us)
{
	struct owner_task_ref *ref = owner_task_ref_new(owner, task);
	struct lug_writer_op *op;

	ref->next = next;
	ref->previous = task->state;
	ref->checkpoint = g_strdup(checkpoint);
	ref->used_core_ms = task->used_core_ms + used_core_ms;
	if (task->failures && next == LUG_TASK_PENDING)
		ref->retry_us = now_us + RETRY_DELAY_PER_FAILURE_US * task->failures;
	if (route) {
		ref->route = *route;
		ref->has_route = TRUE;
	}
	lug_queue_set_state(owner->queue, task, LUG_TASK_ENDING, now_us);
	op = lug_writer_op_new(on_outcome_committed, ref);
	op->total_delta = used_core_ms;
	owner_put_task(owner, &op->txn, task, state_names[next], checkpoint, ref->used_core_ms);
	lug_writer_submit(owner->writer, op, now_us);
}

static enum lug_task_state next_state(const struct lug_task *task, guint32 outcome,
				      gboolean has_checkpoint)
{
	const struct lug_job *job = task->job->job;

	if (outcome == LUG_OUTCOME_DONE)
		return LUG_TASK_DONE;
	if (job->cancelled)
		return LUG_TASK_CANCELLED;
	if (outcome == LUG_OUTCOME_EVICTED && has_checkpoint)
		return LUG_TASK_PENDING;
	if (!job->idempotent || task->failures >= FAILURES_MAX ||
	    lug_crash_is_culprit(&task->crash))
		return LUG_TASK_FAILED;
	return LUG_TASK_PENDING;
}

static void record_give_up(struct lug_owner *owner, struct lug_task *task)
{
	lug_count(owner->env.ctx, TASKS_GIVEN_UP, 1);
	g_strlcpy(task->job->reason,
		  "workers crashed under it; test the task before submitting it again",
		  sizeof(task->job->reason));
}

static void record_report(struct lug_owner *owner, struct lug_task *task, const Lug__Report *report,
			  const char *worker, gint64 now_us)
{
	const char *detail = report->detail ? report->detail : "";

	if (report->outcome == LUG_OUTCOME_FAILED) {
		task->failures++;
		g_strlcpy(task->job->reason, detail, sizeof(task->job->reason));
	}
	if (report->outcome == LUG_OUTCOME_LOST)
		g_strlcpy(task->job->reason, "lost with its worker", sizeof(task->job->reason));
	/* Suspected tasks are not isolated here, so one job alone is no stronger evidence. */
	if (report->outcome == LUG_OUTCOME_LOST && report->has_suspected_jobs)
		lug_crash_record(&task->crash,
				 report->suspected_jobs ? MAX(report->suspected_jobs, 2) : 0, TRUE);
	if (lug_crash_is_culprit(&task->crash))
		record_give_up(owner, task);
	if (report->outcome == LUG_OUTCOME_DONE && task->confirmed && !task->checkpoint)
		lug_queue_observe_run(owner->queue, task->job->job->kind,
				      (now_us - task->started_us) / 1000, now_us);
	lug_timeline_add(owner->env.ctx->timeline,
			 report->outcome == LUG_OUTCOME_EVICTED ? LUG_EV_TASK_EVICTED
								: LUG_EV_TASK_FINISHED,
			 task->job->job->id, "task %u attempt %u on %s outcome %u %s", task->index,
			 task->attempt, worker, report->outcome, detail);
}

/*
 * A task that waits has the number of its latest attempt. If that was counted as lost and yet ended
 * as done, the task need not run again.
 */
static gboolean is_current(const struct lug_task *task, const Lug__Report *report,
			   const char *worker)
{
	if (task->attempt != report->task->attempt || strcmp(task->worker, worker))
		return FALSE;
	if (task->state == LUG_TASK_PENDING)
		return report->outcome == LUG_OUTCOME_DONE;
	return task->state < LUG_TASK_DONE;
}

/**
 * lug_owner_on_report - handle an agent's report of an attempt's end
 * @owner: owner
 * @route: route to the agent
 * @worker: name of the agent's worker
 * @report: outcome of the attempt
 * @now_us: current time
 *
 * A report of an attempt that is not current is acknowledged without effect after the next commit,
 * so that the agent stops resending it.
 */
void lug_owner_on_report(struct lug_owner *owner, const struct lug_route *route, const char *worker,
			 const Lug__Report *report, gint64 now_us)
{
	const char *checkpoint =
		report->checkpoint && *report->checkpoint ? report->checkpoint : NULL;
	struct lug_task *task;

	if (!lug_owner_is_held(owner) || owner->load != LOAD_DONE || !report->task ||
	    !report->task->job)
		return;
	task = lug_queue_task(owner->queue, report->task->job, report->task->index);
	if (!task || !is_current(task, report, worker)) {
		add_obsolete_report(owner, route, report->task, now_us);
		return;
	}
	/* A transaction for the task is in flight; the agent resends its report. */
	if (task->state == LUG_TASK_CLAIMING || task->state == LUG_TASK_ENDING)
		return;
	record_report(owner, task, report, worker, now_us);
	commit_outcome(owner, task, next_state(task, report->outcome, checkpoint != NULL),
		       checkpoint ? checkpoint : task->checkpoint, MAX(report->used_ms, 0), route,
		       now_us);
}

/**
 * owner_lose_attempt - handle an attempt that can't be running and whose end was not reported
 * @owner: owner
 * @task: running task
 * @may_have_run: FALSE if the attempt was never started
 * @reason: text for the timeline
 * @now_us: current time
 */
void owner_lose_attempt(struct lug_owner *owner, struct lug_task *task, gboolean may_have_run,
			const char *reason, gint64 now_us)
{
	const struct lug_job *job = task->job->job;

	if (task->state != LUG_TASK_RUNNING)
		return;
	lug_count(owner->env.ctx, TASKS_LOST, 1);
	lug_timeline_add(owner->env.ctx->timeline, LUG_EV_TASK_LOST, job->id,
			 "task %u attempt %u on %s: %s", task->index, task->attempt, task->worker,
			 reason);
	if (may_have_run && !job->idempotent) {
		g_strlcpy(task->job->reason, "lost with its worker; it may have run",
			  sizeof(task->job->reason));
		/* No use to add, and no report to acknowledge. */
		commit_outcome(owner, task, LUG_TASK_FAILED, task->checkpoint, 0, NULL, now_us);
		return;
	}
	if (job->cancelled) {
		lug_queue_set_state(owner->queue, task, LUG_TASK_CANCELLED, now_us);
		return;
	}
	if (may_have_run)
		lug_crash_record_loss(&task->crash);
	if (lug_crash_is_culprit(&task->crash)) {
		record_give_up(owner, task);
		commit_outcome(owner, task, LUG_TASK_FAILED, task->checkpoint, 0, NULL, now_us);
		return;
	}
	lug_queue_set_state(owner->queue, task, LUG_TASK_PENDING, now_us);
	owner->next_want_us = 0;
}

static gboolean is_listed(const Lug__QueueHeld *held, const struct lug_task *task)
{
	for (size_t i = 0; i < held->n_held; i++) {
		const Lug__TaskId *id = held->held[i];

		if (id->index == task->index && id->attempt == task->attempt && id->job &&
		    !strcmp(id->job, task->job->job->id))
			return TRUE;
	}
	return FALSE;
}

static void confirm_attempt(struct lug_task *task, const struct lug_agent *agent, gint64 now_us)
{
	task->worker_epoch = MAX(task->worker_epoch, agent->worker_epoch);
	if (!task->confirmed)
		task->started_us = now_us;
	task->confirmed = TRUE;
}

/* Called when the digests match: the agent holds exactly the expected attempts. */
static void confirm_attempts(struct lug_owner *owner, const struct lug_agent *agent, gint64 now_us)
{
	LUG_LIST_FOREACH (lug_queue_active(owner->queue), pos) {
		struct lug_task *task = LUG_CONTAINER_OF(pos, struct lug_task, node);

		if (task->state == LUG_TASK_RUNNING && !strcmp(task->worker, agent->name))
			confirm_attempt(task, agent, now_us);
	}
}

static void reconcile_task(struct lug_owner *owner, struct lug_task *task,
			   const struct lug_agent *agent, const Lug__QueueHeld *held, gint64 now_us)
{
	if (task->state != LUG_TASK_RUNNING || strcmp(task->worker, agent->name))
		return;
	if (is_listed(held, task)) {
		confirm_attempt(task, agent, now_us);
		return;
	}
	/*
	 * The attempt is lost if the worker has a later lease epoch, or if the start's sequence
	 * number is at most last_seq: the start has arrived, or would be dropped. Otherwise the
	 * start is resent.
	 */
	if (agent->worker_epoch > task->worker_epoch)
		owner_lose_attempt(owner, task, TRUE, "its worker came back without it", now_us);
	else if (task->seq <= held->last_seq)
		owner_lose_attempt(owner, task, task->confirmed, "its agent does not hold it",
				   now_us);
	else if (now_us - task->sent_us > RESEND_INTERVAL_US)
		owner_send_start(owner, task, now_us);
}

static void stop_unexpected_attempts(struct lug_owner *owner, const struct lug_agent *agent,
				     const Lug__QueueHeld *held)
{
	for (size_t i = 0; i < held->n_held; i++) {
		const Lug__TaskId *id = held->held[i];
		struct lug_task *task = lug_queue_task(owner->queue, id->job, id->index);

		if (!id->job)
			continue;
		if (task && task->attempt == id->attempt && task->state != LUG_TASK_PENDING &&
		    task->state < LUG_TASK_DONE && !strcmp(task->worker, agent->name))
			continue;
		owner_send_stop(owner, &agent->route, id->job, id->index, id->attempt);
	}
}

static guint64 expected_digest(struct lug_owner *owner, const char *worker)
{
	guint64 digest = 0;

	LUG_LIST_FOREACH (lug_queue_active(owner->queue), pos) {
		struct lug_task *task = LUG_CONTAINER_OF(pos, struct lug_task, node);

		if (task->state != LUG_TASK_CLAIMING && !strcmp(task->worker, worker))
			digest ^= lug_attempt_hash(task->job->job->id, task->index, task->attempt);
	}
	return digest;
}

/**
 * lug_owner_reconcile - reconcile the attempts that an agent holds with the expected ones
 * @owner: owner
 * @agent: agent
 * @held: message with the attempts of this queue that the agent holds, or their digest, and the
 *	last sequence number that the agent has accepted
 * @now_us: current time
 *
 * Return: FALSE when the digest or the epoch differs and the agent should list its attempts.
 */
gboolean lug_owner_reconcile(struct lug_owner *owner, const struct lug_agent *agent,
			     const Lug__QueueHeld *held, gint64 now_us)
{
	if (!lug_owner_is_held(owner) || owner->load != LOAD_DONE || !agent->worker_epoch)
		return TRUE;
	if (held->epoch != lug_writer_epoch(owner->writer))
		return FALSE;
	if (!held->listed) {
		if (held->digest != expected_digest(owner, agent->name))
			return FALSE;
		confirm_attempts(owner, agent, now_us);
		return TRUE;
	}
	LUG_LIST_FOREACH_SAFE (lug_queue_active(owner->queue), pos, tmp)
		reconcile_task(owner, LUG_CONTAINER_OF(pos, struct lug_task, node), agent, held,
			       now_us);
	stop_unexpected_attempts(owner, agent, held);
	return TRUE;
}

/**
 * owner_cancel_job - stop the running tasks of a cancelled job and cancel the waiting ones
 * @owner: owner
 * @qjob: job whose row is marked as cancelled
 * @now_us: current time
 */
void owner_cancel_job(struct lug_owner *owner, struct lug_queue_job *qjob, gint64 now_us)
{
	for (guint32 i = 0; i < qjob->job->count; i++) {
		struct lug_task *task = &qjob->tasks[i];

		if (task->state == LUG_TASK_PENDING)
			lug_queue_set_state(owner->queue, task, LUG_TASK_CANCELLED, now_us);
		else if (task->state == LUG_TASK_RUNNING && !task->stopping) {
			task->stopping = TRUE;
			/* Makes the stop due: owner_dispatch_tick() sends it. */
			task->sent_us = 0;
		}
	}
	owner_dispatch_tick(owner, now_us);
}

struct closing {
	struct lug_owner *owner;
	char id[LUG_JOB_ID_MAX + 1];
};

static void delete_tasks(struct lug_owner *owner, const char *id, guint32 count, gint64 now_us)
{
	for (guint32 first = 0; first < count; first += DELETES_PER_OP_MAX) {
		struct lug_writer_op *op = lug_writer_op_new(NULL, NULL);

		for (guint32 i = first; i < count && i < first + DELETES_PER_OP_MAX; i++) {
			char *key = lug_task_row_key(owner->team, id, i);

			lug_txn_delete(&op->txn, "task", key);
			g_free(key);
		}
		lug_writer_submit(owner->writer, op, now_us);
	}
}

static void on_closed(void *data, enum lug_status status, gint64 version)
{
	struct closing *closing = data;
	struct lug_owner *owner = closing->owner;
	struct lug_queue_job *qjob =
		owner->queue ? lug_queue_find(owner->queue, closing->id) : NULL;

	(void)version;
	g_free(closing);
	if (!qjob)
		return;
	if (status != LUG_OK) {
		qjob->closing = FALSE;
		lug_owner_rescan(owner, lug_now_us());
		return;
	}
	lug_timeline_add(owner->env.ctx->timeline,
			 qjob->job->cancelled ? LUG_EV_JOB_CANCELLED : LUG_EV_JOB_DONE,
			 qjob->job->id, "done %u failed %u of %u", qjob->done, qjob->failed,
			 qjob->job->count);
	delete_tasks(owner, qjob->job->id, qjob->job->count, lug_now_us());
	owner_drop_job(owner, qjob);
}

static const char *job_state(const struct lug_queue_job *qjob)
{
	if (qjob->done == qjob->job->count)
		return "done";
	if (qjob->job->cancelled)
		return "cancelled";
	return "failed";
}

static JsonObject *summary_row(const struct lug_queue_job *qjob)
{
	JsonObject *row = lug_job_to_json(qjob->job);
	gint64 used_core_ms = 0;
	gint64 attempts = 0;

	for (guint32 i = 0; i < qjob->job->count; i++) {
		used_core_ms += qjob->tasks[i].used_core_ms;
		attempts += qjob->tasks[i].attempt;
	}
	json_object_set_string_member(row, "state", job_state(qjob));
	json_object_set_string_member(row, "why", qjob->reason);
	json_object_set_int_member(row, "done", qjob->done);
	json_object_set_int_member(row, "failed", qjob->failed);
	json_object_set_int_member(row, "attempts", attempts);
	json_object_set_int_member(row, "used_ms", used_core_ms);
	json_object_set_int_member(row, "ended_ms", g_get_real_time() / 1000);
	return row;
}

static void close_job(struct lug_owner *owner, struct lug_queue_job *qjob, gint64 now_us)
{
	char *key = lug_job_row_key(owner->team, qjob->job->id);
	struct closing *closing = g_new0(struct closing, 1);
	struct lug_writer_op *op = lug_writer_op_new(on_closed, closing);
	JsonObject *row = summary_row(qjob);

	qjob->closing = TRUE;
	closing->owner = owner;
	g_strlcpy(closing->id, qjob->job->id, sizeof(closing->id));
	lug_txn_check(&op->txn, "job", key, qjob->row_version);
	lug_txn_delete(&op->txn, "job", key);
	lug_txn_put(&op->txn, "jobdone", key, row);
	lug_writer_submit(owner->writer, op, now_us);
	json_object_unref(row);
	g_free(key);
}

/**
 * owner_close_jobs - record the end of the jobs whose tasks have all ended
 * @owner: owner
 * @now_us: current time
 */
void owner_close_jobs(struct lug_owner *owner, gint64 now_us)
{
	GHashTableIter it;
	gpointer value;

	if (!owner->queue)
		return;
	g_hash_table_iter_init(&it, lug_queue_jobs(owner->queue));
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		struct lug_queue_job *qjob = value;

		if (!qjob->open && !qjob->closing && qjob->row_version)
			close_job(owner, qjob, now_us);
	}
}
