#ifndef LUG_MEMBER_LEASE_H
#define LUG_MEMBER_LEASE_H

#include "core/resources.h"
#include "http/http.h"
#include "store/writer.h"

/**
 * struct lug_lease_hooks - what the holder of a worker's lease is told
 * @state: the worker's own state was read: what still runs there and its capacity
 * @held: the lease was taken; tasks that were adopted go on
 * @lost: another process holds the lease for good; stop at once
 * @cleared: everything was killed on the worker, after its lease had lapsed
 * @capacity: fills in what batch tasks may use, for the lease's row
 * @data: passed to the hooks
 */
struct lug_lease_hooks {
	void (*state)(void *data, JsonObject *state);
	void (*held)(void *data);
	void (*lost)(void *data);
	void (*cleared)(void *data);
	void (*capacity)(void *data, struct lug_resources *out);
	void *data;
};

/**
 * struct lug_lease - lease of one worker, held by the agent beside it
 *
 * The lease is a row of the table service. The worker is told the time until
 * which it stands, on the clock that both share, and pauses its tasks by itself
 * when that time has passed.
 */
struct lug_lease;

struct lug_lease *lug_lease_new(struct lug_ctx *ctx, struct lug_store *store,
				struct lug_http *worker, const struct lug_lease_hooks *hooks);
void lug_lease_free(struct lug_lease *lease);
void lug_lease_tick(struct lug_lease *lease, gint64 now_us);
gboolean lug_lease_valid(const struct lug_lease *lease, gint64 now_us);
guint64 lug_lease_epoch(const struct lug_lease *lease);
void lug_lease_release(struct lug_lease *lease, gint64 now_us);
gboolean lug_lease_released(const struct lug_lease *lease);
void lug_lease_set_charges(struct lug_lease *lease, JsonObject *charges);
JsonObject *lug_lease_charges(const struct lug_lease *lease);
void lug_lease_renotify(struct lug_lease *lease);

#endif
