#include "team/charge.h"

#include <string.h>

#define MS_PER_HOUR (3600.0 * 1000)

/*
 * The worker's meters count the core-milliseconds of each team since the worker started. Usage
 * is the total of core-milliseconds, stored with the reading of the meters that it includes:
 * {"boot": B, "teams": {T: {"total_ms": n, "meter_ms": m}}}, where B is the worker's incarnation.
 * A meter only rises within one incarnation, so applying a reading twice adds nothing, and a
 * restart of the agent loses nothing.
 */

static void update_team(JsonObject *teams, const char *team, gint64 meter_core_ms,
			gboolean same_incarnation)
{
	JsonObject *old = lug_json_obj(teams, team);
	gint64 total_core_ms = lug_json_int(old, "total_ms", 0);
	gint64 last_core_ms = same_incarnation ? lug_json_int(old, "meter_ms", 0) : 0;
	JsonObject *next = json_object_new();

	json_object_set_int_member(next, "total_ms",
				   total_core_ms + MAX(meter_core_ms - last_core_ms, 0));
	json_object_set_int_member(next, "meter_ms", meter_core_ms);
	json_object_set_object_member(teams, team, next);
}

static JsonObject *copy_teams(JsonObject *usage, gboolean same_incarnation)
{
	JsonObject *from = lug_json_obj(usage, "teams");
	JsonObject *teams = json_object_new();
	GList *names = from ? json_object_get_members(from) : NULL;

	for (GList *it = names; it; it = it->next) {
		JsonObject *old = lug_json_obj(from, it->data);
		JsonObject *copy = json_object_new();

		json_object_set_int_member(copy, "total_ms", lug_json_int(old, "total_ms", 0));
		json_object_set_int_member(copy, "meter_ms",
					   same_incarnation ? lug_json_int(old, "meter_ms", 0) : 0);
		json_object_set_object_member(teams, it->data, copy);
	}
	g_list_free(names);
	return teams;
}

/**
 * lug_usage_update - add a reading of a worker's meters to the usage
 * @usage: usage by team so far, NULL for none
 * @incarnation: incarnation of the worker that the reading belongs to
 * @meters: core-milliseconds by team since that incarnation began
 *
 * Return: the new usage, owned by the caller.
 */
JsonObject *lug_usage_update(JsonObject *usage, const char *incarnation, JsonObject *meters)
{
	gboolean same_incarnation = !g_strcmp0(lug_json_str(usage, "boot", NULL), incarnation);
	JsonObject *teams = copy_teams(usage, same_incarnation);
	JsonObject *out = json_object_new();
	GList *names = json_object_get_members(meters);

	for (GList *it = names; it; it = it->next)
		update_team(teams, it->data, lug_json_int(meters, it->data, 0), same_incarnation);
	g_list_free(names);
	json_object_set_string_member(out, "boot", incarnation ? incarnation : "");
	json_object_set_object_member(out, "teams", teams);
	return out;
}

/**
 * lug_usage_total - core-milliseconds used by a team
 * @usage: usage, may be NULL
 * @team: team
 *
 * Return: core-milliseconds, 0 for an unknown team.
 */
gint64 lug_usage_total(JsonObject *usage, const char *team)
{
	JsonObject *teams = lug_json_obj(usage, "teams");

	return lug_json_int(teams ? lug_json_obj(teams, team) : NULL, "total_ms", 0);
}

/**
 * lug_charge_cost - charge, in money, for an amount of usage
 * @core_ms: core-milliseconds
 * @price: price of a core-hour
 */
double lug_charge_cost(gint64 core_ms, double price)
{
	return (double)core_ms / MS_PER_HOUR * price;
}
