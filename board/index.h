/**
 * @file
 * An index by name over list entries, immutable once its snapshot is out.
 */
#ifndef KL_INDEX_H
#define KL_INDEX_H

#include <stdbool.h>
#include <stddef.h>

/** Longest name of a workspace, service, VM or domain, with its zero. */
#define KL_NAME_MAX 64

/** First member of every indexed structure. */
typedef struct kl_named {
	char name[KL_NAME_MAX];
} kl_named_t;

typedef struct kl_index kl_index_t;

/** Create an index. @param expected entries to make room for */
kl_index_t *kl_index_new(size_t expected);

/** Free the index, not its entries. */
void kl_index_free(kl_index_t *index);

/** Add an entry. @return 0, -KL_E_CONFLICT for a name that is there */
int kl_index_put(kl_index_t *index, kl_named_t *entry);

/** Remove the entry of a name. @return the entry or NULL */
kl_named_t *kl_index_remove(kl_index_t *index, const char *name);

/** Find an entry by name. @return the entry or NULL */
void *kl_index_get(const kl_index_t *index, const char *name);

/** Copy a name into a fixed field. @return 0 or -KL_E_INVALID if too long */
int kl_name_set(char field[KL_NAME_MAX], const char *name);

/** Rank of a member for a subject: highest wins (rendezvous hashing). */
unsigned long long kl_rendezvous_rank(const char *subject, const char *member);

#endif
