/*
 * kl-bench fleet: many VMs' control sides on the virtual clock.
 *
 *   fleet spread VMS DOMAINS   time of a change to all, messages, calls
 *   fleet failover             gap in writes over seeds, with its parts
 *   fleet shares wrongful refusals against static shares
 *   fleet probes calls of databases, without and with callers everywhere
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "tests/world.h"

#define SEEDS 20

/* The users' sizes of today. */
typedef struct site {
	const char *name;
	int vms;
	int domains;
	uint64_t delay_us; /* one way between failure domains */
} site_t;

static const site_t sites[] = { { "ireland", 8, 4, 1500 },
				{ "uruguay", 7, 3, 500 } };

static world_t *build(uint32_t seed, int vms, int domains, bool databases);
static void run_spread(int vms, int domains);
static void run_failover(const site_t *site);
static void run_shares(const site_t *site, bool lend);
static void run_neighbour(const site_t *site);
static void run_probes(bool callers);
static bool everywhere(world_t *world);
static void move_demand(world_t *world, GRand *random, uint64_t total);
static int compare(const void *a, const void *b);

int main(int argc, char **argv)
{
	const char *what = argc > 1 ? argv[1] : "";

	if (!strcmp(what, "spread") && argc > 3) {
		run_spread(atoi(argv[2]), atoi(argv[3]));
		return 0;
	}
	if (!strcmp(what, "probes")) {
		run_probes(false);
		run_probes(true);
		return 0;
	}
	for (size_t i = 0; i < sizeof(sites) / sizeof(*sites); i++) {
		if (!strcmp(what, "failover")) {
			run_failover(&sites[i]);
		} else if (!strcmp(what, "shares")) {
			run_shares(&sites[i], false);
			run_shares(&sites[i], true);
			run_neighbour(&sites[i]);
		} else {
			fprintf(stderr, "spread VMS DOMAINS, failover, "
					"shares or probes\n");
			return 2;
		}
	}
	return 0;
}

static void run_spread(int vms, int domains)
{
	world_t *world = build(20261204, vms, domains, false);
	uint64_t bytes = 0, messages = 0, reads, most_bytes = 0;
	uint64_t times[20];
	struct timespec begin, end;

	world->tick_us = 50 * KL_MS;
	world_run(world, 20 * KL_SEC);
	for (int i = 0; i < 20; i++) {
		uint64_t start = world->now;

		world_put(world, "plan/gold",
			  "{\"connections\":60,\"rate\":600,\"burst\":120}");
		while (!everywhere(world) && world->now - start < 60 * KL_SEC)
			world_run(world, 10 * KL_MS);
		times[i] = (world->now - start) / KL_MS;
		world_run(world, KL_SEC);
	}
	qsort(times, 20, sizeof(*times), compare);
	for (guint i = 0; i < world->vms->len; i++) {
		vm_t *vm = g_ptr_array_index(world->vms, i);

		vm->message_bytes = vm->messages = 0;
	}
	reads = world->reads;
	clock_gettime(CLOCK_MONOTONIC, &begin);
	world_run(world, 20 * KL_SEC);
	clock_gettime(CLOCK_MONOTONIC, &end);
	for (guint i = 0; i < world->vms->len; i++) {
		vm_t *vm = g_ptr_array_index(world->vms, i);

		bytes += vm->message_bytes;
		messages += vm->messages;
		if (vm->message_bytes > most_bytes)
			most_bytes = vm->message_bytes;
	}
	printf("vms %d domains %d change_ms median %llu worst %llu bytes/s "
	       "mean %llu worst %llu messages/s %.1f reads/s %.1f "
	       "cpu_us/vm/s %.0f\n",
	       vms, domains, (unsigned long long)times[10],
	       (unsigned long long)times[19],
	       (unsigned long long)(bytes / (uint64_t)vms / 20),
	       (unsigned long long)(most_bytes / 20),
	       (double)messages / vms / 20.0,
	       (double)(world->reads - reads) / 20.0,
	       ((double)(end.tv_sec - begin.tv_sec) * 1e6 +
		(double)(end.tv_nsec - begin.tv_nsec) / 1e3) /
		       vms / 20);
	world_free(world);
}

