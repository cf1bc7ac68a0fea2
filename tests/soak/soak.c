/*
 * kl-soak: injects random faults, reproducible from a seed, into the real
 * programs and checks their guarantees.
 *
 *   kl-soak --build FOLDER [--seed N] [--seeds COUNT] [--seconds S] [--keep]
 *
 * Ends with "N passed, N failed". The logs of a seed that failed are kept, and
 * their folder is printed.
 */
#include <glib.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "tests/soak/soak.h"

#define WARM_UP_MS 6000 /* from the start to the first fault */
/* Time after the last fault; clients must be served in its second half. */
#define RECOVERY_MS 14000
#define EVACUATION_ONLY_MS 12000 /* from the last fault to the recovery */
#define CLOSE_MS 500	   /* until the connections of clients are closed */
#define WITHDRAWAL_MS 8000 /* from the withdrawal of the key to the end */
/* Bounds of random times; a time is at least MIN and less than END. */
#define FAULT_GAP_MIN_MS 100
#define FAULT_GAP_END_MS 900
#define FAULT_DURATION_MIN_MS 200
#define FAULT_DURATION_END_MS 2500
#define LONG_FAULT_ODDS 4 /* one fault in this many lasts longer */
#define LONG_FAULT_EXTRA_MS 5000
#define CLIENT_SEED_OFFSET \
	1000000u /* added to a seed for the clients' choices */
#define EVACUATION_SEED_OFFSET \
	2000000u /* added to a seed for the choices of evacuations */
/* Between two changes of the evacuated failure domains. */
#define EVACUATION_GAP_MIN_MS 300
#define EVACUATION_GAP_END_MS 5000
#define PROCESS_DOWN_MIN_MS 600 /* least time until a daemon is restarted */
#define RELAY_COUNT (2 * SOAK_VMS + SOAK_DATABASES)

/* The scheduled end of a fault. */
typedef struct fault_end {
	uint64_t due_at_us;
	void (*end)(int target);
	int target;
} fault_end_t;

typedef struct fault {
	const char *name;
	void (*begin)(int target);
	void (*end)(int target); /* or NULL if it ends by itself */
	int target_count;	 /* targets are 0 to target_count - 1 */
} fault_t;

static char host[16]; /* loopback address of this seed */
static const fleet_t fleet = { host, SOAK_VMS, 1 };
static relay_t *relays[RELAY_COUNT];
static GRand *fault_random;
/* Another generator, so that evacuations change no seed's faults. */
static GRand *evacuation_random;
static uint64_t next_evacuation_us; /* begins or ends then */
static bool evacuated[SOAK_DATABASES];
static GArray *pending_ends;
static int config_version;
static uint64_t started_at_us;

static int run_seed(uint32_t seed, int seconds);
static void inject_faults(struct event_base *base, uint64_t until_us);
static uint64_t random_duration_us(void);
static void end_faults(uint64_t now_us, bool all);
static void change_evacuations(uint64_t now_us);
static void end_evacuations(void);
static void set_evacuation(int domain, bool on);
static void run_until(struct event_base *base, uint64_t until_us);
static int relay_vm(int target);
static void begin_relay(int target);
static void begin_kill(int target);
static void begin_stop(int target);
static void begin_pause(int target);
static void begin_reload(int target);
static void begin_database_down(int target);
static void begin_replica_lag(int target);
static void begin_lost_answers(int target);
static void begin_store_down(int target);
static void begin_configuration(int target);
static void end_relay(int target);
static void end_process(int target);
static void end_database_down(int target);
static void end_replica_lag(int target);
static void end_pause(int target);
static void end_store_down(int target);
static void set_database_fault(int target, const char *fault, int value);
static const char *configuration(int version, bool second_key);

static const fault_t faults[] = {
	{ "relay", begin_relay, end_relay, RELAY_COUNT },
	{ "relay", begin_relay, end_relay, RELAY_COUNT },
	{ "relay", begin_relay, end_relay, RELAY_COUNT },
	{ "kill", begin_kill, end_process, SOAK_VMS },
	{ "stop", begin_stop, end_process, SOAK_VMS },
	{ "pause", begin_pause, end_pause, SOAK_VMS },
	{ "pause", begin_pause, end_pause, SOAK_VMS },
	{ "reload", begin_reload, NULL, SOAK_VMS },
	{ "database down", begin_database_down, end_database_down,
	  SOAK_DATABASES },
	{ "replica lag", begin_replica_lag, end_replica_lag, SOAK_DATABASES },
	{ "answers lost", begin_lost_answers, NULL, SOAK_DATABASES },
	{ "store down", begin_store_down, end_store_down, 1 },
	{ "configuration", begin_configuration, NULL, 1 },
};

