/* Callers' sessions: login, settings of their own, end. */
#include <ck_pr.h>
#include <sodium.h>
#include <stdlib.h>
#include <string.h>

#include "daemon/worker_internal.h"

/* A CancelRequest on its way to a worker. */
typedef struct cancel_letter {
	kl_message_t letter;
	uint32_t id;
	uint32_t secret;
} cancel_letter_t;

typedef struct own_setting {
	const char *name;
	bool (*set)(kl_session_t *session, const char *value);
	void (*show)(const kl_session_t *session, char *text, size_t room);
} own_setting_t;

static void on_login(void *owner, const kl_login_t *login);
static void on_query(void *owner, const kl_query_t *query);
static void on_cancel(void *owner, uint32_t id, uint32_t secret);
static void open_cancel(void *owner, kl_message_t *letter);
static void on_closed(void *owner);
static void open_departing(void *owner, kl_message_t *letter);
static void open_moved(void *owner, kl_message_t *letter);
static kl_session_t *session_of(kl_message_t *letter);
static void finish_login(kl_session_t *session);
static int check_login(kl_session_t *session, const kl_view_t *scene);
static bool set_session(kl_session_t *session, const char *value);
static bool set_max_age(kl_session_t *session, const char *value);
static bool set_repeatable(kl_session_t *session, const char *value);
static void show_session(const kl_session_t *session, char *text, size_t room);
static void show_max_age(const kl_session_t *session, char *text, size_t room);
static void show_repeatable(const kl_session_t *session, char *text,
			    size_t room);
static void join(kl_worker_t *worker, kl_session_t *session);
static bool may_end(const kl_session_t *session);

static const kl_front_events_t front_events = { on_login, on_query, on_cancel,
						on_closed };

static const own_setting_t own_settings[] = {
	{ "session", set_session, show_session },
	{ "max_age", set_max_age, show_max_age },
	{ "repeatable", set_repeatable, show_repeatable },
};

#define OWN_SETTINGS (sizeof(own_settings) / sizeof(own_settings[0]))

void kl_session_accept(kl_worker_t *worker, int socket)
{
	kl_session_t *session = calloc(1, sizeof(*session));

	if (!session) {
		evutil_closesocket(socket);
		return;
	}
	session->front_ops = &kl_front_pg;
	session->transaction_state = 'I';
	session->request.session = session;
	session->id =
		(uint32_t)(worker->next_session_seq++ * 64 + worker->index);
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
	join(worker, session);
}

void kl_session_close(kl_session_t *session, int error)
{
	const kl_error_info_t *answer = kl_error_info(error);

	if (!session->front) {
		kl_session_free(session);
		return;
	}
	if (error)
		session->front_ops->fatal(session->front, answer->sqlstate,
					  answer->text);
	session->front_ops->close(session->front);
	session->front = NULL;
	kl_session_free(session);
}

/* The front end is gone or on its way; everything held is given back. */
void kl_session_free(kl_session_t *session)
{
	kl_worker_t *worker = session->worker;
	kl_view_t scene;
	kl_bucket_t *bucket;

	kl_request_abort(&session->request);
	if (session->pinned_conn)
		kl_pool_drop(session->pinned_conn);
	if (session->counted_in_bucket) {
		kl_read_begin(worker->reader);
		kl_view_load(&scene, worker->reader, kl_clock_us());
		bucket = kl_session_bucket(session, &scene);
		if (bucket)
			kl_release_session(bucket);
		kl_read_end(worker->reader);
	}
	ck_pr_dec_64(&worker->workers->session_count);
	CK_LIST_REMOVE(session, link);
	free(session);
}

/* Ends idle sessions whose key is withdrawn, or all when this VM leaves. */
void kl_session_sweep_all(kl_worker_t *worker, const kl_view_t *scene)
{
	kl_session_t *session, *next;
	bool leaving = scene->life && scene->life->phase == KL_PHASE_DRAINING;

	CK_LIST_FOREACH_SAFE(session, &worker->sessions, link, next) {
		int error;

		if (!session->logged_in)
			continue;
		error = kl_authenticate(scene, &worker->workers->path_settings,
					session->key_hash, session->workspace,
					session->service);
		if (error == -KL_E_STALE_CONFIG)
			error = 0; /* said for each statement instead */
		if (!error && leaving && may_end(session))
			error = -KL_E_DRAINING;
		if (error && !session->request.stage)
			kl_session_close(session, error);
	}
}

