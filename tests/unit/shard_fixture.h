#ifndef TESTS_UNIT_SHARD_FIXTURE_H
#define TESTS_UNIT_SHARD_FIXTURE_H

#include "lug.h"

#include "fake_store.h"

extern "C" {
#include "workflow/shard_priv.h"
}

inline const char *const job_body =
	"{\"queue\":\"q\",\"spec\":\"s\",\"occurrences\":1,\"accepted_ms\":0,"
	"\"steps\":[{\"count\":2,\"millicores\":1000,\"memory\":1},"
	"{\"count\":1,\"millicores\":1000,\"memory\":1,\"after\":[0]}]}";

inline struct lug_queues *make_queues(JsonObject *row, struct lug_error *err)
{
	struct lug_queues *queues = lug_queues_new(lug_json_int(row, "version", 0));

	(void)err;
	lug_queues_add(queues, "q", "h", "/q/", "pool")->failures_max = 2;
	return queues;
}

/*
 * Fixture: one shard on an in-memory table service, and one worker. Methods deliver the messages of
 * the worker's agent.
 */
struct ShardFixture : public testing::Test {
	FakeStore store;
	struct lug_ctx *ctx = test_context_with_address("owner");
	struct lug_link *link = nullptr;
	struct lug_config *config = nullptr;
	struct lug_fleet *fleet = nullptr;
	struct lug_shard *shard = nullptr;
	std::vector<enum lug_shard_event> events;
	guint64 beats = 0;

	static void on_event(void *data, guint32 number, enum lug_shard_event event)
	{
		(void)number;
		static_cast<ShardFixture *>(data)->events.push_back(event);
	}

	static void on_worker_lost(void *data, const char *worker, guint64 lease_epoch)
	{
		auto *test = static_cast<ShardFixture *>(data);

		lug_shard_worker_lost(test->shard, worker, lease_epoch, lug_now_us());
	}

	static gint64 unlisted_us(void *data, const char *worker, gint64 now_us)
	{
		auto *test = static_cast<ShardFixture *>(data);

		return test->shard ? lug_shard_unlisted_us(test->shard, worker, now_us) : -1;
	}

	static gint64 unstopped_us(void *data, const char *worker, gint64 now_us)
	{
		auto *test = static_cast<ShardFixture *>(data);

		return test->shard ? lug_shard_unstopped_us(test->shard, worker, now_us) : -1;
	}

	static void on_lease_left(void *data, const char *worker, guint64 lease_epoch,
				  gint64 left_us, gint64 now_us)
	{
		auto *test = static_cast<ShardFixture *>(data);

		lug_shard_lease_left(test->shard, worker, lease_epoch, left_us, now_us);
	}

	static void ignore_message(void *data, const struct lug_route *route,
				   const Lug__Envelope *env)
	{
		(void)data;
		(void)route;
		(void)env;
	}

	void SetUp() override
	{
		struct lug_config_source source = {"op", "config", "evacuate/", make_queues};

		store.put("op/config", "{\"version\":1}");
		link = lug_link_new(ctx, ignore_message, nullptr, nullptr);
		ASSERT_NE(link, nullptr);
		config = lug_config_new(ctx, &store.base, nullptr, &source);
		lug_config_tick(config, lug_now_us());
		store.settle();
		create_shard();
	}

	/* Creates the shard, and the workers known to its process. */
	void create_shard()
	{
		struct lug_fleet_hooks hooks = {on_worker_lost, unlisted_us, unstopped_us,
						on_lease_left, this};
		struct lug_shard_env shared = {};

		fleet = lug_fleet_new(ctx, &store.base, &hooks);
		shared.ctx = ctx;
		shared.store = &store.base;
		shared.link = link;
		shared.config = config;
		shared.fleet = fleet;
		shard = lug_shard_new(&shared, 0, on_event, this);
	}

	void TearDown() override
	{
		lug_shard_free(shard);
		lug_fleet_free(fleet);
		lug_config_free(config);
		lug_link_free(link);
		lug_ctx_free(ctx);
	}

