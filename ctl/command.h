/**
 * @file
 * The commands of kumquatctl.
 */
#ifndef KL_CTL_COMMAND_H
#define KL_CTL_COMMAND_H

#include <stdbool.h>

/** Exit statuses. */
enum kl_exit {
	KL_EXIT_OK = 0,
	KL_EXIT_REFUSED = 1,  /**< the document is not valid */
	KL_EXIT_USAGE = 2,    /**< the command line is not */
	KL_EXIT_UNKNOWN = 3,  /**< no answer: look before you repeat */
	KL_EXIT_CONFLICT = 4, /**< other edits kept coming first */
	KL_EXIT_NOT_FOUND = 5,
};

/** What all commands get. */
typedef struct kl_command_context {
	const char *platform_url;   /**< URL */
	const char *daemon_address; /**< "HOST:PORT" of a status port */
	bool json;
	int argc; /**< words after the command's own */
	char **argv;
} kl_command_context_t;

/** A command. */
typedef struct kl_ctl_command {
	const char *words; /**< "plan set" */
	const char *arguments;
	const char *help;
	int least; /**< arguments */
	int most;
	int (*run)(const kl_command_context_t *context);
} kl_ctl_command_t;

extern const kl_ctl_command_t kl_commands[];
extern const int kl_command_count;

/** Report how an edit ended. @return the exit status */
int kl_command_report(const kl_command_context_t *context, int error,
		      const char *done);

/* show.c */
int kl_command_status(const kl_command_context_t *context);
int kl_command_get(const kl_command_context_t *context);

#endif
