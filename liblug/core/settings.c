#include "core/settings_priv.h"

#include <stddef.h>
#include <string.h>

#include "core/units.h"

/* Daemons that accept a setting; the bit of a daemon is 1 << enum lug_daemon. */
#define FOR_ENTRY 1u
#define FOR_AGENT 2u
#define FOR_QUEUE_ENTRY 4u
#define FOR_QUEUE_AGENT 8u
#define FOR_QUEUES (FOR_QUEUE_ENTRY | FOR_QUEUE_AGENT)
#define FOR_ALL (FOR_ENTRY | FOR_AGENT | FOR_QUEUES)
#define SETTINGS_BYTES_MAX (1024 * 1024)
/* Most bytes of a dotted key, with its NUL. */
#define KEY_BYTES_MAX 128
#define NESTING_MAX 32

#define OFFSET(field) offsetof(struct lug_settings, field)

/* Members in the order of struct setting_def. */
static const struct setting_def definitions[] = {
	{"name", SET_TEXT, FOR_ALL, TRUE, NULL, 0, 0, OFFSET(name), FALSE},
	{"region", SET_TEXT, FOR_ALL, TRUE, NULL, 0, 0, OFFSET(region), FALSE},
	{"zone", SET_TEXT, FOR_ALL, TRUE, NULL, 0, 0, OFFSET(zone), FALSE},
	{"rack", SET_TEXT, FOR_AGENT, FALSE, "", 0, 0, OFFSET(rack), FALSE},
	{"log.level", SET_LEVEL, FOR_ALL, FALSE, "info", 0, 0, OFFSET(log_level), TRUE},
	{"http", SET_ADDRESS, FOR_ALL, TRUE, NULL, 0, 0, OFFSET(http), FALSE},
	{"inner", SET_ADDRESS, FOR_ALL, TRUE, NULL, 0, 0, OFFSET(inner), FALSE},
	{"advertise", SET_ADDRESS, FOR_ALL, FALSE, NULL, 0, 0, OFFSET(advertise), FALSE},
	{"source", SET_TEXT, FOR_ALL, FALSE, NULL, 0, 0, OFFSET(source), FALSE},
	{"platform.url", SET_URL, FOR_ALL, TRUE, NULL, 0, 0, OFFSET(platform), FALSE},
	{"platform.timeout", SET_DURATION, FOR_ALL, FALSE, "1s", 10, 60000,
	 OFFSET(platform_timeout_ms), TRUE},
	{"platform.row", SET_SIZE, FOR_ALL, FALSE, "64KB", 4096, 64 * 1024 * 1024,
	 OFFSET(platform_row_bytes), FALSE},
	{"platform.rate", SET_INT, FOR_ALL, FALSE, "50", 1, 2000, OFFSET(platform_rate), TRUE},
	{"entries", SET_ADDRESSES, FOR_AGENT, TRUE, NULL, 0, 0, OFFSET(entries), FALSE},
	{"tokens", SET_TOKENS, FOR_ENTRY, TRUE, NULL, 0, 0, OFFSET(tokens), TRUE},
	{"keys", SET_KEYS, FOR_ALL, FALSE, NULL, 0, 0, OFFSET(keys), TRUE},
	{"beat", SET_DURATION, FOR_ALL, FALSE, "1s", 50, 30000, OFFSET(beat_ms), FALSE},
	{"lease.worker", SET_DURATION, FOR_ALL, FALSE, "120s", 2000, 600000,
	 OFFSET(worker_lease_ms), FALSE},
	{"lease.worker_max", SET_DURATION, FOR_QUEUE_AGENT, FALSE, "10s", 2000, 600000,
	 OFFSET(worker_lease_max_ms), FALSE},
	{"cancel.within", SET_DURATION, FOR_QUEUE_AGENT, FALSE, "3s", 0, 600000,
	 OFFSET(cancel_within_ms), FALSE},
	{"cancel.stop", SET_DURATION, FOR_QUEUE_AGENT, FALSE, "400ms", 0, 60000,
	 OFFSET(cancel_stop_ms), FALSE},
	{"lease.queue", SET_DURATION, FOR_ALL, FALSE, "8s", 1000, 120000, OFFSET(queue_lease_ms),
	 FALSE},
	{"drain", SET_DURATION, FOR_ALL, FALSE, "20s", 0, 600000, OFFSET(drain_ms), TRUE},
	{"request.body", SET_SIZE, FOR_ALL, FALSE, "1MB", 1024, 64 * 1024 * 1024,
	 OFFSET(body_bytes), TRUE},
	{"request.timeout", SET_DURATION, FOR_ENTRY, FALSE, "2s", 10, 600000,
	 OFFSET(request_timeout_ms), TRUE},
	{"request.retry_percent", SET_INT, FOR_ENTRY, FALSE, "20", 0, 100, OFFSET(retry_percent),
	 TRUE},
	{"timeline.events", SET_INT, FOR_ALL, FALSE, "4096", 16, 1000000, OFFSET(timeline_events),
	 FALSE},
	{"service.name", SET_TEXT, FOR_AGENT, TRUE, NULL, 0, 0, OFFSET(service_name), FALSE},
	{"service.url", SET_URL, FOR_AGENT, TRUE, NULL, 0, 0, OFFSET(service_url), FALSE},
	{"service.slots", SET_INT, FOR_AGENT, FALSE, "8", 1, 10000, OFFSET(service_slots), TRUE},
	{"service.connections", SET_INT, FOR_AGENT, FALSE, "64", 1, 10000,
	 OFFSET(service_connections), TRUE},
	{"service.queue", SET_INT, FOR_AGENT, FALSE, "56", 0, 100000, OFFSET(service_queue), TRUE},
	{"service.cores", SET_CORES, FOR_AGENT, FALSE, "4", 0, 1024000, OFFSET(service_millicores),
	 FALSE},
	{"service.memory", SET_SIZE, FOR_AGENT, FALSE, "8GB", 0, G_MAXINT64,
	 OFFSET(service_memory_bytes), FALSE},
	{"service.target", SET_DURATION, FOR_AGENT, FALSE, "50ms", 1, 60000,
	 OFFSET(service_target_ms), TRUE},
	{"shards", SET_INT, FOR_QUEUES, FALSE, "4", 1, 64, OFFSET(shards), FALSE},
	{"schedule.lookahead", SET_DURATION, FOR_QUEUE_AGENT, FALSE, "0s", 0, 60000,
	 OFFSET(schedule_lookahead_ms), FALSE},
	{"schedule.yield", SET_BOOL, FOR_QUEUE_AGENT, FALSE, "false", 0, 0, OFFSET(schedule_yield),
	 FALSE},
	{"schedule.overload", SET_BOOL, FOR_QUEUE_AGENT, FALSE, "false", 0, 0,
	 OFFSET(schedule_overload), FALSE},
	{"schedule.speed", SET_BOOL, FOR_QUEUE_AGENT, FALSE, "false", 0, 0, OFFSET(schedule_speed),
	 FALSE},
	{"clients", SET_ADDRESS, FOR_QUEUE_ENTRY, TRUE, NULL, 0, 0, OFFSET(clients), FALSE},
	{"ready", SET_ADDRESS, FOR_QUEUE_ENTRY, TRUE, NULL, 0, 0, OFFSET(ready), FALSE},
	{"control", SET_ADDRESS, FOR_QUEUE_AGENT, TRUE, NULL, 0, 0, OFFSET(control), FALSE},
	{"worker.url", SET_URL, FOR_AGENT | FOR_QUEUE_AGENT, TRUE, NULL, 0, 0, OFFSET(worker_url),
	 FALSE},
	{"colocate.enabled", SET_BOOL, FOR_AGENT, FALSE, "true", 0, 0, OFFSET(colocate_enabled),
	 TRUE},
};

