/* Simulated clients: writes in two steps, and workloads. */
#include <string.h>

#include "tests/world_internal.h"

/* Demand of workspace i is proportional to 1 / (i + WORKSPACE_RANK_OFFSET). */
#define WORKSPACE_RANK_OFFSET 4
/* Rate of a workspace's plan, divided by its mean demand. */
#define PLAN_RATE_HEADROOM 1.6

workload_t *world_set_workload(world_t *world, vm_t *vm, const char *workspace,
			       uint64_t rate)
{
	workload_t *workload;

	for (guint i = 0; i < world->workloads->len; i++) {
		workload = g_ptr_array_index(world->workloads, i);
		if (workload->vm == vm &&
		    !strcmp(workload->workspace, workspace)) {
			workload->rate = rate;
			return workload;
		}
	}
	workload = g_new0(workload_t, 1);
	workload->vm = vm;
	workload->rate = rate;
	kl_name_copy(workload->workspace, workspace);
	g_queue_init(&workload->queued_arrivals_ms);
	g_ptr_array_add(world->workloads, workload);
	return workload;
}

void world_add_workspaces(world_t *world, int workspaces, int rate)
{
	double weight_sum = 0;

	for (int i = 0; i < workspaces; i++)
		weight_sum += 1.0 / (i + WORKSPACE_RANK_OFFSET);
	for (int i = 0; i < workspaces; i++) {
		double demand_rate =
			(double)rate / (i + WORKSPACE_RANK_OFFSET) / weight_sum;
		int plan_rate = (int)(demand_rate * PLAN_RATE_HEADROOM + 1);
		char name[KL_NAME_MAX], body[128];

		snprintf(name, sizeof(name), "plan/p%d", i);
		snprintf(body, sizeof(body),
			 "{\"connections\":600,\"rate\":%d,\"burst\":%d}",
			 plan_rate, plan_rate);
		world_put_object(world, name, body);
		snprintf(name, sizeof(name), "workspace/w%d", i);
		snprintf(body, sizeof(body), "{\"plan\":\"p%d\",\"keys\":[]}",
			 i);
		world_put_object(world, name, body);
		for (guint v = 0; v < world->vms->len; v++) {
			vm_t *vm = g_ptr_array_index(world->vms, v);

			snprintf(name, sizeof(name), "w%d", i);
			world_set_workload(world, vm, name, 0)->random_rate =
				demand_rate / world->vms->len;
		}
	}
}

bool world_may_use(vm_t *vm, const char *service, const char *upstream)
{
	const kl_service_t *known_service;
	const kl_upstream_t *known;
	kl_view_t view;

	world_load_view(vm, &view);
	known_service =
		view.config ? kl_index_get(view.config->service_index, service)
			    : NULL;
	known = known_service
			? kl_service_find_upstream(known_service, upstream)
			: NULL;
	return known &&
	       kl_upstream_use(
		       known->leaving, known->leaving_after_us, view.now_us,
		       vm->world->data_path_settings.leave_us) != KL_USE_NONE;
}

uint64_t world_admit(vm_t *vm, const char *workspace, uint64_t count)
{
	kl_view_t view;
	kl_bucket_t *bucket;
	uint64_t admitted = 0;

	world_load_view(vm, &view);
	bucket = view.buckets ? kl_index_get(view.buckets->index, workspace)
			      : NULL;
	if (!bucket)
		return 0;
	while (admitted < count && !kl_admit_statement(&view, bucket))
		admitted++;
	return admitted;
}

const char *world_proven_primary(vm_t *vm, const char *service)
{
	const kl_group_t *group = world_vm_group(vm, service);
	kl_view_t view;

	world_load_view(vm, &view);
	return kl_primary_proven(&view, group,
				 vm->world->data_path_settings.lease_us)
		       ? group->primary
		       : NULL;
}

int world_begin_write(vm_t *vm, const char *service, const char *id,
		      pending_write_t *pending)
{
	kl_route_request_t request = { .service = service };
	kl_view_t view;
	kl_route_choice_t choice;
	db_t *db;

	memset(pending, 0, sizeof(*pending));
	world_load_view(vm, &view);
	kl_route_choose(&view, &vm->world->data_path_settings, &request,
			&choice);
	if (choice.verdict != KL_VERDICT_SEND)
		return choice.error ? choice.error : -KL_E_NO_UPSTREAM;
	db = world_find_db(vm->world, choice.upstream->name.name);
	if (!db->up || db->partition != vm->partition)
		return -KL_E_NO_UPSTREAM;
	if (!db->is_primary || db->min_accepted_term > db->term ||
	    db->term != choice.term)
		return -KL_E_NO_UPSTREAM;
	pending->vm = vm;
	pending->db = db;
	pending->term = choice.term;
	pending->write_number = ++vm->world->last_write_number;
	kl_name_copy(pending->id, id);
	kl_name_copy(pending->service, service);
	g_array_append_val(db->log, pending->write_number);
	g_array_append_val(db->written_at_us, vm->world->now_us);
	pending->position = db->log->len;
	return 0;
}

