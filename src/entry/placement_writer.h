/* Stores which runs may be started, before their orders are sent.
 *
 * A record is written under the condition that the claim is this VM's.  Records that come
 * while some are on their way share the next transaction, so that a slow service gets
 * few calls.  A record that is written twice, or late, only names runs that are gone.
 */
#pragma once

#include "decide/scheduler.h"
#include "store/store.h"

typedef struct writer placement_writer_t;

typedef struct
{
  /* The record is stored: its runs may be ordered. */
  void (*stored) (guint64 placement, void *data);
  /* The claim is not this VM's any more. */
  void (*refused) (void *data);
} placement_writer_events_t;

/* `claim_revision` is the fence too, by which the records are named. */
placement_writer_t *placement_writer_new (store_t *store,
                                          const char *claim_key,
                                          gint64 claim_revision,
                                          const placement_writer_events_t *events,
                                          void *data);

/* No event is told after this; calls on their way end by themselves. */
void placement_writer_free (placement_writer_t *writer);

void placement_writer_write (placement_writer_t *writer,
                             guint64 placement,
                             const placed_run_t *runs,
                             guint count);

/* Key of the record; free with g_free(). */
char *placement_writer_key (const placement_writer_t *writer, guint64 placement);
