/* Encodes and decodes counts of usage and their answers. */
#include <rpc/rpc.h>
#include <stdlib.h>

#include "peer/usage_codec.h"

static kl_wire_usage_counts *usage_counts(kl_wire_message *wire);

/* The counts in a message that is no answer. */
static kl_wire_usage_counts *usage_counts(kl_wire_message *wire)
{
	return &wire->body.kl_wire_body_u.usage.body.kl_wire_usage_body_u
			.counts;
}

void kl_usage_encode(const kl_peer_message_t *message, kl_wire_message *wire)
{
	const kl_peer_usage_t *usage = &message->usage;
	kl_wire_usage *out = &wire->body.kl_wire_body_u.usage;
	kl_wire_usage_answer *answer = &out->body.kl_wire_usage_body_u.answer;
	kl_wire_usage_counts *counts = usage_counts(wire);

	out->sequence = usage->sequence;
	out->incarnation = usage->incarnation;
	out->body.is_answer = usage->is_answer;
	if (usage->is_answer) {
		answer->received = usage->received;
		answer->clock_us = usage->clock_us;
		answer->correction_us = usage->correction_us;
		return;
	}
	counts->window = usage->window;
	counts->clock_us = usage->clock_us;
	counts->entries.entries_val =
		calloc(KL_PEER_USAGE_MAX, sizeof(kl_wire_usage_count));
	if (!counts->entries.entries_val)
		return;
	for (uint32_t i = 0; i < usage->count; i++) {
		kl_wire_usage_count *entry = &counts->entries.entries_val[i];

		entry->workspace = (char *)usage->list[i].workspace;
		entry->operations = usage->list[i].operations;
	}
	counts->entries.entries_len = usage->count;
}

void kl_usage_encode_end(kl_wire_message *wire)
{
	if (!wire->body.kl_wire_body_u.usage.body.is_answer)
		free(usage_counts(wire)->entries.entries_val);
}

void kl_usage_decode(kl_peer_message_t *message, const kl_wire_message *wire)
{
	kl_peer_usage_t *usage = &message->usage;
	const kl_wire_usage *in = &wire->body.kl_wire_body_u.usage;
	const kl_wire_usage_answer *answer =
		&in->body.kl_wire_usage_body_u.answer;
	const kl_wire_usage_counts *counts =
		&in->body.kl_wire_usage_body_u.counts;

	usage->sequence = in->sequence;
	usage->incarnation = in->incarnation;
	usage->is_answer = in->body.is_answer;
	if (usage->is_answer) {
		usage->received = answer->received;
		usage->clock_us = answer->clock_us;
		usage->correction_us = answer->correction_us;
		return;
	}
	usage->window = counts->window;
	usage->clock_us = counts->clock_us;
	for (u_int i = 0; i < counts->entries.entries_len; i++) {
		const kl_wire_usage_count *entry =
			&counts->entries.entries_val[i];
		kl_peer_usage_count_t *count = &usage->list[usage->count++];

		kl_name_copy(count->workspace, entry->workspace);
		count->operations = entry->operations;
	}
}
