/*
 * Starts and stops the daemons under test and the stand-in of the store and
 * databases; each is signalled by its process id.
 */
#include <curl/curl.h>
#include <fcntl.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include "tests/soak/soak.h"

#define HTTP_TIMEOUT_MS 4000L /* of one HTTP request to the stand-in */
#define IDLE_TIMEOUT_MS 6000  /* until counts are 0 without clients */
#define START_TIMEOUT_MS 5000 /* until the stand-in answers */
#define PATH_SIZE 512

static char program_folder[PATH_SIZE];
static char work_folder[PATH_SIZE];
static const fleet_t *fleet;
static pid_t vm_pids[SOAK_VMS_MAX];
/* SIGKILL or SIGTERM was sent to the running daemon. */
static bool end_requested[SOAK_VMS_MAX];
/* The daemon ended unasked, or with an error. */
static bool failed[SOAK_VMS_MAX];
static uint64_t started_at_us[SOAK_VMS_MAX];
static long long log_bytes_at_start[SOAK_VMS_MAX];
static pid_t store_pid;

static pid_t start_process(const char *name, char *const arguments[]);
static void write_settings(int vm);
static void reap(int vm);
static bool ended_before_main(int vm, int status);
static long long log_bytes(int vm);
static char *http_request(const char *method, const char *path,
			  const char *body);
static char *http_request_to(int port, const char *method, const char *path,
			     const char *body);
static char *read_gauges(int vm);
static size_t append_body(char *bytes, size_t size, size_t count, void *arg);

int stand_start(const fleet_t *tested, const char *build, const char *folder,
		const char *configuration)
{
	char port[16], relays[16], host[32];
	char *const arguments[] = { "kl-standin-line", port, relays, host,
				    NULL };
	char *response = NULL;

	fleet = tested;
	snprintf(host, sizeof(host), "%s", fleet->host);
	curl_global_init(CURL_GLOBAL_DEFAULT);
	snprintf(program_folder, sizeof(program_folder), "%s", build);
	snprintf(work_folder, sizeof(work_folder), "%s", folder);
	snprintf(port, sizeof(port), "%d", SOAK_STORE_PORT);
	snprintf(relays, sizeof(relays), "%d", SOAK_DATABASE_RELAY_PORT);
	store_pid = start_process("line", arguments);
	for (int i = 0; i < START_TIMEOUT_MS / 20 && !response; i++) {
		g_usleep(20000);
		response = http_request("GET", "/standin/log", NULL);
	}
	if (!response)
		return -1;
	free(response);
	stand_put_configuration(configuration);
	for (int i = 0; i < fleet->vm_count; i++) {
		failed[i] = false;
		write_settings(i);
		stand_vm_start(i);
	}
	return 0;
}

void stand_stop(void)
{
	for (int i = 0; i < SOAK_VMS_MAX; i++) {
		if (vm_pids[i] <= 0)
			continue;
		kill(vm_pids[i], SIGCONT);
		kill(vm_pids[i], SIGKILL);
		waitpid(vm_pids[i], NULL, 0);
		vm_pids[i] = 0;
	}
	if (store_pid <= 0)
		return;
	kill(store_pid, SIGTERM);
	waitpid(store_pid, NULL, 0);
	store_pid = 0;
}

void stand_vm_start(int vm)
{
	char settings[PATH_SIZE + 32], name[16];
	char *const arguments[] = { "kumquatloftd", "--settings", settings,
				    NULL };

	reap(vm);
	if (vm_pids[vm])
		return;
	snprintf(settings, sizeof(settings), "%s/vm%d.yaml", work_folder, vm);
	snprintf(name, sizeof(name), "vm%d", vm);
	end_requested[vm] = false;
	started_at_us[vm] = soak_now_us();
	log_bytes_at_start[vm] = log_bytes(vm);
	vm_pids[vm] = start_process(name, arguments);
}

