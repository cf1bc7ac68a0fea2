/* Encodes and decodes messages between VMs as ONC RPC calls in XDR. */
#include <rpc/rpc.h>
#include <stdlib.h>
#include <string.h>

#include "kumquatloft/kind.h"
#include "peer/object_codec.h"
#include "peer/peer_codec.h"
#include "peer/peer_era.h"
#include "peer/peer_wire.h"
#include "peer/usage_codec.h"

typedef struct kind_codec {
	void (*encode)(const kl_peer_message_t *message, kl_wire_message *wire);
	void (*decode)(kl_peer_message_t *message, const kl_wire_message *wire);
} kind_codec_t;

static void encode_hello(const kl_peer_message_t *message,
			 kl_wire_message *wire);
static void decode_hello(kl_peer_message_t *message,
			 const kl_wire_message *wire);
static void encode_suspect(const kl_peer_message_t *message,
			   kl_wire_message *wire);
static void decode_suspect(kl_peer_message_t *message,
			   const kl_wire_message *wire);
static void encode_loan_request(const kl_peer_message_t *message,
				kl_wire_message *wire);
static void decode_loan_request(kl_peer_message_t *message,
				const kl_wire_message *wire);
static void encode_loan_grant(const kl_peer_message_t *message,
			      kl_wire_message *wire);
static void decode_loan_grant(kl_peer_message_t *message,
			      const kl_wire_message *wire);
static void encode_positions(const kl_peer_message_t *message,
			     kl_wire_message *wire);
static void decode_positions(kl_peer_message_t *message,
			     const kl_wire_message *wire);
static void encode_loads(const kl_peer_message_t *message,
			 kl_wire_message *wire);
static void decode_loads(kl_peer_message_t *message,
			 const kl_wire_message *wire);
static int process_rpc_call(XDR *xdr, kl_wire_message *wire);
static void encode_extension(XDR *xdr, const kl_peer_hello_t *hello);
static void decode_extension(XDR *xdr, kl_peer_hello_t *hello);

static const kind_codec_t kind_codecs[KL_PEER_KIND_COUNT] = {
	[KL_PEER_HELLO] = { encode_hello, decode_hello },
	[KL_PEER_FETCH] = { kl_fetch_encode, kl_fetch_decode },
	[KL_PEER_DELTA] = { kl_delta_encode, kl_delta_decode },
	[KL_PEER_SUSPECT] = { encode_suspect, decode_suspect },
	[KL_PEER_LOAN_REQUEST] = { encode_loan_request, decode_loan_request },
	[KL_PEER_LOAN_GRANT] = { encode_loan_grant, decode_loan_grant },
	/* Both kinds have the same encoding. */
	[KL_PEER_POSITION_QUERY] = { encode_positions, decode_positions },
	[KL_PEER_POSITIONS] = { encode_positions, decode_positions },
	[KL_PEER_USAGE] = { kl_usage_encode, kl_usage_decode },
	[KL_PEER_LOAD_QUERY] = { encode_loads, decode_loads },
	[KL_PEER_LOADS] = { encode_loads, decode_loads },
	[KL_PEER_PART_FETCH] = { kl_part_fetch_encode, kl_part_fetch_decode },
	[KL_PEER_PART] = { kl_part_encode, kl_part_decode },
};

int kl_peer_encode(const kl_peer_message_t *message, const char *host,
		   uint16_t port, char *buffer, size_t size)
{
	kl_peer_message_t plain = *message;
	kl_wire_message wire;
	int length = -KL_E_INVALID;
	XDR xdr;

	if (!kind_codecs[message->kind].encode)
		return -KL_E_INVALID;
	memset(&wire, 0, sizeof(wire));
	wire.from = (char *)message->from;
	wire.subject = (char *)message->subject;
	wire.host = (char *)host;
	wire.port = port;
	wire.body.kind = message->kind;
	kl_peer_era_remove(&plain);
	kind_codecs[message->kind].encode(&plain, &wire);
	xdrmem_create(&xdr, buffer, (u_int)size, XDR_ENCODE);
	if (!process_rpc_call(&xdr, &wire)) {
		if (message->kind == KL_PEER_HELLO)
			encode_extension(&xdr, &plain.hello);
		kl_peer_era_encode(&xdr, message);
		length = (int)xdr_getpos(&xdr);
	}
	xdr_destroy(&xdr);
	if (kl_peer_has_objects(message->kind))
		kl_objects_encode_end(&wire);
	if (message->kind == KL_PEER_POSITION_QUERY ||
	    message->kind == KL_PEER_POSITIONS)
		free(wire.body.kl_wire_body_u.positions.entries.entries_val);
	if (message->kind == KL_PEER_USAGE)
		kl_usage_encode_end(&wire);
	if (message->kind == KL_PEER_LOAD_QUERY ||
	    message->kind == KL_PEER_LOADS)
		free(wire.body.kl_wire_body_u.loads.entries.entries_val);
	return length;
}

