#include "daemon/entry_priv.h"

#include <string.h>

#include "team/charge.h"
#include "wire/pack.h"

/* Read-only views of workers, services, charges and the deployment; draining of workers. */

static gboolean is_agent_live(const struct lug_entry *entry, const struct lug_agent *agent)
{
	return lug_registry_is_live(entry->registry, agent, lug_now_us());
}

static JsonObject *agent_json(const struct lug_entry *entry, const struct lug_agent *agent)
{
	JsonObject *item = json_object_new();
	JsonArray *queues = json_array_new();

	for (char **p = agent->queues; p && *p; p++)
		json_array_add_string_element(queues, *p);
	json_object_set_string_member(item, "worker", agent->name);
	json_object_set_string_member(item, "region", agent->region);
	json_object_set_string_member(item, "zone", agent->zone);
	json_object_set_string_member(item, "rack", agent->rack);
	json_object_set_string_member(item, "service", agent->service);
	json_object_set_string_member(item, "state",
				      !is_agent_live(entry, agent) ? "silent"
				      : agent->leaving		   ? "leaving"
								   : "live");
	json_object_set_int_member(item, "busy", agent->busy);
	json_object_set_int_member(item, "queued", agent->queued);
	json_object_set_int_member(item, "slots", agent->slots_max);
	json_object_set_int_member(item, "service_us", agent->service_us);
	json_object_set_int_member(item, "tasks", agent->tasks);
	json_object_set_int_member(item, "free_millicores", agent->room.millicores);
	json_object_set_int_member(item, "millicores", agent->capacity.millicores);
	json_object_set_int_member(item, "free_memory", agent->room.memory_bytes);
	json_object_set_int_member(item, "memory", agent->capacity.memory_bytes);
	json_object_set_int_member(item, "free_accelerators", agent->room.accelerators);
	json_object_set_int_member(item, "accelerators", agent->capacity.accelerators);
	json_object_set_int_member(item, "table_version", (gint64)agent->limits_version);
	json_object_set_int_member(item, "lease_epoch", (gint64)agent->worker_epoch);
	json_object_set_array_member(item, "queues", queues);
	return item;
}

static JsonArray *agents_json(const struct lug_entry *entry)
{
	GPtrArray *agents = lug_registry_agents(entry->registry);
	JsonArray *list = json_array_new();

	for (guint i = 0; i < agents->len; i++)
		json_array_add_object_element(list,
					      agent_json(entry, g_ptr_array_index(agents, i)));
	return list;
}

static void drain_worker(struct lug_api_call *api_call, const char *worker, gboolean undo)
{
	struct lug_agent *agent = lug_registry_find(api_call->entry->registry, worker);
	Lug__Drain out = LUG__DRAIN__INIT;
	JsonObject *answer;
	LUG_ENVELOPE(env, DRAIN, drain, &out);

	if (!api_call->is_operator) {
		lug_api_fail(api_call, LUG_DENIED, "use an operator's token",
			     "a team may not drain workers");
		return;
	}
	if (!agent) {
		lug_api_fail(api_call, LUG_NOT_FOUND, "catkinlug worker list shows the workers",
			     "no worker %.60s is known", worker);
		return;
	}
	out.worker = (char *)worker;
	LUG_SET(&out, undo, undo);
	if (!lug_link_send(api_call->entry->link, &agent->route, &env)) {
		lug_api_fail(api_call, LUG_UNAVAILABLE, "try again after a second",
			     "the agent of %s is not connected", worker);
		return;
	}
	answer = json_object_new();
	json_object_set_string_member(answer, "worker", worker);
	json_object_set_string_member(answer, "state", undo ? "returning" : "leaving");
	lug_answer_json(api_call->msg, 202, answer);
	lug_api_end(api_call);
}

/**
 * lug_api_workers - serve /workers, /workers/NAME/drain and /workers/NAME/undrain
 * @api_call: call
 */
void lug_api_workers(struct lug_api_call *api_call)
{
	const char *slash = strchr(api_call->path, '/');
	JsonObject *out;

	if (!*api_call->path && !strcmp(lug_api_method(api_call), "GET")) {
		out = json_object_new();
		json_object_set_array_member(out, "workers", agents_json(api_call->entry));
		lug_answer_json(api_call->msg, 200, out);
		lug_api_end(api_call);
		return;
	}
	if (slash && !strcmp(lug_api_method(api_call), "POST") &&
	    (!strcmp(slash, "/drain") || !strcmp(slash, "/undrain"))) {
		char *name = lug_arena_strdup(api_call->arena, api_call->path);

		name[slash - api_call->path] = '\0';
		drain_worker(api_call, name, !strcmp(slash, "/undrain"));
		return;
	}
	lug_api_fail(api_call, LUG_BAD_INPUT, "use GET /workers or POST /workers/NAME/drain",
		     "the method or path is not accepted");
}

