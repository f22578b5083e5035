#ifndef LUG_SCHEDULE_PACK_H
#define LUG_SCHEDULE_PACK_H

#include <glib.h>

gboolean lug_pack_is_scarce(gint64 free_millicores, gint64 capacity_millicores);
double lug_pack_score(gint64 free_millicores, gint64 capacity_millicores, gboolean scarce);

#endif
