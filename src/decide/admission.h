/* What a customer is told when its job cannot be stored now.
 *
 * Pure: pattern answered is an outage of the key-value service at any load.  A request
 * whose record was never sent is refused at once; the time to come back grows with the
 * outage, which on average lasts as long again as it has lasted. */
#pragma once

#include <glib.h>
#include <stdbool.h>

typedef struct
{
  bool direct_ok;  /* the service answers this VM */
  bool through_ok; /* the decider can make the call */
} admission_ways_t;

/* True when there is a way by which the job may be stored now. */
bool admission_has_way (const admission_ways_t *paths);

/* Time after which to come back, in milliseconds, when the service has not answered
 * since `outage_us` (0: it answers). */
gint64 admission_retry_after_ms (gint64 outage_us);

/* Time without a direct answer after which a call is also made through the decider, when
 * answers take `answer_us` of late: above it, since on a service that is slow for all VMs
 * the second call only adds to the load. */
gint64 admission_hedge_us (gint64 answer_us);

/* The mean of answers' times with a new one; `mean_us` 0: there was none. */
gint64 admission_answer_mean_us (gint64 mean_us, gint64 answer_us);

/* True when the decider makes one more call for another VM, with `open_count` on their way: its
 * own calls must not wait for them. */
bool admission_may_relay (guint open_count);
