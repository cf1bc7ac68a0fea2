/*
 * decision: time of each decision on the request path, and time and memory of
 * one VM's control side; single-threaded.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>
#include <malloc.h>

#include "kumquatloft/classify.h"
#include "kumquatloft/share.h"
#include "tests/world.h"

#define ITERATIONS 200000

static uint64_t now_ns(void);
static world_t *build_world(int workspaces, int services);
static void measure_request_path(void);
static void measure_control_side(int workspaces);
static uint32_t zero_load(const void *context, const char *name);

int main(void)
{
	measure_request_path();
	measure_control_side(8);
	measure_control_side(100);
	measure_control_side(1000);
	return 0;
}

static void measure_request_path(void)
{
	world_t *world = build_world(8, 3);
	vm_t *vm = world_find_vm(world, "v0");
	kl_route_request_t request = { .service = "s0",
				       .read_only = true,
				       .load = zero_load };
	char hash[2 * KL_KEY_HASH_BYTES + 1];
	kl_classification_t classification;
	kl_view_t view;
	kl_route_choice_t choice;
	kl_bucket_t *bucket;
	uint64_t start_ns;

	world_run(world, 5 * KL_SEC);
	world_load_view(vm, &view);
	memset(hash, 'a', sizeof(hash) - 1);
	hash[sizeof(hash) - 1] = '\0';
	request.token.state = KL_TOKEN_NEW;
	bucket = kl_index_get(view.buckets->index, "w0");
	bucket->tokens_milli = (int64_t)ITERATIONS * KL_TOKENS_PER_STATEMENT;
	start_ns = now_ns();
	for (int i = 0; i < ITERATIONS; i++)
		kl_classify("SELECT name, price FROM stock WHERE sku = 'x42' "
			    "AND shelf IN (1, 2)",
			    NULL, &classification);
	printf("classify ns %llu\n",
	       (unsigned long long)(now_ns() - start_ns) / ITERATIONS);
	start_ns = now_ns();
	for (int i = 0; i < ITERATIONS; i++)
		kl_authenticate(&view, &world->data_path_settings, hash, "w0",
				"s0");
	printf("authenticate ns %llu\n",
	       (unsigned long long)(now_ns() - start_ns) / ITERATIONS);
	start_ns = now_ns();
	for (int i = 0; i < ITERATIONS; i++)
		kl_admit_statement(&view, bucket);
	printf("admit ns %llu\n",
	       (unsigned long long)(now_ns() - start_ns) / ITERATIONS);
	start_ns = now_ns();
	for (int i = 0; i < ITERATIONS; i++)
		kl_route_choose(&view, &world->data_path_settings, &request,
				&choice);
	printf("route ns %llu\n",
	       (unsigned long long)(now_ns() - start_ns) / ITERATIONS);
	world_free(world);
}

/*
 * Measures one VM without load: a tick; a changed plan and 500 ms of virtual
 * time; 500 ms of virtual time alone; the bytes allocated.
 */
static void measure_control_side(int workspaces)
{
	size_t bytes_before = mallinfo2().uordblks;
	world_t *world = build_world(workspaces, 3);
	vm_t *vm = world_find_vm(world, "v0");
	kl_event_t tick = { .kind = KL_EVENT_TICK };
	uint64_t start_ns, elapsed_ns;
	char body[128];

	world_run(world, 5 * KL_SEC);
	start_ns = now_ns();
	for (int i = 0; i < 1000; i++) {
		world->now_us += 10 * KL_MS;
		kl_node_step(&vm->node, &tick);
	}
	elapsed_ns = now_ns() - start_ns;
	printf("workspaces %d tick_ns %llu", workspaces,
	       (unsigned long long)elapsed_ns / 1000);
	start_ns = now_ns();
	for (int i = 0; i < 20; i++) {
		snprintf(body, sizeof(body),
			 "{\"connections\":90,\"rate\":%d,\"burst\":100}",
			 100 + i);
		world_put_object(world, "plan/p", body);
		world_run(world, 500 * KL_MS);
	}
	elapsed_ns = (now_ns() - start_ns) / 20;
	printf(" change_and_half_second_ns %llu",
	       (unsigned long long)elapsed_ns);
	start_ns = now_ns();
	world_run(world, 10 * KL_SEC);
	printf(" half_second_ns %llu",
	       (unsigned long long)(now_ns() - start_ns) / 20);
	printf(" bytes %zu\n", mallinfo2().uordblks - bytes_before);
	world_free(world);
}

static world_t *build_world(int workspaces, int services)
{
	world_t *world = world_new(20261204);
	char name[64], db[64], body[512];

	world_add_vm(world, "v0", "d0");
	for (int s = 0; s < services; s++) {
		snprintf(name, sizeof(name), "s%d", s);
		for (int i = 0; i < 3; i++) {
			snprintf(db, sizeof(db), "s%dp%d", s, i);
			world_add_db(world, name, db, "d0");
		}
		world_put_service(world, name, 30);
	}
	world_put_object(world, "plan/p",
			 "{\"connections\":90,\"rate\":1000,\"burst\":200}");
	for (int w = 0; w < workspaces; w++) {
		snprintf(name, sizeof(name), "workspace/w%d", w);
		snprintf(body, sizeof(body),
			 "{\"plan\":\"p\",\"keys\":[{\"id\":\"k\",\"hash\":"
			 "\"%048d\",\"withdrawn\":false}]}",
			 w);
		world_put_object(world, name, body);
	}
	return world;
}

static uint64_t now_ns(void)
{
	struct timespec now;

	clock_gettime(CLOCK_MONOTONIC, &now);
	return (uint64_t)now.tv_sec * 1000000000ull + (uint64_t)now.tv_nsec;
}

static uint32_t zero_load(const void *context, const char *name)
{
	(void)context;
	(void)name;
	return 0;
}
