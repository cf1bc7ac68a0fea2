/* The settings kumquatloft.NAME of a client's session: SET and SHOW. */
#include <stdlib.h>
#include <string.h>

#include "daemon/worker_internal.h"

#define MAX_AGE_VALUE_MAX 86400000 /* of max_age, in its own unit */
#define TEXT_OID 25		   /* OID of PostgreSQL's type text */

/* A setting of the session; SET and SHOW know it as kumquatloft.NAME. */
typedef struct session_setting {
	const char *name;
	bool (*set)(kl_session_t *session, const char *value);
	void (*show)(const kl_session_t *session, char *text, size_t size);
} session_setting_t;

static bool set_session(kl_session_t *session, const char *value);
static bool set_max_age(kl_session_t *session, const char *value);
static bool set_repeatable(kl_session_t *session, const char *value);
static void show_session(const kl_session_t *session, char *text, size_t size);
static void show_max_age(const kl_session_t *session, char *text, size_t size);
static void show_repeatable(const kl_session_t *session, char *text,
			    size_t size);

static const session_setting_t session_settings[] = {
	{ "session", set_session, show_session },
	{ "max_age", set_max_age, show_max_age },
	{ "repeatable", set_repeatable, show_repeatable },
};

#define SESSION_SETTING_COUNT \
	(sizeof(session_settings) / sizeof(session_settings[0]))

bool kl_session_set_option(kl_session_t *session, const char *name,
			   const char *value)
{
	for (size_t i = 0; i < SESSION_SETTING_COUNT; i++)
		if (!strcmp(session_settings[i].name, name))
			return session_settings[i].set(session, value);
	return false;
}

static bool set_session(kl_session_t *session, const char *value)
{
	kl_token_decode(&session->token, session->workspace, session->service,
			value);
	return true;
}

/* A number, with the unit ms or s, by default ms; 0 removes the limit. */
static bool set_max_age(kl_session_t *session, const char *value)
{
	char *end;
	unsigned long long number = strtoull(value, &end, 10);

	if (end == value || number > MAX_AGE_VALUE_MAX)
		return false;
	if (!strcmp(end, "s"))
		session->max_age_us = number * KL_SEC;
	else if (!*end || !strcmp(end, "ms"))
		session->max_age_us = number * KL_MS;
	else
		return false;
	return true;
}

static bool set_repeatable(kl_session_t *session, const char *value)
{
	bool on = !strcmp(value, "on") || !strcmp(value, "true");

	if (!on && strcmp(value, "off") && strcmp(value, "false"))
		return false;
	session->repeatable = on;
	return true;
}

static void show_session(const kl_session_t *session, char *text, size_t size)
{
	(void)size;
	if (session->token.state == KL_TOKEN_KNOWN)
		kl_token_encode(&session->token, session->workspace,
				session->service, text);
	else
		strcpy(text, session->token.state == KL_TOKEN_NEW ? "new" : "");
}

static void show_max_age(const kl_session_t *session, char *text, size_t size)
{
	snprintf(text, size, "%llums",
		 (unsigned long long)(session->max_age_us / KL_MS));
}

static void show_repeatable(const kl_session_t *session, char *text,
			    size_t size)
{
	snprintf(text, size, "%s", session->repeatable ? "on" : "off");
}

/* The result of SHOW: one row with one column. */
typedef struct show_result {
	const char *name;
	const char *text;
} show_result_t;

static int result_count(const void *rows)
{
	(void)rows;
	return 1;
}

static const char *result_name(const void *rows, int column)
{
	(void)column;
	return ((const show_result_t *)rows)->name;
}

static uint32_t result_type(const void *rows, int column)
{
	(void)rows;
	(void)column;
	return TEXT_OID;
}

static int result_format(const void *rows, int column)
{
	(void)rows;
	(void)column;
	return 0;
}

static const char *result_value(const void *rows, int row, int column,
				size_t *length)
{
	const show_result_t *result = rows;
	(void)row;
	(void)column;

	*length = strlen(result->text);
	return result->text;
}

static const kl_rows_ops_t result_ops = { result_count,	 result_count,
					  result_name,	 result_type,
					  result_format, result_value };

void kl_session_show_option(kl_session_t *session, const char *name)
{
	char text[KL_TOKEN_MAX + 16];
	show_result_t result = { name, text };

	for (size_t i = 0; i < SESSION_SETTING_COUNT; i++) {
		if (strcmp(session_settings[i].name, name))
			continue;
		session_settings[i].show(session, text, sizeof(text));
		session->front_ops->rows(session->front, &result_ops, &result);
		session->front_ops->complete(session->front, "SHOW");
		kl_answer_finish(&session->request);
		return;
	}
	kl_answer_error(&session->request, -KL_E_INVALID);
}
