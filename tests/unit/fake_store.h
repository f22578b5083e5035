#ifndef LUG_TESTS_FAKE_STORE_H
#define LUG_TESTS_FAKE_STORE_H

#include <deque>
#include <functional>
#include <map>
#include <string>
#include <vector>

extern "C" {
#include "store/writer.h"
#include "store/store.h"
}

/* An in-memory table service. Each call stays in @calls until the test answers it. */
struct FakeStore {
	struct lug_store base;
	struct Row {
		std::string data;
		gint64 version;
	};
	struct Call {
		std::vector<lug_check> checks;
		std::vector<std::pair<std::string, std::string>> puts;
		std::vector<std::string> deletes;
		std::vector<std::string> check_keys;
		std::string prefix;
		std::string after;
		guint limit;
		lug_txn_fn txn_fn;
		lug_scan_fn scan_fn;
		void *data;
		struct lug_store *caller;
	};
	std::map<std::string, Row> rows;
	std::deque<Call> calls;
	gint64 revision = 0;
	int commits = 0;
	/* Largest value that is stored. */
	size_t row_max_bytes = 65536;
	int refused_for_size = 0;
	/* settle() leaves all calls open. */
	bool is_silent = false;
	/* Steady clock in the answers, 0 for none. */
	gint64 clock_ms = 0;

	FakeStore()
	{
		static const struct lug_store_ops ops = {txn, scan, free_root, make_partition,
							 watch};

		base.ops = &ops;
		base.version = 0;
		base.skipped = 0;
		base.unsent = FALSE;
		base.clock_ms = 0;
		base.clock_asked_us = 0;
	}

	/* A client of one partition. Its rows have the keys PART|TABLE/KEY in FakeStore::rows. */
	struct Partition {
		struct lug_store base;
		FakeStore *root;
		std::string name;
	};

	static void free_root(struct lug_store *store)
	{
		(void)store;
	}

	static void free_partition(struct lug_store *store)
	{
		delete reinterpret_cast<Partition *>(store);
	}

	static struct lug_store *make_partition(struct lug_store *store, const char *name)
	{
		static const struct lug_store_ops ops = {partition_txn, partition_scan,
							 free_partition, nullptr, nullptr};
		Partition *partition = new Partition{
			{&ops, 0, 0, FALSE, 0, 0}, reinterpret_cast<FakeStore *>(store), name};

		return &partition->base;
	}

	static void partition_txn(struct lug_store *store, const struct lug_txn *txn, lug_txn_fn fn,
				  void *data)
	{
		Partition *partition = reinterpret_cast<Partition *>(store);

		partition->root->current_partition = partition->name;
		FakeStore::txn(&partition->root->base, txn, fn, data);
		partition->root->calls.back().caller = store;
		partition->root->current_partition.clear();
	}

	static void partition_scan(struct lug_store *store, const char *table, const char *prefix,
				   const char *after, guint limit, lug_scan_fn fn, void *data)
	{
		Partition *partition = reinterpret_cast<Partition *>(store);

		partition->root->current_partition = partition->name;
		scan(&partition->root->base, table, prefix, after, limit, fn, data);
		partition->root->calls.back().caller = store;
		partition->root->current_partition.clear();
	}

	/* A watch stays open until the test answers it. */
	struct Watch {
		std::string table;
		gint64 after;
		lug_watch_fn fn;
		void *data;
	};
	std::deque<Watch> watches;
	/* Name of the partition during a call of its client, else empty. */
	std::string current_partition;

	static void watch(struct lug_store *store, const char *table, gint64 after, gint64 wait_ms,
			  lug_watch_fn fn, void *data)
	{
		(void)wait_ms;
		reinterpret_cast<FakeStore *>(store)->watches.push_back({table, after, fn, data});
	}

	std::string qualified_row_key(const char *table, const char *key) const
	{
		return (current_partition.empty() ? "" : current_partition + "|") +
		       row_key(table, key);
	}

	static std::string row_key(const char *table, const char *key)
	{
		return std::string(table) + "/" + key;
	}

	static void txn(struct lug_store *store, const struct lug_txn *txn, lug_txn_fn fn,
			void *data)
	{
		FakeStore *self = reinterpret_cast<FakeStore *>(store);
		Call call = {};

		for (guint i = 0; i < txn->checks->len; i++) {
			const struct lug_check *check =
				&g_array_index(txn->checks, struct lug_check, i);

			call.checks.push_back(*check);
			call.check_keys.push_back(
				self->qualified_row_key(check->table, check->key));
		}
		for (guint i = 0; i < txn->puts->len; i++) {
			const struct lug_put *put = &g_array_index(txn->puts, struct lug_put, i);

			if (put->data)
				call.puts.emplace_back(
					self->qualified_row_key(put->table, put->key), put->data);
			else
				call.deletes.push_back(
					self->qualified_row_key(put->table, put->key));
		}
		call.txn_fn = fn;
		call.data = data;
		self->calls.push_back(call);
	}

