#include <string.h>

#include "client/client.h"

/*
 * Column of a printed table. A negative @width aligns left. Numbers are printed as integers if
 * @divisor is 0, otherwise divided by it, with two decimals.
 */
struct column {
	const char *title;
	const char *key;
	int width;
	double divisor;
};

static void print_header(FILE *out, const struct column *columns, gsize n)
{
	for (gsize i = 0; i < n; i++)
		fprintf(out, "%*s%s", columns[i].width, columns[i].title, i + 1 < n ? "  " : "\n");
}

static void print_cell(FILE *out, JsonObject *row, const struct column *column)
{
	const char *text = lug_json_str(row, column->key, NULL);

	if (text)
		fprintf(out, "%*s", column->width, text);
	else if (column->divisor > 0)
		fprintf(out, "%*.2f", column->width,
			lug_json_num(row, column->key, 0) / column->divisor);
	else
		fprintf(out, "%*" G_GINT64_FORMAT, column->width,
			lug_json_int(row, column->key, 0));
}

static void print_rows(FILE *out, JsonArray *rows, const struct column *columns, gsize n)
{
	print_header(out, columns, n);
	for (guint r = 0; rows && r < json_array_get_length(rows); r++) {
		for (gsize i = 0; i < n; i++) {
			print_cell(out, lug_json_item_obj(rows, r), &columns[i]);
			fputs(i + 1 < n ? "  " : "\n", out);
		}
	}
}

static int print_list(const struct lug_client *client, const char *path, const char *list,
		      const struct column *columns, gsize n)
{
	int code;
	JsonObject *body = lug_client_get(client, path, &code);

	if (!body)
		return code;
	if (client->json)
		return lug_client_print(client, body);
	print_rows(client->out, lug_json_arr(body, list), columns, n);
	json_object_unref(body);
	return LUG_EXIT_SUCCESS;
}

static const struct column worker_columns[] = {
	{"WORKER", "worker", -12, 0},
	{"ZONE", "zone", -12, 0},
	{"RACK", "rack", -8, 0},
	{"STATE", "state", -8, 0},
	{"BUSY", "busy", 5, 0},
	{"TASKS", "tasks", 5, 0},
	{"FREE", "free_millicores", 7, 1000},
	{"CORES", "millicores", 7, 1000},
	{"ACC", "free_accelerators", 4, 0},
	{"VERSION", "table_version", 7, 0},
};

/**
 * lug_client_worker_list - print the workers
 * @client: client
 *
 * Return: exit code.
 */
int lug_client_worker_list(const struct lug_client *client)
{
	return print_list(client, "/workers", "workers", worker_columns,
			  G_N_ELEMENTS(worker_columns));
}

/**
 * lug_client_worker_drain - drain a worker, or return it to service
 * @client: client
 * @worker: name of the worker
 * @undo: return the worker to service
 *
 * Return: exit code.
 */
int lug_client_worker_drain(const struct lug_client *client, const char *worker, gboolean undo)
{
	char *escaped = g_uri_escape_string(worker, NULL, FALSE);
	char *path = g_strdup_printf("/workers/%s/%s", escaped, undo ? "undrain" : "drain");
	struct lug_client_call call = {.method = "POST", .path = path, .if_match = -1};
	guint http;
	JsonObject *body = lug_client_send(client, &call, &http);
	int code = LUG_EXIT_SUCCESS;

	g_free(escaped);
	g_free(path);
	if (http != 202)
		code = lug_client_report_error(client, http, body);
	else if (client->json)
		return lug_client_print(client, body);
	else
		fprintf(client->out, "%s %s\n", worker, lug_json_str(body, "state", ""));
	if (body)
		json_object_unref(body);
	return code;
}

/**
 * lug_client_service_list - print the services
 * @client: client
 *
 * Return: exit code.
 */
int lug_client_service_list(const struct lug_client *client)
{
	static const struct column columns[] = {
		{"SERVICE", "service", -20, 0}, {"BACKENDS", "backends", 8, 0},
		{"LIVE", "live", 5, 0},		{"LEAVING", "leaving", 7, 0},
		{"SLOTS", "slots", 6, 0},	{"BUSY", "busy", 5, 0},
		{"QUEUED", "queued", 6, 0},	{"SLOWEST ms", "slowest_us", 10, 1000},
	};

	return print_list(client, "/services", "services", columns, G_N_ELEMENTS(columns));
}

/**
 * lug_client_charge_report - print each team's use in core-seconds and its charge in money
 * @client: client
 *
 * Return: exit code.
 */
int lug_client_charge_report(const struct lug_client *client)
{
	static const struct column columns[] = {
		{"TEAM", "team", -20, 0},
		{"SERVICE core-s", "service_core_ms", 14, 1000},
		{"BATCH core-s", "batch_core_ms", 13, 1000},
		{"PRICE", "price", 7, 1},
		{"CHARGE", "charge", 10, 1},
	};

	return print_list(client, "/charges", "charges", columns, G_N_ELEMENTS(columns));
}

static void print_table_versions(FILE *out, JsonObject *table)
{
	JsonArray *lagging = lug_json_arr(table, "lagging");

	fprintf(out,
		"table version %" G_GINT64_FORMAT ": in force on %" G_GINT64_FORMAT
		" of %" G_GINT64_FORMAT " agents\n",
		lug_json_int(table, "version", 0), lug_json_int(table, "in_force", 0),
		lug_json_int(table, "agents", 0));
	for (guint i = 0; lagging && i < json_array_get_length(lagging); i++)
		fprintf(out, "  lagging: %s\n", lug_json_item_str(lagging, i, ""));
}

/**
 * lug_client_status_show - print versions in force, the table service, entries, queues and workers
 * @client: client
 *
 * Return: exit code.
 */
int lug_client_status_show(const struct lug_client *client)
{
	static const struct column queues[] = {{"QUEUE", "queue", -20, 0},
					       {"OWNER", "owner", -20, 0}};
	static const struct column entries[] = {
		{"ENTRY", "owner", -12, 0}, {"ZONE", "zone", -12, 0}, {"HTTP", "http", -22, 0}};
	int code;
	JsonObject *body = lug_client_get(client, "/status", &code);

	if (!body)
		return code;
	if (client->json)
		return lug_client_print(client, body);
	fprintf(client->out, "entry %s: table service %s\n", lug_json_str(body, "entry", ""),
		lug_json_bool(body, "store_up", FALSE) ? "answers" : "DOES NOT ANSWER");
	print_table_versions(client->out, lug_json_obj(body, "table"));
	fputc('\n', client->out);
	print_rows(client->out, lug_json_arr(body, "entries"), entries, G_N_ELEMENTS(entries));
	fputc('\n', client->out);
	print_rows(client->out, lug_json_arr(body, "queues"), queues, G_N_ELEMENTS(queues));
	fputc('\n', client->out);
	print_rows(client->out, lug_json_arr(body, "workers"), worker_columns,
		   G_N_ELEMENTS(worker_columns));
	json_object_unref(body);
	return LUG_EXIT_SUCCESS;
}
