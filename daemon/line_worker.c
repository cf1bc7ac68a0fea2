#include <arpa/inet.h>
#include <ck_pr.h>
#include <event2/event.h>
#include <pthread.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

#include "daemon/counter.h"
#include "daemon/inbox.h"
#include "daemon/line_worker.h"
#include "daemon/listener.h"
#include "daemon/log.h"
#include "daemon/usage_batch.h"
#include "daemon/spill_metrics.h"
#include "front/engine_front.h"
#include "upstream/engine_conn.h"

#define IDLE_TICK_US 25000 /* interval of ticks while no request waits */
#define BUSY_TICK_US 3000  /* interval of ticks if a request waits */
/* At a planned stop the last answers are sent this long before its end. */
#define ANSWER_MARGIN_US (100 * KL_MS)

struct kl_line_worker {
	const kl_settings_t *settings;
	kl_control_thread_t *control;
	pthread_t thread;
	struct event_base *base;
	struct event *tick;
	kl_listener_t *listener;
	uint64_t open_fronts; /* client connections, before and after login */
	uint64_t max_sessions;
	kl_inbox_t *inbox;
	kl_reader_t *reader;
	kl_engine_t *engine;
	kl_engine_counts_t published_counts; /* already added to the metrics */
	uint64_t session_count;	  /* number of open sessions; atomic */
	kl_usage_samples_t usage; /* not yet reported to the control thread */
};

static void *run(void *arg);
static int open_listener(kl_line_worker_t *worker);
static void on_accept(void *owner, int socket);
static void on_tick(evutil_socket_t fd, short what, void *arg);
static void schedule_tick(kl_line_worker_t *worker);
static void publish_counts(kl_line_worker_t *worker);
static void handle_drain(void *owner, kl_message_t *message);
static void handle_stop_accept(void *owner, kl_message_t *message);
static void handle_exit(void *owner, kl_message_t *message);
static void post_message(kl_line_worker_t *worker,
			 void (*handler)(void *owner, kl_message_t *message));
static void fill_engine_settings(const kl_settings_t *settings,
				 kl_engine_settings_t *engine_settings);

/* Events of the front end. */
static void front_login(void *owner, kl_engine_front_t *front,
			const char *database, const char *key);
static void front_statement(void *owner, kl_engine_front_t *front,
			    const kl_parsed_stmt_t *statement);
static void front_closed(void *owner, kl_engine_front_t *front);

/* Events of the upstream connections. */
static void conn_ready(void *owner, kl_position_t position);
static void conn_answered(void *owner, const kl_stmt_result_t *result);
static void conn_lost(void *owner, int error);

/* Functions of kl_engine_ops_t, which the engine calls. */
static void engine_accept_login(void *context, void *front);
static void engine_result(void *context, void *front,
			  const kl_stmt_result_t *result);
static void engine_complete(void *context, void *front, char state);
static void engine_send_error(void *context, void *front, int error,
			      char state);
static bool engine_input_empty(void *context, void *front);
static void engine_end_session(void *context, void *front, int error);
static void *engine_conn_open(void *context, const kl_conn_target_t *target,
			      kl_conn_t *conn);
static int engine_conn_send(void *context, void *handle,
			    const kl_conn_msg_t *msg);
static void engine_conn_close(void *context, void *handle);
static void engine_tokens_needed(void *context);
static void engine_report_health(void *context,
				 const kl_passive_check_t *check);
static void engine_report_position(void *context,
				   const kl_primary_position_t *position);
static void engine_count_operation(void *context, const char *workspace,
				   uint64_t sent_us);
static void engine_report_load(void *context, const kl_load_report_t *report);
static void engine_log_decision(void *context, const kl_decision_t *decision);

static const kl_engine_front_events_t front_events = { front_login,
						       front_statement,
						       front_closed };

static const kl_engine_conn_events_t conn_events = { conn_ready, conn_answered,
						     conn_lost };

