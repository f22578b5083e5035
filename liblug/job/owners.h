#ifndef LUG_JOB_OWNERS_H
#define LUG_JOB_OWNERS_H

#include "job/owner.h"

/**
 * struct lug_owners - the queues held by one agent, and the known owners of all queues
 */
struct lug_owners;

struct lug_owners *lug_owners_new(const struct lug_owner_env *env);
void lug_owners_free(struct lug_owners *owners);
void lug_owners_tick(struct lug_owners *owners, gint64 now_us);
struct lug_owner *lug_owners_find(const struct lug_owners *owners, const char *team);
const char *lug_owners_address(const struct lug_owners *owners, const char *team);
guint64 lug_owners_epoch(const struct lug_owners *owners, const char *team);
void lug_owners_update(struct lug_owners *owners, const char *team, guint64 epoch,
		       const char *address, gint64 now_us);
void lug_owners_foreach_address(const struct lug_owners *owners,
				void (*fn)(void *data, const char *team, const char *address),
				void *data);
GPtrArray *lug_owners_held_teams(const struct lug_owners *owners);
void lug_owners_release_all(struct lug_owners *owners, gint64 now_us);
guint lug_owners_held_count(const struct lug_owners *owners);

#endif
