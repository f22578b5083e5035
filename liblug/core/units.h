#ifndef LUG_CORE_UNITS_H
#define LUG_CORE_UNITS_H

#include <glib.h>

gboolean lug_duration_parse(const char *text, gint64 *out_ms);
gboolean lug_size_parse(const char *text, gint64 *out_bytes);
gboolean lug_cores_parse(const char *text, gint64 *out_millicores);
gboolean lug_int_parse(const char *text, gint64 *out);

#endif
