/* Commands that edit documents of the platform. */
#include <errno.h>
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "board/index.h"
#include "ctl/command.h"
#include "ctl/edit.h"
#include "kumquatloft/kind.h"
#include "path/path.h"

#define KEY_BYTES 24 /* random bytes; a key is their hex form */

typedef struct plan_edit {
	json_int_t connections;
	json_int_t rate;  /* statements a second */
	json_int_t burst; /* statements */
} plan_edit_t;

typedef struct key_edit {
	const char *id;
	char hash[2 * KL_KEY_HASH_BYTES + 1];
	bool withdraw; /* withdraw the key; false to add it */
} key_edit_t;

static int plan_set(const kl_command_context_t *context);
static int plan_rm(const kl_command_context_t *context);
static int workspace_add(const kl_command_context_t *context);
static int workspace_rm(const kl_command_context_t *context);
static int key_give(const kl_command_context_t *context);
static int key_withdraw(const kl_command_context_t *context);
static int service_set(const kl_command_context_t *context);
static int service_rm(const kl_command_context_t *context);
static int mark_leave(const kl_command_context_t *context);
static int mark_return(const kl_command_context_t *context);
static int edit_plan(json_t *document, void *arg, json_t **updated);
static int edit_workspace(json_t *document, void *arg, json_t **updated);
static int edit_key(json_t *document, void *arg, json_t **updated);
static int edit_replace(json_t *document, void *arg, json_t **updated);
static int edit_remove(json_t *document, void *arg, json_t **updated);
static int run_edit(const kl_command_context_t *context, const char *prefix,
		    const char *name, kl_edit_fn_t edit, void *arg,
		    const char *success_text);
static int set_mark(const kl_command_context_t *context, bool leaving);
static bool parse_number(const char *text, json_int_t *value);

const kl_ctl_command_t kl_commands[] = {
	{ "status", "", "show the status of a daemon (--daemon)", 0, 0,
	  kl_command_status },
	{ "get", "[PREFIX]", "print documents of the platform", 0, 1,
	  kl_command_get },
	{ "plan set", "NAME CONNECTIONS RATE BURST",
	  "what a plan may use; rate in statements a second", 4, 4, plan_set },
	{ "plan rm", "NAME", "remove a plan", 1, 1, plan_rm },
	{ "workspace add", "NAME PLAN", "add a workspace or change its plan", 2,
	  2, workspace_add },
	{ "workspace rm", "NAME", "remove a workspace", 1, 1, workspace_rm },
	{ "key give", "WORKSPACE ID", "create a key, which is shown once", 2, 2,
	  key_give },
	{ "key withdraw", "WORKSPACE ID", "withdraw a key", 2, 2,
	  key_withdraw },
	{ "service set", "NAME FILE", "set a service from a JSON file, or -", 2,
	  2, service_set },
	{ "service rm", "NAME", "remove a service", 1, 1, service_rm },
	{ "mark leave", "vm|domain|upstream NAME", "take out of service", 2, 2,
	  mark_leave },
	{ "mark return", "vm|domain|upstream NAME", "bring back into service",
	  2, 2, mark_return },
};

const int kl_command_count = sizeof(kl_commands) / sizeof(kl_commands[0]);

int kl_command_report(const kl_command_context_t *context, int error,
		      const char *success_text)
{
	const kl_error_info_t *info = kl_error_info(error);
	static const struct {
		int error;
		int status;
	} statuses[] = {
		{ 0, KL_EXIT_OK },
		{ -KL_E_UNAVAILABLE, KL_EXIT_UNKNOWN },
		{ -KL_E_CONFLICT, KL_EXIT_CONFLICT },
		{ -KL_E_NOT_FOUND, KL_EXIT_NOT_FOUND },
	};
	FILE *out = error ? stderr : stdout;
	int status = KL_EXIT_REFUSED;

	if (context->json)
		fprintf(out, "{\"result\":\"%s\"}\n",
			error ? info->name : "done");
	else
		fprintf(out, "%s\n", error ? info->text : success_text);
	for (size_t i = 0; i < sizeof(statuses) / sizeof(*statuses); i++)
		if (statuses[i].error == error)
			status = statuses[i].status;
	return status;
}

static int plan_set(const kl_command_context_t *context)
{
	plan_edit_t plan;

	if (!parse_number(context->argv[1], &plan.connections) ||
	    !parse_number(context->argv[2], &plan.rate) ||
	    !parse_number(context->argv[3], &plan.burst))
		return kl_command_report(context, -KL_E_INVALID, NULL);
	return run_edit(context, "plan", context->argv[0], edit_plan, &plan,
			"plan set");
}

static int plan_rm(const kl_command_context_t *context)
{
	return run_edit(context, "plan", context->argv[0], edit_remove, NULL,
			"plan removed");
}

static int workspace_add(const kl_command_context_t *context)
{
	return run_edit(context, "workspace", context->argv[0], edit_workspace,
			context->argv[1], "workspace set");
}

static int workspace_rm(const kl_command_context_t *context)
{
	return run_edit(context, "workspace", context->argv[0], edit_remove,
			NULL, "workspace removed");
}

