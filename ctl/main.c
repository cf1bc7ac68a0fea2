/* kumquatctl: the command line tool of operators. */
#include <curl/curl.h>
#include <glib.h>
#include <sodium.h>
#include <stdio.h>
#include <string.h>

#include "ctl/command.h"

static const kl_ctl_command_t *find_command(int argc, char **argv,
					    int *name_words);
static char *list_commands(void);
static int print_usage(const kl_ctl_command_t *command);

int main(int argc, char **argv)
{
	static kl_command_context_t command_context;
	static gchar *platform, *daemon;
	static gboolean json, help;
	static const GOptionEntry entries[] = {
		{ "platform", 'p', 0, G_OPTION_ARG_STRING, &platform,
		  "The platform's object API", "URL" },
		{ "daemon", 'd', 0, G_OPTION_ARG_STRING, &daemon,
		  "A daemon's status port", "HOST:PORT" },
		{ "json", 'j', 0, G_OPTION_ARG_NONE, &json, "Print JSON",
		  NULL },
		{ "help", 'h', 0, G_OPTION_ARG_NONE, &help,
		  "Show help, or that of one command", NULL },
		{ NULL, 0, 0, 0, NULL, NULL, NULL },
	};
	GOptionContext *context = g_option_context_new("COMMAND ...");
	const kl_ctl_command_t *command;
	GError *error = NULL;
	char *command_list = list_commands();
	int status = KL_EXIT_USAGE;
	int name_words = 0;

	g_option_context_set_help_enabled(context, FALSE);
	g_option_context_set_description(context, command_list);
	g_option_context_add_main_entries(context, entries, NULL);
	if (!g_option_context_parse(context, &argc, &argv, &error)) {
		fprintf(stderr, "%s\n", error->message);
		g_error_free(error);
		goto out;
	}
	command = find_command(argc - 1, argv + 1, &name_words);
	if (!command) {
		char *help_text =
			g_option_context_get_help(context, TRUE, NULL);

		fputs(help_text, help ? stdout : stderr);
		g_free(help_text);
		status = help ? KL_EXIT_OK : KL_EXIT_USAGE;
		goto out;
	}
	if (help) {
		print_usage(command);
		status = KL_EXIT_OK;
		goto out;
	}
	command_context.platform_url =
		platform ? platform : g_getenv("KUMQUAT_PLATFORM");
	command_context.daemon_address = daemon;
	command_context.json = json;
	command_context.argc = argc - 1 - name_words;
	command_context.argv = argv + 1 + name_words;
	if (command_context.argc < command->min_arguments ||
	    command_context.argc > command->max_arguments) {
		status = print_usage(command);
		goto out;
	}
	if (!command_context.platform_url &&
	    command->run != kl_command_status) {
		fprintf(stderr, "--platform is missing\n");
		goto out;
	}
	if (sodium_init() < 0 || curl_global_init(CURL_GLOBAL_ALL))
		goto out;
	status = command->run(&command_context);
	curl_global_cleanup();
out:
	g_option_context_free(context);
	g_free(command_list);
	g_free(platform);
	g_free(daemon);
	return status;
}

static const kl_ctl_command_t *find_command(int argc, char **argv,
					    int *name_words)
{
	for (int i = 0; i < kl_command_count; i++) {
		char **name_parts = g_strsplit(kl_commands[i].name, " ", 0);
		int count = (int)g_strv_length(name_parts);
		bool matches = argc >= count;

		for (int w = 0; matches && w < count; w++)
			matches = !strcmp(name_parts[w], argv[w]);
		g_strfreev(name_parts);
		if (matches) {
			*name_words = count;
			return &kl_commands[i];
		}
	}
	return NULL;
}

static char *list_commands(void)
{
	GString *text = g_string_new("Commands:\n");

	for (int i = 0; i < kl_command_count; i++)
		g_string_append_printf(
			text, "  %s %s\n      %s\n", kl_commands[i].name,
			kl_commands[i].arguments, kl_commands[i].summary);
	g_string_append(text, "\nExit status: 0 done, 1 refused, 2 usage, "
			      "3 outcome unknown, 4 conflict, 5 not found\n");
	return g_string_free(text, FALSE);
}

static int print_usage(const kl_ctl_command_t *command)
{
	printf("kumquatctl %s %s\n  %s\n", command->name, command->arguments,
	       command->summary);
	return KL_EXIT_USAGE;
}