	void take_shard()
	{
		struct lug_row row = {};
		std::string key = "0|shard/0";

		row.version = store.version(key);
		if (row.version)
			row.data = lug_json_parse(store.rows[key].data.c_str(), -1, nullptr);
		lug_shard_take(shard, &row, lug_now_us());
		store.settle();
		if (row.data)
			json_object_unref(row.data);
	}

	/* Runs 20 rounds of the event loop, the shard's tick and the table service. */
	void run_rounds()
	{
		for (int i = 0; i < 20; i++) {
			while (g_main_context_iteration(nullptr, FALSE))
				;
			lug_shard_tick(shard, lug_now_us());
			store.settle();
		}
	}

	/* Waits for the next read of the inbox to be due: INBOX_INTERVAL_US with its jitter. */
	static void wait_for_inbox()
	{
		g_usleep(1300 * 1000);
	}

	/* Takes the shard and adds an idle worker. */
	void take_shard_with_worker()
	{
		take_shard();
		run_rounds();
		send_beat({}, 0);
	}

	/* Adds a job whose row an entry has stored. */
	void add_stored_job(const char *job, const char *body = job_body)
	{
		store.put(std::string("0|live/") + job, body);
		store.put(std::string("0|inbox/") + job, "{}");
		lug_shard_add_stored_job(shard, job, body,
					 store.version(std::string("0|live/") + job), lug_now_us());
	}

	/* Asks the shard's owner to store a job. */
	void store_job(const char *job, std::vector<enum lug_status> *statuses)
	{
		lug_shard_store_job(
			shard, job, job_body,
			[](void *data, enum lug_status status) {
				static_cast<std::vector<enum lug_status> *>(data)->push_back(
					status);
			},
			statuses, lug_now_us());
	}

	/* Cancels a job that the owner has. */
	void cancel_job(const char *job, std::vector<enum lug_status> *statuses)
	{
		EXPECT_TRUE(lug_shard_cancel_job(
			shard, job,
			[](void *data, enum lug_status status) {
				static_cast<std::vector<enum lug_status> *>(data)->push_back(
					status);
			},
			statuses, lug_now_us()));
	}

	struct HeldRun {
		const char *job;
		guint32 step;
		guint32 index;
		guint32 run;
		int share = -1; /* of a best-effort task, in percent */
		bool unconfirmed = false;
		const char *checkpoint = nullptr;
	};

	/* Zone in later heartbeats, and whether the agent refuses starts because of it. */
	const char *beat_zone = "";
	bool beat_evacuated = false;

	/* Bounds of the lists of later heartbeats, which are complete without them. */
	Lug__RunId *listed_after = nullptr;
	Lug__RunId *listed_until = nullptr;
	/* Speed of the worker in later heartbeats, 0 for not known. */
	guint32 speed_permille = 0;

