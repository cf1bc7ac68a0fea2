/* kumquatloftd: the proxy daemon, of which each VM runs one. */
#include <curl/curl.h>
#include <event2/thread.h>
#include <glib.h>
#include <pthread.h>
#include <signal.h>
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "daemon/control_thread.h"
#include "daemon/line_worker.h"
#include "daemon/log.h"
#include "daemon/settings.h"
#include "daemon/worker.h"

#define EXIT_OK 0
#define EXIT_FAILED 1
#define EXIT_USAGE 2
#define SETTINGS_VARIABLE "KUMQUATLOFT_CONFIG"
#define SLOT_RELEASE_TIMEOUT_MS 900 /* for returning the owned slots */
#define POLL_INTERVAL_NS 20000000

/* The threads that serve clients: one of the two, by the setting front. */
typedef struct server {
	kl_workers_t *workers;
	kl_line_worker_t *line_worker;
} server_t;

static void block_signals(sigset_t *signals);
static int serve(const kl_settings_t *settings, const char *path,
		 char *const *overrides, sigset_t *signals);
static int server_start(server_t *server, const kl_settings_t *settings,
			kl_control_thread_t *control);
static void server_drain(const server_t *server);
static void server_stop_accept(const server_t *server);
static uint64_t server_sessions(const server_t *server);
static void server_free(server_t *server);
static void wait_for_stop_signal(const sigset_t *signals, const char *path,
				 char *const *overrides);
static void check_settings(const char *path, char *const *overrides);
static void drain(const kl_settings_t *settings, kl_control_thread_t *control,
		  const server_t *server, const sigset_t *signals);
static bool wait_poll_interval(const sigset_t *signals);

int main(int argc, char **argv)
{
	static gchar *path;
	static gchar **overrides;
	static gboolean check;
	static const GOptionEntry entries[] = {
		{ "settings", 's', 0, G_OPTION_ARG_FILENAME, &path,
		  "Settings file (YAML)", "FILE" },
		{ "set", 0, 0, G_OPTION_ARG_STRING_ARRAY, &overrides,
		  "Replace a numeric setting of the file", "NAME=VALUE" },
		{ "check", 'c', 0, G_OPTION_ARG_NONE, &check,
		  "Only check the settings", NULL },
		{ NULL, 0, 0, 0, NULL, NULL, NULL },
	};
	GOptionContext *context = g_option_context_new(NULL);
	kl_settings_t *settings = NULL;
	GError *error = NULL;
	int status = EXIT_USAGE;
	sigset_t signals;

	/* This comes first because an unblocked SIGHUP ends the process. */
	block_signals(&signals);
	g_option_context_set_summary(
		context, "Database proxy with session consistency: the daemon "
			 "of one VM.");
	g_option_context_add_main_entries(context, entries, NULL);
	if (!g_option_context_parse(context, &argc, &argv, &error)) {
		fprintf(stderr, "%s\n", error->message);
		g_error_free(error);
		goto out;
	}
	if (!path)
		path = g_strdup(getenv(SETTINGS_VARIABLE));
	if (!path) {
		fprintf(stderr, "--settings is missing\n");
		goto out;
	}
	settings = kl_settings_load(path, overrides);
	if (!settings)
		goto out;
	status = check ? EXIT_OK : serve(settings, path, overrides, &signals);
out:
	if (settings)
		kl_settings_free(settings);
	g_option_context_free(context);
	g_free(path);
	g_strfreev(overrides);
	return status;
}

/* Every thread inherits the mask; the main thread waits for the signals. */
static void block_signals(sigset_t *signals)
{
	sigemptyset(signals);
	sigaddset(signals, SIGTERM);
	sigaddset(signals, SIGINT);
	sigaddset(signals, SIGHUP);
	pthread_sigmask(SIG_BLOCK, signals, NULL);
}

