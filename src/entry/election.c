#define LOG_MODULE "claim"

#include "entry/election.h"

#include "base/clock.h"
#include "base/log.h"
#include "decide/election_policy.h"
#include "entry/spare_lease.h"
#include "entry/tenure.h"
#include "peer/peer.pb-c.h"
#include "store/watcher.h"

#include <string.h>

typedef enum
{
  ELECTION_FOLLOWER,
  ELECTION_CANDIDATE,
  ELECTION_LEADER,
  ELECTION_WITHDRAWN
} election_state_t;

struct election
{
  store_t *store;
  election_config_t config;
  const election_events_t *events;
  void *data;
  char *key;
  char *epoch_key;
  char *prefix;
  watcher_t *watcher;
  election_state_t state;
  bool is_leader_record_present; /* as last seen */
  bool is_synced;
  bool was_ever_synced;
  bool is_after_outage; /* the store was lost, and no leader has been seen since */
  bool is_younger;      /* this process started after the last seen leader record was written */
  char *leader_address; /* as last reported */
  tenure_t *tenure;     /* while this VM is the leader */
  gint64 lease;
  spare_lease_t *spare_lease;
  gint64 lease_sent_us;        /* send time of the last grant or renewal, from spare_lease_take() */
  gint64 seen_leader_revision; /* of the last seen leader record */
  gint64 own_record_lease;     /* of that record, if this VM wrote it; else 0 */
  gint64 resigned_revision;    /* of a leader record whose leader has resigned; 0: none */
  /* The epoch record, as last seen and as this VM's last campaign expected it. */
  guint seen_epoch; /* number of elections so far */
  gint64 seen_epoch_revision;
  gint64 epoch_revision;
  guint epoch;
  guint largest_cpu_milli; /* of all VMs; 0: unknown */
  gint64 campaign_not_before_us;
  guint timer; /* next campaign */
  void (*on_withdrawn) (void *data);
  void *on_withdrawn_data;
};

enum
{
  WATCH_TIMEOUT_MS = 4000, /* longest wait of one watch */
  CAMPAIGN_RETRY_MS = 100, /* after a failed campaign */
  CAMPAIGN_JITTER_MS = 40, /* spreads the campaigns of the VMs in time */
  EPOCH_BYTES_MAX = 16     /* of the packed record: two integers with their tags */
};

/* A leader that stepped down, for example because it can't reach the store, does not campaign
 * for this long, so that another VM is elected. */
static const gint64 step_down_backoff_us = 2 * G_USEC_PER_SEC;

static void campaign (election_t *election);

static void
clear_timer (election_t *election)
{
  if (election->timer != 0)
    g_source_remove (election->timer);
  election->timer = 0;
}

/* Returns true when, by the last seen state, the domain has no leader. */
static bool
has_no_leader (const election_t *election)
{
  return !election->is_leader_record_present || election->resigned_revision != 0;
}

static gboolean
campaign_timer_fired (gpointer data)
{
  election_t *election = data;

  election->timer = 0;
  if (election->state == ELECTION_FOLLOWER && election->is_synced && has_no_leader (election)
      && clock_now_us () >= election->campaign_not_before_us)
    campaign (election);
  return G_SOURCE_REMOVE;
}

static void
schedule_campaign (election_t *election, guint delay_ms)
{
  if (election->state != ELECTION_FOLLOWER || election->timer != 0)
    return;
  election->timer = g_timeout_add (delay_ms + g_str_hash (election->config.vm) % CAMPAIGN_JITTER_MS,
                                   campaign_timer_fired, election);
}

/* Delay that lets larger VMs campaign first. */
static guint
campaign_delay_ms (const election_t *election)
{
  guint delay_ms = election_policy_delay_ms (election->config.cpu_milli,
                                             election->largest_cpu_milli, election->is_younger);

  if (election->is_after_outage)
    delay_ms += election_policy_outage_delay_ms (election->config.cpu_milli,
                                                 election->largest_cpu_milli);
  return delay_ms;
}

