#include "lug.h"

#include "fake_store.h"

namespace
{
const gint64 ms = 1000;

struct LaneTest : public testing::Test {
	FakeStore store;
	struct lug_ctx *ctx = test_context("a");
	std::vector<enum lug_writer_event> events;
	std::vector<struct lug_writer *> writers;

	static void on_event(void *data, enum lug_writer_event event)
	{
		static_cast<std::vector<enum lug_writer_event> *>(data)->push_back(event);
	}

	struct lug_writer *writer(struct lug_ctx *holder, gint64 ttl_ms = 3000)
	{
		struct lug_writer_config config = {};

		config.table = "queue";
		config.key = "t";
		config.ttl_ms = ttl_ms;
		config.event = on_event;
		config.data = &events;

		writers.push_back(lug_writer_new(holder, &store.base, &config));
		return writers.back();
	}

	struct lug_writer *held()
	{
		struct lug_writer *made = writer(ctx);
		struct lug_row none = {};

		lug_writer_take(made, &none, 1000 * ms);
		store.settle();
		EXPECT_TRUE(lug_writer_held(made));
		return made;
	}

	void TearDown() override
	{
		for (struct lug_writer *made : writers)
			lug_writer_free(made);
		lug_ctx_free(ctx);
	}
};

void note(void *data, enum lug_status status, gint64 version)
{
	(void)version;
	static_cast<std::vector<enum lug_status> *>(data)->push_back(status);
}

struct lug_op *op(std::vector<enum lug_status> *out, const char *key, gint64 version,
		  gint64 add = 0)
{
	struct lug_op *made = lug_op_new(note, out);

	lug_txn_check(&made->txn, "row", key, version);
	lug_txn_put_text(&made->txn, "row", key, "{}");
	made->add = add;
	return made;
}

struct lug_row read(FakeStore &store, const char *key)
{
	auto it = store.rows.find(std::string("queue/") + key);
	struct lug_row row = {const_cast<char *>(key), it->second.version,
			      lug_json_parse(it->second.data.c_str(), -1, nullptr)};

	return row;
}
TEST_F(LaneTest, ARefusedTransactionExpiresAsNotCommitted)
{
	std::vector<enum lug_status> out;
	struct lug_writer *made = held();
	struct lug_op *late = op(&out, "a", 0);
	gint64 now_us = lug_now_us();
	struct lug_txn_result no = {LUG_UNAVAILABLE, 0, nullptr, 0};

	late->deadline_us = now_us + 400 * ms;
	lug_writer_submit(made, late, now_us);
	FakeStore::Call call = store.take();
	call.txn_fn(call.data, &no);
	lug_writer_tick(made, now_us + 500 * ms);
	EXPECT_EQ(out, std::vector<enum lug_status>{LUG_UNAVAILABLE});
	store.settle();
	EXPECT_EQ(store.version("row/a"), 0);
	EXPECT_TRUE(lug_writer_held(made));
}

TEST_F(LaneTest, ARefusalAfterALostAnswerStaysInDoubt)
{
	std::vector<enum lug_status> out;
	struct lug_writer *made = held();
	struct lug_op *late = op(&out, "a", 0);
	gint64 now_us = lug_now_us();
	struct lug_txn_result no = {LUG_UNAVAILABLE, 0, nullptr, 0};

	late->deadline_us = now_us + 4000 * ms;
	lug_writer_submit(made, late, now_us);
	FakeStore::answer_lost(store.take());
	lug_writer_tick(made, now_us + 3000 * ms);
	store.answer_scan(store.take());
	FakeStore::Call call = store.take();
	call.txn_fn(call.data, &no);
	lug_writer_tick(made, now_us + 5000 * ms);
	EXPECT_EQ(out, std::vector<enum lug_status>{LUG_UNKNOWN});
}
} // namespace

