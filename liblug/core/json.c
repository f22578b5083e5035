#include "core/json.h"

#include <string.h>

#include "core/json_scan.h"

/* First double above the range of gint64. */
#define INT64_LIMIT 9223372036854775808.0

static JsonNode *get_member(JsonObject *obj, const char *key, JsonNodeType type)
{
	JsonNode *node = obj ? json_object_get_member(obj, key) : NULL;

	if (!node || json_node_get_node_type(node) != type)
		return NULL;
	return node;
}

static JsonObject *parse_scanned(const char *text, gsize len, struct lug_error *err)
{
	JsonParser *parser = json_parser_new();
	GError *error = NULL;
	JsonObject *obj = NULL;
	JsonNode *root;

	if (!json_parser_load_from_data(parser, text, (gssize)len, &error)) {
		lug_fail(err, LUG_BAD_INPUT, "send one JSON object", "not JSON: %s",
			 error->message);
		g_error_free(error);
		g_object_unref(parser);
		return NULL;
	}
	root = json_parser_get_root(parser);
	if (root && JSON_NODE_HOLDS_OBJECT(root))
		obj = json_object_ref(json_node_get_object(root));
	else
		lug_fail(err, LUG_BAD_INPUT, "send one JSON object", "the body is no JSON object");
	g_object_unref(parser);
	return obj;
}

/**
 * lug_json_parse - parse a text that consists of one JSON object
 * @text: text; needs no terminating NUL unless @len is -1
 * @len: bytes, -1 for a NUL-terminated string
 * @err: filled on failure, may be NULL
 *
 * A text is refused if it nests objects and arrays deeper than LUG_JSON_DEPTH_MAX, or contains an
 * integer of more than 64 bits, another number that is not finite, or a string with a NUL or an
 * unpaired surrogate.
 *
 * Return: the object, owned by the caller, or NULL with LUG_BAD_INPUT in @err.
 */
JsonObject *lug_json_parse(const char *text, gssize len, struct lug_error *err)
{
	gsize n = len < 0 ? strlen(text ? text : "") : (gsize)len;

	if (!json_scan(text ? text : "", n, NULL, NULL, err))
		return NULL;
	return parse_scanned(text, n, err);
}

/**
 * lug_json_parse_list - parse a list of entries by several writers
 * @text: text of one JSON object
 * @len: bytes
 * @n_replaced: set to the number of values replaced, may be NULL
 * @err: filled on failure, may be NULL
 *
 * Values for which lug_json_parse() refuses a text are replaced, strings by "" and others by null,
 * so that they do not cost the other entries.
 *
 * Return: the object, owned by the caller, or NULL with LUG_BAD_INPUT in @err.
 */
JsonObject *lug_json_parse_list(const char *text, gsize len, guint *n_replaced,
				struct lug_error *err)
{
	GString *accepted = g_string_sized_new(len);
	JsonObject *obj = NULL;

	if (json_scan(text ? text : "", len, accepted, n_replaced, err))
		obj = parse_scanned(accepted->str, accepted->len, err);
	g_string_free(accepted, TRUE);
	return obj;
}

static char *serialise(JsonObject *obj, gboolean pretty)
{
	JsonNode *node = json_node_init_object(json_node_alloc(), obj);
	char *text = json_to_string(node, pretty);

	json_node_free(node);
	return text;
}

/**
 * lug_json_text - serialise an object without white space
 * @obj: object
 *
 * Return: text owned by the caller.
 */
char *lug_json_text(JsonObject *obj)
{
	return serialise(obj, FALSE);
}

/**
 * lug_json_pretty - serialise an object with indentation
 * @obj: object
 *
 * Return: text owned by the caller.
 */
char *lug_json_pretty(JsonObject *obj)
{
	return serialise(obj, TRUE);
}

static const char *node_str(JsonNode *node, const char *fallback)
{
	if (!node || json_node_get_value_type(node) != G_TYPE_STRING)
		return fallback;
	return json_node_get_string(node);
}

/**
 * lug_json_str - read a string member
 * @obj: object, may be NULL
 * @key: name of the member
 * @fallback: returned when the member is missing or of another type
 *
 * Return: text owned by @obj, or @fallback.
 */
const char *lug_json_str(JsonObject *obj, const char *key, const char *fallback)
{
	return node_str(get_member(obj, key, JSON_NODE_VALUE), fallback);
}