static void
end_campaign (election_t *election)
{
  if (election->state != ELECTION_CANDIDATE)
    return;
  election->state = ELECTION_FOLLOWER;
  spare_lease_set_needed (election->spare_lease, true);
  schedule_campaign (election, CAMPAIGN_RETRY_MS);
}

static void
ignore_reply (const store_reply_t *reply G_GNUC_UNUSED, void *data G_GNUC_UNUSED)
{
}

static void
revoke_lease (election_t *election)
{
  if (election->lease != 0)
    election->store->calls->lease_end (election->store, election->lease, ignore_reply, NULL);
  election->lease = 0;
}

static void
become_leader (election_t *election, gint64 fence)
{
  election->state = ELECTION_LEADER;
  spare_lease_set_needed (election->spare_lease, false);
  election->is_leader_record_present = true;
  election->is_after_outage = false;
  election->resigned_revision = 0;
  LOG_INFO ("claim_gained", "domain=%s fence=%" G_GINT64_FORMAT " epoch=%u",
            election->config.domain, fence, election->epoch);
  tenure_begin (election->tenure, election->lease, election->lease_sent_us, fence);
  election->events->gained (fence, election->epoch, election->data);
}

static void
lose_leadership (const char *reason, void *data)
{
  election_t *election = data;

  if (election->state != ELECTION_LEADER)
    return;
  LOG_WARN ("claim_lost", "domain=%s fence=%" G_GINT64_FORMAT " reason=%s", election->config.domain,
            tenure_fence (election->tenure), reason);
  election->state = ELECTION_FOLLOWER;
  tenure_end (election->tenure);
  revoke_lease (election);
  election->events->lost (reason, election->data);
  spare_lease_set_needed (election->spare_lease, true);
  schedule_campaign (election, CAMPAIGN_RETRY_MS);
}

/* Handles the leader record that was read after a write without an answer: it shows whether the
 * write was applied. */
static void
resolve_lost_write (const store_reply_t *reply, void *data)
{
  election_t *election = data;

  if (election->state != ELECTION_CANDIDATE)
    return;
  if (reply->status == STORE_DONE && reply->items->len > 0
      && tenure_is_own_record (election->tenure, g_ptr_array_index (reply->items, 0)))
    {
      become_leader (election, ((store_item_t *) g_ptr_array_index (reply->items, 0))->revision);
      return;
    }
  /* A write that reaches the store late fails once its lease is revoked. */
  revoke_lease (election);
  end_campaign (election);
}

static void
leader_record_written (const store_reply_t *reply, void *data)
{
  election_t *election = data;

  if (election->state != ELECTION_CANDIDATE)
    return;
  switch (reply->status)
    {
    case STORE_DONE:
      become_leader (election, reply->revision);
      return;
    case STORE_LOST:
      election->store->calls->get (election->store, election->key, resolve_lost_write, election);
      return;
    case STORE_REFUSED:
      /* Another VM has written the key. */
      election->resigned_revision = 0;
      revoke_lease (election);
      end_campaign (election);
      return;
    case STORE_MISSING:
    case STORE_UNAVAILABLE:
      revoke_lease (election);
      end_campaign (election);
      return;
    }
}

static void
write_leader_record (election_t *election)
{
  gint64 expected_revision = election->is_leader_record_present ? election->resigned_revision : 0;
  Mimosastair__Claim message = MIMOSASTAIR__CLAIM__INIT;
  g_autofree guint8 *packed = NULL;
  gsize bytes;
  Mimosastair__Epoch epoch = MIMOSASTAIR__EPOCH__INIT;
  guint8 record[EPOCH_BYTES_MAX];
  gsize record_bytes;
  store_condition_t expect[]
      = { { election->key, expected_revision }, { election->epoch_key, election->epoch_revision } };

  message.vm = (char *) election->config.vm;
  message.address = (char *) election->config.address;
  message.life = election->config.incarnation;
  message.epoch = election->epoch;
  epoch.claims = election->epoch + 1;
  epoch.cpu_most_milli = MAX (election->largest_cpu_milli, election->config.cpu_milli);
  record_bytes = mimosastair__epoch__pack (&epoch, record);
  bytes = mimosastair__claim__get_packed_size (&message);
  packed = g_malloc (bytes);
  mimosastair__claim__pack (&message, packed);
  {
    store_write_t writes[] = { { election->key, packed, bytes, election->lease },
                               { election->epoch_key, record, record_bytes, 0 } };

    election->store->calls->txn (election->store, expect, G_N_ELEMENTS (expect), writes,
                                 G_N_ELEMENTS (writes), leader_record_written, election);
  }
}

