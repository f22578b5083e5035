#include "daemon/agent.h"
#include "daemon/main.h"

int main(int argc, char **argv)
{
	struct lug_settings *settings;
	int code;

	settings = lug_main_settings(argc, argv, "catkinlug-agentd", LUG_DAEMON_AGENT, &code);
	if (!settings)
		return code;
	return lug_agent_run(settings, lug_main_path(argc, argv));
}