kl_bucket_t *kl_session_bucket(const kl_session_t *session,
			       const kl_view_t *scene)
{
	if (!scene->shares)
		return NULL;
	return kl_index_get(scene->shares->index, session->workspace);
}

bool kl_session_set_option(kl_session_t *session, const char *name,
			   const char *value)
{
	for (size_t i = 0; i < OWN_SETTINGS; i++)
		if (!strcmp(own_settings[i].name, name))
			return own_settings[i].set(session, value);
	return false;
}

static bool may_end(const kl_session_t *session)
{
	return session->transaction_state == 'I' &&
	       session->front_ops->idle(session->front);
}

static void on_login(void *owner, const kl_login_t *login)
{
	kl_session_t *session = owner;
	kl_worker_t *worker = session->worker;
	uint32_t number;

	if (kl_name_set(session->workspace, login->workspace) ||
	    kl_name_set(session->service, login->service)) {
		kl_counter_add(KL_COUNTER_LOGINS_REFUSED, 1);
		kl_session_close(session, -KL_E_AUTH);
		return;
	}
	if (*login->key)
		kl_key_hash(login->key, session->key_hash);
	kl_token_decode(&session->token, session->workspace, session->service,
			login->session_token);
	if ((*login->max_age && !set_max_age(session, login->max_age)) ||
	    (*login->repeatable &&
	     !set_repeatable(session, login->repeatable))) {
		kl_session_close(session, -KL_E_INVALID);
		return;
	}
	/* One worker has all of a service's pools and fair queues. */
	number = (uint32_t)(kl_rendezvous_rank("worker", session->service) %
			    worker->workers->count);
	if (number == worker->index) {
		finish_login(session);
		return;
	}
	/*
	 * Not from here: the front end still works on the message that brought
	 * the login, and another thread may take the session up at once.
	 */
	session->target_worker = &worker->workers->table[number];
	session->move_message.handler = open_departing;
	kl_inbox_post(worker->inbox, &session->move_message);
}

static void open_departing(void *owner, kl_message_t *letter)
{
	kl_session_t *session = session_of(letter);
	kl_worker_t *home = session->target_worker;

	if (!owner)
		return;
	session->target_worker = NULL;
	if (!session->front) {
		kl_session_free(session);
		return;
	}
	CK_LIST_REMOVE(session, link);
	session->front_ops->detach(session->front);
	session->move_message.handler = open_moved;
	kl_inbox_post(home->inbox, &session->move_message);
}

static void open_moved(void *owner, kl_message_t *letter)
{
	kl_session_t *session = session_of(letter);

	/* A worker that has ended takes nobody in; the process ends as well. */
	if (!owner)
		return;
	join(owner, session);
	if (session->front_ops->attach(session->front, session->worker->base)) {
		kl_session_free(session);
		return;
	}
	finish_login(session);
}

static kl_session_t *session_of(kl_message_t *letter)
{
	return (kl_session_t *)((char *)letter -
				offsetof(kl_session_t, move_message));
}

static void join(kl_worker_t *worker, kl_session_t *session)
{
	session->worker = worker;
	CK_LIST_INSERT_HEAD(&worker->sessions, session, link);
}

static void finish_login(kl_session_t *session)
{
	kl_worker_t *worker = session->worker;
	kl_view_t scene;
	int error;

	kl_read_begin(worker->reader);
	kl_view_load(&scene, worker->reader, kl_clock_us());
	error = check_login(session, &scene);
	kl_read_end(worker->reader);
	if (error) {
		kl_decision_t refused = {
			.name = "login_refused",
			.workspace = session->workspace,
			.service = session->service,
			.reason = kl_error_info(error)->name,
		};

		kl_counter_add(KL_COUNTER_LOGINS_REFUSED, 1);
		kl_log_decision(&refused);
		kl_session_close(session, error);
		return;
	}
	kl_control_thread_interest(worker->workers->control, session->service);
	session->logged_in = true;
	session->front_ops->accept_login(session->front, session->id,
					 session->secret);
}

static int check_login(kl_session_t *session, const kl_view_t *scene)
{
	kl_worker_t *worker = session->worker;
	kl_bucket_t *bucket;
	int error;

	if (!scene->life || scene->life->phase != KL_PHASE_SERVING)
		return -KL_E_DRAINING;
	error = kl_authenticate(scene, &worker->workers->path_settings,
				session->key_hash, session->workspace,
				session->service);
	if (error)
		return error;
	bucket = kl_session_bucket(session, scene);
	if (!bucket)
		return -KL_E_CONNECTIONS;
	error = kl_admit_session(bucket);
	session->counted_in_bucket = !error;
	return error;
}

