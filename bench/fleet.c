/*
 * fleet: the control sides of many VMs on a virtual clock.
 *
 *   fleet spread VMS DOMAINS
 *     Time until a configuration change is on every VM; then messages, bytes,
 *     reads of the platform and processing time while nothing changes.
 *   fleet failover
 *     Time without writes after the primary crashed, and its phases.
 *   fleet shares
 *     Statements refused although their workspace is within its rate, with
 *     static shares and with loans between VMs; and next to a workspace that
 *     exceeds its rate.
 *   fleet probes
 *     Control calls to databases, without clients and with clients of every
 *     service on every VM.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "tests/world.h"

#define SEEDS 20

/* Deployments of the size that users run. */
typedef struct deployment {
	const char *name;
	int vms;
	int domains;
	uint64_t delay_us; /* one way between failure domains */
} deployment_t;

static const deployment_t deployments[] = { { "ireland", 8, 4, 1500 },
					    { "uruguay", 7, 3, 500 } };

static world_t *build_world(uint32_t seed, int vms, int domains,
			    bool databases);
static void measure_config_propagation(int vms, int domains);
static void measure_failover(const deployment_t *deployment);
static void measure_shares(const deployment_t *deployment, bool with_loans);
static void measure_overloaded_neighbour(const deployment_t *deployment);
static void measure_probes(bool services_used);
static bool config_everywhere(world_t *world);
static void move_demand(world_t *world, GRand *random, uint64_t total_rate);
static int compare_u64(const void *a, const void *b);

int main(int argc, char **argv)
{
	const char *mode = argc > 1 ? argv[1] : "";

	if (!strcmp(mode, "spread") && argc > 3) {
		measure_config_propagation(atoi(argv[2]), atoi(argv[3]));
		return 0;
	}
	if (!strcmp(mode, "probes")) {
		measure_probes(false);
		measure_probes(true);
		return 0;
	}
	for (size_t i = 0; i < sizeof(deployments) / sizeof(*deployments);
	     i++) {
		if (!strcmp(mode, "failover")) {
			measure_failover(&deployments[i]);
		} else if (!strcmp(mode, "shares")) {
			measure_shares(&deployments[i], false);
			measure_shares(&deployments[i], true);
			measure_overloaded_neighbour(&deployments[i]);
		} else {
			fprintf(stderr, "spread VMS DOMAINS, failover, "
					"shares or probes\n");
			return 2;
		}
	}
	return 0;
}

static void measure_config_propagation(int vms, int domains)
{
	world_t *world = build_world(20261204, vms, domains, false);
	uint64_t bytes = 0, messages = 0, reads, max_bytes = 0;
	uint64_t propagation_ms[20];
	struct timespec begin, end;

	world->tick_interval_us = 50 * KL_MS;
	world_run(world, 20 * KL_SEC);
	for (int i = 0; i < 20; i++) {
		uint64_t start_us = world->now_us;

		world_put_object(
			world, "plan/gold",
			"{\"connections\":60,\"rate\":600,\"burst\":120}");
		while (!config_everywhere(world) &&
		       world->now_us - start_us < 60 * KL_SEC)
			world_run(world, 10 * KL_MS);
		propagation_ms[i] = (world->now_us - start_us) / KL_MS;
		world_run(world, KL_SEC);
	}
	qsort(propagation_ms, 20, sizeof(*propagation_ms), compare_u64);
	for (guint i = 0; i < world->vms->len; i++) {
		vm_t *vm = g_ptr_array_index(world->vms, i);

		vm->peer_bytes_sent = vm->peer_messages_sent = 0;
	}
	reads = world->platform_reads;
	clock_gettime(CLOCK_MONOTONIC, &begin);
	world_run(world, 20 * KL_SEC);
	clock_gettime(CLOCK_MONOTONIC, &end);
	for (guint i = 0; i < world->vms->len; i++) {
		vm_t *vm = g_ptr_array_index(world->vms, i);

		bytes += vm->peer_bytes_sent;
		messages += vm->peer_messages_sent;
		if (vm->peer_bytes_sent > max_bytes)
			max_bytes = vm->peer_bytes_sent;
	}
	printf("vms %d domains %d change_ms median %llu worst %llu bytes/s "
	       "mean %llu worst %llu messages/s %.1f reads/s %.1f "
	       "cpu_us/vm/s %.0f\n",
	       vms, domains, (unsigned long long)propagation_ms[10],
	       (unsigned long long)propagation_ms[19],
	       (unsigned long long)(bytes / (uint64_t)vms / 20),
	       (unsigned long long)(max_bytes / 20),
	       (double)messages / vms / 20.0,
	       (double)(world->platform_reads - reads) / 20.0,
	       ((double)(end.tv_sec - begin.tv_sec) * 1e6 +
		(double)(end.tv_nsec - begin.tv_nsec) / 1e3) /
		       vms / 20);
	world_free(world);
}

