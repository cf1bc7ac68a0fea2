/*
 * kl-config-soak: changes the configuration again and again under random
 * faults, reproducible from a seed, and checks the rule CONFIG on real
 * processes.
 *
 *   kl-config-soak --build FOLDER [--seed N] [--seeds COUNT] [--seconds S]
 *	[--keep]
 *
 * Ends with "N passed, N failed".  The logs of a seed that failed are kept, and
 * their folder is printed.  Seeds run side by side: each has its own loopback
 * address.
 */
#include <glib.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "tests/config_soak/config_soak.h"

#define WARM_UP_MS 3000 /* from the start to the first change */
#define CHANGE_GAP_MIN_MS 60
#define CHANGE_GAP_END_MS 1500
#define FAULT_GAP_MIN_MS 300
#define FAULT_GAP_END_MS 2500
#define FAULT_DURATION_MIN_MS 200
#define FAULT_DURATION_END_MS 7000
#define RESTART_DELAY_MS 800 /* least time until a daemon is restarted */
#define CALM_MS 9000	     /* after the last fault; changes go on */
#define CLOSE_MS 500	     /* until the probes' connections are closed */
#define SEED_STEP 7919	     /* between the generators of one seed */

/* The end of a fault that is going on. */
typedef struct fault_end {
	uint64_t due_at_us;
	void (*end)(int vm);
	int vm;
} fault_end_t;

typedef struct fault {
	const char *name;
	void (*begin)(int vm);
	void (*end)(int vm); /* or NULL if it has no end */
	bool of_store;	     /* of all VMs */
	bool unnoticed;	     /* the VMs stay in touch */
} fault_t;

static void begin_link_fault(int vm);
static void begin_connection_fault(int vm);
static void end_link_fault(int vm);
static void set_link_fault(int vm, relay_fault_t fault);
static void begin_kill(int vm);
static void begin_stop(int vm);
static void end_process(int vm);
static void begin_pause(int vm);
static void end_pause(int vm);
static void begin_store_down(int vm);
static void end_store_down(int vm);
static void begin_compact(int vm);
static int run_seed(uint32_t seed, int seconds, const fleet_t *fleet);
static void begin_fault(uint64_t now_us);
static void end_faults(uint64_t now_us);
static void run_for(struct event_base *base, uint64_t ms, bool with_faults);

static const fault_t faults[] = {
	{ "store link", begin_link_fault, end_link_fault, false, false },
	{ "store link", begin_link_fault, end_link_fault, false, false },
	{ "all store links", begin_link_fault, end_link_fault, true, false },
	{ "store connections", begin_connection_fault, NULL, false, false },
	{ "all store connections", begin_connection_fault, NULL, true, false },
	{ "kill", begin_kill, end_process, false, false },
	{ "stop", begin_stop, end_process, false, false },
	{ "pause", begin_pause, end_pause, false, false },
	{ "pause", begin_pause, end_pause, false, false },
	{ "store down", begin_store_down, end_store_down, true, false },
	{ "store compacts", begin_compact, NULL, true, true },
};

static relay_t *store_relays[CONFIG_VMS];
static relay_t *database_relays[SOAK_DATABASES];
static GRand *fault_random;
static GArray *fault_ends;
static history_t *history;
static uint64_t started_at_us;

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
		fprintf(stderr,
			"usage: kl-config-soak --build FOLDER [--seed N] "
			"[--seeds COUNT] [--seconds S] [--keep]\n");
		return 2;
	}
	g_option_context_free(context);
	signal(SIGPIPE, SIG_IGN);
	setvbuf(stdout, NULL, _IOLBF, 0);
	for (int i = 0; i < seeds; i++) {
		gchar *folder = g_dir_make_tmp("kl-config-soak-XXXXXX", NULL);
		gchar *host =
			g_strdup_printf("127.1.%d.%d", (seed + i) / 250 % 250,
					(seed + i) % 250 + 1);
		fleet_t fleet = { host, CONFIG_VMS, CONFIG_VMS_PER_DOMAIN };
		GRand *random = g_rand_new_with_seed((uint32_t)(seed + i));
		gchar *body;
		int violations;

		printf("seed %d\n", seed + i);
		history = history_new(random);
		body = history_body(history);
		violations = stand_start(&fleet, build, folder, body)
				     ? -1
				     : run_seed((uint32_t)(seed + i), seconds,
						&fleet);
		stand_stop();
		failed += violations != 0;
		passed += violations == 0;
		if (violations || keep)
			printf("logs: %s\n", folder);
		else
			soak_remove_folder(folder);
		history_free(history);
		g_rand_free(random);
		g_free(body);
		g_free(host);
		g_free(folder);
	}
	g_free(build);
	printf("%d passed, %d failed\n", passed, failed);
	return failed != 0;
}

static int run_seed(uint32_t seed, int seconds, const fleet_t *fleet)
{
	struct event_base *base = event_base_new();
	GRand *probe_random = g_rand_new_with_seed(seed + 2 * SEED_STEP);
	probes_t *probes;
	int violations;

	fault_random = g_rand_new_with_seed(seed + SEED_STEP);
	fault_ends = g_array_new(FALSE, FALSE, sizeof(fault_end_t));
	started_at_us = soak_now_us();
	for (int i = 0; i < CONFIG_VMS; i++)
		store_relays[i] =
			relay_new(base, fleet->host, SOAK_STORE_RELAY_PORT + i,
				  SOAK_STORE_PORT);
	for (int i = 0; i < SOAK_DATABASES; i++)
		database_relays[i] = relay_new(base, fleet->host,
					       SOAK_DATABASE_RELAY_PORT + 1 + i,
					       SOAK_STORE_PORT + 1 + i);
	for (int i = 0; i < CONFIG_VMS; i++)
		history_restarted(history, i);
	run_for(base, WARM_UP_MS, false);
	probes = probes_new(base, fleet, history, probe_random);
	run_for(base, (uint64_t)seconds * 1000, true);
	end_faults(UINT64_MAX);
	run_for(base, CALM_MS, false);
	probes_free(probes);
	run_for(base, CLOSE_MS, false);
	violations = history_report(history) + stand_check_idle();
	for (int i = 0; i < CONFIG_VMS; i++) {
		if (!stand_vm_failed(i))
			continue;
		soak_violation("the daemon of vm%d crashed or failed to stop",
			       i);
		violations++;
	}
	for (int i = 0; i < CONFIG_VMS; i++)
		relay_free(store_relays[i]);
	for (int i = 0; i < SOAK_DATABASES; i++)
		relay_free(database_relays[i]);
	g_array_unref(fault_ends);
	g_rand_free(fault_random);
	g_rand_free(probe_random);
	event_base_free(base);
	return violations;
}

