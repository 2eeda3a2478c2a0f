/* Group commit: collects conditional writes and commits them in few transactions.
 *
 * At most one transaction is in flight; a new one starts at the earliest
 * `interval_us` after the last.  When a compare fails, the reply tells which, and
 * the others are committed again.  A transaction whose reply was lost is sent
 * again; an op is then known to have been applied when the key holds its own
 * value, so every value must be unique to its write.
 */
#pragma once

#include "records/kv.h"

typedef struct batch batch_t;

typedef enum
{
  BATCH_APPLIED,
  BATCH_CONFLICT,   /* the compare did not hold; `current` is what the key holds */
  BATCH_UNAVAILABLE /* not known to be applied by the deadline, and not sent again */
} batch_result_t;

typedef void (*batch_done_t) (batch_result_t result, const kv_entry_t *current, void *data);

typedef struct
{
  char *key;   /* taken */
  char *value; /* taken; unique to this write */
  kv_expect_t expect;
  gint64 revision;
  char *expected; /* taken, KV_EXPECT_VALUE */
  gint64 lease;
  gint64 deadline_us; /* monotonic */
  batch_done_t done;
  void *data;
} batch_op_t;

enum
{
  BATCH_OPS_MAX = 128,
  BATCH_BYTES_MAX = 512 * 1024
};

/* `kv` is borrowed. */
batch_t *batch_new (kv_t *kv, gint64 interval_us);
void batch_free (batch_t *batch);

G_DEFINE_AUTOPTR_CLEANUP_FUNC (batch_t, batch_free)

/* Changes the shortest time between two transactions. */
void batch_set_interval (batch_t *batch, gint64 interval_us);

/* Queues the op; `done` is called exactly once unless the batch is freed first. */
void batch_add (batch_t *batch, const batch_op_t *op);

guint batch_length (const batch_t *batch);

/* Transactions and ops committed since batch_new(). */
guint64 batch_transactions (const batch_t *batch);
guint64 batch_ops (const batch_t *batch);
