#include "store/watcher.h"

#include <string.h>

struct mirror
{
  store_t *store;
  const char *prefix;
  guint wait_ms;
  guint pause_ms;
  const mirror_events_t *events;
  void *data;
  gint64 revision;   /* watches go on from here */
  GHashTable *known; /* keys -> generation of the full read that saw them */
  guint generation;
  char *page_after;   /* last key of the page before */
  gint64 range_start; /* service revision at the first page */
  guint timer;
  bool is_lost;
  bool is_calling;
  bool is_closed;
};

enum
{
  RETRY_MS = 150 /* after a failed call */
};

static void read_page (mirror_t *mirror);
static void watch_on (mirror_t *mirror);

static void
destroy (mirror_t *mirror)
{
  g_hash_table_unref (mirror->known);
  g_free (mirror->page_after);
  g_free (mirror);
}

/* True when the mirror was closed while its call was on the way. */
static bool
end_call (mirror_t *mirror)
{
  mirror->is_calling = false;
  if (!mirror->is_closed)
    return false;
  destroy (mirror);
  return true;
}

static gboolean
start_range (gpointer data)
{
  mirror_t *mirror = data;

  mirror->timer = 0;
  mirror->generation++;
  mirror->range_start = 0;
  g_clear_pointer (&mirror->page_after, g_free);
  read_page (mirror);
  return G_SOURCE_REMOVE;
}

static void
retry (mirror_t *mirror)
{
  if (!mirror->is_lost)
    {
      mirror->is_lost = true;
      mirror->events->lost (mirror->data);
    }
  mirror->timer = g_timeout_add (RETRY_MS, start_range, mirror);
}

static void
deliver (mirror_t *mirror, const store_item_t *item)
{
  if (item->deleted)
    g_hash_table_remove (mirror->known, item->key);
  else
    g_hash_table_insert (mirror->known, g_strdup (item->key),
                         GUINT_TO_POINTER (mirror->generation));
  mirror->events->changed (item, mirror->data);
}

/* Keys that the full read did not show were deleted unseen. */
static void
drop_missing (mirror_t *mirror)
{
  g_autoptr (GPtrArray) gone = g_ptr_array_new_with_free_func (g_free);
  GHashTableIter iter;
  gpointer key;
  gpointer generation;

  g_hash_table_iter_init (&iter, mirror->known);
  while (g_hash_table_iter_next (&iter, &key, &generation))
    {
      if (GPOINTER_TO_UINT (generation) != mirror->generation)
        g_ptr_array_add (gone, g_strdup (key));
    }
  for (guint i = 0; i < gone->len; i++)
    {
      store_item_t item = { .key = g_ptr_array_index (gone, i), .deleted = true };

      deliver (mirror, &item);
    }
}

static void
tell_synced (mirror_t *mirror)
{
  mirror->is_lost = false;
  mirror->events->synced (mirror->data);
}

static void
page_read (const store_reply_t *reply, void *data)
{
  mirror_t *mirror = data;

  if (end_call (mirror))
    return;
  if (reply->status != STORE_DONE)
    {
      retry (mirror);
      return;
    }
  /* A callback may free the mirror. */
  mirror->is_calling = true;
  if (mirror->range_start == 0)
    mirror->range_start = reply->revision;
  for (guint i = 0; i < reply->items->len; i++)
    deliver (mirror, g_ptr_array_index (reply->items, i));
  if (reply->has_more && reply->items->len > 0)
    {
      const store_item_t *last = g_ptr_array_index (reply->items, reply->items->len - 1);

      g_free (mirror->page_after);
      mirror->page_after = g_strdup (last->key);
      if (!end_call (mirror))
        read_page (mirror);
      return;
    }
  drop_missing (mirror);
  mirror->revision = mirror->range_start;
  tell_synced (mirror);
  if (!end_call (mirror))
    watch_on (mirror);
}

static void
read_page (mirror_t *mirror)
{
  mirror->is_calling = true;
  mirror->store->calls->range (mirror->store, mirror->prefix, mirror->page_after, page_read,
                               mirror);
}

static gboolean
watch_again (gpointer data)
{
  mirror_t *mirror = data;

  mirror->timer = 0;
  watch_on (mirror);
  return G_SOURCE_REMOVE;
}

static void
watched (const store_reply_t *reply, void *data)
{
  mirror_t *mirror = data;

  if (end_call (mirror))
    return;
  if (reply->status != STORE_DONE)
    {
      /* History that is gone is no failure of the service: read at once. */
      if (reply->status == STORE_MISSING)
        (void) start_range (mirror);
      else
        retry (mirror);
      return;
    }
  mirror->is_calling = true;
  for (guint i = 0; i < reply->items->len; i++)
    deliver (mirror, g_ptr_array_index (reply->items, i));
  mirror->revision = MAX (mirror->revision, reply->revision);
  tell_synced (mirror);
  if (end_call (mirror))
    return;
  if (mirror->pause_ms > 0)
    mirror->timer = g_timeout_add (mirror->pause_ms, watch_again, mirror);
  else
    watch_on (mirror);
}

static void
watch_on (mirror_t *mirror)
{
  mirror->is_calling = true;
  mirror->store->calls->watch (mirror->store, mirror->prefix, mirror->revision, mirror->wait_ms,
                               watched, mirror);
}

mirror_t *
mirror_new (
    store_t *store, const char *prefix, guint wait_ms, const mirror_events_t *events, void *data)
{
  mirror_t *mirror = g_new0 (mirror_t, 1);

  mirror->store = store;
  mirror->prefix = prefix;
  mirror->wait_ms = wait_ms;
  mirror->events = events;
  mirror->data = data;
  mirror->known = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  mirror->timer = g_idle_add (start_range, mirror);
  return mirror;
}

void
mirror_free (mirror_t *mirror)
{
  if (mirror == NULL || mirror->is_closed)
    return;
  mirror->is_closed = true;
  if (mirror->timer != 0)
    g_source_remove (mirror->timer);
  mirror->timer = 0;
  if (!mirror->is_calling)
    destroy (mirror);
}

void
mirror_set_pause (mirror_t *mirror, guint pause_ms)
{
  mirror->pause_ms = pause_ms;
}
