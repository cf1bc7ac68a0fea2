/* Which VMs get the permits of one upstream, and how many there are. */
#include <stdlib.h>
#include <string.h>

#include "control/permit_grant.h"

/* The arbiter counts a tenth more, for clocks that run at unequal speeds. */
#define ARBITER_LIFETIME_US (KL_PERMIT_LIFETIME_US + KL_PERMIT_LIFETIME_US / 10)
/* A VM that was silent for this long is forgotten. */
#define FORGET_US 2000000ull
/* VMs are told that the upstream is contended until this long after it was. */
#define CONTENDED_US 1000000ull
/* Grants to one VM that it has not confirmed; more wait for a report. */
#define UNSEEN_MAX 16
/* No VM runs more statements at an upstream; larger numbers are malformed. */
#define HELD_MAX 1000

/* Interval at which the number of permits is adapted. */
#define ADAPT_US 100000ull
/*
 * Statements inside the database for each slot, in hundredths.  Below the first
 * number slots are idle between two statements, above the second the queue in
 * the database only adds latency.  Between them nothing changes.
 */
#define INSIDE_LOW 125
#define INSIDE_HIGH 175

/* Permits granted by one answer that the VM has not confirmed. */
typedef struct unseen {
	uint64_t sequence;
	uint64_t granted_us;
	uint32_t permits;
} unseen_t;

/* A VM that reported or requested lately. */
typedef struct vm {
	CK_STAILQ_ENTRY(vm) link;
	char name[KL_NAME_MAX];
	uint64_t sent_us;  /* of its newest request, by its clock */
	uint64_t heard_us; /* arrival of that request */
	kl_permit_request_t request;
	unseen_t unseen[UNSEEN_MAX];
	uint32_t unseen_count;
	uint32_t pending; /* permits granted and not yet sent */
	bool answer_due;
	uint64_t last_turn; /* number of its last grant, for round-robin */
} vm_t;

struct kl_permit_pool {
	CK_STAILQ_HEAD(, vm) vms;
	uint32_t slots;
	uint32_t allowance;   /* permits beyond the slots */
	uint32_t outstanding; /* as of the last decision */
	uint32_t expired;     /* since they were last asked for */
	uint64_t sequence;    /* of the newest answer */
	uint64_t turn;	      /* number of the newest grant */
	uint64_t short_us;    /* when VMs last waited for permits */
	uint64_t interval_start_us;
	uint64_t interval_latency_us; /* of the statements answered in it */
	uint64_t inside_percent;      /* moving average of statements inside */
	bool interval_short;	      /* VMs waited for permits in it */
};

static vm_t *find_vm(const kl_permit_pool_t *pool, const char *name);
static void confirm_grants(vm_t *vm, uint64_t sequence);
static void expire(kl_permit_pool_t *pool, uint64_t now_us);
static uint32_t expire_unseen(vm_t *vm, uint64_t now_us);
static void adapt(kl_permit_pool_t *pool, uint64_t now_us);
static uint32_t count_outstanding(const kl_permit_pool_t *pool);
static uint32_t sum_unseen(const vm_t *vm);
static vm_t *choose(const kl_permit_pool_t *pool, int *level);

kl_permit_pool_t *kl_permit_pool_new(uint32_t slots, uint64_t now_us)
{
	kl_permit_pool_t *pool = calloc(1, sizeof(*pool));

	if (!pool)
		return NULL;
	CK_STAILQ_INIT(&pool->vms);
	pool->slots = slots;
	pool->allowance = (slots + 1) / 2;
	pool->interval_start_us = now_us;
	/* Starts above the sequences of an earlier process of this VM. */
	pool->sequence = now_us;
	return pool;
}

void kl_permit_pool_free(kl_permit_pool_t *pool)
{
	vm_t *vm, *next;

	if (!pool)
		return;
	CK_STAILQ_FOREACH_SAFE(vm, &pool->vms, link, next)
		free(vm);
	free(pool);
}

void kl_permit_pool_set_slots(kl_permit_pool_t *pool, uint32_t slots)
{
	pool->slots = slots;
}

bool kl_permit_pool_request(kl_permit_pool_t *pool, const char *name,
			    uint64_t sent_us,
			    const kl_permit_request_t *request, uint64_t now_us)
{
	vm_t *vm = find_vm(pool, name);
	bool is_new = !vm;

	if (is_new) {
		vm = calloc(1, sizeof(*vm));
		if (!vm || kl_name_copy(vm->name, name)) {
			free(vm);
			return false;
		}
		CK_STAILQ_INSERT_TAIL(&pool->vms, vm, link);
	} else if (sent_us <= vm->sent_us) {
		return false;
	}
	/* A process that started again counts from zero. */
	if (!is_new && request->answered >= vm->request.answered &&
	    request->latency_sum_us >= vm->request.latency_sum_us)
		pool->interval_latency_us +=
			request->latency_sum_us - vm->request.latency_sum_us;
	vm->sent_us = sent_us;
	vm->heard_us = now_us;
	vm->request = *request;
	vm->answer_due |= request->wants_answer;
	if (vm->request.held > HELD_MAX)
		vm->request.held = HELD_MAX;
	confirm_grants(vm, request->seen_sequence);
	return true;
}

void kl_permit_pool_decide(kl_permit_pool_t *pool, uint64_t now_us)
{
	uint32_t limit;
	vm_t *vm;
	int level;

	expire(pool, now_us);
	adapt(pool, now_us);
	pool->outstanding = count_outstanding(pool);
	limit = kl_permit_pool_limit(pool);
	while ((vm = choose(pool, &level))) {
		if (pool->outstanding >= limit) {
			pool->interval_short = true;
			pool->short_us = now_us;
			return;
		}
		vm->request.wanted[level]--;
		vm->pending++;
		vm->last_turn = ++pool->turn;
		pool->outstanding++;
	}
}

