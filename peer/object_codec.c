#include <stdlib.h>

#include "control/store_era.h"
#include "peer/object_codec.h"

_Static_assert(KL_WIRE_BODY == KL_OBJECT_WHOLE_MAX,
	       "an object that is not sent in parts fits its encoding");

static void encode_fetch_body(kl_wire_fetch *out, const kl_peer_fetch_t *fetch);
static void decode_fetch_body(kl_peer_fetch_t *fetch, const kl_wire_fetch *in);
static void encode_delta_body(const kl_peer_delta_t *delta, kl_wire_delta *out);
static void decode_delta_body(kl_peer_delta_t *delta, const kl_wire_delta *in);

static void encode_fetch_body(kl_wire_fetch *out, const kl_peer_fetch_t *fetch)
{
	out->feed = fetch->feed;
	out->since = fetch->since_revision;
	out->skip = fetch->skip;
}

static void decode_fetch_body(kl_peer_fetch_t *fetch, const kl_wire_fetch *in)
{
	fetch->feed = in->feed < KL_FEED_COUNT ? in->feed : KL_FEED_TERMS;
	fetch->since_revision = in->since;
	fetch->skip = in->skip;
}

void kl_fetch_encode(const kl_peer_message_t *message, kl_wire_message *wire)
{
	encode_fetch_body(&wire->body.kl_wire_body_u.fetch, &message->fetch);
}

void kl_fetch_decode(kl_peer_message_t *message, const kl_wire_message *wire)
{
	decode_fetch_body(&message->fetch, &wire->body.kl_wire_body_u.fetch);
}

void kl_delta_encode(const kl_peer_message_t *message, kl_wire_message *wire)
{
	encode_delta_body(&message->delta, &wire->body.kl_wire_body_u.delta);
}

void kl_delta_decode(kl_peer_message_t *message, const kl_wire_message *wire)
{
	decode_delta_body(&message->delta, &wire->body.kl_wire_body_u.delta);
}

static void encode_delta_body(const kl_peer_delta_t *delta, kl_wire_delta *out)
{
	const kl_object_t *object;
	u_int count = 0;

	encode_fetch_body(&out->asked, &delta->fetch);
	out->revision = delta->revision;
	out->more = delta->has_more;
	out->whole = delta->is_full_list;
	CK_STAILQ_FOREACH(object, &delta->objects, link)
		count++;
	out->objects.objects_val = calloc(count + 1, sizeof(kl_wire_object));
	if (!out->objects.objects_val)
		return;
	CK_STAILQ_FOREACH(object, &delta->objects, link) {
		kl_wire_object *entry =
			&out->objects.objects_val[out->objects.objects_len++];

		entry->name = (char *)object->name.name;
		entry->changed = kl_version_revision(object->version);
		entry->body = object->body;
	}
}

static void decode_delta_body(kl_peer_delta_t *delta, const kl_wire_delta *in)
{
	decode_fetch_body(&delta->fetch, &in->asked);
	delta->revision = in->revision;
	delta->has_more = in->more;
	delta->is_full_list = in->whole;
	for (u_int i = 0; i < in->objects.objects_len; i++) {
		const kl_wire_object *entry = &in->objects.objects_val[i];
		kl_object_t *object =
			kl_object_new(entry->name, entry->changed, entry->body);

		if (object)
			CK_STAILQ_INSERT_TAIL(&delta->objects, object, link);
	}
}

void kl_part_fetch_encode(const kl_peer_message_t *message,
			  kl_wire_message *wire)
{
	kl_wire_part_fetch *out = &wire->body.kl_wire_body_u.part_fetch;

	encode_fetch_body(&out->asked, &message->fetch);
	out->offset = message->part.offset;
}

void kl_part_fetch_decode(kl_peer_message_t *message,
			  const kl_wire_message *wire)
{
	const kl_wire_part_fetch *in = &wire->body.kl_wire_body_u.part_fetch;

	decode_fetch_body(&message->fetch, &in->asked);
	message->part.offset = in->offset;
}

void kl_part_encode(const kl_peer_message_t *message, kl_wire_message *wire)
{
	kl_wire_part *out = &wire->body.kl_wire_body_u.part;

	encode_delta_body(&message->delta, &out->delta);
	out->offset = message->part.offset;
	out->size = message->part.size;
}

void kl_part_decode(kl_peer_message_t *message, const kl_wire_message *wire)
{
	const kl_wire_part *in = &wire->body.kl_wire_body_u.part;

	decode_delta_body(&message->delta, &in->delta);
	message->part.offset = in->offset;
	message->part.size = in->size;
}

void kl_objects_encode_end(kl_wire_message *wire)
{
	if (wire->body.kind == KL_PEER_PART)
		free(wire->body.kl_wire_body_u.part.delta.objects.objects_val);
	else
		free(wire->body.kl_wire_body_u.delta.objects.objects_val);
}