void stand_vm_signal(int vm, int signal_number)
{
	reap(vm);
	if (!vm_pids[vm])
		return;
	if (signal_number == SIGKILL || signal_number == SIGTERM)
		end_requested[vm] = true;
	kill(vm_pids[vm], signal_number);
}

bool stand_vm_failed(int vm)
{
	reap(vm);
	return failed[vm];
}

static void reap(int vm)
{
	int status;

	if (vm_pids[vm] <= 0 ||
	    waitpid(vm_pids[vm], &status, WNOHANG) != vm_pids[vm])
		return;
	vm_pids[vm] = 0;
	/* Killed on request or stopped cleanly; anything else is a failure. */
	if (end_requested[vm] &&
	    (WIFEXITED(status) ? !WEXITSTATUS(status)
			       : WTERMSIG(status) == SIGKILL))
		return;
	printf("  vm%d ended unexpectedly: wait status %x, %u ms after its "
	       "start\n",
	       vm, (unsigned int)status,
	       (unsigned int)((soak_now_us() - started_at_us[vm]) / 1000));
	failed[vm] |= !ended_before_main(vm, status);
}

/*
 * A signal that arrives while the program is being loaded takes its default
 * action, because no program can block it before main(). Such an end is no
 * fault of the daemon. main() blocks the signals before anything is logged.
 */
static bool ended_before_main(int vm, int status)
{
	return WIFSIGNALED(status) &&
	       (WTERMSIG(status) == SIGHUP || WTERMSIG(status) == SIGTERM) &&
	       log_bytes(vm) == log_bytes_at_start[vm];
}

static long long log_bytes(int vm)
{
	char path[PATH_SIZE + 32];
	struct stat info;

	snprintf(path, sizeof(path), "%s/vm%d.log", work_folder, vm);
	return stat(path, &info) ? 0 : info.st_size;
}

int stand_check_idle(void)
{
	int busy = 0;

	for (int vm = 0; vm < fleet->vm_count; vm++) {
		char *left = NULL;

		for (int i = 0; i < IDLE_TIMEOUT_MS / 100; i++) {
			g_free(left);
			left = read_gauges(vm);
			if (!left || !*left)
				break;
			g_usleep(100000);
		}
		if (left && *left) {
			soak_violation("vm%d without clients has %s", vm, left);
			busy++;
		}
		g_free(left);
	}
	return busy;
}

/*
 * Returns the gauges of sessions and statements of a VM that are not 0, to be
 * freed, or NULL if the VM does not answer.
 */
static char *read_gauges(int vm)
{
	char *metrics =
		http_request_to(SOAK_STATUS_PORT + vm, "GET", "/metrics", NULL);
	gchar **lines = metrics ? g_strsplit(metrics, "\n", -1) : NULL;
	GString *left = g_string_new(NULL);

	for (int i = 0; lines && lines[i]; i++) {
		if ((g_str_has_prefix(lines[i], "kl_sessions_open ") ||
		     g_str_has_prefix(lines[i], "kl_statements_")) &&
		    !g_str_has_suffix(lines[i], " 0"))
			g_string_append_printf(left, "%s ", lines[i]);
	}
	g_strfreev(lines);
	free(metrics);
	return g_string_free(left, !metrics);
}

void stand_set_fault(const char *name, const char *fault, int value)
{
	char path[128];

	snprintf(path, sizeof(path), "/standin/fault?db=%s&name=%s&value=%d",
		 name, fault, value);
	free(http_request("GET", path, NULL));
}

bool stand_put_configuration(const char *body)
{
	char *response = http_request("POST", "/-/objects/config", body);
	bool acknowledged;

	if (!response)
		response = http_request("PUT", "/-/objects/config/main", body);
	acknowledged = response != NULL;
	free(response);
	return acknowledged;
}

