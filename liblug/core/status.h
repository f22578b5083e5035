#ifndef LUG_CORE_STATUS_H
#define LUG_CORE_STATUS_H

#include <glib.h>

/**
 * enum lug_status - kinds of failure shared by every module
 * @LUG_OK: success
 * @LUG_BAD_INPUT: the caller's input is malformed
 * @LUG_DENIED: the caller may not do this
 * @LUG_NOT_FOUND: the named thing does not exist
 * @LUG_CONFLICT: a compare-and-set lost against another writer
 * @LUG_TOO_LARGE: a size bound was passed
 * @LUG_OVER_LIMIT: a team's limit or a worker's capacity was passed
 * @LUG_NOT_RUN: the request was certainly not run
 * @LUG_UNKNOWN: the request may or may not have run
 * @LUG_UNAVAILABLE: a dependency can't be reached now
 * @LUG_TIMEOUT: the deadline passed
 * @LUG_FENCED: the lease behind the operation is held by another
 * @LUG_PROTOCOL: a peer sent something invalid
 * @LUG_INTERNAL: a fault of this program
 */
enum lug_status {
	LUG_OK,
	LUG_BAD_INPUT,
	LUG_DENIED,
	LUG_NOT_FOUND,
	LUG_CONFLICT,
	LUG_TOO_LARGE,
	LUG_OVER_LIMIT,
	LUG_NOT_RUN,
	LUG_UNKNOWN,
	LUG_UNAVAILABLE,
	LUG_TIMEOUT,
	LUG_FENCED,
	LUG_PROTOCOL,
	LUG_INTERNAL,
	LUG_STATUS_COUNT,
};

#define LUG_ERROR_MSG_MAX 320
#define LUG_ERROR_REMEDY_MAX 240

/**
 * struct lug_error - a status kind with its last message and the remedy
 * @kind: what went wrong
 * @msg: one sentence naming the offending value
 * @remedy: what the reader can do about it
 */
struct lug_error {
	enum lug_status kind;
	char msg[LUG_ERROR_MSG_MAX];
	char remedy[LUG_ERROR_REMEDY_MAX];
};

enum lug_status lug_fail(struct lug_error *err, enum lug_status kind, const char *remedy,
			 const char *fmt, ...) G_GNUC_PRINTF(4, 5);
const char *lug_status_name(enum lug_status kind);
unsigned int lug_status_http(enum lug_status kind);

#endif
