#include "decide/admission.h"

#include <string.h>

static const gint64 min_retry_after_ms = 1000; /* Retry-After counts in seconds */
/* Leaves callers time for several retries before they give up. */
static const gint64 max_retry_after_ms = 3000;

/* A healthy service answers a direct call in a tenth of this. */
static const gint64 min_hedge_delay_us = 150 * 1000;
/* A call that is hedged any later has no time left to complete. */
static const gint64 max_hedge_delay_us = 650 * 1000;
static const gint64 hedge_factor = 2;
static const gint64 mean_divisor = 4; /* a new sample counts for 1/4 */

/* Longer than a watch without changes and a retry take. */
static const gint64 desired_age_max_us = 2000 * 1000;

/* A version takes effect within 3 s, and within 9 s on a VM that the service turns away: what was
 * not confirmed since may have been replaced too long ago.  The former holds for a VM that knows
 * that there is a newer version. */
static const gint64 replaced_key_max_us = 3 * G_USEC_PER_SEC;
static const gint64 unconfirmed_key_max_us = 9 * G_USEC_PER_SEC;

enum
{
  MAX_OPEN_RELAYS = 8
};

bool
admission_has_path (const admission_paths_t *paths)
{
  return paths->is_direct_usable || paths->is_relay_usable;
}

gint64
admission_retry_after_ms (gint64 outage_us)
{
  return CLAMP (outage_us / 1000, min_retry_after_ms, max_retry_after_ms);
}

gint64
admission_hedge_delay_us (gint64 mean_us)
{
  return CLAMP (hedge_factor * mean_us, min_hedge_delay_us, max_hedge_delay_us);
}

gint64
admission_mean_latency_us (gint64 mean_us, gint64 sample_us)
{
  return mean_us == 0 ? sample_us : mean_us + (sample_us - mean_us) / mean_divisor;
}

bool
admission_may_say_not_found (gint64 desired_age_us)
{
  return desired_age_us >= 0 && desired_age_us <= desired_age_max_us;
}

static bool
is_key_in_force (const admission_key_t *check)
{
  bool is_replaced = check->desired_age_us < 0;
  gint64 max_us = is_replaced ? replaced_key_max_us : unconfirmed_key_max_us;

  if (check->is_strict)
    max_us = MIN (max_us, check->revoke_us);
  return check->unconfirmed_us >= 0 && check->unconfirmed_us <= max_us;
}

admission_t
admission_check_key (const admission_key_t *check)
{
  if (check->is_anonymous)
    return ADMISSION_ALLOWED;
  if (check->is_key_known)
    return is_key_in_force (check) ? ADMISSION_ALLOWED : ADMISSION_NOT_KNOWN;
  return admission_may_say_not_found (check->desired_age_us) ? ADMISSION_UNAUTHORIZED
                                                             : ADMISSION_NOT_KNOWN;
}

bool
admission_may_access_job (const char *caller, const char *owner)
{
  if (caller == NULL || owner == NULL || owner[0] == '\0')
    return true;
  return strcmp (caller, owner) == 0;
}

bool
admission_may_relay (guint open_count)
{
  return open_count < MAX_OPEN_RELAYS;
}
