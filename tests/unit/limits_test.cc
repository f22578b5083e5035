#include "lug.h"

extern "C" {
#include "team/limits.h"
}

namespace
{
const char *const header = "team weight cores memory accelerators price\n";

std::string parse_error(const std::string &text)
{
	struct lug_error err = {};
	struct lug_limits *limits = lug_limits_parse(text.c_str(), 1, &err);

	EXPECT_EQ(limits, nullptr) << text;
	lug_limits_free(limits);
	EXPECT_STRNE(err.remedy, "");
	return err.msg;
}

struct lug_limits *parse(const std::string &text, gint64 version = 1)
{
	struct lug_error err = {};
	struct lug_limits *limits = lug_limits_parse(text.c_str(), version, &err);

	EXPECT_NE(limits, nullptr) << err.msg;
	return limits;
}
} // namespace

TEST(Limits, FormattedTableParsesToTheSameRows)
{
	std::string text = std::string(header) + "a 60 1.5 2GB 1 0.5\n# note\n\nb 40 8 512MB 0 1\n";
	struct lug_limits *limits = parse(text, 7);
	char *formatted = lug_limits_format(limits);
	struct lug_limits *reparsed = parse(formatted, 7);
	const struct lug_team *team = lug_limits_find(reparsed, "a");

	ASSERT_NE(team, nullptr);
	EXPECT_EQ(team->weight, 60);
	EXPECT_EQ(team->limit.millicores, 1500);
	EXPECT_EQ(team->limit.memory_bytes, 2LL << 30);
	EXPECT_EQ(reparsed->teams->len, 2u);
	EXPECT_EQ(lug_limits_find(reparsed, "c"), nullptr);
	g_free(formatted);
	lug_limits_free(limits);
	lug_limits_free(reparsed);
}

TEST(Limits, ErrorNamesLineAndCell)
{
	EXPECT_NE(parse_error("a 100 1 1GB 0 1\n").find("line 1: the header"), std::string::npos);
	EXPECT_NE(parse_error(std::string(header) + "a 100 -1 1GB 0 1\n")
			  .find("line 2: cores \"-1\""),
		  std::string::npos);
	EXPECT_NE(parse_error(std::string(header) + "a 100 1 1 0 1\n").find("memory"),
		  std::string::npos);
	EXPECT_NE(parse_error(std::string(header) + "A 100 1 1GB 0 1\n").find("team \"A\""),
		  std::string::npos);
	EXPECT_NE(parse_error(std::string(header) + "a 100 1 1GB 0 nan\n").find("price"),
		  std::string::npos);
	EXPECT_NE(parse_error(std::string(header) + "a 100 1 1GB 0\n").find("5 cells"),
		  std::string::npos);
	EXPECT_NE(parse_error(header).find("no row"), std::string::npos);
}

TEST(Limits, RejectsDuplicateRowsAndWrongWeightSum)
{
	EXPECT_NE(parse_error(std::string(header) + "a 50 1 1GB 0 1\na 50 1 1GB 0 1\n")
			  .find("already"),
		  std::string::npos);
	EXPECT_NE(parse_error(std::string(header) + "a 50 1 1GB 0 1\nb 49 1 1GB 0 1\n").find("99"),
		  std::string::npos);
}

TEST(Limits, RejectsRemovalOfTeamWithWeight)
{
	struct lug_error err = {};
	struct lug_limits *old = parse(std::string(header) + "a 100 1 1GB 0 1\nb 0 1 1GB 0 1\n");
	struct lug_limits *drops_b = parse(std::string(header) + "a 100 1 1GB 0 1\n");
	struct lug_limits *drops_a = parse(std::string(header) + "b 100 1 1GB 0 1\n");

	EXPECT_EQ(lug_limits_check_successor(old, drops_b, &err), LUG_OK);
	EXPECT_EQ(lug_limits_check_successor(old, drops_a, &err), LUG_BAD_INPUT);
	EXPECT_NE(std::string(err.msg).find("team a is missing"), std::string::npos);
	lug_limits_free(old);
	lug_limits_free(drops_a);
	lug_limits_free(drops_b);
}
