#include "wire/exchange.h"

/**
 * struct lug_exchange - newest version of a text that this process has
 * @link: internal connections, not owned
 * @delay_us: see lug_exchange_new()
 * @fn: receives the texts that peers send
 * @data: passed to @fn
 * @version: version of @text, 0 without one
 * @text: text, NULL without one
 * @behind_since_us: time at which a peer's envelope first had a higher version, 0 if none has
 */
struct lug_exchange {
	struct lug_link *link;
	gint64 delay_us;
	lug_exchange_fn fn;
	void *data;
	gint64 version;
	char *text;
	gint64 behind_since_us;
};

/**
 * lug_exchange_new - create an exchange without a text
 * @link: internal connections, whose envelopes carry the version
 * @delay_us: time for which another source may still bring a version that a peer has, before it is
 *            fetched from there
 * @fn: receives the texts that peers send
 * @data: passed to @fn
 *
 * Return: the exchange, to be freed with lug_exchange_free().
 */
struct lug_exchange *lug_exchange_new(struct lug_link *link, gint64 delay_us, lug_exchange_fn fn,
				      void *data)
{
	struct lug_exchange *exchange = g_new0(struct lug_exchange, 1);

	exchange->link = link;
	exchange->delay_us = delay_us;
	exchange->fn = fn;
	exchange->data = data;
	return exchange;
}

/**
 * lug_exchange_free - free an exchange
 * @exchange: may be NULL
 */
void lug_exchange_free(struct lug_exchange *exchange)
{
	if (!exchange)
		return;
	g_free(exchange->text);
	g_free(exchange);
}

/**
 * lug_exchange_set - set the text that peers may fetch
 * @exchange: exchange
 * @version: its version, higher than the one before
 * @text: text, copied
 */
void lug_exchange_set(struct lug_exchange *exchange, gint64 version, const char *text)
{
	g_free(exchange->text);
	exchange->text = g_strdup(text);
	exchange->version = version;
	exchange->behind_since_us = 0;
	lug_link_set_table_version(exchange->link, (guint64)version);
}

static void send_text(struct lug_exchange *exchange, const struct lug_route *route)
{
	Lug__TableBody body = LUG__TABLE_BODY__INIT;
	LUG_ENVELOPE(env, TABLE_BODY, table_body, &body);

	if (!exchange->text)
		return;
	body.has_version = 1;
	body.version = (guint64)exchange->version;
	body.text = exchange->text;
	lug_link_send(exchange->link, route, &env);
}

static void fetch_if_newer(struct lug_exchange *exchange, const struct lug_route *route,
			   guint64 version, gint64 now_us)
{
	Lug__TableFetch fetch = LUG__TABLE_FETCH__INIT;
	LUG_ENVELOPE(env, TABLE_FETCH, table_fetch, &fetch);

	if (version <= (guint64)exchange->version)
		return;
	if (!exchange->behind_since_us)
		exchange->behind_since_us = now_us;
	if (now_us - exchange->behind_since_us >= exchange->delay_us)
		lug_link_send(exchange->link, route, &env);
}

/**
 * lug_exchange_handle - handle a message of the exchange, and fetch the text if the sender of an
 * envelope has a newer one
 * @exchange: exchange
 * @route: route to the sender
 * @env: envelope
 * @now_us: current time
 *
 * Return: TRUE when the envelope was a message of the exchange and needs no other handler.
 */
gboolean lug_exchange_handle(struct lug_exchange *exchange, const struct lug_route *route,
			     const Lug__Envelope *env, gint64 now_us)
{
	const Lug__TableBody *body;

	if (env->body_case == LUG__ENVELOPE__BODY_TABLE_FETCH) {
		send_text(exchange, route);
		return TRUE;
	}
	if (env->body_case == LUG__ENVELOPE__BODY_TABLE_BODY) {
		body = env->table_body;
		if (body->text && body->version <= G_MAXINT64 &&
		    (gint64)body->version > exchange->version)
			exchange->fn(exchange->data, (gint64)body->version, body->text);
		return TRUE;
	}
	fetch_if_newer(exchange, route, env->table_version, now_us);
	return FALSE;
}
