#include "wire/source.h"

#include <zmq.h>

/* Messages received in one turn of the loop. */
#define RECV_BATCH 64

/*
 * A socket's descriptor is edge-triggered: it becomes readable when commands arrive,
 * and a send may take those commands in. So events are asked for after the descriptor
 * was readable, and once after each send.
 */
struct socket_source {
	GSource source;
	void *socket;
	lug_source_fn fn;
	void *data;
	gpointer fd_tag;
	gboolean recheck;
};

static gboolean readable(void *socket)
{
	int events = 0;
	size_t len = sizeof(events);

	if (zmq_getsockopt(socket, ZMQ_EVENTS, &events, &len))
		return FALSE;
	return (events & ZMQ_POLLIN) != 0;
}

static gboolean prepare(GSource *source, gint *timeout)
{
	struct socket_source *own = (struct socket_source *)source;

	*timeout = -1;
	if (!own->recheck)
		return FALSE;
	own->recheck = FALSE;
	return readable(own->socket);
}

static gboolean check(GSource *source)
{
	struct socket_source *own = (struct socket_source *)source;

	return (g_source_query_unix_fd(source, own->fd_tag) & G_IO_IN) != 0;
}

static gboolean dispatch(GSource *source, GSourceFunc fn, gpointer data)
{
	struct socket_source *own = (struct socket_source *)source;

	(void)fn;
	(void)data;
	g_source_ref(source);
	own->recheck = TRUE;
	for (int i = 0; i < RECV_BATCH && !g_source_is_destroyed(source); i++)
		if (!own->fn(own->data))
			break;
	g_source_unref(source);
	return G_SOURCE_CONTINUE;
}

static GSourceFuncs funcs = {.prepare = prepare, .check = check, .dispatch = dispatch};

/**
 * lug_source_attach - receive from a ZeroMQ socket in the default loop
 * @socket: socket
 * @fn: receives one message, called until it returns FALSE
 * @data: passed to @fn
 */
GSource *lug_source_attach(void *socket, lug_source_fn fn, void *data)
{
	GSource *source = g_source_new(&funcs, sizeof(struct socket_source));
	struct socket_source *own = (struct socket_source *)source;
	int fd = -1;
	size_t len = sizeof(fd);

	own->socket = socket;
	own->fn = fn;
	own->data = data;
	own->recheck = TRUE;
	zmq_getsockopt(socket, ZMQ_FD, &fd, &len);
	own->fd_tag = g_source_add_unix_fd(source, fd, G_IO_IN);
	g_source_attach(source, NULL);
	return source;
}

/**
 * lug_source_detach - stop receiving
 * @source: source, set to NULL; may point to NULL
 */
void lug_source_detach(GSource **source)
{
	if (!*source)
		return;
	g_source_destroy(*source);
	g_source_unref(*source);
	*source = NULL;
}

/**
 * lug_source_recheck - ask for events at the next turn of the loop
 * @source: source whose socket was sent to
 */
void lug_source_recheck(GSource *source)
{
	((struct socket_source *)source)->recheck = TRUE;
}
