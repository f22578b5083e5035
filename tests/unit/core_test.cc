#include "lug.h"

extern "C" {
#include "core/arena.h"
#include "core/hlc.h"
#include "core/metrics.h"
#include "core/settings.h"
#include "core/units.h"
#include "timeline/timeline.h"
#include "wire/frame.h"
}

namespace
{
/* Eight lines, so a line appended to it is line 9. */
const std::string minimal_entry =
	"daemon: entry\nname: e\nregion: r\nzone: z\nhttp: 127.0.0.1:80\ninner: 127.0.0.1:81\n"
	"platform: {url: 'http://127.0.0.1:82'}\n"
	"tokens: [{token: s, role: operator}]\n";

std::string parse_problems(const std::string &text)
{
	GPtrArray *problems = g_ptr_array_new_with_free_func(g_free);
	struct lug_settings *settings = lug_settings_parse(text.data(), text.size(), "f", problems);
	std::string problems_text;

	EXPECT_EQ(settings == nullptr, problems->len > 0);
	for (guint i = 0; i < problems->len; i++)
		problems_text +=
			std::string(static_cast<char *>(g_ptr_array_index(problems, i))) + "\n";
	lug_settings_free(settings);
	g_ptr_array_unref(problems);
	return problems_text;
}

bool contains(const std::string &text, const char *part)
{
	return text.find(part) != std::string::npos;
}
} // namespace

TEST(Settings, MinimalFileGetsDefaults)
{
	GPtrArray *problems = g_ptr_array_new_with_free_func(g_free);
	struct lug_settings *settings =
		lug_settings_parse(minimal_entry.data(), minimal_entry.size(), "f", problems);

	ASSERT_NE(settings, nullptr);
	EXPECT_EQ(settings->platform_timeout_ms, 1000);
	EXPECT_EQ(settings->body_bytes, 1 << 20);
	EXPECT_STREQ(settings->advertise, "127.0.0.1:81");
	EXPECT_EQ(settings->tokens->len, 1u);
	lug_settings_free(settings);
	g_ptr_array_unref(problems);
}

TEST(Settings, TheEnvironmentGivesOptionalSettingsThatTheFileLeavesOut)
{
	const std::string agent = "daemon: queue-agent\nname: w\nregion: r\nzone: z\n"
				  "http: 127.0.0.1:80\ninner: 127.0.0.1:81\n"
				  "platform: {url: 'http://127.0.0.1:82'}\n"
				  "control: 127.0.0.1:83\nworker: {url: 'http://127.0.0.1:84'}\n";
	auto worker_lease_max_ms = [](const std::string &text) {
		GPtrArray *problems = g_ptr_array_new_with_free_func(g_free);
		struct lug_settings *settings =
			lug_settings_parse(text.data(), text.size(), "f", problems);
		gint64 value = settings ? settings->worker_lease_max_ms : -1;

		lug_settings_free(settings);
		g_ptr_array_unref(problems);
		return value;
	};

	EXPECT_EQ(worker_lease_max_ms(agent), 10000);
	g_setenv("CATKINLUG_LEASE_WORKER_MAX", "6000ms", TRUE);
	EXPECT_EQ(worker_lease_max_ms(agent), 6000);
	EXPECT_EQ(worker_lease_max_ms(agent + "lease: {worker_max: 8s}\n"), 8000);
	g_setenv("CATKINLUG_LEASE_WORKER_MAX", "6", TRUE);
	EXPECT_TRUE(contains(parse_problems(agent), "lease.worker_max"));
	g_setenv("CATKINLUG_LEASE_WORKER_MAX", "", TRUE);
	EXPECT_EQ(worker_lease_max_ms(agent), 10000) << "the platform does not state it";
	g_unsetenv("CATKINLUG_LEASE_WORKER_MAX");
}

