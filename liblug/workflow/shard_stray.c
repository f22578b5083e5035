#include "workflow/shard_priv.h"

#include <string.h>

/*
 * Runs that an agent may hold although no task is claimed for them: a claim that was withdrawn, or
 * a run that counted as lost and is listed again. They are stopped, and the end of their job waits
 * for that like for the stops of claimed runs, see shard_stop.c.
 */

static void remove_stray(struct lug_shard *shard, struct shard_claims *claims, guint i)
{
	struct shard_stray *stray = &g_array_index(claims->strays, struct shard_stray, i);
	struct shard_job *job = g_hash_table_lookup(shard->jobs, stray->id.job);

	if (stray->stop_since_us)
		shard_claims_end_stop(claims);
	if (job && job->n_strays) {
		job->n_strays--;
		lug_shard_wake(shard);
	}
	g_array_remove_index_fast(claims->strays, i);
}

/**
 * shard_add_stray - note that an agent may hold a run without a claim
 * @shard: shard
 * @id: run; ignored if its job has ended
 * @worker: worker of the agent
 * @lease_epoch: epoch of the worker's lease, under which the run may go on
 */
void shard_add_stray(struct lug_shard *shard, const struct lug_run_id *id, const char *worker,
		     guint64 lease_epoch)
{
	struct shard_job *job = g_hash_table_lookup(shard->jobs, id->job);
	struct shard_claims *claims = job ? shard_get_claims(shard, worker) : NULL;
	struct shard_stray stray = {.id = *id, .lease_epoch = lease_epoch};

	for (guint i = 0; claims && i < claims->strays->len; i++) {
		struct shard_stray *known = &g_array_index(claims->strays, struct shard_stray, i);

		if (!lug_run_equal(&known->id, id))
			continue;
		known->lease_epoch = MAX(known->lease_epoch, lease_epoch);
		return;
	}
	if (!claims)
		return;
	g_array_append_val(claims->strays, stray);
	job->n_strays++;
}

/**
 * shard_settle_stray - note that a run without a claim has ended or is stopped
 */
void shard_settle_stray(struct lug_shard *shard, const struct lug_run_id *id, const char *worker)
{
	struct shard_claims *claims = shard_find_claims(shard, worker);

	for (guint i = claims ? claims->strays->len : 0; i-- > 0;)
		if (lug_run_equal(&g_array_index(claims->strays, struct shard_stray, i).id, id))
			remove_stray(shard, claims, i);
}

/**
 * shard_settle_unlisted_strays - note that an agent's list does not name the runs that it covers
 * @shard: shard
 * @worker: worker of the agent
 * @is_gone: whether a run is covered by the list and not in it
 * @data: passed to @is_gone
 */
void shard_settle_unlisted_strays(struct lug_shard *shard, const char *worker,
				  gboolean (*is_gone)(const struct lug_run_id *id, void *data),
				  void *data)
{
	struct shard_claims *claims = shard_find_claims(shard, worker);

	for (guint i = claims ? claims->strays->len : 0; i-- > 0;)
		if (is_gone(&g_array_index(claims->strays, struct shard_stray, i).id, data))
			remove_stray(shard, claims, i);
}

/**
 * shard_settle_strays_of_lease - note that the runs under a lease have ended
 * @shard: shard
 * @worker: worker
 * @lease_epoch: epoch of the lease, or of a later one
 * @awaited_only: only those whose stops are awaited: their lease ends in time
 */
void shard_settle_strays_of_lease(struct lug_shard *shard, const char *worker, guint64 lease_epoch,
				  gboolean awaited_only)
{
	struct shard_claims *claims = shard_find_claims(shard, worker);

	for (guint i = claims ? claims->strays->len : 0; i-- > 0;) {
		const struct shard_stray *stray =
			&g_array_index(claims->strays, struct shard_stray, i);

		if (stray->lease_epoch <= lease_epoch && (stray->stop_since_us || !awaited_only))
			remove_stray(shard, claims, i);
	}
}

/**
 * shard_stop_strays - stop the runs without a claim of a job whose final state is decided; stops
 * without an answer are sent again
 */
void shard_stop_strays(struct lug_shard *shard, const struct shard_job *job, gint64 now_us)
{
	GHashTableIter iter;
	gpointer name;
	gpointer value;

	g_hash_table_iter_init(&iter, shard->claims);
	while (job->n_strays && g_hash_table_iter_next(&iter, &name, &value)) {
		struct shard_claims *claims = value;

		for (guint i = 0; i < claims->strays->len; i++) {
			struct shard_stray *stray =
				&g_array_index(claims->strays, struct shard_stray, i);
			struct lug_fleet_worker *worker;

			if (strcmp(stray->id.job, job->workflow->id) != 0)
				continue;
			worker = lug_fleet_get(shard->shared.fleet, name, now_us);
			if (!stray->stop_since_us)
				shard_claims_begin_stop(claims, worker, now_us);
			stray->stop_since_us = stray->stop_since_us ? stray->stop_since_us : now_us;
			shard_repeat_stop(shard, worker, &stray->id, &stray->stop_sent_us, now_us);
		}
	}
}
