/*
 * TCP proxy that injects faults into connections between processes. It identifies the caller by the
 * source address of the connection and the other end by the listener that accepted it.
 * POST / on the control address replaces all rules:
 *   {"set": [{"a": NAME, "b": NAME, "effect": "stall|cut|silent|reset|delay|loss",
 *             "one_way": true|false, "ms": N, "percent": N}, ...]}
 * NAME is a process, a zone or "*". With "one_way", a rule applies only to bytes from a to b.
 * These effects last until the rules are replaced:
 *   stall   bytes are held back; new connections are opened to the target
 *   cut     bytes are held back; new connections are accepted but not opened to the target
 *   delay   bytes arrive "ms" later
 *   loss    "percent" of the chunks arrive later, as after a lost segment
 * These apply once, to the connections that are open when the rule is set:
 *   silent  all further bytes are discarded, and a close by one end is not passed to the other
 *   reset   both ends are closed
 */
#include <gio/gio.h>
#include <libsoup/soup.h>
#include <string.h>

#include "core/context.h"
#include "core/json.h"
#include "core/list.h"
#include "http/listen.h"

#define CHUNK_BYTES 65536
#define QUEUE_CHUNKS_MAX 256
/* A lost segment is simulated by the delay of its retransmission. */
#define LOSS_DELAY_MS 200
#define LISTEN_BACKLOG 512

struct proxy;

struct listener {
	struct proxy *proxy;
	char *name;
	char *zone;
	char *host; /* target */
	guint port;
};

struct rule {
	char *a;
	char *b;
	char *effect;
	gboolean one_way;
	gint64 ms;
	gint64 percent;
};

struct proxy {
	GHashTable *zones; /* by IP address */
	GHashTable *names; /* of processes, by IP address */
	GPtrArray *rules;
	struct lug_list conns;
	gint64 zone_delay_ms;
	gint64 jitter_percent;
	GRand *rng;
	guint64 one_shot_hits; /* connections that silent and reset rules applied to */
};

struct chunk {
	GBytes *bytes;
	gint64 due_us;
};

struct conn;

struct pipe {
	struct conn *conn;
	gboolean forward; /* from the caller to the target */
	GInputStream *in;
	GOutputStream *out;
	GQueue chunks;
	gint64 last_due_us;
	gboolean reading;
	gboolean writing;
	gboolean ended; /* the input was closed */
	guint timer;
};

struct conn {
	struct lug_list node;
	struct proxy *proxy;
	struct listener *listener;
	char *from;
	char *from_zone;
	GSocketConnection *client;
	GSocketConnection *server;
	GSocketClient *connector;
	GCancellable *cancel;
	struct pipe pipes[2];
	gboolean silent;
	gboolean closing;
	int refs;
};

static void pump_pipe(struct pipe *pipe);

static gboolean endpoint_matches(const char *pattern, const char *name, const char *zone)
{
	return !strcmp(pattern, "*") || !strcmp(pattern, name) || !strcmp(pattern, zone);
}

/* @forward: direction of the bytes, TRUE from the caller to the target */
static gboolean rule_matches(const struct rule *rule, const struct conn *conn, gboolean forward)
{
	const char *to = conn->listener->name;
	const char *to_zone = conn->listener->zone;
	gboolean a_to_b = endpoint_matches(rule->a, conn->from, conn->from_zone) &&
			  endpoint_matches(rule->b, to, to_zone);
	gboolean b_to_a = endpoint_matches(rule->b, conn->from, conn->from_zone) &&
			  endpoint_matches(rule->a, to, to_zone);

	if (!rule->one_way)
		return a_to_b || b_to_a;
	return forward ? a_to_b : b_to_a;
}

static gboolean is_blocked(const struct pipe *pipe)
{
	const struct conn *conn = pipe->conn;

	for (guint i = 0; i < conn->proxy->rules->len; i++) {
		const struct rule *rule = g_ptr_array_index(conn->proxy->rules, i);

		if ((!strcmp(rule->effect, "stall") || !strcmp(rule->effect, "cut")) &&
		    rule_matches(rule, conn, pipe->forward))
			return TRUE;
	}
	return FALSE;
}

