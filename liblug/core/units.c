#include "core/units.h"

#include <errno.h>
#include <math.h>
#include <string.h>

struct unit {
	const char *suffix;
	double factor;
};

static const struct unit durations[] = {
	{"ms", 1}, {"s", 1000}, {"m", 60 * 1000}, {"h", 3600 * 1000}};
static const struct unit sizes[] = {{"B", 1},
				    {"KB", 1024.0},
				    {"MB", 1024.0 * 1024},
				    {"GB", 1024.0 * 1024 * 1024},
				    {"TB", 1024.0 * 1024 * 1024 * 1024}};

/* Largest accepted value in the base unit: a double is exact up to 2^53, about 9.007e15. */
#define MAX_VALUE 9e15

static gboolean parse_with_units(const char *text, const struct unit *units, gsize n, gint64 *out)
{
	char *end = NULL;
	double value;

	if (!text || !g_ascii_isdigit(*text))
		return FALSE;
	value = g_ascii_strtod(text, &end);
	while (*end == ' ')
		end++;
	for (gsize i = 0; i < n; i++) {
		if (strcmp(end, units[i].suffix))
			continue;
		value = round(value * units[i].factor);
		if (value > MAX_VALUE)
			return FALSE;
		*out = (gint64)value;
		return TRUE;
	}
	return FALSE;
}

/**
 * lug_duration_parse - parse a duration such as "250ms", "5s" or "2m"
 * @text: text, may be NULL
 * @out_ms: receives milliseconds; unchanged on failure
 *
 * Return: FALSE when @text is not a duration; a number without a unit is refused.
 */
gboolean lug_duration_parse(const char *text, gint64 *out_ms)
{
	return parse_with_units(text, durations, G_N_ELEMENTS(durations), out_ms);
}

/**
 * lug_size_parse - parse a size such as "512MB" or "60GB"; units are powers of 1024
 * @text: text, may be NULL
 * @out_bytes: receives bytes; unchanged on failure
 *
 * Return: FALSE when @text is not a size with its unit.
 */
gboolean lug_size_parse(const char *text, gint64 *out_bytes)
{
	return parse_with_units(text, sizes, G_N_ELEMENTS(sizes), out_bytes);
}

/**
 * lug_cores_parse - parse a number of cores such as "2" or "0.5"
 * @text: text, may be NULL
 * @out_millicores: receives thousandths of a core; unchanged on failure
 *
 * Return: FALSE when @text is not a non-negative number.
 */
gboolean lug_cores_parse(const char *text, gint64 *out_millicores)
{
	/* No suffix; a core has 1000 millicores. */
	static const struct unit cores[] = {{"", 1000}};

	return parse_with_units(text, cores, 1, out_millicores);
}

/**
 * lug_int_parse - parse a non-negative integer
 * @text: text, may be NULL
 * @out: receives the number; undefined on failure
 *
 * Return: FALSE when @text is not a non-negative integer.
 */
gboolean lug_int_parse(const char *text, gint64 *out)
{
	char *end = NULL;

	if (!text || !g_ascii_isdigit(*text))
		return FALSE;
	errno = 0;
	*out = g_ascii_strtoll(text, &end, 10);
	return !errno && !*end;
}
