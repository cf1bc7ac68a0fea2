#include <arpa/inet.h>
#include <cyaml/cyaml.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "daemon/settings.h"
#include "platform/format.h"

#define FIELD(member) offsetof(kl_settings_t, member)
#define NUMBERS (sizeof(numbers) / sizeof(numbers[0]))

/*
 * Range and default of a numeric setting.  An absent setting is loaded as 0;
 * find_line() distinguishes it from a 0 in the file.
 */
typedef struct number_row {
	const char *name;
	size_t offset;
	uint32_t min;
	uint32_t max;
	uint32_t default_value; /* or REQUIRED */
} number_row_t;

#define REQUIRED UINT32_MAX /* in place of a default */

static const number_row_t numbers[] = {
	{ "listen_port", FIELD(listen_port), 1, 65535, REQUIRED },
	{ "peer_port", FIELD(peer_port), 1, 65535, REQUIRED },
	{ "status_port", FIELD(status_port), 1, 65535, REQUIRED },
	{ "workers", FIELD(workers), 1, 64, 2 },
	{ "lease_ms", FIELD(lease_ms), 500, 60000, 2000 },
	{ "confirm_ms", FIELD(confirm_ms), 50, 10000, 400 },
	{ "probe_ms", FIELD(probe_ms), 50, 10000, 250 },
	{ "suspect_ms", FIELD(suspect_ms), 100, 60000, 750 },
	{ "read_wait_ms", FIELD(read_wait_ms), 0, 10000, 150 },
	{ "admit_wait_ms", FIELD(admit_wait_ms), 0, 10000, 200 },
	{ "statement_ms", FIELD(statement_ms), 100, 3600000, 20000 },
	{ "silent_ms", FIELD(silent_ms), 100, 60000, 1500 },
	{ "drain_ms", FIELD(drain_ms), 100, 3600000, 30000 },
	{ "stale_after_ms", FIELD(stale_after_ms), 0, 86400000, 0 },
	{ "share_hold_s", FIELD(share_hold_s), 5, 86400, 600 },
	{ "slots", FIELD(slots), 1, 4096, 24 },
	{ "ready_port", FIELD(ready_port), 0, 65535, 0 },
	{ "transaction_grace_ms", FIELD(transaction_grace_ms), 100, 3600000,
	  15000 },
	{ "connect_ms", FIELD(connect_ms), 50, 10000, 500 },
	{ "log_lines", FIELD(log_lines), 1, 100000, 50 },
	{ "down_ms", FIELD(down_ms), 0, 60000, 0 },
	{ "leave_ms", FIELD(leave_ms), 100, 3600000, 5000 },
	{ "drain_least_ms", FIELD(drain_least_ms), 0, 60000, 0 },
	{ "usage_window_s", FIELD(usage_window_s), 0, 3600, 0 },
	{ "usage_delay_s", FIELD(usage_delay_s), 1, 3600, 10 },
	{ "priority_queues", FIELD(priority_queues), 0, 1, 0 },
	{ "position_wait_ms", FIELD(position_wait_ms), 0, 1000, 0 },
	{ "domain_spill", FIELD(domain_spill), 0, 1, 0 },
};

static void print_message(cyaml_log_t level, void *context, const char *format,
			  va_list args);
static int parse_port(const char *path, const char *name, const char *text,
		      uint32_t *port);
static uint32_t *number_field(kl_settings_t *settings, size_t offset);
static int check_settings(kl_settings_t *settings, const char *path,
			  char *const *overrides);
static int apply_override(kl_settings_t *settings, const char *override);
static int find_line(const char *path, const char *name);
static int report_invalid(const char *path, const char *name,
			  const char *expected);
static void default_text(char **text, const char *default_value);
static int check_choices(const kl_settings_t *settings, const char *path);
static int check_ip(const char *path, const char *name, const char *text);

static const cyaml_schema_field_t peer_fields[] = {
	CYAML_FIELD_STRING_PTR("host", CYAML_FLAG_POINTER, kl_settings_peer_t,
			       host, 1, 47),
	CYAML_FIELD_UINT("port", CYAML_FLAG_DEFAULT, kl_settings_peer_t, port),
	CYAML_FIELD_END
};

static const cyaml_schema_value_t peer_schema = {
	CYAML_VALUE_MAPPING(CYAML_FLAG_DEFAULT, kl_settings_peer_t,
			    peer_fields),
};

static const cyaml_schema_value_t function_schema = {
	CYAML_VALUE_STRING(CYAML_FLAG_POINTER, char, 1, 63),
};

#define TEXT(member, flags)                                           \
	CYAML_FIELD_STRING_PTR(#member, CYAML_FLAG_POINTER | (flags), \
			       kl_settings_t, member, 1, 63)
