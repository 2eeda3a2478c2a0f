/* Admission of requests: by their keys, and while the key-value service is unavailable, whatever
 * the load.
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

typedef enum
{
  ADMISSION_ALLOWED,
  ADMISSION_UNAUTHORIZED,
  ADMISSION_NOT_KNOWN /* the caller should retry: this VM does not know which keys are in force */
} admission_t;

/* A request for a queue of a desired state with workspaces.  Times are -1 if not known. */
typedef struct
{
  bool is_anonymous;     /* the queue needs no key */
  bool is_key_known;     /* the key stands for a workspace in the desired state in force */
  gint64 desired_age_us; /* as for admission_may_say_not_found() */
  gint64 unconfirmed_us; /* since the last confirmation; another VM may have a newer version */
  bool is_strict;        /* a key holds for `revoke_us` after the last confirmation */
  gint64 revoke_us;
} admission_key_t;

/* A known key may have been removed, and an unknown one added, by a version that has not arrived.
 * The latter is refused always, the former once such a version must be in force on all VMs: 9 s
 * after the last confirmation, or 3 s if there is known to be a newer version, and if `is_strict`
 * also `revoke_us` after it. */
admission_t admission_check_key (const admission_key_t *check);

/* Returns whether a caller may read and cancel a job of workspace `owner` (NULL or "": none).
 * `caller` is a workspace, "" for a caller without one, or NULL if keys are not checked. */
bool admission_may_access_job (const char *caller, const char *owner);

/* True when the leader may relay one more call for another VM while `open_count` relayed
 * calls are in progress.  The limit keeps the leader's own calls from waiting behind them. */
bool admission_may_relay (guint open_count);
