/**
 * @file
 * Messages between VMs, apart from their encoding.
 */
#ifndef KL_PEER_MESSAGE_H
#define KL_PEER_MESSAGE_H

#include <stdbool.h>
#include <stdint.h>

#include "board/sections.h"
#include "kumquatloft/share.h"

/** Kinds of messages between VMs. */
typedef enum kl_peer_kind {
	KL_PEER_HELLO,	      /**< what I hold, when it was confirmed */
	KL_PEER_FETCH,	      /**< send me what changed since */
	KL_PEER_DELTA,	      /**< what changed since */
	KL_PEER_SUSPECT,      /**< this group's primary fails my probes */
	KL_PEER_LOAN_REQUEST, /**< lend me a part */
	KL_PEER_LOAN_GRANT,   /**< a part, lent */
	KL_PEER_KIND_COUNT
} kl_peer_kind_t;

#define KL_AGE_UNCONFIRMED UINT64_MAX
/** Bytes of objects in one delta. */
#define KL_DELTA_BYTES_MAX 8000

/** What a VM holds, and the question and answer of a confirmation. */
typedef struct kl_peer_hello {
	uint64_t incarnation;
	char domain[KL_NAME_MAX];
	char host[KL_HOST_MAX];
	uint16_t port;
	bool wants_answer;
	uint64_t sent_us; /**< sender's clock now */
	uint64_t echo_us; /**< receiver's clock in the message answered */
	uint64_t feed_revisions[KL_FEED_COUNT]; /**< held of each feed */
	uint64_t confirmation_age_us;		/**< of the confirmation, or
						   KL_AGE_UNCONFIRMED */
} kl_peer_hello_t;

/** A question for the objects that changed since a revision. */
typedef struct kl_peer_fetch {
	kl_feed_t feed;
	uint64_t since_revision;
	uint32_t skip; /**< objects that came already */
} kl_peer_fetch_t;

/** Objects changed since a revision, oldest first. */
typedef struct kl_peer_delta {
	kl_peer_fetch_t fetch;
	uint64_t revision; /**< complete up to here if !more */
	bool more;
	bool full; /**< all objects of the feed, not just changed ones */
	kl_object_list_t objects;
} kl_peer_delta_t;

/** A message between VMs. */
typedef struct kl_peer_message {
	kl_peer_kind_t kind;
	char from[KL_NAME_MAX];
	kl_peer_hello_t hello;
	kl_peer_fetch_t fetch;
	kl_peer_delta_t delta;
	char subject[KL_NAME_MAX]; /**< suspect: service; loans: workspace */
	uint64_t term;		   /**< suspect */
	kl_loan_request_t ask;
	kl_loan_grant_t grant;
} kl_peer_message_t;

#endif