int world_confirm_write(pending_write_t *pending, const char **proof)
{
	vm_t *vm = pending->vm;
	world_t *world = vm->world;
	kl_vote_tally_t tally = { 0 };
	const kl_group_t *group;
	kl_proof_state_t state = KL_PROOF_UNDECIDED;
	kl_view_t view;

	world_load_view(vm, &view);
	group = world_vm_group(vm, pending->service);
	for (guint i = 0; i < world->dbs->len; i++) {
		const db_t *db = g_ptr_array_index(world->dbs, i);

		if (strcmp(db->service, pending->service))
			continue;
		tally.databases++;
		if (!db->up || db->partition != vm->partition)
			tally.no_answer++;
		else if (db->min_accepted_term <= pending->term &&
			 db->term <= pending->term)
			tally.accepting++;
		else
			tally.refusing++;
	}
	/*
	 * Platforms that promote cannot seal a database against a term, so
	 * only the lease proves that the term is current.
	 */
	for (int i = 0; i < (world->platform_promotes ? KL_PROOF_LEASE + 1
						      : KL_PROOF_COUNT) &&
			state == KL_PROOF_UNDECIDED;
	     i++) {
		*proof = kl_proof_methods[i].name;
		state = kl_proof_methods[i].check(&view,
						  &world->data_path_settings,
						  group, pending->term, &tally);
	}
	if (state != KL_PROOF_HOLDS)
		return -KL_E_REPLACED;
	/* Acknowledged, so no primary may have begun a later term. */
	for (guint i = 0; i < world->dbs->len; i++) {
		const db_t *db = g_ptr_array_index(world->dbs, i);

		if (!strcmp(db->service, pending->service) && db->is_primary &&
		    db->term > pending->term)
			world->violations++;
	}
	return 0;
}

/* Like a worker: a statement without tokens waits, then is refused. */
void world_run_workload(workload_t *workload, uint64_t elapsed_us)
{
	vm_t *vm = workload->vm;
	world_t *world = vm->world;
	kl_event_t waiting_event = { .kind = KL_EVENT_REQUEST_WAITING };
	kl_view_t view;
	kl_bucket_t *bucket;
	uint64_t arrivals;

	if (!vm->up || vm->frozen)
		return;
	if (workload->random_rate > 0 &&
	    g_rand_double(world->random) <
		    workload->random_rate * elapsed_us / KL_SEC)
		workload->arrival_credit += KL_SEC;
	workload->arrival_credit += elapsed_us * workload->rate;
	arrivals = workload->arrival_credit / KL_SEC;
	workload->arrival_credit %= KL_SEC;
	world_load_view(vm, &view);
	bucket = view.buckets ? kl_index_get(view.buckets->index,
					     workload->workspace)
			      : NULL;
	while (arrivals--) {
		if (bucket)
			bucket->arrived_statements++;
		g_queue_push_tail(&workload->queued_arrivals_ms,
				  GUINT_TO_POINTER(world->now_us / KL_MS));
	}
	while (workload->queued_arrivals_ms.length && bucket &&
	       !kl_admit_statement(&view, bucket)) {
		g_queue_pop_head(&workload->queued_arrivals_ms);
		workload->admitted++;
	}
	while (workload->queued_arrivals_ms.length &&
	       world->now_us / KL_MS -
			       GPOINTER_TO_UINT(g_queue_peek_head(
				       &workload->queued_arrivals_ms)) >=
		       world->admission_timeout_us / KL_MS) {
		g_queue_pop_head(&workload->queued_arrivals_ms);
		workload->refused++;
	}
	if (bucket)
		bucket->waiting_statements =
			workload->queued_arrivals_ms.length;
	if (workload->queued_arrivals_ms.length)
		kl_node_step(&vm->node, &waiting_event);
}

void world_report_service_use(world_t *world)
{
	for (guint i = 0; i < world->vms->len * world->dbs->len; i++) {
		vm_t *vm = g_ptr_array_index(world->vms, i / world->dbs->len);
		const db_t *db =
			g_ptr_array_index(world->dbs, i % world->dbs->len);
		kl_event_t event = { .kind = KL_EVENT_SERVICE_USED,
				     .service = db->service };

		if (vm->up && !vm->frozen)
			kl_node_step(&vm->node, &event);
	}
}
