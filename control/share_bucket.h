/**
 * @file
 * Token buckets of workspaces, as kl_share_t uses them.
 */
#ifndef KL_SHARE_BUCKET_H
#define KL_SHARE_BUCKET_H

#include "board/sections.h"
#include "kumquatloft/share.h"

/** The operations of a share on a kl_bucket_t. */
extern const kl_bucket_ops_t kl_bucket_ops;

/** Create a snapshot for up to count buckets. @return NULL: out of memory */
kl_buckets_t *kl_buckets_new(uint32_t count);

/** Add a bucket to a snapshot, which takes a reference. */
void kl_buckets_add(kl_buckets_t *buckets, kl_bucket_t *bucket);

#endif
