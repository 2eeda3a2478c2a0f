#include "records/batch.h"

#include <string.h>

struct batch
{
  kv_t *kv;
  gint64 interval_us;
  gint64 last_commit_us;
  gint64 retry_delay_us; /* delay after a failure; 0 after a success */
  guint timer;
  bool is_in_flight;
  bool is_closing;
  GQueue queued;            /* batch_op_t, oldest first */
  GPtrArray *in_flight_ops; /* batch_op_t of the transaction in flight */
  guint64 transaction_count;
  guint64 applied_op_count;
};

static const gint64 min_retry_delay_us = 20 * 1000;
static const gint64 max_retry_delay_us = 1000 * 1000;

static void commit (batch_t *batch);

static void
op_free (gpointer data)
{
  batch_op_t *op = data;

  g_free (op->key);
  g_free (op->value);
  g_free (op->expected);
  g_free (op);
}

batch_t *
batch_new (kv_t *kv, gint64 interval_us)
{
  batch_t *batch = g_new0 (batch_t, 1);

  batch->kv = kv;
  batch->interval_us = interval_us;
  g_queue_init (&batch->queued);
  batch->in_flight_ops = g_ptr_array_new ();
  return batch;
}

void
batch_set_interval (batch_t *batch, gint64 interval_us)
{
  batch->interval_us = interval_us;
}

static void
destroy (batch_t *batch)
{
  for (guint i = 0; i < batch->in_flight_ops->len; i++)
    op_free (g_ptr_array_index (batch->in_flight_ops, i));
  g_ptr_array_unref (batch->in_flight_ops);
  g_queue_clear_full (&batch->queued, op_free);
  g_free (batch);
}

void
batch_free (batch_t *batch)
{
  if (batch == NULL)
    return;
  if (batch->timer != 0)
    g_source_remove (batch->timer);
  batch->timer = 0;
  batch->is_closing = true;
  /* With a transaction in flight, commit_done() frees the batch. */
  if (!batch->is_in_flight)
    destroy (batch);
}

guint
batch_pending_op_count (const batch_t *batch)
{
  return batch->queued.length + batch->in_flight_ops->len;
}

guint64
batch_transaction_count (const batch_t *batch)
{
  return batch->transaction_count;
}

guint64
batch_applied_op_count (const batch_t *batch)
{
  return batch->applied_op_count;
}

static gboolean
timer_fired (gpointer data)
{
  batch_t *batch = data;

  batch->timer = 0;
  commit (batch);
  return G_SOURCE_REMOVE;
}

static void
schedule_commit (batch_t *batch)
{
  gint64 now_us = g_get_monotonic_time ();
  gint64 wait_us = batch->last_commit_us + MAX (batch->interval_us, batch->retry_delay_us) - now_us;

  if (batch->timer != 0 || batch->is_in_flight || batch->queued.length == 0)
    return;
  if (batch->last_commit_us == 0 || wait_us < 0)
    wait_us = 0;
  batch->timer = g_timeout_add ((guint) ((wait_us + 999) / 1000), timer_fired, batch);
}

static void
finish_op (batch_t *batch, batch_op_t *op, batch_result_t result, const kv_entry_t *current)
{
  if (result == BATCH_APPLIED)
    batch->applied_op_count++;
  op->done (result, current, op->data);
  op_free (op);
}

/* Ends the queued ops whose deadline has passed. */
static void
drop_expired (batch_t *batch, gint64 now_us)
{
  GList *next;

  for (GList *link = batch->queued.head; link != NULL; link = next)
    {
      batch_op_t *op = link->data;

      next = link->next;
      if (op->deadline_us > now_us)
        continue;
      g_queue_delete_link (&batch->queued, link);
      finish_op (batch, op, BATCH_UNAVAILABLE, NULL);
    }
}

static bool
has_key (const GPtrArray *ops, const char *key)
{
  for (guint i = 0; i < ops->len; i++)
    {
      if (strcmp (((const batch_op_t *) g_ptr_array_index (ops, i))->key, key) == 0)
        return true;
    }
  return false;
}

/* Moves queued ops into the next transaction, in order, until a limit is reached or a key would
 * occur twice: a transaction may write a key only once. */
static void
fill_transaction (batch_t *batch)
{
  gsize bytes = 0;

  while (batch->queued.length > 0 && batch->in_flight_ops->len < BATCH_OPS_MAX
         && bytes < BATCH_BYTES_MAX)
    {
      batch_op_t *op = g_queue_peek_head (&batch->queued);

      if (has_key (batch->in_flight_ops, op->key))
        return;
      bytes += strlen (op->key) + (op->value != NULL ? strlen (op->value) : 0);
      g_ptr_array_add (batch->in_flight_ops, g_queue_pop_head (&batch->queued));
    }
}

