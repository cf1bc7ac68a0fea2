/* Functions that the soak programs share. */
#include <glib.h>
#include <stdarg.h>
#include <stdio.h>
#include <time.h>

#include "tests/soak/soak.h"

uint64_t soak_now_us(void)
{
	struct timespec now;

	clock_gettime(CLOCK_MONOTONIC, &now);
	return (uint64_t)now.tv_sec * 1000000 + (uint64_t)now.tv_nsec / 1000;
}

void soak_remove_folder(const char *folder)
{
	gchar *command[] = { "rm", "-rf", (gchar *)folder, NULL };

	g_spawn_sync(NULL, command, NULL, G_SPAWN_SEARCH_PATH, NULL, NULL, NULL,
		     NULL, NULL, NULL);
}

void soak_violation(const char *format, ...)
{
	gchar *text;
	va_list arguments;

	va_start(arguments, format);
	text = g_strdup_vprintf(format, arguments);
	va_end(arguments);
	printf("  VIOLATION: %s\n", text);
	g_free(text);
}
