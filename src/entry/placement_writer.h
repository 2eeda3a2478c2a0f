/* Stores which runs may be started, before their start orders are sent.
 *
 * Every write is conditional on this VM being the leader.  Records that arrive while
 * others are in flight share the next transaction, so that a slow store gets few calls.  A
 * record that is written twice or late is harmless: it only names runs that are gone.
 */
#pragma once

#include "decide/scheduler.h"
#include "store/store.h"

typedef struct placement_writer placement_writer_t;

typedef struct
{
  /* The record is stored: the orders of its runs may be sent. */
  void (*stored) (guint64 placement, void *data);
  /* A write was refused: this VM is no longer the leader. */
  void (*deposed) (void *data);
} placement_writer_events_t;

/* `election_revision` is also the fencing token, which is part of the records' keys. */
placement_writer_t *placement_writer_new (store_t *store,
                                          const char *election_key,
                                          gint64 election_revision,
                                          const placement_writer_events_t *events,
                                          void *data);

/* No event is reported after this; the memory is freed once all calls in flight have ended. */
void placement_writer_free (placement_writer_t *writer);

void placement_writer_write (placement_writer_t *writer,
                             guint64 placement,
                             const placed_run_t *runs,
                             guint count);

/* Stores the record of settled starts with the next placements or, if there are none for
 * `delay_ms`, by itself.  Takes ownership of `value`.  An older record may replace a newer one. */
void placement_writer_write_settled (placement_writer_t *writer,
                                     guint8 *value,
                                     gsize value_bytes,
                                     guint delay_ms);

/* Key of a placement's record; free with g_free(). */
char *placement_writer_key (const placement_writer_t *writer, guint64 placement);