/* Returns the ops of the transaction to the head of the queue, in order, to be sent again. */
static void
requeue_in_flight (batch_t *batch)
{
  for (guint i = batch->in_flight_ops->len; i > 0; i--)
    g_queue_push_head (&batch->queued, g_ptr_array_index (batch->in_flight_ops, i - 1));
  g_ptr_array_set_size (batch->in_flight_ops, 0);
}

static bool
entry_has_value (const kv_entry_t *entry, const char *value)
{
  if (value == NULL)
    return entry->mod_revision == 0;
  return entry->mod_revision != 0 && entry->value != NULL && strcmp (entry->value, value) == 0;
}

static bool
compare_holds (const batch_op_t *op, const kv_entry_t *entry)
{
  switch (op->expect)
    {
    case KV_EXPECT_ANY:
      return true;
    case KV_EXPECT_REVISION:
      return entry->mod_revision == op->revision;
    case KV_EXPECT_VALUE:
      return entry_has_value (entry, op->expected);
    }
  return false;
}

/* Handles each op of a rejected transaction.  An op whose compare holds did not cause the rejection
 * and is queued again.  Of the others, an op whose key holds its own value was applied earlier, by
 * a transaction whose reply was lost; the rest are conflicts. */
static void
handle_rejected (batch_t *batch, const kv_reply_t *reply)
{
  g_autoptr (GPtrArray) ops = batch->in_flight_ops;

  batch->in_flight_ops = g_ptr_array_new ();
  for (guint i = ops->len; i > 0; i--)
    {
      batch_op_t *op = g_ptr_array_index (ops, i - 1);
      const kv_entry_t *entry
          = i <= reply->entries->len ? g_ptr_array_index (reply->entries, i - 1) : NULL;

      if (entry == NULL || compare_holds (op, entry))
        g_queue_push_head (&batch->queued, op);
      else if (entry_has_value (entry, op->value))
        finish_op (batch, op, BATCH_APPLIED, entry);
      else
        finish_op (batch, op, BATCH_CONFLICT, entry);
    }
}

static void
handle_applied (batch_t *batch, gint64 revision)
{
  g_autoptr (GPtrArray) ops = batch->in_flight_ops;

  batch->in_flight_ops = g_ptr_array_new ();
  for (guint i = 0; i < ops->len; i++)
    {
      batch_op_t *op = g_ptr_array_index (ops, i);
      kv_entry_t entry = { .key = op->key, .value = op->value, .mod_revision = revision };

      finish_op (batch, op, BATCH_APPLIED, &entry);
    }
}

static void
back_off (batch_t *batch)
{
  gint64 next_delay_us
      = batch->retry_delay_us == 0 ? min_retry_delay_us : batch->retry_delay_us * 2;

  /* Jitter keeps the VMs from retrying all at once. */
  batch->retry_delay_us = MIN (next_delay_us, max_retry_delay_us);
  batch->retry_delay_us -= g_random_int_range (0, (gint32) batch->retry_delay_us / 2);
  requeue_in_flight (batch);
}

static void
commit_done (const kv_reply_t *reply, void *data)
{
  batch_t *batch = data;

  batch->is_in_flight = false;
  if (batch->is_closing)
    {
      destroy (batch);
      return;
    }
  switch (reply->status)
    {
    case KV_APPLIED:
      batch->retry_delay_us = 0;
      handle_applied (batch, reply->revision);
      break;
    case KV_REJECTED:
      batch->retry_delay_us = 0;
      handle_rejected (batch, reply);
      break;
    case KV_UNAVAILABLE:
    case KV_LOST:
      back_off (batch);
      break;
    }
  drop_expired (batch, g_get_monotonic_time ());
  schedule_commit (batch);
}

static void
commit (batch_t *batch)
{
  g_autofree kv_op_t *ops = NULL;

  if (batch->is_in_flight)
    return;
  drop_expired (batch, g_get_monotonic_time ());
  fill_transaction (batch);
  if (batch->in_flight_ops->len == 0)
    return;
  ops = g_new0 (kv_op_t, batch->in_flight_ops->len);
  for (guint i = 0; i < batch->in_flight_ops->len; i++)
    {
      const batch_op_t *op = g_ptr_array_index (batch->in_flight_ops, i);

      ops[i] = (kv_op_t){ .key = op->key,
                          .expect = op->expect,
                          .revision = op->revision,
                          .expected = op->expected,
                          .value = op->value,
                          .lease = op->lease };
    }
  batch->is_in_flight = true;
  batch->last_commit_us = g_get_monotonic_time ();
  batch->transaction_count++;
  kv_txn (batch->kv, ops, batch->in_flight_ops->len, commit_done, batch);
}

void
batch_add (batch_t *batch, const batch_op_t *op)
{
  g_queue_push_tail (&batch->queued, g_memdup2 (op, sizeof *op));
  schedule_commit (batch);
}
