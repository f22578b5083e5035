#include <errno.h>
#include <glib/gstdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "client/client.h"
#include "team/limits.h"

static JsonObject *get_table(const struct lug_client *client, int *exit_code)
{
	return lug_client_get(client, "/table", exit_code);
}

/**
 * lug_client_table_show - print the table in force
 * @client: client
 *
 * Return: exit code.
 */
int lug_client_table_show(const struct lug_client *client)
{
	int code;
	JsonObject *table = get_table(client, &code);

	if (!table)
		return code;
	if (client->json)
		return lug_client_print(client, table);
	fprintf(client->out, "# version %" G_GINT64_FORMAT "\n%s",
		lug_json_int(table, "version", 0), lug_json_str(table, "text", ""));
	json_object_unref(table);
	return LUG_EXIT_SUCCESS;
}

static void print_cell_diff(FILE *out, const char *team, const char *column, const char *old_value,
			    const char *new_value)
{
	if (strcmp(old_value, new_value) != 0)
		fprintf(out, "  %s: %s %s -> %s\n", team, column, old_value, new_value);
}

static void print_number_diff(FILE *out, const char *team, const char *column, double old_value,
			      double new_value)
{
	char before[32];
	char after[32];

	g_snprintf(before, sizeof(before), "%g", old_value);
	g_snprintf(after, sizeof(after), "%g", new_value);
	print_cell_diff(out, team, column, before, after);
}

static void print_team_diff(FILE *out, const struct lug_team *old, const struct lug_team *next)
{
	print_number_diff(out, next->name, "weight", (double)old->weight, (double)next->weight);
	print_number_diff(out, next->name, "cores", (double)old->limit.millicores / 1000,
			  (double)next->limit.millicores / 1000);
	print_number_diff(out, next->name, "memory (MB)", (double)(old->limit.memory_bytes >> 20),
			  (double)(next->limit.memory_bytes >> 20));
	print_number_diff(out, next->name, "accelerators", (double)old->limit.accelerators,
			  (double)next->limit.accelerators);
	print_number_diff(out, next->name, "price", old->price, next->price);
}

/**
 * lug_client_table_print_diff - print the cells in which two tables differ
 * @out: stream to print to
 * @old_text: old table, "" for none
 * @new_text: new table
 */
void lug_client_table_print_diff(FILE *out, const char *old_text, const char *new_text)
{
	struct lug_limits *old = lug_limits_parse(old_text, 0, NULL);
	struct lug_limits *next = lug_limits_parse(new_text, 0, NULL);

	for (guint i = 0; next && i < next->teams->len; i++) {
		const struct lug_team *team = &g_array_index(next->teams, struct lug_team, i);
		const struct lug_team *before = lug_limits_find(old, team->name);

		if (before)
			print_team_diff(out, before, team);
		else
			fprintf(out, "  %s: added\n", team->name);
	}
	for (guint i = 0; old && i < old->teams->len; i++) {
		const struct lug_team *team = &g_array_index(old->teams, struct lug_team, i);

		if (!lug_limits_find(next, team->name))
			fprintf(out, "  %s: removed\n", team->name);
	}
	lug_limits_free(old);
	lug_limits_free(next);
}

/**
 * lug_client_table_history - print all versions and the changes of each
 * @client: client
 *
 * Return: exit code.
 */
int lug_client_table_history(const struct lug_client *client)
{
	int code;
	JsonObject *body = lug_client_get(client, "/table/history", &code);
	const char *before = "";
	JsonArray *list;

	if (!body)
		return code;
	if (client->json)
		return lug_client_print(client, body);
	list = lug_json_arr(body, "versions");
	for (guint i = 0; list && i < json_array_get_length(list); i++) {
		JsonObject *row = lug_json_item_obj(list, i);
		GDateTime *at = g_date_time_new_from_unix_utc(lug_json_int(row, "at_ms", 0) / 1000);
		char *when = g_date_time_format_iso8601(at);

		fprintf(client->out, "version %" G_GINT64_FORMAT " by %s at %s\n",
			lug_json_int(row, "version", 0), lug_json_str(row, "by", ""), when);
		lug_client_table_print_diff(client->out, before, lug_json_str(row, "text", ""));
		before = lug_json_str(row, "text", "");
		g_free(when);
		g_date_time_unref(at);
	}
	json_object_unref(body);
	return LUG_EXIT_SUCCESS;
}

