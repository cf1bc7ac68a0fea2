/* Which VMs get the permits of one upstream, and how many there are. */
#include <stdlib.h>
#include <string.h>

#include "control/permit_grant.h"
#include "control/permit_holder.h"
#include "control/permit_limit.h"

/* A VM that was silent for this long is forgotten. */
#define FORGET_US 4000000ull
/*
 * VMs that wait report again after this time for each of them, so that their
 * reports together take the arbiter the same work with 30 VMs and with 300.
 */
#define REFRESH_PER_VM_US 3000ull
#define REFRESH_MIN_US 100000ull
#define REFRESH_MAX_US 1000000ull
/* What a VM wants is forgotten after so many reports that did not come. */
#define MISSED_REFRESHES 3
/* VMs are told that the upstream is contended until this long after it was. */
#define CONTENDED_US 1000000ull
/* Interval of the notices to all VMs meanwhile. */
#define NOTICE_US 1000000ull

struct kl_permit_pool {
	CK_STAILQ_HEAD(, kl_permit_holder) vms;
	kl_permit_limit_t limit;
	uint32_t outstanding;  /* as of the last decision */
	uint32_t expired;      /* since they were last asked for */
	uint64_t sequence;     /* of the newest answer */
	uint64_t turn;	       /* number of the newest grant */
	uint64_t contended_us; /* when VMs waited or saw a sign of it */
	uint64_t notice_us;    /* when all VMs were last told, or 0 */
	uint64_t refresh_us;   /* interval of reports of VMs that wait */
};

static kl_permit_holder_t *find_vm(const kl_permit_pool_t *pool,
				   const char *name);
static void expire(kl_permit_pool_t *pool, uint64_t now_us);
static bool is_contended(const kl_permit_pool_t *pool, uint64_t now_us);
static uint32_t count_outstanding(const kl_permit_pool_t *pool);
static kl_permit_holder_t *choose(const kl_permit_pool_t *pool, uint64_t now_us,
				  int *level);

kl_permit_pool_t *kl_permit_pool_new(uint32_t slots, uint64_t now_us)
{
	kl_permit_pool_t *pool = calloc(1, sizeof(*pool));

	if (!pool)
		return NULL;
	CK_STAILQ_INIT(&pool->vms);
	kl_permit_limit_init(&pool->limit, slots, now_us);
	pool->refresh_us = REFRESH_MIN_US;
	/* Starts above the sequences of an earlier process of this VM. */
	pool->sequence = now_us;
	return pool;
}

void kl_permit_pool_free(kl_permit_pool_t *pool)
{
	kl_permit_holder_t *vm, *next;

	if (!pool)
		return;
	CK_STAILQ_FOREACH_SAFE(vm, &pool->vms, link, next)
		free(vm);
	free(pool);
}

void kl_permit_pool_set_slots(kl_permit_pool_t *pool, uint32_t slots)
{
	pool->limit.slots = slots;
}

bool kl_permit_pool_request(kl_permit_pool_t *pool, const char *name,
			    uint64_t sent_us,
			    const kl_permit_request_t *request, uint64_t now_us)
{
	kl_permit_holder_t *vm = find_vm(pool, name);
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
		kl_permit_limit_add(&pool->limit,
				    request->latency_sum_us -
					    vm->request.latency_sum_us);
	kl_permit_holder_report(vm, sent_us, request, now_us);
	if (request->contended)
		pool->contended_us = now_us;
	return true;
}

void kl_permit_pool_decide(kl_permit_pool_t *pool, uint64_t now_us)
{
	uint32_t limit;
	kl_permit_holder_t *vm;
	int level;

	expire(pool, now_us);
	kl_permit_limit_adapt(&pool->limit, now_us);
	pool->outstanding = count_outstanding(pool);
	limit = kl_permit_pool_limit(pool);
	while ((vm = choose(pool, now_us, &level))) {
		if (pool->outstanding >= limit) {
			pool->limit.is_short = true;
			pool->contended_us = now_us;
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
	kl_permit_holder_t *vm;

	CK_STAILQ_FOREACH(vm, &pool->vms, link) {
		if (!vm->pending && !vm->answer_due)
			continue;
		memset(grant, 0, sizeof(*grant));
		grant->sequence = ++pool->sequence;
		grant->request_sent_us = vm->sent_us;
		grant->permits = vm->pending;
		grant->contended = is_contended(pool, now_us);
		grant->refresh_us = pool->refresh_us;
		kl_permit_holder_answered(vm, grant->sequence, now_us);
		return vm->name;
	}
	return NULL;
}

bool kl_permit_pool_notice_is_due(kl_permit_pool_t *pool, uint64_t now_us)
{
	if (!is_contended(pool, now_us) || now_us - pool->notice_us < NOTICE_US)
		return false;
	pool->notice_us = now_us;
	return true;
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
	return pool->limit.slots + pool->limit.allowance;
}

static kl_permit_holder_t *find_vm(const kl_permit_pool_t *pool,
				   const char *name)
{
	kl_permit_holder_t *vm;

	CK_STAILQ_FOREACH(vm, &pool->vms, link) {
		if (!strcmp(vm->name, name))
			return vm;
	}
	return NULL;
}

static void expire(kl_permit_pool_t *pool, uint64_t now_us)
{
	uint64_t waiting_vms = 0;
	kl_permit_holder_t *vm, *next;

	CK_STAILQ_FOREACH_SAFE(vm, &pool->vms, link, next) {
		uint64_t silent_us = now_us - vm->heard_us;

		pool->expired += kl_permit_holder_expire(vm, now_us);
		if (silent_us >= MISSED_REFRESHES * pool->refresh_us)
			memset(vm->request.wanted, 0,
			       sizeof(vm->request.wanted));
		waiting_vms += kl_permit_holder_wants(vm);
		if (silent_us < FORGET_US)
			continue;
		CK_STAILQ_REMOVE(&pool->vms, vm, kl_permit_holder, link);
		free(vm);
	}
	pool->refresh_us = waiting_vms * REFRESH_PER_VM_US;
	if (pool->refresh_us < REFRESH_MIN_US)
		pool->refresh_us = REFRESH_MIN_US;
	if (pool->refresh_us > REFRESH_MAX_US)
		pool->refresh_us = REFRESH_MAX_US;
}

static bool is_contended(const kl_permit_pool_t *pool, uint64_t now_us)
{
	return pool->contended_us && now_us - pool->contended_us < CONTENDED_US;
}

static uint32_t count_outstanding(const kl_permit_pool_t *pool)
{
	uint32_t sum = 0;
	const kl_permit_holder_t *vm;

	CK_STAILQ_FOREACH(vm, &pool->vms, link)
		sum += kl_permit_holder_sum(vm);
	return sum;
}

/*
 * Chooses the VM that gets the next permit: one of those that want it for the
 * most urgent priority, by turns.
 */
static kl_permit_holder_t *choose(const kl_permit_pool_t *pool, uint64_t now_us,
				  int *level)
{
	kl_permit_holder_t *vm, *best = NULL;

	for (*level = 0; *level < KL_PERMIT_LEVELS && !best; ++*level) {
		CK_STAILQ_FOREACH(vm, &pool->vms, link) {
			if (vm->request.wanted[*level] &&
			    kl_permit_holder_may_get(vm, now_us) &&
			    (!best || vm->last_turn < best->last_turn))
				best = vm;
		}
	}
	--*level;
	return best;
}
