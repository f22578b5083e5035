#include "schedule/admission.h"
#include "workflow/shard_priv.h"

#include <string.h>

/*
 * Time for which all jobs are admitted after a sign that entries may have stored jobs themselves,
 * with transactions that may take effect yet: a change of the owner, a pause of this process, a
 * failed commit of a new job, or a job that an entry has stored. It exceeds the time that an entry
 * has for a submission, 1.2 s by default.
 */
#define ADMIT_ALL_US (5 * G_USEC_PER_SEC)
/* Entries wait RELAY_TIMEOUT_US (gateway_submit.c) for an answer before they store a job. */
#define ANSWER_MAX_US (200 * 1000)
/* Clients are told to return in 25 s at most. */
#define WITHHELD_MAX_US (60 * G_USEC_PER_SEC)

/* A job that is to be refused, once it is certain that it is not stored. */
struct pending_refusal {
	struct shard_ref *ref;
	struct lug_workflow *workflow;
	char *body;
	struct shard_waiter waiter;
	struct lug_admission_request request;
	struct lug_admission_decision decision;
	gint64 received_us;
};

/* By declared run times, for the work that waits as for the work that ends: only the ratio counts.
 */
static double task_work(const struct lug_step *step)
{
	return (double)step->declared_ms * (double)step->size.millicores;
}

static void make_kind(const struct lug_queue_def *def, gboolean best_effort,
		      struct lug_admission_kind *out)
{
	out->service = g_intern_string(def->service);
	out->best_effort = best_effort;
	out->priority = def->priority;
}

static const struct lug_queue_def *find_queue(const struct lug_shard *shard,
					      const struct lug_workflow *workflow)
{
	return lug_queues_find(lug_config_queues(shard->shared.config), workflow->queue);
}

static void add_step(const struct shard_job *job, const struct shard_occurrence *occ, guint32 s,
		     struct lug_admission_job *out)
{
	const struct lug_step *step = &job->workflow->steps[s];

	for (guint32 i = job->first_task[s]; i < job->first_task[s + 1]; i++) {
		if (occ->tasks[i].state == SHARD_TASK_WAITING)
			out->waiting += task_work(step);
		else if (occ->tasks[i].state == SHARD_TASK_CLAIMED)
			out->running_millicores += (double)step->size.millicores;
	}
}

/* Appends the finite work of a job, its best-effort and its other tasks apart. */
static void add_job(const struct lug_shard *shard, const struct shard_job *job, GArray *out)
{
	const struct lug_queue_def *def = find_queue(shard, job->workflow);

	if (!def || job->withheld_us || job->end_state != LUG_WORKFLOW_UNKNOWN)
		return;
	for (int best_effort = 0; best_effort < 2; best_effort++) {
		struct lug_admission_job item = {.order = job->order};

		make_kind(def, best_effort, &item.kind);
		for (guint k = 0; k < job->occurrences->len; k++)
			for (guint32 s = 0; s < job->workflow->n_steps; s++) {
				const struct lug_step *step = &job->workflow->steps[s];

				if (!step->long_running && !step->best_effort == !best_effort)
					add_step(job, g_ptr_array_index(job->occurrences, k), s,
						 &item);
			}
		if (item.waiting > 0 || item.running_millicores > 0)
			g_array_append_val(out, item);
	}
}

/* The finite work of all live jobs, array of struct lug_admission_job, owned by the caller. */
static GArray *list_jobs(const struct lug_shard *shard)
{
	GArray *jobs = g_array_new(FALSE, FALSE, sizeof(struct lug_admission_job));

	SHARD_FOREACH_JOB(shard, job)
	{
		add_job(shard, job, jobs);
	}
	return jobs;
}

static void watch_queues(struct lug_shard *shard)
{
	const struct lug_queues *queues = lug_config_queues(shard->shared.config);
	struct lug_admission_kind kind;

	for (guint i = 0; queues && i < queues->defs->len; i++)
		for (int best_effort = 0; best_effort < 2; best_effort++) {
			make_kind(g_ptr_array_index(queues->defs, i), best_effort, &kind);
			lug_admission_watch(shard->admission, &kind);
		}
}

/*
 * A withheld job is removed when its client has not returned for WITHHELD_MAX_US. It leaves no
 * ended row: a client that returns later would be told that the job is accepted.
 */
