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
  bool is_first; /* of rows that are written together */
} row_t;

/* A transaction of a batch that is too large for one. */
typedef struct
{
  recorder_t *recorder;
  guint first; /* row */
  guint count;
} part_t;

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
  GPtrArray *rows;    /* row_t */
  GPtrArray *parts;   /* part_t to be written before the closing transaction */
  guint part_next;    /* first that was not sent */
  guint parts_open;   /* sent or to be sent again */
  guint closing_from; /* first row of the closing transaction */
  GQueue ending;      /* finished_t of this batch */
  guint64 batch;
  gint64 began_us;
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
  PARTS_AT_ONCE = 16,
  END_LEASE_MS = 600 * 1000 /* the longest that the service grants */
};

/* A batch that takes longer than this is told in the log. */
static const gint64 slow_batch_us = 250 * 1000;

static void write_parts (recorder_t *recorder);
static void write_closing (recorder_t *recorder);
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
  g_ptr_array_unref (recorder->parts);
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

static row_t *
add_row (recorder_t *recorder, char *key, guint8 *value, gsize bytes, gint64 lease)
{
  row_t *row = g_new0 (row_t, 1);

  row->key = key;
  row->value = value;
  row->bytes = bytes;
  row->lease = lease;
  g_ptr_array_add (recorder->rows, row);
  return row;
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
  add_row (recorder, keys_progress (id), packed, bytes, 0)->is_first = true;
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
  /* A job is never without one of its records. */
  add_row (recorder, keys_end (finished->id), packed, bytes, recorder->end_lease)->is_first = true;
  (void) add_row (recorder, keys_job (finished->id), NULL, 0, 0);
  if (finished->state == JOB_CANCELLED)
    (void) add_row (recorder, keys_cancel (finished->id), NULL, 0, 0);
  if (g_hash_table_remove (recorder->recorded, finished->id))
    (void) add_row (recorder, keys_progress (finished->id), NULL, 0, 0);
}

/* Number of rows from `first` on that one transaction takes. */
static guint
part_length (const GPtrArray *rows, guint first)
{
  guint end = MIN (first + ROWS_MAX, rows->len);

  while (end < rows->len && !((const row_t *) g_ptr_array_index (rows, end))->is_first)
    end--;
  return end - first;
}

static void
add_deletions (recorder_t *recorder)
{
  guint count = MIN (recorder->deletions->len, ROWS_MAX);

  for (guint i = 0; i < count; i++)
    (void) add_row (recorder, g_strdup (g_ptr_array_index (recorder->deletions, i)), NULL, 0, 0);
  g_ptr_array_remove_range (recorder->deletions, 0, count);
}

/* A small batch is one transaction, the closing one.  Of a larger one the rows are written
 * in parts, and what is to be deleted after them by the closing one. */
static void
split_batch (recorder_t *recorder)
{
  guint count = recorder->rows->len;

  g_ptr_array_set_size (recorder->parts, 0);
  recorder->part_next = 0;
  recorder->closing_from = 0;
  if (count + MIN (recorder->deletions->len, ROWS_MAX) > ROWS_MAX)
    {
      for (guint first = 0; first < count;)
        {
          part_t *part = g_new0 (part_t, 1);

          part->recorder = recorder;
          part->first = first;
          part->count = part_length (recorder->rows, first);
          first += part->count;
          g_ptr_array_add (recorder->parts, part);
        }
      recorder->closing_from = count;
    }
  add_deletions (recorder);
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
  recorder->began_us = clock_now_us ();
  g_ptr_array_set_size (recorder->rows, 0);
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
  split_batch (recorder);
  return true;
}

/* A batch that took long tells how large it was. */
static void
note_slow_batch (const recorder_t *recorder)
{
  gint64 took_us = clock_now_us () - recorder->began_us;
  gsize bytes = 0;

  if (took_us < slow_batch_us)
    return;
  for (guint i = 0; i < recorder->rows->len; i++)
    bytes += ((const row_t *) g_ptr_array_index (recorder->rows, i))->bytes;
  LOG_INFO ("batch_slow",
            "batch=%" G_GUINT64_FORMAT " rows=%u bytes=%" G_GSIZE_FORMAT
            " parts=%u took_ms=%" G_GINT64_FORMAT,
            recorder->batch, recorder->rows->len, bytes, recorder->parts->len, took_us / 1000);
}

