#include "daemon/agent.h"
#include "daemon/main.h"
#include "platform.h"

int main(int argc, char **argv)
{
	struct lug_settings *settings;
	int code;

	settings = lug_main_settings(argc, argv, "catkinlug-agentd", LUG_DAEMON_AGENT, &code);
	if (!settings)
		return code;
	if (settings->daemon == LUG_DAEMON_QUEUE_AGENT)
		return lug_queue_agent_run(settings, lug_main_settings_path(argc, argv),
					   platform_adapter());
	return lug_agent_run(settings, lug_main_settings_path(argc, argv));
}
