/* Follows all keys with a prefix: one full read (list), then watches.
 *
 * A page of the full read that fails is read again; the pages before it are kept.
 * A watch that fails or gets no answer is repeated from the same revision.  When the service no
 * longer has that history, everything is read again, and known keys that are then missing are
 * reported as deleted.  Changes may be delivered more than once; the receiver compares revisions.
 * Keys without the prefix, which a faulty service may return, are dropped.
 */
#pragma once

#include "store/store.h"

typedef struct watcher watcher_t;

typedef struct
{
  /* A key was written or, with item->deleted, removed.  The revision is 0 if the removal was found
   * by a full read. */
  void (*changed) (const store_item_t *item, void *data);
  /* A full read is complete, or a watch was answered.  What was delivered is at least as new as the
   * service's state when that call was sent. */
  void (*synced) (void *data);
  /* The service stopped answering. */
  void (*lost) (void *data);
} watcher_events_t;

/* A watch call waits up to `wait_ms` for changes; `events` and `prefix` are borrowed. */
watcher_t *watcher_new (
    store_t *store, const char *prefix, guint wait_ms, const watcher_events_t *events, void *data);

/* Stops following; the results of calls in progress are dropped.  When called from `changed`, the
 * remaining events of the same reply are still delivered. */
void watcher_free (watcher_t *watcher);

/* Frees the watcher and returns another one in its place, which reads everything again.  Known keys
 * that are then missing are reported as deleted. */
watcher_t *watcher_restart (watcher_t *watcher);

/* Sets the pause between two watch calls, which batches changes; 0 by default. */
void watcher_set_pause_ms (watcher_t *watcher, guint pause_ms);
