/*
 * Starts the proxy's daemons with the command and the settings template of the
 * deploy file, and serves the promotion call, one address for each of them.
 */
#include <arpa/inet.h>
#include <event2/http.h>
#include <event2/listener.h>
#include <fcntl.h>
#include <jansson.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include "stand.h"

vm_t vms[VMS_MAX];
int vm_count;
promotion_t promotions[256];
int promotion_count;

/* A connection from a daemon to the promotion call, through a relay. */
typedef struct link {
	struct link *next;
	int vm;
	struct bufferevent *daemon, *server;
	int daemon_ended; /* the daemon closed it, without a reset */
	int dead;	  /* it was opened during a cut, so it never was */
} link_t;

static link_t *links;
static int held[VMS_MAX];
static int promote_port;

static int free_port(const char *ip, int type)
{
	struct sockaddr_in address = { .sin_family = AF_INET };
	socklen_t length = sizeof(address);
	int fd = socket(AF_INET, type, 0);

	inet_pton(AF_INET, ip, &address.sin_addr);
	if (bind(fd, (struct sockaddr *)&address, sizeof(address)))
		exit(2);
	getsockname(fd, (struct sockaddr *)&address, &length);
	close(fd);
	return ntohs(address.sin_port);
}

static void on_promote(struct evhttp_request *request, void *arg)
{
	struct evkeyvalq *headers = evhttp_request_get_input_headers(request);
	struct evbuffer *in = evhttp_request_get_input_buffer(request);
	struct evbuffer *out = evbuffer_new();
	json_t *body = json_loadb((char *)evbuffer_pullup(in, -1),
				  evbuffer_get_length(in), 0, NULL);
	const char *id = json_string_value(json_object_get(body, "id"));
	const char *holder = evhttp_find_header(headers, "Lease-Holder");
	const char *token = evhttp_find_header(headers, "Fencing-Token");
	promotion_t *p = &promotions[promotion_count];
	(void)arg;

	if (promotion_count < 255)
		promotion_count++;
	p->at_s = now_s();
	p->token = token ? atoll(token) : 0;
	snprintf(p->holder, sizeof(p->holder), "%s", holder ? holder : "");
	snprintf(p->id, sizeof(p->id), "%s", id ? id : "");
	p->status = id ? database_promote(id) : 400;
	note("promote %s by %s with token %lld: %d", p->id, p->holder, p->token,
	     p->status);
	evbuffer_add_printf(out, "{}");
	evhttp_send_reply(request, p->status, "-", out);
	evbuffer_free(out);
	json_decref(body);
}

static void link_free(link_t *link)
{
	for (link_t **at = &links; *at; at = &(*at)->next) {
		if (*at == link) {
			*at = link->next;
			break;
		}
	}
	if (link->daemon)
		bufferevent_free(link->daemon);
	if (link->server)
		bufferevent_free(link->server);
	free(link);
}

/* Passes on what the daemon sent, unless the link is held. */
static void pass_on(link_t *link)
{
	if (held[link->vm] || link->dead)
		return;
	evbuffer_add_buffer(bufferevent_get_output(link->server),
			    bufferevent_get_input(link->daemon));
}

static void on_daemon_read(struct bufferevent *stream, void *arg)
{
	(void)stream;
	pass_on(arg);
}

static void on_server_read(struct bufferevent *stream, void *arg)
{
	link_t *link = arg;
	(void)stream;

	if (!held[link->vm])
		evbuffer_add_buffer(bufferevent_get_output(link->daemon),
				    bufferevent_get_input(link->server));
}

/*
 * What the daemon sent before it closed the connection arrives once the link is
 * released; after a reset it does not.
 */
static void on_daemon_event(struct bufferevent *stream, short what, void *arg)
{
	link_t *link = arg;
	(void)stream;

	if (what & BEV_EVENT_ERROR) {
		link_free(link);
	} else if (what & BEV_EVENT_EOF) {
		if (held[link->vm] && !link->dead &&
		    evbuffer_get_length(bufferevent_get_input(link->daemon)))
			link->daemon_ended = 1;
		else
			link_free(link);
	}
}

