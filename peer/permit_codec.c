/* Encodes and decodes requests and grants of permits. */
#include <stdlib.h>

#include "peer/permit_codec.h"

void kl_permit_requests_encode(const kl_peer_message_t *message,
			       kl_wire_message *wire)
{
	kl_wire_permit_requests *out =
		&wire->body.kl_wire_body_u.permit_requests;
	const kl_peer_permit_requests_t *requests = &message->permit_requests;

	out->asked_us = requests->sent_us;
	out->entries.entries_val =
		calloc(KL_PEER_PERMITS_MAX, sizeof(kl_wire_permit_request));
	if (!out->entries.entries_val)
		return;
	for (uint32_t i = 0; i < requests->count; i++) {
		const kl_permit_request_t *request = &requests->list[i];
		kl_wire_permit_request *entry = &out->entries.entries_val[i];

		entry->account = (char *)request->account;
		entry->held = request->held;
		entry->wanted.wanted_len = KL_PERMIT_LEVELS;
		entry->wanted.wanted_val = (u_int *)request->wanted;
		entry->seen = request->seen_sequence;
		entry->answered = request->answered;
		entry->latency_us = request->latency_sum_us;
		entry->wants_answer = request->wants_answer;
		entry->contended = request->contended;
	}
	out->entries.entries_len = requests->count;
}

void kl_permit_requests_decode(kl_peer_message_t *message,
			       const kl_wire_message *wire)
{
	const kl_wire_permit_requests *in =
		&wire->body.kl_wire_body_u.permit_requests;
	kl_peer_permit_requests_t *requests = &message->permit_requests;

	requests->sent_us = in->asked_us;
	for (u_int i = 0; i < in->entries.entries_len; i++) {
		const kl_wire_permit_request *entry =
			&in->entries.entries_val[i];
		kl_permit_request_t *request =
			&requests->list[requests->count++];

		kl_name_copy(request->account, entry->account);
		request->held = entry->held;
		for (u_int k = 0; k < entry->wanted.wanted_len; k++)
			request->wanted[k] = entry->wanted.wanted_val[k];
		request->seen_sequence = entry->seen;
		request->answered = entry->answered;
		request->latency_sum_us = entry->latency_us;
		request->wants_answer = entry->wants_answer;
		request->contended = entry->contended;
	}
}

void kl_permit_grants_encode(const kl_peer_message_t *message,
			     kl_wire_message *wire)
{
	kl_wire_permit_grants *out = &wire->body.kl_wire_body_u.permit_grants;
	const kl_peer_permit_grants_t *grants = &message->permit_grants;

	out->sent_us = grants->sent_us;
	out->entries.entries_val =
		calloc(KL_PEER_PERMITS_MAX, sizeof(kl_wire_permit_grant));
	if (!out->entries.entries_val)
		return;
	for (uint32_t i = 0; i < grants->count; i++) {
		const kl_permit_grant_t *grant = &grants->list[i];
		kl_wire_permit_grant *entry = &out->entries.entries_val[i];

		entry->account = (char *)grant->account;
		entry->sequence = grant->sequence;
		entry->asked_us = grant->request_sent_us;
		entry->permits = grant->permits;
		entry->contended = grant->contended;
		entry->refresh_us = grant->refresh_us;
	}
	out->entries.entries_len = grants->count;
}

void kl_permit_grants_decode(kl_peer_message_t *message,
			     const kl_wire_message *wire)
{
	const kl_wire_permit_grants *in =
		&wire->body.kl_wire_body_u.permit_grants;
	kl_peer_permit_grants_t *grants = &message->permit_grants;

	grants->sent_us = in->sent_us;
	for (u_int i = 0; i < in->entries.entries_len; i++) {
		const kl_wire_permit_grant *entry = &in->entries.entries_val[i];
		kl_permit_grant_t *grant = &grants->list[grants->count++];

		kl_name_copy(grant->account, entry->account);
		grant->sequence = entry->sequence;
		grant->request_sent_us = entry->asked_us;
		grant->permits = entry->permits;
		grant->contended = entry->contended;
		grant->refresh_us = entry->refresh_us;
	}
}

void kl_permits_encode_free(kl_wire_message *wire)
{
	if (wire->body.kind == KL_PEER_PERMIT_REQUEST)
		free(wire->body.kl_wire_body_u.permit_requests.entries
			     .entries_val);
	else if (wire->body.kind == KL_PEER_PERMIT_GRANT)
		free(wire->body.kl_wire_body_u.permit_grants.entries
			     .entries_val);
}
