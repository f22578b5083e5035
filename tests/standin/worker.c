/*
 * Stand-in for a worker of the platform and its backend server. Tasks and requests take
 * simulated time. The interference between the service and each kind of task is drawn from a
 * seed. Events are appended to a history file; tests/rig/checker.py compares it with the answers to
 * callers and the stored rows.
 */
#include <libsoup/soup.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "core/context.h"
#include "core/json.h"
#include "core/list.h"
#include "http/http.h"
#include "http/listen.h"

#define TICK_MS 10
#define CHECKPOINT_MS 30
#define BODY_BYTES_MAX (4 * 1024 * 1024)

enum sim_state {
	SIM_LOADING,
	SIM_RUNNING,
	SIM_CHECKPOINTING,
	SIM_DONE,
	SIM_FAILED,
	SIM_EVICTED,
};

static const char *const state_names[] = {"running", "running", "running",
					  "done",    "failed",	"evicted"};

struct sim_task {
	struct lug_list node;
	char *job;
	gint64 index;
	gint64 attempt;
	char *queue;
	char *kind;
	gint64 millicores;
	gint64 memory;
	gint64 accelerators;
	gboolean urgent;
	gboolean fails; /* after half of its work */
	double work_ms;
	double progress_ms;
	double used_core_ms;
	enum sim_state state;
	gboolean paused;
	char *checkpoint;
	guint64 seq; /* number of its end */
};

struct worker {
	char *name;
	char *service;
	FILE *history;
	GRand *rng;
	guint32 seed;
	struct lug_http *platform;
	struct lug_list tasks;
	GHashTable *usage_core_ms; /* by team */
	GQueue polls;		   /* calls to /v1/events that wait for an end */
	gint64 millicores;
	gint64 memory;
	gint64 accelerators;
	gint64 service_millicores;
	gint64 base_ms; /* of a request without the parameter ms */
	gint64 slots;	/* concurrent requests at full load of the service */
	guint64 seq;	/* ends of tasks so far */
	gint64 epoch;
	gint64 lease_until_us;
	gint64 throttle_percent; /* share at which all tasks work */
	gint64 last_us;		 /* time of the last tick */
	gint64 active_requests;
	gint64 fail_all;	 /* TRUE: all tasks fail */
	gint64 duration_percent; /* run times, in percent of the normal ones */
	gint64 over_capacity;	 /* starts that exceeded the capacity */
	char incarnation[32];
};

struct poll {
	SoupServerMessage *msg;
	guint64 after; /* number of the last end that the agent knows */
	gint64 until_us;
};

static void write_history(struct worker *w, const char *event, const struct sim_task *task,
			  const char *extra)
{
	if (!w->history)
		return;
	fprintf(w->history,
		"{\"t_us\":%" G_GINT64_FORMAT ",\"worker\":\"%s\",\"event\":\"%s\",\"job\":\"%s\","
		"\"index\":%" G_GINT64_FORMAT ",\"attempt\":%" G_GINT64_FORMAT
		",\"progress_ms\":%" G_GINT64_FORMAT ",\"used_ms\":%" G_GINT64_FORMAT "%s}\n",
		lug_now_us(), w->name, event, task ? task->job : "", task ? task->index : 0,
		task ? task->attempt : 0, task ? (gint64)task->progress_ms : 0,
		task ? (gint64)task->used_core_ms : 0, extra ? extra : "");
	fflush(w->history);
}

/*
 * Interference, from 0 to 1, between the service and tasks of @kind. @salt 1: effect of the tasks
 * on the service; @salt 2: effect of the service on the tasks.
 */
static double interference_factor(const struct worker *w, const char *kind, guint salt)
{
	GRand *rng = g_rand_new_with_seed(w->seed * 31 + g_str_hash(kind) + salt);
	double value = g_rand_double(rng);

	g_rand_free(rng);
	return value;
}

static void send_json(SoupServerMessage *msg, guint http_status, JsonObject *obj)
{
	char *text = lug_json_text(obj);

	soup_server_message_set_status(msg, http_status, NULL);
	soup_server_message_set_response(msg, "application/json", SOUP_MEMORY_TAKE, text,
					 strlen(text));
	json_object_unref(obj);
}

