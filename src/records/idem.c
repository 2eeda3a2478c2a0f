#define LOG_MODULE "idem"

#include "records/idem.h"

#include "base/json.h"
#include "base/list.h"
#include "base/log.h"
#include "records/idem_waiters.h"
#include "records/record_lease.h"

#include <string.h>

#define IDEM_PREFIX "/mimosastair/idempotency/"

typedef enum
{
  ENTRY_CLAIMING,          /* the claim, its release or a read is in flight */
  ENTRY_CLAIMED,           /* claimed by this VM; the request is running */
  ENTRY_CLAIMED_ELSEWHERE, /* claimed by another VM; polled until it ends */
  ENTRY_DONE,
  ENTRY_UNKNOWN
} entry_state_t;

typedef struct
{
  idem_t *idem;
  char *scope;
  char *key;
  char *digest;
  char *claim_text; /* value of this VM's claim */
  char *owner_vm;   /* VM that holds the claim, if it is another one */
  entry_state_t state;
  idem_waiters_t waiters;
  list_node_t waiting_node; /* linked while the entry has waiters */
  GBytes *body;
  char *content_type;
  guint http_status;
  guint poll_timer;
  guint poll_ms;
  guint pending_call_count; /* calls that use the entry, which must not be freed until they end */
  gint64 expires_us;
} entry_t;

struct idem
{
  kv_t *kv;
  batch_t *batch;
  char *vm;
  char *incarnation;
  gint64 retention_s;
  GHashTable *entries;         /* scope -> entry_t */
  GQueue ended_entries;        /* entry_t, ordered by expiry */
  list_node_t waiting_entries; /* entry_t with waiters */
  const member_list_t *list;
  record_lease_t *lease;
  guint timer;
  guint pending_write_count;
  guint64 sequence; /* of the last record; makes each written value unique, see batch.h */
  idem_counters_t counters;
};

static const guint waiting_sweep_ms = 20; /* while attempts wait */
static const guint idle_sweep_ms = 1000;  /* otherwise */
static const guint min_poll_ms = 20;
static const guint max_poll_ms = 500;
static const gint64 record_timeout_us = 600 * G_USEC_PER_SEC;
static const guint ended_entries_max = 20000;
static const guint queued_ops_max = 2000; /* with more ops queued, new claims are refused at once */

static void write_claim (entry_t *entry, gint64 revision);
static gboolean sweep (gpointer data);

static void
entry_free (gpointer data)
{
  entry_t *entry = data;

  idem_waiters_clear (&entry->waiters);
  if (entry->poll_timer != 0)
    g_source_remove (entry->poll_timer);
  list_remove (&entry->waiting_node);
  g_clear_pointer (&entry->body, g_bytes_unref);
  g_free (entry->scope);
  g_free (entry->key);
  g_free (entry->digest);
  g_free (entry->claim_text);
  g_free (entry->owner_vm);
  g_free (entry->content_type);
  g_free (entry);
}

/* Frees an entry that is no longer needed, unless a call or a waiter still uses it. */
static void
free_if_unused (entry_t *entry)
{
  if (entry->pending_call_count > 0 || !idem_waiters_is_empty (&entry->waiters))
    return;
  g_queue_remove (&entry->idem->ended_entries, entry);
  g_hash_table_remove (entry->idem->entries, entry->scope);
}

static void
answer_with_outcome (entry_t *entry)
{
  idem_answer_t answer = { .http_status = entry->http_status,
                           .content_type = entry->content_type,
                           .body = entry->body };

  entry->pending_call_count++;
  if (entry->state == ENTRY_DONE)
    {
      entry->idem->counters.replayed += !idem_waiters_is_empty (&entry->waiters);
      idem_waiters_answer_all (&entry->waiters, IDEM_ANSWER, &answer);
    }
  else
    {
      idem_waiters_answer_all (&entry->waiters, IDEM_UNKNOWN, NULL);
    }
  entry->pending_call_count--;
}

/* Keeps an ended entry for the retention time, so that later attempts need no read. */
static void
retain_ended (entry_t *entry)
{
  idem_t *idem = entry->idem;

  entry->expires_us = g_get_monotonic_time () + idem->retention_s * G_USEC_PER_SEC;
  g_queue_push_tail (&idem->ended_entries, entry);
  if (idem->ended_entries.length > ended_entries_max)
    free_if_unused (g_queue_peek_head (&idem->ended_entries));
}