/* Called when the lease that a campaign waits for is granted. */
static void
lease_ready (void *data)
{
  schedule_campaign (data, campaign_delay_ms (data));
}

static void
campaign (election_t *election)
{
  if (!spare_lease_take (election->spare_lease, &election->lease, &election->lease_sent_us))
    return;
  election->state = ELECTION_CANDIDATE;
  election->epoch = election->seen_epoch;
  election->epoch_revision = election->seen_epoch_revision;
  write_leader_record (election);
}

static void
report_leader (election_t *election, const char *vm, const char *address)
{
  if (g_strcmp0 (election->leader_address, address) == 0)
    return;
  g_free (election->leader_address);
  election->leader_address = g_strdup (address);
  LOG_INFO ("claim_holder", "domain=%s vm=%s address=%s", election->config.domain,
            vm != NULL ? vm : "-", address != NULL ? address : "-");
  election->events->leader_changed (vm, address, election->data);
}

static void
withdrawn (const store_reply_t *reply, void *data)
{
  election_t *election = data;

  LOG_INFO ("claim_released", "domain=%s status=%s", election->config.domain,
            store_status_name (reply->status));
  if (election->on_withdrawn != NULL)
    election->on_withdrawn (election->on_withdrawn_data);
  election->on_withdrawn = NULL;
}

/* Deletes a leader record of this VM that is no longer valid: the VM resigned while the
 * store did not answer, or an earlier process of the VM wrote the record. */
static void
revoke_former_lease (election_t *election)
{
  if (election->state != ELECTION_FOLLOWER || election->own_record_lease == 0)
    return;
  LOG_INFO ("claim_of_ours_ended", "fence=%" G_GINT64_FORMAT, election->seen_leader_revision);
  election->store->calls->lease_end (election->store, election->own_record_lease, ignore_reply,
                                     NULL);
}

static void
read_epoch (election_t *election, const store_item_t *item)
{
  Mimosastair__Epoch *message;

  election->seen_epoch_revision = item->deleted ? 0 : item->revision;
  election->seen_epoch = 0;
  if (item->deleted)
    return;
  message = mimosastair__epoch__unpack (NULL, item->value_bytes, item->value);
  if (message == NULL)
    {
      LOG_WARN ("epoch_malformed", "domain=%s revision=%" G_GINT64_FORMAT, election->config.domain,
                item->revision);
      return;
    }
  election->seen_epoch = message->claims;
  if (election->largest_cpu_milli == 0)
    election->largest_cpu_milli = message->cpu_most_milli;
  mimosastair__epoch__free_unpacked (message, NULL);
}

/* A leader record that exists at the first read was written before this process started. */
static void
note_leader_age (election_t *election, gint64 revision)
{
  if (election->was_ever_synced && revision != election->seen_leader_revision)
    election->is_younger = false;
  else if (!election->was_ever_synced)
    election->is_younger = true;
  election->seen_leader_revision = revision;
}