static void print_conflict(const struct lug_client *client, const char *base, JsonObject *body)
{
	JsonObject *current = lug_json_obj(body, "current");

	fprintf(client->err,
		"catkinlug: another edit was accepted first: version %" G_GINT64_FORMAT
		" by %s; nothing was overwritten. Its change:\n",
		lug_json_int(current, "version", 0), lug_json_str(current, "by", "?"));
	lug_client_table_print_diff(client->err, base, lug_json_str(current, "text", ""));
}

/*
 * Sends an edit of the table @base. When another edit was accepted first, prints that edit's change
 * and, unless @current is NULL, sets it to the table in force, owned by the caller.
 */
static int send_table(const struct lug_client *client, const char *base, const char *text,
		      gint64 version, const char *operator_name, JsonObject **current)
{
	struct lug_client_call call = {.method = "PUT",
				       .path = "/table",
				       .type = "text/plain",
				       .body = text,
				       .if_match = version,
				       .operator_name = operator_name};
	guint http;
	JsonObject *body = lug_client_send(client, &call, &http);
	int code = LUG_EXIT_SUCCESS;

	if (http == 200 && client->json)
		return lug_client_print(client, body);
	if (http == 200) {
		fprintf(client->out, "version %" G_GINT64_FORMAT " accepted\n",
			lug_json_int(body, "version", 0));
	} else if (http == 409 && lug_json_obj(body, "current")) {
		print_conflict(client, base, body);
		if (current)
			*current = json_object_ref(lug_json_obj(body, "current"));
		code = LUG_EXIT_CONFLICT;
	} else {
		code = lug_client_report_error(client, http, body);
	}
	if (body)
		json_object_unref(body);
	return code;
}

/* Text of a version of the table, "" if it is not in the history; owned by the caller. */
static char *get_version_text(const struct lug_client *client, gint64 version)
{
	int code;
	JsonObject *body = lug_client_get(client, "/table/history", &code);
	JsonArray *list = body ? lug_json_arr(body, "versions") : NULL;
	char *text = NULL;

	for (guint i = 0; list && i < json_array_get_length(list); i++) {
		JsonObject *row = lug_json_item_obj(list, i);

		if (lug_json_int(row, "version", 0) == version)
			text = g_strdup(lug_json_str(row, "text", ""));
	}
	if (body)
		json_object_unref(body);
	return text ? text : g_strdup("");
}

/**
 * lug_client_table_apply - replace the table by the content of a file
 * @client: client
 * @file: file, "-" for standard input
 * @version: version that the edit is based on, negative for the version in force
 * @operator_name: operator's name for the history, may be NULL
 *
 * Return: exit code; LUG_EXIT_CONFLICT when another edit was accepted first.
 */
int lug_client_table_apply(const struct lug_client *client, const char *file, gint64 version,
			   const char *operator_name)
{
	const char *path = strcmp(file, "-") ? file : "/dev/stdin";
	JsonObject *table = NULL;
	GError *error = NULL;
	char *text = NULL;
	char *base;
	int code = LUG_EXIT_SUCCESS;

	if (!g_file_get_contents(path, &text, NULL, &error)) {
		fprintf(client->err, "catkinlug: %s\n", error->message);
		g_error_free(error);
		return LUG_EXIT_USAGE;
	}
	table = get_table(client, &code);
	if (!table && code != LUG_EXIT_NOT_FOUND) {
		g_free(text);
		return code;
	}
	if (version < 0)
		version = lug_json_int(table, "version", 0);
	base = get_version_text(client, version);
	code = send_table(client, base, text, version, operator_name, NULL);
	if (table)
		json_object_unref(table);
	g_free(base);
	g_free(text);
	return code;
}

