/* A lease that is granted ahead of time, so that a campaign for leadership takes a single
 * call to the store. */
#pragma once

#include "store/store.h"

typedef struct spare_lease spare_lease_t;

/* `ready` is called when a lease that spare_lease_request() asked for is granted. */
spare_lease_t *
spare_lease_new (store_t *store, guint ttl_ms, void (*ready) (void *data), void *data);

/* No call to the store may be in flight. */
void spare_lease_free (spare_lease_t *spare_lease);

/* Acquires and renews a lease from now on or, if `is_needed` is false, stops doing so without
 * revoking it. */
void spare_lease_set_needed (spare_lease_t *spare_lease, bool is_needed);

/* Hands the lease to the caller: its id, and when the call that last granted or renewed it
 * was sent, from which its TTL counts.  Without a valid lease, returns false and requests one,
 * as spare_lease_request() does. */
bool spare_lease_take (spare_lease_t *spare_lease, gint64 *lease, gint64 *sent_us);

/* Requests a new lease at once, and retries at short intervals until it is granted. */
void spare_lease_request (spare_lease_t *spare_lease);
