/* Keeps one claim table (decide/claim.h) of the key-value service up to date.
 *
 * Reads the table, takes or gives up claims by compare-and-swap, and tells its
 * owner each time what the table says.  While the service is down the last table
 * stays in force: a claim has no timeout.
 */
#pragma once

#include "decide/claim.h"
#include "records/kv.h"

typedef struct claims claims_t;

/* The table was read or written; borrowed. */
typedef void (*claims_changed_t) (const GArray *table, void *data);

/* Claims are about to be given up: `kept` is the table without them.  Nothing new may
 * be started under the others from now on; returns true once nothing that was started
 * under them is of unclear fate, and is asked again until then. */
typedef bool (*claims_quiet_t) (const GArray *kept, void *data);

/* `kv` is borrowed, `self` copied; `drain` may be NULL. */
claims_t *claims_new (kv_t *kv,
                      const char *key,
                      const claimant_t *self,
                      claims_changed_t changed,
                      claims_quiet_t drain,
                      void *data);
void claims_free (claims_t *claims);

/* Sets the names that the table must have and how many this VM wants to hold. */
void claims_want (claims_t *claims, const char *const *names, gsize count, guint wanted);

/* Gives a newer list of VMs; borrowed for the call. */
void claims_set_list (claims_t *claims, const member_list_t *list);

/* Claims held by this VM, as the last table says. */
guint claims_held (const claims_t *claims);
const GArray *claims_table (const claims_t *claims);
