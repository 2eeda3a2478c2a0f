#include "entry/spare_lease.h"

#include "base/clock.h"

struct standby
{
  store_t *store;
  guint ttl_ms;
  void (*ready) (void *data);
  void *data;
  gint64 lease;    /* 0: none */
  gint64 sent_us;  /* of the call from which its time counts */
  gint64 asked_us; /* of the call on its way */
  guint timer;
  bool is_calling;
  bool is_needed;
  bool is_wanted; /* `ready` waits for it */
};

enum
{
  RENEWALS_PER_TTL = 2,
  WANTED_RETRY_MS = 100
};

static void ask (standby_t *standby);

static gboolean
ask_again (gpointer data)
{
  standby_t *standby = data;

  standby->timer = 0;
  ask (standby);
  return G_SOURCE_REMOVE;
}

static void
schedule (standby_t *standby)
{
  guint delay_ms = standby->is_wanted ? WANTED_RETRY_MS : standby->ttl_ms / RENEWALS_PER_TTL;

  if (standby->timer == 0)
    standby->timer = g_timeout_add (delay_ms, ask_again, standby);
}

static void
kept (const store_reply_t *reply, void *data)
{
  standby_t *standby = data;

  standby->is_calling = false;
  if (reply->status == STORE_MISSING)
    standby->lease = 0;
  else if (reply->status == STORE_DONE)
    standby->sent_us = standby->asked_us;
  schedule (standby);
}

static void
granted (const store_reply_t *reply, void *data)
{
  standby_t *standby = data;

  standby->is_calling = false;
  if (reply->status == STORE_DONE)
    {
      standby->lease = reply->lease;
      standby->sent_us = standby->asked_us;
    }
  if (standby->is_wanted && standby->lease != 0 && standby->is_needed)
    {
      standby->is_wanted = false;
      standby->ready (standby->data);
    }
  schedule (standby);
}

static void
ask (standby_t *standby)
{
  if (!standby->is_needed || standby->is_calling)
    return;
  standby->is_calling = true;
  standby->asked_us = clock_now_us ();
  if (standby->lease != 0)
    standby->store->calls->keep (standby->store, standby->lease, kept, standby);
  else
    standby->store->calls->lease (standby->store, standby->ttl_ms, granted, standby);
}

standby_t *
standby_new (store_t *store, guint ttl_ms, void (*ready) (void *data), void *data)
{
  standby_t *standby = g_new0 (standby_t, 1);

  standby->store = store;
  standby->ttl_ms = ttl_ms;
  standby->ready = ready;
  standby->data = data;
  return standby;
}

void
standby_free (standby_t *standby)
{
  if (standby->timer != 0)
    g_source_remove (standby->timer);
  g_free (standby);
}

void
standby_keep (standby_t *standby, bool is_needed)
{
  standby->is_needed = is_needed;
  ask (standby);
}

bool
standby_take (standby_t *standby, gint64 *lease, gint64 *sent_us)
{
  gint64 age_us = clock_now_us () - standby->sent_us;

  if (standby->lease == 0 || age_us >= (gint64) standby->ttl_ms * 1000)
    {
      standby_want (standby);
      return false;
    }
  *lease = standby->lease;
  *sent_us = standby->sent_us;
  standby->lease = 0;
  standby->is_wanted = false;
  return true;
}

void
standby_want (standby_t *standby)
{
  standby->is_wanted = true;
  standby->lease = 0;
  ask (standby);
}
