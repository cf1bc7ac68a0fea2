#include <arpa/inet.h>
#include <ck_pr.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

#include "daemon/worker_internal.h"

#define TICK_US 5000		 /* interval of polling the waiting requests */
#define SWEEP_INTERVAL_US 200000 /* interval of checking sessions and pools */
#define DRAIN_SWEEP_INTERVAL_US 20000 /* during a planned stop */
/* At a planned stop the last answers are sent this long before its end. */
#define ANSWER_MARGIN_US (100 * KL_MS)

static int worker_init(kl_workers_t *workers, uint32_t number);
static void *run(void *arg);
static void on_accept(void *owner, int socket);
static void on_tick(evutil_socket_t fd, short what, void *arg);
static void handle_drain(void *owner, kl_message_t *message);
static void handle_exit(void *owner, kl_message_t *message);
static void post_to_all(kl_workers_t *workers,
			void (*handler)(void *owner, kl_message_t *message));
static void worker_destroy(kl_worker_t *worker);
static const char **copy_read_functions(const kl_settings_t *settings);

kl_workers_t *kl_workers_new(const kl_settings_t *settings,
			     kl_control_thread_t *control)
{
	kl_workers_t *workers = calloc(1, sizeof(*workers));

	if (!workers)
		return NULL;
	workers->settings = settings;
	workers->control = control;
	workers->path_settings.lease_us = settings->lease_ms * KL_MS;
	workers->path_settings.leave_us = kl_settings_leave_us(settings);
	workers->path_settings.read_wait_us = settings->read_wait_ms * KL_MS;
	workers->path_settings.stale_after_us =
		settings->stale_after_ms * KL_MS;
	kl_name_copy(workers->path_settings.domain, settings->domain);
	workers->read_functions = copy_read_functions(settings);
	workers->table = calloc(settings->workers, sizeof(*workers->table));
	if (!workers->table || !workers->read_functions)
		goto fail;
	for (uint32_t i = 0; i < settings->workers; i++) {
		workers->count++;
		if (worker_init(workers, i))
			goto fail;
	}
	/* Threads start once all workers exist: a session may move to any. */
	for (uint32_t i = 0; i < workers->count; i++)
		if (pthread_create(&workers->table[i].thread, NULL, run,
				   &workers->table[i]))
			goto fail;
	return workers;
fail:
	kl_workers_free(workers);
	return NULL;
}

void kl_workers_drain(kl_workers_t *workers)
{
	ck_pr_store_32(&workers->draining, 1);
	post_to_all(workers, handle_drain);
}

uint64_t kl_workers_sessions(const kl_workers_t *workers)
{
	return ck_pr_load_64(&workers->session_count);
}

void kl_workers_free(kl_workers_t *workers)
{
	if (!workers)
		return;
	post_to_all(workers, handle_exit);
	for (uint32_t i = 0; i < workers->count; i++)
		if (workers->table[i].thread)
			pthread_join(workers->table[i].thread, NULL);
	for (uint32_t i = 0; i < workers->count; i++)
		worker_destroy(&workers->table[i]);
	free(workers->table);
	free(workers->read_functions);
	free(workers);
}

static int worker_init(kl_workers_t *workers, uint32_t number)
{
	struct timeval tick = { 0, TICK_US };
	kl_worker_t *worker = &workers->table[number];
	const kl_settings_t *settings = workers->settings;

	worker->workers = workers;
	worker->index = number;
	CK_LIST_INIT(&worker->sessions);
	CK_STAILQ_INIT(&worker->waiting_requests);
	CK_STAILQ_INIT(&worker->pools);
	worker->base = event_base_new();
	worker->inbox = kl_inbox_new(worker->base, worker);
	worker->reader =
		kl_reader_new(kl_control_thread_board(workers->control));
	worker->prover = kl_prover_new(worker);
	/* Every worker listens on the same port. */
	worker->listener = kl_listener_new(worker->base, settings->host,
					   (uint16_t)settings->listen_port,
					   true, on_accept, worker);
	if (!worker->listener) {
		kl_log_event("start_failed",
			     "cannot listen on listen_port; the daemon does "
			     "not start");
		return -KL_E_UNAVAILABLE;
	}
	worker->tick = event_new(worker->base, -1, EV_PERSIST, on_tick, worker);
	event_add(worker->tick, &tick);
	return 0;
}

