#include "lug.h"

extern "C" {
#include "http/listen.h"
}

/* No main loop runs, so the server accepts no connection and all have to fit in the backlog. */
TEST(Listen, BacklogHoldsBurstOfConnections)
{
	const int burst = 200;
	SoupServer *server = soup_server_new(nullptr, nullptr);
	GError *err = nullptr;
	std::vector<GSocket *> sockets;
	GSList *uris;
	int connected = 0;

	ASSERT_TRUE(lug_listen(server, "127.0.0.1:0", &err)) << err->message;
	uris = soup_server_get_uris(server);
	GSocketAddress *address = g_inet_socket_address_new_from_string(
		"127.0.0.1", static_cast<guint>(g_uri_get_port(static_cast<GUri *>(uris->data))));
	for (int i = 0; i < burst; i++) {
		GSocket *socket = g_socket_new(G_SOCKET_FAMILY_IPV4, G_SOCKET_TYPE_STREAM,
					       G_SOCKET_PROTOCOL_TCP, nullptr);

		g_socket_set_blocking(socket, FALSE);
		g_socket_connect(socket, address, nullptr, nullptr);
		sockets.push_back(socket);
	}
	for (GSocket *socket : sockets) {
		/* G_IO_OUT without G_IO_ERR or G_IO_HUP: the connection is established. */
		connected += g_socket_condition_check(socket, G_IO_OUT) == G_IO_OUT;
		g_object_unref(socket);
	}
	EXPECT_EQ(connected, burst);
	g_slist_free_full(uris, reinterpret_cast<GDestroyNotify>(g_uri_unref));
	g_object_unref(address);
	g_object_unref(server);
}
