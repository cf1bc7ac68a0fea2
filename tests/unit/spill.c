/*
 * Tests of path/spill.c with many deciders: a fluid model of failure domains,
 * each with one queue of statements, and VMs that decide alone from samples of
 * the waits.
 */
#include <math.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>
#include <cmocka.h>
#include <glib.h>

#include "control/load_answers.h"
#include "path/spill.h"

#define DOMAINS 3
#define VMS 10 /* of each domain */
#define VMS_MANY 160
#define STEP_US 5000
#define SECOND_US 1000000ull
#define OBJECTIVE_US 250000
#define WORK_US 18000
#define WORK_SIGMA 0.8
#define CONNECT_US 12000
#define DISTANCE_US 2800
#define WAIT_MAX_US 144000 /* a longer queue is refused, as 32 at 4 slots */
#define SETTLE_US (10 * SECOND_US)

static const char *const names[DOMAINS] = { "d0", "d1", "d2" };

typedef struct vm {
	kl_spill_t spill;
	kl_wait_t wait;
	kl_load_answers_t answers[DOMAINS];
	double arrivals; /* part of a statement that has arrived */
	uint64_t next_query_us;
} vm_t;

typedef struct domain {
	double capacity, demand; /* statements a second */
	double queue;		 /* statements */
	bool cut;		 /* its VMs answer no other domain */
	bool one_lies;		 /* its first VM always reports no wait */
	vm_t vms[VMS_MANY];
} domain_t;

typedef struct model {
	domain_t domains[DOMAINS];
	GRand *random;
	int vms;      /* of each domain */
	bool varying; /* log-normal work, after a new connection */
	uint64_t now_us;
	double wave; /* amplitude, a part of the demand */
	double period_s;
	/* since the start; the last two as an optimal division would have */
	double served, sent, possible, needed;
	uint32_t sent_to[DOMAINS], queries;
} model_t;

static void model_begin(model_t *model, int vms)
{
	memset(model, 0, sizeof(*model));
	model->random = g_rand_new_with_seed(20261206);
	model->now_us = SECOND_US;
	model->vms = vms;
	model->period_s = 12;
	for (int d = 0; d < DOMAINS; d++) {
		model->domains[d].capacity = 200;
		for (int v = 0; v < model->vms; v++) {
			vm_t *vm = &model->domains[d].vms[v];

			kl_spill_init(&vm->spill);
			vm->spill.next_step_us =
				model->now_us +
				(uint64_t)v * KL_SPILL_STEP_US / (uint64_t)vms;
			vm->next_query_us = vm->spill.next_step_us;
			vm->arrivals = g_rand_double(model->random);
		}
	}
}

static void model_end(model_t *model)
{
	for (int i = 0; i < DOMAINS * model->vms; i++)
		kl_spill_clear(&model->domains[i / model->vms]
					.vms[i % model->vms]
					.spill);
	g_rand_free(model->random);
}

/* Log-normal work with the mean WORK_US. */
static uint64_t work_us(GRand *random)
{
	double normal = sqrt(-2 * log(1 - g_rand_double(random))) *
			cos(2 * M_PI * g_rand_double(random));

	return (uint64_t)(WORK_US * exp(WORK_SIGMA * normal -
					WORK_SIGMA * WORK_SIGMA / 2));
}

/* Joins the queue of a domain. @return the response time, 0: refused */
static uint64_t join_queue(model_t *model, domain_t *domain)
{
	uint64_t wait_us =
		(uint64_t)(domain->queue * SECOND_US / domain->capacity);

	if (wait_us > WAIT_MAX_US)
		return 0;
	domain->queue += 1;
	model->served += 1;
	if (model->varying)
		return wait_us + CONNECT_US + work_us(model->random);
	return wait_us + WORK_US / 2 +
	       g_rand_int_range(model->random, 0, WORK_US);
}

static void send(model_t *model, int home, kl_spill_domain_t *to,
		 uint64_t *response_us)
{
	int target = to ? to->name[1] - '0' : home;

	if (to) {
		model->sent += 1;
		model->sent_to[target]++;
	}
	*response_us = join_queue(model, &model->domains[target]);
}

static void arrive(model_t *model, int home, vm_t *vm)
{
	kl_spill_domain_t *to;
	uint64_t response_us;

	kl_spill_note_objective(&vm->spill, OBJECTIVE_US, model->now_us);
	to = kl_spill_next(&vm->spill);
	kl_spill_sent(&vm->spill, to);
	send(model, home, to, &response_us);
	if (to)
		return;
	if (response_us) {
		kl_wait_add(&vm->wait, response_us, OBJECTIVE_US,
			    model->now_us);
		return;
	}
	kl_wait_add_refused(&vm->wait, model->now_us);
	to = kl_spill_best(&vm->spill);
	if (to)
		send(model, home, to, &response_us);
}