static gint64 node_int(JsonNode *node, gint64 fallback)
{
	double value;

	if (!node)
		return fallback;
	if (json_node_get_value_type(node) == G_TYPE_INT64)
		return json_node_get_int(node);
	if (json_node_get_value_type(node) != G_TYPE_DOUBLE)
		return fallback;
	value = json_node_get_double(node);
	return value >= -INT64_LIMIT && value < INT64_LIMIT ? (gint64)value : fallback;
}

/**
 * lug_json_int - read an integer member; a double is truncated
 * @obj: object, may be NULL
 * @key: name of the member
 * @fallback: returned when the member is missing, of another type, or a double out of the range of
 * gint64
 */
gint64 lug_json_int(JsonObject *obj, const char *key, gint64 fallback)
{
	return node_int(get_member(obj, key, JSON_NODE_VALUE), fallback);
}

/**
 * lug_json_num - read a number member
 * @obj: object, may be NULL
 * @key: name of the member
 * @fallback: returned when the member is missing or of another type
 */
double lug_json_num(JsonObject *obj, const char *key, double fallback)
{
	JsonNode *node = get_member(obj, key, JSON_NODE_VALUE);

	if (!node)
		return fallback;
	if (json_node_get_value_type(node) == G_TYPE_INT64)
		return (double)json_node_get_int(node);
	if (json_node_get_value_type(node) == G_TYPE_DOUBLE)
		return json_node_get_double(node);
	return fallback;
}

/**
 * lug_json_bool - read a boolean member
 * @obj: object, may be NULL
 * @key: name of the member
 * @fallback: returned when the member is missing or of another type
 */
gboolean lug_json_bool(JsonObject *obj, const char *key, gboolean fallback)
{
	JsonNode *node = get_member(obj, key, JSON_NODE_VALUE);

	if (!node || json_node_get_value_type(node) != G_TYPE_BOOLEAN)
		return fallback;
	return json_node_get_boolean(node);
}

/**
 * lug_json_obj - read an object member
 * @obj: object, may be NULL
 * @key: name of the member
 *
 * Return: the member, owned by @obj, or NULL when missing or of another type.
 */
JsonObject *lug_json_obj(JsonObject *obj, const char *key)
{
	JsonNode *node = get_member(obj, key, JSON_NODE_OBJECT);

	return node ? json_node_get_object(node) : NULL;
}

/**
 * lug_json_arr - read an array member
 * @obj: object, may be NULL
 * @key: name of the member
 *
 * Return: the member, owned by @obj, or NULL when missing or of another type.
 */
JsonArray *lug_json_arr(JsonObject *obj, const char *key)
{
	JsonNode *node = get_member(obj, key, JSON_NODE_ARRAY);

	return node ? json_node_get_array(node) : NULL;
}

static JsonNode *get_item(JsonArray *array, guint index, JsonNodeType type)
{
	JsonNode *node = array && index < json_array_get_length(array)
				 ? json_array_get_element(array, index)
				 : NULL;

	return node && json_node_get_node_type(node) == type ? node : NULL;
}

/**
 * lug_json_item_int - read an integer of an array; a double is truncated
 * @array: array, may be NULL
 * @index: index
 * @fallback: returned when the item is missing, of another type, or a double out of the range of
 * gint64
 */
gint64 lug_json_item_int(JsonArray *array, guint index, gint64 fallback)
{
	return node_int(get_item(array, index, JSON_NODE_VALUE), fallback);
}

/**
 * lug_json_item_str - read a string of an array
 * @array: array, may be NULL
 * @index: index
 * @fallback: returned when the item is missing or of another type
 *
 * Return: text owned by @array, or @fallback.
 */
const char *lug_json_item_str(JsonArray *array, guint index, const char *fallback)
{
	return node_str(get_item(array, index, JSON_NODE_VALUE), fallback);
}

/**
 * lug_json_item_obj - read an object of an array
 * @array: array, may be NULL
 * @index: index
 *
 * Return: the item, owned by @array, or NULL when missing or of another type.
 */
JsonObject *lug_json_item_obj(JsonArray *array, guint index)
{
	JsonNode *node = get_item(array, index, JSON_NODE_OBJECT);

	return node ? json_node_get_object(node) : NULL;
}

/**
 * lug_json_item_arr - read an array of an array
 * @array: array, may be NULL
 * @index: index
 *
 * Return: the item, owned by @array, or NULL when missing or of another type.
 */
JsonArray *lug_json_item_arr(JsonArray *array, guint index)
{
	JsonNode *node = get_item(array, index, JSON_NODE_ARRAY);

	return node ? json_node_get_array(node) : NULL;
}
