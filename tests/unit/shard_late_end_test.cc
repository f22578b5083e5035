#include "shard_fixture.h"

namespace
{
/*
 * A run that was counted as lost may be reported as done after all. Its task need not run again,
 * wherever a later run is.
 */
struct LateEndTest : public ShardFixture {
	const guint64 *starts = &ctx->metrics->counters[LUG_C_TASKS_STARTED];
	const guint64 *acks = &ctx->metrics->counters[LUG_C_ENDS_ACKNOWLEDGED];

	/* The first runs of both tasks are lost; the claims of the next ones are being stored. */
	void lose_first_runs()
	{
		take_shard_with_worker();
		add_stored_job("a");
		run_rounds();
		lug_shard_worker_lost(shard, "w1", 1, lug_now_us());
		place_tasks();
	}

	void place_tasks()
	{
		while (g_main_context_iteration(nullptr, FALSE))
			;
		ASSERT_EQ(store.calls.size(), 1u) << "the transaction";
	}
};

TEST_F(LateEndTest, ALostRunThatIsDoneBeforeTheNextStartIsSentEndsItsTask)
{
	lose_first_runs();
	end_run("a", 0, 0, 1, LUG_RUN_DONE);
	EXPECT_EQ(*acks, 0u) << "before it is stored";
	run_rounds();
	EXPECT_EQ(*starts, 3u) << "the second run of the other task only";
	EXPECT_NE(state_row("a").find("\"d r2.0."), std::string::npos) << state_row("a");
	EXPECT_EQ(*acks, 1u);
	end_run("a", 0, 1, 1, LUG_RUN_DONE);
	run_rounds();
	EXPECT_NE(state_row("a").find("\"d*2 "), std::string::npos)
		<< "the second run is withdrawn: " << state_row("a");
	EXPECT_EQ(*starts, 4u) << "the next step only";
	EXPECT_EQ(*acks, 2u);
}

TEST_F(LateEndTest, ALostRunThatIsDoneAfterItsSuccessorWasRefusedEndsItsTask)
{
	lose_first_runs();
	run_rounds();
	ASSERT_EQ(*starts, 4u);
	answer_start("a", 0, 2, LUG_OVER_LIMIT, /* answered_seq */ 4);
	place_tasks();
	end_run("a", 0, 0, 1, LUG_RUN_DONE);
	run_rounds();
	EXPECT_EQ(*starts, 4u);
	EXPECT_NE(state_row("a").find("\"d r2.0."), std::string::npos) << state_row("a");
}

TEST_F(LateEndTest, ALostRunThatIsDoneAfterItsSuccessorWasLostEndsItsTask)
{
	lose_first_runs();
	run_rounds();
	lug_shard_worker_lost(shard, "w1", 1, lug_now_us());
	end_run("a", 0, 0, 1, LUG_RUN_DONE);
	run_rounds();
	EXPECT_NE(state_row("a").find("\"d r3.0."), std::string::npos) << state_row("a");
}

/* The second run has not started, and the end is known before the third one is claimed. */
TEST_F(LateEndTest, ALostRunThatIsDoneBeforeItsSuccessorIsRefusedEndsItsTask)
{
	lose_first_runs();
	run_rounds();
	ASSERT_EQ(*starts, 4u);
	end_run("a", 0, 0, 1, LUG_RUN_DONE);
	run_rounds();
	answer_start("a", 0, 2, LUG_OVER_LIMIT, /* answered_seq */ 4);
	run_rounds();
	EXPECT_EQ(*starts, 4u) << "a third run of a task that is done";
	EXPECT_NE(state_row("a").find("\"d r2.0."), std::string::npos) << state_row("a");
}

/* The row of the job does not tell the next owner that the second run was refused. */
TEST_F(LateEndTest, ALostRunWhoseSuccessorWasRefusedEndsItsTaskForTheNextOwner)
{
	lose_first_runs();
	run_rounds();
	answer_start("a", 0, 2, LUG_OVER_LIMIT, /* answered_seq */ 4);
	/* Keeps the task waiting. */
	lug_fleet_find(fleet, "w1")->ready = FALSE;
	run_rounds();
	ASSERT_NE(state_row("a").find("\"w2.0"), std::string::npos) << state_row("a");
	lug_shard_free(shard);
	lug_fleet_free(fleet);
	create_shard();
	take_shard();
	run_rounds();
	end_run("a", 0, 0, 1, LUG_RUN_DONE);
	run_rounds();
	send_beat({{"a", 0, 1, 2}}, 0);
	EXPECT_EQ(state_row("a").find("\"r3.0"), std::string::npos) << state_row("a");
	EXPECT_NE(state_row("a").find("\"d r2.0."), std::string::npos) << state_row("a");
}

/* The claim of the second run is lost with its worker's lease before its start is sent. */
TEST_F(LateEndTest, ALostRunThatIsDoneAfterAnUnsentClaimWasLostEndsItsTask)
{
	lose_first_runs();
	lug_shard_worker_lost(shard, "w1", 1, lug_now_us());
	end_run("a", 0, 0, 1, LUG_RUN_DONE);
	run_rounds();
	EXPECT_EQ(*starts, 3u) << "the other task only";
	EXPECT_NE(state_row("a").find("\"d r3.0."), std::string::npos) << state_row("a");
}

/*
 * The transaction with an end is carried out, its answer is lost, and other processes take the
 * shard over before the owner reads its row again.
 */
struct LostAnswerTest : public LateEndTest {
	FakeStore::Call commit;

	void lose_answer()
	{
		take_shard_with_worker();
		add_stored_job("a");
		run_rounds();
		end_run("a", 0, 0, 1, LUG_RUN_DONE);
		place_tasks();
		commit = store.take();
		ASSERT_TRUE(store.apply(commit).empty());
		FakeStore::answer_lost(commit);
	}

	/* @txn: transaction before that of the process which has the shard now */
	void take_over(const std::string &txn)
	{
		store.put("0|shard/0", "{\"owner\":\"o\",\"epoch\":9,\"ttl_ms\":8000,"
				       "\"txn\":\"y\",\"prev_txn\":\"" +
					       txn + "\"}");
		/* Longer than the delay of a readback. */
		g_usleep(100 * 1000);
		run_rounds();
		EXPECT_EQ(events.back(), LUG_SHARD_LOST);
		EXPECT_FALSE(store.apply(commit).empty()) << "it is not carried out again";
	}

	std::string own_txn()
	{
		JsonObject *row = lug_json_parse(store.rows["0|shard/0"].data.c_str(), -1, nullptr);
		std::string txn = lug_json_str(row, "txn", "");

		json_object_unref(row);
		return txn;
	}
};

TEST_F(LostAnswerTest, AnEndIsAcknowledgedIfTheNextOwnerHasFoundIt)
{
	lose_answer();
	EXPECT_EQ(*acks, 0u);
	take_over(own_txn());
	EXPECT_EQ(*acks, 1u);
}

TEST_F(LostAnswerTest, AnEndIsNotAcknowledgedIfItIsUnknownWhatTheNextOwnerHasFound)
{
	lose_answer();
	take_over("z");
	EXPECT_EQ(*acks, 0u);
}
} // namespace
