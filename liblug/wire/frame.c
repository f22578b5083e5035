#include "wire/frame.h"

#include <string.h>

static void *arena_alloc_fn(void *data, size_t size)
{
	return lug_arena_alloc(data, size);
}

static void arena_free_fn(void *data, void *ptr)
{
	(void)data;
	(void)ptr;
}

/**
 * lug_frame_decode - decode and check an envelope
 * @data: encoded envelope
 * @len: length of @data, bytes
 * @arena: owns the decoded envelope
 * @err: set on failure, may be NULL
 *
 * Return: the envelope, or NULL with LUG_PROTOCOL when the bytes are malformed, the
 * version is not supported, or the name of the sender is missing or too long.
 */
Lug__Envelope *lug_frame_decode(const void *data, gsize len, struct lug_arena *arena,
				struct lug_error *err)
{
	ProtobufCAllocator allocator = {arena_alloc_fn, arena_free_fn, arena};
	Lug__Envelope *env = lug__envelope__unpack(&allocator, len, data);

	if (!env) {
		lug_fail(err, LUG_PROTOCOL, "check the peer's release", "malformed envelope");
		return NULL;
	}
	if (env->proto < LUG_PROTO_OLDEST || env->proto > LUG_PROTO_VERSION + 1) {
		lug_fail(err, LUG_PROTOCOL, "run neighbouring releases side by side only",
			 "protocol version %u is not supported", env->proto);
		return NULL;
	}
	if (!env->from || !*env->from || strlen(env->from) > LUG_NAME_MAX) {
		lug_fail(err, LUG_PROTOCOL, "check the peer's settings", "envelope without a name");
		return NULL;
	}
	return env;
}

/**
 * lug_envelope_is_request_or_reply - check whether an envelope carries a request or a reply
 * @env: envelope
 *
 * Return: FALSE for control messages.
 */
gboolean lug_envelope_is_request_or_reply(const Lug__Envelope *env)
{
	return env->body_case == LUG__ENVELOPE__BODY_REQUEST ||
	       env->body_case == LUG__ENVELOPE__BODY_REPLY;
}
