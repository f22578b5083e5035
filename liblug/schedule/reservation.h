#ifndef LUG_SCHEDULE_RESERVATION_H
#define LUG_SCHEDULE_RESERVATION_H

#include "schedule/forecast.h"

/* A task asks for a reservation once it has waited for this long. */
#define LUG_RESERVATION_WAIT_US (200 * 1000)
/* Workers for each reservation that an owner may hold; it may always hold one. */
#define LUG_RESERVATION_WORKERS_EACH 34
/* A task of limited run time asks only if it needs this many times the cores of the usual one. */
#define LUG_RESERVATION_SIZE_FACTOR 2
/*
 * A long-running task does not ask for this long after a task of limited run time had no room, and
 * asks in any case once it has waited for LUG_RESERVATION_YIELD_MAX_US.
 */
#define LUG_RESERVATION_YIELD_US (1 * G_USEC_PER_SEC)
#define LUG_RESERVATION_YIELD_MAX_US (4 * G_USEC_PER_SEC)
/* A reservation ends at this age, so that a wrong forecast blocks a worker for a bounded time. */
#define LUG_RESERVATION_AGE_MAX_US (5 * G_USEC_PER_SEC)
/* It lapses when its owner has not asked for this long: three heartbeats. */
#define LUG_RESERVATION_LAPSE_US (1500 * 1000)
/* At this age it allows no start that would delay it if the start's run ends late. */
#define LUG_RESERVATION_BACKFILL_US (2 * G_USEC_PER_SEC)
/* After one that ended by its age the agent grants none for this long, and other starts go on. */
#define LUG_RESERVATION_PAUSE_US (1 * G_USEC_PER_SEC)

/**
 * enum lug_reservation_state - state of an agent's reservation
 * @LUG_RESERVATION_NONE: there is none
 * @LUG_RESERVATION_ASKED: one was requested; the agent decides in its next step, so that requests
 *                         which arrive at the same time are compared
 * @LUG_RESERVATION_HELD: one is in force
 */
enum lug_reservation_state {
	LUG_RESERVATION_NONE,
	LUG_RESERVATION_ASKED,
	LUG_RESERVATION_HELD,
};

/**
 * struct lug_reservation - room that an agent keeps for one waiting task
 * @state: state; the other members but @not_before_us are valid unless it is LUG_RESERVATION_NONE
 * @holder: identifies the waiting tasks that may use it, those of one step of one occurrence
 * @size: reserved resources
 * @waited_us: time for which the task had waited at its latest request, in microseconds
 * @asked_us: when its owner last asked
 * @granted_us: when it was granted
 * @ready_us: when the room is expected to be free
 * @ready: the room is free
 * @not_before_us: none is granted before this time
 */
struct lug_reservation {
	enum lug_reservation_state state;
	guint64 holder;
	struct lug_resources size;
	gint64 waited_us;
	gint64 asked_us;
	gint64 granted_us;
	gint64 ready_us;
	gboolean ready;
	gint64 not_before_us;
};

/**
 * struct lug_reservation_request - request for a reservation
 * @holder: see struct lug_reservation
 * @size: resources
 * @waited_us: time for which the task has waited, in microseconds
 */
struct lug_reservation_request {
	guint64 holder;
	struct lug_resources size;
	gint64 waited_us;
};

/**
 * enum lug_reservation_answer - immediate outcome of a request
 * @LUG_RESERVATION_REFUSED: refused
 * @LUG_RESERVATION_NOTED: decided in the next step
 * @LUG_RESERVATION_REPLACED: the same, and the request noted before is refused
 * @LUG_RESERVATION_KEPT: the reservation in force is the holder's and stays in force
 */
enum lug_reservation_answer {
	LUG_RESERVATION_REFUSED,
	LUG_RESERVATION_NOTED,
	LUG_RESERVATION_REPLACED,
	LUG_RESERVATION_KEPT,
};

/**
 * enum lug_reservation_event - change of a reservation in a step
 * @LUG_RESERVATION_UNCHANGED: none
 * @LUG_RESERVATION_GRANTED: it is in force; @ready tells whether the room is free already
 * @LUG_RESERVATION_DENIED: the request is refused, as the room will not be free in time
 * @LUG_RESERVATION_READY: the room is free
 * @LUG_RESERVATION_LAPSED: ended, its owner does not ask any more
 * @LUG_RESERVATION_EXPIRED: ended by its age
 */
enum lug_reservation_event {
	LUG_RESERVATION_UNCHANGED,
	LUG_RESERVATION_GRANTED,
	LUG_RESERVATION_DENIED,
	LUG_RESERVATION_READY,
	LUG_RESERVATION_LAPSED,
	LUG_RESERVATION_EXPIRED,
};

/**
 * struct lug_reservation_start - a start that an agent has room for
 * @holder: see struct lug_reservation
 * @size: resources
 * @promised_ms: time within which the run will almost surely end, in ms, 0 for not known
 */
struct lug_reservation_start {
	guint64 holder;
	struct lug_resources size;
	gint64 promised_ms;
};

/**
 * enum lug_reservation_verdict - whether a start may go first
 * @LUG_RESERVATION_BLOCKS: it would take reserved room
 * @LUG_RESERVATION_ALLOWS: there is no reservation, or the start uses it or leaves its room free
 * @LUG_RESERVATION_BACKFILLS: its run is expected to end before the room is ready
 */
enum lug_reservation_verdict {
	LUG_RESERVATION_BLOCKS,
	LUG_RESERVATION_ALLOWS,
	LUG_RESERVATION_BACKFILLS,
};

guint lug_reservation_limit(guint n_workers);
gboolean lug_reservation_yields(gboolean long_running, gint64 waited_us, gint64 blocked_us,
				gint64 now_us);
gboolean lug_reservation_is_worthwhile(gint64 millicores, gint64 usual_millicores,
				       gboolean long_running);
guint64 lug_reservation_holder(const char *job, guint32 occurrence, guint32 step);
enum lug_reservation_answer lug_reservation_ask(struct lug_reservation *res,
						const struct lug_reservation_request *request,
						gint64 now_us);
enum lug_reservation_event lug_reservation_step(struct lug_reservation *res,
						const struct lug_forecast *forecast,
						gint64 horizon_us, gint64 now_us);
enum lug_reservation_verdict lug_reservation_judge(const struct lug_reservation *res,
						   const struct lug_resources *room,
						   const struct lug_reservation_start *start,
						   gint64 now_us);
gboolean lug_reservation_is_backfilled(const struct lug_reservation *res, gint64 now_us);
gboolean lug_reservation_end(struct lug_reservation *res, guint64 holder);
void lug_reservation_subtract(struct lug_resources *room, const struct lug_resources *reserved);

#endif
