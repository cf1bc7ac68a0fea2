/* kumquatloftd: the daemon of one VM. */
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
#define RELEASE_MS 900 /* to give the owned parts back at the end */

/* The threads that serve callers, whatever these speak. */
typedef struct server {
	kl_workers_t *workers;
	kl_line_worker_t *line;
} server_t;

static void block_signals(sigset_t *signals);
static int serve(const kl_settings_t *settings, const char *path,
		 sigset_t *signals);
static int server_start(server_t *server, const kl_settings_t *settings,
			kl_control_thread_t *control);
static void server_drain(const server_t *server);
static void server_refuse(const server_t *server);
static uint64_t server_sessions(const server_t *server);
static void server_free(server_t *server);
static void wait_for_stop(const sigset_t *signals, const char *path);
static void reload(const char *path);
static void drain(const kl_settings_t *settings, kl_control_thread_t *control,
		  const server_t *server, const sigset_t *signals);
static bool wait_a_moment(const sigset_t *signals);

int main(int argc, char **argv)
{
	static gchar *path;
	static gboolean check;
	static const GOptionEntry entries[] = {
		{ "settings", 's', 0, G_OPTION_ARG_FILENAME, &path,
		  "Settings file (YAML)", "FILE" },
		{ "check", 'c', 0, G_OPTION_ARG_NONE, &check,
		  "Only check the settings", NULL },
		{ NULL, 0, 0, 0, NULL, NULL, NULL },
	};
	GOptionContext *context = g_option_context_new(NULL);
	kl_settings_t *settings = NULL;
	GError *error = NULL;
	int status = EXIT_USAGE;
	sigset_t signals;

	/* First of all: until then SIGHUP ends the process. */
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
	settings = kl_settings_load(path);
	if (!settings)
		goto out;
	status = check ? EXIT_OK : serve(settings, path, &signals);
out:
	if (settings)
		kl_settings_free(settings);
	g_option_context_free(context);
	g_free(path);
	return status;
}

/* Every thread inherits the mask; signals are taken by sigwait. */
static void block_signals(sigset_t *signals)
{
	sigemptyset(signals);
	sigaddset(signals, SIGTERM);
	sigaddset(signals, SIGINT);
	sigaddset(signals, SIGHUP);
	pthread_sigmask(SIG_BLOCK, signals, NULL);
}

static int serve(const kl_settings_t *settings, const char *path,
		 sigset_t *signals)
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
	wait_for_stop(signals, path);
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
		server->line = kl_line_worker_new(settings, control);
	else
		server->workers = kl_workers_new(settings, control);
	return server->line || server->workers ? 0 : -KL_E_UNAVAILABLE;
}

static void server_drain(const server_t *server)
{
	if (server->line)
		kl_line_worker_drain(server->line);
	else
		kl_workers_drain(server->workers);
}

/* From here on no caller is accepted. */
static void server_refuse(const server_t *server)
{
	if (server->line)
		kl_line_worker_stop_accept(server->line);
}

static uint64_t server_sessions(const server_t *server)
{
	return server->line ? kl_line_worker_sessions(server->line)
			    : kl_workers_sessions(server->workers);
}

static void server_free(server_t *server)
{
	kl_workers_free(server->workers);
	kl_line_worker_free(server->line);
}

static void wait_for_stop(const sigset_t *signals, const char *path)
{
	int number;

	while (!sigwait(signals, &number) && number == SIGHUP)
		reload(path);
}

/* Settings name this VM and its addresses: a change of them asks for a start.
 */
static void reload(const char *path)
{
	kl_settings_t *settings = kl_settings_load(path);

	kl_log_event("reload",
		     settings ? "the settings are good; they hold from "
				"the next start on"
			      : "the settings are bad and not used");
	if (settings)
		kl_settings_free(settings);
}

/* A second signal ends the wait; so does drain_ms. */
static void drain(const kl_settings_t *settings, kl_control_thread_t *control,
		  const server_t *server, const sigset_t *signals)
{
	uint64_t now = kl_clock_us();
	uint64_t least = now + settings->drain_least_ms * KL_MS;
	uint64_t until = now + settings->drain_ms * KL_MS;
	bool again = false, refused = false;

	server_drain(server);
	kl_control_thread_stop(control);
	/*
	 * At least one turn: sessions are counted by the serving threads.  A
	 * balancer goes on sending callers until it has seen the probe fail.
	 */
	do {
		again = wait_a_moment(signals);
		now = kl_clock_us();
		if (now >= least && !refused) {
			server_refuse(server);
			refused = true;
		}
	} while (!again && now < until &&
		 (server_sessions(server) || now < least));
	until = kl_clock_us() + RELEASE_MS * KL_MS;
	while (!again && kl_control_thread_slots(control) &&
	       kl_clock_us() < until)
		again = wait_a_moment(signals);
}

static bool wait_a_moment(const sigset_t *signals)
{
	struct timespec moment = { 0, 20000000 };

	return sigtimedwait(signals, NULL, &moment) > 0;
}
