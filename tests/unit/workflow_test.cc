#include "lug.h"

#include <cmath>

extern "C" {
#include "workflow/interference.h"
#include "workflow/workflow.h"
#include "workflow/placement.h"
#include "platform.h"
}

namespace
{
struct lug_workflow *decode(const std::string &body, struct lug_error *err)
{
	return platform_workflow_decode("00112233445566aa", "q", body.c_str(), body.size(), err);
}

TEST(Workflow, EncodingKeepsAllFields)
{
	struct lug_error err = {};
	struct lug_workflow *workflow = decode(
		"{\"spec\":\"s\",\"run_count\":3,\"start_at_ms\":5,\"interval_ms\":7,\"steps\":["
		"{\"count\":4,\"cpu\":500,\"mem_mb\":256,\"est_runtime_ms\":900,\"data_rack\":"
		"\"r1\"},"
		"{\"count\":20,\"cpu\":2000,\"gpu\":1,\"after\":[0],\"checkpointing\":true,"
		"\"spread\":2,\"image\":\"i\",\"target_ms\":150,\"long_running\":true,"
		"\"optional\":1,\"requires\":\"a\"}]}",
		&err);
	char *text;
	struct lug_workflow *decoded;

	ASSERT_NE(workflow, nullptr) << err.msg;
	text = lug_workflow_encode(workflow);
	decoded = lug_workflow_decode_text(workflow->id, text);
	ASSERT_NE(decoded, nullptr);
	EXPECT_EQ(decoded->occurrences, 3u);
	EXPECT_TRUE(decoded->scheduled);
	EXPECT_EQ(decoded->steps[0].size.memory_bytes, 256LL << 20);
	EXPECT_STREQ(decoded->steps[0].data_rack, "r1");
	EXPECT_EQ(decoded->steps[0].max_unavailable, -1);
	EXPECT_EQ(decoded->steps[1].n_after, 1u);
	EXPECT_TRUE(decoded->steps[1].checkpointing && decoded->steps[1].long_running);
	EXPECT_EQ(decoded->steps[1].max_per_worker, 2u);
	EXPECT_EQ(decoded->steps[1].max_unavailable, 1);
	EXPECT_EQ(decoded->steps[1].target_ms, 150);
	EXPECT_STREQ(decoded->steps[1].label, "a");
	EXPECT_EQ(lug_workflow_task_count(decoded), 24u);
	g_free(text);
	lug_workflow_free(workflow);
	lug_workflow_free(decoded);
}

TEST(Workflow, NumbersOutOfRangeAreRefused)
{
	const std::string step = "{\"count\":1,\"cpu\":1";

	for (const std::string &body :
	     {"{\"steps\":[" + step + ",\"spread\":1e300}]}",
	      "{\"steps\":[" + step + ",\"est_runtime_ms\":99999999999999999999}]}",
	      "{\"steps\":[" + step + ",\"target_ms\":9223372036854775807}]}",
	      "{\"steps\":[" + step + ",\"mem_mb\":-1}]}",
	      "{\"start_at_ms\":9223372036854775807,\"run_count\":2,\"steps\":[" + step + "}]}",
	      "{\"interval_ms\":9223372036854775807,\"run_count\":2,\"steps\":[" + step + "}]}",
	      "{\"spec\":\"a\\u0000b\",\"steps\":[" + step + "}]}"}) {
		struct lug_error err = {};

		EXPECT_EQ(decode(body, &err), nullptr) << body;
		EXPECT_STRNE(err.remedy, "") << body;
	}
}

/* A dependency of another type is not one on step 0. */
TEST(Workflow, StoredDependenciesOfAnotherTypeAreRefused)
{
	const std::string steps = "{\"steps\":[{\"count\":1},{\"count\":1,\"after\":[";

	for (const char *after : {"\"x\"", "null", "{}", "[0]", "1e300", "-1e300"})
		EXPECT_EQ(lug_workflow_decode_text("a", (steps + after + "]}]}").c_str()), nullptr)
			<< after;
	EXPECT_EQ(lug_workflow_decode_text("a", "{\"steps\":[1,\"x\"]}"), nullptr);
}

TEST(Workflow, InvalidInputIsRefusedWithAReason)
{
	const std::vector<std::string> bad = {
		"",
		"[]",
		"{",
		"{\"steps\":[]}",
		"{\"steps\":[7]}",
		"{\"steps\":[{\"count\":0}]}",
		"{\"steps\":[{\"count\":-1}]}",
		"{\"steps\":[{\"count\":99999999999}]}",
		"{\"steps\":[{\"count\":\"x\"}]}",
		"{\"steps\":[{\"count\":1,\"cpu\":-5}]}",
		"{\"steps\":[{\"count\":1,\"cpu\":9007199254740992}]}",
		"{\"steps\":[{\"count\":1,\"after\":[0]}]}",
		"{\"steps\":[{\"count\":1},{\"count\":1,\"after\":[\"x\"]}]}",
		"{\"steps\":[{\"count\":1},{\"count\":1,\"after\":[-1,5]}]}",
		"{\"steps\":[{\"count\":1}],\"run_count\":-2}",
		"{\"spec\":\"" + std::string(20000, 'a') + "\",\"steps\":[{\"count\":1}]}",
	};

	for (const std::string &body : bad) {
		struct lug_error err = {};
		struct lug_workflow *workflow = decode(body, &err);

		EXPECT_EQ(workflow, nullptr) << body;
		EXPECT_STRNE(err.msg, "") << body;
		EXPECT_STRNE(err.remedy, "") << body;
		lug_workflow_free(workflow);
	}
}

TEST(Workflow, IdsAreSpreadEvenlyOverShards)
{
	guint n[4] = {};

	for (guint i = 0; i < 4000; i++) {
		char *id = g_strdup_printf("%016x", i * 2654435761u);

		n[lug_workflow_shard(id, 4)]++;
		g_free(id);
	}
	for (guint count : n)
		EXPECT_NEAR(count, 1000, 150);
}

TEST(Queues, RoutesByHostAndLongestPrefix)
{
	struct lug_queues *queues = lug_queues_new(1);

	lug_queues_add(queues, "short", "a.example", "/x/", "s");
	lug_queues_add(queues, "long", "a.example", "/x/y/", "s");
	EXPECT_STREQ(lug_queues_route(queues, "A.example", "/x/y/1")->name, "long");
	EXPECT_STREQ(lug_queues_route(queues, "a.example", "/x/1")->name, "short");
	EXPECT_EQ(lug_queues_route(queues, "b.example", "/x/1"), nullptr);
	EXPECT_EQ(lug_queues_route(queues, "a.example", "/z"), nullptr);
	lug_queues_free(queues);
}

TEST(Queues, ConfigurationWithoutVersionOrRoutesIsRefused)
{
	for (const char *text : {"{}", "{\"version\":1}", "{\"version\":\"x\",\"routes\":[]}",
				 "{\"version\":-1,\"routes\":[]}"}) {
		JsonObject *row = lug_json_parse(text, -1, nullptr);
		struct lug_error err = {};

		EXPECT_EQ(platform_queues_decode(row, &err), nullptr) << text;
		EXPECT_STRNE(err.remedy, "");
		json_object_unref(row);
	}
}

TEST(Queues, InvalidRoutesAreIgnored)
{
	JsonObject *row = lug_json_parse(
		"{\"version\":3,\"routes\":[7,{\"name\":\"q\"},{\"name\":\"r\",\"prefix\":\"/r/\","
		"\"host\":\"h\",\"service\":\"s\",\"attempts\":\"x\",\"priority\":-4}]}",
		-1, nullptr);
	struct lug_queues *queues = platform_queues_decode(row, nullptr);

	ASSERT_NE(queues, nullptr);
	ASSERT_EQ(queues->defs->len, 1u);
	EXPECT_EQ(lug_queues_find(queues, "r")->failures_max, 1u);
	EXPECT_EQ(lug_queues_find(queues, "r")->priority, 0u);
	lug_queues_free(queues);
	json_object_unref(row);
}

struct PlacementTest : public testing::Test {
	struct lug_interference *model = lug_interference_new();
	GRand *rng = g_rand_new_with_seed(1);
	GPtrArray *workers = g_ptr_array_new();
	struct lug_step step = {};
	struct lug_placement_request request = {};
	std::vector<std::string> names;
	guint32 tasks_on_worker = 0;

