#include "workflow/queues.h"

#include <string.h>

static void def_free(gpointer data)
{
	struct lug_queue_def *def = data;

	g_free(def->name);
	g_free(def->host);
	g_free(def->prefix);
	g_free(def->service);
	g_free(def);
}

/**
 * lug_queues_new - create an empty set of queue definitions
 * @version: version of the configuration
 */
struct lug_queues *lug_queues_new(gint64 version)
{
	struct lug_queues *queues = g_new0(struct lug_queues, 1);

	queues->version = version;
	queues->defs = g_ptr_array_new_with_free_func(def_free);
	return queues;
}

/**
 * lug_queues_free - release a set of queue definitions
 * @queues: may be NULL
 */
void lug_queues_free(struct lug_queues *queues)
{
	if (!queues)
		return;
	g_ptr_array_unref(queues->defs);
	g_free(queues);
}

/**
 * lug_queues_add - add a queue of priority 0 that fails a job after one failed run
 * @queues: queue definitions
 * @name: name
 * @host: host of requests to the queue
 * @prefix: path prefix of requests to the queue
 * @service: service whose pool of workers runs its tasks
 *
 * Return: the queue, owned by @queues; the caller may set its other members.
 */
struct lug_queue_def *lug_queues_add(struct lug_queues *queues, const char *name, const char *host,
				     const char *prefix, const char *service)
{
	struct lug_queue_def *def = g_new0(struct lug_queue_def, 1);

	def->name = g_strdup(name);
	def->host = g_strdup(host);
	def->prefix = g_strdup(prefix);
	def->service = g_strdup(service);
	def->failures_max = 1;
	g_ptr_array_add(queues->defs, def);
	return def;
}

/**
 * lug_queues_find - find a queue by name
 * @queues: queue definitions, may be NULL
 * @name: name
 *
 * Return: NULL when there is no such queue.
 */
const struct lug_queue_def *lug_queues_find(const struct lug_queues *queues, const char *name)
{
	if (!queues)
		return NULL;
	for (guint i = 0; i < queues->defs->len; i++) {
		const struct lug_queue_def *def = g_ptr_array_index(queues->defs, i);

		if (!strcmp(def->name, name))
			return def;
	}
	return NULL;
}

/**
 * lug_queues_route - find the queue of a request by host and longest prefix of the path
 * @queues: queue definitions
 * @host: host of the request, without a port
 * @path: path of the request
 *
 * Return: NULL when no queue matches.
 */
const struct lug_queue_def *lug_queues_route(const struct lug_queues *queues, const char *host,
					     const char *path)
{
	const struct lug_queue_def *best = NULL;

	for (guint i = 0; i < queues->defs->len; i++) {
		const struct lug_queue_def *def = g_ptr_array_index(queues->defs, i);

		if (g_ascii_strcasecmp(def->host, host) || !g_str_has_prefix(path, def->prefix))
			continue;
		if (!best || strlen(def->prefix) > strlen(best->prefix))
			best = def;
	}
	return best;
}