const char *kl_permit_pool_next_answer(kl_permit_pool_t *pool, uint64_t now_us,
				       kl_permit_grant_t *grant)
{
	vm_t *vm;

	CK_STAILQ_FOREACH(vm, &pool->vms, link) {
		if (!vm->pending && !vm->answer_due)
			continue;
		memset(grant, 0, sizeof(*grant));
		grant->sequence = ++pool->sequence;
		grant->request_sent_us = vm->sent_us;
		grant->permits = vm->pending;
		grant->contended = pool->short_us &&
				   now_us - pool->short_us < CONTENDED_US;
		if (vm->pending)
			vm->unseen[vm->unseen_count++] =
				(unseen_t){ grant->sequence, now_us,
					    vm->pending };
		vm->pending = 0;
		vm->answer_due = false;
		return vm->name;
	}
	return NULL;
}

uint32_t kl_permit_pool_take_expired(kl_permit_pool_t *pool)
{
	uint32_t expired = pool->expired;

	pool->expired = 0;
	return expired;
}

uint32_t kl_permit_pool_outstanding(const kl_permit_pool_t *pool)
{
	return pool->outstanding;
}

uint32_t kl_permit_pool_limit(const kl_permit_pool_t *pool)
{
	return pool->slots + pool->allowance;
}

static vm_t *find_vm(const kl_permit_pool_t *pool, const char *name)
{
	vm_t *vm;

	CK_STAILQ_FOREACH(vm, &pool->vms, link) {
		if (!strcmp(vm->name, name))
			return vm;
	}
	return NULL;
}

/*
 * Drops the grants up to a sequence: the VM has got them, or will ignore them,
 * and reports those that it holds.
 */
static void confirm_grants(vm_t *vm, uint64_t sequence)
{
	uint32_t kept = 0;

	for (uint32_t i = 0; i < vm->unseen_count; i++)
		if (vm->unseen[i].sequence > sequence)
			vm->unseen[kept++] = vm->unseen[i];
	vm->unseen_count = kept;
}

static void expire(kl_permit_pool_t *pool, uint64_t now_us)
{
	vm_t *vm, *next;

	CK_STAILQ_FOREACH_SAFE(vm, &pool->vms, link, next) {
		uint64_t silent_us = now_us - vm->heard_us;

		pool->expired += expire_unseen(vm, now_us);
		if (silent_us < ARBITER_LIFETIME_US)
			continue;
		pool->expired += vm->request.held;
		vm->request.held = 0;
		memset(vm->request.wanted, 0, sizeof(vm->request.wanted));
		if (silent_us < FORGET_US)
			continue;
		CK_STAILQ_REMOVE(&pool->vms, vm, vm, link);
		free(vm);
	}
}

/* @return number of permits that expired */
static uint32_t expire_unseen(vm_t *vm, uint64_t now_us)
{
	uint32_t before = sum_unseen(vm), kept = 0;

	for (uint32_t i = 0; i < vm->unseen_count; i++)
		if (now_us - vm->unseen[i].granted_us < ARBITER_LIFETIME_US)
			vm->unseen[kept++] = vm->unseen[i];
	vm->unseen_count = kept;
	return before - sum_unseen(vm);
}

/*
 * Adapts the number of permits to the statements inside the database.  Their
 * mean number is the sum of the latencies of those answered in an interval,
 * divided by its length (Little's law).  Permits that are under way in messages
 * are not inside.
 */
static void adapt(kl_permit_pool_t *pool, uint64_t now_us)
{
	uint64_t elapsed_us = now_us - pool->interval_start_us;
	uint64_t percent;

	if (elapsed_us < ADAPT_US)
		return;
	percent = pool->interval_latency_us * 100 / elapsed_us;
	pool->inside_percent = (pool->inside_percent + percent) / 2;
	if (pool->interval_short &&
	    pool->inside_percent > INSIDE_HIGH * (uint64_t)pool->slots) {
		if (pool->allowance)
			pool->allowance--;
	} else if (pool->interval_short &&
		   pool->inside_percent < INSIDE_LOW * (uint64_t)pool->slots) {
		if (pool->allowance < 2 * pool->slots)
			pool->allowance++;
	}
	pool->interval_start_us = now_us;
	pool->interval_latency_us = 0;
	pool->interval_short = false;
}

static uint32_t count_outstanding(const kl_permit_pool_t *pool)
{
	uint32_t sum = 0;
	const vm_t *vm;

	CK_STAILQ_FOREACH(vm, &pool->vms, link)
		sum += vm->request.held + sum_unseen(vm) + vm->pending;
	return sum;
}

static uint32_t sum_unseen(const vm_t *vm)
{
	uint32_t sum = 0;

	for (uint32_t i = 0; i < vm->unseen_count; i++)
		sum += vm->unseen[i].permits;
	return sum;
}

/*
 * Chooses the VM that gets the next permit: one of those that want it for the
 * most urgent priority, by turns.
 */
static vm_t *choose(const kl_permit_pool_t *pool, int *level)
{
	vm_t *vm, *best = NULL;

	for (*level = 0; *level < KL_PERMIT_LEVELS && !best; ++*level) {
		CK_STAILQ_FOREACH(vm, &pool->vms, link) {
			if (vm->request.wanted[*level] &&
			    vm->unseen_count < UNSEEN_MAX &&
			    (!best || vm->last_turn < best->last_turn))
				best = vm;
		}
	}
	--*level;
	return best;
}
