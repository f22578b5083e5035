#include "team/limits.h"

#include <math.h>
#include <string.h>

#include "core/units.h"

#define COLUMNS 6

/* Columns of the table; the indexes of cells[] and forms[] follow this order. */
static const char *const columns[COLUMNS] = {"team",   "weight",       "cores",
					     "memory", "accelerators", "price"};

static gboolean is_name_valid(const char *name)
{
	gsize len = strlen(name);

	if (!len || len > LUG_TEAM_NAME_MAX)
		return FALSE;
	return strspn(name, "abcdefghijklmnopqrstuvwxyz0123456789-") == len && *name != '-';
}

/* Stops after COLUMNS + 1 cells, so that the caller can reject a line with too many. */
static guint split_cells(char *line, char *cells[COLUMNS + 1])
{
	guint n = 0;
	char *save = NULL;

	for (char *cell = strtok_r(line, " \t\r", &save); cell && n <= COLUMNS;
	     cell = strtok_r(NULL, " \t\r", &save))
		cells[n++] = cell;
	return n;
}

static enum lug_status reject_cell(struct lug_error *err, guint line, guint column,
				   const char *cell)
{
	static const char *const forms[COLUMNS] = {
		"write lower-case letters, digits and dashes, at most 32",
		"write a whole number from 0 to 100",
		"write a number of cores, as in 88 or 0.5",
		"write a size with its unit, as in 320GB",
		"write a whole number of accelerators",
		"write a price a core-hour that is not negative, as in 1.25",
	};

	return lug_fail(err, LUG_BAD_INPUT, forms[column], "line %u: %s \"%s\" is not accepted",
			line, columns[column], cell);
}

static enum lug_status parse_row(char *cells[], guint line, struct lug_team *team,
				 struct lug_error *err)
{
	char *price_end = NULL;

	if (!is_name_valid(cells[0]))
		return reject_cell(err, line, 0, cells[0]);
	g_strlcpy(team->name, cells[0], sizeof(team->name));
	if (!lug_int_parse(cells[1], &team->weight) || team->weight > LUG_WEIGHT_SUM)
		return reject_cell(err, line, 1, cells[1]);
	if (!lug_cores_parse(cells[2], &team->limit.millicores))
		return reject_cell(err, line, 2, cells[2]);
	if (!lug_size_parse(cells[3], &team->limit.memory_bytes))
		return reject_cell(err, line, 3, cells[3]);
	if (!lug_int_parse(cells[4], &team->limit.accelerators))
		return reject_cell(err, line, 4, cells[4]);
	team->price = g_ascii_strtod(cells[5], &price_end);
	if (*price_end || !isfinite(team->price) || team->price < 0)
		return reject_cell(err, line, 5, cells[5]);
	return LUG_OK;
}

static enum lug_status check_header(char *cells[], guint n, guint line, struct lug_error *err)
{
	gboolean matches = n == COLUMNS;

	for (guint i = 0; matches && i < COLUMNS; i++)
		matches = !strcmp(cells[i], columns[i]);
	if (matches)
		return LUG_OK;
	return lug_fail(err, LUG_BAD_INPUT,
			"begin with the line: team weight cores memory accelerators price",
			"line %u: the header is not accepted", line);
}

static enum lug_status add_row(struct lug_limits *limits, char *cells[], guint n, guint line,
			       struct lug_error *err)
{
	struct lug_team team = {0};

	if (n != COLUMNS)
		return lug_fail(err, LUG_BAD_INPUT, "give each row six cells", "line %u: %u cells",
				line, n);
	if (parse_row(cells, line, &team, err))
		return err ? err->kind : LUG_BAD_INPUT;
	if (lug_limits_find(limits, team.name))
		return lug_fail(err, LUG_BAD_INPUT, "keep one of the two rows",
				"line %u: team %s has a row already", line, team.name);
	if (limits->teams->len >= LUG_TEAMS_MAX)
		return lug_fail(err, LUG_TOO_LARGE, "keep at most 256 teams",
				"line %u: too many rows", line);
	g_array_append_val(limits->teams, team);
	return LUG_OK;
}

static enum lug_status check_weights(const struct lug_limits *limits, struct lug_error *err)
{
	gint64 sum = 0;

	for (guint i = 0; i < limits->teams->len; i++)
		sum += g_array_index(limits->teams, struct lug_team, i).weight;
	if (sum == LUG_WEIGHT_SUM)
		return LUG_OK;
	return lug_fail(err, LUG_BAD_INPUT, "change the weights so that their sum is 100",
			"the weights add up to %" G_GINT64_FORMAT, sum);
}

static enum lug_status parse_lines(struct lug_limits *limits, char **lines, struct lug_error *err)
{
	gboolean has_header = FALSE;

