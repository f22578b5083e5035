#include "wire/auth.h"

#include <string.h>
#include <zmq.h>

#include "wire/source.h"

#define ZAP_ENDPOINT "inproc://zeromq.zap.01"
#define MONITOR_ENDPOINT "inproc://lug.monitor"
#define ZAP_VERSION "1.0"
#define ZAP_MAX_PARTS 8
#define KEY_BYTES 32
/* Length of a key in Z85 with its terminator. */
#define Z85_CHARS 41

/* Message parts of a ZAP request (ZeroMQ RFC 27). */
enum zap_part {
	ZAP_PART_VERSION,
	ZAP_PART_REQUEST_ID,
	ZAP_PART_DOMAIN,
	ZAP_PART_ADDRESS,
	ZAP_PART_IDENTITY,
	ZAP_PART_MECHANISM,
	ZAP_PART_KEY,
};

/**
 * struct lug_auth - authenticator of a ZeroMQ context
 * @ctx: context
 * @zmq: ZeroMQ context, not owned
 * @zap: socket that receives authentication requests
 * @monitor: socket that receives events of failed handshakes, NULL before lug_auth_monitor()
 * @zap_source: event source of @zap
 * @monitor_source: event source of @monitor
 */
struct lug_auth {
	struct lug_ctx *ctx;
	void *zmq;
	void *zap;
	void *monitor;
	GSource *zap_source;
	GSource *monitor_source;
};

/**
 * lug_auth_enabled - check whether the settings contain keys
 * @ctx: context
 */
gboolean lug_auth_enabled(const struct lug_ctx *ctx)
{
	return ctx->settings->keys->len > 0;
}

static const struct lug_key *key_at(const struct lug_ctx *ctx, guint index)
{
	GArray *keys = ctx->settings->keys;

	return &g_array_index(keys, struct lug_key, index % keys->len);
}

static gboolean is_known_key(const struct lug_ctx *ctx, const guint8 *key)
{
	char text[Z85_CHARS];

	if (!zmq_z85_encode(text, key, KEY_BYTES))
		return FALSE;
	for (guint i = 0; i < ctx->settings->keys->len; i++)
		if (!strcmp(text, key_at(ctx, i)->public_key))
			return TRUE;
	return FALSE;
}

static guint receive_parts(void *socket, zmq_msg_t *parts)
{
	guint n = 0;
	int more = 1;
	size_t len = sizeof(more);

	while (more && n < ZAP_MAX_PARTS) {
		zmq_msg_init(&parts[n]);
		if (zmq_msg_recv(&parts[n], socket, ZMQ_DONTWAIT) < 0) {
			zmq_msg_close(&parts[n]);
			return n;
		}
		n++;
		zmq_getsockopt(socket, ZMQ_RCVMORE, &more, &len);
	}
	return n;
}

static gboolean part_equals(zmq_msg_t *part, const char *text)
{
	return zmq_msg_size(part) == strlen(text) &&
	       !memcmp(zmq_msg_data(part), text, strlen(text));
}

static gboolean is_authenticated(const struct lug_auth *auth, zmq_msg_t *parts, guint n)
{
	if (n <= ZAP_PART_KEY || !part_equals(&parts[ZAP_PART_MECHANISM], "CURVE"))
		return FALSE;
	if (zmq_msg_size(&parts[ZAP_PART_KEY]) != KEY_BYTES)
		return FALSE;
	return is_known_key(auth->ctx, zmq_msg_data(&parts[ZAP_PART_KEY]));
}

static void answer_request(struct lug_auth *auth, zmq_msg_t *parts, guint n)
{
	gboolean ok = is_authenticated(auth, parts, n);

	if (!ok)
		lug_count(auth->ctx, HANDSHAKES_REFUSED, 1);
	if (n <= ZAP_PART_REQUEST_ID)
		return;
	/* Version, request id, status code, status text, user id and metadata (ZeroMQ RFC 27). */
	zmq_send(auth->zap, ZAP_VERSION, strlen(ZAP_VERSION), ZMQ_SNDMORE);
	zmq_send(auth->zap, zmq_msg_data(&parts[ZAP_PART_REQUEST_ID]),
		 zmq_msg_size(&parts[ZAP_PART_REQUEST_ID]), ZMQ_SNDMORE);
	zmq_send(auth->zap, ok ? "200" : "400", 3, ZMQ_SNDMORE);
	zmq_send(auth->zap, "", 0, ZMQ_SNDMORE);
	zmq_send(auth->zap, "", 0, ZMQ_SNDMORE);
	zmq_send(auth->zap, "", 0, 0);
}