	static guint32 count(void *data, const char *worker)
	{
		(void)worker;
		return static_cast<PlacementTest *>(data)->tasks_on_worker;
	}

	struct lug_fleet_worker *add(const char *name, gint64 millicores)
	{
		struct lug_fleet_worker *worker = g_new0(struct lug_fleet_worker, 1);

		g_strlcpy(worker->name, name, sizeof(worker->name));
		g_strlcpy(worker->service, "pool", sizeof(worker->service));
		worker->capacity = {millicores, 64LL << 30, 0};
		worker->spare_millicores = millicores;
		worker->openness = -1;
		worker->ready = TRUE;
		worker->incarnation = 1;
		worker->last_beat_us = 1000000;
		worker->serving_tasks =
			g_array_new(FALSE, FALSE, sizeof(struct lug_interference_serving_task));
		worker->unconfirmed =
			g_array_new(FALSE, FALSE, sizeof(struct lug_fleet_unconfirmed));
		worker->labels = g_strsplit("kind-a rack-1", " ", -1);
		g_ptr_array_add(workers, worker);
		return worker;
	}

	static void add_serving(struct lug_fleet_worker *worker, const char *image)
	{
		struct lug_interference_serving_task serving = {g_intern_string(image), 0.4, 0.8,
								0};

		g_array_append_val(worker->serving_tasks, serving);
		worker->openness = -1;
	}

