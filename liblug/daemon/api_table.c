#include "daemon/entry_priv.h"

#include <string.h>

#include "core/units.h"

#define COMMIT_TIMEOUT_US (5 * 1000 * 1000)
/* Most versions in one answer; callers request further ones with ?after=KEY. */
#define HISTORY_MAX_ROWS 1000

/* An edit of the table of weights and limits. */
struct table_call {
	struct lug_api_call *api_call;
	struct lug_entry *entry;
	struct lug_limits *edited; /* parsed from @text */
	char *text;		   /* table as sent by the caller */
	char *author;
	gint64 expected_version; /* version of the table that the edit is based on */
};

static void table_call_free(struct table_call *call)
{
	lug_limits_free(call->edited);
	g_free(call->text);
	g_free(call->author);
	g_free(call);
}

static JsonObject *row_json(gint64 version, const char *text, const char *author, gint64 at_ms)
{
	JsonObject *row = json_object_new();

	json_object_set_int_member(row, "version", version);
	json_object_set_string_member(row, "text", text);
	json_object_set_string_member(row, "by", author);
	json_object_set_int_member(row, "at_ms", at_ms);
	return row;
}

static void end_error(struct table_call *call, const struct lug_error *err)
{
	lug_answer_error(call->api_call->msg, err);
	lug_api_end(call->api_call);
	table_call_free(call);
}

/* Refuses an edit because another was accepted first; answers with the table in force. */
static void end_conflict(struct table_call *call, JsonObject *current)
{
	JsonObject *out = json_object_new();

	json_object_set_string_member(out, "error", lug_status_name(LUG_CONFLICT));
	json_object_set_string_member(out, "message", "another edit was accepted first");
	json_object_set_string_member(out, "remedy",
				      "look at the other change, make yours again on top of it");
	json_object_set_object_member(out, "current", json_object_ref(current));
	lug_answer_json(call->api_call->msg, 409, out);
	lug_api_end(call->api_call);
	table_call_free(call);
}

static void on_committed(void *data, enum lug_status status, gint64 version)
{
	struct table_call *call = data;
	struct lug_error err;
	JsonObject *out;

	(void)version;
	if (status == LUG_OK) {
		lug_sync_read_now(call->entry->sync);
		out = json_object_new();
		json_object_set_int_member(out, "version", call->edited->version);
		lug_answer_json(call->api_call->msg, 200, out);
		lug_api_end(call->api_call);
		table_call_free(call);
		return;
	}
	if (status == LUG_CONFLICT)
		lug_fail(&err, LUG_CONFLICT, "read the table again and repeat the edit",
			 "another edit was accepted first");
	else if (status == LUG_UNKNOWN)
		lug_fail(&err, LUG_UNKNOWN, "read the table to see whether version %s is yours",
			 "the edit may have been accepted");
	else if (status == LUG_BAD_INPUT)
		lug_fail(&err, LUG_TOO_LARGE, "shorten the table",
			 "the table service does not accept it; nothing was changed");
	else
		lug_fail(&err, LUG_UNAVAILABLE, "try again after a second",
			 "the table service does not answer; nothing was changed");
	end_error(call, &err);
}

static void commit_table(struct table_call *call, gint64 row_version)
{
	struct lug_writer_op *op = lug_writer_op_new(on_committed, call);
	JsonObject *row =
		row_json(call->edited->version, call->text, call->author, g_get_real_time() / 1000);
	char key[24];

	/* Zero-padded, so that keys sort by version. */
	g_snprintf(key, sizeof(key), "%010" G_GINT64_FORMAT, call->edited->version);
	op->deadline_us = lug_now_us() + COMMIT_TIMEOUT_US;
	lug_txn_check(&op->txn, "limits", "current", row_version);
	lug_txn_put(&op->txn, "limits", "current", row);
	lug_txn_put(&op->txn, "history", key, row);
	json_object_unref(row);
	lug_writer_submit(call->entry->writer, op, lug_now_us());
}

