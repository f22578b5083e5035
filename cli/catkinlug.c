#include <argtable2.h>
#include <stdio.h>
#include <string.h>
#include <zmq.h>

#include "client/client.h"
#include "core/settings.h"
#include "core/units.h"
#include "daemon/main.h"

#define COMMAND_WORDS_MAX 2
#define ENTRIES_MAX 16
/* Z85 text of a CURVE key with its NUL. */
#define KEY_TEXT_BYTES 41

/* Arguments that all commands accept. */
struct common_args {
	struct arg_lit *help;
	struct arg_lit *json;
	struct arg_str *entry;
	struct arg_str *token;
	struct arg_end *end;
};

typedef int (*command_fn)(struct lug_client *client, int argc, char **argv, const char *name);

struct command {
	const char *group;
	const char *verb;
	command_fn run;
	const char *summary;
};

static void common_args_init(struct common_args *common)
{
	common->help = arg_lit0("h", "help", "show this help and exit");
	common->json = arg_lit0(NULL, "json", "print JSON");
	common->entry = arg_strn(NULL, "entry", "URL", 0, ENTRIES_MAX,
				 "URL of an entry; may be repeated (CATKINLUG_ENTRY)");
	common->token = arg_str0(NULL, "token", "TEXT", "bearer token (CATKINLUG_TOKEN)");
	/* Keeps at most 8 errors in the arguments. */
	common->end = arg_end(8);
}

static void apply_common_args(struct lug_client *client, const struct common_args *common)
{
	const char *entry = g_getenv("CATKINLUG_ENTRY");

	client->json = common->json->count > 0;
	client->token = common->token->count ? common->token->sval[0] : g_getenv("CATKINLUG_TOKEN");
	client->out = stdout;
	client->err = stderr;
	if (common->entry->count) {
		client->entries = g_new0(char *, (gsize)common->entry->count + 1);
		for (int i = 0; i < common->entry->count; i++)
			client->entries[i] = g_strdup(common->entry->sval[i]);
	} else {
		client->entries = g_strsplit(entry ? entry : "http://127.0.0.1:8080", ",", -1);
	}
}

/* Parses the arguments of a command. Returns FALSE and sets @code if the command must not run. */
static gboolean parse_args(struct lug_client *client, int argc, char **argv, const char *name,
			   void **table, struct common_args *common, int *code)
{
	int errors = arg_parse(argc, argv, table);

	*code = LUG_EXIT_SUCCESS;
	if (common->help->count) {
		printf("usage: catkinlug %s", name);
		arg_print_syntax(stdout, table, "\n");
		arg_print_glossary(stdout, table, "  %-26s %s\n");
		return FALSE;
	}
	if (errors) {
		arg_print_errors(stderr, common->end, name);
		fprintf(stderr, "catkinlug %s: --help shows the arguments\n", name);
		*code = LUG_EXIT_USAGE;
		return FALSE;
	}
	apply_common_args(client, common);
	return TRUE;
}

#define ARG_TABLE(common, ...)                                                               \
	{                                                                                    \
		(common).help, (common).json, (common).entry, (common).token, ##__VA_ARGS__, \
			(common).end                                                         \
	}

static int run_plain_command(struct lug_client *client, int argc, char **argv, const char *name,
			     int (*fn)(const struct lug_client *client))
{
	struct common_args common;
	int code;

	common_args_init(&common);
	{
		void *table[] = ARG_TABLE(common);

		if (parse_args(client, argc, argv, name, table, &common, &code))
			code = fn(client);
		arg_freetable(table, G_N_ELEMENTS(table));
	}
	return code;
}

#define DEFINE_PLAIN_COMMAND(function, call)                                                    \
	static int function(struct lug_client *client, int argc, char **argv, const char *name) \
	{                                                                                       \
		return run_plain_command(client, argc, argv, name, call);                       \
	}

