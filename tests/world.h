/**
 * @file
 * Small fakes at the library's interfaces, on a virtual clock: VMs that run
 * the real controllers, a platform, databases, and a network between them.
 */
#ifndef KL_WORLD_H
#define KL_WORLD_H

#include <glib.h>
#include <stdio.h>

#include "control/node.h"
#include "path/path.h"

#ifdef __cplusplus
extern "C" {
#endif

#define WORLD_DBS 16 /**< databases whose failures a VM notices */

/** A VM: the real control side, and counts of its offered load. */
typedef struct vm {
	kl_node_t node;
	struct world *world;
	char name[KL_NAME_MAX];
	char domain[KL_NAME_MAX];
	bool up;
	bool frozen;
	int side; /* of a cut */
	GRand *random;
	GQueue held; /* events that came while frozen */
	uint64_t messages;
	uint64_t message_bytes;
	uint64_t calls; /* of the platform */
	uint64_t database_calls;
	uint64_t failing_us[WORLD_DBS]; /* what its callers notice */
	int number;
} vm_t;

/** A database of a group. */
typedef struct db {
	char service[KL_NAME_MAX];
	char name[KL_NAME_MAX];
	char domain[KL_NAME_MAX];
	bool up;
	int side;
	bool primary;
	uint64_t term;
	uint64_t sealed;
	GArray *log; /* of write numbers, uint64_t */
	GArray *at;  /* when each was written, for the lag */
	uint64_t lag_us;
	bool leaving;	      /* as it registered itself */
	uint64_t promoted_us; /* when it leads, or 0 */
	uint64_t promoted_term;
	uint64_t token; /* newest that came with a promotion */
	char token_holder[KL_NAME_MAX];
} db_t;

/** Offered load of one workspace at one VM. */
typedef struct load {
	vm_t *vm;
	char workspace[KL_NAME_MAX];
	uint64_t rate;	  /* statements a second */
	double chance;	  /* the same, coming at random; 0: evenly */
	uint64_t owed_us; /* time not yet turned into statements */
	uint64_t waiting;
	GQueue came; /* times of those that wait for tokens */
	uint64_t admitted;
	uint64_t refused;
} load_t;

/** A statement between its run and its answer. */
typedef struct pending {
	char id[KL_NAME_MAX];
	vm_t *vm;
	char service[KL_NAME_MAX];
	uint64_t term;
	uint64_t position;
	uint64_t number;
	db_t *db;
} pending_t;

/** The world. */
typedef struct world {
	uint64_t now;
	GPtrArray *vms;
	GPtrArray *dbs;
	GPtrArray *loads;
	GPtrArray *pendings;
	GSequence *events;
	GRand *random;
	GHashTable *objects; /* name to kl_object_t */
	uint64_t revision;
	bool platform_down;
	int platform_side;
	int lose;	  /* answers to updates that get lost */
	int loss_percent; /* of peer messages */
	int double_percent;
	uint64_t delay_us;  /* of a peer message, at least */
	uint64_t jitter_us; /* more, at most */
	uint64_t tick_us;
	uint64_t ticked_us;
	uint64_t order; /* of events at the same time */
	uint64_t reads, writes;
	uint64_t next_write;
	uint64_t violations;
	char trap_state[KL_NAME_MAX]; /* when a record with this is stored */
	char trap_name[KL_NAME_MAX];  /* this VM or database dies at once */
	uint64_t admit_wait_us;
	bool quiet;    /* no VM has callers of the services */
	bool promotes; /* the platform promotes, and has feeds */
	uint64_t interest_us;
	kl_tuning_t tuning; /* of VMs made from now on */
	kl_path_settings_t path;
	FILE *out; /* decisions, or NULL */
} world_t;

world_t *world_new(uint32_t seed);
void world_free(world_t *world);
vm_t *world_vm(world_t *world, const char *name, const char *domain);
void world_vm_start(vm_t *vm);
void world_vm_kill(vm_t *vm);
void world_vm_thaw(vm_t *vm);
db_t *world_db(world_t *world, const char *service, const char *name,
	       const char *domain);
/** Put "service/NAME" from the databases made so far. */
void world_service(world_t *world, const char *service, int connections);
void world_put(world_t *world, const char *name, const char *body);
void world_list_vm(vm_t *vm, const char *state);
/** From now on the platform promotes; before any VM is made. */
void world_promotes(world_t *world);
/** Databases write their registrations anew. */
void world_register(world_t *world, const char *service);
load_t *world_load(world_t *world, vm_t *vm, const char *workspace,
		   uint64_t rate);
/**
 * Many workspaces with callers on every VM: few large ones, most small, each
 * with 1.6 times the rate that it sends on average.
 *
 * @param rate statements a second of all workspaces on all VMs
 */
void world_crowd(world_t *world, int workspaces, int rate);
void world_run(world_t *world, uint64_t us);
vm_t *world_vm_of(world_t *world, const char *name);
db_t *world_db_of(world_t *world, const char *name);
const kl_group_t *world_group(vm_t *vm, const char *service);
kl_group_t world_recorded(world_t *world, const char *service);

/** Take tokens. @return how many of count were admitted */
uint64_t world_take(vm_t *vm, const char *workspace, uint64_t count);

/** Run a write up to its answer. @return 0 or a negative kind */
int world_begin(vm_t *vm, const char *service, const char *id,
		pending_t *pending);
/** Prove its term and answer. @return 0 or a negative kind */
int world_confirm(pending_t *pending, const char **proof);

void world_scene(vm_t *vm, kl_view_t *scene);

#ifdef __cplusplus
}
#endif
#endif
