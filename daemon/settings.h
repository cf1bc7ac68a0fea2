/**
 * @file
 * The daemon's settings: a YAML file, checked as a whole before anything
 * starts.  kumquatloft.yaml(5) describes each setting.
 */
#ifndef KL_SETTINGS_H
#define KL_SETTINGS_H

#include <stdint.h>

/** A peer to contact before the list of VMs is known. */
typedef struct kl_settings_peer {
	char *host;
	uint32_t port;
} kl_settings_peer_t;

/** The settings; each field has the name of its key in the file. */
typedef struct kl_settings {
	char *vm;
	char *domain;	       /**< failure domain of the VM */
	char *host;	       /**< IPv4 address that all ports are opened on */
	char *listen;	       /**< IP:PORT, in place of listen_port */
	char *ready;	       /**< IP:PORT, in place of ready_port */
	uint32_t listen_port;  /**< TCP, for clients */
	uint32_t peer_port;    /**< UDP, for other VMs */
	uint32_t status_port;  /**< TCP, for status and metrics */
	char *platform;	       /**< URL of the platform's object API */
	char *platform_format; /**< "native" or "objects" */
	char *promote_url;     /**< URL for promotions, with "objects" */
	char *front;	       /**< "postgresql" or "line" */
	char *ready_path;      /**< HTTP path of the readiness probe */
	char *upstream_user;   /**< user name of the proxy at the upstreams */
	kl_settings_peer_t *peers;
	uint32_t peers_count;
	char **read_functions; /**< SQL functions without side effects */
	uint32_t read_functions_count;
	uint32_t workers;	/**< threads that serve clients */
	uint32_t lease_ms;	/**< validity of a confirmed term */
	uint32_t confirm_ms;	/**< interval of confirmations */
	uint32_t probe_ms;	/**< interval of a database's probes */
	uint32_t suspect_ms;	/**< a database that fails for this long is
				     suspected to be down */
	uint32_t read_wait_ms;	/**< limit of a read's wait for a replica */
	uint32_t admit_wait_ms; /**< limit of a statement's wait for tokens */
	uint32_t statement_ms;	/**< deadline of a statement */
	uint32_t silent_ms; /**< a read unanswered for this long is retried */
	uint32_t drain_ms;  /**< limit of a planned stop's wait for sessions */
	uint32_t stale_after_ms; /**< limit of using an unconfirmed
				      configuration; 0 for none */
	uint32_t share_hold_s;	 /**< an owned slot stays usable this long
				      after its last confirmation */
	uint32_t slots;		 /**< number of parts that each plan is
				      divided into, over all VMs */
	uint32_t ready_port; /**< TCP, for the readiness probe; 0 for none */
	uint32_t transaction_grace_ms; /**< time that a planned stop leaves to
					    open transactions */
	uint32_t connect_ms;	       /**< limit of a connection attempt */
	uint32_t log_lines;	       /**< log lines a second of each kind of
					    decision */
	uint32_t leave_ms; /**< no statement reaches a database later than this
				after it began to leave */
	uint32_t drain_least_ms; /**< shortest duration of a planned stop */
	uint32_t down_ms;	 /**< shortest time between the end of a process
				      and the start of the next one at its
				      address */
	char *duties;		 /**< duties of the platform, comma-separated */
	uint32_t usage_window_s; /**< length of a usage window; 0: no reports */
	uint32_t usage_delay_s;	 /**< a window's report is due this long after
				      the window's end */
	uint32_t priority_queues;  /**< 1: waiting statements are ordered by
					priority and workspace */
	uint32_t position_wait_ms; /**< limit of a read's wait for the primary's
					log position; 0: none */
	uint32_t domain_spill;	   /**< 1: reads leave the failure domain when
					its databases lack capacity */
} kl_settings_t;

/**
 * Load and check settings.  Errors go to standard error with file and line, if
 * the line is known.
 *
 * @param overrides settings as "NAME=NUMBER", which replace those of the file;
 *        one without a number is ignored; ends with NULL, or is NULL
 * @return settings to free with kl_settings_free(), or NULL on an error
 */
kl_settings_t *kl_settings_load(const char *path, char *const *overrides);

/**
 * How long statements are sent to a database that leaves, microseconds:
 * leave_ms less a fifth for the way of a statement to it.
 */
uint64_t kl_settings_leave_us(const kl_settings_t *settings);

/** Free settings. */
void kl_settings_free(kl_settings_t *settings);

#endif
