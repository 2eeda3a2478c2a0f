#define LOG_MODULE "config"

#include "records/environment_watcher.h"

#include "base/log.h"

#include <string.h>

struct config
{
  kv_t *kv;
  kv_watch_t *watch;
  config_received_t received;
  void *data;
  guint timer;
  guint retry_delay_ms;
  bool is_loaded;
  bool is_in_flight;
  bool is_closing;
};

static const guint min_retry_delay_ms = 100;
static const guint max_retry_delay_ms = 2000;

static void load (config_t *config);

static gboolean
timer_fired (gpointer data)
{
  config_t *config = data;

  config->timer = 0;
  load (config);
  return G_SOURCE_REMOVE;
}

static void
retry_later (config_t *config)
{
  config->retry_delay_ms
      = config->retry_delay_ms == 0 ? min_retry_delay_ms : config->retry_delay_ms * 2;
  config->retry_delay_ms = MIN (config->retry_delay_ms, max_retry_delay_ms);
  if (config->timer == 0)
    config->timer = g_timeout_add ((guint) g_random_int_range ((gint32) config->retry_delay_ms / 2,
                                                               (gint32) config->retry_delay_ms),
                                   timer_fired, config);
}

static void
deliver (const kv_entry_t *entry, void *data)
{
  config_t *config = data;

  if (entry->value != NULL && g_str_has_prefix (entry->key, CONFIG_PREFIX))
    config->received (entry->key + strlen (CONFIG_PREFIX), entry->value, entry->mod_revision,
                      config->data);
}

static void
watch_closed (void *data)
{
  config_t *config = data;

  LOG_WARN ("watch_broken", NULL);
  retry_later (config);
}

static void
load_done (const kv_reply_t *reply, void *data)
{
  config_t *config = data;

  config->is_in_flight = false;
  if (config->is_closing)
    {
      g_free (config);
      return;
    }
  if (reply->status != KV_APPLIED)
    {
      retry_later (config);
      return;
    }
  for (guint i = 0; i < reply->entries->len; i++)
    deliver (g_ptr_array_index (reply->entries, i), config);
  config->is_loaded = true;
  config->retry_delay_ms = 0;
  kv_watch_free (config->watch);
  config->watch
      = kv_watch (config->kv, CONFIG_PREFIX, reply->revision + 1, deliver, watch_closed, config);
}

static void
load (config_t *config)
{
  if (config->is_in_flight)
    return;
  config->is_in_flight = true;
  kv_range (config->kv, CONFIG_PREFIX, true, load_done, config);
}

config_t *
config_new (kv_t *kv, config_received_t received, void *data)
{
  config_t *config = g_new0 (config_t, 1);

  config->kv = kv;
  config->received = received;
  config->data = data;
  load (config);
  return config;
}

void
config_free (config_t *config)
{
  if (config == NULL)
    return;
  if (config->timer != 0)
    g_source_remove (config->timer);
  kv_watch_free (config->watch);
  config->is_closing = true;
  if (!config->is_in_flight)
    g_free (config);
}

bool
config_is_loaded (const config_t *config)
{
  return config->is_loaded;
}