TEST(Settings, ProblemsGiveFileLineFormAndRemedy)
{
	EXPECT_TRUE(contains(parse_problems(minimal_entry + "bogus: 1\n"),
			     "f:9: bogus: unknown key; remove it"));
	EXPECT_TRUE(contains(parse_problems(minimal_entry + "beat: 5\n"),
			     "f:9: beat: \"5\" is not accepted; write a "
			     "duration with its unit"));
	EXPECT_TRUE(contains(parse_problems(minimal_entry + "drain: 20h\n"), "out of range"));
	EXPECT_TRUE(contains(parse_problems(minimal_entry + "name: again\n"), "given twice"));
	EXPECT_TRUE(contains(parse_problems(minimal_entry + "request: {body: 1XB}\n"),
			     "a size with its unit"));
	EXPECT_TRUE(contains(parse_problems("daemon: entry\n"), "name: missing"));
	/* Deep nesting must not block the daemon. */
	gint64 start_us = g_get_monotonic_time();

	EXPECT_TRUE(contains(parse_problems("daemon: agent\nkeys: " + std::string(200000, '[')),
			     "nested deeper"));
	EXPECT_LT(g_get_monotonic_time() - start_us, G_USEC_PER_SEC);
	EXPECT_TRUE(contains(parse_problems("daemon: other\n"),
			     "write entry, agent, queue-entry or queue-agent"));
	EXPECT_TRUE(contains(parse_problems("a: [b\n"), "not YAML"));
	EXPECT_TRUE(contains(parse_problems("- a\n"), "one mapping"));
	EXPECT_TRUE(
		contains(parse_problems(minimal_entry + "worker: {url: 'http://127.0.0.1:1'}\n"),
			 "worker: unknown key"))
		<< "a key of another daemon";
}

TEST(Settings, ReportsAllProblemsAtOnce)
{
	std::string problems_text = parse_problems(minimal_entry + "bogus: 1\nbeat: 5\n");

	EXPECT_TRUE(contains(problems_text, "f:9: bogus"));
	EXPECT_TRUE(contains(problems_text, "f:10: beat"));
}

TEST(Settings, ReloadRefusesKeysThatNeedRestart)
{
	GPtrArray *problems = g_ptr_array_new_with_free_func(g_free);
	std::string changed_http = minimal_entry;
	std::string changed_log_level = minimal_entry + "log: {level: debug}\n";
	struct lug_error err = {};

	changed_http.replace(changed_http.find("127.0.0.1:80"), 12, "127.0.0.1:90");
	struct lug_settings *current =
		lug_settings_parse(minimal_entry.data(), minimal_entry.size(), "f", problems);
	struct lug_settings *with_http =
		lug_settings_parse(changed_http.data(), changed_http.size(), "f", problems);
	struct lug_settings *with_log_level = lug_settings_parse(
		changed_log_level.data(), changed_log_level.size(), "f", problems);

	EXPECT_FALSE(lug_settings_reloadable(current, with_http, &err));
	EXPECT_STREQ(err.msg, "http can't change live");
	EXPECT_TRUE(lug_settings_reloadable(current, with_log_level, &err));
	lug_settings_free(current);
	lug_settings_free(with_http);
	lug_settings_free(with_log_level);
	g_ptr_array_unref(problems);
}

TEST(Settings, AddressesOfPeersHaveAnExistingPort)
{
	EXPECT_TRUE(lug_address_is_peer("127.0.0.1:1"));
	EXPECT_TRUE(lug_address_is_peer("10.0.0.7:65535"));
	for (const char *text :
	     {"", "host:", "host:80", "127.0.0.1", "127.0.0.1:", "127.0.0.1:0", "127.0.0.1:65536",
	      "127.0.0.1:99999", "127.0.0.1:-1", "127.0.0.1:99999999999999999999", "127.0.0.1:80x",
	      "127.0.0.1\n:80", "::1:80", "[::1]:80", "127.0.0.1;1.2.3.4:80"})
		EXPECT_FALSE(lug_address_is_peer(text)) << text;
	EXPECT_FALSE(lug_address_is_peer(nullptr));
}

TEST(Units, ParsesUnitsAndRejectsMissingOnesNegativesAndOverflow)
{
	gint64 value = 0;

	EXPECT_TRUE(lug_duration_parse("1.5s", &value));
	EXPECT_EQ(value, 1500);
	EXPECT_FALSE(lug_duration_parse("5", &value));
	EXPECT_FALSE(lug_duration_parse("-5s", &value));
	EXPECT_FALSE(lug_size_parse("1e300GB", &value));
	EXPECT_TRUE(lug_cores_parse("0.5", &value));
	EXPECT_EQ(value, 500);
}

TEST(Hlc, StampsIncreaseWhenWallClocksLagOrStepBack)
{
	struct lug_hlc sender = {};
	struct lug_hlc receiver = {};
	guint64 sent_stamp = lug_hlc_now(&sender, 5000000);

	lug_hlc_observe(&receiver, sent_stamp, 4900000);
	EXPECT_GT(lug_hlc_now(&receiver, 4900000), sent_stamp);
	EXPECT_GT(lug_hlc_now(&sender, 1000000), sent_stamp) << "the clock was set back";
}