static void send_error(SoupServerMessage *msg, guint http_status, const char *why)
{
	JsonObject *obj = json_object_new();

	json_object_set_string_member(obj, "why", why);
	send_json(msg, http_status, obj);
}

static gboolean is_active(const struct sim_task *task)
{
	return task->state <= SIM_CHECKPOINTING;
}

static void task_free(struct sim_task *task)
{
	lug_list_remove(&task->node);
	g_free(task->job);
	g_free(task->queue);
	g_free(task->kind);
	g_free(task->checkpoint);
	g_free(task);
}

static struct sim_task *find_task(struct worker *w, JsonObject *body)
{
	LUG_LIST_FOREACH (&w->tasks, pos) {
		struct sim_task *task = LUG_CONTAINER_OF(pos, struct sim_task, node);

		if (task->index == lug_json_int(body, "index", -1) &&
		    task->attempt == lug_json_int(body, "attempt", -1) &&
		    !strcmp(task->job, lug_json_str(body, "job", "")))
			return task;
	}
	return NULL;
}

static JsonObject *task_json(const struct sim_task *task)
{
	JsonObject *obj = json_object_new();

	json_object_set_string_member(obj, "job", task->job);
	json_object_set_int_member(obj, "index", task->index);
	json_object_set_int_member(obj, "attempt", task->attempt);
	json_object_set_string_member(obj, "queue", task->queue);
	json_object_set_string_member(obj, "kind", task->kind);
	json_object_set_int_member(obj, "millicores", task->millicores);
	json_object_set_int_member(obj, "memory_bytes", task->memory);
	json_object_set_int_member(obj, "accelerators", task->accelerators);
	json_object_set_boolean_member(obj, "urgent", task->urgent);
	json_object_set_string_member(obj, "state", state_names[task->state]);
	json_object_set_int_member(obj, "used_ms", (gint64)task->used_core_ms);
	json_object_set_string_member(
		obj, "checkpoint",
		task->state == SIM_EVICTED && task->checkpoint ? task->checkpoint : "");
	return obj;
}

/* Sends the ends after number @after, the names of all tasks and the usage by team. */
static void send_events(struct worker *w, SoupServerMessage *msg, guint64 after)
{
	JsonObject *out = json_object_new();
	JsonObject *usage_core_ms = json_object_new();
	JsonArray *events = json_array_new();
	JsonArray *names = json_array_new();
	GHashTableIter it;
	gpointer key;
	gpointer value;

	LUG_LIST_FOREACH (&w->tasks, pos) {
		struct sim_task *task = LUG_CONTAINER_OF(pos, struct sim_task, node);
		char *name = g_strdup_printf("%s/%" G_GINT64_FORMAT "/%" G_GINT64_FORMAT, task->job,
					     task->index, task->attempt);

		json_array_add_string_element(names, name);
		g_free(name);
		if (!is_active(task) && task->seq > after)
			json_array_add_object_element(events, task_json(task));
	}
	g_hash_table_iter_init(&it, w->usage_core_ms);
	while (g_hash_table_iter_next(&it, &key, &value))
		json_object_set_int_member(usage_core_ms, key, (gint64) * (double *)value);
	json_object_set_string_member(out, "boot", w->incarnation);
	json_object_set_int_member(out, "seq", (gint64)w->seq);
	json_object_set_array_member(out, "events", events);
	json_object_set_array_member(out, "tasks", names);
	json_object_set_object_member(out, "meters", usage_core_ms);
	send_json(msg, 200, out);
}

/* Answers all polls if @all is TRUE, else only those whose waiting time is over. */
static void answer_polls(struct worker *w, gboolean all)
{
	gint64 now_us = lug_now_us();

	for (guint n = g_queue_get_length(&w->polls); n > 0; n--) {
		struct poll *poll = g_queue_pop_head(&w->polls);

		if (!all && now_us < poll->until_us) {
			g_queue_push_tail(&w->polls, poll);
			continue;
		}
		send_events(w, poll->msg, poll->after);
		soup_server_message_unpause(poll->msg);
		g_object_unref(poll->msg);
		g_free(poll);
	}
}

