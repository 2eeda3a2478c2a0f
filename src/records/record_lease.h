/* The lease that idempotency records are attached to, which bounds how long they are kept.
 *
 * New records are attached to a lease for one retention time only.  Its TTL is longer than two
 * retention times, so that even the last record is kept for a whole one.
 */
#pragma once

#include "records/kv.h"

typedef struct record_lease record_lease_t;

/* `kv` is borrowed. */
record_lease_t *record_lease_new (kv_t *kv, gint64 retention_s);
void record_lease_free (record_lease_t *lease); /* accepts NULL */

/* Requests the next lease once half of the time of this one is over. */
void record_lease_replace (record_lease_t *lease, gint64 now_us);

/* May new keys be claimed under the lease? */
bool record_lease_is_usable (const record_lease_t *lease, gint64 now_us);

/* Returns the lease for the next write; 0: none was granted yet. */
gint64 record_lease_id (const record_lease_t *lease);
