/**
 * @file
 * The configuration soak: changes routes, keys and services again and again
 * while processes, links and the store have trouble, and checks from what
 * clients see that each VM follows (the users' rule CONFIG).
 */
#ifndef KL_CONFIG_SOAK_H
#define KL_CONFIG_SOAK_H

#include "tests/soak/soak.h"

#define CONFIG_VMS 6
#define CONFIG_VMS_PER_DOMAIN 3
#define CONFIG_ROUTES 12
#define CONFIG_KEYS 10
#define CONFIG_WORKSPACES 3

/** What a VM showed a client of the configuration that it has. */
typedef enum config_effect {
	EFFECT_UNKNOWN_DATABASE, /**< refused: no such route */
	EFFECT_REFUSED_KEY,	 /**< refused: no such key */
	EFFECT_ACCEPTED,	 /**< the login succeeded */
	EFFECT_SERVED,		 /**< a database ran the statement */
	EFFECT_NONE		 /**< any other answer, or none */
} config_effect_t;

/** A request of a client, and what it showed. */
typedef struct config_request {
	int vm;
	int route;
	int key;
	bool is_login; /**< not a read of a session */
	uint64_t sent_us;
	uint64_t answered_us;
	config_effect_t effect;
} config_request_t;

/** All versions of the configuration, and what each VM showed of them. */
typedef struct history history_t;

history_t *history_new(GRand *random);
void history_free(history_t *history);
/** The newest version, as a request body of the store. @return to be freed */
char *history_body(const history_t *history);
/** Store the next version, which differs in some routes and keys. */
void history_change(history_t *history);
/** Choose a route and a key, most often such as changed lately. */
void history_choose(const history_t *history, GRand *random, int *route,
		    int *key);
/** A disruption of a VM, or of all if vm is -1, begins or ends. */
void history_disrupted(history_t *history, int vm, bool begins);
/** A new process was started on a VM. */
void history_restarted(history_t *history, int vm);
/** Number of the process that runs on a VM. */
int history_incarnation(const history_t *history, int vm);
/** Check a request against the versions that the VM may have had. */
void history_check(history_t *history, const config_request_t *request);
/** @return violations found; prints how much was checked */
int history_report(const history_t *history);

/** Clients that ask each VM for routes, with keys. */
typedef struct probes probes_t;

probes_t *probes_new(struct event_base *base, const fleet_t *fleet,
		     history_t *history, GRand *random);
void probes_free(probes_t *probes);

#endif
