#include "lug.h"

extern "C" {
#include "colocate/control.h"
#include "colocate/health.h"
#include "colocate/reserve.h"
#include "job/queue.h"
#include "route/admit.h"
#include "route/budget.h"
#include "route/choose.h"
#include "team/charge.h"
#include "team/share.h"
}

namespace
{
const gint64 ms = 1000;
const gint64 second = 1000 * 1000;

struct lug_job *make_job(const char *id, const char *kind, guint32 count, gint64 run_ms,
			 gint64 millicores = 1000, bool urgent = false)
{
	struct lug_job *job = g_new0(struct lug_job, 1);

	g_strlcpy(job->id, id, sizeof(job->id));
	g_strlcpy(job->kind, kind, sizeof(job->kind));
	job->count = count;
	job->declared_ms = run_ms;
	job->size.millicores = millicores;
	job->urgent = urgent;
	job->idempotent = TRUE;
	return job;
}

struct QueueTest : public testing::Test {
	struct lug_queue *queue = lug_queue_new("t");
	struct lug_resources room = {16000, 0, 0};
	struct lug_resources reserved_room = {0, 0, 0};

	void TearDown() override
	{
		lug_queue_free(queue);
	}

	const char *pick(gint64 now_us)
	{
		struct lug_task *task =
			lug_queue_pick(queue, &room, &reserved_room, "r", "z", nullptr, now_us);

		return task ? task->job->job->id : nullptr;
	}
};
} // namespace

TEST_F(QueueTest, PicksShortTasksFirstWithoutStarvingLongOnes)
{
	lug_queue_add(queue, make_job("giant", "big", 1, 100000), 0);
	lug_queue_add(queue, make_job("short", "small", 1, 100), 0);
	EXPECT_STREQ(pick(50 * ms), "short");
	lug_queue_add(queue, make_job("fresh", "small", 1, 100), 1000 * second);
	lug_queue_remove(queue, lug_queue_find(queue, "short"));
	EXPECT_STREQ(pick(1000 * second), "giant");
}

TEST_F(QueueTest, LearnedRunTimeOverridesDeclaredOne)
{
	struct lug_queue_job *underdeclared =
		lug_queue_add(queue, make_job("liar", "big", 1, 10), 0);

	lug_queue_add(queue, make_job("honest", "small", 1, 1000), 0);
	EXPECT_STREQ(pick(ms), "liar");
	for (int i = 0; i < 3; i++)
		lug_queue_observe_run(queue, "big", 60000, ms);
	EXPECT_EQ(lug_queue_estimate_ms(queue, underdeclared->job), 60000);
	EXPECT_STREQ(pick(ms), "honest");
}

TEST_F(QueueTest, PicksUrgentTasksFirst)
{
	/* The last arguments are: declared run time, millicores, urgent. */
	lug_queue_add(queue, make_job("short", "small", 1, 1), 0);
	lug_queue_add(queue, make_job("urgent", "big", 1, 100000, 1000, true), 10 * second);
	EXPECT_STREQ(pick(10 * second), "urgent");
}

TEST_F(QueueTest, PicksOnlyTasksThatFitAndAreDue)
{
	struct lug_queue_job *big = lug_queue_add(queue, make_job("big", "k", 1, 10, 32000), 0);
	struct lug_queue_job *later = lug_queue_add(queue, make_job("later", "k", 1, 10), 0);

	later->tasks[0].retry_us = second;
	EXPECT_EQ(pick(0), nullptr);
	EXPECT_STREQ(pick(second), "later");
	later->job->cancelled = TRUE;
	EXPECT_EQ(pick(second), nullptr);
	EXPECT_EQ(big->open, 1u);
}

