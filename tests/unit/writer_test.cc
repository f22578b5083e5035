#include "lug.h"

#include "fake_store.h"

namespace
{
const gint64 ms = 1000;

struct WriterTest : public testing::Test {
	FakeStore store;
	struct lug_ctx *ctx = test_context("a");
	std::vector<enum lug_writer_event> events;
	std::vector<struct lug_writer *> writers;

	static void on_event(void *data, enum lug_writer_event event)
	{
		static_cast<std::vector<enum lug_writer_event> *>(data)->push_back(event);
	}

	struct lug_writer *new_writer(struct lug_ctx *holder, gint64 ttl_ms = 3000)
	{
		struct lug_writer_config config = {};

		config.table = "queue";
		config.key = "t";
		config.ttl_ms = ttl_ms;
		config.on_event = on_event;
		config.data = &events;

		writers.push_back(lug_writer_new(holder, &store.base, &config));
		return writers.back();
	}

	/* A writer that has taken its lease of 3000 ms at the time 1000 ms. */
	struct lug_writer *held_writer()
	{
		struct lug_writer *writer = new_writer(ctx);
		struct lug_row absent = {};

		lug_writer_take(writer, &absent, 1000 * ms);
		store.settle();
		EXPECT_TRUE(lug_writer_is_held(writer));
		return writer;
	}

	void TearDown() override
	{
		for (struct lug_writer *writer : writers)
			lug_writer_free(writer);
		lug_ctx_free(ctx);
	}
};

void record_status(void *data, enum lug_status status, gint64 version)
{
	(void)version;
	static_cast<std::vector<enum lug_status> *>(data)->push_back(status);
}

/* An operation that writes a row if its version is @expected_version, 0 for an absent row. */
struct lug_writer_op *new_op(std::vector<enum lug_status> *statuses, const char *key,
			     gint64 expected_version, gint64 total_delta = 0)
{
	struct lug_writer_op *op = lug_writer_op_new(record_status, statuses);

	lug_txn_check(&op->txn, "row", key, expected_version);
	lug_txn_put_text(&op->txn, "row", key, "{}");
	op->total_delta = total_delta;
	return op;
}

struct lug_row read_leased_row(FakeStore &store, const char *key)
{
	auto it = store.rows.find(std::string("queue/") + key);
	struct lug_row row = {const_cast<char *>(key), it->second.version,
			      lug_json_parse(it->second.data.c_str(), -1, nullptr), FALSE};

