/*
 * Fuzz targets for the decoders of external input: frames of internal connections, settings,
 * the table of weights and limits, jobs, the platform's jobs, configuration and rows, JSON texts
 * and addresses of peers. The first byte of an input selects the target. Builds with clang use
 * libFuzzer. `make fuzz` runs a fixed number of inputs with a fixed seed.
 */
#include <string.h>

#include "core/settings.h"
#include "job/job.h"
#include "encoding.h"
#include "platform.h"
#include "team/limits.h"
#include "wire/frame.h"

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

static void fuzz_frame(const uint8_t *data, size_t size)
{
	struct lug_arena *arena = lug_arena_new();

	lug_frame_decode(data, size, arena, NULL);
	lug_arena_free(arena);
}

static void fuzz_settings(const uint8_t *data, size_t size)
{
	GPtrArray *problems = g_ptr_array_new_with_free_func(g_free);

	lug_settings_free(lug_settings_parse((const char *)data, size, "fuzz", problems));
	g_ptr_array_unref(problems);
}

static void fuzz_limits(const uint8_t *data, size_t size)
{
	char *text = g_strndup((const char *)data, size);
	struct lug_limits *limits = lug_limits_parse(text, 1, NULL);

	if (limits) {
		char *formatted = lug_limits_format(limits);
		struct lug_limits *decoded = lug_limits_parse(formatted, 1, NULL);

		g_assert(decoded && decoded->teams->len == limits->teams->len);
		lug_limits_free(decoded);
		g_free(formatted);
	}
	lug_limits_free(limits);
	g_free(text);
}

/* What is accepted is nested within the bound, and a list without odd values is kept as it is. */
static void fuzz_json(const uint8_t *data, size_t size)
{
	JsonObject *object = lug_json_parse((const char *)data, (gssize)size, NULL);
	guint n_replaced = 0;
	JsonObject *list = lug_json_parse_list((const char *)data, size, &n_replaced, NULL);
	JsonObject *again;
	char *text;

	g_assert(!object || (list && !n_replaced));
	if (list) {
		/* All that is left of a list is accepted. */
		text = lug_json_text(list);
		again = lug_json_parse(text, -1, NULL);
		g_assert(again);
		json_object_unref(again);
		json_object_unref(list);
		g_free(text);
	}
	if (object)
		json_object_unref(object);
}

static void fuzz_address(const uint8_t *data, size_t size)
{
	char *text = g_strndup((const char *)data, size);

	g_assert(!lug_address_is_peer(text) || lug_address_parse(text, NULL, NULL));
	g_free(text);
}

static void fuzz_job(const uint8_t *data, size_t size)
{
	JsonObject *body = lug_json_parse((const char *)data, (gssize)size, NULL);

	if (!body)
		return;
	lug_job_free(lug_job_from_request(body, NULL));
	json_object_unref(body);
}

static void fuzz_platform_job(const uint8_t *data, size_t size)
{
	struct lug_error err = {0};
	struct lug_workflow *workflow =
		platform_workflow_decode("00", "q", (const char *)data, size, &err);
	struct lug_workflow *decoded;
	char *text;

	if (!workflow) {
		g_assert(*err.msg);
		return;
	}
	text = lug_workflow_encode(workflow);
	decoded = lug_workflow_decode_text(workflow->id, text);
	g_assert(decoded && lug_workflow_task_count(decoded) == lug_workflow_task_count(workflow));
	lug_workflow_free(decoded);
	lug_workflow_free(workflow);
	g_free(text);
}

static void fuzz_queues(const uint8_t *data, size_t size)
{
	JsonObject *row = lug_json_parse((const char *)data, (gssize)size, NULL);

	if (!row)
		return;
	lug_queues_free(platform_queues_decode(row, NULL));
	json_object_unref(row);
}

static void fuzz_rows(const uint8_t *data, size_t size)
{
	char *text = g_strndup((const char *)data, size);
	JsonObject *row = platform_value_decode(text, NULL);

	if (row)
		json_object_unref(row);
	row = lug_json_parse((const char *)data, (gssize)size, NULL);
	if (row) {
		lug_workflow_free(lug_workflow_decode("00", row));
		json_object_unref(row);
	}
	g_free(text);
}

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	static void (*const targets[])(const uint8_t *data, size_t size) = {
		fuzz_frame,  fuzz_settings, fuzz_limits, fuzz_job,    fuzz_platform_job,
		fuzz_queues, fuzz_rows,	    fuzz_json,	 fuzz_address};

	if (size)
		targets[data[0] % G_N_ELEMENTS(targets)](data + 1, size - 1);
	return 0;
}
