#include <pthread.h>
#include <stdint.h>
#include <stdlib.h>
#include <sys/eventfd.h>
#include <unistd.h>

#include "daemon/inbox.h"

struct kl_inbox {
	pthread_mutex_t lock;
	CK_STAILQ_HEAD(, kl_message) messages;
	struct event *wake_event;
	int wake_fd;
	void *owner;
};

static void on_wake(evutil_socket_t fd, short what, void *arg);
static void handle_all(kl_inbox_t *inbox, void *owner);

kl_inbox_t *kl_inbox_new(struct event_base *base, void *owner)
{
	kl_inbox_t *inbox = calloc(1, sizeof(*inbox));

	if (!inbox)
		return NULL;
	pthread_mutex_init(&inbox->lock, NULL);
	CK_STAILQ_INIT(&inbox->messages);
	inbox->owner = owner;
	inbox->wake_fd = eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC);
	inbox->wake_event = event_new(base, inbox->wake_fd,
				      EV_READ | EV_PERSIST, on_wake, inbox);
	event_add(inbox->wake_event, NULL);
	return inbox;
}

void kl_inbox_free(kl_inbox_t *inbox)
{
	if (!inbox)
		return;
	handle_all(inbox, NULL);
	event_free(inbox->wake_event);
	close(inbox->wake_fd);
	pthread_mutex_destroy(&inbox->lock);
	free(inbox);
}

void kl_inbox_post(kl_inbox_t *inbox, kl_message_t *message)
{
	uint64_t one = 1;

	pthread_mutex_lock(&inbox->lock);
	CK_STAILQ_INSERT_TAIL(&inbox->messages, message, link);
	pthread_mutex_unlock(&inbox->lock);
	/* Fails only if the counter is full, which wakes the loop as well. */
	if (write(inbox->wake_fd, &one, sizeof(one)) < 0)
		return;
}

static void on_wake(evutil_socket_t fd, short what, void *arg)
{
	kl_inbox_t *inbox = arg;
	uint64_t count;
	(void)what;

	if (read(fd, &count, sizeof(count)) < 0)
		return;
	handle_all(inbox, inbox->owner);
}

static void handle_all(kl_inbox_t *inbox, void *owner)
{
	CK_STAILQ_HEAD(, kl_message) batch;
	kl_message_t *message;

	CK_STAILQ_INIT(&batch);
	pthread_mutex_lock(&inbox->lock);
	CK_STAILQ_CONCAT(&batch, &inbox->messages);
	pthread_mutex_unlock(&inbox->lock);
	while ((message = CK_STAILQ_FIRST(&batch))) {
		CK_STAILQ_REMOVE_HEAD(&batch, link);
		message->handler(owner, message);
	}
}