static void expire_withheld_jobs(struct lug_shard *shard, gint64 now_us)
{
	SHARD_FOREACH_JOB(shard, job)
	{
		if (!job->withheld_us || job->end_state != LUG_WORKFLOW_UNKNOWN ||
		    now_us - job->withheld_us <= WITHHELD_MAX_US)
			continue;
		job->expired = TRUE;
		shard_set_end_state(shard, job, LUG_WORKFLOW_CANCELLED);
	}
}

/**
 * shard_sample_backlog - record the expected wait of new jobs; call it after sorting
 */
void shard_sample_backlog(struct lug_shard *shard, gint64 now_us)
{
	GArray *jobs;

	if (!shard->shared.ctx->settings->schedule_overload)
		return;
	watch_queues(shard);
	jobs = list_jobs(shard);
	lug_admission_sample(shard->admission, (const struct lug_admission_job *)jobs->data,
			     jobs->len, now_us);
	g_array_unref(jobs);
	expire_withheld_jobs(shard, now_us);
}

/**
 * shard_note_ended - count a completed task for the rate at which the pool works
 */
void shard_note_ended(struct lug_shard *shard, const struct shard_job *job,
		      const struct lug_step *step, gint64 now_us)
{
	const struct lug_queue_def *def = find_queue(shard, job->workflow);
	struct lug_admission_kind kind;

	if (!def || !shard->shared.ctx->settings->schedule_overload)
		return;
	make_kind(def, step->best_effort, &kind);
	lug_admission_add_ended(shard->admission, &kind, task_work(step), now_us);
}

/**
 * shard_admit_all - admit all jobs for a while, since entries may store jobs by themselves
 */
void shard_admit_all(struct lug_shard *shard, gint64 now_us)
{
	shard->admit_all_until_us = now_us + ADMIT_ALL_US;
}

/**
 * shard_admission_tick - notice that entries may not have reached this owner
 */
void shard_admission_tick(struct lug_shard *shard, gint64 now_us)
{
	if (shard->load_phase != SHARD_LOAD_DONE || now_us - shard->last_tick_us > ANSWER_MAX_US)
		shard_admit_all(shard, now_us);
	shard->last_tick_us = now_us;
}

/*
 * A job is judged if its work is finite, due at once, of one kind, and its run time is declared.
 * Return: FALSE when it isn't judged.
 */
static gboolean make_request(const struct lug_shard *shard, const struct lug_workflow *workflow,
			     gint64 now_us, struct lug_admission_request *out)
{
	const struct lug_queue_def *def = find_queue(shard, workflow);

	memset(out, 0, sizeof(*out));
	if (!def || workflow->scheduled || workflow->occurrences != 1)
		return FALSE;
	for (guint32 s = 0; s < workflow->n_steps; s++) {
		const struct lug_step *step = &workflow->steps[s];

		if (step->long_running || step->best_effort != workflow->steps[0].best_effort)
			return FALSE;
		out->work += step->count * task_work(step);
	}
	make_kind(def, workflow->steps[0].best_effort, &out->kind);
	out->id = workflow->id;
	out->accepted_ms = workflow->accepted_ms;
	out->path_ms = shard_critical_path_ms(workflow, NULL);
	out->objective_ms = (gint64)(def->slo_factor * (double)out->path_ms) + def->slo_ms;
	out->order.priority = def->priority;
	out->order.due_us = now_us + out->objective_ms * 1000;
	return out->path_ms > 0 && out->objective_ms > 0;
}

static void log_refusal(const struct lug_shard *shard, const struct pending_refusal *pending)
{
	const struct lug_admission_decision *decision = &pending->decision;
	char expected[24];
	char objective[24];
	char backlog[32];
	char rate[32];
	char retry[24];

	g_snprintf(expected, sizeof(expected), "%" G_GINT64_FORMAT, decision->expected_ms);
	g_snprintf(objective, sizeof(objective), "%" G_GINT64_FORMAT,
		   pending->request.objective_ms);
	g_snprintf(backlog, sizeof(backlog), "%.0f", decision->ahead / 1e6);
	g_snprintf(rate, sizeof(rate), "%.1f", decision->rate / 1e3);
	g_snprintf(retry, sizeof(retry), "%" G_GINT64_FORMAT, decision->retry_after_ms);
	lug_info(shard->shared.ctx, "job_refused", "job", pending->workflow->id, "shard",
		 shard->name, "reason",
		 decision->superseded ? "a later submission of it was refused"
				      : "it can't end in time",
		 "expected_ms", expected, "objective_ms", objective, "ahead_core_s", backlog,
		 "rate_cores", rate, "retry_after_ms", retry, "returned",
		 decision->returning ? "true" : "false");
}

