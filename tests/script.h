/**
 * @file
 * What the files of the script runner share.
 */
#ifndef KL_SCRIPT_H
#define KL_SCRIPT_H

#include "tests/world.h"

extern world_t *script_world;
extern int script_failed;

uint64_t script_number(const char *text);
const char *script_kind_name(int error);

/* Steps that only look, and wait for what they see. */
void step_await(char **words, int count);
void step_within(char **words, int count);
void step_read(char **words, int count);
void step_show(char **words, int count);
void step_auth(char **words, int count);
void step_violations(char **words, int count);
void step_loads(char **words, int count);

#endif
