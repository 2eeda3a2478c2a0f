/* How long a VM may act on a claim (a leadership lease) that it holds in the key-value service.
 *
 * A claim is a key attached to a lease.  It is valid for the lease's duration, counted from
 * the time at which the last renewal was sent, and only if a read that was sent after the
 * renewal was answered shows the key as the holder's: a key can be taken away while its lease
 * is renewed.  Pure functions.
 */
#pragma once

#include <glib.h>
#include <stdbool.h>

typedef struct
{
  gint64 ttl_us;
  gint64 renewal_sent_us; /* send time of the last renewal that succeeded */
  gint64 valid_until_us;
} lease_validity_t;

/* Begins with a lease that was granted by a call sent at `sent_us`, before the key was written. */
void lease_validity_begin (lease_validity_t *validity, gint64 ttl_us, gint64 sent_us);

/* Records that a renewal sent at `sent_us` succeeded.  Extends nothing until
 * lease_validity_confirmed(). */
void lease_validity_renewed (lease_validity_t *validity, gint64 sent_us);

/* Records that a read, sent after the last renewal was answered, shows the key as the holder's
 * own. */
void lease_validity_confirmed (lease_validity_t *validity);

/* Returns how much longer the claim is certainly valid; 0 or less when it is not. */
gint64 lease_validity_remaining_us (const lease_validity_t *validity, gint64 now_us);
