#include <arpa/inet.h>
#include <ck_pr.h>
#include <event2/event.h>
#include <event2/listener.h>
#include <pthread.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "daemon/counter.h"
#include "daemon/inbox.h"
#include "daemon/line_worker.h"
#include "daemon/log.h"
#include "front/engine_front.h"
#include "upstream/engine_link.h"

#define TICK_US 25000	   /* while nothing waits */
#define SHORT_TICK_US 3000 /* while something does */
#define BACKLOG 512

struct kl_line_worker {
	const kl_settings_t *settings;
	kl_control_thread_t *control;
	pthread_t thread;
	struct event_base *base;
	struct event *tick;
	struct evconnlistener *listener;
	kl_inbox_t *inbox;
	kl_reader_t *reader;
	kl_engine_t *engine;
	kl_engine_counts_t published_counts; /* counts that the metrics have */
	uint64_t session_count;		     /* atomic */
};

static void *run(void *arg);
static int listen_on(kl_line_worker_t *worker);
static void on_accept(struct evconnlistener *listener, evutil_socket_t fd,
		      struct sockaddr *address, int length, void *arg);
static void on_tick(evutil_socket_t fd, short what, void *arg);
static void set_tick(kl_line_worker_t *worker);
static void tell_counts(kl_line_worker_t *worker);
static void tell_latencies(const kl_engine_counts_t *now,
			   const kl_engine_counts_t *told);
static void open_drain(void *owner, kl_message_t *letter);
static void open_refuse(void *owner, kl_message_t *letter);
static void open_exit(void *owner, kl_message_t *letter);
static void post(kl_line_worker_t *worker,
		 void (*open)(void *owner, kl_message_t *letter));
static void fill_engine_settings(const kl_settings_t *settings,
				 kl_engine_settings_t *engine);

/* What the front end tells. */
static void front_login(void *owner, kl_engine_front_t *front,
			const char *database, const char *key);
static void front_command(void *owner, kl_engine_front_t *front,
			  const kl_parsed_stmt_t *command);
static void front_closed(void *owner, kl_engine_front_t *front);

/* What the links tell. */
static void link_ready(void *owner, kl_position_t position);
static void link_answered(void *owner, const kl_stmt_result_t *outcome);
static void link_lost(void *owner, int error);

/* What the engine asks for. */
static void do_welcome(void *context, void *front);
static void do_result(void *context, void *front,
		      const kl_stmt_result_t *outcome);
static void do_done(void *context, void *front, char state);
static void do_refuse(void *context, void *front, int error, char state);
static bool do_quiet(void *context, void *front);
static void do_end(void *context, void *front, int error);
static void *do_open(void *context, const kl_conn_target_t *target,
		     kl_conn_t *channel);
static int do_send(void *context, void *link, const kl_conn_msg_t *dispatch);
static void do_close(void *context, void *link);
static void do_demand(void *context);
static void do_traffic(void *context, const kl_passive_check_t *traffic);
static void do_decided(void *context, const kl_decision_t *decision);

static const kl_engine_front_events_t front_events = { front_login,
						       front_command,
						       front_closed };

static const kl_engine_conn_events_t link_events = { link_ready, link_answered,
						     link_lost };

static const kl_engine_ops_t engine_ops = {
	.accept_login = do_welcome,
	.result = do_result,
	.complete = do_done,
	.send_error = do_refuse,
	.input_empty = do_quiet,
	.end_session = do_end,
	.conn_open = do_open,
	.conn_send = do_send,
	.conn_close = do_close,
	.tokens_needed = do_demand,
	.report_health = do_traffic,
	.log_decision = do_decided,
};

kl_line_worker_t *kl_line_worker_new(const kl_settings_t *settings,
				     kl_control_thread_t *control)
{
	kl_line_worker_t *worker = calloc(1, sizeof(*worker));
	kl_engine_settings_t engine;

	if (!worker)
		return NULL;
	worker->settings = settings;
	worker->control = control;
	worker->base = event_base_new();
	worker->inbox = kl_inbox_new(worker->base, worker);
	worker->reader = kl_reader_new(kl_control_thread_board(control));
	fill_engine_settings(settings, &engine);
	worker->engine =
		kl_engine_new(&engine, &engine_ops, worker, worker->reader);
	worker->tick = evtimer_new(worker->base, on_tick, worker);
	if (!worker->engine || !worker->tick || listen_on(worker))
		goto fail;
	set_tick(worker);
	if (pthread_create(&worker->thread, NULL, run, worker))
		goto fail;
	return worker;
fail:
	kl_line_worker_free(worker);
	return NULL;
}

