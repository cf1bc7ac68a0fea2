/**
 * @file
 * A simulated cluster on a virtual clock, for tests and benchmarks.
 *
 * VMs run the real controllers and the real decisions of the request path.  The
 * platform, the databases, the network between them and the clients are
 * simulated.  The same seed and the same calls give the same run.
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

/** Passive health checks cover only this many databases, in order of adding. */
#define WORLD_CHECKED_DBS 16

/** A VM: its control side, its network partition and its call counters. */
typedef struct vm {
	kl_node_t node;
	struct world *world;
	char name[KL_NAME_MAX];
	char domain[KL_NAME_MAX];
	bool up;	   /**< its process runs */
	bool frozen;	   /**< neither runs nor receives events */
	int partition;	   /**< reaches only what has the same number */
	bool platform_cut; /**< the platform turns it away */
	bool peers_cut;	   /**< it sends and receives no peer messages */
	/** bits of the feeds whose lists and watches get no answer */
	uint32_t silent_feeds;
	GRand *random;
	GQueue frozen_events; /**< world_event_t that arrived while frozen */
	uint64_t peer_messages_sent;
	uint64_t peer_bytes_sent; /**< estimated */
	uint64_t platform_calls;
	uint64_t database_calls; /**< control calls, not statements */
	/**
	 * Time at which its clients' requests to a database began to fail, or 0
	 * if they do not fail.
	 */
	uint64_t unreachable_since_us[WORLD_CHECKED_DBS];
	int port;	   /**< for peers; index in world.vms plus 1 */
	bool permits_told; /**< KL_EVENT_PERMITS is under way */
	uint64_t permit_events[KL_PERMIT_EVENT_COUNT];
} vm_t;

/** What happened at a database with execution slots since the last reset. */
typedef struct slot_counts {
	uint64_t queued_us; /**< sum of the times of statements in its queue */
	/** sum of the times of slots that were idle while a VM had work */
	uint64_t idle_us;
	uint64_t served;
	uint64_t served_by_level[KL_PERMIT_LEVELS];
	uint64_t busy;	  /**< refused, since its queue was full */
	uint64_t dropped; /**< refused by VMs after a long wait */
} slot_counts_t;

/** A database; all databases of a service form one replication group. */
typedef struct db {
	char service[KL_NAME_MAX];
	char name[KL_NAME_MAX];
	char domain[KL_NAME_MAX];
	bool up;       /**< answers calls */
	int partition; /**< like vm.partition */
	bool is_primary;
	uint64_t term;		    /**< term that it serves or follows */
	uint64_t min_accepted_term; /**< writes of lower terms are refused */
	GArray *log;		    /**< uint64_t write numbers */
	GArray *written_at_us;	    /**< uint64_t, time of each write in log */
	uint64_t lag_us; /**< replication delay while it is a replica */
	bool leaving;	 /**< its registration says that it shuts down */
	/** requests neither fail nor succeed there: VMs report nothing new */
	bool unreported;
	uint64_t promotion_due_at_us; /**< becomes primary at this time, or 0 */
	uint64_t promotion_term;      /**< term of that promotion */
	uint64_t fencing_token;	      /**< of the last promotion in its group */
	char fencing_token_vm[KL_NAME_MAX]; /**< VM that sent that token */
	/** VM that promoted before fencing_token_vm, and its last call */
	char replaced_promoter[KL_NAME_MAX];
	uint64_t replaced_promoter_us;
	uint64_t last_promotion_us; /**< last call of fencing_token_vm */
	uint32_t slots;		    /**< statements that it executes at once */
	uint64_t work_us;	    /**< mean time of a statement */
	uint32_t busy_slots;	    /**< slots in use */
	uint32_t waiting;	    /**< statements that wait at VMs */
	GQueue queue;		    /**< statements that wait inside it */
	uint64_t changed_us;	    /**< when these last changed */
	uint64_t counted_since_us;
	slot_counts_t slot_counts;
} db_t;

/** Statements of one priority that clients send to one VM and database. */
typedef struct world_arrival {
	struct world_gate *gate;
	uint32_t level;
} world_arrival_t;

/** What one VM sends to one database with execution slots. */
typedef struct world_gate {
	vm_t *vm;
	db_t *db;
	uint64_t incarnation; /**< of the process that the numbers are of */
	uint64_t running;
	uint64_t served;
	double rate[KL_PERMIT_LEVELS]; /**< statements a second */
	world_arrival_t arrivals[KL_PERMIT_LEVELS];
	GQueue waiting[KL_PERMIT_LEVELS];
} world_gate_t;

/** Offered load of one workspace at one VM. */
typedef struct workload {
	vm_t *vm;
	char workspace[KL_NAME_MAX];
	uint64_t rate; /**< statements a second, evenly spaced */
	/** Statements a second in addition, at random; one a tick at most. */
	double random_rate;
	uint64_t arrival_credit;   /**< KL_SEC of it is one statement */
	uint64_t waiting;	   /**< unused */
	GQueue queued_arrivals_ms; /**< arrival times of waiting statements */
	uint64_t admitted;
	uint64_t refused; /**< found no tokens in admission_timeout_us */
} workload_t;

/** A write that has run but is not acknowledged yet. */
typedef struct pending_write {
	char id[KL_NAME_MAX];
	vm_t *vm;
	char service[KL_NAME_MAX];
	uint64_t term;
	uint64_t position;
	uint64_t write_number; /**< unique in the world */
	db_t *db;
} pending_write_t;

