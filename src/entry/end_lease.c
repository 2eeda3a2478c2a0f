#include "entry/end_lease.h"

#include "base/clock.h"

struct end_lease
{
  store_t *store;
  guint ttl_ms;
  gint64 lease;        /* 0: none */
  gint64 sent_us;      /* when the call that granted it was sent */
  gint64 call_sent_us; /* when the call in flight was sent */
  guint timer;
  bool is_call_pending;
  bool is_freed;
};

enum
{
  RETRIES_PER_TTL = 64
};

static void request (end_lease_t *end_lease);

static gboolean
timer_fired (gpointer data)
{
  end_lease_t *end_lease = data;

  end_lease->timer = 0;
  request (end_lease);
  return G_SOURCE_REMOVE;
}

static void
schedule_request (end_lease_t *end_lease, guint delay_ms)
{
  if (end_lease->timer != 0)
    g_source_remove (end_lease->timer);
  end_lease->timer = g_timeout_add (delay_ms, timer_fired, end_lease);
}

static void
granted (const store_reply_t *reply, void *data)
{
  end_lease_t *end_lease = data;

  end_lease->is_call_pending = false;
  if (end_lease->is_freed)
    {
      g_free (end_lease);
      return;
    }
  if (reply->status != STORE_DONE)
    {
      schedule_request (end_lease, end_lease->ttl_ms / RETRIES_PER_TTL);
      return;
    }
  end_lease->lease = reply->lease;
  end_lease->sent_us = end_lease->call_sent_us;
  schedule_request (end_lease, end_lease->ttl_ms / 2);
}

static void
request (end_lease_t *end_lease)
{
  if (end_lease->is_call_pending)
    return;
  end_lease->is_call_pending = true;
  end_lease->call_sent_us = clock_now_us ();
  end_lease->store->calls->lease (end_lease->store, end_lease->ttl_ms, granted, end_lease);
}

end_lease_t *
end_lease_new (store_t *store, guint ttl_ms)
{
  end_lease_t *end_lease = g_new0 (end_lease_t, 1);

  end_lease->store = store;
  end_lease->ttl_ms = ttl_ms;
  request (end_lease);
  return end_lease;
}

void
end_lease_free (end_lease_t *end_lease)
{
  if (end_lease == NULL)
    return;
  if (end_lease->timer != 0)
    g_source_remove (end_lease->timer);
  end_lease->timer = 0;
  end_lease->is_freed = true;
  if (!end_lease->is_call_pending)
    g_free (end_lease);
}

gint64
end_lease_get (const end_lease_t *end_lease, gint64 now_us)
{
  gint64 age_us = now_us - end_lease->sent_us;

  return age_us <= (gint64) end_lease->ttl_ms * 1000 * 2 / 3 ? end_lease->lease : 0;
}

void
end_lease_forget (end_lease_t *end_lease)
{
  end_lease->lease = 0;
  schedule_request (end_lease, 0);
}
