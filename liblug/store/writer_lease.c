#include "store/writer_priv.h"

/* Longest lease that a row may state; the settings accept no longer one. */
#define TTL_MAX_MS (600LL * 1000)
/* The rates of two instances' clocks differ by less than one part in 50 (2 %). */
#define DRIFT_DIVISOR 50

/**
 * lug_writer_is_held - whether the writer holds the lease according to the last answer of the
 * table service
 * @writer: writer
 *
 * The lease may have expired since, see lug_writer_is_valid().
 */
gboolean lug_writer_is_held(const struct lug_writer *writer)
{
	return writer->phase == PHASE_HELD;
}

/**
 * lug_writer_is_taking - whether an attempt to take the lease has no outcome yet
 * @writer: writer
 */
gboolean lug_writer_is_taking(const struct lug_writer *writer)
{
	return writer->phase == PHASE_ACQUIRING;
}

/**
 * lug_writer_renewed_us - time at which the last committed transaction was first sent
 * @writer: writer
 *
 * Return: microseconds since boot, 0 before the first commit. No other process has taken the lease
 * before that time.
 */
gint64 lug_writer_renewed_us(const struct lug_writer *writer)
{
	return writer->renewed_us;
}

/**
 * lug_writer_valid_until_us - time until which no other process can take the lease
 * @writer: writer
 *
 * Return: microseconds since boot, less a margin for clock drift; 0 if the lease was never held or
 * was lost.
 */
gint64 lug_writer_valid_until_us(const struct lug_writer *writer)
{
	if (!writer->valid_until_us)
		return 0;
	return writer->valid_until_us - writer->config.ttl_ms * 1000 / DRIFT_DIVISOR;
}

/**
 * lug_writer_is_valid - whether no other process can have taken the lease
 * @writer: writer
 * @now_us: current time
 */
gboolean lug_writer_is_valid(const struct lug_writer *writer, gint64 now_us)
{
	return now_us < lug_writer_valid_until_us(writer);
}

/**
 * lug_writer_hold - keep other processes from taking the lease before a time
 * @writer: writer
 * @until_us: time, in microseconds since boot
 *
 * The rows written from now on state a longer duration of the lease, as far as that is needed.
 * lug_writer_valid_until_us() is not changed.
 */
void lug_writer_hold(struct lug_writer *writer, gint64 until_us)
{
	writer->hold_until_us = MAX(writer->hold_until_us, until_us);
}

/**
 * lug_writer_rewrite - write the leased row without waiting for its renewal
 * @writer: writer
 * @now_us: current time
 *
 * Return: number that lug_writer_is_written() takes. A transaction that is in flight already does
 * not count.
 */
guint64 lug_writer_rewrite(struct lug_writer *writer, gint64 now_us)
{
	guint64 number = writer->txn_count + 1;

	writer->rewrite_requested = TRUE;
	lug_writer_tick(writer, now_us);
	return number;
}

/**
 * lug_writer_is_written - whether the leased row has been written since a request to rewrite it
 * @writer: writer
 * @number: what lug_writer_rewrite() has returned, 0 for any row
 */
gboolean lug_writer_is_written(const struct lug_writer *writer, guint64 number)
{
	return writer->written_txn >= number;
}

/**
 * lug_writer_epoch - number of times that the lease has been taken, by any holder
 * @writer: writer
 */
guint64 lug_writer_epoch(const struct lug_writer *writer)
{
	return writer->epoch;
}

/**
 * lug_writer_total - sum of total_delta of all committed operations, by all holders
 * @writer: writer
 */
gint64 lug_writer_total(const struct lug_writer *writer)
{
	return writer->total;
}

/**
 * lug_writer_row_ttl_ms - duration of the lease that a row states, 0 if it states none
 * @row: row as read
 */
gint64 lug_writer_row_ttl_ms(const struct lug_row *row)
{
	return CLAMP(lug_json_int(row->data, "ttl_ms", 0), 0, TTL_MAX_MS);
}

/**
 * lug_writer_row_left_ms - time until the lease of a row that was just read ends
 * @row: row as read
 * @clock_ms: steady clock of the table service in the same answer, 0 if it had none
 *
 * Return: milliseconds, with a margin for clock drift, unless the row is written again before that;
 * 0 if the lease has ended, -1 if that is not known.
 */
gint64 lug_writer_row_left_ms(const struct lug_row *row, gint64 clock_ms)
{
	gint64 ends_ms = lug_json_int(row->data, "ends_ms", 0);
	gint64 left_ms = CLAMP(ends_ms - clock_ms, 0, TTL_MAX_MS);

	if (!clock_ms || ends_ms <= 0 || ends_ms > clock_ms + 2 * TTL_MAX_MS)
		return -1;
	return left_ms + left_ms / DRIFT_DIVISOR;
}

/**
 * lug_writer_row_is_free - whether the lease of a row can be taken: the row is absent, or the
 * lease was released or has expired
 * @row: row as read
 * @unchanged_us: time in microseconds for which the reader has seen the same version
 * @unreadable_ttl_ms: duration of the lease of a row that can't be decoded
 *
 * The lease has expired when the row's version has not changed for the duration of the lease, which
 * the row states, plus a margin for clock drift. A row that can't be decoded does not state it.
 */
gboolean lug_writer_row_is_free(const struct lug_row *row, gint64 unchanged_us,
				gint64 unreadable_ttl_ms)
{
	gint64 ttl_us = (row->data ? lug_writer_row_ttl_ms(row) : unreadable_ttl_ms) * 1000;

	if (!row->version || (row->data && !*lug_json_str(row->data, "owner", "")))
		return TRUE;
	return unchanged_us > ttl_us + ttl_us / DRIFT_DIVISOR;
}

/**
 * lug_writer_row_epoch - epoch of a lease row
 * @row: row as read, absent or present
 *
 * An epoch rises by one with a write of the row, and the versions of the table service with each
 * write, so the version of a row whose epoch can't be read is not below any epoch it had.
 *
 * Return: the epoch, 0 for an absent row.
 */
guint64 lug_writer_row_epoch(const struct lug_row *row)
{
	gint64 epoch = lug_json_int(row->data, "epoch", -1);

	return (guint64)(epoch >= 0 && epoch <= LUG_EPOCH_MAX ? epoch : row->version);
}
