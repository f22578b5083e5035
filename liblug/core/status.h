#ifndef LUG_CORE_STATUS_H
#define LUG_CORE_STATUS_H

#include <glib.h>

/**
 * enum lug_status - status kinds shared by all modules
 * @LUG_OK: success
 * @LUG_BAD_INPUT: the input is malformed
 * @LUG_DENIED: the caller lacks permission
 * @LUG_NOT_FOUND: the named object does not exist
 * @LUG_CONFLICT: a compare-and-set failed because of another writer
 * @LUG_TOO_LARGE: the input exceeds a size limit
 * @LUG_OVER_LIMIT: a team's limit or a worker's capacity would be exceeded
 * @LUG_NOT_RUN: the request was not run
 * @LUG_UNKNOWN: outcome unknown: the request may or may not have run
 * @LUG_UNAVAILABLE: a dependency can't be reached
 * @LUG_TIMEOUT: the deadline expired
 * @LUG_FENCED: another process holds the lease that the operation needs
 * @LUG_PROTOCOL: a peer sent an invalid message
 * @LUG_INTERNAL: an internal error
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

/* Sizes in bytes, with the NUL. */
#define LUG_ERROR_MSG_SIZE 320
#define LUG_ERROR_REMEDY_SIZE 240

/**
 * struct lug_error - description of a failure
 * @kind: kind of failure
 * @msg: one sentence that names the rejected value
 * @remedy: what the caller can do about it, "" for nothing
 */
struct lug_error {
	enum lug_status kind;
	char msg[LUG_ERROR_MSG_SIZE];
	char remedy[LUG_ERROR_REMEDY_SIZE];
};

enum lug_status lug_fail(struct lug_error *err, enum lug_status kind, const char *remedy,
			 const char *fmt, ...) G_GNUC_PRINTF(4, 5);
const char *lug_status_name(enum lug_status kind);
unsigned int lug_status_http(enum lug_status kind);

#endif
