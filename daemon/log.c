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
static bool allow_line(const char *name);
static void log_dropped(const char *name, uint64_t count);
static void add_text(json_t *line, const char *name, const char *value);
static void write_line(json_t *line);

/* log4c's own stream appender prefixes each line with the category. */
static const log4c_appender_type_t appender_type = {
	.name = "kumquatloft_stdout",
	.append = appender_append,
};

static const log4c_layout_type_t layout_type = {
	.name = "kumquatloft_json",
	.format = layout_format,
};

#define DECISION_KINDS_MAX 32 /* further kinds share the last rate limit */

/* Rate limit of one kind of decision. */
typedef struct rate_limit {
	const char *name;	/* the kind, or NULL if unused */
	time_t counted_second;	/* of CLOCK_MONOTONIC */
	uint32_t lines_written; /* in that second */
	uint64_t lines_dropped; /* in that second */
} rate_limit_t;

static pthread_mutex_t rate_limit_lock = PTHREAD_MUTEX_INITIALIZER;
static rate_limit_t rate_limits[DECISION_KINDS_MAX];
static uint32_t max_lines_per_second = 50;
static log4c_category_t *category;
static char vm_name[KL_NAME_MAX];

void kl_log_open(const char *vm, uint32_t lines_per_second)
{
	log4c_appender_t *appender;
	log4c_layout_t *layout;

	snprintf(vm_name, sizeof(vm_name), "%s", vm);
	max_lines_per_second = lines_per_second;
	/* If the reader is slow, lines are lost and no thread blocks. */
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

/*
 * Returns whether a line of this kind may be written now.  If lines of the kind
 * were dropped in an earlier second, logs their number first.
 */
static bool allow_line(const char *name)
{
	struct timespec now;
	rate_limit_t *limit = NULL;
	uint64_t dropped = 0;
	bool allowed;

	clock_gettime(CLOCK_MONOTONIC, &now);
	pthread_mutex_lock(&rate_limit_lock);
	for (size_t i = 0; i < DECISION_KINDS_MAX && !limit; i++)
		if (!rate_limits[i].name || !strcmp(rate_limits[i].name, name))
			limit = &rate_limits[i];
	if (!limit)
		limit = &rate_limits[DECISION_KINDS_MAX - 1];
	limit->name = limit->name ? limit->name : name;
	if (limit->counted_second != now.tv_sec) {
		dropped = limit->lines_dropped;
		limit->counted_second = now.tv_sec;
		limit->lines_written = 0;
		limit->lines_dropped = 0;
	}
	allowed = limit->lines_written < max_lines_per_second;
	limit->lines_written += allowed;
	limit->lines_dropped += !allowed;
	pthread_mutex_unlock(&rate_limit_lock);
	if (dropped)
		log_dropped(name, dropped);
	return allowed;
}

static void log_dropped(const char *name, uint64_t count)
{
	json_t *line = json_object();

	add_text(line, "event", "lines_dropped");
	add_text(line, "text", name);
	json_object_set_new(line, "count", json_integer((json_int_t)count));
	write_line(line);
}

void kl_log_decision(const kl_decision_t *decision)
{
	json_t *line = json_object();

	if (!allow_line(decision->name)) {
		json_decref(line);
		return;
	}
	add_text(line, "decision", decision->name);
	add_text(line, "request", decision->request);
	add_text(line, "workspace", decision->workspace);
	add_text(line, "service", decision->service);
	add_text(line, "upstream", decision->upstream);
	add_text(line, "reason", decision->reason);
	add_text(line, "feed", decision->feed);
	add_text(line, "peer", decision->peer);
	if (decision->config_version)
		json_object_set_new(
			line, "config_version",
			json_integer((json_int_t)decision->config_version));
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

void kl_log_event(const char *event, const char *text)
{
	json_t *line = json_object();

	add_text(line, "event", event);
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

void kl_log_platform_error(const kl_platform_answer_t *answer,
			   uint64_t duration_us)
{
	static const char *const events[KL_PLATFORM_OP_COUNT] = {
		[KL_PLATFORM_LIST] = "platform_list_failed",
		[KL_PLATFORM_WATCH] = "platform_watch_failed",
		[KL_PLATFORM_PUT] = "platform_put_failed",
		[KL_PLATFORM_GET] = "platform_get_failed",
		[KL_PLATFORM_PROMOTE] = "platform_promote_failed",
		[KL_PLATFORM_REPORT_USAGE] = "platform_usage_failed",
	};
	bool reads_feed = answer->op == KL_PLATFORM_LIST ||
			  answer->op == KL_PLATFORM_WATCH;
	kl_decision_t decision = { .name = events[answer->op],
				   .service = answer->name,
				   .reason = kl_error_info(answer->error)->name,
				   .feed = reads_feed
						   ? kl_feed_name(answer->feed)
						   : NULL,
				   .age_us = duration_us };

	kl_log_decision(&decision);
}