static void on_query(void *owner, const kl_query_t *query)
{
	kl_request_start(owner, query);
}

/* The session to cancel may live on any worker. */
static void on_cancel(void *owner, uint32_t id, uint32_t secret)
{
	kl_session_t *asker = owner;
	kl_workers_t *all = asker->worker->workers;

	for (uint32_t i = 0; i < all->count; i++) {
		cancel_letter_t *cancel = calloc(1, sizeof(*cancel));

		if (!cancel)
			return;
		cancel->letter.handler = open_cancel;
		cancel->id = id;
		cancel->secret = secret;
		kl_inbox_post(all->table[i].inbox, &cancel->letter);
	}
}

static void open_cancel(void *owner, kl_message_t *letter)
{
	kl_worker_t *worker = owner;
	const cancel_letter_t cancel = *(cancel_letter_t *)letter;
	kl_session_t *session;

	free(letter);
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
	/* One that is about to move is dropped by its letter. */
	if (!session->target_worker)
		kl_session_free(session);
}

static bool set_session(kl_session_t *session, const char *value)
{
	kl_token_decode(&session->token, session->workspace, session->service,
			value);
	return true;
}

/* A number with ms or s; 0 ends it. */
static bool set_max_age(kl_session_t *session, const char *value)
{
	char *end;
	unsigned long long number = strtoull(value, &end, 10);

	if (end == value || number > 86400000)
		return false;
	if (!strcmp(end, "s"))
		session->max_age_us = number * KL_SEC;
	else if (!*end || !strcmp(end, "ms"))
		session->max_age_us = number * KL_MS;
	else
		return false;
	return true;
}

static bool set_repeatable(kl_session_t *session, const char *value)
{
	bool on = !strcmp(value, "on") || !strcmp(value, "true");

	if (!on && strcmp(value, "off") && strcmp(value, "false"))
		return false;
	session->repeatable = on;
	return true;
}

static void show_session(const kl_session_t *session, char *text, size_t room)
{
	(void)room;
	if (session->token.state == KL_TOKEN_KNOWN)
		kl_token_encode(&session->token, session->workspace,
				session->service, text);
	else
		strcpy(text, session->token.state == KL_TOKEN_NEW ? "new" : "");
}

static void show_max_age(const kl_session_t *session, char *text, size_t room)
{
	snprintf(text, room, "%llums",
		 (unsigned long long)(session->max_age_us / KL_MS));
}

static void show_repeatable(const kl_session_t *session, char *text,
			    size_t room)
{
	snprintf(text, room, "%s", session->repeatable ? "on" : "off");
}

/* A result of one row and one column. */
typedef struct shown {
	const char *name;
	const char *text;
} shown_t;

static int shown_one(const void *rows)
{
	(void)rows;
	return 1;
}

static const char *shown_name(const void *rows, int column)
{
	(void)column;
	return ((const shown_t *)rows)->name;
}

static uint32_t shown_type(const void *rows, int column)
{
	(void)rows;
	(void)column;
	return 25; /* text */
}

static int shown_format(const void *rows, int column)
{
	(void)rows;
	(void)column;
	return 0;
}

static const char *shown_value(const void *rows, int row, int column,
			       size_t *length)
{
	const shown_t *shown = rows;
	(void)row;
	(void)column;

	*length = strlen(shown->text);
	return shown->text;
}

static const kl_rows_ops_t shown_ops = {
	shown_one, shown_one, shown_name, shown_type, shown_format, shown_value
};

void kl_session_show_option(kl_session_t *session, const char *name)
{
	char text[KL_TOKEN_MAX + 16];
	shown_t shown = { name, text };

	for (size_t i = 0; i < OWN_SETTINGS; i++) {
		if (strcmp(own_settings[i].name, name))
			continue;
		own_settings[i].show(session, text, sizeof(text));
		session->front_ops->rows(session->front, &shown_ops, &shown);
		session->front_ops->complete(session->front, "SHOW");
		kl_answer_finish(&session->request);
		return;
	}
	kl_answer_error(&session->request, -KL_E_INVALID);
}
