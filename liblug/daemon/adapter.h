#ifndef LUG_DAEMON_ADAPTER_H
#define LUG_DAEMON_ADAPTER_H

#include "workflow/config.h"
#include "workflow/executor.h"
#include "workflow/gateway.h"

/**
 * struct lug_gate - what a server for submitters works with
 * @ctx: context
 * @front: takes jobs in
 * @config: queues
 * @calls: calls being answered, counted by the server
 * @ready: tells whether new connections should come here
 * @data: passed to @ready
 */
struct lug_gate {
	struct lug_ctx *ctx;
	struct lug_gateway *front;
	struct lug_config *config;
	guint calls;
	gboolean (*ready)(void *data);
	void *data;
};

/**
 * struct lug_adapter - how a deployment's platform is spoken to
 * @store: client of its table service
 * @worker: client of the worker beside an agent
 * @config: where operators keep the queues
 * @serve_submitters: listen for submitters and the balancer; NULL with @err on failure
 * @serve_worker: listen for the worker's reports about itself
 * @stop: close a server
 */
struct lug_adapter {
	struct lug_store *(*store)(struct lug_ctx *ctx);
	struct lug_worker *(*worker)(struct lug_ctx *ctx);
	struct lug_config_source config;
	void *(*serve_submitters)(struct lug_gate *gate, struct lug_error *err);
	void *(*serve_worker)(struct lug_ctx *ctx, struct lug_executor *executor,
			      struct lug_error *err);
	void (*stop_submitters)(void *server);
	void (*stop_worker)(void *server);
};

int lug_queue_entry_run(struct lug_settings *settings, const char *path,
			const struct lug_adapter *adapter);
int lug_queue_agent_run(struct lug_settings *settings, const char *path,
			const struct lug_adapter *adapter);

#endif
