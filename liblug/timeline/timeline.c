#include "timeline/timeline.h"

#include <stdarg.h>
#include <string.h>

struct ring {
	struct lug_event *events;
	gsize capacity;
	guint64 added;
};

/* Requests have a separate ring so that they don't displace less frequent events. */
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

static struct ring *select_ring(struct lug_timeline *timeline, enum lug_event_type type)
{
	if (type >= LUG_EV_REQUEST_SUBMITTED && type <= LUG_EV_REQUEST_DONE)
		return &timeline->requests;
	return &timeline->others;
}

/**
 * lug_timeline_new - create a timeline
 * @hlc: clock that stamps the events; must outlive the timeline
 * @capacity: limit on request events, and separately on other events
 *
 * Return: timeline, released by lug_timeline_free().
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
 * lug_timeline_free - release a timeline
 * @timeline: timeline, may be NULL
 */
void lug_timeline_free(struct lug_timeline *timeline)
{
	if (!timeline)
		return;
	g_free(timeline->requests.events);
	g_free(timeline->others.events);
	g_free(timeline);
}

static struct lug_event *append_event(struct lug_timeline *timeline, enum lug_event_type type,
				      const char *subject)
{
	struct ring *ring = select_ring(timeline, type);
	struct lug_event *event = &ring->events[ring->added % ring->capacity];

	ring->added++;
	event->stamp = lug_hlc_now(timeline->hlc, g_get_real_time());
	event->type = type;
	g_strlcpy(event->subject, subject ? subject : "", sizeof(event->subject));
	return event;
}

/**
 * lug_timeline_add_text - record an event with a preformatted detail
 * @timeline: timeline
 * @type: type of the event
 * @subject: what the event concerns, see struct lug_event; copied, may be NULL
 * @detail: detail; copied, may be NULL
 */
void lug_timeline_add_text(struct lug_timeline *timeline, enum lug_event_type type,
			   const char *subject, const char *detail)
{
	struct lug_event *event = append_event(timeline, type, subject);

	g_strlcpy(event->detail, detail ? detail : "", sizeof(event->detail));
}

/**
 * lug_timeline_add - record an event
 * @timeline: timeline
 * @type: type of the event
 * @subject: what the event concerns, see struct lug_event; copied, may be NULL
 * @fmt: printf format of the detail
 */
void lug_timeline_add(struct lug_timeline *timeline, enum lug_event_type type, const char *subject,
		      const char *fmt, ...)
{
	struct lug_event *event = append_event(timeline, type, subject);
	va_list ap;

	va_start(ap, fmt);
	g_vsnprintf(event->detail, sizeof(event->detail), fmt, ap);
	va_end(ap);
}

static gboolean is_selected(const struct lug_event *event, guint64 since, const char *match)
{
	if (event->stamp <= since)
		return FALSE;
	return !match || !*match || strstr(event->subject, match) || strstr(event->detail, match);
}

static void ring_foreach(const struct ring *ring, guint64 since, const char *match, lug_event_fn fn,
			 void *data)
{
	guint64 kept = MIN(ring->added, (guint64)ring->capacity);

	for (guint64 i = ring->added - kept; i < ring->added; i++) {
		const struct lug_event *event = &ring->events[i % ring->capacity];

		if (is_selected(event, since, match))
			fn(event, data);
	}
}

/**
 * lug_timeline_foreach - visit all events but those of requests, then those of requests
 * @timeline: timeline
 * @since: visit events with a later stamp only
 * @match: visit events whose subject or detail contains this text, NULL or "" for all
 * @fn: called for each event
 * @data: passed to @fn
 *
 * Each of the two groups is visited from its oldest event on.
 */
void lug_timeline_foreach(const struct lug_timeline *timeline, guint64 since, const char *match,
			  lug_event_fn fn, void *data)
{
	ring_foreach(&timeline->others, since, match, fn, data);
	ring_foreach(&timeline->requests, since, match, fn, data);
}

static guint64 ring_overwritten(const struct ring *ring)
{
	return ring->added > ring->capacity ? ring->added - ring->capacity : 0;
}

/**
 * lug_timeline_overwritten - number of events that have been overwritten
 * @timeline: timeline
 */
guint64 lug_timeline_overwritten(const struct lug_timeline *timeline)
{
	return ring_overwritten(&timeline->others) + ring_overwritten(&timeline->requests);
}

/**
 * lug_event_name - name of an event type
 * @type: event type
 */
const char *lug_event_name(enum lug_event_type type)
{
	return (unsigned int)type < LUG_EVENT_COUNT ? event_names[type] : "unknown";
}
