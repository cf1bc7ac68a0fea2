/* Logs, tables and replication of the database stand-in. */
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "standin/database.h"

static void apply(database_t *database, const entry_t *entry);
static void take_over(database_t *database, const database_t *source,
		      guint length);
static database_t *source_of(group_t *group);

uint64_t standin_now_us(void)
{
	struct timespec now;

	clock_gettime(CLOCK_MONOTONIC, &now);
	return (uint64_t)now.tv_sec * 1000000 + (uint64_t)now.tv_nsec / 1000;
}

void standin_append(database_t *database, const char *key, const char *value)
{
	entry_t *entry = calloc(1, sizeof(*entry));

	entry->term = database->term;
	entry->written_us = standin_now_us();
	entry->key = g_strdup(key);
	entry->value = g_strdup(value);
	g_ptr_array_add(database->log, entry);
	apply(database, entry);
}

/* Replicas take what the primary wrote at least their lag ago. */
void standin_replicate(group_t *group)
{
	database_t *source = source_of(group);
	uint64_t now = standin_now_us();

	if (!source || source->faults.isolated || source->faults.frozen ||
	    source->faults.cut)
		return;
	for (int i = 0; i < group->count; i++) {
		database_t *replica = &group->databases[i];

		if (replica == source || replica->primary ||
		    replica->faults.isolated || replica->faults.frozen ||
		    replica->faults.cut || replica->sealed > source->term ||
		    replica->term > source->term)
			continue;
		if (replica->term < source->term)
			standin_follow(replica, source->term);
		while (replica->log->len < source->log->len) {
			entry_t *entry = g_ptr_array_index(source->log,
							   replica->log->len);

			if (entry->written_us +
				    (uint64_t)replica->faults.lag_ms * 1000 >
			    now)
				break;
			g_ptr_array_add(replica->log, entry);
			apply(replica, entry);
		}
	}
}

void standin_promote(database_t *database, uint64_t term)
{
	if (term < database->sealed || term < database->term)
		return;
	database->primary = true;
	database->term = term;
	database->sealed = term;
}

/* Becomes a replica of the term's primary; what it alone has is dropped. */
void standin_follow(database_t *database, uint64_t term)
{
	database_t *source = source_of(database->group);
	guint same = 0;

	if (!source || source == database || source->term != term ||
	    source->faults.isolated || database->faults.isolated)
		return;
	while (same < source->log->len && same < database->log->len &&
	       g_ptr_array_index(source->log, same) ==
		       g_ptr_array_index(database->log, same))
		same++;
	if (same < database->log->len)
		take_over(database, source, same);
	database->primary = false;
	database->term = term;
	if (database->sealed < term)
		database->sealed = term;
}

const char *standin_get(const database_t *database, const char *key)
{
	return g_hash_table_lookup(database->tables, key);
}

uint64_t standin_count(const database_t *database, const char *table)
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

static void apply(database_t *database, const entry_t *entry)
{
	if (entry->value)
		g_hash_table_replace(database->tables, g_strdup(entry->key),
				     g_strdup(entry->value));
	else
		g_hash_table_remove(database->tables, entry->key);
}

/* Cuts the log at a length and builds the tables anew. */
static void take_over(database_t *database, const database_t *source,
		      guint length)
{
	(void)source;
	g_ptr_array_set_size(database->log, (gint)length);
	g_hash_table_remove_all(database->tables);
	for (guint i = 0; i < length; i++)
		apply(database, g_ptr_array_index(database->log, i));
}

/* The primary of the highest term. */
static database_t *source_of(group_t *group)
{
	database_t *best = NULL;

	for (int i = 0; i < group->count; i++) {
		database_t *database = &group->databases[i];

		if (database->primary && (!best || database->term > best->term))
			best = database;
	}
	return best;
}
