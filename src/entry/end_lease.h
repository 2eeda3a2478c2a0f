/* The lease that makes end records expire.
 *
 * Records that are written under one lease expire together.  So it is replaced at half of its time
 * to live, and each record is kept for a third of that time at least.  Two leases are alive at
 * most.
 */
#pragma once

#include "store/store.h"

typedef struct end_lease end_lease_t;

/* Requests a lease at once, and again until one is granted. */
end_lease_t *end_lease_new (store_t *store, guint ttl_ms);

/* The memory is freed once the call in flight has ended.  Does not revoke the lease. */
void end_lease_free (end_lease_t *end_lease);

/* Returns the lease for a record that is written now; 0 if there is none, or if it would expire too
 * soon: the record is then kept for good. */
gint64 end_lease_get (const end_lease_t *end_lease, gint64 now_us);

/* The store does not know the lease: requests another one. */
void end_lease_forget (end_lease_t *end_lease);
