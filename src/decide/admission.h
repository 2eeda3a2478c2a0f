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
bool admission_has_way (const admission_ways_t *ways);

/* Time after which to come back, in milliseconds, when the service has not answered
 * since `outage_us` (0: it answers). */
gint64 admission_retry_after_ms (gint64 outage_us);
