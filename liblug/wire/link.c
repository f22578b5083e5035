#include "wire/link.h"

#include <errno.h>
#include <string.h>
#include <zmq.h>

#include "wire/auth.h"
#include "wire/source.h"

/* Messages that a connection queues in each direction. A send fails above the limit. */
#define QUEUE_MAX_MESSAGES 4096
#define RECONNECT_MIN_MS 100
#define RECONNECT_MAX_MS 2000
/* Time for which unsent messages of a closed connection are still sent. */
#define CLOSE_LINGER_MS 300
#define CONNECT_TIMEOUT_MS 2000

/**
 * struct lug_link - all internal connections of one process
 * @ctx: context
 * @zmq: ZeroMQ context
 * @auth: authenticator, NULL without keys
 * @server_socket: server socket, bound to the address for internal connections
 * @server_source: event source of @server_socket
 * @fn: receives each valid envelope
 * @data: passed to @fn
 * @table_version: version set by lug_link_set_table_version(), sent in each envelope
 * @dials: outgoing connections by number
 * @last_dial_number: number of the latest outgoing connection
 */
struct lug_link {
	struct lug_ctx *ctx;
	void *zmq;
	struct lug_auth *auth;
	void *server_socket;
	GSource *server_source;
	lug_link_fn fn;
	void *data;
	guint64 table_version;
	GHashTable *dials;
	guint64 last_dial_number;
};

/**
 * struct lug_dial - an outgoing connection to one address
 * @number: identifies the connection in struct lug_route, from 1
 * @link: all internal connections
 * @data: the caller's object for the connection, returned by lug_dial_data()
 * @address: IP:PORT of the peer
 * @socket: socket
 * @event_source: event source of @socket
 * @generation: number of times the socket was opened
 */
struct lug_dial {
	guint64 number;
	struct lug_link *link;
	void *data;
	char *address;
	void *socket;
	GSource *event_source;
	guint32 generation;
};

static void count_traffic(struct lug_ctx *ctx, const Lug__Envelope *env, gsize len, gboolean sent)
{
	if (lug_envelope_is_request_or_reply(env)) {
		if (sent)
			lug_count(ctx, REQUEST_TX, len);
		else
			lug_count(ctx, REQUEST_RX, len);
		return;
	}
	if (sent) {
		lug_count(ctx, CONTROL_TX, len);
		lug_count(ctx, CONTROL_TX_MSGS, 1);
		return;
	}
	lug_count(ctx, CONTROL_RX, len);
	lug_count(ctx, CONTROL_RX_MSGS, 1);
}

static void deliver_message(struct lug_link *link, const struct lug_route *route, const void *data,
			    gsize len)
{
	struct lug_arena *arena = lug_arena_new();
	Lug__Envelope *env = lug_frame_decode(data, len, arena, NULL);

	if (!env) {
		lug_count(link->ctx, MALFORMED, 1);
	} else {
		count_traffic(link->ctx, env, len, FALSE);
		lug_hlc_observe(&link->ctx->hlc, env->hlc, g_get_real_time());
		link->fn(link->data, route, env);
	}
	lug_arena_free(arena);
}

/* Receives the remaining parts of a message. Returns whether there were any. */
static gboolean discard_extra_parts(void *socket)
{
	int more = 0;
	size_t len = sizeof(more);
	gboolean dropped = FALSE;

	while (!zmq_getsockopt(socket, ZMQ_RCVMORE, &more, &len) && more) {
		zmq_msg_t part;

		zmq_msg_init(&part);
		zmq_msg_recv(&part, socket, ZMQ_DONTWAIT);
		zmq_msg_close(&part);
		dropped = TRUE;
	}
	return dropped;
}

