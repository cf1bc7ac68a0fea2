#include <ctype.h>
#include <stdlib.h>

#include "control/store_era.h"

#define REVISION_BITS 40
#define REVISION_MASK ((1ull << REVISION_BITS) - 1)

uint64_t kl_store_version(uint64_t era, uint64_t revision)
{
	return era << REVISION_BITS | revision;
}

uint64_t kl_version_era(uint64_t version)
{
	return version >> REVISION_BITS;
}

uint64_t kl_version_revision(uint64_t version)
{
	return version & REVISION_MASK;
}

int kl_store_era_parse(const char *text, uint64_t *era)
{
	unsigned long long number;
	char *end;

	if (!isdigit((unsigned char)*text))
		return -KL_E_PROTOCOL;
	/* Numbers that are too large become ULLONG_MAX. */
	number = strtoull(text, &end, 10);
	if (*end || !number || number > KL_ERA_MAX)
		return -KL_E_PROTOCOL;
	*era = number;
	return 0;
}

void kl_store_era_add(kl_platform_answer_t *answer)
{
	kl_object_t *object;

	if (!answer->era)
		return;
	/* An update may be answered without one; a list of no objects has 0. */
	if (answer->revision || answer->op == KL_PLATFORM_LIST ||
	    answer->op == KL_PLATFORM_WATCH)
		answer->revision =
			kl_store_version(answer->era, answer->revision);
	CK_STAILQ_FOREACH(object, answer->objects, link)
		object->version =
			kl_store_version(answer->era, object->version);
}

void kl_store_era_remove(kl_platform_call_t *call)
{
	call->since_revision = kl_version_revision(call->since_revision);
	/* The version of a promotion is a term. */
	if (call->op == KL_PLATFORM_PUT)
		call->version = kl_version_revision(call->version);
}
