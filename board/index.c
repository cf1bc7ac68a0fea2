/* Index by name, a hash set of Concurrency Kit. */
#include <ck_hs.h>
#include <stdlib.h>
#include <string.h>
#define XXH_INLINE_ALL
#include <xxhash.h>

#include "board/index.h"
#include "kumquatloft/kind.h"

#define HASH_SEED 6602834

struct kl_index {
	ck_hs_t set;
};

static unsigned long hash_name(const void *entry, unsigned long seed);
static bool same_name(const void *a, const void *b);
static void *hs_malloc(size_t size);
static void hs_free(void *p, size_t size, bool defer);

static struct ck_malloc hs_allocator = { .malloc = hs_malloc, .free = hs_free };

kl_index_t *kl_index_new(size_t expected)
{
	kl_index_t *index = calloc(1, sizeof(*index));

	if (!index)
		return NULL;
	if (!ck_hs_init(&index->set, CK_HS_MODE_SPMC | CK_HS_MODE_OBJECT,
			hash_name, same_name, &hs_allocator,
			expected < 8 ? 8 : expected * 2, HASH_SEED)) {
		free(index);
		return NULL;
	}
	return index;
}

void kl_index_free(kl_index_t *index)
{
	if (!index)
		return;
	ck_hs_destroy(&index->set);
	free(index);
}

int kl_index_put(kl_index_t *index, kl_named_t *entry)
{
	unsigned long hash = CK_HS_HASH(&index->set, hash_name, entry);

	if (!ck_hs_put(&index->set, hash, entry))
		return -KL_E_CONFLICT;
	return 0;
}

kl_named_t *kl_index_remove(kl_index_t *index, const char *name)
{
	kl_named_t key;
	unsigned long hash;

	if (kl_name_copy(key.name, name))
		return NULL;
	hash = CK_HS_HASH(&index->set, hash_name, &key);
	return ck_hs_remove(&index->set, hash, &key);
}

void *kl_index_get(const kl_index_t *index, const char *name)
{
	kl_named_t key;
	unsigned long hash;

	if (!index || kl_name_copy(key.name, name))
		return NULL;
	hash = CK_HS_HASH((ck_hs_t *)&index->set, hash_name, &key);
	return ck_hs_get((ck_hs_t *)&index->set, hash, &key);
}

int kl_name_copy(char field[KL_NAME_MAX], const char *name)
{
	size_t length = strlen(name);

	if (length >= KL_NAME_MAX)
		return -KL_E_INVALID;
	memcpy(field, name, length + 1);
	return 0;
}

unsigned long long kl_rendezvous_rank(const char *subject, const char *member)
{
	return XXH3_64bits_withSeed(member, strlen(member),
				    XXH3_64bits(subject, strlen(subject)));
}

static unsigned long hash_name(const void *entry, unsigned long seed)
{
	const kl_named_t *named = entry;

	return XXH3_64bits_withSeed(named->name, strlen(named->name), seed);
}

static bool same_name(const void *a, const void *b)
{
	return !strcmp(((const kl_named_t *)a)->name,
		       ((const kl_named_t *)b)->name);
}

static void *hs_malloc(size_t size)
{
	return malloc(size);
}

static void hs_free(void *p, size_t size, bool defer)
{
	(void)size;
	(void)defer;
	free(p);
}
