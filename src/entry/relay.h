/* The key-value service for customers' requests, with a fallback through the leader.
 *
 * Calls go directly to the service.  When it rejects a call, or does not answer this VM within
 * admission_hedge_delay_us() (twice the recent mean latency, within limits), the leader makes the
 * same call (a hedged request): the service may turn some VMs away and still serve others.  Only
 * gets and idempotent transactions are offered: those whose conditions no longer hold after the
 * first execution, or that write the same values again.
 */
#pragma once

#include "entry/uplink.h"
#include "store/store.h"

/* `direct` is the service itself; `direct` and `uplink` are borrowed.  Free with
 * store->calls->free() when no call is in flight. */
store_t *relay_new (store_t *direct, uplink_t *uplink);

/* Returns whether the service, directly or through the leader, can carry out a call now. */
bool relay_has_path (const store_t *store);

/* Returns the time since the service stopped answering this VM; 0 while it answers. */
gint64 relay_outage_us (const store_t *store);
