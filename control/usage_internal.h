/**
 * @file
 * Declarations shared by the files of the usage controller.
 */
#ifndef KL_USAGE_INTERNAL_H
#define KL_USAGE_INTERNAL_H

#include "control/usage_clock.h"
#include "control/usage_record.h"

/** The VMs that may take over the duty are the probers of this subject. */
#define KL_USAGE_SUBJECT "usage"
/** Messages whose receipt an answer tells, besides the newest one. */
#define KL_USAGE_RECEIVED_BITS 32
/** Least time between two updates of the record, or two calls. */
#define KL_USAGE_RETRY_US (500 * KL_MS)

/** Another VM that sent counts to this one. */
typedef struct kl_usage_peer {
	kl_named_t vm;
	CK_STAILQ_ENTRY(kl_usage_peer) link;
	uint64_t incarnation;
	uint32_t last_sequence; /**< newest message received */
	uint32_t received;	/**< as in kl_peer_usage_t */
	uint32_t answers;	/**< sent to this incarnation */
	uint64_t last_answer_us;
	uint64_t last_message_us;
	int64_t clock_us;	    /**< its wall clock minus this VM's */
	kl_usage_tallies_t tallies; /**< its counts, by window */
} kl_usage_peer_t;

/** This VM's part as holder of the duty, or as one that may take it over. */
typedef struct kl_usage_duty {
	uint64_t claimed_token; /**< last one that this process tried to get */
	uint64_t claimed_us;	/**< when it got the duty */
	bool put_pending;	/**< a conditional update is not answered */
	uint64_t put_sent_us;
	uint64_t put_condition;	    /**< version that it replaces, or 0 */
	kl_usage_record_t put;	    /**< contents of that update */
	uint64_t confirmed_version; /**< version of its last update */
	uint64_t confirmed_us;	    /**< when that update was sent */
	uint64_t confirmed_token;   /**< token of that update */
	uint64_t last_window;	    /**< of the last update */
	uint64_t stored_window;	    /**< last window that it decided itself */
	bool call_pending;
	uint64_t call_sent_us;
	uint64_t called_window;	  /**< of the last call, or 0 */
	uint64_t answered_window; /**< of the last call that succeeded, or 0 */
	uint64_t given_up_window; /**< of the last report that was too late */
	/** Time since which there is no record that this VM may create, or 0.
	 */
	uint64_t missing_since_us;
} kl_usage_duty_t;

/** State of the usage controller. */
typedef struct kl_usage_state {
	kl_usage_clock_t clock;
	bool clock_ready;
	/** Operations that were counted before the clock was ready. */
	kl_usage_samples_t waiting;
	kl_usage_tallies_t own; /**< counts of this process */
	CK_STAILQ_HEAD(, kl_usage_peer) peers;
	kl_index_t *peer_index;
	kl_usage_record_t record; /**< version 0: none is known */
	uint64_t record_seen_us;  /**< when its version was first seen */
	/** Its contents are later than those of the restored store. */
	bool record_kept;
	uint64_t objects_sequence;
	uint64_t members_version; /**< that rank and successor are from */
	int rank; /**< this VM's among those that may hold the duty, or -1 */
	char successor[KL_NAME_MAX]; /**< first of the others, or "" */
	char receiver[KL_NAME_MAX];  /**< VM that gets the counts, or "" */
	uint64_t receiver_token;     /**< token of the record at that time */
	uint32_t sequence;	     /**< of the last message sent */
	uint64_t sent_us[KL_USAGE_RECEIVED_BITS]; /**< of the last messages */
	uint64_t last_check_us;			  /**< whether to send */
	uint64_t last_send_us;
	uint64_t last_answer_us;
	kl_usage_duty_t duty;
	kl_usage_t published; /**< contents of the section USAGE */
	bool changed;	      /**< published has not been published yet */
} kl_usage_state_t;

/** @return number of the usage window at a true time, microseconds */
uint64_t kl_usage_window_at(const kl_node_t *node, int64_t true_us);

/** @return true time at which a window ends, microseconds */
int64_t kl_usage_window_end(const kl_node_t *node, uint64_t window);

/** Whether this VM holds the duty. */
bool kl_usage_is_holder(const kl_node_t *node, const kl_usage_state_t *state);

/**
 * Whether this VM's clock is the one that others measure theirs against: it
 * holds the duty, or is the first that may create the record.
 */
bool kl_usage_is_reporter(const kl_node_t *node, const kl_usage_state_t *state);

/** Log a decision about a window, and publish the changed gauges. */
void kl_usage_log(kl_node_t *node, kl_usage_state_t *state, const char *name,
		  const char *reason, uint64_t window, const char *peer);

/* usage_send.c */

/** Count operations that databases began to run for this VM. */
void kl_usage_count_own(kl_node_t *node, kl_usage_state_t *state,
			const kl_usage_samples_t *samples);

/** Send counts that changed or were not acknowledged, if it is time to. */
void kl_usage_send(kl_node_t *node, kl_usage_state_t *state);

/** Handle the acknowledgement of counts. */
void kl_usage_handle_answer(kl_node_t *node, kl_usage_state_t *state,
			    const kl_peer_message_t *answer);

/** Forget this VM's counts of windows that can't be reported any more. */
void kl_usage_forget_own(kl_node_t *node, kl_usage_state_t *state);

/* usage_receive.c */

/** Store the counts of another VM, and answer it. */
void kl_usage_receive(kl_node_t *node, kl_usage_state_t *state,
		      const kl_peer_message_t *message);

/** As reporter, correct the clock by the median of all VMs. */
void kl_usage_correct_clock(kl_node_t *node, kl_usage_state_t *state);

/** Add the counts of other VMs in a window to a tally. */
void kl_usage_sum_others(const kl_usage_state_t *state, uint64_t window,
			 kl_usage_tally_t *sum);

/**
 * Whether every registered VM has sent a message since a time of node's clock,
 * microseconds.
 */
bool kl_usage_all_heard(const kl_node_t *node, const kl_usage_state_t *state,
			uint64_t since_us);

/** Forget counts of other VMs, and VMs, that are old. */
void kl_usage_forget_others(kl_node_t *node, kl_usage_state_t *state);

/* usage_duty.c */

/** Do what the record demands of this VM: claim, store, call. */
void kl_usage_duty_step(kl_node_t *node, kl_usage_state_t *state);

/* usage_update.c */

/**
 * Send a conditional update of the record, unless one failed a moment ago.
 *
 * @param record new contents, except for the version
 */
void kl_usage_put_record(kl_node_t *node, kl_usage_state_t *state,
			 const kl_usage_record_t *record);

/** Handle the platform's answer to an update of the record or a call. */
void kl_usage_duty_answer(kl_node_t *node, kl_usage_state_t *state,
			  const kl_platform_answer_t *answer);

#endif
