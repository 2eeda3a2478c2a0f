/* How long a leader may act on the leader record that it holds in the key-value service.
 *
 * The record is a key attached to a lease.  A renewal of the lease makes the record valid for
 * the lease's duration, counted from the time at which the renewal was sent, but only once a
 * read that was sent after the renewal was answered shows that the VM still holds the key: the
 * key can be deleted while its lease is renewed.  Pure functions.
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

/* Starts with a lease that was granted before the key was written, by a call sent at `sent_us`:
 * the record is valid for `ttl_us` from then. */
void lease_validity_begin (lease_validity_t *validity, gint64 ttl_us, gint64 sent_us);

/* Records that a renewal sent at `sent_us` succeeded.  Extends nothing until
 * lease_validity_confirmed(). */
void lease_validity_renewed (lease_validity_t *validity, gint64 sent_us);

/* Records that a read, sent after the last renewal was answered, shows that the VM still
 * holds the key. */
void lease_validity_confirmed (lease_validity_t *validity);

/* Returns how much longer the leader record is certainly valid; 0 or less when it is not. */
gint64 lease_validity_remaining_us (const lease_validity_t *validity, gint64 now_us);
