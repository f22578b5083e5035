#ifndef LUG_ROUTE_ADMIT_H
#define LUG_ROUTE_ADMIT_H

#include <glib.h>

/**
 * enum lug_admission - decision on a request that arrives
 * @LUG_ADMIT_RUN: run it at once
 * @LUG_ADMIT_QUEUE: queue it
 * @LUG_ADMIT_FULL: refuse it, the connections or the queue are full
 * @LUG_ADMIT_TOO_LATE: refuse it, it would miss its deadline
 */
enum lug_admission {
	LUG_ADMIT_RUN,
	LUG_ADMIT_QUEUE,
	LUG_ADMIT_FULL,
	LUG_ADMIT_TOO_LATE,
};

/**
 * struct lug_admit_state - limits and load of one backend server
 * @slots_max: limit on requests running at the same time
 * @requests_max: limit on requests running or queued
 * @queue_max: limit on requests queued
 * @busy: requests running
 * @queued: requests queued
 * @service_us: moving average of the service time, microseconds, 0 before the first request
 */
struct lug_admit_state {
	gint64 slots_max;
	gint64 requests_max;
	gint64 queue_max;
	gint64 busy;
	gint64 queued;
	gint64 service_us;
};

enum lug_admission lug_admit_decide(const struct lug_admit_state *admit, gint64 remaining_us);
void lug_admit_observe(struct lug_admit_state *admit, gint64 service_us);

#endif