static const kl_engine_ops_t engine_ops = {
	.accept_login = engine_accept_login,
	.send_result = engine_result,
	.send_complete = engine_complete,
	.send_error = engine_send_error,
	.input_empty = engine_input_empty,
	.end_session = engine_end_session,
	.conn_open = engine_conn_open,
	.conn_send = engine_conn_send,
	.conn_close = engine_conn_close,
	.tokens_needed = engine_tokens_needed,
	.report_health = engine_report_health,
	.report_position = engine_report_position,
	.count_operation = engine_count_operation,
	.report_load = engine_report_load,
	.log_decision = engine_log_decision,
};

kl_line_worker_t *kl_line_worker_new(const kl_settings_t *settings,
				     kl_control_thread_t *control)
{
	kl_line_worker_t *worker = calloc(1, sizeof(*worker));
	kl_engine_settings_t engine_settings;

	if (!worker)
		return NULL;
	worker->settings = settings;
	worker->control = control;
	CK_STAILQ_INIT(&worker->usage);
	worker->base = event_base_new();
	worker->inbox = kl_inbox_new(worker->base, worker);
	worker->reader = kl_reader_new(kl_control_thread_board(control));
	fill_engine_settings(settings, &engine_settings);
	worker->engine = kl_engine_new(&engine_settings, &engine_ops, worker,
				       worker->reader);
	worker->tick = evtimer_new(worker->base, on_tick, worker);
	if (!worker->engine || !worker->tick || open_listener(worker))
		goto fail;
	schedule_tick(worker);
	if (pthread_create(&worker->thread, NULL, run, worker))
		goto fail;
	return worker;
fail:
	kl_line_worker_free(worker);
	return NULL;
}

static void fill_engine_settings(const kl_settings_t *settings,
				 kl_engine_settings_t *engine_settings)
{
	memset(engine_settings, 0, sizeof(*engine_settings));
	engine_settings->data_path.lease_us = settings->lease_ms * KL_MS;
	engine_settings->data_path.leave_us = kl_settings_leave_us(settings);
	kl_name_copy(engine_settings->data_path.domain, settings->domain);
	engine_settings->statement_timeout_us = settings->statement_ms * KL_MS;
	engine_settings->admit_wait_us = settings->admit_wait_ms * KL_MS;
	engine_settings->connect_timeout_us = settings->connect_ms * KL_MS;
	engine_settings->priority_queues = settings->priority_queues;
	engine_settings->position_wait_us = settings->position_wait_ms * KL_MS;
	engine_settings->domain_spill = settings->domain_spill;
}

static int open_listener(kl_line_worker_t *worker)
{
	const kl_settings_t *settings = worker->settings;

	worker->max_sessions = kl_listener_max_sessions();
	worker->listener = kl_listener_new(worker->base, settings->host,
					   (uint16_t)settings->listen_port,
					   false, on_accept, worker);
	if (worker->listener)
		return 0;
	kl_log_event("start_failed",
		     "cannot listen on listen_port; the daemon does not start");
	return -KL_E_UNAVAILABLE;
}

void kl_line_worker_drain(kl_line_worker_t *worker)
{
	post_message(worker, handle_drain);
}

void kl_line_worker_stop_accept(kl_line_worker_t *worker)
{
	post_message(worker, handle_stop_accept);
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
		post_message(worker, handle_exit);
		pthread_join(worker->thread, NULL);
	}
	kl_inbox_free(worker->inbox);
	kl_engine_free(worker->engine);
	kl_listener_free(worker->listener);
	if (worker->tick)
		event_free(worker->tick);
	event_base_free(worker->base);
	kl_usage_batch_clear(&worker->usage);
	free(worker);
}

static void *run(void *arg)
{
	kl_line_worker_t *worker = arg;

	event_base_loop(worker->base, EVLOOP_NO_EXIT_ON_EMPTY);
	return NULL;
}

static void on_accept(void *owner, int socket)
{
	kl_line_worker_t *worker = owner;
	kl_engine_front_t *front =
		kl_front_line.open(worker->base, socket, &front_events, worker);

	kl_counter_add(KL_COUNTER_SESSIONS, 1);
	if (!front)
		return;
	if (worker->open_fronts < worker->max_sessions) {
		worker->open_fronts++;
		return;
	}
	kl_counter_add(KL_COUNTER_LOGINS_REFUSED, 1);
	kl_front_line.close(front, -KL_E_CONNECTIONS);
}