	for (guint i = 0; lines[i]; i++) {
		char *cells[COLUMNS + 1];
		enum lug_status status;
		guint n;

		if (lines[i][0] == '#')
			continue;
		n = split_cells(lines[i], cells);
		if (!n)
			continue;
		if (has_header)
			status = add_row(limits, cells, n, i + 1, err);
		else
			status = check_header(cells, n, i + 1, err);
		if (status)
			return status;
		has_header = TRUE;
	}
	if (!limits->teams->len)
		return lug_fail(err, LUG_BAD_INPUT, "give one row a team", "the table has no row");
	return check_weights(limits, err);
}

/**
 * lug_limits_parse - parse and check a table
 * @text: a header line and one line per team; lines that start with # are skipped
 * @version: version of the table
 * @err: set on failure; names the line, the cell and the accepted form
 *
 * Return: the table, to be freed with lug_limits_free(), or NULL.
 */
struct lug_limits *lug_limits_parse(const char *text, gint64 version, struct lug_error *err)
{
	struct lug_limits *limits;
	enum lug_status status;
	char **lines;

	if (strlen(text) > LUG_LIMITS_BYTES_MAX) {
		lug_fail(err, LUG_TOO_LARGE, "keep the table below 64 KiB",
			 "the table is too large");
		return NULL;
	}
	limits = g_new0(struct lug_limits, 1);
	limits->version = version;
	limits->text = g_strdup(text);
	limits->teams = g_array_new(FALSE, TRUE, sizeof(struct lug_team));
	lines = g_strsplit(text, "\n", -1);
	status = parse_lines(limits, lines, err);
	g_strfreev(lines);
	if (!status)
		return limits;
	lug_limits_free(limits);
	return NULL;
}

/**
 * lug_limits_free - free a table
 * @limits: table, may be NULL
 */
void lug_limits_free(struct lug_limits *limits)
{
	if (!limits)
		return;
	g_array_unref(limits->teams);
	g_free(limits->text);
	g_free(limits);
}

/**
 * lug_limits_find - find the row of a team
 * @limits: table, may be NULL
 * @team: name
 *
 * Return: the row, owned by the table, or NULL.
 */
const struct lug_team *lug_limits_find(const struct lug_limits *limits, const char *team)
{
	for (guint i = 0; limits && i < limits->teams->len; i++) {
		const struct lug_team *row = &g_array_index(limits->teams, struct lug_team, i);

		if (!strcmp(row->name, team))
			return row;
	}
	return NULL;
}

static char *format_memory(gint64 bytes)
{
	static const struct {
		const char *unit;
		gint64 factor;
	} units[] = {{"TB", 1LL << 40}, {"GB", 1LL << 30}, {"MB", 1LL << 20}, {"KB", 1LL << 10}};

	for (gsize i = 0; i < G_N_ELEMENTS(units); i++)
		if (bytes && bytes % units[i].factor == 0)
			return g_strdup_printf("%" G_GINT64_FORMAT "%s", bytes / units[i].factor,
					       units[i].unit);
	return g_strdup_printf("%" G_GINT64_FORMAT "B", bytes);
}

/**
 * lug_limits_format - format a table with aligned columns
 * @limits: table
 *
 * Return: text that lug_limits_parse() accepts, owned by the caller.
 */
char *lug_limits_format(const struct lug_limits *limits)
{
	GString *out = g_string_new(NULL);

	g_string_append_printf(out, "%-20s %7s %9s %9s %13s %8s\n", columns[0], columns[1],
			       columns[2], columns[3], columns[4], columns[5]);
	for (guint i = 0; i < limits->teams->len; i++) {
		const struct lug_team *team = &g_array_index(limits->teams, struct lug_team, i);
		char *memory = format_memory(team->limit.memory_bytes);

		g_string_append_printf(
			out, "%-20s %7" G_GINT64_FORMAT " %9g %9s %13" G_GINT64_FORMAT " %8.2f\n",
			team->name, team->weight, (double)team->limit.millicores / 1000, memory,
			team->limit.accelerators, team->price);
		g_free(memory);
	}
	return g_string_free(out, FALSE);
}

/**
 * lug_limits_check_successor - check a new version of the table against the one in force
 * @old: version in force, may be NULL
 * @next: new version
 * @err: set on failure; names the missing team
 *
 * A team may be removed only after a version in which its weight is 0, so that a row
 * deleted by mistake doesn't stop the team's tasks.
 *
 * Return: LUG_OK or LUG_BAD_INPUT.
 */
enum lug_status lug_limits_check_successor(const struct lug_limits *old,
					   const struct lug_limits *next, struct lug_error *err)
{
	for (guint i = 0; old && i < old->teams->len; i++) {
		const struct lug_team *team = &g_array_index(old->teams, struct lug_team, i);

		if (!team->weight || lug_limits_find(next, team->name))
			continue;
		return lug_fail(err, LUG_BAD_INPUT,
				"put its row back; to remove a team, first set its weight to 0",
				"team %s is missing", team->name);
	}
	return LUG_OK;
}