TEST_F(QueueTest, CountsResourcesOfActiveTasksOnce)
{
	struct lug_queue_job *qjob = lug_queue_add(queue, make_job("j", "k", 3, 10, 2000), 0);

	lug_queue_set_state(queue, &qjob->tasks[0], LUG_TASK_CLAIMING, 0);
	lug_queue_set_state(queue, &qjob->tasks[0], LUG_TASK_RUNNING, 0);
	lug_queue_set_state(queue, &qjob->tasks[1], LUG_TASK_CLAIMING, 0);
	EXPECT_EQ(lug_queue_usage(queue).millicores, 4000);
	lug_queue_set_state(queue, &qjob->tasks[0], LUG_TASK_DONE, 0);
	lug_queue_set_state(queue, &qjob->tasks[1], LUG_TASK_PENDING, 0);
	EXPECT_EQ(lug_queue_usage(queue).millicores, 0);
	EXPECT_EQ(qjob->open, 2u);
	EXPECT_EQ(qjob->done, 1u);
}

TEST_F(QueueTest, LongTasksLeaveReservedRoomToKindsKnownToBeShort)
{
	lug_queue_add(queue, make_job("giant", "big", 1, 10, 15000), 0);
	reserved_room.millicores = 1600;
	EXPECT_EQ(pick(second), nullptr) << "declared as short, but not known to be";
	for (int i = 0; i < 3; i++)
		lug_queue_observe_run(queue, "small", 100, second);
	lug_queue_add(queue, make_job("short", "small", 1, 60000, 15000), 0);
	EXPECT_STREQ(pick(second), "short");
	EXPECT_TRUE(lug_queue_expects_short(queue, 2 * second));
	EXPECT_FALSE(lug_queue_expects_short(queue, 62 * second));
}

TEST(Health, QuarantinesWorkerThatFailsTasksThatSucceedElsewhere)
{
	struct lug_health health = {};

	/* The arguments are: success, the kind has succeeded before, current time. */
	for (int i = 0; i < 10; i++)
		lug_health_update(&health, FALSE, FALSE, 0);
	EXPECT_FALSE(lug_health_is_quarantined(&health, 1)) << "the job may be at fault";
	lug_health_update(&health, FALSE, TRUE, 0);
	EXPECT_EQ(lug_health_max_starts(&health), 1u);
	EXPECT_FALSE(lug_health_is_quarantined(&health, 1));
	lug_health_update(&health, FALSE, TRUE, 0);
	EXPECT_TRUE(lug_health_is_quarantined(&health, 59 * second));
	EXPECT_FALSE(lug_health_is_quarantined(&health, 60 * second));
	lug_health_update(&health, FALSE, TRUE, 60 * second);
	EXPECT_TRUE(lug_health_is_quarantined(&health, 179 * second))
		<< "the first failure after a quarantine starts a longer one";
	lug_health_update(&health, TRUE, TRUE, 200 * second);
	EXPECT_EQ(lug_health_max_starts(&health), 0u);
}

TEST(Share, PicksUrgentThenLeastShareAmongQueuesThatFit)
{
	/* Share, urgent, waiting time, smallest task. */
	struct lug_want high_share = {0.9, FALSE, 9 * second, {1000, 0, 0}};
	struct lug_want low_share = {0.1, FALSE, 0, {1000, 0, 0}};
	struct lug_want large = {0.0, FALSE, 0, {9000, 0, 0}};
	struct lug_want urgent = {1.0, TRUE, 0, {1000, 0, 0}};
	const struct lug_want *without_urgent[] = {&high_share, &low_share, &large};
	const struct lug_want *all[] = {&high_share, &low_share, &large, &urgent};
	struct lug_resources room = {4000, 0, 0};
	struct lug_resources none = {500, 0, 0};

	EXPECT_EQ(lug_share_pick(without_urgent, 3, &room), 1);
	EXPECT_EQ(lug_share_pick(all, 4, &room), 3);
	EXPECT_EQ(lug_share_pick(all, 4, &none), -1);
}

