#include "schedule/estimate.h"
#include "schedule/reservation.h"
#include "workflow/executor_priv.h"

#include <string.h>

/*
 * While too few ends of an image are known, a run is promised to end within its expected run time
 * and one part in so many.
 */
#define PROMISE_MARGIN_DIVISOR 4
/* A run below this share was throttled; its run time is not learned. */
#define UNTHROTTLED_PERCENT 95
#define NUMBER_SIZE 24

/**
 * struct exec_reserve - the reservation of room for one waiting task
 * @res: reservation
 * @id: run that the next claim of the task would have
 * @shard: shard of the task
 * @estimates: run times relative to the expected ones, by image
 * @backfilled: starts that went first since the grant
 * @blocked: starts refused since the grant
 */
struct exec_reserve {
	struct lug_reservation res;
	struct lug_run_id id;
	guint32 shard;
	struct lug_estimates *estimates;
	guint backfilled;
	guint blocked;
};

struct exec_reserve *exec_reserve_new(void)
{
	struct exec_reserve *reserve = g_new0(struct exec_reserve, 1);

	reserve->estimates = lug_estimates_new();
	return reserve;
}

void exec_reserve_free(struct exec_reserve *reserve)
{
	lug_estimates_free(reserve->estimates);
	g_free(reserve);
}

static gint64 horizon_us(const struct lug_executor *exec)
{
	return exec->ctx->settings->schedule_lookahead_ms * 1000;
}

static guint64 holder_of(const struct lug_run_id *id)
{
	return lug_reservation_holder(id->job, id->occurrence, id->step);
}

static gint64 expected_end_us(const struct exec_run *run, gint64 now_us)
{
	struct lug_forecast_run known = {
		.started_us = run->start_sent_us,
		.expected_ms = run->expected_ms,
		.progress_percent = run->resumed ? 0 : run->progress_percent,
		.share = run->share,
	};

	if (run->state == EXEC_UNKNOWN || run->target_ms || !run->expected_ms)
		return LUG_FORECAST_NEVER;
	return lug_forecast_end_us(&known, now_us);
}

/* The caller frees the ends. */
static void forecast_room(const struct lug_executor *exec, struct lug_forecast *out, gint64 now_us)
{
	struct lug_resources used;

	exec_reserved(exec, &used);
	out->room = exec->capacity;
	lug_resources_sub(&out->room, &used);
	out->n_ends = 0;
	out->ends = g_new(struct lug_forecast_end, exec->runs->len + 1);
	for (guint i = 0; i < exec->runs->len; i++) {
		const struct exec_run *run = g_ptr_array_index(exec->runs, i);
		gint64 at_us = expected_end_us(run, now_us);

		if (at_us != LUG_FORECAST_NEVER)
			out->ends[out->n_ends++] = (struct lug_forecast_end){at_us, run->size};
	}
	lug_forecast_sort(out);
}

static guint32 ready_in_ms(const struct lug_reservation *res, gint64 now_us)
{
	gint64 left_ms = (res->ready_us - now_us + 999) / 1000;

	return res->ready ? 0 : (guint32)CLAMP(left_ms, 1, G_MAXINT32);
}

static void send_answer(struct lug_executor *exec, guint32 shard, const struct lug_run_id *id,
			enum lug_status status, guint32 ready_ms)
{
	Lug__RunReserveAnswer answer = LUG__RUN_RESERVE_ANSWER__INIT;
	struct lug_resources used;
	Lug__Resources wire;
	Lug__RunId run;
	LUG_ENVELOPE(env, RUN_RESERVE_ANSWER, run_reserve_answer, &answer);

	exec_reserved(exec, &used);
	lug_resources_to_wire(&used, &wire);
	lug_run_to_wire(id, &run);
	answer.has_shard = 1;
	answer.shard = shard;
	answer.id = &run;
	answer.has_status = 1;
	answer.status = (guint32)status;
	answer.has_ready_in_ms = 1;
	answer.ready_in_ms = ready_ms;
	answer.used = &wire;
	exec->send(exec->data, shard, &env);
}

