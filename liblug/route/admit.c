#include "route/admit.h"

/* Part of a new time in the mean: one in this many. */
#define LEARN_DIVISOR 16

/**
 * lug_admit_decide - decide on a request that arrives
 * @admit: load
 * @remaining_us: time until the request's deadline
 *
 * A request that can't be answered in time is refused at once, while another
 * backend server may still serve it.
 */
enum lug_admission lug_admit_decide(const struct lug_admit *admit, gint64 remaining_us)
{
	gint64 wait_us;

	if (admit->busy + admit->queued >= admit->connections)
		return LUG_ADMIT_FULL;
	if (admit->busy < admit->slots && !admit->queued)
		return remaining_us > 0 ? LUG_ADMIT_RUN : LUG_ADMIT_TOO_LATE;
	if (admit->queued >= admit->queue)
		return LUG_ADMIT_FULL;
	wait_us = (admit->queued + 1) * admit->service_us / MAX(admit->slots, 1);
	if (wait_us + admit->service_us > remaining_us)
		return LUG_ADMIT_TOO_LATE;
	return LUG_ADMIT_QUEUE;
}

/**
 * lug_admit_learn - take the time of a request into the mean
 * @admit: load
 * @service_us: time at the backend server
 */
void lug_admit_learn(struct lug_admit *admit, gint64 service_us)
{
	if (!admit->service_us)
		admit->service_us = service_us;
	else
		admit->service_us += (service_us - admit->service_us) / LEARN_DIVISOR;
}
