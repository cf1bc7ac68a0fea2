#include <arpa/inet.h>
#include <ck_pr.h>
#include <event2/event.h>
#include <glib.h>
#include <pthread.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

#include "control/controllers.h"
#include "daemon/control_thread.h"
#include "daemon/counter.h"
#include "daemon/database_call.h"
#include "daemon/inbox.h"
#include "daemon/log.h"
#include "daemon/peer_socket.h"
#include "daemon/status.h"
#include "daemon/tuning.h"
#include "daemon/usage_batch.h"
#include "peer/peer_codec.h"
#include "platform/http.h"

#define TICK_US 10000 /* interval of KL_EVENT_TICK */
/*
 * Interval of KL_EVENT_TICK with the line protocol.  Its worker reports failing
 * databases by kl_control_thread_report_check(), so that the controllers need
 * to run less often.
 */
#define LINE_TICK_US 20000

struct kl_control_thread {
	kl_node_t node;
	pthread_t thread;
	struct event_base *base;
	struct event *tick;
	struct event *datagram_event; /* the socket has a peer's datagram */
	kl_inbox_t *inbox;
	kl_platform_client_t *platform_client;
	kl_database_client_t *database_client; /* for control calls */
	kl_status_server_t *status_server;
	GRand *random;
	int socket; /* UDP, for messages between peers; -1 if not open */
	uint32_t slots_owned; /* as of the last tick; atomic */
	/* Whether KL_EVENT_REQUEST_WAITING is in the inbox; atomic. */
	uint32_t waiting_event_queued;
};

/* An event posted to the inbox; kind determines which fields are set. */
typedef struct event_message {
	kl_message_t base;
	kl_event_kind_t kind;
	char service[KL_NAME_MAX];
	char upstream[KL_NAME_MAX];
	kl_passive_check_t passive_check;
	kl_primary_position_t position;
	kl_load_report_t load;
	kl_platform_answer_t platform_answer;
	kl_object_list_t objects;
	kl_database_answer_t database_answer;
	kl_usage_samples_t usage;
} event_message_t;

static void *run(void *arg);
static uint64_t node_now_us(void *context);
static uint32_t node_random(void *context);
static void node_send_to_peer(void *context, const char *vm, const char *host,
			      uint16_t port, const kl_peer_message_t *message);
static void node_call_platform(void *context, const kl_platform_call_t *call);
static void node_call_database(void *context, const kl_database_call_t *call);
static void node_log_decision(void *context, const kl_decision_t *decision);
static void on_platform_answer(void *context, kl_platform_answer_t *answer);
static void on_database_answer(void *context,
			       const kl_database_answer_t *answer);
static void handle_event(void *owner, kl_message_t *message);
static void post_event(kl_control_thread_t *control, kl_event_kind_t kind,
		       const char *service);
static void on_tick(evutil_socket_t fd, short what, void *arg);
static void on_datagram(evutil_socket_t fd, short what, void *arg);
static void fill_node(kl_control_thread_t *control,
		      const kl_settings_t *settings);

static const kl_node_ops_t node_ops = {
	.now_us = node_now_us,
	.random = node_random,
	.send_to_peer = node_send_to_peer,
	.call_platform = node_call_platform,
	.call_database = node_call_database,
	.log_decision = node_log_decision,
};

