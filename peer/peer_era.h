/**
 * @file
 * Encodes and decodes the versions of a message with the eras of the store, and
 * the generations of a delta's objects, which matter if there are eras.  Fields
 * that earlier versions of this program read have plain revisions.
 */
#ifndef KL_PEER_ERA_H
#define KL_PEER_ERA_H

#include <rpc/rpc.h>

#include "control/peer_message.h"
#include "control/store_era.h"
#include "peer/peer_wire.h"

/** Replace the versions of a message, but those of objects, by revisions. */
void kl_peer_era_remove(kl_peer_message_t *message);

/**
 * Encode the era, versions and generations behind a message, if the store has
 * an era.
 * Without room for them the message goes alone.
 */
void kl_peer_era_encode(XDR *xdr, const kl_peer_message_t *message);

/**
 * Decode what follows a message into its versions and generations.
 *
 * @param length of all that was received, bytes
 * @return 0, or -KL_E_PROTOCOL if the versions are not those of the message, or
 *         are of a later era than the message
 */
int kl_peer_era_decode(XDR *xdr, kl_peer_message_t *message, size_t length);

#endif
