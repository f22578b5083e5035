#include "schedule/reservation.h"
#include "workflow/shard_priv.h"

#include <string.h>

/* A request without an answer for this long is dropped: its agent may be of a former release. */
#define ANSWER_TIMEOUT_US (1000 * 1000)
/* After a refusal the agent is asked again once its next heartbeat has come. */
#define REFUSED_PAUSE_US (500 * 1000)
/* After a reservation that brought no room, other agents are asked first. */
#define FAILED_PAUSE_US (2 * G_USEC_PER_SEC)
/* Searches for a worker to ask, in each interval; they also bound the number of log lines. */
#define SEARCHES_MAX 2
#define SEARCH_INTERVAL_US (100 * 1000)
/* Tasks of this size or more are large in the histograms of waits. */
#define LARGE_MILLICORES 2000
/* Weight of a claim in the moving average of sizes, as a divisor. */
#define USUAL_DIVISOR 32
/* A task for which no worker was found searches again after this time. */
#define SEARCH_AGAIN_US (500 * 1000)

/**
 * struct shard_reserve - a reservation that a waiting task has asked for
 * @id: run that the next claim of the task would have
 * @holder: see lug_reservation_holder()
 * @worker: worker, interned
 * @size: resources
 * @since_us: when the task began to wait
 * @asked_us: when it was first asked for
 * @granted_us: when the agent granted it, 0 before
 */
struct shard_reserve {
	struct lug_run_id id;
	guint64 holder;
	const char *worker;
	struct lug_resources size;
	gint64 since_us;
	gint64 asked_us;
	gint64 granted_us;
};

static gint64 lookahead_us(const struct lug_shard *shard)
{
	return shard->shared.ctx->settings->schedule_lookahead_ms * 1000;
}

static struct shard_reserve *reserve_at(const struct lug_shard *shard, guint i)
{
	return &g_array_index(shard->reserves, struct shard_reserve, i);
}

GArray *shard_reserves_new(void)
{
	return g_array_new(FALSE, FALSE, sizeof(struct shard_reserve));
}

/**
 * shard_reserve_reset - forget all reservations of the current ownership; they lapse at the agents
 */
void shard_reserve_reset(struct lug_shard *shard)
{
	lug_fleet_count_reservation(shard->shared.fleet, -(gint)shard->reserves->len);
	g_array_set_size(shard->reserves, 0);
}

static void send_request(const struct lug_shard *shard, const struct shard_reserve *reserve,
			 gboolean cancel, gint64 now_us)
{
	const struct lug_fleet_worker *worker =
		lug_fleet_find(shard->shared.fleet, reserve->worker);
	Lug__RunReserve message = LUG__RUN_RESERVE__INIT;
	Lug__Resources size;
	Lug__RunId run;
	LUG_ENVELOPE(env, RUN_RESERVE, run_reserve, &message);

	if (!worker)
		return;
	lug_resources_to_wire(&reserve->size, &size);
	lug_run_to_wire(&reserve->id, &run);
	message.has_shard = 1;
	message.shard = shard->number;
	message.has_epoch = 1;
	message.epoch = lug_shard_epoch(shard);
	message.id = &run;
	message.size = &size;
	message.has_waited_ms = 1;
	message.waited_ms = (guint32)CLAMP((now_us - reserve->since_us) / 1000, 0, G_MAXINT32);
	message.has_cancel = cancel;
	message.cancel = cancel;
	lug_link_send(shard->shared.link, &worker->route, &env);
}

static void log_reserve(const struct lug_shard *shard, const char *event,
			const struct shard_reserve *reserve, const char *reason, gint64 now_us)
{
	char waited[24];
	char name[LUG_RUN_NAME_SIZE];

	lug_run_name(&reserve->id, name, sizeof(name));
	g_snprintf(waited, sizeof(waited), "%" G_GINT64_FORMAT,
		   (now_us - reserve->since_us) / 1000);
	lug_info(shard->shared.ctx, event, "job", reserve->id.job, "run", name, "worker",
		 reserve->worker, "waited_ms", waited, "reason", reason);
}

/* Forgets a reservation. Its worker is not asked again for @pause_us. */
static void drop_reserve(struct lug_shard *shard, guint i, gint64 pause_us, gint64 now_us)
{
	const struct shard_reserve *reserve = reserve_at(shard, i);
	struct lug_fleet_worker *worker = lug_fleet_find(shard->shared.fleet, reserve->worker);

	if (worker) {
		worker->reserve_after_us = now_us + pause_us;
		if (worker->reservation.holder == reserve->holder)
			memset(&worker->reservation, 0, sizeof(worker->reservation));
	}
	g_array_remove_index_fast(shard->reserves, i);
	lug_fleet_count_reservation(shard->shared.fleet, -1);
}

