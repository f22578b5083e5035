#include "workflow/gateway_priv.h"

#include <string.h>

#include "workflow/shard_priv.h"

#define SUBMIT_RETRY_US (100 * 1000)
/*
 * After a job is stored, its owner is notified until it answers, for at most this time. The owner
 * also reads the inbox without a notification.
 */
#define NOTIFY_TIMEOUT_US (2 * G_USEC_PER_SEC)
#define NOTIFY_RETRY_US (300 * 1000)
/*
 * The same for a job that was known already: its row may be withheld (shard_admit.c), for 60 s from
 * a change of the owner, and it starts only after this notification.
 */
#define NOTIFY_KNOWN_TIMEOUT_US (60 * G_USEC_PER_SEC)
/* Time for an owner to answer a request to store a job, with an error if it can't commit. */
#define RELAY_TIMEOUT_US (400 * 1000)
/*
 * An owner that failed to store a job is not asked again for this time, unless the table service
 * fails too.
 */
#define OWNER_BACKOFF_US (1000 * 1000)
/* Time after a failed call to the table service in which only owners are asked to store jobs. */
#define STORE_BACKOFF_US (1500 * 1000)

static void store_job(struct gateway_call *call);
static void schedule_retry(struct gateway_call *call, gint64 now_us);
static void retry_submit(struct gateway_call *call, gint64 now_us);

static void log_submit(struct gateway_call *call, const char *event, const char *reason)
{
	char shard[16];
	char version[24];
	char age_ms[24];

	g_snprintf(shard, sizeof(shard), "%u", call->shard);
	g_snprintf(version, sizeof(version), "%" G_GINT64_FORMAT, call->config_version);
	g_snprintf(age_ms, sizeof(age_ms), "%" G_GINT64_FORMAT, call->config_age_us / 1000);
	lug_info(call->gateway->ctx, event, "job", call->job, "shard", shard, "reason", reason,
		 "config", version, "unconfirmed_ms", age_ms);
}

static void accept_job(struct gateway_call *call, const char *how, gint64 notify_us)
{
	gint64 now_us = lug_now_us();

	log_submit(call, "job_accepted", how);
	call->stored = TRUE;
	call->notify_until_us = now_us + notify_us;
	call->retry_us = now_us + NOTIFY_RETRY_US;
	gateway_send_call(call, call->shard);
	call->submit_fn(call->data, LUG_OK, 0);
	call->submit_fn = NULL;
}

static void refuse_job(struct gateway_call *call)
{
	enum lug_status status = call->outcome_unknown ? LUG_UNKNOWN : LUG_UNAVAILABLE;

	log_submit(call, "job_refused",
		   call->outcome_unknown
			   ? "the outcome of an attempt to store it is unknown"
			   : "neither its owner nor the table service could store it");
	call->submit_fn(call->data, status, 0);
	gateway_call_free(call);
}

/* The table service does not accept the job's row, nor would it later. */
static void refuse_large_job(struct gateway_call *call)
{
	log_submit(call, "job_refused", "its row is too large for the table service");
	call->submit_fn(call->data, LUG_TOO_LARGE, 0);
	gateway_call_free(call);
}

static void on_stored(void *data, const struct lug_txn_result *result)
{
	struct gateway_call *call = data;
	gint64 now_us = lug_now_us();

	call->txn_in_flight = FALSE;
	if (result->status == LUG_OK) {
		call->version = result->version;
		accept_job(call, "stored", NOTIFY_TIMEOUT_US);
		return;
	}
	if (result->status == LUG_CONFLICT) {
		/* The job was stored before, by this call or an earlier submission. */
		accept_job(call, "known already",
			   call->gateway->ctx->settings->schedule_overload ? NOTIFY_KNOWN_TIMEOUT_US
									   : NOTIFY_TIMEOUT_US);
		return;
	}
	if (result->status == LUG_BAD_INPUT && !call->outcome_unknown) {
		refuse_large_job(call);
		return;
	}
	call->gateway->store_failed_us = now_us;
	if (result->status == LUG_UNKNOWN)
		call->outcome_unknown = TRUE;
	schedule_retry(call, now_us);
}

static void schedule_retry(struct gateway_call *call, gint64 now_us)
{
	if (now_us + SUBMIT_RETRY_US >= call->deadline_us) {
		refuse_job(call);
		return;
	}
	call->retry_us = now_us + SUBMIT_RETRY_US;
}

static gboolean is_store_failing(const struct gateway_call *call, gint64 now_us)
{
	return call->gateway->store_failed_us &&
	       now_us - call->gateway->store_failed_us < STORE_BACKOFF_US;
}

static gboolean is_owner_failing(const struct gateway_call *call, gint64 now_us)
{
	gint64 failed_us = call->gateway->owner_failed_us[call->shard];

	return failed_us && now_us - failed_us < OWNER_BACKOFF_US;
}

/*
 * Asks the owner to store the job. The owner stores it with the claims of its first tasks in one
 * transaction, and can do so while the table service rejects this instance. A repeated request
 * does not store a second job.
 */
