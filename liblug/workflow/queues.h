#ifndef LUG_WORKFLOW_QUEUES_H
#define LUG_WORKFLOW_QUEUES_H

#include <glib.h>

/**
 * struct lug_queue_def - a queue as operators define it
 * @name: name
 * @host: host under which submitters reach it
 * @prefix: path under which submitters reach it
 * @service: pool of workers that runs its tasks
 * @priority: 0 goes first
 * @attempts: runs that may fail before a job fails
 * @slo_factor: objective as a multiple of the job's longest chain of work
 * @slo_ms: added to the objective
 */
struct lug_queue_def {
	char *name;
	char *host;
	char *prefix;
	char *service;
	guint32 priority;
	guint32 attempts;
	double slo_factor;
	gint64 slo_ms;
};

/**
 * struct lug_queues - all queues of one version of the configuration
 * @version: version
 * @defs: array of struct lug_queue_def *
 * @body_bytes: largest body of a submission, 0 for no bound
 */
struct lug_queues {
	gint64 version;
	GPtrArray *defs;
	gint64 body_bytes;
};

struct lug_queues *lug_queues_new(gint64 version);
void lug_queues_free(struct lug_queues *queues);
struct lug_queue_def *lug_queues_add(struct lug_queues *queues, const char *name, const char *host,
				     const char *prefix, const char *service);
const struct lug_queue_def *lug_queues_find(const struct lug_queues *queues, const char *name);
const struct lug_queue_def *lug_queues_route(const struct lug_queues *queues, const char *host,
					     const char *path);

#endif