static void cancel_reserve(struct lug_shard *shard, guint i, const char *reason, gint64 pause_us,
			   gint64 now_us)
{
	log_reserve(shard, "reservation_dropped", reserve_at(shard, i), reason, now_us);
	send_request(shard, reserve_at(shard, i), TRUE, now_us);
	drop_reserve(shard, i, pause_us, now_us);
}

/* The agent has refused or ended a reservation. */
static void refuse_reserve(struct lug_shard *shard, guint i, gint64 now_us)
{
	gboolean granted = reserve_at(shard, i)->granted_us > 0;

	log_reserve(shard, "reservation_dropped", reserve_at(shard, i),
		    granted ? "the agent has ended it" : "the agent has refused it", now_us);
	drop_reserve(shard, i, granted ? FAILED_PAUSE_US : REFUSED_PAUSE_US, now_us);
}

static struct shard_task *waiting_task(const struct lug_shard *shard,
				       const struct shard_reserve *reserve)
{
	struct shard_job *job = g_hash_table_lookup(shard->jobs, reserve->id.job);
	struct shard_task *task = job ? shard_find_task(job, &reserve->id) : NULL;

	if (!task || job->end_state != LUG_WORKFLOW_UNKNOWN || task->state != SHARD_TASK_WAITING)
		return NULL;
	return task;
}

static gboolean takes_starts(const struct lug_fleet_worker *worker,
			     const struct lug_evacuation *evacuation, gint64 now_us)
{
	return worker && worker->ready && !worker->draining && lug_fleet_is_live(worker, now_us) &&
	       !lug_fleet_is_evacuated(worker, evacuation);
}

/* Drops a reservation that can't be used any more; returns whether it was. */
static gboolean check_reserve(struct lug_shard *shard, guint i, gint64 now_us)
{
	const struct shard_reserve *reserve = reserve_at(shard, i);
	const char *reason = NULL;

	if (!waiting_task(shard, reserve)) {
		cancel_reserve(shard, i, "its task does not wait any more", 0, now_us);
		return TRUE;
	}
	if (!takes_starts(lug_fleet_find(shard->shared.fleet, reserve->worker),
			  shard_evacuation(shard), now_us))
		reason = "the worker takes no starts";
	else if (!reserve->granted_us && now_us - reserve->asked_us >= ANSWER_TIMEOUT_US)
		reason = "the agent does not answer";
	else if (reserve->granted_us &&
		 now_us - reserve->granted_us >= (gint64)LUG_RESERVATION_AGE_MAX_US)
		reason = "the room was not free in time";
	if (!reason)
		return FALSE;
	cancel_reserve(shard, i, reason, FAILED_PAUSE_US, now_us);
	return TRUE;
}

/**
 * shard_reserve_check - drop reservations that can't be used any more, before tasks are placed
 */
void shard_reserve_check(struct lug_shard *shard, gint64 now_us)
{
	for (guint i = shard->reserves->len; i-- > 0;)
		check_reserve(shard, i, now_us);
	if (now_us < shard->next_search_us)
		return;
	shard->next_search_us = now_us + SEARCH_INTERVAL_US;
	shard->searches_left = SEARCHES_MAX;
	shard->ask_millicores = shard->largest_blocked;
	shard->largest_blocked = 0;
}

/**
 * shard_reserve_fill_request - add what look-ahead placement needs to a request for placement
 * @shard: shard
 * @job: job
 * @occurrence: number of the occurrence
 * @request: request with its step and service
 * @now_us: current time
 */
void shard_reserve_fill_request(const struct lug_shard *shard, const struct shard_job *job,
				guint32 occurrence, struct lug_placement_request *request,
				gint64 now_us)
{
	const struct lug_step *step = request->step;

	if (lookahead_us(shard) <= 0)
		return;
	request->holder = lug_reservation_holder(job->workflow->id, occurrence,
						 (guint32)(step - job->workflow->steps));
	request->promised_ms = shard_promised_ms(shard, job, step);
	request->pack = !step->long_running &&
			lug_fleet_sum_pool(shard->shared.fleet, request->service, now_us)->scarce;
}