void stand_set_evacuation(const char *domain, bool evacuated)
{
	char path[PATH_SIZE], body[PATH_SIZE];

	snprintf(path, sizeof(path), "/-/objects/evacuations%s%s",
		 evacuated ? "" : "/", evacuated ? "" : domain);
	snprintf(body, sizeof(body), "{\"meta\":{\"name\":\"%s\"},\"spec\":{}}",
		 domain);
	free(http_request(evacuated ? "POST" : "DELETE", path,
			  evacuated ? body : NULL));
}

char *stand_late_statements(void)
{
	return http_request("GET", "/standin/late", NULL);
}

char *stand_commit_log(void)
{
	return http_request("GET", "/standin/log", NULL);
}

static void write_settings(int vm)
{
	char path[PATH_SIZE + 32];
	FILE *file;

	snprintf(path, sizeof(path), "%s/vm%d.yaml", work_folder, vm);
	file = fopen(path, "w");
	if (!file)
		return;
	fprintf(file,
		"vm: vm%d\ndomain: d%d\nhost: %s\nlisten: %s:%d\n"
		"peer_port: %d\nstatus_port: %d\nready: %s:%d\nfront: line\n"
		"platform: http://%s:%d\npromoter: http://%s:%d\n"
		"platform_format: objects\nlease_ms: 5000\nconfirm_ms: 600\n"
		"suspect_ms: 500\nadmit_wait_ms: 30\nshare_hold_s: 30\n"
		"down_ms: 400\ndrain_ms: 3000\ntransaction_grace_ms: 1500\n",
		vm, vm / fleet->vms_per_domain, fleet->host, fleet->host,
		SOAK_LISTEN_PORT + vm, SOAK_PEER_PORT + vm,
		SOAK_STATUS_PORT + vm, fleet->host, SOAK_READY_PORT + vm,
		fleet->host, SOAK_STORE_RELAY_PORT + vm, fleet->host,
		SOAK_STORE_RELAY_PORT + vm);
	fclose(file);
}

static pid_t start_process(const char *name, char *const arguments[])
{
	char program[PATH_SIZE + 32], log[PATH_SIZE + 32];
	pid_t pid;

	snprintf(program, sizeof(program), "%s/%s", program_folder,
		 arguments[0]);
	snprintf(log, sizeof(log), "%s/%s.log", work_folder, name);
	pid = fork();
	if (pid)
		return pid;
	int fd = open(log, O_WRONLY | O_CREAT | O_APPEND, 0644);

	if (fd >= 0) {
		dup2(fd, STDOUT_FILENO);
		dup2(fd, STDERR_FILENO);
	}
	/* A daemon must not keep the connections of clients open. */
	close_range(STDERR_FILENO + 1, ~0u, 0);
	execv(program, arguments);
	_exit(127);
}

static char *http_request(const char *method, const char *path,
			  const char *body)
{
	return http_request_to(SOAK_STORE_PORT, method, path, body);
}

static char *http_request_to(int port, const char *method, const char *path,
			     const char *body)
{
	GString *response = g_string_new(NULL);
	CURL *curl = curl_easy_init();
	char url[PATH_SIZE];
	CURLcode code;

	snprintf(url, sizeof(url), "http://%s:%d%s", fleet->host, port, path);
	curl_easy_setopt(curl, CURLOPT_URL, url);
	curl_easy_setopt(curl, CURLOPT_CUSTOMREQUEST, method);
	curl_easy_setopt(curl, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(curl, CURLOPT_TIMEOUT_MS, HTTP_TIMEOUT_MS);
	curl_easy_setopt(curl, CURLOPT_FAILONERROR, 1L);
	curl_easy_setopt(curl, CURLOPT_WRITEFUNCTION, append_body);
	curl_easy_setopt(curl, CURLOPT_WRITEDATA, response);
	if (body)
		curl_easy_setopt(curl, CURLOPT_POSTFIELDS, body);
	code = curl_easy_perform(curl);
	curl_easy_cleanup(curl);
	return g_string_free(response, code != CURLE_OK);
}

static size_t append_body(char *bytes, size_t size, size_t count, void *arg)
{
	g_string_append_len(arg, bytes, (gssize)(size * count));
	return size * count;
}
