#ifndef LUG_WORKFLOW_GATEWAY_PRIV_H
#define LUG_WORKFLOW_GATEWAY_PRIV_H

#include "core/list.h"
#include "workflow/gateway.h"

/*
 * Shared by the files that implement struct lug_gateway: gateway.c (calls to owners),
 * gateway_table.c (queries and cancellations by way of the tables), gateway_submit.c (submissions)
 * and gateway_owner.c (the owner's side).
 */

/**
 * struct lug_gateway - an entry's side of job submission and queries
 * @ctx: context
 * @link: inner connections
 * @shard_map: owners of all shards
 * @config: operators' configuration, for the log
 * @peers: connections to owners
 * @shard_stores: by shard, client of the table service
 * @n_shards: number of shards
 * @calls: list of struct gateway_call
 * @last_id: number of the latest call
 * @store_failed_us: time of the last failed call to the table service
 * @owner_failed_us: by shard, last time that its owner failed to store a job
 */
struct lug_gateway {
	struct lug_ctx *ctx;
	struct lug_link *link;
	struct lug_shard_map *shard_map;
	const struct lug_config *config;
	struct lug_peers *peers;
	struct lug_store **shard_stores;
	guint32 n_shards;
	struct lug_list calls;
	guint64 last_id;
	gint64 store_failed_us;
	gint64 *owner_failed_us;
};

/**
 * struct gateway_call - a pending call
 * @node: entry in the gateway's list of calls
 * @gateway: gateway
 * @id: number of the call, echoed by owners
 * @kind: request; LUG_JOB_NEW for every submission, also while its owner is asked to store the job
 * @shard: shard of @job
 * @job: id of the job
 * @queue: queue to count jobs of
 * @body: text of the job's row (submission only)
 * @version: version of the row that this call wrote, else 0
 * @workflow: job (submission only)
 * @config_version: version of the configuration by which the call was taken (submission only)
 * @config_age_us: time since that version was last confirmed, then
 * @submit_fn: receives the outcome of a submission
 * @fn: receives the outcome of a cancellation
 * @state_fn: receives the state of a job
 * @pending_fn: receives the number of pending jobs
 * @data: passed to the callback
 * @answer_due_us: time at which the call stops waiting for owners
 * @deadline_us: time after which a submission or a cancellation is abandoned
 * @reading_tables: the call is being answered from the tables
 * @reread: the tables are being read a second time
 * @not_found: the tables have no such job
 * @cancel_stored: the cancellation is in the inbox, from which the job's owner takes it
 * @txn_in_flight: a transaction is in flight
 * @relay_in_flight: waiting for the owner to store the job
 * @relay_attempted: the owner has been asked to store the job
 * @stored: the job is stored and the caller has its answer
 * @outcome_unknown: an earlier attempt to store the job has an unknown outcome
 * @retry_us: time of the next attempt of a submission
 * @notify_until_us: time until which the owner is notified again
 * @uncounted: number of shards whose owners have not counted their pending jobs
 * @counts: pending jobs by shard, COUNT_UNKNOWN until the owner has answered
 */
struct gateway_call {
	struct lug_list node;
	struct lug_gateway *gateway;
	guint64 id;
	enum lug_job_call_kind kind;
	guint32 shard;
	char *job;
	char *queue;
	char *body;
	gint64 version;
	struct lug_workflow *workflow;
	gint64 config_version;
	gint64 config_age_us;
	lug_gateway_submit_fn submit_fn;
	lug_gateway_fn fn;
	lug_gateway_state_fn state_fn;
	lug_gateway_pending_fn pending_fn;
	void *data;
	gint64 answer_due_us;
	gint64 deadline_us;
	gboolean reading_tables;
	gboolean reread;
	gboolean not_found;
	gboolean cancel_stored;
	gboolean txn_in_flight;
	gboolean relay_in_flight;
	gboolean relay_attempted;
	gboolean stored;
	gboolean outcome_unknown;
	gint64 retry_us;
	gint64 notify_until_us;
	guint32 uncounted;
	guint32 *counts;
};

struct gateway_call *gateway_call_new(struct lug_gateway *gateway, enum lug_job_call_kind kind,
				      const char *job);
void gateway_call_free(struct gateway_call *call);
gboolean gateway_send_call(struct gateway_call *call, guint32 shard);
void gateway_read_tables(struct gateway_call *call);
void gateway_await_cancel(struct gateway_call *call);
void gateway_finish_cancel(struct gateway_call *call, enum lug_status status, const char *basis);
void gateway_finish_relay(struct gateway_call *call, enum lug_status status, gint64 retry_after_ms);
void gateway_submit_tick(struct gateway_call *call, gint64 now_us);

#endif
