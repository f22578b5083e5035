#include "core/settings_priv.h"

#include <string.h>

/* Length of a CURVE key in Z85, without the NUL. */
#define KEY_CHARS 40
/* With two key pairs, one can be replaced while peers still use the other. */
#define KEYS_MAX 2

/**
 * settings_store_addresses - store the list of addresses in the member entries
 * @p: parse in progress
 * @def: definition of the setting
 * @node: value
 */
void settings_store_addresses(struct settings_parse *p, const struct setting_def *def,
			      yaml_node_t *node)
{
	if (node->type != YAML_SEQUENCE_NODE) {
		settings_add_wrong_form(p, node, def, settings_scalar_text(node));
		return;
	}
	for (yaml_node_item_t *it = node->data.sequence.items.start;
	     it < node->data.sequence.items.top; it++) {
		yaml_node_t *item = yaml_document_get_node(&p->doc, *it);
		const char *text = settings_scalar_text(item);

		if (!lug_address_parse(text, NULL, NULL)) {
			settings_add_wrong_form(p, item, def, text);
			continue;
		}
		g_ptr_array_add(p->out->entries, g_strdup(text));
	}
}

static void store_token_member(struct settings_parse *p, struct lug_token *token, yaml_node_t *key,
			       yaml_node_t *value)
{
	const char *name = settings_scalar_text(key);
	const char *text = settings_scalar_text(value);

	if (!name || !text || !*text) {
		settings_add_problem(p, key, "tokens: a member is not accepted; write %s",
				     settings_expected_form(SET_TOKENS));
		return;
	}
	if (!strcmp(name, "token") && !token->secret)
		token->secret = g_strdup(text);
	else if (!strcmp(name, "team") && !token->team)
		token->team = g_strdup(text);
	else if (!strcmp(name, "role") && !strcmp(text, "operator"))
		token->role = LUG_ROLE_OPERATOR;
	/* "team" is the default role. Anything else is unknown or given twice. */
	else if (strcmp(name, "role") || strcmp(text, "team"))
		settings_add_problem(p, key, "tokens: %s: \"%s\" is not accepted; write %s", name,
				     text, settings_expected_form(SET_TOKENS));
}

static void store_token(struct settings_parse *p, yaml_node_t *item)
{
	struct lug_token token = {0};

	if (!item || item->type != YAML_MAPPING_NODE) {
		settings_add_problem(p, item, "tokens: an item is not accepted; write %s",
				     settings_expected_form(SET_TOKENS));
		return;
	}
	for (yaml_node_pair_t *pair = item->data.mapping.pairs.start;
	     pair < item->data.mapping.pairs.top; pair++)
		store_token_member(p, &token, yaml_document_get_node(&p->doc, pair->key),
				   yaml_document_get_node(&p->doc, pair->value));
	if (!token.secret || (!token.team && token.role == LUG_ROLE_TEAM))
		settings_add_problem(p, item, "tokens: token and team are both needed; write %s",
				     settings_expected_form(SET_TOKENS));
	g_array_append_val(p->out->tokens, token);
}

/**
 * settings_store_tokens - store the list of bearer tokens in the member tokens
 * @p: parse in progress
 * @def: definition of the setting
 * @node: value
 */
void settings_store_tokens(struct settings_parse *p, const struct setting_def *def,
			   yaml_node_t *node)
{
	if (node->type != YAML_SEQUENCE_NODE) {
		settings_add_wrong_form(p, node, def, settings_scalar_text(node));
		return;
	}
	for (yaml_node_item_t *it = node->data.sequence.items.start;
	     it < node->data.sequence.items.top; it++)
		store_token(p, yaml_document_get_node(&p->doc, *it));
}

static void store_key_member(struct settings_parse *p, struct lug_key *key, yaml_node_t *name_node,
			     yaml_node_t *value)
{
	const char *name = settings_scalar_text(name_node);
	const char *text = settings_scalar_text(value);

	if (!name || !text || strlen(text) != KEY_CHARS)
		settings_add_problem(p, name_node, "keys: a member is not accepted; write %s",
				     settings_expected_form(SET_KEYS));
	else if (!strcmp(name, "public") && !key->public_key)
		key->public_key = g_strdup(text);
	else if (!strcmp(name, "secret") && !key->secret_key)
		key->secret_key = g_strdup(text);
	else
		settings_add_problem(p, name_node, "keys: %s: unknown or given twice; write %s",
				     name, settings_expected_form(SET_KEYS));
}

static void store_key(struct settings_parse *p, yaml_node_t *item)
{
	struct lug_key key = {0};

	if (item && item->type == YAML_MAPPING_NODE)
		for (yaml_node_pair_t *pair = item->data.mapping.pairs.start;
		     pair < item->data.mapping.pairs.top; pair++)
			store_key_member(p, &key, yaml_document_get_node(&p->doc, pair->key),
					 yaml_document_get_node(&p->doc, pair->value));
	if (!key.public_key || !key.secret_key)
		settings_add_problem(p, item, "keys: public and secret are both needed; write %s",
				     settings_expected_form(SET_KEYS));
	g_array_append_val(p->out->keys, key);
}

/**
 * settings_store_keys - store the list of key pairs in the member keys
 * @p: parse in progress
 * @def: definition of the setting
 * @node: value
 */
void settings_store_keys(struct settings_parse *p, const struct setting_def *def, yaml_node_t *node)
{
	if (node->type != YAML_SEQUENCE_NODE) {
		settings_add_wrong_form(p, node, def, settings_scalar_text(node));
		return;
	}
	for (yaml_node_item_t *it = node->data.sequence.items.start;
	     it < node->data.sequence.items.top; it++)
		store_key(p, yaml_document_get_node(&p->doc, *it));
	if (p->out->keys->len > KEYS_MAX)
		settings_add_problem(p, node, "keys: more than two; write %s",
				     settings_expected_form(SET_KEYS));
}

/**
 * settings_free_key - release the strings of a key pair
 * @data: struct lug_key
 */
void settings_free_key(void *data)
{
	struct lug_key *key = data;

	g_free(key->public_key);
	g_free(key->secret_key);
}

/**
 * settings_free_token - release the strings of a token
 * @data: struct lug_token
 */
void settings_free_token(void *data)
{
	struct lug_token *token = data;

	g_free(token->secret);
	g_free(token->team);
}
