#ifndef LUG_CORE_SETTINGS_PRIV_H
#define LUG_CORE_SETTINGS_PRIV_H

#include <yaml.h>

#include "core/settings.h"

/* Shared by settings.c (scalars and validation) and settings_list.c (lists). */

/* Maximum number of setting definitions. */
#define SETTINGS_MAX 64

enum setting_type {
	SET_TEXT,
	SET_ADDRESS,
	SET_URL,
	SET_DURATION,
	SET_SIZE,
	SET_CORES,
	SET_INT,
	SET_BOOL,
	SET_LEVEL,
	SET_ADDRESSES,
	SET_TOKENS,
	SET_KEYS,
};

/**
 * struct setting_def - definition of a setting
 * @key: path of the key, members separated by dots
 * @type: accepted form
 * @daemons: bit mask of the daemons that accept the key
 * @required: the key must be given
 * @fallback: default, written as in the settings file, NULL for none
 * @min: lowest accepted number in the base unit
 * @max: highest accepted number in the base unit; 0 for no limit, @min is then ignored too
 * @offset: offset of the member of struct lug_settings
 * @reload: a reload may change the value without a restart
 */
struct setting_def {
	const char *key;
	enum setting_type type;
	guint daemons;
	gboolean required;
	const char *fallback;
	gint64 min;
	gint64 max;
	gsize offset;
	gboolean reload;
};

/**
 * struct settings_parse - state of parsing one settings file
 * @out: settings being filled in
 * @doc: parsed YAML document
 * @path: file name that problems start with
 * @problems: receives one string per problem
 * @seen: nonzero at the index of each definition whose key was given
 */
struct settings_parse {
	struct lug_settings *out;
	yaml_document_t doc;
	const char *path;
	GPtrArray *problems;
	guint8 seen[SETTINGS_MAX];
};

const char *settings_expected_form(enum setting_type type);
void settings_add_problem(struct settings_parse *p, const yaml_node_t *node, const char *fmt, ...)
	G_GNUC_PRINTF(3, 4);
const char *settings_scalar_text(const yaml_node_t *node);
void settings_add_wrong_form(struct settings_parse *p, const yaml_node_t *node,
			     const struct setting_def *def, const char *text);
void settings_store_addresses(struct settings_parse *p, const struct setting_def *def,
			      yaml_node_t *node);
void settings_store_tokens(struct settings_parse *p, const struct setting_def *def,
			   yaml_node_t *node);
void settings_store_keys(struct settings_parse *p, const struct setting_def *def,
			 yaml_node_t *node);
void settings_free_token(void *data);
void settings_free_key(void *data);

#endif
