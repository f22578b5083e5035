#include "lug.h"

#include <algorithm>
#include <functional>
#include <map>
#include <memory>

extern "C" {
#include "schedule/admission.h"
}

namespace
{
const gint64 MS = 1000;
const char *const SERVICE = g_intern_static_string("pool");

struct Job {
	std::string id;
	guint32 priority = 1;
	int tasks = 10;
	gint64 task_ms = 1000;
	gint64 declared_ms = 1000;
	gint64 millicores = 1000;
	gint64 objective_ms = 2000;
	gint64 accepted_us = 0;
	gint64 first_us = 0;
	gint64 last_start_us = 0;
	gint64 first_start_us = 0;
	gint64 end_us = 0;
	int started = 0;
	int done = 0;
	struct lug_order_key order = {};

	gint64 deadline_us() const
	{
		return accepted_us + objective_ms * MS;
	}
	struct lug_admission_kind kind() const
	{
		return {SERVICE, TRUE, priority};
	}
};

/*
 * Replays a load on one pool in steps of 100 ms: an owner that orders its jobs and places their
 * tasks, and its clients, which submit a refused job again after the time that they are told.
 */
struct Overload : public testing::Test {
	struct lug_admission *adm = lug_admission_new();
	GRand *rng = g_rand_new_with_seed(5);
	gint64 now_us = 1000 * G_USEC_PER_SEC;
	gint64 start_us = now_us;
	gint64 pool_millicores = 10000;
	gint64 used = 0;
	bool admission_on = true;
	std::vector<std::unique_ptr<Job>> live;
	std::vector<std::unique_ptr<Job>> ended;
	std::multimap<gint64, std::pair<Job *, int>> ends;
	std::multimap<gint64, Job> returns;
	std::vector<std::string> admitted;
	std::map<std::string, struct lug_admission_decision> refusals;
	std::map<std::string, gint64> refused_at;

	~Overload() override
	{
		lug_admission_free(adm);
		g_rand_free(rng);
	}

	std::vector<struct lug_admission_job> list()
	{
		std::vector<struct lug_admission_job> out;

		for (auto &job : live) {
			double work = (double)(job->declared_ms * job->millicores);

			out.push_back({job->kind(), job->order, work * (job->tasks - job->started),
				       (double)((job->started - job->done) * job->millicores)});
		}
		return out;
	}

	struct lug_admission_decision decide(const Job &job)
	{
		struct lug_admission_request request = {};
		struct lug_admission_decision decision;
		auto jobs = list();

		request.id = job.id.c_str();
		request.kind = job.kind();
		request.order = {job.priority, LUG_ORDER_IN_TIME, now_us + job.objective_ms * MS};
		request.work = (double)(job.tasks * job.declared_ms * job.millicores);
		request.path_ms = job.declared_ms;
		request.objective_ms = job.objective_ms;
		request.accepted_ms = now_us / MS;
		lug_admission_decide(adm, &request, jobs.data(), (guint)jobs.size(),
				     g_rand_double(rng), now_us, &decision);
		if (decision.refused)
			lug_admission_refuse(adm, &request, &decision, now_us);
		return decision;
	}

	/* Submits a job; its client returns if it is refused. */
	bool submit(Job job)
	{
		if (admission_on) {
			struct lug_admission_decision decision = decide(job);

			if (decision.refused) {
				refusals.insert({job.id, decision});
				refused_at.insert({job.id, now_us});
				returns.insert({now_us + decision.retry_after_ms * MS, job});
				return false;
			}
			job.first_us = lug_admission_admit(adm, job.id.c_str());
		}
		admitted.push_back(job.id);
		job.accepted_us = now_us;
		live.push_back(std::make_unique<Job>(job));
		update_key(*live.back());
		return true;
	}

	void update_key(Job &job)
	{
		struct lug_order_job in = {
			job.priority,	  job.accepted_us,   job.first_us, job.deadline_us(),
			job.task_ms * MS, job.last_start_us, FALSE};

		lug_order_make_key(&in, now_us, &job.order);
	}

	void place()
	{
		for (auto &job : live)
			update_key(*job);
		std::stable_sort(live.begin(), live.end(), [](const auto &a, const auto &b) {
			return lug_order_compare(&a->order, &b->order) < 0;
		});
		for (auto &job : live)
			for (;
			     job->started < job->tasks && used + job->millicores <= pool_millicores;
			     job->started++) {
				used += job->millicores;
				job->last_start_us = now_us;
				if (!job->started)
					job->first_start_us = now_us;
				ends.insert({now_us + job->task_ms * MS, {job.get(), 0}});
			}
	}

	void finish_tasks()
	{
		while (!ends.empty() && ends.begin()->first <= now_us) {
			Job *job = ends.begin()->second.first;
			struct lug_admission_kind kind = job->kind();

			ends.erase(ends.begin());
			used -= job->millicores;
			lug_admission_add_ended(
				adm, &kind, (double)(job->declared_ms * job->millicores), now_us);
			if (++job->done < job->tasks)
				continue;
			job->end_us = now_us;
			auto it = std::find_if(live.begin(), live.end(),
					       [&](auto &j) { return j.get() == job; });
			ended.push_back(std::move(*it));
			live.erase(it);
		}
	}

