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
	KL_PEER_LOAD_QUERY,	/**< asks for the load of a failure domain */
	KL_PEER_LOADS,		/**< tells the load of upstreams */
	KL_PEER_PART_FETCH,	/**< requests more of an object sent in parts */
	KL_PEER_PART,		/**< brings a part of a large object */
	KL_PEER_KIND_COUNT
} kl_peer_kind_t;

/** Stands for the confirmation's age of a VM that has no confirmation. */
#define KL_AGE_UNCONFIRMED UINT64_MAX
/** Most bytes of objects in a delta, unless a single object is larger. */
#define KL_DELTA_BYTES_MAX 8000
/** Most bytes of an object's body in a delta; larger ones are sent in parts. */
#define KL_OBJECT_WHOLE_MAX 49152
/** Most bytes of an object, and of all objects, that a fetch may bring. */
#define KL_OBJECT_BYTES_MAX (8u << 20)
#define KL_FETCH_BYTES_MAX (24u << 20)

/**
 * The revisions that a VM holds, and the age of their confirmation.  A receiver
 * that holds the same revision of the terms takes the confirmation over; one
 * that holds the revision of an urgent feed, or a newer one, knows its copy to
 * be as current.
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
	/** Versions held by the sender (control/store_era.h). */
	uint64_t feed_revisions[KL_FEED_COUNT];
	/**
	 * Of the confirmation or of the oldest urgent feed (sync_current.c), or
	 * KL_AGE_UNCONFIRMED.
	 */
	uint64_t confirmation_age_us;
	/** The platform's store was at most at this version; 0: not known. */
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

/**
 * A part of an object's body.  The delta of the same message has one object,
 * whose body is the part; the fetch counts whole objects.
 */
typedef struct kl_peer_part {
	uint32_t offset; /**< of the part, or of the one requested; bytes */
	uint32_t size;	 /**< bytes of the whole body */
} kl_peer_part_t;

/** Newest eras of the store whose first revisions are known. */
#define KL_STORE_ERAS 4

/** Most services in a query for log positions, or in its answer. */
#define KL_PEER_POSITIONS_MAX 16

/** A service in a query for log positions, or in its answer. */
typedef struct kl_peer_position {
	char service[KL_NAME_MAX];
	uint64_t group_change; /**< answer: of the group's record */
	uint64_t term;	       /**< answer: of the primary's log position */
	uint64_t number;       /**< answer: of the primary's log position */
	uint64_t age_us;       /**< answer: since it was sampled, not too low */
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

/** Most workspaces in a message with counts of usage. */
#define KL_PEER_USAGE_MAX 64
/** Stands for a clock offset that is not known. */
#define KL_CLOCK_UNKNOWN INT64_MIN

/** The operations of a workspace in a usage window. */
typedef struct kl_peer_usage_count {
	char workspace[KL_NAME_MAX];
	uint32_t operations; /**< of one process, since the window began */
} kl_peer_usage_count_t;

/** Counts of usage, or the answer that acknowledges them. */
typedef struct kl_peer_usage {
	bool is_answer;
	/** Rises with each message of a process; answer: the newest received */
	uint32_t sequence;
	/** Of the process that counted the operations. */
	uint64_t incarnation;
	/** Answer: bit N says that message sequence - 1 - N was received. */
	uint32_t received;
	uint64_t window; /**< counts: number of the usage window */
	/**
	 * Microseconds.  Counts: the sender's wall clock minus the receiver's,
	 * or KL_CLOCK_UNKNOWN.  Answer: the sender's wall clock.
	 */
	int64_t clock_us;
	/**
	 * Answer: what the sender adds to its wall clock to get true time, or
	 * KL_CLOCK_UNKNOWN; microseconds.
	 */
	int64_t correction_us;
	uint32_t count; /**< counts: entries of list */
	kl_peer_usage_count_t list[KL_PEER_USAGE_MAX];
} kl_peer_usage_t;
/** Most services in a query for loads; most databases in its answer. */
#define KL_PEER_LOADS_MAX 32

/** A service in a query for loads, or a database in its answer. */
typedef struct kl_peer_load {
	char service[KL_NAME_MAX];
	char upstream[KL_NAME_MAX]; /**< answer: the database */
	uint64_t wait_us;	    /**< answer: expected wait of a statement */
	uint32_t running; /**< answer: statements of the sender running there */
	uint64_t age_us;  /**< answer: of these figures, not too low */
} kl_peer_load_t;

/**
 * A query for the load of the databases in the receiver's failure domain, or
 * its answer.  The age counts back from the time of the query, as in
 * kl_peer_positions_t.
 */
typedef struct kl_peer_loads {
	uint64_t query_sent_us; /**< clock of the VM that sent the query */
	uint32_t count;		/**< entries of list */
	kl_peer_load_t list[KL_PEER_LOADS_MAX];
} kl_peer_loads_t;

/** A message between VMs; which members are set depends on the kind. */
typedef struct kl_peer_message {
	kl_peer_kind_t kind;
	char from[KL_NAME_MAX]; /**< name of the VM that sends it */
	/** Hello, fetch, delta, part: newest era of the store; 0: none. */
	uint64_t store_era;
	/** Hello: lowest revisions seen in that era and those before; 0: none.
	 */
	uint64_t first_revisions[KL_STORE_ERAS];
	kl_peer_hello_t hello;
	kl_peer_fetch_t fetch;
	kl_peer_delta_t delta;
	kl_peer_part_t part;
	char subject[KL_NAME_MAX]; /**< suspect: service; loan: workspace */
	uint64_t term; /**< suspect: the term that the primary serves */
	kl_loan_request_t loan_request;
	kl_loan_grant_t loan_grant;
	kl_peer_positions_t positions;
	kl_peer_usage_t usage;
	kl_peer_loads_t loads;
} kl_peer_message_t;

/** Whether messages of a kind bring objects. */
static inline bool kl_peer_has_objects(kl_peer_kind_t kind)
{
	return kind == KL_PEER_DELTA || kind == KL_PEER_PART;
}

#endif
