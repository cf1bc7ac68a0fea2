/* The fakes' callers: writes step by step, and offered load. */
#include <string.h>

#include "tests/world_internal.h"

#define CROWD_EVENNESS 4   /* the first workspace beside the others */
#define CROWD_HEADROOM 1.6 /* rate of a plan beside its demand */

load_t *world_load(world_t *world, vm_t *vm, const char *workspace,
		   uint64_t rate)
{
	load_t *load;

	for (guint i = 0; i < world->loads->len; i++) {
		load = g_ptr_array_index(world->loads, i);
		if (load->vm == vm && !strcmp(load->workspace, workspace)) {
			load->rate = rate;
			return load;
		}
	}
	load = g_new0(load_t, 1);
	load->vm = vm;
	load->rate = rate;
	kl_name_set(load->workspace, workspace);
	g_queue_init(&load->came);
	g_ptr_array_add(world->loads, load);
	return load;
}

void world_crowd(world_t *world, int workspaces, int rate)
{
	double sum = 0;

	for (int i = 0; i < workspaces; i++)
		sum += 1.0 / (i + CROWD_EVENNESS);
	for (int i = 0; i < workspaces; i++) {
		double part = (double)rate / (i + CROWD_EVENNESS) / sum;
		int limit = (int)(part * CROWD_HEADROOM + 1);
		char name[KL_NAME_MAX], body[128];

		snprintf(name, sizeof(name), "plan/p%d", i);
		snprintf(body, sizeof(body),
			 "{\"connections\":600,\"rate\":%d,\"burst\":%d}",
			 limit, limit);
		world_put(world, name, body);
		snprintf(name, sizeof(name), "workspace/w%d", i);
		snprintf(body, sizeof(body), "{\"plan\":\"p%d\",\"keys\":[]}",
			 i);
		world_put(world, name, body);
		for (guint v = 0; v < world->vms->len; v++) {
			vm_t *vm = g_ptr_array_index(world->vms, v);

			snprintf(name, sizeof(name), "w%d", i);
			world_load(world, vm, name, 0)->chance =
				part / world->vms->len;
		}
	}
}

uint64_t world_take(vm_t *vm, const char *workspace, uint64_t count)
{
	kl_view_t scene;
	kl_bucket_t *bucket;
	uint64_t admitted = 0;

	world_scene(vm, &scene);
	bucket = scene.shares ? kl_index_get(scene.shares->index, workspace)
			      : NULL;
	if (!bucket)
		return 0;
	while (admitted < count && !kl_admit_statement(&scene, bucket))
		admitted++;
	return admitted;
}

int world_begin(vm_t *vm, const char *service, const char *id,
		pending_t *pending)
{
	kl_route_request_t ask = { .service = service };
	kl_view_t scene;
	kl_route_choice_t route;
	db_t *db;

	memset(pending, 0, sizeof(*pending));
	world_scene(vm, &scene);
	kl_route_choose(&scene, &vm->world->path, &ask, &route);
	if (route.verdict != KL_VERDICT_SEND)
		return route.error ? route.error : -KL_E_NO_UPSTREAM;
	db = world_db_of(vm->world, route.upstream->name.name);
	if (!db->up || db->side != vm->side)
		return -KL_E_NO_UPSTREAM;
	if (!db->primary || db->sealed > db->term || db->term != route.term)
		return -KL_E_NO_UPSTREAM;
	pending->vm = vm;
	pending->db = db;
	pending->term = route.term;
	pending->number = ++vm->world->next_write;
	kl_name_set(pending->id, id);
	kl_name_set(pending->service, service);
	g_array_append_val(db->log, pending->number);
	g_array_append_val(db->at, vm->world->now);
	pending->position = db->log->len;
	return 0;
}

int world_confirm(pending_t *pending, const char **proof)
{
	vm_t *vm = pending->vm;
	world_t *world = vm->world;
	kl_vote_tally_t tally = { 0 };
	const kl_group_t *group;
	kl_proof_state_t state = KL_PROOF_UNDECIDED;
	kl_view_t scene;

	world_scene(vm, &scene);
	group = world_group(vm, pending->service);
	for (guint i = 0; i < world->dbs->len; i++) {
		const db_t *db = g_ptr_array_index(world->dbs, i);

		if (strcmp(db->service, pending->service))
			continue;
		tally.databases++;
		if (!db->up || db->side != vm->side)
			tally.no_answer++;
		else if (db->sealed <= pending->term &&
			 db->term <= pending->term)
			tally.accepting++;
		else
			tally.refusing++;
	}
	/* Where the platform promotes a primary can't be sealed. */
	for (int i = 0;
	     i < (world->promotes ? KL_PROOF_LEASE + 1 : KL_PROOF_COUNT) &&
	     state == KL_PROOF_UNDECIDED;
	     i++) {
		*proof = kl_proof_methods[i].name;
		state = kl_proof_methods[i].check(&scene, &world->path, group,
						  pending->term, &tally);
	}
	if (state != KL_PROOF_HOLDS)
		return -KL_E_REPLACED;
	/* The check: nobody may serve a later term already. */
	for (guint i = 0; i < world->dbs->len; i++) {
		const db_t *db = g_ptr_array_index(world->dbs, i);

		if (!strcmp(db->service, pending->service) && db->primary &&
		    db->term > pending->term)
			world->violations++;
	}
	return 0;
}

/* As the worker does: what finds no tokens waits a while for some. */
void world_run_load(load_t *load, uint64_t elapsed)
{
	vm_t *vm = load->vm;
	world_t *world = vm->world;
	kl_event_t demand = { .kind = KL_EVENT_REQUEST_WAITING };
	kl_view_t scene;
	kl_bucket_t *bucket;
	uint64_t came;

	if (!vm->up || vm->frozen)
		return;
	if (load->chance > 0 &&
	    g_rand_double(world->random) < load->chance * elapsed / KL_SEC)
		load->owed_us += KL_SEC;
	load->owed_us += elapsed * load->rate;
	came = load->owed_us / KL_SEC;
	load->owed_us %= KL_SEC;
	world_scene(vm, &scene);
	bucket = scene.shares
			 ? kl_index_get(scene.shares->index, load->workspace)
			 : NULL;
	while (came--) {
		if (bucket)
			bucket->arrived++;
		g_queue_push_tail(&load->came,
				  GUINT_TO_POINTER(world->now / KL_MS));
	}
	while (load->came.length && bucket &&
	       !kl_admit_statement(&scene, bucket)) {
		g_queue_pop_head(&load->came);
		load->admitted++;
	}
	while (load->came.length &&
	       world->now / KL_MS - GPOINTER_TO_UINT(
					    g_queue_peek_head(&load->came)) >=
		       world->admit_wait_us / KL_MS) {
		g_queue_pop_head(&load->came);
		load->refused++;
	}
	if (bucket)
		bucket->waiting = load->came.length;
	if (load->came.length)
		kl_node_step(&vm->node, &demand);
}

/* Callers use every service on every VM. */
void world_tell_interest(world_t *world)
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
