#include "lug.h"

#include "fake_store.h"

extern "C" {
#include "workflow/shard_map.h"
}

namespace
{

struct ShardMapTest : public testing::Test {
	FakeStore store;
	struct lug_ctx *ctx = test_context_with_address("agent");
	struct lug_shard_map *map = nullptr;

	void SetUp() override
	{
		map = lug_shard_map_new(ctx, &store.base, 1, nullptr, nullptr);
	}

	void TearDown() override
	{
		lug_shard_map_free(map);
		lug_ctx_free(ctx);
	}
};

TEST_F(ShardMapTest, OwnerOfALaterEpochIsNotReplacedByAnEarlierOne)
{
	lug_shard_map_update(map, 0, 5, "a:1");
	/* The owner of epoch 6 remained unknown. */
	lug_shard_map_update(map, 0, 7, "a:1");
	EXPECT_FALSE(lug_shard_map_update(map, 0, 6, "b:1"));
	EXPECT_TRUE(lug_shard_map_is_owner(map, 0, 7, "a:1"));
}

TEST_F(ShardMapTest, OnlyTheReleaseOfTheSameEpochRemovesAnOwner)
{
	lug_shard_map_update(map, 0, 5, "a:1");
	EXPECT_FALSE(lug_shard_map_update(map, 0, 4, ""));
	EXPECT_FALSE(lug_shard_map_update(map, 0, 5, "b:1"));
	EXPECT_TRUE(lug_shard_map_update(map, 0, 5, ""));
	EXPECT_FALSE(lug_shard_map_is_owner(map, 0, 5, "a:1"));
}

} // namespace
