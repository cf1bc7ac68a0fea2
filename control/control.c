/* The table of controllers, and the loop that runs them for an event. */
#include <ck_pr.h>
#include <string.h>

#include "control/controllers.h"
#include "control/node.h"

#define EVENT(kind) (1u << KL_EVENT_##kind)
#define SECTION(section) (1u << KL_SECTION_##section)

const kl_controller_t kl_controllers[KL_CONTROLLER_COUNT] = {
	[KL_CONTROLLER_SYNC] = { "sync",
				 EVENT(TICK) | EVENT(PEER) | EVENT(PLATFORM), 0,
				 KL_SECTION_OBJECTS, kl_sync_create,
				 kl_sync_step, kl_sync_destroy },
	[KL_CONTROLLER_CONFIG] = { "config", 0, SECTION(OBJECTS),
				   KL_SECTION_CONFIG, kl_config_create,
				   kl_config_step, kl_config_destroy },
	[KL_CONTROLLER_MEMBER] = { "member",
				   EVENT(TICK) | EVENT(PEER) | EVENT(STOP),
				   SECTION(OBJECTS) | SECTION(CONFIG),
				   KL_SECTION_MEMBERS, kl_member_create,
				   kl_member_step, kl_member_destroy },
	[KL_CONTROLLER_TERMS] = { "terms", 0, SECTION(OBJECTS),
				  KL_SECTION_TERMS, kl_terms_create,
				  kl_terms_step, kl_terms_destroy },
	[KL_CONTROLLER_HEALTH] = { "health",
				   EVENT(TICK) | EVENT(DATABASE) |
					   EVENT(REQUEST_WAITING) |
					   EVENT(SERVICE_USED),
				   SECTION(CONFIG), KL_SECTION_HEALTH,
				   kl_health_create, kl_health_step,
				   kl_health_destroy },
	[KL_CONTROLLER_FAILOVER] = { "failover",
				     EVENT(TICK) | EVENT(PEER) |
					     EVENT(DATABASE),
				     SECTION(TERMS), -1, kl_failover_create,
				     kl_failover_step, kl_failover_destroy },
	[KL_CONTROLLER_PROMOTE] = { "promote",
				    EVENT(TICK) | EVENT(PEER) |
					    EVENT(DATABASE) | EVENT(PLATFORM) |
					    EVENT(PASSIVE_CHECK),
				    SECTION(TERMS), -1, kl_promote_create,
				    kl_promote_step, kl_promote_destroy },
	[KL_CONTROLLER_SHARE] = { "share",
				  EVENT(TICK) | EVENT(PEER) |
					  EVENT(REQUEST_WAITING) |
					  EVENT(PLATFORM) | EVENT(STOP),
				  SECTION(CONFIG) | SECTION(OBJECTS),
				  KL_SECTION_BUCKETS, kl_share_create,
				  kl_share_step, kl_share_destroy },
	[KL_CONTROLLER_DRAIN] = { "drain", EVENT(TICK) | EVENT(STOP),
				  SECTION(CONFIG), KL_SECTION_LIFECYCLE,
				  kl_drain_create, kl_drain_step,
				  kl_drain_destroy },
	[KL_CONTROLLER_POSITION] = { "position", EVENT(PEER) | EVENT(POSITION),
				     0, KL_SECTION_POSITIONS,
				     kl_position_create, kl_position_step,
				     kl_position_destroy },
	[KL_CONTROLLER_PERMIT] = { "permit",
				   EVENT(TICK) | EVENT(PEER) | EVENT(PERMITS),
				   SECTION(CONFIG), KL_SECTION_PERMITS,
				   kl_permit_create, kl_permit_step,
				   kl_permit_destroy },
};

void kl_tuning_default(kl_tuning_t *tuning)
{
	tuning->confirm_interval_us = 400 * KL_MS;
	tuning->hello_interval_us = 400 * KL_MS;
	tuning->lease_duration_us = 2 * KL_SEC;
	tuning->probe_interval_us = 250 * KL_MS;
	tuning->position_interval_us = 20 * KL_MS;
	tuning->suspect_after_us = 750 * KL_MS;
	tuning->slot_lease_us = 600 * KL_SEC;
	tuning->catch_up_timeout_us = 2 * KL_SEC;
	tuning->slot_count = 24;
	tuning->feed_count = 1;
	tuning->watchers_per_domain = 2;
}

uint64_t kl_fencing_delay_us(const kl_tuning_t *tuning)
{
	/* Adds a tenth, since two VMs' clocks may run at unequal speeds. */
	return tuning->lease_duration_us + tuning->lease_duration_us / 10;
}

int kl_node_start(kl_node_t *node)
{
	int error = 0;

	node->board = kl_board_new();
	if (!node->board)
		return -KL_E_NOMEM;
	node->reader = kl_reader_new(node->board);
	if (!node->reader)
		return -KL_E_NOMEM;
	node->started_us = kl_node_now(node);
	for (int i = 0; i < KL_CONTROLLER_COUNT && !error; i++)
		error = kl_controllers[i].create(node);
	return error;
}

void kl_node_step(kl_node_t *node, const kl_event_t *event)
{
	uint64_t published = 0;

	kl_read_begin(node->reader);
	for (int i = 0; i < KL_CONTROLLER_COUNT; i++) {
		const kl_controller_t *controller = &kl_controllers[i];

		if (!(controller->wake_events & (1u << event->kind)) &&
		    !(controller->wake_sections & published))
			continue;
		node->published_sections = 0;
		controller->step(node, event);
		published |= node->published_sections;
	}
	kl_read_end(node->reader);
	kl_board_reclaim(node->reader);
}

void kl_node_stop(kl_node_t *node)
{
	for (int i = 0; i < KL_CONTROLLER_COUNT; i++)
		if (node->state[i])
			kl_controllers[i].destroy(node);
	kl_board_free(node->board);
	node->board = NULL;
}

void kl_node_publish(kl_node_t *node, kl_section_t section,
		     kl_snapshot_t *snapshot)
{
	kl_board_publish(node->reader, section, snapshot);
	node->published_sections |= 1u << section;
}

const void *kl_node_get(const kl_node_t *node, kl_section_t section)
{
	return kl_board_get(node->reader, section);
}

uint64_t kl_node_now(const kl_node_t *node)
{
	return node->ops->now_us(node->ops_context);
}

uint32_t kl_node_random(const kl_node_t *node)
{
	return node->ops->random(node->ops_context);
}

bool kl_lease_valid(const kl_confirmation_t *confirmation,
		    const kl_terms_t *terms, uint64_t now_us, uint64_t lease_us)
{
	return confirmation && terms &&
	       terms->revision >= confirmation->revision &&
	       now_us < confirmation->confirmed_us + lease_us;
}
