#include "lug.h"

extern "C" {
#include "schedule/evacuation.h"
}

namespace
{
constexpr gint64 S = G_USEC_PER_SEC;

struct EvacuationTest : public testing::Test {
	std::vector<std::string> changes;
	struct lug_evacuation *set = lug_evacuation_new("own", on_change, this);

	static void on_change(void *data, const char *zone, gboolean evacuated)
	{
		static_cast<EvacuationTest *>(data)->changes.push_back((evacuated ? "+" : "-") +
								       std::string(zone));
	}

	void TearDown() override
	{
		lug_evacuation_free(set);
	}

	void read(const std::vector<std::string> &zones, gint64 as_of_us)
	{
		lug_evacuation_begin_read(set);
		for (const auto &zone : zones)
			lug_evacuation_add(set, zone.c_str());
		lug_evacuation_end_read(set, as_of_us);
	}
};

/* A deletion that no watch has reported must not hold a zone for ever. */
TEST_F(EvacuationTest, ACompleteReadReplacesTheSet)
{
	read({"a", "b"}, S);
	read({"b", "c"}, 2 * S);
	EXPECT_EQ(changes, (std::vector<std::string>{"+a", "+b", "+c", "-a"}));
	EXPECT_EQ(lug_evacuation_count(set), 2u);
	lug_evacuation_remove(set, "b");
	lug_evacuation_remove(set, "b");
	EXPECT_EQ(changes.back(), "-b");
	EXPECT_EQ(changes.size(), 5u) << "each change is reported once";
}

/* A read that fails between two pages must end no evacuation. */
TEST_F(EvacuationTest, AReadThatDoesNotEndRemovesNothing)
{
	read({"a", "b"}, S);
	lug_evacuation_begin_read(set);
	lug_evacuation_add(set, "c");
	read({"a", "b", "c"}, 2 * S);
	EXPECT_EQ(changes, (std::vector<std::string>{"+a", "+b", "+c"}));
}

/* A start allowed by what was known long ago may come after an evacuation. */
TEST_F(EvacuationTest, StartsAreAllowedOnlyByARecentCompleteSet)
{
	EXPECT_EQ(lug_evacuation_check(set, "own", S), LUG_EVACUATION_UNKNOWN) << "not read yet";
	lug_evacuation_begin_read(set);
	lug_evacuation_add(set, "a");
	EXPECT_EQ(lug_evacuation_check(set, "a", S), LUG_EVACUATION_EVACUATED) << "on first sight";
	EXPECT_FALSE(lug_evacuation_is_read(set));
	lug_evacuation_end_read(set, S);
	EXPECT_EQ(lug_evacuation_check(set, "own", 5 * S), LUG_EVACUATION_OPEN);
	EXPECT_EQ(lug_evacuation_check(set, "own", 5 * S + 1), LUG_EVACUATION_UNKNOWN);
	EXPECT_EQ(lug_evacuation_check(set, "a", 60 * S), LUG_EVACUATION_EVACUATED) << "stays";
	lug_evacuation_confirm(set, 3 * S);
	lug_evacuation_confirm(set, 2 * S);
	EXPECT_EQ(lug_evacuation_check(set, "own", 7 * S), LUG_EVACUATION_OPEN);
	EXPECT_TRUE(lug_evacuation_is_read(set)) << "however old";
}

/* Rows of zones that do not exist must neither exhaust the memory nor hide the own zone. */
TEST_F(EvacuationTest, TheSetIsBoundedAndKeepsTheOwnZone)
{
	std::vector<std::string> zones;

	for (int i = 0; i < 5000; i++)
		zones.push_back("z" + std::to_string(i));
	zones.emplace_back("own");
	read(zones, S);
	EXPECT_LE(lug_evacuation_count(set), LUG_EVACUATION_ZONES_MAX + 1u);
	EXPECT_FALSE(lug_evacuation_is_complete(set));
	EXPECT_EQ(lug_evacuation_check(set, "own", S), LUG_EVACUATION_EVACUATED);
	EXPECT_EQ(lug_evacuation_check(set, "z4999", S), LUG_EVACUATION_UNKNOWN);
	lug_evacuation_remove(set, "own");
	EXPECT_EQ(lug_evacuation_check(set, "own", S), LUG_EVACUATION_OPEN);
	read({}, 2 * S);
	EXPECT_TRUE(lug_evacuation_is_complete(set));
	EXPECT_EQ(lug_evacuation_check(set, "z4999", 2 * S), LUG_EVACUATION_OPEN);
}

TEST_F(EvacuationTest, OddNamesDoNoHarm)
{
	const std::string longest(100000, 'x');

	for (const std::string &zone : {std::string("a/b"), std::string("a b\n=\"'"),
					std::string("\xc3\xa9\xff"), std::string("own ")}) {
		lug_evacuation_add(set, zone.c_str());
		EXPECT_TRUE(lug_evacuation_contains(set, zone.c_str()));
		EXPECT_FALSE(lug_evacuation_contains(set, "own"));
	}
	lug_evacuation_add(set, "");
	EXPECT_FALSE(lug_evacuation_contains(set, ""));
	EXPECT_EQ(lug_evacuation_count(set), 4u);
	lug_evacuation_add(set, longest.c_str());
	EXPECT_FALSE(lug_evacuation_contains(set, longest.c_str()));
	EXPECT_FALSE(lug_evacuation_is_complete(set));
	EXPECT_EQ(lug_evacuation_check(nullptr, "a", S), LUG_EVACUATION_OPEN);
}

} // namespace
