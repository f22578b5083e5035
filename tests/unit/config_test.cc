#include "shard_fixture.h"

namespace
{
/* The operators' rows, read and watched by a process that owns no shard. */
struct ConfigTest : public testing::Test {
	FakeStore store;
	struct lug_ctx *ctx = test_context("w1");
	struct lug_config *config = nullptr;
	gint64 now_us = lug_now_us();

	void SetUp() override
	{
		struct lug_config_source source = {"op", "config", "evacuate/", make_queues};

		config = lug_config_new(ctx, &store.base, nullptr, &source);
	}

	void TearDown() override
	{
		lug_config_free(config);
		lug_ctx_free(ctx);
	}

	/* One call later than the retry of a failed one; the reads are answered. */
	void tick()
	{
		now_us += S;
		lug_config_tick(config, now_us);
		store.settle();
	}

	void answer_watch(const std::vector<struct lug_row> &rows, enum lug_status status = LUG_OK)
	{
		struct lug_watch_result result = {status, rows.data(), (guint)rows.size(),
						  store.revision};
		FakeStore::Watch watch;

		ASSERT_EQ(store.watches.size(), 1u);
		watch = store.watches.front();
		store.watches.pop_front();
		watch.fn(watch.data, &result);
	}

	struct lug_row change(const char *key, gboolean deleted)
	{
		return {const_cast<char *>(key), ++store.revision, nullptr, deleted};
	}

	guint count()
	{
		return lug_evacuation_count(lug_config_evacuation(config));
	}

	bool is_evacuated(const char *zone)
	{
		return lug_evacuation_contains(lug_config_evacuation(config), zone);
	}

	bool is_read()
	{
		return lug_evacuation_is_read(lug_config_evacuation(config));
	}

	static constexpr gint64 S = G_USEC_PER_SEC;
};

/* The value of such a row can't be read, as that of a deleted one; only the latter ends anything.
 */
TEST_F(ConfigTest, OnlyADeletedRowEndsAnEvacuation)
{
	store.put("op/config", "{\"version\":1}");
	store.put("op/evacuate/a", "not an object");
	tick();
	EXPECT_TRUE(is_read() && is_evacuated("a"));
	EXPECT_EQ(ctx->metrics->gauges[LUG_G_ZONES_EVACUATED], 1);
	tick();
	answer_watch({change("evacuate/b", FALSE), change("config", FALSE),
		      change("evacuated", FALSE), change("evacuate/", FALSE),
		      change("evacuate/a", FALSE)});
	EXPECT_TRUE(is_evacuated("a") && is_evacuated("b"));
	EXPECT_EQ(count(), 2u) << "other rows are no evacuations";
	tick();
	store.rows.erase("op/evacuate/a");
	store.put("op/evacuate/b", "{}");
	answer_watch({change("evacuate/a", TRUE), change("evacuate/b", TRUE)});
	EXPECT_TRUE(is_evacuated("a") && is_evacuated("b")) << "until the rows are read again";
	tick();
	EXPECT_FALSE(is_evacuated("a"));
	EXPECT_TRUE(is_evacuated("b"))
		<< "evacuated again, or deleted in another part of the table";
}

/* The first page names 100 zones; a change after it is reported only by a watch from there on. */
TEST_F(ConfigTest, AllPagesAreReadAndChangesMeanwhileAreWatched)
{
	gint64 version;

	store.put("op/config", "{\"version\":1}");
	for (int i = 0; i < 230; i++)
		store.put("op/evacuate/z" + std::to_string(i), "{}");
	version = store.revision;
	store.is_silent = true;
	tick();
	store.answer_next();
	EXPECT_FALSE(is_read());
	store.put("op/evacuate/a", "{}");
	store.is_silent = false;
	store.settle();
	EXPECT_TRUE(is_read());
	EXPECT_EQ(count(), 230u);
	tick();
	ASSERT_EQ(store.watches.size(), 1u);
	EXPECT_EQ(store.watches.front().after, version);
	EXPECT_NE(lug_config_queues(config), nullptr);
}

/* Before the first configuration there is no watch; evacuations have to be seen all the same. */
TEST_F(ConfigTest, ZonesAreReadWithoutAConfiguration)
{
	tick();
	EXPECT_TRUE(is_read());
	store.put("op/evacuate/a", "{}");
	tick();
	EXPECT_TRUE(is_evacuated("a"));
	store.rows.erase("op/evacuate/a");
	tick();
	EXPECT_FALSE(is_evacuated("a"));
}

TEST_F(ConfigTest, TheSetStaysInForceDuringAnOutageAndIsReadAfterIt)
{
	store.put("op/config", "{\"version\":1}");
	store.put("op/evacuate/a", "{}");
	store.put("op/evacuate/b", "{}");
	tick();
	tick();
	answer_watch({}, LUG_UNAVAILABLE);
	store.is_silent = true;
	for (int i = 0; i < 3; i++) {
		tick();
		EXPECT_FALSE(store.calls.empty());
		while (!store.calls.empty())
			store.answer_scan(store.take(), LUG_UNAVAILABLE);
		EXPECT_TRUE(is_evacuated("a"));
	}
	/* The deletion and the evacuation during the outage are reported by no watch. */
	store.rows.erase("op/evacuate/a");
	store.put("op/evacuate/c", "{}");
	store.is_silent = false;
	tick();
	EXPECT_FALSE(is_evacuated("a"));
	EXPECT_TRUE(is_evacuated("b") && is_evacuated("c"));
}

TEST_F(ConfigTest, TheSetIsReadAgainAfterItsHistoryWasDiscarded)
{
	store.put("op/config", "{\"version\":1}");
	store.put("op/evacuate/a", "{}");
	tick();
	tick();
	store.rows.erase("op/evacuate/a");
	store.put("op/evacuate/b", "{}");
	answer_watch({}, LUG_NOT_FOUND);
	EXPECT_TRUE(is_evacuated("a"));
	tick();
	EXPECT_FALSE(is_evacuated("a"));
	EXPECT_TRUE(is_evacuated("b"));
}

/* A row without key or version may be an evacuation, but must not stop all work for ever. */
TEST_F(ConfigTest, AnAnswerWithRowsThatCannotBeReadIsNotTrustedAtOnce)
{
	store.put("op/config", "{\"version\":1}");
	store.put("op/evacuate/a", "{}");
	tick();
	tick();
	store.base.skipped = 1;
	store.rows.erase("op/evacuate/a");
	answer_watch({});
	tick();
	tick();
	EXPECT_TRUE(is_evacuated("a"));
	tick();
	EXPECT_FALSE(is_evacuated("a"));
}

/* Incident configuration-late-at-an-entry: the configuration waited for all evacuated zones. */
TEST_F(ConfigTest, AConfigurationIsReadThoughTheReadOfZonesFails)
{
	store.put("op/config", "{\"version\":1}");
	store.is_silent = true;
	tick();
	while (!store.calls.empty()) {
		FakeStore::Call call = store.take();
		bool is_zones = call.prefix == "op/evacuate/";

		store.answer_scan(call, is_zones ? LUG_UNAVAILABLE : LUG_OK);
	}
	EXPECT_NE(lug_config_queues(config), nullptr);
	EXPECT_FALSE(is_read());
}

/* The same: a watch without an answer was waited for until its time-out. */
TEST_F(ConfigTest, AChangeIsReadWhileAWatchHasNoAnswer)
{
	store.put("op/config", "{\"version\":1}");
	tick();
	tick();
	ASSERT_EQ(store.watches.size(), 1u);
	store.put("op/config", "{\"version\":2}");
	tick();
	tick();
	EXPECT_EQ(lug_config_version(config), 2);
	EXPECT_EQ(store.watches.size(), 1u);
}

/* Pages of one read of the zones are answered before and after a read that finds no configuration.
 */
TEST_F(ConfigTest, ChangesDuringAReadOfZonesAreWatchedThoughNoConfigurationIsFound)
{
	gint64 version;

	for (int i = 0; i < 230; i++)
		store.put("op/evacuate/z" + std::to_string(i), "{}");
	version = store.revision;
	store.is_silent = true;
	tick();
	ASSERT_EQ(store.calls.size(), 2u);
	/* First page, no configuration, second page. */
	store.answer_next();
	store.answer_next();
	store.put("op/evacuate/a", "{}");
	store.put("op/config", "{\"version\":1}");
	store.is_silent = false;
	store.settle();
	EXPECT_TRUE(is_read());
	tick();
	tick();
	ASSERT_EQ(store.watches.size(), 1u);
	EXPECT_TRUE(store.watches.front().after <= version || is_evacuated("a"));
}

/* A configuration that peers pass on, and the table service's. */
struct ConfigOfPeersTest : public ConfigTest {
	struct lug_link *link = nullptr;