static void answer_holder(struct lug_executor *exec, enum lug_status status, gint64 now_us)
{
	const struct exec_reserve *reserve = exec->reserve;

	send_answer(exec, reserve->shard, &reserve->id, status,
		    status == LUG_OK ? ready_in_ms(&reserve->res, now_us) : 0);
}

static void log_granted(const struct lug_executor *exec, gint64 now_us)
{
	const struct exec_reserve *reserve = exec->reserve;
	char name[LUG_RUN_NAME_SIZE];
	char millicores[NUMBER_SIZE];
	char waited[NUMBER_SIZE];
	char ready[NUMBER_SIZE];

	lug_run_name(&reserve->id, name, sizeof(name));
	g_snprintf(millicores, sizeof(millicores), "%" G_GINT64_FORMAT,
		   reserve->res.size.millicores);
	g_snprintf(waited, sizeof(waited), "%" G_GINT64_FORMAT, reserve->res.waited_us / 1000);
	g_snprintf(ready, sizeof(ready), "%u", ready_in_ms(&reserve->res, now_us));
	lug_info(exec->ctx, "reservation_granted", "job", reserve->id.job, "run", name,
		 "millicores", millicores, "waited_ms", waited, "ready_in_ms", ready);
}

static void log_ended(struct lug_executor *exec, const char *reason, gint64 now_us)
{
	struct exec_reserve *reserve = exec->reserve;
	char name[LUG_RUN_NAME_SIZE];
	char age[NUMBER_SIZE];
	char backfilled[NUMBER_SIZE];
	char blocked[NUMBER_SIZE];

	lug_run_name(&reserve->id, name, sizeof(name));
	g_snprintf(age, sizeof(age), "%" G_GINT64_FORMAT,
		   (now_us - reserve->res.granted_us) / 1000);
	g_snprintf(backfilled, sizeof(backfilled), "%u", reserve->backfilled);
	g_snprintf(blocked, sizeof(blocked), "%u", reserve->blocked);
	lug_info(exec->ctx, "reservation_ended", "job", reserve->id.job, "run", name, "reason",
		 reason, "age_ms", age, "backfilled", backfilled, "blocked", blocked);
}

static void cancel_reservation(struct lug_executor *exec, const struct lug_run_id *id,
			       const char *reason, gint64 now_us)
{
	if (lug_reservation_end(&exec->reserve->res, holder_of(id)))
		log_ended(exec, reason, now_us);
}

static void apply_request(struct lug_executor *exec, guint32 shard, const struct lug_run_id *id,
			  const struct lug_reservation_request *request, gint64 now_us)
{
	struct exec_reserve *reserve = exec->reserve;
	enum lug_reservation_answer answer = lug_reservation_ask(&reserve->res, request, now_us);

	if (answer == LUG_RESERVATION_REFUSED) {
		send_answer(exec, shard, id, LUG_OVER_LIMIT, 0);
		return;
	}
	if (answer == LUG_RESERVATION_REPLACED)
		answer_holder(exec, LUG_OVER_LIMIT, now_us);
	reserve->id = *id;
	reserve->shard = shard;
	if (answer == LUG_RESERVATION_KEPT)
		answer_holder(exec, LUG_OK, now_us);
}

/**
 * lug_executor_on_reserve - handle an owner's request to keep room free for a waiting task
 * @exec: executor
 * @message: request, or the cancellation of one
 * @now_us: current time
 *
 * The answer is sent by the next exec_reserve_step(), unless the reservation is already in force.
 */
