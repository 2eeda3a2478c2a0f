/* A key-value service that speaks the platform's protocol over a slow link, for tests of the
 * client.
 *
 * Serves reads of ranges, watches without events, and renewals of leases.  All answers share one
 * link of a given speed.
 */
#pragma once

#include <glib.h>

typedef struct paced_store paced_store_t;

typedef enum
{
  PACED_LOST,   /* the answer stops in the middle */
  PACED_REFUSED /* the call is answered with 503 */
} paced_fault_t;

/* `bytes_per_s` is the speed of the link. */
paced_store_t *paced_store_new (guint bytes_per_s);
void paced_store_free (paced_store_t *store);

/* Returns "IP:PORT", borrowed. */
const char *paced_store_address (const paced_store_t *store);

/* Adds keys PREFIX0000, PREFIX0001, ... with values of `value_bytes` bytes. */
void paced_store_fill (paced_store_t *store, const char *prefix, guint count, guint value_bytes);

/* Delays the first byte of every answer. */
void paced_store_set_delay (paced_store_t *store, guint delay_ms);

/* Every `every`-th read of a page meets the fault; 0: none does. */
void paced_store_set_fault (paced_store_t *store, paced_fault_t fault, guint every);

/* Returns how many bytes the answers had so far. */
guint64 paced_store_sent_bytes (const paced_store_t *store);
