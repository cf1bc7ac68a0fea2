/**
 * @file
 * The simulated clients, for engine_model.c: the engine's operations that reach
 * a client, and what happens to clients with time.
 */
#ifndef KL_ENGINE_CLIENTS_H
#define KL_ENGINE_CLIENTS_H

#include "tests/engine_model.h"

void model_clients_init(void);
void model_clients_free(void);

/** Start the statements that are due, and end sessions that are finished. */
void model_clients_tick(model_t *model);

/* Functions of kl_engine_ops_t. */
void model_op_accept_login(void *context, void *client);
void model_op_result(void *context, void *client,
		     const kl_stmt_result_t *result);
void model_op_complete(void *context, void *client, char state);
void model_op_send_error(void *context, void *client, int error, char state);
bool model_op_input_empty(void *context, void *client);
void model_op_end_session(void *context, void *client, int error);

#endif
