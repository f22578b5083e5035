#include "lug.h"

extern "C" {
#include "core/json.h"
}

namespace
{
std::string nested(int depth)
{
	return "{\"a\":" + std::string(static_cast<size_t>(depth - 1), '[') +
	       std::string(static_cast<size_t>(depth - 1), ']') + "}";
}

/* Message and remedy of the refusal, "" if the text is accepted. */
std::string refusal(const std::string &text)
{
	struct lug_error err = {};
	JsonObject *obj = lug_json_parse(text.data(), static_cast<gssize>(text.size()), &err);

	if (obj) {
		json_object_unref(obj);
		return "";
	}
	EXPECT_EQ(err.kind, LUG_BAD_INPUT);
	EXPECT_STRNE(err.remedy, "");
	return std::string(err.msg) + "; " + err.remedy;
}

/* The text as parsed with replacements, "" if it is refused. */
std::string repaired(const std::string &text, guint *n_replaced)
{
	JsonObject *obj = lug_json_parse_list(text.data(), text.size(), n_replaced, nullptr);

	if (!obj)
		return "";
	char *out = lug_json_text(obj);
	std::string result = out;

	g_free(out);
	json_object_unref(obj);
	return result;
}
} // namespace

TEST(Json, NestingIsBounded)
{
	EXPECT_EQ(refusal(nested(LUG_JSON_DEPTH_MAX)), "");
	EXPECT_NE(refusal(nested(LUG_JSON_DEPTH_MAX + 1)).find("nested too deeply"),
		  std::string::npos);
	EXPECT_NE(refusal(std::string(400000, '[')).find("nested too deeply"), std::string::npos);
	EXPECT_NE(refusal("{\"a\":" + std::string(400000, '[')).find("nested too deeply"),
		  std::string::npos);
	EXPECT_EQ(refusal("{\"a\":\"" + std::string(1000, '[') + "\"}"), "") << "within a string";
	EXPECT_EQ(refusal("{\"a\":\"\\\"" + std::string(1000, '[') + "\"}"), "")
		<< "after an escaped quote";
}

/* Brackets in what the parser takes for a comment or string count as well. */
TEST(Json, OnlyTheGrammarOfJsonIsAccepted)
{
	EXPECT_NE(refusal("{\"a\":/*\"*/" + std::string(1000, '[') + "/*\"*/1}"), "");
	EXPECT_NE(refusal("{\"a\":'\"'," + std::string(1000, '[') + "\"}"), "");
	EXPECT_NE(refusal("var x = {\"a\":1}"), "");
	EXPECT_NE(refusal("{\"a\":1} {\"b\":2}"), "");
	EXPECT_NE(refusal("{\"a\":010}"), "") << "octal";
	EXPECT_NE(refusal("{\"a\":0x10}"), "");
	EXPECT_NE(refusal("{\"a\":NaN}"), "");
	EXPECT_NE(refusal("{\"a\":-}"), "");
	EXPECT_NE(refusal(""), "");
	EXPECT_NE(refusal("{\"a\":1"), "");
	EXPECT_NE(refusal("{\"a\":1}]"), "");
	EXPECT_NE(refusal("{\"a\":\"x"), "");
	EXPECT_NE(refusal("{\"a\":\"x\\"), "");
	EXPECT_EQ(refusal(" {\"a\":[true,false,null,-1.5e-3,0,{}]} \n"), "");
	EXPECT_EQ(refusal("\xef\xbb\xbf{}"), "");
}

TEST(Json, NumbersOutOfRangeAreRefused)
{
	EXPECT_EQ(refusal("{\"a\":9223372036854775807,\"b\":-9223372036854775808}"), "");
	EXPECT_EQ(refusal("{\"a\":1e308,\"b\":-1e-999}"), "");
	for (const char *number : {"9223372036854775808", "-9223372036854775809",
				   "100000000000000000000000", "1e999", "-1e999"})
		EXPECT_NE(refusal(std::string("{\"a\":") + number + "}").find("too large"),
			  std::string::npos)
			<< number;
}

TEST(Json, StringsThatAreNoTextAreRefused)
{
	EXPECT_EQ(refusal("{\"a\":\"\\u00e9\\ud83d\\ude00\\n\"}"), "");
	for (const char *escape :
	     {"\\u0000", "\\ud800\\n", "\\ud800", "\\udc00", "\\ud800\\u0041", "\\u12", "\\uzzzz"})
		EXPECT_NE(refusal(std::string("{\"a\":\"x") + escape + "y\"}"), "") << escape;
	EXPECT_NE(refusal(std::string("{\"a\":\"x\0y\"}", 11)), "");
	EXPECT_NE(refusal("{\"a\":\"\xff\"}"), "");
}

TEST(Json, OddValuesOfAListAreReplaced)
{
	guint n = 0;
	std::string deep = std::string(100000, '[') + "\"]\"" + std::string(100000, ']');
	/* "rows" and its row take three levels. */
	std::string cut = std::string(LUG_JSON_DEPTH_MAX - 3, '[') + "null" +
			  std::string(LUG_JSON_DEPTH_MAX - 3, ']');

	EXPECT_EQ(repaired("{\"rows\":[{\"v\":1e999,\"k\":\"a\"},{\"v\":" + deep +
				   ",\"k\":\"b\"},{\"v\":99999999999999999999,\"k\":\"\\u0000\"},"
				   "{\"v\":4,\"k\":\"d\"}],\"ver\":7}",
			   &n),
		  "{\"rows\":[{\"v\":null,\"k\":\"a\"},{\"v\":" + cut +
			  ",\"k\":\"b\"},"
			  "{\"v\":null,\"k\":\"\"},{\"v\":4,\"k\":\"d\"}],\"ver\":7}");
	EXPECT_EQ(n, 4u);
	EXPECT_EQ(repaired("{\"a\":1}", &n), "{\"a\":1}");
	EXPECT_EQ(n, 0u);
	EXPECT_EQ(repaired("{\"a\":" + std::string(100000, '['), &n), "") << "cut off";
}