static void on_tick(evutil_socket_t fd, short what, void *arg)
{
	kl_line_worker_t *worker = arg;
	(void)fd;
	(void)what;

	kl_engine_tick(worker->engine, kl_clock_us());
	ck_pr_store_64(&worker->session_count,
		       kl_engine_client_count(worker->engine));
	publish_counts(worker);
	if (!CK_STAILQ_EMPTY(&worker->usage))
		kl_control_thread_report_usage(worker->control, &worker->usage);
	schedule_tick(worker);
}

static void schedule_tick(kl_line_worker_t *worker)
{
	bool waiting = kl_engine_has_waiting_stmts(worker->engine);
	struct timeval next = { 0, waiting ? BUSY_TICK_US : IDLE_TICK_US };

	evtimer_add(worker->tick, &next);
}

static void publish_counts(kl_line_worker_t *worker)
{
	const kl_engine_counts_t *now = kl_engine_counts(worker->engine);
	kl_engine_counts_t *published = &worker->published_counts;
	kl_engine_gauges_t gauges;

	kl_counter_add(KL_COUNTER_READS_REPLICA,
		       now->reads_replica - published->reads_replica);
	kl_counter_add(KL_COUNTER_READS_PRIMARY,
		       now->reads_primary - published->reads_primary);
	kl_counter_add(KL_COUNTER_WRITES, now->writes - published->writes);
	kl_counter_add(KL_COUNTER_REFUSED_RATE,
		       now->refused_rate - published->refused_rate);
	kl_counter_add(KL_COUNTER_REFUSED_OTHER,
		       now->refused_other - published->refused_other);
	kl_counter_add(KL_COUNTER_UNKNOWN_OUTCOMES,
		       now->unknown_outcomes - published->unknown_outcomes);
	kl_counter_add(KL_COUNTER_RETRIES, now->retries - published->retries);
	kl_counter_add(KL_COUNTER_CONNS_OPENED,
		       now->conns_opened - published->conns_opened);
	kl_counter_add(KL_COUNTER_CONNS_DROPPED,
		       now->conns_closed - published->conns_closed);
	kl_counter_add(KL_COUNTER_ADMITTED,
		       now->admitted - published->admitted);
	kl_counter_add(KL_COUNTER_STMTS_LEAVING,
		       now->stmts_leaving - published->stmts_leaving);
	kl_counter_add(KL_COUNTER_WRITES_FORGOTTEN,
		       now->writes_forgotten - published->writes_forgotten);
	kl_spill_publish(worker->engine, published);
	if (now->finished != published->finished)
		kl_latency_publish(now, published);
	kl_priorities_add(now->priorities, published->priorities);
	kl_engine_get_gauges(worker->engine, &gauges);
	kl_gauge_set(KL_GAUGE_SESSIONS, gauges.sessions);
	kl_gauge_set(KL_GAUGE_WAITING_STMTS, gauges.waiting_stmts);
	kl_gauge_set(KL_GAUGE_QUEUED_STMTS, gauges.queued_stmts);
	kl_gauge_set(KL_GAUGE_RUNNING_STMTS, gauges.running_stmts);
	*published = *now;
}

static void post_message(kl_line_worker_t *worker,
			 void (*handler)(void *owner, kl_message_t *message))
{
	kl_message_t *message = calloc(1, sizeof(*message));

	if (!message)
		return;
	message->handler = handler;
	kl_inbox_post(worker->inbox, message);
}

static void handle_drain(void *owner, kl_message_t *message)
{
	kl_line_worker_t *worker = owner;
	uint64_t now = kl_clock_us();

	free(message);
	if (!worker)
		return;
	kl_engine_drain(worker->engine, now,
			now + worker->settings->transaction_grace_ms * KL_MS,
			now + worker->settings->drain_ms * KL_MS -
				ANSWER_MARGIN_US);
	ck_pr_store_64(&worker->session_count,
		       kl_engine_client_count(worker->engine));
}

static void handle_stop_accept(void *owner, kl_message_t *message)
{
	kl_line_worker_t *worker = owner;

	free(message);
	if (!worker)
		return;
	kl_listener_free(worker->listener);
	worker->listener = NULL;
}

