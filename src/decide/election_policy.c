#include "decide/election_policy.h"

enum
{
  CORE_MILLI = 1000,
  COMPARABLE_PERCENT = 75,    /* a VM with this much of the other's CPU counts as equally large */
  SMALL_VM_DELAY_MS = 400,    /* a larger VM that is alive leads by then */
  OUTAGE_DELAY_MS = 600,      /* in addition, after an outage: a larger VM may notice its end 860 ms
                               * later, when a watch has timed out (700 ms) and is repeated */
  UNKNOWN_SIZE_STEP_MS = 150, /* per factor of two below one core, while max_cpu_milli is unknown */
  OLDER_PROCESS_DELAY_MS = 60 /* a younger process leads by then, if the store is healthy */
};

static bool
is_comparable (guint own_cpu_milli, guint max_cpu_milli)
{
  return (guint64) own_cpu_milli * 100 >= (guint64) max_cpu_milli * COMPARABLE_PERCENT;
}

guint
election_policy_delay_ms (guint own_cpu_milli, guint max_cpu_milli, bool is_younger)
{
  guint delay_ms = is_younger ? 0 : OLDER_PROCESS_DELAY_MS;
  guint halvings = 0;

  if (max_cpu_milli != 0)
    return delay_ms + (is_comparable (own_cpu_milli, max_cpu_milli) ? 0 : SMALL_VM_DELAY_MS);
  for (guint cpu_milli = MAX (own_cpu_milli, 1); cpu_milli < CORE_MILLI; cpu_milli *= 2)
    halvings++;
  return delay_ms + halvings * UNKNOWN_SIZE_STEP_MS;
}

guint
election_policy_outage_delay_ms (guint own_cpu_milli, guint max_cpu_milli)
{
  return is_comparable (own_cpu_milli, max_cpu_milli) ? 0 : OUTAGE_DELAY_MS;
}

bool
election_policy_should_step_down (guint own_cpu_milli, guint other_cpu_milli)
{
  return !is_comparable (own_cpu_milli, other_cpu_milli);
}
