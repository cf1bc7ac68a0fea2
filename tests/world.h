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
	bool platform_cut; /**< the platform turns it away, after a while */
	bool refused;	   /**< the platform turns its new calls away at once */
	bool peers_cut;	   /**< it sends and receives no peer messages */
	/** bits of the feeds whose lists and watches get no answer */
	uint32_t silent_feeds;
	GRand *random;
	GQueue frozen_events; /**< world_event_t that arrived while frozen */
	uint64_t peer_messages_sent;
	uint64_t peer_bytes_sent;    /**< estimated */
	uint64_t load_messages_sent; /**< queries for loads, and answers */
	uint64_t platform_calls;
	uint64_t database_calls; /**< control calls, not statements */
	/**
	 * Time at which its clients' requests to a database began to fail, or 0
	 * if they do not fail.
	 */
	uint64_t unreachable_since_us[WORLD_CHECKED_DBS];
	int port; /**< for peers; index in world.vms plus 1 */
	/** Error of the wall clock of processes that start from now on. */
	int64_t clock_error_us;
	double operation_credit;   /**< operations to run, and a fraction */
	uint64_t usage_bytes_sent; /**< in messages with counts of usage */
} vm_t;

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
} db_t;

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

/** True time at time 0 of the simulation's clock: the start of 2026. */
#define WORLD_EPOCH_US 1767225600000000

/** Operations that databases run, and reports of them. */
typedef struct world_usage {
	uint64_t rate;	     /**< operations a second, over all VMs */
	uint32_t workspaces; /**< they are of these, at random; 0: none run */
	GRand *random;
	GHashTable *operations; /**< run, by "WINDOW/WORKSPACE" */
	GHashTable *reports;	/**< text of the first report of a window */
	uint64_t first_window;	/**< that was reported, or 0 */
	uint32_t late_reports;	/**< first reports that came after due */
	bool down;		/**< the platform accepts no reports */
	/** The VM that stores or sends the next report freezes then. */
	bool freeze_on_store, freeze_on_call;
	int answers_to_lose;	  /**< accepted calls without an answer */
	uint64_t token;		  /**< of the last call */
	char holder[KL_NAME_MAX]; /**< VM that sent it */
	uint64_t holder_us;	  /**< when it did */
	char previous_holder[KL_NAME_MAX];
	uint64_t previous_holder_us; /**< its last call */
} world_usage_t;

/** Number of windows with a report that is within the tolerance, and so on. */
typedef struct world_usage_verdict {
	uint32_t right, wrong, missing;
} world_usage_verdict_t;

/** The simulated cluster. */
typedef struct world {
	uint64_t now_us;
	GPtrArray *vms;		   /**< vm_t */
	GPtrArray *dbs;		   /**< db_t */
	GPtrArray *workloads;	   /**< workload_t */
	GPtrArray *pending_writes; /**< pending_write_t, used by scripts */
	GSequence *events;	   /**< world_event_t by time */
	GRand *random;
	GHashTable *objects; /**< the platform's store: name to kl_object_t */
	uint64_t revision;   /**< of the store, rises with each update */
	uint64_t era;	    /**< of the store, rises with each drill; 0: none */
	GPtrArray *history; /**< writes of the store, the oldest first */
	GPtrArray *lost_writes; /**< in a drill, that are written again */
	uint64_t rewrite_at_us; /**< time at which they are, or 0 */
	bool platform_down;
	uint64_t watches_cut_us; /**< watches that were sent until then fail */
	int platform_partition;	 /**< like vm.partition */
	int put_answers_to_lose; /**< the next updates lose their answer */
	int peer_loss_percent;	 /**< peer messages that are lost */
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
	world_usage_t usage;
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
/**
 * Restore the platform's store from a copy.  The era rises, if there is one.
 *
 * @param age_us age of the copy; later writes are lost
 * @param rewrite_us what operators and databases wrote since the copy is
 *                   written again after this time
 */
void world_drill(world_t *world, uint64_t age_us, uint64_t rewrite_us);
/** Write a VM's object; the state "gone" deletes it. */
void world_register_vm(vm_t *vm, const char *state);
/** Let the platform promote databases; call it before adding VMs. */
void world_use_platform_promotion(world_t *world);
/** Write the object in which a database registers itself. */
void world_register_database(world_t *world, const db_t *db);

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

/** Advance the clock by a duration, microseconds. */
void world_run(world_t *world, uint64_t duration_us);

/** @return the primary of the highest term of a service, or NULL */
db_t *world_current_primary(world_t *world, const char *service);

/** @return the VM, or NULL */
vm_t *world_find_vm(world_t *world, const char *name);
/** @return the database, or NULL */
db_t *world_find_db(world_t *world, const char *name);
/** A service's group as a VM knows it. @return NULL if it knows none */
const kl_group_t *world_vm_group(vm_t *vm, const char *service);
/** A service's group as the platform stores it; all zero if it has none. */
kl_group_t world_group_record(world_t *world, const char *service);

/** The primary that a VM relies on. @return its name, or NULL: none */
const char *world_proven_primary(vm_t *vm, const char *service);
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

/** Compare the reports that are due with the operations that were run. */
void world_judge_reports(world_t *world, world_usage_verdict_t *verdict);

/** Load a VM's sections as a request does. */
void world_load_view(vm_t *vm, kl_view_t *view);

#ifdef __cplusplus
}
#endif
#endif
