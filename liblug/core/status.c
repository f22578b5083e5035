#include "core/status.h"

#include <stdarg.h>

static const struct {
	const char *name;
	unsigned int http;
} statuses[LUG_STATUS_COUNT] = {
	[LUG_OK] = {"ok", 200},
	[LUG_BAD_INPUT] = {"bad_input", 400},
	[LUG_DENIED] = {"denied", 403},
	[LUG_NOT_FOUND] = {"not_found", 404},
	[LUG_CONFLICT] = {"conflict", 409},
	[LUG_TOO_LARGE] = {"too_large", 413},
	[LUG_OVER_LIMIT] = {"over_limit", 422},
	[LUG_NOT_RUN] = {"not_run", 503},
	[LUG_UNKNOWN] = {"outcome_unknown", 504},
	[LUG_UNAVAILABLE] = {"unavailable", 503},
	[LUG_TIMEOUT] = {"timeout", 504},
	[LUG_FENCED] = {"fenced", 409},
	[LUG_PROTOCOL] = {"protocol", 502},
	[LUG_INTERNAL] = {"internal", 500},
};

/**
 * lug_fail - fill in an error
 * @err: error to fill, may be NULL
 * @kind: kind of failure
 * @remedy: what the caller can do about it, may be NULL
 * @fmt: printf format of the message
 *
 * Return: @kind, so that callers can write "return lug_fail(...)".
 */
enum lug_status lug_fail(struct lug_error *err, enum lug_status kind, const char *remedy,
			 const char *fmt, ...)
{
	va_list ap;

	if (!err)
		return kind;
	err->kind = kind;
	va_start(ap, fmt);
	g_vsnprintf(err->msg, sizeof(err->msg), fmt, ap);
	va_end(ap);
	g_strlcpy(err->remedy, remedy ? remedy : "", sizeof(err->remedy));
	return kind;
}

/**
 * lug_status_name - name of a status kind in JSON, logs and metrics
 * @kind: status kind
 */
const char *lug_status_name(enum lug_status kind)
{
	return (unsigned int)kind < LUG_STATUS_COUNT ? statuses[kind].name : "invalid";
}

/**
 * lug_status_http - HTTP status code of a status kind
 * @kind: status kind
 */
unsigned int lug_status_http(enum lug_status kind)
{
	return (unsigned int)kind < LUG_STATUS_COUNT ? statuses[kind].http : 500;
}
