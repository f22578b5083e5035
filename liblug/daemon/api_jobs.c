#include "daemon/entry_priv.h"

#include <string.h>

#include "job/job.h"

#define COMMIT_TIMEOUT_US (5 * 1000 * 1000)
/*
 * Most rows that a list reads of open jobs, and again of ended jobs. "more" in the answer reports
 * that ended jobs were left out, but not that open jobs were.
 */
#define LIST_MAX_ROWS 500
/* Retries of a cancellation whose row has changed between its read and the commit. */
#define CANCEL_RETRIES 6

struct job_call {
	struct lug_api_call *api_call;
	struct lug_entry *entry;
	struct lug_job *job;
	char *team;
	char *id;
	char *key;	 /* key of the job's row */
	guint retries;	 /* retries of a cancellation */
	JsonObject *out; /* answer */
	JsonArray *list; /* jobs of the answer */
	gboolean more;	 /* open jobs were left out of the answer */
};

static struct job_call *job_call_new(struct lug_api_call *api_call, const char *team,
				     const char *id)
{
	struct job_call *call = g_new0(struct job_call, 1);

	call->api_call = api_call;
	call->entry = api_call->entry;
	call->team = g_strdup(team);
	call->id = g_strdup(id);
	call->key = lug_job_row_key(team, id);
	return call;
}

static void job_call_free(struct job_call *call)
{
	lug_job_free(call->job);
	g_clear_pointer(&call->out, json_object_unref);
	g_clear_pointer(&call->list, json_array_unref);
	g_free(call->team);
	g_free(call->id);
	g_free(call->key);
	g_free(call);
}

static void end_json(struct job_call *call, guint http_status, JsonObject *out)
{
	lug_answer_json(call->api_call->msg, http_status, out);
	lug_api_end(call->api_call);
	job_call_free(call);
}

static void end_error(struct job_call *call, const struct lug_error *err)
{
	lug_answer_error(call->api_call->msg, err);
	lug_api_end(call->api_call);
	job_call_free(call);
}

static void end_unavailable(struct job_call *call)
{
	struct lug_error err;

	lug_fail(&err, LUG_UNAVAILABLE, "try again after a second",
		 "the table service does not answer; nothing was changed");
	end_error(call, &err);
}

/* The job's row can't be decoded, so it is not known what became of the job. */
static void end_unreadable(struct job_call *call)
{
	struct lug_error err;

	lug_fail(&err, LUG_INTERNAL, "ask an operator to restore or delete the row",
		 "the row of job %s can't be read", call->id);
	end_error(call, &err);
}

static void wake_owner(struct lug_entry *entry, const char *team)
{
	struct lug_agent *owner = lug_registry_owner(entry->registry, team);
	Lug__Poke wake = LUG__POKE__INIT;
	LUG_ENVELOPE(env, POKE, poke, &wake);

	if (!owner)
		return;
	wake.queue = (char *)team;
	lug_link_send(entry->link, &owner->route, &env);
}

/* Submission */

static enum lug_status check_worker_fit(const struct lug_entry *entry, const struct lug_job *job,
					struct lug_error *err)
{
	GPtrArray *agents = lug_registry_agents(entry->registry);
	struct lug_resources largest = {0};
	guint n_eligible = 0;

	for (guint i = 0; i < agents->len; i++) {
		const struct lug_agent *agent = g_ptr_array_index(agents, i);

		if (!lug_job_accepts(job, agent->region, agent->zone))
			continue;
		if (lug_resources_fit(&job->size, &agent->capacity))
			return LUG_OK;
		n_eligible++;
		lug_resources_max(&largest, &agent->capacity);
	}
	/* While no agent is known, size and place are not checked against workers. */
	if (!agents->len)
		return LUG_OK;
	if (!n_eligible)
		return lug_fail(err, LUG_OVER_LIMIT, "name regions and zones that have workers",
				"no worker is in the regions and zones that the job accepts");
	return lug_fail(err, LUG_OVER_LIMIT, "ask for at most what the largest worker has",
			"a task would never fit: it declares %g cores, %" G_GINT64_FORMAT
			" MB and %" G_GINT64_FORMAT " accelerators; the most that workers have "
			"beside their service is %g cores, %" G_GINT64_FORMAT
			" MB and %" G_GINT64_FORMAT " accelerators",
			(double)job->size.millicores / 1000, job->size.memory_bytes >> 20,
			job->size.accelerators, (double)largest.millicores / 1000,
			largest.memory_bytes >> 20, largest.accelerators);
}