static void *run(void *arg)
{
	kl_worker_t *worker = arg;

	event_base_loop(worker->base, EVLOOP_NO_EXIT_ON_EMPTY);
	return NULL;
}

static void on_accept(void *owner, int socket)
{
	kl_session_accept(owner, socket);
}

static void on_tick(evutil_socket_t fd, short what, void *arg)
{
	kl_worker_t *worker = arg;
	kl_view_t view;
	uint64_t now = kl_clock_us();
	(void)fd;
	(void)what;

	kl_request_poll_waiting(worker);
	if (now - worker->last_sweep_us < (worker->drain_end_us
						   ? DRAIN_SWEEP_INTERVAL_US
						   : SWEEP_INTERVAL_US))
		return;
	worker->last_sweep_us = now;
	kl_request_expire_all(worker);
	kl_read_begin(worker->reader);
	kl_view_load(&view, worker->reader, now);
	kl_session_sweep_all(worker, &view);
	kl_pool_maintain_all(worker, &view);
	kl_read_end(worker->reader);
}

static void post_to_all(kl_workers_t *workers,
			void (*handler)(void *owner, kl_message_t *message))
{
	for (uint32_t i = 0; i < workers->count; i++) {
		kl_message_t *message = calloc(1, sizeof(*message));

		if (!message || !workers->table[i].inbox) {
			free(message);
			continue;
		}
		message->handler = handler;
		kl_inbox_post(workers->table[i].inbox, message);
	}
}

static void handle_drain(void *owner, kl_message_t *message)
{
	kl_worker_t *worker = owner;
	const kl_settings_t *settings;
	uint64_t now = kl_clock_us();

	free(message);
	if (!worker)
		return;
	settings = worker->workers->settings;
	kl_listener_stop(worker->listener);
	kl_worker_drain(worker, now + settings->transaction_grace_ms * KL_MS,
			now + settings->drain_ms * KL_MS - ANSWER_MARGIN_US);
}

void kl_worker_drain(kl_worker_t *worker, uint64_t transactions_until_us,
		     uint64_t end_us)
{
	kl_session_t *session;

	worker->transactions_until_us = transactions_until_us;
	worker->drain_end_us = end_us;
	CK_LIST_FOREACH(session, &worker->sessions, link)
		kl_request_limit_deadline(&session->request);
}

bool kl_worker_transactions_ended(const kl_worker_t *worker, uint64_t now_us)
{
	return worker->transactions_until_us &&
	       now_us >= worker->transactions_until_us;
}

static void handle_exit(void *owner, kl_message_t *message)
{
	kl_worker_t *worker = owner;

	if (worker)
		event_base_loopexit(worker->base, NULL);
	free(message);
}

static void worker_destroy(kl_worker_t *worker)
{
	kl_session_t *session;
	kl_pool_t *pool;

	kl_inbox_free(worker->inbox);
	while ((session = CK_LIST_FIRST(&worker->sessions)))
		kl_session_close(session, -KL_E_DRAINING);
	kl_prover_free(worker->prover);
	while ((pool = CK_STAILQ_FIRST(&worker->pools))) {
		CK_STAILQ_REMOVE_HEAD(&worker->pools, link);
		kl_pool_free(pool);
	}
	kl_listener_free(worker->listener);
	if (worker->tick)
		event_free(worker->tick);
	if (worker->base)
		event_base_free(worker->base);
}

static const char **copy_read_functions(const kl_settings_t *settings)
{
	const char **list =
		calloc(settings->read_functions_count + 1, sizeof(*list));

	for (uint32_t i = 0; list && i < settings->read_functions_count; i++)
		list[i] = settings->read_functions[i];
	return list;
}