G_STATIC_ASSERT(G_N_ELEMENTS(definitions) <= SETTINGS_MAX);

/**
 * settings_expected_form - description of the accepted form of a type, for messages
 * @type: type of the setting
 */
const char *settings_expected_form(enum setting_type type)
{
	static const char *const forms[] = {
		[SET_TEXT] = "a non-empty text",
		[SET_ADDRESS] = "IP:PORT, as in 127.0.0.1:7000",
		[SET_URL] = "http://IP:PORT, as in http://127.0.0.1:9000",
		[SET_DURATION] = "a duration with its unit, as in 250ms, 5s or 2m",
		[SET_SIZE] = "a size with its unit, as in 512MB or 60GB",
		[SET_CORES] = "a number of cores, as in 4 or 0.5",
		[SET_INT] = "a whole number",
		[SET_BOOL] = "true or false",
		[SET_LEVEL] = "debug, info, warn or error",
		[SET_ADDRESSES] = "a list of IP:PORT",
		[SET_TOKENS] = "a list of {token: TEXT, team: NAME, role: team|operator}",
		[SET_KEYS] = "one or two of {public: KEY, secret: KEY} from catkinlug key new",
	};

	return forms[type];
}

/**
 * settings_add_problem - add a problem with its file and line
 * @p: parse in progress
 * @node: node that gives the line, NULL for the first line
 * @fmt: printf format of the problem and its remedy
 */
