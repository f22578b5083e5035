#ifndef LUG_WIRE_EXCHANGE_H
#define LUG_WIRE_EXCHANGE_H

#include "wire/link.h"

/**
 * struct lug_exchange - passes the newest version of a text from process to process
 *
 * Every envelope carries the version that its sender has. A process that receives a higher one
 * fetches the text from that peer. There is one exchange a process.
 */
struct lug_exchange;

/**
 * lug_exchange_fn - receives a text that a peer has sent
 *
 * The receiver checks it, and calls lug_exchange_set() if it is newer than its own.
 */
typedef void (*lug_exchange_fn)(void *data, gint64 version, const char *text);

struct lug_exchange *lug_exchange_new(struct lug_link *link, gint64 delay_us, lug_exchange_fn fn,
				      void *data);
void lug_exchange_free(struct lug_exchange *exchange);
void lug_exchange_set(struct lug_exchange *exchange, gint64 version, const char *text);
gboolean lug_exchange_handle(struct lug_exchange *exchange, const struct lug_route *route,
			     const Lug__Envelope *env, gint64 now_us);

#endif