int kl_peer_decode(kl_peer_message_t *message, char *buffer, size_t length)
{
	kl_wire_message wire;
	int error = -KL_E_PROTOCOL;
	XDR xdr;

	memset(message, 0, sizeof(*message));
	CK_STAILQ_INIT(&message->delta.objects);
	memset(&wire, 0, sizeof(wire));
	xdrmem_create(&xdr, buffer, (u_int)length, XDR_DECODE);
	if (process_rpc_call(&xdr, &wire) ||
	    wire.body.kind >= KL_PEER_KIND_COUNT ||
	    !kind_codecs[wire.body.kind].decode)
		goto out;
	message->kind = wire.body.kind;
	kl_name_copy(message->from, wire.from);
	kl_name_copy(message->subject, wire.subject);
	strncpy(message->hello.host, wire.host, KL_HOST_MAX - 1);
	message->hello.port = (uint16_t)wire.port;
	kind_codecs[message->kind].decode(message, &wire);
	if (message->kind == KL_PEER_HELLO)
		decode_extension(&xdr, &message->hello);
	if (xdr_getpos(&xdr) < length)
		error = kl_peer_era_decode(&xdr, message, length);
	else
		error = 0;
out:
	if (error)
		kl_peer_message_clear(message);
	xdr_destroy(&xdr);
	xdr_free((xdrproc_t)xdr_kl_wire_message, (char *)&wire);
	return error;
}

void kl_peer_message_clear(kl_peer_message_t *message)
{
	kl_object_list_clear(&message->delta.objects);
}

/* Encodes or decodes, by xdr->x_op, the RPC call header and its argument. */
static int process_rpc_call(XDR *xdr, kl_wire_message *wire)
{
	struct rpc_msg header;

	memset(&header, 0, sizeof(header));
	header.rm_direction = CALL;
	header.rm_call.cb_rpcvers = RPC_MSG_VERSION;
	header.rm_call.cb_prog = KL_PEER_PROGRAM;
	header.rm_call.cb_vers = KL_PEER_VERSION;
	header.rm_call.cb_proc = KL_PEER_TELL;
	header.rm_call.cb_cred = _null_auth;
	header.rm_call.cb_verf = _null_auth;
	if (xdr->x_op == XDR_DECODE) {
		header.rm_call.cb_cred.oa_base = calloc(1, MAX_AUTH_BYTES);
		header.rm_call.cb_verf.oa_base = calloc(1, MAX_AUTH_BYTES);
	}
	bool ok = xdr_callmsg(xdr, &header) &&
		  header.rm_call.cb_prog == KL_PEER_PROGRAM &&
		  header.rm_call.cb_vers == KL_PEER_VERSION &&
		  header.rm_call.cb_proc == KL_PEER_TELL &&
		  xdr_kl_wire_message(xdr, wire);
	if (xdr->x_op == XDR_DECODE) {
		free(header.rm_call.cb_cred.oa_base);
		free(header.rm_call.cb_verf.oa_base);
	}
	return ok ? 0 : -KL_E_PROTOCOL;
}

static void encode_hello(const kl_peer_message_t *message,
			 kl_wire_message *wire)
{
	kl_wire_hello *out = &wire->body.kl_wire_body_u.hello;
	const kl_peer_hello_t *hello = &message->hello;

	out->incarnation = hello->incarnation;
	out->domain = (char *)hello->domain;
	out->wants_answer = hello->wants_answer;
	out->ping_us = hello->sent_us;
	out->echo_us = hello->echo_us;
	out->revisions.revisions_len = KL_FEED_COUNT;
	out->revisions.revisions_val = (u_quad_t *)hello->feed_revisions;
	out->age_us = hello->confirmation_age_us;
}

static void decode_hello(kl_peer_message_t *message,
			 const kl_wire_message *wire)
{
	const kl_wire_hello *in = &wire->body.kl_wire_body_u.hello;
	kl_peer_hello_t *hello = &message->hello;

	hello->incarnation = in->incarnation;
	kl_name_copy(hello->domain, in->domain);
	hello->wants_answer = in->wants_answer;
	hello->sent_us = in->ping_us;
	hello->echo_us = in->echo_us;
	for (u_int i = 0; i < in->revisions.revisions_len && i < KL_FEED_COUNT;
	     i++)
		hello->feed_revisions[i] = in->revisions.revisions_val[i];
	hello->confirmation_age_us = in->age_us;
}

static void encode_extension(XDR *xdr, const kl_peer_hello_t *hello)
{
	kl_wire_hello_extension out = { .store_revision = hello->store_revision,
					.store_revision_age_us =
						hello->store_revision_age_us };
	u_int end = xdr_getpos(xdr);

	/* Without room for it the hello goes alone. */
	if (!xdr_kl_wire_hello_extension(xdr, &out))
		xdr_setpos(xdr, end);
}

static void decode_extension(XDR *xdr, kl_peer_hello_t *hello)
{
	kl_wire_hello_extension in = { 0 };

	if (!xdr_kl_wire_hello_extension(xdr, &in))
		return;
	hello->store_revision = in.store_revision;
	hello->store_revision_age_us = in.store_revision_age_us;
}