static gint64 link_delay_us(const struct pipe *pipe)
{
	const struct conn *conn = pipe->conn;
	struct proxy *proxy = conn->proxy;
	gint64 ms = 0;

	if (*conn->from_zone && *conn->listener->zone &&
	    strcmp(conn->from_zone, conn->listener->zone) != 0)
		ms = proxy->zone_delay_ms;
	for (guint i = 0; i < proxy->rules->len; i++) {
		const struct rule *rule = g_ptr_array_index(proxy->rules, i);

		if (!rule_matches(rule, conn, pipe->forward))
			continue;
		if (!strcmp(rule->effect, "delay"))
			ms += rule->ms;
		if (!strcmp(rule->effect, "loss") &&
		    g_rand_int_range(proxy->rng, 0, 100) < rule->percent)
			ms += LOSS_DELAY_MS;
	}
	/* Up to 30 % of jitter. */
	return (gint64)((double)ms * 1000 * g_rand_double_range(proxy->rng, 1.0, 1.3));
}

static void conn_unref(struct conn *conn)
{
	if (--conn->refs)
		return;
	lug_list_remove(&conn->node);
	for (int i = 0; i < 2; i++) {
		struct chunk *chunk;

		if (conn->pipes[i].timer)
			g_source_remove(conn->pipes[i].timer);
		while ((chunk = g_queue_pop_head(&conn->pipes[i].chunks))) {
			g_bytes_unref(chunk->bytes);
			g_free(chunk);
		}
	}
	g_clear_object(&conn->client);
	g_clear_object(&conn->server);
	g_clear_object(&conn->connector);
	g_object_unref(conn->cancel);
	g_free(conn->from);
	g_free(conn->from_zone);
	g_free(conn);
}

static void conn_close(struct conn *conn)
{
	if (conn->closing)
		return;
	conn->closing = TRUE;
	g_cancellable_cancel(conn->cancel);
	if (conn->client)
		g_io_stream_close(G_IO_STREAM(conn->client), NULL, NULL);
	if (conn->server)
		g_io_stream_close(G_IO_STREAM(conn->server), NULL, NULL);
	conn_unref(conn);
}

static void on_written(GObject *stream, GAsyncResult *result, gpointer data)
{
	struct pipe *pipe = data;
	struct conn *conn = pipe->conn;
	gboolean ok = g_output_stream_write_all_finish(G_OUTPUT_STREAM(stream), result, NULL, NULL);
	struct chunk *chunk = g_queue_pop_head(&pipe->chunks);

	pipe->writing = FALSE;
	g_bytes_unref(chunk->bytes);
	g_free(chunk);
	if (!ok)
		conn_close(conn);
	else if (!conn->closing)
		pump_pipe(pipe);
	conn_unref(conn);
}

static void on_read(GObject *stream, GAsyncResult *result, gpointer data)
{
	struct pipe *pipe = data;
	struct conn *conn = pipe->conn;
	GBytes *bytes = g_input_stream_read_bytes_finish(G_INPUT_STREAM(stream), result, NULL);
	struct chunk *chunk;

	pipe->reading = FALSE;
	if (!bytes || !g_bytes_get_size(bytes)) {
		/* A silent or blocked connection does not pass the close to the other end. */
		if (bytes)
			g_bytes_unref(bytes);
		pipe->ended = TRUE;
		if (!conn->closing && !conn->silent && !is_blocked(pipe))
			conn_close(conn);
		conn_unref(conn);
		return;
	}
	if (conn->silent) {
		g_bytes_unref(bytes);
	} else {
		chunk = g_new0(struct chunk, 1);
		chunk->bytes = bytes;
		chunk->due_us = MAX(pipe->last_due_us, lug_now_us() + link_delay_us(pipe));
		pipe->last_due_us = chunk->due_us;
		g_queue_push_tail(&pipe->chunks, chunk);
	}
	if (!conn->closing)
		pump_pipe(pipe);
	conn_unref(conn);
}