static gboolean receive_identity(struct lug_link *link, struct lug_route *route)
{
	zmq_msg_t part;

	zmq_msg_init(&part);
	if (zmq_msg_recv(&part, link->server_socket, ZMQ_DONTWAIT) < 0) {
		zmq_msg_close(&part);
		return FALSE;
	}
	route->dial = 0;
	route->len = MIN(zmq_msg_size(&part), sizeof(route->id));
	memcpy(route->id, zmq_msg_data(&part), route->len);
	zmq_msg_close(&part);
	return TRUE;
}

static gboolean receive_message(struct lug_link *link, void *socket, struct lug_route *route)
{
	zmq_msg_t part;

	/* A message at the server socket starts with the identity of its connection. */
	if (!route->dial && !receive_identity(link, route))
		return FALSE;
	zmq_msg_init(&part);
	if (zmq_msg_recv(&part, socket, ZMQ_DONTWAIT) < 0) {
		zmq_msg_close(&part);
		return FALSE;
	}
	if (discard_extra_parts(socket))
		lug_count(link->ctx, MALFORMED, 1);
	else
		deliver_message(link, route, zmq_msg_data(&part), zmq_msg_size(&part));
	zmq_msg_close(&part);
	return TRUE;
}

static gboolean on_server_message(void *data)
{
	struct lug_link *link = data;
	struct lug_route route = {0};

	return receive_message(link, link->server_socket, &route);
}

static gboolean on_dial_message(void *data)
{
	struct lug_dial *dial = data;
	struct lug_route route;

	lug_dial_route(dial, &route);
	return receive_message(dial->link, dial->socket, &route);
}

static void set_int_option(void *socket, int option, int value)
{
	zmq_setsockopt(socket, option, &value, sizeof(value));
}

static void set_socket_limits(const struct lug_link *link, void *socket)
{
	int64_t max = link->ctx->settings->body_bytes + LUG_FRAME_OVERHEAD_MAX_BYTES;

	zmq_setsockopt(socket, ZMQ_MAXMSGSIZE, &max, sizeof(max));
	set_int_option(socket, ZMQ_SNDHWM, QUEUE_MAX_MESSAGES);
	set_int_option(socket, ZMQ_RCVHWM, QUEUE_MAX_MESSAGES);
	set_int_option(socket, ZMQ_LINGER, CLOSE_LINGER_MS);
}

/**
 * lug_link_new - bind the address for internal connections and start receiving
 * @ctx: context
 * @fn: called for each valid envelope
 * @data: passed to @fn
 * @err: set when the address can't be bound, may be NULL
 *
 * Return: the link, to be freed with lug_link_free(), or NULL with LUG_BAD_INPUT.
 */
struct lug_link *lug_link_new(struct lug_ctx *ctx, lug_link_fn fn, void *data,
			      struct lug_error *err)
{
	struct lug_link *link = g_new0(struct lug_link, 1);
	char *endpoint = g_strdup_printf("tcp://%s", ctx->settings->inner);

	link->ctx = ctx;
	link->fn = fn;
	link->data = data;
	link->zmq = zmq_ctx_new();
	link->dials = g_hash_table_new(g_int64_hash, g_int64_equal);
	if (lug_auth_enabled(ctx))
		link->auth = lug_auth_new(ctx, link->zmq);
	link->server_socket = zmq_socket(link->zmq, ZMQ_ROUTER);
	set_socket_limits(link, link->server_socket);
	lug_auth_set_server(ctx, link->server_socket);
	if (link->auth)
		lug_auth_monitor(link->auth, link->server_socket);
	/* A send to an unknown identity fails instead of being dropped. */
	set_int_option(link->server_socket, ZMQ_ROUTER_MANDATORY, 1);
	/* A new connection with a known identity replaces the former one. */
	set_int_option(link->server_socket, ZMQ_ROUTER_HANDOVER, 1);
	if (zmq_bind(link->server_socket, endpoint)) {
		lug_fail(err, LUG_BAD_INPUT, "name a free address of this instance in \"inner\"",
			 "inner: %s can't be bound: %s", ctx->settings->inner,
			 zmq_strerror(zmq_errno()));
		g_free(endpoint);
		lug_link_free(link);
		return NULL;
	}
	g_free(endpoint);
	link->server_source =
		lug_socket_source_attach(link->server_socket, on_server_message, link);
	return link;
}