static void encode_suspect(const kl_peer_message_t *message,
			   kl_wire_message *wire)
{
	wire->body.kl_wire_body_u.term = message->term;
}

static void decode_suspect(kl_peer_message_t *message,
			   const kl_wire_message *wire)
{
	message->term = wire->body.kl_wire_body_u.term;
}

static void encode_loan_request(const kl_peer_message_t *message,
				kl_wire_message *wire)
{
	kl_wire_ask *out = &wire->body.kl_wire_body_u.ask;

	out->asked_us = message->loan_request.sent_us;
	out->want = message->loan_request.wanted;
	out->seen = message->loan_request.seen_sequence;
	out->unspent = message->loan_request.unspent;
}

static void decode_loan_request(kl_peer_message_t *message,
				const kl_wire_message *wire)
{
	const kl_wire_ask *in = &wire->body.kl_wire_body_u.ask;

	message->loan_request.sent_us = in->asked_us;
	message->loan_request.wanted = in->want;
	message->loan_request.seen_sequence = in->seen;
	message->loan_request.unspent = in->unspent;
}

static void encode_loan_grant(const kl_peer_message_t *message,
			      kl_wire_message *wire)
{
	kl_wire_grant *out = &wire->body.kl_wire_body_u.grant;

	out->asked_us = message->loan_grant.request_sent_us;
	out->sequence = message->loan_grant.sequence;
	out->tokens = message->loan_grant.tokens;
	out->duration_us = message->loan_grant.valid_for_us;
}

static void decode_loan_grant(kl_peer_message_t *message,
			      const kl_wire_message *wire)
{
	const kl_wire_grant *in = &wire->body.kl_wire_body_u.grant;

	message->loan_grant.request_sent_us = in->asked_us;
	message->loan_grant.sequence = in->sequence;
	message->loan_grant.tokens = in->tokens;
	message->loan_grant.valid_for_us = in->duration_us;
}

static void encode_positions(const kl_peer_message_t *message,
			     kl_wire_message *wire)
{
	kl_wire_positions *out = &wire->body.kl_wire_body_u.positions;
	const kl_peer_positions_t *positions = &message->positions;

	out->asked_us = positions->query_sent_us;
	out->entries.entries_val =
		calloc(KL_PEER_POSITIONS_MAX, sizeof(kl_wire_position));
	if (!out->entries.entries_val)
		return;
	for (uint32_t i = 0; i < positions->count; i++) {
		const kl_peer_position_t *position = &positions->list[i];
		kl_wire_position *entry = &out->entries.entries_val[i];

		entry->service = (char *)position->service;
		entry->record_version = position->group_change;
		entry->term = position->term;
		entry->number = position->number;
		entry->age_us = position->age_us;
	}
	out->entries.entries_len = positions->count;
}

static void decode_positions(kl_peer_message_t *message,
			     const kl_wire_message *wire)
{
	const kl_wire_positions *in = &wire->body.kl_wire_body_u.positions;
	kl_peer_positions_t *positions = &message->positions;

	positions->query_sent_us = in->asked_us;
	for (u_int i = 0; i < in->entries.entries_len; i++) {
		const kl_wire_position *entry = &in->entries.entries_val[i];
		kl_peer_position_t *position =
			&positions->list[positions->count++];

		kl_name_copy(position->service, entry->service);
		position->group_change = entry->record_version;
		position->term = entry->term;
		position->number = entry->number;
		position->age_us = entry->age_us;
	}
}

static void encode_loads(const kl_peer_message_t *message,
			 kl_wire_message *wire)
{
	kl_wire_loads *out = &wire->body.kl_wire_body_u.loads;
	const kl_peer_loads_t *loads = &message->loads;

	out->asked_us = loads->query_sent_us;
	out->entries.entries_val =
		calloc(KL_PEER_LOADS_MAX, sizeof(kl_wire_load));
	if (!out->entries.entries_val)
		return;
	for (uint32_t i = 0; i < loads->count; i++) {
		const kl_peer_load_t *load = &loads->list[i];
		kl_wire_load *entry = &out->entries.entries_val[i];

		entry->service = (char *)load->service;
		entry->upstream = (char *)load->upstream;
		entry->wait_us = load->wait_us;
		entry->running = load->running;
		entry->age_us = load->age_us;
	}
	out->entries.entries_len = loads->count;
}

static void decode_loads(kl_peer_message_t *message,
			 const kl_wire_message *wire)
{
	const kl_wire_loads *in = &wire->body.kl_wire_body_u.loads;
	kl_peer_loads_t *loads = &message->loads;

	loads->query_sent_us = in->asked_us;
	for (u_int i = 0; i < in->entries.entries_len; i++) {
		const kl_wire_load *entry = &in->entries.entries_val[i];
		kl_peer_load_t *load = &loads->list[loads->count++];

		kl_name_copy(load->service, entry->service);
		kl_name_copy(load->upstream, entry->upstream);
		load->wait_us = entry->wait_us;
		load->running = entry->running;
		load->age_us = entry->age_us;
	}
}
