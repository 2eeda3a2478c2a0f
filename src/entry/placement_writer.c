#define LOG_MODULE "placements"

#include "entry/placement_writer.h"

#include "base/log.h"
#include "entry/codec.h"
#include "entry/keys.h"

typedef struct
{
  guint64 placement;
  char *key;
  guint8 *value;
  gsize value_bytes;
} record_t;

struct placement_writer
{
  store_t *store;
  char *election_key;
  gint64 election_revision;
  const placement_writer_events_t *events;
  void *data;
  GPtrArray *pending;        /* record_t */
  record_t *pending_settled; /* of settled starts; NULL: nothing new */
  guint settled_timer;
  guint open_transaction_count; /* in flight, or waiting for a retry */
  bool is_freed;
};

/* One transaction with the records that it writes. */
typedef struct
{
  placement_writer_t *writer;
  GPtrArray *records;
  record_t *settled; /* NULL: none */
} transaction_t;

enum
{
  MAX_OPEN_TRANSACTIONS = 2,
  MAX_RECORDS = STORE_TXN_ROWS_MAX - 2, /* one row is the condition, one is of settled starts */
  RETRY_DELAY_MS = 40
};

static void send_transaction (transaction_t *transaction);

static void
record_free (gpointer data)
{
  record_t *record = data;

  g_free (record->key);
  g_free (record->value);
  g_free (record);
}

static store_write_t
record_write (const record_t *record)
{
  return (store_write_t){ record->key, record->value, record->value_bytes, 0 };
}

static void
destroy (placement_writer_t *writer)
{
  g_ptr_array_unref (writer->pending);
  g_clear_pointer (&writer->pending_settled, record_free);
  g_free (writer->election_key);
  g_free (writer);
}

/* Frees a transaction.  Returns true when placement_writer_free() was called meanwhile. */
static bool
finish_transaction (transaction_t *transaction)
{
  placement_writer_t *writer = transaction->writer;

  writer->open_transaction_count--;
  g_ptr_array_unref (transaction->records);
  g_clear_pointer (&transaction->settled, record_free);
  g_free (transaction);
  if (!writer->is_freed)
    return false;
  if (writer->open_transaction_count == 0)
    destroy (writer);
  return true;
}

static void
cancel_settled_timer (placement_writer_t *writer)
{
  if (writer->settled_timer != 0)
    g_source_remove (writer->settled_timer);
  writer->settled_timer = 0;
}

static void
send_pending (placement_writer_t *writer, bool is_settled_due)
{
  while ((writer->pending->len > 0 || (is_settled_due && writer->pending_settled != NULL))
         && writer->open_transaction_count < MAX_OPEN_TRANSACTIONS)
    {
      transaction_t *transaction = g_new0 (transaction_t, 1);

      transaction->writer = writer;
      transaction->records = g_ptr_array_new_with_free_func (record_free);
      transaction->settled = g_steal_pointer (&writer->pending_settled);
      cancel_settled_timer (writer);
      while (writer->pending->len > 0 && transaction->records->len < MAX_RECORDS)
        g_ptr_array_add (transaction->records, g_ptr_array_steal_index (writer->pending, 0));
      writer->open_transaction_count++;
      send_transaction (transaction);
    }
}

static gboolean
retry_transaction (gpointer data)
{
  transaction_t *transaction = data;

  if (transaction->writer->is_freed)
    (void) finish_transaction (transaction);
  else
    send_transaction (transaction);
  return G_SOURCE_REMOVE;
}

static void
report_stored (transaction_t *transaction)
{
  placement_writer_t *writer = transaction->writer;

  for (guint i = 0; i < transaction->records->len && !writer->is_freed; i++)
    writer->events->stored (
        ((const record_t *) g_ptr_array_index (transaction->records, i))->placement, writer->data);
}

