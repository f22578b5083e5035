#include "lug.h"

#include "fake_store.h"

#include <zmq.h>

extern "C" {
#include "job/owner_priv.h"
}

/* Incident long-running-task-not-started-again, in teams' queues. */
namespace
{
/* Longer than the lease of 6 s with the clock drift allowed for. */
constexpr gint64 LAPSED_US = 6200 * 1000;

struct OwnerFenceTest : public testing::Test {
	FakeStore store;
	struct lug_ctx *ctx = test_context_with_address("owner");
	struct lug_registry *registry = lug_registry_new(ctx);
	struct lug_link *link = nullptr;
	struct lug_sync *sync = nullptr;
	struct lug_owner *owner = nullptr;

	static void ignore_message(void *data, const struct lug_route *route,
				   const Lug__Envelope *env)
	{
		(void)data;
		(void)route;
		(void)env;
	}

	/* An owner that has loaded a job whose task runs on w1 under lease epoch 3. */
	void SetUp() override
	{
		struct lug_owner_env env = {};
		struct lug_row none = {};

		link = lug_link_new(ctx, ignore_message, nullptr, nullptr);
		ASSERT_NE(link, nullptr);
		sync = lug_sync_new(ctx, &store.base, link, nullptr, nullptr);
		env = {ctx, &store.base, link, sync, registry};
		owner = lug_owner_new(&env, "t");
		store.put("worker/w1",
			  "{\"owner\":\"w1\",\"state\":\"live\",\"epoch\":3,\"ttl_ms\":6000}");
		store.put("job/t/j", "{\"id\":\"j\",\"team\":\"t\",\"count\":1}");
		store.put("task/t/j/00000", "{\"state\":\"running\",\"attempt\":1,"
					    "\"worker\":\"w1\",\"worker_epoch\":3}");
		lug_owner_take(owner, &none, lug_now_us());
		store.settle();
		ASSERT_NE(task(), nullptr);
		ASSERT_EQ(task()->state, LUG_TASK_RUNNING);
	}

	void TearDown() override
	{
		lug_owner_free(owner);
		lug_sync_free(sync);
		lug_link_free(link);
		lug_registry_free(registry);
		lug_ctx_free(ctx);
	}

	struct lug_task *task()
	{
		return lug_queue_task(owner->queue, "j", 0);
	}

	/* Delivers a heartbeat of w1's agent, which lists no attempts. */
	void send_beat(guint64 worker_epoch)
	{
		Lug__Beat beat = LUG__BEAT__INIT;
		Lug__Envelope env = LUG__ENVELOPE__INIT;
		struct lug_route route = {};

		beat.worker_epoch = worker_epoch;
		beat.interval_ms = 400;
		env.from = (char *)"w1";
		env.incarnation = 1;
		env.body_case = LUG__ENVELOPE__BODY_BEAT;
		env.beat = &beat;
		ASSERT_NE(lug_registry_on_beat(registry, &route, &env, lug_now_us()), nullptr);
	}

	struct owner_lease_watch *watch()
	{
		return static_cast<struct owner_lease_watch *>(
			g_hash_table_lookup(owner->lease_watches, "w1"));
	}

	void check_leases()
	{
		owner->next_sweep_us = 0;
		if (watch())
			watch()->next_read_us = 0;
		lug_owner_tick(owner, lug_now_us());
		store.settle();
	}
};

TEST_F(OwnerFenceTest, AttemptsOfAnAgentThatLivesWithoutALeaseAreReturned)
{
	send_beat(0);
	check_leases();
	ASSERT_NE(watch(), nullptr);
	send_beat(0);
	watch()->unchanged_since_us = lug_now_us() - LAPSED_US + 300 * 1000;
	check_leases();
	EXPECT_EQ(task()->state, LUG_TASK_RUNNING) << "the lease of 6 s has not expired";
	watch()->unchanged_since_us = lug_now_us() - LAPSED_US;
	send_beat(0);
	check_leases();
	EXPECT_NE(store.rows["worker/w1"].data.find("\"fenced\""), std::string::npos);
	check_leases();
	EXPECT_EQ(task()->state, LUG_TASK_PENDING);
}

TEST_F(OwnerFenceTest, TheLeaseOfAnAgentThatHoldsItIsNotRead)
{
	send_beat(0);
	check_leases();
	send_beat(3);
	check_leases();
	EXPECT_EQ(watch(), nullptr);
	EXPECT_EQ(task()->state, LUG_TASK_RUNNING);
}

/* Reports of attempts that the owner does not take for current. */
struct OwnerReportTest : public OwnerFenceTest {
	const guint64 *sent = &ctx->metrics->counters[LUG_C_CONTROL_TX_MSGS];
	void *zmq = zmq_ctx_new();
	void *agent = zmq_socket(zmq, ZMQ_ROUTER);
	struct lug_dial *dial = nullptr;
	struct lug_route route = {};