#define NUMBER(member, flags) \
	CYAML_FIELD_UINT(#member, flags, kl_settings_t, member)

static const cyaml_schema_field_t fields[] = {
	TEXT(vm, 0),
	TEXT(domain, 0),
	TEXT(host, 0),
	CYAML_FIELD_STRING_PTR("platform", CYAML_FLAG_POINTER, kl_settings_t,
			       platform, 1, 200),
	TEXT(upstream_user, CYAML_FLAG_OPTIONAL),
	TEXT(platform_format, CYAML_FLAG_OPTIONAL),
	CYAML_FIELD_STRING_PTR("promoter",
			       CYAML_FLAG_POINTER | CYAML_FLAG_OPTIONAL,
			       kl_settings_t, promote_url, 1, 200),
	TEXT(front, CYAML_FLAG_OPTIONAL),
	TEXT(listen, CYAML_FLAG_OPTIONAL),
	TEXT(ready, CYAML_FLAG_OPTIONAL),
	TEXT(ready_path, CYAML_FLAG_OPTIONAL),
	CYAML_FIELD_SEQUENCE("peers", CYAML_FLAG_POINTER | CYAML_FLAG_OPTIONAL,
			     kl_settings_t, peers, &peer_schema, 0, 64),
	CYAML_FIELD_SEQUENCE(
		"read_functions", CYAML_FLAG_POINTER | CYAML_FLAG_OPTIONAL,
		kl_settings_t, read_functions, &function_schema, 0, 256),
	NUMBER(listen_port, CYAML_FLAG_OPTIONAL),
	NUMBER(peer_port, CYAML_FLAG_DEFAULT),
	NUMBER(status_port, CYAML_FLAG_DEFAULT),
	NUMBER(workers, CYAML_FLAG_OPTIONAL),
	NUMBER(lease_ms, CYAML_FLAG_OPTIONAL),
	NUMBER(confirm_ms, CYAML_FLAG_OPTIONAL),
	NUMBER(probe_ms, CYAML_FLAG_OPTIONAL),
	NUMBER(suspect_ms, CYAML_FLAG_OPTIONAL),
	NUMBER(read_wait_ms, CYAML_FLAG_OPTIONAL),
	NUMBER(admit_wait_ms, CYAML_FLAG_OPTIONAL),
	NUMBER(statement_ms, CYAML_FLAG_OPTIONAL),
	NUMBER(silent_ms, CYAML_FLAG_OPTIONAL),
	NUMBER(drain_ms, CYAML_FLAG_OPTIONAL),
	NUMBER(stale_after_ms, CYAML_FLAG_OPTIONAL),
	NUMBER(share_hold_s, CYAML_FLAG_OPTIONAL),
	NUMBER(slots, CYAML_FLAG_OPTIONAL),
	NUMBER(ready_port, CYAML_FLAG_OPTIONAL),
	NUMBER(transaction_grace_ms, CYAML_FLAG_OPTIONAL),
	NUMBER(connect_ms, CYAML_FLAG_OPTIONAL),
	NUMBER(log_lines, CYAML_FLAG_OPTIONAL),
	NUMBER(down_ms, CYAML_FLAG_OPTIONAL),
	NUMBER(leave_ms, CYAML_FLAG_OPTIONAL),
	NUMBER(drain_least_ms, CYAML_FLAG_OPTIONAL),
	CYAML_FIELD_STRING_PTR("duties",
			       CYAML_FLAG_POINTER | CYAML_FLAG_OPTIONAL,
			       kl_settings_t, duties, 0, 200),
	NUMBER(usage_window_s, CYAML_FLAG_OPTIONAL),
	NUMBER(usage_delay_s, CYAML_FLAG_OPTIONAL),
	NUMBER(priority_queues, CYAML_FLAG_OPTIONAL),
	NUMBER(position_wait_ms, CYAML_FLAG_OPTIONAL),
	NUMBER(domain_spill, CYAML_FLAG_OPTIONAL),
	CYAML_FIELD_END
};

static const cyaml_schema_value_t schema = {
	CYAML_VALUE_MAPPING(CYAML_FLAG_POINTER, kl_settings_t, fields),
};

static const cyaml_config_t config = {
	.log_fn = print_message,
	.mem_fn = cyaml_mem,
	.log_level = CYAML_LOG_ERROR,
	.flags = CYAML_CFG_DEFAULT,
};

kl_settings_t *kl_settings_load(const char *path, char *const *overrides)
{
	kl_settings_t *settings = NULL;
	cyaml_err_t error = cyaml_load_file(path, &config, &schema,
					    (cyaml_data_t **)&settings, NULL);

	if (error != CYAML_OK || !settings) {
		fprintf(stderr, "%s: %s\n", path, cyaml_strerror(error));
		return NULL;
	}
	if (check_settings(settings, path, overrides)) {
		kl_settings_free(settings);
		return NULL;
	}
	default_text(&settings->upstream_user, "kumquatloft");
	default_text(&settings->platform_format, "native");
	default_text(&settings->front, "postgresql");
	default_text(&settings->ready_path, "/ready");
	default_text(&settings->duties, "");
	if (check_choices(settings, path)) {
		kl_settings_free(settings);
		return NULL;
	}
	return settings;
}

static void default_text(char **text, const char *default_value)
{
	if (!*text)
		*text = strdup(default_value);
}

static int check_choices(const kl_settings_t *settings, const char *path)
{
	int failed = 0;

	if (!kl_platform_format_find(settings->platform_format))
		failed |= report_invalid(path, "platform_format",
					 "native or objects");
	if (strcmp(settings->front, "postgresql") &&
	    strcmp(settings->front, "line"))
		failed |= report_invalid(path, "front", "postgresql or line");
	return failed;
}

uint64_t kl_settings_leave_us(const kl_settings_t *settings)
{
	return (settings->leave_ms - settings->leave_ms / 5) * 1000ull;
}

void kl_settings_free(kl_settings_t *settings)
{
	cyaml_free(&config, &schema, settings, 0);
}

static int check_settings(kl_settings_t *settings, const char *path,
			  char *const *overrides)
{
	char expected[80];
	int failed = 0;

	failed |= parse_port(path, "listen", settings->listen,
			     &settings->listen_port);
	failed |= parse_port(path, "ready", settings->ready,
			     &settings->ready_port);
	for (; overrides && *overrides; overrides++)
		failed |= apply_override(settings, *overrides);
	for (size_t i = 0; i < NUMBERS; i++) {
		const number_row_t *row = &numbers[i];
		uint32_t *value = number_field(settings, row->offset);

		if (!*value && row->default_value != REQUIRED &&
		    find_line(path, row->name) < 0)
			*value = row->default_value;
		if (*value >= row->min && *value <= row->max)
			continue;
		snprintf(expected, sizeof(expected),
			 "a whole number from %u to %u", row->min, row->max);
		failed |= report_invalid(path, row->name, expected);
	}
	failed |= check_ip(path, "host", settings->host);
	for (uint32_t i = 0; i < settings->peers_count; i++)
		failed |= check_ip(path, "peers", settings->peers[i].host);
	if (strncmp(settings->platform, "http://", 7) &&
	    strncmp(settings->platform, "https://", 8))
		failed |= report_invalid(path, "platform",
					 "an http or https URL");
	if (settings->confirm_ms * 2 > settings->lease_ms)
		failed |= report_invalid(path, "lease_ms",
					 "at least twice confirm_ms");
	return failed;
}

/*
 * Sets a numeric setting from "NAME=VALUE"; the range is checked with those of
 * the file.  An empty value comes from a template that has none.
 */
static int apply_override(kl_settings_t *settings, const char *override)
{
	size_t length = strcspn(override, "=");
	const char *text = override + length + (override[length] == '=');
	char *end = NULL;
	unsigned long value = strtoul(text, &end, 10);

	for (size_t i = 0; i < NUMBERS; i++) {
		if (strlen(numbers[i].name) != length ||
		    strncmp(numbers[i].name, override, length))
			continue;
		if (*end || value > UINT32_MAX)
			break;
		if (*text)
			*number_field(settings, numbers[i].offset) =
				(uint32_t)value;
		return 0;
	}
	fprintf(stderr, "--set %s: expected NAME=NUMBER of a numeric setting\n",
		override);
	return 1;
}

/* Sets *port to the port of IP:PORT; leaves it unchanged if text is NULL. */
static int parse_port(const char *path, const char *name, const char *text,
		      uint32_t *port)
{
	const char *colon = text ? strrchr(text, ':') : NULL;
	char *end = NULL;
	unsigned long value = colon ? strtoul(colon + 1, &end, 10) : 0;

	if (!text)
		return 0;
	if (!value || *end || value > 65535)
		return report_invalid(path, name, "IP:PORT");
	*port = (uint32_t)value;
	return 0;
}

static uint32_t *number_field(kl_settings_t *settings, size_t offset)
{
	return (uint32_t *)((char *)settings + offset);
}

static int check_ip(const char *path, const char *name, const char *text)
{
	unsigned char address[16];

	if (inet_pton(AF_INET, text, address) == 1)
		return 0;
	return report_invalid(path, name, "an IPv4 number");
}

static int report_invalid(const char *path, const char *name,
			  const char *expected)
{
	int line = find_line(path, name);

	if (line > 0)
		fprintf(stderr, "%s:%d: %s: expected %s\n", path, line, name,
			expected);
	else
		fprintf(stderr, "%s: %s: expected %s\n", path, name, expected);
	return 1;
}

/* Returns the line number of a top-level setting, from 1, or -1 if absent. */
static int find_line(const char *path, const char *name)
{
	FILE *file = fopen(path, "r");
	size_t length = strlen(name);
	char text[512];
	int line = 0;
	int found = -1;

	if (!file)
		return -1;
	while (found < 0 && fgets(text, sizeof(text), file)) {
		line++;
		if (!strncmp(text, name, length) &&
		    (text[length] == ':' || text[length] == ' '))
			found = line;
	}
	fclose(file);
	return found;
}

static void print_message(cyaml_log_t level, void *context, const char *format,
			  va_list args)
{
	(void)level;
	(void)context;
	vfprintf(stderr, format, args);
}
