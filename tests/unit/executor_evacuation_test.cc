#include "executor_fixture.h"

namespace
{
/* An agent in zone "z", which knows the evacuated zones. */
struct ExecutorEvacuationTest : public ExecutorFixture {
	struct lug_evacuation *zones = lug_evacuation_new("z", nullptr, nullptr);
	const struct lug_run_id run_a = id("a");

	void SetUp() override
	{
		ExecutorFixture::SetUp();
		lug_executor_set_evacuation(exec, zones);
	}

	void TearDown() override
	{
		ExecutorFixture::TearDown();
		lug_evacuation_free(zones);
	}

	void read(const char *evacuated = nullptr)
	{
		lug_evacuation_begin_read(zones);
		if (evacuated)
			lug_evacuation_add(zones, evacuated);
		lug_evacuation_end_read(zones, lug_now_us());
		tick();
	}

	void expect_refused(const char *job)
	{
		size_t n = worker.orders.size();

		start(job);
		EXPECT_EQ(worker.orders.size(), n) << "nothing is sent to the worker";
		ASSERT_FALSE(answers.empty());
		EXPECT_EQ(answers.back(), std::make_pair(std::string(job) + "#1", LUG_NOT_RUN));
	}

	void expect_beat(bool ready, bool evacuated)
	{
		send_beat_to_owner(0, [&](const Lug__WorkerBeat &beat) {
			EXPECT_EQ(beat.ready, ready);
			EXPECT_EQ(beat.evacuated, evacuated);
		});
	}
};

/* A process that starts during an evacuation does not know of it. */
TEST_F(ExecutorEvacuationTest, ANewProcessAcceptsNoStartBeforeItsFirstCompleteRead)
{
	expect_refused("a");
	expect_beat(false, false);
	lug_evacuation_begin_read(zones);
	expect_refused("b");
	read();
	expect_beat(true, false);
	start("c");
	EXPECT_EQ(worker.orders.size(), 1u);
}

TEST_F(ExecutorEvacuationTest, StartsAreRefusedUntilTheRowIsDeleted)
{
	read("other");
	start("a");
	ASSERT_EQ(worker.orders.size(), 1u);
	worker.answer(LUG_ORDER_OK);
	read("z");
	expect_refused("b");
	expect_beat(false, true);
	lug_evacuation_remove(zones, "z");
	tick();
	expect_beat(true, false);
	start("c");
	EXPECT_EQ(worker.orders.size(), 1u);
}

/* The worker knows the zone that it runs in; the settings may be wrong. */
TEST_F(ExecutorEvacuationTest, TheZoneThatTheWorkerReportsCountsToo)
{
	zone = "y";
	send_heartbeat();
	read("y");
	expect_refused("a");
	expect_beat(false, true);
}

/* An agent that was suspended or cut off has not seen what happened meanwhile. */
TEST_F(ExecutorEvacuationTest, StartsAreRefusedWhileTheSetIsOld)
{
	read();
	ASSERT_EQ(exec_check_zone(exec, lug_now_us()), LUG_EVACUATION_OPEN);
	EXPECT_EQ(exec_check_zone(exec, lug_now_us() + LUG_EVACUATION_AGE_MAX_US + 1000),
		  LUG_EVACUATION_UNKNOWN);
}

/* A start that is sent again after the evacuation began is a new start in that zone. */
TEST_F(ExecutorEvacuationTest, AnUnansweredStartIsStoppedInsteadOfRepeated)
{
	guint64 token;

	read();
	start("a");
	worker.answer(LUG_ORDER_UNKNOWN);
	ASSERT_EQ(worker.orders.size(), 1u);
	EXPECT_EQ(worker.orders[0].kind, "start") << "repeated";
	token = worker.orders[0].token;
	read("z");
	worker.answer(LUG_ORDER_UNKNOWN);
	ASSERT_EQ(worker.orders.size(), 1u);
	EXPECT_EQ(worker.orders[0].kind, "stop");
	EXPECT_GT(worker.orders[0].token, token) << "the worker refuses the starts sent before";
	worker.answer(LUG_ORDER_OK);
	EXPECT_TRUE(worker.orders.empty());
	/* Another run has to wait until no start of this one can be carried out late. */
	EXPECT_NE(exec_find_run(exec, &run_a), nullptr);
}

/* Owners withdraw a start by one for lease epoch 0, also from an agent that knows of no evacuation.
 */
TEST_F(ExecutorEvacuationTest, AWithdrawnStartThatArrivesLaterIsDropped)
{
	read();
	seq = 1;
	start("a", 1000, /* lease_epoch */ 0);
	seq = 0;
	start("a");
	EXPECT_TRUE(worker.orders.empty());
	EXPECT_TRUE(answers.empty());
	send_beat_to_owner(0, [&](const Lug__WorkerBeat &beat) {
		ASSERT_EQ(beat.n_shards, 1u);
		EXPECT_EQ(beat.shards[0]->last_seq, 2u) << "tells the owner that it won't run";
		EXPECT_EQ(beat.shards[0]->n_held, 0u);
	});
}

/* The next poll makes the worker refuse starts that wait somewhere on their way to it. */
TEST_F(ExecutorEvacuationTest, StartsSentBeforeAreFencedOnce)
{
	guint64 token = exec_token(exec);

	read();
	EXPECT_EQ(exec_token(exec), token);
	read("z");
	EXPECT_GT(exec_token(exec), token);
	token = exec_token(exec);
	read("z");
	EXPECT_EQ(exec_token(exec), token);
}

TEST_F(ExecutorEvacuationTest, RunningRunsKeepTheirLeaseAndCanBeStopped)
{
	gint64 expires_ms;

	read();
	start("a");
	worker.answer(LUG_ORDER_OK);
	running.push_back({id("a"), 10});
	read("z");
	expires_ms = exec->grant_expires_ms;
	for (int i = 0; i < 3; i++) {
		g_usleep(1000);
		lug_writer_rewrite(exec->writer, lug_now_us());
		store.settle();
		clock_ms += 10;
		answer_poll();
		tick();
	}
	EXPECT_GT(exec->grant_expires_ms, expires_ms) << "the lease is renewed";
	EXPECT_EQ(exec_find_run(exec, &run_a)->state, EXEC_RUNNING);
	stop("a");
	ASSERT_EQ(worker.orders.size(), 1u);
	EXPECT_EQ(worker.orders[0].kind, "stop");
}

TEST_F(ExecutorEvacuationTest, HeartbeatsTellHowLongTheWorkerStaysCold)
{
	guint32 told_ms = 0;

	cold_ms = 8000;
	send_heartbeat();
	send_beat_to_owner(0, [&](const Lug__WorkerBeat &beat) { told_ms = beat.cold_ms; });
	EXPECT_GT(told_ms, 7000u);
	EXPECT_LE(told_ms, 8000u);
	cold_ms = 0;
	send_heartbeat();
	send_beat_to_owner(0, [&](const Lug__WorkerBeat &beat) { told_ms = beat.cold_ms; });
	EXPECT_EQ(told_ms, 0u);
}

} // namespace
