#include "core/hlc.h"

/* Stamps of peers that are further ahead of this process's wall clock are ignored. */
#define HLC_AHEAD_MAX_MS (60 * 1000)

static guint64 stamp_of_wall_time(gint64 wall_us)
{
	return (guint64)(wall_us / 1000) << LUG_HLC_LOGICAL_BITS;
}

/**
 * lug_hlc_now - create a stamp for an event of this process
 * @hlc: clock
 * @wall_us: current wall time, microseconds since 1970
 *
 * Return: a stamp greater than every stamp issued or observed before.
 */
guint64 lug_hlc_now(struct lug_hlc *hlc, gint64 wall_us)
{
	hlc->last = MAX(hlc->last + 1, stamp_of_wall_time(wall_us));
	return hlc->last;
}

/**
 * lug_hlc_observe - advance the clock to a peer's stamp
 * @hlc: clock
 * @stamp: stamp carried by a message
 * @wall_us: current wall time, microseconds since 1970
 *
 * Ignores a stamp more than a minute ahead of @wall_us, so that one peer with a
 * wrong clock can't advance the clocks of the others.
 */
void lug_hlc_observe(struct lug_hlc *hlc, guint64 stamp, gint64 wall_us)
{
	if (stamp > stamp_of_wall_time(wall_us + HLC_AHEAD_MAX_MS * 1000))
		return;
	hlc->last = MAX(hlc->last, stamp);
}

/**
 * lug_hlc_wall_ms - wall time part of a stamp, milliseconds since 1970
 * @stamp: stamp
 */
gint64 lug_hlc_wall_ms(guint64 stamp)
{
	return (gint64)(stamp >> LUG_HLC_LOGICAL_BITS);
}
