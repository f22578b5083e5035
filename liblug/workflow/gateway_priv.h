#ifndef LUG_WORKFLOW_GATEWAY_PRIV_H
#define LUG_WORKFLOW_GATEWAY_PRIV_H

#include "core/list.h"
#include "workflow/gateway.h"

/*
 * Shared by the files that make up struct lug_gateway: front.c (questions to owners),
 * front_table.c (answers from the table), front_submit.c (submissions) and front_owner.c
 * (the owner's side).
 */

/**
 * struct lug_gateway - calls of clients that wait
 * @store_bad_us: last call of the table service that failed
 * @owner_bad_us: by shard, last time that its owner did not store a job
 */
struct lug_gateway {
	struct lug_ctx *ctx;
	struct lug_link *link;
	struct lug_shard_map *map;
	struct lug_peers *peers;
	struct lug_store **parts;
	guint32 n;
	struct lug_list calls;
	guint64 next_id;
	gint64 store_bad_us;
	gint64 *owner_bad_us;
};

/**
 * struct gateway_call - a call that waits for its answer
 * @node: place in the front's list
 * @gateway: front
 * @id: number told to owners
 * @kind: what is asked
 * @shard: shard of @job
 * @job: job's id
 * @queue: queue, for a count
 * @body: text of the job's row, for a submission
 * @version: version of the job's row, 0 when it was stored before this call
 * @flow: job, for a submission
 * @asked_until_us: when the owner counts as silent
 * @deadline_us: when a submission is given up
 * @in_table: the table was asked
 * @read_twice: the table was read a second time
 * @storing: a transaction is open
 * @relaying: the owner was asked to store the job
 * @relayed: the owner was asked before
 * @stored: the job is stored and the caller answered
 * @in_doubt: an earlier transaction had no answer
 * @retry_us: next try of a submission
 * @told_until_us: the owner is told again until then
 * @missing: owners that have not answered
 * @counts: answers by shard
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
	struct lug_workflow *flow;
	lug_gateway_fn fn;
	lug_gateway_state_fn state_fn;
	lug_gateway_pending_fn pending_fn;
	void *data;
	gint64 asked_until_us;
	gint64 deadline_us;
	gboolean in_table;
	gboolean read_twice;
	gboolean storing;
	gboolean relaying;
	gboolean relayed;
	gboolean stored;
	gboolean in_doubt;
	gint64 retry_us;
	gint64 told_until_us;
	guint32 missing;
	guint32 *counts;
};

struct gateway_call *gateway_call_new(struct lug_gateway *front, enum lug_job_call_kind kind,
				      const char *job);
void gateway_call_free(struct gateway_call *call);
gboolean gateway_send(struct gateway_call *call, guint32 shard);
void gateway_ask_table(struct gateway_call *call);
void gateway_relayed(struct gateway_call *call, enum lug_status status);
void gateway_submit_tick(struct gateway_call *call, gint64 now_us);

#endif
