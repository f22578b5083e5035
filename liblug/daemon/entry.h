#ifndef LUG_DAEMON_ENTRY_H
#define LUG_DAEMON_ENTRY_H

#include "core/settings.h"

int lug_entry_run(struct lug_settings *settings, const char *path);

#endif