static enum lug_status check_team_limit(const struct lug_entry *entry, const struct lug_job *job,
					struct lug_error *err)
{
	const struct lug_team *team = lug_limits_find(lug_sync_limits(entry->sync), job->team);

	if (!team)
		return lug_fail(err, LUG_BAD_INPUT, "catkinlug table show lists the teams",
				"team %s is not in the table", job->team);
	if (lug_resources_fit(&job->size, &team->limit))
		return LUG_OK;
	return lug_fail(err, LUG_OVER_LIMIT, "make the tasks smaller, or raise the team's limit",
			"a task would never fit: team %s is limited to %g cores, %" G_GINT64_FORMAT
			" MB and %" G_GINT64_FORMAT " accelerators",
			team->name, (double)team->limit.millicores / 1000,
			team->limit.memory_bytes >> 20, team->limit.accelerators);
}

static void answer_job(struct job_call *call, guint http_status, gboolean existing)
{
	JsonObject *out = json_object_new();

	json_object_set_string_member(out, "id", call->id);
	json_object_set_string_member(out, "team", call->team);
	json_object_set_boolean_member(out, "existing", existing);
	end_json(call, http_status, out);
}

static void on_submitted(void *data, enum lug_status status, gint64 version)
{
	struct job_call *call = data;
	struct lug_error err;

	(void)version;
	switch (status) {
	case LUG_OK:
		lug_timeline_add(call->entry->ctx->timeline, LUG_EV_JOB_ACCEPTED, call->id,
				 "team %s kind %s tasks %u", call->team, call->job->kind,
				 call->job->count);
		wake_owner(call->entry, call->team);
		answer_job(call, 201, FALSE);
		return;
	case LUG_CONFLICT:
		/* A job submitted before with the same key has this id. */
		answer_job(call, 200, TRUE);
		return;
	case LUG_UNKNOWN:
		lug_fail(&err, LUG_UNKNOWN, "submit it again with the same key, or ask for its id",
			 "job %s may have been accepted", call->id);
		end_error(call, &err);
		return;
	case LUG_BAD_INPUT:
		lug_fail(&err, LUG_TOO_LARGE, "shorten the payload or split the job",
			 "the table service does not accept the job");
		end_error(call, &err);
		return;
	default:
		end_unavailable(call);
	}
}

static void submit_job(struct lug_api_call *api_call)
{
	SoupMessageBody *in = soup_server_message_get_request_body(api_call->msg);
	struct lug_entry *entry = api_call->entry;
	struct lug_error err = {0};
	JsonObject *body = lug_json_parse(in->data, (gssize)in->length, &err);
	struct lug_job *job = body ? lug_job_from_request(body, &err) : NULL;
	guint64 nonce = ((guint64)g_rand_int(entry->ctx->rng) << 32) | g_rand_int(entry->ctx->rng);
	struct job_call *call;
	struct lug_writer_op *op;
	JsonObject *row;

	if (body)
		json_object_unref(body);
	if (job && !lug_api_is_authorized(api_call, job->team))
		lug_fail(&err, LUG_DENIED, "use a token of that team",
			 "the token may not submit for team %s", job->team);
	if (!job || err.kind || check_team_limit(entry, job, &err) ||
	    check_worker_fit(entry, job, &err)) {
		lug_job_free(job);
		lug_answer_error(api_call->msg, &err);
		lug_api_end(api_call);
		return;
	}
	lug_job_make_id(job, nonce);
	job->submitted_ms = g_get_real_time() / 1000;
	call = job_call_new(api_call, job->team, job->id);
	call->job = job;
	op = lug_writer_op_new(on_submitted, call);
	op->deadline_us = lug_now_us() + COMMIT_TIMEOUT_US;
	row = lug_job_to_json(job);
	/* Version 0: no open or ended job has this id. */
	lug_txn_check(&op->txn, "job", call->key, 0);
	lug_txn_check(&op->txn, "jobdone", call->key, 0);
	lug_txn_put(&op->txn, "job", call->key, row);
	json_object_unref(row);
	lug_writer_submit(entry->writer, op, lug_now_us());
}

/* Status */

