#ifndef LUG_SCHEDULE_ORDER_H
#define LUG_SCHEDULE_ORDER_H

#include <glib.h>

/* A job that ends after this multiple of its objective is worth nothing. */
#define LUG_ORDER_WORTH_FACTOR 3

/**
 * enum lug_order_group - groups of jobs of equal priority, in the order in which they are placed
 * @LUG_ORDER_IN_TIME: can meet its objective, or has waited for too long
 * @LUG_ORDER_LATE: can still end within LUG_ORDER_WORTH_FACTOR times its objective
 * @LUG_ORDER_WORTHLESS: can't end before it is worth nothing
 */
enum lug_order_group {
	LUG_ORDER_IN_TIME,
	LUG_ORDER_LATE,
	LUG_ORDER_WORTHLESS,
};

/**
 * struct lug_order_job - what the place of a job depends on
 * @priority: priority of its queue, 0 is the highest
 * @accepted_us: when it was accepted
 * @first_us: when it was first submitted, if that submission was refused; 0 otherwise
 * @deadline_us: end of its objective
 * @remaining_us: least time that the rest of its critical path takes; negative when the job can't
 * be late
 * @last_start_us: when one of its tasks was last started, 0 for never
 * @long_running: all its tasks run until it is cancelled, and look-ahead placement is on
 */
struct lug_order_job {
	guint32 priority;
	gint64 accepted_us;
	gint64 first_us;
	gint64 deadline_us;
	gint64 remaining_us;
	gint64 last_start_us;
	gboolean long_running;
};

/**
 * struct lug_order_key - place of a job
 * @priority: lower first
 * @group: lower first
 * @due_us: earlier first
 */
struct lug_order_key {
	guint32 priority;
	enum lug_order_group group;
	gint64 due_us;
};

void lug_order_make_key(const struct lug_order_job *job, gint64 now_us, struct lug_order_key *out);
gint lug_order_compare(const struct lug_order_key *a, const struct lug_order_key *b);

#endif
