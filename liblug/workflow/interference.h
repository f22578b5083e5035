#ifndef LUG_FLOW_HARM_H
#define LUG_FLOW_HARM_H

#include <glib.h>

#include "workflow/serving_load.h"
#include "wire/inner.pb-c.h"

/**
 * struct lug_harm_pair - how much tasks of one image disturb serving tasks of another
 * @serving: image of the serving task, interned
 * @filler: image of the task beside it, interned
 * @weight: utilisation that one task at full speed takes from the serving task
 * @count: knowledge gained by samples, in units of what is known of any pair
 */
struct lug_harm_pair {
	const char *serving;
	const char *filler;
	double weight;
	double count;
};

/**
 * struct lug_harm_serving - a serving task on a worker
 * @image: image, interned
 * @base: its utilisation without tasks that fill, estimated
 * @limit: utilisation at which its tail latency reaches its target
 * @pressure: utilisation taken by the tasks beside it, estimated
 *
 * The tail latency is taken to grow with 1 / (1 - utilisation), in which disturbances add up.
 */
struct lug_harm_serving {
	const char *image;
	double base;
	double limit;
	double pressure;
};

/**
 * struct lug_harm_filler - a task that fills beside serving tasks
 * @image: image, interned
 * @share: share at which it works, 0 to 1
 * @strength: how much it disturbs, against the mean of its image
 */
struct lug_harm_filler {
	const char *image;
	double share;
	double strength;
};

/**
 * struct lug_harm_presence - a task that fills, over the span of a sample
 * @image: image, interned
 * @share: mean of its share
 * @least: least of its shares
 * @most: largest of its shares
 * @strength: how much it disturbs, against the mean of its image; adapted
 * @strength_var: variance of @strength; adapted
 */
struct lug_harm_presence {
	const char *image;
	double share;
	double least;
	double most;
	double strength;
	double strength_var;
};

/**
 * struct lug_harm - learned interference of pairs of images
 */
struct lug_harm;

/**
 * struct lug_harm_sample - what a worker tells of a serving task
 * @image: its image, interned
 * @figure_ms: tail latency, a moving average
 * @target_ms: its target
 * @at_us: time of the sample
 */
struct lug_harm_sample {
	const char *image;
	double figure_ms;
	double target_ms;
	gint64 at_us;
};

struct lug_harm *lug_harm_new(void);
void lug_harm_free(struct lug_harm *harm);
double lug_harm_observe(struct lug_harm *harm, struct lug_load *load,
			const struct lug_harm_sample *sample, struct lug_harm_presence *present,
			guint n);
double lug_harm_strength_var(double var, gint64 span_us);
double lug_harm_slack(const struct lug_harm_serving *serving);
void lug_harm_tell(struct lug_harm *harm, const struct lug_harm_pair *pair);
double lug_harm_weight(const struct lug_harm *harm, const char *serving, const char *filler);
double lug_harm_allowed(const struct lug_harm *harm, const char *filler,
			const struct lug_harm_serving *servings, guint n);
void lug_harm_plan(const struct lug_harm *harm, struct lug_harm_serving *servings, guint n_servings,
		   struct lug_harm_filler *fillers, guint n_fillers);
GArray *lug_harm_pairs(const struct lug_harm *harm);
gboolean lug_harm_from_wire(const Lug__HarmPair *wire, struct lug_harm_pair *out);
void lug_harm_to_wire(const struct lug_harm_pair *pair, Lug__HarmPair *wire);
void lug_harm_pool(struct lug_harm *pool, GPtrArray *reports);

#endif