void lug_executor_on_reserve(struct lug_executor *exec, const Lug__RunReserve *message,
			     gint64 now_us)
{
	struct lug_reservation_request request;
	struct lug_run_id id;

	if (message->shard >= exec->n_shards || !lug_run_from_wire(message->id, &id))
		return;
	lug_executor_update_owner(exec, message->shard, message->epoch);
	if (message->epoch < exec->owners[message->shard].epoch)
		return;
	if (message->cancel) {
		cancel_reservation(exec, &id, "cancelled by its owner", now_us);
		return;
	}
	if (horizon_us(exec) <= 0 || !exec_is_accepting(exec, now_us) ||
	    exec_check_zone(exec, now_us) != LUG_EVACUATION_OPEN) {
		cancel_reservation(exec, &id, "the worker takes no starts", now_us);
		send_answer(exec, message->shard, &id, LUG_OVER_LIMIT, 0);
		return;
	}
	request.holder = holder_of(&id);
	lug_resources_from_wire(message->size, &request.size);
	if (request.size.millicores < 0 || request.size.memory_bytes < 0)
		return;
	request.waited_us = (gint64)message->waited_ms * 1000;
	apply_request(exec, message->shard, &id, &request, now_us);
}

/**
 * exec_reserve_step - decide on a request for a reservation, or follow one in force
 *
 * Called after each poll, as runs may have ended, and by each tick.
 */
void exec_reserve_step(struct lug_executor *exec, gint64 now_us)
{
	struct exec_reserve *reserve = exec->reserve;
	struct lug_forecast forecast;
	enum lug_reservation_event event;

	if (reserve->res.state == LUG_RESERVATION_NONE)
		return;
	forecast_room(exec, &forecast, now_us);
	event = lug_reservation_step(&reserve->res, &forecast, horizon_us(exec), now_us);
	g_free(forecast.ends);
	switch (event) {
	case LUG_RESERVATION_UNCHANGED:
		return;
	case LUG_RESERVATION_GRANTED:
		reserve->backfilled = 0;
		reserve->blocked = 0;
		lug_count(exec->ctx, RESERVATIONS_GRANTED, 1);
		log_granted(exec, now_us);
		answer_holder(exec, LUG_OK, now_us);
		return;
	case LUG_RESERVATION_READY:
		answer_holder(exec, LUG_OK, now_us);
		return;
	case LUG_RESERVATION_DENIED:
		answer_holder(exec, LUG_OVER_LIMIT, now_us);
		return;
	case LUG_RESERVATION_LAPSED:
	case LUG_RESERVATION_EXPIRED:
		lug_count(exec->ctx, RESERVATIONS_EXPIRED, 1);
		log_ended(exec,
			  event == LUG_RESERVATION_LAPSED ? "its owner does not ask any more"
							  : "the room was not free in time",
			  now_us);
		answer_holder(exec, LUG_OVER_LIMIT, now_us);
		return;
	}
}

/* Time within which a started run ends with a probability of LUG_ESTIMATES_PROMISED, in ms. */
static gint64 promised_ms(const struct lug_executor *exec, const Lug__RunStart *start)
{
	gint64 expected_ms = start->lasts ? 0 : start->expected_ms;
	gint64 learned_ms =
		lug_estimates_ms(exec->reserve->estimates, start->image ? start->image : "",
				 expected_ms, LUG_ESTIMATES_PROMISED);

	return MAX(learned_ms, expected_ms + expected_ms / PROMISE_MARGIN_DIVISOR);
}

/**
 * exec_reserve_admits - whether a start that there is room for may take it
 * @exec: executor
 * @id: run
 * @start: start
 * @now_us: current time
 *
 * The start is carried out if it may: the one of a reservation's holder replaces the reservation.
 */