static void fill_engine_settings(const kl_settings_t *settings,
				 kl_engine_settings_t *engine)
{
	memset(engine, 0, sizeof(*engine));
	engine->path.lease_us = settings->lease_ms * KL_MS;
	kl_name_set(engine->path.domain, settings->domain);
	engine->statement_timeout_us = settings->statement_ms * KL_MS;
	engine->admit_wait_us = settings->admit_wait_ms * KL_MS;
	engine->connect_timeout_us = settings->connect_ms * KL_MS;
}

static int listen_on(kl_line_worker_t *worker)
{
	struct sockaddr_in address = { .sin_family = AF_INET };

	address.sin_port = htons((uint16_t)worker->settings->listen_port);
	inet_pton(AF_INET, worker->settings->host, &address.sin_addr);
	worker->listener = evconnlistener_new_bind(
		worker->base, on_accept, worker,
		LEV_OPT_CLOSE_ON_FREE | LEV_OPT_CLOSE_ON_EXEC |
			LEV_OPT_REUSEABLE,
		BACKLOG, (struct sockaddr *)&address, sizeof(address));
	if (worker->listener)
		return 0;
	kl_log_event("start_failed", "the listening port is not free");
	return -KL_E_UNAVAILABLE;
}

void kl_line_worker_drain(kl_line_worker_t *worker)
{
	post(worker, open_drain);
}

void kl_line_worker_stop_accept(kl_line_worker_t *worker)
{
	post(worker, open_refuse);
}

uint64_t kl_line_worker_sessions(const kl_line_worker_t *worker)
{
	return ck_pr_load_64(&worker->session_count);
}

void kl_line_worker_free(kl_line_worker_t *worker)
{
	if (!worker)
		return;
	if (worker->thread) {
		post(worker, open_exit);
		pthread_join(worker->thread, NULL);
	}
	kl_inbox_free(worker->inbox);
	kl_engine_free(worker->engine);
	if (worker->listener)
		evconnlistener_free(worker->listener);
	if (worker->tick)
		event_free(worker->tick);
	event_base_free(worker->base);
	free(worker);
}

static void *run(void *arg)
{
	kl_line_worker_t *worker = arg;

	event_base_loop(worker->base, EVLOOP_NO_EXIT_ON_EMPTY);
	return NULL;
}

static void on_accept(struct evconnlistener *listener, evutil_socket_t fd,
		      struct sockaddr *address, int length, void *arg)
{
	kl_line_worker_t *worker = arg;
	(void)listener;
	(void)address;
	(void)length;

	if (!kl_front_line.open(worker->base, fd, &front_events, worker))
		close(fd);
	kl_counter_add(KL_COUNTER_SESSIONS, 1);
}

static void on_tick(evutil_socket_t fd, short what, void *arg)
{
	kl_line_worker_t *worker = arg;
	(void)fd;
	(void)what;

	kl_engine_tick(worker->engine, kl_clock_us());
	ck_pr_store_64(&worker->session_count,
		       kl_engine_client_count(worker->engine));
	tell_counts(worker);
	set_tick(worker);
}

static void set_tick(kl_line_worker_t *worker)
{
	bool waits = kl_engine_has_waiting(worker->engine);
	struct timeval next = { 0, waits ? SHORT_TICK_US : TICK_US };

	evtimer_add(worker->tick, &next);
}

static void tell_counts(kl_line_worker_t *worker)
{
	const kl_engine_counts_t *now = kl_engine_counts(worker->engine);
	kl_engine_counts_t *told = &worker->published_counts;

	kl_counter_add(KL_COUNTER_READS_REPLICA,
		       now->reads_replica - told->reads_replica);
	kl_counter_add(KL_COUNTER_READS_PRIMARY,
		       now->reads_primary - told->reads_primary);
	kl_counter_add(KL_COUNTER_WRITES, now->writes - told->writes);
	kl_counter_add(KL_COUNTER_REFUSED_RATE,
		       now->refused_rate - told->refused_rate);
	kl_counter_add(KL_COUNTER_REFUSED_OTHER,
		       now->refused_other - told->refused_other);
	kl_counter_add(KL_COUNTER_UNKNOWN_OUTCOMES,
		       now->unknown_outcomes - told->unknown_outcomes);
	kl_counter_add(KL_COUNTER_RETRIES, now->retries - told->retries);
	kl_counter_add(KL_COUNTER_LINKS_OPENED,
		       now->conns_opened - told->conns_opened);
	kl_counter_add(KL_COUNTER_LINKS_DROPPED,
		       now->conns_closed - told->conns_closed);
	kl_counter_add(KL_COUNTER_ADMITTED, now->admitted - told->admitted);
	if (now->finished != told->finished)
		tell_latencies(now, told);
	*told = *now;
}

