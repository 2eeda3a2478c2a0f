/* How long a VM may act on a claim that it holds in the key-value service.
 *
 * A claim is a key under a lease.  It is valid while the lease runs, reckoned from
 * before the call that renewed it was sent, and only if the key was seen to be the
 * holder's after that call was answered: keys can be taken away while their lease is
 * renewed.  Pure.
 */
#pragma once

#include <glib.h>
#include <stdbool.h>

typedef struct
{
  gint64 ttl_us;
  gint64 renewal_sent_us; /* the renewal that was answered last was sent then */
  gint64 valid_until_us;
} tenure_t;

/* The lease was granted by a call sent at `sent_us`, and the key written after. */
void tenure_begin (tenure_t *validity, gint64 ttl_us, gint64 sent_us);

/* A renewal that was sent at `sent_us` was answered with success. */
void tenure_renewed (tenure_t *validity, gint64 sent_us);

/* A read that was sent after the last renewal was answered shows the key as ours. */
void tenure_seen (tenure_t *validity);

/* Time for which the claim is certainly valid still; not above 0: it is not. */
gint64 tenure_left_us (const tenure_t *validity, gint64 now_us);
