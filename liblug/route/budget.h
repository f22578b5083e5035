#ifndef LUG_ROUTE_BUDGET_H
#define LUG_ROUTE_BUDGET_H

#include <glib.h>

/**
 * struct lug_budget - token bucket that limits retries to a share of the first attempts
 * @tokens: retries available; first attempts add fractions
 */
struct lug_budget {
	double tokens;
};

void lug_budget_init(struct lug_budget *budget);
void lug_budget_add_attempt(struct lug_budget *budget, gint64 percent);
gboolean lug_budget_take_retry(struct lug_budget *budget);

#endif
