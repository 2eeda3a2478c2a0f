/* Group commit: collects conditional writes and commits them in few transactions.
 *
 * At most one transaction is in flight, and transactions start at least `interval_us` apart.  If a
 * compare fails, the reply shows which one, and the other ops are committed again.  A transaction
 * whose reply was lost is sent again.  An op then counts as applied if its key holds the op's own
 * value, so every value must be unique to its write.
 */
#pragma once

#include "records/kv.h"

typedef struct batch batch_t;

typedef enum
{
  BATCH_APPLIED,
  BATCH_CONFLICT,   /* the compare failed; `current` is the entry of the key */
  BATCH_UNAVAILABLE /* not confirmed by the deadline and not sent again; may have been applied */
} batch_result_t;

/* `current` is valid during the call only; it is NULL with BATCH_UNAVAILABLE. */
typedef void (*batch_done_t) (batch_result_t result, const kv_entry_t *current, void *data);

typedef struct
{
  char *key;   /* ownership is taken */
  char *value; /* ownership is taken; unique to this write; NULL: delete */
  kv_expect_t expect;
  gint64 revision;    /* for KV_EXPECT_REVISION */
  char *expected;     /* for KV_EXPECT_VALUE; ownership is taken */
  gint64 lease;       /* 0: none */
  gint64 deadline_us; /* monotonic */
  batch_done_t done;
  void *data;
} batch_op_t;

/* Limits of one transaction.  Its last op may take it beyond BATCH_BYTES_MAX. */
enum
{
  BATCH_OPS_MAX = 128,
  BATCH_BYTES_MAX = 512 * 1024
};

/* `kv` is borrowed. */
batch_t *batch_new (kv_t *kv, gint64 interval_us);
void batch_free (batch_t *batch);

G_DEFINE_AUTOPTR_CLEANUP_FUNC (batch_t, batch_free)

/* Sets the minimum time between the starts of two transactions. */
void batch_set_interval (batch_t *batch, gint64 interval_us);

/* Queues the op: copies the struct and takes ownership of its strings.  `done` is called exactly
 * once unless the batch is freed first. */
void batch_add (batch_t *batch, const batch_op_t *op);

/* Returns the number of ops that are queued or in flight. */
guint batch_pending_op_count (const batch_t *batch);

/* Return the number of transactions sent, including retries, and of ops applied since
 * batch_new(). */
guint64 batch_transaction_count (const batch_t *batch);
guint64 batch_applied_op_count (const batch_t *batch);