	static void scan(struct lug_store *store, const char *table, const char *prefix,
			 const char *after, guint limit, lug_scan_fn fn, void *data)
	{
		FakeStore *self = reinterpret_cast<FakeStore *>(store);
		Call call = {};

		call.prefix = self->qualified_row_key(table, prefix);
		call.after = after ? self->qualified_row_key(table, after) : "";
		/* The platform returns at most 500 rows. */
		call.limit = MIN(limit, 500u);
		call.scan_fn = fn;
		call.data = data;
		self->calls.push_back(call);
	}

	gint64 version(const std::string &key) const
	{
		auto it = rows.find(key);

		return it == rows.end() ? 0 : it->second.version;
	}

	void put(const std::string &key, const std::string &data)
	{
		rows[key] = Row{data, ++revision};
	}

	/* Applies a transaction if all checks hold. Returns the indices of failed checks. */
	std::vector<guint> apply(const Call &call)
	{
		std::vector<guint> failed;

		for (size_t i = 0; i < call.checks.size(); i++)
			if (version(call.check_keys[i]) != call.checks[i].version)
				failed.push_back(static_cast<guint>(i));
		if (!failed.empty())
			return failed;
		revision++;
		commits++;
		for (const auto &put : call.puts)
			rows[put.first] = Row{put.second, revision};
		for (const auto &key : call.deletes)
			rows.erase(key);
		return failed;
	}

	/* Removes the oldest call, which the test then answers. */
	Call take()
	{
		Call call = calls.front();

		calls.pop_front();
		return call;
	}

	bool is_too_large(const Call &call) const
	{
		for (const auto &put : call.puts)
			if (put.second.size() > row_max_bytes)
				return true;
		return false;
	}

	/* Gives the clock to the client of a call whose answer comes now. */
	void tell_clock(const Call &call) const
	{
		if (!call.caller)
			return;
		call.caller->clock_ms = clock_ms;
		call.caller->clock_asked_us = lug_now_us();
	}

	void answer_txn(const Call &call)
	{
		tell_clock(call);
		if (is_too_large(call)) {
			struct lug_txn_result refusal = {LUG_BAD_INPUT, 0, nullptr, 0};

			refused_for_size++;
			call.txn_fn(call.data, &refusal);
			return;
		}

		std::vector<guint> failed = apply(call);
		struct lug_txn_result result = {failed.empty() ? LUG_OK : LUG_CONFLICT, revision,
						failed.data(), static_cast<guint>(failed.size())};

		call.txn_fn(call.data, &result);
	}

	/* Completes a transaction with an unknown outcome. The test may have applied it before. */
	static void answer_lost(const Call &call)
	{
		struct lug_txn_result result = {LUG_UNKNOWN, 0, nullptr, 0};

		call.txn_fn(call.data, &result);
	}

	void answer_scan(const Call &call, enum lug_status status = LUG_OK)
	{
		std::vector<struct lug_row> found;
		bool more = false;
		size_t key_offset = call.prefix.find('/') + 1;

		base.version = revision;
		tell_clock(call);

		for (auto it = rows.lower_bound(call.prefix);
		     it != rows.end() && it->first.compare(0, call.prefix.size(), call.prefix) == 0;
		     ++it) {
			if (!call.after.empty() && it->first <= call.after)
				continue;
			more = found.size() >= call.limit;
			if (more)
				break;
			found.push_back(
				{g_strdup(it->first.c_str() + key_offset), it->second.version,
				 lug_json_parse(it->second.data.c_str(), -1, nullptr), FALSE});
		}
		call.scan_fn(call.data, status, found.data(), static_cast<guint>(found.size()),
			     more);
		for (auto &row : found) {
			g_free(row.key);
			if (row.data)
				json_object_unref(row.data);
		}
	}

	/* Answers the oldest call. */
	void answer_next()
	{
		Call call = take();

		if (call.txn_fn)
			answer_txn(call);
		else
			answer_scan(call);
	}

	/* Answers all calls, including those that the callbacks make, until none is left. */
	void settle()
	{
		while (!is_silent && !calls.empty())
			answer_next();
	}
};

/* A context for code that reads settings and updates metrics but opens no connections. */
struct lug_ctx *test_context(const char *name);

/* A context with an address for internal connections that can be bound. */
struct lug_ctx *test_context_with_address(const char *name);

#endif