struct service_totals {
	char name[LUG_NAME_MAX + 1];
	gint64 backends;
	gint64 live;
	gint64 leaving;
	gint64 slots;
	gint64 busy;
	gint64 queued;
	gint64 slowest_us;
};

static void add_agent(const struct lug_entry *entry, struct service_totals *sum,
		      const struct lug_agent *agent)
{
	sum->backends++;
	if (!is_agent_live(entry, agent))
		return;
	sum->live++;
	sum->leaving += agent->leaving ? 1 : 0;
	sum->slots += agent->slots_max;
	sum->busy += agent->busy;
	sum->queued += agent->queued;
	sum->slowest_us = MAX(sum->slowest_us, agent->service_us);
}

static JsonObject *totals_json(const struct service_totals *sum)
{
	JsonObject *item = json_object_new();

	json_object_set_string_member(item, "service", sum->name);
	json_object_set_int_member(item, "backends", sum->backends);
	json_object_set_int_member(item, "live", sum->live);
	json_object_set_int_member(item, "leaving", sum->leaving);
	json_object_set_int_member(item, "slots", sum->slots);
	json_object_set_int_member(item, "busy", sum->busy);
	json_object_set_int_member(item, "queued", sum->queued);
	json_object_set_int_member(item, "slowest_us", sum->slowest_us);
	return item;
}

/**
 * lug_api_services - serve /services
 * @api_call: call
 */
void lug_api_services(struct lug_api_call *api_call)
{
	GPtrArray *agents = lug_registry_agents(api_call->entry->registry);
	GHashTable *sums = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
	JsonObject *out = json_object_new();
	JsonArray *list = json_array_new();
	GHashTableIter it;
	gpointer value;

	for (guint i = 0; i < agents->len; i++) {
		const struct lug_agent *agent = g_ptr_array_index(agents, i);
		struct service_totals *sum = g_hash_table_lookup(sums, agent->service);

		if (!sum) {
			sum = g_new0(struct service_totals, 1);
			g_strlcpy(sum->name, agent->service, sizeof(sum->name));
			g_hash_table_insert(sums, sum->name, sum);
		}
		add_agent(api_call->entry, sum, agent);
	}
	g_hash_table_iter_init(&it, sums);
	while (g_hash_table_iter_next(&it, NULL, &value))
		json_array_add_object_element(list, totals_json(value));
	json_object_set_array_member(out, "services", list);
	g_hash_table_unref(sums);
	lug_answer_json(api_call->msg, 200, out);
	lug_api_end(api_call);
}

/*
 * Query for charges. The workers' rows hold the core time of services, the queues' rows that of
 * batch tasks.
 */
struct charge_call {
	struct lug_api_call *api_call;
	GHashTable *service_core_ms;
};

static void add_core_ms(GHashTable *table, const char *team, gint64 core_ms)
{
	gint64 *sum = g_hash_table_lookup(table, team);

	if (!sum) {
		sum = g_new0(gint64, 1);
		g_hash_table_insert(table, g_strdup(team), sum);
	}
	*sum += core_ms;
}

static void add_charge(struct charge_call *charge_call, JsonArray *list,
		       const struct lug_team *team, gint64 batch_core_ms)
{
	gint64 *found = g_hash_table_lookup(charge_call->service_core_ms, team->name);
	gint64 service_core_ms = found ? *found : 0;
	JsonObject *item;

	if (!lug_api_is_authorized(charge_call->api_call, team->name))
		return;
	item = json_object_new();
	json_object_set_string_member(item, "team", team->name);
	json_object_set_int_member(item, "service_core_ms", service_core_ms);
	json_object_set_int_member(item, "batch_core_ms", batch_core_ms);
	json_object_set_double_member(item, "price", team->price);
	json_object_set_double_member(
		item, "charge", lug_charge_cost(service_core_ms + batch_core_ms, team->price));
	json_array_add_object_element(list, item);
}

static void end_charge_error(struct charge_call *charge_call)
{
	lug_api_fail(charge_call->api_call, LUG_UNAVAILABLE, "try again after a second",
		     "the table service does not answer");
	g_hash_table_unref(charge_call->service_core_ms);
	g_free(charge_call);
}

