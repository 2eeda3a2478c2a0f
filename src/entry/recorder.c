#define LOG_MODULE "recorder"

#include "entry/recorder.h"

#include "base/clock.h"
#include "base/log.h"
#include "entry/codec.h"
#include "entry/end_lease.h"
#include "entry/keys.h"

#include <string.h>

/* One key to be written or deleted. */
typedef struct
{
  char *key;
  guint8 *value; /* NULL: delete */
  gsize value_bytes;
  gint64 lease;
  bool starts_group; /* first of the rows that must share a transaction */
} row_t;

/* One of several transactions of a large batch. */
typedef struct
{
  recorder_t *recorder;
  guint first; /* index of a row */
  guint count;
} part_t;

typedef struct
{
  char *id;
  job_state_t state;
} job_end_t;

struct recorder
{
  store_t *store;
  char *election_key;
  gint64 election_revision;
  scheduler_t *scheduler;
  const recorder_events_t *events;
  void *data;
  GHashTable *dirty_jobs;         /* ids of jobs whose progress has changed */
  GQueue pending_ends;            /* job_end_t */
  GHashTable *jobs_with_progress; /* ids of jobs with a progress record */
  GPtrArray *pending_deletions;   /* keys */
  /* The batch in flight. */
  bool is_writing;
  GPtrArray *rows;        /* row_t */
  GPtrArray *parts;       /* part_t; written before the commit transaction */
  guint next_part;        /* first that has not been sent */
  guint open_part_count;  /* in flight, or waiting for a retry */
  guint commit_first_row; /* first row of the commit transaction */
  GQueue batch_ends;      /* job_end_t */
  guint64 batch;
  gint64 batch_started_us;
  /* The counter in the store, which serializes the batches. */
  bool is_counter_known;
  gint64 counter_revision;
  guint64 counter;
  end_lease_t *end_lease;
  guint timer;
  gint64 timer_due_us;
  bool is_freed;
  guint pending_call_count;
};

enum
{
  COALESCE_DELAY_MS = 12, /* changes within this time share a batch */
  DELETE_DELAY_MS = 300,  /* deletions wait this long to share the batch of another change */
  RETRY_DELAY_MS = 100,
  CONDITION_COUNT = 2,
  MAX_ROWS = STORE_TXN_ROWS_MAX - CONDITION_COUNT - 1, /* one row is the counter */
  MAX_OPEN_PARTS = 16
};

/* A batch that takes longer than this is logged. */
static const gint64 slow_batch_us = 250 * 1000;

static void write_parts (recorder_t *recorder);
static void write_commit (recorder_t *recorder);
static void schedule_flush (recorder_t *recorder, guint delay_ms);

static void
row_free (gpointer data)
{
  row_t *row = data;

  g_free (row->key);
  g_free (row->value);
  g_free (row);
}

static void
job_end_free (gpointer data)
{
  job_end_t *end = data;

  g_free (end->id);
  g_free (end);
}

static void
destroy (recorder_t *recorder)
{
  g_hash_table_unref (recorder->dirty_jobs);
  g_hash_table_unref (recorder->jobs_with_progress);
  g_queue_clear_full (&recorder->pending_ends, job_end_free);
  g_queue_clear_full (&recorder->batch_ends, job_end_free);
  g_ptr_array_unref (recorder->pending_deletions);
  g_ptr_array_unref (recorder->rows);
  g_ptr_array_unref (recorder->parts);
  g_free (recorder->election_key);
  g_free (recorder);
}

/* Accounts for a finished call.  Returns true when recorder_free() was called meanwhile. */
static bool
finish_call (recorder_t *recorder)
{
  recorder->pending_call_count--;
  if (!recorder->is_freed)
    return false;
  if (recorder->pending_call_count == 0)
    destroy (recorder);
  return true;
}

static row_t *
add_row (recorder_t *recorder, char *key, guint8 *value, gsize value_bytes, gint64 lease)
{
  row_t *row = g_new0 (row_t, 1);

  row->key = key;
  row->value = value;
  row->value_bytes = value_bytes;
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
  gsize value_bytes;

  scheduler_visit_progress (recorder->scheduler, id, collect_progress, progress);
  packed = codec_pack_progress (progress, &value_bytes);
  add_row (recorder, keys_progress (id), packed, value_bytes, 0)->starts_group = true;
  (void) g_hash_table_add (recorder->jobs_with_progress, g_strdup (id));
}

