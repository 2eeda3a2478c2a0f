#define LOG_MODULE "claim"

#include "entry/election.h"

#include "base/clock.h"
#include "base/log.h"
#include "decide/election_policy.h"
#include "decide/lease_validity.h"
#include "entry/spare_lease.h"
#include "peer/peer.pb-c.h"
#include "store/watcher.h"

#include <string.h>

/* One renewal; they may overlap. */
typedef struct
{
  claim_t *claim;
  gint64 sent_us;
  gint64 fence;
} renewal_t;

typedef enum
{
  CLAIM_FOLLOWING,
  CLAIM_TRYING,
  CLAIM_HELD,
  CLAIM_RELEASED
} claim_state_t;

struct claim
{
  store_t *store;
  claim_config_t config;
  const claim_events_t *events;
  void *data;
  char *key;
  char *epoch_key;
  char *prefix;
  mirror_t *mirror;
  claim_state_t state;
  bool is_present; /* the key exists, as far as is known */
  bool is_synced;
  bool was_synced; /* once */
  bool is_younger; /* than the claim seen last, which was there when this process began */
  char *holder;    /* address last told */
  tenure_t tenure;
  gint64 lease;
  standby_t *standby;
  gint64 lease_sent_us;
  gint64 seen_claim;        /* revision of the claim seen last */
  gint64 released_revision; /* of a claim whose holder gave it up; 0: none */
  gint64 fence;
  /* The epoch record as the mirror shows it, and as the claim was written on it. */
  guint seen_epoch; /* how often the domain was claimed */
  gint64 seen_revision;
  gint64 epoch_revision;
  guint epoch;
  guint cpu_most;          /* processor of the largest VM, thousandths; 0: not known */
  gint64 abstain_until_us; /* does not claim before */
  guint timer;             /* next attempt or renewal */
  void (*released) (void *data);
  void *released_data;
};

enum
{
  WATCH_MS = 4000,      /* longest wait of one watch on the claim */
  RENEWALS_PER_TTL = 5, /* tries before the claim is over */
  RETRY_MS = 100,       /* after a failed attempt */
  SPREAD_MS = 40,       /* VMs try at different moments */
  EPOCH_BYTES_MAX = 16  /* of the packed record: two numbers with their tags */
};

/* A holder that could not reach the service leaves the claim to others for this long. */
static const gint64 abstain_us = 2 * G_USEC_PER_SEC;

static void try_claim (claim_t *claim);
static void schedule_renewal (claim_t *claim, guint delay_ms);

static void
clear_timer (claim_t *claim)
{
  if (claim->timer != 0)
    g_source_remove (claim->timer);
  claim->timer = 0;
}

/* No VM decides, as far as is known. */
static bool
is_free (const claim_t *claim)
{
  return !claim->is_present || claim->released_revision != 0;
}

static gboolean
attempt (gpointer data)
{
  claim_t *claim = data;

  claim->timer = 0;
  if (claim->state == CLAIM_FOLLOWING && claim->is_synced && is_free (claim)
      && clock_now_us () >= claim->abstain_until_us)
    try_claim (claim);
  return G_SOURCE_REMOVE;
}

static void
schedule_attempt (claim_t *claim, guint delay_ms)
{
  if (claim->state != CLAIM_FOLLOWING || claim->timer != 0)
    return;
  claim->timer
      = g_timeout_add (delay_ms + g_str_hash (claim->config.vm) % SPREAD_MS, attempt, claim);
}

/* Time that this VM leaves to larger ones. */
static guint
turn_ms (const claim_t *claim)
{
  return succession_delay_ms (claim->config.cpu_milli, claim->cpu_most, claim->is_younger);
}

static void
stop_trying (claim_t *claim)
{
  if (claim->state != CLAIM_TRYING)
    return;
  claim->state = CLAIM_FOLLOWING;
  standby_keep (claim->standby, true);
  schedule_attempt (claim, RETRY_MS);
}

static void
ignore_reply (const store_reply_t *reply G_GNUC_UNUSED, void *data G_GNUC_UNUSED)
{
}

static void
drop_lease (claim_t *claim)
{
  if (claim->lease != 0)
    claim->store->calls->lease_end (claim->store, claim->lease, ignore_reply, NULL);
  claim->lease = 0;
}

