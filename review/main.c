/* Starts the stand-ins and plays one case: stand CASE. */
#include <arpa/inet.h>
#include <event2/thread.h>
#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

#include "cases.h"
#include "stand.h"

/* The second number of the loopback addresses is one of these. */
#define FIRST_NET 16
#define NETS 200
#define RESERVE_PORT 9431 /* UDP port that marks a net as taken */

struct event_base *base;
int trouble = 1;
FILE *record;
static double started_s;
static int net; /* second number of the loopback addresses */

typedef struct call {
	struct event *timer;
	void (*function)(void *arg);
	void *arg;
} call_t;

/*
 * Reserves a net of loopback addresses for this run, by a socket that no other
 * run can bind.
 */
static int reserve_net(void)
{
	for (int i = 0; i < NETS; i++) {
		struct sockaddr_in address = { .sin_family = AF_INET };
		int fd = socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0);

		net = FIRST_NET + ((int)getpid() + i) % NETS;
		address.sin_port = htons(RESERVE_PORT);
		inet_pton(AF_INET, ip_address(0, 1), &address.sin_addr);
		if (!bind(fd, (struct sockaddr *)&address, sizeof(address)))
			return 0;
		close(fd);
	}
	return -1;
}

const char *ip_address(int a, int b)
{
	static char text[4][24];
	static int next;

	next = (next + 1) % 4;
	snprintf(text[next], sizeof(text[next]), "127.%d.%d.%d", net, a, b);
	return text[next];
}

double now_s(void)
{
	struct timespec now;

	clock_gettime(CLOCK_MONOTONIC, &now);
	return (double)now.tv_sec + (double)now.tv_nsec / 1e9 - started_s;
}

void note(const char *format, ...)
{
	va_list arguments;

	va_start(arguments, format);
	fprintf(record, "%8.3f ", now_s());
	vfprintf(record, format, arguments);
	fputc('\n', record);
	fflush(record);
	va_end(arguments);
}

static void on_call(evutil_socket_t fd, short what, void *arg)
{
	call_t *call = arg;
	(void)fd;
	(void)what;

	event_free(call->timer);
	call->function(call->arg);
	free(call);
}

void after(double seconds, void (*function)(void *arg), void *arg)
{
	struct timeval delay = { (int)seconds,
				 (int)((seconds - (int)seconds) * 1e6) };
	call_t *call = calloc(1, sizeof(*call));

	call->function = function;
	call->arg = arg;
	call->timer = evtimer_new(base, on_call, call);
	evtimer_add(call->timer, &delay);
}

static void on_child(evutil_socket_t fd, short what, void *arg)
{
	(void)fd;
	(void)what;
	(void)arg;
	for (int i = 0; i < vm_count; i++) {
		int status;

		if (vms[i].pid > 0 &&
		    waitpid(vms[i].pid, &status, WNOHANG) == vms[i].pid) {
			note("%s ended with status %x", vms[i].name,
			     (unsigned int)status);
			vms[i].pid = 0;
			vms[i].exited = 1;
			vms[i].exit_status = status;
		}
	}
}

/* Exit codes above 1 say that the case could not run. */
static void on_end(evutil_socket_t fd, short what, void *arg)
{
	(void)fd;
	(void)what;
	(void)arg;
	exit(2);
}

static void write_requests(void)
{
	for (long i = 0; i < request_count; i++) {
		const request_t *r = &requests[i];

		fprintf(record,
			"%8.3f %s sent %s to %s: %s at %.3f, run %d, first at "
			"%.3f\n",
			r->sent_s, r->text, r->id, vms[r->vm].name,
			r->answer[0] ? r->answer : "no answer",
			r->answered_s ? r->answered_s : r->closed_s, r->runs,
			r->run_s);
	}
}

int main(int argc, char **argv)
{
	const char *path = getenv("RECORD");
	const char *wanted = getenv("TROUBLE");
	const case_t *c = NULL;
	int status;

	for (int i = 0; argc > 1 && cases[i].name; i++)
		if (!strcmp(cases[i].name, argv[1]))
			c = &cases[i];
	if (!c || !path || !getenv("STAND"))
		return 2;
	trouble = !wanted || strcmp(wanted, "0");
	record = fopen(path, "w");
	if (!record)
		return 2;
	signal(SIGPIPE, SIG_IGN);
	started_s = now_s();
	atexit(vms_end);
	base = event_base_new();
	event_add(evsignal_new(base, SIGCHLD, on_child, NULL), NULL);
	event_add(evsignal_new(base, SIGTERM, on_end, NULL), NULL);
	event_add(evsignal_new(base, SIGINT, on_end, NULL), NULL);
	if (reserve_net() || store_start(ip_address(3, 1)))
		return 2;
	put_config(1, 1000);
	databases_start();
	c->start();
	event_base_dispatch(base);
	status = c->judge();
	note("%s", status == 1	 ? "the rule was broken"
		   : status == 0 ? "the rule held"
				 : "the case could not run");
	write_requests();
	vms_end();
	fclose(record);
	return status;
}
