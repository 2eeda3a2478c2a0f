#include "decide/admission.h"

static const gint64 shortest_ms = 1000; /* the header's unit is a second */
static const gint64 longest_ms = 3000;  /* of callers' patience, several tries are left */

bool
admission_has_way (const admission_ways_t *ways)
{
  return ways->direct_ok || ways->through_ok;
}

gint64
admission_retry_after_ms (gint64 outage_us)
{
  return CLAMP (outage_us / 1000, shortest_ms, longest_ms);
}
