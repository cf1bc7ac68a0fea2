/* Client sessions: login and closing. */
#include <ck_pr.h>
#include <sodium.h>
#include <stdlib.h>
#include <string.h>

#include "daemon/worker_internal.h"

/* A session that was idle for this long is ended at a planned stop. */
#define DRAIN_IDLE_US (50 * KL_MS)

#define WORKERS_MAX 64 /* upper bound of the setting workers */

/* A CancelRequest, posted to the inbox of each worker. */
typedef struct cancel_message {
	kl_message_t base;
	uint32_t id;
	uint32_t secret;
} cancel_message_t;

static void on_login(void *owner, const kl_login_t *login);
static void on_query(void *owner, const kl_query_t *query);
static void on_cancel(void *owner, uint32_t id, uint32_t secret);
static void handle_cancel(void *owner, kl_message_t *message);
static void on_closed(void *owner);
static void handle_departing(void *owner, kl_message_t *message);
static void handle_moved(void *owner, kl_message_t *message);
static kl_session_t *session_of(kl_message_t *message);
static void finish_login(kl_session_t *session);
static int check_login(kl_session_t *session, const kl_view_t *view);
static void add_session(kl_worker_t *worker, kl_session_t *session);
static void recount(kl_session_t *session, const kl_view_t *view);
static bool is_idle(const kl_session_t *session, uint64_t now_us);

static const kl_front_events_t front_events = { on_login, on_query, on_cancel,
						on_closed };

void kl_session_accept(kl_worker_t *worker, int socket)
{
	kl_session_t *session = calloc(1, sizeof(*session));

	if (!session) {
		evutil_closesocket(socket);
		return;
	}
	session->front_ops = &kl_front_pg;
	session->transaction_status = 'I';
	session->request.session = session;
	session->id = (uint32_t)(worker->next_session_seq++ * WORKERS_MAX +
				 worker->index);
	randombytes_buf(&session->secret, sizeof(session->secret));
	session->front = session->front_ops->open(worker->base, socket,
						  &front_events, session);
	if (!session->front) {
		evutil_closesocket(socket);
		free(session);
		return;
	}
	ck_pr_inc_64(&worker->workers->session_count);
	kl_counter_add(KL_COUNTER_SESSIONS, 1);
	add_session(worker, session);
}

void kl_session_close(kl_session_t *session, int error)
{
	const kl_error_info_t *info = kl_error_info(error);

	if (!session->front) {
		kl_session_free(session);
		return;
	}
	if (error)
		session->front_ops->fatal(session->front, info->sqlstate,
					  info->text);
	session->front_ops->close(session->front);
	session->front = NULL;
	kl_session_free(session);
}

/* Does not close the front end, which is already closed or closes itself. */
void kl_session_free(kl_session_t *session)
{
	kl_worker_t *worker = session->worker;

	kl_request_abort(&session->request);
	if (session->pinned_conn)
		kl_pool_drop_conn(session->pinned_conn);
	kl_uncount_session(session->counted_in);
	ck_pr_dec_64(&worker->workers->session_count);
	CK_LIST_REMOVE(session, link);
	free(session);
}

void kl_session_end_transaction(kl_session_t *session)
{
	kl_pool_conn_t *conn = session->pinned_conn;

	session->pinned_conn = NULL;
	session->transaction_status = 'E';
	conn->session = NULL;
	kl_pool_drop_conn(conn);
}

void kl_session_sweep_all(kl_worker_t *worker, const kl_view_t *view)
{
	kl_session_t *session, *next;
	bool draining =
		view->lifecycle && view->lifecycle->phase == KL_PHASE_DRAINING;

	CK_LIST_FOREACH_SAFE(session, &worker->sessions, link, next) {
		int error;

		if (!session->logged_in)
			continue;
		recount(session, view);
		if (session->pinned_conn && !session->request.stage &&
		    kl_pool_has_left(session->pinned_conn->pool))
			kl_session_end_transaction(session);
		error = kl_authenticate(view, &worker->workers->path_settings,
					session->key_hash, session->workspace,
					session->service);
		if (error == -KL_E_STALE_CONFIG)
			error = 0; /* reported for each statement instead */
		if (!error && draining && is_idle(session, view->now_us))
			error = -KL_E_DRAINING;
		if (error && !session->request.stage)
			kl_session_close(session, error);
	}
}

/* Counts a session in the bucket that its workspace has now. */
static void recount(kl_session_t *session, const kl_view_t *view)
{
	kl_bucket_t *bucket = kl_session_bucket(session, view);

	if (bucket == session->counted_in)
		return;
	kl_uncount_session(session->counted_in);
	session->counted_in = kl_count_session(bucket);
}

kl_bucket_t *kl_session_bucket(const kl_session_t *session,
			       const kl_view_t *view)
{
	if (!view->buckets)
		return NULL;
	return kl_index_get(view->buckets->index, session->workspace);
}

/* Whether a planned stop may end the session. */
static bool is_idle(const kl_session_t *session, uint64_t now_us)
{
	const kl_worker_t *worker = session->worker;

	/* A client that has just got its answer may be sending a statement. */
	if (now_us - session->idle_since_us < DRAIN_IDLE_US &&
	    (!worker->drain_end_us || now_us < worker->drain_end_us))
		return false;
	return (session->transaction_status == 'I' ||
		kl_worker_transactions_ended(worker, now_us)) &&
	       session->front_ops->idle(session->front);
}