TEST_F(LaneTest, TakesFreeRowAndRenewsBeforeItLapses)
{
	struct lug_writer *made = held();

	EXPECT_EQ(events, std::vector<enum lug_writer_event>{LUG_WRITER_TAKEN});
	EXPECT_EQ(lug_writer_epoch(made), 1u);
	EXPECT_TRUE(lug_writer_valid(made, 3000 * ms));
	EXPECT_FALSE(lug_writer_valid(made, 3990 * ms)) << "the margin for drift is taken off";
	lug_writer_tick(made, 1900 * ms);
	EXPECT_TRUE(store.calls.empty());
	lug_writer_tick(made, 2000 * ms);
	store.settle();
	EXPECT_TRUE(lug_writer_valid(made, 4900 * ms));
}

TEST_F(LaneTest, SharesOneTransactionAmongWaitingOperations)
{
	struct lug_writer *made = held();
	std::vector<enum lug_status> out;

	store.commits = 0;
	for (int i = 0; i < 10; i++)
		lug_writer_submit(made, op(&out, std::to_string(i).c_str(), 0), 1100 * ms);
	store.settle();
	EXPECT_EQ(out, std::vector<enum lug_status>(10, LUG_OK));
	EXPECT_EQ(store.commits, 2) << "the first alone, nine together";
}

TEST_F(LaneTest, FindsCommitWhoseAnswerWasLost)
{
	struct lug_writer *made = held();
	std::vector<enum lug_status> out;

	store.commits = 0;
	lug_writer_submit(made, op(&out, "x", 0, 5), 1100 * ms);
	FakeStore::Call call = store.take();
	store.apply(call);
	FakeStore::answer_lost(call);
	EXPECT_TRUE(out.empty()) << "an unknown outcome is not told as a failure";
	lug_writer_tick(made, lug_now_us() + 5000 * ms);
	store.settle();
	EXPECT_EQ(out, std::vector<enum lug_status>{LUG_OK});
	EXPECT_EQ(store.commits, 1) << "committed once";
	EXPECT_EQ(lug_writer_total(made), 5);
}

TEST_F(LaneTest, SendsAgainWhatDidNotTakeEffectAndLateOriginalIsRefused)
{
	struct lug_writer *made = held();
	std::vector<enum lug_status> out;

	store.commits = 0;
	lug_writer_submit(made, op(&out, "x", 0, 5), 1100 * ms);
	FakeStore::Call original = store.take();
	FakeStore::answer_lost(original);
	lug_writer_tick(made, lug_now_us() + 5000 * ms);
	store.settle();
	EXPECT_EQ(out, std::vector<enum lug_status>{LUG_OK});
	EXPECT_FALSE(store.apply(original).empty()) << "the original arrives late";
	EXPECT_EQ(store.commits, 1);
	EXPECT_EQ(lug_writer_total(made), 5);
}

TEST_F(LaneTest, PutsOutOnlyTheOperationThatConflicts)
{
	struct lug_writer *made = held();
	std::vector<enum lug_status> good;
	std::vector<enum lug_status> bad;

	store.put("row/taken", "{}");
	lug_writer_submit(made, op(&good, "a", 0), 1100 * ms);
	lug_writer_submit(made, op(&bad, "taken", 0), 1100 * ms);
	lug_writer_submit(made, op(&good, "b", 0), 1100 * ms);
	store.settle();
	EXPECT_EQ(bad, std::vector<enum lug_status>{LUG_CONFLICT});
	EXPECT_EQ(good, std::vector<enum lug_status>(2, LUG_OK));
}

TEST_F(LaneTest, OperationsOnOneRowDoNotShareTransaction)
{
	struct lug_writer *made = held();
	std::vector<enum lug_status> first;
	std::vector<enum lug_status> second;
	std::vector<enum lug_status> other;

	lug_writer_submit(made, op(&other, "x", 0), 1100 * ms);
	lug_writer_submit(made, op(&first, "same", 0), 1100 * ms);
	lug_writer_submit(made, op(&second, "same", 0), 1100 * ms);
	store.settle();
	EXPECT_EQ(first, std::vector<enum lug_status>{LUG_OK});
	EXPECT_EQ(second, std::vector<enum lug_status>{LUG_CONFLICT}) << "both saw an absent row";
}

