/*
 * A client for the demo and the process tests: reads steps from standard
 * input, runs them through libpq and prints their results.
 *
 *   connect NAME PORT WORKSPACE SERVICE KEY [SETTING=VALUE ...]
 *   exec NAME SQL          print the result
 *   send NAME SQL          send without waiting
 *   wait NAME              print the result of what was sent
 *   until NAME VALUE SQL   repeat until the result is the single row VALUE
 *   fails NAME STATE SQL   repeat until refused with that SQLSTATE
 *   writes NAME SQL        repeat until it is acknowledged
 *   params NAME SQL | VALUE | ...
 *   token NAME             print whether a session token was received
 *   close NAME
 *
 * fails and writes print the time that they took on standard error.
 */
#include <libpq-fe.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#define CLIENTS_MAX 64
#define LINE_SIZE 4096
#define REPEAT_TIMEOUT_MS 25000
#define REPEAT_INTERVAL_MS 10

typedef struct client {
	char name[32];
	PGconn *connection;
	char notice_state[6]; /* SQLSTATE of the last notice, or "" */
} client_t;

typedef void (*step_handler_t)(char *arguments);

static client_t clients[CLIENTS_MAX];
static int failures;

static void step_connect(char *arguments);
static void step_exec(char *arguments);
static void step_send(char *arguments);
static void step_wait(char *arguments);
static void step_until(char *arguments);
static void step_fails(char *arguments);
static void step_writes(char *arguments);
static void step_params(char *arguments);
static void step_token(char *arguments);
static void step_close(char *arguments);
static void on_notice(void *arg, const PGresult *result);
static PGresult *run_query(client_t *client, const char *text);
static PGresult *collect_result(client_t *client);
static client_t *find_client(const char *name, bool create);
static char *next_word(char **arguments);
static void print_result(const char *name, PGresult *result);
static const char *sqlstate_of(const PGresult *result);
static double now_ms(void);
static void wait_interval(void);
static void copy_token(const client_t *from, char *text, size_t size);

static const struct {
	const char *name;
	step_handler_t handler;
} steps[] = {
	{ "connect", step_connect }, { "exec", step_exec },
	{ "send", step_send },	     { "wait", step_wait },
	{ "until", step_until },     { "fails", step_fails },
	{ "writes", step_writes },   { "params", step_params },
	{ "token", step_token },     { "close", step_close },
};

int main(void)
{
	char line[LINE_SIZE];

	setvbuf(stdout, NULL, _IOLBF, 0);
	while (fgets(line, sizeof(line), stdin)) {
		char *arguments = line;
		char *name;
		bool known = false;

		line[strcspn(line, "\n")] = '\0';
		if (!*line || *line == '#')
			continue;
		name = next_word(&arguments);
		for (size_t i = 0; i < sizeof(steps) / sizeof(*steps); i++) {
			if (strcmp(steps[i].name, name))
				continue;
			steps[i].handler(arguments);
			known = true;
		}
		if (!known) {
			printf("no such step: %s\n", name);
			failures++;
		}
	}
	for (int i = 0; i < CLIENTS_MAX; i++)
		if (clients[i].connection)
			PQfinish(clients[i].connection);
	return failures != 0;
}

static void step_connect(char *arguments)
{
	char *name = next_word(&arguments);
	char *port = next_word(&arguments);
	char *workspace = next_word(&arguments);
	char *service = next_word(&arguments);
	char *key = next_word(&arguments);
	char options[1024] = "";
	const char *names[] = { "hostaddr", "port",	  "user",
				"dbname",   "password",	  "sslmode",
				"options",  "gssencmode", "connect_timeout",
				NULL };
	const char *values[] = { getenv("STAND_HOST"),
				 port,
				 workspace,
				 service,
				 key,
				 "disable",
				 options,
				 "disable",
				 "10",
				 NULL };
	client_t *client = find_client(name, true);

	while (*arguments) {
		char *setting = next_word(&arguments);
		char *value = strchr(setting, '=');
		char token[128];
		size_t used = strlen(options);

		if (!value)
			continue;
		*value++ = '\0';
		/* session=@NAME sends the session token of another client. */
		snprintf(token, sizeof(token), "%s", value);
		if (*value == '@')
			copy_token(find_client(value + 1, false), token,
				   sizeof(token));
		snprintf(options + used, sizeof(options) - used,
			 " -c kumquatloft.%s=%s", setting, token);
	}
	if (client->connection)
		PQfinish(client->connection);
	client->connection = PQconnectdbParams(names, values, 0);
	client->notice_state[0] = '\0';
	PQsetNoticeReceiver(client->connection, on_notice, client);
	if (PQstatus(client->connection) == CONNECTION_OK) {
		printf("%s: connected\n", name);
	} else {
		const char *text = PQerrorMessage(client->connection);
		const char *fatal = strstr(text, "FATAL:  ");

		printf("%s: not connected: %s", name, fatal ? fatal + 8 : text);
	}
}

static void step_exec(char *arguments)
{
	client_t *client = find_client(next_word(&arguments), false);
	PGresult *result = run_query(client, arguments);

	print_result(client->name, result);
	PQclear(result);
}

static void step_send(char *arguments)
{
	client_t *client = find_client(next_word(&arguments), false);

	PQsendQuery(client->connection, arguments);
	printf("%s: sent\n", client->name);
}