static int serve(const kl_settings_t *settings, const char *path,
		 char *const *overrides, sigset_t *signals)
{
	kl_control_thread_t *control = NULL;
	server_t server = { NULL, NULL };
	int status = EXIT_FAILED;

	signal(SIGPIPE, SIG_IGN);
	if (sodium_init() < 0 || curl_global_init(CURL_GLOBAL_ALL) ||
	    evthread_use_pthreads())
		return EXIT_FAILED;
	kl_log_open(settings->vm, settings->log_lines);
	control = kl_control_thread_new(settings);
	if (!control || server_start(&server, settings, control))
		goto out;
	kl_log_event("started", settings->domain);
	wait_for_stop_signal(signals, path, overrides);
	sigdelset(signals, SIGHUP);
	drain(settings, control, &server, signals);
	status = EXIT_OK;
out:
	server_free(&server);
	kl_control_thread_free(control);
	kl_log_event("stopped", "");
	kl_log_close();
	curl_global_cleanup();
	return status;
}

static int server_start(server_t *server, const kl_settings_t *settings,
			kl_control_thread_t *control)
{
	if (!strcmp(settings->front, "line"))
		server->line_worker = kl_line_worker_new(settings, control);
	else
		server->workers = kl_workers_new(settings, control);
	return server->line_worker || server->workers ? 0 : -KL_E_UNAVAILABLE;
}

static void server_drain(const server_t *server)
{
	if (server->line_worker)
		kl_line_worker_drain(server->line_worker);
	else
		kl_workers_drain(server->workers);
}

/* The PostgreSQL workers already stopped listening in server_drain(). */
static void server_stop_accept(const server_t *server)
{
	if (server->line_worker)
		kl_line_worker_stop_accept(server->line_worker);
}

static uint64_t server_sessions(const server_t *server)
{
	return server->line_worker
		       ? kl_line_worker_sessions(server->line_worker)
		       : kl_workers_sessions(server->workers);
}

static void server_free(server_t *server)
{
	kl_workers_free(server->workers);
	kl_line_worker_free(server->line_worker);
}

static void wait_for_stop_signal(const sigset_t *signals, const char *path,
				 char *const *overrides)
{
	int number;

	while (!sigwait(signals, &number) && number == SIGHUP)
		check_settings(path, overrides);
}

/*
 * Only checks the file.  Settings name this VM and its addresses, which cannot
 * change while the daemon runs.
 */
static void check_settings(const char *path, char *const *overrides)
{
	kl_settings_t *settings = kl_settings_load(path, overrides);

	kl_log_event("reload",
		     settings ? "the settings file is valid; it takes "
				"effect at the next start"
			      : "the settings file is invalid; a start "
				"with it would fail");
	if (settings)
		kl_settings_free(settings);
}

/*
 * Waits until all sessions have ended and the owned slots have been returned.
 * drain_ms limits the wait for the sessions; a second signal ends both waits.
 */
static void drain(const kl_settings_t *settings, kl_control_thread_t *control,
		  const server_t *server, const sigset_t *signals)
{
	uint64_t now = kl_clock_us();
	uint64_t listen_until = now + settings->drain_least_ms * KL_MS;
	uint64_t deadline = now + settings->drain_ms * KL_MS;
	bool signalled = false, stopped_listening = false;

	server_drain(server);
	kl_control_thread_stop(control);
	/*
	 * Waits at least once, because the serving threads update the number of
	 * sessions.  A load balancer sends new clients until its readiness
	 * probe has failed, so the daemon keeps listening for drain_least_ms.
	 */
	do {
		signalled = wait_poll_interval(signals);
		now = kl_clock_us();
		if (now >= listen_until && !stopped_listening) {
			server_stop_accept(server);
			stopped_listening = true;
		}
	} while (!signalled && now < deadline &&
		 (server_sessions(server) || now < listen_until));
	deadline = kl_clock_us() + SLOT_RELEASE_TIMEOUT_MS * KL_MS;
	while (!signalled && kl_control_thread_slots_owned(control) &&
	       kl_clock_us() < deadline)
		signalled = wait_poll_interval(signals);
}

/* Returns whether a signal arrived during the interval. */
static bool wait_poll_interval(const sigset_t *signals)
{
	struct timespec interval = { 0, POLL_INTERVAL_NS };

	return sigtimedwait(signals, NULL, &interval) > 0;
}
