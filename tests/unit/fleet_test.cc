#include "shard_fixture.h"

extern "C" {
#include "workflow/shard_priv.h"
}

/* Incident long-running-task-not-started-again: the life of an agent settles no claims. */
namespace
{
/* Longer than SILENT_US. */
constexpr gint64 UNLISTED_US = 2000 * 1000;
/* The lease of 6 s, the clock drift and FENCE_MARGIN_US, and a little more. */
constexpr gint64 LAPSED_US = 6500 * 1000;

struct FleetTest : public ShardFixture {
	/* Puts the row of w1's lease and claims the tasks of job a for w1. */
	void claim_tasks()
	{
		store.put("w1|worker/w1", lease_row);
		take_shard_with_worker();
		add_stored_job("a");
		run_rounds();
		ASSERT_NE(state_row("a").find("r1."), std::string::npos);
	}

	struct lug_fleet_worker *w1()
	{
		return lug_fleet_find(fleet, "w1");
	}

	void set_listed_us(gint64 listed_us)
	{
		auto *claims = static_cast<struct shard_claims *>(
			g_hash_table_lookup(shard->claims, g_intern_string("w1")));

		claims->listed_us = listed_us;
	}

	/* Delivers a heartbeat without lists; returns whether it was applied. */
	bool send_beat_without_lists(guint64 lease_epoch, guint64 incarnation = 2)
	{
		Lug__WorkerBeat beat = LUG__WORKER_BEAT__INIT;
		Lug__Envelope env = LUG__ENVELOPE__INIT;
		struct lug_route route = {};

		beat.lease_epoch = lease_epoch;
		env.from = (char *)"w1";
		env.incarnation = incarnation;
		env.body_case = LUG__ENVELOPE__BODY_WORKER_BEAT;
		env.worker_beat = &beat;
		return lug_fleet_on_beat(fleet, &route, &env, lug_now_us()) != nullptr;
	}

	void check_leases()
	{
		if (w1())
			w1()->next_lease_check_us = 0;
		lug_fleet_tick(fleet, lug_now_us());
		store.settle();
	}

	bool is_fenced()
	{
		return store.rows["w1|worker/w1"].data.find("\"owner\":\"\"") != std::string::npos;
	}

	bool is_claimed()
	{
		run_rounds();
		return state_row("a").find("r1.") != std::string::npos;
	}