static int key_give(const kl_command_context_t *context)
{
	key_edit_t edit = { .id = context->argv[1] };
	unsigned char bytes[KEY_BYTES];
	char key[2 * KEY_BYTES + 1];
	int status;

	randombytes_buf(bytes, sizeof(bytes));
	sodium_bin2hex(key, sizeof(key), bytes, sizeof(bytes));
	kl_key_hash(key, edit.hash);
	status = run_edit(context, "workspace", context->argv[0], edit_key,
			  &edit, "key given");
	if (status == KL_EXIT_OK)
		printf(context->json ? "{\"key\":\"%s\"}\n" : "key %s\n", key);
	sodium_memzero(key, sizeof(key));
	return status;
}

static int key_withdraw(const kl_command_context_t *context)
{
	key_edit_t edit = { .id = context->argv[1], .withdraw = true };

	return run_edit(context, "workspace", context->argv[0], edit_key, &edit,
			"key withdrawn");
}

static int service_set(const kl_command_context_t *context)
{
	const char *path = context->argv[1];
	json_t *json = strcmp(path, "-") ? json_load_file(path, 0, NULL)
					 : json_loadf(stdin, 0, NULL);
	int status;

	if (!json)
		return kl_command_report(context, -KL_E_INVALID, NULL);
	status = run_edit(context, "service", context->argv[0], edit_replace,
			  json, "service set");
	json_decref(json);
	return status;
}

static int service_rm(const kl_command_context_t *context)
{
	return run_edit(context, "service", context->argv[0], edit_remove, NULL,
			"service removed");
}

static int mark_leave(const kl_command_context_t *context)
{
	return set_mark(context, true);
}

static int mark_return(const kl_command_context_t *context)
{
	return set_mark(context, false);
}

static int set_mark(const kl_command_context_t *context, bool leaving)
{
	const char *kind = context->argv[0];
	char prefix[32];
	json_t *json;
	int status;

	if (strcmp(kind, "vm") && strcmp(kind, "domain") &&
	    strcmp(kind, "upstream"))
		return kl_command_report(context, -KL_E_INVALID, NULL);
	snprintf(prefix, sizeof(prefix), "mark/%s", kind);
	json = json_pack("{s:b}", "leaving", leaving);
	status = run_edit(context, prefix, context->argv[1], edit_replace, json,
			  leaving ? "marked as leaving" : "marked as returned");
	json_decref(json);
	return status;
}

static int run_edit(const kl_command_context_t *context, const char *prefix,
		    const char *name, kl_edit_fn_t edit, void *arg,
		    const char *success_text)
{
	char full_name[KL_NAME_MAX];

	if (snprintf(full_name, sizeof(full_name), "%s/%s", prefix, name) >=
		    (int)sizeof(full_name) ||
	    !*name || strchr(name, '/'))
		return kl_command_report(context, -KL_E_INVALID, NULL);
	return kl_command_report(
		context,
		kl_edit_document(context->platform_url, full_name, edit, arg),
		success_text);
}

static int edit_plan(json_t *document, void *arg, json_t **updated)
{
	const plan_edit_t *plan = arg;
	(void)document;

	*updated = json_pack("{s:I,s:I,s:I}", "connections", plan->connections,
			     "rate", plan->rate, "burst", plan->burst);
	return 0;
}

/* Sets the plan; an existing workspace keeps its keys. */
static int edit_workspace(json_t *document, void *arg, json_t **updated)
{
	json_t *keys = json_object_get(document, "keys");

	keys = keys ? json_incref(keys) : json_array();
	*updated =
		json_pack("{s:s,s:o}", "plan", (const char *)arg, "keys", keys);
	return 0;
}

static int edit_key(json_t *document, void *arg, json_t **updated)
{
	const key_edit_t *edit = arg;
	json_t *keys, *key;
	bool found = false;
	size_t i;

	if (!json_is_object(document))
		return -KL_E_NOT_FOUND;
	*updated = json_deep_copy(document);
	keys = json_object_get(*updated, "keys");
	json_array_foreach(keys, i, key) {
		const char *id = json_string_value(json_object_get(key, "id"));

		if (!id || strcmp(id, edit->id))
			continue;
		found = true;
		if (edit->withdraw)
			json_object_set_new(key, "withdrawn", json_true());
	}
	if (edit->withdraw != found) {
		json_decref(*updated);
		*updated = NULL;
		return edit->withdraw ? -KL_E_NOT_FOUND : -KL_E_INVALID;
	}
	if (!edit->withdraw)
		json_array_append_new(
			keys, json_pack("{s:s,s:s,s:b}", "id", edit->id, "hash",
					edit->hash, "withdrawn", 0));
	return 0;
}

static int edit_replace(json_t *document, void *arg, json_t **updated)
{
	(void)document;
	*updated = json_incref(arg);
	return 0;
}

static int edit_remove(json_t *document, void *arg, json_t **updated)
{
	(void)arg;
	if (json_is_null(document))
		return -KL_E_NOT_FOUND;
	*updated = json_null();
	return 0;
}

static bool parse_number(const char *text, json_int_t *value)
{
	char *end;

	errno = 0;
	*value = strtoll(text, &end, 10);
	return !errno && end != text && !*end && *value >= 0;
}
