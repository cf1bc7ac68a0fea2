/* kumquatloftd: the daemon of one VM. */
#include <curl/curl.h>
#include <event2/thread.h>
#include <glib.h>
#include <pthread.h>
#include <signal.h>
#include <sodium.h>
#include <stdio.h>
#include <time.h>

#include "daemon/control_thread.h"
#include "daemon/log.h"
#include "daemon/settings.h"
#include "daemon/worker.h"

#define EXIT_OK 0
#define EXIT_FAILED 1
#define EXIT_USAGE 2
#define RELEASE_MS 1500 /* to give the owned parts back at the end */

static int serve(const kl_settings_t *settings);
static void drain(const kl_settings_t *settings, kl_control_thread_t *control,
		  kl_workers_t *workers, const sigset_t *signals);
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

	g_option_context_set_summary(
		context, "Database proxy with session consistency: the daemon "
			 "of one VM.");
	g_option_context_add_main_entries(context, entries, NULL);
	if (!g_option_context_parse(context, &argc, &argv, &error)) {
		fprintf(stderr, "%s\n", error->message);
		g_error_free(error);
		goto out;
	}
	if (!path) {
		fprintf(stderr, "--settings is missing\n");
		goto out;
	}
	settings = kl_settings_load(path);
	if (!settings)
		goto out;
	status = check ? EXIT_OK : serve(settings);
out:
	if (settings)
		kl_settings_free(settings);
	g_option_context_free(context);
	g_free(path);
	return status;
}

static int serve(const kl_settings_t *settings)
{
	kl_control_thread_t *control = NULL;
	kl_workers_t *workers = NULL;
	int status = EXIT_FAILED;
	sigset_t signals;
	int number;

	/* Every thread inherits the mask; signals are taken by sigwait. */
	sigemptyset(&signals);
	sigaddset(&signals, SIGTERM);
	sigaddset(&signals, SIGINT);
	pthread_sigmask(SIG_BLOCK, &signals, NULL);
	signal(SIGPIPE, SIG_IGN);
	if (sodium_init() < 0 || curl_global_init(CURL_GLOBAL_ALL) ||
	    evthread_use_pthreads())
		return EXIT_FAILED;
	kl_log_open(settings->vm);
	control = kl_control_thread_new(settings);
	if (!control)
		goto out;
	workers = kl_workers_new(settings, control);
	if (!workers)
		goto out;
	kl_log_text("started", settings->domain);
	sigwait(&signals, &number);
	drain(settings, control, workers, &signals);
	status = EXIT_OK;
out:
	kl_workers_free(workers);
	kl_control_thread_free(control);
	kl_log_text("stopped", "");
	kl_log_close();
	curl_global_cleanup();
	return status;
}

/* A second signal ends the wait; so does drain_ms. */
static void drain(const kl_settings_t *settings, kl_control_thread_t *control,
		  kl_workers_t *workers, const sigset_t *signals)
{
	uint64_t now = kl_clock_us();
	uint64_t until = now + settings->drain_ms * KL_MS;
	bool again = false;

	kl_workers_drain(workers);
	kl_control_thread_stop(control);
	while (!again && kl_workers_sessions(workers) && kl_clock_us() < until)
		again = wait_a_moment(signals);
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