	void SetUp() override
	{
		step.label = (char *)"";
		step.data_rack = (char *)"";
		step.image = (char *)"i";
		step.size = {1000, 1 << 20, 0};
		request.step = &step;
		request.size = step.size;
		request.service = "pool";
		request.interference = model;
		request.min_speed = 0.5;
		request.count_on_worker = count;
		request.data = this;
	}

	struct lug_fleet_worker *choose(gint64 now_us = 1000000)
	{
		return lug_placement_choose(workers, &request, rng, now_us);
	}

	void TearDown() override
	{
		for (guint i = 0; i < workers->len; i++) {
			auto *worker = static_cast<struct lug_fleet_worker *>(
				g_ptr_array_index(workers, i));

			g_strfreev(worker->labels);
			g_array_unref(worker->serving_tasks);
			g_array_unref(worker->unconfirmed);
			g_free(worker);
		}
		g_ptr_array_unref(workers);
		g_rand_free(rng);
		lug_interference_free(model);
	}
};

/* A slow worker makes tasks late, but when all are slow the work has to run all the same. */
TEST_F(PlacementTest, SlowWorkersRankLastAndAreUsedWhenAllAreSlow)
{
	struct lug_fleet_worker *slow = add("a", 16000);
	struct lug_fleet_worker *full = add("b", 16000);

	slow->speed_permille = 200;
	full->claimed.millicores = 14000;
	full->spare_millicores = 14000;
	for (int best_effort : {0, 1}) {
		step.best_effort = best_effort;
		full->speed_permille = 1000;
		EXPECT_EQ(choose(), full);
		full->speed_permille = 0;
		EXPECT_EQ(choose(), full) << "not known to be slow";
		full->speed_permille = 200;
		EXPECT_EQ(choose(), slow) << "all are slow";
		slow->speed_permille = 2000;
		EXPECT_EQ(choose(), slow) << "out of range";
		slow->speed_permille = 200;
	}
}

TEST_F(PlacementTest, ChoosesTheWorkerWithMoreRoom)
{
	struct lug_fleet_worker *full = add("a", 16000);
	struct lug_fleet_worker *empty = add("b", 16000);

	full->claimed.millicores = 12000;
	EXPECT_EQ(choose(), empty);
}

TEST_F(PlacementTest, ChoosesOnlyEligibleWorkers)
{
	struct lug_fleet_worker *worker = add("a", 16000);

	worker->used_elsewhere.millicores = 15500;
	EXPECT_EQ(choose(), nullptr);
	worker->used_elsewhere.millicores = 0;
	EXPECT_EQ(choose(), worker);
	worker->draining = TRUE;
	EXPECT_EQ(choose(), nullptr);
	worker->draining = FALSE;
	EXPECT_EQ(choose(60000000), nullptr) << "its agent is silent";
	step.label = (char *)"kind-b";
	EXPECT_EQ(choose(), nullptr);
	step.label = (char *)"kind-a";
	EXPECT_EQ(choose(), worker);
	/* The worker already has as many tasks of the step as it may. */
	step.max_per_worker = 2;
	tasks_on_worker = 2;
	EXPECT_EQ(choose(), nullptr);
	request.service = "another";
	step.max_per_worker = 0;
	EXPECT_EQ(choose(), nullptr);
}

/* Workers that were started shortly before work returns to their zone make its tasks late. */
TEST_F(PlacementTest, ColdWorkerIsUsedWhenNoWarmOneHasRoom)
{
	struct lug_fleet_worker *cold = add("a", 16000);
	struct lug_fleet_worker *warm = add("b", 16000);

	cold->cold_until_us = 1000001;
	warm->claimed.millicores = 15000;
	EXPECT_EQ(choose(), warm);
	std::swap(workers->pdata[0], workers->pdata[1]);
	EXPECT_EQ(choose(), warm);
	warm->claimed.millicores = 16000;
	EXPECT_EQ(choose(), cold);
	warm->claimed.millicores = 15000;
	cold->cold_until_us = 1000000;
	EXPECT_EQ(choose(), cold) << "warm now, and emptier";
}

/* Guards against a crash that takes tasks along which a cold worker had room for. */
TEST_F(PlacementTest, AWorkerThatMayCrashIsTheLastChoiceBesideColdOnes)
{
	struct lug_fleet_worker *cold = add("a", 16000);
	struct lug_fleet_worker *isolated = add("b", 16000);

	cold->cold_until_us = 1000001;
	isolated->isolated_until_us = 1000001;
	EXPECT_EQ(choose(), cold);
	cold->claimed.millicores = 16000;
	EXPECT_EQ(choose(), isolated);
}

TEST_F(PlacementTest, WorkersOfEvacuatedZonesAreExcluded)
{
	struct lug_evacuation *zones = lug_evacuation_new("z", nullptr, nullptr);
	struct lug_fleet_worker *worker = add("a", 16000);

	g_strlcpy(worker->zone, "y", sizeof(worker->zone));
	request.evacuation = zones;
	EXPECT_EQ(choose(), worker);
	lug_evacuation_add(zones, "y");
	EXPECT_EQ(choose(), nullptr);
	lug_evacuation_remove(zones, "y");
	worker->evacuated = TRUE;
	EXPECT_EQ(choose(), nullptr);
	lug_evacuation_free(zones);
}

TEST_F(PlacementTest, DataRackCountsMoreThanRoom)
{
	struct lug_fleet_worker *near = add("a", 16000);
	struct lug_fleet_worker *far = add("b", 16000);

	near->claimed.millicores = 12000;
	g_strfreev(far->labels);
	far->labels = g_strsplit("kind-a rack-2", " ", -1);
	step.data_rack = (char *)"rack-1";
	EXPECT_EQ(choose(), near);
}

TEST_F(PlacementTest, BestEffortTaskWaitsForSpareCores)
{
	struct lug_fleet_worker *worker = add("a", 16000);

	step.best_effort = TRUE;
	/* A best-effort task reserves no cores. */
	request.size.millicores = 0;
	EXPECT_EQ(choose(), worker);
	/* 300 of 1000 millicores give a speed below min_speed. */
	worker->spare_millicores = 300;
	EXPECT_EQ(choose(), nullptr);
	worker->spare_millicores = 16000;
	for (int i = 0; i < 16; i++)
		lug_fleet_add_unconfirmed(worker, &step);
	EXPECT_EQ(choose(), nullptr) << "unconfirmed tasks take spare cores";
	for (int i = 0; i < 16; i++)
		lug_fleet_remove_unconfirmed(worker, &step);
	EXPECT_EQ(choose(), worker);
}

TEST_F(PlacementTest, WorkerThatRefusedGetsNoBestEffortTasks)
{
	struct lug_fleet_worker *worker = add("a", 16000);

	step.best_effort = TRUE;
	worker->refused_best_effort = TRUE;
	EXPECT_EQ(choose(), nullptr);
	step.best_effort = FALSE;
	EXPECT_EQ(choose(), worker);
	step.best_effort = TRUE;
	worker->refused_best_effort = FALSE;
	EXPECT_EQ(choose(), worker);
}

TEST_F(PlacementTest, FailingWorkerIsChosenOnlyWithoutAlternative)
{
	struct lug_fleet_worker *bad = add("a", 16000);
	struct lug_fleet_worker *good = add("b", 16000);

	good->claimed.millicores = 14000;
	EXPECT_EQ(choose(), bad);
	bad->reported_failures = 1;
	EXPECT_EQ(choose(), good);
	good->claimed.millicores = 16000;
	EXPECT_EQ(choose(), bad);
	request.excluded_worker = "a";
	EXPECT_EQ(choose(), nullptr);
}

/*
 * A worker that fails all that it starts for 6 s, while many tasks are placed on it together. Once
 * it is sound again, a task that fits nowhere else must not wait for long.
 */
TEST_F(PlacementTest, WorkerThatFailsManyRunsAtOnceIsTriedAgainSoon)
{
	struct lug_fleet_worker *worker = add("a", 16000);
	gint64 now_us = 1000000;

	while (now_us < 7000000) {
		for (int i = 0; i < 10; i++)
			lug_fleet_record_failure(worker, now_us);
		EXPECT_EQ(choose(now_us), nullptr) << now_us;
		now_us = MAX(worker->avoid_until_us, now_us + 100000);
		worker->last_beat_us = now_us;
	}
	EXPECT_LT(now_us, 7000000 + 4000001);
	EXPECT_EQ(choose(now_us), worker);
}

TEST_F(PlacementTest, ServingTasksOfOneImageShareAWorker)
{
	for (const char *name : {"a", "b", "c", "d", "e", "f"})
		add(name, 16000);
	/* A target makes the task a serving one; its image is the fixture's. */
	step.target_ms = 150;
	struct lug_fleet_worker *first = choose();

	for (int i = 0; i < 20; i++)
		EXPECT_EQ(choose(), first);
}

/* Best is a worker of this image alone, then an empty one, then one that is mixed already. */
TEST_F(PlacementTest, ServingTasksOfDifferentImagesAreKeptApart)
{
	struct lug_fleet_worker *same = add("a", 16000);
	struct lug_fleet_worker *empty = add("b", 16000);
	struct lug_fleet_worker *several = add("c", 16000);
	struct lug_fleet_worker *other = add("d", 16000);

	step.target_ms = 150;
	add_serving(same, "i");
	add_serving(several, "k");
	add_serving(several, "l");
	add_serving(other, "k");
	EXPECT_EQ(choose(), same);
	same->ready = FALSE;
	EXPECT_EQ(choose(), empty);
	/* A task of another image was placed there, which the heartbeat does not show yet. */
	struct lug_step unconfirmed = step;

	unconfirmed.image = (char *)"k";
	lug_fleet_add_unconfirmed(empty, &unconfirmed);
	EXPECT_EQ(choose(), several);
	several->ready = FALSE;
	lug_fleet_remove_unconfirmed(empty, &unconfirmed);
	EXPECT_EQ(choose(), empty);
	empty->ready = FALSE;
	EXPECT_EQ(choose(), other);
}

/*
 * Half of the images interfere with serving tasks of image k, none with those of image l. Where a
 * harmless task takes a worker of image l, the others find none.
 */
TEST_F(PlacementTest, HarmlessTasksLeaveOpenWorkersToOthers)
{
	struct lug_fleet_worker *closed = add("a", 16000);
	struct lug_fleet_worker *open = add("b", 16000);

	add_serving(closed, "k");
	add_serving(open, "l");
	for (const char *image : {"heavy", "light"})
		for (const char *serving : {"k", "l"}) {
			struct lug_interference_pair pair = {g_intern_string(serving),
							     g_intern_string(image), 0, 50};

			if (!strcmp(image, "heavy") && !strcmp(serving, "k"))
				pair.weight = 0.2;
			lug_interference_merge(model, &pair);
		}
	step.best_effort = TRUE;
	request.size.millicores = 0;
	step.image = (char *)"light";
	EXPECT_EQ(choose(), closed);
	step.image = (char *)"heavy";
	EXPECT_EQ(choose(), open);
}

struct lug_queue_def decode_objective(const std::string &members)
{
	std::string text =
		"{\"version\":1,\"routes\":[{\"name\":\"q\",\"prefix\":\"/q/\"," + members + "}]}";
	JsonObject *row = lug_json_parse(text.c_str(), -1, nullptr);
	struct lug_error err = {};
	struct lug_queues *queues = platform_queues_decode(row, &err);
	struct lug_queue_def def = *lug_queues_find(queues, "q");

