#define LOG_MODULE "recorder"

#include "entry/recorder.h"

#include "base/clock.h"
#include "base/log.h"
#include "entry/codec.h"
#include "entry/keys.h"

#include <string.h>

/* One key to be written, with what it is for. */
typedef struct
{
  char *key;
  guint8 *value; /* NULL: delete */
  gsize bytes;
  gint64 lease;
} row_t;

typedef struct
{
  char *id;
  job_state_t state;
} finished_t;

struct recorder
{
  store_t *store;
  char *claim_key;
  gint64 claim_revision;
  cell_t *cell;
  const recorder_events_t *events;
  void *data;
  GHashTable *dirty;    /* ids of jobs whose progress has changed */
  GQueue finished;      /* finished_t, waiting */
  GHashTable *recorded; /* ids with a progress record */
  GPtrArray *deletions; /* keys */
  /* The batch on its way. */
  bool is_writing;
  GPtrArray *rows; /* row_t */
  guint row_next;  /* first that is not stored */
  guint row_count; /* of the transaction on its way */
  GQueue ending;   /* finished_t of this batch */
  guint64 batch;
  /* The counter that serializes transactions. */
  bool is_counter_known;
  gint64 counter_revision;
  guint64 counter;
  gint64 end_lease; /* ended jobs delete themselves */
  guint timer;
  gint64 due_us; /* of the timer */
  bool is_closed;
  guint calls;
};

enum
{
  COALESCE_MS = 12, /* changes that come together share a transaction */
  DELETE_MS = 300,  /* what is deleted waits for something else to be written */
  RETRY_MS = 100,
  CONDITIONS = 2,
  ROWS_MAX = STORE_TXN_ROWS - CONDITIONS - 1, /* beside the counter */
  END_LEASE_MS = 600 * 1000                   /* the longest that the service grants */
};

static void write_next (recorder_t *recorder);
static void schedule (recorder_t *recorder, guint delay_ms);

static void
row_free (gpointer data)
{
  row_t *row = data;

  g_free (row->key);
  g_free (row->value);
  g_free (row);
}

static void
finished_free (gpointer data)
{
  finished_t *finished = data;

  g_free (finished->id);
  g_free (finished);
}

static void
destroy (recorder_t *recorder)
{
  g_hash_table_unref (recorder->dirty);
  g_hash_table_unref (recorder->recorded);
  g_queue_clear_full (&recorder->finished, finished_free);
  g_queue_clear_full (&recorder->ending, finished_free);
  g_ptr_array_unref (recorder->deletions);
  g_ptr_array_unref (recorder->rows);
  g_free (recorder->claim_key);
  g_free (recorder);
}

static bool
call_ended (recorder_t *recorder)
{
  recorder->calls--;
  if (!recorder->is_closed)
    return false;
  if (recorder->calls == 0)
    destroy (recorder);
  return true;
}

static void
add_row (recorder_t *recorder, char *key, guint8 *value, gsize bytes, gint64 lease)
{
  row_t *row = g_new0 (row_t, 1);

  row->key = key;
  row->value = value;
  row->bytes = bytes;
  row->lease = lease;
  g_ptr_array_add (recorder->rows, row);
}

static void
collect_progress (const task_progress_t *progress, void *data)
{
  g_array_append_val ((GArray *) data, *progress);
}

static void
add_progress (recorder_t *recorder, const char *id)
{
  g_autoptr (GArray) progress = g_array_new (FALSE, TRUE, sizeof (task_progress_t));
  guint8 *packed;
  gsize bytes;

  cell_progress (recorder->cell, id, collect_progress, progress);
  packed = codec_pack_progress (progress, &bytes);
  add_row (recorder, keys_progress (id), packed, bytes, 0);
  (void) g_hash_table_add (recorder->recorded, g_strdup (id));
}

static void
add_end (recorder_t *recorder, const finished_t *finished)
{
  Mimosastair__Ended message = MIMOSASTAIR__ENDED__INIT;
  guint8 *packed;
  gsize bytes;

  message.state = finished->state;
  bytes = mimosastair__ended__get_packed_size (&message);
  packed = g_malloc (bytes + 1);
  mimosastair__ended__pack (&message, packed);
  add_row (recorder, keys_end (finished->id), packed, bytes, recorder->end_lease);
  add_row (recorder, keys_job (finished->id), NULL, 0, 0);
  if (finished->state == JOB_CANCELLED)
    add_row (recorder, keys_cancel (finished->id), NULL, 0, 0);
  if (g_hash_table_remove (recorder->recorded, finished->id))
    add_row (recorder, keys_progress (finished->id), NULL, 0, 0);
}

