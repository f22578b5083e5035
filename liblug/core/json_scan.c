#include "core/json_scan.h"

#include <math.h>
#include <string.h>

#include "core/json.h"

/*
 * Checks what json-glib's parser does not: it recurses without a bound, saturates integers, cuts
 * strings at NUL, keeps unpaired surrogates as invalid UTF-8, reads 010 as octal, and accepts
 * comments and strings in single quotes, in which brackets would not count. The grammar itself is
 * left to the parser.
 */

/* Hexadecimal digits of an escape \uXXXX. */
#define UNICODE_ESCAPE_DIGITS 4
#define UTF8_BOM "\xef\xbb\xbf"

/**
 * struct scan - state of a scan
 * @pos: next byte
 * @end: end of the text
 * @depth: open objects and arrays
 * @skip_depth: depth of the outermost array or object that is being replaced, 0 for none
 * @accepted: receives the text with replacements, NULL to refuse the text instead
 * @n_replaced: number of values replaced
 * @err: filled on failure, may be NULL
 */
struct scan {
	const char *pos;
	const char *end;
	guint depth;
	guint skip_depth;
	GString *accepted;
	guint n_replaced;
	struct lug_error *err;
};

static void keep(struct scan *scan, const char *from, const char *to)
{
	if (scan->accepted && !scan->skip_depth)
		g_string_append_len(scan->accepted, from, to - from);
}

static gboolean refuse_syntax(struct scan *scan, const char *problem)
{
	lug_fail(scan->err, LUG_BAD_INPUT, "send one JSON object", "not JSON: %s", problem);
	return FALSE;
}

/* Replaces a value, or refuses the text if nothing is to be replaced. */
static gboolean replace(struct scan *scan, const char *substitute, const char *problem,
			const char *remedy)
{
	if (!scan->accepted) {
		lug_fail(scan->err, LUG_BAD_INPUT, remedy, "%s", problem);
		return FALSE;
	}
	if (scan->skip_depth)
		return TRUE;
	g_string_append(scan->accepted, substitute);
	scan->n_replaced++;
	return TRUE;
}

/* Reads the digits of an escape \uXXXX. Returns -1 if there are none. */
static gint32 read_unicode_escape(const char *digits, const char *end)
{
	gint32 unit = 0;

	if (end - digits < UNICODE_ESCAPE_DIGITS)
		return -1;
	for (int i = 0; i < UNICODE_ESCAPE_DIGITS; i++) {
		int digit = g_ascii_xdigit_value(digits[i]);

		if (digit < 0)
			return -1;
		unit = unit * 16 + digit;
	}
	return unit;
}

static gboolean is_high_surrogate(gint32 unit)
{
	return unit >= 0xd800 && unit <= 0xdbff;
}

static gboolean is_low_surrogate(gint32 unit)
{
	return unit >= 0xdc00 && unit <= 0xdfff;
}

/*
 * Moves behind an escape \uXXXX, or a pair of them. Returns FALSE unless it stands for a character
 * other than NUL.
 */
static gboolean pass_unicode_escape(struct scan *scan)
{
	gint32 unit = read_unicode_escape(scan->pos, scan->end);
	const char *next = scan->pos + UNICODE_ESCAPE_DIGITS;

	if (unit <= 0 || is_low_surrogate(unit))
		return FALSE;
	scan->pos = next;
	if (!is_high_surrogate(unit))
		return TRUE;
	if (scan->end - next < 2 || next[0] != '\\' || next[1] != 'u' ||
	    !is_low_surrogate(read_unicode_escape(next + 2, scan->end)))
		return FALSE;
	scan->pos = next + 2 + UNICODE_ESCAPE_DIGITS;
	return TRUE;
}

static gboolean scan_string(struct scan *scan)
{
	const char *start = scan->pos++;
	gboolean valid = TRUE;

	while (scan->pos < scan->end && *scan->pos != '"') {
		char c = *scan->pos++;

		if (!c)
			return refuse_syntax(scan, "a NUL byte");
		if (c != '\\' || scan->pos == scan->end)
			continue;
		if (*scan->pos++ == 'u')
			valid = pass_unicode_escape(scan) && valid;
	}
	if (scan->pos >= scan->end)
		return refuse_syntax(scan, "a string without its end");
	scan->pos++;
	if (!valid)
		return replace(scan, "\"\"", "a string contains an escape that is no character",
			       "send no NUL and no unpaired surrogate in a string");
	keep(scan, start, scan->pos);
	return TRUE;
}

static gboolean is_number_char(char c)
{
	return g_ascii_isdigit(c) || (c && strchr("+-.eE", c));
}

static gboolean is_integer(const char *text)
{
	return !strpbrk(text, ".eE");
}

