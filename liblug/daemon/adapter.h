#ifndef LUG_DAEMON_ADAPTER_H
#define LUG_DAEMON_ADAPTER_H

#include "workflow/config.h"
#include "workflow/executor.h"
#include "workflow/gateway.h"

/**
 * struct lug_submitters_env - what the server for submitters needs of its entry
 * @ctx: context
 * @gateway: gateway that submits, queries and cancels jobs
 * @config: operators' configuration, which defines the queues
 * @last_call_us: when the latest call began or ended
 * @calls: open calls, counted by the server
 * @last_call_us: when the latest request arrived or was answered, set by the server
 * @is_ready: returns TRUE while the load balancer may send new connections
 * @data: passed to @is_ready
 */
struct lug_submitters_env {
	struct lug_ctx *ctx;
	struct lug_gateway *gateway;
	struct lug_config *config;
	guint calls;
	gint64 last_call_us;
	gboolean (*is_ready)(void *data);
	void *data;
};

/**
 * struct lug_adapter - functions that connect a queue daemon to the deployment's platform
 * @new_store: create a client of the table service with connections of its own; the caller
 *             frees it
 * @new_worker: create a client of the worker beside an agent; the executor that it is
 *              passed to frees it
 * @config: source of the queues that operators configure
 * @serve_submitters: listen for submitters and the load balancer; NULL with @err on failure
 * @serve_worker: listen for the worker's heartbeats; NULL with @err on failure
 * @stop_submitters: close the server that @serve_submitters returned
 * @stop_worker: close the server that @serve_worker returned
 */
struct lug_adapter {
	struct lug_store *(*new_store)(struct lug_ctx *ctx, enum lug_store_use use);
	struct lug_worker *(*new_worker)(struct lug_ctx *ctx);
	struct lug_config_source config;
	void *(*serve_submitters)(struct lug_submitters_env *env, struct lug_error *err);
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
