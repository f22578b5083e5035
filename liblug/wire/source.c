#include "wire/source.h"

#include <zmq.h>

/* Limit on messages received from a socket in one iteration of the main loop. */
#define RECV_BATCH 64

/**
 * struct socket_source - event source of a ZeroMQ socket
 * @source: base, a GLib event source
 * @socket: socket
 * @fn: receives one message
 * @data: passed to @fn
 * @fd_tag: the socket's descriptor in @source
 * @recheck: query the socket's events in the next iteration
 *
 * The socket's descriptor is edge-triggered: it becomes readable when internal commands of
 * ZeroMQ arrive, and a send may consume those commands. The events are queried after
 * the descriptor was readable, after each send, and after each dispatch, which may have left
 * messages.
 */
struct socket_source {
	GSource source;
	void *socket;
	lug_socket_source_fn fn;
	void *data;
	gpointer fd_tag;
	gboolean recheck;
};

static gboolean is_readable(void *socket)
{
	int events = 0;
	size_t len = sizeof(events);

	if (zmq_getsockopt(socket, ZMQ_EVENTS, &events, &len))
		return FALSE;
	return (events & ZMQ_POLLIN) != 0;
}

static gboolean prepare(GSource *source, gint *timeout)
{
	struct socket_source *self = (struct socket_source *)source;

	*timeout = -1;
	if (!self->recheck)
		return FALSE;
	self->recheck = FALSE;
	return is_readable(self->socket);
}

static gboolean check(GSource *source)
{
	struct socket_source *self = (struct socket_source *)source;

	return (g_source_query_unix_fd(source, self->fd_tag) & G_IO_IN) != 0;
}

static gboolean dispatch(GSource *source, GSourceFunc fn, gpointer data)
{
	struct socket_source *self = (struct socket_source *)source;

	(void)fn;
	(void)data;
	g_source_ref(source);
	self->recheck = TRUE;
	for (int i = 0; i < RECV_BATCH && !g_source_is_destroyed(source); i++)
		if (!self->fn(self->data))
			break;
	g_source_unref(source);
	return G_SOURCE_CONTINUE;
}

static GSourceFuncs socket_source_funcs = {
	.prepare = prepare, .check = check, .dispatch = dispatch};

/**
 * lug_socket_source_attach - receive from a ZeroMQ socket in the default main loop
 * @socket: socket, not owned
 * @fn: receives one message, returns FALSE when there is none; called up to RECV_BATCH times
 *	whenever the socket is readable
 * @data: passed to @fn
 *
 * Return: the event source, to be removed with lug_socket_source_detach().
 */
GSource *lug_socket_source_attach(void *socket, lug_socket_source_fn fn, void *data)
{
	GSource *source = g_source_new(&socket_source_funcs, sizeof(struct socket_source));
	struct socket_source *self = (struct socket_source *)source;
	int fd = -1;
	size_t len = sizeof(fd);

	self->socket = socket;
	self->fn = fn;
	self->data = data;
	self->recheck = TRUE;
	zmq_getsockopt(socket, ZMQ_FD, &fd, &len);
	self->fd_tag = g_source_add_unix_fd(source, fd, G_IO_IN);
	g_source_attach(source, NULL);
	return source;
}

/**
 * lug_socket_source_detach - remove and free an event source
 * @source: event source, set to NULL; may point to NULL
 */
void lug_socket_source_detach(GSource **source)
{
	if (!*source)
		return;
	g_source_destroy(*source);
	g_source_unref(*source);
	*source = NULL;
}

/**
 * lug_socket_source_recheck - query the socket's events in the next iteration of the main loop
 * @source: event source; to be called when its socket sends
 */
void lug_socket_source_recheck(GSource *source)
{
	((struct socket_source *)source)->recheck = TRUE;
}
