/**
 * @file
 * Declarations shared by the files of the sync controller.
 */
#ifndef KL_SYNC_INTERNAL_H
#define KL_SYNC_INTERNAL_H

#include "control/node.h"
#include "control/revision_time.h"

/** Time from the process start to the first watch. */
#define KL_WATCH_START_DELAY_US (700 * KL_MS)

#define KL_KNOWN_RANGES 16 /**< ranges of revisions kept for a feed */

/** Revisions of a feed, the first and the last one included. */
typedef struct kl_revision_range {
	uint64_t first;
	uint64_t last;
} kl_revision_range_t;

/** The state of one feed, and of the calls of the platform for it. */
typedef struct kl_feed_state {
	uint64_t revision;	 /**< this VM has every change up to it */
	uint64_t watch_revision; /**< where the next watch starts */
	/**
	 * Newest ranges of revisions since which this VM knows every removal; a
	 * ring.  It skips those between two full lists.
	 */
	kl_revision_range_t known_ranges[KL_KNOWN_RANGES];
	uint32_t known_range_count; /**< ranges so far, also forgotten ones */
	bool loaded;		    /**< a full list has been applied */
	bool needs_list;	    /**< a full list must be requested */
	uint64_t last_list_us;	/**< send time of the last full list applied */
	uint64_t list_sent_us;	/**< send time of the outstanding list, or 0 */
	uint64_t next_list_us;	/**< earliest time of the next list */
	uint64_t watch_sent_us; /**< send time of the outstanding watch, or 0 */
	uint64_t next_watch_us; /**< earliest time of the next watch */
	/** Highest revision that another VM told of. */
	uint64_t told_revision;
	/** When it was first above the revision held since this changed. */
	uint64_t behind_since_us;
	/** Fetches of this revision are too large; 0: none. */
	uint64_t refused_revision;
	uint32_t skipped_last; /**< entries skipped in the last answer */
	/** The last call failed soon: none before retry_us, or before a list of
	 * any feed was successful. */
	bool refused;
	uint32_t refused_count; /**< calls refused in a row */
	uint64_t retry_us;	/**< time from which a call is tried again */
	bool proven; /**< the last call was answered, so a watch proves more */
	/** Newest time at which the copy is known to have been current, or 0.
	 */
	uint64_t current_us;
	/** The same without the outstanding watch, which may prove nothing. */
	uint64_t current_before_us;
	/** VM that told of current_us, or "". */
	char current_from[KL_NAME_MAX];
	/** Objects of the store's era were withheld as older than those held.
	 */
	bool has_withheld;
} kl_feed_state_t;

/** State of the sync controller. */
typedef struct kl_sync {
	kl_feed_state_t feeds[KL_FEED_COUNT];
	kl_revision_times_t revision_times;
	uint64_t confirmed_us; /**< as in kl_confirmation_t */
	bool has_confirmation; /**< confirmed at least once */
	/** When this VM's record was first seen, or 0 if it has none. */
	uint64_t registered_us;
	/** Newest time at which the store is known to have answered, or 0. */
	uint64_t store_answered_us;
	/** Registrations that lapsed in its last outage are back by then. */
	uint64_t registry_complete_us;
	uint64_t last_hello_us; /**< time of the last hellos */
	uint64_t fetch_sent_us; /**< send time of the outstanding fetch, or 0 */
	char fetch_vm[KL_NAME_MAX];   /**< VM that the fetch was sent to */
	char fetch_host[KL_HOST_MAX]; /**< address of that VM */
	uint16_t fetch_port;
	uint32_t fetch_retries; /**< times that the fetch was sent again */
	kl_peer_fetch_t fetch;	/**< the outstanding fetch */
	/** Revisions that the VM named in its last hello, by feed. */
	uint64_t fetch_vm_revisions[KL_FEED_COUNT];
	uint64_t fetch_revision; /**< of the first delta of it, or 0 */
	uint64_t era; /**< newest of the store that is known; 0: none */
	/** Lowest revisions seen in that era and in those before it; 0: none */
	uint64_t first_revisions[KL_STORE_ERAS];
	uint64_t first_era; /**< that this process knew */
	/** This VM's lease on the terms was valid when that era began. */
	bool had_lease_at_restore;
	uint64_t settled_us; /**< confirmations of the era count from then on */
	/** Until then a mark that the store lacks may be one that it lost. */
	uint64_t marks_kept_until_us;
	bool keeps_marks;	    /**< that time is not over */
	uint64_t refused_era_count; /**< answers and messages of older eras */
	/** Objects received for the outstanding fetch. */
	kl_object_list_t fetched_objects;
	size_t fetched_bytes; /**< of their bodies */
	/** The object whose parts are being received, or NULL. */
	kl_object_t *part;
	uint32_t part_size;	      /**< bytes of its body */
	uint32_t part_length;	      /**< bytes of its body received */
	uint64_t skipped_count;	      /**< entries whose names can't be held */
	uint64_t refused_fetch_count; /**< fetches that were too large */
} kl_sync_t;

