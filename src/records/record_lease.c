#include "records/record_lease.h"

struct record_lease
{
  kv_t *kv;
  gint64 retention_s;
  gint64 id;
  gint64 usable_until_us;
  bool is_requested;
};

static const gint64 margin_us = 30 * G_USEC_PER_SEC;

record_lease_t *
record_lease_new (kv_t *kv, gint64 retention_s)
{
  record_lease_t *lease = g_new0 (record_lease_t, 1);

  lease->kv = kv;
  lease->retention_s = retention_s;
  return lease;
}

void
record_lease_free (record_lease_t *lease)
{
  g_free (lease);
}

static void
lease_granted (const kv_reply_t *reply, void *data)
{
  record_lease_t *lease = data;

  lease->is_requested = false;
  if (reply->status != KV_APPLIED || reply->lease == 0)
    return;
  lease->id = reply->lease;
  lease->usable_until_us = g_get_monotonic_time () + lease->retention_s * G_USEC_PER_SEC;
}

void
record_lease_replace (record_lease_t *lease, gint64 now_us)
{
  gint64 replace_before_us = lease->retention_s * G_USEC_PER_SEC / 2;

  if (lease->is_requested || lease->usable_until_us - now_us > replace_before_us)
    return;
  lease->is_requested = true;
  kv_lease_grant (lease->kv, 2 * lease->retention_s + margin_us / G_USEC_PER_SEC, lease_granted,
                  lease);
}

bool
record_lease_is_usable (const record_lease_t *lease, gint64 now_us)
{
  return lease->id != 0 && lease->usable_until_us >= now_us;
}

gint64
record_lease_id (const record_lease_t *lease)
{
  return lease->id;
}
