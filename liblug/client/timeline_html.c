#include <string.h>

#include "client/client.h"

#define ROW_PX 26
#define LEFT_PX 110
#define WIDTH_PX 1400
#define TOP_PX 30

/* The first prefix that matches determines the color; the last one matches every event. */
static const struct {
	const char *prefix;
	const char *color;
} colors[] = {
	{"request_", "#8aa8c8"},
	{"job_", "#2f6f4f"},
	{"task_lost", "#c02020"},
	{"task_evicted", "#d07000"},
	{"task_throttled", "#d0a000"},
	{"task_", "#4a9a5a"},
	{"lease_", "#7040a0"},
	{"peer_lost", "#c02020"},
	{"store_down", "#c02020"},
	{"version_", "#d04080"},
	{"", "#606060"},
};

static const char *event_color(const char *event)
{
	gsize i = 0;

	while (!g_str_has_prefix(event, colors[i].prefix))
		i++;
	return colors[i].color;
}

static GPtrArray *process_names(JsonArray *events)
{
	GPtrArray *names = g_ptr_array_new();

	for (guint i = 0; i < json_array_get_length(events); i++) {
		JsonObject *event = lug_json_item_obj(events, i);
		const char *name = lug_json_str(event, "process", "");

		if (!g_ptr_array_find_with_equal_func(names, name, g_str_equal, NULL))
			g_ptr_array_add(names, (gpointer)name);
	}
	return names;
}

static int compare_names(gconstpointer a, gconstpointer b)
{
	return strcmp(*(const char *const *)a, *(const char *const *)b);
}

/* Draws a vertical line with its time in seconds at each tenth of the span. */
static void draw_axis(GString *out, gint64 span_ms, guint rows)
{
	for (int i = 0; i <= 10; i++) {
		int x = LEFT_PX + WIDTH_PX * i / 10;

		g_string_append_printf(out,
				       "<line x1='%d' y1='%d' x2='%d' y2='%u' stroke='#ddd'/>"
				       "<text x='%d' y='18' class='t'>%.2f s</text>\n",
				       x, TOP_PX - 6, x, TOP_PX + rows * ROW_PX, x,
				       (double)span_ms * i / 10000);
	}
}

static void draw_event(GString *out, JsonObject *event, guint row, gint64 first_ms, gint64 span_ms)
{
	gint64 at_ms = lug_json_int(event, "wall_ms", 0) - first_ms;
	double x = LEFT_PX + (double)WIDTH_PX * (double)at_ms / (double)MAX(span_ms, 1);
	const char *name = lug_json_str(event, "event", "");
	char *title = g_markup_printf_escaped(
		"+%" G_GINT64_FORMAT " ms %s %s %s %s", at_ms, lug_json_str(event, "process", ""),
		name, lug_json_str(event, "subject", ""), lug_json_str(event, "detail", ""));

	g_string_append_printf(out,
			       "<circle cx='%.1f' cy='%u' r='4' fill='%s' fill-opacity='0.7' "
			       "data-e='%s'><title>%s</title></circle>\n",
			       x, TOP_PX + row * ROW_PX + ROW_PX / 2, event_color(name), name,
			       title);
	g_free(title);
}

static void draw_rows(GString *out, GPtrArray *names)
{
	for (guint i = 0; i < names->len; i++) {
		char *name = g_markup_escape_text(g_ptr_array_index(names, i), -1);
		guint y = TOP_PX + i * ROW_PX + ROW_PX / 2;

		g_string_append_printf(out,
				       "<text x='4' y='%u' class='p'>%s</text>"
				       "<line x1='%d' y1='%u' x2='%d' y2='%u' stroke='#eee'/>\n",
				       y + 4, name, LEFT_PX, y, LEFT_PX + WIDTH_PX, y);
		g_free(name);
	}
}

static void draw_table(GString *out, JsonArray *events, gint64 first_ms)
{
	g_string_append(out, "<table id='l'><tr><th>ms</th><th>process</th><th>event</th>"
			     "<th>subject</th><th>detail</th></tr>\n");
	for (guint i = 0; i < json_array_get_length(events); i++) {
		JsonObject *event = lug_json_item_obj(events, i);
		char *row = g_markup_printf_escaped(
			"<tr><td>%" G_GINT64_FORMAT "</td><td>%s</td><td>%s</td><td>%s</td>"
			"<td>%s</td></tr>\n",
			lug_json_int(event, "wall_ms", 0) - first_ms,
			lug_json_str(event, "process", ""), lug_json_str(event, "event", ""),
			lug_json_str(event, "subject", ""), lug_json_str(event, "detail", ""));

		g_string_append(out, row);
		g_free(row);
	}
	g_string_append(out, "</table>\n");
}

static const char page_head[] =
	"<!DOCTYPE html><html lang='en'><head><meta charset='utf-8'><title>catkinlug timeline"
	"</title><style>body{font:13px sans-serif;margin:16px}.t{font-size:11px;fill:#777}"
	".p{font-size:12px}table{border-collapse:collapse;margin-top:12px}td,th{padding:1px 8px;"
	"text-align:left;border-bottom:1px solid #eee;font-size:12px}input{width:320px}"
	"circle:hover{r:7}</style></head><body><h1>Timeline</h1>"
	"<p>One row per process, one dot per event; hover over a dot for its details. "
	"<input id='f' placeholder='show events that contain this text'></p>\n";

static const char page_tail[] =
	"<script>document.getElementById('f').oninput=function(){var q=this.value;"
	"document.querySelectorAll('circle').forEach(function(c){c.style.display="
	"c.textContent.indexOf(q)<0?'none':''});"
	"document.querySelectorAll('#l tr+tr').forEach(function(r){r.style.display="
	"r.textContent.indexOf(q)<0?'none':''})}</script></body></html>\n";

/**
 * lug_client_timeline_html - render events as a self-contained HTML page
 * @events: events in order of time
 *
 * Return: text, owned by the caller.
 */
char *lug_client_timeline_html(JsonArray *events)
{
	guint n = json_array_get_length(events);
	GPtrArray *names = process_names(events);
	GString *out = g_string_new(page_head);
	gint64 first_ms = 0;
	gint64 span_ms = 0;

	if (n) {
		first_ms = lug_json_int(lug_json_item_obj(events, 0), "wall_ms", 0);
		span_ms = lug_json_int(lug_json_item_obj(events, n - 1), "wall_ms", 0) - first_ms;
	}
	g_ptr_array_sort(names, compare_names);
	g_string_append_printf(out, "<svg width='%d' height='%u'>\n", LEFT_PX + WIDTH_PX + 60,
			       TOP_PX + names->len * ROW_PX + 10);
	draw_axis(out, span_ms, names->len);
	draw_rows(out, names);
	for (guint i = 0; i < n; i++) {
		JsonObject *event = lug_json_item_obj(events, i);
		guint row = 0;

		g_ptr_array_find_with_equal_func(names, lug_json_str(event, "process", ""),
						 g_str_equal, &row);
		draw_event(out, event, row, first_ms, span_ms);
	}
	g_string_append(out, "</svg>\n");
	draw_table(out, events, first_ms);
	g_string_append(out, page_tail);
	g_ptr_array_unref(names);
	return g_string_free(out, FALSE);
}
