#include "route/choose.h"

#include <string.h>

#define DEFAULT_SERVICE_US 5000
#define OTHER_ZONE_US 6000
#define OTHER_REGION_US 60000
#define SLOW_START_US (3 * 1000 * 1000)
#define EJECT_FAILURES 3
#define EJECT_US (2 * 1000 * 1000)
#define EJECT_SHIFT_MAX 4
#define SAMPLES 2

static gboolean serves(const struct lug_agent *agent, const struct lug_choice *choice)
{
	return !agent->leaving && agent != choice->exclude &&
	       !lug_agent_silent(agent, choice->now_us) && !strcmp(agent->service, choice->service);
}

static GPtrArray *candidates(GPtrArray *agents, const struct lug_choice *choice,
			     gboolean with_ejected)
{
	GPtrArray *out = g_ptr_array_sized_new(agents->len);

	for (guint i = 0; i < agents->len; i++) {
		struct lug_agent *agent = g_ptr_array_index(agents, i);

		if (!serves(agent, choice))
			continue;
		if (with_ejected || choice->now_us >= agent->ejected_until_us)
			g_ptr_array_add(out, agent);
	}
	return out;
}

/* Ejected agents are used again when they are more than half, so that a pool never empties. */
static GPtrArray *usable(GPtrArray *agents, const struct lug_choice *choice)
{
	GPtrArray *all = candidates(agents, choice, TRUE);
	GPtrArray *kept = candidates(agents, choice, FALSE);

	if (kept->len * 2 >= all->len && kept->len) {
		g_ptr_array_unref(all);
		return kept;
	}
	g_ptr_array_unref(kept);
	return all;
}

/**
 * lug_choose_cost_us - expected time of a request at an agent
 * @agent: agent
 * @choice: where the chooser is
 *
 * Return: microseconds, with the way there and back.
 */
gint64 lug_choose_cost_us(const struct lug_agent *agent, const struct lug_choice *choice)
{
	gint64 service_us = agent->service_us ? agent->service_us : DEFAULT_SERVICE_US;
	gint64 load = MAX(agent->busy + agent->queued, agent->inflight);
	gint64 slots = MAX(agent->slots, 1);
	gint64 cost_us = service_us + service_us * load / slots;

	if (load >= slots)
		cost_us += service_us * (load - slots + 1) / slots;
	if (choice->now_us - agent->seen_us < SLOW_START_US)
		cost_us *= 2;
	if (strcmp(agent->region, choice->region) != 0)
		cost_us += OTHER_REGION_US;
	else if (strcmp(agent->zone, choice->zone) != 0)
		cost_us += OTHER_ZONE_US;
	return cost_us;
}

static struct lug_agent *pick_two_choices(const struct lug_chooser *chooser, GPtrArray *agents,
					  const struct lug_choice *choice, GRand *rng)
{
	GPtrArray *list = usable(agents, choice);
	struct lug_agent *best = NULL;
	gint64 best_us = 0;

	(void)chooser;
	for (int i = 0; i < SAMPLES && list->len; i++) {
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
	GPtrArray *list = candidates(agents, choice, TRUE);
	struct lug_agent *agent = NULL;

	(void)chooser;
	if (list->len)
		agent = g_ptr_array_index(list, g_rand_int_range(rng, 0, (gint32)list->len));
	g_ptr_array_unref(list);
	return agent;
}

/**
 * lug_chooser_two_choices - the cheaper of two agents drawn at random
 */
const struct lug_chooser *lug_chooser_two_choices(void)
{
	static const struct lug_chooser_ops ops = {pick_two_choices};
	static const struct lug_chooser chooser = {&ops};

	return &chooser;
}

/**
 * lug_chooser_random - baseline that draws one agent at random
 */
const struct lug_chooser *lug_chooser_random(void)
{
	static const struct lug_chooser_ops ops = {pick_random};
	static const struct lug_chooser chooser = {&ops};

	return &chooser;
}

/**
 * lug_choose_result - take the end of a request into account
 * @agent: agent
 * @ok: it answered
 * @now_us: present time
 */
void lug_choose_result(struct lug_agent *agent, gboolean ok, gint64 now_us)
{
	if (ok) {
		agent->failing = 0;
		return;
	}
	agent->failing++;
	if (agent->failing < EJECT_FAILURES)
		return;
	agent->ejected_until_us = now_us + ((gint64)EJECT_US << MIN(agent->failing - EJECT_FAILURES,
								    EJECT_SHIFT_MAX));
}