static gboolean on_timer(gpointer data)
{
	struct pipe *pipe = data;

	pipe->timer = 0;
	pump_pipe(pipe);
	return G_SOURCE_REMOVE;
}

static void write_next(struct pipe *pipe)
{
	struct chunk *chunk = g_queue_peek_head(&pipe->chunks);
	gint64 wait_us;
	gsize len;

	if (!chunk || pipe->writing || pipe->timer || is_blocked(pipe) || pipe->conn->silent)
		return;
	wait_us = chunk->due_us - lug_now_us();
	if (wait_us > 0) {
		pipe->timer = g_timeout_add((guint)((wait_us + 999) / 1000), on_timer, pipe);
		return;
	}
	pipe->writing = TRUE;
	pipe->conn->refs++;
	len = g_bytes_get_size(chunk->bytes);
	g_output_stream_write_all_async(pipe->out, g_bytes_get_data(chunk->bytes, NULL), len,
					G_PRIORITY_DEFAULT, pipe->conn->cancel, on_written, pipe);
}

static void pump_pipe(struct pipe *pipe)
{
	struct conn *conn = pipe->conn;

	if (conn->closing || !conn->server)
		return;
	write_next(pipe);
	if (pipe->ended && g_queue_is_empty(&pipe->chunks) && !conn->silent && !is_blocked(pipe)) {
		conn_close(conn);
		return;
	}
	if (pipe->reading || pipe->ended || g_queue_get_length(&pipe->chunks) >= QUEUE_CHUNKS_MAX)
		return;
	pipe->reading = TRUE;
	conn->refs++;
	g_input_stream_read_bytes_async(pipe->in, CHUNK_BYTES, G_PRIORITY_DEFAULT, conn->cancel,
					on_read, pipe);
}

static void set_pipe(struct conn *conn, int index, GSocketConnection *in, GSocketConnection *out)
{
	struct pipe *pipe = &conn->pipes[index];

	pipe->conn = conn;
	pipe->forward = index == 0;
	pipe->in = g_io_stream_get_input_stream(G_IO_STREAM(in));
	pipe->out = g_io_stream_get_output_stream(G_IO_STREAM(out));
}

static void set_tcp_nodelay(GSocketConnection *connection)
{
	/* Level IPPROTO_TCP, option TCP_NODELAY, value 1. */
	g_socket_set_option(g_socket_connection_get_socket(connection), 6, 1, 1, NULL);
}

static void on_connected(GObject *client, GAsyncResult *result, gpointer data)
{
	struct conn *conn = data;

	conn->server = g_socket_client_connect_finish(G_SOCKET_CLIENT(client), result, NULL);
	if (!conn->server) {
		conn_close(conn);
	} else if (!conn->closing) {
		set_tcp_nodelay(conn->server);
		set_pipe(conn, 0, conn->client, conn->server);
		set_pipe(conn, 1, conn->server, conn->client);
		pump_pipe(&conn->pipes[0]);
		pump_pipe(&conn->pipes[1]);
	}
	conn_unref(conn);
}

static char *peer_ip(GSocketConnection *connection)
{
	GSocketAddress *address = g_socket_connection_get_remote_address(connection, NULL);
	char *text = NULL;

	if (address) {
		text = g_inet_address_to_string(
			g_inet_socket_address_get_address(G_INET_SOCKET_ADDRESS(address)));
		g_object_unref(address);
	}
	return text;
}

static void connect_to_target(struct conn *conn)
{
	conn->refs++;
	conn->connector = g_socket_client_new();
	g_socket_client_set_enable_proxy(conn->connector, FALSE);
	g_socket_client_connect_to_host_async(conn->connector, conn->listener->host,
					      (guint16)conn->listener->port, conn->cancel,
					      on_connected, conn);
}

