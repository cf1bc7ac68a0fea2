#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <time.h>
#include <unistd.h>

#include "common.h"

#define SESSION_TIMEOUT_MS 3000
#define CALL_TIMEOUT_MS 5000
#define SERVICE_WAIT_MS 20000
#define RETRY_MS 50

const char *const outcome_names[] = {
	[OUTCOME_OK] = "ran",
	[OUTCOME_LOGIN] = "login refused",
	[OUTCOME_STATEMENT] = "refused",
	[OUTCOME_NONE] = "no complete answer",
};

static FILE *record_file;
static int64_t started_ms;

int64_t now_ms(void)
{
	struct timespec now;

	clock_gettime(CLOCK_MONOTONIC, &now);
	return (int64_t)now.tv_sec * 1000 + now.tv_nsec / 1000000;
}

void pause_ms(int64_t ms)
{
	struct timespec time = { ms / 1000, ms % 1000 * 1000000 };

	nanosleep(&time, NULL);
}

void record_open(const char *path)
{
	started_ms = now_ms();
	record_file = fopen(path, "a");
	if (!record_file)
		record_file = stderr;
}

void record(const char *format, ...)
{
	int64_t time_ms = now_ms() - started_ms;
	va_list args;

	fprintf(record_file, "%3lld.%03lld ", (long long)time_ms / 1000,
		(long long)time_ms % 1000);
	va_start(args, format);
	vfprintf(record_file, format, args);
	va_end(args);
	fputc('\n', record_file);
	fflush(record_file);
}

int dial(const char *address, int timeout_ms)
{
	struct sockaddr_in peer = { .sin_family = AF_INET };
	struct timeval timeout = { timeout_ms / 1000,
				   timeout_ms % 1000 * 1000 };
	const char *colon = strrchr(address, ':');
	char host[ADDRESS_MAX];
	int on = 1;
	int fd;

	if (!colon || (size_t)(colon - address) >= sizeof(host))
		return -1;
	memcpy(host, address, (size_t)(colon - address));
	host[colon - address] = '\0';
	peer.sin_port = htons((uint16_t)strtol(colon + 1, NULL, 10));
	if (inet_pton(AF_INET, host, &peer.sin_addr) != 1)
		return -1;
	fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	if (fd < 0)
		return -1;
	setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof(timeout));
	setsockopt(fd, SOL_SOCKET, SO_SNDTIMEO, &timeout, sizeof(timeout));
	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
	if (!connect(fd, (struct sockaddr *)&peer, sizeof(peer)))
		return fd;
	close(fd);
	return -1;
}

/* Sends all bytes. @return whether that succeeded */
static bool send_all(int fd, const char *bytes, size_t length)
{
	while (length) {
		ssize_t sent = send(fd, bytes, length, MSG_NOSIGNAL);

		if (sent <= 0)
			return false;
		bytes += sent;
		length -= (size_t)sent;
	}
	return true;
}

int http_call(const char *address, const char *method, const char *path,
	      const char *body)
{
	size_t length = body ? strlen(body) : 0;
	char head[512], answer[512];
	int status = -1;
	int fd = dial(address, CALL_TIMEOUT_MS);
	ssize_t got;

	if (fd < 0)
		return -1;
	snprintf(head, sizeof(head),
		 "%s %s HTTP/1.1\r\nHost: %s\r\nConnection: close\r\n"
		 "Content-Type: application/json\r\nContent-Length: %zu\r\n"
		 "\r\n",
		 method, path, address, length);
	if (send_all(fd, head, strlen(head)) &&
	    (!body || send_all(fd, body, length))) {
		got = recv(fd, answer, sizeof(answer) - 1, MSG_WAITALL);
		if (got > 12) {
			answer[got] = '\0';
			status = (int)strtol(answer + strlen("HTTP/1.1 "), NULL,
					     10);
		}
	}
	close(fd);
	return status;
}

bool read_line(int session, char *line, int size)
{
	int length = 0;
	char byte;

	while (recv(session, &byte, 1, 0) == 1) {
		if (byte == '\n') {
			line[length] = '\0';
			return true;
		}
		if (byte != '\r' && length < size - 1)
			line[length++] = byte;
	}
	line[length] = '\0';
	return false;
}

/* Sends a line, and reads lines up to READY or to the end of the session. */
static outcome_t exchange(int session, const char *text, char error[32])
{
	outcome_t outcome = OUTCOME_NONE;
	char line[512];

	if (!send_all(session, text, strlen(text)))
		return OUTCOME_NONE;
	while (read_line(session, line, sizeof(line))) {
		if (!strncmp(line, "ERROR ", 6)) {
			snprintf(error, 32, "%.*s", (int)strcspn(line + 6, " "),
				 line + 6);
			outcome = OUTCOME_STATEMENT;
		} else if (!strncmp(line, "COMPLETE ", 9)) {
			outcome = OUTCOME_OK;
		} else if (!strncmp(line, "READY ", 6)) {
			return outcome == OUTCOME_NONE ? OUTCOME_OK : outcome;
		}
	}
	/* A refused login ends the session without READY. */
	return *error ? OUTCOME_STATEMENT : OUTCOME_NONE;
}

outcome_t ask_once(const char *address, const char *database, const char *key,
		   const char *statement, char error[32])
{
	static unsigned int request_number;
	int session = dial(address, SESSION_TIMEOUT_MS);
	outcome_t outcome;
	char text[512];

	error[0] = '\0';
	if (session < 0)
		return OUTCOME_NONE;
	snprintf(text, sizeof(text), "STARTUP %s %s\r\n", database, key);
	outcome = exchange(session, text, error);
	if (outcome == OUTCOME_STATEMENT)
		outcome = OUTCOME_LOGIN;
	if (outcome == OUTCOME_OK) {
		snprintf(text, sizeof(text), "QUERY q%u %s\r\n",
			 ++request_number, statement);
		outcome = exchange(session, text, error);
	}
	close(session);
	return outcome;
}

bool await_service(const char *const *addresses, int count,
		   const char *database, const char *key)
{
	int64_t until_ms = now_ms() + SERVICE_WAIT_MS;
	char error[32];

	for (int i = 0; i < count; i++) {
		while (ask_once(addresses[i], database, key, "READ x", error) !=
		       OUTCOME_OK) {
			if (now_ms() > until_ms)
				return false;
			pause_ms(RETRY_MS);
		}
	}
	pause_ms(SESSION_TIMEOUT_MS);
	return true;
}