static void
add_end (recorder_t *recorder, const job_end_t *end)
{
  Mimosastair__Ended message = MIMOSASTAIR__ENDED__INIT;
  const char *workspace = scheduler_job_workspace (recorder->scheduler, end->id);
  guint8 *packed;
  gsize value_bytes;

  message.state = end->state;
  if (workspace != NULL)
    message.workspace = (char *) workspace;
  value_bytes = mimosastair__ended__get_packed_size (&message);
  packed = g_malloc (value_bytes + 1);
  mimosastair__ended__pack (&message, packed);
  /* One transaction writes the end record and deletes the job record, so that a job always
   * has one of them. */
  add_row (recorder, keys_end (end->id), packed, value_bytes,
           end_lease_get (recorder->end_lease, clock_now_us ()))
      ->starts_group
      = true;
  (void) add_row (recorder, keys_job (end->id), NULL, 0, 0);
  if (end->state == JOB_CANCELLED)
    (void) add_row (recorder, keys_cancel (end->id), NULL, 0, 0);
  if (g_hash_table_remove (recorder->jobs_with_progress, end->id))
    (void) add_row (recorder, keys_progress (end->id), NULL, 0, 0);
}

/* Returns the number of rows from `first` on that fit into one transaction without splitting a
 * group. */
static guint
part_row_count (const GPtrArray *rows, guint first)
{
  guint end = MIN (first + MAX_ROWS, rows->len);

  while (end < rows->len && !((const row_t *) g_ptr_array_index (rows, end))->starts_group)
    end--;
  return end - first;
}

static void
add_deletions (recorder_t *recorder)
{
  guint count = MIN (recorder->pending_deletions->len, MAX_ROWS);

  for (guint i = 0; i < count; i++)
    (void) add_row (recorder, g_strdup (g_ptr_array_index (recorder->pending_deletions, i)), NULL,
                    0, 0);
  g_ptr_array_remove_range (recorder->pending_deletions, 0, count);
}

/* A small batch is a commit transaction alone.  A larger one is written in parts, followed
 * by the deletions in the commit transaction. */
static void
split_batch (recorder_t *recorder)
{
  guint count = recorder->rows->len;

  g_ptr_array_set_size (recorder->parts, 0);
  recorder->next_part = 0;
  recorder->commit_first_row = 0;
  if (count + MIN (recorder->pending_deletions->len, MAX_ROWS) > MAX_ROWS)
    {
      for (guint first = 0; first < count;)
        {
          part_t *part = g_new0 (part_t, 1);

          part->recorder = recorder;
          part->first = first;
          part->count = part_row_count (recorder->rows, first);
          first += part->count;
          g_ptr_array_add (recorder->parts, part);
        }
      recorder->commit_first_row = count;
    }
  add_deletions (recorder);
}

/* Collects the pending changes into one batch.  Returns false when there are none. */
static bool
begin_batch (recorder_t *recorder)
{
  GHashTableIter iter;
  gpointer id;
  job_end_t *end;

  if (recorder_is_idle (recorder))
    return false;
  recorder->is_writing = true;
  recorder->batch_started_us = clock_now_us ();
  g_ptr_array_set_size (recorder->rows, 0);
  recorder->batch = scheduler_batch_begin (recorder->scheduler);
  while ((end = g_queue_pop_head (&recorder->pending_ends)) != NULL)
    {
      g_hash_table_remove (recorder->dirty_jobs, end->id);
      add_end (recorder, end);
      g_queue_push_tail (&recorder->batch_ends, end);
    }
  g_hash_table_iter_init (&iter, recorder->dirty_jobs);
  while (g_hash_table_iter_next (&iter, &id, NULL))
    add_progress (recorder, id);
  g_hash_table_remove_all (recorder->dirty_jobs);
  split_batch (recorder);
  return true;
}

/* Logs the size of a batch that took long. */
static void
log_slow_batch (const recorder_t *recorder)
{
  gint64 took_us = clock_now_us () - recorder->batch_started_us;
  gsize value_bytes = 0;

  if (took_us < slow_batch_us)
    return;
  for (guint i = 0; i < recorder->rows->len; i++)
    value_bytes += ((const row_t *) g_ptr_array_index (recorder->rows, i))->value_bytes;
  LOG_INFO ("batch_slow",
            "batch=%" G_GUINT64_FORMAT " rows=%u bytes=%" G_GSIZE_FORMAT
            " parts=%u took_ms=%" G_GINT64_FORMAT,
            recorder->batch, recorder->rows->len, value_bytes, recorder->parts->len,
            took_us / 1000);
}

static void
end_batch (recorder_t *recorder)
{
  job_end_t *end;

  log_slow_batch (recorder);

  recorder->is_writing = false;
  recorder->pending_call_count++;
  while ((end = g_queue_pop_head (&recorder->batch_ends)) != NULL)
    {
      recorder->events->job_end_stored (end->id, end->state, recorder->data);
      job_end_free (end);
    }
  recorder->events->batch_stored (recorder->batch, recorder->data);
  if (!finish_call (recorder) && !recorder_is_idle (recorder))
    schedule_flush (recorder, COALESCE_DELAY_MS);
}