/** Objects of a feed, from the platform or from another VM. */
typedef struct kl_feed_update {
	kl_feed_t feed;
	kl_object_list_t *objects; /**< emptied by kl_sync_apply() */
	uint64_t revision;	   /**< of the feed once this is applied */
	uint64_t read_revision;	   /**< the platform's, when this was read */
	uint64_t generation;	   /**< newest of its objects, or 0 */
	bool full;		   /**< any object not listed is removed */
	/** It has every change since the copy's revision, undone ones too. */
	bool has_every_change;
	const char *source; /**< for the log: "list", "watch" or "peer" */
	const char *peer;   /**< VM that it came from, or NULL */
	uint64_t sent_us;   /**< when it was requested */
} kl_feed_update_t;

/**
 * Log an object whose contents can't be read.
 *
 * @param name "" stands for the only object of the feed
 */
void kl_sync_log_unreadable(kl_node_t *node, kl_feed_t feed, const char *name,
			    uint64_t version);

/** Publish the objects with an update applied. @return whether any changed */
bool kl_sync_apply(kl_node_t *node, kl_sync_t *sync, kl_feed_update_t *update);

/**
 * Record that the revision held was current at sent_us, when the confirming
 * request was sent, and publish the confirmation.
 */
void kl_sync_confirm(kl_node_t *node, kl_sync_t *sync, uint64_t sent_us);

/**
 * Send a hello to this VM's parent in its failure domain's tree and to one
 * random VM; to the seeds while no other VM is known.
 */
void kl_sync_hello_round(kl_node_t *node, kl_sync_t *sync);

/** Announce new revisions to the children in the tree and two random VMs. */
void kl_sync_announce(kl_node_t *node, const kl_sync_t *sync);

/**
 * Add the revision of a feed's copy to those since which removals are known.
 * An object that was created and removed between two full lists is in neither,
 * so another VM that has it can't learn of its removal from the changes.
 */
void kl_sync_add_known_revision(kl_feed_state_t *feed,
				const kl_feed_update_t *update);

/**
 * Whether this VM knows every removal since a revision, so that the changes
 * since then bring a copy of that revision up to date.
 */
bool kl_sync_knows_removals(const kl_feed_state_t *feed, uint64_t since);

/**
 * Learn the store's era from an answer.  If it rose, every feed is listed.
 *
 * @return whether the answer is of the newest era that is known
 */
bool kl_sync_accept_answer(kl_node_t *node, kl_sync_t *sync,
			   const kl_platform_answer_t *answer);

/** The same for a message; the sender's feeds are fetched if the era rose. */
bool kl_sync_accept_message(kl_node_t *node, kl_sync_t *sync,
			    const kl_peer_message_t *message);

/** End the time in which a mark that the store lacks may be a lost one. */
void kl_sync_end_kept_marks(kl_node_t *node, kl_sync_t *sync, uint64_t now);

/** List a feed again, without regard to calls that are under way. */
void kl_sync_list_again(const kl_node_t *node, kl_sync_t *sync, kl_feed_t feed,
			uint64_t now);

/**
 * Change an update of a new era, if the store was restored from a copy that is
 * older than what this VM holds: configuration of the copy is taken out, and
 * records of groups that fell back keep the contents held.
 */
void kl_sync_withhold(kl_node_t *node, kl_sync_t *sync, const kl_objects_t *old,
		      const kl_feed_update_t *update);

/**
 * Whether an object replaces the one held: it is newer, or the one held is from
 * a copy of the store that is older than the object, which another VM withheld.
 */