static void query(model_t *model, int home, vm_t *vm)
{
	model->queries++;
	for (int d = 0; d < DOMAINS; d++) {
		int other = g_rand_int_range(model->random, 0, model->vms);
		const domain_t *domain = &model->domains[d];

		if ((d != home && (domain->cut || model->domains[home].cut)) ||
		    !kl_wait_is_known(&domain->vms[other].wait, model->now_us))
			continue;
		kl_load_answers_add(
			&vm->answers[d],
			domain->one_lies && !other
				? 0
				: kl_wait_expected(&domain->vms[other].wait,
						   OBJECTIVE_US, model->now_us),
			model->now_us);
	}
}

static void decide(model_t *model, int home, vm_t *vm)
{
	uint64_t wait_us, others_us, sampled_us;

	if (model->now_us >= vm->next_query_us &&
	    kl_spill_needs_figures(
		    &vm->spill, kl_wait_was_late(&vm->wait, model->now_us))) {
		vm->next_query_us = model->now_us + 200000;
		query(model, home, vm);
	}
	for (int d = 0; d < DOMAINS; d++) {
		kl_spill_domain_t *domain;

		if (d == home)
			continue;
		domain = kl_spill_domain(&vm->spill, names[d]);
		domain->known = kl_load_answers_median(
					&vm->answers[d], model->now_us,
					&domain->wait_us, &sampled_us) >= 3;
		domain->round_trip_us = DISTANCE_US;
	}
	wait_us = kl_wait_expected(&vm->wait, OBJECTIVE_US, model->now_us);
	if (kl_load_answers_median(&vm->answers[home], model->now_us,
				   &others_us, &sampled_us) >= 3)
		wait_us = kl_wait_pooled(wait_us, others_us);
	kl_spill_step(&vm->spill, wait_us, model->now_us);
}

static void step(model_t *model)
{
	double demand = 0, capacity = 0, excess = 0, spare = 0;

	model->now_us += STEP_US;
	for (int d = 0; d < DOMAINS; d++) {
		domain_t *domain = &model->domains[d];
		double phase =
			2 * M_PI *
			((double)model->now_us / SECOND_US / model->period_s +
			 (double)d / DOMAINS);
		double rate = domain->demand * (1 + model->wave * sin(phase));
		double served = domain->capacity * STEP_US / SECOND_US;

		for (int v = 0; v < model->vms; v++) {
			vm_t *vm = &domain->vms[v];

			vm->arrivals +=
				rate / model->vms * STEP_US / SECOND_US *
				g_rand_double_range(model->random, 0, 2);
			for (; vm->arrivals >= 1; vm->arrivals -= 1)
				arrive(model, d, vm);
			decide(model, d, vm);
		}
		domain->queue -= fmin(domain->queue, served);
		demand += rate;
		capacity += domain->capacity;
		excess += fmax(rate - domain->capacity, 0);
		spare += fmax(domain->capacity - rate, 0);
	}
	model->possible += fmin(demand, capacity) * STEP_US / SECOND_US;
	model->needed += fmin(excess, spare) * STEP_US / SECOND_US;
}

static void run(model_t *model, uint64_t duration_us)
{
	uint64_t end_us = model->now_us + duration_us;

	while (model->now_us < end_us)
		step(model);
}

/* Mean share of the reads of the first domain that leave. */
static double mean_share(const model_t *model)
{
	double sum = 0;

	for (int v = 0; v < model->vms; v++)
		sum += (double)kl_spill_share(&model->domains[0].vms[v].spill) /
		       KL_SPILL_WHOLE;
	return sum / model->vms;
}

static void set_demand(model_t *model, double d0, double d1, double d2)
{
	model->domains[0].demand = d0;
	model->domains[1].demand = d1;
	model->domains[2].demand = d2;
}

static void check_waves(double period_s, int vms, bool varying)
{
	model_t model;

	model_begin(&model, vms);
	model.varying = varying;
	model.period_s = period_s;
	model.wave = 0.55;
	model.domains[2].capacity = 200.0 * 3 / 8;
	set_demand(&model, 125, 125, 125);
	run(&model, 60 * SECOND_US);
	print_message("served %.3f of the optimum, sent %.3f of its need\n",
		      model.served / model.possible, model.sent / model.needed);
	assert_true(model.served >= 0.97 * model.possible);
	assert_true(model.sent <= 1.2 * model.needed);
	model_end(&model);
}

