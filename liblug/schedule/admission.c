#include "schedule/admission.h"

#include <string.h>

#define KINDS_MAX 16
#define REFUSED_MAX 512
/* Time for which a refused job is remembered after its last submission. */
#define REFUSED_RETENTION_US (30LL * G_USEC_PER_SEC)
/* With its random part below REFUSED_RETENTION_US, so that a job keeps its place until it returns.
 */
#define RETRY_MAX_MS (20 * 1000)
/* A job that returns later than this after its time to retry keeps no room any more. */
#define RETURN_GRACE_US (2 * G_USEC_PER_SEC)
/* Random part of the time to retry, which spreads the jobs that return. */
#define RETRY_SPREAD 0.25
/* Ended work counts for 5 s, in buckets. */
#define ENDED_BUCKET_US (G_USEC_PER_SEC / 2)
#define ENDED_BUCKETS 10
/* Declared run times are off by up to nine tenths: fewer ends tell no rate. */
#define ENDED_MIN 4
#define RATE_SPAN_MIN_US G_USEC_PER_SEC
/*
 * The backlog counts as hopeless once it was so in two whole buckets, 1 s, and in the present one.
 */
#define STEADY_BUCKET_US (G_USEC_PER_SEC / 2)
#define STEADY_BUCKETS 3
/* A job is refused when it is expected to end later than this multiple of what it is worth for. */
#define CERTAINTY_FACTOR 2

/* Work ended in one period, which @index numbers. */
struct ended_bucket {
	gint64 index;
	guint n;
	double work;
};

/* Least expected wait in one period, which @index numbers. */
struct steady_bucket {
	gint64 index;
	gint64 wait_ms;
};

struct kind_state {
	struct lug_admission_kind kind;
	struct ended_bucket ended[ENDED_BUCKETS];
	struct steady_bucket steady[STEADY_BUCKETS];
};

/*
 * A refused job: @first_us is the time of its first submission and @number counts these, @last_us
 * and @accepted_ms are of its latest one, @due_us is the time at which it is expected back.
 */
struct refused_job {
	struct lug_admission_kind kind;
	gint64 first_us;
	gint64 last_us;
	gint64 due_us;
	gint64 accepted_ms;
	gint64 retry_after_ms;
	guint64 number;
	double work;
};

struct lug_admission {
	struct kind_state kinds[KINDS_MAX];
	guint n_kinds;
	GHashTable *refused;
	guint64 last_number;
};

/**
 * lug_admission_new - create an empty state
 */
struct lug_admission *lug_admission_new(void)
{
	struct lug_admission *adm = g_new0(struct lug_admission, 1);

	adm->refused = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	return adm;
}

/**
 * lug_admission_free - release the state
 * @adm: may be NULL
 */
void lug_admission_free(struct lug_admission *adm)
{
	if (!adm)
		return;
	g_hash_table_unref(adm->refused);
	g_free(adm);
}

/**
 * lug_admission_reset - forget everything, as at a change of the owner
 */
void lug_admission_reset(struct lug_admission *adm)
{
	adm->n_kinds = 0;
	g_hash_table_remove_all(adm->refused);
}

/* Kinds that use the same resources, whatever their priority. */
static gboolean shares_pool(const struct lug_admission_kind *a, const struct lug_admission_kind *b)
{
	return a->service == b->service && a->best_effort == b->best_effort;
}

static struct kind_state *find_kind(struct lug_admission *adm,
				    const struct lug_admission_kind *kind)
{
	for (guint i = 0; i < adm->n_kinds; i++)
		if (shares_pool(&adm->kinds[i].kind, kind) &&
		    adm->kinds[i].kind.priority == kind->priority)
			return &adm->kinds[i];
	return NULL;
}

/* NULL when there are too many kinds; jobs of the others are never refused. */
static struct kind_state *add_kind(struct lug_admission *adm, const struct lug_admission_kind *kind)
{
	struct kind_state *state = find_kind(adm, kind);

	if (state || adm->n_kinds >= KINDS_MAX)
		return state;
	state = &adm->kinds[adm->n_kinds++];
	memset(state, 0, sizeof(*state));
	state->kind = *kind;
	return state;
}

/**
 * lug_admission_watch - sample the wait of a kind also before its first job
 */
void lug_admission_watch(struct lug_admission *adm, const struct lug_admission_kind *kind)
{
	add_kind(adm, kind);
}

/**
 * lug_admission_add_ended - record the end of a task
 * @adm: state
 * @kind: kind of its job
 * @work: its work, in millicores x ms of estimated run time
 * @now_us: current time
 */