	return row;
}

/* A refused transaction was not executed, so its operation may be reported as not committed. */
TEST_F(WriterTest, RefusedOperationExpiresAsUnavailable)
{
	std::vector<enum lug_status> statuses;
	struct lug_writer *writer = held_writer();
	struct lug_writer_op *op = new_op(&statuses, "a", 0);
	gint64 now_us = lug_now_us();
	struct lug_txn_result refused = {LUG_UNAVAILABLE, 0, nullptr, 0};

	op->deadline_us = now_us + 400 * ms;
	lug_writer_submit(writer, op, now_us);
	FakeStore::Call call = store.take();
	call.txn_fn(call.data, &refused);
	lug_writer_tick(writer, now_us + 500 * ms);
	EXPECT_EQ(statuses, std::vector<enum lug_status>{LUG_UNAVAILABLE});
	store.settle();
	EXPECT_EQ(store.version("row/a"), 0);
	EXPECT_TRUE(lug_writer_is_held(writer));
}

/* Only the resend was refused. The first send, whose answer was lost, may have committed. */
TEST_F(WriterTest, RefusalAfterLostAnswerLeavesOutcomeUnknown)
{
	std::vector<enum lug_status> statuses;
	struct lug_writer *writer = held_writer();
	struct lug_writer_op *op = new_op(&statuses, "a", 0);
	gint64 now_us = lug_now_us();
	struct lug_txn_result refused = {LUG_UNAVAILABLE, 0, nullptr, 0};

	op->deadline_us = now_us + 4000 * ms;
	lug_writer_submit(writer, op, now_us);
	FakeStore::answer_lost(store.take());
	lug_writer_tick(writer, now_us + 3000 * ms);
	store.answer_scan(store.take());
	FakeStore::Call call = store.take();
	call.txn_fn(call.data, &refused);
	lug_writer_tick(writer, now_us + 5000 * ms);
	EXPECT_EQ(statuses, std::vector<enum lug_status>{LUG_UNKNOWN});
}

/* Incident calls-to-a-former-incarnation: owners must not fence a lease that a worker may hold. */
TEST_F(WriterTest, ARowThatIsHeldForLongerKeepsOthersOffUntilThen)
{
	struct lug_writer *writer = held_writer();
	struct lug_row row;

	lug_writer_hold(writer, 11500 * ms);
	lug_writer_rewrite(writer, 1500 * ms);
	store.settle();
	EXPECT_EQ(lug_writer_renewed_us(writer), 1500 * ms);
	EXPECT_LE(lug_writer_valid_until_us(writer), 4500 * ms)
		<< "the holder's own lease is longer";
	row = read_leased_row(store, "t");
	EXPECT_FALSE(lug_writer_row_is_free(&row, 10000 * ms, 0));
	EXPECT_TRUE(lug_writer_row_is_free(&row, 10300 * ms, 0));
	json_object_unref(row.data);
	/* The next renewals state the rest of that time, and then the usual lease. */
	lug_writer_tick(writer, 4000 * ms);
	store.settle();
	row = read_leased_row(store, "t");
	EXPECT_FALSE(lug_writer_row_is_free(&row, 7500 * ms, 0));
	EXPECT_TRUE(lug_writer_row_is_free(&row, 7800 * ms, 0));
	json_object_unref(row.data);
	lug_writer_tick(writer, 10000 * ms);
	store.settle();
	row = read_leased_row(store, "t");
	EXPECT_TRUE(lug_writer_row_is_free(&row, 3100 * ms, 0));
	json_object_unref(row.data);
}

/* The row that is in flight does not state what has changed since it was sent, however lately. */
TEST_F(WriterTest, ARowInFlightDoesNotCountAsRewritten)
{
	struct lug_writer *writer = held_writer();
	guint64 number = lug_writer_rewrite(writer, 1500 * ms);
	guint64 next;

	EXPECT_FALSE(lug_writer_is_written(writer, number));
	next = lug_writer_rewrite(writer, 1500 * ms);
	store.answer_next();
	EXPECT_TRUE(lug_writer_is_written(writer, number));
	EXPECT_FALSE(lug_writer_is_written(writer, next));
	lug_writer_tick(writer, 1500 * ms);
	store.settle();
	EXPECT_TRUE(lug_writer_is_written(writer, next));
}
} // namespace

TEST_F(WriterTest, TakesAbsentRowAndRenewsBeforeExpiry)
{
	struct lug_writer *writer = held_writer();

	EXPECT_EQ(events, std::vector<enum lug_writer_event>{LUG_WRITER_TAKEN});
	EXPECT_EQ(lug_writer_epoch(writer), 1u);
	EXPECT_TRUE(lug_writer_is_valid(writer, 3000 * ms));
	EXPECT_FALSE(lug_writer_is_valid(writer, 3990 * ms)) << "the margin for drift is taken off";
	lug_writer_tick(writer, 1900 * ms);
	EXPECT_TRUE(store.calls.empty());
	lug_writer_tick(writer, 2000 * ms);
	store.settle();
	EXPECT_TRUE(lug_writer_is_valid(writer, 4900 * ms));
}

TEST_F(WriterTest, GroupsWaitingOperationsIntoOneTransaction)
{
	struct lug_writer *writer = held_writer();
	std::vector<enum lug_status> statuses;

	store.commits = 0;
	for (int i = 0; i < 10; i++)
		lug_writer_submit(writer, new_op(&statuses, std::to_string(i).c_str(), 0),
				  1100 * ms);
	store.settle();
	EXPECT_EQ(statuses, std::vector<enum lug_status>(10, LUG_OK));
	EXPECT_EQ(store.commits, 2) << "the first alone, nine together";
}

