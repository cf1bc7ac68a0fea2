/*
 * Drill of the simulated platform: its store is restored from an older copy,
 * and what operators and databases wrote since is written again some time
 * later.
 */
#include <string.h>

#include "tests/world_internal.h"

/* A write of the store. */
typedef struct write {
	uint64_t at_us;
	uint64_t version;
	char *name;
	char *body;
} write_t;

static void write_free(gpointer data);
static bool is_written_again(const char *name);

GPtrArray *world_history_new(void)
{
	return g_ptr_array_new_with_free_func(write_free);
}

void world_record_write(world_t *world, const char *name, const char *body)
{
	write_t *write = g_new0(write_t, 1);

	write->at_us = world->now_us;
	write->version = world->revision;
	write->name = g_strdup(name);
	write->body = g_strdup(body);
	g_ptr_array_add(world->history, write);
}

void world_drill(world_t *world, uint64_t age_us, uint64_t rewrite_us)
{
	guint kept = 0;
	GHashTableIter iterator;
	gpointer value;

	while (kept < world->history->len &&
	       ((write_t *)g_ptr_array_index(world->history, kept))->at_us <=
		       world->now_us - age_us)
		kept++;
	g_hash_table_iter_init(&iterator, world->objects);
	while (g_hash_table_iter_next(&iterator, NULL, &value)) {
		g_hash_table_iter_steal(&iterator);
		kl_object_free(value);
	}
	world->revision = 0;
	for (guint i = 0; i < kept; i++) {
		const write_t *write = g_ptr_array_index(world->history, i);
		kl_object_t *object =
			kl_object_new(write->name, write->version, write->body);
		kl_object_t *old =
			g_hash_table_lookup(world->objects, write->name);

		g_hash_table_replace(world->objects, object->name.name, object);
		kl_object_free(old);
		world->revision = write->version;
	}
	while (world->history->len > kept) {
		write_t *write = g_ptr_array_steal_index(world->history, kept);

		if (is_written_again(write->name))
			g_ptr_array_add(world->lost_writes, write);
		else
			write_free(write);
	}
	world->era += world->era != 0;
	world->rewrite_at_us = world->now_us + rewrite_us;
}

void world_rewrite_lost(world_t *world)
{
	if (!world->rewrite_at_us || world->now_us < world->rewrite_at_us)
		return;
	world->rewrite_at_us = 0;
	while (world->lost_writes->len) {
		write_t *write = g_ptr_array_steal_index(world->lost_writes, 0);

		world_put_object(world, write->name, write->body);
		write_free(write);
	}
}

/* What the VMs themselves wrote is not. */
static bool is_written_again(const char *name)
{
	return !g_str_has_prefix(name, "group/") &&
	       !g_str_has_prefix(name, "vm/") &&
	       !g_str_has_prefix(name, "slot/");
}

static void write_free(gpointer data)
{
	write_t *write = data;

	g_free(write->name);
	g_free(write->body);
	g_free(write);
}
