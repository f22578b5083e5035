#include "fake_store.h"
#include "lug.h"

extern "C" {
#include "workflow/shard_map.h"
}

namespace
{
struct ShardMapTest : public ::testing::Test {
	struct lug_ctx *ctx = test_context("a");
	FakeStore store;
	struct lug_shard_map *map = lug_shard_map_new(ctx, &store.base, 2, nullptr, nullptr);

	~ShardMapTest() override
	{
		lug_shard_map_free(map);
		lug_ctx_free(ctx);
	}

	std::string address(guint32 shard) const
	{
		return lug_shard_map_owner(map, shard)->address;
	}

	/* Answers the watch in flight with one row. */
	void watch_row(const char *key, const char *data)
	{
		struct lug_row row = {const_cast<char *>(key), ++store.revision,
				      lug_json_parse(data, -1, nullptr), FALSE};
		struct lug_watch_result result = {LUG_OK, &row, 1, row.version};

		lug_shard_map_tick(map, lug_now_us());
		ASSERT_EQ(store.watches.size(), 1u);
		FakeStore::Watch watch = store.watches.front();
		store.watches.pop_front();
		watch.fn(watch.data, &result);
		g_clear_pointer(&row.data, json_object_unref);
	}
};

TEST_F(ShardMapTest, OwnerOfALaterEpochIsNotReplacedByAnEarlierOne)
{
	lug_shard_map_update(map, 0, 5, "127.0.0.1:1");
	/* The owner of epoch 6 remained unknown. */
	lug_shard_map_update(map, 0, 7, "127.0.0.1:1");
	EXPECT_FALSE(lug_shard_map_update(map, 0, 6, "127.0.0.1:2"));
	EXPECT_TRUE(lug_shard_map_is_owner(map, 0, 7, "127.0.0.1:1"));
}

TEST_F(ShardMapTest, OnlyTheReleaseOfTheSameEpochRemovesAnOwner)
{
	lug_shard_map_update(map, 0, 5, "127.0.0.1:1");
	EXPECT_FALSE(lug_shard_map_update(map, 0, 4, ""));
	EXPECT_FALSE(lug_shard_map_update(map, 0, 5, "127.0.0.1:2"));
	EXPECT_TRUE(lug_shard_map_update(map, 0, 5, ""));
	EXPECT_FALSE(lug_shard_map_is_owner(map, 0, 5, "127.0.0.1:1"));
}

TEST_F(ShardMapTest, OddRowsNeitherReplaceAnOwnerNorHideTheNext)
{
	const char *const odd[] = {"{\"epoch\":9,\"address\":\"127.0.0.1:99999\"}",
				   "{\"epoch\":9,\"address\":\"host:\"}",
				   "{\"epoch\":9,\"address\":\"127.0.0.1:0\"}",
				   "{\"epoch\":9,\"address\":\"::1:80\"}",
				   "{\"epoch\":9,\"address\":[]}",
				   "{\"epoch\":9}",
				   "{\"epoch\":9223372036854775807,\"address\":\"127.0.0.1:9\"}",
				   "{\"epoch\":-1,\"address\":\"127.0.0.1:9\"}",
				   "{\"epoch\":\"x\",\"address\":\"127.0.0.1:9\"}",
				   "{\"epoch\":1e300,\"address\":\"127.0.0.1:9\"}",
				   "not JSON"};

	store.put("0|owner/0", "{\"epoch\":1,\"address\":\"127.0.0.1:7\"}");
	lug_shard_map_tick(map, lug_now_us());
	store.settle();
	ASSERT_EQ(address(0), "127.0.0.1:7");
	for (const char *data : odd) {
		watch_row("0", data);
		EXPECT_EQ(address(0), "127.0.0.1:7") << data;
	}
	/* Keys that are no shard, though they begin like one. */
	for (const char *key : {"", "x", "0x", "0 ", "-0", "4294967296", "2"})
		watch_row(key, "{\"epoch\":3,\"address\":\"127.0.0.1:8\"}");
	EXPECT_EQ(address(0), "127.0.0.1:7");
	watch_row("0", "{\"epoch\":2,\"address\":\"127.0.0.1:6\"}");
	EXPECT_EQ(address(0), "127.0.0.1:6");
	watch_row("0", "{\"epoch\":2,\"address\":\"\"}");
	EXPECT_EQ(address(0), "") << "released";
}

/* Two shards whose owners have been read, or of which one can't be read. */
struct ShardMapReadTest : public testing::Test {
	FakeStore store;
	struct lug_ctx *ctx = test_context_with_address("agent");
	struct lug_shard_map *map = nullptr;

	void SetUp() override
	{
		store.put("0|owner/0", "{\"epoch\":1,\"address\":\"127.0.0.1:1\"}");
		store.put("1|owner/1", "{\"epoch\":1,\"address\":\"127.0.0.1:2\"}");
		map = lug_shard_map_new(ctx, &store.base, 2, nullptr, nullptr);
		lug_shard_map_tick(map, lug_now_us());
		store.settle();
		ASSERT_TRUE(lug_shard_map_is_known(map));
		lug_shard_map_tick(map, lug_now_us());
		ASSERT_EQ(store.watches.size(), 1u);
	}

	void TearDown() override
	{
		lug_shard_map_free(map);
		lug_ctx_free(ctx);
	}
};

TEST_F(ShardMapReadTest, KnownOwnersStayKnownWhileAPartOfTheTableServiceCannotBeReadAgain)
{
	struct lug_watch_result dropped = {};
	FakeStore::Watch watch = store.watches.front();

	dropped.status = LUG_NOT_FOUND;
	store.watches.pop_front();
	watch.fn(watch.data, &dropped);
	lug_shard_map_tick(map, lug_now_us() + G_USEC_PER_SEC);
	ASSERT_FALSE(store.calls.empty());
	store.answer_scan(store.take());
	ASSERT_FALSE(store.calls.empty());
	store.answer_scan(store.take(), LUG_UNAVAILABLE);
	/* Readiness and the takeover of every shard depend on it. */
	EXPECT_TRUE(lug_shard_map_is_known(map));
}

} // namespace
