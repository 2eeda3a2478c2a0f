/* The key-value service for customers' requests, with a way round.
 *
 * Calls go straight to the service.  Where it does not answer this VM in twice the time that
 * answers took of late, or refuses, the decider makes the same call for it: the service may turn
 * some VMs away and serve the others.  Only gets and transactions that may be carried out twice are
 * offered: those whose conditions the first execution breaks, or that write the same again.
 */
#pragma once

#include "entry/uplink.h"
#include "store/store.h"

/* Free with store->calls->free(); `direct` and `uplink` are borrowed. */
store_t *relay_new (store_t *direct, uplink_t *uplink);

/* False when neither way can carry out a call now. */
bool relay_has_path (const store_t *store);

/* Time since the service stopped answering this VM; 0 when it answers. */
gint64 relay_outage_us (const store_t *store);
