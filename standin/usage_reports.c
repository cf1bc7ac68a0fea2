#include <event2/buffer.h>
#include <glib.h>
#include <inttypes.h>
#include <jansson.h>
#include <stdlib.h>
#include <string.h>

#include "standin/usage_reports.h"

#define HOLDER_BYTES 64

static int unavailable;	    /* answer all reports with 503 */
static int answers_to_lose; /* of the next reports that are accepted */
static uint64_t last_token; /* the highest one received */
static char last_holder[HOLDER_BYTES];
/* Reports that break a rule of the duty. */
static unsigned different_reports, stale_tokens, shared_tokens, malformed;
static unsigned repeated_reports;
static GTree *counts_by_window; /* text of the first report's counts */

static void on_report(struct evhttp_request *request, void *arg);
static int receive_report(struct evhttp_request *request);
static int store_report(json_int_t window, json_t *counts);
static void on_print(struct evhttp_request *request, void *arg);
static gboolean print_window(gpointer window, gpointer counts, gpointer body);
static gint compare_windows(gconstpointer a, gconstpointer b, gpointer data);
static void send_status(struct evhttp_request *request, int status);

void usage_reports_serve(struct evhttp *http)
{
	counts_by_window =
		g_tree_new_full(compare_windows, NULL, g_free, g_free);
	evhttp_set_cb(http, "/usage", on_report, NULL);
	evhttp_set_cb(http, "/standin/usage", on_print, NULL);
}

int usage_reports_set_fault(const char *name, int value)
{
	if (!strcmp(name, "down"))
		unavailable = value;
	else if (!strcmp(name, "lose"))
		answers_to_lose = value;
	else
		return -1;
	return 0;
}

static void on_report(struct evhttp_request *request, void *arg)
{
	int status;
	(void)arg;

	status = unavailable ? 503 : receive_report(request);
	if (status == 200 && answers_to_lose > 0) {
		answers_to_lose--;
		status = 503;
	}
	send_status(request, status);
}

/* Checks the token and stores a report. @return HTTP status */
static int receive_report(struct evhttp_request *request)
{
	struct evkeyvalq *headers = evhttp_request_get_input_headers(request);
	struct evbuffer *input = evhttp_request_get_input_buffer(request);
	const char *holder = evhttp_find_header(headers, "Lease-Holder");
	const char *token_text = evhttp_find_header(headers, "Fencing-Token");
	json_t *body = json_loadb((char *)evbuffer_pullup(input, -1),
				  evbuffer_get_length(input), 0, NULL);
	json_t *counts;
	json_int_t window;
	uint64_t token = token_text ? strtoull(token_text, NULL, 10) : 0;
	int status = 400;

	if (!holder || !token ||
	    json_unpack(body, "{s:I,s:o}", "windowId", &window, "counts",
			&counts) ||
	    !json_is_object(counts)) {
		malformed++;
		goto out;
	}
	status = 409;
	if (token < last_token) {
		stale_tokens++;
		goto out;
	}
	if (token == last_token && strcmp(holder, last_holder)) {
		shared_tokens++;
		goto out;
	}
	last_token = token;
	g_strlcpy(last_holder, holder, sizeof(last_holder));
	status = store_report(window, counts);
out:
	json_decref(body);
	return status;
}

/* Two different reports of a window are an error that /standin/usage shows. */
static int store_report(json_int_t window, json_t *counts)
{
	char *text = json_dumps(counts, JSON_COMPACT | JSON_SORT_KEYS);
	const char *held = g_tree_lookup(counts_by_window, &window);
	int status = 200;

	if (!held) {
		g_tree_insert(counts_by_window,
			      g_memdup2(&window, sizeof(window)),
			      g_strdup(text));
	} else if (strcmp(held, text)) {
		different_reports++;
		status = 409;
	} else {
		repeated_reports++;
	}
	free(text);
	return status;
}

static void on_print(struct evhttp_request *request, void *arg)
{
	struct evbuffer *body = evbuffer_new();
	(void)arg;

	evbuffer_add_printf(body,
			    "different %u stale %u shared %u malformed %u "
			    "repeated %u holder %s token %" PRIu64 "\n",
			    different_reports, stale_tokens, shared_tokens,
			    malformed, repeated_reports, last_holder,
			    last_token);
	g_tree_foreach(counts_by_window, print_window, body);
	evhttp_send_reply(request, 200, NULL, body);
	evbuffer_free(body);
}

static gboolean print_window(gpointer window, gpointer counts, gpointer body)
{
	evbuffer_add_printf(body, "%" JSON_INTEGER_FORMAT " %s\n",
			    *(json_int_t *)window, (char *)counts);
	return FALSE;
}

static gint compare_windows(gconstpointer a, gconstpointer b, gpointer data)
{
	json_int_t first = *(const json_int_t *)a;
	json_int_t second = *(const json_int_t *)b;
	(void)data;

	return (first > second) - (first < second);
}

static void send_status(struct evhttp_request *request, int status)
{
	struct evbuffer *body = evbuffer_new();

	evbuffer_add_printf(body, "{}\n");
	evhttp_send_reply(request, status, NULL, body);
	evbuffer_free(body);
}
