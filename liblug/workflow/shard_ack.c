#include "workflow/shard_priv.h"

/**
 * shard_send_ack - acknowledge to an agent that the end of a run is stored
 * @shard: shard
 * @route: destination
 * @id: run
 * @obsolete: the end has changed nothing
 */
void shard_send_ack(struct lug_shard *shard, const struct lug_route *route,
		    const struct lug_run_id *id, gboolean obsolete)
{
	Lug__RunEndAck ack = LUG__RUN_END_ACK__INIT;
	Lug__RunId run;
	LUG_ENVELOPE(env, RUN_END_ACK, run_end_ack, &ack);

	lug_run_to_wire(id, &run);
	ack.has_shard = 1;
	ack.shard = shard->number;
	ack.id = &run;
	ack.has_epoch = 1;
	ack.epoch = lug_shard_epoch(shard);
	ack.has_obsolete = obsolete;
	ack.obsolete = obsolete;
	lug_count(shard->shared.ctx, ENDS_ACKNOWLEDGED, 1);
	lug_link_send(shard->shared.link, route, &env);
}

/**
 * shard_add_obsolete_end - acknowledge the end of a run that changes nothing, after the next commit
 * @shard: shard
 * @route: destination of the acknowledgement
 * @id: run
 * @now_us: current time
 *
 * A former owner that has not learned of its successor does not know the successor's runs. Its
 * acknowledgement would make the agent forget an end that the successor needs, so it is sent once a
 * later commit has shown that this process still owns the shard.
 *
 * Return: FALSE when its acknowledgement is pending already.
 */
gboolean shard_add_obsolete_end(struct lug_shard *shard, const struct lug_route *route,
				const struct lug_run_id *id, gint64 now_us)
{
	struct shard_obsolete_end end = {*route, *id, now_us};

	for (guint i = 0; i < shard->obsolete_ends->len; i++)
		if (lug_run_equal(
			    &g_array_index(shard->obsolete_ends, struct shard_obsolete_end, i).id,
			    id))
			return FALSE;
	g_array_append_val(shard->obsolete_ends, end);
	return TRUE;
}

/**
 * shard_ack_obsolete_ends - acknowledge the obsolete ends that were reported before the last commit
 */
void shard_ack_obsolete_ends(struct lug_shard *shard)
{
	gint64 renewed_us = lug_writer_renewed_us(shard->writer);

	for (guint i = shard->obsolete_ends->len; i-- > 0;) {
		const struct shard_obsolete_end *end =
			&g_array_index(shard->obsolete_ends, struct shard_obsolete_end, i);

		if (end->received_us > renewed_us)
			continue;
		shard_send_ack(shard, &end->route, &end->id, TRUE);
		g_array_remove_index_fast(shard->obsolete_ends, i);
	}
}