static void end_task(struct worker *w, struct sim_task *task, enum sim_state state)
{
	task->state = state;
	task->seq = ++w->seq;
	write_history(w, state_names[state], task, NULL);
	answer_polls(w, TRUE);
}

static gboolean is_lease_valid(const struct worker *w)
{
	return w->lease_until_us > lug_now_us();
}

static void add_usage(struct worker *w, const char *team, double ms)
{
	double *sum = g_hash_table_lookup(w->usage_core_ms, team);

	if (!sum) {
		sum = g_new0(double, 1);
		g_hash_table_insert(w->usage_core_ms, g_strdup(team), sum);
	}
	*sum += ms;
}

static void check_capacity(struct worker *w)
{
	gint64 millicores = w->service_millicores;
	gint64 memory = 0;
	gint64 accelerators = 0;

	LUG_LIST_FOREACH (&w->tasks, pos) {
		struct sim_task *task = LUG_CONTAINER_OF(pos, struct sim_task, node);

		if (!is_active(task))
			continue;
		millicores += task->millicores;
		memory += task->memory;
		accelerators += task->accelerators;
	}
	if (millicores <= w->millicores && memory <= w->memory && accelerators <= w->accelerators)
		return;
	w->over_capacity++;
	write_history(w, "over_capacity", NULL, NULL);
}

static void read_payload(struct sim_task *task, const char *payload)
{
	JsonObject *obj = lug_json_parse(payload, -1, NULL);

	task->work_ms = 1000;
	if (!obj)
		return;
	task->work_ms = (double)lug_json_int(obj, "work_ms", 1000);
	task->fails = lug_json_bool(obj, "fail", FALSE);
	json_object_unref(obj);
}

static void on_checkpoint_read(void *data, const struct lug_http_answer *answer)
{
	struct sim_task *task = data;
	char *text = g_strndup(answer->body, answer->len);

	if (answer->http_status == 200)
		task->progress_ms = g_ascii_strtod(text, NULL);
	g_free(text);
	/* Without its checkpoint, the attempt would start from the beginning, so it fails. */
	if (task->state == SIM_LOADING) {
		task->state = SIM_RUNNING;
		task->fails = task->fails || answer->http_status != 200;
	}
}

static void load_checkpoint(struct worker *w, struct sim_task *task)
{
	char *path = g_strconcat("/v1/object/", task->checkpoint, NULL);
	struct lug_http_request call = {.method = "GET", .path = path, .timeout_ms = 5000};

	task->state = SIM_LOADING;
	lug_http_send(w->platform, &call, on_checkpoint_read, task);
	g_free(path);
}

static void serve_start(struct worker *w, SoupServerMessage *msg, JsonObject *body)
{
	const char *checkpoint = lug_json_str(body, "checkpoint", "");
	struct sim_task *task;

	if (lug_json_int(body, "epoch", 0) != w->epoch || !is_lease_valid(w)) {
		send_error(msg, 409, "no valid lease of this epoch");
		return;
	}
	if (find_task(w, body)) {
		send_json(msg, 200, json_object_new());
		return;
	}
	task = g_new0(struct sim_task, 1);
	task->job = g_strdup(lug_json_str(body, "job", ""));
	task->index = lug_json_int(body, "index", 0);
	task->attempt = lug_json_int(body, "attempt", 0);
	task->queue = g_strdup(lug_json_str(body, "queue", ""));
	task->kind = g_strdup(lug_json_str(body, "kind", ""));
	task->millicores = lug_json_int(body, "millicores", 0);
	task->memory = lug_json_int(body, "memory_bytes", 0);
	task->accelerators = lug_json_int(body, "accelerators", 0);
	task->urgent = lug_json_bool(body, "urgent", FALSE);
	read_payload(task, lug_json_str(body, "payload", ""));
	task->state = SIM_RUNNING;
	lug_list_append(&w->tasks, &task->node);
	w->throttle_percent = lug_json_int(body, "percent", w->throttle_percent);
	if (*checkpoint) {
		task->checkpoint = g_strdup(checkpoint);
		load_checkpoint(w, task);
	}
	write_history(w, "start", task, NULL);
	check_capacity(w);
	send_json(msg, 200, json_object_new());
}

