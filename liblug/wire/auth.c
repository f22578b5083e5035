#include "wire/auth.h"

#include <string.h>
#include <zmq.h>

#include "wire/source.h"

#define ZAP_ENDPOINT "inproc://zeromq.zap.01"
#define MONITOR_ENDPOINT "inproc://lug.monitor"
#define ZAP_VERSION "1.0"
#define ZAP_PARTS_MAX 8
#define KEY_BYTES 32
#define Z85_CHARS 41

enum zap_part {
	ZAP_PART_VERSION,
	ZAP_PART_ID,
	ZAP_PART_DOMAIN,
	ZAP_PART_ADDRESS,
	ZAP_PART_IDENTITY,
	ZAP_PART_MECHANISM,
	ZAP_PART_KEY,
};

struct lug_auth {
	struct lug_ctx *ctx;
	void *zmq;
	void *zap;
	void *monitor;
	GSource *zap_source;
	GSource *monitor_source;
};

/**
 * lug_auth_enabled - tell whether the settings name keys
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

static gboolean key_known(const struct lug_ctx *ctx, const guint8 *key)
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

	while (more && n < ZAP_PARTS_MAX) {
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

static gboolean part_is(zmq_msg_t *part, const char *text)
{
	return zmq_msg_size(part) == strlen(text) &&
	       !memcmp(zmq_msg_data(part), text, strlen(text));
}

static gboolean allowed(const struct lug_auth *guard, zmq_msg_t *parts, guint n)
{
	if (n <= ZAP_PART_KEY || !part_is(&parts[ZAP_PART_MECHANISM], "CURVE"))
		return FALSE;
	if (zmq_msg_size(&parts[ZAP_PART_KEY]) != KEY_BYTES)
		return FALSE;
	return key_known(guard->ctx, zmq_msg_data(&parts[ZAP_PART_KEY]));
}

static void answer(struct lug_auth *guard, zmq_msg_t *parts, guint n)
{
	gboolean ok = allowed(guard, parts, n);

	if (!ok)
		lug_count(guard->ctx, STRANGERS, 1);
	if (n <= ZAP_PART_ID)
		return;
	zmq_send(guard->zap, ZAP_VERSION, strlen(ZAP_VERSION), ZMQ_SNDMORE);
	zmq_send(guard->zap, zmq_msg_data(&parts[ZAP_PART_ID]), zmq_msg_size(&parts[ZAP_PART_ID]),
		 ZMQ_SNDMORE);
	zmq_send(guard->zap, ok ? "200" : "400", 3, ZMQ_SNDMORE);
	zmq_send(guard->zap, "", 0, ZMQ_SNDMORE);
	zmq_send(guard->zap, "", 0, ZMQ_SNDMORE);
	zmq_send(guard->zap, "", 0, 0);
}

static gboolean on_zap(void *data)
{
	struct lug_auth *guard = data;
	zmq_msg_t parts[ZAP_PARTS_MAX];
	guint n = receive_parts(guard->zap, parts);

	if (!n)
		return FALSE;
	answer(guard, parts, n);
	for (guint i = 0; i < n; i++)
		zmq_msg_close(&parts[i]);
	return TRUE;
}

static gboolean on_monitor(void *data)
{
	struct lug_auth *guard = data;
	zmq_msg_t parts[ZAP_PARTS_MAX];
	guint n = receive_parts(guard->monitor, parts);

	if (!n)
		return FALSE;
	lug_count(guard->ctx, STRANGERS, 1);
	for (guint i = 0; i < n; i++)
		zmq_msg_close(&parts[i]);
	return TRUE;
}

/**
 * lug_auth_new - answer authentication requests of a ZeroMQ context
 * @ctx: context; the keys come from its settings
 * @zmq: ZeroMQ context without sockets yet
 */
struct lug_auth *lug_auth_new(struct lug_ctx *ctx, void *zmq)
{
	struct lug_auth *guard = g_new0(struct lug_auth, 1);

	guard->ctx = ctx;
	guard->zmq = zmq;
	guard->zap = zmq_socket(zmq, ZMQ_REP);
	zmq_bind(guard->zap, ZAP_ENDPOINT);
	guard->zap_source = lug_source_attach(guard->zap, on_zap, guard);
	return guard;
}

/**
 * lug_auth_watch - count failed handshakes of a socket
 * @guard: guard
 * @socket: bound socket
 */
void lug_auth_watch(struct lug_auth *guard, void *socket)
{
	zmq_socket_monitor(socket, MONITOR_ENDPOINT,
			   ZMQ_EVENT_HANDSHAKE_FAILED_NO_DETAIL |
				   ZMQ_EVENT_HANDSHAKE_FAILED_PROTOCOL);
	guard->monitor = zmq_socket(guard->zmq, ZMQ_PAIR);
	zmq_connect(guard->monitor, MONITOR_ENDPOINT);
	guard->monitor_source = lug_source_attach(guard->monitor, on_monitor, guard);
}

/**
 * lug_auth_free - stop answering
 * @guard: may be NULL
 */
void lug_auth_free(struct lug_auth *guard)
{
	if (!guard)
		return;
	lug_source_detach(&guard->monitor_source);
	lug_source_detach(&guard->zap_source);
	if (guard->monitor)
		zmq_close(guard->monitor);
	zmq_close(guard->zap);
	g_free(guard);
}

/**
 * lug_auth_set_server - protect a socket that others dial
 * @ctx: context
 * @socket: socket before it is bound
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
 * lug_auth_set_client - protect a socket that dials
 * @ctx: context
 * @socket: socket before it connects
 * @turn: which key the peer is expected to use; the next one is tried at the next dial
 */
void lug_auth_set_client(const struct lug_ctx *ctx, void *socket, guint32 turn)
{
	const struct lug_key *own;
	const struct lug_key *peer;

	if (!lug_auth_enabled(ctx))
		return;
	own = key_at(ctx, 0);
	peer = key_at(ctx, turn);
	zmq_setsockopt(socket, ZMQ_CURVE_PUBLICKEY, own->public_key, strlen(own->public_key));
	zmq_setsockopt(socket, ZMQ_CURVE_SECRETKEY, own->secret_key, strlen(own->secret_key));
	zmq_setsockopt(socket, ZMQ_CURVE_SERVERKEY, peer->public_key, strlen(peer->public_key));
}