void settings_add_problem(struct settings_parse *p, const yaml_node_t *node, const char *fmt, ...)
{
	gulong line = node ? node->start_mark.line + 1 : 1;
	va_list ap;
	char *text;

	va_start(ap, fmt);
	text = g_strdup_vprintf(fmt, ap);
	va_end(ap);
	g_ptr_array_add(p->problems, g_strdup_printf("%s:%lu: %s", p->path, line, text));
	g_free(text);
}

/**
 * settings_scalar_text - text of a scalar node
 * @node: node, may be NULL
 *
 * Return: text owned by the document, or NULL when @node is not a scalar.
 */
const char *settings_scalar_text(const yaml_node_t *node)
{
	return node && node->type == YAML_SCALAR_NODE ? (const char *)node->data.scalar.value
						      : NULL;
}

/**
 * lug_address_parse - split "IP:PORT"
 * @text: address, may be NULL
 * @host: receives a copy of the IP address, owned by the caller; may be NULL
 * @port: receives the port, may be NULL
 *
 * Return: FALSE when @text has another form.
 */
gboolean lug_address_parse(const char *text, char **host, guint *port)
{
	const char *colon = text ? strrchr(text, ':') : NULL;
	gint64 number;
	char *ip;

	if (!colon || !lug_int_parse(colon + 1, &number) || number > 65535)
		return FALSE;
	ip = g_strndup(text, (gsize)(colon - text));
	if (!g_hostname_is_ip_address(ip)) {
		g_free(ip);
		return FALSE;
	}
	if (port)
		*port = (guint)number;
	if (host)
		*host = ip;
	else
		g_free(ip);
	return TRUE;
}

/**
 * lug_address_is_peer - whether a text is an address that can be connected to
 * @text: address of a peer as another process stated it, may be NULL
 *
 * Return: TRUE for "IPv4:PORT" with a port from 1 to 65535.
 */
gboolean lug_address_is_peer(const char *text)
{
	guint port = 0;

	return lug_address_parse(text, NULL, &port) && port &&
	       strchr(text, ':') == strrchr(text, ':');
}

static gboolean is_valid_url(const char *text)
{
	/* 7: length of "http://". */
	return g_str_has_prefix(text, "http://") && lug_address_parse(text + 7, NULL, NULL);
}

static gboolean parse_number(enum setting_type type, const char *text, gint64 *out)
{
	switch (type) {
	case SET_DURATION:
		return lug_duration_parse(text, out);
	case SET_SIZE:
		return lug_size_parse(text, out);
	case SET_CORES:
		return lug_cores_parse(text, out);
	case SET_INT:
		return lug_int_parse(text, out);
	case SET_BOOL:
		*out = !strcmp(text, "true");
		return *out || !strcmp(text, "false");
	default:
		return FALSE;
	}
}

static gboolean is_valid_text(enum setting_type type, const char *text)
{
	enum lug_log_level level;

	switch (type) {
	case SET_ADDRESS:
		return lug_address_parse(text, NULL, NULL);
	case SET_URL:
		return is_valid_url(text);
	case SET_LEVEL:
		return lug_log_level_parse(text, &level);
	default:
		return TRUE;
	}
}

/*
 * The YAML library takes time quadratic in the nesting depth, so that a small file could block
 * the daemon. Only brackets are counted, also those within quoted texts. Settings nest three
 * levels at most; the rest of NESTING_MAX leaves room for brackets in texts.
 */
