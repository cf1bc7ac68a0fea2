/**
 * @file
 * What the files of the sync controller share.
 */
#ifndef KL_SYNC_INTERNAL_H
#define KL_SYNC_INTERNAL_H

#include "control/node.h"

/** What is held of one feed, and what is asked of the platform about it. */
typedef struct kl_feed_state {
	uint64_t revision;	 /**< what is held is complete up to here */
	uint64_t watch_revision; /**< the platform's revision to watch from */
	uint64_t min_delta_revision; /**< removals are known from this revision
					on */
	bool loaded;		     /**< a whole list has come */
	bool needs_list;       /**< the history is gone, or never was there */
	uint64_t last_list_us; /**< when the last whole list was asked for */
	uint64_t list_sent_us; /**< when the outstanding list was asked, or 0 */
	uint64_t next_list_us;
	uint64_t watch_sent_us; /**< when the outstanding watch was asked, or 0
				 */
	uint64_t next_watch_us;
} kl_feed_state_t;

/** The controller's state. */
typedef struct kl_sync {
	kl_feed_state_t feeds[KL_FEED_COUNT];
	uint64_t confirmed_us;
	bool confirmed;
	uint64_t registered_us; /**< this VM's own record was first seen */
	uint64_t last_hello_us;
	uint64_t
		fetch_sent_us; /**< when the outstanding fetch was sent, or 0 */
	char fetch_vm[KL_NAME_MAX];
	kl_peer_fetch_t fetch;		  /**< the outstanding question */
	uint64_t fetch_revision;	  /**< of its first answer, or 0 */
	kl_object_list_t fetched_objects; /**< of an unfinished fetch */
} kl_sync_t;

/** What was heard of a feed. */
typedef struct kl_feed_update {
	kl_feed_t feed;
	kl_object_list_t *objects; /**< taken over */
	uint64_t revision;	   /**< held once this is installed */
	uint64_t read_revision;	   /**< of the platform, when this was read */
	bool full;		   /**< what is not among changed is gone */
} kl_feed_update_t;

/** Publish a new set of objects. @return true if there was news */
bool kl_sync_apply(kl_node_t *node, kl_sync_t *sync,
		   const kl_feed_update_t *news);

/** Note that what is held was current when a question was asked. */
void kl_sync_confirm(kl_node_t *node, kl_sync_t *sync, uint64_t asked_us);

/** Ask the parent in the domain's tree, and one VM of the whole fleet. */
void kl_sync_hello_round(kl_node_t *node, kl_sync_t *sync);

/** Tell the children and a few others at once that there is news. */
void kl_sync_announce(kl_node_t *node, const kl_sync_t *sync);

/** Take in a message of another VM. */
void kl_sync_handle_hello(kl_node_t *node, kl_sync_t *sync,
			  const kl_peer_message_t *message);
void kl_sync_handle_fetch(kl_node_t *node, kl_sync_t *sync,
			  const kl_peer_message_t *message);
void kl_sync_handle_delta(kl_node_t *node, kl_sync_t *sync,
			  const kl_peer_message_t *message);

#endif
