#include "decide/job_writes.h"

#include "base/list.h"
#include "decide/spec.h"

typedef struct
{
  list_node_t node;
  char id[JOB_ID_BYTES];
  guint open_count;       /* writes without an outcome yet */
  gint64 stored_until_us; /* an ended write may be carried out until then; 0: none */
} row_t;

struct job_writes
{
  GHashTable *rows;   /* id -> row_t, owned */
  list_node_t oldest; /* rows by the time at which their last write began or ended */
  guint max;
  guint64 dropped_count;
};

/* The service may carry out a call without an answer up to this much later. */
static const gint64 unanswered_us = 12 * G_USEC_PER_SEC;

static bool
row_may_be_stored (const row_t *row, gint64 now_us)
{
  return row->open_count > 0 || now_us < row->stored_until_us;
}

static void
remove_row (job_writes_t *writes, row_t *row)
{
  list_remove (&row->node);
  g_hash_table_remove (writes->rows, row->id);
}

static row_t *
oldest_row (const job_writes_t *writes)
{
  return LIST_ENTRY (writes->oldest.next, row_t, node);
}

/* Makes room for one row.  Rows behind an open one expire once it has ended, within seconds. */
static void
make_room (job_writes_t *writes, gint64 now_us)
{
  while (!list_is_empty (&writes->oldest) && !row_may_be_stored (oldest_row (writes), now_us))
    remove_row (writes, oldest_row (writes));
  if (g_hash_table_size (writes->rows) < writes->max)
    return;
  remove_row (writes, oldest_row (writes));
  writes->dropped_count++;
}

/* Returns the row of the id, as the latest one. */
static row_t *
touch_row (job_writes_t *writes, const char *id, gint64 now_us)
{
  row_t *row = g_hash_table_lookup (writes->rows, id);

  if (row != NULL)
    list_remove (&row->node);
  else
    {
      make_room (writes, now_us);
      row = g_new0 (row_t, 1);
      g_strlcpy (row->id, id, sizeof row->id);
      g_hash_table_insert (writes->rows, row->id, row);
    }
  list_push_back (&writes->oldest, &row->node);
  return row;
}

void
job_writes_begin (job_writes_t *writes, const char *id, gint64 now_us)
{
  touch_row (writes, id, now_us)->open_count++;
}

void
job_writes_end (job_writes_t *writes, const char *id, bool may_be_stored, gint64 now_us)
{
  row_t *row = g_hash_table_lookup (writes->rows, id);

  /* The row of an open write may have been dropped. */
  if (row == NULL && !may_be_stored)
    return;
  row = touch_row (writes, id, now_us);
  if (row->open_count > 0)
    row->open_count--;
  if (may_be_stored)
    row->stored_until_us = now_us + unanswered_us;
  if (!row_may_be_stored (row, now_us))
    remove_row (writes, row);
}

bool
job_writes_may_be_stored (const job_writes_t *writes, const char *id, gint64 now_us)
{
  const row_t *row = g_hash_table_lookup (writes->rows, id);

  return row != NULL && row_may_be_stored (row, now_us);
}

guint64
job_writes_dropped_count (const job_writes_t *writes)
{
  return writes->dropped_count;
}

job_writes_t *
job_writes_new (guint max)
{
  job_writes_t *writes = g_new0 (job_writes_t, 1);

  writes->rows = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, g_free);
  list_init (&writes->oldest);
  writes->max = MAX (max, 1);
  return writes;
}

void
job_writes_free (job_writes_t *writes)
{
  if (writes == NULL)
    return;
  g_hash_table_unref (writes->rows);
  g_free (writes);
}
