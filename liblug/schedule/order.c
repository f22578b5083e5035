#include "schedule/order.h"

/* Least time for which a late job without a start waits behind the jobs that are in time. */
#define WAIT_MIN_US (2 * G_USEC_PER_SEC)

/* Time between the first submission of a job that was refused then and its acceptance. */
static gint64 returned_after_us(const struct lug_order_job *job)
{
	return job->first_us ? MAX(job->accepted_us - job->first_us, 0) : 0;
}

/*
 * When the job has been late, and without a start, for too long. The time before it returned
 * counts, since it waited then too.
 */
static gint64 wait_limit_us(const struct lug_order_job *job)
{
	gint64 objective_us = job->deadline_us - job->accepted_us;
	gint64 late_us = job->deadline_us - job->remaining_us - returned_after_us(job);

	return MAX(late_us, job->last_start_us) + MAX(objective_us, WAIT_MIN_US);
}

/**
 * lug_order_make_key - compute a job's place among the jobs of its owner
 * @job: job
 * @now_us: current time
 * @out: filled in
 *
 * A late job is placed after those that can meet their objectives: it would miss its own anyway and
 * could make the next job miss one. A late job without a start for longer than its objective is
 * placed by its age before all others of its priority, so that no job waits without bound. A job
 * that returns after a refusal keeps its place: its age counts from its first submission.
 *
 * A late long-running job stays behind: its tasks would keep each gap that opens from the jobs that
 * can still be in time, and look-ahead placement bounds its wait.
 */
void lug_order_make_key(const struct lug_order_job *job, gint64 now_us, struct lug_order_key *out)
{
	gint64 objective_us = job->deadline_us - job->accepted_us;
	gint64 worthless_us = job->accepted_us + LUG_ORDER_WORTH_FACTOR * objective_us;
	gint64 end_us = now_us + job->remaining_us;
	gint64 returned_us = returned_after_us(job);

	out->priority = job->priority;
	out->group = LUG_ORDER_IN_TIME;
	out->due_us = job->deadline_us - returned_us;
	if (job->remaining_us < 0 || end_us <= job->deadline_us)
		return;
	if (!job->long_running && now_us >= wait_limit_us(job)) {
		out->due_us = job->accepted_us - returned_us;
		return;
	}
	out->group = end_us <= worthless_us ? LUG_ORDER_LATE : LUG_ORDER_WORTHLESS;
	out->due_us = worthless_us - returned_us;
}

/**
 * lug_order_compare - compare two places, as a GCompareFunc does
 */
gint lug_order_compare(const struct lug_order_key *a, const struct lug_order_key *b)
{
	if (a->priority != b->priority)
		return a->priority < b->priority ? -1 : 1;
	if (a->group != b->group)
		return a->group < b->group ? -1 : 1;
	return a->due_us < b->due_us ? -1 : a->due_us > b->due_us;
}
