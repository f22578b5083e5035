#include "job/job.h"

#include <string.h>

#include "core/units.h"

#define ID_HEX_CHARS 20
#define FNV_OFFSET 0xcbf29ce484222325ULL
#define FNV_PRIME 0x100000001b3ULL

static const char *const known_members[] = {
	"team",		"kind",	    "key",    "payload",    "count",   "cores", "memory",
	"accelerators", "run_time", "urgent", "idempotent", "regions", "zones",
};

/**
 * lug_job_free - free a job
 * @job: job, may be NULL
 */
void lug_job_free(struct lug_job *job)
{
	if (!job)
		return;
	g_free(job->key);
	g_free(job->payload);
	g_strfreev(job->regions);
	g_strfreev(job->zones);
	g_free(job);
}

static enum lug_status check_members(JsonObject *body, struct lug_error *err)
{
	GList *members = json_object_get_members(body);
	enum lug_status status = LUG_OK;

	for (GList *it = members; it && !status; it = it->next) {
		gboolean known = FALSE;

		for (gsize i = 0; i < G_N_ELEMENTS(known_members); i++)
			known = known || !strcmp(it->data, known_members[i]);
		if (!known)
			status = lug_fail(err, LUG_BAD_INPUT,
					  "remove it; catkinlug-job(5) lists the members of a job",
					  "unknown member \"%s\"", (const char *)it->data);
	}
	g_list_free(members);
	return status;
}

static gboolean is_word_valid(const char *word)
{
	gsize len = strlen(word);

	return len && len <= LUG_JOB_KIND_MAX &&
	       strspn(word, "abcdefghijklmnopqrstuvwxyz0123456789-") == len;
}

static enum lug_status read_word(JsonObject *body, const char *name, char *out, gsize size,
				 struct lug_error *err)
{
	const char *text = lug_json_str(body, name, "");

	if (!is_word_valid(text))
		return lug_fail(err, LUG_BAD_INPUT,
				"give 1 to 32 lower-case letters, digits and dashes",
				"%s: \"%.40s\" is not accepted", name, text);
	g_strlcpy(out, text, size);
	return LUG_OK;
}

static enum lug_status read_size(JsonObject *body, struct lug_job *job, struct lug_error *err)
{
	double cores = lug_json_num(body, "cores", 1);
	const char *memory = lug_json_str(body, "memory", "256MB");

	if (!(cores > 0 && cores <= 1024))
		return lug_fail(err, LUG_BAD_INPUT, "give a number of cores above 0, at most 1024",
				"cores: %g is not accepted", cores);
	job->size.millicores = (gint64)(cores * 1000);
	if (!lug_size_parse(memory, &job->size.memory_bytes))
		return lug_fail(err, LUG_BAD_INPUT, "give a size with its unit, as in \"2GB\"",
				"memory: \"%.40s\" is not accepted", memory);
	job->size.accelerators = lug_json_int(body, "accelerators", 0);
	if (job->size.accelerators < 0 || job->size.accelerators > 64)
		return lug_fail(err, LUG_BAD_INPUT, "give 0 to 64",
				"accelerators: %" G_GINT64_FORMAT " is not accepted",
				job->size.accelerators);
	return LUG_OK;
}

static enum lug_status read_count_and_run_time(JsonObject *body, struct lug_job *job,
					       struct lug_error *err)
{
	gint64 count = lug_json_int(body, "count", 1);
	const char *run_time = lug_json_str(body, "run_time", "60s");

	if (count < 1 || count > LUG_JOB_TASKS_MAX)
		return lug_fail(err, LUG_BAD_INPUT, "give 1 to 10000 tasks; split a larger job",
				"count: %" G_GINT64_FORMAT " is not accepted", count);
	job->count = (guint32)count;
	if (!lug_duration_parse(run_time, &job->declared_ms) || job->declared_ms < 1 ||
	    job->declared_ms > LUG_JOB_RUN_MAX_MS)
		return lug_fail(err, LUG_BAD_INPUT,
				"give a duration with its unit, as in \"90s\", at most 168h",
				"run_time: \"%.40s\" is not accepted", run_time);
	return LUG_OK;
}

static enum lug_status read_key_and_payload(JsonObject *body, struct lug_job *job,
					    struct lug_error *err)
{
	const char *key = lug_json_str(body, "key", "");
	const char *payload = lug_json_str(body, "payload", "");

