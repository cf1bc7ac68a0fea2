/**
 * @file
 * The daemon's settings: YAML, checked as a whole before anything starts.
 */
#ifndef KL_SETTINGS_H
#define KL_SETTINGS_H

#include <stdint.h>

/** A peer to ask before any list is known. */
typedef struct kl_settings_peer {
	char *host;
	uint32_t port;
} kl_settings_peer_t;

/** Settings of one VM's daemon. */
typedef struct kl_settings {
	char *vm;
	char *domain;
	char *host;
	char *listen; /**< IP:PORT, in place of listen_port */
	char *ready;  /**< IP:PORT, in place of ready_port */
	uint32_t listen_port;
	uint32_t peer_port;
	uint32_t status_port;
	char *platform;
	char *platform_format;
	char *promoter;
	char *front;
	char *ready_path;
	char *upstream_user;
	kl_settings_peer_t *peers;
	uint32_t peers_count;
	char **read_functions;
	uint32_t read_functions_count;
	uint32_t workers;
	uint32_t lease_ms;
	uint32_t confirm_ms;
	uint32_t probe_ms;
	uint32_t suspect_ms;
	uint32_t read_wait_ms;
	uint32_t admit_wait_ms;
	uint32_t statement_ms;
	uint32_t silent_ms;
	uint32_t drain_ms;
	uint32_t stale_after_ms;
	uint32_t share_hold_s;
	uint32_t slots;
	uint32_t ready_port;
	uint32_t transaction_grace_ms;
	uint32_t connect_ms;
	uint32_t log_lines;
	uint32_t drain_least_ms;
	uint32_t down_ms;
} kl_settings_t;

/**
 * Load and check settings; says on standard error what is wrong where.
 *
 * @return settings to be freed, or NULL
 */
kl_settings_t *kl_settings_load(const char *path);
void kl_settings_free(kl_settings_t *settings);

#endif
