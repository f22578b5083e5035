#include "route/admit.h"

/* A new sample has a weight of 1 / EMA_DIVISOR in the moving average. */
#define EMA_DIVISOR 16

/**
 * lug_admit_decide - decide whether a request runs, is queued or is refused
 * @admit: limits and load of the backend server
 * @remaining_us: time until the request's deadline, microseconds
 *
 * A request that is expected to miss its deadline is refused at once, so that the entry can
 * retry it on another backend server in time.
 *
 * Return: the decision.
 */
enum lug_admission lug_admit_decide(const struct lug_admit_state *admit, gint64 remaining_us)
{
	gint64 wait_us;

	if (admit->busy + admit->queued >= admit->requests_max)
		return LUG_ADMIT_FULL;
	if (admit->busy < admit->slots_max && !admit->queued)
		return remaining_us > 0 ? LUG_ADMIT_RUN : LUG_ADMIT_TOO_LATE;
	if (admit->queued >= admit->queue_max)
		return LUG_ADMIT_FULL;
	/* With all slots in use, one becomes free every service_us / slots_max on average. */
	wait_us = (admit->queued + 1) * admit->service_us / MAX(admit->slots_max, 1);
	if (wait_us + admit->service_us > remaining_us)
		return LUG_ADMIT_TOO_LATE;
	return LUG_ADMIT_QUEUE;
}

/**
 * lug_admit_observe - update the moving average of the service time
 * @admit: limits and load of the backend server
 * @service_us: service time of one request, microseconds
 */
void lug_admit_observe(struct lug_admit_state *admit, gint64 service_us)
{
	if (!admit->service_us)
		admit->service_us = service_us;
	else
		admit->service_us += (service_us - admit->service_us) / EMA_DIVISOR;
}
