#include "route/budget.h"

/* Retries allowed before first attempts have added tokens. */
#define INITIAL_TOKENS 10.0
/* Largest burst of retries. */
#define MAX_TOKENS 50.0

/**
 * lug_budget_init - fill a budget with the initial tokens
 * @budget: retry budget
 */
void lug_budget_init(struct lug_budget *budget)
{
	budget->tokens = INITIAL_TOKENS;
}

/**
 * lug_budget_add_attempt - add tokens for a first attempt
 * @budget: retry budget
 * @percent: retries allowed per hundred first attempts
 */
void lug_budget_add_attempt(struct lug_budget *budget, gint64 percent)
{
	budget->tokens = MIN(budget->tokens + (double)percent / 100, MAX_TOKENS);
}

/**
 * lug_budget_take_retry - take a token for a retry
 * @budget: retry budget
 *
 * Return: FALSE when the budget is exhausted; no token is taken then.
 */
gboolean lug_budget_take_retry(struct lug_budget *budget)
{
	if (budget->tokens < 1)
		return FALSE;
	budget->tokens -= 1;
	return TRUE;
}