static void
key_changed (const store_item_t *item, void *data)
{
  election_t *election = data;
  Mimosastair__Claim *message;

  if (strcmp (item->key, election->epoch_key) == 0)
    read_epoch (election, item);
  if (strcmp (item->key, election->key) != 0)
    return;
  election->is_leader_record_present = !item->deleted;
  election->own_record_lease = 0;
  if (item->deleted)
    {
      if (election->state == ELECTION_LEADER)
        tenure_verify (election->tenure);
      else
        report_leader (election, NULL, NULL);
      schedule_campaign (election, campaign_delay_ms (election));
      return;
    }
  if (election->is_synced)
    election->is_after_outage = false;
  note_leader_age (election, item->revision);
  message = mimosastair__claim__unpack (NULL, item->value_bytes, item->value);
  if (message == NULL)
    return;
  if (item->revision != election->resigned_revision)
    election->resigned_revision = 0;
  if (election->state == ELECTION_LEADER && item->revision > tenure_fence (election->tenure))
    lose_leadership ("taken_over", election);
  if (strcmp (message->vm, election->config.vm) == 0)
    election->own_record_lease = item->lease;
  revoke_former_lease (election);
  report_leader (election, message->vm, message->address);
  mimosastair__claim__free_unpacked (message, NULL);
}

static void
key_synced (void *data)
{
  election_t *election = data;

  if (!election->was_ever_synced)
    spare_lease_set_needed (election->spare_lease, true);
  /* A record whose deletion failed while the store did not answer is deleted now. */
  if (!election->is_synced)
    revoke_former_lease (election);
  election->is_synced = true;
  election->was_ever_synced = true;
  if (has_no_leader (election))
    schedule_campaign (election, campaign_delay_ms (election));
  else
    election->is_after_outage = false;
}

static void
store_lost (void *data)
{
  election_t *election = data;

  election->is_synced = false;
  election->is_after_outage = true;
  LOG_WARN ("store_lost", "of=claim");
}

static const watcher_events_t watcher_events = { key_changed, key_synced, store_lost };

election_t *
election_new (store_t *store,
              const election_config_t *config,
              const election_events_t *events,
              void *data)
{
  election_t *election = g_new0 (election_t, 1);

  election->store = store;
  election->config = *config;
  election->events = events;
  election->data = data;
  election->key = g_strdup_printf ("claim/%s", config->domain);
  election->prefix = g_strdup ("claim/");
  election->epoch_key = g_strdup_printf ("claim/%s.epoch", config->domain);
  election->spare_lease = spare_lease_new (store, config->ttl_ms, lease_ready, election);
  election->tenure = tenure_new (store, election->key, config, lose_leadership, election);
  election->watcher
      = watcher_new (store, election->prefix, WATCH_TIMEOUT_MS, &watcher_events, election);
  return election;
}

void
election_free (election_t *election)
{
  if (election == NULL)
    return;
  clear_timer (election);
  spare_lease_free (election->spare_lease);
  tenure_free (election->tenure);
  watcher_free (election->watcher);
  g_free (election->key);
  g_free (election->prefix);
  g_free (election->epoch_key);
  g_free (election->leader_address);
  g_free (election);
}

gint64
election_remaining_us (const election_t *election, gint64 now_us)
{
  return tenure_remaining_us (election->tenure, now_us);
}

const char *
election_key (const election_t *election)
{
  return election->key;
}

gint64
election_revision (const election_t *election)
{
  return tenure_fence (election->tenure);
}

void
election_withdraw (election_t *election, void (*done) (void *data), void *data)
{
  bool was_leader = election->state == ELECTION_LEADER;

  clear_timer (election);
  election->state = ELECTION_WITHDRAWN;
  tenure_end (election->tenure);
  spare_lease_set_needed (election->spare_lease, false);
  election->on_withdrawn = done;
  election->on_withdrawn_data = data;
  /* Revoking the lease deletes the leader record. */
  if (was_leader)
    election->store->calls->lease_end (election->store, election->lease, withdrawn, election);
  else
    done (data);
}

void
election_verify (election_t *election)
{
  tenure_verify (election->tenure);
}

void
election_leader_resigned (election_t *election, gint64 revision)
{
  if (election->state != ELECTION_FOLLOWER)
    return;
  election->resigned_revision = revision;
  schedule_campaign (election, campaign_delay_ms (election));
}

void
election_set_largest_cpu (election_t *election, guint cpu_milli)
{
  election->largest_cpu_milli = cpu_milli;
}

void
election_step_down (election_t *election)
{
  lose_leadership ("abdicated", election);
  election->campaign_not_before_us = clock_now_us () + step_down_backoff_us;
}
