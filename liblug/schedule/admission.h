#ifndef LUG_SCHEDULE_ADMISSION_H
#define LUG_SCHEDULE_ADMISSION_H

#include "schedule/order.h"

/**
 * struct lug_admission_kind - work that waits for the same resources at the same priority
 * @service: service whose workers run it, interned
 * @best_effort: its tasks reserve no cores
 * @priority: priority of its queue, 0 is the highest
 */
struct lug_admission_kind {
	const char *service;
	gboolean best_effort;
	guint32 priority;
};

/**
 * struct lug_admission_job - a live job of the owner
 * @kind: kind
 * @order: place
 * @waiting: work of its tasks that no worker has, in millicores x ms
 * @running_millicores: cores of its tasks that workers have; for best-effort tasks those that they
 * can use
 */
struct lug_admission_job {
	struct lug_admission_kind kind;
	struct lug_order_key order;
	double waiting;
	double running_millicores;
};

/**
 * struct lug_admission_request - a job that an entry hands over
 * @id: id
 * @kind: kind
 * @order: place that it would get
 * @work: work of all its tasks, in millicores x ms
 * @path_ms: run time of its critical path
 * @objective_ms: completion objective, from its acceptance
 * @accepted_ms: wall time of this submission at the entry, by which submissions of one id differ
 */
struct lug_admission_request {
	const char *id;
	struct lug_admission_kind kind;
	struct lug_order_key order;
	double work;
	gint64 path_ms;
	gint64 objective_ms;
	gint64 accepted_ms;
};

/**
 * struct lug_admission_decision - a decision with the figures that it is based on
 * @refused: the job can't end within LUG_ORDER_WORTH_FACTOR times its objective
 * @returning: it was refused before
 * @superseded: refused because a later submission of the same id was refused
 * @expected_ms: expected time until it ends
 * @steady_ms: least time until a new job of its kind began, as expected during the last second
 * @ahead: work ahead of it, in millicores x ms
 * @rate: millicores at which such work is done
 * @retry_after_ms: time after which to submit it again, whole seconds
 */
struct lug_admission_decision {
	gboolean refused;
	gboolean returning;
	gboolean superseded;
	gint64 expected_ms;
	gint64 steady_ms;
	double ahead;
	double rate;
	gint64 retry_after_ms;
};

/**
 * struct lug_admission - an owner's measurements of its backlog and its memory of refused jobs
 */
struct lug_admission;

struct lug_admission *lug_admission_new(void);
void lug_admission_free(struct lug_admission *adm);
void lug_admission_reset(struct lug_admission *adm);
void lug_admission_watch(struct lug_admission *adm, const struct lug_admission_kind *kind);
void lug_admission_add_ended(struct lug_admission *adm, const struct lug_admission_kind *kind,
			     double work, gint64 now_us);
void lug_admission_sample(struct lug_admission *adm, const struct lug_admission_job *jobs, guint n,
			  gint64 now_us);
void lug_admission_decide(struct lug_admission *adm, const struct lug_admission_request *request,
			  const struct lug_admission_job *jobs, guint n, double random,
			  gint64 now_us, struct lug_admission_decision *out);
void lug_admission_refuse(struct lug_admission *adm, const struct lug_admission_request *request,
			  const struct lug_admission_decision *decision, gint64 now_us);
gint64 lug_admission_admit(struct lug_admission *adm, const char *id);
gboolean lug_admission_is_superseded(struct lug_admission *adm, const char *id, gint64 accepted_ms,
				     gint64 now_us);
gint64 lug_admission_retry_after_ms(const struct lug_admission *adm, const char *id);
guint lug_admission_count(const struct lug_admission *adm);

#endif