static void
hold (claim_t *claim, gint64 fence)
{
  claim->state = CLAIM_HELD;
  standby_keep (claim->standby, false);
  claim->is_present = true;
  claim->released_revision = 0;
  claim->fence = fence;
  tenure_begin (&claim->tenure, (gint64) claim->config.ttl_ms * 1000, claim->lease_sent_us);
  LOG_INFO ("claim_gained", "domain=%s fence=%" G_GINT64_FORMAT " epoch=%u", claim->config.domain,
            fence, claim->epoch);
  schedule_renewal (claim, claim->config.ttl_ms / RENEWALS_PER_TTL);
  claim->events->gained (fence, claim->epoch, claim->data);
}

static void
lose (claim_t *claim, const char *reason)
{
  if (claim->state != CLAIM_HELD)
    return;
  LOG_WARN ("claim_lost", "domain=%s fence=%" G_GINT64_FORMAT " reason=%s", claim->config.domain,
            claim->fence, reason);
  clear_timer (claim);
  claim->state = CLAIM_FOLLOWING;
  claim->tenure = (tenure_t){ 0 };
  drop_lease (claim);
  claim->events->lost (reason, claim->data);
  standby_keep (claim->standby, true);
  schedule_attempt (claim, RETRY_MS);
}

/* True when the item is the claim as this process wrote it. */
static bool
is_ours (const claim_t *claim, const store_item_t *item)
{
  Mimosastair__Claim *message = mimosastair__claim__unpack (NULL, item->value_bytes, item->value);
  bool ours;

  if (message == NULL)
    return false;
  ours = strcmp (message->vm, claim->config.vm) == 0 && message->life == claim->config.life
         && (claim->fence == 0 || item->revision == claim->fence);
  mimosastair__claim__free_unpacked (message, NULL);
  return ours;
}

/* A write without an answer: the key tells whether it was carried out. */
static void
read_back (const store_reply_t *reply, void *data)
{
  claim_t *claim = data;

  if (claim->state != CLAIM_TRYING)
    return;
  claim->fence = 0;
  if (reply->status == STORE_DONE && reply->items->len > 0
      && is_ours (claim, g_ptr_array_index (reply->items, 0)))
    {
      hold (claim, ((store_item_t *) g_ptr_array_index (reply->items, 0))->revision);
      return;
    }
  /* Without its lease a write that is carried out late fails. */
  drop_lease (claim);
  stop_trying (claim);
}

static void
claimed (const store_reply_t *reply, void *data)
{
  claim_t *claim = data;

  if (claim->state != CLAIM_TRYING)
    return;
  switch (reply->status)
    {
    case STORE_DONE:
      hold (claim, reply->revision);
      return;
    case STORE_LOST:
      claim->store->calls->get (claim->store, claim->key, read_back, claim);
      return;
    case STORE_REFUSED:
      /* Another VM has written the key. */
      claim->released_revision = 0;
      drop_lease (claim);
      stop_trying (claim);
      return;
    case STORE_MISSING:
    case STORE_UNAVAILABLE:
      drop_lease (claim);
      stop_trying (claim);
      return;
    }
}

static void
write_claim (claim_t *claim)
{
  gint64 seen = claim->is_present ? claim->released_revision : 0;
  Mimosastair__Claim message = MIMOSASTAIR__CLAIM__INIT;
  g_autofree guint8 *packed = NULL;
  gsize bytes;
  Mimosastair__Epoch epoch = MIMOSASTAIR__EPOCH__INIT;
  guint8 record[EPOCH_BYTES_MAX];
  gsize record_bytes;
  store_expect_t expect[] = { { claim->key, seen }, { claim->epoch_key, claim->epoch_revision } };

  message.vm = (char *) claim->config.vm;
  message.address = (char *) claim->config.address;
  message.life = claim->config.life;
  message.epoch = claim->epoch;
  epoch.claims = claim->epoch + 1;
  epoch.cpu_most_milli = MAX (claim->cpu_most, claim->config.cpu_milli);
  record_bytes = mimosastair__epoch__pack (&epoch, record);
  bytes = mimosastair__claim__get_packed_size (&message);
  packed = g_malloc (bytes);
  mimosastair__claim__pack (&message, packed);
  {
    store_write_t writes[] = { { claim->key, packed, bytes, claim->lease },
                               { claim->epoch_key, record, record_bytes, 0 } };

    claim->store->calls->txn (claim->store, expect, G_N_ELEMENTS (expect), writes,
                              G_N_ELEMENTS (writes), claimed, claim);
  }
}

/* The lease that an attempt waited for is there. */
static void
lease_ready (void *data)
{
  schedule_attempt (data, 0);
}

static void
try_claim (claim_t *claim)
{
  if (!standby_take (claim->standby, &claim->lease, &claim->lease_sent_us))
    return;
  claim->state = CLAIM_TRYING;
  claim->fence = 0;
  claim->epoch = claim->seen_epoch;
  claim->epoch_revision = claim->seen_revision;
  write_claim (claim);
}

