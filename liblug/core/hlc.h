#ifndef LUG_CORE_HLC_H
#define LUG_CORE_HLC_H

#include <glib.h>

#define LUG_HLC_LOGICAL_BITS 16

/**
 * struct lug_hlc - hybrid logical clock
 * @last: highest stamp issued or observed; milliseconds of wall time in the high
 *        bits, a logical counter in the low LUG_HLC_LOGICAL_BITS bits
 */
struct lug_hlc {
	guint64 last;
};

guint64 lug_hlc_now(struct lug_hlc *hlc, gint64 wall_us);
void lug_hlc_observe(struct lug_hlc *hlc, guint64 stamp, gint64 wall_us);
gint64 lug_hlc_wall_ms(guint64 stamp);

#endif
