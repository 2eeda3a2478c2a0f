#define LOG_MODULE "watcher"

#include "store/watcher.h"

#include "base/clock.h"
#include "base/log.h"

#include <string.h>

struct watcher
{
  store_t *store;
  const char *prefix;
  guint wait_ms;
  guint pause_ms;
  const watcher_events_t *events;
  void *data;
  gint64 revision;        /* the next watch starts after it */
  GHashTable *known_keys; /* key -> generation in which it was last reported */
  guint generation;       /* counts the full reads */
  char *last_key;         /* of the previous page; NULL: none */
  gint64 read_started_us; /* when the full read began */
  guint page_count;       /* read so far */
  guint item_count;       /* on these pages */
  guint failure_count;    /* of pages that had to be read again */
  gint64 list_revision;   /* service revision at the first page of the full read */
  guint timer;
  bool is_lost;
  bool is_foreign_key_logged;
  bool is_call_pending;
  bool is_freed;
};

enum
{
  RETRY_DELAY_MS = 150, /* after a failed call */
  PROBE_WAIT_MS = 1     /* longest wait of a watch while the service is not known to answer */
};

/* A full read that took longer than this is logged. */
static const gint64 slow_read_us = 250 * 1000;

static void read_page (watcher_t *watcher);
static void send_watch (watcher_t *watcher);

static void
destroy (watcher_t *watcher)
{
  g_hash_table_unref (watcher->known_keys);
  g_free (watcher->last_key);
  g_free (watcher);
}

/* Accounts for a finished call; returns true when watcher_free() was called meanwhile, in which
 * case the memory is freed now. */
static bool
finish_call (watcher_t *watcher)
{
  watcher->is_call_pending = false;
  if (!watcher->is_freed)
    return false;
  destroy (watcher);
  return true;
}

static gboolean
start_full_read (gpointer data)
{
  watcher_t *watcher = data;

  watcher->timer = 0;
  watcher->generation++;
  watcher->list_revision = 0;
  watcher->read_started_us = clock_now_us ();
  watcher->page_count = 0;
  watcher->item_count = 0;
  watcher->failure_count = 0;
  g_clear_pointer (&watcher->last_key, g_free);
  read_page (watcher);
  return G_SOURCE_REMOVE;
}

/* Reports that the service does not answer, and calls `retry` after a delay. */
static void
retry_later (watcher_t *watcher, GSourceFunc retry)
{
  /* The event may free the watcher; the pending call keeps it allocated. */
  watcher->is_call_pending = true;
  if (!watcher->is_lost)
    {
      watcher->is_lost = true;
      watcher->events->lost (watcher->data);
    }
  if (!finish_call (watcher))
    watcher->timer = g_timeout_add (RETRY_DELAY_MS, retry, watcher);
}

static gboolean
read_page_again (gpointer data)
{
  watcher_t *watcher = data;

  watcher->timer = 0;
  read_page (watcher);
  return G_SOURCE_REMOVE;
}

/* Reads the page again that failed.  The pages before it are kept: what has changed there since
 * is delivered by the watch, which starts at the revision of the first page. */
static void
page_failed (watcher_t *watcher, store_status_t status)
{
  watcher->failure_count++;
  LOG_WARN ("page_failed", "prefix=%s after=%s pages=%u items=%u failures=%u status=%s",
            watcher->prefix, watcher->last_key != NULL ? watcher->last_key : "-",
            watcher->page_count, watcher->item_count, watcher->failure_count,
            store_status_name (status));
  retry_later (watcher, read_page_again);
}

static void
log_full_read (const watcher_t *watcher)
{
  gint64 took_us = clock_now_us () - watcher->read_started_us;

  if (watcher->failure_count > 0 || took_us > slow_read_us)
    LOG_INFO ("prefix_read", "prefix=%s pages=%u items=%u failures=%u took_ms=%" G_GINT64_FORMAT,
              watcher->prefix, watcher->page_count, watcher->item_count, watcher->failure_count,
              took_us / 1000);
}

static void
log_foreign_key (watcher_t *watcher, const char *key)
{
  if (watcher->is_foreign_key_logged)
    return;
  watcher->is_foreign_key_logged = true;
  LOG_WARN ("foreign_key", "prefix=%s bytes=%" G_GSIZE_FORMAT, watcher->prefix, strlen (key));
}

static void
deliver (watcher_t *watcher, const store_item_t *item)
{
  if (!g_str_has_prefix (item->key, watcher->prefix))
    {
      log_foreign_key (watcher, item->key);
      return;
    }
  if (item->deleted)
    g_hash_table_remove (watcher->known_keys, item->key);
  else
    g_hash_table_insert (watcher->known_keys, g_strdup (item->key),
                         GUINT_TO_POINTER (watcher->generation));
  watcher->events->changed (item, watcher->data);
}