TEST_F(LaneTest, ReleaseAskedForDuringCommitFollowsIt)
{
	struct lug_writer *made = held();
	std::vector<enum lug_status> out;

	lug_writer_submit(made, op(&out, "x", 0), 1100 * ms);
	lug_writer_release(made, 1100 * ms);
	store.settle();
	EXPECT_EQ(out, std::vector<enum lug_status>{LUG_OK});
	lug_writer_tick(made, 1200 * ms);
	store.settle();
	EXPECT_EQ(events.back(), LUG_WRITER_RELEASED);
}

TEST_F(LaneTest, FormerHolderCanNotCommit)
{
	struct lug_writer *first = held();
	struct lug_ctx *other_ctx = test_context("b");
	struct lug_writer *second = writer(other_ctx);
	struct lug_row row = read(store, "t");
	std::vector<enum lug_status> out;

	lug_writer_take(second, &row, 9000 * ms);
	store.settle();
	EXPECT_TRUE(lug_writer_held(second));
	EXPECT_EQ(lug_writer_epoch(second), 2u);
	lug_writer_submit(first, op(&out, "x", 0), 9000 * ms);
	store.settle();
	EXPECT_EQ(out, std::vector<enum lug_status>{LUG_UNKNOWN})
		<< "the row can't tell whether it took effect before the change of hands";
	EXPECT_FALSE(lug_writer_held(first));
	EXPECT_EQ(store.version("row/x"), 0);
	json_object_unref(row.data);
	lug_writer_free(second);
	writers.pop_back();
	lug_ctx_free(other_ctx);
}

TEST_F(LaneTest, LearnsFromItsSuccessorThatItsLastCommitTookEffect)
{
	struct lug_writer *first = held();
	struct lug_ctx *other_ctx = test_context("b");
	struct lug_writer *second = writer(other_ctx);
	std::vector<enum lug_status> out;

	lug_writer_submit(first, op(&out, "x", 0), 1100 * ms);
	FakeStore::Call call = store.take();
	store.apply(call);
	struct lug_row row = read(store, "t");
	lug_writer_take(second, &row, 9000 * ms);
	store.settle();
	FakeStore::answer_lost(call);
	lug_writer_tick(first, lug_now_us() + 5000 * ms);
	store.settle();
	EXPECT_EQ(out, std::vector<enum lug_status>{LUG_OK});
	EXPECT_FALSE(lug_writer_held(first));
	json_object_unref(row.data);
	lug_writer_free(second);
	writers.pop_back();
	lug_ctx_free(other_ctx);
}

TEST_F(LaneTest, TellsUnsentOperationAsNotCommittedAndSentOneAsUnknown)
{
	struct lug_writer *made = held();
	std::vector<enum lug_status> sent;
	std::vector<enum lug_status> waiting;
	struct lug_op *first = op(&sent, "a", 0);
	struct lug_op *second = op(&waiting, "b", 0);

	first->deadline_us = 2000 * ms;
	second->deadline_us = 2000 * ms;
	lug_writer_submit(made, first, 1100 * ms);
	lug_writer_submit(made, second, 1100 * ms);
	FakeStore::answer_lost(store.take());
	lug_writer_tick(made, 2000 * ms);
	EXPECT_EQ(sent, std::vector<enum lug_status>{LUG_UNKNOWN});
	EXPECT_EQ(waiting, std::vector<enum lug_status>{LUG_UNAVAILABLE});
	store.calls.clear();
}

TEST_F(LaneTest, ReleasedRowMayBeTakenAtOnceLapsedOneAfterItsTime)
{
	struct lug_writer *made = held();
	struct lug_row row = read(store, "t");

	EXPECT_FALSE(lug_writer_row_lapsed(&row, 3000 * ms));
	EXPECT_TRUE(lug_writer_row_lapsed(&row, 3100 * ms));
	json_object_unref(row.data);
	lug_writer_release(made, 1200 * ms);
	store.settle();
	row = read(store, "t");
	EXPECT_TRUE(lug_writer_row_lapsed(&row, 0));
	EXPECT_EQ(events.back(), LUG_WRITER_RELEASED);
	json_object_unref(row.data);
}
