/**
 * @file
 * The soak test: runs the real programs on this machine, injects faults from
 * outside, and checks the guarantees against the answers that clients received
 * and the writes that the databases committed.
 */
#ifndef KL_SOAK_H
#define KL_SOAK_H

#include <event2/event.h>
#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#define SOAK_VMS 3
#define SOAK_VMS_MAX 9
#define SOAK_DATABASES 3

/**
 * Base ports; the index of the VM, from 0 on, is added. The store is at
 * SOAK_STORE_PORT and its databases at the ports that follow; the relays of the
 * databases follow SOAK_DATABASE_RELAY_PORT.
 */
enum {
	SOAK_LISTEN_PORT = 18010,
	SOAK_PEER_PORT = 18020,
	SOAK_STATUS_PORT = 18030,
	SOAK_READY_PORT = 18040,
	SOAK_STORE_PORT = 18050,
	SOAK_LISTEN_RELAY_PORT = 18060,
	SOAK_STORE_RELAY_PORT = 18070,
	SOAK_DATABASE_RELAY_PORT = 18080,
};

/** How a relay treats its connections. */
typedef enum relay_fault {
	RELAY_FORWARD,
	RELAY_DELAY,	    /**< forward late, in both directions */
	RELAY_RESET,	    /**< reset the open connections, once */
	RELAY_HOLD_REPLIES, /**< hold back what the target sends */
	RELAY_BLACKHOLE,    /**< drop all data of the open connections */
	RELAY_REFUSE,	    /**< reset the open connections and all new ones */
	RELAY_FAULT_COUNT
} relay_fault_t;

typedef struct relay relay_t;

/** The fleet under test. */
typedef struct fleet {
	const char *host; /**< loopback address of all processes */
	int vm_count;	  /**< at most SOAK_VMS_MAX */
	int vms_per_domain;
} fleet_t;

/** Forward connections from one port of an address to another one of it. */
relay_t *relay_new(struct event_base *base, const char *host, int port,
		   int target_port);
/**
 * Apply a fault. RELAY_RESET and RELAY_BLACKHOLE affect only the connections
 * that are open now; the others last until the next call.
 */
void relay_set_fault(relay_t *relay, relay_fault_t fault);
void relay_free(relay_t *relay);

/**
 * Start the stand-in of the store and databases and a daemon for each VM.
 * @param fleet stays in use until stand_stop()
 * @param build folder of the programs
 * @param configuration as in stand_put_configuration()
 * @param folder for settings and logs
 * @return 0, or -1 if the stand-in does not answer
 */
int stand_start(const fleet_t *fleet, const char *build, const char *folder,
		const char *configuration);
void stand_stop(void);
/** Start a VM's daemon, unless it is running. */
void stand_vm_start(int vm);
/** Send a signal to a VM's daemon, if it is running. */
void stand_vm_signal(int vm, int signal_number);
/** Whether a VM's daemon crashed, or failed while it stopped on SIGTERM. */
bool stand_vm_failed(int vm);
/**
 * Wait until no VM that runs has sessions or statements any more, a few seconds
 * at most; no client may be there.
 * @return VMs that still count some; each is printed
 */
int stand_check_idle(void);
/** Set a fault of a database, such as "i-db1", or of the store, "store". */
void stand_set_fault(const char *name, const char *fault, int value);
/**
 * Create or replace the configuration, with a request body of the store.
 * @return whether the store acknowledged it
 */
bool stand_put_configuration(const char *body);
/** Evacuate a failure domain of the databases, or take that back. */
void stand_set_evacuation(const char *domain, bool evacuated);
/** The statements that reached evacuated databases late, a line each. */
char *stand_late_statements(void);
/** The committed writes, a line each. @return text to be freed, or NULL */
char *stand_commit_log(void);

/*
 * Which VMs are in touch: rules with a time bound hold only for those that were
 * undisturbed for TOUCH_WINDOW_US.
 */
#define TOUCH_WINDOW_US 4000000
/** Stands for all VMs. */
#define TOUCH_ALL (-1)

void touch_reset(void);
/** A disturbance of a VM, or of all, begins. */
void touch_begin(int vm);
/** It ends. */
void touch_end(int vm);
/**
 * Check the late statements that stand_late_statements() returned, and print
 * those of VMs in touch.
 *
 * @return how many these are
 */
int touch_check_late_statements(const char *lines);

/** The clients, and the answers that they received. */
typedef struct clients clients_t;

/** @param host loopback address of the VMs, stays in use */
clients_t *clients_new(struct event_base *base, const char *host,
		       GRand *random);
/** Let the clients start no further operations. */
void clients_stop(clients_t *clients);
/** Let the clients begin no long transactions any more. */
void clients_end_long_operations(clients_t *clients);
/** Every client must complete an operation after this call. */
void clients_expect_service(clients_t *clients);
/** The second key was withdrawn at from_us; it must soon be refused. */
void clients_key_withdrawn(clients_t *clients, uint64_t from_us);
/**
 * Compare the answers that clients received with the committed writes.
 * @return violations found, those of the whole run included
 */
int clients_check(clients_t *clients, const char *log);
void clients_free(clients_t *clients);

/** Monotonic time, microseconds. */
uint64_t soak_now_us(void);
/** Remove a folder with its files. */
void soak_remove_folder(const char *folder);
/** Print a violated guarantee. */
void soak_violation(const char *format, ...)
	__attribute__((format(printf, 1, 2)));

#endif