	const char *lease_row = "{\"owner\":\"w1\",\"epoch\":1,\"ttl_ms\":6000,\"txn\":\"x\"}";
};

TEST_F(FleetTest, WorkerWhoseAgentLivesWithoutListsAndWithoutALeaseIsFenced)
{
	claim_tasks();
	set_listed_us(lug_now_us() - UNLISTED_US);
	EXPECT_TRUE(send_beat_without_lists(0));
	check_leases();
	EXPECT_TRUE(send_beat_without_lists(0));
	w1()->lease_row_since_us = lug_now_us() - LAPSED_US + 600 * 1000;
	check_leases();
	EXPECT_FALSE(is_fenced()) << "the lease of 6 s has not expired";
	EXPECT_TRUE(send_beat_without_lists(0));
	w1()->lease_row_since_us = lug_now_us() - LAPSED_US;
	check_leases();
	EXPECT_TRUE(is_fenced());
	EXPECT_FALSE(is_claimed()) << state_row("a");
}

/* The agent's next process has to learn which incarnation of the worker the former one knew. */
TEST_F(FleetTest, AFencedRowStillNamesTheWorker)
{
	claim_tasks();
	store.put("w1|worker/w1", "{\"owner\":\"w1\",\"epoch\":1,\"ttl_ms\":6000,\"txn\":\"x\","
				  "\"worker_id\":\"i\",\"worker_incarnation\":100}");
	set_listed_us(lug_now_us() - UNLISTED_US);
	EXPECT_TRUE(send_beat_without_lists(0));
	check_leases();
	w1()->lease_row_since_us = lug_now_us() - LAPSED_US;
	check_leases();
	EXPECT_TRUE(is_fenced());
	EXPECT_NE(store.rows["w1|worker/w1"].data.find("\"worker_id\":\"i\""), std::string::npos);
	EXPECT_NE(store.rows["w1|worker/w1"].data.find("\"worker_incarnation\":100"),
		  std::string::npos);
}

TEST_F(FleetTest, WorkerWhoseLeaseIsRenewedIsNotFenced)
{
	claim_tasks();
	set_listed_us(lug_now_us() - UNLISTED_US);
	send_beat_without_lists(0);
	check_leases();
	w1()->lease_row_since_us = lug_now_us() - LAPSED_US;
	store.put("w1|worker/w1", lease_row);
	check_leases();
	EXPECT_FALSE(is_fenced());
	EXPECT_TRUE(is_claimed());
}

TEST_F(FleetTest, AListStartsTheObservationOfTheLeaseAnew)
{
	claim_tasks();
	set_listed_us(lug_now_us() - UNLISTED_US);
	send_beat_without_lists(0);
	check_leases();
	w1()->lease_row_since_us = lug_now_us() - LAPSED_US;
	set_listed_us(lug_now_us());
	check_leases();
	set_listed_us(lug_now_us() - UNLISTED_US);
	check_leases();
	EXPECT_FALSE(is_fenced());
	EXPECT_TRUE(is_claimed());
}

TEST_F(FleetTest, AListDuringTheReadOfTheLeasePreventsTheFence)
{
	claim_tasks();
	set_listed_us(lug_now_us() - UNLISTED_US);
	send_beat_without_lists(0);
	check_leases();
	w1()->lease_row_since_us = lug_now_us() - LAPSED_US;
	w1()->next_lease_check_us = 0;
	lug_fleet_tick(fleet, lug_now_us());
	set_listed_us(lug_now_us());
	store.settle();
	EXPECT_FALSE(is_fenced());
	EXPECT_TRUE(is_claimed());
}

TEST_F(FleetTest, TheLeaseOfAWorkerThatListsItsRunsIsNotRead)
{
	claim_tasks();
	lug_fleet_tick(fleet, lug_now_us());
	EXPECT_TRUE(store.calls.empty());
}

TEST_F(FleetTest, ClaimsForAWorkerWithoutALeaseRowAreReturnedWhateverTheirLease)
{
	claim_tasks();
	store.rows.erase("w1|worker/w1");
	set_listed_us(lug_now_us() - UNLISTED_US);
	send_beat_without_lists(0);
	check_leases();
	w1()->lease_row_since_us = lug_now_us() - LAPSED_US + 600 * 1000;
	check_leases();
	EXPECT_TRUE(is_claimed()) << "a lease whose row was deleted may be valid for 6 s";
	w1()->lease_row_since_us = lug_now_us() - LAPSED_US;
	check_leases();
	EXPECT_FALSE(is_claimed()) << state_row("a");
}

TEST_F(FleetTest, ALeaseTakenDuringTheReadKeepsItsClaims)
{
	claim_tasks();
	store.rows.erase("w1|worker/w1");
	set_listed_us(lug_now_us() - UNLISTED_US);
	send_beat_without_lists(0);
	check_leases();
	w1()->lease_row_since_us = lug_now_us() - LAPSED_US;
	w1()->next_lease_check_us = 0;
	lug_fleet_tick(fleet, lug_now_us());
	send_beat_without_lists(1);
	store.settle();
	EXPECT_TRUE(is_claimed());
}

/* The table service refuses the write, then the answer to the next one is lost. */
TEST_F(FleetTest, AFenceThatFailsIsRepeatedWithoutAnotherLeaseTime)
{
	claim_tasks();
	set_listed_us(lug_now_us() - UNLISTED_US);
	send_beat_without_lists(0);
	check_leases();
	w1()->lease_row_since_us = lug_now_us() - LAPSED_US;
	for (enum lug_status status : {LUG_UNAVAILABLE, LUG_UNKNOWN}) {
		struct lug_txn_result result = {status, 0, nullptr, 0};
		FakeStore::Call write;

		w1()->next_lease_check_us = 0;
		lug_fleet_tick(fleet, lug_now_us());
		store.answer_scan(store.take());
		ASSERT_EQ(store.calls.size(), 1u) << "the write of the fence";
		write = store.take();
		write.txn_fn(write.data, &result);
		EXPECT_FALSE(is_fenced());
	}
	check_leases();
	EXPECT_TRUE(is_fenced());
	EXPECT_FALSE(is_claimed()) << state_row("a");
}

/* The machine's clock is set back between two processes of the agent. */
TEST_F(FleetTest, AHeartbeatWithALaterLeaseEpochBelongsToALaterProcess)
{
	EXPECT_TRUE(send_beat_without_lists(/* lease_epoch */ 4, /* incarnation */ 900));
	EXPECT_TRUE(send_beat_without_lists(5, 800));
	EXPECT_EQ(w1()->lease_epoch, 5u);
	EXPECT_FALSE(send_beat_without_lists(4, 700)) << "of an earlier process";
	EXPECT_EQ(w1()->incarnation, 800u);
}

/* The former process has the higher incarnation, and its last heartbeat arrives late. */
TEST_F(FleetTest, ALateHeartbeatOfAnEarlierLeaseIsIgnoredWhileTheWorkerIsHeard)
{
	EXPECT_TRUE(send_beat_without_lists(/* lease_epoch */ 4, /* incarnation */ 900));
	EXPECT_TRUE(send_beat_without_lists(5, 800));
	EXPECT_FALSE(send_beat_without_lists(4, 900));
	EXPECT_EQ(w1()->incarnation, 800u);
	w1()->last_beat_us = lug_now_us() - UNLISTED_US;
	EXPECT_TRUE(send_beat_without_lists(4, 1000)) << "the row of the lease was lost";
}

TEST_F(FleetTest, AHeartbeatOfALowerIncarnationIsIgnoredUntilTheHigherOneIsSilent)
{
	EXPECT_TRUE(send_beat_without_lists(4, 900));
	EXPECT_FALSE(send_beat_without_lists(0, 800));
	EXPECT_FALSE(send_beat_without_lists(4, 800));
	w1()->last_beat_us = lug_now_us() - UNLISTED_US;
	EXPECT_FALSE(send_beat_without_lists(3, 800)) << "of an earlier process";
	EXPECT_TRUE(send_beat_without_lists(0, 800));
	EXPECT_TRUE(send_beat_without_lists(5, 800));
	EXPECT_FALSE(send_beat_without_lists(4, 700));
}

/* Incident lease-watch-begun-anew: each new owner watched the lease of a lost worker from the
 * start. */
struct HandOverTest : public FleetTest {
	/* The shard's row as the former owner left it; its state has claims for w1. */
	void take_shard_after(gint64 unchanged_ms, gint64 versions_ago = 0)
	{
		gint64 version;

		claim_tasks();
		version = lease_version() - versions_ago;
		lug_shard_free(shard);
		lug_fleet_free(fleet);
		store.calls.clear();
		create_shard();
		store.put("0|shard/0",
			  "{\"owner\":\"o\",\"epoch\":7,\"ttl_ms\":1,\"txn\":\"x\","
			  "\"watched_leases\":[3,{\"worker\":7},{\"worker\":\"w1\",\"version\":" +
				  std::to_string(version) +
				  ",\"unchanged_ms\":" + std::to_string(unchanged_ms) + "}]}");
		take_shard();
		run_rounds();
	}