	if (strlen(key) > LUG_JOB_KEY_MAX)
		return lug_fail(err, LUG_BAD_INPUT, "give at most 128 bytes", "key: too long");
	if (strlen(payload) > LUG_JOB_PAYLOAD_MAX_BYTES)
		return lug_fail(err, LUG_TOO_LARGE,
				"put the input into the object store and name it",
				"payload: more than 16 KiB");
	job->key = g_strdup(key);
	job->payload = g_strdup(payload);
	return LUG_OK;
}

static char **read_places(JsonObject *body, const char *name)
{
	JsonArray *list = lug_json_arr(body, name);
	guint n = list ? MIN(json_array_get_length(list), LUG_JOB_PLACES_MAX) : 0;
	char **out = g_new0(char *, n + 1);
	guint used = 0;

	for (guint i = 0; i < n; i++) {
		const char *place = lug_json_item_str(list, i, NULL);

		if (place)
			out[used++] = g_strdup(place);
	}
	return out;
}

static void read_options(JsonObject *body, struct lug_job *job)
{
	job->urgent = lug_json_bool(body, "urgent", FALSE);
	job->idempotent = lug_json_bool(body, "idempotent", TRUE);
	job->regions = read_places(body, "regions");
	job->zones = read_places(body, "zones");
}

static enum lug_status check_types(JsonObject *body, struct lug_error *err)
{
	static const struct {
		const char *name;
		GType type;
		const char *form;
	} typed[] = {
		{"team", G_TYPE_STRING, "a string"},
		{"kind", G_TYPE_STRING, "a string"},
		{"key", G_TYPE_STRING, "a string"},
		{"payload", G_TYPE_STRING, "a string"},
		{"memory", G_TYPE_STRING, "a string"},
		{"run_time", G_TYPE_STRING, "a string"},
		{"urgent", G_TYPE_BOOLEAN, "true or false"},
		{"idempotent", G_TYPE_BOOLEAN, "true or false"},
		{"count", G_TYPE_INT64, "a whole number"},
		{"accelerators", G_TYPE_INT64, "a whole number"},
	};

	for (gsize i = 0; i < G_N_ELEMENTS(typed); i++) {
		JsonNode *node = json_object_get_member(body, typed[i].name);

		if (!node || (JSON_NODE_HOLDS_VALUE(node) &&
			      json_node_get_value_type(node) == typed[i].type))
			continue;
		return lug_fail(err, LUG_BAD_INPUT, "correct the member's type", "%s: give %s",
				typed[i].name, typed[i].form);
	}
	return LUG_OK;
}

/**
 * lug_job_from_request - parse and check a submission
 * @body: JSON of the submission
 * @err: set on failure; names the JSON member, the accepted form and the remedy
 *
 * Return: the job without an id, or NULL. Freed with lug_job_free().
 */
struct lug_job *lug_job_from_request(JsonObject *body, struct lug_error *err)
{
	struct lug_job *job = g_new0(struct lug_job, 1);

	read_options(body, job);
	if (!check_members(body, err) && !check_types(body, err) &&
	    !read_word(body, "team", job->team, sizeof(job->team), err) &&
	    !read_word(body, "kind", job->kind, sizeof(job->kind), err) &&
	    !read_size(body, job, err) && !read_count_and_run_time(body, job, err) &&
	    !read_key_and_payload(body, job, err))
		return job;
	lug_job_free(job);
	return NULL;
}

/**
 * lug_job_make_id - set the id of a job
 * @job: job
 * @nonce: makes the id of a job without a key unique
 */
void lug_job_make_id(struct lug_job *job, guint64 nonce)
{
	char *source = *job->key ? g_strdup_printf("key/%s/%s", job->team, job->key)
				 : g_strdup_printf("nonce/%" G_GUINT64_FORMAT, nonce);
	char *digest = g_compute_checksum_for_string(G_CHECKSUM_SHA256, source, -1);

	digest[ID_HEX_CHARS] = '\0';
	g_strlcpy(job->id, digest, sizeof(job->id));
	g_free(digest);
	g_free(source);
}

static JsonArray *places_to_json(char **places)
{
	JsonArray *list = json_array_new();

	for (char **p = places; p && *p; p++)
		json_array_add_string_element(list, *p);
	return list;
}

/**
 * lug_job_to_json - encode a job as stored in its row and returned to callers
 * @job: job
 *
 * Return: a new object.
 */