static void on_current(void *data, enum lug_status status, const struct lug_row *rows, guint n_rows,
		       gboolean more)
{
	struct table_call *call = data;
	JsonObject *current = n_rows ? rows[0].data : NULL;
	gint64 version = lug_json_int(current, "version", 0);
	struct lug_limits *old = NULL;
	struct lug_error err = {0};

	(void)more;
	if (status != LUG_OK) {
		lug_fail(&err, LUG_UNAVAILABLE, "try again after a second",
			 "the table service does not answer; nothing was changed");
		end_error(call, &err);
		return;
	}
	if (version != call->expected_version) {
		end_conflict(call, current ? current : json_object_new());
		return;
	}
	call->edited = lug_limits_parse(call->text, version + 1, &err);
	if (call->edited && current)
		old = lug_limits_parse(lug_json_str(current, "text", ""), version, NULL);
	if (!call->edited || lug_limits_check_successor(old, call->edited, &err)) {
		lug_limits_free(old);
		end_error(call, &err);
		return;
	}
	lug_limits_free(old);
	commit_table(call, n_rows ? rows[0].version : 0);
}

static void put_table(struct lug_api_call *api_call)
{
	SoupMessageBody *in = soup_server_message_get_request_body(api_call->msg);
	const char *match = lug_api_header(api_call, "If-Match");
	struct table_call *call;
	gint64 expected_version;

	if (!api_call->is_operator) {
		lug_api_fail(api_call, LUG_DENIED, "use an operator's token",
			     "a team may not edit the table");
		return;
	}
	if (!match || !lug_int_parse(match, &expected_version)) {
		lug_api_fail(api_call, LUG_BAD_INPUT,
			     "send If-Match with the version that you edited",
			     "If-Match is missing or not a number");
		return;
	}
	if (!g_utf8_validate(in->data ? in->data : "", (gssize)in->length, NULL)) {
		lug_api_fail(api_call, LUG_BAD_INPUT, "send plain UTF-8 text",
			     "the table is not text");
		return;
	}
	call = g_new0(struct table_call, 1);
	call->api_call = api_call;
	call->entry = api_call->entry;
	call->expected_version = expected_version;
	call->text = g_strndup(in->data ? in->data : "", (gsize)in->length);
	call->author = g_strdup(lug_api_header(api_call, "X-Operator")
					? lug_api_header(api_call, "X-Operator")
					: api_call->caller);
	lug_store_scan(api_call->entry->store, "limits", "current", NULL, 1, on_current, call);
}

static void get_table(struct lug_api_call *api_call)
{
	const struct lug_limits *limits = lug_sync_limits(api_call->entry->sync);
	char *text;

	if (!limits) {
		lug_api_fail(api_call, LUG_NOT_FOUND,
			     "catkinlug table apply FILE writes the first one",
			     "there is no table yet");
		return;
	}
	text = lug_limits_format(limits);
	/* The table in memory has no author ("") and no time (0). */
	lug_answer_json(api_call->msg, 200, row_json(limits->version, text, "", 0));
	g_free(text);
	lug_api_end(api_call);
}

static void on_history(void *data, enum lug_status status, const struct lug_row *rows, guint n_rows,
		       gboolean more)
{
	struct lug_api_call *api_call = data;
	JsonObject *out;
	JsonArray *list;

	if (status != LUG_OK) {
		lug_api_fail(api_call, LUG_UNAVAILABLE, "try again after a second",
			     "the table service does not answer");
		return;
	}
	out = json_object_new();
	list = json_array_new();
	for (guint i = 0; i < n_rows; i++)
		if (rows[i].data)
			json_array_add_object_element(list, json_object_ref(rows[i].data));
	json_object_set_array_member(out, "versions", list);
	json_object_set_boolean_member(out, "more", more);
	lug_answer_json(api_call->msg, 200, out);
	lug_api_end(api_call);
}

/**
 * lug_api_table - serve /table and /table/history
 * @api_call: call
 */
void lug_api_table(struct lug_api_call *api_call)
{
	const char *method = lug_api_method(api_call);

	if (!strcmp(api_call->path, "history") && !strcmp(method, "GET"))
		lug_store_scan(api_call->entry->store, "history", "",
			       lug_api_param(api_call, "after"), HISTORY_MAX_ROWS, on_history,
			       api_call);
	else if (!*api_call->path && !strcmp(method, "GET"))
		get_table(api_call);
	else if (!*api_call->path && !strcmp(method, "PUT"))
		put_table(api_call);
	else
		lug_api_fail(api_call, LUG_BAD_INPUT,
			     "use GET or PUT /table, or GET /table/history",
			     "the method or path is not accepted");
}
