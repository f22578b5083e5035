/*
 * HTTP server on the entry's HTTP library that does nothing but answer: `make bench-hop` compares
 * the entry with it. All answers have the same body, which is like that of the stand-in worker's
 * backend server.
 */
#include <libsoup/soup.h>

#include "http/listen.h"

static const char body[] =
	"{\"worker\":\"worker-01\",\"path\":\"/"
	"quote\",\"request\":\"663be10000000001\",\"bytes\":0,"
	"\"sha256\":\"e3b0c44298fc1c149afbf4c8996fb92427ae41e4649b934ca495991b7852b855\"}";

static void on_request(SoupServer *server, SoupServerMessage *msg, const char *path,
		       GHashTable *query, gpointer data)
{
	(void)server;
	(void)path;
	(void)query;
	(void)data;
	soup_server_message_set_status(msg, 200, NULL);
	soup_server_message_set_response(msg, "application/json", SOUP_MEMORY_STATIC, body,
					 sizeof(body) - 1);
}

int main(int argc, char **argv)
{
	SoupServer *server = soup_server_new(NULL, NULL);
	char *address;

	if (argc != 3) {
		g_printerr("usage: standin-bare IP PORT\n");
		return 2;
	}
	address = g_strconcat(argv[1], ":", argv[2], NULL);
	soup_server_add_handler(server, NULL, on_request, NULL, NULL);
	if (!lug_listen(server, address, NULL))
		return 1;
	g_main_loop_run(g_main_loop_new(NULL, FALSE));
	return 0;
}