static void step_wait(char *arguments)
{
	client_t *client = find_client(next_word(&arguments), false);
	PGresult *result = collect_result(client);

	print_result(client->name, result);
	PQclear(result);
}

static void step_until(char *arguments)
{
	client_t *client = find_client(next_word(&arguments), false);
	char *value = next_word(&arguments);
	double start = now_ms();
	bool matches = false;

	while (!matches && now_ms() - start < REPEAT_TIMEOUT_MS) {
		PGresult *result = run_query(client, arguments);

		matches = PQntuples(result) == 1 &&
			  !strcmp(PQgetvalue(result, 0, 0), value);
		PQclear(result);
		if (!matches)
			wait_interval();
	}
	printf("%s: %s %s\n", client->name, matches ? "reached" : "never",
	       value);
	failures += !matches;
}

static void step_fails(char *arguments)
{
	client_t *client = find_client(next_word(&arguments), false);
	char *state = next_word(&arguments);
	double start = now_ms();
	bool refused = false;

	while (!refused && now_ms() - start < REPEAT_TIMEOUT_MS) {
		PGresult *result = run_query(client, arguments);

		refused = !strcmp(sqlstate_of(result), state) ||
			  !strcmp(client->notice_state, state);
		PQclear(result);
		if (!refused)
			wait_interval();
	}
	printf("%s: %s %s\n", client->name, refused ? "refused" : "not refused",
	       state);
	failures += !refused;
	fprintf(stderr, "%s refused after %.0f ms\n", client->name,
		now_ms() - start);
}

static void step_writes(char *arguments)
{
	client_t *client = find_client(next_word(&arguments), false);
	double start = now_ms();
	bool acknowledged = false;

	while (!acknowledged && now_ms() - start < REPEAT_TIMEOUT_MS) {
		PGresult *result = run_query(client, arguments);

		acknowledged = PQresultStatus(result) == PGRES_COMMAND_OK;
		PQclear(result);
		if (!acknowledged)
			wait_interval();
	}
	printf("%s: %s\n", client->name,
	       acknowledged ? "written" : "not written");
	failures += !acknowledged;
	fprintf(stderr, "%s acknowledged after %.0f ms\n", client->name,
		now_ms() - start);
}

static void step_params(char *arguments)
{
	client_t *client = find_client(next_word(&arguments), false);
	const char *values[16];
	char *save = NULL;
	char *text = strtok_r(arguments, "|", &save);
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

static void step_token(char *arguments)
{
	client_t *client = find_client(next_word(&arguments), false);
	char text[128];

	copy_token(client, text, sizeof(text));
	printf("%s: %s\n", client->name, *text ? "token" : "no token");
}

static void step_close(char *arguments)
{
	client_t *client = find_client(next_word(&arguments), false);

	PQfinish(client->connection);
	client->connection = NULL;
	printf("%s: closed\n", client->name);
}

static void copy_token(const client_t *from, char *text, size_t size)
{
	const char *token =
		PQparameterStatus(from->connection, "kumquatloft.session");

	snprintf(text, size, "%s", token ? token : "");
}

static PGresult *run_query(client_t *client, const char *text)
{
	if (!PQsendQuery(client->connection, text))
		return PQmakeEmptyPGresult(client->connection,
					   PGRES_FATAL_ERROR);
	return collect_result(client);
}

/*
 * Returns the first error, or else the last result. PQexec would return the
 * last error, which is the lost connection, not the server's error before it.
 */
static PGresult *collect_result(client_t *client)
{
	PGresult *returned = NULL;
	PGresult *result;

	while ((result = PQgetResult(client->connection))) {
		if (returned && *sqlstate_of(returned)) {
			PQclear(result);
			continue;
		}
		PQclear(returned);
		returned = result;
	}
	return returned;
}

/* libpq reports the error that ended an idle connection as a notice. */
static void on_notice(void *arg, const PGresult *result)
{
	client_t *client = arg;
	const char *state = PQresultErrorField(result, PG_DIAG_SQLSTATE);

	snprintf(client->notice_state, sizeof(client->notice_state), "%s",
		 state ? state : "");
}

static client_t *find_client(const char *name, bool create)
{
	for (int i = 0; i < CLIENTS_MAX; i++) {
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

static char *next_word(char **arguments)
{
	char *start = *arguments + strspn(*arguments, " ");
	char *end = start + strcspn(start, " ");

	*arguments = *end ? end + 1 : end;
	*end = '\0';
	return start;
}

static void print_result(const char *name, PGresult *result)
{
	const char *text = PQresultErrorField(result, PG_DIAG_MESSAGE_PRIMARY);

	if (*sqlstate_of(result)) {
		printf("%s: %s %s\n", name, sqlstate_of(result),
		       text ? text : "connection lost");
		return;
	}
	printf("%s: %s\n", name, PQcmdStatus(result));
	for (int i = 0; i < PQntuples(result); i++)
		printf("%s:   %s\n", name, PQgetvalue(result, i, 0));
}

/* The SQLSTATE, "lost" if the connection was lost, or "" without an error. */
static const char *sqlstate_of(const PGresult *result)
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

static void wait_interval(void)
{
	struct timespec pause = { 0, REPEAT_INTERVAL_MS * 1000000l };

	nanosleep(&pause, NULL);
}