	/* A connection over which acknowledgements can be sent. */
	void SetUp() override
	{
		Lug__ReportAck ack = LUG__REPORT_ACK__INIT;
		char endpoint[64] = "";
		size_t len = sizeof(endpoint);
		LUG_ENVELOPE(env, REPORT_ACK, report_ack, &ack);

		OwnerFenceTest::SetUp();
		ASSERT_EQ(zmq_bind(agent, "tcp://127.0.0.1:*"), 0);
		ASSERT_EQ(zmq_getsockopt(agent, ZMQ_LAST_ENDPOINT, endpoint, &len), 0);
		dial = lug_dial_new(link, endpoint + strlen("tcp://"), nullptr);
		lug_dial_route(dial, &route);
		for (int i = 0; i < 200 && !lug_link_send(link, &route, &env); i++)
			g_usleep(10 * 1000);
		ASSERT_EQ(*sent, 1u) << "the connection is up";
	}

	void TearDown() override
	{
		lug_dial_free(dial);
		OwnerFenceTest::TearDown();
		zmq_close(agent);
		zmq_ctx_term(zmq);
	}

	void lose_attempt()
	{
		store.put("worker/w1", "{\"owner\":\"\",\"state\":\"fenced\",\"epoch\":4}");
		send_beat(0);
		check_leases();
		check_leases();
		ASSERT_EQ(task()->state, LUG_TASK_PENDING);
	}

	void report_done(guint32 attempt)
	{
		Lug__Report report = LUG__REPORT__INIT;
		Lug__TaskId id = LUG__TASK_ID__INIT;

		id.job = (char *)"j";
		id.attempt = attempt;
		report.task = &id;
		report.outcome = LUG_OUTCOME_DONE;
		report.used_ms = 7;
		lug_owner_on_report(owner, &route, "w1", &report, lug_now_us());
	}
};

TEST_F(OwnerReportTest, ADisplacedOwnerDoesNotAcknowledgeItsSuccessorsAttempts)
{
	store.put("queue/t", "{\"owner\":\"other\",\"epoch\":9,\"ttl_ms\":8000,\"txn\":\"y\"}");
	report_done(/* attempt */ 2);
	EXPECT_EQ(*sent, 1u);
}

TEST_F(OwnerReportTest, AnObsoleteReportIsAcknowledgedOnceAfterTheNextCommit)
{
	report_done(/* attempt */ 2);
	report_done(/* attempt */ 2);
	lug_owner_tick(owner, lug_now_us());
	store.settle();
	EXPECT_EQ(*sent, 1u) << "the lease's row has not been written since";
	lug_owner_tick(owner, lug_now_us() + LAPSED_US);
	EXPECT_EQ(*sent, 1u) << "the renewal has no answer";
	store.settle();
	lug_owner_tick(owner, lug_now_us());
	EXPECT_EQ(*sent, 2u);
}

TEST_F(OwnerReportTest, ALostAttemptThatIsDoneBeforeTheNextClaimEndsItsTask)
{
	lose_attempt();
	report_done(/* attempt */ 1);
	EXPECT_EQ(*sent, 1u) << "the end is not stored";
	store.settle();
	EXPECT_EQ(*sent, 2u);
	EXPECT_NE(store.rows["jobdone/t/j"].data.find("\"done\""), std::string::npos);
	EXPECT_NE(store.rows["jobdone/t/j"].data.find("\"used_ms\":7"), std::string::npos);
	EXPECT_NE(store.rows["queue/t"].data.find("\"total\":7"), std::string::npos);
}

TEST_F(OwnerReportTest, ATaskWhoseLateEndIsNotStoredWaitsAgain)
{
	struct lug_txn_result refusal = {LUG_BAD_INPUT, 0, nullptr, 0};

	lose_attempt();
	report_done(/* attempt */ 1);
	ASSERT_EQ(task()->state, LUG_TASK_ENDING);
	ASSERT_EQ(store.calls.size(), 1u);

	FakeStore::Call call = store.take();

	call.txn_fn(call.data, &refusal);
	EXPECT_EQ(task()->state, LUG_TASK_PENDING);
	EXPECT_EQ(*sent, 1u);
	store.settle();
	report_done(/* attempt */ 1);
	store.settle();
	EXPECT_NE(store.rows["jobdone/t/j"].data.find("\"done\""), std::string::npos);
}
} // namespace