/* Whether a worker is preferred: a warm one to a cold one, otherwise that with room first. */
static gboolean is_earlier(const struct lug_fleet_worker *worker, gint64 at_us,
			   const struct lug_fleet_worker *best, gint64 best_us, gint64 now_us)
{
	gboolean is_cold = now_us < worker->cold_until_us;

	if (is_cold != (now_us < best->cold_until_us))
		return !is_cold;
	return at_us < best_us;
}

/* The worker on which the task fits first; it must not be reserved or asked lately. */
static struct lug_fleet_worker *find_worker(const struct lug_shard *shard,
					    const struct lug_placement_request *request,
					    gint64 now_us)
{
	GPtrArray *workers = lug_fleet_workers(shard->shared.fleet);
	struct lug_fleet_worker *best = NULL;
	gint64 best_us = 0;

	for (guint i = 0; i < workers->len; i++) {
		struct lug_fleet_worker *worker = g_ptr_array_index(workers, i);
		struct lug_resources unconfirmed = worker->claimed;
		gint64 at_us;

		if (!worker->n_forecast || worker->reservation.held ||
		    now_us < worker->reserve_after_us ||
		    !lug_placement_is_suitable(request, worker, now_us))
			continue;
		lug_resources_sub(&unconfirmed, &worker->confirmed);
		at_us = lug_forecast_points_fit(worker->forecast, worker->n_forecast, &unconfirmed,
						&request->size);
		if (at_us > now_us + lookahead_us(shard) ||
		    (best && !is_earlier(worker, at_us, best, best_us, now_us)))
			continue;
		best = worker;
		best_us = at_us;
	}
	return best;
}

static gboolean has_reserve(const struct lug_shard *shard, const struct shard_task *task)
{
	for (guint i = 0; i < shard->reserves->len; i++)
		if (waiting_task(shard, reserve_at(shard, i)) == task)
			return TRUE;
	return FALSE;
}

static gboolean may_search(struct lug_shard *shard, const struct lug_placement_request *request,
			   gint64 now_us)
{
	const struct lug_fleet_pool *pool;

	if (!shard->searches_left)
		return FALSE;
	pool = lug_fleet_sum_pool(shard->shared.fleet, request->service, now_us);
	if (lug_fleet_count_reservation(shard->shared.fleet, 0) >=
	    lug_reservation_limit(pool->n_workers))
		shard->searches_left = 0;
	return shard->searches_left > 0;
}

static void ask_for_room(struct lug_shard *shard, struct shard_task *task,
			 const struct lug_placement_request *request, gint64 now_us)
{
	struct shard_reserve reserve = {.holder = request->holder,
					.size = request->size,
					.since_us = task->blocked_since_us,
					.asked_us = now_us};
	struct lug_fleet_worker *worker;

	if (now_us - task->blocked_since_us < LUG_RESERVATION_WAIT_US ||
	    now_us < task->next_ask_us ||
	    lug_reservation_yields(request->step->long_running, now_us - task->blocked_since_us,
				   shard->finite_blocked_us, now_us) ||
	    has_reserve(shard, task))
		return;
	/* The largest tasks ask first, as the small ones fit into the next gap. */
	shard->largest_blocked = MAX(shard->largest_blocked, request->size.millicores);
	if (!shard->ask_millicores || request->size.millicores < shard->ask_millicores ||
	    !may_search(shard, request, now_us))
		return;
	shard->searches_left--;
	worker = find_worker(shard, request, now_us);
	if (!worker) {
		task->next_ask_us = now_us + SEARCH_AGAIN_US;
		return;
	}
	reserve.worker = g_intern_string(worker->name);
	g_strlcpy(reserve.id.job, request->job, sizeof(reserve.id.job));
	reserve.id.occurrence = task->occurrence;
	reserve.id.step = task->step;
	reserve.id.index = task->index;
	reserve.id.run = task->run + 1;
	worker->reserve_after_us = now_us + ANSWER_TIMEOUT_US;
	g_array_append_val(shard->reserves, reserve);
	lug_fleet_count_reservation(shard->shared.fleet, 1);
	log_reserve(shard, "reservation_requested", &reserve, "no worker has room", now_us);
	send_request(shard, &reserve, FALSE, now_us);
}

/**
 * shard_reserve_blocked - note that no worker has room for the tasks of a step, and ask for
 * reservations for those that have waited long enough
 * @shard: shard
 * @job: job
 * @occ: occurrence
 * @first: first of the tasks that wait, as an index within the occurrence
 * @request: request for placement of the step's tasks
 * @now_us: current time
 *
 * Only tasks with reserved cores wait for room that becomes free when others end.
 */