/* Runs the clients while the configuration changes, and faults begin. */
static void run_for(struct event_base *base, uint64_t ms, bool with_faults)
{
	static const struct timeval slice = { 0, 10000 };
	uint64_t until_us = soak_now_us() + ms * 1000;
	uint64_t next_change_us = 0, next_fault_us = 0, now;

	while ((now = soak_now_us()) < until_us) {
		event_base_loopexit(base, &slice);
		event_base_dispatch(base);
		end_faults(now);
		if (now >= next_change_us) {
			history_change(history);
			next_change_us =
				now + (uint64_t)g_rand_int_range(
					      fault_random, CHANGE_GAP_MIN_MS,
					      CHANGE_GAP_END_MS) *
					      1000;
		}
		if (with_faults && now >= next_fault_us) {
			begin_fault(now);
			next_fault_us =
				now + (uint64_t)g_rand_int_range(
					      fault_random, FAULT_GAP_MIN_MS,
					      FAULT_GAP_END_MS) *
					      1000;
		}
	}
}

static void begin_fault(uint64_t now_us)
{
	const fault_t *fault = &faults[g_rand_int_range(
		fault_random, 0, (gint)G_N_ELEMENTS(faults))];
	int vm = g_rand_int_range(fault_random, 0, CONFIG_VMS);
	fault_end_t fault_end = { .due_at_us = now_us +
					       (uint64_t)g_rand_int_range(
						       fault_random,
						       FAULT_DURATION_MIN_MS,
						       FAULT_DURATION_END_MS) *
						       1000,
				  .end = fault->end,
				  .vm = fault->of_store ? -1 : vm };

	printf("  %6.2f s %s %d\n", (double)(now_us - started_at_us) / 1e6,
	       fault->name, fault_end.vm);
	if (!fault->unnoticed)
		history_disrupted(history, fault_end.vm, true);
	fault->begin(fault_end.vm);
	if (fault->end == end_process)
		fault_end.due_at_us += RESTART_DELAY_MS * 1000;
	if (fault->end)
		g_array_append_val(fault_ends, fault_end);
	else if (!fault->unnoticed)
		history_disrupted(history, fault_end.vm, false);
}

static void end_faults(uint64_t now_us)
{
	for (guint i = 0; i < fault_ends->len;) {
		fault_end_t fault_end =
			g_array_index(fault_ends, fault_end_t, i);

		if (fault_end.due_at_us > now_us) {
			i++;
			continue;
		}
		g_array_remove_index(fault_ends, i);
		fault_end.end(fault_end.vm);
		history_disrupted(history, fault_end.vm, false);
		printf("  %6.2f s end %d\n",
		       (double)(soak_now_us() - started_at_us) / 1e6,
		       fault_end.vm);
	}
}

static void begin_link_fault(int vm)
{
	static const relay_fault_t lasting[] = { RELAY_DELAY,
						 RELAY_HOLD_REPLIES,
						 RELAY_REFUSE };

	set_link_fault(vm,
		       lasting[g_rand_int_range(fault_random, 0,
						(gint)G_N_ELEMENTS(lasting))]);
}

/* The open connections are reset, or carry no data any more. */
static void begin_connection_fault(int vm)
{
	set_link_fault(vm, g_rand_boolean(fault_random) ? RELAY_RESET
							: RELAY_BLACKHOLE);
}

static void end_link_fault(int vm)
{
	set_link_fault(vm, RELAY_FORWARD);
}

/* Sets a fault of a VM's link to the store, or of all if vm is -1. */
static void set_link_fault(int vm, relay_fault_t fault)
{
	for (int i = 0; i < CONFIG_VMS; i++)
		if (vm < 0 || vm == i)
			relay_set_fault(store_relays[i], fault);
}

static void begin_kill(int vm)
{
	stand_vm_signal(vm, SIGKILL);
	/* A daemon that was paused ends at once, and so does the pause. */
	history_restarted(history, vm);
}

static void begin_stop(int vm)
{
	stand_vm_signal(vm, SIGTERM);
}

/* Restarts a daemon; one that has not ended yet is killed. */
static void end_process(int vm)
{
	stand_vm_signal(vm, SIGKILL);
	g_usleep(20000);
	stand_vm_start(vm);
	history_restarted(history, vm);
}

static void begin_pause(int vm)
{
	stand_vm_signal(vm, SIGSTOP);
}

static void end_pause(int vm)
{
	stand_vm_signal(vm, SIGCONT);
}

static void begin_store_down(int vm)
{
	(void)vm;
	stand_set_fault("store", "down", 1);
}

static void end_store_down(int vm)
{
	(void)vm;
	stand_set_fault("store", "down", 0);
}

static void begin_compact(int vm)
{
	(void)vm;
	stand_set_fault("store", "compact", 1);
}
