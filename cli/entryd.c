#include "daemon/entry.h"
#include "daemon/main.h"

int main(int argc, char **argv)
{
	struct lug_settings *settings;
	int code;

	settings = lug_main_settings(argc, argv, "catkinlug-entryd", LUG_DAEMON_ENTRY, &code);
	if (!settings)
		return code;
	return lug_entry_run(settings, lug_main_path(argc, argv));
}
