#include "route/choose.h"

#include <string.h>

/* Service time assumed for an agent that has not reported one. */
#define DEFAULT_SERVICE_US 5000
/* Cost added to an agent in another zone or region, so that requests prefer agents nearby. */
#define OTHER_ZONE_COST_US 6000
#define OTHER_REGION_COST_US 60000
/* Time after an agent is first seen for which its cost is doubled. */
#define SLOW_START_US (3 * 1000 * 1000)
/*
 * After EJECT_AFTER_FAILURES consecutive failures an agent is ejected for EJECT_US. This
 * duration doubles with each further failure, EJECT_MAX_DOUBLINGS times at most.
 */
#define EJECT_AFTER_FAILURES 3
#define EJECT_US (2 * 1000 * 1000)
#define EJECT_MAX_DOUBLINGS 4
#define CANDIDATES_DRAWN 2

static gboolean can_serve(const struct lug_agent *agent, const struct lug_choice *choice)
{
	return !agent->leaving && agent != choice->exclude &&
	       !lug_agent_is_silent(agent, choice->now_us) &&
	       !strcmp(agent->service, choice->service);
}

static GPtrArray *list_candidates(GPtrArray *agents, const struct lug_choice *choice,
				  gboolean with_ejected)
{
	GPtrArray *out = g_ptr_array_sized_new(agents->len);

	for (guint i = 0; i < agents->len; i++) {
		struct lug_agent *agent = g_ptr_array_index(agents, i);

		if (!can_serve(agent, choice))
			continue;
		if (with_ejected || choice->now_us >= agent->ejected_until_us)
			g_ptr_array_add(out, agent);
	}
	return out;
}

/* Includes the ejected agents if they are more than half of the agents that can serve. */
static GPtrArray *list_eligible(GPtrArray *agents, const struct lug_choice *choice)
{
	GPtrArray *all = list_candidates(agents, choice, TRUE);
	GPtrArray *not_ejected = list_candidates(agents, choice, FALSE);

	if (not_ejected->len * 2 >= all->len && not_ejected->len) {
		g_ptr_array_unref(all);
		return not_ejected;
	}
	g_ptr_array_unref(not_ejected);
	return all;
}

/**
 * lug_choose_cost_us - cost of sending a request to an agent
 * @agent: agent
 * @choice: parameters of the choice
 *
 * The cost is the expected time in the agent, in which requests beyond its slots count twice. It is
 * doubled for an agent that was first seen recently, and higher for another zone or region.
 *
 * Return: cost, microseconds.
 */
gint64 lug_choose_cost_us(const struct lug_agent *agent, const struct lug_choice *choice)
{
	gint64 service_us = agent->service_us ? agent->service_us : DEFAULT_SERVICE_US;
	gint64 load = MAX(agent->busy + agent->queued, agent->inflight);
	gint64 slots = MAX(agent->slots_max, 1);
	gint64 cost_us = service_us + service_us * load / slots;

	if (load >= slots)
		cost_us += service_us * (load - slots + 1) / slots;
	if (choice->now_us - agent->seen_us < SLOW_START_US)
		cost_us *= 2;
	if (strcmp(agent->region, choice->region) != 0)
		cost_us += OTHER_REGION_COST_US;
	else if (strcmp(agent->zone, choice->zone) != 0)
		cost_us += OTHER_ZONE_COST_US;
	return cost_us;
}

static struct lug_agent *pick_two_choices(const struct lug_chooser *chooser, GPtrArray *agents,
					  const struct lug_choice *choice, GRand *rng)
{
	GPtrArray *list = list_eligible(agents, choice);
	struct lug_agent *best = NULL;
	gint64 best_us = 0;

	(void)chooser;
	for (int i = 0; i < CANDIDATES_DRAWN && list->len; i++) {
		guint index = (guint)g_rand_int_range(rng, 0, (gint32)list->len);
		struct lug_agent *agent = g_ptr_array_remove_index_fast(list, index);
		gint64 cost_us = lug_choose_cost_us(agent, choice);

		if (best && cost_us >= best_us)
			continue;
		best = agent;
		best_us = cost_us;
	}
	g_ptr_array_unref(list);
	return best;
}

static struct lug_agent *pick_random(const struct lug_chooser *chooser, GPtrArray *agents,
				     const struct lug_choice *choice, GRand *rng)
{
	GPtrArray *list = list_candidates(agents, choice, TRUE);
	struct lug_agent *agent = NULL;

	(void)chooser;
	if (list->len)
		agent = g_ptr_array_index(list, g_rand_int_range(rng, 0, (gint32)list->len));
	g_ptr_array_unref(list);
	return agent;
}

/**
 * lug_chooser_two_choices - policy that draws two agents at random and picks the one of lower cost
 *
 * Return: a static policy.
 */
const struct lug_chooser *lug_chooser_two_choices(void)
{
	static const struct lug_chooser_ops ops = {pick_two_choices};
	static const struct lug_chooser chooser = {&ops};

	return &chooser;
}

/**
 * lug_chooser_random - policy that picks an agent at random, whatever its load
 *
 * Return: a static policy.
 */
const struct lug_chooser *lug_chooser_random(void)
{
	static const struct lug_chooser_ops ops = {pick_random};
	static const struct lug_chooser chooser = {&ops};

	return &chooser;
}

/**
 * lug_choose_observe_result - update an agent's consecutive failures, and eject it after too many
 * @agent: agent
 * @ok: TRUE if the agent reported whether the request ran; FALSE if the attempt could not be sent,
 * its outcome is unknown or the agent was unresponsive
 * @now_us: current time, microseconds
 */
void lug_choose_observe_result(struct lug_agent *agent, gboolean ok, gint64 now_us)
{
	if (ok) {
		agent->consecutive_failures = 0;
		return;
	}
	agent->consecutive_failures++;
	if (agent->consecutive_failures < EJECT_AFTER_FAILURES)
		return;
	agent->ejected_until_us =
		now_us +
		((gint64)EJECT_US << MIN(agent->consecutive_failures - EJECT_AFTER_FAILURES,
					 EJECT_MAX_DOUBLINGS));
}