void shard_reserve_blocked(struct lug_shard *shard, struct shard_job *job,
			   struct shard_occurrence *occ, guint32 first,
			   const struct lug_placement_request *request, gint64 now_us)
{
	guint32 step = (guint32)(request->step - job->workflow->steps);
	gboolean worthwhile;

	if (lookahead_us(shard) <= 0 || request->size.millicores <= 0)
		return;
	worthwhile = lug_reservation_is_worthwhile(
		request->size.millicores, shard->usual_millicores, request->step->long_running);
	if (worthwhile)
		lug_fleet_want_forecast(shard->shared.fleet, now_us);
	for (guint32 i = first; i < job->first_task[step + 1]; i++) {
		struct shard_task *task = &occ->tasks[i];

		if (task->state != SHARD_TASK_WAITING || now_us < task->not_before_us)
			continue;
		if (!task->blocked_since_us)
			task->blocked_since_us = now_us;
		if (!request->step->long_running)
			shard->finite_blocked_us = now_us;
		if (worthwhile)
			ask_for_room(shard, task, request, now_us);
	}
}

static void observe_wait(struct lug_shard *shard, const struct shard_task *task,
			 const struct lug_resources *size, gint64 now_us)
{
	gint64 waited_us = task->blocked_since_us ? now_us - task->blocked_since_us : 0;

	if (size->millicores >= LARGE_MILLICORES)
		lug_observe(shard->shared.ctx, WAIT_LARGE_US, MAX(waited_us, 0));
	else if (size->millicores > 0)
		lug_observe(shard->shared.ctx, WAIT_SMALL_US, MAX(waited_us, 0));
}

static void note_usual_size(struct lug_shard *shard, gint64 millicores)
{
	if (!shard->usual_millicores)
		shard->usual_millicores = millicores;
	shard->usual_millicores += (millicores - shard->usual_millicores) / USUAL_DIVISOR;
}

/* Index of a reservation, of any worker if @worker is NULL; the number of reservations if none. */
static guint find_reserve(const struct lug_shard *shard, guint64 holder, const char *worker)
{
	guint i = 0;

	while (i < shard->reserves->len && (reserve_at(shard, i)->holder != holder ||
					    (worker && reserve_at(shard, i)->worker != worker)))
		i++;
	return i;
}

/*
 * The tasks of a step are equal, so the start on @worker replaces the reservation there, whichever
 * task asked for it. That task takes over the reservation that @task may have elsewhere.
 */
static void hand_over(struct lug_shard *shard, const struct shard_task *task, guint used)
{
	struct lug_run_id asker = reserve_at(shard, used)->id;

	for (guint i = 0; i < shard->reserves->len; i++)
		if (i != used && waiting_task(shard, reserve_at(shard, i)) == task)
			reserve_at(shard, i)->id = asker;
}

/**
 * shard_reserve_claimed - note that a waiting task is about to be claimed for a worker
 * @shard: shard
 * @task: task
 * @worker: worker
 * @request: request for its placement
 * @now_us: current time
 *
 * Its start replaces the reservation at the agent. A reservation elsewhere is cancelled by the next
 * shard_reserve_check().
 */
void shard_reserve_claimed(struct lug_shard *shard, const struct shard_task *task,
			   struct lug_fleet_worker *worker,
			   const struct lug_placement_request *request, gint64 now_us)
{
	guint used;

	if (lookahead_us(shard) <= 0)
		return;
	observe_wait(shard, task, &request->size, now_us);
	if (!request->step->long_running && request->size.millicores > 0)
		note_usual_size(shard, request->size.millicores);
	used = find_reserve(shard, request->holder, g_intern_string(worker->name));
	if (used == shard->reserves->len)
		return;
	hand_over(shard, task, used);
	drop_reserve(shard, used, 0, now_us);
}

/**
 * shard_reserve_on_beat - compare the reservations asked of an agent with its heartbeat, and ask
 * again for those that are needed
 */
void shard_reserve_on_beat(struct lug_shard *shard, const struct lug_fleet_worker *worker,
			   gint64 now_us)
{
	const char *name = g_intern_string(worker->name);

	/* It can't claim the task, and may have been replaced: the reservations lapse. */
	if (lug_shard_is_stalled(shard, now_us))
		return;
	for (guint i = shard->reserves->len; i-- > 0;) {
		const struct shard_reserve *reserve = reserve_at(shard, i);

		if (reserve->worker != name)
			continue;
		if (reserve->granted_us && worker->reservation.holder != reserve->holder) {
			cancel_reserve(shard, i, "the agent does not hold it any more",
				       REFUSED_PAUSE_US, now_us);
			continue;
		}
		send_request(shard, reserve, FALSE, now_us);
	}
}