void lug_admission_add_ended(struct lug_admission *adm, const struct lug_admission_kind *kind,
			     double work, gint64 now_us)
{
	struct kind_state *state = add_kind(adm, kind);
	gint64 index = now_us / ENDED_BUCKET_US;
	struct ended_bucket *bucket;

	if (!state)
		return;
	bucket = &state->ended[index % ENDED_BUCKETS];
	if (bucket->index != index || !bucket->n)
		*bucket = (struct ended_bucket){.index = index};
	bucket->n++;
	bucket->work += work;
}

/* Work that a pool has ended in the last 5 s, and the part that ended in the first bucket. */
struct ended_work {
	guint n;
	double work;
	double first_work;
	gint64 span_us;
};

static void add_bucket(struct ended_work *sum, gint64 *first, const struct ended_bucket *bucket)
{
	if (bucket->index < *first)
		sum->first_work = 0;
	*first = MIN(*first, bucket->index);
	sum->first_work += bucket->index == *first ? bucket->work : 0;
	sum->work += bucket->work;
	sum->n += bucket->n;
}

/* The time counts from the first end, so that the rate isn't too low after a pause. */
static void sum_ended(const struct lug_admission *adm, const struct lug_admission_kind *kind,
		      gint64 now_us, struct ended_work *out)
{
	gint64 index = now_us / ENDED_BUCKET_US;
	gint64 first = G_MAXINT64;

	memset(out, 0, sizeof(*out));
	for (guint i = 0; i < adm->n_kinds; i++)
		for (guint b = 0; b < ENDED_BUCKETS && shares_pool(&adm->kinds[i].kind, kind);
		     b++) {
			const struct ended_bucket *bucket = &adm->kinds[i].ended[b];

			if (bucket->n && bucket->index > index - ENDED_BUCKETS)
				add_bucket(out, &first, bucket);
		}
	if (out->n)
		out->span_us = MAX(now_us - first * ENDED_BUCKET_US, RATE_SPAN_MIN_US);
}

/* Millicores at which a pool has worked, rather too many; 0 when too few tasks have ended. */
static double ended_rate(const struct lug_admission *adm, const struct lug_admission_kind *kind,
			 gint64 now_us)
{
	struct ended_work ended;

	sum_ended(adm, kind, now_us, &ended);
	return ended.n < ENDED_MIN ? 0 : ended.work * 1000 / (double)ended.span_us;
}

/*
 * Millicores at which a pool has worked, rather too few: what ended first was worked on before. A
 * job that returns too early is refused once more.
 */
static double low_rate(const struct lug_admission *adm, const struct lug_admission_kind *kind,
		       gint64 now_us)
{
	struct ended_work ended;

	sum_ended(adm, kind, now_us, &ended);
	if (ended.work <= ended.first_work)
		return ended_rate(adm, kind, now_us);
	return (ended.work - ended.first_work) * 1000 / (double)ended.span_us;
}

/* The higher one of the rate of ends and the cores in use now; 0 when it is not known. */
static double pool_rate(const struct lug_admission *adm, const struct lug_admission_kind *kind,
			const struct lug_admission_job *jobs, guint n, gint64 now_us)
{
	double rate = ended_rate(adm, kind, now_us);
	double running = 0;

	for (guint i = 0; i < n; i++)
		if (shares_pool(&jobs[i].kind, kind))
			running += jobs[i].running_millicores;
	return rate > 0 ? MAX(rate, running) : 0;
}

static gboolean is_expired(const struct refused_job *job, gint64 now_us)
{
	return now_us - job->last_us > REFUSED_RETENTION_US;
}

static gboolean remove_if_expired(gpointer id, gpointer job, gpointer now_us)
{
	(void)id;
	return is_expired(job, *(const gint64 *)now_us);
}

/*
 * Work of the refused jobs that are expected back and come before @job, which is NULL for a new
 * job: those refused earlier.
 */
static double returning_work(const struct lug_admission *adm, const struct lug_admission_kind *kind,
			     const struct refused_job *job, gint64 now_us)
{
	GHashTableIter iter;
	gpointer value;
	double work = 0;

	g_hash_table_iter_init(&iter, adm->refused);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct refused_job *other = value;

		if (!shares_pool(&other->kind, kind) || other->kind.priority > kind->priority ||
		    now_us > other->due_us + RETURN_GRACE_US)
			continue;
		if (!job || other->kind.priority < kind->priority || other->number < job->number)
			work += other->work;
	}
	return work;
}

static double to_ms(double work, double rate)
{
	return rate > 0 ? MIN(work / rate, (double)G_MAXINT32) : 0;
}

