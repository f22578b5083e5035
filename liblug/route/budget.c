#include "route/budget.h"

#define TOKENS_START 10.0
#define TOKENS_MAX 50.0

/**
 * lug_budget_init - start with a few retries
 * @budget: budget
 */
void lug_budget_init(struct lug_budget *budget)
{
	budget->tokens = TOKENS_START;
}

/**
 * lug_budget_first - note a first attempt
 * @budget: budget
 * @percent: retries allowed for a hundred first attempts
 */
void lug_budget_first(struct lug_budget *budget, gint64 percent)
{
	budget->tokens = MIN(budget->tokens + (double)percent / 100, TOKENS_MAX);
}

/**
 * lug_budget_retry - ask for a retry
 * @budget: budget
 *
 * Return: FALSE when retries have used their part up.
 */
gboolean lug_budget_retry(struct lug_budget *budget)
{
	if (budget->tokens < 1)
		return FALSE;
	budget->tokens -= 1;
	return TRUE;
}
