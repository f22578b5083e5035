#include "http/listen.h"

#include "core/settings.h"

/*
 * Connections that may wait to be accepted. With GLib's default of 10, the kernel drops
 * further connections of a burst, and their callers wait seconds for the TCP retry.
 */
#define LISTEN_BACKLOG 1024

/**
 * lug_listen - make an HTTP server accept connections at an address
 * @server: HTTP server
 * @address: IP:PORT
 * @err: set on failure
 *
 * Return: FALSE when the address can't be bound.
 */
gboolean lug_listen(SoupServer *server, const char *address, GError **err)
{
	GSocketAddress *socket_address;
	GSocket *socket;
	char *host = NULL;
	guint port = 0;
	gboolean ok = FALSE;

	if (!lug_address_parse(address, &host, &port)) {
		g_set_error(err, G_IO_ERROR, G_IO_ERROR_INVALID_ARGUMENT, "not IP:PORT");
		return FALSE;
	}
	socket_address = g_inet_socket_address_new_from_string(host, port);
	g_free(host);
	socket = g_socket_new(g_socket_address_get_family(socket_address), G_SOCKET_TYPE_STREAM,
			      G_SOCKET_PROTOCOL_TCP, err);
	if (socket) {
		g_socket_set_listen_backlog(socket, LISTEN_BACKLOG);
		ok = g_socket_bind(socket, socket_address, TRUE, err) &&
		     g_socket_listen(socket, err) &&
		     soup_server_listen_socket(server, socket, 0, err);
		g_object_unref(socket);
	}
	g_object_unref(socket_address);
	return ok;
}
