#include <string.h>
#include <unistd.h>

#include "client/client.h"

#define POLL_PERIOD_US (300 * 1000)
#define LIST_ROW_FORMAT "%-20s  %-16s  %-16s  %-10s  %6s  %s\n"

static gboolean is_ended(const char *state)
{
	return !strcmp(state, "done") || !strcmp(state, "failed") || !strcmp(state, "cancelled");
}

static void print_progress(const struct lug_client *client, JsonObject *job)
{
	JsonObject *tasks = lug_json_obj(job, "tasks");

	if (!isatty(fileno(client->err)))
		return;
	fprintf(client->err,
		"\r%s: %s, %" G_GINT64_FORMAT " running, %" G_GINT64_FORMAT " of %" G_GINT64_FORMAT
		" done   ",
		lug_json_str(job, "id", ""), lug_json_str(job, "state", ""),
		lug_json_int(tasks, "running", 0), lug_json_int(tasks, "done", 0),
		lug_json_int(job, "count", 0));
	fflush(client->err);
}

static void print_job(const struct lug_client *client, JsonObject *job)
{
	JsonObject *tasks = lug_json_obj(job, "tasks");

	fprintf(client->out, "job       %s\nteam      %s\nkind      %s\nstate     %s\n",
		lug_json_str(job, "id", ""), lug_json_str(job, "team", ""),
		lug_json_str(job, "kind", ""), lug_json_str(job, "state", ""));
	fprintf(client->out, "tasks     %" G_GINT64_FORMAT "\n", lug_json_int(job, "count", 0));
	/* The answer has states of tasks until the job has ended, and totals afterwards. */
	if (tasks)
		fprintf(client->out,
			"          %" G_GINT64_FORMAT " pending, %" G_GINT64_FORMAT
			" running, %" G_GINT64_FORMAT " done, %" G_GINT64_FORMAT " failed\n",
			lug_json_int(tasks, "pending", 0), lug_json_int(tasks, "running", 0),
			lug_json_int(tasks, "done", 0), lug_json_int(tasks, "failed", 0));
	else
		fprintf(client->out,
			"          %" G_GINT64_FORMAT " done, %" G_GINT64_FORMAT
			" failed\nattempts  %" G_GINT64_FORMAT "\nused      %.1f core-s\n",
			lug_json_int(job, "done", 0), lug_json_int(job, "failed", 0),
			lug_json_int(job, "attempts", 0),
			(double)lug_json_int(job, "used_ms", 0) / 1000);
	if (*lug_json_str(job, "why", ""))
		fprintf(client->out, "why       %s\n", lug_json_str(job, "why", ""));
}

static char *job_path(const char *team, const char *id)
{
	char *escaped = g_uri_escape_string(id, NULL, FALSE);
	char *path = team ? g_strdup_printf("/jobs/%s?team=%s", escaped, team)
			  : g_strdup_printf("/jobs/%s", escaped);

	g_free(escaped);
	return path;
}

static int print_outcome(const struct lug_client *client, JsonObject *job)
{
	int code = strcmp(lug_json_str(job, "state", ""), "failed") ? LUG_EXIT_SUCCESS
								    : LUG_EXIT_FAILURE;

	if (client->json) {
		lug_client_print(client, job);
		return code;
	}
	print_job(client, job);
	json_object_unref(job);
	return code;
}

/**
 * lug_client_job_status - print a job
 * @client: client
 * @team: team of the job, NULL for the team of the token
 * @id: job id
 * @wait: wait for the job to end first
 *
 * Return: exit code; LUG_EXIT_FAILURE when the job has failed.
 */
int lug_client_job_status(const struct lug_client *client, const char *team, const char *id,
			  gboolean wait)
{
	char *path = job_path(team, id);
	int code = LUG_EXIT_SUCCESS;
	JsonObject *job = lug_client_get(client, path, &code);

	while (job && wait && !is_ended(lug_json_str(job, "state", ""))) {
		print_progress(client, job);
		json_object_unref(job);
		g_usleep(POLL_PERIOD_US);
		job = lug_client_get(client, path, &code);
	}
	if (wait && isatty(fileno(client->err)))
		fputc('\n', client->err);
	g_free(path);
	return job ? print_outcome(client, job) : code;
}