gboolean exec_reserve_admits(struct lug_executor *exec, const struct lug_run_id *id,
			     const Lug__RunStart *start, gint64 now_us)
{
	struct exec_reserve *reserve = exec->reserve;
	struct lug_reservation_start request = {.holder = holder_of(id)};
	struct lug_resources room = exec->capacity;
	struct lug_resources used;
	enum lug_reservation_verdict verdict;

	if (reserve->res.state == LUG_RESERVATION_NONE)
		return TRUE;
	lug_resources_from_wire(start->size, &request.size);
	request.promised_ms = promised_ms(exec, start);
	exec_reserved(exec, &used);
	lug_resources_sub(&room, &used);
	verdict = lug_reservation_judge(&reserve->res, &room, &request, now_us);
	if (verdict == LUG_RESERVATION_BLOCKS) {
		/* One line for each reservation; the number of refusals is logged at its end. */
		if (!reserve->blocked++)
			exec_log_run(exec, "start_refused", id, "its room is reserved");
		return FALSE;
	}
	if (verdict == LUG_RESERVATION_BACKFILLS) {
		reserve->backfilled++;
		lug_count(exec->ctx, TASKS_BACKFILLED, 1);
	}
	if (lug_reservation_end(&reserve->res, request.holder)) {
		lug_count(exec->ctx, RESERVATIONS_USED, 1);
		log_ended(exec, "used", now_us);
	}
	return TRUE;
}

/**
 * exec_reserve_learn - learn from a run that is done, before it is removed
 */
void exec_reserve_learn(struct lug_executor *exec, const struct exec_run *run, gint64 now_us)
{
	if (run->resumed || run->target_ms || run->applied_percent < UNTHROTTLED_PERCENT)
		return;
	lug_estimates_add(exec->reserve->estimates, run->image, run->expected_ms,
			  (now_us - run->start_sent_us) / 1000, now_us);
}

static void fill_reservation(const struct lug_executor *exec, Lug__WorkerBeat *beat,
			     struct exec_beat_lookahead *out, gint64 now_us)
{
	const struct exec_reserve *reserve = exec->reserve;

	if (reserve->res.state != LUG_RESERVATION_HELD)
		return;
	lug__room_reservation__init(&out->reservation);
	lug_resources_to_wire(&reserve->res.size, &out->reserved);
	out->reservation.has_shard = 1;
	out->reservation.shard = reserve->shard;
	out->reservation.size = &out->reserved;
	out->reservation.has_ready_in_ms = 1;
	out->reservation.ready_in_ms = ready_in_ms(&reserve->res, now_us);
	out->reservation.has_backfill = 1;
	out->reservation.backfill = lug_reservation_is_backfilled(&reserve->res, now_us);
	beat->reservation = &out->reservation;
}

static void fill_forecast(const struct lug_executor *exec, Lug__WorkerBeat *beat,
			  struct exec_beat_lookahead *out, gint64 now_us)
{
	struct lug_forecast_point points[LUG_FORECAST_POINTS_MAX];
	struct lug_forecast forecast;

	forecast_room(exec, &forecast, now_us);
	beat->n_forecast = lug_forecast_points(&forecast, horizon_us(exec), now_us, points);
	g_free(forecast.ends);
	for (guint i = 0; i < beat->n_forecast; i++) {
		lug__room_forecast__init(&out->forecast[i]);
		lug_resources_to_wire(&points[i].room, &out->rooms[i]);
		out->forecast[i].has_in_ms = 1;
		out->forecast[i].in_ms = (guint32)((points[i].at_us - now_us) / 1000);
		out->forecast[i].room = &out->rooms[i];
		out->forecast_ptrs[i] = &out->forecast[i];
	}
	beat->forecast = out->forecast_ptrs;
}

/**
 * exec_reserve_fill - add the reservation, and the forecast if it is wanted, to a heartbeat
 * @exec: executor
 * @beat: heartbeat
 * @forecast_wanted: its receiver has a task that waits for room
 * @out: what the members of @beat point to
 * @now_us: current time
 */
void exec_reserve_fill(const struct lug_executor *exec, Lug__WorkerBeat *beat,
		       gboolean forecast_wanted, struct exec_beat_lookahead *out, gint64 now_us)
{
	if (horizon_us(exec) <= 0)
		return;
	fill_reservation(exec, beat, out, now_us);
	if (forecast_wanted && exec->confirmed_epoch)
		fill_forecast(exec, beat, out, now_us);
}