bool kl_sync_replaces(const kl_sync_t *sync, const kl_object_t *object,
		      const kl_object_t *held);

/**
 * Raise the revision of a feed after a full list if this VM holds objects that
 * the store lost, so that VMs that started later fetch them.
 */
void kl_sync_offer_withheld(kl_sync_t *sync, const kl_objects_t *objects,
			    const kl_feed_update_t *update);

/** Whether a feed has what operators and databases write. */
bool kl_sync_is_configuration(kl_feed_t feed);

/**
 * Whether an object is from a copy of the store that is older than what is held
 * of it.
 *
 * @param held_version of what is held, or of the feed if that is nothing
 * @param held_generation the same; 0: not known
 */
bool kl_sync_is_outdated(const kl_sync_t *sync, kl_feed_t feed,
			 const kl_object_t *object, uint64_t held_version,
			 uint64_t held_generation);

/** Whether a full list lacks an object because the store lost it. */
bool kl_sync_is_lost(const kl_sync_t *sync, const kl_object_t *held,
		     const kl_feed_update_t *update);

/** Note that the store answered a request that was sent at answered_us. */
void kl_sync_note_store(const kl_node_t *node, kl_sync_t *sync,
			uint64_t answered_us);

/** Handle a message from another VM. */
void kl_sync_handle_hello(kl_node_t *node, kl_sync_t *sync,
			  const kl_peer_message_t *message);
/** The same for a fetch, and for a request for a part. */
void kl_sync_handle_fetch(kl_node_t *node, kl_sync_t *sync,
			  const kl_peer_message_t *message);
/** The same for a delta, and for a part. */
void kl_sync_handle_delta(kl_node_t *node, kl_sync_t *sync,
			  const kl_peer_message_t *message);

/* sync_current.c */

/** Note that a watch is being sent. */
void kl_feed_watch_sent(kl_feed_state_t *feed, uint64_t now);

/** Note that the outstanding watch, if there is one, still waits. */
void kl_feed_watch_waits(kl_feed_state_t *feed, uint64_t now);

/** Note that a list or watch that was sent at sent_us got no answer. */
void kl_feed_call_failed(kl_sync_t *sync, kl_feed_t feed, uint64_t now,
			 uint64_t sent_us);

/** Note that a list or watch that was sent at sent_us was answered. */
void kl_feed_answered(kl_feed_state_t *feed, uint64_t sent_us);

/**
 * Whether a feed must be listed before it is watched: the last call for it
 * failed, and a watch that is repeated proves nothing before it ends.
 */
bool kl_feed_is_unproven(const kl_sync_t *sync, kl_feed_t feed);

/**
 * Whether it is too long ago that the copy of an urgent feed was known to be
 * current.
 */
bool kl_feed_is_overdue(const kl_sync_t *sync, kl_feed_t feed, uint64_t now);

/**
 * Time at which this VM's confirmation and all its urgent feeds were current;
 * 0: not known.
 */
uint64_t kl_sync_current_us(const kl_node_t *node, const kl_sync_t *sync);

/** Note what another VM tells of the time at which it was current. */
void kl_sync_note_current(kl_sync_t *sync, const kl_peer_message_t *hello,
			  uint64_t current_us);

/** Note which feeds another VM has newer. */
void kl_sync_note_newer(const kl_node_t *node, kl_sync_t *sync,
			const kl_peer_message_t *hello);

/** Let a feed be listed that other VMs have newer and don't bring. */
void kl_sync_list_overdue(kl_node_t *node, kl_sync_t *sync);

/** Fetch a feed that another VM has newer, unless a fetch is outstanding. */
void kl_sync_fetch_newer(kl_node_t *node, kl_sync_t *sync,
			 const kl_peer_message_t *hello);

/** Send a fetch that has brought a part again, if it gets no answer. */
void kl_sync_retry_fetch(kl_node_t *node, kl_sync_t *sync);

/** Forget the outstanding fetch, and what was received for it. */
void kl_sync_end_fetch(kl_sync_t *sync);

/**
 * Keep the time since which this VM is registered; its record may be removed
 * and restored.
 *
 * @param seen_us time at which the record was there, if it is there now
 */
void kl_sync_update_registration(const kl_node_t *node, kl_sync_t *sync,
				 uint64_t seen_us);

#endif
