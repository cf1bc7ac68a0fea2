/* Which VMs were undisturbed, and the statements that they sent too late. */
#include <glib.h>
#include <stdio.h>

#include "tests/soak/soak.h"

/* The beginning or the end of a disturbance. */
typedef struct touch_change {
	int vm;	  /* or TOUCH_ALL */
	int step; /* 1 or -1 */
	uint64_t at_us;
} touch_change_t;

static GArray *changes;

static void add_change(int vm, int step);
static bool was_in_touch(int vm, uint64_t at_us);

void touch_reset(void)
{
	if (changes)
		g_array_unref(changes);
	changes = g_array_new(FALSE, FALSE, sizeof(touch_change_t));
}

void touch_begin(int vm)
{
	add_change(vm, 1);
}

void touch_end(int vm)
{
	add_change(vm, -1);
}

int touch_check_late_statements(const char *lines)
{
	gchar **list = g_strsplit(lines, "\n", -1);
	int violations = 0, excused = 0;

	for (int i = 0; list[i] && *list[i]; i++) {
		char id[64], database[64], state;
		gint64 age_ms;
		guint64 at_us;
		int vm;

		if (sscanf(list[i],
			   "%63s %63s %c %" G_GINT64_FORMAT
			   " %" G_GUINT64_FORMAT,
			   id, database, &state, &age_ms, &at_us) != 5 ||
		    sscanf(id, "v%d", &vm) != 1)
			continue;
		if (!was_in_touch(vm, at_us)) {
			excused++;
			continue;
		}
		soak_violation("statement %s (%c) reached %s %" G_GINT64_FORMAT
			       " ms after its evacuation",
			       id, state, database, age_ms);
		violations++;
	}
	g_strfreev(list);
	if (violations + excused)
		printf("%d late statements at evacuated databases, %d of them "
		       "of VMs that were not in touch\n",
		       violations + excused, excused);
	return violations;
}

static void add_change(int vm, int step)
{
	touch_change_t change = { vm, step, soak_now_us() };

	g_array_append_val(changes, change);
}

static bool was_in_touch(int vm, uint64_t at_us)
{
	int disturbances = 0;

	for (guint i = 0; i < changes->len; i++) {
		const touch_change_t *change =
			&g_array_index(changes, touch_change_t, i);

		if (change->at_us > at_us ||
		    (change->vm != vm && change->vm != TOUCH_ALL))
			continue;
		disturbances += change->step;
		if (at_us - change->at_us < TOUCH_WINDOW_US)
			return false;
	}
	return !disturbances;
}