/* Takes all that waits into one batch. */
static bool
begin_batch (recorder_t *recorder)
{
  GHashTableIter iter;
  gpointer id;
  finished_t *finished;

  if (recorder_is_idle (recorder))
    return false;
  recorder->is_writing = true;
  g_ptr_array_set_size (recorder->rows, 0);
  recorder->row_next = 0;
  recorder->batch = cell_batch_begin (recorder->cell);
  while ((finished = g_queue_pop_head (&recorder->finished)) != NULL)
    {
      g_hash_table_remove (recorder->dirty, finished->id);
      add_end (recorder, finished);
      g_queue_push_tail (&recorder->ending, finished);
    }
  g_hash_table_iter_init (&iter, recorder->dirty);
  while (g_hash_table_iter_next (&iter, &id, NULL))
    add_progress (recorder, id);
  g_hash_table_remove_all (recorder->dirty);
  for (guint i = 0; i < recorder->deletions->len; i++)
    add_row (recorder, g_strdup (g_ptr_array_index (recorder->deletions, i)), NULL, 0, 0);
  g_ptr_array_set_size (recorder->deletions, 0);
  return true;
}

static void
end_batch (recorder_t *recorder)
{
  finished_t *finished;

  recorder->is_writing = false;
  recorder->calls++;
  while ((finished = g_queue_pop_head (&recorder->ending)) != NULL)
    {
      recorder->events->ended (finished->id, finished->state, recorder->data);
      finished_free (finished);
    }
  recorder->events->stored (recorder->batch, recorder->data);
  if (!call_ended (recorder) && !recorder_is_idle (recorder))
    schedule (recorder, COALESCE_MS);
}

static void
transaction_stored (recorder_t *recorder, gint64 revision)
{
  recorder->counter_revision = revision;
  recorder->row_next += recorder->row_count;
  if (recorder->row_next < recorder->rows->len)
    write_next (recorder);
  else
    end_batch (recorder);
}

static guint64
counter_value (const store_item_t *item)
{
  guint64 value = 0;

  if (item->value_bytes == sizeof value)
    memcpy (&value, item->value, sizeof value);
  return value;
}

/* A condition did not hold: the claim is gone, or this very transaction was carried out
 * although its answer was lost. */
static void
refused (recorder_t *recorder, const store_reply_t *reply)
{
  bool is_claim_seen = false;

  for (guint i = 0; i < reply->items->len; i++)
    {
      const store_item_t *item = g_ptr_array_index (reply->items, i);

      if (strcmp (item->key, recorder->claim_key) == 0)
        is_claim_seen = item->revision == recorder->claim_revision;
    }
  for (guint i = 0; is_claim_seen && i < reply->items->len; i++)
    {
      const store_item_t *item = g_ptr_array_index (reply->items, i);

      if (strcmp (item->key, KEYS_BATCH) != 0)
        continue;
      if (counter_value (item) == recorder->counter)
        {
          transaction_stored (recorder, item->revision);
          return;
        }
    }
  LOG_WARN ("batch_refused", "claim_seen=%d", (int) is_claim_seen);
  recorder->events->deposed (recorder->data);
}

static gboolean
write_again (gpointer data)
{
  recorder_t *recorder = data;

  recorder->timer = 0;
  write_next (recorder);
  return G_SOURCE_REMOVE;
}

static void
written (const store_reply_t *reply, void *data)
{
  recorder_t *recorder = data;

  if (call_ended (recorder))
    return;
  switch (reply->status)
    {
    case STORE_DONE:
      transaction_stored (recorder, reply->revision);
      return;
    case STORE_REFUSED:
      refused (recorder, reply);
      return;
    case STORE_MISSING:
      /* The lease of ended jobs is over: records are kept without one. */
      recorder->end_lease = 0;
      for (guint i = recorder->row_next; i < recorder->rows->len; i++)
        ((row_t *) g_ptr_array_index (recorder->rows, i))->lease = 0;
      break;
    case STORE_UNAVAILABLE:
    case STORE_LOST:
      LOG_WARN ("batch_retry", "status=%s rows=%u", store_status_name (reply->status),
                recorder->row_count);
      break;
    }
  recorder->due_us = G_MAXINT64;
  recorder->timer = g_timeout_add (RETRY_MS, write_again, recorder);
}

static void
write_next (recorder_t *recorder)
{
  store_expect_t expect[CONDITIONS] = { { recorder->claim_key, recorder->claim_revision },
                                        { KEYS_BATCH, recorder->counter_revision } };
  store_write_t writes[ROWS_MAX + 1];
  guint64 counter
      = recorder->claim_revision * 1000000 + recorder->batch * 1000 + recorder->row_next;
  gsize count = 0;

  recorder->counter = counter;
  recorder->row_count = MIN (recorder->rows->len - recorder->row_next, ROWS_MAX);
  writes[count++] = (store_write_t){ KEYS_BATCH, (const guint8 *) &counter, sizeof counter, 0 };
  for (guint i = 0; i < recorder->row_count; i++)
    {
      const row_t *row = g_ptr_array_index (recorder->rows, recorder->row_next + i);

      writes[count++] = (store_write_t){ row->key, row->value, row->bytes, row->lease };
    }
  recorder->calls++;
  recorder->store->calls->txn (recorder->store, expect, CONDITIONS, writes, count, written,
                               recorder);
}

