#include "lug.h"

#include <atomic>
#include <gio/gio.h>
#include <sys/socket.h>

extern "C" {
#include "http/http.h"
}

namespace
{
/* Server that answers the first request of each connection, and closes or resets it at the second.
 */
struct ClosingServer {
	GSocketService *service = g_threaded_socket_service_new(8);
	bool resets;
	std::string answer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}";
	std::atomic<int> requests{0};
	std::atomic<int> connections{0};
	std::string url;

	/* Reads one request, whose head and body may arrive apart; FALSE at the end of the stream.
	 */
	static bool read_request(GInputStream *input)
	{
		std::string text;
		char buffer[4096];

		while (text.size() < 6 || text.compare(text.size() - 6, 6, "\r\n\r\n{}") != 0) {
			gssize n = g_input_stream_read(input, buffer, sizeof(buffer), nullptr,
						       nullptr);

			if (n <= 0)
				return false;
			text.append(buffer, (size_t)n);
		}
		return true;
	}

	static gboolean serve(GThreadedSocketService *, GSocketConnection *connection, GObject *,
			      gpointer data)
	{
		auto *server = static_cast<ClosingServer *>(data);
		GIOStream *stream = G_IO_STREAM(connection);

		server->connections++;
		for (int i = 0; i < 2 && read_request(g_io_stream_get_input_stream(stream)); i++) {
			server->requests++;
			if (i == 0)
				g_output_stream_write_all(g_io_stream_get_output_stream(stream),
							  server->answer.c_str(),
							  server->answer.size(), nullptr, nullptr,
							  nullptr);
		}
		if (server->resets)
			reset(g_socket_connection_get_socket(connection));
		return TRUE;
	}

	static void reset(GSocket *socket)
	{
		struct linger none = {1, 0};

		setsockopt(g_socket_get_fd(socket), SOL_SOCKET, SO_LINGER, &none, sizeof(none));
	}

	explicit ClosingServer(bool resets_second) : resets(resets_second)
	{
		guint16 port = g_socket_listener_add_any_inet_port(G_SOCKET_LISTENER(service),
								   nullptr, nullptr);

		url = "http://127.0.0.1:" + std::to_string(port);
		g_signal_connect(service, "run", G_CALLBACK(serve), this);
		g_socket_service_start(service);
	}

	~ClosingServer()
	{
		g_socket_service_stop(service);
		g_object_unref(service);
	}
};

/* Posts a request and returns the status code of its answer, 0 for none. */
guint post(struct lug_http *http)
{
	struct lug_http_request request = {};
	int status = -1;

	request.method = "POST";
	request.path = "/";
	request.content_type = "application/json";
	request.body = "{}";
	request.len = 2;
	request.timeout_ms = 2000;
	request.idempotent = TRUE;
	lug_http_send(
		http, &request,
		[](void *data, const struct lug_http_answer *answer) {
			*static_cast<int *>(data) = (int)answer->http_status;
		},
		&status);
	while (status < 0)
		g_main_context_iteration(nullptr, TRUE);
	return (guint)status;
}

/*
 * Incident calls-to-a-former-incarnation: sent again, a call to a worker might reach its next
 * incarnation. The library sends only GET and the like again, whatever "idempotent" says.
 */
struct HttpPostTest : public testing::TestWithParam<bool> {
};

TEST_P(HttpPostTest, APostIsNotSentAgainWhenItsReusedConnectionEnds)
{
	ClosingServer server(GetParam());
	struct lug_http *http = lug_http_new(server.url.c_str(), nullptr, nullptr);

	EXPECT_EQ(post(http), 200u);
	EXPECT_EQ(post(http), 0u);
	EXPECT_EQ(server.requests, 2);
	EXPECT_EQ(server.connections, 1) << "the connection was not reused";
	lug_http_free(http);
}

INSTANTIATE_TEST_SUITE_P(Http, HttpPostTest, testing::Values(false, true),
			 [](const auto &variant) { return variant.param ? "Reset" : "Closed"; });
/* The library sends a misdirected request again, a POST without its body. */
TEST(HttpTest, AMisdirectedPostEndsWithItsFirstAnswer)
{
	ClosingServer server(false);
	struct lug_http *http = lug_http_new(server.url.c_str(), nullptr, nullptr);

	server.answer = "HTTP/1.1 421 Misdirected Request\r\nContent-Length: 2\r\n\r\n{}";
	EXPECT_EQ(post(http), 421u);
	EXPECT_EQ(server.connections, 1);
	EXPECT_EQ(post(http), 421u) << "the client takes further calls";
	lug_http_free(http);
}

/* Server that answers no request. */
struct SilentServer {
	GSocketService *service = g_threaded_socket_service_new(8);
	std::string url;

	static gboolean serve(GThreadedSocketService *, GSocketConnection *connection, GObject *,
			      gpointer)
	{
		GInputStream *input = g_io_stream_get_input_stream(G_IO_STREAM(connection));
		char buffer[4096];

		while (g_input_stream_read(input, buffer, sizeof(buffer), nullptr, nullptr) > 0)
			;
		return TRUE;
	}

	SilentServer()
	{
		guint16 port = g_socket_listener_add_any_inet_port(G_SOCKET_LISTENER(service),
								   nullptr, nullptr);

		url = "http://127.0.0.1:" + std::to_string(port);
		g_signal_connect(service, "run", G_CALLBACK(serve), nullptr);
		g_socket_service_start(service);
	}

	~SilentServer()
	{
		g_socket_service_stop(service);
		g_object_unref(service);
	}
};

/* Outcome of a call to a SilentServer. */
struct TimedCall {
	gint64 sent_us = g_get_monotonic_time();
	gint64 ended_us = 0;
	bool maybe_received = false;

	void send(struct lug_http *http, gint64 timeout_ms)
	{
		struct lug_http_request request = {};

		request.method = "GET";
		request.path = "/";
		request.timeout_ms = timeout_ms;
		request.idempotent = TRUE;
		lug_http_send(
			http, &request,
			[](void *data, const struct lug_http_answer *answer) {
				auto *call = static_cast<TimedCall *>(data);

				EXPECT_EQ(answer->http_status, 0u);
				call->ended_us = g_get_monotonic_time();
				call->maybe_received = answer->maybe_received;
			},
			this);
	}

	gint64 ms() const
	{
		return (ended_us - sent_us) / 1000;
	}
};

/* Incident configuration-late-at-an-entry: it ended with the calls that held the connections. */
TEST(HttpTest, ACallThatWaitsForAConnectionEndsAtItsTimeout)
{
	SilentServer server;
	struct lug_http *http = lug_http_new(server.url.c_str(), nullptr, nullptr);
	TimedCall holding[2];
	TimedCall waiting[2];

	lug_http_set_connections(http, 2);
	for (TimedCall &call : holding)
		call.send(http, 1500);
	for (TimedCall &call : waiting)
		call.send(http, 200);
	while (!holding[0].ended_us || !holding[1].ended_us || !waiting[0].ended_us ||
	       !waiting[1].ended_us)
		g_main_context_iteration(nullptr, TRUE);
	for (const TimedCall &call : waiting) {
		EXPECT_LT(call.ms(), 700);
		EXPECT_FALSE(call.maybe_received);
	}
	for (const TimedCall &call : holding) {
		EXPECT_GE(call.ms(), 1400);
		EXPECT_TRUE(call.maybe_received);
	}
	lug_http_free(http);
}

} // namespace
