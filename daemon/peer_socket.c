#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include "daemon/log.h"
#include "daemon/peer_socket.h"
#include "kumquatloft/kind.h"

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
