#ifndef LUG_WORKFLOW_INTERFERENCE_H
#define LUG_WORKFLOW_INTERFERENCE_H

#include <glib.h>

#include "workflow/serving_load.h"
#include "wire/inner.pb-c.h"

/**
 * struct lug_interference_pair - interference of tasks of one image with serving tasks of another
 * @serving_image: image of the serving task, interned
 * @best_effort_image: image of the best-effort task, interned
 * @weight: utilisation that one best-effort task at full share adds to the serving task
 * @information: information gained from samples, in units of the prior's information (1 / variance)
 */
struct lug_interference_pair {
	const char *serving_image;
	const char *best_effort_image;
	double weight;
	double information;
};

/**
 * struct lug_interference_serving_task - a serving task on a worker
 * @image: image, interned
 * @own_load: estimated utilisation by its own load
 * @limit: utilisation at which its tail latency reaches its target
 * @pressure: estimated utilisation that best-effort tasks add to it
 *
 * The model: tail latency is proportional to 1 / (1 - utilisation), and the utilisation is the sum
 * of the own load and the pressure of each best-effort task.
 */
struct lug_interference_serving_task {
	const char *image;
	double own_load;
	double limit;
	double pressure;
};

/**
 * struct lug_interference_task - a best-effort task that runs beside serving tasks
 * @image: image, interned
 * @share: its share, 0 to 1
 * @strength: its interference relative to the mean of its image
 */
struct lug_interference_task {
	const char *image;
	double share;
	double strength;
};

/**
 * struct lug_interference_observed_task - a best-effort task's shares since the previous sample
 * @image: image, interned
 * @share: mean of its share
 * @min_share: smallest share
 * @max_share: largest share
 * @strength: its interference relative to the mean of its image; updated
 * @strength_var: variance of @strength; updated
 */
struct lug_interference_observed_task {
	const char *image;
	double share;
	double min_share;
	double max_share;
	double strength;
	double strength_var;
};

/**
 * struct lug_interference - model of the interference between images, learned from samples
 */
struct lug_interference;

/**
 * struct lug_interference_sample - tail latency of a serving task as its worker reports it
 * @image: its image, interned
 * @tail_ms: tail latency, an exponential moving average
 * @target_ms: target for the tail latency
 * @at_us: time of the sample
 */
struct lug_interference_sample {
	const char *image;
	double tail_ms;
	double target_ms;
	gint64 at_us;
};

/**
 * struct lug_interference_assessment - what one more best-effort task would find on a worker
 * @share: share that the serving tasks would leave to it, 0 to 1
 * @slack: smallest slack of the serving tasks beside it at full share
 * @harmless: it interferes with none of them
 */
struct lug_interference_assessment {
	double share;
	double slack;
	gboolean harmless;
};

struct lug_interference *lug_interference_new(void);
void lug_interference_free(struct lug_interference *model);
double lug_interference_observe(struct lug_interference *model, struct lug_serving_load *own_load,
				const struct lug_interference_sample *sample,
				struct lug_interference_observed_task *present, guint n);
double lug_interference_strength_var(double var, gint64 span_us);
double lug_interference_slack(const struct lug_interference_serving_task *serving);
gboolean lug_interference_is_overloaded_alone(const struct lug_interference_serving_task *serving);
void lug_interference_merge(struct lug_interference *model,
			    const struct lug_interference_pair *pair);
double lug_interference_openness(const struct lug_interference *model,
				 const struct lug_interference_serving_task *serving_tasks,
				 guint n);
double lug_interference_weight(const struct lug_interference *model, const char *serving_image,
			       const char *best_effort_image);
struct lug_interference_assessment
lug_interference_assess(const struct lug_interference *model, const char *image,
			const struct lug_interference_serving_task *serving_tasks, guint n);
struct lug_interference_assessment
lug_interference_assess_yielding(const struct lug_interference *model, const char *image,
				 const struct lug_interference_serving_task *serving_tasks, guint n,
				 double margin);
void lug_interference_plan(const struct lug_interference *model,
			   struct lug_interference_serving_task *serving_tasks,
			   guint n_serving_tasks, struct lug_interference_task *tasks,
			   guint n_tasks);
void lug_interference_plan_yielding(const struct lug_interference *model,
				    struct lug_interference_serving_task *serving_tasks,
				    guint n_serving_tasks, struct lug_interference_task *tasks,
				    guint n_tasks, double margin);
GArray *lug_interference_pairs(const struct lug_interference *model);
gboolean lug_interference_from_wire(const Lug__HarmPair *wire, struct lug_interference_pair *out);
void lug_interference_to_wire(const struct lug_interference_pair *pair, Lug__HarmPair *wire);
void lug_interference_average(struct lug_interference *model, GPtrArray *reports);

#endif
