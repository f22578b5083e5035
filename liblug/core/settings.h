#ifndef LUG_CORE_SETTINGS_H
#define LUG_CORE_SETTINGS_H

#include <glib.h>

#include "core/log.h"
#include "core/status.h"

/**
 * enum lug_daemon - kind of daemon, given by the key "daemon"
 * @LUG_DAEMON_ENTRY: entry for requests, jobs and the table of weights and limits
 * @LUG_DAEMON_AGENT: agent that runs beside a worker and its backend server
 * @LUG_DAEMON_QUEUE_ENTRY: entry for workflows, which wait in queues
 * @LUG_DAEMON_QUEUE_AGENT: agent that owns shards of workflows and runs tasks
 *
 * Entries have even values and agents odd ones; callers rely on that order.
 */
enum lug_daemon {
	LUG_DAEMON_ENTRY,
	LUG_DAEMON_AGENT,
	LUG_DAEMON_QUEUE_ENTRY,
	LUG_DAEMON_QUEUE_AGENT,
};

/**
 * enum lug_role - permissions of a token
 * @LUG_ROLE_TEAM: acts for its team only
 * @LUG_ROLE_OPERATOR: may act for all teams and make calls reserved to operators
 */
enum lug_role {
	LUG_ROLE_TEAM,
	LUG_ROLE_OPERATOR,
};

/**
 * struct lug_token - bearer token of a caller
 * @secret: the token
 * @team: team that the token acts for, NULL for an operator without a team
 * @role: permissions
 */
struct lug_token {
	char *secret;
	char *team;
	enum lug_role role;
};

/**
 * struct lug_key - CURVE key pair of the internal connections, Z85-encoded
 * @public_key: public key, known to peers
 * @secret_key: secret key, never sent
 */
struct lug_key {
	char *public_key;
	char *secret_key;
};

/**
 * struct lug_settings - validated settings of one daemon
 * @http: IP:PORT that serves HTTP
 * @inner: IP:PORT that accepts internal connections
 * @advertise: IP:PORT at which peers reach @inner
 * @source: local IP address of outgoing connections, NULL for any
 * @platform: URL of the table service
 * @entries: addresses of the entries, IP:PORT
 * @clients: IP:PORT that serves submitters of workflows
 * @ready: IP:PORT that answers readiness checks
 * @control: IP:PORT that receives the worker's heartbeats
 * @cancel_within_ms: time after the acknowledgement of a job's cancellation within which its runs
 *                    are stopped
 * @cancel_stop_ms: longest time that a worker takes to stop a run
 * @schedule_lookahead_ms: how far ahead placement looks for room, 0 for not at all
 * @schedule_yield: best-effort tasks yield to serving tasks by the slack of their jobs
 * @schedule_overload: late jobs are ordered, and hopeless ones refused
 * @schedule_speed: tasks are placed by the measured speed of workers
 *
 * The table in settings.c maps each key to its member; members of keys that the
 * daemon doesn't accept are zero or empty. Durations are in milliseconds, sizes in bytes,
 * cores in thousandths of a core.
 */
struct lug_settings {
	enum lug_daemon daemon;
	char *name;
	char *region;
	char *zone;
	char *rack;
	char *log_level;
	char *http;
	char *inner;
	char *advertise;
	char *source;
	char *platform;
	gint64 platform_timeout_ms;
	gint64 platform_row_bytes;
	gint64 platform_rate;
	GPtrArray *entries;
	GArray *tokens;
	GArray *keys;
	gint64 beat_ms;
	gint64 worker_lease_ms;
	gint64 worker_lease_max_ms;
	gint64 queue_lease_ms;
	gint64 cancel_within_ms;
	gint64 cancel_stop_ms;
	gint64 drain_ms;
	gint64 body_bytes;
	gint64 request_timeout_ms;
	gint64 retry_percent;
	gint64 timeline_events;
	char *service_name;
	char *service_url;
	gint64 service_slots;
	gint64 service_connections;
	gint64 service_queue;
	gint64 service_millicores;
	gint64 service_memory_bytes;
	gint64 service_target_ms;
	char *worker_url;
	gint64 shards;
	char *clients;
	char *ready;
	char *control;
	gint64 colocate_enabled;
	gint64 schedule_lookahead_ms;
	gint64 schedule_yield;
	gint64 schedule_overload;
	gint64 schedule_speed;
};

struct lug_settings *lug_settings_load(const char *path, GPtrArray *problems);
struct lug_settings *lug_settings_parse(const char *text, gsize len, const char *path,
					GPtrArray *problems);
void lug_settings_free(struct lug_settings *settings);
gboolean lug_settings_reloadable(const struct lug_settings *old,
				 const struct lug_settings *candidate, struct lug_error *err);
gboolean lug_address_parse(const char *text, char **host, guint *port);
gboolean lug_address_is_peer(const char *text);

#endif