static void run_failover(const site_t *site)
{
	uint64_t detect[SEEDS], fence[SEEDS], total[SEEDS];

	for (int i = 0; i < SEEDS; i++) {
		world_t *world = build(1000u + (uint32_t)i, site->vms,
				       site->domains, true);
		vm_t *vm = g_ptr_array_index(world->vms, 1);
		uint64_t start;
		bool won = false, chosen = false, done = false;

		world->delay_us = site->delay_us;
		world_run(world, 4 * KL_SEC + (uint64_t)i * 37 * KL_MS);
		world_db_of(world, "p0")->up = false;
		start = world->now;
		while (!done && world->now - start < 30 * KL_SEC) {
			kl_group_t group = world_recorded(world, "orders");
			pending_t pending;
			const char *proof;

			world_run(world, 2 * KL_MS);
			if (!won && group.term == 2) {
				won = true;
				detect[i] = (world->now - start) / KL_MS;
			}
			if (!chosen && group.term == 2 &&
			    group.state != KL_GROUP_FENCING) {
				chosen = true;
				fence[i] = (world->now - start) / KL_MS;
			}
			done = chosen &&
			       !world_begin(vm, "orders", "w", &pending) &&
			       !world_confirm(&pending, &proof);
		}
		total[i] = (world->now - start) / KL_MS;
		world_free(world);
	}
	for (int i = 0; i < SEEDS; i++) {
		fence[i] -= detect[i];
	}
	qsort(detect, SEEDS, sizeof(*detect), compare);
	qsort(fence, SEEDS, sizeof(*fence), compare);
	qsort(total, SEEDS, sizeof(*total), compare);
	printf("%s: gap_ms median %llu worst %llu; detect and win median %llu "
	       "worst %llu; fence and choose median %llu worst %llu\n",
	       site->name, (unsigned long long)total[SEEDS / 2],
	       (unsigned long long)total[SEEDS - 1],
	       (unsigned long long)detect[SEEDS / 2],
	       (unsigned long long)detect[SEEDS - 1],
	       (unsigned long long)fence[SEEDS / 2],
	       (unsigned long long)fence[SEEDS - 1]);
}

/* 100 VMs before 108 databases: the letter's proportion. */
static void run_probes(bool callers)
{
	world_t *world = build(3, 100, 16, false);
	char service[32], name[32];
	uint64_t calls = 0, most = 0;

	world->quiet = !callers;
	world->tick_us = 50 * KL_MS;
	for (int s = 0; s < 36; s++) {
		snprintf(service, sizeof(service), "s%d", s);
		for (int i = 0; i < 3; i++) {
			snprintf(name, sizeof(name), "s%dp%d", s, i);
			world_db(world, service, name, "d0");
		}
		world_service(world, service, 30);
	}
	world_run(world, 10 * KL_SEC);
	for (guint i = 0; i < world->vms->len; i++)
		((vm_t *)g_ptr_array_index(world->vms, i))->database_calls = 0;
	world_run(world, 10 * KL_SEC);
	for (guint i = 0; i < world->vms->len; i++) {
		vm_t *vm = g_ptr_array_index(world->vms, i);

		calls += vm->database_calls;
		if (vm->database_calls > most)
			most = vm->database_calls;
	}
	printf("100 vms, 36 services of 3 databases, %s: database calls/s a "
	       "vm mean %.1f worst %.1f\n",
	       callers ? "callers of every service everywhere"
		       : "probers alone",
	       (double)calls / 1000, (double)most / 10);
	world_free(world);
}

