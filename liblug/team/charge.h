#ifndef LUG_TEAM_CHARGE_H
#define LUG_TEAM_CHARGE_H

#include "core/json.h"

JsonObject *lug_usage_update(JsonObject *usage, const char *incarnation, JsonObject *meters);
gint64 lug_usage_total(JsonObject *usage, const char *team);
double lug_charge_cost(gint64 core_ms, double price);

#endif