	static void ignore_message(void *data, const struct lug_route *route,
				   const Lug__Envelope *env)
	{
		(void)data;
		(void)route;
		(void)env;
	}

	void SetUp() override
	{
		struct lug_config_source source = {"op", "config", "evacuate/", make_queues};

		lug_ctx_free(ctx);
		ctx = test_context_with_address("w1");
		link = lug_link_new(ctx, ignore_message, nullptr, nullptr);
		ASSERT_NE(link, nullptr);
		config = lug_config_new(ctx, &store.base, link, &source);
	}

	void TearDown() override
	{
		lug_config_free(config);
		lug_link_free(link);
		lug_ctx_free(ctx);
	}

	void receive(guint64 version, const char *text)
	{
		struct lug_route route = {};
		Lug__TableBody body = LUG__TABLE_BODY__INIT;
		Lug__Envelope env = LUG__ENVELOPE__INIT;
		std::string copy = text;

		env.body_case = LUG__ENVELOPE__BODY_TABLE_BODY;
		env.table_body = &body;
		body.version = version;
		body.text = copy.data();
		EXPECT_TRUE(lug_config_handle_envelope(config, &route, &env, now_us));
	}
};

/* Versions only rise, whichever way they come. */
TEST_F(ConfigOfPeersTest, AnOlderVersionIsIgnoredFromPeersAndFromTheTableService)
{
	receive(3, "{\"version\":3}");
	EXPECT_EQ(lug_config_version(config), 3);
	receive(2, "{\"version\":2}");
	receive(9, "{\"version\":1}");
	receive(9, "[");
	receive(G_MAXUINT64, "{\"version\":4}");
	EXPECT_EQ(lug_config_version(config), 3);
	store.put("op/config", "{\"version\":2}");
	tick();
	EXPECT_EQ(lug_config_version(config), 3);
	store.put("op/config", "{\"version\":5}");
	now_us += 2 * S;
	tick();
	EXPECT_EQ(lug_config_version(config), 5);
}

} // namespace
