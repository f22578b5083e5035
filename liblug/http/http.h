#ifndef LUG_HTTP_HTTP_H
#define LUG_HTTP_HTTP_H

#include <glib.h>

/**
 * struct lug_http_request - HTTP request to send
 * @method: method
 * @path: path with query
 * @content_type: type of @body, may be NULL
 * @body: body, copied, may be NULL
 * @len: bytes in @body
 * @timeout_ms: time after which the request is cancelled
 * @headers: alternating names and values, NULL-terminated, may be NULL
 * @idempotent: the request may be sent twice; only such requests reuse connections, since a
 *              reused connection may close during the call
 */
struct lug_http_request {
	const char *method;
	const char *path;
	const char *content_type;
	const void *body;
	gsize len;
	gint64 timeout_ms;
	const char *const *headers;
	gboolean idempotent;
};

/**
 * struct lug_http_answer - answer to a request
 * @http_status: status code, 0 without a complete answer
 * @maybe_received: FALSE if the server did not receive the request, TRUE if it may have
 * @body: body, valid during the callback
 * @len: bytes in @body
 * @content_type: type of @body or ""
 */
struct lug_http_answer {
	guint http_status;
	gboolean maybe_received;
	const char *body;
	gsize len;
	const char *content_type;
};

typedef void (*lug_http_fn)(void *data, const struct lug_http_answer *answer);

/**
 * struct lug_http - client of one HTTP server
 */
struct lug_http;

struct lug_http *lug_http_new(const char *base_url, const char *source,
			      void (*free_data)(void *data));
void lug_http_free(struct lug_http *http);
void lug_http_set_connections(struct lug_http *http, guint connections);
void lug_http_send(struct lug_http *http, const struct lug_http_request *request, lug_http_fn fn,
		   void *data);

#endif
