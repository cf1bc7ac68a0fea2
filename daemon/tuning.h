/**
 * @file
 * Parameters of the control side, from the operators' settings.
 */
#ifndef KL_TUNING_H
#define KL_TUNING_H

#include "control/node.h"
#include "daemon/settings.h"

/** Set the parameters that the settings determine, and defaults for others. */
void kl_tuning_fill(kl_tuning_t *tuning, const kl_settings_t *settings);

#endif