TEST(Reserve, NeverReservesMoreThanTheWorkerHas)
{
	/* Total, reserved for the service, reserved for tasks. */
	struct lug_reserve reserve = {{16000, 100, 1}, {4000, 10, 0}, {0, 0, 0}};
	struct lug_resources task = {5000, 10, 0};
	struct lug_resources accelerator_task = {1000, 1, 1};
	struct lug_resources negative = {-1, 0, 0};

	EXPECT_TRUE(lug_reserve_acquire(&reserve, &task));
	EXPECT_TRUE(lug_reserve_acquire(&reserve, &task));
	EXPECT_FALSE(lug_reserve_acquire(&reserve, &task));
	EXPECT_FALSE(lug_reserve_acquire(&reserve, &negative));
	EXPECT_TRUE(lug_reserve_acquire(&reserve, &accelerator_task));
	EXPECT_FALSE(lug_reserve_acquire(&reserve, &accelerator_task));
	lug_reserve_release(&reserve, &task);
	EXPECT_EQ(lug_reserve_room(&reserve).millicores, 6000);
}

TEST(Admit, RunsQueuesOrRefusesByLoadAndDeadline)
{
	/* Two slots, four requests in all, two of them queued; service time 10 ms. */
	struct lug_admit_state admit = {2, 4, 2, 0, 0, 10 * ms};

	EXPECT_EQ(lug_admit_decide(&admit, second), LUG_ADMIT_RUN);
	admit.busy = 2;
	EXPECT_EQ(lug_admit_decide(&admit, second), LUG_ADMIT_QUEUE);
	EXPECT_EQ(lug_admit_decide(&admit, 12 * ms), LUG_ADMIT_TOO_LATE);
	admit.queued = 2;
	EXPECT_EQ(lug_admit_decide(&admit, second), LUG_ADMIT_FULL);
	admit.busy = 0;
	admit.queued = 0;
	EXPECT_EQ(lug_admit_decide(&admit, 0), LUG_ADMIT_TOO_LATE);
}

TEST(Budget, LimitsRetriesToAFractionOfFirstAttempts)
{
	struct lug_budget budget;
	int retries = 0;

	lug_budget_init(&budget);
	for (int i = 0; i < 1000; i++) {
		lug_budget_add_attempt(&budget, 20);
		retries += lug_budget_take_retry(&budget) ? 1 : 0;
	}
	/*
	 * 20 % of 1000 attempts, up to 10 more from the initial tokens, and a margin of 5 on both
	 * sides.
	 */
	EXPECT_LE(retries, 215);
	EXPECT_GE(retries, 195);
}

namespace
{
struct ChooseTest : public testing::Test {
	GPtrArray *agents = g_ptr_array_new_with_free_func(g_free);
	GRand *rng = g_rand_new_with_seed(3);
	struct lug_choice choice = {"s", "z", "r", nullptr, 100 * second};

	struct lug_agent *add(guint32 busy)
	{
		struct lug_agent *agent = g_new0(struct lug_agent, 1);

		strcpy(agent->service, "s");
		strcpy(agent->zone, "z");
		strcpy(agent->region, "r");
		agent->slots_max = 8;
		agent->busy = busy;
		agent->service_us = 10 * ms;
		agent->heard_us = choice.now_us;
		agent->interval_us = second / 2;
		g_ptr_array_add(agents, agent);
		return agent;
	}

	int picks(const struct lug_agent *agent, int tries)
	{
		const struct lug_chooser *chooser = lug_chooser_two_choices();
		int n = 0;

		for (int i = 0; i < tries; i++)
			n += chooser->ops->pick(chooser, agents, &choice, rng) == agent;
		return n;
	}

	void TearDown() override
	{
		g_ptr_array_unref(agents);
		g_rand_free(rng);
	}
};
} // namespace

