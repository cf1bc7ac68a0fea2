/*
 * Driver of the case "bomb": peers without a login send the beginning of a
 * long line to each machine, and hold the connection for a while.
 *
 * bomb STORE RECORD TROUBLE FRONT...
 *
 * The script that starts it acts as the platform: it ends a process that holds
 * more memory than its machine allows.  Exits with 2 if the case could not run.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "common.h"
#include "config.h"

#define MACHINES_MAX 4
#define PEERS 147	   /* of a zone */
#define LINE_BYTES 1040000 /* a message has at most 1 MiB */
#define WAVES 3
#define SEND_TIMEOUT_MS 1000
#define HOLD_MS 3000
#define BETWEEN_MS 12000 /* from the end of a wave to the next one */

static int peers[MACHINES_MAX][PEERS];

static void send_waves(char **fronts, int count)
{
	char *line = malloc(LINE_BYTES);

	if (!line)
		return;
	memset(line, 'x', LINE_BYTES);
	for (int m = 0; m < count; m++) {
		for (int i = 0; i < PEERS; i++) {
			peers[m][i] = dial(fronts[m], SEND_TIMEOUT_MS);
			if (peers[m][i] >= 0)
				send(peers[m][i], line, LINE_BYTES,
				     MSG_NOSIGNAL);
		}
	}
	free(line);
	record("%d peers have sent %d bytes of a line to each machine", PEERS,
	       LINE_BYTES);
	pause_ms(HOLD_MS);
	for (int m = 0; m < count; m++) {
		for (int i = 0; i < PEERS; i++)
			if (peers[m][i] >= 0)
				close(peers[m][i]);
	}
	record("the peers have left");
}

int main(int argc, char **argv)
{
	int count = argc - 4;
	char *body;

	if (count < 1 || count > MACHINES_MAX)
		return 2;
	record_open(argv[2]);
	body = config_body(1, "\"key-1\"", 0);
	if (!body || !config_create(argv[1], body))
		return 2;
	free(body);
	for (int wave = 0; wave < WAVES; wave++) {
		char error[32];

		if (!await_service((const char *const *)argv + 4, count, ROUTE,
				   "key-1"))
			return 2;
		for (int m = 0; m < count; m++)
			record("machine %d: a read %s %s", m,
			       outcome_names[ask_once(argv[4 + m], ROUTE,
						      "key-1", "READ x",
						      error)],
			       error);
		if (strcmp(argv[3], "0") != 0)
			send_waves(argv + 4, count);
		pause_ms(BETWEEN_MS);
	}
	return 0;
}