static void add_steady(struct kind_state *state, gint64 wait_ms, gint64 now_us)
{
	gint64 index = now_us / STEADY_BUCKET_US;
	struct steady_bucket *bucket = &state->steady[index % STEADY_BUCKETS];

	if (bucket->index != index)
		*bucket = (struct steady_bucket){index, wait_ms};
	bucket->wait_ms = MIN(bucket->wait_ms, wait_ms);
}

/* Least wait in the last second, 0 when it was not sampled all the time. */
static gint64 steady_wait_ms(const struct kind_state *state, gint64 now_us)
{
	gint64 index = now_us / STEADY_BUCKET_US;
	gint64 least = G_MAXINT64;

	for (gint64 i = index - STEADY_BUCKETS + 1; i <= index; i++) {
		const struct steady_bucket *bucket = &state->steady[i % STEADY_BUCKETS];

		if (bucket->index == i)
			least = MIN(least, bucket->wait_ms);
		else if (i < index)
			return 0;
	}
	return least;
}

/* Waiting work that would be placed before a new job of a kind. */
static double work_before_new(const struct lug_admission_kind *kind,
			      const struct lug_admission_job *jobs, guint n)
{
	double work = 0;

	for (guint i = 0; i < n; i++) {
		const struct lug_order_key *order = &jobs[i].order;

		if (shares_pool(&jobs[i].kind, kind) &&
		    (order->priority < kind->priority ||
		     (order->priority == kind->priority && order->group == LUG_ORDER_IN_TIME)))
			work += jobs[i].waiting;
	}
	return work;
}

/**
 * lug_admission_sample - record the expected wait of a new job of each kind
 * @adm: state
 * @jobs: live jobs of the owner
 * @n: number of @jobs
 * @now_us: current time
 *
 * Call it at least twice a second: without samples, nothing is refused.
 */
void lug_admission_sample(struct lug_admission *adm, const struct lug_admission_job *jobs, guint n,
			  gint64 now_us)
{
	g_hash_table_foreach_remove(adm->refused, remove_if_expired, &now_us);
	for (guint i = 0; i < n; i++)
		add_kind(adm, &jobs[i].kind);
	for (guint i = 0; i < adm->n_kinds; i++) {
		struct kind_state *state = &adm->kinds[i];
		double work = work_before_new(&state->kind, jobs, n) +
			      returning_work(adm, &state->kind, NULL, now_us);

		add_steady(state,
			   (gint64)to_ms(work, pool_rate(adm, &state->kind, jobs, n, now_us)),
			   now_us);
	}
}

static const struct refused_job *find_refused(const struct lug_admission *adm, const char *id,
					      gint64 now_us)
{
	const struct refused_job *job = g_hash_table_lookup(adm->refused, id);

	return job && !is_expired(job, now_us) ? job : NULL;
}

/* Time until all waiting work of the priority or a higher one is done, in whole seconds. */
static gint64 retry_after_ms(const struct lug_admission *adm,
			     const struct lug_admission_request *request,
			     const struct lug_admission_job *jobs, guint n,
			     const struct refused_job *self, double random, gint64 now_us)
{
	double rate = low_rate(adm, &request->kind, now_us);
	double work = returning_work(adm, &request->kind, self, now_us);
	gint64 ms;

	for (guint i = 0; i < n; i++)
		if (shares_pool(&jobs[i].kind, &request->kind) &&
		    jobs[i].order.priority <= request->kind.priority)
			work += jobs[i].waiting;
	ms = (gint64)(MIN(to_ms(work, rate), RETRY_MAX_MS) * (1 + RETRY_SPREAD * random));
	return MAX((ms + 999) / 1000, 1) * 1000;
}

/**
 * lug_admission_decide - whether to store a new job
 * @adm: state
 * @request: job, which the owner doesn't know
 * @jobs: live jobs of the owner
 * @n: number of @jobs
 * @random: from 0 to 1, spreads the jobs that return
 * @now_us: current time
 * @out: filled in
 *
 * A job is refused only if it is certain that it can't end before it is worth nothing: the expected
 * time exceeds that by CERTAINTY_FACTOR, and has done so for 1 s. When the rate isn't known, the
 * job is admitted. The refused jobs that are expected back count as ahead of those that came after
 * them, so they are admitted in the order of their first submissions.
 */
