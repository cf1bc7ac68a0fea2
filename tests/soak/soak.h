/**
 * @file
 * The soak: real programs on this machine, faults from outside them, and the
 * promises checked from what callers and databases see.
 */
#ifndef KL_SOAK_H
#define KL_SOAK_H

#include <event2/event.h>
#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#define SOAK_HOST "127.0.0.1"
#define SOAK_VMS 3
#define SOAK_DATABASES 3

/** Ports; the number of a VM or database, from 0 on, is added. */
enum {
	SOAK_FRONT = 18010,
	SOAK_PEER = 18020,
	SOAK_STATUS = 18030,
	SOAK_READY = 18040,
	SOAK_LINE = 18050, /* the store; databases from 18051 on */
	SOAK_FRONT_RELAY = 18060,
	SOAK_STORE_RELAY = 18070,
	SOAK_LINE_RELAY = 18080, /* databases' relays from 18081 on */
};

/** What a relay does to the bytes of its connections. */
typedef enum relay_fault {
	RELAY_PASS,
	RELAY_DELAY,   /**< every byte comes late */
	RELAY_RESET,   /**< open connections are reset, once */
	RELAY_ONE_WAY, /**< nothing comes back */
	RELAY_SILENCE, /**< open connections are silent for good */
	RELAY_FAULTS
} relay_fault_t;

typedef struct relay relay_t;

/** Pass connections from one port of this machine to another. */
relay_t *relay_new(struct event_base *base, int port, int target);
void relay_set(relay_t *relay, relay_fault_t fault);
void relay_free(relay_t *relay);

/** The programs under test, and the stand-ins. */
int stand_start(const char *build, const char *folder);
void stand_stop(void);
/** Start a VM's process again, if it has ended. */
void stand_vm_start(int vm);
/** Send a signal to a VM's process. */
void stand_vm_signal(int vm, int number);
/** Whether a process ended by itself, or after SIGTERM with a failure. */
bool stand_vm_failed(int vm);
/** Set a fault of a database ("i-db1") or of the store ("store"). */
void stand_fault(const char *name, const char *fault, int value);
/** Put a configuration in force; with or without the second key. */
void stand_configure(int version, bool second_key);
/** All commits, a line each. @return text to be freed, or NULL */
char *stand_log(void);

/** Callers, and what they see. */
typedef struct callers callers_t;

callers_t *callers_new(struct event_base *base, GRand *random);
/** No operation begins any more. */
void callers_stop(callers_t *callers);
/** From now on every caller must be served again, and soon. */
void callers_settle(callers_t *callers);
/** The second key is withdrawn: from then on it must serve nobody. */
void callers_revoked(callers_t *callers, uint64_t from_us);
/** Compare with the commits of the databases. @return violations found */
int callers_judge(callers_t *callers, const char *log);
void callers_free(callers_t *callers);

uint64_t soak_now_us(void);
/** Print what broke a promise. */
void soak_violation(const char *format, ...)
	__attribute__((format(printf, 1, 2)));

#endif
