#include <stdlib.h>
#include <string.h>

#include "kumquatloft/kind.h"
#include "peer/peer_era.h"

/* The versions of a message other than those of its objects. */
#define FIXED_VERSIONS_MAX (1 + KL_FEED_COUNT)

static uint32_t fixed_versions(kl_peer_message_t *message,
			       uint64_t *versions[FIXED_VERSIONS_MAX]);
static int add_version(const kl_wire_store_era *in, uint32_t i,
		       uint64_t *version);
static int add_versions(kl_peer_message_t *message,
			const kl_wire_store_era *in);
static void encode_generations(XDR *xdr, const kl_peer_message_t *message);
static int decode_generations(XDR *xdr, kl_peer_message_t *message,
			      size_t length);

void kl_peer_era_remove(kl_peer_message_t *message)
{
	uint64_t *versions[FIXED_VERSIONS_MAX];
	uint32_t count = fixed_versions(message, versions);

	for (uint32_t i = 0; i < count; i++)
		*versions[i] = kl_version_revision(*versions[i]);
}

/* Finds the versions of a message, in the order of their encoding. */
static uint32_t fixed_versions(kl_peer_message_t *message,
			       uint64_t *versions[FIXED_VERSIONS_MAX])
{
	uint32_t count = 0;

	switch (message->kind) {
	case KL_PEER_HELLO:
		versions[count++] = &message->hello.store_revision;
		for (int i = 0; i < KL_FEED_COUNT; i++)
			versions[count++] = &message->hello.feed_revisions[i];
		break;
	case KL_PEER_FETCH:
	case KL_PEER_PART_FETCH:
		versions[count++] = &message->fetch.since_revision;
		break;
	case KL_PEER_DELTA:
	case KL_PEER_PART:
		versions[count++] = &message->delta.fetch.since_revision;
		versions[count++] = &message->delta.revision;
		break;
	default:
		break;
	}
	return count;
}

void kl_peer_era_encode(XDR *xdr, const kl_peer_message_t *message)
{
	kl_peer_message_t copy = *message;
	uint64_t *fixed[FIXED_VERSIONS_MAX];
	u_quad_t versions[KL_WIRE_VERSIONS];
	kl_wire_store_era out = { .era = message->store_era };
	uint32_t count = fixed_versions(&copy, fixed);
	u_int end = xdr_getpos(xdr);
	const kl_object_t *object;

	if (!message->store_era || !count)
		return;
	for (uint32_t i = 0; i < count; i++)
		versions[i] = *fixed[i];
	if (kl_peer_has_objects(message->kind)) {
		CK_STAILQ_FOREACH(object, &message->delta.objects, link) {
			if (count == KL_WIRE_VERSIONS)
				return;
			versions[count++] = object->version;
		}
	}
	out.first_revisions.first_revisions_len = KL_STORE_ERAS;
	out.first_revisions.first_revisions_val =
		(u_quad_t *)copy.first_revisions;
	out.versions.versions_len = count;
	out.versions.versions_val = versions;
	if (!xdr_kl_wire_store_era(xdr, &out))
		xdr_setpos(xdr, end);
	else if (kl_peer_has_objects(message->kind))
		encode_generations(xdr, message);
}

/* Nothing is sent if no object has one. */
static void encode_generations(XDR *xdr, const kl_peer_message_t *message)
{
	u_quad_t generations[KL_WIRE_OBJECTS];
	kl_wire_generations out = { .generations = { 0, generations } };
	u_int end = xdr_getpos(xdr);
	bool has_any = false;
	const kl_object_t *object;

	CK_STAILQ_FOREACH(object, &message->delta.objects, link) {
		if (out.generations.generations_len == KL_WIRE_OBJECTS)
			return;
		has_any |= object->generation != 0;
		generations[out.generations.generations_len++] =
			object->generation;
	}
	if (has_any && !xdr_kl_wire_generations(xdr, &out))
		xdr_setpos(xdr, end);
}

int kl_peer_era_decode(XDR *xdr, kl_peer_message_t *message, size_t length)
{
	kl_wire_store_era in;
	int error = -KL_E_PROTOCOL;

	memset(&in, 0, sizeof(in));
	if (!xdr_kl_wire_store_era(xdr, &in) || !in.era || in.era > KL_ERA_MAX)
		goto out;
	error = add_versions(message, &in);
	if (error)
		goto out;
	message->store_era = in.era;
	for (u_int i = 0;
	     i < in.first_revisions.first_revisions_len && i < KL_STORE_ERAS;
	     i++)
		message->first_revisions[i] =
			in.first_revisions.first_revisions_val[i];
	if (kl_peer_has_objects(message->kind))
		error = decode_generations(xdr, message, length);
out:
	xdr_free((xdrproc_t)xdr_kl_wire_store_era, (char *)&in);
	return error;
}

static int decode_generations(XDR *xdr, kl_peer_message_t *message,
			      size_t length)
{
	kl_wire_generations in;
	int error = -KL_E_PROTOCOL;
	kl_object_t *object;
	u_int i = 0;

	memset(&in, 0, sizeof(in));
	if (xdr_getpos(xdr) >= length)
		return 0;
	if (!xdr_kl_wire_generations(xdr, &in))
		goto out;
	CK_STAILQ_FOREACH(object, &message->delta.objects, link) {
		if (i == in.generations.generations_len)
			goto out;
		object->generation = in.generations.generations_val[i++];
	}
	error = 0;
out:
	xdr_free((xdrproc_t)xdr_kl_wire_generations, (char *)&in);
	return error;
}

static int add_versions(kl_peer_message_t *message, const kl_wire_store_era *in)
{
	uint64_t *fixed[FIXED_VERSIONS_MAX];
	uint32_t count = fixed_versions(message, fixed);
	kl_object_t *object;

	if (!count)
		return -KL_E_PROTOCOL;
	for (uint32_t i = 0; i < count; i++)
		if (add_version(in, i, fixed[i]))
			return -KL_E_PROTOCOL;
	if (!kl_peer_has_objects(message->kind))
		return 0;
	CK_STAILQ_FOREACH(object, &message->delta.objects, link)
		if (add_version(in, count++, &object->version))
			return -KL_E_PROTOCOL;
	return 0;
}

/* Adds the era to a version that has the plain revision. */
static int add_version(const kl_wire_store_era *in, uint32_t i,
		       uint64_t *version)
{
	uint64_t added;

	if (i >= in->versions.versions_len)
		return -KL_E_PROTOCOL;
	added = in->versions.versions_val[i];
	if (kl_version_revision(added) != *version ||
	    kl_version_era(added) > in->era)
		return -KL_E_PROTOCOL;
	*version = added;
	return 0;
}