DEFINE_PLAIN_COMMAND(run_table_show, lug_client_table_show)
DEFINE_PLAIN_COMMAND(run_table_history, lug_client_table_history)
DEFINE_PLAIN_COMMAND(run_worker_list, lug_client_worker_list)
DEFINE_PLAIN_COMMAND(run_service_list, lug_client_service_list)
DEFINE_PLAIN_COMMAND(run_charge_report, lug_client_charge_report)
DEFINE_PLAIN_COMMAND(run_status, lug_client_status_show)

static int run_table_edit(struct lug_client *client, int argc, char **argv, const char *name)
{
	struct arg_lit *yes = arg_lit0("y", "yes", "send without confirmation");
	struct arg_str *by = arg_str0(NULL, "by", "NAME", "your name in the history");
	struct common_args common;
	int code;

	common_args_init(&common);
	{
		void *table[] = ARG_TABLE(common, yes, by);

		if (parse_args(client, argc, argv, name, table, &common, &code))
			code = lug_client_table_edit(client, yes->count > 0,
						     by->count ? by->sval[0] : g_get_user_name());
		arg_freetable(table, G_N_ELEMENTS(table));
	}
	return code;
}

static int run_table_apply(struct lug_client *client, int argc, char **argv, const char *name)
{
	struct arg_int *version = arg_int0(NULL, "version", "N", "version the edit is based on");
	struct arg_str *by = arg_str0(NULL, "by", "NAME", "your name in the history");
	struct arg_file *file = arg_file1(NULL, NULL, "FILE", "table file, - for standard input");
	struct common_args common;
	int code;

	common_args_init(&common);
	{
		void *table[] = ARG_TABLE(common, version, by, file);

		if (parse_args(client, argc, argv, name, table, &common, &code))
			code = lug_client_table_apply(client, file->filename[0],
						      version->count ? version->ival[0] : -1,
						      by->count ? by->sval[0] : g_get_user_name());
		arg_freetable(table, G_N_ELEMENTS(table));
	}
	return code;
}

struct submit_args {
	struct arg_str *team;
	struct arg_str *kind;
	struct arg_int *count;
	struct arg_dbl *cores;
	struct arg_str *memory;
	struct arg_int *accelerators;
	struct arg_str *run_time;
	struct arg_str *key;
	struct arg_str *payload;
	struct arg_str *region;
	struct arg_str *zone;
	struct arg_lit *urgent;
	struct arg_lit *at_most_once; /* the job is not idempotent */
	struct arg_lit *wait;
};

static void set_text(JsonObject *body, const char *name, const struct arg_str *arg)
{
	if (arg->count)
		json_object_set_string_member(body, name, arg->sval[0]);
}

static void set_list(JsonObject *body, const char *name, const struct arg_str *arg)
{
	JsonArray *list;

	if (!arg->count)
		return;
	list = json_array_new();
	for (int i = 0; i < arg->count; i++)
		json_array_add_string_element(list, arg->sval[i]);
	json_object_set_array_member(body, name, list);
}

static char *submit_body(const struct submit_args *args)
{
	JsonObject *body = json_object_new();
	char *text;

	set_text(body, "team", args->team);
	set_text(body, "kind", args->kind);
	set_text(body, "memory", args->memory);
	set_text(body, "run_time", args->run_time);
	set_text(body, "key", args->key);
	set_text(body, "payload", args->payload);
	set_list(body, "regions", args->region);
	set_list(body, "zones", args->zone);
	if (args->count->count)
		json_object_set_int_member(body, "count", args->count->ival[0]);
	if (args->cores->count)
		json_object_set_double_member(body, "cores", args->cores->dval[0]);
	if (args->accelerators->count)
		json_object_set_int_member(body, "accelerators", args->accelerators->ival[0]);
	json_object_set_boolean_member(body, "urgent", args->urgent->count > 0);
	json_object_set_boolean_member(body, "idempotent", !args->at_most_once->count);
	text = lug_json_text(body);
	json_object_unref(body);
	return text;
}