/* Reports known keys that the full read did not return as deleted: their deletion was missed. */
static void
report_missing_keys (watcher_t *watcher)
{
  g_autoptr (GPtrArray) gone = g_ptr_array_new_with_free_func (g_free);
  GHashTableIter iter;
  gpointer key;
  gpointer generation;

  g_hash_table_iter_init (&iter, watcher->known_keys);
  while (g_hash_table_iter_next (&iter, &key, &generation))
    {
      if (GPOINTER_TO_UINT (generation) != watcher->generation)
        g_ptr_array_add (gone, g_strdup (key));
    }
  for (guint i = 0; i < gone->len; i++)
    {
      store_item_t item = { .key = g_ptr_array_index (gone, i), .deleted = true };

      deliver (watcher, &item);
    }
}

static void
report_synced (watcher_t *watcher)
{
  watcher->is_lost = false;
  watcher->events->synced (watcher->data);
}

static void
page_read (const store_reply_t *reply, void *data)
{
  watcher_t *watcher = data;

  if (finish_call (watcher))
    return;
  if (reply->status != STORE_DONE)
    {
      page_failed (watcher, reply->status);
      return;
    }
  /* A callback may free the watcher; the pending call keeps it allocated. */
  watcher->is_call_pending = true;
  if (watcher->list_revision == 0)
    watcher->list_revision = reply->revision;
  watcher->page_count++;
  watcher->item_count += reply->items->len;
  for (guint i = 0; i < reply->items->len; i++)
    deliver (watcher, g_ptr_array_index (reply->items, i));
  if (reply->has_more && reply->items->len > 0)
    {
      const store_item_t *last = g_ptr_array_index (reply->items, reply->items->len - 1);

      g_free (watcher->last_key);
      watcher->last_key = g_strdup (last->key);
      if (!finish_call (watcher))
        read_page (watcher);
      return;
    }
  log_full_read (watcher);
  report_missing_keys (watcher);
  watcher->revision = watcher->list_revision;
  report_synced (watcher);
  if (!finish_call (watcher))
    send_watch (watcher);
}

static void
read_page (watcher_t *watcher)
{
  watcher->is_call_pending = true;
  watcher->store->calls->range (watcher->store, watcher->prefix, watcher->last_key, page_read,
                                watcher);
}

static gboolean
pause_timer_fired (gpointer data)
{
  watcher_t *watcher = data;

  watcher->timer = 0;
  send_watch (watcher);
  return G_SOURCE_REMOVE;
}

static void
watch_answered (const store_reply_t *reply, void *data)
{
  watcher_t *watcher = data;

  if (finish_call (watcher))
    return;
  if (reply->status != STORE_DONE)
    {
      /* A watch revision that is no longer available is not a failure of the service, so there is
       * no delay. */
      if (reply->status == STORE_MISSING)
        (void) start_full_read (watcher);
      else if (reply->is_too_large)
        retry_later (watcher, start_full_read); /* pages have less than all changes at once */
      else
        retry_later (watcher, pause_timer_fired);
      return;
    }
  watcher->is_call_pending = true;
  for (guint i = 0; i < reply->items->len; i++)
    deliver (watcher, g_ptr_array_index (reply->items, i));
  watcher->revision = MAX (watcher->revision, reply->revision);
  report_synced (watcher);
  if (finish_call (watcher))
    return;
  if (watcher->pause_ms > 0)
    watcher->timer = g_timeout_add (watcher->pause_ms, pause_timer_fired, watcher);
  else
    send_watch (watcher);
}

/* After a failure, a watch with a short wait shows as soon as possible that the service answers. */
static void
send_watch (watcher_t *watcher)
{
  guint wait_ms = watcher->is_lost ? PROBE_WAIT_MS : watcher->wait_ms;

  watcher->is_call_pending = true;
  watcher->store->calls->watch (watcher->store, watcher->prefix, watcher->revision, wait_ms,
                                watch_answered, watcher);
}

watcher_t *
watcher_new (
    store_t *store, const char *prefix, guint wait_ms, const watcher_events_t *events, void *data)
{
  watcher_t *watcher = g_new0 (watcher_t, 1);

  watcher->store = store;
  watcher->prefix = prefix;
  watcher->wait_ms = wait_ms;
  watcher->events = events;
  watcher->data = data;
  watcher->known_keys = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  watcher->timer = g_idle_add (start_full_read, watcher);
  return watcher;
}

void
watcher_free (watcher_t *watcher)
{
  if (watcher == NULL || watcher->is_freed)
    return;
  watcher->is_freed = true;
  if (watcher->timer != 0)
    g_source_remove (watcher->timer);
  watcher->timer = 0;
  if (!watcher->is_call_pending)
    destroy (watcher);
}

watcher_t *
watcher_restart (watcher_t *watcher)
{
  watcher_t *next = watcher_new (watcher->store, watcher->prefix, watcher->wait_ms, watcher->events,
                                 watcher->data);
  GHashTable *unused = next->known_keys;

  next->known_keys = watcher->known_keys;
  next->generation = watcher->generation;
  next->pause_ms = watcher->pause_ms;
  watcher->known_keys = unused;
  watcher_free (watcher);
  return next;
}

void
watcher_set_pause_ms (watcher_t *watcher, guint pause_ms)
{
  watcher->pause_ms = pause_ms;
}