static char *
serialize_record (entry_t *entry, const char *state)
{
  idem_t *idem = entry->idem;
  g_autoptr (JsonBuilder) builder = json_builder_new ();

  json_builder_begin_object (builder);
  json_put_string (builder, "state", state);
  json_put_string (builder, "vm", idem->vm);
  json_put_string (builder, "incarnation", idem->incarnation);
  json_put_string (builder, "digest", entry->digest);
  json_put_int (builder, "sequence", (gint64) ++idem->sequence);
  if (entry->body != NULL)
    {
      gsize size = 0;
      const guchar *bytes = g_bytes_get_data (entry->body, &size);
      g_autofree char *encoded = g_base64_encode (bytes, size);

      json_put_int (builder, "status", entry->http_status);
      json_put_string (builder, "type", entry->content_type);
      json_put_string (builder, "body", encoded);
    }
  json_builder_end_object (builder);
  return json_builder_to_string (builder);
}

static void
parse_answer (entry_t *entry, JsonObject *record)
{
  const char *encoded = json_get_string (record, "body", NULL);
  gsize size = 0;
  guchar *bytes;

  entry->state = ENTRY_UNKNOWN;
  if (encoded == NULL)
    return;
  bytes = g_base64_decode (encoded, &size);
  entry->body = g_bytes_new_take (bytes, size);
  entry->http_status = (guint) json_get_int (record, "status", 200);
  entry->content_type = g_strdup (json_get_string (record, "type", "application/json"));
  entry->state = ENTRY_DONE;
}

static void poll_done (const kv_reply_t *reply, void *data);

static gboolean
poll_fired (gpointer data)
{
  entry_t *entry = data;

  entry->poll_timer = 0;
  entry->pending_call_count++;
  kv_range (entry->idem->kv, entry->key, false, poll_done, entry);
  return G_SOURCE_REMOVE;
}

static void
schedule_poll (entry_t *entry)
{
  entry->poll_ms = entry->poll_ms == 0 ? min_poll_ms : MIN (entry->poll_ms * 2, max_poll_ms);
  entry->poll_timer = g_timeout_add (entry->poll_ms, poll_fired, entry);
}

static void
set_ended (entry_t *entry, entry_state_t state)
{
  entry->state = state;
  answer_with_outcome (entry);
  retain_ended (entry);
}

/* Updates the entry from the stored record, or claims the key if there is none or it was
 * released. */
static void
apply_record (entry_t *entry, const kv_entry_t *current)
{
  const member_list_t *list = entry->idem->list;
  g_autoptr (JsonNode) root = NULL;
  JsonObject *record;
  const char *state;

  if (current->mod_revision == 0)
    {
      write_claim (entry, 0);
      return;
    }
  root = json_parse_object (current->value, (gssize) current->length, NULL);
  record = root != NULL ? json_node_get_object (root) : NULL;
  state = json_get_string (record, "state", "unknown");
  if (strcmp (state, "released") == 0)
    {
      write_claim (entry, current->mod_revision);
      return;
    }
  g_free (entry->digest);
  entry->digest = g_strdup (json_get_string (record, "digest", ""));
  if (strcmp (state, "done") == 0)
    {
      parse_answer (entry, record);
      set_ended (entry, entry->state);
      return;
    }
  g_free (entry->owner_vm);
  entry->owner_vm = g_strdup (json_get_string (record, "vm", ""));
  if (strcmp (state, "claimed") != 0
      || (list != NULL && list->revision > 0 && member_list_find (list, entry->owner_vm) == NULL))
    {
      set_ended (entry, ENTRY_UNKNOWN);
      return;
    }
  entry->state = ENTRY_CLAIMED_ELSEWHERE;
  schedule_poll (entry);
}

static void
poll_done (const kv_reply_t *reply, void *data)
{
  entry_t *entry = data;
  kv_entry_t absent = { .mod_revision = 0 };

  entry->pending_call_count--;
  if (idem_waiters_is_empty (&entry->waiters))
    {
      free_if_unused (entry);
      return;
    }
  if (reply->status != KV_APPLIED)
    {
      schedule_poll (entry);
      return;
    }
  apply_record (entry, reply->entries->len > 0 ? g_ptr_array_index (reply->entries, 0) : &absent);
}

static void
release_written (batch_result_t result, const kv_entry_t *current G_GNUC_UNUSED, void *data)
{
  entry_t *entry = data;

  entry->idem->pending_write_count--;
  entry->pending_call_count--;
  if (result == BATCH_UNAVAILABLE)
    LOG_WARN ("release_lost", "key=%s", entry->key);
  if (idem_waiters_is_empty (&entry->waiters))
    {
      free_if_unused (entry);
      return;
    }
  /* An attempt that arrived during the release becomes the claimant. */
  g_free (entry->digest);
  entry->digest = g_strdup (idem_waiters_choose_claimant (&entry->waiters));
  idem_waiters_reject_others (&entry->waiters, entry->digest);
  entry->pending_call_count++;
  entry->state = ENTRY_CLAIMING;
  kv_range (entry->idem->kv, entry->key, false, poll_done, entry);
}

