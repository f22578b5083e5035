#ifndef LUG_MEMBER_LEASE_H
#define LUG_MEMBER_LEASE_H

#include "core/resources.h"
#include "http/http.h"
#include "store/writer.h"

/**
 * struct lug_lease_hooks - callbacks of a worker's lease
 * @worker_state: the worker's state was read: its running tasks and its capacity. @state is valid
 * during the call
 * @taken: the lease was taken; the tasks reported by @worker_state may go on running
 * @superseded: another agent has taken the lease; this process must stop
 * @tasks_killed: all tasks on the worker were killed, as its expired lease had been fenced
 * @capacity: sets @out to the resources available to batch tasks, for the lease's row
 * @data: passed to the callbacks
 */
struct lug_lease_hooks {
	void (*worker_state)(void *data, JsonObject *state);
	void (*taken)(void *data);
	void (*superseded)(void *data);
	void (*tasks_killed)(void *data);
	void (*capacity)(void *data, struct lug_resources *out);
	void *data;
};

/**
 * struct lug_lease - lease of one worker, held by the agent on the same instance
 *
 * The lease is a row of the table service. The agent sends the worker the time at which it
 * expires, on the clock that both share. At that time the worker pauses its tasks by itself.
 */
struct lug_lease;

struct lug_lease *lug_lease_new(struct lug_ctx *ctx, struct lug_store *store,
				struct lug_http *worker, const struct lug_lease_hooks *hooks);
void lug_lease_free(struct lug_lease *lease);
void lug_lease_tick(struct lug_lease *lease, gint64 now_us);
gboolean lug_lease_is_valid(const struct lug_lease *lease, gint64 now_us);
guint64 lug_lease_epoch(const struct lug_lease *lease);
void lug_lease_release(struct lug_lease *lease, gint64 now_us);
gboolean lug_lease_is_not_held(const struct lug_lease *lease);
void lug_lease_set_usage(struct lug_lease *lease, JsonObject *usage);
JsonObject *lug_lease_usage(const struct lug_lease *lease);
void lug_lease_resend(struct lug_lease *lease);

#endif
