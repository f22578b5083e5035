#include <stdlib.h>
#include <string.h>

#include "client/client.h"
#include "core/hlc.h"

struct event_merge {
	GPtrArray *events;
	/* Ids of the events added so far: those of the entry that queries the agents arrive twice.
	 */
	GHashTable *seen;
	const struct lug_timeline_query *query;
};

static int compare_stamps(gconstpointer a, gconstpointer b)
{
	gint64 left = lug_json_int(*(JsonObject *const *)a, "stamp", 0);
	gint64 right = lug_json_int(*(JsonObject *const *)b, "stamp", 0);

	return (left > right) - (left < right);
}

static void add_event(struct event_merge *merge, JsonObject *event)
{
	const char *process = lug_json_str(event, "process", "");
	char *id;

	if (!event)
		return;
	if (merge->query->process && strcmp(process, merge->query->process) != 0)
		return;
	id = g_strdup_printf("%s@%" G_GINT64_FORMAT, process, lug_json_int(event, "stamp", 0));
	if (g_hash_table_add(merge->seen, id))
		g_ptr_array_add(merge->events, json_object_ref(event));
}

static void add_events(struct event_merge *merge, JsonObject *body)
{
	JsonArray *list = lug_json_arr(body, "events");

	for (guint i = 0; list && i < json_array_get_length(list); i++)
		add_event(merge, lug_json_item_obj(list, i));
}

static char *query_path(const struct lug_timeline_query *query, const char *scope)
{
	char *match = g_uri_escape_string(query->match ? query->match : "", NULL, FALSE);
	gint64 since_ms = query->since_ms ? g_get_real_time() / 1000 - query->since_ms : 0;
	char *path = g_strdup_printf("/timeline?scope=%s&match=%s&since=%" G_GUINT64_FORMAT, scope,
				     match, (guint64)since_ms << LUG_HLC_LOGICAL_BITS);

	g_free(match);
	return path;
}

/* Adds the local events of each entry; skips entries that don't answer. */
static void add_entry_events(const struct lug_client *client, struct event_merge *merge)
{
	int code;
	JsonObject *status = lug_client_get(client, "/status", &code);
	JsonArray *entries = status ? lug_json_arr(status, "entries") : NULL;
	char *path = query_path(merge->query, "local");

	for (guint i = 0; entries && i < json_array_get_length(entries); i++) {
		JsonObject *entry = lug_json_item_obj(entries, i);
		char *url = g_strconcat("http://", lug_json_str(entry, "http", ""), NULL);
		guint http;
		JsonObject *body = lug_client_get_from(client, url, path, &http);

		if (body) {
			add_events(merge, body);
			json_object_unref(body);
		}
		g_free(url);
	}
	g_free(path);
	if (status)
		json_object_unref(status);
}

static void print_event(const struct lug_client *client, JsonObject *event)
{
	gint64 wall_ms = lug_json_int(event, "wall_ms", 0);
	GDateTime *at = g_date_time_new_from_unix_utc(wall_ms / 1000);
	char *when = g_date_time_format(at, "%H:%M:%S");

	fprintf(client->out, "%s.%03d  %-12s  %-18s  %-22s  %s\n", when, (int)(wall_ms % 1000),
		lug_json_str(event, "process", ""), lug_json_str(event, "event", ""),
		lug_json_str(event, "subject", ""), lug_json_str(event, "detail", ""));
	g_free(when);
	g_date_time_unref(at);
}

static JsonArray *events_to_json(GPtrArray *events)
{
	JsonArray *list = json_array_new();

	for (guint i = 0; i < events->len; i++)
		json_array_add_object_element(list, json_object_ref(g_ptr_array_index(events, i)));
	return list;
}

static int write_html(const struct lug_client *client, GPtrArray *events, const char *file)
{
	JsonArray *list = events_to_json(events);
	char *page = lug_client_timeline_html(list);
	GError *error = NULL;
	int code = LUG_EXIT_SUCCESS;

	if (!g_file_set_contents(file, page, -1, &error)) {
		fprintf(client->err, "catkinlug: %s\n", error->message);
		g_error_free(error);
		code = LUG_EXIT_USAGE;
	} else {
		fprintf(client->out, "%u events in %s\n", events->len, file);
	}
	g_free(page);
	json_array_unref(list);
	return code;
}

static int print_events(const struct lug_client *client, GPtrArray *events,
			const struct lug_timeline_query *query)
{
	JsonObject *out;

	if (query->html)
		return write_html(client, events, query->html);
	if (client->json) {
		out = json_object_new();
		json_object_set_array_member(out, "events", events_to_json(events));
		return lug_client_print(client, out);
	}
	for (guint i = 0; i < events->len; i++)
		print_event(client, g_ptr_array_index(events, i));
	return LUG_EXIT_SUCCESS;
}

/**
 * lug_client_timeline_show - merge the events of all processes and print them in order
 * @client: client
 * @query: events to show, and how
 *
 * Return: exit code.
 */
int lug_client_timeline_show(const struct lug_client *client,
			     const struct lug_timeline_query *query)
{
	struct event_merge merge = {
		.events = g_ptr_array_new_with_free_func((GDestroyNotify)json_object_unref),
		.seen = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL),
		.query = query,
	};
	char *path = query_path(query, "agents");
	int code = LUG_EXIT_SUCCESS;
	JsonObject *body = lug_client_get(client, path, &code);

	g_free(path);
	if (body) {
		add_events(&merge, body);
		if (lug_json_int(body, "answered", 0) < lug_json_int(body, "asked", 0))
			fprintf(client->err, "catkinlug: some agents did not answer\n");
		json_object_unref(body);
		add_entry_events(client, &merge);
		g_ptr_array_sort(merge.events, compare_stamps);
		code = print_events(client, merge.events, query);
	}
	g_hash_table_unref(merge.seen);
	g_ptr_array_unref(merge.events);
	return code;
}
