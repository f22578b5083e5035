/*
 * Open-loop load generator: due times of requests and jobs are drawn from a seed and do not
 * depend on answers. Writes one line of JSON per operation to the output file. Readers of the file
 * measure latency from due_us.
 */
#include <libsoup/soup.h>
#include <math.h>
#include <stdio.h>
#include <string.h>

#include "core/context.h"
#include "core/json.h"
#include "core/list.h"

#define TICK_MS 1
#define CONNECTIONS_MAX 1500
#define BODY_BYTES_MAX 3000

/* Requests or jobs, sent at random times with a mean rate that is higher during a peak. */
struct stream {
	JsonArray *mix;
	double rate_per_s;
	double peak_factor;
	gint64 peak_start_us;
	gint64 peak_end_us;
	gint64 next_us;
	gboolean is_job;
};

struct load {
	SoupSession *session;
	GMainLoop *loop;
	GPtrArray *entries;
	GRand *rng;
	FILE *out;
	char *key_prefix;
	gint64 start_us;
	gint64 end_us;
	gint64 linger_until_us; /* answers are awaited until then */
	gint64 timeout_ms;
	struct stream streams[2]; /* requests, jobs */
	guint64 op_count;
	guint64 in_flight;
	struct lug_list in_flight_ops;
};

struct op {
	struct lug_list node;
	struct load *load;
	SoupMessage *msg;
	JsonObject *item;
	gboolean is_job;
	guint64 number;
	char *key;
	char *body_sha256;
	gint64 due_us;
	gint64 sent_us;
};

static JsonObject *draw_item(struct load *load, JsonArray *mix)
{
	double share_sum = 0;
	double remaining_share;

	for (guint i = 0; i < json_array_get_length(mix); i++)
		share_sum += lug_json_num(json_array_get_object_element(mix, i), "share", 1);
	remaining_share = g_rand_double_range(load->rng, 0, share_sum);
	for (guint i = 0; i < json_array_get_length(mix); i++) {
		JsonObject *item = json_array_get_object_element(mix, i);

		remaining_share -= lug_json_num(item, "share", 1);
		if (remaining_share <= 0)
			return item;
	}
	return json_array_get_object_element(mix, 0);
}

/* A backend server returns the path and the checksum of the body that it received. */
static gboolean is_reply_intact(const struct op *op, JsonObject *body)
{
	return !strcmp(lug_json_str(body, "sha256", ""), op->body_sha256) &&
	       !strcmp(lug_json_str(body, "path", ""), lug_json_str(op->item, "path", ""));
}

static void write_line(const struct op *op, guint http_status, JsonObject *body)
{
	JsonObject *line = json_object_new();
	char *text;

	json_object_set_string_member(line, "op", op->is_job ? "job" : "request");
	json_object_set_int_member(line, "n", (gint64)op->number);
	json_object_set_string_member(line, "key", op->key);
	json_object_set_string_member(line, "team", lug_json_str(op->item, "team", ""));
	json_object_set_string_member(line, "kind", lug_json_str(op->item, "kind", ""));
	json_object_set_string_member(line, "path", lug_json_str(op->item, "path", ""));
	json_object_set_string_member(line, "mode", lug_json_str(op->item, "mode", "get"));
	json_object_set_int_member(line, "due_us", op->due_us);
	json_object_set_int_member(line, "sent_us", op->sent_us);
	json_object_set_int_member(line, "done_us", lug_now_us());
	json_object_set_int_member(line, "http", http_status);
	json_object_set_string_member(line, "error", lug_json_str(body, "error", ""));
	json_object_set_boolean_member(line, "not_run", lug_json_bool(body, "not_run", FALSE));
	json_object_set_string_member(line, "id", lug_json_str(body, "id", ""));
	json_object_set_string_member(line, "worker", lug_json_str(body, "worker", ""));
	json_object_set_boolean_member(
		line, "whole", !op->is_job && http_status == 200 && is_reply_intact(op, body));
	text = lug_json_text(line);
	fprintf(op->load->out, "%s\n", text);
	g_free(text);
	json_object_unref(line);
}

