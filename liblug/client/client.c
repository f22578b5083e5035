#include "client/client.h"

#include <libsoup/soup.h>
#include <string.h>

#define CALL_TIMEOUT_S 15

static SoupMessage *message_new(const struct lug_client *client, const char *url,
				const struct lug_client_call *call)
{
	char *full_url = g_strconcat(url, call->path, NULL);
	SoupMessage *msg = soup_message_new(call->method, full_url);
	SoupMessageHeaders *headers;
	char *text;

	g_free(full_url);
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
 * lug_client_send - send a call to the first entry; a GET also to the next ones until one answers
 * @client: client
 * @call: call
 * @http: receives the HTTP status code, 0 when no entry answered
 *
 * Return: body of the answer, owned by the caller, or NULL without a JSON body.
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
 * lug_client_get_from - send a GET to one given entry
 * @client: client
 * @url: URL of the entry
 * @path: path with query
 * @http: receives the HTTP status code, 0 when the entry did not answer
 *
 * Return: body of the answer, owned by the caller, or NULL without a JSON body.
 */
JsonObject *lug_client_get_from(const struct lug_client *client, const char *url, const char *path,
				guint *http)
{
	struct lug_client_call call = {.method = "GET", .path = path, .if_match = -1};

	return send_to(client, url, &call, http);
}

/**
 * lug_client_report_error - print why a call failed
 * @client: client
 * @http: HTTP status code, 0 when no entry answered
 * @body: body of the answer, may be NULL
 *
 * Return: exit code for the kind of failure.
 */
int lug_client_report_error(const struct lug_client *client, guint http, JsonObject *body)
{
	if (!http) {
		fprintf(client->err, "catkinlug: no entry answered; set one with --entry URL or "
				     "CATKINLUG_ENTRY\n");
		return LUG_EXIT_FAILURE;
	}
	fprintf(client->err, "catkinlug: %s\n",
		lug_json_str(body, "message", "unexpected answer from the entry"));
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
		return LUG_EXIT_DENIED;
	case 404:
		return LUG_EXIT_NOT_FOUND;
	case 409:
		return LUG_EXIT_CONFLICT;
	case 504:
		return LUG_EXIT_OUTCOME_UNKNOWN;
	default:
		return LUG_EXIT_FAILURE;
	}
}

/**
 * lug_client_get - send a GET to the entries and print a failure
 * @client: client
 * @path: path with query
 * @exit_code: set when NULL is returned
 *
 * Return: body of the answer, owned by the caller, or NULL on failure.
 */
JsonObject *lug_client_get(const struct lug_client *client, const char *path, int *exit_code)
{
	struct lug_client_call call = {.method = "GET", .path = path, .if_match = -1};
	guint http;
	JsonObject *body = lug_client_send(client, &call, &http);

	if (http == 200 && body)
		return body;
	*exit_code = lug_client_report_error(client, http, body);
	if (body)
		json_object_unref(body);
	return NULL;
}

/**
 * lug_client_print - print an answer as JSON
 * @client: client
 * @obj: answer; released by this function
 *
 * Return: LUG_EXIT_SUCCESS.
 */
int lug_client_print(const struct lug_client *client, JsonObject *obj)
{
	char *text = lug_json_pretty(obj);

	fprintf(client->out, "%s\n", text);
	g_free(text);
	json_object_unref(obj);
	return LUG_EXIT_SUCCESS;
}