/* Returns the number of its first placement; 0: it has none. */
static guint64
first_placement (const transaction_t *transaction)
{
  const GPtrArray *records = transaction->records;

  return records->len > 0 ? ((const record_t *) g_ptr_array_index (records, 0))->placement : 0;
}

static void
transaction_done (const store_reply_t *reply, void *data)
{
  transaction_t *transaction = data;
  placement_writer_t *writer = transaction->writer;

  if (writer->is_freed)
    {
      (void) finish_transaction (transaction);
      return;
    }
  switch (reply->status)
    {
    case STORE_LOST:
    case STORE_UNAVAILABLE:
      LOG_WARN ("placement_retry", "first=%" G_GUINT64_FORMAT " records=%u status=%s",
                first_placement (transaction), transaction->records->len,
                store_status_name (reply->status));
      (void) g_timeout_add (RETRY_DELAY_MS, retry_transaction, transaction);
      return;
    case STORE_DONE:
      report_stored (transaction);
      break;
    case STORE_REFUSED:
    case STORE_MISSING:
      writer->events->deposed (writer->data);
      break;
    }
  if (!finish_transaction (transaction))
    send_pending (writer, false);
}

static void
send_transaction (transaction_t *transaction)
{
  placement_writer_t *writer = transaction->writer;
  store_condition_t expect = { writer->election_key, writer->election_revision };
  store_write_t writes[MAX_RECORDS + 1];
  guint count = 0;

  for (guint i = 0; i < transaction->records->len; i++)
    writes[count++] = record_write (g_ptr_array_index (transaction->records, i));
  if (transaction->settled != NULL)
    writes[count++] = record_write (transaction->settled);
  writer->store->calls->txn (writer->store, &expect, 1, writes, count, transaction_done,
                             transaction);
}

placement_writer_t *
placement_writer_new (store_t *store,
                      const char *election_key,
                      gint64 election_revision,
                      const placement_writer_events_t *events,
                      void *data)
{
  placement_writer_t *writer = g_new0 (placement_writer_t, 1);

  writer->store = store;
  writer->election_key = g_strdup (election_key);
  writer->election_revision = election_revision;
  writer->events = events;
  writer->data = data;
  writer->pending = g_ptr_array_new_with_free_func (record_free);
  return writer;
}

void
placement_writer_free (placement_writer_t *writer)
{
  if (writer == NULL)
    return;
  writer->is_freed = true;
  cancel_settled_timer (writer);
  if (writer->open_transaction_count == 0)
    destroy (writer);
}

char *
placement_writer_key (const placement_writer_t *writer, guint64 placement)
{
  return g_strdup_printf (KEYS_PLACEMENT_PREFIX "%" G_GINT64_FORMAT "-%" G_GUINT64_FORMAT,
                          writer->election_revision, placement);
}

void
placement_writer_write (placement_writer_t *writer,
                        guint64 placement,
                        const placed_run_t *runs,
                        guint count)
{
  record_t *record = g_new0 (record_t, 1);

  record->placement = placement;
  record->key = placement_writer_key (writer, placement);
  record->value = codec_pack_placement (runs, count, &record->value_bytes);
  g_ptr_array_add (writer->pending, record);
  send_pending (writer, false);
}

/* The timer ends when the record is sent. */
static gboolean
settled_timer_fired (gpointer data)
{
  send_pending (data, true);
  return G_SOURCE_CONTINUE;
}

void
placement_writer_write_settled (placement_writer_t *writer,
                                guint8 *value,
                                gsize value_bytes,
                                guint delay_ms)
{
  record_t *record = g_new0 (record_t, 1);

  record->key = g_strdup (KEYS_SETTLED_STARTS);
  record->value = value;
  record->value_bytes = value_bytes;
  g_clear_pointer (&writer->pending_settled, record_free);
  writer->pending_settled = record;
  if (writer->settled_timer == 0)
    writer->settled_timer = g_timeout_add (delay_ms, settled_timer_fired, writer);
}
