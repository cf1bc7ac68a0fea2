/**
 * @file
 * Encoding of the record of usage reports: the JSON text of the platform's
 * object "usage/report".
 */
#ifndef KL_USAGE_RECORD_H
#define KL_USAGE_RECORD_H

#include "control/usage_counts.h"

#define KL_USAGE_RECORD "usage/report" /**< name of the object */

/** The record: which VM reports, and the report that it decided last. */
typedef struct kl_usage_record {
	uint64_t version;	  /**< of the object; 0: it doesn't exist */
	char holder[KL_NAME_MAX]; /**< VM that holds the duty */
	uint64_t token;		  /**< rises with each holder */
	uint64_t window;	  /**< of the last report that was decided */
	bool answered;		  /**< the platform has that report */
	char *counts; /**< JSON object with the operations of each workspace */
} kl_usage_record_t;

/**
 * Decode a record.
 *
 * @param record receives all but the version; counts is to be freed
 * @param body JSON text
 * @return 0 or -KL_E_INVALID
 */
int kl_usage_record_decode(kl_usage_record_t *record, const char *body);

/** Encode a record. @return JSON text to be freed, or NULL: out of memory */
char *kl_usage_record_encode(const kl_usage_record_t *record);

/**
 * Encode the counts of a report.
 *
 * @return JSON text to be freed, or NULL when out of memory
 */
char *kl_usage_counts_encode(const kl_usage_tally_t *tally);

/** Copy a record. @return 0 or -KL_E_NOMEM */
int kl_usage_record_copy(kl_usage_record_t *to, const kl_usage_record_t *from);

/** Free a record's counts. */
void kl_usage_record_clear(kl_usage_record_t *record);

#endif