int main(int argc, char **argv)
{
	gchar *build = NULL;
	gint seed = 1, seeds = 1, seconds = 20;
	gboolean keep = FALSE;
	GOptionEntry options[] = {
		{ "build", 0, 0, G_OPTION_ARG_STRING, &build,
		  "Folder of the programs", "FOLDER" },
		{ "seed", 0, 0, G_OPTION_ARG_INT, &seed, "First seed", "N" },
		{ "seeds", 0, 0, G_OPTION_ARG_INT, &seeds,
		  "Number of seeds to run", "COUNT" },
		{ "seconds", 0, 0, G_OPTION_ARG_INT, &seconds,
		  "Duration of the faults", "S" },
		{ "keep", 0, 0, G_OPTION_ARG_NONE, &keep,
		  "Keep the logs of every seed", NULL },
		{ NULL, 0, 0, G_OPTION_ARG_NONE, NULL, NULL, NULL }
	};
	GOptionContext *context = g_option_context_new(NULL);
	int passed = 0, failed = 0;

	g_option_context_add_main_entries(context, options, NULL);
	if (!g_option_context_parse(context, &argc, &argv, NULL) || !build) {
		fprintf(stderr, "usage: kl-soak --build FOLDER [--seed N] "
				"[--seeds COUNT] [--seconds S] [--keep]\n");
		return 2;
	}
	g_option_context_free(context);
	signal(SIGPIPE, SIG_IGN);
	setvbuf(stdout, NULL, _IOLBF, 0);
	for (int i = 0; i < seeds; i++) {
		gchar *folder = g_dir_make_tmp("kl-soak-XXXXXX", NULL);
		int violations;

		printf("seed %d\n", seed + i);
		/* Seeds may run side by side. */
		snprintf(host, sizeof(host), "127.2.%d.%d",
			 (seed + i) / 250 % 250, (seed + i) % 250 + 1);
		violations = stand_start(&fleet, build, folder,
					 configuration(1, true))
				     ? -1
				     : run_seed((uint32_t)(seed + i), seconds);
		stand_stop();
		failed += violations != 0;
		passed += violations == 0;
		if (violations || keep) {
			printf("logs: %s\n", folder);
		} else {
			soak_remove_folder(folder);
		}
		g_free(folder);
	}
	g_free(build);
	printf("%d passed, %d failed\n", passed, failed);
	return failed != 0;
}

static int run_seed(uint32_t seed, int seconds)
{
	struct event_base *base = event_base_new();
	clients_t *clients;
	GRand *client_random;
	char *log;
	int violations;

	fault_random = g_rand_new_with_seed(seed);
	evacuation_random = g_rand_new_with_seed(seed + EVACUATION_SEED_OFFSET);
	touch_reset();
	pending_ends = g_array_new(FALSE, FALSE, sizeof(fault_end_t));
	config_version = 1;
	started_at_us = soak_now_us();
	for (int i = 0; i < SOAK_VMS; i++) {
		relays[i] =
			relay_new(base, fleet.host, SOAK_LISTEN_RELAY_PORT + i,
				  SOAK_LISTEN_PORT + i);
		relays[SOAK_VMS + i] =
			relay_new(base, fleet.host, SOAK_STORE_RELAY_PORT + i,
				  SOAK_STORE_PORT);
	}
	for (int i = 0; i < SOAK_DATABASES; i++)
		relays[2 * SOAK_VMS + i] = relay_new(
			base, fleet.host, SOAK_DATABASE_RELAY_PORT + 1 + i,
			SOAK_STORE_PORT + 1 + i);
	/*
	 * The clients have a generator of their own: how many numbers they
	 * draw depends on timing and must not change the faults of a seed.
	 */
	client_random = g_rand_new_with_seed(seed + CLIENT_SEED_OFFSET);
	clients = clients_new(base, fleet.host, client_random);
	run_until(base, started_at_us + WARM_UP_MS * 1000);
	next_evacuation_us = soak_now_us();
	inject_faults(base, started_at_us + WARM_UP_MS * 1000 +
				    (uint64_t)seconds * 1000000);
	end_faults(0, true);
	/* Evacuations go on, now that the VMs are undisturbed. */
	run_until(base, soak_now_us() + EVACUATION_ONLY_MS * 1000);
	end_evacuations();
	clients_end_long_operations(clients);
	run_until(base, soak_now_us() + RECOVERY_MS * 500);
	clients_expect_service(clients);
	run_until(base, soak_now_us() + RECOVERY_MS * 500);
	stand_put_configuration(configuration(++config_version, false));
	clients_key_withdrawn(clients, soak_now_us());
	run_until(base, soak_now_us() + WITHDRAWAL_MS * 1000);
	clients_stop(clients);
	run_until(base, soak_now_us() + 500000);
	log = stand_commit_log();
	violations = log ? clients_check(clients, log) : 1;
	for (int i = 0; i < SOAK_VMS; i++) {
		if (!stand_vm_failed(i))
			continue;
		soak_violation("the daemon of vm%d crashed or failed to stop",
			       i);
		violations++;
	}
	free(log);
	log = stand_late_statements();
	violations += log ? touch_check_late_statements(log) : 1;
	free(log);
	clients_free(clients);
	for (int i = 0; i < RELAY_COUNT; i++)
		relay_free(relays[i]);
	run_until(base, soak_now_us() + CLOSE_MS * 1000);
	violations += stand_check_idle();
	g_array_unref(pending_ends);
	g_rand_free(fault_random);
	g_rand_free(evacuation_random);
	g_rand_free(client_random);
	event_base_free(base);
	return violations;
}

