#ifndef LUG_ROUTE_CHOOSE_H
#define LUG_ROUTE_CHOOSE_H

#include "member/registry.h"

/**
 * struct lug_choice - parameters of the choice of an agent
 * @service: service requested
 * @zone: availability zone of this process
 * @region: region of this process
 * @exclude: agent that has just failed the request, may be NULL
 * @now_us: current time, microseconds
 */
struct lug_choice {
	const char *service;
	const char *zone;
	const char *region;
	const struct lug_agent *exclude;
	gint64 now_us;
};

struct lug_chooser;

/**
 * struct lug_chooser_ops - operations of a load-balancing policy
 * @pick: returns one of @agents, or NULL when none can serve the request; @rng draws candidates
 */
struct lug_chooser_ops {
	struct lug_agent *(*pick)(const struct lug_chooser *chooser, GPtrArray *agents,
				  const struct lug_choice *choice, GRand *rng);
};

/**
 * struct lug_chooser - load-balancing policy
 * @ops: its operations
 */
struct lug_chooser {
	const struct lug_chooser_ops *ops;
};

const struct lug_chooser *lug_chooser_two_choices(void);
const struct lug_chooser *lug_chooser_random(void);
gint64 lug_choose_cost_us(const struct lug_agent *agent, const struct lug_choice *choice);
void lug_choose_observe_result(struct lug_agent *agent, gboolean ok, gint64 now_us);

#endif