static void on_tasks(void *data, enum lug_status status, const struct lug_row *rows, guint n_rows,
		     gboolean more)
{
	struct job_call *call = data;
	static const char *const states[] = {"pending", "running", "done", "failed", "cancelled"};
	gint64 count = lug_json_int(call->out, "count", 0);
	gint64 counts[G_N_ELEMENTS(states)] = {0};
	JsonObject *tasks = json_object_new();
	gint64 n_counted = 0;

	(void)more;
	for (guint i = 0; status == LUG_OK && i < n_rows; i++)
		for (gsize s = 0; s < G_N_ELEMENTS(states); s++)
			if (!strcmp(lug_json_str(rows[i].data, "state", ""), states[s])) {
				counts[s]++;
				n_counted++;
			}
	/* Tasks without a row are pending: states[0]. */
	counts[0] += MAX(count - n_counted, 0);
	for (gsize s = 0; s < G_N_ELEMENTS(states); s++)
		json_object_set_int_member(tasks, states[s], counts[s]);
	json_object_set_object_member(call->out, "tasks", tasks);
	json_object_set_string_member(call->out, "state",
				      lug_json_bool(call->out, "cancelled", FALSE) ? "cancelling"
				      : counts[0] == count			   ? "queued"
										   : "running");
	end_json(call, 200, g_steal_pointer(&call->out));
}

static void end_not_found(struct job_call *call)
{
	struct lug_error err;

	lug_fail(&err, LUG_NOT_FOUND, "catkinlug job list shows the jobs", "team %s has no job %s",
		 call->team, call->id);
	end_error(call, &err);
}

static void on_ended_job(void *data, enum lug_status status, const struct lug_row *rows,
			 guint n_rows, gboolean more)
{
	struct job_call *call = data;

	(void)more;
	if (status != LUG_OK)
		end_unavailable(call);
	/* The scan is by prefix, so the first row may be of another job. */
	else if (!n_rows || strcmp(rows[0].key, call->key) != 0)
		end_not_found(call);
	else if (!rows[0].data)
		end_unreadable(call);
	else
		end_json(call, 200, json_object_ref(rows[0].data));
}

static void on_job_row(void *data, enum lug_status status, const struct lug_row *rows, guint n_rows,
		       gboolean more)
{
	struct job_call *call = data;
	char *prefix;

	(void)more;
	if (status != LUG_OK) {
		end_unavailable(call);
		return;
	}
	/*
	 * The scan is by prefix, so the first row may be of another job. The rows of ended jobs are
	 * in the table jobdone.
	 */
	if (!n_rows || strcmp(rows[0].key, call->key) != 0) {
		lug_store_scan(call->entry->store, "jobdone", call->key, NULL, 1, on_ended_job,
			       call);
		return;
	}
	if (!rows[0].data) {
		end_unreadable(call);
		return;
	}
	call->out = json_object_ref(rows[0].data);
	prefix = g_strconcat(call->key, "/", NULL);
	lug_store_scan_all(call->entry->store, "task", prefix, on_tasks, call);
	g_free(prefix);
}

/* List */

static void add_rows(struct job_call *call, const struct lug_row *rows, guint n_rows,
		     const char *default_state)
{
	for (guint i = 0; i < n_rows; i++) {
		JsonObject *item = rows[i].data ? json_object_ref(rows[i].data) : NULL;

		if (!item)
			continue;

		if (!json_object_has_member(item, "state"))
			json_object_set_string_member(item, "state", default_state);
		json_object_remove_member(item, "payload");
		json_array_add_object_element(call->list, item);
	}
}

static void on_ended_jobs(void *data, enum lug_status status, const struct lug_row *rows,
			  guint n_rows, gboolean more)
{
	struct job_call *call = data;
	JsonObject *out;

	if (status != LUG_OK) {
		end_unavailable(call);
		return;
	}
	add_rows(call, rows, n_rows, "done");
	out = json_object_new();
	json_object_set_array_member(out, "jobs", g_steal_pointer(&call->list));
	json_object_set_boolean_member(out, "more", more || call->more);
	end_json(call, 200, out);
}

/* Prefix of the keys of a team's jobs, or of all jobs if no team is given. */
static char *list_prefix(const struct job_call *call)
{
	return *call->team ? g_strconcat(call->team, "/", NULL) : g_strdup("");
}

static void on_open_jobs(void *data, enum lug_status status, const struct lug_row *rows,
			 guint n_rows, gboolean more)
{
	struct job_call *call = data;
	char *prefix;

	if (status != LUG_OK) {
		end_unavailable(call);
		return;
	}
	call->more = more;
	add_rows(call, rows, n_rows, "open");
	prefix = list_prefix(call);
	lug_store_scan(call->entry->store, "jobdone", prefix, NULL, LIST_MAX_ROWS, on_ended_jobs,
		       call);
	g_free(prefix);
}

