/*
 * The member controller's checks of other VMs: which of them are gone.
 */
#include <string.h>

#include "control/member_internal.h"

/* Time between two checks. */
#define CHECK_INTERVAL_US (400 * KL_MS)
/* What happens this long after the last message from a VM: */
#define HELLO_AFTER_US (1500 * KL_MS)	 /* a hello is sent to it */
#define UNREGISTER_AFTER_US (5 * KL_SEC) /* its record is marked gone */
/*
 * A VM is marked gone only if it left hellos unanswered for this long, and only
 * by one that has been in touch with others for as long: a VM that was frozen
 * or cut off itself has had no message from any other.
 */
#define ANSWER_WAIT_US (1500 * KL_MS)
/* A record that is marked gone is kept this long before it is removed. */
#define GONE_RECORD_KEPT_US (30 * KL_SEC)
/*
 * A VM that has been out of touch with the others for LONELY_AFTER_US, but not
 * with the platform, marks one of them gone each LONELY_INTERVAL_US.  If one
 * registers again, they are not gone: it marks no other for KL_LONELY_PAUSE_US.
 */
#define LONELY_AFTER_US (8 * KL_SEC)
#define LONELY_INTERVAL_US (3 * KL_SEC)
/*
 * Number of VMs that check a VM, and the time by which each of them acts later
 * than the one before it, which may be gone itself.
 */
#define CHECKERS 3
#define NEXT_CHECKER_US (1 * KL_SEC)

static void check_peer(kl_node_t *node, const kl_members_t *members,
		       kl_vm_entry_t *vm, bool may_mark, uint64_t now);
static void mark_while_lonely(kl_node_t *node, kl_member_state_t *state,
			      uint64_t now);
static void mark_gone(kl_node_t *node, const kl_vm_entry_t *vm,
		      const char *reason, uint64_t now);
static bool leaves_hellos_unanswered(const kl_vm_entry_t *vm);
static int checker_rank(const kl_node_t *node, const kl_members_t *members,
			const kl_vm_entry_t *vm);
static bool is_in_touch(const kl_member_state_t *state, uint64_t now);

/*
 * Checks the VMs that this one is a checker of.  A silent one is sent a hello,
 * and its record is marked gone if it stays silent, unless most of the VMs that
 * should have sent a message are silent, so that this VM may be cut off itself.
 */
void kl_member_check_peers(kl_node_t *node, kl_member_state_t *state,
			   uint64_t now)
{
	const kl_members_t *members = kl_node_get(node, KL_SECTION_MEMBERS);
	bool may_mark;
	kl_vm_entry_t *vm;

	if (now - state->last_check_us < CHECK_INTERVAL_US || !members)
		return;
	state->last_check_us = now;
	if (is_in_touch(state, now)) {
		state->lonely_since_us = 0;
		if (!state->in_touch_since_us)
			state->in_touch_since_us = now;
	} else {
		state->in_touch_since_us = 0;
		if (!state->lonely_since_us)
			state->lonely_since_us = now;
		mark_while_lonely(node, state, now);
	}
	may_mark = state->in_touch_since_us &&
		   now - state->in_touch_since_us > ANSWER_WAIT_US;
	CK_STAILQ_FOREACH(vm, &state->list, link) {
		/* Checks the cheap conditions before it ranks the checkers. */
		if (strcmp(vm->name.name, state->self) &&
		    (vm->member.unregistered_since_us ||
		     (vm->member.registered &&
		      now - vm->member.last_message_us > HELLO_AFTER_US)))
			check_peer(node, members, vm, may_mark, now);
	}
}

/*
 * Finds out by the platform whether the others are gone or only this VM is cut
 * off from them: one that is marked gone and reaches the platform registers
 * again at once.
 */
