/* Keeps one claim table (decide/claim.h) in the key-value service up to date.
 *
 * Polls the table, acquires and releases claims by compare-and-swap, and reports each table that it
 * reads or writes.  While the service is down, the last table stays valid, because a claim has no
 * timeout.
 */
#pragma once

#include "decide/claim.h"
#include "records/kv.h"

typedef struct claims claims_t;

/* Called when the table has been read or written.  `table` (of claim_t, borrowed) lacks those
 * claims of this VM that are about to be released. */
typedef void (*claims_changed_t) (const GArray *table, void *data);

/* Called before claims are released; `kept` is the table without them.  From then on, nothing new
 * may be started under the released claims.  Returns true once the outcome of everything started
 * under them is known, and is called again until then. */
typedef bool (*claims_drain_t) (const GArray *kept, void *data);

/* `kv` is borrowed, `self` is copied; `drain` may be NULL.  The table is first read after
 * claims_set_wanted(). */
claims_t *claims_new (kv_t *kv,
                      const char *key,
                      const claimant_t *self,
                      claims_changed_t changed,
                      claims_drain_t drain,
                      void *data);
void claims_free (claims_t *claims);

/* Sets the names that the table must contain and how many of them this VM wants to hold. */
void claims_set_wanted (claims_t *claims, const char *const *names, gsize count, guint wanted);

/* Sets a newer VM list, which is copied.  Without a list, no claim is acquired. */
void claims_set_member_list (claims_t *claims, const member_list_t *list);

/* Returns the number of claims that this VM holds according to the last table. */
guint claims_held (const claims_t *claims);

/* Returns the last table that was read or written, of claim_t; borrowed. */
const GArray *claims_table (const claims_t *claims);