static void on_done(GObject *session, GAsyncResult *result, gpointer data)
{
	struct op *op = data;
	GBytes *bytes = soup_session_send_and_read_finish(SOUP_SESSION(session), result, NULL);
	JsonObject *body = NULL;

	if (bytes)
		body = lug_json_parse(g_bytes_get_data(bytes, NULL),
				      (gssize)g_bytes_get_size(bytes), NULL);
	write_line(op, bytes ? soup_message_get_status(op->msg) : 0, body);
	op->load->in_flight--;
	lug_list_remove(&op->node);
	if (bytes)
		g_bytes_unref(bytes);
	if (body)
		json_object_unref(body);
	g_object_unref(op->msg);
	g_free(op->key);
	g_free(op->body_sha256);
	g_free(op);
}

static void set_header(struct op *op, const char *name, const char *value)
{
	soup_message_headers_replace(soup_message_get_request_headers(op->msg), name, value);
}

static void set_body(struct op *op, const char *type, const char *text, gsize len)
{
	GBytes *bytes = g_bytes_new(text, len);

	soup_message_set_request_body_from_bytes(op->msg, type, bytes);
	g_bytes_unref(bytes);
}

static void make_request(struct op *op, const char *entry)
{
	const char *mode = lug_json_str(op->item, "mode", "get");
	gboolean is_get = !strcmp(mode, "get");
	gsize len = is_get ? 0 : (gsize)g_rand_int_range(op->load->rng, 1, BODY_BYTES_MAX);
	char *body = g_malloc(len + 1);
	char *url = g_strdup_printf("%s/service/%s%s?ms=%" G_GINT64_FORMAT "&key=%s", entry,
				    lug_json_str(op->item, "service", ""),
				    lug_json_str(op->item, "path", "/"),
				    lug_json_int(op->item, "ms", 10), op->key);
	char timeout[24];

	for (gsize i = 0; i < len; i++)
		body[i] = (char)g_rand_int(op->load->rng);
	op->body_sha256 = g_compute_checksum_for_data(G_CHECKSUM_SHA256, (const guchar *)body, len);
	op->msg = soup_message_new(is_get ? "GET" : "POST", url);
	if (!is_get)
		set_body(op, "application/octet-stream", body, len);
	if (!strcmp(mode, "keyed"))
		set_header(op, "Idempotency-Key", op->key);
	g_snprintf(timeout, sizeof(timeout), "%" G_GINT64_FORMAT, op->load->timeout_ms);
	set_header(op, "X-Timeout-Ms", timeout);
	g_free(url);
	g_free(body);
}

static void make_job(struct op *op, const char *entry)
{
	JsonObject *body = lug_json_obj(op->item, "body");
	char *url = g_strconcat(entry, "/jobs", NULL);
	char *text;

	json_object_set_string_member(body, "key", op->key);
	text = lug_json_text(body);
	op->msg = soup_message_new("POST", url);
	set_body(op, "application/json", text, strlen(text));
	g_free(text);
	g_free(url);
}

static void send_op(struct load *load, struct stream *stream, gint64 due_us)
{
	const char *entry = g_ptr_array_index(
		load->entries, g_rand_int_range(load->rng, 0, (gint32)load->entries->len));
	struct op *op = g_new0(struct op, 1);
	char *auth;

	op->load = load;
	op->item = draw_item(load, stream->mix);
	op->is_job = stream->is_job;
	op->number = ++load->op_count;
	op->key = g_strdup_printf("%s-%" G_GUINT64_FORMAT, load->key_prefix, op->number);
	op->due_us = due_us;
	if (stream->is_job)
		make_job(op, entry);
	else
		make_request(op, entry);
	auth = g_strconcat("Bearer ", lug_json_str(op->item, "token", ""), NULL);
	set_header(op, "Authorization", auth);
	g_free(auth);
	op->sent_us = lug_now_us();
	load->in_flight++;
	lug_list_append(&load->in_flight_ops, &op->node);
	soup_session_send_and_read_async(load->session, op->msg, G_PRIORITY_DEFAULT, NULL, on_done,
					 op);
}