/* Four fifths of the plan, skewed over the VMs and moving every 2 s. */
static void run_shares(const site_t *site, bool lend)
{
	uint64_t admitted = 0, refused = 0;

	for (uint32_t seed = 1; seed <= 5; seed++) {
		world_t *world = build(seed, site->vms, site->domains, false);
		GRand *random = g_rand_new_with_seed(seed);

		world->delay_us = site->delay_us;
		world_run(world, 6 * KL_SEC);
		/* Without messages each VM keeps its equal part. */
		if (!lend)
			world->loss_percent = 100;
		for (int i = 0; i < 15; i++) {
			move_demand(world, random, 480);
			world_run(world, 2 * KL_SEC);
		}
		for (guint i = 0; i < world->loads->len; i++) {
			load_t *load = g_ptr_array_index(world->loads, i);

			admitted += load->admitted;
			refused += load->refused;
		}
		g_rand_free(random);
		world_free(world);
	}
	printf("%s: %s: admitted %llu refused inside the rate %llu (%.3f %%)\n",
	       site->name, lend ? "lent parts" : "static equal parts",
	       (unsigned long long)admitted, (unsigned long long)refused,
	       100.0 * (double)refused / (double)(admitted + refused));
}

/* One workspace sends five times its rate; another stays inside its own. */
static void run_neighbour(const site_t *site)
{
	world_t *world = build(7, site->vms, site->domains, false);
	uint64_t admitted = 0, refused = 0, hot = 0;

	world->delay_us = site->delay_us;
	world_put(world, "workspace/press", "{\"plan\":\"gold\",\"keys\":[]}");
	world_run(world, 6 * KL_SEC);
	for (guint i = 0; i < world->vms->len; i++) {
		vm_t *vm = g_ptr_array_index(world->vms, i);

		world_load(world, vm, "bakery", 3000 / (uint64_t)site->vms);
		world_load(world, vm, "press", 480 / (uint64_t)site->vms);
	}
	world_run(world, 30 * KL_SEC);
	for (guint i = 0; i < world->loads->len; i++) {
		load_t *load = g_ptr_array_index(world->loads, i);

		if (strcmp(load->workspace, "press")) {
			hot += load->admitted;
			continue;
		}
		admitted += load->admitted;
		refused += load->refused;
	}
	printf("%s: neighbour at five times its rate: it got %llu of 30 s * "
	       "600 + 120; the other was admitted %llu refused %llu\n",
	       site->name, (unsigned long long)hot,
	       (unsigned long long)admitted, (unsigned long long)refused);
	world_free(world);
}

static void move_demand(world_t *world, GRand *random, uint64_t total)
{
	double weights[64] = { 0 }, sum = 0;

	for (guint i = 0; i < world->vms->len; i++) {
		/* Skewed: a few VMs have most of the callers. */
		weights[i] =
			1.0 / (1 + g_rand_int_range(random, 0,
						    (gint)world->vms->len));
		weights[i] *= weights[i];
		sum += weights[i];
	}
	for (guint i = 0; i < world->vms->len; i++)
		world_load(world, g_ptr_array_index(world->vms, i), "bakery",
			   (uint64_t)((double)total * weights[i] / sum));
}

static bool everywhere(world_t *world)
{
	for (guint i = 0; i < world->vms->len; i++) {
		vm_t *vm = g_ptr_array_index(world->vms, i);
		const kl_config_t *config =
			kl_node_get(&vm->node, KL_SECTION_CONFIG);

		if (!config || config->revision < world->revision)
			return false;
	}
	return true;
}

static world_t *build(uint32_t seed, int vms, int domains, bool databases)
{
	world_t *world = world_new(seed);
	char name[32], domain[32];

	for (int i = 0; i < vms; i++) {
		snprintf(name, sizeof(name), "v%d", i);
		snprintf(domain, sizeof(domain), "d%d", i % domains);
		world_vm(world, name, domain);
	}
	for (int i = 0; databases && i < 3; i++) {
		snprintf(name, sizeof(name), "p%d", i);
		snprintf(domain, sizeof(domain), "d%d", i % domains);
		world_db(world, "orders", name, domain);
	}
	if (databases)
		world_service(world, "orders", 30);
	world_put(world, "plan/gold",
		  "{\"connections\":60,\"rate\":600,\"burst\":120}");
	world_put(world, "workspace/bakery", "{\"plan\":\"gold\",\"keys\":[]}");
	return world;
}

static int compare(const void *a, const void *b)
{
	uint64_t first = *(const uint64_t *)a;
	uint64_t second = *(const uint64_t *)b;

	return (first > second) - (first < second);
}
