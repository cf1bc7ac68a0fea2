/*
 * load: runs statements over libpq connections to one port, one thread for each
 * connection.  Prints the statements a second and the 50th and 99th percentile
 * of their latency.
 */
#include <glib.h>
#include <libpq-fe.h>
#include <pthread.h>
#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#define THREAD_STACK_BYTES 131072
#define MAX_SAMPLES 200000 /* latencies kept for each connection */

typedef struct client {
	pthread_t thread;
	uint64_t succeeded;
	uint64_t failed;
	uint32_t *latencies_us; /* of the first MAX_SAMPLES statements */
	uint32_t samples;
} client_t;

static gchar *workspace, *service, *key, *mode, *options;
static gint port, connections = 10, seconds = 3, total_rate;
static pthread_barrier_t all_connected;
static volatile bool stop_requested;

static uint64_t now_us(void);
static void *run_client(void *arg);
static int compare_u32(const void *a, const void *b);

int main(int argc, char **argv)
{
	static const GOptionEntry entries[] = {
		{ "port", 0, 0, G_OPTION_ARG_INT, &port,
		  "Port of the proxy or the database", "N" },
		{ "workspace", 0, 0, G_OPTION_ARG_STRING, &workspace,
		  "Workspace, sent as user", "W" },
		{ "service", 0, 0, G_OPTION_ARG_STRING, &service,
		  "Service, sent as database", "S" },
		{ "key", 0, 0, G_OPTION_ARG_STRING, &key,
		  "API key, sent as password", "K" },
		{ "mode", 0, 0, G_OPTION_ARG_STRING, &mode,
		  "read, write or mix (one write in ten)", "M" },
		{ "options", 0, 0, G_OPTION_ARG_STRING, &options,
		  "Startup options", "O" },
		{ "connections", 0, 0, G_OPTION_ARG_INT, &connections,
		  "Number of connections", "N" },
		{ "seconds", 0, 0, G_OPTION_ARG_INT, &seconds,
		  "Duration, seconds", "N" },
		{ "rate", 0, 0, G_OPTION_ARG_INT, &total_rate,
		  "Statements a second over all connections, 0 for no limit",
		  "N" },
		{ NULL, 0, 0, 0, NULL, NULL, NULL },
	};
	GOptionContext *context = g_option_context_new(NULL);
	uint64_t start_us, elapsed_us, succeeded = 0, failed = 0, samples = 0;
	pthread_attr_t attributes;
	client_t *clients;
	uint32_t *latencies_us;

	g_option_context_add_main_entries(context, entries, NULL);
	if (!g_option_context_parse(context, &argc, &argv, NULL) || !port)
		return 2;
	if (!mode)
		mode = g_strdup("read");
	clients = calloc((size_t)connections, sizeof(*clients));
	pthread_barrier_init(&all_connected, NULL, (unsigned)connections + 1);
	pthread_attr_init(&attributes);
	pthread_attr_setstacksize(&attributes, THREAD_STACK_BYTES);
	for (int i = 0; i < connections; i++)
		pthread_create(&clients[i].thread, &attributes, run_client,
			       &clients[i]);
	pthread_barrier_wait(&all_connected);
	start_us = now_us();
	struct timespec pause = { seconds, 0 };
	nanosleep(&pause, NULL);
	stop_requested = true;
	elapsed_us = now_us() - start_us;
	for (int i = 0; i < connections; i++) {
		pthread_join(clients[i].thread, NULL);
		succeeded += clients[i].succeeded;
		failed += clients[i].failed;
		samples += clients[i].samples;
	}
	latencies_us = calloc(samples + 1, sizeof(*latencies_us));
	samples = 0;
	for (int i = 0; i < connections; i++) {
		memcpy(latencies_us + samples, clients[i].latencies_us,
		       clients[i].samples * sizeof(*latencies_us));
		samples += clients[i].samples;
	}
	qsort(latencies_us, samples, sizeof(*latencies_us), compare_u32);
	printf("connections %d statements/s %.0f p50_us %u p99_us %u failed "
	       "%llu\n",
	       connections, (double)succeeded * 1e6 / (double)elapsed_us,
	       latencies_us[samples / 2], latencies_us[samples * 99 / 100],
	       (unsigned long long)failed);
	return succeeded == 0;
}

static void *run_client(void *arg)
{
	client_t *client = arg;
	char port_text[8];
	const char *names[] = { "hostaddr",   "port",	  "user",
				"dbname",     "password", "sslmode",
				"gssencmode", "options",  NULL };
	const char *values[] = { getenv("STAND_HOST"),
				 port_text,
				 workspace,
				 service,
				 key,
				 "disable",
				 "disable",
				 options,
				 NULL };
	GRand *random = g_rand_new_with_seed((guint32)(uintptr_t)client);
	PGconn *connection;
	uint64_t next_us;

	snprintf(port_text, sizeof(port_text), "%d", port);
	connection = PQconnectdbParams(names, values, 0);
	if (PQstatus(connection) != CONNECTION_OK)
		fprintf(stderr, "%s", PQerrorMessage(connection));
	client->latencies_us =
		calloc(MAX_SAMPLES, sizeof(*client->latencies_us));
	pthread_barrier_wait(&all_connected);
	next_us = now_us();
	while (!stop_requested) {
		bool write = !strcmp(mode, "write") ||
			     (!strcmp(mode, "mix") &&
			      g_rand_int_range(random, 0, 10) == 0);
		uint64_t start_us;
		PGresult *result;
		ExecStatusType status;

		if (total_rate) {
			/* Random intervals, uniform in 0 to 2 * mean. */
			double mean = 1e6 * connections / total_rate;
			uint64_t now = now_us();

			next_us += (uint64_t)(mean * 2 * g_rand_double(random));
			if (next_us > now) {
				struct timespec pause = {
					(time_t)((next_us - now) / 1000000),
					(long)((next_us - now) % 1000000) * 1000
				};
				nanosleep(&pause, NULL);
			}
		}
		start_us = now_us();
		result = PQexec(connection,
				write ? "UPDATE bench SET v = v + 1 WHERE k = "
					"'a'"
				      : "SELECT v FROM bench WHERE k = 'a'");
		status = PQresultStatus(result);
		PQclear(result);
		if (status != PGRES_TUPLES_OK && status != PGRES_COMMAND_OK) {
			client->failed++;
			if (PQstatus(connection) != CONNECTION_OK)
				break;
			continue;
		}
		client->succeeded++;
		if (client->samples < MAX_SAMPLES)
			client->latencies_us[client->samples++] =
				(uint32_t)(now_us() - start_us);
	}
	PQfinish(connection);
	g_rand_free(random);
	return NULL;
}

static uint64_t now_us(void)
{
	struct timespec now;

	clock_gettime(CLOCK_MONOTONIC, &now);
	return (uint64_t)now.tv_sec * 1000000 + (uint64_t)now.tv_nsec / 1000;
}

static int compare_u32(const void *a, const void *b)
{
	uint32_t first = *(const uint32_t *)a;
	uint32_t second = *(const uint32_t *)b;

	return (first > second) - (first < second);
}
