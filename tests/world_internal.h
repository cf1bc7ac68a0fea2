/**
 * @file
 * What the files of the fakes share.
 */
#ifndef KL_WORLD_INTERNAL_H
#define KL_WORLD_INTERNAL_H

#include "tests/world.h"

#define PLATFORM_US 2000 /* one way */
#define DATABASE_US 1000 /* one way */
#define TIMEOUT_US 500000

typedef enum happening_kind {
	HAPPENING_PEER,
	HAPPENING_PLATFORM_ASK,
	HAPPENING_PLATFORM,
	HAPPENING_DATABASE_ASK,
	HAPPENING_DATABASE,
} happening_kind_t;

/* Something that arrives somewhere at its time. */
typedef struct happening {
	uint64_t at;
	uint64_t order;
	happening_kind_t kind;
	vm_t *vm;
	uint64_t incarnation; /* of the process that asked */
	int from_side;
	kl_peer_message_t peer;
	kl_platform_call_t call;
	char *body;
	kl_platform_answer_t answer;
	kl_object_list_t objects;
	kl_database_answer_t database;
} happening_t;

/** The platform answers a call. */
void world_platform_asked(world_t *world, happening_t *happening);

/** A database answers a control call. */
void world_database_asked(world_t *world, happening_t *happening);

/** Replicas take what is due. */
void world_replicate(world_t *world);

/** The primary of the highest term. */
db_t *world_source_of(world_t *world, const char *service);

/** Feed that an object belongs to. */
kl_feed_t world_feed(const world_t *world, const char *name);

/** The platform is told to promote. @return 0 or -KL_E_CONFLICT */
int world_promote(world_t *world, const vm_t *vm, const char *name,
		  uint64_t token);

/** Databases lead that were told to. */
void world_finish_promotions(world_t *world);

/** VMs hear what their callers meet at the databases. */
void world_tell_traffic(world_t *world);

/** Let something arrive in so many microseconds. */
void world_happen(world_t *world, happening_t *happening, uint64_t in_us);

/** Callers of one workspace come, wait and are refused. */
void world_run_load(load_t *load, uint64_t elapsed);

/** Callers use every service on every VM. */
void world_tell_interest(world_t *world);

#endif
