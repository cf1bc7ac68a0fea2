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
	KL_EXIT_REFUSED = 1,  /**< the document would not be valid */
	KL_EXIT_USAGE = 2,    /**< the command line is wrong */
	KL_EXIT_UNKNOWN = 3,  /**< no answer; the edit may have been made */
	KL_EXIT_CONFLICT = 4, /**< each attempt conflicted with another edit */
	KL_EXIT_NOT_FOUND = 5,
};

/** Options and arguments of the command line. */
typedef struct kl_command_context {
	const char *platform_url;
	const char *daemon_address; /**< HOST:PORT of a status port, or NULL */
	bool json;		    /**< print JSON */
	int argc;		    /**< arguments after the command's name */
	char **argv;
} kl_command_context_t;

/** A command. */
typedef struct kl_ctl_command {
	const char *name;      /**< one or two words, such as "plan set" */
	const char *arguments; /**< shown in the usage text */
	const char *summary;
	int min_arguments;
	int max_arguments;
	/** @return the exit status */
	int (*run)(const kl_command_context_t *context);
} kl_ctl_command_t;

extern const kl_ctl_command_t kl_commands[];
extern const int kl_command_count;

/**
 * Print the result of a command.
 *
 * @param error 0 or a negative kl_error_t
 * @param success_text printed if error is 0
 * @return the exit status
 */
int kl_command_report(const kl_command_context_t *context, int error,
		      const char *success_text);

/* show.c */
int kl_command_status(const kl_command_context_t *context);
int kl_command_get(const kl_command_context_t *context);

#endif