static gboolean is_nested_too_deep(const char *text, gsize len)
{
	guint depth = 0;

	for (gsize i = 0; i < len; i++) {
		if (text[i] == '[' || text[i] == '{')
			depth++;
		else if ((text[i] == ']' || text[i] == '}') && depth)
			depth--;
		if (depth > NESTING_MAX)
			return TRUE;
	}
	return FALSE;
}

static gboolean is_text_type(enum setting_type type)
{
	return type == SET_TEXT || type == SET_ADDRESS || type == SET_URL || type == SET_LEVEL;
}

/**
 * settings_add_wrong_form - add a problem for a value of the wrong form
 * @p: parse in progress
 * @node: node of the value
 * @def: definition of the setting
 * @text: value, NULL when it is not a scalar
 */
void settings_add_wrong_form(struct settings_parse *p, const yaml_node_t *node,
			     const struct setting_def *def, const char *text)
{
	settings_add_problem(p, node, "%s: \"%s\" is not accepted; write %s", def->key,
			     text ? text : "", settings_expected_form(def->type));
}

static void store_scalar(struct settings_parse *p, const struct setting_def *def,
			 const yaml_node_t *node, const char *text)
{
	void *field = (char *)p->out + def->offset;
	gint64 number;

	if (is_text_type(def->type)) {
		/* A default has no node and may be empty. */
		if ((node && !*text) || !is_valid_text(def->type, text)) {
			settings_add_wrong_form(p, node, def, text);
			return;
		}
		g_free(*(char **)field);
		*(char **)field = g_strdup(text);
		return;
	}
	if (!parse_number(def->type, text, &number)) {
		settings_add_wrong_form(p, node, def, text);
		return;
	}
	if (def->max && (number < def->min || number > def->max)) {
		settings_add_problem(
			p, node,
			"%s: \"%s\" is out of range; the accepted range is %" G_GINT64_FORMAT
			" to %" G_GINT64_FORMAT
			" in the base unit (ms, bytes, millicores or count)",
			def->key, text, def->min, def->max);
		return;
	}
	*(gint64 *)field = number;
}

static gssize find_definition(const char *dotted_key, guint daemon)
{
	for (gsize i = 0; i < G_N_ELEMENTS(definitions); i++)
		if ((definitions[i].daemons & daemon) && !strcmp(definitions[i].key, dotted_key))
			return (gssize)i;
	return -1;
}

static gboolean is_section(const char *dotted_key, guint daemon)
{
	gsize len = strlen(dotted_key);

	for (gsize i = 0; i < G_N_ELEMENTS(definitions); i++)
		if ((definitions[i].daemons & daemon) &&
		    !strncmp(definitions[i].key, dotted_key, len) && definitions[i].key[len] == '.')
			return TRUE;
	return FALSE;
}

static guint daemon_bit(const struct settings_parse *p)
{
	return 1u << p->out->daemon;
}

static void store_value(struct settings_parse *p, gsize index, const yaml_node_t *key,
			yaml_node_t *value)
{
	const struct setting_def *def = &definitions[index];

	if (p->seen[index]) {
		settings_add_problem(p, key, "%s: given twice; keep one", def->key);
		return;
	}
	p->seen[index] = 1;
	if (def->type == SET_ADDRESSES)
		settings_store_addresses(p, def, value);
	else if (def->type == SET_TOKENS)
		settings_store_tokens(p, def, value);
	else if (def->type == SET_KEYS)
		settings_store_keys(p, def, value);
	else if (settings_scalar_text(value))
		store_scalar(p, def, value, settings_scalar_text(value));
	else
		settings_add_wrong_form(p, value, def, NULL);
}

