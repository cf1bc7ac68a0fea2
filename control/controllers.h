/**
 * @file
 * The functions of all controllers, and the few that one calls of another.
 */
#ifndef KL_CONTROLLERS_H
#define KL_CONTROLLERS_H

#include "control/node.h"

int kl_sync_create(kl_node_t *node);
void kl_sync_step(kl_node_t *node, const kl_event_t *event);
void kl_sync_destroy(kl_node_t *node);
/** Request a full list of a feed at the next tick. */
void kl_sync_request_list(kl_node_t *node, kl_feed_t feed);
/** Time of the request for the last full list of a feed received, or 0. */
uint64_t kl_sync_last_list_us(const kl_node_t *node, kl_feed_t feed);
/**
 * Since when the databases' registrations are complete, or 0 if they may not
 * be: some lapse while the store is away, and are back some time after its
 * return.  A process that starts can't tell whether it was away.
 */
uint64_t kl_sync_registry_complete_us(const kl_node_t *node);
/** Whether changes of a feed must be known within a bounded time. */
bool kl_feed_is_urgent(kl_feed_t feed);
/** Time since a feed was last known to be current, microseconds. */
uint64_t kl_sync_feed_age_us(const kl_node_t *node, kl_feed_t feed);
/** Newest era of the store that is known (control/store_era.h); 0: none. */
uint64_t kl_sync_era(const kl_node_t *node);
/** Whether the store had been restored when this process started. */
bool kl_sync_started_restored(const kl_node_t *node);
/** Lowest revision of the store that was seen in that era, or 0. */
uint64_t kl_sync_first_revision(const kl_node_t *node);
/** Number of answers and messages of older eras. */
uint64_t kl_sync_refused_era_count(const kl_node_t *node);
/** Number of entries of the store that were left out for their names. */
uint64_t kl_sync_skipped_count(const kl_node_t *node);
/** Number of fetches from other VMs that were refused. */
uint64_t kl_sync_refused_fetch_count(const kl_node_t *node);
/** Send a hello to a VM and request an answer. */
void kl_sync_send_hello(kl_node_t *node, const kl_member_t *member);

int kl_config_create(kl_node_t *node);
void kl_config_step(kl_node_t *node, const kl_event_t *event);
void kl_config_destroy(kl_node_t *node);

int kl_member_create(kl_node_t *node);
void kl_member_step(kl_node_t *node, const kl_event_t *event);
void kl_member_destroy(kl_node_t *node);

int kl_terms_create(kl_node_t *node);
void kl_terms_step(kl_node_t *node, const kl_event_t *event);
void kl_terms_destroy(kl_node_t *node);

int kl_health_create(kl_node_t *node);
void kl_health_step(kl_node_t *node, const kl_event_t *event);
void kl_health_destroy(kl_node_t *node);

int kl_failover_create(kl_node_t *node);
void kl_failover_step(kl_node_t *node, const kl_event_t *event);
void kl_failover_destroy(kl_node_t *node);

int kl_promote_create(kl_node_t *node);
void kl_promote_step(kl_node_t *node, const kl_event_t *event);
void kl_promote_destroy(kl_node_t *node);

int kl_share_create(kl_node_t *node);
void kl_share_step(kl_node_t *node, const kl_event_t *event);
void kl_share_destroy(kl_node_t *node);

int kl_drain_create(kl_node_t *node);
void kl_drain_step(kl_node_t *node, const kl_event_t *event);
void kl_drain_destroy(kl_node_t *node);

int kl_position_create(kl_node_t *node);
void kl_position_step(kl_node_t *node, const kl_event_t *event);
void kl_position_destroy(kl_node_t *node);

int kl_usage_create(kl_node_t *node);
void kl_usage_step(kl_node_t *node, const kl_event_t *event);
void kl_usage_destroy(kl_node_t *node);
int kl_load_create(kl_node_t *node);
void kl_load_step(kl_node_t *node, const kl_event_t *event);
void kl_load_destroy(kl_node_t *node);

/** Whether every slot has had an owner, ever since the fleet's first start. */
bool kl_share_all_slots_created(const kl_node_t *node);
/** Number of slots (see control/slot.h) recorded as this VM's. */
uint32_t kl_share_owned_slot_count(const kl_node_t *node);

#endif
