/* The leader record that this VM holds while it is the leader.
 *
 * Renews the record's lease, and reads the record after each renewal: the key can be deleted while
 * its lease is renewed.  Private to the election.
 */
#pragma once

#include "entry/election.h"

typedef struct tenure tenure_t;

/* `lost` is called when the store shows that the record is not held any longer; it has to call
 * tenure_end().  All pointers, also those in `config`, are borrowed; the struct itself is copied.
 */
tenure_t *tenure_new (store_t *store,
                      const char *key,
                      const election_config_t *config,
                      void (*lost) (const char *reason, void *data),
                      void *data);

/* No call to the store may be in flight. */
void tenure_free (tenure_t *tenure);

/* The record was written at the revision `fence`, under `lease`, which was granted or last renewed
 * by a call sent at `lease_sent_us`. */
void tenure_begin (tenure_t *tenure, gint64 lease, gint64 lease_sent_us, gint64 fence);

/* Renews the lease no longer.  Does not revoke it. */
void tenure_end (tenure_t *tenure);

/* Renews the lease and reads the record at once. */
void tenure_verify (tenure_t *tenure);

/* Returns how much longer the record is certainly valid; 0 or less when it may not be. */
gint64 tenure_remaining_us (const tenure_t *tenure, gint64 now_us);

/* Returns the revision of the record that is held, or was held last; 0: none was. */
gint64 tenure_fence (const tenure_t *tenure);

/* Returns true when `item` is a leader record that this process wrote. */
bool tenure_is_own_record (const tenure_t *tenure, const store_item_t *item);