	/*
	 * Delivers a heartbeat of a worker's agent, which holds the runs of @list.
	 * @spare_millicores: cores that no task uses
	 * @life: incarnation of the worker
	 */
	void send_beat(const std::vector<HeldRun> &list, guint64 last_seq, guint64 lease_epoch = 1,
		       const char *worker_name = "w1", gint64 spare_millicores = 0,
		       guint64 life = 0)
	{
		std::vector<Lug__RunId> ids(list.size());
		std::vector<Lug__RunHeld> held(list.size());
		std::vector<Lug__RunHeld *> ptrs(list.size());
		Lug__ShardHeld of_shard = LUG__SHARD_HELD__INIT;
		Lug__ShardHeld *shards[] = {&of_shard};
		Lug__WorkerBeat beat = LUG__WORKER_BEAT__INIT;
		Lug__Envelope env = LUG__ENVELOPE__INIT;
		Lug__Resources capacity = LUG__RESOURCES__INIT;
		struct lug_fleet_worker *worker;
		struct lug_route route = {};

		for (size_t i = 0; i < list.size(); i++) {
			struct lug_run_id id = {};

			lug__run_held__init(&held[i]);
			g_strlcpy(id.job, list[i].job, sizeof(id.job));
			id.step = list[i].step;
			id.index = list[i].index;
			id.run = list[i].run;
			lug_run_to_wire(&id, &ids[i]);
			ids[i].job = const_cast<char *>(list[i].job);
			held[i].id = &ids[i];
			held[i].has_share = list[i].share >= 0;
			held[i].share = (guint32)MAX(list[i].share, 0);
			held[i].unconfirmed = list[i].unconfirmed;
			held[i].checkpoint = const_cast<char *>(list[i].checkpoint);
			ptrs[i] = &held[i];
		}
		of_shard.epoch = lug_shard_epoch(shard);
		of_shard.last_seq = last_seq;
		of_shard.listed_after = listed_after;
		of_shard.listed_until = listed_until;
		of_shard.n_held = ptrs.size();
		of_shard.held = ptrs.data();
		capacity.millicores = 8000;
		capacity.memory = 1 << 30;
		beat.service = (char *)"pool";
		beat.capacity = &capacity;
		beat.ready = TRUE;
		beat.zone = const_cast<char *>(beat_zone);
		beat.evacuated = beat_evacuated;
		beat.lease_epoch = lease_epoch;
		beat.life = life;
		beat.n_shards = 1;
		beat.shards = shards;
		beat.spare_millicores = spare_millicores;
		beat.has_speed_permille = speed_permille > 0;
		beat.speed_permille = speed_permille;
		env.from = const_cast<char *>(worker_name);
		env.incarnation = lease_epoch;
		env.body_case = LUG__ENVELOPE__BODY_WORKER_BEAT;
		env.worker_beat = &beat;
		worker = lug_fleet_on_beat(fleet, &route, &env, lug_now_us());
		ASSERT_NE(worker, nullptr);
		lug_shard_on_beat(shard, worker, &of_shard, lug_now_us());
		lug_shard_wake(shard);
		run_rounds();
	}

	void end_run(const char *job, guint32 step, guint32 index, guint32 run_number,
		     enum lug_run_outcome outcome, guint32 suspected_jobs = 0,
		     guint32 occurrence = 0)
	{
		Lug__RunEnd message = LUG__RUN_END__INIT;
		struct lug_run_id id = {};
		struct lug_route route = {};
		Lug__RunId wire;

		g_strlcpy(id.job, job, sizeof(id.job));
		id.occurrence = occurrence;
		id.step = step;
		id.index = index;
		id.run = run_number;
		lug_run_to_wire(&id, &wire);
		message.id = &wire;
		message.outcome = outcome;
		message.suspected_jobs = suspected_jobs;
		lug_shard_on_run_end(shard, &route, "w1", &message, lug_now_us());
	}

	void answer_start(const char *job, guint32 index, guint32 run_number,
			  enum lug_status status, guint64 answered_seq = 0)
	{
		Lug__RunAnswer message = LUG__RUN_ANSWER__INIT;
		struct lug_run_id id = {};
		Lug__RunId wire;

		g_strlcpy(id.job, job, sizeof(id.job));
		id.index = index;
		id.run = run_number;
		lug_run_to_wire(&id, &wire);
		message.id = &wire;
		message.status = status;
		message.has_seq = answered_seq > 0;
		message.seq = answered_seq;
		lug_shard_on_start_answer(shard, "w1", &message, lug_now_us());
	}

	/* The agent of a worker answers that the stop of a run of the first step is in effect. */
	void answer_stop(const char *job, guint32 index, guint32 run_number,
			 const char *worker_name = "w1")
	{
		Lug__RunStopAnswer message = LUG__RUN_STOP_ANSWER__INIT;
		struct lug_run_id id = {};
		Lug__RunId wire;

		g_strlcpy(id.job, job, sizeof(id.job));
		id.index = index;
		id.run = run_number;
		lug_run_to_wire(&id, &wire);
		message.id = &wire;
		lug_shard_on_stop_answer(shard, worker_name, &message);
	}

	/* The same for both tasks of the first step of job_body, in their first runs. */
	void answer_stops(const char *job)
	{
		answer_stop(job, 0, 1);
		answer_stop(job, 1, 1);
		run_rounds();
	}

	std::string state_row(const char *job)
	{
		return store.rows[std::string("0|runs/") + job].data;
	}

	bool has_row(const std::string &key)
	{
		return store.version("0|" + key) > 0;
	}
};

#endif
