#include "timeline/timeline.h"

#include <stdarg.h>
#include <string.h>

struct ring {
	struct lug_event *events;
	gsize capacity;
	guint64 added;
};

/* Requests have a ring of their own, so that they don't displace rarer events. */
struct lug_timeline {
	struct lug_hlc *hlc;
	struct ring requests;
	struct ring others;
};

#define X(id, name) name,
static const char *const event_names[] = {LUG_EVENTS(X)};
#undef X

static void ring_init(struct ring *ring, gsize capacity)
{
	ring->capacity = capacity;
	ring->events = g_new0(struct lug_event, capacity);
}

static struct ring *ring_of(struct lug_timeline *timeline, enum lug_event_type type)
{
	if (type >= LUG_EV_REQUEST_ADMITTED && type <= LUG_EV_REQUEST_DONE)
		return &timeline->requests;
	return &timeline->others;
}

/**
 * lug_timeline_new - create a ring
 * @hlc: clock that stamps the events; outlives the ring
 * @capacity: events kept
 */
struct lug_timeline *lug_timeline_new(struct lug_hlc *hlc, gsize capacity)
{
	struct lug_timeline *timeline = g_new0(struct lug_timeline, 1);

	timeline->hlc = hlc;
	ring_init(&timeline->requests, capacity);
	ring_init(&timeline->others, capacity);
	return timeline;
}

/**
 * lug_timeline_free - release a ring
 * @timeline: ring, may be NULL
 */
void lug_timeline_free(struct lug_timeline *timeline)
{
	if (!timeline)
		return;
	g_free(timeline->requests.events);
	g_free(timeline->others.events);
	g_free(timeline);
}

static struct lug_event *next_event(struct lug_timeline *timeline, enum lug_event_type type,
				    const char *subject)
{
	struct ring *ring = ring_of(timeline, type);
	struct lug_event *event = &ring->events[ring->added % ring->capacity];

	ring->added++;
	event->stamp = lug_hlc_now(timeline->hlc, g_get_real_time());
	event->type = type;
	g_strlcpy(event->subject, subject ? subject : "", sizeof(event->subject));
	return event;
}

/**
 * lug_timeline_put - record an event with ready words
 * @timeline: ring
 * @type: what happened
 * @subject: task, request, peer or lease concerned
 * @detail: further words
 */
void lug_timeline_put(struct lug_timeline *timeline, enum lug_event_type type, const char *subject,
		      const char *detail)
{
	struct lug_event *event = next_event(timeline, type, subject);

	g_strlcpy(event->detail, detail ? detail : "", sizeof(event->detail));
}

/**
 * lug_timeline_add - record an event
 * @timeline: ring
 * @type: what happened
 * @subject: task, request, peer or lease concerned
 * @fmt: further words
 */
void lug_timeline_add(struct lug_timeline *timeline, enum lug_event_type type, const char *subject,
		      const char *fmt, ...)
{
	struct lug_event *event = next_event(timeline, type, subject);
	va_list ap;

	va_start(ap, fmt);
	g_vsnprintf(event->detail, sizeof(event->detail), fmt, ap);
	va_end(ap);
}

static gboolean matches(const struct lug_event *event, guint64 since, const char *match)
{
	if (event->stamp <= since)
		return FALSE;
	return !match || !*match || strstr(event->subject, match) || strstr(event->detail, match);
}

static void each(const struct ring *ring, guint64 since, const char *match, lug_event_fn fn,
		 void *data)
{
	guint64 kept = MIN(ring->added, (guint64)ring->capacity);

	for (guint64 i = ring->added - kept; i < ring->added; i++) {
		const struct lug_event *event = &ring->events[i % ring->capacity];

		if (matches(event, since, match))
			fn(event, data);
	}
}

/**
 * lug_timeline_each - visit events, oldest first, requests after all others
 * @timeline: ring
 * @since: visit events stamped later than this
 * @match: visit events whose subject or detail holds this text, NULL or "" for all
 * @fn: called for each event
 * @data: passed to @fn
 */
void lug_timeline_each(const struct lug_timeline *timeline, guint64 since, const char *match,
		       lug_event_fn fn, void *data)
{
	each(&timeline->others, since, match, fn, data);
	each(&timeline->requests, since, match, fn, data);
}

static guint64 overwritten(const struct ring *ring)
{
	return ring->added > ring->capacity ? ring->added - ring->capacity : 0;
}

/**
 * lug_timeline_dropped - events that have been overwritten
 * @timeline: ring
 */
guint64 lug_timeline_dropped(const struct lug_timeline *timeline)
{
	return overwritten(&timeline->others) + overwritten(&timeline->requests);
}

/**
 * lug_event_name - stable text of an event type
 * @type: event type
 */
const char *lug_event_name(enum lug_event_type type)
{
	return (unsigned int)type < LUG_EVENT_COUNT ? event_names[type] : "unknown";
}