void lug_admission_decide(struct lug_admission *adm, const struct lug_admission_request *request,
			  const struct lug_admission_job *jobs, guint n, double random,
			  gint64 now_us, struct lug_admission_decision *out)
{
	const struct refused_job *self = find_refused(adm, request->id, now_us);
	const struct kind_state *state = find_kind(adm, &request->kind);
	gint64 limit_ms = CERTAINTY_FACTOR * LUG_ORDER_WORTH_FACTOR * request->objective_ms;

	memset(out, 0, sizeof(*out));
	out->returning = self != NULL;
	out->superseded = self && request->accepted_ms < self->accepted_ms;
	out->rate = pool_rate(adm, &request->kind, jobs, n, now_us);
	out->ahead = returning_work(adm, &request->kind, self, now_us);
	for (guint i = 0; i < n; i++)
		if (shares_pool(&jobs[i].kind, &request->kind) &&
		    lug_order_compare(&jobs[i].order, &request->order) <= 0)
			out->ahead += jobs[i].waiting;
	out->expected_ms = (gint64)to_ms(out->ahead, out->rate) + request->path_ms;
	out->steady_ms = state ? steady_wait_ms(state, now_us) : 0;
	out->refused = out->superseded || (out->rate > 0 && out->expected_ms > limit_ms &&
					   out->steady_ms + request->path_ms > limit_ms);
	if (out->refused)
		out->retry_after_ms = retry_after_ms(adm, request, jobs, n, self, random, now_us);
}

/* Makes room for one more: the job whose latest submission is the oldest loses its place. */
static void evict_refused(struct lug_admission *adm)
{
	GHashTableIter iter;
	gpointer id;
	gpointer value;
	const char *oldest_id = NULL;
	gint64 oldest_us = G_MAXINT64;

	if (g_hash_table_size(adm->refused) < REFUSED_MAX)
		return;
	g_hash_table_iter_init(&iter, adm->refused);
	while (g_hash_table_iter_next(&iter, &id, &value)) {
		const struct refused_job *job = value;

		if (job->last_us >= oldest_us)
			continue;
		oldest_us = job->last_us;
		oldest_id = id;
	}
	g_hash_table_remove(adm->refused, oldest_id);
}

/**
 * lug_admission_refuse - remember a refused job, with the place of its first submission
 * @adm: state
 * @request: job
 * @decision: decision to refuse it
 * @now_us: current time
 */
void lug_admission_refuse(struct lug_admission *adm, const struct lug_admission_request *request,
			  const struct lug_admission_decision *decision, gint64 now_us)
{
	struct refused_job *job = g_hash_table_lookup(adm->refused, request->id);

	if (job && is_expired(job, now_us)) {
		g_hash_table_remove(adm->refused, request->id);
		job = NULL;
	}
	if (!job) {
		evict_refused(adm);
		job = g_new0(struct refused_job, 1);
		job->first_us = now_us;
		job->number = ++adm->last_number;
		g_hash_table_insert(adm->refused, g_strdup(request->id), job);
	}
	job->kind = request->kind;
	job->work = request->work;
	job->last_us = now_us;
	job->due_us = now_us + decision->retry_after_ms * 1000;
	job->accepted_ms = MAX(job->accepted_ms, request->accepted_ms);
	job->retry_after_ms = decision->retry_after_ms;
}

/**
 * lug_admission_admit - forget that a job was refused
 * @adm: state
 * @id: job
 *
 * Return: time of its first submission, 0 when it was not refused before.
 */
gint64 lug_admission_admit(struct lug_admission *adm, const char *id)
{
	const struct refused_job *job = g_hash_table_lookup(adm->refused, id);
	gint64 first_us = job ? job->first_us : 0;

	g_hash_table_remove(adm->refused, id);
	return first_us;
}

/**
 * lug_admission_is_superseded - whether a later submission of the same job was refused
 * @adm: state
 * @id: job
 * @accepted_ms: wall time of the submission in question
 * @now_us: current time
 */
gboolean lug_admission_is_superseded(struct lug_admission *adm, const char *id, gint64 accepted_ms,
				     gint64 now_us)
{
	const struct refused_job *job = find_refused(adm, id, now_us);

	return job && accepted_ms < job->accepted_ms;
}

/**
 * lug_admission_retry_after_ms - time that the latest refusal of a job has named, 0 when it is not
 * known
 */
gint64 lug_admission_retry_after_ms(const struct lug_admission *adm, const char *id)
{
	const struct refused_job *job = g_hash_table_lookup(adm->refused, id);

	return job ? job->retry_after_ms : 0;
}

/**
 * lug_admission_count - number of refused jobs that are remembered
 */
guint lug_admission_count(const struct lug_admission *adm)
{
	return g_hash_table_size(adm->refused);
}
