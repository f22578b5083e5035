/*
 * Fuzzing of what reads bytes from outside: the inner decoder, settings, the table of
 * weights and limits, jobs, and the platform's jobs, configuration and rows. The first byte chooses
 * the reader. libFuzzer drives it where clang is built in; `make fuzz` runs a fixed number of
 * inputs from a fixed seed.
 */
#include <string.h>

#include "core/settings.h"
#include "job/job.h"
#include "names.h"
#include "platform.h"
#include "team/limits.h"
#include "wire/frame.h"

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

static void read_frame(const uint8_t *data, size_t size)
{
	struct lug_arena *arena = lug_arena_new();

	lug_frame_decode(data, size, arena, NULL);
	lug_arena_free(arena);
}

static void read_settings(const uint8_t *data, size_t size)
{
	GPtrArray *problems = g_ptr_array_new_with_free_func(g_free);

	lug_settings_free(lug_settings_parse((const char *)data, size, "fuzz", problems));
	g_ptr_array_unref(problems);
}

static void read_limits(const uint8_t *data, size_t size)
{
	char *text = g_strndup((const char *)data, size);
	struct lug_limits *limits = lug_limits_parse(text, 1, NULL);

	if (limits) {
		char *formatted = lug_limits_format(limits);
		struct lug_limits *again = lug_limits_parse(formatted, 1, NULL);

		g_assert(again && again->teams->len == limits->teams->len);
		lug_limits_free(again);
		g_free(formatted);
	}
	lug_limits_free(limits);
	g_free(text);
}

static void read_job(const uint8_t *data, size_t size)
{
	JsonObject *body = lug_json_parse((const char *)data, (gssize)size, NULL);

	if (!body)
		return;
	lug_job_free(lug_job_from_request(body, NULL));
	json_object_unref(body);
}

static void read_platform_job(const uint8_t *data, size_t size)
{
	struct lug_error err = {0};
	struct lug_workflow *flow = platform_job_decode("00", "q", (const char *)data, size, &err);
	struct lug_workflow *again;
	char *text;

	if (!flow) {
		g_assert(*err.msg);
		return;
	}
	text = lug_workflow_encode(flow);
	again = lug_workflow_decode_text(flow->id, text);
	g_assert(again && lug_workflow_task_count(again) == lug_workflow_task_count(flow));
	lug_workflow_free(again);
	lug_workflow_free(flow);
	g_free(text);
}

static void read_queues(const uint8_t *data, size_t size)
{
	JsonObject *row = lug_json_parse((const char *)data, (gssize)size, NULL);

	if (!row)
		return;
	lug_queues_free(platform_queues_decode(row, NULL));
	json_object_unref(row);
}

static void read_rows(const uint8_t *data, size_t size)
{
	char *text = g_strndup((const char *)data, size);
	JsonObject *row = platform_value_decode(text);

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
	static void (*const readers[])(const uint8_t *data, size_t size) = {
		read_frame,	   read_settings, read_limits, read_job,
		read_platform_job, read_queues,	  read_rows};

	if (size)
		readers[data[0] % G_N_ELEMENTS(readers)](data + 1, size - 1);
	return 0;
}