static void
end_batch (recorder_t *recorder)
{
  finished_t *finished;

  note_slow_batch (recorder);

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
batch_closed (recorder_t *recorder, gint64 revision)
{
  recorder->counter_revision = revision;
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

/* A condition did not hold: the claim is gone, or the closing transaction was carried out
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
          batch_closed (recorder, item->revision);
          return;
        }
    }
  LOG_WARN ("batch_refused", "claim_seen=%d", (int) is_claim_seen);
  recorder->events->deposed (recorder->data);
}

/* The lease of ended jobs is over: records are kept without one. */
static void
drop_end_lease (recorder_t *recorder)
{
  recorder->end_lease = 0;
  for (guint i = 0; i < recorder->rows->len; i++)
    ((row_t *) g_ptr_array_index (recorder->rows, i))->lease = 0;
}

/* Sends rows under the conditions that the claim holds and that no batch after this one
 * was closed, so that a part that is carried out late changes nothing. */
static void
send_rows (
    recorder_t *recorder, guint first, guint count, bool is_closing, store_done_t done, void *data)
{
  store_expect_t expect[CONDITIONS] = { { recorder->claim_key, recorder->claim_revision },
                                        { KEYS_BATCH, recorder->counter_revision } };
  store_write_t writes[ROWS_MAX + 1];
  gsize written = 0;

  if (is_closing)
    writes[written++] = (store_write_t){ KEYS_BATCH, (const guint8 *) &recorder->counter,
                                         sizeof recorder->counter, 0 };
  for (guint i = 0; i < count; i++)
    {
      const row_t *row = g_ptr_array_index (recorder->rows, first + i);

      writes[written++] = (store_write_t){ row->key, row->value, row->bytes, row->lease };
    }
  recorder->calls++;
  recorder->store->calls->txn (recorder->store, expect, CONDITIONS, writes, written, done, data);
}

static gboolean
close_again (gpointer data)
{
  recorder_t *recorder = data;

  recorder->timer = 0;
  write_closing (recorder);
  return G_SOURCE_REMOVE;
}

static void
closed (const store_reply_t *reply, void *data)
{
  recorder_t *recorder = data;

  if (call_ended (recorder))
    return;
  switch (reply->status)
    {
    case STORE_DONE:
      batch_closed (recorder, reply->revision);
      return;
    case STORE_REFUSED:
      refused (recorder, reply);
      return;
    case STORE_MISSING:
      drop_end_lease (recorder);
      break;
    case STORE_UNAVAILABLE:
    case STORE_LOST:
      LOG_WARN ("batch_retry", "status=%s rows=%u", store_status_name (reply->status),
                recorder->rows->len - recorder->closing_from);
      break;
    }
  recorder->due_us = G_MAXINT64;
  recorder->timer = g_timeout_add (RETRY_MS, close_again, recorder);
}

static void
write_closing (recorder_t *recorder)
{
  recorder->counter = (guint64) recorder->claim_revision * 1000000 + recorder->batch;
  send_rows (recorder, recorder->closing_from, recorder->rows->len - recorder->closing_from, true,
             closed, recorder);
}

/* ---- Parts; written anew until they are answered, which changes nothing the second time. */

static void part_written (const store_reply_t *reply, void *data);

static void
send_part (part_t *part)
{
  send_rows (part->recorder, part->first, part->count, false, part_written, part);
}

static gboolean
send_part_again (gpointer data)
{
  part_t *part = data;

  if (!call_ended (part->recorder))
    send_part (part);
  return G_SOURCE_REMOVE;
}

static void
part_written (const store_reply_t *reply, void *data)
{
  part_t *part = data;
  recorder_t *recorder = part->recorder;

  if (call_ended (recorder))
    return;
  switch (reply->status)
    {
    case STORE_DONE:
      recorder->parts_open--;
      write_parts (recorder);
      return;
    case STORE_REFUSED:
      LOG_WARN ("batch_refused", "part_from=%u rows=%u", part->first, part->count);
      recorder->events->deposed (recorder->data);
      return;
    case STORE_MISSING:
      drop_end_lease (recorder);
      break;
    case STORE_UNAVAILABLE:
    case STORE_LOST:
      LOG_WARN ("batch_retry", "status=%s rows=%u", store_status_name (reply->status), part->count);
      break;
    }
  /* The pause counts as a call, so that the part is not freed before its end. */
  recorder->calls++;
  (void) g_timeout_add (RETRY_MS, send_part_again, part);
}

static void
write_parts (recorder_t *recorder)
{
  while (recorder->part_next < recorder->parts->len && recorder->parts_open < PARTS_AT_ONCE)
    {
      recorder->parts_open++;
      send_part (g_ptr_array_index (recorder->parts, recorder->part_next++));
    }
  if (recorder->parts_open == 0)
    write_closing (recorder);
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
    write_parts (recorder);
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
  recorder->parts = g_ptr_array_new_with_free_func (g_free);
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
