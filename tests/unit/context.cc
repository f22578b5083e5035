#include "fake_store.h"

/* Context of an agent, with a fixed random seed. Owned by the caller. */
struct lug_ctx *test_context(const char *name)
{
	std::string text = "daemon: agent\nname: " + std::string(name) +
			   "\nregion: r\nzone: z\nhttp: 127.0.0.1:1\ninner: 127.0.0.1:2\n"
			   "platform: {url: 'http://127.0.0.1:3'}\nentries: ['127.0.0.1:4']\n"
			   "service: {name: s, url: 'http://127.0.0.1:5'}\n"
			   "worker: {url: 'http://127.0.0.1:6'}\nlog: {level: error}\n";
	GPtrArray *problems = g_ptr_array_new_with_free_func(g_free);
	struct lug_settings *settings =
		lug_settings_parse(text.c_str(), text.size(), "test", problems);
	struct lug_ctx *ctx;

	g_ptr_array_unref(problems);
	ctx = lug_ctx_new(settings, stderr);
	g_rand_set_seed(ctx->rng, 7);
	return ctx;
}

/*
 * Context of a queue agent that accepts internal connections on a free port (0 in the settings),
 * with a fixed random seed. Owned by the caller.
 */
struct lug_ctx *test_context_with_address(const char *name)
{
	std::string text = "daemon: queue-agent\nname: " + std::string(name) +
			   "\nregion: r\nzone: z\nhttp: 127.0.0.1:1\ninner: 127.0.0.1:0\n"
			   "platform: {url: 'http://127.0.0.1:3'}\ncontrol: 127.0.0.1:4\n"
			   "worker: {url: 'http://127.0.0.1:6'}\nlog: {level: error}\n"
			   "lease: {worker: 6s, queue: 8s}\nbeat: 400ms\n";
	GPtrArray *problems = g_ptr_array_new_with_free_func(g_free);
	struct lug_settings *settings =
		lug_settings_parse(text.c_str(), text.size(), "test", problems);
	struct lug_ctx *ctx;

	g_ptr_array_unref(problems);
	ctx = lug_ctx_new(settings, stderr);
	g_rand_set_seed(ctx->rng, 7);
	return ctx;
}
