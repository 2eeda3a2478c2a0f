#include "decide/admission.h"

static const gint64 shortest_ms = 1000; /* the header's unit is a second */
static const gint64 longest_ms = 3000;  /* of callers' patience, several tries are left */

/* A direct answer takes a tenth of it when the service is well. */
static const gint64 shortest_hedge_us = 150 * 1000;
/* A call that is hedged later has no time left. */
static const gint64 longest_hedge_us = 650 * 1000;
static const gint64 hedge_factor = 2;
static const gint64 mean_weight = 4;

enum
{
  RELAYS_MAX = 8
};

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

gint64
admission_hedge_us (gint64 answer_us)
{
  return CLAMP (hedge_factor * answer_us, shortest_hedge_us, longest_hedge_us);
}

gint64
admission_answer_mean_us (gint64 mean_us, gint64 answer_us)
{
  return mean_us == 0 ? answer_us : mean_us + (answer_us - mean_us) / mean_weight;
}

bool
admission_may_relay (guint open)
{
  return open < RELAYS_MAX;
}