/* Guards against lost reads and needless traffic when the load moves. */
static void waves_are_served_like_a_pool(void **state)
{
	(void)state;
	check_waves(12, VMS, false);
	check_waves(20, VMS, false);
}

/*
 * Guards against decisions from few statements of varying length: a VM has less
 * than one a second.
 */
static void few_varying_samples_suffice(void **state)
{
	(void)state;
	check_waves(12, VMS_MANY, true);
	check_waves(20, VMS_MANY, true);
}

/* Guards against queries and reads that single slow statements cause. */
static void slow_statements_send_nothing(void **state)
{
	model_t model;
	(void)state;

	model_begin(&model, VMS_MANY);
	model.varying = true;
	set_demand(&model, 110, 110, 110);
	run(&model, 30 * SECOND_US);
	print_message("%u queries, %.0f reads sent\n", model.queries,
		      model.sent);
	assert_true(model.sent == 0);
	/* Less than a hundredth of the queries of VMs that always ask. */
	assert_true(model.queries * 100 < 30 * 5 * DOMAINS * VMS_MANY);
	model_end(&model);
}

/* Guards against reads that leave without need. */
static void spare_capacity_at_home_is_used(void **state)
{
	model_t model;
	(void)state;

	model_begin(&model, VMS);
	model.wave = 0.55;
	set_demand(&model, 110, 110, 110);
	run(&model, 30 * SECOND_US);
	assert_true(model.sent == 0);
	model_end(&model);
}

/* Guards against VMs that move together, away and back. */
static void steady_excess_gives_a_steady_share(void **state)
{
	double lowest = 1, highest = 0;
	model_t model;
	(void)state;

	model_begin(&model, VMS);
	set_demand(&model, 300, 100, 100);
	run(&model, SETTLE_US);
	for (int i = 0; i < 200; i++) {
		double share = mean_share(&model);

		lowest = fmin(lowest, share);
		highest = fmax(highest, share);
		run(&model, SECOND_US / 10);
	}
	print_message("share %.3f to %.3f\n", lowest, highest);
	assert_true(lowest > 0.2);
	assert_true(highest - lowest < 0.2);
	model_end(&model);
}

/* Guards against a share that stays after the load has fallen. */
static void share_ends_with_the_load(void **state)
{
	model_t model;
	(void)state;

	model_begin(&model, VMS);
	set_demand(&model, 300, 100, 100);
	run(&model, SETTLE_US);
	assert_true(mean_share(&model) > 0.2);
	set_demand(&model, 100, 100, 100);
	run(&model, 5 * SECOND_US);
	assert_true(mean_share(&model) == 0);
	model_end(&model);
}

/* Guards against reads sent to a domain that answers no more. */
static void share_of_a_silent_domain_ends(void **state)
{
	model_t model;
	(void)state;

	model_begin(&model, VMS);
	set_demand(&model, 300, 100, 100);
	run(&model, SETTLE_US);
	model.domains[1].cut = true;
	run(&model, KL_SPILL_FIGURE_MAX_AGE_US + KL_SPILL_STEP_US + STEP_US);
	model.sent_to[1] = 0;
	run(&model, 5 * SECOND_US);
	assert_int_equal(model.sent_to[1], 0);
	model_end(&model);
}

/* Guards against one VM's wrong figures that draw reads to a full domain. */
static void a_wrong_figure_draws_few_reads(void **state)
{
	model_t model;
	(void)state;

	model_begin(&model, VMS);
	set_demand(&model, 300, 240, 240);
	model.domains[1].one_lies = true;
	run(&model, 20 * SECOND_US);
	print_message("%u reads of 6000 sent to the full domain\n",
		      model.sent_to[1]);
	assert_true(model.sent_to[1] < 300);
	model_end(&model);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(waves_are_served_like_a_pool),
		cmocka_unit_test(few_varying_samples_suffice),
		cmocka_unit_test(slow_statements_send_nothing),
		cmocka_unit_test(spare_capacity_at_home_is_used),
		cmocka_unit_test(steady_excess_gives_a_steady_share),
		cmocka_unit_test(share_ends_with_the_load),
		cmocka_unit_test(share_of_a_silent_domain_ends),
		cmocka_unit_test(a_wrong_figure_draws_few_reads),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