	void run(
		gint64 ms, const std::function<void()> &arrive = [] {})
	{
		for (gint64 end_us = now_us + ms * MS; now_us < end_us; now_us += 100 * MS) {
			finish_tasks();
			arrive();
			while (!returns.empty() && returns.begin()->first <= now_us) {
				Job job = returns.begin()->second;

				returns.erase(returns.begin());
				submit(job);
			}
			place();
			auto jobs = list();
			lug_admission_sample(adm, jobs.data(), (guint)jobs.size(), now_us);
		}
	}

	static Job make(const std::string &id, int tasks = 10, gint64 objective_ms = 2000)
	{
		Job job;

		job.id = id;
		job.tasks = tasks;
		job.objective_ms = objective_ms;
		return job;
	}
};

/* Guards against late refusals, and against clients that return into the same backlog. */
TEST_F(Overload, HopelessJobIsRefusedAtOnceAndReturnsAfterTheBacklog)
{
	gint64 return_us = 0;
	gint64 backlog_end_us = 0;

	struct lug_admission_kind kind = Job().kind();

	lug_admission_watch(adm, &kind);
	for (int i = 0; i < 20; i++) {
		Job job = make("burst" + std::to_string(i));

		job.priority = 0;
		EXPECT_TRUE(submit(job));
	}
	run(3100);
	for (int i = 0; i < 5; i++) {
		EXPECT_FALSE(submit(make("hopeless" + std::to_string(i), 1, 1500)));
		EXPECT_TRUE(submit(make("served" + std::to_string(i), 1, 10000)));
	}
	for (auto &entry : returns)
		return_us = return_us ? MIN(return_us, entry.first) : entry.first;
	run(40000);
	for (auto &job : ended)
		if (!job->id.compare(0, 5, "burst"))
			backlog_end_us = MAX(backlog_end_us, job->first_start_us);
	EXPECT_GT(return_us, backlog_end_us);
	EXPECT_LT(return_us, backlog_end_us + 8000 * MS);
	EXPECT_EQ(admitted.size(), 30u);
	EXPECT_TRUE(live.empty());
}

/* Guards against refusals on a short peak, and without knowledge of the pool's rate. */
TEST_F(Overload, NobodyIsRefusedBeforeTheBacklogHasLasted)
{
	for (int i = 0; i < 40; i++)
		EXPECT_TRUE(submit(make("a" + std::to_string(i))));
	run(900);
	for (int i = 0; i < 40; i++)
		EXPECT_TRUE(submit(make("b" + std::to_string(i))));
	EXPECT_TRUE(refusals.empty());
}

/* Load of nine tenths with peaks: all jobs can end within three times their objectives. */
TEST_F(Overload, NobodyIsRefusedWhoCanBeServed)
{
	int n = 0;

	run(60000, [&] {
		for (int i = 0; (now_us - start_us) % (10000 * MS) == 0 && i < 9; i++)
			submit(make("job" + std::to_string(n++)));
	});
	EXPECT_TRUE(refusals.empty());
	EXPECT_EQ(admitted.size(), 54u);
}

/* Load as above; declared run times are ten times too long for one job in two, or for all. */
TEST_F(Overload, NobodyIsRefusedForDeclaredTimesThatAreOff)
{
	int n = 0;

	run(120000, [&] {
		for (int i = 0; (now_us - start_us) % (10000 * MS) == 0 && i < 9; i++) {
			Job job = make("job" + std::to_string(n++), 10, 4000);

			job.declared_ms = n > 54 || n % 2 ? 10000 : 1000;
			submit(job);
		}
	});
	EXPECT_TRUE(refusals.empty());
	EXPECT_EQ(admitted.size(), 108u);
}

/* Guards against random return times that change the order, and against new jobs that overtake. */
TEST_F(Overload, TwoWavesReturnInTheirFirstOrderAndBeforeNewJobs)
{
	std::vector<std::string> first_order;
	std::vector<std::pair<gint64, std::string>> starts;
	std::vector<std::string> order;
	int n_new = 0;

	for (int i = 0; i < 70; i++)
		submit(make("burst" + std::to_string(i), 10, 5000));
	run(2600);
	for (int wave = 0; wave < 2; wave++) {
		for (int i = 0; i < 6; i++) {
			first_order.push_back("wave" + std::to_string(wave) + std::to_string(i));
			EXPECT_FALSE(submit(make(first_order.back(), 10, 5000)));
			run(100);
		}
	}
	/* New jobs come while the waves return, behind some 25 s of the burst. */
	run(38000);
	run(60000, [&] {
		if (now_us % (500 * MS) == 0 && n_new < 16)
			submit(make("new" + std::to_string(n_new++), 10, 5000));
	});
	EXPECT_TRUE(live.empty());
	for (auto &job : ended)
		if (job->id.compare(0, 5, "burst"))
			starts.push_back({job->first_start_us, job->id});
	std::sort(starts.begin(), starts.end());
	for (auto &start : starts)
		order.push_back(start.second);
	ASSERT_EQ(order.size(), 28u);
	EXPECT_EQ(std::vector<std::string>(order.begin(), order.begin() + 12), first_order);
}

/* Jobs in time arrive at the rate of the pool; those that were late first still start. */
TEST_F(Overload, LateJobsDoNotWaitWithoutBound)
{
	int n = 0;

	admission_on = false;
	for (int i = 0; i < 10; i++)
		submit(make("late" + std::to_string(i), 10, 1000));
	run(60000, [&] {
		if (now_us % (1000 * MS) == 0)
			submit(make("job" + std::to_string(n++)));
	});
	for (auto &job : live) {
		gint64 begin_us = job->first_start_us ? job->first_start_us : now_us;

		EXPECT_LT(begin_us - job->accepted_us, 15000 * MS) << job->id;
	}
	for (auto &job : ended)
		EXPECT_LT(job->first_start_us - job->accepted_us, 15000 * MS) << job->id;
}

TEST_F(Overload, OrderIsByPriorityThenGroupThenTime)
{
	gint64 base = 100 * G_USEC_PER_SEC;
	/* At 10 s: in time, late, worthless, waiting for too long, and of a lower priority. */
	std::vector<struct lug_order_job> jobs = {
		{0, base + 9000 * MS, 0, base + 12000 * MS, 1000 * MS, 0, FALSE},
		{0, base + 6000 * MS, 0, base + 10000 * MS, 1000 * MS, 0, FALSE},
		{0, base, 0, base + 3000 * MS, 1000 * MS, base + 9000 * MS, FALSE},
		{0, base + 1000 * MS, 0, base + 4000 * MS, 1000 * MS, 0, FALSE},
		{1, base + 1000 * MS, 0, base + 4000 * MS, 1000 * MS, 0, FALSE},
		{1, base, 0, base + 2000 * MS, -1, 0, FALSE},
	};
	std::vector<size_t> order = {3, 0, 1, 2, 4, 5};
	std::vector<struct lug_order_key> keys(jobs.size());

	for (size_t i = 0; i < jobs.size(); i++)
		lug_order_make_key(&jobs[i], base + 10000 * MS, &keys[i]);
	for (size_t i = 0; i + 1 < order.size(); i++)
		EXPECT_LT(lug_order_compare(&keys[order[i]], &keys[order[i + 1]]), 0) << i;
	EXPECT_EQ(keys[5].group, LUG_ORDER_IN_TIME) << "a job that can't be late";
}

/* Guards against long-running jobs that take each gap from short jobs which can be in time. */
TEST_F(Overload, ALateLongRunningJobStaysBehindThoseInTime)
{
	gint64 base = 100 * G_USEC_PER_SEC;
	struct lug_order_job waiting = {0, base, 0, base + 3000 * MS, 1000 * MS, 0, FALSE};
	struct lug_order_key key;

	lug_order_make_key(&waiting, base + 20000 * MS, &key);
	EXPECT_EQ(key.group, LUG_ORDER_IN_TIME);
	waiting.long_running = TRUE;
	lug_order_make_key(&waiting, base + 20000 * MS, &key);
	EXPECT_EQ(key.group, LUG_ORDER_WORTHLESS);
}

/* Guards against starving, and refusing, a high priority because of the backlog of a low one. */
TEST_F(Overload, PrioritiesComeFirst)
{
	Job job = make("high", 10, 5000);

	for (int i = 0; i < 70; i++)
		submit(make("low" + std::to_string(i), 10, 5000));
	run(2600);
	ASSERT_FALSE(submit(make("low", 10, 5000)));
	job.priority = 0;
	ASSERT_TRUE(submit(job));
	run(2200);
	EXPECT_TRUE(
		std::any_of(ended.begin(), ended.end(), [](auto &j) { return j->id == "high"; }));
}

TEST_F(Overload, MemoryIsBoundedAndSupersedesEarlierSubmissionsOnly)
{
	struct lug_admission_request request = {};
	struct lug_admission_decision decision = {};

	request.kind = Job().kind();
	decision.retry_after_ms = 3000;
	for (int i = 0; i < 2000; i++) {
		std::string id = "job" + std::to_string(i);

		request.id = id.c_str();
		request.accepted_ms = 5000;
		lug_admission_refuse(adm, &request, &decision, now_us + i);
	}
	EXPECT_EQ(lug_admission_count(adm), 512u);
	EXPECT_EQ(lug_admission_retry_after_ms(adm, "job1999"), 3000);
	EXPECT_TRUE(lug_admission_is_superseded(adm, "job1999", 4999, now_us));
	EXPECT_FALSE(lug_admission_is_superseded(adm, "job1999", 5000, now_us));
	EXPECT_FALSE(lug_admission_is_superseded(adm, "job1", 4999, now_us));
	now_us += 31 * G_USEC_PER_SEC;
	EXPECT_FALSE(lug_admission_is_superseded(adm, "job1999", 4999, now_us));
	lug_admission_sample(adm, nullptr, 0, now_us);
	EXPECT_EQ(lug_admission_count(adm), 0u);
}

} // namespace
