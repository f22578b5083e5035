#include "daemon/main.h"

#include <argtable2.h>
#include <stdio.h>

#include "daemon/reload.h"

static void print_problems(const char *program, GPtrArray *problems)
{
	for (guint i = 0; i < problems->len; i++)
		fprintf(stderr, "%s: %s\n", program, (char *)g_ptr_array_index(problems, i));
}

static struct lug_settings *load_settings(const char *program, const char *path,
					  enum lug_daemon daemon)
{
	GPtrArray *problems = g_ptr_array_new_with_free_func(g_free);
	struct lug_settings *settings = lug_settings_load(path, problems);

	/* In enum lug_daemon, entries have even values and agents odd ones. */
	if (settings && settings->daemon % 2 != daemon % 2) {
		g_ptr_array_add(problems,
				g_strdup_printf("%s:1: the settings are for another daemon; name a "
						"file with \"daemon: %s\"",
						path,
						daemon == LUG_DAEMON_ENTRY ? "entry" : "agent"));
		lug_settings_free(settings);
		settings = NULL;
	}
	print_problems(program, problems);
	g_ptr_array_unref(problems);
	return settings;
}

/**
 * lug_main_settings - read a daemon's arguments and its settings
 * @argc: number of arguments
 * @argv: arguments
 * @program: name in messages
 * @daemon: entry or agent; settings for the queue daemon of the same role are accepted too
 * @exit_code: set to the exit code for when NULL is returned
 *
 * Return: checked settings owned by the caller, or NULL if the program must exit.
 */
struct lug_settings *lug_main_settings(int argc, char **argv, const char *program,
				       enum lug_daemon daemon, int *exit_code)
{
	struct arg_lit *help = arg_lit0("h", "help", "show this help and exit");
	struct arg_lit *version = arg_lit0(NULL, "version", "show the release and exit");
	struct arg_file *file = arg_file1(NULL, NULL, "SETTINGS", "settings file, YAML");
	struct arg_end *end = arg_end(8);
	void *table[] = {help, version, file, end};
	struct lug_settings *settings = NULL;
	int errors = arg_parse(argc, argv, table);

	*exit_code = LUG_DAEMON_EXIT_OK;
	if (help->count) {
		printf("usage: %s", program);
		arg_print_syntax(stdout, table, "\n");
		arg_print_glossary(stdout, table, "  %-14s %s\n");
	} else if (version->count) {
		printf("%s %s\n", program, LUG_RELEASE);
	} else if (errors) {
		arg_print_errors(stderr, end, program);
		fprintf(stderr, "%s: --help shows the arguments\n", program);
		*exit_code = LUG_DAEMON_EXIT_BAD_SETTINGS;
	} else {
		settings = load_settings(program, file->filename[0], daemon);
		if (!settings)
			*exit_code = LUG_DAEMON_EXIT_BAD_SETTINGS;
	}
	arg_freetable(table, G_N_ELEMENTS(table));
	return settings;
}

/**
 * lug_main_settings_path - find the settings file among the arguments
 * @argc: number of arguments
 * @argv: arguments that lug_main_settings() has accepted
 *
 * Return: element of @argv, or "" when there is none.
 */
const char *lug_main_settings_path(int argc, char **argv)
{
	for (int i = argc - 1; i > 0; i--)
		if (argv[i][0] != '-')
			return argv[i];
	return "";
}