static gboolean has_leading_zero(const char *text)
{
	const char *digits = text + (*text == '-');

	return digits[0] == '0' && g_ascii_isdigit(digits[1]);
}

static gboolean scan_number(struct scan *scan)
{
	const char *start = scan->pos;
	gboolean in_range = TRUE;
	gboolean complete;
	char *rest = NULL;
	double value;
	char *text;

	while (scan->pos < scan->end && is_number_char(*scan->pos))
		scan->pos++;
	text = g_strndup(start, (gsize)(scan->pos - start));
	value = g_ascii_strtod(text, &rest);
	complete = rest != text && !*rest && *text != '+' && !has_leading_zero(text);
	if (complete && is_integer(text))
		in_range = g_ascii_string_to_signed(text, 10, G_MININT64, G_MAXINT64, NULL, NULL);
	else if (complete)
		in_range = isfinite(value);
	g_free(text);
	if (!complete)
		return refuse_syntax(scan, "a number of another form");
	if (!in_range)
		return replace(scan, "null", "a number is too large",
			       "send whole numbers of at most 64 bits and finite other numbers");
	keep(scan, start, scan->pos);
	return TRUE;
}

static gboolean scan_word(struct scan *scan)
{
	static const char *const words[] = {"true", "false", "null"};
	gsize left = (gsize)(scan->end - scan->pos);

	for (gsize i = 0; i < G_N_ELEMENTS(words); i++) {
		gsize len = strlen(words[i]);

		if (left < len || memcmp(scan->pos, words[i], len) != 0)
			continue;
		keep(scan, scan->pos, scan->pos + len);
		scan->pos += len;
		return TRUE;
	}
	return refuse_syntax(scan, "an unexpected character");
}

static gboolean scan_open(struct scan *scan)
{
	scan->depth++;
	if (scan->depth == LUG_JSON_DEPTH_MAX + 1) {
		if (!replace(scan, "null", "objects and arrays are nested too deeply",
			     "nest at most " G_STRINGIFY(LUG_JSON_DEPTH_MAX) " objects and arrays"))
			return FALSE;
		scan->skip_depth = scan->depth;
	}
	keep(scan, scan->pos, scan->pos + 1);
	scan->pos++;
	return TRUE;
}

static gboolean scan_close(struct scan *scan)
{
	if (!scan->depth)
		return refuse_syntax(scan, "a closing bracket too many");
	keep(scan, scan->pos, scan->pos + 1);
	scan->pos++;
	if (scan->skip_depth == scan->depth)
		scan->skip_depth = 0;
	scan->depth--;
	return TRUE;
}

static gboolean scan_token(struct scan *scan)
{
	char c = *scan->pos;

	switch (c) {
	case ' ':
	case '\t':
	case '\r':
	case '\n':
	case ',':
	case ':':
		keep(scan, scan->pos, scan->pos + 1);
		scan->pos++;
		return TRUE;
	case '{':
	case '[':
		return scan_open(scan);
	case '}':
	case ']':
		return scan_close(scan);
	case '"':
		return scan_string(scan);
	default:
		return is_number_char(c) && c != 'e' && c != 'E' ? scan_number(scan)
								 : scan_word(scan);
	}
}

/* Moves behind white space; returns whether the text ends there. */
static gboolean is_rest_blank(struct scan *scan)
{
	while (scan->pos < scan->end && g_ascii_isspace(*scan->pos))
		scan->pos++;
	return scan->pos == scan->end;
}

/**
 * json_scan - check a JSON text before it is parsed
 * @text: text, which needs no terminating NUL
 * @len: bytes in @text
 * @accepted: receives the text with null for each number that is out of range and each object or
 * array that is nested too deeply, and "" for each string that is not valid; NULL to refuse the
 * text instead
 * @n_replaced: set to the number of values replaced, may be NULL
 * @err: filled on failure, may be NULL
 *
 * Return: FALSE with LUG_BAD_INPUT in @err if the text is refused.
 */
gboolean json_scan(const char *text, gsize len, GString *accepted, guint *n_replaced,
		   struct lug_error *err)
{
	struct scan scan = {.pos = text, .end = text + len, .accepted = accepted, .err = err};

	if (len >= strlen(UTF8_BOM) && !memcmp(text, UTF8_BOM, strlen(UTF8_BOM)))
		scan.pos += strlen(UTF8_BOM);
	if (is_rest_blank(&scan))
		return refuse_syntax(&scan, "the text is empty");
	do {
		if (!scan_token(&scan))
			return FALSE;
	} while (scan.depth && scan.pos < scan.end);
	if (scan.depth)
		return refuse_syntax(&scan, "the text is cut off");
	if (!is_rest_blank(&scan))
		return refuse_syntax(&scan, "there is text after the first value");
	if (n_replaced)
		*n_replaced = scan.n_replaced;
	return TRUE;
}
