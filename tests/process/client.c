/*
 * A caller for the demo and the process tests: reads steps from standard
 * input, runs them through libpq and prints what came of them.
 *
 *   connect NAME PORT WORKSPACE SERVICE KEY [SETTING=VALUE ...]
 *   exec NAME SQL          print the answer
 *   send NAME SQL          send without waiting
 *   wait NAME              print the answer to what was sent
 *   until NAME VALUE SQL   repeat until the answer's first value is VALUE
 *   fails NAME STATE SQL   repeat until refused with that SQLSTATE
 *   writes NAME SQL        repeat until it is acknowledged; print the gap
 *   params NAME SQL | VALUE | ...
 *   token NAME             print the session token's presence
 *   close NAME
 */
#include <libpq-fe.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#define CLIENTS 64
#define LINE 4096
#define PATIENCE_MS 25000
#define PAUSE_MS 10

typedef struct client {
	char name[32];
	PGconn *connection;
	char last_words[6]; /* SQLSTATE that came unasked, before the end */
} client_t;

typedef void (*step_t)(char *rest);

static client_t clients[CLIENTS];
static int failures;

static void step_connect(char *rest);
static void step_exec(char *rest);
static void step_send(char *rest);
static void step_wait(char *rest);
static void step_until(char *rest);
static void step_fails(char *rest);
static void step_writes(char *rest);
static void step_params(char *rest);
static void step_token(char *rest);
static void step_close(char *rest);
static void on_notice(void *arg, const PGresult *result);
static PGresult *run(client_t *client, const char *text);
static client_t *client_of(const char *name, bool create);
static char *word(char **rest);
static void print_result(const char *name, PGresult *result);
static const char *state_of(const PGresult *result);
static double now_ms(void);
static void pause_a_little(void);
static void take_token(const client_t *from, char *text, size_t room);

static const struct {
	const char *name;
	step_t run;
} steps[] = {
	{ "connect", step_connect }, { "exec", step_exec },
	{ "send", step_send },	     { "wait", step_wait },
	{ "until", step_until },     { "fails", step_fails },
	{ "writes", step_writes },   { "params", step_params },
	{ "token", step_token },     { "close", step_close },
};

int main(void)
{
	char line[LINE];

	setvbuf(stdout, NULL, _IOLBF, 0);
	while (fgets(line, sizeof(line), stdin)) {
		char *rest = line;
		char *name;
		bool known = false;

		line[strcspn(line, "\n")] = '\0';
		if (!*line || *line == '#')
			continue;
		name = word(&rest);
		for (size_t i = 0; i < sizeof(steps) / sizeof(*steps); i++) {
			if (strcmp(steps[i].name, name))
				continue;
			steps[i].run(rest);
			known = true;
		}
		if (!known) {
			printf("no such step: %s\n", name);
			failures++;
		}
	}
	for (int i = 0; i < CLIENTS; i++)
		if (clients[i].connection)
			PQfinish(clients[i].connection);
	return failures != 0;
}

static void step_connect(char *rest)
{
	char *name = word(&rest);
	char *port = word(&rest);
	char *workspace = word(&rest);
	char *service = word(&rest);
	char *key = word(&rest);
	char options[1024] = "";
	const char *names[] = { "hostaddr", "port",	  "user",
				"dbname",   "password",	  "sslmode",
				"options",  "gssencmode", "connect_timeout",
				NULL };
	const char *values[] = {
		"127.0.0.1", port,    workspace, service, key,
		"disable",   options, "disable", "10",	  NULL
	};
	client_t *client = client_of(name, true);

	while (*rest) {
		char *setting = word(&rest);
		char *value = strchr(setting, '=');
		char token[128];
		size_t used = strlen(options);

		if (!value)
			continue;
		*value++ = '\0';
		/* session=@NAME passes on another client's token. */
		snprintf(token, sizeof(token), "%s", value);
		if (*value == '@')
			take_token(client_of(value + 1, false), token,
				   sizeof(token));
		snprintf(options + used, sizeof(options) - used,
			 " -c kumquatloft.%s=%s", setting, token);
	}
	if (client->connection)
		PQfinish(client->connection);
	client->connection = PQconnectdbParams(names, values, 0);
	client->last_words[0] = '\0';
	PQsetNoticeReceiver(client->connection, on_notice, client);
	if (PQstatus(client->connection) == CONNECTION_OK) {
		printf("%s: connected\n", name);
	} else {
		const char *text = PQerrorMessage(client->connection);
		const char *fatal = strstr(text, "FATAL:  ");

		printf("%s: not connected: %s", name, fatal ? fatal + 8 : text);
	}
}

static void step_exec(char *rest)
{
	client_t *client = client_of(word(&rest), false);
	PGresult *result = run(client, rest);

	print_result(client->name, result);
	PQclear(result);
}

static void step_send(char *rest)
{
	client_t *client = client_of(word(&rest), false);

	PQsendQuery(client->connection, rest);
	printf("%s: sent\n", client->name);
}

static void step_wait(char *rest)
{
	client_t *client = client_of(word(&rest), false);
	PGresult *result;

	while ((result = PQgetResult(client->connection))) {
		print_result(client->name, result);
		PQclear(result);
	}
}

