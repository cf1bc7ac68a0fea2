/* Clients: sessions that send one request at a time, and what became of it. */
#include <arpa/inet.h>
#include <glib.h>
#include <netinet/tcp.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

#include "stand.h"

#define REQUESTS_MAX 400000

request_t *requests;
long request_count;
client_t clients[CLIENTS_MAX];
int client_count;
int (*choose_vm)(const client_t *client);
static GHashTable *by_id;

request_t *request_find(const char *id)
{
	return by_id ? g_hash_table_lookup(by_id, id) : NULL;
}

client_t *client_add(int vm, const char *database, const char *key,
		     void (*next)(client_t *client))
{
	client_t *client = &clients[client_count];

	client->number = client_count++;
	client->vm = vm;
	snprintf(client->database, sizeof(client->database), "%s", database);
	snprintf(client->key, sizeof(client->key), "%s", key);
	client->next = next;
	return client;
}

static void on_next(evutil_socket_t fd, short what, void *arg)
{
	client_t *client = arg;
	(void)fd;
	(void)what;

	if (client->stopped)
		return;
	if (!client->stream)
		client_connect(client);
	else if (client->ready && !client->waiting)
		client->next(client);
}

static void schedule(client_t *client, double ms)
{
	struct timeval delay = { (int)(ms / 1e3), (int)(ms * 1e3) % 1000000 };

	if (!client->timer)
		client->timer = evtimer_new(base, on_next, client);
	evtimer_add(client->timer, &delay);
}

static void ended(client_t *client)
{
	if (client->waiting) {
		request_t *request = &requests[client->request];

		request->closed_s = now_s();
		snprintf(request->answer, sizeof(request->answer),
			 "connection ended");
	}
	if (!client->ready)
		client->errors++;
	bufferevent_free(client->stream);
	client->stream = NULL;
	client->ready = client->waiting = 0;
	client->reconnects++;
	schedule(client, 100);
}

static void handle_line(client_t *client, char *line)
{
	if (!strncmp(line, "READY", 5)) {
		if (!client->ready) {
			client->ready = 1;
		} else if (client->waiting) {
			request_t *request = &requests[client->request];

			request->answered_s = now_s();
			snprintf(request->answer, sizeof(request->answer), "%s",
				 client->complete);
			client->waiting = 0;
		} else {
			note("client %d got '%s' without a request",
			     client->number, line);
		}
		schedule(client, client->pause_ms);
	} else if (strncmp(line, "ROW", 3)) {
		snprintf(client->complete, sizeof(client->complete), "%s",
			 line);
	}
}

static void on_read(struct bufferevent *stream, void *arg)
{
	client_t *client = arg;
	char *line;

	while (client->stream == stream &&
	       (line = evbuffer_readln(bufferevent_get_input(stream), NULL,
				       EVBUFFER_EOL_CRLF_STRICT))) {
		handle_line(client, line);
		free(line);
	}
}

static void on_event(struct bufferevent *stream, short what, void *arg)
{
	(void)stream;
	if (what & (BEV_EVENT_EOF | BEV_EVENT_ERROR))
		ended(arg);
}

void client_connect(client_t *client)
{
	struct sockaddr_in address = { .sin_family = AF_INET };

	if (choose_vm)
		client->vm = choose_vm(client);
	inet_pton(AF_INET, vms[client->vm].ip, &address.sin_addr);
	address.sin_port = htons((uint16_t)vms[client->vm].front_port);
	client->stream =
		bufferevent_socket_new(base, -1, BEV_OPT_CLOSE_ON_FREE);
	bufferevent_setcb(client->stream, on_read, NULL, on_event, client);
	evbuffer_add_printf(bufferevent_get_output(client->stream),
			    "STARTUP %s %s\r\n", client->database, client->key);
	if (bufferevent_socket_connect(client->stream,
				       (struct sockaddr *)&address,
				       sizeof(address))) {
		ended(client);
		return;
	}
	bufferevent_enable(client->stream, EV_READ | EV_WRITE);
}

void client_send_raw(client_t *client, const char *id, const char *line,
		     size_t length)
{
	request_t *request = &requests[request_count];

	if (!requests) {
		requests = calloc(REQUESTS_MAX, sizeof(*requests));
		request = requests;
		by_id = g_hash_table_new(g_str_hash, g_str_equal);
	}
	if (request_count == REQUESTS_MAX)
		exit(2);
	client->request = request_count++;
	snprintf(request->id, sizeof(request->id), "%s", id);
	request->vm = client->vm;
	request->sent_s = now_s();
	g_hash_table_insert(by_id, request->id, request);
	client->waiting = 1;
	client->complete[0] = '\0';
	client->sends++;
	bufferevent_write(client->stream, line, length);
}

void client_send(client_t *client, const char *text)
{
	static uint64_t ids;
	char id[24], line[256];

	snprintf(id, sizeof(id), "5c0e%012llx", (unsigned long long)++ids);
	snprintf(line, sizeof(line), "QUERY %s %s\r\n", id, text);
	client_send_raw(client, id, line, strlen(line));
	snprintf(requests[client->request].text, sizeof(requests->text), "%s",
		 text);
}

void client_close(client_t *client, int reset)
{
	struct linger linger = { 1, 0 };

	if (!client->stream)
		return;
	if (reset)
		setsockopt(bufferevent_getfd(client->stream), SOL_SOCKET,
			   SO_LINGER, &linger, sizeof(linger));
	if (client->waiting)
		snprintf(requests[client->request].answer,
			 sizeof(requests->answer), "client left");
	bufferevent_free(client->stream);
	client->stream = NULL;
	client->ready = client->waiting = 0;
}
