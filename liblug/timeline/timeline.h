#ifndef LUG_TIMELINE_TIMELINE_H
#define LUG_TIMELINE_TIMELINE_H

#include <glib.h>

#include "core/hlc.h"

/*
 * The events of requests, request_admitted to request_done, must stay adjacent, because
 * select_ring() recognizes them by this range and keeps them in a separate ring. No process records
 * process_stop or request_shed.
 */
#define LUG_EVENTS(X)                             \
	X(PROCESS_START, "process_start")         \
	X(PROCESS_STOP, "process_stop")           \
	X(DRAIN, "drain")                         \
	X(REQUEST_SUBMITTED, "request_admitted")  \
	X(REQUEST_SENT, "request_sent")           \
	X(REQUEST_RETRIED, "request_retried")     \
	X(REQUEST_SHED, "request_shed")           \
	X(REQUEST_DONE, "request_done")           \
	X(JOB_ACCEPTED, "job_accepted")           \
	X(JOB_DONE, "job_done")                   \
	X(JOB_CANCELLED, "job_cancelled")         \
	X(TASK_CLAIMED, "task_claimed")           \
	X(TASK_STARTED, "task_started")           \
	X(TASK_REFUSED, "task_refused")           \
	X(TASK_THROTTLED, "task_throttled")       \
	X(TASK_CHECKPOINTED, "task_checkpointed") \
	X(TASK_EVICTED, "task_evicted")           \
	X(TASK_FINISHED, "task_finished")         \
	X(TASK_LOST, "task_lost")                 \
	X(LEASE_TAKEN, "lease_taken")             \
	X(LEASE_LOST, "lease_lost")               \
	X(LEASE_LAPSED, "lease_lapsed")           \
	X(AGENT_SEEN, "peer_seen")                \
	X(AGENT_SILENT, "peer_lost")              \
	X(STORE_DOWN, "store_down")               \
	X(STORE_BACK, "store_back")               \
	X(TABLE_IN_FORCE, "version_in_force")     \
	X(SETTINGS_RELOADED, "settings_reloaded")

#define X(id, name) LUG_EV_##id,
enum lug_event_type { LUG_EVENTS(X) LUG_EVENT_COUNT };
#undef X

/* Sizes in bytes, with the NUL. */
#define LUG_SUBJECT_SIZE 72
#define LUG_DETAIL_SIZE 96

/**
 * struct lug_event - one event of a process
 * @stamp: hybrid logical clock stamp, orders the events of all processes
 * @type: type of the event
 * @subject: what the event concerns: id of a job or request, or name of a process, lease or
 *	file; truncated to fit
 * @detail: details, may be empty; truncated to fit
 */
struct lug_event {
	guint64 stamp;
	enum lug_event_type type;
	char subject[LUG_SUBJECT_SIZE];
	char detail[LUG_DETAIL_SIZE];
};

/**
 * struct lug_timeline - bounded buffer of the most recent events of one process
 */
struct lug_timeline;

struct lug_timeline *lug_timeline_new(struct lug_hlc *hlc, gsize capacity);
void lug_timeline_free(struct lug_timeline *timeline);
void lug_timeline_add(struct lug_timeline *timeline, enum lug_event_type type, const char *subject,
		      const char *fmt, ...) G_GNUC_PRINTF(4, 5);
void lug_timeline_add_text(struct lug_timeline *timeline, enum lug_event_type type,
			   const char *subject, const char *detail);
typedef void (*lug_event_fn)(const struct lug_event *event, void *data);
void lug_timeline_foreach(const struct lug_timeline *timeline, guint64 since, const char *match,
			  lug_event_fn fn, void *data);
guint64 lug_timeline_overwritten(const struct lug_timeline *timeline);
const char *lug_event_name(enum lug_event_type type);

#endif
