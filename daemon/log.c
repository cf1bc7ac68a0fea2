#include <jansson.h>
#include <log4c.h>
#include <stdio.h>
#include <string.h>
#include <time.h>

#include "daemon/log.h"

static int appender_append(log4c_appender_t *appender,
			   const log4c_logging_event_t *event);
static const char *layout_format(const log4c_layout_t *layout,
				 const log4c_logging_event_t *event);
static void add_text(json_t *line, const char *name, const char *value);
static void write_line(json_t *line);

/* The stock stream appender puts the category before each line. */
static const log4c_appender_type_t appender_type = {
	.name = "kumquatloft_stderr",
	.append = appender_append,
};

static const log4c_layout_type_t layout_type = {
	.name = "kumquatloft_json",
	.format = layout_format,
};

static log4c_category_t *category;
static char vm_name[KL_NAME_MAX];

void kl_log_open(const char *vm)
{
	log4c_appender_t *appender;
	log4c_layout_t *layout;

	snprintf(vm_name, sizeof(vm_name), "%s", vm);
	log4c_init();
	log4c_appender_type_set(&appender_type);
	log4c_layout_type_set(&layout_type);
	appender = log4c_appender_get("kumquatloft_stderr");
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

void kl_log_decision(const kl_decision_t *decision)
{
	json_t *line = json_object();

	add_text(line, "decision", decision->what);
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

void kl_log_text(const char *what, const char *text)
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
	(void)appender;
	return fprintf(stderr, "%s\n", event->evt_rendered_msg);
}

static const char *layout_format(const log4c_layout_t *layout,
				 const log4c_logging_event_t *event)
{
	(void)layout;
	return event->evt_msg;
}