static void
release_claim (entry_t *entry)
{
  idem_t *idem = entry->idem;
  batch_op_t op = { .key = g_strdup (entry->key),
                    .value = serialize_record (entry, "released"),
                    .expect = KV_EXPECT_VALUE,
                    .expected = g_strdup (entry->claim_text),
                    .lease = record_lease_id (idem->lease),
                    .deadline_us = g_get_monotonic_time () + record_timeout_us,
                    .done = release_written,
                    .data = entry };

  entry->state = ENTRY_CLAIMING;
  entry->pending_call_count++;
  idem->pending_write_count++;
  idem->counters.released++;
  batch_add (idem->batch, &op);
}

static void
claim_written (batch_result_t result, const kv_entry_t *current, void *data)
{
  entry_t *entry = data;

  entry->pending_call_count--;
  switch (result)
    {
    case BATCH_APPLIED:
      if (!idem_waiters_has_claimant (&entry->waiters))
        {
          /* The claimant was answered at its deadline, and no request was sent. */
          release_claim (entry);
          return;
        }
      entry->idem->counters.claimed++;
      entry->state = ENTRY_CLAIMED;
      idem_waiters_answer_claimant (&entry->waiters, IDEM_CLAIMED);
      return;
    case BATCH_CONFLICT:
      entry->pending_call_count++;
      if (current != NULL)
        apply_record (entry, current);
      idem_waiters_reject_others (&entry->waiters, entry->digest);
      entry->pending_call_count--;
      return;
    case BATCH_UNAVAILABLE:
      entry->idem->counters.unavailable++;
      entry->pending_call_count++;
      idem_waiters_answer_all (&entry->waiters, IDEM_UNAVAILABLE, NULL);
      entry->pending_call_count--;
      /* The claim may have been written nevertheless. */
      release_claim (entry);
      return;
    }
}

static void
write_claim (entry_t *entry, gint64 revision)
{
  idem_t *idem = entry->idem;
  batch_op_t op = { .key = g_strdup (entry->key),
                    .expect = KV_EXPECT_REVISION,
                    .revision = revision,
                    .lease = record_lease_id (idem->lease),
                    .done = claim_written,
                    .data = entry };

  if (!idem_waiters_has_claimant (&entry->waiters) && !idem_waiters_is_empty (&entry->waiters))
    (void) idem_waiters_choose_claimant (&entry->waiters);
  g_free (entry->claim_text);
  entry->claim_text = serialize_record (entry, "claimed");
  op.value = g_strdup (entry->claim_text);
  op.deadline_us = idem_waiters_claimant_deadline_us (&entry->waiters, g_get_monotonic_time ());
  entry->state = ENTRY_CLAIMING;
  entry->pending_call_count++;
  batch_add (idem->batch, &op);
}

static entry_t *
entry_new (idem_t *idem, const char *scope, const char *digest)
{
  entry_t *entry = g_new0 (entry_t, 1);

  entry->idem = idem;
  entry->scope = g_strdup (scope);
  entry->key = g_strconcat (IDEM_PREFIX, scope, NULL);
  entry->digest = g_strdup (digest);
  idem_waiters_init (&entry->waiters);
  g_hash_table_insert (idem->entries, entry->scope, entry);
  return entry;
}

static void
add_waiter (entry_t *entry,
            const char *digest,
            gint64 deadline_us,
            idem_done_t done,
            void *data,
            bool is_claimant)
{
  idem_waiters_add (&entry->waiters, digest, deadline_us, done, data, is_claimant);
  if (list_is_linked (&entry->waiting_node))
    return;
  if (list_is_empty (&entry->idem->waiting_entries))
    {
      if (entry->idem->timer != 0)
        g_source_remove (entry->idem->timer);
      entry->idem->timer = g_timeout_add (waiting_sweep_ms, sweep, entry->idem);
    }
  list_push_back (&entry->idem->waiting_entries, &entry->waiting_node);
}

void
idem_begin (idem_t *idem,
            const char *scope,
            const char *digest,
            gint64 deadline_us,
            idem_done_t done,
            void *data)
{
  entry_t *entry = g_hash_table_lookup (idem->entries, scope);

  if (entry == NULL)
    {
      if (!record_lease_is_usable (idem->lease, g_get_monotonic_time ())
          || batch_pending_op_count (idem->batch) >= queued_ops_max)
        {
          idem->counters.unavailable++;
          done (IDEM_UNAVAILABLE, NULL, data);
          return;
        }
      entry = entry_new (idem, scope, digest);
      add_waiter (entry, digest, deadline_us, done, data, true);
      write_claim (entry, 0);
      return;
    }
  if (strcmp (entry->digest, digest) != 0)
    {
      done (IDEM_KEY_REUSED, NULL, data);
      return;
    }
  idem->counters.joined++;
  add_waiter (entry, digest, deadline_us, done, data, false);
  if (entry->state == ENTRY_DONE || entry->state == ENTRY_UNKNOWN)
    answer_with_outcome (entry);
}