static bool
is_current (const renewal_t *renewal)
{
  return renewal->claim->state == CLAIM_HELD && renewal->claim->fence == renewal->fence;
}

static void
renewal_seen (const store_reply_t *reply, void *data)
{
  renewal_t *renewal = data;
  claim_t *claim = renewal->claim;
  bool is_ok = is_current (renewal);

  g_free (renewal);
  if (!is_ok)
    return;
  if (reply->status == STORE_MISSING)
    lose (claim, "key_gone");
  else if (reply->status != STORE_DONE || reply->items->len == 0)
    LOG_WARN ("claim_unseen", "status=%s left_ms=%" G_GINT64_FORMAT,
              store_status_name (reply->status), claim_left_us (claim, clock_now_us ()) / 1000);
  else if (!is_ours (claim, g_ptr_array_index (reply->items, 0)))
    lose (claim, "taken_over");
  else
    tenure_seen (&claim->tenure);
}

static void
renewed (const store_reply_t *reply, void *data)
{
  renewal_t *renewal = data;
  claim_t *claim = renewal->claim;

  if (!is_current (renewal))
    {
      g_free (renewal);
      return;
    }
  if (reply->status == STORE_MISSING)
    {
      g_free (renewal);
      lose (claim, "lease_ended");
      return;
    }
  if (reply->status == STORE_DONE)
    tenure_renewed (&claim->tenure, renewal->sent_us);
  else
    LOG_WARN ("claim_not_renewed", "status=%s left_ms=%" G_GINT64_FORMAT,
              store_status_name (reply->status), claim_left_us (claim, clock_now_us ()) / 1000);
  claim->store->calls->get (claim->store, claim->key, renewal_seen, renewal);
}

static gboolean
renew (gpointer data)
{
  claim_t *claim = data;
  renewal_t *renewal;

  claim->timer = 0;
  if (claim->state != CLAIM_HELD)
    return G_SOURCE_REMOVE;
  schedule_renewal (claim, claim->config.ttl_ms / RENEWALS_PER_TTL);
  renewal = g_new0 (renewal_t, 1);
  renewal->claim = claim;
  renewal->sent_us = clock_now_us ();
  renewal->fence = claim->fence;
  claim->store->calls->keep (claim->store, claim->lease, renewed, renewal);
  return G_SOURCE_REMOVE;
}

static void
schedule_renewal (claim_t *claim, guint delay_ms)
{
  clear_timer (claim);
  claim->timer = g_timeout_add (delay_ms, renew, claim);
}

static void
tell_holder (claim_t *claim, const char *vm, const char *address)
{
  if (g_strcmp0 (claim->holder, address) == 0)
    return;
  g_free (claim->holder);
  claim->holder = g_strdup (address);
  LOG_INFO ("claim_holder", "domain=%s vm=%s address=%s", claim->config.domain,
            vm != NULL ? vm : "-", address != NULL ? address : "-");
  claim->events->holder (vm, address, claim->data);
}

static void
released (const store_reply_t *reply, void *data)
{
  claim_t *claim = data;

  LOG_INFO ("claim_released", "domain=%s status=%s", claim->config.domain,
            store_status_name (reply->status));
  if (claim->released != NULL)
    claim->released (claim->released_data);
  claim->released = NULL;
}

/* A claim that this VM gave up while the service did not answer, or that its process
 * before this one held: it is free. */
static void
drop_former_claim (claim_t *claim, const store_item_t *item)
{
  LOG_INFO ("claim_of_ours_ended", "fence=%" G_GINT64_FORMAT, item->revision);
  claim->store->calls->lease_end (claim->store, item->lease, ignore_reply, NULL);
}

static void
read_epoch (claim_t *claim, const store_item_t *item)
{
  Mimosastair__Epoch *message;

  claim->seen_revision = item->deleted ? 0 : item->revision;
  claim->seen_epoch = 0;
  if (item->deleted)
    return;
  message = mimosastair__epoch__unpack (NULL, item->value_bytes, item->value);
  if (message == NULL)
    {
      LOG_WARN ("epoch_malformed", "domain=%s revision=%" G_GINT64_FORMAT, claim->config.domain,
                item->revision);
      return;
    }
  claim->seen_epoch = message->claims;
  if (claim->cpu_most == 0)
    claim->cpu_most = message->cpu_most_milli;
  mimosastair__epoch__free_unpacked (message, NULL);
}

