#include "workflow/gateway_priv.h"

#include <string.h>

#include "workflow/shard_priv.h"

#define RETRY_US (100 * 1000)
/* The owner is told again until it answers; later it finds the job in the table. */
#define TELL_FOR_US (2 * G_USEC_PER_SEC)
#define TELL_AGAIN_US (300 * 1000)
/* An owner that can commit answers within this time, one that cannot says so. */
#define RELAY_WAIT_US (400 * 1000)
/* An owner that has not answered in time is not asked for this long. */
#define OWNER_BAD_US (1000 * 1000)
/* After a call that failed, the owners store jobs for this long, before the next try. */
#define STORE_BAD_US (1500 * 1000)

static void store_job(struct gateway_call *call);
static void try_again(struct gateway_call *call, gint64 now_us);
static void submit_again(struct gateway_call *call, gint64 now_us);

static void log_submit(struct gateway_call *call, const char *event, const char *reason)
{
	char shard[16];

	g_snprintf(shard, sizeof(shard), "%u", call->shard);
	lug_info(call->gateway->ctx, event, "job", call->job, "shard", shard, "reason", reason);
}

static void accepted(struct gateway_call *call, const char *how)
{
	gint64 now_us = lug_now_us();

	log_submit(call, "job_accepted", how);
	call->stored = TRUE;
	call->told_until_us = now_us + TELL_FOR_US;
	call->retry_us = now_us + TELL_AGAIN_US;
	gateway_send(call, call->shard);
	call->fn(call->data, LUG_OK);
	call->fn = NULL;
}

static void refused(struct gateway_call *call)
{
	enum lug_status status = call->in_doubt ? LUG_UNKNOWN : LUG_UNAVAILABLE;

	log_submit(call, "job_refused",
		   call->in_doubt ? "the table service gave no answer in time"
				  : "the table service refuses calls");
	call->fn(call->data, status);
	gateway_call_free(call);
}

static void on_stored(void *data, const struct lug_txn_result *result)
{
	struct gateway_call *call = data;
	gint64 now_us = lug_now_us();

	call->storing = FALSE;
	if (result->status == LUG_OK) {
		call->version = result->version;
		accepted(call, "stored");
		return;
	}
	if (result->status == LUG_CONFLICT) {
		/* The id was stored before, by this call or by an earlier submission. */
		accepted(call, "known already");
		return;
	}
	call->gateway->store_bad_us = now_us;
	if (result->status == LUG_UNKNOWN)
		call->in_doubt = TRUE;
	try_again(call, now_us);
}

static void try_again(struct gateway_call *call, gint64 now_us)
{
	if (now_us + RETRY_US >= call->deadline_us) {
		refused(call);
		return;
	}
	call->retry_us = now_us + RETRY_US;
}

static gboolean store_bad(const struct gateway_call *call, gint64 now_us)
{
	return call->gateway->store_bad_us && now_us - call->gateway->store_bad_us < STORE_BAD_US;
}

static gboolean owner_bad(const struct gateway_call *call, gint64 now_us)
{
	gint64 since_us = call->gateway->owner_bad_us[call->shard];

	return since_us && now_us - since_us < OWNER_BAD_US;
}

/*
 * The owner stores the job and the claims of its first tasks by one transaction, also while the
 * table service turns this instance away; what it has already is one job as well.
 */
static gboolean relay_job(struct gateway_call *call, gint64 now_us)
{
	call->relaying = TRUE;
	call->relayed = TRUE;
	call->asked_until_us = now_us + RELAY_WAIT_US;
	if (!gateway_send(call, call->shard))
		call->relaying = FALSE;
	return call->relaying;
}

/**
 * gateway_relayed - take in what became of a job that the owner was asked to store
 */
void gateway_relayed(struct gateway_call *call, enum lug_status status)
{
	gint64 now_us = lug_now_us();

	call->relaying = FALSE;
	if (status == LUG_OK) {
		log_submit(call, "job_accepted", "stored by its owner");
		call->fn(call->data, LUG_OK);
		gateway_call_free(call);
		return;
	}
	if (status == LUG_UNKNOWN)
		call->in_doubt = TRUE;
	call->gateway->owner_bad_us[call->shard] = now_us;
	if (store_bad(call, now_us))
		try_again(call, now_us);
	else
		store_job(call);
}

static void store_or_relay(struct gateway_call *call, gint64 now_us)
{
	gboolean first = !call->relayed && !owner_bad(call, now_us);

	if ((first || store_bad(call, now_us)) && relay_job(call, now_us))
		return;
	if (store_bad(call, now_us))
		try_again(call, now_us);
	else
		store_job(call);
}

static void store_job(struct gateway_call *call)
{
	struct lug_txn txn;

	lug_txn_init(&txn);
	lug_txn_check(&txn, SHARD_LIVE_TABLE, call->job, 0);
	lug_txn_check(&txn, SHARD_ENDED_TABLE, call->job, 0);
	lug_txn_put_text(&txn, SHARD_LIVE_TABLE, call->job, call->body);
	lug_txn_put_text(&txn, SHARD_INBOX_TABLE, call->job, "{}");
	call->storing = TRUE;
	lug_store_txn(call->gateway->parts[call->shard], &txn, on_stored, call);
	lug_txn_clear(&txn);
}

/**
 * lug_gateway_submit - store a job and tell its owner
 * @front: front
 * @flow: checked job, owned by the front from here on
 * @deadline_us: time after which the submission is given up
 * @fn: LUG_OK once stored; LUG_UNAVAILABLE: certainly not stored; LUG_UNKNOWN: it may be
 *      stored, also later
 * @data: passed to @fn
 */
void lug_gateway_submit(struct lug_gateway *front, struct lug_workflow *flow, gint64 deadline_us,
			lug_gateway_fn fn, void *data)
{
	struct gateway_call *call = gateway_call_new(front, LUG_JOB_NEW, flow->id);

	call->flow = flow;
	call->body = lug_workflow_encode(flow);
	call->deadline_us = deadline_us;
	call->fn = fn;
	call->data = data;
	store_or_relay(call, lug_now_us());
}

/**
 * gateway_submit_tick - try again to store a job, or to tell its owner
 */
void gateway_submit_tick(struct gateway_call *call, gint64 now_us)
{
	if (call->relaying && now_us >= call->asked_until_us)
		gateway_relayed(call, LUG_UNKNOWN);
	else if (!call->relaying && !call->storing && now_us >= call->retry_us)
		submit_again(call, now_us);
}

static void submit_again(struct gateway_call *call, gint64 now_us)
{
	if (!call->stored) {
		store_or_relay(call, now_us);
		return;
	}
	if (now_us >= call->told_until_us) {
		gateway_call_free(call);
		return;
	}
	call->retry_us = now_us + TELL_AGAIN_US;
	gateway_send(call, call->shard);
}