kl_control_thread_t *kl_control_thread_new(const kl_settings_t *settings)
{
	bool uses_line_protocol = !strcmp(settings->front, "line");
	struct timeval tick = { 0,
				uses_line_protocol ? LINE_TICK_US : TICK_US };
	kl_platform_config_t platform_config = {
		kl_platform_format_find(settings->platform_format),
		{ settings->platform, settings->promote_url, settings->vm }
	};
	kl_control_thread_t *control = calloc(1, sizeof(*control));

	if (!control)
		return NULL;
	control->socket = -1;
	control->random = g_rand_new();
	control->base = event_base_new();
	control->inbox = kl_inbox_new(control->base, control);
	fill_node(control, settings);
	control->socket = kl_peer_socket_open(control->node.self.host,
					      control->node.self.port);
	if (control->socket < 0 || kl_node_start(&control->node))
		goto fail;
	control->platform_client = kl_platform_client_new(
		&platform_config, on_platform_answer, control);
	control->database_client = kl_database_client_new(
		control->base,
		uses_line_protocol ? &kl_control_conn_line
				   : &kl_control_conn_pq,
		settings->upstream_user, on_database_answer, control);
	control->status_server = kl_status_server_new(
		control->base, settings->host, (uint16_t)settings->status_port,
		&control->node);
	if (settings->ready_port && control->status_server &&
	    kl_status_serve_ready(control->status_server, settings->host,
				  (uint16_t)settings->ready_port,
				  settings->ready_path))
		goto fail;
	if (!control->platform_client || !control->database_client ||
	    !control->status_server)
		goto fail;
	control->tick =
		event_new(control->base, -1, EV_PERSIST, on_tick, control);
	event_add(control->tick, &tick);
	control->datagram_event =
		event_new(control->base, control->socket, EV_READ | EV_PERSIST,
			  on_datagram, control);
	event_add(control->datagram_event, NULL);
	if (pthread_create(&control->thread, NULL, run, control))
		goto fail;
	return control;
fail:
	kl_control_thread_free(control);
	return NULL;
}

void kl_control_thread_free(kl_control_thread_t *control)
{
	if (!control)
		return;
	if (control->thread) {
		event_base_loopexit(control->base, NULL);
		/* Wakes the event loop, so that it ends at once. */
		post_event(control, KL_EVENT_TICK, "");
		pthread_join(control->thread, NULL);
	}
	kl_platform_client_free(control->platform_client);
	kl_database_client_free(control->database_client);
	kl_status_server_free(control->status_server);
	if (control->tick)
		event_free(control->tick);
	if (control->datagram_event)
		event_free(control->datagram_event);
	kl_inbox_free(control->inbox);
	if (control->socket >= 0)
		close(control->socket);
	if (control->node.board)
		kl_node_stop(&control->node);
	while (!CK_SLIST_EMPTY(&control->node.seeds)) {
		kl_seed_t *seed = CK_SLIST_FIRST(&control->node.seeds);

		CK_SLIST_REMOVE_HEAD(&control->node.seeds, link);
		free(seed);
	}
	event_base_free(control->base);
	g_rand_free(control->random);
	free(control);
}

kl_board_t *kl_control_thread_board(kl_control_thread_t *control)
{
	return control->node.board;
}

void kl_control_thread_report_waiting_request(kl_control_thread_t *control)
{
	/* One pending event serves all waiting requests. */
	if (ck_pr_fas_32(&control->waiting_event_queued, 1))
		return;
	post_event(control, KL_EVENT_REQUEST_WAITING, "");
}

void kl_control_thread_report_service_use(kl_control_thread_t *control,
					  const char *service)
{
	post_event(control, KL_EVENT_SERVICE_USED, service);
}

void kl_control_thread_report_check(kl_control_thread_t *control,
				    const kl_passive_check_t *check)
{
	event_message_t *message = calloc(1, sizeof(*message));

	if (!message)
		return;
	message->base.handler = handle_event;
	message->kind = KL_EVENT_PASSIVE_CHECK;
	kl_name_copy(message->service, check->service);
	kl_name_copy(message->upstream, check->upstream);
	message->passive_check = *check;
	message->passive_check.service = message->service;
	message->passive_check.upstream = message->upstream;
	CK_STAILQ_INIT(&message->objects);
	kl_inbox_post(control->inbox, &message->base);
}

void kl_control_thread_report_position(kl_control_thread_t *control,
				       const kl_primary_position_t *position)
{
	event_message_t *message = calloc(1, sizeof(*message));

	if (!message)
		return;
	message->base.handler = handle_event;
	message->kind = KL_EVENT_POSITION;
	message->position = *position;
	CK_STAILQ_INIT(&message->objects);
	kl_inbox_post(control->inbox, &message->base);
}

