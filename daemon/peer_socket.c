#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include "daemon/counter.h"
#include "daemon/log.h"
#include "daemon/peer_socket.h"
#include "kumquatloft/kind.h"
#include "peer/peer_codec.h"

static void log_unsent(const char *vm, const kl_peer_message_t *message);

int kl_peer_socket_open(const char *host, uint16_t port)
{
	struct sockaddr_in address = { .sin_family = AF_INET };
	int fd = socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);

	address.sin_port = htons(port);
	inet_pton(AF_INET, host, &address.sin_addr);
	if (fd >= 0 && !bind(fd, (struct sockaddr *)&address, sizeof(address)))
		return fd;
	if (fd >= 0)
		close(fd);
	kl_log_event("start_failed", "cannot bind the UDP port peer_port; the "
				     "daemon does not start");
	return -KL_E_UNAVAILABLE;
}

void kl_peer_socket_send(int fd, const kl_identity_t *self, const char *vm,
			 const char *host, uint16_t port,
			 const kl_peer_message_t *message)
{
	struct sockaddr_in address = { .sin_family = AF_INET };
	static char buffer[KL_PEER_DATAGRAM_MAX];
	int length;

	address.sin_port = htons(port);
	if (inet_pton(AF_INET, host, &address.sin_addr) != 1)
		return;
	length = kl_peer_encode(message, self->host, self->port, buffer,
				sizeof(buffer));
	if (length < 0) {
		log_unsent(vm, message);
		return;
	}
	kl_counter_add(KL_COUNTER_PEER_SENT, 1);
	kl_counter_add(KL_COUNTER_PEER_SENT_BYTES, (uint64_t)length);
	/* A failed send is treated like a datagram lost in the network. */
	if (sendto(fd, buffer, (size_t)length, 0, (struct sockaddr *)&address,
		   sizeof(address)) < 0)
		kl_counter_add(KL_COUNTER_PEER_UNSENT, 1);
}

/* A message that can't be encoded is too large for a datagram. */
static void log_unsent(const char *vm, const kl_peer_message_t *message)
{
	kl_decision_t decision = { .name = "message_unsent",
				   .reason = "too_large",
				   .peer = vm };

	if (kl_peer_has_objects(message->kind))
		decision.feed = kl_feed_name(message->delta.fetch.feed);
	kl_counter_add(KL_COUNTER_PEER_UNSENT, 1);
	kl_log_decision(&decision);
}