bool
idem_is_known (const idem_t *idem, const char *scope)
{
  return g_hash_table_contains (idem->entries, scope);
}

static void
end_written (batch_result_t result, const kv_entry_t *current G_GNUC_UNUSED, void *data)
{
  entry_t *entry = data;

  entry->idem->pending_write_count--;
  entry->pending_call_count--;
  if (result != BATCH_APPLIED)
    LOG_WARN ("answer_not_recorded", "key=%s result=%d", entry->key, result);
}

void
idem_finish (idem_t *idem, const char *scope, const idem_answer_t *answer)
{
  entry_t *entry = g_hash_table_lookup (idem->entries, scope);
  batch_op_t op = { .expect = KV_EXPECT_VALUE,
                    .lease = record_lease_id (idem->lease),
                    .deadline_us = g_get_monotonic_time () + record_timeout_us,
                    .done = end_written };

  if (entry == NULL || entry->state != ENTRY_CLAIMED)
    return;
  if (answer != NULL && g_bytes_get_size (answer->body) <= IDEM_ANSWER_MAX_BYTES)
    {
      entry->body = g_bytes_ref (answer->body);
      entry->content_type = g_strdup (answer->content_type);
      entry->http_status = answer->http_status;
    }
  entry->state = entry->body != NULL ? ENTRY_DONE : ENTRY_UNKNOWN;
  op.key = g_strdup (entry->key);
  op.value = serialize_record (entry, entry->state == ENTRY_DONE ? "done" : "unknown");
  op.expected = g_strdup (entry->claim_text);
  op.data = entry;
  entry->pending_call_count++;
  idem->pending_write_count++;
  batch_add (idem->batch, &op);
  answer_with_outcome (entry);
  retain_ended (entry);
}

void
idem_release (idem_t *idem, const char *scope)
{
  entry_t *entry = g_hash_table_lookup (idem->entries, scope);

  if (entry != NULL && entry->state == ENTRY_CLAIMED)
    release_claim (entry);
}

static idem_result_t
result_at_deadline (const entry_t *entry)
{
  return entry->state == ENTRY_CLAIMING ? IDEM_UNAVAILABLE : IDEM_RUNNING;
}

static gboolean
sweep (gpointer data)
{
  idem_t *idem = data;
  gint64 now_us = g_get_monotonic_time ();
  list_node_t *next;

  idem->timer = 0;
  record_lease_replace (idem->lease, now_us);
  while (idem->ended_entries.length > 0)
    {
      entry_t *entry = g_queue_peek_head (&idem->ended_entries);

      if (entry->expires_us > now_us || entry->pending_call_count > 0)
        break;
      free_if_unused (entry);
    }
  for (list_node_t *node = idem->waiting_entries.next; node != &idem->waiting_entries; node = next)
    {
      entry_t *entry = LIST_ENTRY (node, entry_t, waiting_node);

      next = node->next;
      while (idem_waiters_answer_expired (&entry->waiters, now_us, result_at_deadline (entry)))
        ;
      if (idem_waiters_is_empty (&entry->waiters))
        list_remove (&entry->waiting_node);
    }
  idem->timer = g_timeout_add (
      list_is_empty (&idem->waiting_entries) ? idle_sweep_ms : waiting_sweep_ms, sweep, idem);
  return G_SOURCE_REMOVE;
}

idem_t *
idem_new (kv_t *kv, batch_t *batch, const char *vm, const char *incarnation, gint64 retention_s)
{
  idem_t *idem = g_new0 (idem_t, 1);

  idem->kv = kv;
  idem->batch = batch;
  idem->vm = g_strdup (vm);
  idem->incarnation = g_strdup (incarnation);
  idem->retention_s = retention_s;
  idem->lease = record_lease_new (kv, retention_s);
  idem->entries = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, entry_free);
  g_queue_init (&idem->ended_entries);
  list_init (&idem->waiting_entries);
  sweep (idem);
  return idem;
}

void
idem_free (idem_t *idem)
{
  if (idem == NULL)
    return;
  g_source_remove (idem->timer);
  g_queue_clear (&idem->ended_entries);
  g_hash_table_unref (idem->entries);
  record_lease_free (idem->lease);
  g_free (idem->vm);
  g_free (idem->incarnation);
  g_free (idem);
}

void
idem_set_member_list (idem_t *idem, const member_list_t *list)
{
  idem->list = list;
}

guint
idem_pending_write_count (const idem_t *idem)
{
  return idem->pending_write_count;
}

const idem_counters_t *
idem_counters (const idem_t *idem)
{
  return &idem->counters;
}
