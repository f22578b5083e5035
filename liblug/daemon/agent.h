#ifndef LUG_DAEMON_AGENT_H
#define LUG_DAEMON_AGENT_H

#include "core/settings.h"

int lug_agent_run(struct lug_settings *settings, const char *path);

#endif
