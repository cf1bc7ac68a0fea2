/* kumquatctl: the operators' command line. */
#include <curl/curl.h>
#include <glib.h>
#include <sodium.h>
#include <stdio.h>
#include <string.h>

#include "ctl/command.h"

static const kl_ctl_command_t *command_of(int argc, char **argv, int *words);
static char *description(void);
static int usage(const kl_ctl_command_t *command);

int main(int argc, char **argv)
{
	static kl_command_context_t shared;
	static gchar *platform, *daemon;
	static gboolean json, help;
	static const GOptionEntry entries[] = {
		{ "platform", 'p', 0, G_OPTION_ARG_STRING, &platform,
		  "The platform's object API", "URL" },
		{ "daemon", 'd', 0, G_OPTION_ARG_STRING, &daemon,
		  "A daemon's status port", "HOST:PORT" },
		{ "json", 'j', 0, G_OPTION_ARG_NONE, &json, "Answer in JSON",
		  NULL },
		{ "help", 'h', 0, G_OPTION_ARG_NONE, &help,
		  "Show help, also of one command", NULL },
		{ NULL, 0, 0, 0, NULL, NULL, NULL },
	};
	GOptionContext *context = g_option_context_new("COMMAND ...");
	const kl_ctl_command_t *command;
	GError *error = NULL;
	char *text = description();
	int status = KL_EXIT_USAGE;
	int words = 0;

	g_option_context_set_help_enabled(context, FALSE);
	g_option_context_set_description(context, text);
	g_option_context_add_main_entries(context, entries, NULL);
	if (!g_option_context_parse(context, &argc, &argv, &error)) {
		fprintf(stderr, "%s\n", error->message);
		g_error_free(error);
		goto out;
	}
	command = command_of(argc - 1, argv + 1, &words);
	if (!command) {
		char *full = g_option_context_get_help(context, TRUE, NULL);

		fputs(full, help ? stdout : stderr);
		g_free(full);
		status = help ? KL_EXIT_OK : KL_EXIT_USAGE;
		goto out;
	}
	if (help) {
		usage(command);
		status = KL_EXIT_OK;
		goto out;
	}
	shared.platform_url =
		platform ? platform : g_getenv("KUMQUAT_PLATFORM");
	shared.daemon_address = daemon;
	shared.json = json;
	shared.argc = argc - 1 - words;
	shared.argv = argv + 1 + words;
	if (shared.argc < command->least || shared.argc > command->most) {
		status = usage(command);
		goto out;
	}
	if (!shared.platform_url && command->run != kl_command_status) {
		fprintf(stderr, "--platform is missing\n");
		goto out;
	}
	if (sodium_init() < 0 || curl_global_init(CURL_GLOBAL_ALL))
		goto out;
	status = command->run(&shared);
	curl_global_cleanup();
out:
	g_option_context_free(context);
	g_free(text);
	g_free(platform);
	g_free(daemon);
	return status;
}

static const kl_ctl_command_t *command_of(int argc, char **argv, int *words)
{
	for (int i = 0; i < kl_command_count; i++) {
		char **split = g_strsplit(kl_commands[i].words, " ", 0);
		int count = (int)g_strv_length(split);
		bool same = argc >= count;

		for (int w = 0; same && w < count; w++)
			same = !strcmp(split[w], argv[w]);
		g_strfreev(split);
		if (same) {
			*words = count;
			return &kl_commands[i];
		}
	}
	return NULL;
}

static char *description(void)
{
	GString *text = g_string_new("Commands:\n");

	for (int i = 0; i < kl_command_count; i++)
		g_string_append_printf(
			text, "  %s %s\n      %s\n", kl_commands[i].words,
			kl_commands[i].arguments, kl_commands[i].help);
	g_string_append(text, "\nExit status: 0 done, 1 refused, 2 usage, "
			      "3 outcome unknown, 4 conflict, 5 not found\n");
	return g_string_free(text, FALSE);
}

static int usage(const kl_ctl_command_t *command)
{
	printf("kumquatctl %s %s\n  %s\n", command->words, command->arguments,
	       command->help);
	return KL_EXIT_USAGE;
}