static void
batch_committed (recorder_t *recorder, gint64 revision)
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

/* A condition of the commit did not hold: this VM is no longer the leader, or an earlier
 * attempt was applied although its answer was lost. */
static void
commit_refused (recorder_t *recorder, const store_reply_t *reply)
{
  bool is_still_leader = false;

  for (guint i = 0; i < reply->items->len; i++)
    {
      const store_item_t *item = g_ptr_array_index (reply->items, i);

      if (strcmp (item->key, recorder->election_key) == 0)
        is_still_leader = item->revision == recorder->election_revision;
    }
  for (guint i = 0; is_still_leader && i < reply->items->len; i++)
    {
      const store_item_t *item = g_ptr_array_index (reply->items, i);

      if (strcmp (item->key, KEYS_BATCH_COUNTER) != 0)
        continue;
      if (counter_value (item) == recorder->counter)
        {
          batch_committed (recorder, item->revision);
          return;
        }
    }
  LOG_WARN ("batch_refused", "claim_seen=%d", (int) is_still_leader);
  recorder->events->deposed (recorder->data);
}

/* The lease of end records has expired: end records are written without one. */
static void
drop_end_record_lease (recorder_t *recorder)
{
  end_lease_forget (recorder->end_lease);
  for (guint i = 0; i < recorder->rows->len; i++)
    ((row_t *) g_ptr_array_index (recorder->rows, i))->lease = 0;
}

/* Sends rows on condition that this VM is the leader and that neither this batch nor a later one
 * was committed, so that a part that reaches the store after the commit changes nothing. */
static void
send_rows (
    recorder_t *recorder, guint first, guint count, bool is_commit, store_done_t done, void *data)
{
  store_condition_t expect[CONDITION_COUNT]
      = { { recorder->election_key, recorder->election_revision },
          { KEYS_BATCH_COUNTER, recorder->counter_revision } };
  store_write_t writes[MAX_ROWS + 1];
  gsize written = 0;

  if (is_commit)
    writes[written++] = (store_write_t){ KEYS_BATCH_COUNTER, (const guint8 *) &recorder->counter,
                                         sizeof recorder->counter, 0 };
  for (guint i = 0; i < count; i++)
    {
      const row_t *row = g_ptr_array_index (recorder->rows, first + i);

      writes[written++] = (store_write_t){ row->key, row->value, row->value_bytes, row->lease };
    }
  recorder->pending_call_count++;
  recorder->store->calls->txn (recorder->store, expect, CONDITION_COUNT, writes, written, done,
                               data);
}

static gboolean
retry_commit (gpointer data)
{
  recorder_t *recorder = data;

  recorder->timer = 0;
  write_commit (recorder);
  return G_SOURCE_REMOVE;
}

static void
commit_done (const store_reply_t *reply, void *data)
{
  recorder_t *recorder = data;

  if (finish_call (recorder))
    return;
  switch (reply->status)
    {
    case STORE_DONE:
      batch_committed (recorder, reply->revision);
      return;
    case STORE_REFUSED:
      commit_refused (recorder, reply);
      return;
    case STORE_MISSING:
      drop_end_record_lease (recorder);
      break;
    case STORE_UNAVAILABLE:
    case STORE_LOST:
      LOG_WARN ("batch_retry", "status=%s rows=%u", store_status_name (reply->status),
                recorder->rows->len - recorder->commit_first_row);
      break;
    }
  recorder->timer_due_us = G_MAXINT64;
  recorder->timer = g_timeout_add (RETRY_DELAY_MS, retry_commit, recorder);
}

static void
write_commit (recorder_t *recorder)
{
  recorder->counter = (guint64) recorder->election_revision * 1000000 + recorder->batch;
  send_rows (recorder, recorder->commit_first_row, recorder->rows->len - recorder->commit_first_row,
             true, commit_done, recorder);
}

/* ---- Parts.  A part is retried until it is answered; writing it again is idempotent. */

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

  if (!finish_call (part->recorder))
    send_part (part);
  return G_SOURCE_REMOVE;
}

static void
part_written (const store_reply_t *reply, void *data)
{
  part_t *part = data;
  recorder_t *recorder = part->recorder;

  if (finish_call (recorder))
    return;
  switch (reply->status)
    {
    case STORE_DONE:
      recorder->open_part_count--;
      write_parts (recorder);
      return;
    case STORE_REFUSED:
      LOG_WARN ("batch_refused", "part_from=%u rows=%u", part->first, part->count);
      recorder->events->deposed (recorder->data);
      return;
    case STORE_MISSING:
      drop_end_record_lease (recorder);
      break;
    case STORE_UNAVAILABLE:
    case STORE_LOST:
      LOG_WARN ("batch_retry", "status=%s rows=%u", store_status_name (reply->status), part->count);
      break;
    }
  /* The delay counts as a call, so that the part is not freed before the retry. */
  recorder->pending_call_count++;
  (void) g_timeout_add (RETRY_DELAY_MS, send_part_again, part);
}

