#include <inttypes.h>
#include <stddef.h>

#include "daemon/status_usage.h"

typedef struct usage_row {
	const char *name;
	const char *help;
	const char *type;
	size_t offset; /* of the member of kl_usage_t, a uint64_t */
} usage_row_t;

static const usage_row_t usage_rows[] = {
	{ "kl_usage_last_window", "last usage window whose report is decided",
	  "gauge", offsetof(kl_usage_t, last_window) },
	{ "kl_usage_token", "fencing token of the VM that reports usage",
	  "gauge", offsetof(kl_usage_t, token) },
	{ "kl_usage_windows_reported_total",
	  "usage windows reported by this VM", "counter",
	  offsetof(kl_usage_t, windows_reported) },
	{ "kl_usage_windows_missed_total",
	  "usage windows that this VM could not report in time", "counter",
	  offsetof(kl_usage_t, windows_missed) },
	{ "kl_usage_windows_repeated_total",
	  "calls of this VM that repeated a usage report", "counter",
	  offsetof(kl_usage_t, windows_repeated) },
	{ "kl_usage_late_operations_total",
	  "operations that came too late for the report of their window",
	  "counter", offsetof(kl_usage_t, late_operations) },
	{ "kl_usage_ignored_messages_total",
	  "messages with counts of usage that were old or repeated", "counter",
	  offsetof(kl_usage_t, ignored_messages) },
};

static void add_metric(struct evbuffer *body, const char *name,
		       const char *help, const char *type, uint64_t value);

void kl_status_add_usage(struct evbuffer *body, kl_node_t *node)
{
	const kl_usage_t *usage;

	kl_read_begin(node->reader);
	usage = kl_node_get(node, KL_SECTION_USAGE);
	if (!usage)
		goto out;
	add_metric(body, "kl_usage_holder",
		   "1 while this VM holds the duty of usage reports", "gauge",
		   usage->is_holder);
	for (size_t i = 0; i < sizeof(usage_rows) / sizeof(*usage_rows); i++) {
		const usage_row_t *row = &usage_rows[i];
		const char *member = (const char *)usage + row->offset;

		add_metric(body, row->name, row->help, row->type,
			   *(const uint64_t *)(const void *)member);
	}
out:
	kl_read_end(node->reader);
}

static void add_metric(struct evbuffer *body, const char *name,
		       const char *help, const char *type, uint64_t value)
{
	evbuffer_add_printf(body,
			    "# HELP %s %s\n# TYPE %s %s\n%s %" PRIu64 "\n",
			    name, help, name, type, name, value);
}