/** The simulated cluster. */
typedef struct world {
	uint64_t now_us;
	GPtrArray *vms;	      /**< vm_t */
	GPtrArray *dbs;	      /**< db_t */
	GPtrArray *workloads; /**< workload_t */
	GPtrArray *gates;     /**< world_gate_t */
	GPtrArray *stmts;     /**< statements of the gates, freed at the end */
	GPtrArray *pending_writes; /**< pending_write_t, used by scripts */
	GSequence *events;	   /**< world_event_t by time */
	GRand *random;
	GHashTable *objects; /**< the platform's store: name to kl_object_t */
	uint64_t revision;   /**< of the store, rises with each update */
	bool platform_down;
	int platform_partition;	    /**< like vm.partition */
	int put_answers_to_lose;    /**< the next updates lose their answer */
	int peer_loss_percent;	    /**< peer messages that are lost */
	int peer_duplicate_percent; /**< peer messages delivered twice */
	uint64_t peer_delay_us;	    /**< least delay of a peer message */
	/** Bound of the random delay added to peer and platform messages. */
	uint64_t jitter_us;
	uint64_t tick_interval_us;
	uint64_t last_tick_at_us;
	uint64_t next_event_order; /**< order among events due at one time */
	uint64_t platform_reads, platform_writes; /**< served by the platform */
	uint64_t last_write_number;
	/**
	 * Writes acknowledged after another primary began a later term, and
	 * promotions whose fencing token was lower than an earlier one or
	 * already used by another VM.
	 */
	uint64_t violations;
	/** Text of a group record that makes crash_target crash, or "". */
	char crash_on_state[KL_NAME_MAX];
	char crash_target[KL_NAME_MAX]; /**< name of a VM or a database */
	uint64_t admission_timeout_us;	/**< longest wait for tokens */
	bool services_unused;		/**< no VM reports use of a service */
	/** The platform promotes databases and divides its objects in feeds. */
	bool platform_promotes;
	uint64_t last_service_use_at_us; /**< time of the last such report */
	kl_tuning_t tuning;		 /**< of VMs started from now on */
	/** Settings of the request path on all VMs. */
	kl_path_settings_t data_path_settings;
	FILE *decision_log; /**< prints controllers' decisions, or NULL */
} world_t;

/** Create a cluster without VMs, databases or objects. */
world_t *world_new(uint32_t seed);
void world_free(world_t *world);

/** Add a VM and start it. */
vm_t *world_add_vm(world_t *world, const char *name, const char *domain);
/** Start a VM with a new incarnation. */
void world_start_vm(vm_t *vm);
/** Stop a VM without notice; its queued events are dropped. */
void world_kill_vm(vm_t *vm);
/** Run a frozen VM again: handles the events that arrived meanwhile. */
void world_thaw_vm(vm_t *vm);
/** Add a database; the first one of a service is its primary. */
db_t *world_add_db(world_t *world, const char *service, const char *name,
		   const char *domain);

/**
 * Write the object "service/NAME" with the databases added so far.
 *
 * @param conn_limit most connections of all VMs together to each database
 */
void world_put_service(world_t *world, const char *service, int conn_limit);
/** Write an object to the platform's store; body "null" deletes it. */
void world_put_object(world_t *world, const char *name, const char *body);
/** Write a VM's object; the state "gone" deletes it. */
void world_register_vm(vm_t *vm, const char *state);
/** Let the platform promote databases; call it before adding VMs. */
void world_use_platform_promotion(world_t *world);
/** Write the objects in which a service's databases register themselves. */
void world_register_databases(world_t *world, const char *service);

/** Set the rate, in statements a second, of a workspace's clients at a VM. */
workload_t *world_set_workload(world_t *world, vm_t *vm, const char *workspace,
			       uint64_t rate);
/**
 * Add workspaces with clients on every VM: few of high demand, most of low.
 * Each has a plan whose rate is 1.6 times its mean demand.
 *
 * @param rate statements a second of all workspaces on all VMs
 */
void world_add_workspaces(world_t *world, int workspaces, int rate);

/** Find or add the gate of a VM to a database with slots. */
world_gate_t *world_find_gate(world_t *world, vm_t *vm, db_t *db);
/** Set the statements a second of a priority from a VM to such a database. */
void world_offer(world_t *world, vm_t *vm, db_t *db, double rate,
		 uint32_t level);
/** Count what happens at such a database from now on. */
void world_reset_slot_counts(world_t *world, db_t *db);

/** Advance the clock by a duration, microseconds. */
void world_run(world_t *world, uint64_t duration_us);

/** @return the VM, or NULL */
vm_t *world_find_vm(world_t *world, const char *name);
/** @return the database, or NULL */
db_t *world_find_db(world_t *world, const char *name);
/** A service's group as a VM knows it. @return NULL if it knows none */
const kl_group_t *world_vm_group(vm_t *vm, const char *service);
/** A service's group as the platform stores it; all zero if it has none. */
kl_group_t world_group_record(world_t *world, const char *service);

/** Whether a VM may send statements to an upstream that it knows. */
bool world_may_use(vm_t *vm, const char *service, const char *upstream);
/** Admit up to count statements of a workspace now. @return how many */
uint64_t world_admit(vm_t *vm, const char *workspace, uint64_t count);

/**
 * Route a write and run it on the primary, without acknowledging it.
 *
 * @return 0 or a negative error
 */
int world_begin_write(vm_t *vm, const char *service, const char *id,
		      pending_write_t *pending);
/**
 * Acknowledge a write if its term is proven to be current.
 *
 * @param proof set to the name of the last proof method tried
 * @return 0 or -KL_E_REPLACED
 */
int world_confirm_write(pending_write_t *pending, const char **proof);

/** Load a VM's sections as a request does. */
void world_load_view(vm_t *vm, kl_view_t *view);

#ifdef __cplusplus
}
#endif
#endif