static double rate_at(const struct stream *stream, gint64 now_us)
{
	if (now_us >= stream->peak_start_us && now_us < stream->peak_end_us)
		return stream->rate_per_s * stream->peak_factor;
	return stream->rate_per_s;
}

static void run_stream(struct load *load, struct stream *stream, gint64 now_us)
{
	while (stream->rate_per_s > 0 && stream->next_us <= now_us &&
	       stream->next_us < load->end_us) {
		/* The intervals of a Poisson process are exponentially distributed. */
		double gap_s =
			-log(1 - g_rand_double(load->rng)) / rate_at(stream, stream->next_us);

		send_op(load, stream, stream->next_us);
		stream->next_us += (gint64)(gap_s * G_USEC_PER_SEC) + 1;
	}
}

static gboolean on_tick(gpointer data)
{
	struct load *load = data;
	gint64 now_us = lug_now_us();

	run_stream(load, &load->streams[0], now_us);
	run_stream(load, &load->streams[1], now_us);
	if (now_us >= load->end_us && (!load->in_flight || now_us >= load->linger_until_us))
		g_main_loop_quit(load->loop);
	return G_SOURCE_CONTINUE;
}

static void read_stream(struct load *load, struct stream *stream, JsonObject *config,
			gboolean is_job)
{
	JsonObject *peak = lug_json_obj(config, "crest");

	stream->is_job = is_job;
	stream->mix = lug_json_arr(config, "mix");
	stream->rate_per_s = stream->mix ? lug_json_num(config, "rate", 0) : 0;
	stream->peak_factor = lug_json_num(peak, "factor", 1);
	stream->peak_start_us = load->start_us + lug_json_int(peak, "start_ms", 0) * 1000;
	stream->peak_end_us = stream->peak_start_us + lug_json_int(peak, "length_ms", 0) * 1000;
	stream->next_us = load->start_us;
}

static gboolean read_config(struct load *load, JsonObject *config)
{
	JsonArray *entries = lug_json_arr(config, "entries");

	load->entries = g_ptr_array_new();
	for (guint i = 0; entries && i < json_array_get_length(entries); i++)
		g_ptr_array_add(load->entries, (gpointer)json_array_get_string_element(entries, i));
	load->rng = g_rand_new_with_seed((guint32)lug_json_int(config, "seed", 1));
	load->key_prefix = g_strdup(lug_json_str(config, "run", "load"));
	load->out = fopen(lug_json_str(config, "out", ""), "w");
	load->timeout_ms = lug_json_int(config, "timeout_ms", 2000);
	lug_list_init(&load->in_flight_ops);
	load->start_us = lug_now_us();
	load->end_us = load->start_us + lug_json_int(config, "duration_ms", 10000) * 1000;
	load->linger_until_us = load->end_us + lug_json_int(config, "linger_ms", 15000) * 1000;
	read_stream(load, &load->streams[0], lug_json_obj(config, "requests"), FALSE);
	read_stream(load, &load->streams[1], lug_json_obj(config, "jobs"), TRUE);
	return load->out && load->entries->len;
}

int main(int argc, char **argv)
{
	struct load load = {0};
	JsonObject *config = NULL;
	char *text = NULL;

	if (argc != 2 || !g_file_get_contents(argv[1], &text, NULL, NULL) ||
	    !(config = lug_json_parse(text, -1, NULL)) || !read_config(&load, config)) {
		g_printerr("usage: standin-load CONFIG\n");
		return 2;
	}
	/* The session's timeout is in seconds. */
	load.session =
		soup_session_new_with_options("max-conns", CONNECTIONS_MAX, "max-conns-per-host",
					      CONNECTIONS_MAX, "timeout", 20, NULL);
	load.loop = g_main_loop_new(NULL, FALSE);
	g_timeout_add(TICK_MS, on_tick, &load);
	g_main_loop_run(load.loop);
	/* Operations still in flight are written as unanswered. */
	LUG_LIST_FOREACH (&load.in_flight_ops, pos)
		write_line(LUG_CONTAINER_OF(pos, struct op, node), 0, NULL);
	fclose(load.out);
	return 0;
}