struct checkpoint_write {
	struct worker *w;
	JsonObject *stop_request; /* names the task */
	char *name;
};

static void on_checkpoint_written(void *data, const struct lug_http_answer *answer)
{
	struct checkpoint_write *ckpt = data;
	struct sim_task *task = find_task(ckpt->w, ckpt->stop_request);

	if (task && task->state == SIM_CHECKPOINTING) {
		if (answer->http_status == 200) {
			g_free(task->checkpoint);
			task->checkpoint = g_strdup(ckpt->name);
			end_task(ckpt->w, task, SIM_EVICTED);
		} else {
			/* The task keeps running; the agent resends the stop. */
			task->state = SIM_RUNNING;
		}
	}
	json_object_unref(ckpt->stop_request);
	g_free(ckpt->name);
	g_free(ckpt);
}

static gboolean write_checkpoint(gpointer data)
{
	struct checkpoint_write *ckpt = data;
	struct sim_task *task = find_task(ckpt->w, ckpt->stop_request);
	char *path = g_strconcat("/v1/object/", ckpt->name, NULL);
	char *text = g_strdup_printf("%.0f", task ? task->progress_ms : 0);
	struct lug_http_request call = {.method = "PUT",
					.path = path,
					.content_type = "text/plain",
					.body = text,
					.len = strlen(text),
					.timeout_ms = 3000};

	lug_http_send(ckpt->w->platform, &call, on_checkpoint_written, ckpt);
	g_free(path);
	g_free(text);
	return G_SOURCE_REMOVE;
}

static void serve_stop(struct worker *w, SoupServerMessage *msg, JsonObject *body)
{
	struct sim_task *task = find_task(w, body);
	struct checkpoint_write *ckpt;

	if (lug_json_int(body, "epoch", 0) < w->epoch) {
		send_error(msg, 409, "an older epoch");
		return;
	}
	if (!task) {
		send_error(msg, 404, "no such attempt");
		return;
	}
	send_json(msg, 200, json_object_new());
	if (task->state != SIM_RUNNING)
		return;
	if (!lug_json_bool(body, "checkpoint", FALSE)) {
		g_clear_pointer(&task->checkpoint, g_free);
		end_task(w, task, SIM_EVICTED);
		return;
	}
	task->state = SIM_CHECKPOINTING;
	ckpt = g_new0(struct checkpoint_write, 1);
	ckpt->w = w;
	ckpt->stop_request = json_object_ref(body);
	ckpt->name = g_strdup_printf("ckpt/%s/%" G_GINT64_FORMAT "/%" G_GINT64_FORMAT, task->job,
				     task->index, task->attempt);
	g_timeout_add(CHECKPOINT_MS, write_checkpoint, ckpt);
}

static void serve_ack(struct worker *w, SoupServerMessage *msg, JsonObject *body)
{
	struct sim_task *task = find_task(w, body);

	if (task && !is_active(task))
		task_free(task);
	send_json(msg, 200, json_object_new());
}

static void serve_lease(struct worker *w, SoupServerMessage *msg, JsonObject *body)
{
	gint64 epoch = lug_json_int(body, "epoch", 0);

	if (epoch < w->epoch) {
		send_error(msg, 409, "an older epoch");
		return;
	}
	/* The lease of an earlier epoch does not count. */
	if (epoch > w->epoch)
		w->lease_until_us = 0;
	w->epoch = epoch;
	w->lease_until_us = MAX(w->lease_until_us, lug_json_int(body, "until_us", 0));
	send_json(msg, 200, json_object_new());
}