/**
 * lug_link_free - close all connections
 * @link: link, may be NULL; its outgoing connections must be freed first
 */
void lug_link_free(struct lug_link *link)
{
	if (!link)
		return;
	lug_socket_source_detach(&link->server_source);
	if (link->server_socket)
		zmq_close(link->server_socket);
	lug_auth_free(link->auth);
	zmq_ctx_term(link->zmq);
	g_hash_table_unref(link->dials);
	g_free(link);
}

/**
 * lug_link_set_table_version - set the version of the operators' table, sent in each envelope
 * @link: link
 * @version: version of the weights and limits, or of the configuration of queues, in force in this
 *           process
 */
void lug_link_set_table_version(struct lug_link *link, guint64 version)
{
	link->table_version = version;
}

static void stamp_envelope(struct lug_link *link, Lug__Envelope *env)
{
	env->has_proto = 1;
	env->proto = LUG_PROTO_VERSION;
	env->from = link->ctx->settings->name;
	env->has_incarnation = 1;
	env->incarnation = link->ctx->incarnation;
	env->has_hlc = 1;
	env->hlc = lug_hlc_now(&link->ctx->hlc, g_get_real_time());
	env->has_table_version = 1;
	env->table_version = link->table_version;
}

/**
 * lug_link_find_dial - find the outgoing connection of a route
 * @link: link
 * @route: connection that a message came from or is sent through
 *
 * Return: the connection, or NULL when @route is an incoming connection or the outgoing one was
 * freed.
 */
struct lug_dial *lug_link_find_dial(const struct lug_link *link, const struct lug_route *route)
{
	return route->dial ? g_hash_table_lookup(link->dials, &route->dial) : NULL;
}

/**
 * lug_link_send - send one envelope without waiting
 * @link: link
 * @route: connection to send through
 * @env: envelope with its body set; the other fields are filled in here
 *
 * Return: FALSE when the envelope was not sent. TRUE does not imply that it arrives.
 */
gboolean lug_link_send(struct lug_link *link, const struct lug_route *route, Lug__Envelope *env)
{
	struct lug_dial *dial = lug_link_find_dial(link, route);
	void *socket = dial ? dial->socket : link->server_socket;
	zmq_msg_t part;
	gsize len;

	if (route->dial && !dial)
		return FALSE;
	stamp_envelope(link, env);
	lug_socket_source_recheck(dial ? dial->event_source : link->server_source);
	/* The server socket sends to the connection that the first part identifies. */
	if (!route->dial && zmq_send(socket, route->id, route->len, ZMQ_SNDMORE | ZMQ_DONTWAIT) < 0)
		return FALSE;
	len = lug__envelope__get_packed_size(env);
	zmq_msg_init_size(&part, len);
	lug__envelope__pack(env, zmq_msg_data(&part));
	if (zmq_msg_send(&part, socket, ZMQ_DONTWAIT) < 0) {
		zmq_msg_close(&part);
		return FALSE;
	}
	count_traffic(link->ctx, env, len, TRUE);
	return TRUE;
}

