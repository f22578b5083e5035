#ifndef LUG_WORKFLOW_INTERFERENCE_H
#define LUG_WORKFLOW_INTERFERENCE_H

#include <glib.h>

#include "workflow/serving_load.h"
#include "wire/inner.pb-c.h"

/**
 * struct lug_interference_pair - how much tasks of one image disturb serving tasks of another
 * @serving: image of the serving task, interned
 * @best_effort: image of the task beside it, interned
 * @weight: utilisation that one task at full speed takes from the serving task
 * @count: knowledge gained by samples, in units of what is known of any pair
 */
struct lug_interference_pair {
	const char *serving;
	const char *best_effort;
	double weight;
	double count;
};

/**
 * struct lug_interference_serving - a serving task on a worker
 * @image: image, interned
 * @base: its utilisation without tasks that fill, estimated
 * @limit: utilisation at which its tail latency reaches its target
 * @pressure: utilisation taken by the tasks beside it, estimated
 *
 * The tail latency is taken to grow with 1 / (1 - utilisation), in which disturbances add up.
 */
struct lug_interference_serving {
	const char *image;
	double base;
	double limit;
	double pressure;
};

/**
 * struct lug_interference_task - a task that fills beside serving tasks
 * @image: image, interned
 * @share: share at which it works, 0 to 1
 * @strength: how much it disturbs, against the mean of its image
 */
struct lug_interference_task {
	const char *image;
	double share;
	double strength;
};

/**
 * struct lug_interference_presence - a task that fills, over the span of a sample
 * @image: image, interned
 * @share: mean of its share
 * @least: least of its shares
 * @most: largest of its shares
 * @strength: how much it disturbs, against the mean of its image; adapted
 * @strength_var: variance of @strength; adapted
 */
struct lug_interference_presence {
	const char *image;
	double share;
	double least;
	double most;
	double strength;
	double strength_var;
};

/**
 * struct lug_interference - learned interference of pairs of images
 */
struct lug_interference;

/**
 * struct lug_interference_sample - what a worker tells of a serving task
 * @image: its image, interned
 * @tail_ms: tail latency, a moving average
 * @target_ms: its target
 * @at_us: time of the sample
 */
struct lug_interference_sample {
	const char *image;
	double tail_ms;
	double target_ms;
	gint64 at_us;
};

struct lug_interference *lug_interference_new(void);
void lug_interference_free(struct lug_interference *harm);
double lug_interference_observe(struct lug_interference *harm, struct lug_load *load,
				const struct lug_interference_sample *sample,
				struct lug_interference_presence *present, guint n);
double lug_interference_strength_var(double var, gint64 span_us);
double lug_interference_slack(const struct lug_interference_serving *serving);
void lug_interference_merge(struct lug_interference *harm,
			    const struct lug_interference_pair *pair);
double lug_interference_weight(const struct lug_interference *harm, const char *serving,
			       const char *filler);
double lug_interference_allowed_share(const struct lug_interference *harm, const char *filler,
				      const struct lug_interference_serving *servings, guint n);
void lug_interference_plan(const struct lug_interference *harm,
			   struct lug_interference_serving *servings, guint n_servings,
			   struct lug_interference_task *fillers, guint n_fillers);
GArray *lug_interference_pairs(const struct lug_interference *harm);
gboolean lug_interference_from_wire(const Lug__HarmPair *wire, struct lug_interference_pair *out);
void lug_interference_to_wire(const struct lug_interference_pair *pair, Lug__HarmPair *wire);
void lug_interference_pool(struct lug_interference *pool, GPtrArray *reports);

#endif