static void serve_kill(struct worker *w, SoupServerMessage *msg, JsonObject *body)
{
	if (lug_json_int(body, "epoch", 0) < w->epoch) {
		send_error(msg, 409, "an older epoch");
		return;
	}
	w->lease_until_us = 0;
	w->epoch = lug_json_int(body, "epoch", 0);
	LUG_LIST_FOREACH_SAFE (&w->tasks, pos, tmp) {
		struct sim_task *task = LUG_CONTAINER_OF(pos, struct sim_task, node);

		/* A task in SIM_LOADING is not freed: its pending checkpoint read refers to it. */
		if (is_active(task))
			write_history(w, "killed", task, NULL);
		if (task->state == SIM_LOADING) {
			task->state = SIM_FAILED;
			continue;
		}
		task_free(task);
	}
	send_json(msg, 200, json_object_new());
}

static void serve_state(struct worker *w, SoupServerMessage *msg)
{
	JsonObject *out = json_object_new();
	JsonArray *tasks = json_array_new();

	LUG_LIST_FOREACH (&w->tasks, pos)
		json_array_add_object_element(
			tasks, task_json(LUG_CONTAINER_OF(pos, struct sim_task, node)));
	json_object_set_string_member(out, "boot", w->incarnation);
	json_object_set_int_member(out, "millicores", w->millicores);
	json_object_set_int_member(out, "memory_bytes", w->memory);
	json_object_set_int_member(out, "accelerators", w->accelerators);
	json_object_set_int_member(out, "over_capacity", w->over_capacity);
	json_object_set_array_member(out, "tasks", tasks);
	send_json(msg, 200, out);
}

static void serve_events(struct worker *w, SoupServerMessage *msg, GHashTable *query)
{
	const char *after = query ? g_hash_table_lookup(query, "after") : NULL;
	const char *wait = query ? g_hash_table_lookup(query, "wait_ms") : NULL;
	guint64 seq = after ? g_ascii_strtoull(after, NULL, 10) : 0;
	gint64 wait_ms = wait ? g_ascii_strtoll(wait, NULL, 10) : 0;
	struct poll *poll;

	if (seq < w->seq || wait_ms <= 0) {
		send_events(w, msg, seq);
		return;
	}
	poll = g_new0(struct poll, 1);
	poll->msg = g_object_ref(msg);
	poll->after = seq;
	poll->until_us = lug_now_us() + wait_ms * 1000;
	soup_server_message_pause(msg);
	g_queue_push_tail(&w->polls, poll);
}

static void serve_control(struct worker *w, SoupServerMessage *msg, JsonObject *body)
{
	JsonObject *out = json_object_new();
	JsonObject *usage_core_ms = json_object_new();
	GHashTableIter it;
	gpointer key;
	gpointer value;

	w->fail_all = lug_json_int(body, "fail_all", w->fail_all);
	w->duration_percent = lug_json_int(body, "slow_percent", w->duration_percent);
	g_hash_table_iter_init(&it, w->usage_core_ms);
	while (g_hash_table_iter_next(&it, &key, &value))
		json_object_set_int_member(usage_core_ms, key, (gint64) * (double *)value);
	json_object_set_object_member(out, "meters", usage_core_ms);
	json_object_set_int_member(out, "over_capacity", w->over_capacity);
	send_json(msg, 200, out);
}

static void on_request(SoupServer *server, SoupServerMessage *msg, const char *path,
		       GHashTable *query, gpointer data)
{
	struct worker *w = data;
	SoupMessageBody *in = soup_server_message_get_request_body(msg);
	JsonObject *body =
		lug_json_parse(in->length ? in->data : "{}", in->length ? in->length : 2, NULL);

	(void)server;
	if (!body) {
		send_error(msg, 400, "not JSON");
		return;
	}
	if (!strcmp(path, "/v1/state"))
		serve_state(w, msg);
	else if (!strcmp(path, "/v1/events"))
		serve_events(w, msg, query);
	else if (!strcmp(path, "/v1/start"))
		serve_start(w, msg, body);
	else if (!strcmp(path, "/v1/stop"))
		serve_stop(w, msg, body);
	else if (!strcmp(path, "/v1/ack"))
		serve_ack(w, msg, body);
	else if (!strcmp(path, "/v1/lease"))
		serve_lease(w, msg, body);
	else if (!strcmp(path, "/v1/kill"))
		serve_kill(w, msg, body);
	else if (!strcmp(path, "/v1/throttle")) {
		w->throttle_percent = lug_json_int(body, "percent", 100);
		send_json(msg, 200, json_object_new());
	} else if (!strcmp(path, "/control"))
		serve_control(w, msg, body);
	else
		send_error(msg, 404, "no such path");
	json_object_unref(body);
}

