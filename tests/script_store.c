/* Steps of a script that act on the platform's store. */
#include <string.h>

#include "tests/script.h"

/* platform up | down | lose [COUNT]: lose drops answers to updates. */
void step_platform(char **words, int count)
{
	if (!strcmp(words[0], "lose"))
		script_world->put_answers_to_lose =
			count > 1 ? (int)script_parse_number(words[1]) : 1;
	else
		script_world->platform_down = !strcmp(words[0], "down");
}

/* era NUMBER: the store's answers have the header; 0: none. */
void step_era(char **words, int count)
{
	(void)count;
	script_world->era = script_parse_number(words[0]);
}

/*
 * drill MS REWRITE_MS: restores the store from a copy that is MS old.  What
 * operators and databases wrote since is written again REWRITE_MS later.
 */
void step_drill(char **words, int count)
{
	(void)count;
	world_drill(script_world, script_parse_number(words[0]) * KL_MS,
		    script_parse_number(words[1]) * KL_MS);
}
