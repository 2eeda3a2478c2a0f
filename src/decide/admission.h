/* Admission of requests while the key-value service is unavailable, whatever the load.
 *
 * A job whose record cannot be sent is refused at once.  The Retry-After time is the time
 * that the outage has lasted, within limits, since an outage lasts on average as long again
 * as it already has.  Pure functions without state. */
#pragma once

#include <glib.h>
#include <stdbool.h>

typedef struct
{
  bool is_direct_usable; /* the key-value service answers this VM */
  bool is_relay_usable;  /* the leader can relay the call */
} admission_paths_t;

/* True when at least one path to the key-value service can store the job now. */
bool admission_has_path (const admission_paths_t *paths);

/* Returns the Retry-After time in milliseconds for an outage that has lasted `outage_us`
 * so far (0: the service answers). */
gint64 admission_retry_after_ms (gint64 outage_us);

/* Returns how long to wait for a direct answer before the call is also sent through the
 * leader (hedged).  The delay is twice the recent mean latency `mean_us`, within limits, since
 * on a service that is slow for all VMs the second call only adds to the load. */
gint64 admission_hedge_delay_us (gint64 mean_us);

/* Returns the moving mean `mean_us` (0: no sample yet) updated with a new sample. */
gint64 admission_mean_latency_us (gint64 mean_us, gint64 sample_us);

/* True when a route that the desired state lacks may be answered as not existing: the state was
 * known to be the newest one `desired_age_us` ago (-1: not known).  Otherwise the route may have
 * been added since. */
bool admission_may_say_not_found (gint64 desired_age_us);

/* True when the leader may relay one more call for another VM while `open_count` relayed
 * calls are in progress.  The limit keeps the leader's own calls from waiting behind them. */
bool admission_may_relay (guint open_count);