TEST(Hlc, IgnoresStampsFarInTheFuture)
{
	struct lug_hlc hlc = {};

	lug_hlc_observe(&hlc, G_MAXUINT64, 1000000);
	EXPECT_EQ(lug_hlc_wall_ms(lug_hlc_now(&hlc, 1000000)), 1000);
}

TEST(Histogram, QuantilesAreWithinResolution)
{
	struct lug_metrics *metrics = lug_metrics_new();
	struct lug_histogram *hist = &metrics->histograms[LUG_H_REQUEST_US];

	for (guint64 i = 1; i <= 10000; i++)
		lug_histogram_add(hist, i);
	EXPECT_NEAR(static_cast<double>(lug_histogram_quantile(hist, 0.5)), 5000, 5000 / 16.0);
	EXPECT_NEAR(static_cast<double>(lug_histogram_quantile(hist, 0.99)), 9900, 9900 / 16.0);
	/* A value beyond the covered range is counted in the last bucket. */
	lug_histogram_add(hist, G_MAXUINT64);
	lug_metrics_free(metrics);
}

TEST(Timeline, RequestsDoNotDisplaceOtherEvents)
{
	struct lug_hlc hlc = {};
	struct lug_timeline *timeline = lug_timeline_new(&hlc, 16);
	int seen = 0;

	lug_timeline_add(timeline, LUG_EV_LEASE_TAKEN, "lease", "%s", "");
	for (int i = 0; i < 100; i++)
		lug_timeline_add(timeline, LUG_EV_REQUEST_DONE, "r", "%d", i);
	lug_timeline_foreach(
		timeline, 0, "lease",
		[](const struct lug_event *event, void *data) {
			EXPECT_EQ(event->type, LUG_EV_LEASE_TAKEN);
			++*static_cast<int *>(data);
		},
		&seen);
	EXPECT_EQ(seen, 1);
	/* 100 request events in a ring of 16. */
	EXPECT_EQ(lug_timeline_overwritten(timeline), 84u);
	lug_timeline_free(timeline);
}

namespace
{
std::string pack_envelope(guint32 proto, const char *from)
{
	Lug__Envelope env = LUG__ENVELOPE__INIT;
	Lug__Poke poke = LUG__POKE__INIT;

	env.has_proto = 1;
	env.proto = proto;
	env.from = const_cast<char *>(from);
	env.body_case = LUG__ENVELOPE__BODY_POKE;
	env.poke = &poke;
	std::string out(lug__envelope__get_packed_size(&env), 0);
	lug__envelope__pack(&env, reinterpret_cast<uint8_t *>(&out[0]));
	return out;
}

bool is_decodable(const std::string &bytes)
{
	struct lug_arena *arena = lug_arena_new();
	bool ok = lug_frame_decode(bytes.data(), bytes.size(), arena, nullptr) != nullptr;

	lug_arena_free(arena);
	return ok;
}
} // namespace

TEST(Frame, AcceptsAdjacentProtocolVersionsOnly)
{
	EXPECT_TRUE(is_decodable(pack_envelope(LUG_PROTO_VERSION, "a")));
	EXPECT_TRUE(is_decodable(pack_envelope(LUG_PROTO_VERSION - 1, "a")));
	EXPECT_TRUE(is_decodable(pack_envelope(LUG_PROTO_VERSION + 1, "a")));
	EXPECT_FALSE(is_decodable(pack_envelope(LUG_PROTO_VERSION + 2, "a")));
	EXPECT_FALSE(is_decodable(pack_envelope(0, "a")));
	EXPECT_FALSE(is_decodable(pack_envelope(LUG_PROTO_VERSION, "")));
	EXPECT_FALSE(is_decodable(pack_envelope(LUG_PROTO_VERSION, std::string(100, 'x').c_str())));
}

TEST(Frame, DecodesTruncatedAndBitFlippedFramesSafely)
{
	std::string frame = pack_envelope(LUG_PROTO_VERSION, "agent");

	for (size_t i = 0; i < frame.size(); i++) {
		is_decodable(frame.substr(0, i));
		for (int bit = 0; bit < 8; bit++) {
			std::string flipped = frame;

			flipped[i] = static_cast<char>(flipped[i] ^ (1 << bit));
			is_decodable(flipped);
		}
	}
	EXPECT_FALSE(is_decodable("\xff\xff\xff\xff"));
}
