#include "schedule/reservation.h"

/**
 * lug_reservation_limit - number of reservations that an owner may hold in a pool
 * @n_workers: workers of the pool
 */
guint lug_reservation_limit(guint n_workers)
{
	return MAX(n_workers / LUG_RESERVATION_WORKERS_EACH, 1);
}

/**
 * lug_reservation_is_worthwhile - whether a task that waits for room is to ask for a reservation
 * @millicores: its cores, in thousandths
 * @usual_millicores: mean cores of the tasks of limited run time that were placed lately, 0 for not
 *                    known
 * @long_running: its run time is not limited
 *
 * When many small tasks wait, each of them fits into the next gap: they would use up the
 * reservations that large ones need.
 */
gboolean lug_reservation_is_worthwhile(gint64 millicores, gint64 usual_millicores,
				       gboolean long_running)
{
	return long_running || (usual_millicores > 0 &&
				millicores >= LUG_RESERVATION_SIZE_FACTOR * usual_millicores);
}

/**
 * lug_reservation_yields - whether a task leaves the room to tasks of limited run time
 * @long_running: its run time is not limited
 * @waited_us: time for which it has waited for room
 * @blocked_us: when a task of limited run time last found no room, 0 for never
 * @now_us: current time
 *
 * A long-running task keeps its room for good. While short tasks wait as well, each reservation for
 * one makes them later. The bound on @waited_us keeps it from being passed over without end.
 */
gboolean lug_reservation_yields(gboolean long_running, gint64 waited_us, gint64 blocked_us,
				gint64 now_us)
{
	return long_running && waited_us < LUG_RESERVATION_YIELD_MAX_US && blocked_us &&
	       now_us - blocked_us < LUG_RESERVATION_YIELD_US;
}

/**
 * lug_reservation_holder - number that identifies the tasks of one step of one occurrence
 * @job: id of the job
 * @occurrence: occurrence
 * @step: step
 *
 * The tasks of a step have one size, so any of them may use the reservation.
 *
 * Return: hash (FNV-1a), never 0.
 */
guint64 lug_reservation_holder(const char *job, guint32 occurrence, guint32 step)
{
	guint64 hash = 14695981039346656037ull;

	for (const char *c = job; *c; c++)
		hash = (hash ^ (guint8)*c) * 1099511628211ull;
	hash = (hash ^ occurrence) * 1099511628211ull;
	hash = (hash ^ step) * 1099511628211ull;
	return hash ? hash : 1;
}

static void note_request(struct lug_reservation *res, const struct lug_reservation_request *request,
			 gint64 now_us)
{
	res->state = LUG_RESERVATION_ASKED;
	res->holder = request->holder;
	res->size = request->size;
	res->waited_us = request->waited_us;
	res->asked_us = now_us;
	res->ready = FALSE;
}

/**
 * lug_reservation_ask - apply an owner's request
 * @res: reservation of the agent
 * @request: request
 * @now_us: current time
 *
 * Of the requests between two steps, the one of the task that has waited longest is kept. A
 * reservation in force is not revoked.
 */
enum lug_reservation_answer lug_reservation_ask(struct lug_reservation *res,
						const struct lug_reservation_request *request,
						gint64 now_us)
{
	if (res->state != LUG_RESERVATION_NONE && res->holder == request->holder) {
		res->asked_us = now_us;
		res->waited_us = MAX(res->waited_us, request->waited_us);
		return res->state == LUG_RESERVATION_HELD ? LUG_RESERVATION_KEPT
							  : LUG_RESERVATION_NOTED;
	}
	if (res->state == LUG_RESERVATION_HELD || now_us < res->not_before_us)
		return LUG_RESERVATION_REFUSED;
	if (res->state == LUG_RESERVATION_NONE) {
		note_request(res, request, now_us);
		return LUG_RESERVATION_NOTED;
	}
	if (request->waited_us <= res->waited_us)
		return LUG_RESERVATION_REFUSED;
	note_request(res, request, now_us);
	return LUG_RESERVATION_REPLACED;
}

static enum lug_reservation_event decide_request(struct lug_reservation *res,
						 const struct lug_forecast *forecast,
						 gint64 horizon_us, gint64 now_us)
{
	gint64 ready_us = lug_forecast_first_fit(forecast, &res->size, horizon_us, now_us);

	if (ready_us == LUG_FORECAST_NEVER) {
		res->state = LUG_RESERVATION_NONE;
		return LUG_RESERVATION_DENIED;
	}
	res->state = LUG_RESERVATION_HELD;
	res->granted_us = now_us;
	res->ready_us = ready_us;
	res->ready = ready_us <= now_us;
	return LUG_RESERVATION_GRANTED;
}

