#include "core/hlc.h"

#define HLC_AHEAD_MAX_MS (60 * 1000)

static guint64 physical(gint64 wall_us)
{
	return (guint64)(wall_us / 1000) << LUG_HLC_LOGICAL_BITS;
}

/**
 * lug_hlc_now - stamp an event of this process
 * @hlc: clock
 * @wall_us: present wall time, microseconds
 *
 * Return: a stamp greater than every stamp given or observed before.
 */
guint64 lug_hlc_now(struct lug_hlc *hlc, gint64 wall_us)
{
	hlc->last = MAX(hlc->last + 1, physical(wall_us));
	return hlc->last;
}

/**
 * lug_hlc_observe - take a peer's stamp into account
 * @hlc: clock
 * @stamp: stamp carried by a message
 * @wall_us: present wall time, microseconds
 *
 * A stamp that runs further ahead than a minute is ignored, so that one peer
 * with a broken clock can't drag the others along.
 */
void lug_hlc_observe(struct lug_hlc *hlc, guint64 stamp, gint64 wall_us)
{
	if (stamp > physical(wall_us + HLC_AHEAD_MAX_MS * 1000))
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