static void parse_mapping(struct settings_parse *p, const char *prefix, yaml_node_t *map)
{
	for (yaml_node_pair_t *pair = map->data.mapping.pairs.start;
	     pair < map->data.mapping.pairs.top; pair++) {
		yaml_node_t *key = yaml_document_get_node(&p->doc, pair->key);
		yaml_node_t *value = yaml_document_get_node(&p->doc, pair->value);
		const char *name = settings_scalar_text(key);
		char dotted_key[KEY_BYTES_MAX];
		gssize index;

		if (!name) {
			settings_add_problem(p, key, "a key must be plain text");
			continue;
		}
		g_snprintf(dotted_key, sizeof(dotted_key), "%s%s%s", prefix, *prefix ? "." : "",
			   name);
		/* parse_daemon() has already read this key. */
		if (!strcmp(dotted_key, "daemon"))
			continue;
		index = find_definition(dotted_key, daemon_bit(p));
		if (index >= 0)
			store_value(p, (gsize)index, key, value);
		else if (is_section(dotted_key, daemon_bit(p)) && value->type == YAML_MAPPING_NODE)
			parse_mapping(p, dotted_key, value);
		else
			settings_add_problem(
				p, key,
				"%s: unknown key; remove it, or see catkinlug-settings(5) for "
				"the keys of this daemon",
				dotted_key);
	}
}

/* Value of an optional setting that the file leaves out: CATKINLUG_KEY_NAME, or its default. */
static const char *fallback_value(const struct setting_def *def)
{
	char *name = g_strdup_printf("CATKINLUG_%s", def->key);
	const char *value;

	for (char *c = name; *c; c++)
		*c = *c == '.' ? '_' : g_ascii_toupper(*c);
	value = g_getenv(name);
	g_free(name);
	return value && *value ? value : def->fallback;
}

static void fill_defaults(struct settings_parse *p)
{
	for (gsize i = 0; i < G_N_ELEMENTS(definitions); i++) {
		const struct setting_def *def = &definitions[i];

		if (p->seen[i] || !(def->daemons & daemon_bit(p)))
			continue;
		if (def->required)
			settings_add_problem(p, NULL, "%s: missing; add %s", def->key,
					     settings_expected_form(def->type));
		else if (def->fallback)
			store_scalar(p, def, NULL, fallback_value(def));
	}
}

/* Indexed by enum lug_daemon. */
static const char *const daemon_names[] = {"entry", "agent", "queue-entry", "queue-agent"};

static gboolean parse_daemon(struct settings_parse *p, yaml_node_t *root)
{
	for (yaml_node_pair_t *pair = root->data.mapping.pairs.start;
	     pair < root->data.mapping.pairs.top; pair++) {
		yaml_node_t *key = yaml_document_get_node(&p->doc, pair->key);
		const char *name = settings_scalar_text(key);
		const char *value =
			settings_scalar_text(yaml_document_get_node(&p->doc, pair->value));

		if (!name || strcmp(name, "daemon"))
			continue;
		for (guint i = 0; value && i < G_N_ELEMENTS(daemon_names); i++) {
			if (strcmp(value, daemon_names[i]) != 0)
				continue;
			p->out->daemon = (enum lug_daemon)i;
			return TRUE;
		}
		settings_add_problem(p, key,
				     "daemon: \"%s\" is not accepted; write entry, agent, "
				     "queue-entry or queue-agent",
				     value ? value : "");
		return FALSE;
	}
	settings_add_problem(p, root,
			     "daemon: missing; add \"daemon: entry\" or \"daemon: agent\"");
	return FALSE;
}

static void parse_document(struct settings_parse *p)
{
	yaml_node_t *root = yaml_document_get_root_node(&p->doc);

	if (!root || root->type != YAML_MAPPING_NODE) {
		settings_add_problem(p, root, "the settings must be one mapping of keys to values");
		return;
	}
	if (!parse_daemon(p, root))
		return;
	parse_mapping(p, "", root);
	fill_defaults(p);
}

/**
 * lug_settings_parse - parse and validate settings
 * @text: YAML
 * @len: bytes
 * @path: file name that problems start with
 * @problems: receives one string per problem, with file, line and remedy; owns the strings
 *
 * Return: settings, released by lug_settings_free(), or NULL when @problems is not empty.
 */
