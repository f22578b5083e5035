#include "client/client.h"

#include <libsoup/soup.h>
#include <string.h>

#define CALL_TIMEOUT_S 15

static SoupMessage *message_new(const struct lug_client *client, const char *url,
				const struct lug_client_call *call)
{
	char *full = g_strconcat(url, call->path, NULL);
	SoupMessage *msg = soup_message_new(call->method, full);
	SoupMessageHeaders *headers;
	char *text;

	g_free(full);
	if (!msg)
		return NULL;
	headers = soup_message_get_request_headers(msg);
	if (client->token) {
		text = g_strconcat("Bearer ", client->token, NULL);
		soup_message_headers_replace(headers, "Authorization", text);
		g_free(text);
	}
	if (call->if_match >= 0) {
		text = g_strdup_printf("%" G_GINT64_FORMAT, call->if_match);
		soup_message_headers_replace(headers, "If-Match", text);
		g_free(text);
	}
	if (call->operator_name)
		soup_message_headers_replace(headers, "X-Operator", call->operator_name);
	if (call->body) {
		GBytes *bytes = g_bytes_new(call->body, strlen(call->body));

		soup_message_set_request_body_from_bytes(msg, call->type, bytes);
		g_bytes_unref(bytes);
	}
	return msg;
}

static JsonObject *send_to(const struct lug_client *client, const char *url,
			   const struct lug_client_call *call, guint *http)
{
	SoupSession *session = soup_session_new_with_options("timeout", CALL_TIMEOUT_S, NULL);
	SoupMessage *msg = message_new(client, url, call);
	JsonObject *body = NULL;
	GBytes *bytes = NULL;

	*http = 0;
	if (msg) {
		soup_message_add_flags(msg, SOUP_MESSAGE_NO_REDIRECT);
		bytes = soup_session_send_and_read(session, msg, NULL, NULL);
	}
	if (bytes) {
		*http = soup_message_get_status(msg);
		body = lug_json_parse(g_bytes_get_data(bytes, NULL),
				      (gssize)g_bytes_get_size(bytes), NULL);
		g_bytes_unref(bytes);
	}
	if (msg)
		g_object_unref(msg);
	g_object_unref(session);
	return body;
}

/**
 * lug_client_send - call an entry, the next one when it can't be reached
 * @client: client
 * @call: call; only reads are repeated at another entry
 * @http: status code, 0 when no entry answered
 *
 * Return: body of the answer, owned by the caller, or NULL.
 */
JsonObject *lug_client_send(const struct lug_client *client, const struct lug_client_call *call,
			    guint *http)
{
	*http = 0;
	for (char **url = client->entries; url && *url; url++) {
		JsonObject *body = send_to(client, *url, call, http);

		if (*http || strcmp(call->method, "GET") != 0)
			return body;
	}
	return NULL;
}

/**
 * lug_client_get_at - read from one certain entry
 */
JsonObject *lug_client_get_at(const struct lug_client *client, const char *url, const char *path,
			      guint *http)
{
	struct lug_client_call call = {.method = "GET", .path = path, .if_match = -1};

	return send_to(client, url, &call, http);
}

/**
 * lug_client_problem - print why a call failed
 * @client: client
 * @http: status code
 * @body: body of the answer, may be NULL
 *
 * Return: exit code that tells the kind of failure.
 */
int lug_client_problem(const struct lug_client *client, guint http, JsonObject *body)
{
	if (!http) {
		fprintf(client->err, "catkinlug: no entry answers; name one with --entry URL or "
				     "CATKINLUG_ENTRY\n");
		return LUG_EXIT_UNDONE;
	}
	fprintf(client->err, "catkinlug: %s\n",
		lug_json_str(body, "message", "the answer is not understood"));
	if (*lug_json_str(body, "remedy", ""))
		fprintf(client->err, "catkinlug: remedy: %s\n", lug_json_str(body, "remedy", ""));
	switch (http) {
	case 400:
	case 411:
	case 413:
	case 422:
		return LUG_EXIT_USAGE;
	case 401:
	case 403:
		return LUG_EXIT_NOT_ALLOWED;
	case 404:
		return LUG_EXIT_MISSING;
	case 409:
		return LUG_EXIT_RACE;
	case 504:
		return LUG_EXIT_UNSURE;
	default:
		return LUG_EXIT_UNDONE;
	}
}

/**
 * lug_client_get - read from an entry, print a failure
 * @client: client
 * @path: path with query
 * @exit_code: set when NULL is returned
 */
JsonObject *lug_client_get(const struct lug_client *client, const char *path, int *exit_code)
{
	struct lug_client_call call = {.method = "GET", .path = path, .if_match = -1};
	guint http;
	JsonObject *body = lug_client_send(client, &call, &http);

	if (http == 200 && body)
		return body;
	*exit_code = lug_client_problem(client, http, body);
	if (body)
		json_object_unref(body);
	return NULL;
}

/**
 * lug_client_print - print an answer as JSON
 * @client: client
 * @obj: answer, released
 *
 * Return: LUG_EXIT_DONE.
 */
int lug_client_print(const struct lug_client *client, JsonObject *obj)
{
	char *text = lug_json_pretty(obj);

	fprintf(client->out, "%s\n", text);
	g_free(text);
	json_object_unref(obj);
	return LUG_EXIT_DONE;
}