TEST_F(ChooseTest, PrefersIdleAndNearAgents)
{
	struct lug_agent *busy = add(8);
	struct lug_agent *far = add(0);
	struct lug_agent *idle = add(0);

	strcpy(far->zone, "other");
	/* Two of the three agents are drawn: idle and busy, far and busy, or idle and far. */
	EXPECT_EQ(picks(busy, 300), 0);
	EXPECT_GT(picks(idle, 300), 150);
	EXPECT_GT(picks(far, 300), 50);
}

TEST_F(ChooseTest, SkipsLeavingSilentAndEjectedAgents)
{
	struct lug_agent *leaving = add(0);
	struct lug_agent *silent = add(0);
	struct lug_agent *failing = add(0);
	struct lug_agent *good = add(7);

	add(7);

	leaving->leaving = TRUE;
	silent->heard_us -= 2 * second;
	for (int i = 0; i < 3; i++)
		lug_choose_observe_result(failing, FALSE, choice.now_us);
	EXPECT_EQ(picks(leaving, 100), 0);
	EXPECT_EQ(picks(silent, 100), 0);
	EXPECT_EQ(picks(failing, 100), 0);
	EXPECT_GT(picks(good, 100), 0);
}

TEST_F(ChooseTest, EjectionLeavesAtLeastOneAgent)
{
	struct lug_agent *one = add(0);
	struct lug_agent *two = add(0);

	for (int i = 0; i < 5; i++) {
		lug_choose_observe_result(one, FALSE, choice.now_us);
		lug_choose_observe_result(two, FALSE, choice.now_us);
	}
	/* As all agents are ejected, all remain eligible. */
	EXPECT_EQ(picks(one, 100) > 0, true);
	lug_choose_observe_result(one, TRUE, choice.now_us);
	EXPECT_EQ(one->consecutive_failures, 0u);
}

TEST(Throttle, ThrottlesQuicklyRaisesSlowlyAndEvictsOnlyAtLowestLevel)
{
	struct lug_control control;
	gint64 now = 0;
	int evicted = 0;
	int steps_down = 0;

	lug_control_init(&control, 50 * ms);
	for (; now < 4 * second; now += 50 * ms) {
		for (int i = 0; i < 16; i++)
			lug_control_add_sample(&control, 90 * ms);
		enum lug_control_action action = lug_control_decide(&control, now);

		steps_down += action == LUG_CONTROL_THROTTLE;
		evicted += action == LUG_CONTROL_EVICT;
	}
	EXPECT_EQ(control.throttle_percent, 10);
	EXPECT_EQ(steps_down, 5);
	EXPECT_EQ(evicted, 0);
	for (; now < 8 * second; now += 50 * ms) {
		for (int i = 0; i < 16; i++)
			lug_control_add_sample(&control, 90 * ms);
		evicted += lug_control_decide(&control, now) == LUG_CONTROL_EVICT;
	}
	EXPECT_EQ(evicted, 1);
	for (; now < 30 * second; now += 50 * ms) {
		for (int i = 0; i < 16; i++)
			lug_control_add_sample(&control, 10 * ms);
		lug_control_decide(&control, now);
	}
	EXPECT_EQ(control.throttle_percent, 100);
}

TEST(Usage, RepeatedReadingAddsNothingAndRestartLosesNothing)
{
	JsonObject *meters = json_object_new();
	JsonObject *first;
	JsonObject *repeated;
	JsonObject *restarted;

	json_object_set_int_member(meters, "a", 100);
	first = lug_usage_update(nullptr, "boot1", meters);
	repeated = lug_usage_update(first, "boot1", meters);
	EXPECT_EQ(lug_usage_total(repeated, "a"), 100);
	json_object_set_int_member(meters, "a", 30);
	restarted = lug_usage_update(repeated, "boot2", meters);
	EXPECT_EQ(lug_usage_total(restarted, "a"), 130);
	json_object_unref(first);
	json_object_unref(repeated);
	json_object_unref(restarted);
	json_object_unref(meters);
}