static gboolean relay_job(struct gateway_call *call, gint64 now_us)
{
	call->relay_in_flight = TRUE;
	call->relay_attempted = TRUE;
	call->answer_due_us = now_us + RELAY_TIMEOUT_US;
	if (!gateway_send_call(call, call->shard))
		call->relay_in_flight = FALSE;
	return call->relay_in_flight;
}

/**
 * gateway_finish_relay - handle the outcome of a request to the owner to store a job
 * @call: submission; may be freed
 * @status: LUG_OK when the job is stored, LUG_UNKNOWN when it may be, LUG_OVER_LIMIT when the owner
 * refuses it
 * @retry_after_ms: with LUG_OVER_LIMIT, time after which to submit it again
 */
void gateway_finish_relay(struct gateway_call *call, enum lug_status status, gint64 retry_after_ms)
{
	gint64 now_us = lug_now_us();

	call->relay_in_flight = FALSE;
	if (status == LUG_OK) {
		log_submit(call, "job_accepted", "stored by its owner");
		call->submit_fn(call->data, LUG_OK, 0);
		gateway_call_free(call);
		return;
	}
	/* With an attempt of unknown outcome the job may yet be stored: no refusal then. */
	if (status == LUG_OVER_LIMIT && !call->outcome_unknown) {
		log_submit(call, "job_refused", "its owner can't complete it in time");
		call->submit_fn(call->data, LUG_OVER_LIMIT, retry_after_ms);
		gateway_call_free(call);
		return;
	}
	if (status == LUG_UNKNOWN)
		call->outcome_unknown = TRUE;
	if (status != LUG_OVER_LIMIT)
		call->gateway->owner_failed_us[call->shard] = now_us;
	if (is_store_failing(call, now_us))
		schedule_retry(call, now_us);
	else
		store_job(call);
}

/*
 * Asks the owner to store the job, once, and at each retry while the table service fails.
 * Otherwise the entry stores it.
 */
static void relay_or_store(struct gateway_call *call, gint64 now_us)
{
	gboolean try_owner_first = !call->relay_attempted && !is_owner_failing(call, now_us);

	if ((try_owner_first || is_store_failing(call, now_us)) && relay_job(call, now_us))
		return;
	if (is_store_failing(call, now_us))
		schedule_retry(call, now_us);
	else
		store_job(call);
}

static void store_job(struct gateway_call *call)
{
	struct lug_txn txn;

	lug_txn_init(&txn);
	shard_check_not_stored(&txn, call->job);
	lug_txn_put_text(&txn, SHARD_LIVE_TABLE, call->job, call->body);
	lug_txn_put_text(&txn, SHARD_INBOX_TABLE, call->job, "{}");
	call->txn_in_flight = TRUE;
	lug_store_txn(call->gateway->shard_stores[call->shard], &txn, on_stored, call);
	lug_txn_clear(&txn);
}

/**
 * lug_gateway_submit - submit a job: ask its owner to store it, or store it and notify the owner
 * @gateway: gateway
 * @workflow: validated job, owned by the gateway after the call
 * @deadline_us: time after which the submission is abandoned
 * @fn: LUG_OK: stored; LUG_TOO_LARGE: not stored, and refused again if it is repeated;
 * LUG_OVER_LIMIT: not stored, to be submitted again later;
 * LUG_UNAVAILABLE: not stored; LUG_UNKNOWN: it may be stored, now or later
 * @data: passed to @fn
 */
void lug_gateway_submit(struct lug_gateway *gateway, struct lug_workflow *workflow,
			gint64 deadline_us, lug_gateway_submit_fn fn, void *data)
{
	struct gateway_call *call = gateway_call_new(gateway, LUG_JOB_NEW, workflow->id);

	call->workflow = workflow;
	call->config_version = lug_config_version(gateway->config);
	call->config_age_us = lug_config_age_us(gateway->config, lug_now_us());
	call->body = lug_workflow_encode(workflow);
	call->deadline_us = deadline_us;
	call->submit_fn = fn;
	call->data = data;
	if ((gint64)strlen(call->body) > gateway->ctx->settings->platform_row_bytes)
		refuse_large_job(call);
	else
		relay_or_store(call, lug_now_us());
}

/**
 * gateway_submit_tick - retry to store a job or to notify its owner
 * @call: submission; may be freed
 * @now_us: current time
 */
void gateway_submit_tick(struct gateway_call *call, gint64 now_us)
{
	if (call->relay_in_flight && now_us >= call->answer_due_us)
		gateway_finish_relay(call, LUG_UNKNOWN, 0);
	else if (!call->relay_in_flight && !call->txn_in_flight && now_us >= call->retry_us)
		retry_submit(call, now_us);
}

static void retry_submit(struct gateway_call *call, gint64 now_us)
{
	if (!call->stored) {
		relay_or_store(call, now_us);
		return;
	}
	if (now_us >= call->notify_until_us) {
		gateway_call_free(call);
		return;
	}
	call->retry_us = now_us + NOTIFY_RETRY_US;
	gateway_send_call(call, call->shard);
}