static void
counter_read (const store_reply_t *reply, void *data)
{
  recorder_t *recorder = data;

  if (call_ended (recorder))
    return;
  if (reply->status != STORE_DONE && reply->status != STORE_MISSING)
    {
      schedule (recorder, RETRY_MS);
      return;
    }
  recorder->is_counter_known = true;
  if (reply->items->len > 0)
    recorder->counter_revision = ((store_item_t *) g_ptr_array_index (reply->items, 0))->revision;
  recorder_flush (recorder);
}

static gboolean
flush_later (gpointer data)
{
  recorder_t *recorder = data;

  recorder->timer = 0;
  if (!recorder->is_counter_known)
    {
      recorder->calls++;
      recorder->store->calls->get (recorder->store, KEYS_BATCH, counter_read, recorder);
    }
  else if (!recorder->is_writing && begin_batch (recorder))
    write_next (recorder);
  return G_SOURCE_REMOVE;
}

static void
schedule (recorder_t *recorder, guint delay_ms)
{
  gint64 due_us = clock_now_us () + (gint64) delay_ms * 1000;

  if (recorder->is_writing || (recorder->timer != 0 && recorder->due_us <= due_us))
    return;
  if (recorder->timer != 0)
    g_source_remove (recorder->timer);
  recorder->due_us = due_us;
  recorder->timer = g_timeout_add (delay_ms, flush_later, recorder);
}

void
recorder_flush (recorder_t *recorder)
{
  if (recorder->is_writing)
    return;
  if (recorder->timer != 0)
    g_source_remove (recorder->timer);
  recorder->due_us = clock_now_us ();
  recorder->timer = g_timeout_add (0, flush_later, recorder);
}

void
recorder_has_progress (recorder_t *recorder, const char *id)
{
  (void) g_hash_table_add (recorder->recorded, g_strdup (id));
}

void
recorder_save (recorder_t *recorder, const char *id)
{
  (void) g_hash_table_add (recorder->dirty, g_strdup (id));
  schedule (recorder, COALESCE_MS);
}

void
recorder_finish (recorder_t *recorder, const char *id, job_state_t state)
{
  finished_t *finished = g_new0 (finished_t, 1);

  finished->id = g_strdup (id);
  finished->state = state;
  g_queue_push_tail (&recorder->finished, finished);
  schedule (recorder, COALESCE_MS);
}

void
recorder_delete (recorder_t *recorder, const char *key)
{
  g_ptr_array_add (recorder->deletions, g_strdup (key));
  schedule (recorder, DELETE_MS);
}

bool
recorder_is_idle (const recorder_t *recorder)
{
  return !recorder->is_writing && recorder->deletions->len == 0
         && g_hash_table_size (recorder->dirty) == 0
         && g_queue_is_empty ((GQueue *) &recorder->finished);
}

static void
end_lease_granted (const store_reply_t *reply, void *data)
{
  recorder_t *recorder = data;

  if (call_ended (recorder))
    return;
  if (reply->status == STORE_DONE)
    recorder->end_lease = reply->lease;
}

recorder_t *
recorder_new (store_t *store,
              const char *claim_key,
              gint64 claim_revision,
              cell_t *cell,
              const recorder_events_t *events,
              void *data)
{
  recorder_t *recorder = g_new0 (recorder_t, 1);

  recorder->store = store;
  recorder->claim_key = g_strdup (claim_key);
  recorder->claim_revision = claim_revision;
  recorder->cell = cell;
  recorder->events = events;
  recorder->data = data;
  recorder->dirty = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  recorder->recorded = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  recorder->deletions = g_ptr_array_new_with_free_func (g_free);
  recorder->rows = g_ptr_array_new_with_free_func (row_free);
  g_queue_init (&recorder->finished);
  g_queue_init (&recorder->ending);
  recorder->calls++;
  store->calls->lease (store, END_LEASE_MS, end_lease_granted, recorder);
  recorder_flush (recorder);
  return recorder;
}

void
recorder_free (recorder_t *recorder)
{
  if (recorder == NULL)
    return;
  if (recorder->timer != 0)
    g_source_remove (recorder->timer);
  recorder->timer = 0;
  recorder->is_closed = true;
  if (recorder->calls == 0)
    destroy (recorder);
}
