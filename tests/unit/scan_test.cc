#include "lug.h"

#include "fake_store.h"

namespace
{
/* A reader that took the first answer for the whole table missed the teams behind it. */
TEST(ScanTest, ReadsAllPagesOfATable)
{
	FakeStore store;
	std::vector<std::string> keys;

	for (int i = 0; i < 1300; i++)
		store.put("queue/t" + std::to_string(i), "{}");
	lug_store_scan_all(
		&store.base, "queue", "",
		[](void *data, enum lug_status status, const struct lug_row *rows, guint n_rows,
		   gboolean more) {
			EXPECT_EQ(status, LUG_OK);
			EXPECT_FALSE(more);
			for (guint i = 0; i < n_rows; i++)
				static_cast<std::vector<std::string> *>(data)->push_back(
					rows[i].key);
		},
		&keys);
	EXPECT_EQ(store.calls.size(), 1u);
	store.settle();
	EXPECT_EQ(keys.size(), 1300u);
}

TEST(ScanTest, ReportsAFailureBetweenPagesWithoutRows)
{
	FakeStore store;
	std::vector<enum lug_status> statuses;

	for (int i = 0; i < 600; i++)
		store.put("queue/t" + std::to_string(i), "{}");
	lug_store_scan_all(
		&store.base, "queue", "",
		[](void *data, enum lug_status status, const struct lug_row *rows, guint n_rows,
		   gboolean more) {
			(void)rows;
			(void)more;
			EXPECT_EQ(n_rows, 0u);
			static_cast<std::vector<enum lug_status> *>(data)->push_back(status);
		},
		&statuses);
	store.answer_next();
	store.answer_scan(store.take(), LUG_UNAVAILABLE);
	EXPECT_EQ(statuses, std::vector<enum lug_status>{LUG_UNAVAILABLE});
}

} // namespace