static void handle_exit(void *owner, kl_message_t *message)
{
	kl_line_worker_t *worker = owner;

	if (worker)
		event_base_loopexit(worker->base, NULL);
	free(message);
}

static void front_login(void *owner, kl_engine_front_t *front,
			const char *database, const char *key)
{
	kl_line_worker_t *worker = owner;
	kl_client_t *client = kl_client_new(worker->engine, front, database,
					    key, kl_clock_us());

	if (client)
		kl_engine_front_set_data(front, client);
	else
		kl_counter_add(KL_COUNTER_LOGINS_REFUSED, 1);
}

static void front_statement(void *owner, kl_engine_front_t *front,
			    const kl_parsed_stmt_t *statement)
{
	kl_line_worker_t *worker = owner;
	bool was_waiting = kl_engine_has_waiting_stmts(worker->engine);

	kl_client_statement(kl_engine_front_data(front), statement,
			    kl_clock_us());
	if (!was_waiting && kl_engine_has_waiting_stmts(worker->engine))
		schedule_tick(worker);
}

static void front_closed(void *owner, kl_engine_front_t *front)
{
	kl_line_worker_t *worker = owner;
	kl_client_t *client = kl_engine_front_data(front);

	worker->open_fronts--;
	if (client)
		kl_client_disconnected(client, kl_clock_us());
}

static void conn_ready(void *owner, kl_position_t position)
{
	kl_conn_ready(owner, position, kl_clock_us());
}

static void conn_answered(void *owner, const kl_stmt_result_t *result)
{
	kl_conn_answered(owner, result, kl_clock_us());
}

static void conn_lost(void *owner, int error)
{
	kl_conn_lost(owner, error, kl_clock_us());
}

static void engine_accept_login(void *context, void *front)
{
	(void)context;
	kl_front_line.accept_login(front);
}

static void engine_result(void *context, void *front,
			  const kl_stmt_result_t *result)
{
	(void)context;
	kl_front_line.result(front, result);
}

static void engine_complete(void *context, void *front, char state)
{
	(void)context;
	kl_front_line.complete(front, state);
}

static void engine_send_error(void *context, void *front, int error, char state)
{
	(void)context;
	kl_front_line.error(front, error, state);
}

static bool engine_input_empty(void *context, void *front)
{
	(void)context;
	return kl_front_line.input_empty(front);
}

static void engine_end_session(void *context, void *front, int error)
{
	kl_line_worker_t *worker = context;

	worker->open_fronts--;
	kl_front_line.close(front, error);
}

static void *engine_conn_open(void *context, const kl_conn_target_t *target,
			      kl_conn_t *conn)
{
	kl_line_worker_t *worker = context;

	return kl_engine_conn_line.open(worker->base, target, &conn_events,
					conn);
}

static int engine_conn_send(void *context, void *handle,
			    const kl_conn_msg_t *msg)
{
	(void)context;
	return kl_engine_conn_line.send(handle, msg);
}

static void engine_conn_close(void *context, void *handle)
{
	(void)context;
	kl_engine_conn_line.close(handle);
}

static void engine_tokens_needed(void *context)
{
	kl_line_worker_t *worker = context;

	kl_control_thread_report_waiting_request(worker->control);
}

static void engine_report_health(void *context, const kl_passive_check_t *check)
{
	kl_line_worker_t *worker = context;

	kl_control_thread_report_check(worker->control, check);
}

static void engine_report_position(void *context,
				   const kl_primary_position_t *position)
{
	kl_line_worker_t *worker = context;

	kl_control_thread_report_position(worker->control, position);
}

static void engine_count_operation(void *context, const char *workspace,
				   uint64_t sent_us)
{
	kl_line_worker_t *worker = context;

	if (worker->settings->usage_window_s)
		kl_usage_batch_add(&worker->usage, workspace, sent_us);
}

static void engine_report_load(void *context, const kl_load_report_t *report)
{
	kl_line_worker_t *worker = context;

	kl_control_thread_report_load(worker->control, report);
}

static void engine_log_decision(void *context, const kl_decision_t *decision)
{
	(void)context;
	kl_log_decision(decision);
}
