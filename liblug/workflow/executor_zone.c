#include "workflow/executor_priv.h"

/**
 * lug_executor_set_evacuation - have the executor refuse starts while its zone is evacuated
 * @exec: executor
 * @evacuation: evacuated zones, not owned; has to outlive the executor
 */
void lug_executor_set_evacuation(struct lug_executor *exec, const struct lug_evacuation *evacuation)
{
	exec->evacuation = evacuation;
}

/**
 * exec_check_zone - whether tasks may start in the zone of the settings and in that which the
 * worker reports
 */
enum lug_evacuation_verdict exec_check_zone(const struct lug_executor *exec, gint64 now_us)
{
	enum lug_evacuation_verdict own =
		lug_evacuation_check(exec->evacuation, exec->ctx->settings->zone, now_us);

	return own != LUG_EVACUATION_OPEN
		       ? own
		       : lug_evacuation_check(exec->evacuation, exec->zone, now_us);
}

/**
 * exec_follow_evacuation - have the worker refuse the starts sent before its zone was evacuated
 *
 * A start without an answer may be carried out seconds later. Once the worker has answered the next
 * poll, which has a higher fencing token, it is not any more.
 */
void exec_follow_evacuation(struct lug_executor *exec, gint64 now_us)
{
	gboolean evacuated = exec_check_zone(exec, now_us) == LUG_EVACUATION_EVACUATED;

	if (evacuated && !exec->zone_evacuated)
		exec_raise_token(exec);
	exec->zone_evacuated = evacuated;
}