static void on_login(void *owner, const kl_login_t *login)
{
	kl_session_t *session = owner;
	kl_worker_t *worker = session->worker;
	uint32_t index;

	if (kl_name_copy(session->workspace, login->workspace) ||
	    kl_name_copy(session->service, login->service)) {
		kl_counter_add(KL_COUNTER_LOGINS_REFUSED, 1);
		kl_session_close(session, -KL_E_AUTH);
		return;
	}
	if (*login->key)
		kl_key_hash(login->key, session->key_hash);
	kl_token_decode(&session->token, session->workspace, session->service,
			login->session_token);
	if ((*login->max_age &&
	     !kl_session_set_option(session, "max_age", login->max_age)) ||
	    (*login->repeatable && !kl_session_set_option(session, "repeatable",
							  login->repeatable))) {
		kl_session_close(session, -KL_E_INVALID);
		return;
	}
	/*
	 * One worker serves all sessions of a service: it has the service's
	 * only pools and fair queues on this VM.
	 */
	index = (uint32_t)(kl_rendezvous_rank("worker", session->service) %
			   worker->workers->count);
	if (index == worker->index) {
		finish_login(session);
		return;
	}
	/*
	 * The session moves from the inbox, not from here: the front end is
	 * still processing the login message, and the other thread may attach
	 * to the session at once.
	 */
	session->target_worker = &worker->workers->table[index];
	session->move_message.handler = handle_departing;
	kl_inbox_post(worker->inbox, &session->move_message);
}

static void handle_departing(void *owner, kl_message_t *message)
{
	kl_session_t *session = session_of(message);
	kl_worker_t *target = session->target_worker;

	if (!owner)
		return;
	session->target_worker = NULL;
	if (!session->front) {
		kl_session_free(session);
		return;
	}
	CK_LIST_REMOVE(session, link);
	session->front_ops->detach(session->front);
	session->move_message.handler = handle_moved;
	kl_inbox_post(target->inbox, &session->move_message);
}

static void handle_moved(void *owner, kl_message_t *message)
{
	kl_session_t *session = session_of(message);

	/* The worker has stopped, because the process is ending. */
	if (!owner)
		return;
	add_session(owner, session);
	if (session->front_ops->attach(session->front, session->worker->base)) {
		kl_session_free(session);
		return;
	}
	finish_login(session);
}

static kl_session_t *session_of(kl_message_t *message)
{
	return (kl_session_t *)((char *)message -
				offsetof(kl_session_t, move_message));
}

static void add_session(kl_worker_t *worker, kl_session_t *session)
{
	session->worker = worker;
	CK_LIST_INSERT_HEAD(&worker->sessions, session, link);
}

static void finish_login(kl_session_t *session)
{
	kl_worker_t *worker = session->worker;
	kl_view_t view;
	int error;

	kl_read_begin(worker->reader);
	kl_view_load(&view, worker->reader, kl_clock_us());
	error = check_login(session, &view);
	kl_read_end(worker->reader);
	if (error) {
		kl_decision_t decision = {
			.name = "login_refused",
			.workspace = session->workspace,
			.service = session->service,
			.reason = kl_error_info(error)->name,
		};

		kl_counter_add(KL_COUNTER_LOGINS_REFUSED, 1);
		kl_log_decision(&decision);
		kl_session_close(session, error);
		return;
	}
	kl_control_thread_report_service_use(worker->workers->control,
					     session->service);
	session->logged_in = true;
	session->front_ops->accept_login(session->front, session->id,
					 session->secret);
}

static int check_login(kl_session_t *session, const kl_view_t *view)
{
	kl_worker_t *worker = session->worker;
	kl_bucket_t *bucket;
	int error;

	if (!view->lifecycle || view->lifecycle->phase != KL_PHASE_SERVING)
		return -KL_E_DRAINING;
	error = kl_authenticate(view, &worker->workers->path_settings,
				session->key_hash, session->workspace,
				session->service);
	if (error)
		return error;
	bucket = kl_session_bucket(session, view);
	if (!bucket)
		return -KL_E_CONNECTIONS;
	error = kl_admit_session(bucket);
	if (!error)
		session->counted_in = bucket;
	return error;
}

static void on_query(void *owner, const kl_query_t *query)
{
	kl_request_start(owner, query);
}

/* The session whose statement is to be cancelled may belong to any worker. */
static void on_cancel(void *owner, uint32_t id, uint32_t secret)
{
	kl_session_t *requester = owner;
	kl_workers_t *all = requester->worker->workers;

	for (uint32_t i = 0; i < all->count; i++) {
		cancel_message_t *cancel = calloc(1, sizeof(*cancel));

		if (!cancel)
			return;
		cancel->base.handler = handle_cancel;
		cancel->id = id;
		cancel->secret = secret;
		kl_inbox_post(all->table[i].inbox, &cancel->base);
	}
}

static void handle_cancel(void *owner, kl_message_t *message)
{
	kl_worker_t *worker = owner;
	const cancel_message_t cancel = *(cancel_message_t *)message;
	kl_session_t *session;

	free(message);
	if (!worker)
		return;
	CK_LIST_FOREACH(session, &worker->sessions, link) {
		if (session->logged_in && session->id == cancel.id &&
		    session->secret == cancel.secret) {
			kl_request_cancel(&session->request);
			return;
		}
	}
}

static void on_closed(void *owner)
{
	kl_session_t *session = owner;

	session->front = NULL;
	/* If the session is about to move, handle_departing() frees it. */
	if (!session->target_worker)
		kl_session_free(session);
}
