/* Follows all keys with a prefix: one full read, then watches.
 *
 * A watch that fails, finds the history gone or stays silent too long is followed by a
 * full read, in which keys that are missing count as deleted.  Events may be delivered
 * again after that; the receiver compares revisions.
 */
#pragma once

#include "store/store.h"

typedef struct mirror mirror_t;

typedef struct
{
  /* A key was written, or (item->deleted) removed. */
  void (*changed) (const store_item_t *item, void *data);
  /* A full read has ended, or a watch was answered: what was delivered is as new as
   * the service's state at the time of this call less the call's duration. */
  void (*synced) (void *data);
  /* The service stopped answering. */
  void (*lost) (void *data);
} mirror_events_t;

/* `wait_ms` is the longest that a watch waits; `events` and `prefix` are borrowed. */
mirror_t *mirror_new (
    store_t *store, const char *prefix, guint wait_ms, const mirror_events_t *events, void *data);

/* Stops; callbacks of calls still on their way are dropped. */
void mirror_free (mirror_t *mirror);

/* Waits this long between watches, so that changes come in bunches; 0 at first. */
void mirror_set_pause (mirror_t *mirror, guint pause_ms);
