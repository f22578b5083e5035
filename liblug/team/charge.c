#include "team/charge.h"

#include <string.h>

#define MS_PER_HOUR (3600.0 * 1000)

/*
 * Charges of service use are kept beside the reading of the worker's meter from
 * which they were made: {"boot": B, "teams": {T: {"total_ms": n, "meter_ms": m}}}.
 * The meter only rises within one boot of the worker, so a reading that is taken in
 * twice, or after a restart of the agent, adds nothing twice and loses nothing.
 */

static void update_team(JsonObject *teams, const char *team, gint64 meter_ms, gboolean same_boot)
{
	JsonObject *old = lug_json_obj(teams, team);
	gint64 total = lug_json_int(old, "total_ms", 0);
	gint64 before = same_boot ? lug_json_int(old, "meter_ms", 0) : 0;
	JsonObject *next = json_object_new();

	json_object_set_int_member(next, "total_ms", total + MAX(meter_ms - before, 0));
	json_object_set_int_member(next, "meter_ms", meter_ms);
	json_object_set_object_member(teams, team, next);
}

static JsonObject *copy_teams(JsonObject *charges, gboolean same_boot)
{
	JsonObject *from = lug_json_obj(charges, "teams");
	JsonObject *teams = json_object_new();
	GList *names = from ? json_object_get_members(from) : NULL;

	for (GList *it = names; it; it = it->next) {
		JsonObject *old = lug_json_obj(from, it->data);
		JsonObject *copy = json_object_new();

		json_object_set_int_member(copy, "total_ms", lug_json_int(old, "total_ms", 0));
		json_object_set_int_member(copy, "meter_ms",
					   same_boot ? lug_json_int(old, "meter_ms", 0) : 0);
		json_object_set_object_member(teams, it->data, copy);
	}
	g_list_free(names);
	return teams;
}

/**
 * lug_charge_update - take in a reading of a worker's meters
 * @charges: charges so far, NULL for none
 * @boot: start of the worker that the reading belongs to
 * @meters: core-milliseconds by team since that start
 *
 * Return: new charges, owned by the caller.
 */
JsonObject *lug_charge_update(JsonObject *charges, const char *boot, JsonObject *meters)
{
	gboolean same_boot = !g_strcmp0(lug_json_str(charges, "boot", NULL), boot);
	JsonObject *teams = copy_teams(charges, same_boot);
	JsonObject *out = json_object_new();
	GList *names = json_object_get_members(meters);

	for (GList *it = names; it; it = it->next)
		update_team(teams, it->data, lug_json_int(meters, it->data, 0), same_boot);
	g_list_free(names);
	json_object_set_string_member(out, "boot", boot ? boot : "");
	json_object_set_object_member(out, "teams", teams);
	return out;
}

/**
 * lug_charge_total - charged use of a team
 * @charges: charges, may be NULL
 * @team: team
 *
 * Return: core-milliseconds.
 */
gint64 lug_charge_total(JsonObject *charges, const char *team)
{
	JsonObject *teams = lug_json_obj(charges, "teams");

	return lug_json_int(teams ? lug_json_obj(teams, team) : NULL, "total_ms", 0);
}

/**
 * lug_charge_cost - price of an amount of use
 * @core_ms: core-milliseconds
 * @price: price of a core-hour
 */
double lug_charge_cost(gint64 core_ms, double price)
{
	return (double)core_ms / MS_PER_HOUR * price;
}
