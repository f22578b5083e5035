#include "schedule/evacuation.h"

#include <string.h>

/**
 * struct lug_evacuation - the evacuated zones as far as this process knows them
 * @own_zone: zone of this process, which is kept whatever the bound
 * @zones: name of each evacuated zone, with the number of the read that has seen it last
 * @n_reads: number of the present or latest read
 * @is_read: a read was completed
 * @is_complete: no zone was left out since the latest complete read began
 * @is_read_complete: no zone was left out since the present read began
 * @as_of_us: time as of which the set is known
 * @changed: called with each zone whose evacuation begins or ends, may be NULL
 * @data: passed to @changed
 */
struct lug_evacuation {
	char *own_zone;
	GHashTable *zones;
	guint n_reads;
	gboolean is_read;
	gboolean is_complete;
	gboolean is_read_complete;
	gint64 as_of_us;
	lug_evacuation_fn changed;
	void *data;
};

/**
 * lug_evacuation_new - create a set that was not read yet
 * @own_zone: zone of this process, copied
 * @changed: called with each zone whose evacuation begins or ends, may be NULL
 * @data: passed to @changed
 */
struct lug_evacuation *lug_evacuation_new(const char *own_zone, lug_evacuation_fn changed,
					  void *data)
{
	struct lug_evacuation *set = g_new0(struct lug_evacuation, 1);

	set->own_zone = g_strdup(own_zone);
	set->zones = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	set->is_complete = TRUE;
	set->is_read_complete = TRUE;
	set->changed = changed;
	set->data = data;
	return set;
}

/**
 * lug_evacuation_free - free the set
 * @set: may be NULL
 */
void lug_evacuation_free(struct lug_evacuation *set)
{
	if (!set)
		return;
	g_hash_table_unref(set->zones);
	g_free(set->own_zone);
	g_free(set);
}

static void notify(const struct lug_evacuation *set, const char *zone, gboolean evacuated)
{
	if (set->changed)
		set->changed(set->data, zone, evacuated);
}

static gboolean is_own(const struct lug_evacuation *set, const char *zone)
{
	return !g_strcmp0(set->own_zone, zone);
}

static gboolean can_keep(const struct lug_evacuation *set, const char *zone)
{
	if (is_own(set, zone))
		return TRUE;
	return strlen(zone) <= LUG_EVACUATION_NAME_MAX &&
	       g_hash_table_size(set->zones) < LUG_EVACUATION_ZONES_MAX;
}

/**
 * lug_evacuation_add - note that a zone is evacuated
 * @set: set
 * @zone: name; no zone has an empty one
 */
void lug_evacuation_add(struct lug_evacuation *set, const char *zone)
{
	gboolean is_new = !g_hash_table_contains(set->zones, zone);

	if (!*zone)
		return;
	if (is_new && !can_keep(set, zone)) {
		set->is_complete = FALSE;
		set->is_read_complete = FALSE;
		return;
	}
	g_hash_table_replace(set->zones, g_strdup(zone), GUINT_TO_POINTER(set->n_reads));
	if (is_new)
		notify(set, zone, TRUE);
}

/**
 * lug_evacuation_remove - note that a zone is not evacuated any more
 * @set: set
 * @zone: name
 */
void lug_evacuation_remove(struct lug_evacuation *set, const char *zone)
{
	if (g_hash_table_remove(set->zones, zone))
		notify(set, zone, FALSE);
}

/**
 * lug_evacuation_begin_read - begin to read the whole set
 * @set: set
 *
 * Each zone that the read finds is added. A read that fails is not ended; nothing is removed then.
 */
void lug_evacuation_begin_read(struct lug_evacuation *set)
{
	set->n_reads++;
	set->is_read_complete = TRUE;
}

/**
 * lug_evacuation_end_read - remove the zones that were not added since the read began
 * @set: set
 * @as_of_us: time at which the read began
 */
void lug_evacuation_end_read(struct lug_evacuation *set, gint64 as_of_us)
{
	GPtrArray *gone = g_ptr_array_new_with_free_func(g_free);
	GHashTableIter iter;
	gpointer zone;
	gpointer read;

	g_hash_table_iter_init(&iter, set->zones);
	while (g_hash_table_iter_next(&iter, &zone, &read))
		if (GPOINTER_TO_UINT(read) != set->n_reads)
			g_ptr_array_add(gone, g_strdup(zone));
	for (guint i = 0; i < gone->len; i++)
		lug_evacuation_remove(set, g_ptr_array_index(gone, i));
	g_ptr_array_unref(gone);
	set->is_read = TRUE;
	set->is_complete = set->is_read_complete;
	lug_evacuation_confirm(set, as_of_us);
}

/**
 * lug_evacuation_confirm - note that the set contains all changes up to a time
 * @set: set
 * @as_of_us: that time
 */
void lug_evacuation_confirm(struct lug_evacuation *set, gint64 as_of_us)
{
	set->as_of_us = MAX(set->as_of_us, as_of_us);
}

/**
 * lug_evacuation_is_read - whether the whole set was read, however long ago
 * @set: set, may be NULL
 */
gboolean lug_evacuation_is_read(const struct lug_evacuation *set)
{
	return !set || set->is_read;
}

/**
 * lug_evacuation_is_complete - whether no zone was left out because of the bounds
 * @set: set, may be NULL
 */
gboolean lug_evacuation_is_complete(const struct lug_evacuation *set)
{
	return !set || set->is_complete;
}

/**
 * lug_evacuation_count - number of evacuated zones
 * @set: set, may be NULL
 */
guint lug_evacuation_count(const struct lug_evacuation *set)
{
	return set ? g_hash_table_size(set->zones) : 0;
}

/**
 * lug_evacuation_contains - whether a zone is known to be evacuated
 * @set: set, may be NULL
 * @zone: name
 */
gboolean lug_evacuation_contains(const struct lug_evacuation *set, const char *zone)
{
	return set && g_hash_table_size(set->zones) && g_hash_table_contains(set->zones, zone);
}

/**
 * lug_evacuation_check - decide whether a task may start in a zone
 * @set: set, may be NULL
 * @zone: name; "" for a zone that is not known, which says nothing
 * @now_us: current time
 */
enum lug_evacuation_verdict lug_evacuation_check(const struct lug_evacuation *set, const char *zone,
						 gint64 now_us)
{
	if (!set || !*zone)
		return LUG_EVACUATION_OPEN;
	if (lug_evacuation_contains(set, zone))
		return LUG_EVACUATION_EVACUATED;
	if (!set->is_read || now_us - set->as_of_us > LUG_EVACUATION_AGE_MAX_US ||
	    (!set->is_complete && !is_own(set, zone)))
		return LUG_EVACUATION_UNKNOWN;
	return LUG_EVACUATION_OPEN;
}
