#include "store/store.h"

/* The rates of two instances' clocks differ by less than one part in 50 (2 %). */
#define DRIFT_DIVISOR 50

/**
 * lug_store_clock_bound_ms - bound of the table service's steady clock
 * @store: client
 * @now_us: current time
 *
 * The service has read its clock after the call with the latest answer was sent.
 *
 * Return: milliseconds that its clock has not passed yet, 0 if its clock is not known.
 */
gint64 lug_store_clock_bound_ms(const struct lug_store *store, gint64 now_us)
{
	gint64 since_us = now_us - store->clock_asked_us;

	if (!store->clock_ms)
		return 0;
	return store->clock_ms + (since_us + since_us / DRIFT_DIVISOR) / 1000 + 1;
}