/* Backend server */

struct request {
	struct worker *w;
	SoupServerMessage *msg;
	char *team;
	gint64 ms;
};

static double service_slowdown(struct worker *w)
{
	double sum = 0;

	LUG_LIST_FOREACH (&w->tasks, pos) {
		struct sim_task *task = LUG_CONTAINER_OF(pos, struct sim_task, node);
		double cores = (double)task->millicores / 1000;

		if (task->state == SIM_RUNNING && is_lease_valid(w))
			sum += interference_factor(w, task->kind, 1) * cores *
			       (double)w->throttle_percent / 100;
	}
	/* A worker full of the most interfering tasks triples the service's run times. */
	return 1 + 2 * sum / ((double)w->millicores / 1000);
}

static gboolean finish_request(gpointer data)
{
	struct request *req = data;

	req->w->active_requests--;
	add_usage(req->w, req->team, (double)req->ms);
	soup_server_message_unpause(req->msg);
	g_object_unref(req->msg);
	g_free(req->team);
	g_free(req);
	return G_SOURCE_REMOVE;
}

static void set_answer(struct worker *w, SoupServerMessage *msg, const char *path, const char *id)
{
	SoupMessageBody *in = soup_server_message_get_request_body(msg);
	char *digest = g_compute_checksum_for_data(
		G_CHECKSUM_SHA256, in->length ? (const guchar *)in->data : (const guchar *)"",
		(gsize)in->length);
	GString *text = g_string_new(NULL);

	g_string_printf(
		text,
		"{\"worker\":\"%s\",\"path\":\"%s\",\"request\":\"%s\",\"bytes\":%" G_GINT64_FORMAT
		",\"sha256\":\"%s\"}",
		w->name, path, id, (gint64)in->length, digest);
	soup_server_message_set_status(msg, 200, NULL);
	soup_server_message_set_response(msg, "application/json", SOUP_MEMORY_COPY, text->str,
					 text->len);
	g_string_free(text, TRUE);
	g_free(digest);
}

static void on_backend_request(SoupServer *server, SoupServerMessage *msg, const char *path,
			       GHashTable *query, gpointer data)
{
	struct worker *w = data;
	SoupMessageHeaders *headers = soup_server_message_get_request_headers(msg);
	const char *id = soup_message_headers_get_one(headers, "X-Request-Id");
	const char *team = soup_message_headers_get_one(headers, "X-Team");
	const char *ms_text = query ? g_hash_table_lookup(query, "ms") : NULL;
	const char *key = query ? g_hash_table_lookup(query, "key") : NULL;
	double service_ms = ms_text ? g_ascii_strtod(ms_text, NULL) : (double)w->base_ms;
	char *extra =
		g_strdup_printf(",\"request\":\"%s\",\"key\":\"%s\"", id ? id : "", key ? key : "");
	struct request *req = g_new0(struct request, 1);

	(void)server;
	write_history(w, "request", NULL, extra);
	g_free(extra);
	set_answer(w, msg, path, id ? id : "");
	req->w = w;
	req->msg = g_object_ref(msg);
	req->team = g_strdup(team ? team : "");
	req->ms = (gint64)(service_ms * service_slowdown(w) * (double)w->duration_percent / 100 *
			   g_rand_double_range(w->rng, 0.8, 1.2));
	w->active_requests++;
	soup_server_message_pause(msg);
	g_timeout_add((guint)MAX(req->ms, 0), finish_request, req);
}

