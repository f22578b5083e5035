#ifndef LUG_WORKFLOW_QUEUES_H
#define LUG_WORKFLOW_QUEUES_H

#include <glib.h>

/**
 * struct lug_queue_def - definition of a queue
 * @name: name
 * @host: host of requests to the queue
 * @prefix: path prefix of requests to the queue
 * @service: service whose pool of workers runs its tasks
 * @priority: 0 is the highest
 * @failures_max: failed runs of one task after which its job fails
 * @slo_factor: completion objective as a multiple of the critical path of a job
 * @slo_ms: constant part of the completion objective, added to the multiple
 */
struct lug_queue_def {
	char *name;
	char *host;
	char *prefix;
	char *service;
	guint32 priority;
	guint32 failures_max;
	double slo_factor;
	gint64 slo_ms;
};

/**
 * struct lug_queues - queue definitions of one version of the configuration
 * @version: version
 * @defs: array of struct lug_queue_def *, owned
 * @body_max_bytes: maximum body size of a submission, 0 for unlimited
 */
struct lug_queues {
	gint64 version;
	GPtrArray *defs;
	gint64 body_max_bytes;
};

struct lug_queues *lug_queues_new(gint64 version);
void lug_queues_free(struct lug_queues *queues);
struct lug_queue_def *lug_queues_add(struct lug_queues *queues, const char *name, const char *host,
				     const char *prefix, const char *service);
const struct lug_queue_def *lug_queues_find(const struct lug_queues *queues, const char *name);
const struct lug_queue_def *lug_queues_route(const struct lug_queues *queues, const char *host,
					     const char *path);

#endif
