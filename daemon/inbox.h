/**
 * @file
 * A message queue into another thread's event loop.
 */
#ifndef KL_INBOX_H
#define KL_INBOX_H

#include <ck_queue.h>
#include <event2/event.h>

/** Head of a message; embedded in the structure that is posted. */
typedef struct kl_message {
	CK_STAILQ_ENTRY(kl_message) link;
	/**
	 * Called on the thread of the inbox's event loop; must free the
	 * message.  The argument owner is that of kl_inbox_new(), or NULL if
	 * the inbox is being freed.
	 */
	void (*handler)(void *owner, struct kl_message *message);
} kl_message_t;

typedef struct kl_inbox kl_inbox_t;

/**
 * Create an inbox whose messages are handled on an event loop.
 *
 * @param owner passed to each message's handler
 * @return NULL when out of memory
 */
kl_inbox_t *kl_inbox_new(struct event_base *base, void *owner);

/** Free an inbox; messages still queued are handled with a NULL owner. */
void kl_inbox_free(kl_inbox_t *inbox);

/** Post a message, from any thread. */
void kl_inbox_post(kl_inbox_t *inbox, kl_message_t *message);

#endif