static void tell_latencies(const kl_engine_counts_t *now,
			   const kl_engine_counts_t *told)
{
	for (uint32_t k = 0; k < KL_ROUTE_KIND_COUNT; k++) {
		for (uint32_t e = 0; e < KL_STMT_END_COUNT; e++) {
			kl_latency_add(k, e, 0, 0,
				       now->latency_sums_us[k][e] -
					       told->latency_sums_us[k][e]);
			for (uint32_t i = 0; i < KL_LATENCY_BUCKETS; i++)
				kl_latency_add(
					k, e, i,
					now->latency_counts[k][e][i] -
						told->latency_counts[k][e][i],
					0);
		}
	}
}

static void post(kl_line_worker_t *worker,
		 void (*open)(void *owner, kl_message_t *letter))
{
	kl_message_t *letter = calloc(1, sizeof(*letter));

	if (!letter)
		return;
	letter->handler = open;
	kl_inbox_post(worker->inbox, letter);
}

static void open_drain(void *owner, kl_message_t *letter)
{
	kl_line_worker_t *worker = owner;
	uint64_t now = kl_clock_us();

	free(letter);
	if (!worker)
		return;
	kl_engine_drain(worker->engine, now,
			now + worker->settings->transaction_grace_ms * KL_MS);
	ck_pr_store_64(&worker->session_count,
		       kl_engine_client_count(worker->engine));
}

static void open_refuse(void *owner, kl_message_t *letter)
{
	kl_line_worker_t *worker = owner;

	free(letter);
	if (!worker || !worker->listener)
		return;
	evconnlistener_free(worker->listener);
	worker->listener = NULL;
}

static void open_exit(void *owner, kl_message_t *letter)
{
	kl_line_worker_t *worker = owner;

	if (worker)
		event_base_loopexit(worker->base, NULL);
	free(letter);
}

static void front_login(void *owner, kl_engine_front_t *front,
			const char *database, const char *key)
{
	kl_line_worker_t *worker = owner;
	kl_client_t *caller = kl_client_new(worker->engine, front, database,
					    key, kl_clock_us());

	if (caller)
		kl_engine_front_set_data(front, caller);
	else
		kl_counter_add(KL_COUNTER_LOGINS_REFUSED, 1);
}

static void front_command(void *owner, kl_engine_front_t *front,
			  const kl_parsed_stmt_t *command)
{
	kl_line_worker_t *worker = owner;
	bool waited = kl_engine_has_waiting(worker->engine);

	kl_client_statement(kl_engine_front_data(front), command,
			    kl_clock_us());
	if (!waited && kl_engine_has_waiting(worker->engine))
		set_tick(worker);
}

static void front_closed(void *owner, kl_engine_front_t *front)
{
	kl_client_t *caller = kl_engine_front_data(front);
	(void)owner;

	if (caller)
		kl_client_disconnected(caller, kl_clock_us());
}

static void link_ready(void *owner, kl_position_t position)
{
	kl_conn_ready(owner, position, kl_clock_us());
}

static void link_answered(void *owner, const kl_stmt_result_t *outcome)
{
	kl_conn_answered(owner, outcome, kl_clock_us());
}

static void link_lost(void *owner, int error)
{
	kl_conn_lost(owner, error, kl_clock_us());
}

static void do_welcome(void *context, void *front)
{
	(void)context;
	kl_front_line.accept_login(front);
}

static void do_result(void *context, void *front,
		      const kl_stmt_result_t *outcome)
{
	(void)context;
	kl_front_line.result(front, outcome);
}

static void do_done(void *context, void *front, char state)
{
	(void)context;
	kl_front_line.complete(front, state);
}

static void do_refuse(void *context, void *front, int error, char state)
{
	(void)context;
	kl_front_line.error(front, error, state);
}

static bool do_quiet(void *context, void *front)
{
	(void)context;
	return kl_front_line.input_empty(front);
}

static void do_end(void *context, void *front, int error)
{
	(void)context;
	kl_front_line.close(front, error);
}

static void *do_open(void *context, const kl_conn_target_t *target,
		     kl_conn_t *channel)
{
	kl_line_worker_t *worker = context;

	return kl_engine_conn_line.open(worker->base, target, &link_events,
					channel);
}

static int do_send(void *context, void *link, const kl_conn_msg_t *dispatch)
{
	(void)context;
	return kl_engine_conn_line.send(link, dispatch);
}

static void do_close(void *context, void *link)
{
	(void)context;
	kl_engine_conn_line.close(link);
}

static void do_demand(void *context)
{
	kl_line_worker_t *worker = context;

	kl_control_thread_demand(worker->control);
}

static void do_traffic(void *context, const kl_passive_check_t *traffic)
{
	kl_line_worker_t *worker = context;

	kl_control_thread_traffic(worker->control, traffic);
}

static void do_decided(void *context, const kl_decision_t *decision)
{
	(void)context;
	kl_log_decision(decision);
}