	gint64 lease_version()
	{
		return store.version("w1|worker/w1");
	}

	std::string shard_row()
	{
		return store.rows["0|shard/0"].data;
	}
};

TEST_F(HandOverTest, AnOwnerCountsTheTimeThatTheFormerOneHasSeen)
{
	take_shard_after(LAPSED_US / 1000);
	check_leases();
	EXPECT_TRUE(is_fenced());
	EXPECT_FALSE(is_claimed()) << state_row("a");
}

TEST_F(HandOverTest, AnOwnerFencesNoLeaseBeforeItHasExpired)
{
	take_shard_after(LAPSED_US / 1000 - 600);
	check_leases();
	check_leases();
	EXPECT_FALSE(is_fenced());
}

TEST_F(HandOverTest, AnOwnerDoesNotCountTheTimeOfAnEarlierRow)
{
	take_shard_after(LAPSED_US / 1000, /* versions_ago */ 1);
	check_leases();
	check_leases();
	EXPECT_FALSE(is_fenced());
	EXPECT_TRUE(is_claimed());
}

TEST_F(HandOverTest, AHeartbeatEndsTheWatch)
{
	take_shard_after(LAPSED_US / 1000);
	EXPECT_TRUE(send_beat_without_lists(1));
	check_leases();
	check_leases();
	EXPECT_FALSE(is_fenced());
}

TEST_F(HandOverTest, AnOwnerStatesWhatItKnowsInItsFirstRowAndAfterThat)
{
	take_shard_after(3000);
	EXPECT_NE(shard_row().find("\"version\":" + std::to_string(lease_version())),
		  std::string::npos)
		<< shard_row();
	check_leases();
	lug_shard_release(shard, lug_now_us());
	run_rounds();
	EXPECT_NE(shard_row().find("\"owner\":\"\""), std::string::npos) << shard_row();
	EXPECT_NE(shard_row().find("\"unchanged_ms\":3"), std::string::npos) << shard_row();
}

TEST_F(HandOverTest, TheRowNamesNoLeaseOfAWorkerThatIsHeard)
{
	claim_tasks();
	lug_shard_release(shard, lug_now_us());
	run_rounds();
	EXPECT_EQ(shard_row().find("watched_leases"), std::string::npos) << shard_row();
}
} // namespace