struct lug_settings *lug_settings_parse(const char *text, gsize len, const char *path,
					GPtrArray *problems)
{
	struct settings_parse p = {.path = path, .problems = problems};
	yaml_parser_t parser;

	if (is_nested_too_deep(text, len)) {
		g_ptr_array_add(problems, g_strdup_printf("%s:1: nested deeper than %d levels; use "
							  "the forms in catkinlug-settings(5)",
							  path, NESTING_MAX));
		return NULL;
	}
	p.out = g_new0(struct lug_settings, 1);
	p.out->entries = g_ptr_array_new_with_free_func(g_free);
	p.out->tokens = g_array_new(FALSE, TRUE, sizeof(struct lug_token));
	g_array_set_clear_func(p.out->tokens, settings_free_token);
	p.out->keys = g_array_new(FALSE, TRUE, sizeof(struct lug_key));
	g_array_set_clear_func(p.out->keys, settings_free_key);
	yaml_parser_initialize(&parser);
	yaml_parser_set_input_string(&parser, (const unsigned char *)text, len);
	if (!yaml_parser_load(&parser, &p.doc)) {
		g_ptr_array_add(problems,
				g_strdup_printf("%s:%lu: not YAML: %s; correct the line", path,
						(gulong)parser.problem_mark.line + 1,
						parser.problem ? parser.problem : "unreadable"));
	} else {
		parse_document(&p);
		yaml_document_delete(&p.doc);
	}
	yaml_parser_delete(&parser);
	if (problems->len) {
		lug_settings_free(p.out);
		return NULL;
	}
	if (!p.out->advertise)
		p.out->advertise = g_strdup(p.out->inner);
	return p.out;
}

/**
 * lug_settings_load - read and validate a settings file
 * @path: file
 * @problems: receives one string per problem, with file, line and remedy; owns the strings
 *
 * Return: settings, released by lug_settings_free(), or NULL when @problems is not empty.
 */
struct lug_settings *lug_settings_load(const char *path, GPtrArray *problems)
{
	struct lug_settings *settings;
	GError *error = NULL;
	char *text = NULL;
	gsize len = 0;

	if (!g_file_get_contents(path, &text, &len, &error)) {
		g_ptr_array_add(problems, g_strdup_printf("%s:1: can't be read: %s; name a file "
							  "that exists and is readable",
							  path, error->message));
		g_error_free(error);
		return NULL;
	}
	if (len > SETTINGS_BYTES_MAX) {
		g_ptr_array_add(problems, g_strdup_printf("%s:1: larger than %d bytes; shorten it",
							  path, SETTINGS_BYTES_MAX));
		g_free(text);
		return NULL;
	}
	settings = lug_settings_parse(text, len, path, problems);
	g_free(text);
	return settings;
}

static void free_texts(struct lug_settings *settings)
{
	for (gsize i = 0; i < G_N_ELEMENTS(definitions); i++)
		if (is_text_type(definitions[i].type))
			g_free(*(char **)((char *)settings + definitions[i].offset));
}

/**
 * lug_settings_free - release settings
 * @settings: settings, may be NULL
 */
void lug_settings_free(struct lug_settings *settings)
{
	if (!settings)
		return;
	free_texts(settings);
	g_ptr_array_unref(settings->entries);
	g_array_unref(settings->tokens);
	g_array_unref(settings->keys);
	g_free(settings);
}

/* Lists are not compared and count as unchanged. */
static gboolean is_same_value(const struct setting_def *def, const struct lug_settings *a,
			      const struct lug_settings *b)
{
	const char *left = (const char *)a + def->offset;
	const char *right = (const char *)b + def->offset;

	if (is_text_type(def->type))
		return !g_strcmp0(*(char *const *)left, *(char *const *)right);
	if (def->type == SET_TOKENS || def->type == SET_KEYS || def->type == SET_ADDRESSES)
		return TRUE;
	return *(const gint64 *)left == *(const gint64 *)right;
}

/**
 * lug_settings_reloadable - whether new settings can replace those in force without a restart
 * @old: settings in force
 * @candidate: new settings
 * @err: names the first changed key that needs a restart, may be NULL
 */
gboolean lug_settings_reloadable(const struct lug_settings *old,
				 const struct lug_settings *candidate, struct lug_error *err)
{
	if (old->daemon != candidate->daemon) {
		lug_fail(err, LUG_BAD_INPUT, "restart the daemon", "daemon can't change live");
		return FALSE;
	}
	for (gsize i = 0; i < G_N_ELEMENTS(definitions); i++) {
		if (definitions[i].reload || is_same_value(&definitions[i], old, candidate))
			continue;
		lug_fail(err, LUG_BAD_INPUT, "restart the daemon, or put the old value back",
			 "%s can't change live", definitions[i].key);
		return FALSE;
	}
	return TRUE;
}