static void
write_parts (recorder_t *recorder)
{
  while (recorder->next_part < recorder->parts->len && recorder->open_part_count < MAX_OPEN_PARTS)
    {
      recorder->open_part_count++;
      send_part (g_ptr_array_index (recorder->parts, recorder->next_part++));
    }
  if (recorder->open_part_count == 0)
    write_commit (recorder);
}

static void
counter_read (const store_reply_t *reply, void *data)
{
  recorder_t *recorder = data;

  if (finish_call (recorder))
    return;
  if (reply->status != STORE_DONE && reply->status != STORE_MISSING)
    {
      schedule_flush (recorder, RETRY_DELAY_MS);
      return;
    }
  recorder->is_counter_known = true;
  if (reply->items->len > 0)
    recorder->counter_revision = ((store_item_t *) g_ptr_array_index (reply->items, 0))->revision;
  recorder_flush (recorder);
}

static gboolean
flush_timer_fired (gpointer data)
{
  recorder_t *recorder = data;

  recorder->timer = 0;
  if (!recorder->is_counter_known)
    {
      recorder->pending_call_count++;
      recorder->store->calls->get (recorder->store, KEYS_BATCH_COUNTER, counter_read, recorder);
    }
  else if (!recorder->is_writing && begin_batch (recorder))
    write_parts (recorder);
  return G_SOURCE_REMOVE;
}

static void
schedule_flush (recorder_t *recorder, guint delay_ms)
{
  gint64 timer_due_us = clock_now_us () + (gint64) delay_ms * 1000;

  if (recorder->is_writing || (recorder->timer != 0 && recorder->timer_due_us <= timer_due_us))
    return;
  if (recorder->timer != 0)
    g_source_remove (recorder->timer);
  recorder->timer_due_us = timer_due_us;
  recorder->timer = g_timeout_add (delay_ms, flush_timer_fired, recorder);
}

void
recorder_flush (recorder_t *recorder)
{
  if (recorder->is_writing)
    return;
  if (recorder->timer != 0)
    g_source_remove (recorder->timer);
  recorder->timer_due_us = clock_now_us ();
  recorder->timer = g_timeout_add (0, flush_timer_fired, recorder);
}

void
recorder_note_stored_progress (recorder_t *recorder, const char *id)
{
  (void) g_hash_table_add (recorder->jobs_with_progress, g_strdup (id));
}

void
recorder_save_progress (recorder_t *recorder, const char *id)
{
  (void) g_hash_table_add (recorder->dirty_jobs, g_strdup (id));
  schedule_flush (recorder, COALESCE_DELAY_MS);
}

void
recorder_save_end (recorder_t *recorder, const char *id, job_state_t state)
{
  job_end_t *end = g_new0 (job_end_t, 1);

  end->id = g_strdup (id);
  end->state = state;
  g_queue_push_tail (&recorder->pending_ends, end);
  schedule_flush (recorder, COALESCE_DELAY_MS);
}

void
recorder_delete_key (recorder_t *recorder, const char *key)
{
  g_ptr_array_add (recorder->pending_deletions, g_strdup (key));
  schedule_flush (recorder, DELETE_DELAY_MS);
}

bool
recorder_is_idle (const recorder_t *recorder)
{
  return !recorder->is_writing && recorder->pending_deletions->len == 0
         && g_hash_table_size (recorder->dirty_jobs) == 0
         && g_queue_is_empty ((GQueue *) &recorder->pending_ends);
}

recorder_t *
recorder_new (store_t *store,
              const char *election_key,
              gint64 election_revision,
              scheduler_t *scheduler,
              guint end_ttl_ms,
              const recorder_events_t *events,
              void *data)
{
  recorder_t *recorder = g_new0 (recorder_t, 1);

  recorder->store = store;
  recorder->election_key = g_strdup (election_key);
  recorder->election_revision = election_revision;
  recorder->scheduler = scheduler;
  recorder->events = events;
  recorder->data = data;
  recorder->dirty_jobs = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  recorder->jobs_with_progress = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  recorder->pending_deletions = g_ptr_array_new_with_free_func (g_free);
  recorder->rows = g_ptr_array_new_with_free_func (row_free);
  recorder->parts = g_ptr_array_new_with_free_func (g_free);
  g_queue_init (&recorder->pending_ends);
  g_queue_init (&recorder->batch_ends);
  recorder->end_lease = end_lease_new (store, end_ttl_ms);
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
  end_lease_free (g_steal_pointer (&recorder->end_lease));
  recorder->is_freed = true;
  if (recorder->pending_call_count == 0)
    destroy (recorder);
}
