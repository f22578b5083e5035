#ifndef LUG_DAEMON_MAIN_H
#define LUG_DAEMON_MAIN_H

#include "core/settings.h"

#define LUG_RELEASE "0.3.0"

struct lug_settings *lug_main_settings(int argc, char **argv, const char *program,
				       enum lug_daemon daemon, int *exit_code);
const char *lug_main_settings_path(int argc, char **argv);

#endif