/* Starts faults one after another; several may be active at a time. */
static void inject_faults(struct event_base *base, uint64_t until_us)
{
	uint64_t now;

	while ((now = soak_now_us()) < until_us) {
		const fault_t *fault = &faults[g_rand_int_range(
			fault_random, 0, (gint)G_N_ELEMENTS(faults))];
		fault_end_t fault_end = { .target = g_rand_int_range(
						  fault_random, 0,
						  fault->target_count) };

		printf("  %6.2f s %s %d\n", (double)(now - started_at_us) / 1e6,
		       fault->name, fault_end.target);
		fault->begin(fault_end.target);
		fault_end.end = fault->end;
		fault_end.due_at_us = now + random_duration_us();
		if (fault_end.end == end_process)
			fault_end.due_at_us += PROCESS_DOWN_MIN_MS * 1000;
		if (fault_end.end)
			g_array_append_val(pending_ends, fault_end);
		run_until(base, now + (uint64_t)g_rand_int_range(
					      fault_random, FAULT_GAP_MIN_MS,
					      FAULT_GAP_END_MS) *
						1000);
	}
}

static uint64_t random_duration_us(void)
{
	gint ms = g_rand_int_range(fault_random, FAULT_DURATION_MIN_MS,
				   FAULT_DURATION_END_MS);

	if (!g_rand_int_range(fault_random, 0, LONG_FAULT_ODDS))
		ms += LONG_FAULT_EXTRA_MS;
	return (uint64_t)ms * 1000;
}

static void end_faults(uint64_t now_us, bool all)
{
	for (guint i = 0; i < pending_ends->len;) {
		fault_end_t fault_end =
			g_array_index(pending_ends, fault_end_t, i);

		if (!all && fault_end.due_at_us > now_us) {
			i++;
			continue;
		}
		g_array_remove_index(pending_ends, i);
		fault_end.end(fault_end.target);
	}
	if (!all)
		return;
	/* A daemon that got SIGTERM while it was paused exits only now. */
	g_usleep(PROCESS_DOWN_MIN_MS * 1000);
	for (int i = 0; i < SOAK_VMS; i++) {
		touch_begin(i);
		end_process(i);
	}
}

/* Evacuates a failure domain of the databases, or takes that back. */
static void change_evacuations(uint64_t now_us)
{
	int domain;

	if (!next_evacuation_us || now_us < next_evacuation_us)
		return;
	domain = g_rand_int_range(evacuation_random, 0, SOAK_DATABASES);
	/* More begin than end, so that all are evacuated now and then. */
	if (!evacuated[domain] || g_rand_boolean(evacuation_random))
		set_evacuation(domain, !evacuated[domain]);
	next_evacuation_us =
		now_us + (uint64_t)g_rand_int_range(evacuation_random,
						    EVACUATION_GAP_MIN_MS,
						    EVACUATION_GAP_END_MS) *
				 1000;
}

static void end_evacuations(void)
{
	next_evacuation_us = 0;
	for (int i = 0; i < SOAK_DATABASES; i++)
		set_evacuation(i, false);
}