static void measure_failover(const deployment_t *deployment)
{
	uint64_t detect_ms[SEEDS], fence_ms[SEEDS], total_ms[SEEDS];

	for (int i = 0; i < SEEDS; i++) {
		world_t *world =
			build_world(1000u + (uint32_t)i, deployment->vms,
				    deployment->domains, true);
		vm_t *vm = g_ptr_array_index(world->vms, 1);
		uint64_t start_us;
		bool term_raised = false, candidate_chosen = false,
		     write_acknowledged = false;

		world->peer_delay_us = deployment->delay_us;
		world_run(world, 4 * KL_SEC + (uint64_t)i * 37 * KL_MS);
		world_find_db(world, "p0")->up = false;
		start_us = world->now_us;
		while (!write_acknowledged &&
		       world->now_us - start_us < 30 * KL_SEC) {
			kl_group_t group = world_group_record(world, "orders");
			pending_write_t pending;
			const char *proof;

			world_run(world, 2 * KL_MS);
			if (!term_raised && group.term == 2) {
				term_raised = true;
				detect_ms[i] =
					(world->now_us - start_us) / KL_MS;
			}
			if (!candidate_chosen && group.term == 2 &&
			    group.state != KL_GROUP_FENCING) {
				candidate_chosen = true;
				fence_ms[i] =
					(world->now_us - start_us) / KL_MS;
			}
			write_acknowledged =
				candidate_chosen &&
				!world_begin_write(vm, "orders", "w",
						   &pending) &&
				!world_confirm_write(&pending, &proof);
		}
		total_ms[i] = (world->now_us - start_us) / KL_MS;
		world_free(world);
	}
	for (int i = 0; i < SEEDS; i++) {
		fence_ms[i] -= detect_ms[i];
	}
	qsort(detect_ms, SEEDS, sizeof(*detect_ms), compare_u64);
	qsort(fence_ms, SEEDS, sizeof(*fence_ms), compare_u64);
	qsort(total_ms, SEEDS, sizeof(*total_ms), compare_u64);
	printf("%s: gap_ms median %llu worst %llu; "
	       "detect and raise term median %llu worst %llu; "
	       "fence and choose candidate median %llu worst %llu\n",
	       deployment->name, (unsigned long long)total_ms[SEEDS / 2],
	       (unsigned long long)total_ms[SEEDS - 1],
	       (unsigned long long)detect_ms[SEEDS / 2],
	       (unsigned long long)detect_ms[SEEDS - 1],
	       (unsigned long long)fence_ms[SEEDS / 2],
	       (unsigned long long)fence_ms[SEEDS - 1]);
}

/* 100 VMs and 108 databases in 36 services. */
static void measure_probes(bool services_used)
{
	world_t *world = build_world(3, 100, 16, false);
	char service[32], name[32];
	uint64_t calls = 0, max_calls = 0;

	world->services_unused = !services_used;
	world->tick_interval_us = 50 * KL_MS;
	for (int s = 0; s < 36; s++) {
		snprintf(service, sizeof(service), "s%d", s);
		for (int i = 0; i < 3; i++) {
			snprintf(name, sizeof(name), "s%dp%d", s, i);
			world_add_db(world, service, name, "d0");
		}
		world_put_service(world, service, 30);
	}
	world_run(world, 10 * KL_SEC);
	for (guint i = 0; i < world->vms->len; i++)
		((vm_t *)g_ptr_array_index(world->vms, i))->database_calls = 0;
	world_run(world, 10 * KL_SEC);
	for (guint i = 0; i < world->vms->len; i++) {
		vm_t *vm = g_ptr_array_index(world->vms, i);

		calls += vm->database_calls;
		if (vm->database_calls > max_calls)
			max_calls = vm->database_calls;
	}
	printf("100 vms, 36 services of 3 databases, %s: database calls/s a "
	       "vm mean %.1f worst %.1f\n",
	       services_used ? "clients of every service on every VM"
			     : "no clients",
	       (double)calls / 1000, (double)max_calls / 10);
	world_free(world);
}