/* Whether a rule of effect "cut" applies to the connection, in either direction. */
static gboolean is_cut(const struct conn *conn)
{
	for (guint i = 0; i < conn->proxy->rules->len; i++) {
		const struct rule *rule = g_ptr_array_index(conn->proxy->rules, i);

		if (!strcmp(rule->effect, "cut") &&
		    (rule_matches(rule, conn, TRUE) || rule_matches(rule, conn, FALSE)))
			return TRUE;
	}
	return FALSE;
}

static gboolean on_incoming(GSocketService *service, GSocketConnection *connection, GObject *source,
			    gpointer data)
{
	struct listener *listener = data;
	struct proxy *proxy = listener->proxy;
	struct conn *conn = g_new0(struct conn, 1);
	char *ip = peer_ip(connection);
	const char *name = ip ? g_hash_table_lookup(proxy->names, ip) : NULL;
	const char *zone = ip ? g_hash_table_lookup(proxy->zones, ip) : NULL;

	(void)service;
	(void)source;
	conn->proxy = proxy;
	conn->listener = listener;
	conn->refs = 1;
	conn->from = g_strdup(name ? name : ip ? ip : "");
	conn->from_zone = g_strdup(zone ? zone : "");
	conn->client = g_object_ref(connection);
	conn->cancel = g_cancellable_new();
	g_queue_init(&conn->pipes[0].chunks);
	g_queue_init(&conn->pipes[1].chunks);
	lug_list_append(&proxy->conns, &conn->node);
	set_tcp_nodelay(connection);
	g_free(ip);
	if (!is_cut(conn))
		connect_to_target(conn);
	return TRUE;
}

static void rule_free(gpointer data)
{
	struct rule *rule = data;

	g_free(rule->a);
	g_free(rule->b);
	g_free(rule->effect);
	g_free(rule);
}

static void apply_one_shot_rule(struct proxy *proxy, const struct rule *rule)
{
	LUG_LIST_FOREACH_SAFE (&proxy->conns, pos, tmp) {
		struct conn *conn = LUG_CONTAINER_OF(pos, struct conn, node);

		if (!rule_matches(rule, conn, TRUE) && !rule_matches(rule, conn, FALSE))
			continue;
		proxy->one_shot_hits++;
		if (!strcmp(rule->effect, "silent"))
			conn->silent = TRUE;
		if (!strcmp(rule->effect, "reset"))
			conn_close(conn);
	}
}

static void read_rules(struct proxy *proxy, JsonArray *list)
{
	g_ptr_array_set_size(proxy->rules, 0);
	for (guint i = 0; i < json_array_get_length(list); i++) {
		JsonObject *item = json_array_get_object_element(list, i);
		struct rule *rule = g_new0(struct rule, 1);

		rule->a = g_strdup(lug_json_str(item, "a", "*"));
		rule->b = g_strdup(lug_json_str(item, "b", "*"));
		rule->effect = g_strdup(lug_json_str(item, "effect", ""));
		rule->one_way = lug_json_bool(item, "one_way", FALSE);
		rule->ms = lug_json_int(item, "ms", 0);
		rule->percent = lug_json_int(item, "percent", 0);
		g_ptr_array_add(proxy->rules, rule);
		apply_one_shot_rule(proxy, rule);
	}
}

/*
 * Resumes the transfers that the previous rules blocked. Closes the connections that were opened
 * during a cut which has ended.
 */
static void resume_connections(struct proxy *proxy)
{
	LUG_LIST_FOREACH_SAFE (&proxy->conns, pos, tmp) {
		struct conn *conn = LUG_CONTAINER_OF(pos, struct conn, node);

		if (!conn->connector && !is_cut(conn)) {
			conn_close(conn);
			continue;
		}
		if (!conn->server)
			continue;
		conn->refs++;
		pump_pipe(&conn->pipes[0]);
		pump_pipe(&conn->pipes[1]);
		conn_unref(conn);
	}
}

