/**
 * @file
 * A queue into another thread's event loop.
 */
#ifndef KL_INBOX_H
#define KL_INBOX_H

#include <ck_queue.h>
#include <event2/event.h>

/** Embedded in what is posted. */
typedef struct kl_message {
	CK_STAILQ_ENTRY(kl_message) link;
	void (*handler)(void *owner, struct kl_message *letter);
} kl_message_t;

typedef struct kl_inbox kl_inbox_t;

/** Create an inbox on a loop; letters are opened there with owner. */
kl_inbox_t *kl_inbox_new(struct event_base *base, void *owner);

/** Free it; what is still queued is opened with a NULL owner. */
void kl_inbox_free(kl_inbox_t *inbox);

/** Post from any thread. */
void kl_inbox_post(kl_inbox_t *inbox, kl_message_t *letter);

#endif
