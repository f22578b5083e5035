#ifndef LUG_CORE_JSON_H
#define LUG_CORE_JSON_H

#include <json-glib/json-glib.h>

#include "core/status.h"

/*
 * Accessors over json-glib for table rows and HTTP bodies. An accessor returns the
 * fallback when the member is missing or of another type, also the accessors of the items of
 * arrays, lug_json_item_*(), unlike json-glib's, which require the type.
 */

/* Levels of nested objects and arrays that are parsed; the parser recurses. */
#define LUG_JSON_DEPTH_MAX 64

JsonObject *lug_json_parse(const char *text, gssize len, struct lug_error *err);
JsonObject *lug_json_parse_list(const char *text, gsize len, guint *n_replaced,
				struct lug_error *err);
char *lug_json_text(JsonObject *obj);
char *lug_json_pretty(JsonObject *obj);
const char *lug_json_str(JsonObject *obj, const char *key, const char *fallback);
gint64 lug_json_int(JsonObject *obj, const char *key, gint64 fallback);
double lug_json_num(JsonObject *obj, const char *key, double fallback);
gboolean lug_json_bool(JsonObject *obj, const char *key, gboolean fallback);
JsonObject *lug_json_obj(JsonObject *obj, const char *key);
JsonArray *lug_json_arr(JsonObject *obj, const char *key);
gint64 lug_json_item_int(JsonArray *array, guint index, gint64 fallback);
const char *lug_json_item_str(JsonArray *array, guint index, const char *fallback);
JsonObject *lug_json_item_obj(JsonArray *array, guint index);
JsonArray *lug_json_item_arr(JsonArray *array, guint index);

#endif
