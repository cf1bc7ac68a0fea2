/**
 * @file
 * Messages between VMs, independent of their encoding.
 */
#ifndef KL_PEER_MESSAGE_H
#define KL_PEER_MESSAGE_H

#include <stdbool.h>
#include <stdint.h>

#include "board/sections.h"
#include "kumquatloft/share.h"

/** Kinds of messages between VMs. */
typedef enum kl_peer_kind {
	KL_PEER_HELLO,	 /**< tells the sender's revisions and confirmation */
	KL_PEER_FETCH,	 /**< requests the changes since a revision */
	KL_PEER_DELTA,	 /**< brings the changes since a revision */
	KL_PEER_SUSPECT, /**< the sender suspects a group's primary */
	KL_PEER_LOAN_REQUEST,	/**< asks for a loan of a workspace's tokens */
	KL_PEER_LOAN_GRANT,	/**< lends tokens of a workspace */
	KL_PEER_POSITION_QUERY, /**< asks for log positions of primaries */
	KL_PEER_POSITIONS,	/**< tells log positions of primaries */
	KL_PEER_USAGE,		/**< brings or acknowledges counts of usage */
	KL_PEER_PERMIT_REQUEST, /**< asks an arbiter for permits */
	KL_PEER_PERMIT_GRANT,	/**< grants permits of upstreams */
	KL_PEER_LOAD_QUERY,	/**< asks for the load of a failure domain */
	KL_PEER_LOADS,		/**< tells the load of upstreams */
	KL_PEER_KIND_COUNT
} kl_peer_kind_t;

/** Stands for the confirmation's age of a VM that has no confirmation. */
#define KL_AGE_UNCONFIRMED UINT64_MAX
/** Most bytes of objects in a delta, unless a single object is larger. */
#define KL_DELTA_BYTES_MAX 8000

/**
 * The revisions that a VM holds, and the age of their confirmation.  A receiver
 * that holds the same revision of the terms takes the confirmation over.
 */
typedef struct kl_peer_hello {
	uint64_t incarnation; /**< of the sender */
	char domain[KL_NAME_MAX];
	/** Sender's address, also in other kinds of messages to be answered. */
	char host[KL_HOST_MAX];
	uint16_t port;	   /**< UDP port of the same */
	bool wants_answer; /**< the receiver replies with a hello of its own */
	uint64_t sent_us;  /**< sender's clock at sending */
	uint64_t echo_us;  /**< sent_us of the hello answered, or 0 */
	uint64_t feed_revisions[KL_FEED_COUNT]; /**< held by the sender */
	uint64_t confirmation_age_us;		/**< or KL_AGE_UNCONFIRMED */
	/** The platform's store was at most at this revision; 0: not known. */
	uint64_t store_revision;
	uint64_t store_revision_age_us; /**< that long before sent_us */
} kl_peer_hello_t;

/** A request for the objects that changed since a revision. */
typedef struct kl_peer_fetch {
	kl_feed_t feed;
	uint64_t since_revision;
	uint32_t skip; /**< number of objects received already */
} kl_peer_fetch_t;

/** The objects that changed since a revision. */
typedef struct kl_peer_delta {
	kl_peer_fetch_t fetch; /**< the fetch that this one answers */
	uint64_t revision; /**< of the feed once all its deltas are applied */
	bool has_more;	   /**< another fetch is needed for further objects */
	bool is_full_list; /**< has all objects of the feed, not only changes */
	kl_object_list_t objects;
} kl_peer_delta_t;

/** Most services in a query for log positions, or in its answer. */
#define KL_PEER_POSITIONS_MAX 16

/** A service in a query for log positions, or in its answer. */
typedef struct kl_peer_position {
	char service[KL_NAME_MAX];
	uint64_t group_version; /**< answer: of the group's record */
	uint64_t term;		/**< answer: of the primary's log position */
	uint64_t number;	/**< answer: of the primary's log position */
	uint64_t age_us; /**< answer: since it was sampled, not too low */
} kl_peer_position_t;

/**
 * A query for log positions, or its answer.  The receiver of an answer takes
 * the age off the time at which it sent the query, so that an answer that is
 * late makes no position look newer than it is.
 */
typedef struct kl_peer_positions {
	uint64_t query_sent_us; /**< clock of the VM that sent the query */
	uint32_t count;		/**< entries of list */
	kl_peer_position_t list[KL_PEER_POSITIONS_MAX];
} kl_peer_positions_t;

/** Most upstreams in a request for permits, or in its answer. */
#define KL_PEER_PERMITS_MAX 16

/**
 * What a VM holds and wants at one upstream.  It states the whole and not a
 * change, so that a lost or repeated message does no harm.
 */
typedef struct kl_permit_request {
	char account[KL_NAME_MAX]; /**< "SERVICE/UPSTREAM" */
	uint32_t held; /**< statements running, and permits not used */
	uint32_t wanted[KL_PERMIT_LEVELS]; /**< permits more, by priority */
	uint64_t seen_sequence;		   /**< of the newest grant received */
	uint64_t answered;		   /**< statements answered so far */
	uint64_t latency_sum_us;	   /**< sum of their latencies */
	bool wants_answer;		   /**< also if none can be granted */
	bool contended; /**< the VM itself saw a sign of contention lately */
} kl_permit_request_t;

/**
 * An arbiter's answer for one upstream.  With request_sent_us 0 it is a notice
 * that the upstream is contended, for VMs that requested nothing.
 */
typedef struct kl_permit_grant {
	char account[KL_NAME_MAX];
	uint64_t sequence;	  /**< rises with each grant of this arbiter */
	uint64_t request_sent_us; /**< of the newest request received */
	uint32_t permits;	  /**< granted in addition to those held */
	bool contended;		  /**< VMs wait for permits, or did lately */
	uint64_t refresh_us; /**< a VM that waits reports again after this */
} kl_permit_grant_t;

/** Requests for the permits of several upstreams. */
typedef struct kl_peer_permit_requests {
	uint64_t sent_us; /**< sender's clock */
	uint32_t count;	  /**< entries of list */
	kl_permit_request_t list[KL_PEER_PERMITS_MAX];
} kl_peer_permit_requests_t;

/** Grants for several upstreams. */
typedef struct kl_peer_permit_grants {
	uint64_t sent_us; /**< arbiter's clock */
	uint32_t count;	  /**< entries of list */
	kl_permit_grant_t list[KL_PEER_PERMITS_MAX];
} kl_peer_permit_grants_t;

/** A message between VMs; which members are set depends on the kind. */
typedef struct kl_peer_message {
	kl_peer_kind_t kind;
	char from[KL_NAME_MAX]; /**< name of the VM that sends it */
	kl_peer_hello_t hello;
	kl_peer_fetch_t fetch;
	kl_peer_delta_t delta;
	char subject[KL_NAME_MAX]; /**< suspect: service; loan: workspace */
	uint64_t term; /**< suspect: the term that the primary serves */
	kl_loan_request_t loan_request;
	kl_loan_grant_t loan_grant;
	kl_peer_positions_t positions;
	kl_peer_permit_requests_t permit_requests;
	kl_peer_permit_grants_t permit_grants;
} kl_peer_message_t;

#endif