/**
 * lug_reservation_step - decide on a request, or follow the room of a reservation in force
 * @res: reservation of the agent
 * @forecast: the worker's room, sorted; capacity that the worker does not have any more is negative
 *            room
 * @horizon_us: how far a request may look ahead, in microseconds
 * @now_us: current time
 *
 * Call it whenever room has become free, and several times a second.
 */
enum lug_reservation_event lug_reservation_step(struct lug_reservation *res,
						const struct lug_forecast *forecast,
						gint64 horizon_us, gint64 now_us)
{
	gboolean was_ready = res->ready;
	gint64 latest_us;

	if (res->state == LUG_RESERVATION_NONE)
		return LUG_RESERVATION_UNCHANGED;
	if (res->state == LUG_RESERVATION_ASKED)
		return decide_request(res, forecast, horizon_us, now_us);
	latest_us = res->granted_us + LUG_RESERVATION_AGE_MAX_US;
	if (now_us >= latest_us) {
		res->state = LUG_RESERVATION_NONE;
		res->not_before_us = now_us + LUG_RESERVATION_PAUSE_US;
		return LUG_RESERVATION_EXPIRED;
	}
	if (now_us - res->asked_us >= LUG_RESERVATION_LAPSE_US) {
		res->state = LUG_RESERVATION_NONE;
		return LUG_RESERVATION_LAPSED;
	}
	res->ready_us = MIN(
		lug_forecast_first_fit(forecast, &res->size, LUG_RESERVATION_AGE_MAX_US, now_us),
		latest_us);
	res->ready = res->ready_us <= now_us;
	return res->ready && !was_ready ? LUG_RESERVATION_READY : LUG_RESERVATION_UNCHANGED;
}

/**
 * lug_reservation_is_backfilled - whether runs that end before the room is ready may start
 * @res: reservation of the agent
 * @now_us: current time
 */
gboolean lug_reservation_is_backfilled(const struct lug_reservation *res, gint64 now_us)
{
	return res->state == LUG_RESERVATION_HELD && !res->ready &&
	       now_us - res->granted_us < LUG_RESERVATION_BACKFILL_US;
}

static gint64 left_of(gint64 room, gint64 reserved)
{
	return MAX(room - reserved, MIN(room, 0));
}

/**
 * lug_reservation_subtract - room that is left to others beside a reservation
 * @room: free resources; a member that is less than what is reserved of it becomes 0, a negative
 *        one stays as it is
 * @reserved: reserved resources
 */
void lug_reservation_subtract(struct lug_resources *room, const struct lug_resources *reserved)
{
	room->millicores = left_of(room->millicores, reserved->millicores);
	room->memory_bytes = left_of(room->memory_bytes, reserved->memory_bytes);
	room->accelerators = left_of(room->accelerators, reserved->accelerators);
}

/**
 * lug_reservation_judge - whether a start may go first
 * @res: reservation of the agent
 * @room: free resources now, which the start fits into
 * @start: start
 * @now_us: current time
 */
enum lug_reservation_verdict lug_reservation_judge(const struct lug_reservation *res,
						   const struct lug_resources *room,
						   const struct lug_reservation_start *start,
						   gint64 now_us)
{
	struct lug_resources left = *room;

	if (res->state != LUG_RESERVATION_HELD || res->holder == start->holder)
		return LUG_RESERVATION_ALLOWS;
	lug_reservation_subtract(&left, &res->size);
	if (lug_resources_fit(&start->size, &left))
		return LUG_RESERVATION_ALLOWS;
	if (!lug_reservation_is_backfilled(res, now_us) || start->promised_ms <= 0)
		return LUG_RESERVATION_BLOCKS;
	return start->promised_ms <= (res->ready_us - now_us) / 1000 ? LUG_RESERVATION_BACKFILLS
								     : LUG_RESERVATION_BLOCKS;
}

/**
 * lug_reservation_end - end a reservation that is used or no longer needed
 * @res: reservation of the agent
 * @holder: its holder
 *
 * Return: FALSE when the holder had none in force.
 */
gboolean lug_reservation_end(struct lug_reservation *res, guint64 holder)
{
	gboolean held = res->state == LUG_RESERVATION_HELD;

	if (res->state == LUG_RESERVATION_NONE || res->holder != holder)
		return FALSE;
	res->state = LUG_RESERVATION_NONE;
	return held;
}
