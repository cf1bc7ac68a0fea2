/**
 * @file
 * An engine on a virtual clock, with model databases and a board that scripts
 * write.
 */
#ifndef KL_ENGINE_MODEL_H
#define KL_ENGINE_MODEL_H

#include "path/engine.h"

#define MODEL_NAMES 16 /**< databases, workspaces, callers of a script */

typedef struct model_link model_link_t;

/** A model database. */
typedef struct model_db {
	char name[KL_NAME_MAX];
	char service[KL_NAME_MAX];
	char domain[KL_NAME_MAX];
	bool primary; /**< it accepts writes */
	bool down;    /**< refuses connections, breaks those that are open */
	bool silent;  /**< answers nothing */
	bool leaving; /**< as it registered itself */
	bool absent;  /**< not registered */
	uint32_t slots;
	uint32_t busy; /**< of its slots */
	uint32_t most; /**< connections */
	uint32_t open;
	uint64_t work_us;
	uint64_t lag_us; /**< of a replica */
	uint32_t lose;	 /**< answers to lose, with their connections */
	uint64_t term;
	uint64_t ran;	     /**< statements that it ran */
	uint64_t connected;  /**< connections that it accepted */
	uint64_t turned_off; /**< connections over its limit */
	CK_STAILQ_HEAD(, model_event) waiting; /**< for a slot, in order */
} model_db_t;

/** A load of single statements, each in a session of its own. */
typedef struct model_load {
	char name[KL_NAME_MAX];
	char route[KL_NAME_MAX];
	char key[KL_NAME_MAX];
	char text[32];
	uint64_t every_us;
	uint64_t next_us;
	uint64_t until_us;
	uint64_t aim_us;
	uint64_t asked, in_aim, late, refused, unknown;
	uint64_t longest_refused_us; /**< a refusal took at most */
} model_load_t;

/** The world of one script. */
typedef struct model {
	uint64_t now;
	kl_board_t *board;
	kl_reader_t *writer;
	kl_engine_t *engine;
	bool trace; /**< print what is sent to databases */
	bool leased;
	bool draining;
	uint64_t version; /**< of the records */
	model_db_t dbs[MODEL_NAMES];
	uint32_t db_count;
	model_load_t loads[MODEL_NAMES];
	uint32_t load_count;
	kl_bucket_t *buckets[MODEL_NAMES];
	uint32_t bucket_count;
	CK_STAILQ_HEAD(, model_link) links;
	CK_STAILQ_HEAD(, model_event) events;
	uint64_t commits; /**< number of the newest one */
	uint64_t committed_us[4096];
} model_t;

model_t *model_new(void);
void model_free(model_t *model);

/** Let time pass, a millisecond a step. */
void model_run(model_t *model, uint64_t ms);

/** Publish a confirmation, if the lease is kept. */
void model_confirm(model_t *model);

model_db_t *model_db(model_t *model, const char *name);

/** A scripted caller. */
void *model_login(model_t *model, const char *name, const char *route,
		  const char *key);
void model_query(model_t *model, const char *name, const char *id,
		 const char *text);
void model_leave(model_t *model, const char *name);

#endif
