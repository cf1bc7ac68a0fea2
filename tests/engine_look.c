/* Output of a script's results. */
#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include "tests/engine_model.h"

static void show_priorities(const model_t *model);

void model_report(const model_t *model)
{
	for (uint32_t i = 0; i < model->load_count; i++) {
		const model_load_t *load = &model->loads[i];

		printf("%s: started %" PRIu64 " within target %" PRIu64
		       " late %" PRIu64 " refused %" PRIu64 " unknown %" PRIu64
		       " longest refusal %" PRIu64 " ms\n",
		       load->name, load->started, load->within_target,
		       load->late, load->refused, load->unknown,
		       (uint64_t)(load->longest_refusal_us / KL_MS));
	}
	for (uint32_t i = 0; i < model->db_count; i++) {
		const model_db_t *db = &model->dbs[i];

		printf("%s: ran %" PRIu64 " connections %" PRIu64
		       " rejected %" PRIu64 "\n",
		       db->name, db->statements_run, db->connections_accepted,
		       db->connections_rejected);
	}
}

void model_show(const model_t *model, const char *what)
{
	bool connections = !strcmp(what, "connections");
	bool counts = !strcmp(what, "counts");
	const kl_engine_counts_t *total = kl_engine_counts(model->engine);
	kl_engine_gauges_t gauges;

	if (!strcmp(what, "priorities"))
		show_priorities(model);
	if (!strcmp(what, "sessions"))
		printf("%u sessions\n", kl_engine_client_count(model->engine));
	if (!strcmp(what, "operations"))
		printf("%" PRIu64 " operations\n", model->operations_counted);
	for (uint32_t i = 0; connections && i < model->db_count; i++)
		printf("%s: open %u\n", model->dbs[i].name,
		       model->dbs[i].open_connections);
	if (counts) {
		kl_engine_get_gauges(model->engine, &gauges);
		printf("sessions %" PRIu64 " waiting %" PRIu64
		       " queued %" PRIu64 " running %" PRIu64 "\n",
		       gauges.sessions, gauges.waiting_stmts,
		       gauges.queued_stmts, gauges.running_stmts);
	}
	if (!strcmp(what, "spill"))
		printf("share %u of 1000, for the load %" PRIu64
		       ", position %" PRIu64 ", failure %" PRIu64
		       ", figures %s\n",
		       kl_engine_spill_share(model->engine),
		       total->reads_spilled_load, total->reads_spilled_position,
		       total->reads_spilled_failure,
		       model->loads_needed ? "needed" : "not needed");
	for (uint32_t i = 0; counts && i < model->bucket_count; i++)
		printf("%s: sessions %llu waiting %llu\n",
		       model->buckets[i]->name.name,
		       (unsigned long long)model->buckets[i]->open_sessions,
		       (unsigned long long)model->buckets[i]
			       ->waiting_statements);
}

static void show_priorities(const model_t *model)
{
	const kl_engine_counts_t *counts = kl_engine_counts(model->engine);

	for (int i = 0; i < KL_PRIORITY_LEVELS; i++) {
		const kl_priority_counts_t *row = &counts->priorities[i];

		if (row->served || row->refused)
			printf("priority %d: served %" PRIu64
			       " refused %" PRIu64 " queued %" PRIu64 " ms\n",
			       i, row->served, row->refused,
			       row->queued_us / (uint64_t)KL_MS);
	}
}