static void mark_while_lonely(kl_node_t *node, kl_member_state_t *state,
			      uint64_t now)
{
	const kl_confirmation_t *confirmation =
		kl_node_get(node, KL_SECTION_CONFIRMATION);
	kl_vm_entry_t *vm;

	if (now - state->lonely_since_us < LONELY_AFTER_US ||
	    now - state->last_lonely_mark_us < LONELY_INTERVAL_US ||
	    now < state->lonely_pause_until_us || !confirmation ||
	    now - confirmation->confirmed_us > ANSWER_WAIT_US)
		return;
	CK_STAILQ_FOREACH(vm, &state->list, link) {
		if (!strcmp(vm->name.name, state->self) ||
		    !vm->member.registered || !leaves_hellos_unanswered(vm) ||
		    now - vm->member.last_message_us < UNREGISTER_AFTER_US)
			continue;
		state->last_lonely_mark_us = now;
		vm->marked_while_lonely = true;
		mark_gone(node, vm, "lonely", now);
		return;
	}
}

static void mark_gone(kl_node_t *node, const kl_vm_entry_t *vm,
		      const char *reason, uint64_t now)
{
	kl_decision_t decision = { .name = "vm_gone",
				   .peer = vm->name.name,
				   .reason = reason,
				   .age_us = now - vm->member.last_message_us };

	kl_member_put_record(node, vm, "gone");
	node->ops->log_decision(node->ops_context, &decision);
}

static void check_peer(kl_node_t *node, const kl_members_t *members,
		       kl_vm_entry_t *vm, bool may_mark, uint64_t now)
{
	uint64_t silent_us = now - vm->member.last_message_us;
	int rank = checker_rank(node, members, vm);
	uint64_t delay_us = (uint64_t)rank * NEXT_CHECKER_US;

	if (rank < 0)
		return;
	if (vm->member.unregistered_since_us) {
		if (!vm->record_removed &&
		    now - vm->member.unregistered_since_us >
			    GONE_RECORD_KEPT_US + delay_us)
			kl_member_put_record(node, vm, NULL);
	} else if (silent_us > UNREGISTER_AFTER_US + delay_us && may_mark &&
		   leaves_hellos_unanswered(vm) &&
		   now - vm->unanswered_since_us > ANSWER_WAIT_US) {
		mark_gone(node, vm, "silent", now);
	} else if (silent_us > HELLO_AFTER_US + delay_us) {
		if (!leaves_hellos_unanswered(vm))
			vm->unanswered_since_us = now;
		kl_sync_send_hello(node, &vm->member);
	}
}

static bool leaves_hellos_unanswered(const kl_vm_entry_t *vm)
{
	return vm->unanswered_since_us > vm->member.last_message_us;
}

/* This VM's place among the checkers of another one. @return -1: it is none */
static int checker_rank(const kl_node_t *node, const kl_members_t *members,
			const kl_vm_entry_t *vm)
{
	unsigned long long own_rank =
		kl_rendezvous_rank(vm->name.name, node->self.vm);
	const kl_member_t *member;
	int rank = 0;

	CK_STAILQ_FOREACH(member, &members->list, link) {
		if (!member->registered || member->leaving ||
		    !strcmp(member->name.name, vm->name.name))
			continue;
		rank += kl_rendezvous_rank(vm->name.name, member->name.name) >
			own_rank;
		if (rank == CHECKERS)
			return -1;
	}
	return rank;
}

/*
 * Whether at least half of the VMs that should have sent a message did so:
 * those that sent one lately, and those that did not answer a hello.
 */
static bool is_in_touch(const kl_member_state_t *state, uint64_t now)
{
	uint32_t heard = 0, silent = 0;
	const kl_vm_entry_t *vm;

	CK_STAILQ_FOREACH(vm, &state->list, link) {
		if (!vm->member.registered ||
		    !strcmp(vm->name.name, state->self))
			continue;
		if (now - vm->member.last_message_us < KL_IN_TOUCH_US)
			heard++;
		else if (leaves_hellos_unanswered(vm))
			silent++;
	}
	return heard >= silent;
}