static int run_job_submit(struct lug_client *client, int argc, char **argv, const char *name)
{
	struct submit_args args = {
		.team = arg_str1(NULL, "team", "NAME", "team that is charged"),
		.kind = arg_str1(NULL, "kind", "NAME", "kind of work"),
		.count = arg_int0(NULL, "count", "N", "number of tasks (default 1)"),
		.cores = arg_dbl0(NULL, "cores", "N", "cores per task (default 1)"),
		.memory = arg_str0(NULL, "memory", "SIZE", "memory per task (default 256MB)"),
		.accelerators =
			arg_int0(NULL, "accelerators", "N", "accelerators per task (default 0)"),
		.run_time = arg_str0(NULL, "run-time", "TIME", "declared run time (default 60s)"),
		.key = arg_str0(NULL, "key", "TEXT",
				"idempotency key: a resubmission returns the same job"),
		.payload = arg_str0(NULL, "payload", "TEXT", "passed to the worker"),
		.region = arg_strn(NULL, "region", "NAME", 0, 16, "accepted region"),
		.zone = arg_strn(NULL, "zone", "NAME", 0, 16, "accepted availability zone"),
		.urgent = arg_lit0(NULL, "urgent", "must start within seconds"),
		.at_most_once = arg_lit0(NULL, "at-most-once", "don't retry lost attempts"),
		.wait = arg_lit0("w", "wait", "wait for the end"),
	};
	struct common_args common;
	int code;

	common_args_init(&common);
	{
		void *table[] = ARG_TABLE(common, args.team, args.kind, args.count, args.cores,
					  args.memory, args.accelerators, args.run_time, args.key,
					  args.payload, args.region, args.zone, args.urgent,
					  args.at_most_once, args.wait);

		if (parse_args(client, argc, argv, name, table, &common, &code)) {
			char *body = submit_body(&args);

			code = lug_client_job_submit(client, body, args.wait->count > 0);
			g_free(body);
		}
		arg_freetable(table, G_N_ELEMENTS(table));
	}
	return code;
}

static int run_job_status(struct lug_client *client, int argc, char **argv, const char *name)
{
	struct arg_str *team = arg_str0(NULL, "team", "NAME", "team of the job (operators)");
	struct arg_lit *wait = arg_lit0("w", "wait", "wait for the end");
	struct arg_str *id = arg_str1(NULL, NULL, "JOB", "job id");
	struct common_args common;
	int code;

	common_args_init(&common);
	{
		void *table[] = ARG_TABLE(common, team, wait, id);

		if (parse_args(client, argc, argv, name, table, &common, &code))
			code = lug_client_job_status(client, team->count ? team->sval[0] : NULL,
						     id->sval[0], wait->count > 0);
		arg_freetable(table, G_N_ELEMENTS(table));
	}
	return code;
}

static int run_job_list(struct lug_client *client, int argc, char **argv, const char *name)
{
	struct arg_str *team = arg_str0(NULL, "team", "NAME", "jobs of this team only");
	struct common_args common;
	int code;

	common_args_init(&common);
	{
		void *table[] = ARG_TABLE(common, team);

		if (parse_args(client, argc, argv, name, table, &common, &code))
			code = lug_client_job_list(client, team->count ? team->sval[0] : NULL);
		arg_freetable(table, G_N_ELEMENTS(table));
	}
	return code;
}

static int run_job_cancel(struct lug_client *client, int argc, char **argv, const char *name)
{
	struct arg_str *team = arg_str0(NULL, "team", "NAME", "team of the job (operators)");
	struct arg_str *id = arg_str1(NULL, NULL, "JOB", "job id");
	struct common_args common;
	int code;

	common_args_init(&common);
	{
		void *table[] = ARG_TABLE(common, team, id);

		if (parse_args(client, argc, argv, name, table, &common, &code))
			code = lug_client_job_cancel(client, team->count ? team->sval[0] : NULL,
						     id->sval[0]);
		arg_freetable(table, G_N_ELEMENTS(table));
	}
	return code;
}