JsonObject *lug_job_to_json(const struct lug_job *job)
{
	JsonObject *row = json_object_new();

	json_object_set_string_member(row, "id", job->id);
	json_object_set_string_member(row, "team", job->team);
	json_object_set_string_member(row, "kind", job->kind);
	json_object_set_string_member(row, "key", job->key);
	json_object_set_string_member(row, "payload", job->payload);
	json_object_set_int_member(row, "count", job->count);
	json_object_set_int_member(row, "millicores", job->size.millicores);
	json_object_set_int_member(row, "memory_bytes", job->size.memory_bytes);
	json_object_set_int_member(row, "accelerators", job->size.accelerators);
	json_object_set_int_member(row, "run_ms", job->declared_ms);
	json_object_set_boolean_member(row, "urgent", job->urgent);
	json_object_set_boolean_member(row, "idempotent", job->idempotent);
	json_object_set_array_member(row, "regions", places_to_json(job->regions));
	json_object_set_array_member(row, "zones", places_to_json(job->zones));
	json_object_set_int_member(row, "submitted_ms", job->submitted_ms);
	json_object_set_boolean_member(row, "cancelled", job->cancelled);
	return row;
}

/**
 * lug_job_from_row - decode a job's row
 * @row: JSON of the row
 *
 * Return: the job, freed with lug_job_free().
 */
struct lug_job *lug_job_from_row(JsonObject *row)
{
	struct lug_job *job = g_new0(struct lug_job, 1);

	g_strlcpy(job->id, lug_json_str(row, "id", ""), sizeof(job->id));
	g_strlcpy(job->team, lug_json_str(row, "team", ""), sizeof(job->team));
	g_strlcpy(job->kind, lug_json_str(row, "kind", ""), sizeof(job->kind));
	job->key = g_strdup(lug_json_str(row, "key", ""));
	job->payload = g_strdup(lug_json_str(row, "payload", ""));
	job->count = (guint32)CLAMP(lug_json_int(row, "count", 1), 1, LUG_JOB_TASKS_MAX);
	job->size.millicores = lug_json_int(row, "millicores", 1000);
	job->size.memory_bytes = lug_json_int(row, "memory_bytes", 0);
	job->size.accelerators = lug_json_int(row, "accelerators", 0);
	job->declared_ms = lug_json_int(row, "run_ms", 1000);
	job->submitted_ms = lug_json_int(row, "submitted_ms", 0);
	job->cancelled = lug_json_bool(row, "cancelled", FALSE);
	read_options(row, job);
	return job;
}

/**
 * lug_job_row_key - key of a job's row
 * @team: team
 * @id: job id
 *
 * Return: a new string.
 */
char *lug_job_row_key(const char *team, const char *id)
{
	return g_strdup_printf("%s/%s", team, id);
}

/**
 * lug_task_row_key - key of a task's row
 * @team: team
 * @id: job id
 * @index: index within the job
 *
 * Return: a new string.
 */
char *lug_task_row_key(const char *team, const char *id, guint32 index)
{
	return g_strdup_printf("%s/%s/%05u", team, id, index);
}

static gboolean is_place_accepted(char **places, const char *place)
{
	if (!places || !places[0])
		return TRUE;
	return g_strv_contains((const char *const *)places, place);
}

/**
 * lug_job_accepts - check whether a job may run in a region and zone
 * @job: job
 * @region: region
 * @zone: availability zone
 */
gboolean lug_job_accepts(const struct lug_job *job, const char *region, const char *zone)
{
	return is_place_accepted(job->regions, region) && is_place_accepted(job->zones, zone);
}

/**
 * lug_attempt_hash - hash of one attempt, for the digest of a set of attempts
 * @job: job id
 * @index: index within the job
 * @attempt: attempt
 *
 * The digest of a set is the exclusive or of its members' hashes (FNV-1a with a final mix).
 */
guint64 lug_attempt_hash(const char *job, guint32 index, guint32 attempt)
{
	guint64 hash = FNV_OFFSET;

	for (const char *p = job; *p; p++)
		hash = (hash ^ (guint8)*p) * FNV_PRIME;
	hash = (hash ^ index) * FNV_PRIME;
	hash = (hash ^ attempt) * FNV_PRIME;
	hash ^= hash >> 29;
	hash *= FNV_PRIME;
	return hash ^ (hash >> 32);
}