static void run_task(struct worker *w, struct sim_task *task, double ms)
{
	double service_load = (double)w->active_requests / (double)MAX(w->slots, 1);
	double slowdown = 1 + interference_factor(w, task->kind, 2) * service_load;
	double share_ms = ms * (double)w->throttle_percent / 100;

	task->progress_ms += share_ms / slowdown * 100 / (double)w->duration_percent;
	task->used_core_ms += share_ms * (double)task->millicores / 1000;
	if (w->fail_all || (task->fails && task->progress_ms >= task->work_ms / 2))
		end_task(w, task, SIM_FAILED);
	else if (task->progress_ms >= task->work_ms)
		end_task(w, task, SIM_DONE);
}

static gboolean on_tick(gpointer data)
{
	struct worker *w = data;
	gint64 now_us = lug_now_us();
	double ms = (double)(now_us - w->last_us) / 1000;
	gboolean valid = is_lease_valid(w);

	/* If the lease expired since the last tick, count the time up to its expiry. */
	if (w->lease_until_us < now_us && w->lease_until_us > w->last_us)
		ms = (double)(w->lease_until_us - w->last_us) / 1000;
	LUG_LIST_FOREACH_SAFE (&w->tasks, pos, tmp) {
		struct sim_task *task = LUG_CONTAINER_OF(pos, struct sim_task, node);
		char extra[48];

		if (task->state != SIM_RUNNING)
			continue;
		/* A task is paused while the lease is not valid; record each change. */
		if (task->paused == valid) {
			task->paused = !valid;
			g_snprintf(extra, sizeof(extra), ",\"at_us\":%" G_GINT64_FORMAT,
				   valid ? now_us : MIN(w->lease_until_us, now_us));
			write_history(w, valid ? "resumed" : "paused", task, extra);
		}
		if (valid)
			run_task(w, task, ms);
	}
	w->last_us = now_us;
	answer_polls(w, FALSE);
	return G_SOURCE_CONTINUE;
}

static gboolean start_server(const char *address, SoupServerCallback fn, struct worker *w)
{
	SoupServer *server = soup_server_new(NULL, NULL);

	soup_server_add_handler(server, NULL, fn, w, NULL);
	return lug_listen(server, address, NULL);
}

static void read_config(struct worker *w, JsonObject *config)
{
	const char *path = lug_json_str(config, "history", "");

	w->name = g_strdup(lug_json_str(config, "name", "worker"));
	w->seed = (guint32)lug_json_int(config, "seed", 1);
	w->rng = g_rand_new_with_seed(w->seed + g_str_hash(w->name));
	w->millicores = lug_json_int(config, "millicores", 16000);
	w->memory = lug_json_int(config, "memory_bytes", 60LL << 30);
	w->accelerators = lug_json_int(config, "accelerators", 0);
	w->service_millicores = lug_json_int(config, "service_millicores", 4000);
	w->base_ms = lug_json_int(config, "base_ms", 10);
	w->slots = lug_json_int(config, "slots", 8);
	w->throttle_percent = 100;
	w->duration_percent = 100;
	w->platform =
		lug_http_new(lug_json_str(config, "platform", "http://127.0.0.1:1"), NULL, NULL);
	w->usage_core_ms = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	w->history = *path ? fopen(path, "a") : NULL;
	w->last_us = lug_now_us();
	g_snprintf(w->incarnation, sizeof(w->incarnation), "%" G_GINT64_MODIFIER "x",
		   g_get_real_time());
	lug_list_init(&w->tasks);
	g_queue_init(&w->polls);
	write_history(w, "boot", NULL, NULL);
}

int main(int argc, char **argv)
{
	struct worker w = {0};
	JsonObject *config = argc == 2 ? lug_json_parse(argv[1], -1, NULL) : NULL;

	if (!config) {
		g_printerr("usage: standin-worker JSON\n");
		return 2;
	}
	read_config(&w, config);
	if (!start_server(lug_json_str(config, "listen", ""), on_request, &w) ||
	    !start_server(lug_json_str(config, "backend", ""), on_backend_request, &w)) {
		g_printerr("standin-worker: an address can't be bound\n");
		return 1;
	}
	g_timeout_add(TICK_MS, on_tick, &w);
	g_main_loop_run(g_main_loop_new(NULL, FALSE));
	return 0;
}