static void on_queue_rows(void *data, enum lug_status status, const struct lug_row *rows,
			  guint n_rows, gboolean more)
{
	struct charge_call *charge_call = data;
	const struct lug_limits *limits = lug_sync_limits(charge_call->api_call->entry->sync);
	JsonObject *out;
	JsonArray *list;

	(void)more;
	if (status != LUG_OK) {
		end_charge_error(charge_call);
		return;
	}
	out = json_object_new();
	list = json_array_new();
	for (guint t = 0; limits && t < limits->teams->len; t++) {
		const struct lug_team *team = &g_array_index(limits->teams, struct lug_team, t);
		gint64 batch_core_ms = 0;

		for (guint i = 0; i < n_rows; i++)
			if (!strcmp(rows[i].key, team->name))
				batch_core_ms = lug_json_int(rows[i].data, "total", 0);
		add_charge(charge_call, list, team, batch_core_ms);
	}
	json_object_set_array_member(out, "charges", list);
	lug_answer_json(charge_call->api_call->msg, 200, out);
	lug_api_end(charge_call->api_call);
	g_hash_table_unref(charge_call->service_core_ms);
	g_free(charge_call);
}

static void add_worker_charges(struct charge_call *charge_call, JsonObject *charges)
{
	JsonObject *teams = lug_json_obj(charges, "teams");
	GList *names = teams ? json_object_get_members(teams) : NULL;

	for (GList *it = names; it; it = it->next)
		add_core_ms(charge_call->service_core_ms, it->data,
			    lug_usage_total(charges, it->data));
	g_list_free(names);
}

static void on_worker_rows(void *data, enum lug_status status, const struct lug_row *rows,
			   guint n_rows, gboolean more)
{
	struct charge_call *charge_call = data;

	(void)more;
	if (status != LUG_OK) {
		end_charge_error(charge_call);
		return;
	}
	for (guint i = 0; i < n_rows; i++)
		add_worker_charges(charge_call, lug_json_obj(rows[i].data, "charges"));
	lug_store_scan_all(charge_call->api_call->entry->store, "queue", "", on_queue_rows,
			   charge_call);
}

/**
 * lug_api_charges - serve /charges
 * @api_call: call
 */
void lug_api_charges(struct lug_api_call *api_call)
{
	struct charge_call *charge_call = g_new0(struct charge_call, 1);

	charge_call->api_call = api_call;
	charge_call->service_core_ms =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	lug_store_scan_all(api_call->entry->store, "worker", "", on_worker_rows, charge_call);
}

static JsonObject *table_version_json(const struct lug_entry *entry, gint64 version)
{
	GPtrArray *agents = lug_registry_agents(entry->registry);
	JsonObject *out = json_object_new();
	JsonArray *lagging = json_array_new();
	gint64 in_force = 0;
	gint64 live = 0;

	for (guint i = 0; i < agents->len; i++) {
		const struct lug_agent *agent = g_ptr_array_index(agents, i);

		if (!is_agent_live(entry, agent))
			continue;
		live++;
		if ((gint64)agent->limits_version >= version)
			in_force++;
		else
			json_array_add_string_element(lagging, agent->name);
	}
	json_object_set_int_member(out, "version", version);
	json_object_set_int_member(out, "in_force", in_force);
	json_object_set_int_member(out, "agents", live);
	json_object_set_array_member(out, "lagging", lagging);
	return out;
}

static JsonArray *owners_json(const struct lug_entry *entry)
{
	const struct lug_limits *limits = lug_sync_limits(entry->sync);
	JsonArray *list = json_array_new();

	for (guint i = 0; limits && i < limits->teams->len; i++) {
		const char *team = g_array_index(limits->teams, struct lug_team, i).name;
		struct lug_agent *owner = lug_registry_owner(entry->registry, team);
		JsonObject *item = json_object_new();

		json_object_set_string_member(item, "queue", team);
		json_object_set_string_member(item, "owner", owner ? owner->name : "");
		json_array_add_object_element(list, item);
	}
	return list;
}

/**
 * lug_api_status - serve /status
 * @api_call: call
 */
void lug_api_status(struct lug_api_call *api_call)
{
	struct lug_entry *entry = api_call->entry;
	const struct lug_limits *limits = lug_sync_limits(entry->sync);
	JsonObject *out = json_object_new();
	JsonArray *entries = json_array_new();

	for (guint i = 0; i < entry->entries->len; i++)
		json_array_add_object_element(
			entries, json_object_ref(g_ptr_array_index(entry->entries, i)));
	json_object_set_string_member(out, "entry", entry->ctx->settings->name);
	json_object_set_boolean_member(out, "store_up",
				       entry->ctx->metrics->gauges[LUG_G_STORE_UP] != 0);
	json_object_set_object_member(out, "table",
				      table_version_json(entry, limits ? limits->version : 0));
	json_object_set_array_member(out, "entries", entries);
	json_object_set_array_member(out, "queues", owners_json(entry));
	json_object_set_array_member(out, "workers", agents_json(entry));
	lug_answer_json(api_call->msg, 200, out);
	lug_api_end(api_call);
}