static int run_worker_drain(struct lug_client *client, int argc, char **argv, const char *name)
{
	struct arg_lit *undo = arg_lit0(NULL, "undo", "return the worker to service");
	struct arg_str *worker = arg_str1(NULL, NULL, "WORKER", "worker");
	struct common_args common;
	int code;

	common_args_init(&common);
	{
		void *table[] = ARG_TABLE(common, undo, worker);

		if (parse_args(client, argc, argv, name, table, &common, &code))
			code = lug_client_worker_drain(client, worker->sval[0], undo->count > 0);
		arg_freetable(table, G_N_ELEMENTS(table));
	}
	return code;
}

static int run_timeline(struct lug_client *client, int argc, char **argv, const char *name)
{
	struct arg_str *job = arg_str0(NULL, "job", "ID", "events of this job");
	struct arg_str *request = arg_str0(NULL, "request", "ID", "events of this request");
	struct arg_str *process = arg_str0(NULL, "worker", "NAME", "events of this process");
	struct arg_str *since =
		arg_str0(NULL, "since", "TIME", "events of the last TIME, as in 30s");
	struct arg_file *html = arg_file0(NULL, "html", "FILE", "write an HTML page");
	struct lug_timeline_query query = {0};
	struct common_args common;
	int code;

	common_args_init(&common);
	{
		void *table[] = ARG_TABLE(common, job, request, process, since, html);

		if (parse_args(client, argc, argv, name, table, &common, &code)) {
			query.match = job->count       ? job->sval[0]
				      : request->count ? request->sval[0]
						       : NULL;
			query.process = process->count ? process->sval[0] : NULL;
			query.html = html->count ? html->filename[0] : NULL;
			if (since->count && !lug_duration_parse(since->sval[0], &query.since_ms)) {
				fprintf(stderr,
					"catkinlug: --since %s is not accepted; write a "
					"duration with its unit, as in 30s\n",
					since->sval[0]);
				code = LUG_EXIT_USAGE;
			} else {
				code = lug_client_timeline_show(client, &query);
			}
		}
		arg_freetable(table, G_N_ELEMENTS(table));
	}
	return code;
}

static int check_settings(const char *path)
{
	GPtrArray *problems = g_ptr_array_new_with_free_func(g_free);
	struct lug_settings *settings = lug_settings_load(path, problems);
	int code = settings ? LUG_EXIT_SUCCESS : LUG_EXIT_USAGE;

	for (guint i = 0; i < problems->len; i++)
		fprintf(stderr, "catkinlug: %s\n", (char *)g_ptr_array_index(problems, i));
	/* Entries have even values of enum lug_daemon, agents odd ones. */
	if (settings)
		printf("%s: settings of an %s, accepted\n", path,
		       settings->daemon % 2 == LUG_DAEMON_ENTRY ? "entry" : "agent");
	lug_settings_free(settings);
	g_ptr_array_unref(problems);
	return code;
}

static int run_settings_check(struct lug_client *client, int argc, char **argv, const char *name)
{
	struct arg_file *file = arg_file1(NULL, NULL, "FILE", "settings file");
	struct common_args common;
	int code;

	common_args_init(&common);
	{
		void *table[] = ARG_TABLE(common, file);

		if (parse_args(client, argc, argv, name, table, &common, &code))
			code = check_settings(file->filename[0]);
		arg_freetable(table, G_N_ELEMENTS(table));
	}
	return code;
}

static int run_trace(struct lug_client *client, int argc, char **argv, const char *name)
{
	struct arg_str *id = arg_str1(NULL, NULL, "ID", "id of a request or job");
	struct arg_file *files =
		arg_filen(NULL, NULL, "LOG", 1, 1000, "collected logs, - for standard input");
	struct common_args common;
	int code;

	common_args_init(&common);
	{
		void *table[] = ARG_TABLE(common, id, files);

		if (parse_args(client, argc, argv, name, table, &common, &code))
			code = lug_client_trace_show(id->sval[0], files->filename,
						     (gsize)files->count);
		arg_freetable(table, G_N_ELEMENTS(table));
	}
	return code;
}

