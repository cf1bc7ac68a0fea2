#include "path/path.h"

void kl_view_load(kl_view_t *view, const kl_reader_t *reader, uint64_t now_us)
{
	view->confirmation = kl_board_get(reader, KL_SECTION_CONFIRMATION);
	view->config = kl_board_get(reader, KL_SECTION_CONFIG);
	view->terms = kl_board_get(reader, KL_SECTION_TERMS);
	view->members = kl_board_get(reader, KL_SECTION_MEMBERS);
	view->health = kl_board_get(reader, KL_SECTION_HEALTH);
	view->buckets = kl_board_get(reader, KL_SECTION_BUCKETS);
	view->lifecycle = kl_board_get(reader, KL_SECTION_LIFECYCLE);
	view->positions = kl_board_get(reader, KL_SECTION_POSITIONS);
	view->permits = kl_board_get(reader, KL_SECTION_PERMITS);
	view->now_us = now_us;
}