static void on_control(SoupServer *server, SoupServerMessage *msg, const char *path,
		       GHashTable *query, gpointer data)
{
	struct proxy *proxy = data;
	SoupMessageBody *in = soup_server_message_get_request_body(msg);
	JsonObject *body = in->length ? lug_json_parse(in->data, in->length, NULL) : NULL;
	char text[64];

	(void)server;
	(void)path;
	(void)query;
	if (body && lug_json_arr(body, "set")) {
		read_rules(proxy, lug_json_arr(body, "set"));
		resume_connections(proxy);
	}
	if (body)
		json_object_unref(body);
	g_snprintf(text, sizeof(text), "{\"fired\":%" G_GUINT64_FORMAT "}\n", proxy->one_shot_hits);
	soup_server_message_set_status(msg, 200, NULL);
	soup_server_message_set_response(msg, "application/json", SOUP_MEMORY_COPY, text,
					 strlen(text));
}

static gboolean add_listener(struct proxy *proxy, JsonObject *item)
{
	struct listener *listener = g_new0(struct listener, 1);
	GSocketService *service = g_socket_service_new();
	GSocketAddress *address;
	char *host = NULL;
	guint port = 0;

	listener->proxy = proxy;
	listener->name = g_strdup(lug_json_str(item, "name", ""));
	listener->zone = g_strdup(lug_json_str(item, "zone", ""));
	if (!lug_address_parse(lug_json_str(item, "target", ""), &listener->host,
			       &listener->port) ||
	    !lug_address_parse(lug_json_str(item, "listen", ""), &host, &port))
		return FALSE;
	g_hash_table_insert(proxy->names, listener->host, listener->name);
	address = g_inet_socket_address_new_from_string(host, port);
	g_free(host);
	g_socket_listener_set_backlog(G_SOCKET_LISTENER(service), LISTEN_BACKLOG);
	if (!g_socket_listener_add_address(G_SOCKET_LISTENER(service), address,
					   G_SOCKET_TYPE_STREAM, G_SOCKET_PROTOCOL_TCP, NULL, NULL,
					   NULL))
		return FALSE;
	g_signal_connect(service, "incoming", G_CALLBACK(on_incoming), listener);
	g_socket_service_start(service);
	g_object_unref(address);
	return TRUE;
}

static gboolean read_config(struct proxy *proxy, JsonObject *config)
{
	JsonObject *zones = lug_json_obj(config, "zones");
	JsonArray *listeners = lug_json_arr(config, "listeners");
	GList *ips = zones ? json_object_get_members(zones) : NULL;

	proxy->zone_delay_ms = lug_json_int(config, "delay_ms", 0);
	for (GList *it = ips; it; it = it->next)
		g_hash_table_insert(proxy->zones, g_strdup(it->data),
				    g_strdup(lug_json_str(zones, it->data, "")));
	g_list_free(ips);
	for (guint i = 0; listeners && i < json_array_get_length(listeners); i++)
		if (!add_listener(proxy, json_array_get_object_element(listeners, i)))
			return FALSE;
	return TRUE;
}

static gboolean listen_control(struct proxy *proxy, const char *text)
{
	SoupServer *server = soup_server_new(NULL, NULL);

	soup_server_add_handler(server, NULL, on_control, proxy, NULL);
	return lug_listen(server, text, NULL);
}

int main(int argc, char **argv)
{
	struct proxy proxy = {.rng = g_rand_new_with_seed(1)};
	JsonObject *config = NULL;
	char *text = NULL;

	if (argc != 3 || !g_file_get_contents(argv[1], &text, NULL, NULL) ||
	    !(config = lug_json_parse(text, -1, NULL))) {
		g_printerr("usage: standin-proxy CONFIG CONTROL_ADDRESS\n");
		return 2;
	}
	proxy.zones = g_hash_table_new(g_str_hash, g_str_equal);
	proxy.names = g_hash_table_new(g_str_hash, g_str_equal);
	proxy.rules = g_ptr_array_new_with_free_func(rule_free);
	lug_list_init(&proxy.conns);
	if (!read_config(&proxy, config) || !listen_control(&proxy, argv[2])) {
		g_printerr("standin-proxy: an address can't be bound\n");
		return 1;
	}
	g_main_loop_run(g_main_loop_new(NULL, FALSE));
	return 0;
}