static void refuse(struct lug_shard *shard, struct pending_refusal *pending, gint64 now_us)
{
	log_refusal(shard, pending);
	if (pending->decision.superseded) {
		lug_count(shard->shared.ctx, JOBS_REFUSED_SUPERSEDED, 1);
	} else {
		lug_count(shard->shared.ctx, JOBS_REFUSED_BACKLOG, 1);
		lug_admission_refuse(shard->admission, &pending->request, &pending->decision,
				     now_us);
	}
	pending->waiter.fn(pending->waiter.data, LUG_OVER_LIMIT);
}

static void free_pending(struct pending_refusal *pending)
{
	lug_workflow_free(pending->workflow);
	g_free(pending->ref);
	g_free(pending->body);
	g_free(pending);
}

/* Stores the job after all: it is known, or that can't be excluded in time. */
static void admit(struct lug_shard *shard, struct pending_refusal *pending, gint64 now_us)
{
	shard_store_admitted(shard, g_steal_pointer(&pending->workflow), pending->body,
			     &pending->waiter, now_us);
}

static gboolean is_known(const struct lug_shard *shard, const char *id)
{
	return g_hash_table_contains(shard->jobs, id) ||
	       g_hash_table_contains(shard->ended_jobs, id);
}

/* Whether the row of the job is among those read by a prefix scan, or they could not be read. */
static gboolean may_be_stored(const struct pending_refusal *pending, enum lug_status status,
			      const struct lug_row *rows, guint n_rows)
{
	return status != LUG_OK || (n_rows && !strcmp(rows[0].key, pending->workflow->id));
}

/*
 * Finishes after a read of the tables unless another one is to follow.
 * Return: TRUE when the job is neither stored nor ended as far as this table shows.
 */
static gboolean is_refusal_safe(struct pending_refusal *pending, enum lug_status status,
				const struct lug_row *rows, guint n_rows)
{
	struct lug_shard *shard = pending->ref->shard;
	gint64 now_us = lug_now_us();

	if (!shard_ref_is_valid(pending->ref)) {
		pending->waiter.fn(pending->waiter.data, LUG_FENCED);
		free_pending(pending);
		return FALSE;
	}
	/* A later submission may have been refused while the tables were read. */
	if (lug_admission_is_superseded(shard->admission, pending->workflow->id,
					pending->request.accepted_ms, now_us))
		pending->decision.superseded = TRUE;
	/* A superseded submission is not stored in any case; a row of it would be withheld. */
	if (!pending->decision.superseded &&
	    (may_be_stored(pending, status, rows, n_rows) ||
	     is_known(shard, pending->workflow->id) || now_us < shard->admit_all_until_us ||
	     now_us - pending->received_us > ANSWER_MAX_US)) {
		admit(shard, pending, now_us);
		free_pending(pending);
		return FALSE;
	}
	return TRUE;
}

static void on_live_row(void *data, enum lug_status status, const struct lug_row *rows,
			guint n_rows, gboolean more)
{
	struct pending_refusal *pending = data;

	(void)more;
	if (!is_refusal_safe(pending, status, rows, n_rows))
		return;
	refuse(pending->ref->shard, pending, lug_now_us());
	free_pending(pending);
}

static void on_ended_row(void *data, enum lug_status status, const struct lug_row *rows,
			 guint n_rows, gboolean more)
{
	struct pending_refusal *pending = data;

	(void)more;
	if (is_refusal_safe(pending, status, rows, n_rows))
		lug_store_scan(pending->ref->shard->store, SHARD_LIVE_TABLE, pending->workflow->id,
			       NULL, 1, on_live_row, pending);
}

/**
 * shard_try_refuse - refuse a job that can't end in time, unless it may be stored already
 * @shard: shard
 * @workflow: job that the owner does not have; taken over when the return value is TRUE
 * @body: text of its row
 * @waiter: called with LUG_OVER_LIMIT when the job is refused, else as by lug_shard_store_job()
 * @now_us: current time
 *
 * An entry may have stored the job after an earlier submission to which this owner gave no answer,
 * and an earlier owner may have ended it. So the tables are read before a job is refused, and
 * nothing is refused while entries may be storing jobs themselves.
 *
 * Return: FALSE when the job is admitted.
 */
