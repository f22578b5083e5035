#include "core/json.h"

#include <string.h>

static JsonNode *member_of(JsonObject *obj, const char *key, JsonNodeType type)
{
	JsonNode *node = obj ? json_object_get_member(obj, key) : NULL;

	if (!node || json_node_get_node_type(node) != type)
		return NULL;
	return node;
}

/**
 * lug_json_parse - parse text that must hold one JSON object
 * @text: text, need not end with NUL
 * @len: bytes, -1 for a terminated string
 * @err: filled on failure, may be NULL
 *
 * Return: the object, owned by the caller, or NULL with LUG_BAD_INPUT in @err.
 */
JsonObject *lug_json_parse(const char *text, gssize len, struct lug_error *err)
{
	JsonParser *parser = json_parser_new();
	GError *why = NULL;
	JsonObject *obj = NULL;
	JsonNode *root;

	if (!json_parser_load_from_data(parser, text ? text : "", len, &why)) {
		lug_fail(err, LUG_BAD_INPUT, "send one JSON object", "not JSON: %s", why->message);
		g_error_free(why);
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

static char *generate(JsonObject *obj, gboolean pretty)
{
	JsonNode *node = json_node_init_object(json_node_alloc(), obj);
	char *text = json_to_string(node, pretty);

	json_node_free(node);
	return text;
}

/**
 * lug_json_text - compact text of an object
 * @obj: object
 *
 * Return: text owned by the caller.
 */
char *lug_json_text(JsonObject *obj)
{
	return generate(obj, FALSE);
}

/**
 * lug_json_pretty - indented text of an object
 * @obj: object
 *
 * Return: text owned by the caller.
 */
char *lug_json_pretty(JsonObject *obj)
{
	return generate(obj, TRUE);
}

/**
 * lug_json_str - string member
 */
const char *lug_json_str(JsonObject *obj, const char *key, const char *fallback)
{
	JsonNode *node = member_of(obj, key, JSON_NODE_VALUE);

	if (!node || json_node_get_value_type(node) != G_TYPE_STRING)
		return fallback;
	return json_node_get_string(node);
}

/**
 * lug_json_int - integer member; a double with an integral value counts too
 */
gint64 lug_json_int(JsonObject *obj, const char *key, gint64 fallback)
{
	JsonNode *node = member_of(obj, key, JSON_NODE_VALUE);

	if (!node)
		return fallback;
	if (json_node_get_value_type(node) == G_TYPE_INT64)
		return json_node_get_int(node);
	if (json_node_get_value_type(node) == G_TYPE_DOUBLE)
		return (gint64)json_node_get_double(node);
	return fallback;
}

/**
 * lug_json_num - number member
 */
double lug_json_num(JsonObject *obj, const char *key, double fallback)
{
	JsonNode *node = member_of(obj, key, JSON_NODE_VALUE);

	if (!node)
		return fallback;
	if (json_node_get_value_type(node) == G_TYPE_INT64)
		return (double)json_node_get_int(node);
	if (json_node_get_value_type(node) == G_TYPE_DOUBLE)
		return json_node_get_double(node);
	return fallback;
}

/**
 * lug_json_bool - boolean member
 */
gboolean lug_json_bool(JsonObject *obj, const char *key, gboolean fallback)
{
	JsonNode *node = member_of(obj, key, JSON_NODE_VALUE);

	if (!node || json_node_get_value_type(node) != G_TYPE_BOOLEAN)
		return fallback;
	return json_node_get_boolean(node);
}

/**
 * lug_json_obj - object member, NULL when missing
 */
JsonObject *lug_json_obj(JsonObject *obj, const char *key)
{
	JsonNode *node = member_of(obj, key, JSON_NODE_OBJECT);

	return node ? json_node_get_object(node) : NULL;
}

/**
 * lug_json_arr - array member, NULL when missing
 */
JsonArray *lug_json_arr(JsonObject *obj, const char *key)
{
	JsonNode *node = member_of(obj, key, JSON_NODE_ARRAY);

	return node ? json_node_get_array(node) : NULL;
}
