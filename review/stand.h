/*
 * Stand-ins for the review's scripts: the platform's store and its promotion
 * call, databases that speak the line protocol, and clients.  All of them live
 * in one process; the proxy's daemons are separate processes that it starts.
 */
#ifndef REVIEW_STAND_H
#define REVIEW_STAND_H

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <stdint.h>
#include <sys/types.h>

#define VMS_MAX 8
#define DATABASES 3
#define CLIENTS_MAX 256

/* A daemon of the proxy. */
typedef struct vm {
	char name[32], zone[16], ip[24];
	int front_port, ready_port, peer_port, promote_port;
	pid_t pid;
	int exited, exit_status;
} vm_t;

/* A request of a client. */
typedef struct request {
	char id[24];
	char text[96];
	int vm;
	double sent_s, answered_s; /* 0: not answered */
	double closed_s;	   /* connection ended without an answer */
	double run_s;		   /* first run at a database, or 0 */
	double arrived_s;	   /* first arrival at a database, or 0 */
	int runs;
	char answer[64];
} request_t;

/* One session of a client. */
typedef struct client {
	int number, vm;
	char database[32], key[32];
	struct bufferevent *stream;
	int ready;   /* READY after STARTUP has arrived */
	int waiting; /* a request has been sent and not answered */
	int stopped; /* it sends nothing more */
	int reconnects;
	long request; /* index of the last request */
	char complete[64];
	int errors; /* logins that failed */
	uint64_t sends;
	int step; /* of a case's own sequence */
	struct event *timer;
	void (*next)(struct client *client); /* sends the next request */
	double pause_ms;
} client_t;

typedef struct database {
	char id[24];
	int port;
	int primary;
	uint64_t term, position;
	int slots, running;
	double work_ms;
	int down, draining;
	uint64_t sequence;
	uint64_t statements; /* reads, writes and commits that arrived */
	double last_statement_s;
	struct evconnlistener *listener;
	struct db_conn *conns;
} database_t;

extern struct event_base *base;
extern vm_t vms[VMS_MAX];
extern int vm_count;
extern database_t databases[DATABASES];
extern request_t *requests;
extern long request_count;
extern client_t clients[CLIENTS_MAX];
extern int client_count;
extern int trouble; /* 0: without the disruption */
extern FILE *record;

/* A loopback address, of a net that no other run uses: 127.NET.a.b. */
const char *ip_address(int a, int b);
/* Seconds since the start of the process. */
double now_s(void);
/* Writes a line to the record, with the time. */
void note(const char *format, ...) __attribute__((format(printf, 1, 2)));

/* store.c */
int store_start(const char *ip);
/* Creates or replaces an object; the specification is JSON text. */
void store_put(const char *kind, const char *name, const char *spec);
void store_remove(const char *kind, const char *name);
extern int store_port;

/* database.c */
void databases_start(void);
void database_register(database_t *database);
int database_promote(const char *id);
void database_down(database_t *database, int down);

/* Promotion calls. */
typedef struct promotion {
	double at_s;
	char holder[64], id[32];
	long long token;
	int status;
} promotion_t;
extern promotion_t promotions[256];
extern int promotion_count;
/* Holds what the VM sends to the promotion call, until released. */
void promote_link_hold(int vm, int held);

/* vm.c */
void vm_add(const char *name, const char *zone);
void vm_start(int vm);
void vm_signal(int vm, int signal_number);
void vms_end(void);
void put_config(int version, int timeout_ms);

/* client.c */
client_t *client_add(int vm, const char *database, const char *key,
		     void (*next)(client_t *client));
void client_connect(client_t *client);
/* Chooses the machine of a new session, if set. */
extern int (*choose_vm)(const client_t *client);
void client_send(client_t *client, const char *text);
/* Sends bytes that are recorded as one request. */
void client_send_raw(client_t *client, const char *id, const char *line,
		     size_t length);
void client_close(client_t *client, int reset);
request_t *request_find(const char *id);

/* Calls a function after some seconds. */
void after(double seconds, void (*function)(void *arg), void *arg);

#endif
