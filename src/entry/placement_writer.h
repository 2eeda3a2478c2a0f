/* Stores which runs may be started, before their orders are sent.
 *
 * A record is written under the condition that the claim is this VM's.  Records that come
 * while some are on their way share the next transaction, so that a slow service gets
 * few calls.  A record that is written twice, or late, only names runs that are gone.
 */
#pragma once

#include "decide/scheduler.h"
#include "store/store.h"

typedef struct placements placements_t;

typedef struct
{
  /* The record is stored: its runs may be ordered. */
  void (*stored) (guint64 placement, void *data);
  /* The claim is not this VM's any more. */
  void (*refused) (void *data);
} placements_events_t;

/* `claim_revision` is the fence too, by which the records are named. */
placements_t *placements_new (store_t *store,
                              const char *claim_key,
                              gint64 claim_revision,
                              const placements_events_t *events,
                              void *data);

/* No event is told after this; calls on their way end by themselves. */
void placements_free (placements_t *placements);

void placements_store (placements_t *placements,
                       guint64 placement,
                       const placed_run_t *runs,
                       guint count);

/* Key of the record; free with g_free(). */
char *placements_key (const placements_t *placements, guint64 placement);