static gboolean run_editor(const struct lug_client *client, const char *path)
{
	const char *editor = g_getenv("EDITOR") ? g_getenv("EDITOR") : "vi";
	char *quoted = g_shell_quote(path);
	char *command = g_strconcat(editor, " ", quoted, NULL);
	char *argv[] = {(char *)"/bin/sh", (char *)"-c", command, NULL};
	int status = -1;
	gboolean ok = g_spawn_sync(NULL, argv, NULL, G_SPAWN_CHILD_INHERITS_STDIN, NULL, NULL, NULL,
				   NULL, &status, NULL);

	if (!ok || !g_spawn_check_wait_status(status, NULL)) {
		fprintf(client->err, "catkinlug: the editor \"%s\" failed; set EDITOR\n", editor);
		ok = FALSE;
	}
	g_free(command);
	g_free(quoted);
	return ok;
}

static gboolean confirm(const struct lug_client *client, const char *question)
{
	char line[16];

	if (!isatty(STDIN_FILENO))
		return FALSE;
	fprintf(client->err, "%s [y/N] ", question);
	if (!fgets(line, sizeof(line), stdin))
		return FALSE;
	return line[0] == 'y' || line[0] == 'Y';
}

static char *write_draft(const char *text, gint64 version)
{
	char *path = g_strdup_printf("%s/catkinlug-table-XXXXXX", g_get_tmp_dir());
	int fd = g_mkstemp(path);
	char *content;
	gboolean ok;

	if (fd < 0) {
		g_free(path);
		return NULL;
	}
	close(fd);
	content = g_strdup_printf("# Weights and limits, version %" G_GINT64_FORMAT
				  ". Weights add up to 100.\n%s",
				  version, text);
	ok = g_file_set_contents(path, content, -1, NULL);
	g_free(content);
	if (ok)
		return path;
	g_free(path);
	return NULL;
}

/*
 * Runs the editor once and sends the edit. Returns LUG_EXIT_CONFLICT and sets @current when another
 * edit was accepted first.
 */
static int edit_once(const struct lug_client *client, const char *path, const char *base,
		     gint64 version, gboolean yes, const char *operator_name, JsonObject **current)
{
	struct lug_limits *parsed;
	struct lug_error err;
	char *text = NULL;
	int code;

	if (!run_editor(client, path) || !g_file_get_contents(path, &text, NULL, NULL))
		return LUG_EXIT_FAILURE;
	parsed = lug_limits_parse(text, version + 1, &err);
	if (!parsed) {
		fprintf(client->err, "catkinlug: %s\ncatkinlug: remedy: %s\n", err.msg, err.remedy);
		g_free(text);
		return LUG_EXIT_USAGE;
	}
	lug_limits_free(parsed);
	fprintf(client->err, "Your change to version %" G_GINT64_FORMAT ":\n", version);
	lug_client_table_print_diff(client->err, base, text);
	if (!yes && !confirm(client, "Send it?"))
		code = LUG_EXIT_FAILURE;
	else
		code = send_table(client, base, text, version, operator_name, current);
	g_free(text);
	return code;
}

/**
 * lug_client_table_edit - edit the table in $EDITOR
 * @client: client
 * @yes: send without confirmation
 * @operator_name: operator's name for the history, may be NULL
 *
 * When another operator's edit was accepted first, prints that edit's change and keeps the
 * draft.
 *
 * Return: exit code; LUG_EXIT_CONFLICT when another edit was accepted first.
 */
int lug_client_table_edit(const struct lug_client *client, gboolean yes, const char *operator_name)
{
	int code;
	JsonObject *table = get_table(client, &code);
	char *path;

	if (!table)
		return code;
	path = write_draft(lug_json_str(table, "text", ""), lug_json_int(table, "version", 0));
	if (!path) {
		fprintf(client->err, "catkinlug: can't write the draft: %s\n", g_strerror(errno));
		json_object_unref(table);
		return LUG_EXIT_FAILURE;
	}
	do {
		JsonObject *current = NULL;

		code = edit_once(client, path, lug_json_str(table, "text", ""),
				 lug_json_int(table, "version", 0), yes, operator_name, &current);
		/* The next edit is based on the table in force. */
		if (current) {
			json_object_unref(table);
			table = current;
		}
	} while ((code == LUG_EXIT_CONFLICT || code == LUG_EXIT_USAGE) &&
		 confirm(client, "Edit your draft again?"));
	json_object_unref(table);
	if (code == LUG_EXIT_SUCCESS)
		g_unlink(path);
	else
		fprintf(client->err, "catkinlug: your draft is kept in %s\n", path);
	g_free(path);
	return code;
}