TEST_F(WriterTest, ReadbackFindsCommitWhoseAnswerWasLost)
{
	struct lug_writer *writer = held_writer();
	std::vector<enum lug_status> statuses;

	store.commits = 0;
	lug_writer_submit(writer, new_op(&statuses, "x", 0, 5), 1100 * ms);
	FakeStore::Call call = store.take();
	store.apply(call);
	FakeStore::answer_lost(call);
	EXPECT_TRUE(statuses.empty()) << "an unknown outcome is not reported as a failure";
	/* The readback is due by then. */
	lug_writer_tick(writer, lug_now_us() + 5000 * ms);
	store.settle();
	EXPECT_EQ(statuses, std::vector<enum lug_status>{LUG_OK});
	EXPECT_EQ(store.commits, 1) << "committed once";
	EXPECT_EQ(lug_writer_total(writer), 5);
}

TEST_F(WriterTest, ResendsUncommittedTransactionAndRejectsDelayedOriginal)
{
	struct lug_writer *writer = held_writer();
	std::vector<enum lug_status> statuses;

	store.commits = 0;
	lug_writer_submit(writer, new_op(&statuses, "x", 0, 5), 1100 * ms);
	FakeStore::Call original = store.take();
	FakeStore::answer_lost(original);
	/* The readback is due by then. */
	lug_writer_tick(writer, lug_now_us() + 5000 * ms);
	store.settle();
	EXPECT_EQ(statuses, std::vector<enum lug_status>{LUG_OK});
	EXPECT_FALSE(store.apply(original).empty()) << "a check of the delayed original fails";
	EXPECT_EQ(store.commits, 1);
	EXPECT_EQ(lug_writer_total(writer), 5);
}

TEST_F(WriterTest, ConflictFailsOnlyTheConflictingOperation)
{
	struct lug_writer *writer = held_writer();
	std::vector<enum lug_status> committed;
	std::vector<enum lug_status> conflicting;

	store.put("row/taken", "{}");
	lug_writer_submit(writer, new_op(&committed, "a", 0), 1100 * ms);
	lug_writer_submit(writer, new_op(&conflicting, "taken", 0), 1100 * ms);
	lug_writer_submit(writer, new_op(&committed, "b", 0), 1100 * ms);
	store.settle();
	EXPECT_EQ(conflicting, std::vector<enum lug_status>{LUG_CONFLICT});
	EXPECT_EQ(committed, std::vector<enum lug_status>(2, LUG_OK));
}

/* A row that the table service does not accept must end its own operation, and only that one. */
TEST_F(WriterTest, OperationOfRefusedContentDoesNotHoldUpTheOthers)
{
	std::vector<enum lug_status> refused, stored;
	struct lug_writer *writer = held_writer();
	std::string large = "{\"s\":\"" + std::string(70000, 'x') + "\"}";

	for (int i = 0; i < 40; i++) {
		std::string key = "k" + std::to_string(i);
		struct lug_writer_op *op = new_op(i == 23 ? &refused : &stored, key.c_str(), 0);

		if (i == 23)
			lug_txn_put_text(&op->txn, "row", "large", large.c_str());
		lug_writer_append(writer, op);
	}
	lug_writer_flush(writer, 1100 * ms);
	store.settle();
	EXPECT_EQ(refused, std::vector<enum lug_status>{LUG_BAD_INPUT});
	EXPECT_EQ(stored, std::vector<enum lug_status>(39, LUG_OK));
	EXPECT_TRUE(lug_writer_is_held(writer));
	/* Later operations share transactions again. */
	for (int i = 0; i < 40; i++)
		lug_writer_append(writer, new_op(&stored, ("l" + std::to_string(i)).c_str(), 0));
	int commits = store.commits;
	lug_writer_flush(writer, 1200 * ms);
	store.settle();
	EXPECT_EQ(stored.size(), 79u);
	EXPECT_LE(store.commits, commits + 2);
}

/* The table service accepts 1 MB in a transaction. */
TEST_F(WriterTest, LargeRowsAreSpreadOverSeveralTransactions)
{
	std::vector<enum lug_status> statuses;
	struct lug_writer *writer = held_writer();
	std::string large = "{\"s\":\"" + std::string(60000, 'x') + "\"}";

	for (int i = 0; i < 20; i++) {
		struct lug_writer_op *op = new_op(&statuses, ("k" + std::to_string(i)).c_str(), 0);

		lug_txn_put_text(&op->txn, "row", ("r" + std::to_string(i)).c_str(), large.c_str());
		lug_writer_append(writer, op);
	}
	lug_writer_flush(writer, 1100 * ms);
	while (!store.calls.empty()) {
		size_t bytes = 0;

		for (const auto &put : store.calls.front().puts)
			bytes += put.second.size() * 4 / 3;
		EXPECT_LT(bytes, 1000000u);
		store.answer_next();
	}
	EXPECT_EQ(statuses, std::vector<enum lug_status>(20, LUG_OK));
}