	lug_queues_free(queues);
	json_object_unref(row);
	return def;
}

/* Guards against deadlines that overflow because of a mistake in the operators' configuration. */
TEST(PlatformConfig, ObjectivesAreBounded)
{
	EXPECT_EQ(decode_objective("\"slo_factor\":1.5,\"slo_ms\":300").slo_factor, 1.5);
	EXPECT_EQ(decode_objective("\"slo_factor\":1.5,\"slo_ms\":300").slo_ms, 300);
	EXPECT_EQ(decode_objective("\"slo_factor\":1e300").slo_factor, 1e4);
	EXPECT_EQ(decode_objective("\"slo_factor\":-1").slo_factor, 0);
	EXPECT_EQ(decode_objective("\"slo_ms\":9000000000000000000").slo_ms, 30LL * 86400 * 1000);
	EXPECT_EQ(decode_objective("\"slo_ms\":-5").slo_ms, 0);
}

/* JSON has no literal for it; a row that was not read from text may hold one. */
TEST(PlatformConfig, ObjectiveThatIsNoNumberIsNone)
{
	JsonObject *row = lug_json_parse(
		"{\"version\":1,\"routes\":[{\"name\":\"q\",\"prefix\":\"/q/\"}]}", -1, nullptr);
	struct lug_error err = {};
	struct lug_queues *queues;

	json_object_set_double_member(lug_json_item_obj(lug_json_arr(row, "routes"), 0),
				      "slo_factor", NAN);
	queues = platform_queues_decode(row, &err);
	EXPECT_EQ(lug_queues_find(queues, "q")->slo_factor, 0);
	lug_queues_free(queues);
	json_object_unref(row);
}
} // namespace