static void set_evacuation(int domain, bool on)
{
	char name[16];

	printf("  %6.2f s evacuation of e%d %s\n",
	       (double)(soak_now_us() - started_at_us) / 1e6, domain + 1,
	       on ? "begins" : "ends");
	snprintf(name, sizeof(name), "e%d", domain + 1);
	stand_set_evacuation(name, on);
	evacuated[domain] = on;
}

static void run_until(struct event_base *base, uint64_t until_us)
{
	static const struct timeval slice = { 0, 20000 };
	uint64_t now;

	while ((now = soak_now_us()) < until_us) {
		event_base_loopexit(base, &slice);
		event_base_dispatch(base);
		end_faults(now, false);
		change_evacuations(now);
	}
}

/* The VM that a relay belongs to, or TOUCH_ALL for one of a database. */
static int relay_vm(int target)
{
	return target < 2 * SOAK_VMS ? target % SOAK_VMS : TOUCH_ALL;
}

static void begin_relay(int target)
{
	touch_begin(relay_vm(target));
	relay_set_fault(
		relays[target],
		g_rand_int_range(fault_random, RELAY_DELAY, RELAY_REFUSE));
}

static void begin_kill(int target)
{
	touch_begin(target);
	stand_vm_signal(target, SIGKILL);
}

static void begin_stop(int target)
{
	touch_begin(target);
	stand_vm_signal(target, SIGTERM);
}

static void begin_pause(int target)
{
	touch_begin(target);
	stand_vm_signal(target, SIGSTOP);
}

static void begin_reload(int target)
{
	stand_vm_signal(target, SIGHUP);
}

static void begin_database_down(int target)
{
	set_database_fault(target, "down", 1);
}

static void begin_replica_lag(int target)
{
	set_database_fault(target, "lag_ms", 1500);
}

static void begin_lost_answers(int target)
{
	set_database_fault(target, "lose", 2);
}

static void begin_store_down(int target)
{
	(void)target;
	touch_begin(TOUCH_ALL);
	stand_set_fault("store", "down", 1);
}

static void begin_configuration(int target)
{
	(void)target;
	stand_put_configuration(configuration(++config_version, true));
}

static void end_relay(int target)
{
	relay_set_fault(relays[target], RELAY_FORWARD);
	touch_end(relay_vm(target));
}

static void end_process(int target)
{
	stand_vm_start(target);
	touch_end(target);
}

static void end_database_down(int target)
{
	set_database_fault(target, "down", 0);
}

static void end_replica_lag(int target)
{
	set_database_fault(target, "lag_ms", 20);
}

static void end_pause(int target)
{
	stand_vm_signal(target, SIGCONT);
	touch_end(target);
}

static void end_store_down(int target)
{
	(void)target;
	stand_set_fault("store", "down", 0);
	touch_end(TOUCH_ALL);
}

static void set_database_fault(int target, const char *fault, int value)
{
	char name[16];

	snprintf(name, sizeof(name), "i-db%d", target + 1);
	stand_set_fault(name, fault, value);
}

/* Returns the configuration, with or without the second API key. */
static const char *configuration(int version, bool second_key)
{
	static const char *const format =
		"{\"meta\":{\"name\":\"main\"},\"spec\":{\"configVersion\":%d,"
		"\"routes\":["
		"{\"database\":\"orders\",\"routeType\":\"primary\","
		"\"timeoutMs\":1000,\"targetLatencyMs\":200,\"priority\":1,"
		"\"service\":\"stand\",\"public\":false},"
		"{\"database\":\"stock\",\"routeType\":\"read_your_writes\","
		"\"maxStalenessMs\":2500,\"timeoutMs\":1000,"
		"\"targetLatencyMs\":400,\"priority\":2,"
		"\"service\":\"stand\",\"public\":false}],"
		"\"services\":[{\"name\":\"stand\",\"maxConns\":30}],"
		"\"limits\":{\"txIdleMs\":3000},\"tenants\":["
		"{\"name\":\"bakery\",\"apiKeys\":[\"key-one\"%s],"
		"\"ratePerS\":2000,\"burst\":2000},"
		"{\"name\":\"press\",\"apiKeys\":[\"key-press\"],"
		"\"ratePerS\":30,\"burst\":30}]}}";
	static char body[2048];

	snprintf(body, sizeof(body), format, version,
		 second_key ? ",\"key-two\"" : "");
	return body;
}
