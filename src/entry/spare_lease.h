/* A lease that is kept ready, so that taking a claim is one call. */
#pragma once

#include "store/store.h"

typedef struct standby standby_t;

/* `ready` is told when a lease that standby_want() asked for is there. */
standby_t *standby_new (store_t *store, guint ttl_ms, void (*ready) (void *data), void *data);

/* Calls on their way must have ended. */
void standby_free (standby_t *standby);

/* Keeps a lease from now on, or (false) asks for none and renews none. */
void standby_keep (standby_t *standby, bool is_needed);

/* Takes the lease over: its id, and when the call was sent from which its time counts.
 * False when there is none that is good; standby_want() then asks for one. */
bool standby_take (standby_t *standby, gint64 *lease, gint64 *sent_us);

/* Asks for a lease at once, and again soon until there is one. */
void standby_want (standby_t *standby);
