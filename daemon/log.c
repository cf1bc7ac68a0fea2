#include <fcntl.h>
#include <jansson.h>
#include <log4c.h>
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/uio.h>
#include <time.h>
#include <unistd.h>

#include "daemon/log.h"

static int appender_append(log4c_appender_t *appender,
			   const log4c_logging_event_t *event);
static const char *layout_format(const log4c_layout_t *layout,
				 const log4c_logging_event_t *event);
static bool within_budget(const char *what);
static void log_dropped(const char *what, uint64_t count);
static void add_text(json_t *line, const char *name, const char *value);
static void write_line(json_t *line);

/* The stock stream appender puts the category before each line. */
static const log4c_appender_type_t appender_type = {
	.name = "kumquatloft_stdout",
	.append = appender_append,
};

static const log4c_layout_type_t layout_type = {
	.name = "kumquatloft_json",
	.format = layout_format,
};

#define KINDS 32 /* of decisions, each with a budget of its own */

typedef struct budget {
	const char *what;
	time_t second;
	uint32_t lines;
	uint64_t dropped;
} budget_t;

static pthread_mutex_t budget_lock = PTHREAD_MUTEX_INITIALIZER;
static budget_t budgets[KINDS];
static uint32_t lines_per_second = 50;
static log4c_category_t *category;
static char vm_name[KL_NAME_MAX];

void kl_log_open(const char *vm, uint32_t lines)
{
	log4c_appender_t *appender;
	log4c_layout_t *layout;

	snprintf(vm_name, sizeof(vm_name), "%s", vm);
	lines_per_second = lines;
	/* A reader that is slow loses lines; it never holds a thread up. */
	fcntl(STDOUT_FILENO, F_SETFL,
	      fcntl(STDOUT_FILENO, F_GETFL) | O_NONBLOCK);
	log4c_init();
	log4c_appender_type_set(&appender_type);
	log4c_layout_type_set(&layout_type);
	appender = log4c_appender_get("kumquatloft_stdout");
	layout = log4c_layout_get("kumquatloft_json");
	log4c_appender_set_type(appender, &appender_type);
	log4c_layout_set_type(layout, &layout_type);
	log4c_appender_set_layout(appender, layout);
	category = log4c_category_get("kumquatloft");
	log4c_category_set_appender(category, appender);
	log4c_category_set_priority(category, LOG4C_PRIORITY_INFO);
}

void kl_log_close(void)
{
	category = NULL;
	log4c_fini();
}

/* So many lines a second of one kind; what was left out is counted. */
static bool within_budget(const char *what)
{
	struct timespec now;
	budget_t *budget = NULL;
	uint64_t dropped = 0;
	bool good;

	clock_gettime(CLOCK_MONOTONIC, &now);
	pthread_mutex_lock(&budget_lock);
	for (size_t i = 0; i < KINDS && !budget; i++)
		if (!budgets[i].what || !strcmp(budgets[i].what, what))
			budget = &budgets[i];
	if (!budget)
		budget = &budgets[KINDS - 1];
	budget->what = budget->what ? budget->what : what;
	if (budget->second != now.tv_sec) {
		dropped = budget->dropped;
		budget->second = now.tv_sec;
		budget->lines = 0;
		budget->dropped = 0;
	}
	good = budget->lines < lines_per_second;
	budget->lines += good;
	budget->dropped += !good;
	pthread_mutex_unlock(&budget_lock);
	if (dropped)
		log_dropped(what, dropped);
	return good;
}

static void log_dropped(const char *what, uint64_t count)
{
	json_t *line = json_object();

	add_text(line, "event", "lines_dropped");
	add_text(line, "text", what);
	json_object_set_new(line, "count", json_integer((json_int_t)count));
	write_line(line);
}

void kl_log_decision(const kl_decision_t *decision)
{
	json_t *line = json_object();

	if (!within_budget(decision->name)) {
		json_decref(line);
		return;
	}
	add_text(line, "decision", decision->name);
	add_text(line, "request", decision->request);
	add_text(line, "workspace", decision->workspace);
	add_text(line, "service", decision->service);
	add_text(line, "upstream", decision->upstream);
	add_text(line, "reason", decision->reason);
	if (decision->term)
		json_object_set_new(line, "term",
				    json_integer((json_int_t)decision->term));
	if (decision->position)
		json_object_set_new(
			line, "position",
			json_integer((json_int_t)decision->position));
	if (decision->age_us)
		json_object_set_new(line, "age_us",
				    json_integer((json_int_t)decision->age_us));
	write_line(line);
}

void kl_log_event(const char *what, const char *text)
{
	json_t *line = json_object();

	add_text(line, "event", what);
	add_text(line, "text", text);
	write_line(line);
}

static void add_text(json_t *line, const char *name, const char *value)
{
	if (value && *value)
		json_object_set_new(line, name, json_string(value));
}

static void write_line(json_t *line)
{
	struct timespec now;
	char *text;

	clock_gettime(CLOCK_REALTIME, &now);
	json_object_set_new(line, "time_us",
			    json_integer((json_int_t)now.tv_sec * 1000000 +
					 now.tv_nsec / 1000));
	add_text(line, "vm", vm_name);
	text = json_dumps(line, JSON_COMPACT);
	json_decref(line);
	if (text && category)
		log4c_category_log(category, LOG4C_PRIORITY_INFO, "%s", text);
	free(text);
}

static int appender_append(log4c_appender_t *appender,
			   const log4c_logging_event_t *event)
{
	static char end[] = "\n";
	char *text = (char *)event->evt_rendered_msg;
	struct iovec parts[2] = { { text, strlen(text) }, { end, 1 } };
	(void)appender;

	if (writev(STDOUT_FILENO, parts, 2) < 0)
		return 0;
	return 1;
}

static const char *layout_format(const log4c_layout_t *layout,
				 const log4c_logging_event_t *event)
{
	(void)layout;
	return event->evt_msg;
}