static void step_until(char *rest)
{
	client_t *client = client_of(word(&rest), false);
	char *value = word(&rest);
	double start = now_ms();
	bool same = false;

	while (!same && now_ms() - start < PATIENCE_MS) {
		PGresult *result = run(client, rest);

		same = PQntuples(result) == 1 &&
		       !strcmp(PQgetvalue(result, 0, 0), value);
		PQclear(result);
		if (!same)
			pause_a_little();
	}
	printf("%s: %s %s\n", client->name, same ? "reached" : "never", value);
	failures += !same;
}

static void step_fails(char *rest)
{
	client_t *client = client_of(word(&rest), false);
	char *state = word(&rest);
	double start = now_ms();
	bool same = false;

	while (!same && now_ms() - start < PATIENCE_MS) {
		PGresult *result = run(client, rest);

		same = !strcmp(state_of(result), state) ||
		       !strcmp(client->last_words, state);
		PQclear(result);
		if (!same)
			pause_a_little();
	}
	printf("%s: %s %s\n", client->name, same ? "refused" : "not refused",
	       state);
	failures += !same;
	fprintf(stderr, "%s refused after %.0f ms\n", client->name,
		now_ms() - start);
}

static void step_writes(char *rest)
{
	client_t *client = client_of(word(&rest), false);
	double start = now_ms();
	bool done = false;

	while (!done && now_ms() - start < PATIENCE_MS) {
		PGresult *result = run(client, rest);

		done = PQresultStatus(result) == PGRES_COMMAND_OK;
		PQclear(result);
		if (!done)
			pause_a_little();
	}
	printf("%s: %s\n", client->name, done ? "written" : "not written");
	failures += !done;
	fprintf(stderr, "%s acknowledged after %.0f ms\n", client->name,
		now_ms() - start);
}

static void step_params(char *rest)
{
	client_t *client = client_of(word(&rest), false);
	const char *values[16];
	char *save = NULL;
	char *text = strtok_r(rest, "|", &save);
	char *value;
	int count = 0;
	PGresult *result;

	while ((value = strtok_r(NULL, "|", &save)) && count < 16)
		values[count++] = value;
	result = PQexecParams(client->connection, text, count, NULL, values,
			      NULL, NULL, 0);
	print_result(client->name, result);
	PQclear(result);
}

static void step_token(char *rest)
{
	client_t *client = client_of(word(&rest), false);
	char text[128];

	take_token(client, text, sizeof(text));
	printf("%s: %s\n", client->name, *text ? "token" : "no token");
}

static void step_close(char *rest)
{
	client_t *client = client_of(word(&rest), false);

	PQfinish(client->connection);
	client->connection = NULL;
	printf("%s: closed\n", client->name);
}

static void take_token(const client_t *from, char *text, size_t room)
{
	const char *token =
		PQparameterStatus(from->connection, "kumquatloft.session");

	snprintf(text, room, "%s", token ? token : "");
}

/* The first error is the server's; PQexec would show the lost connection. */
static PGresult *run(client_t *client, const char *text)
{
	PGresult *kept = NULL;
	PGresult *result;

	if (!PQsendQuery(client->connection, text))
		return PQmakeEmptyPGresult(client->connection,
					   PGRES_FATAL_ERROR);
	while ((result = PQgetResult(client->connection))) {
		if (kept && *state_of(kept)) {
			PQclear(result);
			continue;
		}
		PQclear(kept);
		kept = result;
	}
	return kept;
}

/* libpq hands on as a notice what ends an idle connection. */
static void on_notice(void *arg, const PGresult *result)
{
	client_t *client = arg;
	const char *state = PQresultErrorField(result, PG_DIAG_SQLSTATE);

	snprintf(client->last_words, sizeof(client->last_words), "%s",
		 state ? state : "");
}

static client_t *client_of(const char *name, bool create)
{
	for (int i = 0; i < CLIENTS; i++) {
		if (!strcmp(clients[i].name, name))
			return &clients[i];
		if (!clients[i].name[0] && create) {
			snprintf(clients[i].name, sizeof(clients[i].name), "%s",
				 name);
			return &clients[i];
		}
	}
	fprintf(stderr, "no client %s\n", name);
	exit(1);
}

static char *word(char **rest)
{
	char *start = *rest + strspn(*rest, " ");
	char *end = start + strcspn(start, " ");

	*rest = *end ? end + 1 : end;
	*end = '\0';
	return start;
}

static void print_result(const char *name, PGresult *result)
{
	const char *text = PQresultErrorField(result, PG_DIAG_MESSAGE_PRIMARY);

	if (*state_of(result)) {
		printf("%s: %s %s\n", name, state_of(result),
		       text ? text : "connection lost");
		return;
	}
	printf("%s: %s\n", name, PQcmdStatus(result));
	for (int i = 0; i < PQntuples(result); i++)
		printf("%s:   %s\n", name, PQgetvalue(result, i, 0));
}

/* The SQLSTATE, "lost" for a connection that is gone, or "". */
static const char *state_of(const PGresult *result)
{
	const char *state = PQresultErrorField(result, PG_DIAG_SQLSTATE);
	ExecStatusType status = PQresultStatus(result);

	if (status == PGRES_COMMAND_OK || status == PGRES_TUPLES_OK ||
	    status == PGRES_EMPTY_QUERY)
		return "";
	return state ? state : "lost";
}

static double now_ms(void)
{
	struct timespec now;

	clock_gettime(CLOCK_MONOTONIC, &now);
	return (double)now.tv_sec * 1e3 + (double)now.tv_nsec / 1e6;
}

static void pause_a_little(void)
{
	struct timespec pause = { 0, PAUSE_MS * 1000000l };

	nanosleep(&pause, NULL);
}
