/* A lease that is kept ready, so that taking a claim is one call. */
#pragma once

#include "store/store.h"

typedef struct spare_lease spare_lease_t;

/* `ready` is told when a lease that standby_want() asked for is there. */
spare_lease_t *
spare_lease_new (store_t *store, guint ttl_ms, void (*ready) (void *data), void *data);

/* Calls on their way must have ended. */
void spare_lease_free (spare_lease_t *spare_lease);

/* Keeps a lease from now on, or (false) asks for none and renews none. */
void spare_lease_set_needed (spare_lease_t *spare_lease, bool is_needed);

/* Takes the lease over: its id, and when the call was sent from which its time counts.
 * False when there is none that is good; standby_want() then asks for one. */
bool spare_lease_take (spare_lease_t *spare_lease, gint64 *lease, gint64 *sent_us);

/* Asks for a lease at once, and again soon until there is one. */
void spare_lease_request (spare_lease_t *spare_lease);
