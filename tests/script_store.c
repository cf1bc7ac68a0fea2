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

/*
 * keys WORKSPACE PLAN FIRST COUNT: writes a workspace that has this many keys.
 * The hash of key N is the number N with 48 digits.
 */
void step_keys(char **words, int count)
{
	uint64_t first = script_parse_number(words[2]);
	uint64_t end = first + script_parse_number(words[3]);
	GString *body = g_string_new(NULL);
	char *name = g_strdup_printf("workspace/%s", words[0]);
	(void)count;

	g_string_printf(body, "{\"plan\": \"%s\", \"keys\": [", words[1]);
	for (uint64_t n = first; n < end; n++)
		g_string_append_printf(body,
				       "%s{\"id\": \"k%" G_GUINT64_FORMAT
				       "\", \"hash\": \"%048" G_GUINT64_FORMAT
				       "\", \"withdrawn\": false}",
				       n > first ? ", " : "", n, n);
	g_string_append(body, "]}");
	world_put_object(script_world, name, body->str);
	g_string_free(body, TRUE);
	g_free(name);
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
