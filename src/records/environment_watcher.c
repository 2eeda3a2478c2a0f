#define LOG_MODULE "config"

#include "records/environment_watcher.h"

#include "base/log.h"

#include <string.h>

struct environment_watcher
{
  kv_t *kv;
  kv_watch_t *watch;
  environment_received_t received;
  void *data;
  guint timer;
  guint retry_delay_ms;
  bool is_loaded;
  bool is_in_flight;
  bool is_closing;
};

static const guint min_retry_delay_ms = 100;
static const guint max_retry_delay_ms = 2000;

static void load (environment_watcher_t *watcher);

static gboolean
timer_fired (gpointer data)
{
  environment_watcher_t *watcher = data;

  watcher->timer = 0;
  load (watcher);
  return G_SOURCE_REMOVE;
}

static void
retry_later (environment_watcher_t *watcher)
{
  watcher->retry_delay_ms
      = watcher->retry_delay_ms == 0 ? min_retry_delay_ms : watcher->retry_delay_ms * 2;
  watcher->retry_delay_ms = MIN (watcher->retry_delay_ms, max_retry_delay_ms);
  if (watcher->timer == 0)
    watcher->timer
        = g_timeout_add ((guint) g_random_int_range ((gint32) watcher->retry_delay_ms / 2,
                                                     (gint32) watcher->retry_delay_ms),
                         timer_fired, watcher);
}

static void
deliver (const kv_entry_t *entry, void *data)
{
  environment_watcher_t *watcher = data;

  if (entry->value != NULL && g_str_has_prefix (entry->key, CONFIG_PREFIX))
    watcher->received (entry->key + strlen (CONFIG_PREFIX), entry->value, entry->mod_revision,
                       watcher->data);
}

static void
watch_closed (void *data)
{
  environment_watcher_t *watcher = data;

  LOG_WARN ("watch_broken", NULL);
  retry_later (watcher);
}

static void
load_done (const kv_reply_t *reply, void *data)
{
  environment_watcher_t *watcher = data;

  watcher->is_in_flight = false;
  if (watcher->is_closing)
    {
      g_free (watcher);
      return;
    }
  if (reply->status != KV_APPLIED)
    {
      retry_later (watcher);
      return;
    }
  for (guint i = 0; i < reply->entries->len; i++)
    deliver (g_ptr_array_index (reply->entries, i), watcher);
  watcher->is_loaded = true;
  watcher->retry_delay_ms = 0;
  kv_watch_free (watcher->watch);
  watcher->watch
      = kv_watch (watcher->kv, CONFIG_PREFIX, reply->revision + 1, deliver, watch_closed, watcher);
}

static void
load (environment_watcher_t *watcher)
{
  if (watcher->is_in_flight)
    return;
  watcher->is_in_flight = true;
  kv_range (watcher->kv, CONFIG_PREFIX, true, load_done, watcher);
}

environment_watcher_t *
environment_watcher_new (kv_t *kv, environment_received_t received, void *data)
{
  environment_watcher_t *watcher = g_new0 (environment_watcher_t, 1);

  watcher->kv = kv;
  watcher->received = received;
  watcher->data = data;
  load (watcher);
  return watcher;
}

void
environment_watcher_free (environment_watcher_t *watcher)
{
  if (watcher == NULL)
    return;
  if (watcher->timer != 0)
    g_source_remove (watcher->timer);
  kv_watch_free (watcher->watch);
  watcher->is_closing = true;
  if (!watcher->is_in_flight)
    g_free (watcher);
}

bool
environment_watcher_is_loaded (const environment_watcher_t *watcher)
{
  return watcher->is_loaded;
}
