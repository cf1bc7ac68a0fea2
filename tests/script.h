/**
 * @file
 * Parts of the script runner that its source files share.
 */
#ifndef KL_SCRIPT_H
#define KL_SCRIPT_H

#include "tests/world.h"

extern world_t *script_world;
extern int script_failed; /**< exit status: 1 after an unknown step */

/** Parse a decimal number; 0 if there is none. */
uint64_t script_parse_number(const char *text);
/** @return name of an error kind, or of 0 */
const char *script_error_name(int error);

/* Steps that inspect the cluster; words are the arguments. */
void step_await(char **words, int count);
void step_within(char **words, int count);
void step_read(char **words, int count);
void step_show(char **words, int count);
void step_auth(char **words, int count);
void step_violations(char **words, int count);
void step_loads(char **words, int count);
void step_unreported(char **words, int count);
void step_fails(char **words, int count);
void step_peerless(char **words, int count);
void step_refuse(char **words, int count);
void step_silent(char **words, int count);
void step_cut_watches(char **words, int count);
void step_sample(char **words, int count);
void step_operations(char **words, int count);
void step_clock(char **words, int count);
void step_reporting(char **words, int count);
void step_holder(char **words, int count);
void step_reports(char **words, int count);

/* Steps that act on the platform's store. */
void step_platform(char **words, int count);
void step_keys(char **words, int count);
void step_era(char **words, int count);
void step_drill(char **words, int count);
void step_figure(char **words, int count);

#endif