/* A claim that is there at the first read was written before this process began. */
static void
note_age (claim_t *claim, gint64 revision)
{
  if (claim->was_synced && revision != claim->seen_claim)
    claim->is_younger = false;
  else if (!claim->was_synced)
    claim->is_younger = true;
  claim->seen_claim = revision;
}

static void
key_changed (const store_item_t *item, void *data)
{
  claim_t *claim = data;
  Mimosastair__Claim *message;

  if (strcmp (item->key, claim->epoch_key) == 0)
    read_epoch (claim, item);
  if (strcmp (item->key, claim->key) != 0)
    return;
  claim->is_present = !item->deleted;
  if (item->deleted)
    {
      if (claim->state == CLAIM_HELD)
        claim_check (claim);
      else
        tell_holder (claim, NULL, NULL);
      schedule_attempt (claim, turn_ms (claim));
      return;
    }
  note_age (claim, item->revision);
  message = mimosastair__claim__unpack (NULL, item->value_bytes, item->value);
  if (message == NULL)
    return;
  if (item->revision != claim->released_revision)
    claim->released_revision = 0;
  if (claim->state == CLAIM_HELD && !is_ours (claim, item) && item->revision > claim->fence)
    lose (claim, "taken_over");
  if (claim->state == CLAIM_FOLLOWING && strcmp (message->vm, claim->config.vm) == 0)
    drop_former_claim (claim, item);
  tell_holder (claim, message->vm, message->address);
  mimosastair__claim__free_unpacked (message, NULL);
}

static void
key_synced (void *data)
{
  claim_t *claim = data;

  if (!claim->was_synced)
    standby_keep (claim->standby, true);
  claim->is_synced = true;
  claim->was_synced = true;
  if (is_free (claim))
    schedule_attempt (claim, turn_ms (claim));
}

static void
key_lost (void *data)
{
  claim_t *claim = data;

  claim->is_synced = false;
  LOG_WARN ("store_lost", "of=claim");
}

static const mirror_events_t mirror_events = { key_changed, key_synced, key_lost };

claim_t *
claim_new (store_t *store, const claim_config_t *config, const claim_events_t *events, void *data)
{
  claim_t *claim = g_new0 (claim_t, 1);

  claim->store = store;
  claim->config = *config;
  claim->events = events;
  claim->data = data;
  claim->key = g_strdup_printf ("claim/%s", config->domain);
  claim->prefix = g_strdup ("claim/");
  claim->epoch_key = g_strdup_printf ("claim/%s.epoch", config->domain);
  claim->standby = standby_new (store, config->ttl_ms, lease_ready, claim);
  claim->mirror = mirror_new (store, claim->prefix, WATCH_MS, &mirror_events, claim);
  return claim;
}

void
claim_free (claim_t *claim)
{
  if (claim == NULL)
    return;
  clear_timer (claim);
  standby_free (claim->standby);
  mirror_free (claim->mirror);
  g_free (claim->key);
  g_free (claim->prefix);
  g_free (claim->epoch_key);
  g_free (claim->holder);
  g_free (claim);
}

gint64
claim_left_us (const claim_t *claim, gint64 now_us)
{
  return claim->state == CLAIM_HELD ? tenure_left_us (&claim->tenure, now_us) : 0;
}

const char *
claim_key (const claim_t *claim)
{
  return claim->key;
}

gint64
claim_revision (const claim_t *claim)
{
  return claim->fence;
}

void
claim_give_up (claim_t *claim, void (*done) (void *data), void *data)
{
  bool was_held = claim->state == CLAIM_HELD;

  clear_timer (claim);
  claim->state = CLAIM_RELEASED;
  standby_keep (claim->standby, false);
  claim->released = done;
  claim->released_data = data;
  /* The key goes with its lease. */
  if (was_held)
    claim->store->calls->lease_end (claim->store, claim->lease, released, claim);
  else
    done (data);
}

void
claim_check (claim_t *claim)
{
  if (claim->state == CLAIM_HELD)
    schedule_renewal (claim, 0);
}

void
claim_abandoned (claim_t *claim, gint64 revision)
{
  if (claim->state != CLAIM_FOLLOWING)
    return;
  claim->released_revision = revision;
  schedule_attempt (claim, turn_ms (claim));
}

void
claim_set_cpu_most (claim_t *claim, guint cpu_milli)
{
  claim->cpu_most = cpu_milli;
}

void
claim_abdicate (claim_t *claim)
{
  lose (claim, "abdicated");
  claim->abstain_until_us = clock_now_us () + abstain_us;
}
