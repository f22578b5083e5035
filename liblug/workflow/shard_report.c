#include "workflow/placement.h"
#include "workflow/shard_priv.h"

/* Interval at which the owner looks for what is overdue. */
#define REPORT_INTERVAL_US (500 * 1000)
/* Agents list their runs at least once a second. */
#define LIST_OVERDUE_US (3 * G_USEC_PER_SEC)
/* Time after which a long-running task that does not run is logged. */
#define TASK_OVERDUE_US (3 * G_USEC_PER_SEC)

static void format_ms(char *out, gsize size, gint64 us)
{
	g_snprintf(out, size, "%" G_GINT64_FORMAT, us / 1000);
}

/**
 * shard_note_list - record that a worker's agent has listed its runs of the shard
 */
void shard_note_list(const struct lug_shard *shard, const char *worker, struct shard_claims *claims,
		     gint64 now_us)
{
	char after[24];

	format_ms(after, sizeof(after), now_us - claims->listed_us);
	if (claims->overdue)
		lug_info(shard->shared.ctx, "claims_settled", "shard", shard->name, "worker",
			 worker, "after_ms", after);
	claims->listed_us = now_us;
	claims->overdue = FALSE;
}

static void report_claims(struct lug_shard *shard, const char *name, struct shard_claims *claims,
			  gint64 now_us)
{
	const struct lug_fleet_worker *worker = lug_fleet_find(shard->shared.fleet, name);
	char listed[24];
	char heard[24];
	char epoch[24];

	if (claims->overdue || lug_list_empty(&claims->tasks) ||
	    now_us - claims->listed_us < LIST_OVERDUE_US)
		return;
	claims->overdue = TRUE;
	format_ms(listed, sizeof(listed), now_us - claims->listed_us);
	format_ms(heard, sizeof(heard), worker ? now_us - worker->last_beat_us : -1);
	g_snprintf(epoch, sizeof(epoch), "%" G_GUINT64_FORMAT, worker ? worker->lease_epoch : 0);
	lug_warn(shard->shared.ctx, "claims_unsettled", "shard", shard->name, "worker", name,
		 "listed_ms", listed, "heard_ms", heard, "lease_epoch", epoch);
}

/* Counts the workers of the step's service, those that take starts and those with room. */
static void count_workers(const struct lug_shard *shard, const struct lug_step *step,
			  const char *service, gint64 now_us, guint counts[3])
{
	GPtrArray *workers = lug_fleet_workers(shard->shared.fleet);
	struct lug_resources size;

	shard_step_size(step, &size);
	for (guint i = 0; i < workers->len; i++) {
		const struct lug_fleet_worker *worker = g_ptr_array_index(workers, i);
		struct lug_resources room;

		if (g_strcmp0(worker->service, service) != 0)
			continue;
		counts[0]++;
		if (!worker->ready || worker->draining || !lug_fleet_is_live(worker, now_us))
			continue;
		counts[1]++;
		lug_fleet_room(worker, &room);
		counts[2] += lug_resources_fit(&size, &room);
	}
}

static void log_task(const struct lug_shard *shard, const struct shard_task *task, gint64 since_us,
		     gint64 now_us)
{
	const struct lug_workflow *workflow = task->job->workflow;
	const struct lug_queue_def *def =
		lug_queues_find(lug_config_queues(shard->shared.config), workflow->queue);
	guint counts[3] = {0};
	char name[LUG_RUN_NAME_SIZE];
	char workers[40];
	char age[24];
	struct lug_run_id id = {.occurrence = task->occurrence,
				.step = task->step,
				.index = task->index,
				.run = task->run};

	g_strlcpy(id.job, workflow->id, sizeof(id.job));
	lug_run_name(&id, name, sizeof(name));
	count_workers(shard, &workflow->steps[task->step], def ? def->service : "", now_us, counts);
	g_snprintf(workers, sizeof(workers), "%u/%u/%u", counts[2], counts[1], counts[0]);
	format_ms(age, sizeof(age), now_us - since_us);
	lug_warn(shard->shared.ctx, "task_not_running", "job", workflow->id, "run", name, "state",
		 task->state == SHARD_TASK_WAITING ? "waiting" : "claimed", "worker",
		 task->worker ? task->worker : "", "age_ms", age, "room_ready_known", workers);
}

/* A task claimed by an earlier owner has no time of its start; its claims are reported. */
static void report_task(struct lug_shard *shard, struct shard_task *task, gint64 now_us)
{
	gint64 since_us;

	if (task->state == SHARD_TASK_WAITING && !task->waiting_since_us)
		task->waiting_since_us = now_us;
	if (task->state != SHARD_TASK_WAITING)
		task->waiting_since_us = 0;
	since_us = task->state == SHARD_TASK_WAITING ? task->waiting_since_us
		   : task->begun		     ? 0
						     : task->start_sent_us;
	if (!since_us) {
		task->delay_logged = FALSE;
		return;
	}
	if (task->delay_logged || now_us - since_us < TASK_OVERDUE_US)
		return;
	task->delay_logged = TRUE;
	log_task(shard, task, since_us, now_us);
}

static void report_job(struct lug_shard *shard, struct shard_job *job, gint64 now_us)
{
	for (guint k = 0; k < job->occurrences->len; k++) {
		struct shard_occurrence *occ = g_ptr_array_index(job->occurrences, k);

		for (guint32 s = 0; s < job->workflow->n_steps; s++)
			for (guint32 t = job->first_task[s];
			     job->workflow->steps[s].long_running && t < job->first_task[s + 1];
			     t++)
				report_task(shard, &occ->tasks[t], now_us);
	}
}

/**
 * shard_report_delays - log claims that no agent settles and long-running tasks that do not run,
 * each once
 * @shard: loaded shard
 * @now_us: current time
 */
void shard_report_delays(struct lug_shard *shard, gint64 now_us)
{
	GHashTableIter iter;
	gpointer name;
	gpointer claims;

	/* An owner cut off from the table service may have been replaced without its knowledge. */
	if (now_us < shard->next_report_us || lug_shard_is_stalled(shard, now_us))
		return;
	shard->next_report_us = now_us + REPORT_INTERVAL_US;
	g_hash_table_iter_init(&iter, shard->claims);
	while (g_hash_table_iter_next(&iter, &name, &claims))
		report_claims(shard, name, claims, now_us);
	SHARD_FOREACH_JOB(shard, job)
	{
		report_job(shard, job, now_us);
	}
}
