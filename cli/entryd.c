#include "daemon/entry.h"
#include "daemon/main.h"
#include "platform.h"

int main(int argc, char **argv)
{
	struct lug_settings *settings;
	int code;

	settings = lug_main_settings(argc, argv, "catkinlug-entryd", LUG_DAEMON_ENTRY, &code);
	if (!settings)
		return code;
	if (settings->daemon == LUG_DAEMON_QUEUE_ENTRY)
		return lug_queue_entry_run(settings, lug_main_settings_path(argc, argv),
					   platform_adapter());
	return lug_entry_run(settings, lug_main_settings_path(argc, argv));
}
