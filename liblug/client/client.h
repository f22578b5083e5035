#ifndef LUG_CLIENT_CLIENT_H
#define LUG_CLIENT_CLIENT_H

#include <stdio.h>

#include "core/json.h"

/* Exit codes of the command line, documented in catkinlug(1). */
enum lug_exit_code {
	LUG_EXIT_SUCCESS = 0,
	LUG_EXIT_FAILURE = 1,
	LUG_EXIT_USAGE = 2,
	LUG_EXIT_CONFLICT = 3,
	LUG_EXIT_DENIED = 4,
	LUG_EXIT_NOT_FOUND = 5,
	LUG_EXIT_OUTCOME_UNKNOWN = 6,
};

/**
 * struct lug_client - how a command reaches the entries and where it prints
 * @entries: NULL-terminated URLs of entries, in the order in which they are tried
 * @token: bearer token, may be NULL
 * @json: print answers as JSON
 * @out: stream for answers
 * @err: stream for errors and progress
 */
struct lug_client {
	char **entries;
	const char *token;
	gboolean json;
	FILE *out;
	FILE *err;
};

/**
 * struct lug_client_call - HTTP call to an entry
 * @method: HTTP method
 * @path: path with query
 * @type: content type of @body, may be NULL
 * @body: body, may be NULL
 * @if_match: version for the If-Match header, negative for none
 * @operator_name: name recorded in the table's history, may be NULL
 */
struct lug_client_call {
	const char *method;
	const char *path;
	const char *type;
	const char *body;
	gint64 if_match;
	const char *operator_name;
};

JsonObject *lug_client_send(const struct lug_client *client, const struct lug_client_call *call,
			    guint *http);
JsonObject *lug_client_get(const struct lug_client *client, const char *path, int *exit_code);
JsonObject *lug_client_get_from(const struct lug_client *client, const char *url, const char *path,
				guint *http);
int lug_client_report_error(const struct lug_client *client, guint http, JsonObject *body);
int lug_client_print(const struct lug_client *client, JsonObject *obj);

int lug_client_table_show(const struct lug_client *client);
int lug_client_table_history(const struct lug_client *client);
int lug_client_table_apply(const struct lug_client *client, const char *file, gint64 version,
			   const char *operator_name);
int lug_client_table_edit(const struct lug_client *client, gboolean yes, const char *operator_name);
void lug_client_table_print_diff(FILE *out, const char *old_text, const char *new_text);

int lug_client_job_submit(const struct lug_client *client, const char *body, gboolean wait);
int lug_client_job_status(const struct lug_client *client, const char *team, const char *id,
			  gboolean wait);
int lug_client_job_list(const struct lug_client *client, const char *team);
int lug_client_job_cancel(const struct lug_client *client, const char *team, const char *id);

int lug_client_worker_list(const struct lug_client *client);
int lug_client_worker_drain(const struct lug_client *client, const char *worker, gboolean undo);
int lug_client_service_list(const struct lug_client *client);
int lug_client_charge_report(const struct lug_client *client);
int lug_client_status_show(const struct lug_client *client);

/**
 * struct lug_timeline_query - which events to show, and how
 * @match: show events whose subject or detail contains this text, NULL for all
 * @process: show the events of this process only, NULL for all
 * @since_ms: show only events of the last @since_ms milliseconds, 0 for all
 * @html: file that the HTML page is written to, NULL to print text
 */
struct lug_timeline_query {
	const char *match;
	const char *process;
	gint64 since_ms;
	const char *html;
};

int lug_client_timeline_show(const struct lug_client *client,
			     const struct lug_timeline_query *query);
int lug_client_trace_show(const char *id, const char *const *files, gsize n);
char *lug_client_timeline_html(JsonArray *events);

#endif