static void on_server_event(struct bufferevent *stream, short what, void *arg)
{
	(void)stream;
	if (what & (BEV_EVENT_EOF | BEV_EVENT_ERROR))
		link_free(arg);
}

static void on_link(struct evconnlistener *listener, evutil_socket_t fd,
		    struct sockaddr *address, int length, void *arg)
{
	struct sockaddr_in to = { .sin_family = AF_INET };
	link_t *link = calloc(1, sizeof(*link));
	(void)listener;
	(void)address;
	(void)length;

	link->vm = (int)((vm_t *)arg - vms);
	link->dead = held[link->vm];
	to.sin_port = htons((uint16_t)promote_port);
	inet_pton(AF_INET, ip_address(3, 1), &to.sin_addr);
	link->daemon = bufferevent_socket_new(base, fd, BEV_OPT_CLOSE_ON_FREE);
	link->server = bufferevent_socket_new(base, -1, BEV_OPT_CLOSE_ON_FREE);
	link->next = links;
	links = link;
	bufferevent_setcb(link->daemon, on_daemon_read, NULL, on_daemon_event,
			  link);
	bufferevent_setcb(link->server, on_server_read, NULL, on_server_event,
			  link);
	bufferevent_socket_connect(link->server, (struct sockaddr *)&to,
				   sizeof(to));
	bufferevent_enable(link->daemon, EV_READ | EV_WRITE);
	bufferevent_enable(link->server, EV_READ | EV_WRITE);
}

void promote_link_hold(int vm, int hold)
{
	held[vm] = hold;
	if (hold)
		return;
	for (link_t *link = links; link; link = link->next)
		if (link->vm == vm)
			pass_on(link);
}

static void promote_start(void)
{
	struct evhttp *http = evhttp_new(base);
	struct evhttp_bound_socket *bound;
	struct sockaddr_in address = { .sin_family = AF_INET };
	socklen_t length = sizeof(address);

	evhttp_set_cb(http, "/promote", on_promote, NULL);
	bound = evhttp_bind_socket_with_handle(http, ip_address(3, 1), 0);
	if (!bound)
		exit(2);
	getsockname(evhttp_bound_socket_get_fd(bound),
		    (struct sockaddr *)&address, &length);
	promote_port = ntohs(address.sin_port);
}

void vm_add(const char *name, const char *zone)
{
	vm_t *vm = &vms[vm_count];
	struct sockaddr_in address = { .sin_family = AF_INET };
	socklen_t length = sizeof(address);
	struct evconnlistener *listener;

	if (!promote_port)
		promote_start();
	snprintf(vm->name, sizeof(vm->name), "%s", name);
	snprintf(vm->zone, sizeof(vm->zone), "%s", zone);
	snprintf(vm->ip, sizeof(vm->ip), "%s", ip_address(1, vm_count + 1));
	vm_count++;
	vm->front_port = free_port(vm->ip, SOCK_STREAM);
	vm->ready_port = free_port(vm->ip, SOCK_STREAM);
	vm->peer_port = free_port(vm->ip, SOCK_DGRAM);
	inet_pton(AF_INET, ip_address(3, 1), &address.sin_addr);
	listener = evconnlistener_new_bind(
		base, on_link, vm, LEV_OPT_CLOSE_ON_FREE, 64,
		(struct sockaddr *)&address, sizeof(address));
	if (!listener)
		exit(2);
	getsockname(evconnlistener_get_fd(listener),
		    (struct sockaddr *)&address, &length);
	vm->promote_port = ntohs(address.sin_port);
}

/* The value of a placeholder of the settings template. */
static const char *value(const vm_t *vm, const char *name)
{
	static char text[64];

	if (!strcmp(name, "node"))
		return vm->name;
	if (!strcmp(name, "zone"))
		return vm->zone;
	if (!strcmp(name, "ip"))
		return vm->ip;
	if (!strcmp(name, "listenAddrs.front"))
		snprintf(text, sizeof(text), "%s:%d", vm->ip, vm->front_port);
	else if (!strcmp(name, "listenAddrs.ready"))
		snprintf(text, sizeof(text), "%s:%d", vm->ip, vm->ready_port);
	else if (!strcmp(name, "portRange.0"))
		snprintf(text, sizeof(text), "%d", vm->peer_port);
	else if (!strcmp(name, "platform.address"))
		snprintf(text, sizeof(text), "%s:%d", ip_address(3, 1),
			 store_port);
	else if (!strcmp(name, "cloudApi.duties"))
		snprintf(text, sizeof(text), "failover");
	else if (!strcmp(name, "cloudApi.address"))
		snprintf(text, sizeof(text), "%s:%d", ip_address(3, 1),
			 vm->promote_port);
	else
		exit(2);
	return text;
}