/* Demand is 80 % of the rate, uneven over the VMs, and moves every 2 s. */
static void measure_shares(const deployment_t *deployment, bool with_loans)
{
	uint64_t admitted = 0, refused = 0;

	for (uint32_t seed = 1; seed <= 5; seed++) {
		world_t *world = build_world(seed, deployment->vms,
					     deployment->domains, false);
		GRand *random = g_rand_new_with_seed(seed);

		world->peer_delay_us = deployment->delay_us;
		world_run(world, 6 * KL_SEC);
		/* Without peer messages each VM keeps an equal share. */
		if (!with_loans)
			world->peer_loss_percent = 100;
		for (int i = 0; i < 15; i++) {
			move_demand(world, random, 480);
			world_run(world, 2 * KL_SEC);
		}
		for (guint i = 0; i < world->workloads->len; i++) {
			workload_t *workload =
				g_ptr_array_index(world->workloads, i);

			admitted += workload->admitted;
			refused += workload->refused;
		}
		g_rand_free(random);
		world_free(world);
	}
	printf("%s: %s: admitted %llu refused within the rate %llu (%.3f %%)\n",
	       deployment->name, with_loans ? "loans" : "static equal shares",
	       (unsigned long long)admitted, (unsigned long long)refused,
	       100.0 * (double)refused / (double)(admitted + refused));
}

/* One workspace sends five times its rate; another stays within its own. */
static void measure_overloaded_neighbour(const deployment_t *deployment)
{
	world_t *world =
		build_world(7, deployment->vms, deployment->domains, false);
	uint64_t admitted = 0, refused = 0, overloaded_admitted = 0;

	world->peer_delay_us = deployment->delay_us;
	world_put_object(world, "workspace/press",
			 "{\"plan\":\"gold\",\"keys\":[]}");
	world_run(world, 6 * KL_SEC);
	for (guint i = 0; i < world->vms->len; i++) {
		vm_t *vm = g_ptr_array_index(world->vms, i);

		world_set_workload(world, vm, "bakery",
				   3000 / (uint64_t)deployment->vms);
		world_set_workload(world, vm, "press",
				   480 / (uint64_t)deployment->vms);
	}
	world_run(world, 30 * KL_SEC);
	for (guint i = 0; i < world->workloads->len; i++) {
		workload_t *workload = g_ptr_array_index(world->workloads, i);

		if (strcmp(workload->workspace, "press")) {
			overloaded_admitted += workload->admitted;
			continue;
		}
		admitted += workload->admitted;
		refused += workload->refused;
	}
	printf("%s: workspace at five times its rate: admitted %llu, "
	       "limit 30 s * 600 + 120; workspace within its rate: "
	       "admitted %llu refused %llu\n",
	       deployment->name, (unsigned long long)overloaded_admitted,
	       (unsigned long long)admitted, (unsigned long long)refused);
	world_free(world);
}

static void move_demand(world_t *world, GRand *random, uint64_t total_rate)
{
	double weights[64] = { 0 }, sum = 0;

	for (guint i = 0; i < world->vms->len; i++) {
		/* The square gives a few VMs most of the clients. */
		weights[i] =
			1.0 / (1 + g_rand_int_range(random, 0,
						    (gint)world->vms->len));
		weights[i] *= weights[i];
		sum += weights[i];
	}
	for (guint i = 0; i < world->vms->len; i++)
		world_set_workload(
			world, g_ptr_array_index(world->vms, i), "bakery",
			(uint64_t)((double)total_rate * weights[i] / sum));
}

static bool config_everywhere(world_t *world)
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

static world_t *build_world(uint32_t seed, int vms, int domains, bool databases)
{
	world_t *world = world_new(seed);
	char name[32], domain[32];

	for (int i = 0; i < vms; i++) {
		snprintf(name, sizeof(name), "v%d", i);
		snprintf(domain, sizeof(domain), "d%d", i % domains);
		world_add_vm(world, name, domain);
	}
	for (int i = 0; databases && i < 3; i++) {
		snprintf(name, sizeof(name), "p%d", i);
		snprintf(domain, sizeof(domain), "d%d", i % domains);
		world_add_db(world, "orders", name, domain);
	}
	if (databases)
		world_put_service(world, "orders", 30);
	world_put_object(world, "plan/gold",
			 "{\"connections\":60,\"rate\":600,\"burst\":120}");
	world_put_object(world, "workspace/bakery",
			 "{\"plan\":\"gold\",\"keys\":[]}");
	return world;
}

static int compare_u64(const void *a, const void *b)
{
	uint64_t first = *(const uint64_t *)a;
	uint64_t second = *(const uint64_t *)b;

	return (first > second) - (first < second);
}
