#ifndef LUG_JOB_JOB_H
#define LUG_JOB_JOB_H

#include "core/json.h"
#include "core/resources.h"

#define LUG_JOB_TASKS_MAX 10000
/*
 * Lengths in bytes, without the terminating NUL. LUG_JOB_ID_MAX also bounds the names of workers
 * that run jobs, LUG_JOB_KIND_MAX also the names of teams.
 */
#define LUG_JOB_ID_MAX 40
#define LUG_JOB_KIND_MAX 32
#define LUG_JOB_KEY_MAX 128
#define LUG_JOB_PAYLOAD_MAX_BYTES (16 * 1024)
#define LUG_JOB_RUN_MAX_MS (7LL * 24 * 3600 * 1000)
#define LUG_JOB_PLACES_MAX 16

/**
 * struct lug_job - a batch job as submitted
 * @id: id, derived from @key if one was given
 * @team: team that the job's use is charged to
 * @kind: kind of work, by which run times and interference are estimated
 * @key: submitter's key; submissions of a team with the same key are one job
 * @payload: passed to the worker unchanged
 * @count: number of tasks
 * @size: declared size of one task
 * @declared_ms: declared run time of one task
 * @urgent: must start within seconds
 * @idempotent: a lost attempt may be run again from the start
 * @regions: accepted regions, NULL-terminated, empty for all
 * @zones: accepted availability zones, NULL-terminated, empty for all
 * @submitted_ms: wall time of the submission
 * @cancelled: the submitter has cancelled the job
 */
struct lug_job {
	char id[LUG_JOB_ID_MAX + 1];
	char team[LUG_JOB_KIND_MAX + 1];
	char kind[LUG_JOB_KIND_MAX + 1];
	char *key;
	char *payload;
	guint32 count;
	struct lug_resources size;
	gint64 declared_ms;
	gboolean urgent;
	gboolean idempotent;
	char **regions;
	char **zones;
	gint64 submitted_ms;
	gboolean cancelled;
};

struct lug_job *lug_job_from_request(JsonObject *body, struct lug_error *err);
struct lug_job *lug_job_from_row(JsonObject *row);
JsonObject *lug_job_to_json(const struct lug_job *job);
void lug_job_free(struct lug_job *job);
void lug_job_make_id(struct lug_job *job, guint64 nonce);
char *lug_job_row_key(const char *team, const char *id);
char *lug_task_row_key(const char *team, const char *id, guint32 index);
guint64 lug_attempt_hash(const char *job, guint32 index, guint32 attempt);
gboolean lug_job_accepts(const struct lug_job *job, const char *region, const char *zone);

#endif