static void write_settings(const vm_t *vm, const char *path)
{
	FILE *in = fopen("deploy/kumquatloft.yaml.template", "r");
	FILE *out = fopen(path, "w");
	char line[512];

	if (!in || !out)
		exit(2);
	while (fgets(line, sizeof(line), in)) {
		char *at = line, *open, *close;

		while ((open = strstr(at, "{{")) &&
		       (close = strstr(open, "}}"))) {
			*open = *close = '\0';
			fprintf(out, "%s%s", at, value(vm, open + 2));
			at = close + 2;
		}
		fputs(at, out);
	}
	fclose(in);
	fclose(out);
}

void vm_start(int number)
{
	vm_t *vm = &vms[number];
	const char *folder = getenv("STAND");
	char path[512], log[512];
	pid_t pid;

	snprintf(path, sizeof(path), "%s/%s.yaml", folder, vm->name);
	snprintf(log, sizeof(log), "%s/%s.log", folder, vm->name);
	write_settings(vm, path);
	pid = fork();
	if (pid < 0)
		exit(2);
	if (!pid) {
		int fd = open(log, O_WRONLY | O_CREAT | O_APPEND, 0600);

		dup2(fd, 1);
		dup2(fd, 2);
		for (int i = 3; i < 1024; i++)
			close(i);
		setenv("KUMQUATLOFT_CONFIG", path, 1);
		prctl(PR_SET_PDEATHSIG, SIGKILL);
		execl("target/kumquatloftd", "target/kumquatloftd",
		      (char *)NULL);
		_exit(127);
	}
	vm->pid = pid;
	vm->exited = 0;
	note("start %s", vm->name);
}

void vm_signal(int number, int signal_number)
{
	vm_t *vm = &vms[number];

	if (vm->pid <= 0)
		return;
	note("signal %d to %s", signal_number, vm->name);
	kill(vm->pid, signal_number);
	if (signal_number == SIGKILL) {
		waitpid(vm->pid, NULL, 0);
		vm->pid = 0;
	}
}

void vms_end(void)
{
	for (int i = 0; i < vm_count; i++) {
		if (vms[i].pid <= 0)
			continue;
		kill(vms[i].pid, SIGCONT);
		kill(vms[i].pid, SIGKILL);
		waitpid(vms[i].pid, NULL, 0);
		vms[i].pid = 0;
	}
}

void put_config(int version, int timeout_ms)
{
	char spec[4096];

	snprintf(spec, sizeof(spec),
		 "{\"configVersion\":%d,\"routes\":["
		 "{\"database\":\"trade\",\"routeType\":\"primary\","
		 "\"timeoutMs\":%d,\"targetLatencyMs\":200,\"priority\":1,"
		 "\"service\":\"stock-ledger\",\"public\":false},"
		 "{\"database\":\"browse\",\"routeType\":\"bounded_staleness\","
		 "\"maxStalenessMs\":1500,\"timeoutMs\":%d,"
		 "\"targetLatencyMs\":800,\"priority\":2,"
		 "\"service\":\"stock-ledger\",\"public\":false}],"
		 "\"services\":[{\"name\":\"stock-ledger\",\"maxConns\":32,"
		 "\"syncReplicas\":0}],"
		 "\"limits\":{\"txIdleMs\":3000},\"tenants\":["
		 "{\"name\":\"bakery\",\"apiKeys\":[\"key-one\"],"
		 "\"ratePerS\":2000,\"burst\":2000}]}",
		 version, timeout_ms, timeout_ms);
	store_put("config", "main", spec);
}
