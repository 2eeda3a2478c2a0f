#define LOG_MODULE "claim"

#include "entry/tenure.h"

#include "base/clock.h"
#include "base/log.h"
#include "decide/lease_validity.h"
#include "peer/peer.pb-c.h"

#include <string.h>

struct tenure
{
  store_t *store;
  const char *key;
  election_config_t config;
  void (*lost) (const char *reason, void *data);
  void *data;
  bool is_held;
  gint64 lease;
  gint64 fence; /* revision of the record */
  lease_validity_t validity;
  guint timer; /* next renewal */
};

/* A lease renewal in flight; renewals may overlap. */
typedef struct
{
  tenure_t *tenure;
  gint64 sent_us;
  gint64 fence;
} renewal_t;

enum
{
  RENEWALS_PER_TTL = 5 /* attempts before the lease expires */
};

static void schedule_renewal (tenure_t *tenure, guint delay_ms);

bool
tenure_is_own_record (const tenure_t *tenure, const store_item_t *item)
{
  Mimosastair__Claim *message = mimosastair__claim__unpack (NULL, item->value_bytes, item->value);
  bool is_own;

  if (message == NULL)
    return false;
  is_own
      = strcmp (message->vm, tenure->config.vm) == 0 && message->life == tenure->config.incarnation;
  mimosastair__claim__free_unpacked (message, NULL);
  return is_own;
}

static bool
is_held_record (const tenure_t *tenure, const store_item_t *item)
{
  return item->revision == tenure->fence && tenure_is_own_record (tenure, item);
}

static bool
is_renewal_current (const renewal_t *renewal)
{
  return renewal->tenure->is_held && renewal->tenure->fence == renewal->fence;
}

static void
record_read (const store_reply_t *reply, void *data)
{
  renewal_t *renewal = data;
  tenure_t *tenure = renewal->tenure;
  bool is_ok = is_renewal_current (renewal);

  g_free (renewal);
  if (!is_ok)
    return;
  if (reply->status == STORE_MISSING)
    tenure->lost ("key_gone", tenure->data);
  else if (reply->status != STORE_DONE || reply->items->len == 0)
    LOG_WARN ("claim_unseen", "status=%s left_ms=%" G_GINT64_FORMAT,
              store_status_name (reply->status),
              tenure_remaining_us (tenure, clock_now_us ()) / 1000);
  else if (!is_held_record (tenure, g_ptr_array_index (reply->items, 0)))
    tenure->lost ("taken_over", tenure->data);
  else
    lease_validity_confirmed (&tenure->validity);
}

static void
lease_renewed (const store_reply_t *reply, void *data)
{
  renewal_t *renewal = data;
  tenure_t *tenure = renewal->tenure;

  if (!is_renewal_current (renewal))
    {
      g_free (renewal);
      return;
    }
  if (reply->status == STORE_MISSING)
    {
      g_free (renewal);
      tenure->lost ("lease_ended", tenure->data);
      return;
    }
  if (reply->status == STORE_DONE)
    lease_validity_renewed (&tenure->validity, renewal->sent_us);
  else
    LOG_WARN ("claim_not_renewed", "status=%s left_ms=%" G_GINT64_FORMAT,
              store_status_name (reply->status),
              tenure_remaining_us (tenure, clock_now_us ()) / 1000);
  tenure->store->calls->get (tenure->store, tenure->key, record_read, renewal);
}

static gboolean
renew_timer_fired (gpointer data)
{
  tenure_t *tenure = data;
  renewal_t *renewal = g_new0 (renewal_t, 1);

  tenure->timer = 0;
  schedule_renewal (tenure, tenure->config.ttl_ms / RENEWALS_PER_TTL);
  renewal->tenure = tenure;
  renewal->sent_us = clock_now_us ();
  renewal->fence = tenure->fence;
  tenure->store->calls->keep (tenure->store, tenure->lease, lease_renewed, renewal);
  return G_SOURCE_REMOVE;
}

static void
clear_timer (tenure_t *tenure)
{
  if (tenure->timer != 0)
    g_source_remove (tenure->timer);
  tenure->timer = 0;
}

static void
schedule_renewal (tenure_t *tenure, guint delay_ms)
{
  clear_timer (tenure);
  tenure->timer = g_timeout_add (delay_ms, renew_timer_fired, tenure);
}

tenure_t *
tenure_new (store_t *store,
            const char *key,
            const election_config_t *config,
            void (*lost) (const char *reason, void *data),
            void *data)
{
  tenure_t *tenure = g_new0 (tenure_t, 1);

  tenure->store = store;
  tenure->key = key;
  tenure->config = *config;
  tenure->lost = lost;
  tenure->data = data;
  return tenure;
}

void
tenure_free (tenure_t *tenure)
{
  clear_timer (tenure);
  g_free (tenure);
}

void
tenure_begin (tenure_t *tenure, gint64 lease, gint64 lease_sent_us, gint64 fence)
{
  tenure->is_held = true;
  tenure->lease = lease;
  tenure->fence = fence;
  lease_validity_begin (&tenure->validity, (gint64) tenure->config.ttl_ms * 1000, lease_sent_us);
  schedule_renewal (tenure, tenure->config.ttl_ms / RENEWALS_PER_TTL);
}

void
tenure_end (tenure_t *tenure)
{
  clear_timer (tenure);
  tenure->is_held = false;
  tenure->validity = (lease_validity_t){ 0 };
}

void
tenure_verify (tenure_t *tenure)
{
  if (tenure->is_held)
    schedule_renewal (tenure, 0);
}

gint64
tenure_remaining_us (const tenure_t *tenure, gint64 now_us)
{
  return tenure->is_held ? lease_validity_remaining_us (&tenure->validity, now_us) : 0;
}

gint64
tenure_fence (const tenure_t *tenure)
{
  return tenure->fence;
}
