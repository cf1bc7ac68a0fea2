/**
 * @file
 * An index by name over list entries; immutable once its snapshot is published.
 */
#ifndef KL_INDEX_H
#define KL_INDEX_H

#include <stdbool.h>
#include <stddef.h>

/** Size of the name of a workspace, service, VM or domain, with NUL. */
#define KL_NAME_MAX 64

/** The name of an indexed structure; must be its first member. */
typedef struct kl_named {
	char name[KL_NAME_MAX];
} kl_named_t;

typedef struct kl_index kl_index_t;

/** Create an index. @param expected number of entries to size it for */
kl_index_t *kl_index_new(size_t expected);

/** Free the index, not its entries. */
void kl_index_free(kl_index_t *index);

/** Add an entry. @return 0, or -KL_E_CONFLICT if the name exists */
int kl_index_put(kl_index_t *index, kl_named_t *entry);

/** Remove an entry by name. @return the entry or NULL */
kl_named_t *kl_index_remove(kl_index_t *index, const char *name);

/** Find an entry by name. @return the entry or NULL */
void *kl_index_get(const kl_index_t *index, const char *name);

/** Copy a name to a field. @return 0, or -KL_E_INVALID if it is too long */
int kl_name_copy(char field[KL_NAME_MAX], const char *name);

/** Rank of a member for a subject by rendezvous hashing: the highest wins. */
unsigned long long kl_rendezvous_rank(const char *subject, const char *member);

#endif
