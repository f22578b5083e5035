#ifndef LUG_ROUTE_ADMIT_H
#define LUG_ROUTE_ADMIT_H

#include <glib.h>

enum lug_admission {
	LUG_ADMIT_RUN,
	LUG_ADMIT_QUEUE,
	LUG_ADMIT_FULL,
	LUG_ADMIT_TOO_LATE,
};

/**
 * struct lug_admit - load of one backend server
 * @slots: requests that it runs at once
 * @connections: requests that it accepts at once
 * @queue: requests that may wait
 * @busy: requests running
 * @queued: requests waiting
 * @service_us: mean time of a request
 */
struct lug_admit {
	gint64 slots;
	gint64 connections;
	gint64 queue;
	gint64 busy;
	gint64 queued;
	gint64 service_us;
};

enum lug_admission lug_admit_decide(const struct lug_admit *admit, gint64 remaining_us);
void lug_admit_learn(struct lug_admit *admit, gint64 service_us);

#endif