gboolean shard_try_refuse(struct lug_shard *shard, struct lug_workflow *workflow, const char *body,
			  const struct shard_waiter *waiter, gint64 now_us)
{
	struct lug_admission_request request;
	struct lug_admission_decision decision;
	struct pending_refusal *pending;
	GArray *jobs;

	if (!shard->shared.ctx->settings->schedule_overload ||
	    !make_request(shard, workflow, now_us, &request))
		return FALSE;
	jobs = list_jobs(shard);
	lug_admission_decide(shard->admission, &request,
			     (const struct lug_admission_job *)jobs->data, jobs->len,
			     g_rand_double(shard->shared.ctx->rng), now_us, &decision);
	g_array_unref(jobs);
	if (!decision.refused || (!decision.superseded && now_us < shard->admit_all_until_us))
		return FALSE;
	pending = g_new0(struct pending_refusal, 1);
	pending->ref = shard_ref_new(shard, workflow->id);
	pending->workflow = workflow;
	pending->body = g_strdup(body);
	pending->waiter = *waiter;
	pending->request = request;
	pending->decision = decision;
	pending->received_us = now_us;
	lug_store_scan(shard->store, SHARD_ENDED_TABLE, workflow->id, NULL, 1, on_ended_row,
		       pending);
	return TRUE;
}

/**
 * shard_release_job - let a job start that a client knows to be accepted, whether or not it was
 * withheld or refused before
 */
void shard_release_job(struct lug_shard *shard, struct shard_job *job)
{
	gint64 first_us = lug_admission_admit(shard->admission, job->workflow->id);

	if (first_us)
		job->first_us = first_us;
	if (!job->withheld_us)
		return;
	job->withheld_us = 0;
	shard_job_mark_changed(shard, job);
	job->release_revision = job->revision;
	lug_shard_wake(shard);
}

/**
 * shard_check_found_job - withhold a job just found in the inbox if a later submission of it was
 * refused
 *
 * A transaction of an earlier submission, whose outcome was unknown, has taken effect after the
 * refusal, and the entry has not accepted it, or it would have notified the owner. The job starts
 * only if its client submits it again.
 */
void shard_check_found_job(struct lug_shard *shard, struct shard_job *job, gint64 now_us)
{
	const struct lug_workflow *workflow = job->workflow;

	if (!shard->shared.ctx->settings->schedule_overload)
		return;
	shard_admit_all(shard, now_us);
	if (lug_admission_is_superseded(shard->admission, workflow->id, workflow->accepted_ms,
					now_us)) {
		job->withheld_us = now_us;
		shard_job_mark_changed(shard, job);
	}
	if (job->withheld_us)
		lug_info(shard->shared.ctx, "job_withheld", "job", workflow->id, "shard",
			 shard->name, "reason", "a later submission of it was refused");
	else
		shard_release_job(shard, job);
}

/**
 * shard_release_withheld_job - let a withheld job start, which its client has submitted again
 * @shard: shard
 * @job: withheld job
 * @body: text of the row of the new submission
 * @now_us: current time
 *
 * Return: FALSE when the submission is an earlier one than that which was refused.
 */
gboolean shard_release_withheld_job(struct lug_shard *shard, struct shard_job *job,
				    const char *body, gint64 now_us)
{
	struct lug_workflow *workflow = lug_workflow_decode_text(job->workflow->id, body);
	gboolean superseded =
		!workflow || lug_admission_is_superseded(shard->admission, job->workflow->id,
							 workflow->accepted_ms, now_us);

	lug_workflow_free(workflow);
	if (superseded)
		return FALSE;
	shard_release_job(shard, job);
	return TRUE;
}

/**
 * lug_shard_is_release_stored - FALSE while the next owner would still find the job withheld, or
 * its rows are being removed
 */
gboolean lug_shard_is_release_stored(const struct lug_shard *shard, const char *id)
{
	const struct shard_job *job = g_hash_table_lookup(shard->jobs, id);

	return !job || (!job->expired && job->committed_revision >= job->release_revision);
}

/**
 * lug_shard_retry_after_ms - time after which a job refused with LUG_OVER_LIMIT may be submitted
 * again
 */
gint64 lug_shard_retry_after_ms(const struct lug_shard *shard, const char *id)
{
	return lug_admission_retry_after_ms(shard->admission, id);
}