void kl_control_thread_report_usage(kl_control_thread_t *control,
				    kl_usage_samples_t *samples)
{
	event_message_t *message = calloc(1, sizeof(*message));

	if (!message)
		return;
	message->base.handler = handle_event;
	message->kind = KL_EVENT_USAGE;
	CK_STAILQ_INIT(&message->objects);
	CK_STAILQ_INIT(&message->usage);
	CK_STAILQ_CONCAT(&message->usage, samples);
	kl_inbox_post(control->inbox, &message->base);
}

void kl_control_thread_report_load(kl_control_thread_t *control,
				   const kl_load_report_t *report)
{
	event_message_t *message = calloc(1, sizeof(*message));

	if (!message)
		return;
	message->base.handler = handle_event;
	message->kind = KL_EVENT_LOAD;
	message->load = *report;
	CK_STAILQ_INIT(&message->objects);
	kl_inbox_post(control->inbox, &message->base);
}

void kl_control_thread_stop(kl_control_thread_t *control)
{
	post_event(control, KL_EVENT_STOP, "");
}

uint32_t kl_control_thread_slots_owned(const kl_control_thread_t *control)
{
	return ck_pr_load_32(&control->slots_owned);
}

uint64_t kl_clock_us(void)
{
	struct timespec now;

	clock_gettime(CLOCK_BOOTTIME, &now);
	return (uint64_t)now.tv_sec * 1000000 + (uint64_t)now.tv_nsec / 1000;
}

static void fill_node(kl_control_thread_t *control,
		      const kl_settings_t *settings)
{
	kl_node_t *node = &control->node;
	struct timespec wall;

	node->ops = &node_ops;
	node->ops_context = control;
	kl_name_copy(node->self.vm, settings->vm);
	kl_name_copy(node->self.domain, settings->domain);
	strncpy(node->self.host, settings->host, KL_HOST_MAX - 1);
	node->self.port = (uint16_t)settings->peer_port;
	clock_gettime(CLOCK_REALTIME, &wall);
	node->self.incarnation =
		(uint64_t)wall.tv_sec * 1000000 + (uint64_t)wall.tv_nsec / 1000;
	node->self.wall_offset_us =
		(int64_t)(node->self.incarnation - kl_clock_us());
	kl_tuning_fill(&node->tuning, settings);
	CK_SLIST_INIT(&node->seeds);
	for (uint32_t i = 0; i < settings->peers_count; i++) {
		kl_seed_t *seed = calloc(1, sizeof(*seed));

		if (!seed)
			return;
		strncpy(seed->host, settings->peers[i].host, KL_HOST_MAX - 1);
		seed->port = (uint16_t)settings->peers[i].port;
		CK_SLIST_INSERT_HEAD(&node->seeds, seed, link);
	}
}

static void *run(void *arg)
{
	kl_control_thread_t *control = arg;

	event_base_loop(control->base, EVLOOP_NO_EXIT_ON_EMPTY);
	return NULL;
}

static uint64_t node_now_us(void *context)
{
	(void)context;
	return kl_clock_us();
}

static uint32_t node_random(void *context)
{
	kl_control_thread_t *control = context;

	return g_rand_int(control->random);
}

static void node_send_to_peer(void *context, const char *vm, const char *host,
			      uint16_t port, const kl_peer_message_t *message)
{
	kl_control_thread_t *control = context;

	kl_peer_socket_send(control->socket, &control->node.self, vm, host,
			    port, message);
}

static void node_call_platform(void *context, const kl_platform_call_t *call)
{
	kl_control_thread_t *control = context;

	kl_counter_add(KL_COUNTER_PLATFORM_CALLS, 1);
	kl_platform_client_submit(control->platform_client, call);
}

static void node_call_database(void *context, const kl_database_call_t *call)
{
	kl_control_thread_t *control = context;

	kl_database_client_call(control->database_client, call);
}

static void node_log_decision(void *context, const kl_decision_t *decision)
{
	(void)context;
	if (!strcmp(decision->name, "document_refused"))
		kl_counter_add(KL_COUNTER_DOCUMENTS_REFUSED, 1);
	kl_log_decision(decision);
}

