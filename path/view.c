#include "path/path.h"

void kl_view_load(kl_view_t *scene, const kl_reader_t *reader, uint64_t now_us)
{
	scene->fresh = kl_board_get(reader, KL_SECTION_CONFIRMATION);
	scene->config = kl_board_get(reader, KL_SECTION_CONFIG);
	scene->terms = kl_board_get(reader, KL_SECTION_TERMS);
	scene->members = kl_board_get(reader, KL_SECTION_MEMBERS);
	scene->health = kl_board_get(reader, KL_SECTION_HEALTH);
	scene->shares = kl_board_get(reader, KL_SECTION_BUCKETS);
	scene->life = kl_board_get(reader, KL_SECTION_LIFECYCLE);
	scene->now_us = now_us;
}