static gboolean on_zap(void *data)
{
	struct lug_auth *auth = data;
	zmq_msg_t parts[ZAP_MAX_PARTS];
	guint n = receive_parts(auth->zap, parts);

	if (!n)
		return FALSE;
	answer_request(auth, parts, n);
	for (guint i = 0; i < n; i++)
		zmq_msg_close(&parts[i]);
	return TRUE;
}

static gboolean on_monitor(void *data)
{
	struct lug_auth *auth = data;
	zmq_msg_t parts[ZAP_MAX_PARTS];
	guint n = receive_parts(auth->monitor, parts);

	if (!n)
		return FALSE;
	lug_count(auth->ctx, HANDSHAKES_REFUSED, 1);
	for (guint i = 0; i < n; i++)
		zmq_msg_close(&parts[i]);
	return TRUE;
}

/**
 * lug_auth_new - start to answer the authentication requests of a ZeroMQ context
 * @ctx: context; its settings contain the keys
 * @zmq: ZeroMQ context without sockets yet, not owned
 *
 * Return: the authenticator, to be freed with lug_auth_free().
 */
struct lug_auth *lug_auth_new(struct lug_ctx *ctx, void *zmq)
{
	struct lug_auth *auth = g_new0(struct lug_auth, 1);

	auth->ctx = ctx;
	auth->zmq = zmq;
	auth->zap = zmq_socket(zmq, ZMQ_REP);
	zmq_bind(auth->zap, ZAP_ENDPOINT);
	auth->zap_source = lug_socket_source_attach(auth->zap, on_zap, auth);
	return auth;
}

/**
 * lug_auth_monitor - count the failed handshakes of a socket
 * @auth: authenticator
 * @socket: server socket
 */
void lug_auth_monitor(struct lug_auth *auth, void *socket)
{
	zmq_socket_monitor(socket, MONITOR_ENDPOINT,
			   ZMQ_EVENT_HANDSHAKE_FAILED_NO_DETAIL |
				   ZMQ_EVENT_HANDSHAKE_FAILED_PROTOCOL);
	auth->monitor = zmq_socket(auth->zmq, ZMQ_PAIR);
	zmq_connect(auth->monitor, MONITOR_ENDPOINT);
	auth->monitor_source = lug_socket_source_attach(auth->monitor, on_monitor, auth);
}

/**
 * lug_auth_free - stop answering authentication requests
 * @auth: authenticator, may be NULL
 */
void lug_auth_free(struct lug_auth *auth)
{
	if (!auth)
		return;
	lug_socket_source_detach(&auth->monitor_source);
	lug_socket_source_detach(&auth->zap_source);
	if (auth->monitor)
		zmq_close(auth->monitor);
	zmq_close(auth->zap);
	g_free(auth);
}

/**
 * lug_auth_set_server - enable encryption and authentication on a server socket
 * @ctx: context
 * @socket: socket before it is bound
 *
 * Without keys in the settings the socket stays as it is.
 */
void lug_auth_set_server(const struct lug_ctx *ctx, void *socket)
{
	int server = 1;
	const struct lug_key *key;

	if (!lug_auth_enabled(ctx))
		return;
	key = key_at(ctx, 0);
	zmq_setsockopt(socket, ZMQ_CURVE_SERVER, &server, sizeof(server));
	zmq_setsockopt(socket, ZMQ_CURVE_SECRETKEY, key->secret_key, strlen(key->secret_key));
	zmq_setsockopt(socket, ZMQ_ZAP_DOMAIN, "lug", 3);
}

/**
 * lug_auth_set_client - enable encryption and authentication on a client socket
 * @ctx: context
 * @socket: socket before it connects
 * @key_index: index of the key expected from the server, modulo the number of keys. The
 *	caller increments it with each connection attempt, as the server may use another key.
 *
 * Without keys in the settings the socket stays as it is.
 */
void lug_auth_set_client(const struct lug_ctx *ctx, void *socket, guint32 key_index)
{
	const struct lug_key *own;
	const struct lug_key *peer;

	if (!lug_auth_enabled(ctx))
		return;
	own = key_at(ctx, 0);
	peer = key_at(ctx, key_index);
	zmq_setsockopt(socket, ZMQ_CURVE_PUBLICKEY, own->public_key, strlen(own->public_key));
	zmq_setsockopt(socket, ZMQ_CURVE_SECRETKEY, own->secret_key, strlen(own->secret_key));
	zmq_setsockopt(socket, ZMQ_CURVE_SERVERKEY, peer->public_key, strlen(peer->public_key));
}