TEST_F(WriterTest, OperationsOnSameRowUseSeparateTransactions)
{
	struct lug_writer *writer = held_writer();
	std::vector<enum lug_status> first;
	std::vector<enum lug_status> second;
	std::vector<enum lug_status> other;

	lug_writer_submit(writer, new_op(&other, "x", 0), 1100 * ms);
	lug_writer_submit(writer, new_op(&first, "same", 0), 1100 * ms);
	lug_writer_submit(writer, new_op(&second, "same", 0), 1100 * ms);
	store.settle();
	EXPECT_EQ(first, std::vector<enum lug_status>{LUG_OK});
	EXPECT_EQ(second, std::vector<enum lug_status>{LUG_CONFLICT})
		<< "both require an absent row";
}

TEST_F(WriterTest, ReleaseRequestedDuringCommitFollowsIt)
{
	struct lug_writer *writer = held_writer();
	std::vector<enum lug_status> statuses;

	lug_writer_submit(writer, new_op(&statuses, "x", 0), 1100 * ms);
	lug_writer_release(writer, 1100 * ms);
	store.settle();
	EXPECT_EQ(statuses, std::vector<enum lug_status>{LUG_OK});
	lug_writer_tick(writer, 1200 * ms);
	store.settle();
	EXPECT_EQ(events.back(), LUG_WRITER_RELEASED);
}

TEST_F(WriterTest, FormerHolderCannotCommit)
{
	struct lug_writer *first = held_writer();
	struct lug_ctx *other_ctx = test_context("b");
	struct lug_writer *second = new_writer(other_ctx);
	struct lug_row row = read_leased_row(store, "t");
	std::vector<enum lug_status> statuses;

	lug_writer_take(second, &row, 9000 * ms);
	store.settle();
	EXPECT_TRUE(lug_writer_is_held(second));
	EXPECT_EQ(lug_writer_epoch(second), 2u);
	lug_writer_submit(first, new_op(&statuses, "x", 0), 9000 * ms);
	store.settle();
	EXPECT_EQ(statuses, std::vector<enum lug_status>{LUG_UNKNOWN})
		<< "the row doesn't show whether the transaction committed before the takeover";
	EXPECT_FALSE(lug_writer_is_held(first));
	EXPECT_EQ(store.version("row/x"), 0);
	json_object_unref(row.data);
	lug_writer_free(second);
	writers.pop_back();
	lug_ctx_free(other_ctx);
}

/* A new holder stores the transaction id that it found in the row as prev_txn. */
TEST_F(WriterTest, SuccessorRowConfirmsLastCommitOfFormerHolder)
{
	struct lug_writer *first = held_writer();
	struct lug_ctx *other_ctx = test_context("b");
	struct lug_writer *second = new_writer(other_ctx);
	std::vector<enum lug_status> statuses;

	lug_writer_submit(first, new_op(&statuses, "x", 0), 1100 * ms);
	FakeStore::Call call = store.take();
	store.apply(call);
	struct lug_row row = read_leased_row(store, "t");
	lug_writer_take(second, &row, 9000 * ms);
	store.settle();
	FakeStore::answer_lost(call);
	/* The readback is due by then. */
	lug_writer_tick(first, lug_now_us() + 5000 * ms);
	store.settle();
	EXPECT_EQ(statuses, std::vector<enum lug_status>{LUG_OK});
	EXPECT_FALSE(lug_writer_is_held(first));
	json_object_unref(row.data);
	lug_writer_free(second);
	writers.pop_back();
	lug_ctx_free(other_ctx);
}