/**
 * lug_client_job_submit - submit a job
 * @client: client
 * @body: job as JSON
 * @wait: wait for the job to end and print it
 *
 * Return: exit code.
 */
int lug_client_job_submit(const struct lug_client *client, const char *body, gboolean wait)
{
	struct lug_client_call call = {.method = "POST",
				       .path = "/jobs",
				       .type = "application/json",
				       .body = body,
				       .if_match = -1};
	guint http;
	JsonObject *answer = lug_client_send(client, &call, &http);
	char *team;
	char *id;
	int code;

	/* 201: the job was accepted; 200: it was submitted before with the same key. */
	if (http != 200 && http != 201) {
		code = lug_client_report_error(client, http, answer);
		if (answer)
			json_object_unref(answer);
		return code;
	}
	team = g_strdup(lug_json_str(answer, "team", ""));
	id = g_strdup(lug_json_str(answer, "id", ""));
	if (client->json && !wait) {
		code = lug_client_print(client, answer);
	} else {
		if (!client->json)
			fprintf(client->out, "%s%s\n", id,
				http == 200 ? " (submitted before)" : "");
		json_object_unref(answer);
		code = wait ? lug_client_job_status(client, team, id, TRUE) : LUG_EXIT_SUCCESS;
	}
	g_free(team);
	g_free(id);
	return code;
}

/**
 * lug_client_job_list - print jobs
 * @client: client
 * @team: team, NULL for the team of the token, or for all teams with an operator's token
 *
 * Return: exit code.
 */
int lug_client_job_list(const struct lug_client *client, const char *team)
{
	char *path = team ? g_strdup_printf("/jobs?team=%s", team) : g_strdup("/jobs");
	int code;
	JsonObject *body = lug_client_get(client, path, &code);
	JsonArray *list;

	g_free(path);
	if (!body)
		return code;
	if (client->json)
		return lug_client_print(client, body);
	list = lug_json_arr(body, "jobs");
	fprintf(client->out, LIST_ROW_FORMAT, "JOB", "TEAM", "KIND", "STATE", "TASKS", "WHY");
	for (guint i = 0; list && i < json_array_get_length(list); i++) {
		JsonObject *job = lug_json_item_obj(list, i);
		char count[16];

		g_snprintf(count, sizeof(count), "%" G_GINT64_FORMAT,
			   lug_json_int(job, "count", 0));
		fprintf(client->out, LIST_ROW_FORMAT, lug_json_str(job, "id", ""),
			lug_json_str(job, "team", ""), lug_json_str(job, "kind", ""),
			lug_json_str(job, "state", ""), count, lug_json_str(job, "why", ""));
	}
	if (lug_json_bool(body, "more", FALSE))
		fprintf(client->err, "catkinlug: list truncated; use --team NAME\n");
	json_object_unref(body);
	return LUG_EXIT_SUCCESS;
}

/**
 * lug_client_job_cancel - cancel a job
 * @client: client
 * @team: team of the job, NULL for the team of the token
 * @id: job id
 *
 * Return: exit code.
 */
int lug_client_job_cancel(const struct lug_client *client, const char *team, const char *id)
{
	char *path = job_path(team, id);
	struct lug_client_call call = {.method = "DELETE", .path = path, .if_match = -1};
	guint http;
	JsonObject *body = lug_client_send(client, &call, &http);
	int code = LUG_EXIT_SUCCESS;

	g_free(path);
	if (http != 200 && http != 202)
		code = lug_client_report_error(client, http, body);
	else if (client->json)
		return lug_client_print(client, body);
	else
		fprintf(client->out, "%s %s\n", id, lug_json_str(body, "state", ""));
	if (body)
		json_object_unref(body);
	return code;
}