static void apply_grant(const struct lug_shard *shard, struct shard_reserve *reserve,
			struct lug_fleet_worker *worker, const Lug__RunReserveAnswer *answer,
			gint64 now_us)
{
	struct lug_fleet_reservation *reservation = &worker->reservation;

	if (!reserve->granted_us)
		reserve->granted_us = now_us;
	reservation->held = TRUE;
	reservation->shard = shard->number;
	reservation->holder = reserve->holder;
	reservation->size = reserve->size;
	reservation->ready_us = now_us + (gint64)answer->ready_in_ms * 1000;
	reservation->backfill = answer->ready_in_ms > 0 &&
				now_us - reserve->granted_us < LUG_RESERVATION_BACKFILL_US;
}

/*
 * Whether a task of the step is claimed for a worker whose agent has not confirmed it: the start is
 * on its way and takes the place of the reservation.
 */
static gboolean is_start_due(const struct lug_shard *shard, const char *worker,
			     const struct lug_run_id *id)
{
	const struct shard_claims *claims = shard_find_claims(shard, worker);

	if (!claims)
		return FALSE;
	LUG_LIST_FOREACH_SAFE (&claims->tasks, pos, tmp) {
		const struct shard_task *task =
			LUG_CONTAINER_OF(pos, struct shard_task, claim_node);

		if (!task->confirmed && task->step == id->step &&
		    task->occurrence == id->occurrence && !strcmp(task->job->workflow->id, id->job))
			return TRUE;
	}
	return FALSE;
}

/**
 * lug_shard_on_reserve_answer - apply an agent's answer to a request for a reservation
 * @shard: shard
 * @worker_name: worker of the agent
 * @answer: message
 * @now_us: current time
 *
 * The caller wakes the shard, so that the room is used at once when it is free.
 */
void lug_shard_on_reserve_answer(struct lug_shard *shard, const char *worker_name,
				 const Lug__RunReserveAnswer *answer, gint64 now_us)
{
	struct lug_fleet_worker *worker = lug_fleet_find(shard->shared.fleet, worker_name);
	struct shard_reserve unknown = {.worker = g_intern_string(worker_name)};
	struct lug_resources used;
	guint i;

	if (shard->load_phase != SHARD_LOAD_DONE || !worker ||
	    !lug_run_from_wire(answer->id, &unknown.id))
		return;
	if (answer->used) {
		lug_resources_from_wire(answer->used, &used);
		lug_fleet_set_used(worker, &used);
	}
	i = find_reserve(
		shard,
		lug_reservation_holder(unknown.id.job, unknown.id.occurrence, unknown.id.step),
		unknown.worker);
	if (i < shard->reserves->len && answer->status == LUG_OK)
		apply_grant(shard, reserve_at(shard, i), worker, answer, now_us);
	else if (i < shard->reserves->len)
		refuse_reserve(shard, i, now_us);
	else if (answer->status == LUG_OK && !is_start_due(shard, unknown.worker, &unknown.id))
		/* An answer to a request that was dropped since. */
		send_request(shard, &unknown, TRUE, now_us);
}

/**
 * shard_reserve_refused - note that an agent has refused a start although room is known there
 * @shard: shard
 * @job: job
 * @id: run
 * @worker: worker
 * @now_us: current time
 *
 * The agent may have granted a reservation since its last heartbeat. Until the next one, no task of
 * this size is placed there, as it would be refused again and again.
 */
void shard_reserve_refused(struct lug_shard *shard, const struct shard_job *job,
			   const struct lug_run_id *id, struct lug_fleet_worker *worker,
			   gint64 now_us)
{
	const struct lug_step *step = &job->workflow->steps[id->step];
	struct lug_resources size;
	struct lug_resources room;

	shard_step_size(step, &size);
	if (lookahead_us(shard) <= 0 || size.millicores <= 0)
		return;
	lug_fleet_room_for(worker, lug_reservation_holder(id->job, id->occurrence, id->step),
			   shard_promised_ms(shard, job, step), now_us, &room);
	if (!lug_resources_fit(&size, &room))
		return;
	if (!worker->refused_millicores || size.millicores < worker->refused_millicores)
		worker->refused_millicores = size.millicores;
}