TEST_F(WriterTest, ExpiredQueuedOperationIsUnavailableAndSentOneUnknown)
{
	struct lug_writer *writer = held_writer();
	std::vector<enum lug_status> sent;
	std::vector<enum lug_status> waiting;
	struct lug_writer_op *first = new_op(&sent, "a", 0);
	struct lug_writer_op *second = new_op(&waiting, "b", 0);

	first->deadline_us = 2000 * ms;
	second->deadline_us = 2000 * ms;
	lug_writer_submit(writer, first, 1100 * ms);
	lug_writer_submit(writer, second, 1100 * ms);
	FakeStore::answer_lost(store.take());
	lug_writer_tick(writer, 2000 * ms);
	EXPECT_EQ(sent, std::vector<enum lug_status>{LUG_UNKNOWN});
	EXPECT_EQ(waiting, std::vector<enum lug_status>{LUG_UNAVAILABLE});
	store.calls.clear();
}

/* Another writer has overwritten the row; the versions of rows are above all epochs. */
TEST_F(WriterTest, EpochRisesAfterARowThatCannotBeDecoded)
{
	struct lug_row row = {const_cast<char *>("t"), 40, nullptr, FALSE};

	EXPECT_EQ(lug_writer_row_epoch(&row), 40u);
	EXPECT_FALSE(lug_writer_row_is_free(&row, 3000 * ms, 3000)) << "the lease may be held";
	EXPECT_TRUE(lug_writer_row_is_free(&row, 3100 * ms, 3000));
	for (const char *text :
	     {"{\"epoch\":-1}", "{\"epoch\":\"x\"}", "{}", "{\"epoch\":9223372036854775807}"}) {
		row.data = lug_json_parse(text, -1, nullptr);
		EXPECT_EQ(lug_writer_row_epoch(&row), 40u) << text;
		json_object_unref(row.data);
	}
	row.data = lug_json_parse("{\"epoch\":7,\"owner\":\"x\",\"ttl_ms\":9223372036854775807}",
				  -1, nullptr);
	EXPECT_EQ(lug_writer_row_epoch(&row), 7u);
	EXPECT_FALSE(lug_writer_row_is_free(&row, 3100 * ms, 0));
	EXPECT_TRUE(lug_writer_row_is_free(&row, 3600 * 1000 * ms, 0)) << "the longest lease";
	json_object_unref(row.data);
	row = {const_cast<char *>("t"), 0, nullptr, FALSE};
	EXPECT_EQ(lug_writer_row_epoch(&row), 0u);
}

TEST_F(WriterTest, ReleasedRowIsFreeAtOnceHeldRowAfterExpiry)
{
	struct lug_writer *writer = held_writer();
	struct lug_row row = read_leased_row(store, "t");

	/* The margin for clock drift is 2 % of the 3000 ms of the lease. */
	EXPECT_FALSE(lug_writer_row_is_free(&row, 3000 * ms, 0));
	EXPECT_TRUE(lug_writer_row_is_free(&row, 3100 * ms, 0));
	json_object_unref(row.data);
	lug_writer_release(writer, 1200 * ms);
	store.settle();
	row = read_leased_row(store, "t");
	EXPECT_TRUE(lug_writer_row_is_free(&row, 0, 0));
	EXPECT_EQ(events.back(), LUG_WRITER_RELEASED);
	json_object_unref(row.data);
}

/* The clock was asked for 0.1 s before, and may run 2 % faster since; the lease takes 3 s. */
TEST_F(WriterTest, RowStatesTheEndOfItsLeaseOnTheClockOfTheTableService)
{
	struct lug_row row = {};

	store.base.clock_ms = 50000;
	store.base.clock_asked_us = 900 * ms;
	held_writer();
	row.version = 1;
	row.data = lug_json_parse(store.rows["queue/t"].data.c_str(), -1, nullptr);
	EXPECT_EQ(lug_json_int(row.data, "ends_ms", 0), 50000 + 102 + 1 + 3000);
	EXPECT_EQ(lug_writer_row_left_ms(&row, 50103), 3000 + 60);
	EXPECT_EQ(lug_writer_row_left_ms(&row, 53103), 0);
	EXPECT_EQ(lug_writer_row_left_ms(&row, 60000), 0);
	EXPECT_EQ(lug_writer_row_left_ms(&row, 0), -1);
	json_object_unref(row.data);
}