static void on_platform_answer(void *context, kl_platform_answer_t *answer)
{
	kl_control_thread_t *control = context;
	event_message_t *message = calloc(1, sizeof(*message));

	/* An answer with a malformed era is refused as a protocol error. */
	if (answer->error == -KL_E_UNAVAILABLE ||
	    answer->error == -KL_E_PROTOCOL)
		kl_counter_add(KL_COUNTER_PLATFORM_ERRORS, 1);
	if (answer->error)
		kl_log_platform_error(answer,
				      kl_clock_us() - answer->call_sent_us);
	if (!message)
		return;
	message->base.handler = handle_event;
	message->kind = KL_EVENT_PLATFORM;
	message->platform_answer = *answer;
	CK_STAILQ_INIT(&message->objects);
	CK_STAILQ_CONCAT(&message->objects, answer->objects);
	message->platform_answer.objects = &message->objects;
	kl_inbox_post(control->inbox, &message->base);
}

/*
 * Answers go through the inbox because a call that fails at once answers while
 * the controller that made it is still running.
 */
static void on_database_answer(void *context,
			       const kl_database_answer_t *answer)
{
	kl_control_thread_t *control = context;
	event_message_t *message = calloc(1, sizeof(*message));

	if (!message)
		return;
	message->base.handler = handle_event;
	message->kind = KL_EVENT_DATABASE;
	message->database_answer = *answer;
	CK_STAILQ_INIT(&message->objects);
	kl_inbox_post(control->inbox, &message->base);
}

static void post_event(kl_control_thread_t *control, kl_event_kind_t kind,
		       const char *service)
{
	event_message_t *message = calloc(1, sizeof(*message));

	if (!message)
		return;
	message->base.handler = handle_event;
	message->kind = kind;
	kl_name_copy(message->service, service);
	CK_STAILQ_INIT(&message->objects);
	kl_inbox_post(control->inbox, &message->base);
}

static void handle_event(void *owner, kl_message_t *message)
{
	kl_control_thread_t *control = owner;
	event_message_t *posted = (event_message_t *)message;
	kl_event_t event = { .kind = posted->kind,
			     .platform = &posted->platform_answer,
			     .database = &posted->database_answer,
			     .service = posted->service,
			     .passive_check = &posted->passive_check,
			     .position = &posted->position,
			     .usage = &posted->usage,
			     .load = &posted->load };

	if (control) {
		if (posted->kind == KL_EVENT_REQUEST_WAITING) {
			ck_pr_store_32(&control->waiting_event_queued, 0);
			control->node.waiting_event_count++;
		}
		kl_node_step(&control->node, &event);
	}
	kl_object_list_clear(&posted->objects);
	kl_usage_batch_clear(&posted->usage);
	free(posted);
}

static void on_tick(evutil_socket_t fd, short what, void *arg)
{
	kl_control_thread_t *control = arg;
	kl_event_t event = { .kind = KL_EVENT_TICK };
	(void)fd;
	(void)what;

	kl_node_step(&control->node, &event);
	ck_pr_store_32(&control->slots_owned,
		       kl_share_owned_slot_count(&control->node));
}

static void on_datagram(evutil_socket_t fd, short what, void *arg)
{
	kl_control_thread_t *control = arg;
	static char buffer[KL_PEER_DATAGRAM_MAX];
	kl_peer_message_t message;
	kl_event_t event = { .kind = KL_EVENT_PEER, .peer = &message };
	ssize_t length;
	(void)what;

	while ((length = recv(fd, buffer, sizeof(buffer), 0)) >= 0) {
		kl_counter_add(KL_COUNTER_PEER_RECEIVED, 1);
		if (kl_peer_decode(&message, buffer, (size_t)length))
			kl_counter_add(KL_COUNTER_PEER_MALFORMED, 1);
		else
			kl_node_step(&control->node, &event);
		kl_peer_message_clear(&message);
	}
}
