#include "entry/spare_lease.h"

#include "base/clock.h"

struct spare_lease
{
  store_t *store;
  guint ttl_ms;
  void (*ready) (void *data);
  void *data;
  gint64 lease;        /* 0: none */
  gint64 sent_us;      /* when the call that last granted or renewed the lease was sent */
  gint64 call_sent_us; /* when the call in flight was sent */
  guint timer;
  bool is_call_pending;
  bool is_needed;
  bool is_requested; /* `ready` is to be called */
};

enum
{
  RENEWALS_PER_TTL = 2,
  REQUEST_RETRY_MS = 100
};

static void refresh (spare_lease_t *spare_lease);

static gboolean
refresh_timer_fired (gpointer data)
{
  spare_lease_t *spare_lease = data;

  spare_lease->timer = 0;
  refresh (spare_lease);
  return G_SOURCE_REMOVE;
}

static void
schedule_refresh (spare_lease_t *spare_lease)
{
  guint delay_ms
      = spare_lease->is_requested ? REQUEST_RETRY_MS : spare_lease->ttl_ms / RENEWALS_PER_TTL;

  if (spare_lease->timer == 0)
    spare_lease->timer = g_timeout_add (delay_ms, refresh_timer_fired, spare_lease);
}

static void
renewed (const store_reply_t *reply, void *data)
{
  spare_lease_t *spare_lease = data;

  spare_lease->is_call_pending = false;
  if (reply->status == STORE_MISSING)
    spare_lease->lease = 0;
  else if (reply->status == STORE_DONE)
    spare_lease->sent_us = spare_lease->call_sent_us;
  schedule_refresh (spare_lease);
}

static void
granted (const store_reply_t *reply, void *data)
{
  spare_lease_t *spare_lease = data;

  spare_lease->is_call_pending = false;
  if (reply->status == STORE_DONE)
    {
      spare_lease->lease = reply->lease;
      spare_lease->sent_us = spare_lease->call_sent_us;
    }
  if (spare_lease->is_requested && spare_lease->lease != 0 && spare_lease->is_needed)
    {
      spare_lease->is_requested = false;
      spare_lease->ready (spare_lease->data);
    }
  schedule_refresh (spare_lease);
}

static void
refresh (spare_lease_t *spare_lease)
{
  if (!spare_lease->is_needed || spare_lease->is_call_pending)
    return;
  spare_lease->is_call_pending = true;
  spare_lease->call_sent_us = clock_now_us ();
  if (spare_lease->lease != 0)
    spare_lease->store->calls->keep (spare_lease->store, spare_lease->lease, renewed, spare_lease);
  else
    spare_lease->store->calls->lease (spare_lease->store, spare_lease->ttl_ms, granted,
                                      spare_lease);
}

spare_lease_t *
spare_lease_new (store_t *store, guint ttl_ms, void (*ready) (void *data), void *data)
{
  spare_lease_t *spare_lease = g_new0 (spare_lease_t, 1);

  spare_lease->store = store;
  spare_lease->ttl_ms = ttl_ms;
  spare_lease->ready = ready;
  spare_lease->data = data;
  return spare_lease;
}

void
spare_lease_free (spare_lease_t *spare_lease)
{
  if (spare_lease->timer != 0)
    g_source_remove (spare_lease->timer);
  g_free (spare_lease);
}

void
spare_lease_set_needed (spare_lease_t *spare_lease, bool is_needed)
{
  spare_lease->is_needed = is_needed;
  refresh (spare_lease);
}

bool
spare_lease_take (spare_lease_t *spare_lease, gint64 *lease, gint64 *sent_us)
{
  gint64 age_us = clock_now_us () - spare_lease->sent_us;

  if (spare_lease->lease == 0 || age_us >= (gint64) spare_lease->ttl_ms * 1000)
    {
      spare_lease_request (spare_lease);
      return false;
    }
  *lease = spare_lease->lease;
  *sent_us = spare_lease->sent_us;
  spare_lease->lease = 0;
  spare_lease->is_requested = false;
  return true;
}

void
spare_lease_request (spare_lease_t *spare_lease)
{
  spare_lease->is_requested = true;
  spare_lease->lease = 0;
  /* A refresh that is due later would keep the request waiting. */
  if (spare_lease->timer != 0)
    g_source_remove (spare_lease->timer);
  spare_lease->timer = 0;
  refresh (spare_lease);
  if (!spare_lease->is_call_pending)
    schedule_refresh (spare_lease);
}