static void list_jobs(struct lug_api_call *api_call, const char *team)
{
	struct job_call *call = job_call_new(api_call, team ? team : "", "");
	char *prefix = list_prefix(call);

	call->list = json_array_new();
	lug_store_scan(api_call->entry->store, "job", prefix, NULL, LIST_MAX_ROWS, on_open_jobs,
		       call);
	g_free(prefix);
}

/* Cancellation */

static void start_cancel(struct job_call *call);

static void on_cancelled(void *data, enum lug_status status, gint64 version)
{
	struct job_call *call = data;
	struct lug_error err;

	(void)version;
	if (status == LUG_OK) {
		wake_owner(call->entry, call->team);
		call->out = json_object_new();
		json_object_set_string_member(call->out, "id", call->id);
		json_object_set_string_member(call->out, "state", "cancelling");
		end_json(call, 202, g_steal_pointer(&call->out));
		return;
	}
	if (status == LUG_CONFLICT && call->retries++ < CANCEL_RETRIES) {
		start_cancel(call);
		return;
	}
	if (status == LUG_UNKNOWN) {
		lug_fail(&err, LUG_UNKNOWN, "cancel it again", "job %s may have been cancelled",
			 call->id);
		end_error(call, &err);
		return;
	}
	end_unavailable(call);
}

static void on_cancel_row(void *data, enum lug_status status, const struct lug_row *rows,
			  guint n_rows, gboolean more)
{
	struct job_call *call = data;
	struct lug_writer_op *op;

	(void)more;
	if (status != LUG_OK) {
		end_unavailable(call);
		return;
	}
	/*
	 * The scan is by prefix, so the first row may be of another job. The rows of ended jobs are
	 * in the table jobdone.
	 */
	if (!n_rows || strcmp(rows[0].key, call->key) != 0) {
		lug_store_scan(call->entry->store, "jobdone", call->key, NULL, 1, on_ended_job,
			       call);
		return;
	}
	if (!rows[0].data) {
		end_unreadable(call);
		return;
	}
	op = lug_writer_op_new(on_cancelled, call);
	op->deadline_us = lug_now_us() + COMMIT_TIMEOUT_US;
	json_object_set_boolean_member(rows[0].data, "cancelled", TRUE);
	lug_txn_check(&op->txn, "job", call->key, rows[0].version);
	lug_txn_put(&op->txn, "job", call->key, rows[0].data);
	lug_writer_submit(call->entry->writer, op, lug_now_us());
}

static void start_cancel(struct job_call *call)
{
	lug_store_scan(call->entry->store, "job", call->key, NULL, 1, on_cancel_row, call);
}

static gboolean is_valid_id(const char *id)
{
	return strlen(id) <= LUG_JOB_ID_MAX && strspn(id, "0123456789abcdef") == strlen(id);
}

/**
 * lug_api_jobs - serve /jobs and /jobs/ID
 * @api_call: call
 */
void lug_api_jobs(struct lug_api_call *api_call)
{
	const char *method = lug_api_method(api_call);
	const char *team = api_call->is_operator ? lug_api_param(api_call, "team") : api_call->team;

	if (!*api_call->path && !strcmp(method, "POST")) {
		submit_job(api_call);
		return;
	}
	if (!*api_call->path && !strcmp(method, "GET")) {
		list_jobs(api_call, team);
		return;
	}
	if (!*api_call->path || !is_valid_id(api_call->path)) {
		lug_api_fail(api_call, LUG_BAD_INPUT,
			     "use POST /jobs, GET /jobs, GET or DELETE /jobs/ID",
			     "the method or id is not accepted");
		return;
	}
	if (!team) {
		lug_api_fail(api_call, LUG_BAD_INPUT, "operators add ?team=NAME",
			     "no team is named");
		return;
	}
	if (!strcmp(method, "GET")) {
		struct job_call *call = job_call_new(api_call, team, api_call->path);

		lug_store_scan(api_call->entry->store, "job", call->key, NULL, 1, on_job_row, call);
	} else if (!strcmp(method, "DELETE")) {
		start_cancel(job_call_new(api_call, team, api_call->path));
	} else {
		lug_api_fail(api_call, LUG_BAD_INPUT, "use GET or DELETE",
			     "the method is not accepted");
	}
}