static int print_new_key(void)
{
	char public_key[KEY_TEXT_BYTES];
	char secret_key[KEY_TEXT_BYTES];

	if (zmq_curve_keypair(public_key, secret_key)) {
		fprintf(stderr, "catkinlug: ZeroMQ library without CURVE support\n");
		return LUG_EXIT_FAILURE;
	}
	printf("keys:\n  - public: '%s'\n    secret: '%s'\n", public_key, secret_key);
	return LUG_EXIT_SUCCESS;
}

static int run_key_new(struct lug_client *client, int argc, char **argv, const char *name)
{
	struct common_args common;
	int code;

	common_args_init(&common);
	{
		void *table[] = ARG_TABLE(common);

		if (parse_args(client, argc, argv, name, table, &common, &code))
			code = print_new_key();
		arg_freetable(table, G_N_ELEMENTS(table));
	}
	return code;
}

static const struct command commands[] = {
	{"table", "show", run_table_show, "print the weights and limits in force"},
	{"table", "edit", run_table_edit, "edit the weights and limits in $EDITOR"},
	{"table", "apply", run_table_apply, "replace the weights and limits from a file"},
	{"table", "history", run_table_history, "print all versions and what each changed"},
	{"job", "submit", run_job_submit, "submit a batch job"},
	{"job", "status", run_job_status, "print a job"},
	{"job", "list", run_job_list, "print the jobs"},
	{"job", "cancel", run_job_cancel, "cancel a job"},
	{"worker", "list", run_worker_list, "print the workers"},
	{"worker", "drain", run_worker_drain, "drain a worker, or undo it"},
	{"service", "list", run_service_list, "print the services"},
	{"charge", "report", run_charge_report, "print the charges of the teams"},
	{"status", NULL, run_status,
	 "print versions in force, table service, entries, queues, workers"},
	{"timeline", NULL, run_timeline, "print the events of all processes in order"},
	{"trace", NULL, run_trace, "print the lines of collected logs that concern an id"},
	{"key", "new", run_key_new, "print a new key pair for internal connections"},
	{"settings", "check", run_settings_check, "check a settings file"},
};

static void print_usage(FILE *out)
{
	fprintf(out, "usage: catkinlug COMMAND [--help] [ARGUMENTS]\n");
	for (gsize i = 0; i < G_N_ELEMENTS(commands); i++)
		fprintf(out, "  %-9s %-8s %s\n", commands[i].group,
			commands[i].verb ? commands[i].verb : "", commands[i].summary);
}

static int run_command(const struct command *command, int argc, char **argv)
{
	int words = command->verb ? COMMAND_WORDS_MAX : COMMAND_WORDS_MAX - 1;
	char *name = g_strjoin(" ", command->group, command->verb, NULL);
	struct lug_client client = {0};
	/*
	 * The command gets the arguments from the last word of its own name on; that word is its
	 * argv[0].
	 */
	int code = command->run(&client, argc - words, argv + words, name);

	g_strfreev(client.entries);
	g_free(name);
	return code;
}

int main(int argc, char **argv)
{
	for (gsize i = 0; argc > 1 && i < G_N_ELEMENTS(commands); i++) {
		const struct command *command = &commands[i];

		if (strcmp(argv[1], command->group) != 0)
			continue;
		if (!command->verb || (argc > COMMAND_WORDS_MAX && !strcmp(argv[2], command->verb)))
			return run_command(command, argc, argv);
	}
	if (argc > 1 && (!strcmp(argv[1], "--help") || !strcmp(argv[1], "-h"))) {
		print_usage(stdout);
		return LUG_EXIT_SUCCESS;
	}
	if (argc > 1 && !strcmp(argv[1], "--version")) {
		printf("catkinlug %s\n", LUG_RELEASE);
		return LUG_EXIT_SUCCESS;
	}
	if (argc > 1)
		fprintf(stderr, "catkinlug: no such command: %s\n", argv[1]);
	print_usage(stderr);
	return LUG_EXIT_USAGE;
}
