/* Logs, tables, replication and promotion of the database stand-in. */
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "standin/database.h"

static void apply_entry(database_t *database, const log_entry_t *entry);
static void truncate_log(database_t *database, const database_t *source,
			 guint length);
static database_t *find_primary(group_t *group);

uint64_t standin_now_us(void)
{
	struct timespec now;

	clock_gettime(CLOCK_MONOTONIC, &now);
	return (uint64_t)now.tv_sec * 1000000 + (uint64_t)now.tv_nsec / 1000;
}

void standin_append_change(database_t *database, const char *key,
			   const char *value)
{
	log_entry_t *entry = calloc(1, sizeof(*entry));

	entry->term = database->term;
	entry->written_at_us = standin_now_us();
	entry->key = g_strdup(key);
	entry->value = g_strdup(value);
	g_ptr_array_add(database->log, entry);
	apply_entry(database, entry);
}

void standin_replicate(group_t *group)
{
	database_t *source = find_primary(group);
	uint64_t now = standin_now_us();

	if (!source || source->faults.isolated || source->faults.frozen ||
	    source->faults.cut)
		return;
	for (int i = 0; i < group->database_count; i++) {
		database_t *replica = &group->databases[i];

		if (replica == source || replica->primary ||
		    replica->faults.isolated || replica->faults.frozen ||
		    replica->faults.cut ||
		    replica->min_write_term > source->term ||
		    replica->term > source->term)
			continue;
		if (replica->term < source->term)
			standin_follow(replica, source->term);
		while (replica->log->len < source->log->len) {
			log_entry_t *entry = g_ptr_array_index(
				source->log, replica->log->len);

			if (entry->written_at_us +
				    (uint64_t)replica->faults.lag_ms * 1000 >
			    now)
				break;
			g_ptr_array_add(replica->log, entry);
			apply_entry(replica, entry);
		}
	}
}

void standin_promote(database_t *database, uint64_t term)
{
	if (term < database->min_write_term || term < database->term)
		return;
	database->primary = true;
	database->term = term;
	database->min_write_term = term;
}

void standin_follow(database_t *database, uint64_t term)
{
	database_t *source = find_primary(database->group);
	guint common_length = 0;

	if (!source || source == database || source->term != term ||
	    source->faults.isolated || database->faults.isolated)
		return;
	while (common_length < source->log->len &&
	       common_length < database->log->len &&
	       g_ptr_array_index(source->log, common_length) ==
		       g_ptr_array_index(database->log, common_length))
		common_length++;
	if (common_length < database->log->len)
		truncate_log(database, source, common_length);
	database->primary = false;
	database->term = term;
	if (database->min_write_term < term)
		database->min_write_term = term;
}

const char *standin_get_value(const database_t *database, const char *key)
{
	return g_hash_table_lookup(database->tables, key);
}

uint64_t standin_count_rows(const database_t *database, const char *table)
{
	GHashTableIter iterator;
	gpointer key;
	size_t length = strlen(table);
	uint64_t count = 0;

	g_hash_table_iter_init(&iterator, database->tables);
	while (g_hash_table_iter_next(&iterator, &key, NULL))
		count += !strncmp(key, table, length) &&
			 ((char *)key)[length] == '/';
	return count;
}

static void apply_entry(database_t *database, const log_entry_t *entry)
{
	if (entry->value)
		g_hash_table_replace(database->tables, g_strdup(entry->key),
				     g_strdup(entry->value));
	else
		g_hash_table_remove(database->tables, entry->key);
}

/* Truncates the log to a length and rebuilds the tables from it. */
static void truncate_log(database_t *database, const database_t *source,
			 guint length)
{
	(void)source;
	g_ptr_array_set_size(database->log, (gint)length);
	g_hash_table_remove_all(database->tables);
	for (guint i = 0; i < length; i++)
		apply_entry(database, g_ptr_array_index(database->log, i));
}

/* The primary with the highest term, or NULL. */
static database_t *find_primary(group_t *group)
{
	database_t *newest = NULL;

	for (int i = 0; i < group->database_count; i++) {
		database_t *database = &group->databases[i];

		if (database->primary &&
		    (!newest || database->term > newest->term))
			newest = database;
	}
	return newest;
}
