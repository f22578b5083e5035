#ifndef LUG_CORE_JSON_SCAN_H
#define LUG_CORE_JSON_SCAN_H

#include "core/status.h"

gboolean json_scan(const char *text, gsize len, GString *accepted, guint *n_replaced,
		   struct lug_error *err);

#endif