static void dial_open(struct lug_dial *dial)
{
	const struct lug_settings *settings = dial->link->ctx->settings;
	char identity[LUG_ROUTE_ID_MAX];
	char *endpoint;

	dial->generation++;
	dial->socket = zmq_socket(dial->link->zmq, ZMQ_DEALER);
	set_socket_limits(dial->link, dial->socket);
	lug_auth_set_client(dial->link->ctx, dial->socket, dial->generation - 1);
	/* Messages are queued only while the connection is established. */
	set_int_option(dial->socket, ZMQ_IMMEDIATE, 1);
	set_int_option(dial->socket, ZMQ_CONNECT_TIMEOUT, CONNECT_TIMEOUT_MS);
	set_int_option(dial->socket, ZMQ_HANDSHAKE_IVL, CONNECT_TIMEOUT_MS);
	set_int_option(dial->socket, ZMQ_RECONNECT_IVL, RECONNECT_MIN_MS);
	set_int_option(dial->socket, ZMQ_RECONNECT_IVL_MAX, RECONNECT_MAX_MS);
	g_snprintf(identity, sizeof(identity), "%s#%" G_GINT64_MODIFIER "x#%u", settings->name,
		   dial->link->ctx->incarnation, dial->generation);
	zmq_setsockopt(dial->socket, ZMQ_ROUTING_ID, identity, strlen(identity));
	if (settings->source)
		endpoint = g_strdup_printf("tcp://%s:0;%s", settings->source, dial->address);
	else
		endpoint = g_strdup_printf("tcp://%s", dial->address);
	/* Messages to such an address are not sent; the other connections hold. */
	if (zmq_connect(dial->socket, endpoint))
		lug_warn(dial->link->ctx, "connect_refused", "address", dial->address, "problem",
			 zmq_strerror(zmq_errno()), "remedy", "correct the peer's address");
	g_free(endpoint);
	dial->event_source = lug_socket_source_attach(dial->socket, on_dial_message, dial);
}

static void dial_close(struct lug_dial *dial)
{
	lug_socket_source_detach(&dial->event_source);
	zmq_close(dial->socket);
	dial->socket = NULL;
}

/**
 * lug_dial_new - connect to an address
 * @link: link
 * @address: IP:PORT of the peer
 * @data: the caller's object for the connection, returned by lug_dial_data()
 *
 * The connection is established in the background, and established again after a loss.
 *
 * Return: the connection, to be freed with lug_dial_free() before @link.
 */
struct lug_dial *lug_dial_new(struct lug_link *link, const char *address, void *data)
{
	struct lug_dial *dial = g_new0(struct lug_dial, 1);

	dial->link = link;
	dial->number = ++link->last_dial_number;
	g_hash_table_insert(link->dials, &dial->number, dial);
	dial->data = data;
	dial->address = g_strdup(address);
	dial_open(dial);
	return dial;
}

/**
 * lug_dial_free - close a connection
 * @dial: connection, may be NULL
 */
void lug_dial_free(struct lug_dial *dial)
{
	if (!dial)
		return;
	g_hash_table_remove(dial->link->dials, &dial->number);
	dial_close(dial);
	g_free(dial->address);
	g_free(dial);
}

/**
 * lug_dial_reopen - close a connection and open a new one to the same address
 * @dial: connection
 *
 * The new connection has another source port and a higher generation. With keys in the
 * settings it expects the next key from the peer.
 */
void lug_dial_reopen(struct lug_dial *dial)
{
	lug_count(dial->link->ctx, CONNECTIONS_REOPENED, 1);
	dial_close(dial);
	dial_open(dial);
}

/**
 * lug_dial_generation - number of times a connection was opened
 * @dial: connection
 */
guint32 lug_dial_generation(const struct lug_dial *dial)
{
	return dial->generation;
}

/**
 * lug_dial_address - address of the peer
 * @dial: connection
 */
const char *lug_dial_address(const struct lug_dial *dial)
{
	return dial->address;
}

/**
 * lug_dial_data - the caller's object for the connection, given to lug_dial_new()
 * @dial: connection
 */
void *lug_dial_data(const struct lug_dial *dial)
{
	return dial->data;
}

/**
 * lug_dial_route - reference to an outgoing connection for lug_link_send()
 * @dial: connection
 * @route: set to the reference
 */
void lug_dial_route(struct lug_dial *dial, struct lug_route *route)
{
	memset(route, 0, sizeof(*route));
	route->dial = dial->number;
}
